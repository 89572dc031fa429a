//! Writing and reading the records of waiting jobs.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::job_record_reads::{JobRecordAnswer, JobRecordKind, VersionedRecord};
use super::super::waiting_jobs::{RecordStep, WaitingJob, WriteUrgency};
use super::final_record::{cancelled_before_start, final_record_request};
use super::operations::{DependencyOperation, WaitingRecordOperation};
use crate::coordination::final_write::WriteOutcome;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{JobId, Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall};
use crate::protocol::{BusyReason, CallError, Reply};
use crate::storage::keys;
use crate::storage::records::{FinalRecord, to_value};

impl Controller {
    /// Writes or reads the due records of waiting jobs, as far as the rate limits allow.
    pub(super) fn write_due_records(&mut self, shard_id: ShardId) {
        self.update_urgencies(shard_id);
        let (now, retry_pause) = (self.now, self.settings.properties.progress_interval);
        let Some(shard) = self.shards.get(&shard_id).filter(|shard| shard.waiting_jobs.has_due_records()) else {
            return;
        };
        for id in shard.waiting_jobs.jobs_with_due_records(now, retry_pause) {
            let Some(shard) = self.shards.get(&shard_id) else { return };
            let Some(urgency) = shard.waiting_jobs.write_urgency(&id) else { continue };
            if !self.limits_allow_write(urgency) {
                return;
            }
            self.perform_record_step(shard_id, &id);
        }
    }

    /// Returns `true` if the rate limits admit a write. Deferrable writes are admitted under the class of background
    /// writes, so that they do not delay other calls.
    fn limits_allow_write(&mut self, urgency: WriteUrgency) -> bool {
        self.admits(match urgency {
            WriteUrgency::Awaited => TrafficClass::FinalRecord,
            WriteUrgency::Deferrable => TrafficClass::BackgroundWrite,
        })
    }

    /// Performs the next step for the record of a waiting job: writes it, or reads it if the outcome of a write is
    /// unknown.
    pub(super) fn perform_record_step(&mut self, shard_id: ShardId, id: &JobId) {
        if !self.may_decide(shard_id) {
            return;
        }
        let Some(step) = self.shards.get(&shard_id).and_then(|shard| shard.waiting_jobs.next_step(id)) else { return };
        match step {
            RecordStep::Read => {
                let request = JobRecordKind::Live.request(id);
                self.call_for_waiting_job(shard_id, id, request, WaitingRecordOperation::ReadLive);
            }
            RecordStep::End { cause } => self.write_cancellation(shard_id, id, cause),
            RecordStep::Release => self.write_release(shard_id, id),
            RecordStep::Wait => {
                if let Some(shard) = self.shards.get_mut(&shard_id) {
                    shard.waiting_jobs.clear_record_due(id);
                }
            }
        }
    }

    /// Writes the final record of a job that is cancelled by its user, or withdrawn because its direct or indirect
    /// prerequisite `cause` was cancelled. Writes nothing while a leadership overlap does not yet allow cancellations
    /// to be recorded.
    fn write_cancellation(&mut self, shard_id: ShardId, id: &JobId, cause: Option<JobId>) {
        let now = self.now;
        let Some(shard) = self.shards.get(&shard_id) else { return };
        let Some(job) = shard.waiting_jobs.waiting_job(id) else { return };
        if !shard.may_record_cancellations(now) {
            return;
        }
        let end = cancelled_before_start(cause);
        let request = final_record_request(shard.leadership_term(), id, job.version(), &end);
        if let Some(job) = self.waiting_job_mut(shard_id, id) {
            job.final_write_mut().sent(end.state);
        }
        self.call_for_waiting_job(shard_id, id, request, WaitingRecordOperation::End(end));
    }

