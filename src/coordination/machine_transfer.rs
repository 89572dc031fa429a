//! Transfer of idle machines between shards.
//!
//! Controllers offer the idle machines of their shards to one another in peer heartbeats. A shard that needs machines
//! requests offered ones; the leader of the shard that has them then rewrites their records.

use super::controller::Controller;
use super::leadership_term::LeadershipTerm;
use super::scale_out::{Demand, PackingBin, pack};
use super::shard::RequestedOffer;
use super::worker_heartbeats::MachineOperation;
use crate::model::{JobSpec, MachineId, NodeLabel, Resources, ShardId};
use crate::protocol::peers::{MachineOffer, PeerMessage};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall};
use crate::storage::keys;
use crate::storage::records::{self, MachineRecord};
use crowstall_reconciliation::MachineClass;
use std::collections::BTreeMap;

/// Idle machines offered by each of the other controllers.
#[derive(Default)]
pub(super) struct PeerOffers {
    by_node: BTreeMap<NodeLabel, Vec<MachineOffer>>,
}

impl PeerOffers {
    /// Replaces the offers of a controller.
    pub fn set(&mut self, node: NodeLabel, offers: Vec<MachineOffer>) {
        self.by_node.insert(node, offers);
    }
}

impl Controller {
    /// Requests idle machines of other shards that a job could use, and adds them to the bins. Returns the number of
    /// the job's tasks that still do not fit.
    pub(super) fn request_offers(&mut self, id: ShardId, demand: &Demand, bins: &mut Vec<PackingBin>) -> u32 {
        let mut remaining = Demand { spec: demand.spec.clone(), avoids: demand.avoids.clone(), ..*demand };
        for offer in self.offers_to(id) {
            if remaining.count == 0 {
                break;
            }
            let Some(capacity) = self.usable_capacity(&offer, &demand.spec) else { continue };
            if self.is_requested(&offer.machine) || !self.request_offered_machine(&offer.machine, id) {
                continue;
            }
            let class = MachineClass { kind: offer.kind.clone(), zone: offer.zone.clone(), spot: offer.spot };
            bins.push(PackingBin::expected(class, capacity));
            remaining.count = pack(bins, &remaining, self.cloud.types());
            if let Some(shard) = self.shards.get_mut(&id) {
                let machine = offer.machine.clone();
                shard.fleet.requested_offers.insert(machine, RequestedOffer { offer, requested_at: self.now });
            }
        }
        remaining.count
    }

    /// Returns the machines that a shard may request from other shards, spot machines first.
    fn offers_to(&self, id: ShardId) -> Vec<MachineOffer> {
        let peers = self.membership.reachable_peers(self.now);
        let offers_of_peers = peers.filter_map(|(node, _)| self.offers.by_node.get(node)).flatten().cloned();
        let own_shards = self.shards.values().filter(|shard| shard.id != id && shard.is_active());
        let offers_of_own_shards = own_shards.flat_map(|shard| shard.offers(self.now));
        let mut offers: Vec<MachineOffer> = offers_of_peers.chain(offers_of_own_shards).collect();
        offers.sort_by_key(|offer| !offer.spot);
        offers
    }

    /// Returns the resources of an offered machine, or `None` if its type is unknown, the job may not run there, or no
    /// task of the job fits.
    fn usable_capacity(&self, offer: &MachineOffer, spec: &JobSpec) -> Option<Resources> {
        let capacity = self.cloud.machine_type(&offer.kind)?.capacity;
        let is_usable = spec.allows(&offer.kind, &offer.zone, offer.spot) && capacity.slots(&spec.needs) > 0;
        is_usable.then_some(capacity)
    }

    /// Returns `true` if a shard of this node has requested the offered machine recently.
    fn is_requested(&self, machine: &MachineId) -> bool {
        self.shards.values().any(|shard| shard.fleet.requested_offers.contains_key(machine))
    }

    /// Requests an offered machine for a shard. Returns `false` if the shard that has the machine or its leader is not
    /// known, or if the machine is already in shard `to`.
    fn request_offered_machine(&mut self, machine: &MachineId, to: ShardId) -> bool {
        let Some(from) = self.directory.machine_shard(machine).filter(|from| *from != to) else { return false };
        if self.shards.contains_key(&from) {
            self.offered_machine_requested(machine.clone(), to);
            return true;
        }
        let Some(leader) = self.leader_of(from).cloned() else { return false };
        self.send_to_peer(leader, PeerMessage::RequestMachine { machine: machine.clone(), shard: to });
        true
    }

