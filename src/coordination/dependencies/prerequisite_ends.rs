//! Learning how prerequisites have ended.

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
    /// Notes how a job has ended that others may depend on. All shards of this node take it into account; the leaders
    /// of other shards find it in the records.
    pub(in crate::coordination) fn prerequisite_ended(&mut self, id: &JobId, state: FinalState) {
        let mut shards_with_due = Vec::new();
        for shard in self.shards.values_mut() {
            shard.dependencies.record_end(id, state);
            if shard.dependencies.has_due() && shard.is_active() {
                shards_with_due.push(shard.id);
            }
        }
        for shard in shards_with_due {
            self.write_due_records(shard);
        }
    }

    /// Finds out how prerequisites have ended that are not in the memory of the shard.
    pub(super) fn find_prerequisite_ends(&mut self, shard_id: ShardId) {
        let now = self.now;
        self.use_known_ends(shard_id);
        if !self.admits(TrafficClass::BackgroundRead) {
            return;
        }
        if let Some(first) = self.shards.get_mut(&shard_id).and_then(|shard| shard.dependencies.begin_scan(now)) {
            self.list_final_records(shard_id, &first);
        }
    }

    /// Applies the ends of prerequisites that this node has learned of in another way.
    fn use_known_ends(&mut self, shard_id: ShardId) {
        let Some(shard) = self.shards.get(&shard_id) else { return };
        let has_ended = |id: &&JobId| self.directory.has_ended(id);
        let ended: Vec<JobId> = shard.dependencies.unknown_prerequisites().filter(has_ended).cloned().collect();
        for id in ended {
            if let Some(state) = self.directory.end_of(&id).map(|end| end.state) {
                self.prerequisite_ended(&id, state);
            }
        }
    }

    /// Lists final records from that of the given job on.
    fn list_final_records(&mut self, shard_id: ShardId, from: &JobId) {
        let Some(leadership) = self.shards.get(&shard_id).map(Shard::leadership_term) else { return };
        let after = Some(last_key_before(from));
        let request = StateCall::List { prefix: keys::ENDS, after };
        self.call_state(request, DependencyOperation::ListFinalRecords { leadership });
    }

    /// Handles a page of final records.
    pub(super) fn final_records_listed(&mut self, leadership: LeadershipTerm, answer: StateResult) {
        let shard_id = leadership.shard;
        let now = self.now;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        let Ok(StateAnswer::Page { entries, more, .. }) = answer else {
            return shard.dependencies.scan_failed(now);
        };
        let page = shard.dependencies.page_listed(&entries, more, now);
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

/// A key after which a list begins with the final record of the given job: the job's own key without its last
/// character. No other key lies in between, since no job's id is the beginning of another's but for the last digit.
fn last_key_before(job: &JobId) -> String {
    let mut key = keys::end_key(job);
    key.pop();
    key
}
