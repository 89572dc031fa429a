//! Writes the records of jobs to the state service: progress periodically, final records as soon as they are due.

mod end_of_job;
mod progress;
mod unknown_outcome;

use super::controller::Controller;
use super::leadership_term::LeadershipTerm;
use super::shard::{Job, RecordedProgress};
use super::state_admission::TrafficClass;
use crate::model::{FinalState, JobId, ShardId};
use crate::protocol::state::{StateCall, StateResult};
use crate::protocol::{BusyReason, Reply};
use crate::time::{Span, Time};

/// Kind of a call to the state service that concerns the record of a job.
pub(super) enum JobRecordOperation {
    /// Writes the progress of a live job.
    WriteProgress(RecordedProgress),
    /// Replaces the live record with the final record of this state.
    WriteFinal(FinalState),
    /// Reads the live record, since the outcome of a call is in doubt or the record is not as expected.
    ReadLive,
    /// Reads the final record, since the live record no longer exists.
    ReadFinal,
}

/// Call to the state service that concerns the record of one job.
pub(super) struct JobOperation {
    /// Shard of the job, and the leadership term in which the call was sent.
    pub leadership: LeadershipTerm,
    /// Job that the record belongs to.
    pub job: JobId,
    /// Kind of the call, with the values that its answer confirms.
    pub operation: JobRecordOperation,
}

impl JobOperation {
    /// Returns the traffic class under which the call is admitted.
    pub fn traffic_class(&self) -> TrafficClass {
        match self.operation {
            JobRecordOperation::WriteProgress(_) => TrafficClass::Progress,
            JobRecordOperation::WriteFinal(_) | JobRecordOperation::ReadLive | JobRecordOperation::ReadFinal => {
                TrafficClass::FinalRecord
            }
        }
    }
}

/// Jobs of a shard whose records have to be read or written. Each list is in the order in which the calls are sent.
struct DueRecords {
    /// Jobs whose record has to be read again, since the outcome of a call is in doubt or the record is not as
    /// expected.
    in_doubt: Vec<JobId>,
    /// Jobs whose final record has to be written.
    ending: Vec<JobId>,
    /// Jobs with unrecorded progress. Those that can't start tasks before the write come first.
    progressed: Vec<JobId>,
}

impl DueRecords {
    fn of<'a>(jobs: impl Iterator<Item = &'a Job>, interval: Span, now: Time) -> DueRecords {
        let (mut in_doubt, mut ending, mut progressed) = (Vec::new(), Vec::new(), Vec::new());
        for job in jobs.filter(|job| !job.record.must_wait(job.ending.is_some(), interval, now)) {
            let id = job.spec.id.clone();
            if job.record.outcome_unknown {
                in_doubt.push(id);
            } else if job.ending.is_some() {
                ending.push((&job.order, id));
            } else if job.has_unrecorded_progress() {
                progressed.push((!job.is_held_back_by_record(), job.record.last_call_at, id));
            }
        }
        in_doubt.sort();
        ending.sort();
        progressed.sort();
        DueRecords {
            in_doubt,
            ending: ending.into_iter().map(|(_, id)| id).collect(),
            progressed: progressed.into_iter().map(|(_, _, id)| id).collect(),
        }
    }
}

impl Controller {
    /// Reads and writes the job records that are due, as far as the rate limits allow.
    pub(super) fn persistence_tick(&mut self) {
        for shard_id in self.decidable_shards() {
            let Some(shard) = self.shards.get(&shard_id) else { continue };
            let due = DueRecords::of(shard.jobs.values(), self.settings.properties.progress_interval, self.now);
            self.read_records(shard_id, due.in_doubt);
            self.dependencies_tick(shard_id);
            self.write_final_records(shard_id, due.ending);
            self.remove_stale_machine_records(shard_id);
            self.write_progress_of(shard_id, due.progressed);
        }
    }

    fn call_for_job(
        &mut self,
        leadership: LeadershipTerm,
        job: &JobId,
        request: StateCall,
        operation: JobRecordOperation,
    ) {
        self.call_state(request, JobOperation { leadership, job: job.clone(), operation });
    }

    /// Handles the answer to a call that concerns the record of a job. Steps down if the answer shows a newer term.
    pub(super) fn job_record_answered(&mut self, call: JobOperation, answer: StateResult) {
        let JobOperation { leadership, job: id, operation } = call;
        let shard_id = leadership.shard;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        let Some(job) = shard.jobs.get_mut(&id) else { return };
        job.record.call_in_flight = false;
        if self.step_down_on_conflict(shard_id, &answer) {
            return;
        }
        match operation {
            JobRecordOperation::WriteProgress(progress) => self.progress_answered(shard_id, &id, progress, answer),
            JobRecordOperation::WriteFinal(state) => self.final_write_answered(shard_id, &id, state, answer),
            JobRecordOperation::ReadLive => self.live_record_answered(leadership, &id, answer),
            JobRecordOperation::ReadFinal => self.final_read_answered(shard_id, &id, answer),
        }
    }

    /// Handles the refusal of a write of a job's record. A refused write was not executed and is retried in a later
    /// tick. If the job is ending, its cancellation requesters get a busy reply.
    fn job_write_refused(&mut self, shard_id: ShardId, id: &JobId) {
        let Some(job) = self.job_mut(shard_id, id) else { return };
        job.record.write_refused = true;
        job.record.final_write.refused();
        if job.ending.is_none() {
            return;
        }
        let requesters = std::mem::take(&mut job.cancel_requesters);
        self.reply_to_all(requesters, Reply::busy(BusyReason::StateUnreachable));
    }

    /// Handles a call for a job's record that had no conclusive answer, or whose answer shows that the record is not as
    /// expected: the record has to be read again, and the cancellation requesters of the job get a busy reply.
    fn job_call_unanswered(&mut self, shard_id: ShardId, id: &JobId) {
        let Some(job) = self.job_mut(shard_id, id) else { return };
        job.record.outcome_unknown = true;
        let requesters = std::mem::take(&mut job.cancel_requesters);
        self.reply_to_all(requesters, Reply::busy(BusyReason::StateUnreachable));
    }

    fn job_mut(&mut self, shard_id: ShardId, id: &JobId) -> Option<&mut Job> {
        self.shards.get_mut(&shard_id).and_then(|shard| shard.jobs.get_mut(id))
    }
}