    /// Releases a job all of whose prerequisites are done, by writing the record of a runnable job.
    fn write_release(&mut self, shard_id: ShardId, id: &JobId) {
        let Some(shard) = self.shards.get(&shard_id) else { return };
        let Some(job) = shard.waiting_jobs.waiting_job(id) else { return };
        let record = job.released_record(shard_id, self.wall_clock_ms);
        let key = keys::live_key(id);
        let request = StateCall::Commit {
            conditions: vec![shard.leadership_term().condition(), Condition::version(key.clone(), job.version())],
            changes: vec![Change::Put { key, value: to_value(&record), lease: None }],
        };
        self.call_for_waiting_job(shard_id, id, request, WaitingRecordOperation::Release(Box::new(record)));
    }

    /// Sends a read or write of a waiting job's record.
    fn call_for_waiting_job(
        &mut self,
        shard_id: ShardId,
        id: &JobId,
        request: StateCall,
        operation: WaitingRecordOperation,
    ) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let Some(job) = shard.waiting_jobs.waiting_job_mut(id) else { return };
        job.call_sent();
        let leadership = shard.leadership_term();
        self.call_state(request, DependencyOperation::WaitingJob { leadership, job: id.clone(), operation });
    }

    /// Handles the answer to a read or write of a waiting job's record.
    pub(super) fn waiting_record_answered(
        &mut self,
        leadership: LeadershipTerm,
        id: JobId,
        operation: WaitingRecordOperation,
        answer: StateResult,
    ) {
        let shard_id = leadership.shard;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        let Some(job) = shard.waiting_jobs.waiting_job_mut(&id) else { return };
        job.call_answered();
        if self.step_down_on_conflict(shard_id, &answer) {
            return;
        }
        match (operation, answer) {
            (WaitingRecordOperation::ReadLive, answer) => self.waiting_record_read(shard_id, &id, answer),
            (WaitingRecordOperation::ReadFinal, answer) => self.waiting_final_record_read(shard_id, &id, answer),
            (WaitingRecordOperation::Release(record), Ok(StateAnswer::Committed(version))) => {
                self.job_released(shard_id, VersionedRecord { record: *record, version });
            }
            (WaitingRecordOperation::End(end), Ok(StateAnswer::Committed(_))) => {
                self.waiting_job_ended(shard_id, &id, end);
            }
            (_, Err(CallError::Refused { .. })) => self.waiting_write_refused(shard_id, &id),
            (WaitingRecordOperation::Release(_), _) => self.waiting_outcome_unknown(shard_id, &id),
            (WaitingRecordOperation::End(_), _) => self.waiting_final_write_unanswered(shard_id, &id),
        }
    }

    /// Handles the answer to a read of the live record.
    fn waiting_record_read(&mut self, shard_id: ShardId, id: &JobId, answer: StateResult) {
        match JobRecordKind::Live.interpret(answer) {
            JobRecordAnswer::Live(found) if found.record.is_waiting() => {
                self.job_still_waits(shard_id, id, found.version);
            }
            // The release was written, but its answer was lost. None of the job's tasks has been started.
            JobRecordAnswer::Live(found) => self.job_released(shard_id, *found),
            JobRecordAnswer::NotLive => {
                let request = JobRecordKind::Final.request(id);
                self.call_for_waiting_job(shard_id, id, request, WaitingRecordOperation::ReadFinal);
            }
            JobRecordAnswer::Unreadable(error) => {
                log::error!("live record of waiting job {id} can't be parsed, reading it again after a pause: {error}");
                self.waiting_call_failed(shard_id, id);
            }
            _ => self.waiting_outcome_unknown(shard_id, id),
        }
    }

    /// Handles the answer to a read of the final record, which follows when there is no live record.
    fn waiting_final_record_read(&mut self, shard_id: ShardId, id: &JobId, answer: StateResult) {
        match JobRecordKind::Final.interpret(answer) {
            JobRecordAnswer::Final(end) => self.waiting_job_ended(shard_id, id, end),
            JobRecordAnswer::Unreadable(_) => self.waiting_call_failed(shard_id, id),
            _ => self.waiting_outcome_unknown(shard_id, id),
        }
    }

    /// Handles a live record that was read after a write without an answer and still shows a waiting job.
    fn job_still_waits(&mut self, shard_id: ShardId, id: &JobId, version: Revision) {
        if let Some(job) = self.waiting_job_mut(shard_id, id) {
            job.live_record_read(version);
        }
    }

    /// Schedules another read of a record that exists but cannot be parsed. The read is sent after a pause.
    fn waiting_call_failed(&mut self, shard_id: ShardId, id: &JobId) {
        let now = self.now;
        if let Some(job) = self.waiting_job_mut(shard_id, id) {
            job.call_failed(now);
        }
    }

    /// Handles a write that was refused and therefore not executed.
    fn waiting_write_refused(&mut self, shard_id: ShardId, id: &JobId) {
        let now = self.now;
        let Some(job) = self.waiting_job_mut(shard_id, id) else { return };
        job.call_failed(now);
        job.final_write_mut().refused();
        let requesters = job.take_cancel_requesters();
        self.ask_to_retry(requesters);
    }

    /// Handles a write of the final record that had no conclusive answer and may still be executed.
    fn waiting_final_write_unanswered(&mut self, shard_id: ShardId, id: &JobId) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let leadership = shard.leadership_term();
        if let Some(job) = shard.waiting_jobs.waiting_job_mut(id) {
            job.final_write_mut().unanswered(id, leadership);
        }
        self.waiting_outcome_unknown(shard_id, id);
    }

    /// Schedules a read of a record whose state is unknown.
    fn waiting_outcome_unknown(&mut self, shard_id: ShardId, id: &JobId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let Some(job) = shard.waiting_jobs.waiting_job_mut(id) else { return };
        job.mark_outcome_unknown(now);
        let requesters = job.take_cancel_requesters();
        shard.waiting_jobs.mark_record_due(id.clone());
        self.ask_to_retry(requesters);
    }

    fn waiting_job_mut(&mut self, shard_id: ShardId, id: &JobId) -> Option<&mut WaitingJob> {
        self.shards.get_mut(&shard_id).and_then(|shard| shard.waiting_jobs.waiting_job_mut(id))
    }

    /// Replies "busy" to requesters whose cancellations could not be confirmed, so that they retry.
    fn ask_to_retry(&mut self, requesters: Vec<Requester>) {
        self.reply_to_all(requesters, Reply::busy(BusyReason::StateUnreachable));
    }

    /// Handles the durable release of a job: the job no longer waits and joins the shard's queue.
    fn job_released(&mut self, shard_id: ShardId, released: VersionedRecord) {
        let now = self.now;
        let VersionedRecord { record, version } = released;
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let id = record.job.id.clone();
        let waiting = shard.waiting_jobs.remove_waiting_job(&id);
        shard.accept_job(record, version, now);
        self.apply_inherited_urgencies(shard_id);
        let Some(mut waiting) = waiting else { return };
        if waiting.is_cancel_requested() {
            // The user has asked to cancel the job while the release was being written.
            for requester in waiting.take_cancel_requesters() {
                self.cancel_as_leader(requester, shard_id, id.clone());
            }
        }
    }

    /// Handles the durable end of a waiting job.
    fn waiting_job_ended(&mut self, shard_id: ShardId, id: &JobId, end: FinalRecord) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let mut waiting = shard.waiting_jobs.remove_waiting_job(id);
        if let Some(job) = &mut waiting {
            job.final_write_mut().settled(id, WriteOutcome::Recorded);
        }
        log::info!("waiting job {id} ended as {:?} before any of its tasks was started", end.state);
        let state = end.state;
        self.directory.forget_job_shard(id);
        self.directory.record_end(id.clone(), end);
        self.prerequisite_ended(id, state);
        for requester in waiting.into_iter().flat_map(|mut waiting| waiting.take_cancel_requesters()) {
            self.cancel(requester, id.clone());
        }
    }
}
