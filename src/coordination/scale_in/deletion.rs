//! Deletion of machines at the cloud, and the set of machines that were deleted recently.

use super::super::controller::Controller;
use super::super::pending_calls::CloudOperation;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::{MachineId, ShardId};
use crate::protocol::CallError;
use crate::protocol::cloud::{CloudAnswer, CloudCall, MAX_MACHINES_PER_DELETION};
use crate::time::{Span, Time};
use std::collections::HashSet;

/// Maximum number of deleted machines that are remembered.
const MAX_REMEMBERED: usize = 10_000;
/// Time after which a deletion without an answer no longer holds back the next one.
const DELETION_TIMEOUT: Span = Span::millis(5000);
/// Time after which a failed deletion is sent again.
const DELETION_RETRY_INTERVAL: Span = Span::millis(1000);

/// Machines that were deleted recently. Their heartbeats may still arrive.
#[derive(Default)]
pub(in crate::coordination) struct DeletedMachines {
    /// Ids of the machines. The set is cleared when it reaches its maximum size.
    machines: HashSet<MachineId>,
    /// Time at which a record was last removed as stale.
    pub(super) last_record_removal: Time,
}

impl DeletedMachines {
    /// Returns `true` if the machine was deleted.
    pub fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// Adds a deleted machine.
    fn insert(&mut self, machine: MachineId) {
        if self.machines.len() >= MAX_REMEMBERED {
            self.machines.clear();
        }
        self.machines.insert(machine);
    }
}

impl Controller {
    /// Requests deletion of the shard's machines that are marked for it, unless an earlier deletion is unanswered or
    /// has to be retried later.
    pub(in crate::coordination) fn delete_machines(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        if shard.fleet.next_deletion_at > now {
            return;
        }
        let running = shard.machines.iter().filter(|(_, machine)| machine.deleting).map(|(id, _)| id);
        let booting = shard.fleet.booting.iter().filter(|(_, machine)| machine.deleting).map(|(id, _)| id);
        let machines: Vec<MachineId> = running.chain(booting).take(MAX_MACHINES_PER_DELETION).cloned().collect();
        if machines.is_empty() || !self.cloud.take_call(now) {
            return;
        }
        shard.fleet.next_deletion_at = now + DELETION_TIMEOUT;
        let operation = CloudOperation::Delete { leadership: shard.leadership_term(), machines: machines.clone() };
        self.calls.send_to_cloud(CloudCall::Delete(machines), operation);
    }

    /// Handles the cloud's answer to a deletion.
    pub(in crate::coordination) fn deletion_answered(
        &mut self,
        leadership: LeadershipTerm,
        machines: Vec<MachineId>,
        answer: Result<CloudAnswer, CallError>,
    ) {
        let id = leadership.shard;
        let now = self.now;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        if !matches!(answer, Ok(CloudAnswer::Deleted)) {
            shard.fleet.next_deletion_at = now + DELETION_RETRY_INTERVAL;
            return;
        }
        shard.fleet.next_deletion_at = Time::ZERO;
        for machine in machines {
            self.machine_deleted(id, &machine);
        }
    }

    /// Removes a machine after the cloud has confirmed its deletion. All tasks that ran on it are gone.
    fn machine_deleted(&mut self, id: ShardId, machine: &MachineId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        log::info!("machine {machine}: the cloud confirmed its deletion; removing it from shard {id}");
        shard.fleet.booting.remove(machine);
        if shard.machines.contains_key(machine) {
            shard.remove_all_attempts(machine, now);
            self.remove_gone_machine(id, machine);
        }
    }

    /// Removes a machine that no longer exists from memory. Its record is removed later.
    pub(super) fn remove_gone_machine(&mut self, id: ShardId, machine: &MachineId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let Some(removed) = shard.remove_machine(machine, now) else { return };
        shard.fleet.stale_machine_records.insert(machine.clone(), removed.version);
        self.deleted_machines.insert(machine.clone());
        self.directory.forget_machine_shard(machine);
    }
}
