//! Direct calls that query the machines of a newly acquired shard for the attempts that run on them.

use crate::coordination::controller::Controller;
use crate::coordination::shard::{HeartbeatNumber, Machine};
use crate::model::{AgentEpoch, MachineId, ShardId};
use crate::protocol::CallError;
use crate::protocol::workers::{WorkerAnswer, WorkerCall, WorkerHeartbeat};

/// First agent epoch, which a direct call names if no heartbeat of the machine is known.
const FIRST_EPOCH: AgentEpoch = AgentEpoch(1);

/// Placeholder for an unknown agent epoch. Epochs are counted from 1.
const NO_EPOCH: AgentEpoch = AgentEpoch(0);

/// Content of an unreconciled machine's answer to a direct call, as far as it serves reconciliation.
enum ReconciliationAnswer {
    /// Complete list of the machine's attempts, sent under this leader's fencing token.
    Current(Box<WorkerHeartbeat>),
    /// The machine is in this agent epoch, and not in the one that the call named.
    OtherEpoch(AgentEpoch),
    /// No usable content.
    Unusable,
}

impl ReconciliationAnswer {
    /// Classifies an answer of a machine to a call without commands.
    ///
    /// A heartbeat under this leader's fencing token lists all attempts. The worker executes no command of a former
    /// leader after it, and this leader has not sent any command yet, so no attempt that is missing from the heartbeat
    /// can still start.
    fn of(answer: WorkerAnswer, id: &MachineId, machine: &Machine) -> ReconciliationAnswer {
        let (heartbeat, executed) = match answer {
            WorkerAnswer::Executed(heartbeat) => (heartbeat, true),
            WorkerAnswer::Rejected(heartbeat) => (heartbeat, false),
        };
        if heartbeat.machine != *id || HeartbeatNumber::of(&heartbeat) <= machine.last_heartbeat() {
            return ReconciliationAnswer::Unusable;
        }
        if executed && heartbeat.token >= machine.token {
            return ReconciliationAnswer::Current(heartbeat);
        }
        // A higher fencing token shows that another controller has acquired leadership since.
        if heartbeat.token <= machine.token && heartbeat.epoch != NO_EPOCH {
            ReconciliationAnswer::OtherEpoch(heartbeat.epoch)
        } else {
            ReconciliationAnswer::Unusable
        }
    }
}

impl Controller {
    /// Queries the next unreconciled machines by direct calls, without waiting until their workers find this node. The
    /// workers answer under the new fencing token.
    pub(in crate::coordination) fn query_machines(&mut self, shard_id: ShardId) {
        if !self.may_renew_worker_leases(shard_id) {
            return;
        }
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&shard_id).filter(|shard| shard.is_active()) else { return };
        let mut calls = Vec::new();
        for id in shard.recovery.next_queries(now) {
            match shard.machines.get(&id) {
                Some(machine) if !machine.deleting => {
                    let known_epoch = machine.last_heartbeat().epoch;
                    let epoch = if known_epoch == NO_EPOCH { FIRST_EPOCH } else { known_epoch };
                    let request = WorkerCall { token: machine.token, epoch, commands: Vec::new() };
                    calls.push((id, machine.addr, request));
                }
                _ => shard.recovery.record_unanswered_query(&id, now),
            }
        }
        for (id, addr, request) in calls {
            self.call_worker(shard_id, &id, addr, request);
        }
    }

    /// Handles the answer of an unreconciled machine to a direct call, or the failure of the call.
    pub(in crate::coordination) fn reconciliation_answered(
        &mut self,
        shard_id: ShardId,
        id: &MachineId,
        answer: Result<WorkerAnswer, CallError>,
    ) {
        let (now, holds_lease) = (self.now, self.may_decide(shard_id));
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let Some(machine) = shard.machines.get_mut(id) else { return };
        let answer = match answer {
            Ok(answer) if holds_lease => ReconciliationAnswer::of(answer, id, machine),
            Ok(_) => ReconciliationAnswer::Unusable,
            Err(_) => {
                machine.unanswered_calls += 1;
                ReconciliationAnswer::Unusable
            }
        };
        match answer {
            ReconciliationAnswer::Current(heartbeat) => self.reconcile_machine(shard_id, &heartbeat),
            ReconciliationAnswer::OtherEpoch(epoch) => self.call_in_epoch(shard_id, id, epoch),
            ReconciliationAnswer::Unusable => shard.recovery.record_unanswered_query(id, now),
        }
        self.query_machines(shard_id);
    }

    /// Applies a heartbeat that lists a machine's attempts under this leader's fencing token, and marks the machine as
    /// reconciled.
    fn reconcile_machine(&mut self, shard_id: ShardId, heartbeat: &WorkerHeartbeat) {
        let (now, id) = (self.now, &heartbeat.machine);
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let Some(machine) = shard.machines.get_mut(id) else { return };
        machine.set_last_heartbeat(HeartbeatNumber::of(heartbeat), now);
        machine.last_contact_at = now;
        machine.reconciled_by = machine.reconciled_by.max(now);
        // The worker lease was granted by the leader that answered last, and may run on until the machine sends a
        // heartbeat to this node.
        machine.last_answered_at = Some(machine.last_answered_at.map_or(now, |at| at.max(now)));
        shard.apply_heartbeat(heartbeat, now);
        shard.mark_reconciled(id, now);
        self.finish_jobs(shard_id);
    }

    /// Calls an unreconciled machine again, in the agent epoch that it is in.
    fn call_in_epoch(&mut self, shard_id: ShardId, id: &MachineId, epoch: AgentEpoch) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let Some(machine) = shard.machines.get_mut(id) else { return };
        machine.set_last_heartbeat(HeartbeatNumber::before_epoch(epoch), now);
        let (addr, token) = (machine.addr, machine.token);
        shard.recovery.record_repeated_query(id, now);
        self.call_worker(shard_id, id, addr, WorkerCall { token, epoch, commands: Vec::new() });
    }
}
