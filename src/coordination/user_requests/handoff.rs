//! Hand-off of jobs: adopting jobs that another controller accepted for a shard led by this node.

use super::super::controller::Controller;
use super::super::job_record_reads::{JobRecordAnswer, JobRecordKind};
use super::adoption::{AdoptionOutcome, AdoptionSource};
use super::operations::{HandoffRecord, UserOperation};
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, Condition, StateCall};
use crate::storage::keys;
use crate::time::Time;

impl Controller {
    /// Begins to adopt the job of a hand-off record if this node leads its shard, or to remove the record if the job is
    /// in memory or known to have ended. Does nothing if the leadership is not in force or the rate limits admit no
    /// call: the record is processed when it is next seen. Keys of other records are ignored.
    pub(in crate::coordination) fn handoff_seen(&mut self, key: &str, version: Revision) {
        let Some((shard_id, job)) = keys::parse_handoff(key) else { return };
        let Some(shard) = self.shards.get(&shard_id).filter(|shard| shard.is_active()) else { return };
        let leadership = shard.leadership_term();
        let is_known = shard.contains_job(&job) || self.directory.has_ended(&job);
        if !self.may_decide(shard_id)
            || self.user_requests.is_handoff_in_flight(key)
            || !self.admits(TrafficClass::Adoption)
        {
            return;
        }
        self.user_requests.begin_handoff(key);
        let handoff = HandoffRecord { key: key.to_string(), version };
        if is_known {
            return self.remove_handoff(leadership, handoff);
        }
        let operation = UserOperation::ReadHandoff { leadership, handoff, sent_at: self.now };
        self.call_state(JobRecordKind::Live.request(&job), operation);
    }

    /// Handles the answer to the read of a handed-off job's live record that was sent at `sent_at`.
    pub(super) fn handoff_read(
        &mut self,
        leadership: LeadershipTerm,
        handoff: HandoffRecord,
        sent_at: Time,
        answer: StateResult,
    ) {
        let shard_id = leadership.shard;
        if self.shard_in_term(leadership).is_none() {
            return self.user_requests.finish_handoff(&handoff.key);
        }
        match self.adopt_handed_off(shard_id, sent_at, answer) {
            AdoptionOutcome::Settled => {
                self.admit_next_step(TrafficClass::Adoption);
                self.remove_handoff(leadership, handoff);
            }
            // The hand-off record remains and is processed when it is next seen.
            AdoptionOutcome::Retry => self.user_requests.finish_handoff(&handoff.key),
        }
    }

    /// Adopts the job if its live record was read and belongs to the shard.
    fn adopt_handed_off(&mut self, shard_id: ShardId, sent_at: Time, answer: StateResult) -> AdoptionOutcome {
        match JobRecordKind::Live.interpret(answer) {
            JobRecordAnswer::Live(found) if found.record.deciding_shard() == shard_id => {
                self.adopt_from_record(shard_id, *found, sent_at, AdoptionSource::Handoff)
            }
            JobRecordAnswer::Unanswered => AdoptionOutcome::Retry,
            // The job has ended, belongs to another shard, or has no readable record: there is nothing to adopt.
            _ => AdoptionOutcome::Settled,
        }
    }

    /// Removes a hand-off record that is no longer needed.
    fn remove_handoff(&mut self, leadership: LeadershipTerm, handoff: HandoffRecord) {
        let HandoffRecord { key, version } = handoff;
        let conditions = vec![leadership.condition(), Condition::version(key.clone(), version)];
        let request = StateCall::Commit { conditions, changes: vec![Change::Delete(key.clone())] };
        // A failure needs no handling: a hand-off record that still exists is processed when it is next seen.
        self.call_state(request, UserOperation::RemoveHandoff { handoff: key });
    }
}
