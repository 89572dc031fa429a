//! Consequences of a newly read machine list: failed machines are deleted, vanished ones are removed, machines that a
//! former leader rented are added as booting, and machines that belong to no shard are deleted.

use super::super::controller::Controller;
use super::super::pending_calls::CloudOperation;
use super::super::shard::BootingMachine;
use super::super::shard::Shard;
use crate::model::{MachineId, ShardId};
use crate::protocol::cloud::{CloudCall, ListedMachine, MAX_MACHINES_PER_DELETION, MachineState};
use crate::time::Span;
use crowstall_reconciliation::MachineClass;

/// Time beyond the worker lease and twice the list lag for which a machine that the cloud no longer lists must be
/// silent before it is removed.
const VANISHED_MARGIN: Span = Span::millis(10_000);
/// Maximum lag of the list as a multiple of the configured lag.
const MAX_LIST_LAGS: f64 = 2.0;

/// Multiple of the boot time after which, with [`STUCK_MARGIN`] added, a machine that belongs to no shard and is still
/// booting is deleted.
const STUCK_BOOT_TIMES: f64 = 4.0;
/// Time added to [`STUCK_BOOT_TIMES`] boot times and the list lag.
const STUCK_MARGIN: Span = Span::millis(30_000);
/// Age from which a failed machine that belongs to no shard is deleted.
const FAILED_MACHINE_AGE: Span = Span::millis(30_000);

impl Controller {
    /// Handles a complete new machine list.
    pub(in crate::coordination) fn machine_list_completed(&mut self) {
        let active: Vec<ShardId> =
            self.shards.values().filter(|shard| shard.is_active()).map(|shard| shard.id).collect();
        for id in &active {
            self.apply_machine_list(*id);
        }
        for id in &active {
            self.expect_booting_machines(*id);
        }
        self.delete_unknown_machines(&active);
    }

    /// Marks for deletion the machines of the shard that the cloud lists as failed, and removes those that the cloud no
    /// longer lists.
    fn apply_machine_list(&mut self, id: ShardId) {
        let (now, worker_lease, list_lag) = (self.now, self.settings.worker_lease, self.settings.cloud_list_lag);
        let list = self.cloud.machine_list();
        let has_failed =
            |machine: &MachineId| list.get(machine).is_some_and(|entry| entry.state == MachineState::Failed);
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let mut vanished = Vec::new();
        for (machine_id, machine) in &mut shard.machines {
            let is_listed = list.contains(machine_id);
            machine.listed |= is_listed;
            machine.deleting |= has_failed(machine_id);
            let is_silent = now.since(machine.last_contact_at) > worker_lease + list_lag + list_lag + VANISHED_MARGIN;
            if !is_listed
                && is_silent
                && machine.all_attempts_surely_ended(now, worker_lease, &shard.leadership.leader_lease)
            {
                vanished.push(machine_id.clone());
            }
        }
        for (machine_id, machine) in &mut shard.fleet.booting {
            machine.deleting |= has_failed(machine_id);
        }
        for machine in vanished {
            log::info!("machine {machine}: silent and no longer listed by the cloud; removing it from shard {id}");
            self.remove_gone_machine(id, &machine);
        }
    }

    /// Adds machines that a former leader rented and that are still booting, so that they are not rented again.
    /// Machines that were rented in this term are already known; adding those from the list would only bring back
    /// machines that were deleted since.
    fn expect_booting_machines(&mut self, id: ShardId) {
        let now = self.now;
        let Some(acquired_at) = self.shards.get(&id).map(|shard| shard.recovery.acquired_at()) else { return };
        // The age of a machine refers to the time at which the cloud made the list, which may be this long ago.
        let rented_until = acquired_at + self.settings.cloud_list_lag.times(MAX_LIST_LAGS);
        let is_expected = |entry: &&ListedMachine| {
            entry.state == MachineState::Booting
                && now - entry.age <= rented_until
                && self.shard_of_machine(&entry.id) == id
                && !self.is_known_machine(&entry.id)
        };
        let expected: Vec<ListedMachine> = self.cloud.machine_list().machines().filter(is_expected).cloned().collect();
        let Some(shard) = self.shards.get_mut(&id) else { return };
        for ListedMachine { id: machine, kind, zone, spot, age, .. } in expected {
            log::debug!(
                "machine {machine} ({kind}, {zone}): rented by a former leader, still booting; adding it to shard {id}"
            );
            // The machine may have been rented before the monotonic clock of this process began. Its time of rental is
            // then taken as the beginning of the clock, so it gets its whole boot time again.
            let booting = BootingMachine::new(MachineClass { kind, zone, spot }, now - age);
            shard.fleet.booting.insert(machine, booting);
        }
    }

    /// Returns the shard of a machine: the one in the directory or, if the directory has none, the default shard for
    /// the machine's id.
    fn shard_of_machine(&self, machine: &MachineId) -> ShardId {
        self.directory.machine_shard(machine).unwrap_or_else(|| self.default_shard(machine))
    }

    /// Returns `true` if a shard of this node has the machine or expects it to boot.
    fn is_known_machine(&self, machine: &MachineId) -> bool {
        let has = |shard: &Shard| shard.machines.contains_key(machine) || shard.fleet.booting.contains_key(machine);
        self.shards.values().any(has)
    }

    /// Deletes machines that belong to no shard. They were rented by a request that was executed late, or by a
    /// controller that stopped before it received the answer. Machines that send heartbeats become registered; those
    /// that never boot, and failed ones, are deleted by the leader of the default shard for their id.
    fn delete_unknown_machines(&mut self, active: &[ShardId]) {
        if self.cloud.is_deleting_unknown() {
            return;
        }
        let unknown = self.cloud.machine_list().machines().filter(|entry| {
            let is_elsewhere = self.directory.machine_shard(&entry.id).is_some_and(|home| !active.contains(&home));
            !self.is_known_machine(&entry.id)
                && !is_elsewhere
                && active.contains(&self.default_shard(&entry.id))
                && self.will_not_boot(entry)
        });
        let machines: Vec<MachineId> = unknown.map(|entry| entry.id.clone()).take(MAX_MACHINES_PER_DELETION).collect();
        if !machines.is_empty() && self.cloud.take_call(self.now) {
            log::info!("deleting {} machines that belong to no shard", machines.len());
            self.cloud.unknown_deletion_sent();
            self.calls.send_to_cloud(CloudCall::Delete(machines), CloudOperation::DeleteUnknown);
        }
    }

    /// Returns `true` if a machine has failed, or has been booting for so long that it will not come up.
    fn will_not_boot(&self, entry: &ListedMachine) -> bool {
        let boot = self.cloud.machine_type(&entry.kind).map_or(Span::ZERO, |machine_type| machine_type.boot);
        let max_boot = boot.times(STUCK_BOOT_TIMES) + STUCK_MARGIN + self.settings.cloud_list_lag;
        match entry.state {
            MachineState::Booting => entry.age > max_boot,
            MachineState::Failed => entry.age > FAILED_MACHINE_AGE,
            _ => false,
        }
    }
}
