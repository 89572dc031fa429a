//! Writes of the final records of jobs, and removal of the jobs from memory once these are durable.

use super::JobRecordOperation;
use crate::coordination::controller::Controller;
use crate::coordination::dependencies::final_record_request;
use crate::coordination::final_write::WriteOutcome;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{FinalState, JobId, ShardId};
use crate::protocol::CallError;
use crate::protocol::state::{StateAnswer, StateResult};
use crate::storage::records::FinalRecord;

/// Result of a request to write a final record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::coordination) enum FinalRecordWrite {
    /// The write was sent.
    Sent,
    /// The job has no final record to write, or the write has to wait for another call or for the end of an overlap.
    NotDue,
    /// The rate limits of the state service do not admit the write now.
    NotAdmitted,
}

impl Controller {
    /// Starts to write the final record of each job whose tasks are all done.
    pub(in crate::coordination) fn finish_jobs(&mut self, shard_id: ShardId) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let mut ready = Vec::new();
        for id in std::mem::take(&mut shard.finished) {
            let Some(job) = shard.jobs.get_mut(&id) else { continue };
            if job.ending.is_none() {
                job.ending = Some(FinalState::Done);
                ready.push(id);
            }
        }
        self.write_final_records(shard_id, ready);
    }

    /// Writes final records as far as the rate limits allow, ahead of any progress. Later ticks continue with the rest.
    ///
    /// Without the limit, if many small jobs ended at once, the state service would refuse most of the writes again and
    /// again, and all other calls along with them.
    pub(super) fn write_final_records(&mut self, shard_id: ShardId, ready: Vec<JobId>) {
        let now = self.now;
        for id in ready {
            if self.write_final_record(shard_id, &id) == FinalRecordWrite::NotAdmitted {
                return;
            }
            if let Some(job) = self.job_mut(shard_id, &id) {
                job.record.last_call_at = now;
            }
        }
    }

    /// Writes the final record of a job that is ending, unless the write has to wait. A write that is not admitted is
    /// retried by a later tick.
    pub(in crate::coordination) fn write_final_record(&mut self, shard_id: ShardId, id: &JobId) -> FinalRecordWrite {
        let Some(state) = self.final_state_to_write(shard_id, id) else { return FinalRecordWrite::NotDue };
        if !self.admits(TrafficClass::FinalRecord) {
            return FinalRecordWrite::NotAdmitted;
        }
        self.send_final_record(shard_id, id, state);
        FinalRecordWrite::Sent
    }

    /// Returns the final state of a job that may be recorded now. `None` if the job is not ending, this node may not
    /// decide, another call for the record is in flight or in doubt, or a deposed leader may contradict the final
    /// state.
    fn final_state_to_write(&self, shard_id: ShardId, id: &JobId) -> Option<FinalState> {
        if !self.may_decide(shard_id) {
            return None;
        }
        let now = self.now;
        let shard = self.shards.get(&shard_id)?;
        let job = shard.jobs.get(id)?;
        let state = job.ending?;
        // A deposed leader that does not know yet that it was replaced may still report an earlier state to users.
        let overlaps = shard.leadership.overlap.as_ref().is_some_and(|overlap| match state {
            FinalState::Done => !overlap.may_record_done(now),
            FinalState::Cancelled => !overlap.may_record_cancelled(now),
        });
        let may_write = !job.record.call_in_flight && !job.record.outcome_unknown && !overlaps;
        may_write.then_some(state)
    }

    fn send_final_record(&mut self, shard_id: ShardId, id: &JobId, state: FinalState) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let leadership = shard.leadership_term();
        let Some(job) = shard.jobs.get_mut(id) else { return };
        job.record.call_in_flight = true;
        job.record.write_refused = false;
        job.record.final_write.sent(state);
        let end = FinalRecord { state, done: job.progress.done.len(), cause: None };
        let request = final_record_request(leadership, id, job.record.version, &end);
        self.call_for_job(leadership, id, request, JobRecordOperation::WriteFinal(state));
    }

    pub(super) fn final_write_answered(
        &mut self,
        shard_id: ShardId,
        id: &JobId,
        state: FinalState,
        answer: StateResult,
    ) {
        match answer {
            Ok(StateAnswer::Committed(_)) => self.job_ended(shard_id, id, state),
            Err(CallError::Refused { .. }) => self.job_write_refused(shard_id, id),
            _ => self.final_write_unanswered(shard_id, id),
        }
    }

    /// Handles a write of a final record that had no conclusive answer and may still be executed.
    fn final_write_unanswered(&mut self, shard_id: ShardId, id: &JobId) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let leadership = shard.leadership_term();
        if let Some(job) = shard.jobs.get_mut(id) {
            job.record.final_write.unanswered(id, leadership);
        }
        self.job_call_unanswered(shard_id, id);
    }

    /// Handles the end of a job whose final record is durable: the end may be reported to users from now on, the job is
    /// removed from memory, and its remaining attempts are stopped.
    pub(super) fn job_ended(&mut self, shard_id: ShardId, id: &JobId, state: FinalState) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        shard.record_interruptions(id);
        self.learn_run_times(shard_id);
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let Some(mut job) = shard.jobs.remove(id) else { return };
        job.record.final_write.settled(id, WriteOutcome::Recorded);
        shard.stop_attempts_of(id);
        log::info!("job {id}: final state {state:?} is recorded; stopping its remaining attempts");
        self.judge_promise(shard_id, id, state);
        self.directory.forget_job_shard(id);
        self.directory.record_end(id.clone(), FinalRecord { state, done: job.progress.done.len(), cause: None });
        self.prerequisite_ended(id, state);
        for requester in job.cancel_requesters {
            self.cancel(requester, id.clone());
        }
    }
}
