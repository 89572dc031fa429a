//! Worker heartbeats and everything that leads to commands for workers: registration of machines, answers to
//! heartbeats, direct calls to workers, and graceful eviction.

mod direct_calls;
mod graceful_eviction;
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

/// How long heartbeats are kept for a shard whose records are being read. Workers wait 4 s for an answer.
const EARLY_HEARTBEAT_TIMEOUT: Span = Span::millis(2000);

/// A call to the state service that concerns the record of a machine.
pub(super) enum MachineOperation {
    /// Reads the record of a machine to find out which shard it belongs to.
    Find { requester: Requester, heartbeat: Box<WorkerHeartbeat> },
    /// Records a machine, so that its heartbeats may be answered.
    Register { leadership: LeadershipTerm, requester: Requester, heartbeat: Box<WorkerHeartbeat> },
    /// Removes the record of a machine that is gone.
    RemoveRecord { leadership: LeadershipTerm, machine: MachineId, version: Revision },
    /// Transfers a machine to another shard.
    Transfer { leadership: LeadershipTerm, machine: MachineId, to: ShardId },
    /// Reads the record of a machine that was transferred to this shard.
    Fetch { leadership: LeadershipTerm },
}

impl MachineOperation {
    /// The class of traffic by which the call is admitted.
    pub fn traffic_class(&self) -> TrafficClass {
        match self {
            MachineOperation::Find { .. } => TrafficClass::RecordRead,
            MachineOperation::Register { .. } => TrafficClass::MachineRecord,
            MachineOperation::RemoveRecord { .. } => TrafficClass::StaleRecord,
            MachineOperation::Transfer { .. } | MachineOperation::Fetch { .. } => TrafficClass::MachineTransfer,
        }
    }

    /// The term that was a condition of the transaction, if there was one.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            MachineOperation::Register { leadership, .. }
            | MachineOperation::RemoveRecord { leadership, .. }
            | MachineOperation::Transfer { leadership, .. } => Some(*leadership),
            MachineOperation::Find { .. } | MachineOperation::Fetch { .. } => None,
        }
    }

    /// Whether this records the given machine.
    pub(super) fn registers(&self, machine: &MachineId) -> bool {
        matches!(self, MachineOperation::Register { heartbeat, .. } if heartbeat.machine == *machine)
    }
}

impl Controller {
    /// Passes an answer of the state service to the step that waits for it.
    pub(super) fn machine_operation_answered(&mut self, operation: MachineOperation, answer: StateResult) {
        match operation {
            MachineOperation::Find { requester, heartbeat } => self.machine_found(requester, heartbeat, answer),
            MachineOperation::Register { leadership, requester, heartbeat } => {
                self.machine_registered(leadership, requester, heartbeat, answer);
            }
            MachineOperation::RemoveRecord { leadership, machine, version } => {
                self.machine_record_removed(leadership, machine, version, answer);
            }
            MachineOperation::Transfer { leadership, machine, to } => {
                self.transfer_answered(leadership, machine, to, answer);
            }
            MachineOperation::Fetch { leadership } => self.machine_record_fetched(leadership, answer),
        }
    }

    /// Periodic work: registers machines that wait for it, gives up tasks of dead machines, preempts tasks and probes
    /// silent machines.
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
                // Another controller may have acquired the shard and renewed a machine's lease meanwhile: its tasks
                // may still run there, and must not be started elsewhere by this one.
                continue;
            }
            self.give_up_dead_machines(id);
            self.preempt_tasks(id);
            if probes_are_due {
                self.probe_silent_machines(id);
            }
        }
    }

    /// Refuses the heartbeats that a shard has kept, once reading its records takes too long.
    fn expire_early_heartbeats(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        if now.since(shard.recovery.acquired_at()) <= EARLY_HEARTBEAT_TIMEOUT {
            return;
        }
        for EarlyHeartbeat { requester, .. } in std::mem::take(&mut shard.loading.early_heartbeats) {
            self.reply(requester, Reply::busy(BusyReason::BeingLoaded));
        }
    }

    /// Gives up the attempts on machines whose worker lease has certainly expired.
    fn give_up_dead_machines(&mut self, id: ShardId) {
        let (now, worker_lease) = (self.now, self.settings.worker_lease);
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let leader_lease = &shard.leadership.leader_lease;
        let dead: Vec<MachineId> = shard
            .machines
            .iter()
            .filter(|(_, machine)| !machine.reconciled || !machine.attempts.is_empty())
            .filter(|(_, machine)| machine.surely_dead(now, worker_lease, leader_lease))
            .map(|(id, _)| id.clone())
            .collect();
        for machine_id in &dead {
            log::warn!("machine {machine_id}: its worker lease has expired");
            shard.remove_all_attempts(machine_id, now);
        }
    }
}