    /// Begins the transfer of an offered machine to the shard that has requested it, if the machine is still idle.
    pub(super) fn offered_machine_requested(&mut self, machine: MachineId, to: ShardId) {
        let now = self.now;
        let owner = self.shards.values().find(|shard| shard.machines.contains_key(&machine));
        let Some(id) = owner.filter(|shard| shard.is_active() && shard.id != to).map(|shard| shard.id) else { return };
        if !self.may_decide(id) {
            return;
        }
        let Some(shard) = self.shards.get_mut(&id) else { return };
        if !shard.offers(now).iter().any(|offer| offer.machine == machine) {
            return;
        }
        let Some(transferred) = shard.machines.get_mut(&machine) else { return };
        transferred.draining = true;
        transferred.moving_to = Some(to);
        self.write_transfer(id, &machine);
    }

    /// Writes the record of a machine that is being transferred, naming its new shard. The write is conditional on this
    /// leadership term and on the version of the record.
    fn write_transfer(&mut self, id: ShardId, machine_id: &MachineId) {
        let Some(shard) = self.shards.get(&id) else { return };
        let Some(machine) = shard.machines.get(machine_id) else { return };
        let Some(to) = machine.moving_to else { return };
        let record = MachineRecord {
            shard: to,
            kind: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            addr: machine.addr.to_string(),
        };
        let key = keys::machine_key(machine_id);
        let request = StateCall::Commit {
            conditions: vec![shard.leadership_term().condition(), Condition::version(key.clone(), machine.version)],
            changes: vec![Change::Put { key, value: records::to_value(&record), lease: None }],
        };
        let operation =
            MachineOperation::Transfer { leadership: shard.leadership_term(), machine: machine_id.clone(), to };
        self.call_state(request, operation);
    }

    /// Handles the answer to the write of a transfer: removes the machine from its old shard if the transfer was
    /// committed, and otherwise schedules the same write again.
    pub(super) fn transfer_answered(
        &mut self,
        leadership: LeadershipTerm,
        machine: MachineId,
        to: ShardId,
        answer: StateResult,
    ) {
        let id = leadership.shard;
        if self.shard_in_term(leadership).is_none() || self.step_down_on_conflict(id, &answer) {
            return;
        }
        match answer {
            // The conflict is on the version of the machine's record alone, so an earlier write was executed after all.
            Ok(StateAnswer::Committed(_) | StateAnswer::Conflict(_)) => self.finish_transfer(id, machine, to),
            // An unanswered write may be executed at any later time. The machine therefore gets no more tasks from this
            // shard, and the same record is written again until the outcome is certain.
            _ => {
                if let Some(shard) = self.shards.get_mut(&id) {
                    shard.fleet.retry_transfers.push(machine);
                }
            }
        }
    }

    /// Removes a machine that was transferred from its old shard, and notifies the leader of its new shard.
    fn finish_transfer(&mut self, from: ShardId, machine: MachineId, to: ShardId) {
        log::info!("machine {machine}: transferred from shard {from} to shard {to}");
        let now = self.now;
        if let Some(shard) = self.shards.get_mut(&from) {
            shard.remove_machine(&machine, now);
        }
        self.directory.set_machine_shard(machine.clone(), to);
        match self.leader_of(to).cloned() {
            Some(leader) if leader == self.settings.label => self.machine_transferred_here(machine, to),
            Some(leader) => self.send_to_peer(leader, PeerMessage::MachineTransferred { machine, shard: to }),
            None => {}
        }
    }

    /// Retries the transfers whose write was refused or not answered.
    pub(super) fn retry_transfers(&mut self, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        for machine in std::mem::take(&mut shard.fleet.retry_transfers) {
            self.write_transfer(id, &machine);
        }
    }

    /// Records that a machine was transferred to a shard. Reads the machine's record if this node leads the shard and
    /// has loaded it.
    pub(super) fn machine_transferred_here(&mut self, machine: MachineId, to: ShardId) {
        self.directory.set_machine_shard(machine.clone(), to);
        let Some(shard) = self.shards.get_mut(&to).filter(|shard| shard.is_active()) else { return };
        shard.fleet.requested_offers.remove(&machine);
        let leadership = shard.leadership_term();
        let request = StateCall::Get(keys::machine_key(&machine));
        self.call_state(request, MachineOperation::ReadRecord { leadership });
    }
}
