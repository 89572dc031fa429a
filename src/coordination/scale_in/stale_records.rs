//! Removal of records that are no longer needed: records of machines that are gone, and obsolete parts of the records
//! of dependencies.

use super::super::controller::Controller;
use super::super::dependencies::DependencyOperation;
use super::super::worker_heartbeats::MachineOperation;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::shard::Shard;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{MachineId, Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, Condition, StateCall};
use crate::storage::keys;
use crate::time::Span;

/// Maximum number of records removed at once while little else is written.
const MAX_REMOVALS_AT_ONCE: usize = 4;
/// Interval between two removals while other records are being written.
const REMOVAL_INTERVAL: Span = Span::millis(300);

impl Controller {
    /// Removes records that are no longer needed, a few at a time. If hundreds of machines were deleted at once and all
    /// their records removed together, most removals would be refused again and again, and all other writes along with
    /// them.
    pub(in crate::coordination) fn remove_stale_machine_records(&mut self, id: ShardId) {
        let now = self.now;
        let admits_background_write = self.calls.would_admit_background_write(now);
        let Some(leadership) = self.shards.get(&id).map(Shard::leadership_term) else { return };
        for _ in 0..if admits_background_write { MAX_REMOVALS_AT_ONCE } else { 1 } {
            let is_due =
                admits_background_write || now.since(self.deleted_machines.last_record_removal) >= REMOVAL_INTERVAL;
            if !is_due || !self.admits(TrafficClass::StaleRecord) || !self.remove_one_record(leadership) {
                return;
            }
            self.deleted_machines.last_record_removal = now;
        }
    }

    /// Sends the removal of one record. Returns `false` if there is none to be removed.
    fn remove_one_record(&mut self, leadership: LeadershipTerm) -> bool {
        let id = leadership.shard;
        let Some(shard) = self.shards.get_mut(&id) else { return false };
        if let Some((machine, version)) = shard.fleet.stale_machine_records.pop_first() {
            self.remove_machine_record(leadership, machine, version);
            return true;
        }
        // Not retried: an obsolete part that stays behind, for example after a failover, does no harm.
        let Some(key) = shard.waiting_jobs.take_obsolete_part() else { return false };
        let conditions = vec![leadership.condition()];
        let request = StateCall::Commit { conditions, changes: vec![Change::Delete(key)] };
        self.call_state(request, DependencyOperation::RemovePart);
        true
    }

    /// Sends the removal of a machine's record, conditional on the given version.
    fn remove_machine_record(&mut self, leadership: LeadershipTerm, machine: MachineId, version: Revision) {
        let key = keys::machine_key(&machine);
        let request = StateCall::Commit {
            conditions: vec![leadership.condition(), Condition::version(key.clone(), version)],
            changes: vec![Change::Delete(key)],
        };
        self.call_state(request, MachineOperation::RemoveRecord { leadership, machine, version });
    }

    /// Handles the answer to the removal of a machine's record. A removal that was not answered or was refused is sent
    /// again. If the first one was executed after all, the second fails on the version and is not repeated.
    pub(in crate::coordination) fn machine_record_removed(
        &mut self,
        leadership: LeadershipTerm,
        machine: MachineId,
        version: Revision,
        answer: StateResult,
    ) {
        if answer.is_err()
            && let Some(shard) = self.shard_in_term(leadership)
        {
            shard.fleet.stale_machine_records.insert(machine, version);
        }
    }
}
