//! Ends of prerequisites: applying them to the dependents, and finding those of prerequisites that are not in memory.

use super::super::controller::Controller;
use super::operations::DependencyOperation;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::shard::Shard;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{FinalState, JobId, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{StateAnswer, StateCall};
use crate::storage::keys;

impl Controller {
    /// Applies the durable end of a job to its dependents in all shards of this node. Leaders of other shards find the
    /// end in the records.
    pub(in crate::coordination) fn prerequisite_ended(&mut self, id: &JobId, state: FinalState) {
        let mut shards_with_due = Vec::new();
        for shard in self.shards.values_mut() {
            shard.waiting_jobs.record_end(id, state);
            if shard.waiting_jobs.has_due_records() && shard.is_active() {
                shards_with_due.push(shard.id);
            }
        }
        for shard in shards_with_due {
            self.write_due_records(shard);
        }
    }

    /// Looks for the ends of prerequisites that are not in the memory of the shard: first in the cache of this node and
    /// then, if the rate limits admit it, in the records.
    pub(super) fn find_prerequisite_ends(&mut self, shard_id: ShardId) {
        let now = self.now;
        self.use_known_ends(shard_id);
        if !self.admits(TrafficClass::BackgroundRead) {
            return;
        }
        if let Some(first) = self.shards.get_mut(&shard_id).and_then(|shard| shard.waiting_jobs.begin_scan(now)) {
            self.list_final_records(shard_id, &first);
        }
    }

    /// Applies the ends of unknown prerequisites that are cached on this node.
    fn use_known_ends(&mut self, shard_id: ShardId) {
        let Some(shard) = self.shards.get(&shard_id) else { return };
        let has_ended = |id: &&JobId| self.directory.has_ended(id);
        let ended: Vec<JobId> = shard.waiting_jobs.unknown_prerequisites().filter(has_ended).cloned().collect();
        for id in ended {
            if let Some(state) = self.directory.end_of(&id).map(|end| end.state) {
                self.prerequisite_ended(&id, state);
            }
        }
    }

    /// Lists final records, beginning with that of the given job.
    fn list_final_records(&mut self, shard_id: ShardId, from: &JobId) {
        let Some(leadership) = self.shards.get(&shard_id).map(Shard::leadership_term) else { return };
        let after = Some(last_key_before(from));
        let request = StateCall::List { prefix: keys::FINALS, after };
        self.call_state(request, DependencyOperation::ListFinalRecords { leadership });
    }

    /// Handles the answer to the listing of a page of final records.
    pub(super) fn final_records_listed(&mut self, leadership: LeadershipTerm, answer: StateResult) {
        let shard_id = leadership.shard;
        let now = self.now;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        let Ok(StateAnswer::Page { entries, more, .. }) = answer else {
            return shard.waiting_jobs.scan_failed(now);
        };
        let page = shard.waiting_jobs.page_listed(&entries, more, now);
        for prerequisite in page.ended {
            let state = prerequisite.end.state;
            self.directory.record_end(prerequisite.job.clone(), prerequisite.end);
            self.prerequisite_ended(&prerequisite.job, state);
        }
        if let Some(next) = page.next {
            self.admit_next_step(TrafficClass::BackgroundRead);
            self.list_final_records(shard_id, &next);
        }
    }
}

/// Returns a key after which a listing reaches the final record of the given job: the key of that record without its
/// last character. Among job ids of the same length, only those that differ in the last digit can come first.
fn last_key_before(job: &JobId) -> String {
    let mut key = keys::final_key(job);
    key.pop();
    key
}
