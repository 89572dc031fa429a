//! Worker heartbeats, and all that sends commands to workers: registration of machines, answers to heartbeats, direct
//! calls to workers, and graceful eviction.

mod direct_calls;
mod graceful_eviction;
mod lease_renewal;
mod registration;
mod serving;

pub(super) use registration::Registrations;

use super::controller::Controller;
use super::events::Requester;
use super::shard::EarlyHeartbeat;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{MachineId, Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::workers::WorkerHeartbeat;
use crate::protocol::{BusyReason, Reply};
use crate::time::Span;

/// Longest time after the acquisition of a shard for which heartbeats are queued while its records are being read.
/// Workers wait 4 s for an answer.
const EARLY_HEARTBEAT_TIMEOUT: Span = Span::millis(2000);

/// Purpose of a call to the state service that concerns the record of a machine.
pub(super) enum MachineOperation {
    /// Reads the record of a machine to find its shard.
    FindShard { requester: Requester, heartbeat: Box<WorkerHeartbeat> },
    /// Writes the record of a new machine. Its heartbeats are answered with 200 only once the record is durable.
    Register { leadership: LeadershipTerm, requester: Requester, heartbeat: Box<WorkerHeartbeat> },
    /// Removes the record of a machine that no longer exists.
    RemoveRecord { leadership: LeadershipTerm, machine: MachineId, version: Revision },
    /// Changes the shard in the record of a machine.
    Transfer { leadership: LeadershipTerm, machine: MachineId, to: ShardId },
    /// Reads the record of a machine that may belong to this shard: it was transferred here, or its registration found
    /// a record of which this node did not know.
    ReadRecord { leadership: LeadershipTerm },
}

impl MachineOperation {
    /// Returns the traffic class under which the call is admitted.
    pub fn traffic_class(&self) -> TrafficClass {
        match self {
            MachineOperation::FindShard { .. } => TrafficClass::RecordRead,
            MachineOperation::Register { .. } => TrafficClass::MachineRecord,
            MachineOperation::RemoveRecord { .. } => TrafficClass::StaleRecord,
            MachineOperation::Transfer { .. } | MachineOperation::ReadRecord { .. } => TrafficClass::MachineTransfer,
        }
    }

    /// Returns the leadership term that was a condition of the transaction, or `None` if the call is a read.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            MachineOperation::Register { leadership, .. }
            | MachineOperation::RemoveRecord { leadership, .. }
            | MachineOperation::Transfer { leadership, .. } => Some(*leadership),
            MachineOperation::FindShard { .. } | MachineOperation::ReadRecord { .. } => None,
        }
    }

    /// Returns `true` if the call writes the first record of the given machine.
    pub(super) fn registers(&self, machine: &MachineId) -> bool {
        matches!(self, MachineOperation::Register { heartbeat, .. } if heartbeat.machine == *machine)
    }
}

impl Controller {
    /// Continues a machine operation with the answer of the state service.
    pub(super) fn machine_operation_answered(&mut self, operation: MachineOperation, answer: StateResult) {
        match operation {
            MachineOperation::FindShard { requester, heartbeat } => {
                self.machine_shard_found(requester, heartbeat, answer);
            }
            MachineOperation::Register { leadership, requester, heartbeat } => {
                self.machine_registered(leadership, requester, heartbeat, answer);
            }
            MachineOperation::RemoveRecord { leadership, machine, version } => {
                self.machine_record_removed(leadership, machine, version, answer);
            }
            MachineOperation::Transfer { leadership, machine, to } => {
                self.transfer_answered(leadership, machine, to, answer);
            }
            MachineOperation::ReadRecord { leadership } => self.machine_record_read(leadership, answer),
        }
    }

    /// Runs the periodic work: registers waiting machines, gives up attempts on dead machines, preempts tasks and
    /// probes silent machines.
    pub(super) fn workers_tick(&mut self) {
        self.register_waiting_machines();
        let probes_are_due = self.registrations.begin_tick(self.now);
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            let Some(shard) = self.shards.get(&id) else { continue };
            if !shard.is_active() {
                self.expire_early_heartbeats(id);
                continue;
            }
            if !self.may_decide(id) {
                // Another controller may have acquired the shard and renewed worker leases since: tasks may still run
                // on machines that are silent here, so this node must not give them up and start them elsewhere.
                continue;
            }
            self.give_up_attempts_on_dead_machines(id);
            self.preempt_tasks(id);
            if probes_are_due {
                self.probe_silent_machines(id);
            }
        }
    }

    /// Refuses the heartbeats that are queued for a shard if reading its records takes longer than
    /// [`EARLY_HEARTBEAT_TIMEOUT`].
    fn expire_early_heartbeats(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        if now.since(shard.recovery.acquired_at()) <= EARLY_HEARTBEAT_TIMEOUT {
            return;
        }
        for EarlyHeartbeat { requester, .. } in std::mem::take(&mut shard.loading.early_heartbeats) {
            self.reply(requester, Reply::busy(BusyReason::ShardBeingLoaded));
        }
    }

    /// Gives up the attempts on machines whose worker lease has certainly expired, so that their tasks can be started
    /// elsewhere.
    fn give_up_attempts_on_dead_machines(&mut self, id: ShardId) {
        let (now, worker_lease) = (self.now, self.settings.worker_lease);
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let leader_lease = &shard.leadership.leader_lease;
        let dead: Vec<MachineId> = shard
            .machines
            .iter()
            .filter(|(_, machine)| !machine.reconciled || !machine.attempts.is_empty())
            .filter(|(_, machine)| machine.all_attempts_surely_ended(now, worker_lease, leader_lease))
            .map(|(id, _)| id.clone())
            .collect();
        for machine_id in &dead {
            log::warn!("machine {machine_id}: worker lease expired; giving up all attempts on it");
            shard.remove_all_attempts(machine_id, now);
        }
    }
}
