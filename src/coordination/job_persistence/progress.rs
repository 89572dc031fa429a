//! Writes of the progress of live jobs.

use super::JobRecordOperation;
use crate::coordination::controller::Controller;
use crate::coordination::shard::{Job, RecordSize, RecordedProgress};
use crate::coordination::state_admission::TrafficClass;
use crate::model::{JobId, Revision, ShardId};
use crate::protocol::CallError;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall, StateResult};
use crate::storage::keys;
use crate::storage::range_set::RangeSet;
use crate::storage::records::{LiveRecord, to_value};

/// Status with which the state service rejects a value that is too large.
const STATUS_TOO_LARGE: u16 = 400;

/// Number of bytes that a record leaves free when the ranges of completed tasks fill it.
const RECORD_SIZE_MARGIN: usize = 16;

/// Returns the live record of a job without its completed tasks.
fn live_record(shard: ShardId, job: &Job) -> LiveRecord {
    LiveRecord {
        shard,
        home_shard: None,
        parts: 0,
        job: job.spec.clone(),
        accepted_ms: job.accepted_ms,
        ready_ms: (job.ready_ms != job.accepted_ms).then_some(job.ready_ms),
        done: String::new(),
        start_watermark: job.wanted_start_watermark(),
        fails_everywhere: job.failures.fails_everywhere,
    }
}

/// Returns the completed tasks that the record of a job can name: those whose ranges fit into `max_value_bytes`
/// together with `base_bytes` other bytes. No completion is lost if a task is left out, since the workers keep
/// reporting completed tasks until these are recorded.
fn recorded_tasks(job: &Job, base_bytes: usize, max_value_bytes: usize) -> RangeSet {
    match job.record.size {
        RecordSize::Fits => {
            job.progress.done.truncated_to_bytes(max_value_bytes.saturating_sub(base_bytes + RECORD_SIZE_MARGIN))
        }
        RecordSize::TooLargeWithRanges | RecordSize::TooLarge => RangeSet::new(),
    }
}

impl Controller {
    pub(super) fn write_progress_of(&mut self, shard_id: ShardId, ids: Vec<JobId>) {
        for id in ids {
            if !self.admits(TrafficClass::Progress) {
                return;
            }
            self.write_progress(shard_id, &id);
        }
    }

    fn write_progress(&mut self, shard_id: ShardId, id: &JobId) {
        let (now, max_value_bytes) = (self.now, self.settings.max_value_bytes);
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let leadership = shard.leadership_term();
        let Some(job) = shard.jobs.get_mut(id) else { return };
        let mut record = live_record(shard_id, job);
        let base_bytes = to_value(&record).to_string().len();
        if base_bytes > max_value_bytes {
            // The record was written when the state service accepted larger values, and can't be rewritten now.
            log::error!(
                "job {id}: record has {base_bytes} bytes without its completed tasks, more than the limit of \
                 {max_value_bytes} bytes; no longer writing its progress"
            );
            job.record.size = RecordSize::TooLarge;
            return;
        }
        let done = recorded_tasks(job, base_bytes, max_value_bytes);
        record.done = done.to_string();
        job.record.call_sent(now);
        let progress = RecordedProgress {
            done,
            done_count: job.progress.done.len(),
            start_watermark: record.start_watermark,
            fails_everywhere: record.fails_everywhere,
        };
        let key = keys::live_key(id);
        let request = StateCall::Commit {
            conditions: vec![leadership.condition(), Condition::version(key.clone(), job.record.version)],
            changes: vec![Change::Put { key, value: to_value(&record), lease: None }],
        };
        self.call_for_job(leadership, id, request, JobRecordOperation::WriteProgress(progress));
    }

    pub(super) fn progress_answered(
        &mut self,
        shard_id: ShardId,
        id: &JobId,
        progress: RecordedProgress,
        answer: StateResult,
    ) {
        match answer {
            Ok(StateAnswer::Committed(version)) => self.progress_recorded(shard_id, id, progress, version),
            Err(CallError::Unexpected(STATUS_TOO_LARGE)) => self.record_too_large(shard_id, id),
            Err(CallError::Refused { .. }) => return self.job_write_refused(shard_id, id),
            _ => return self.job_call_unanswered(shard_id, id),
        }
        self.write_final_record(shard_id, id);
    }

    fn progress_recorded(&mut self, shard_id: ShardId, id: &JobId, progress: RecordedProgress, version: Revision) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let Some(job) = shard.jobs.get_mut(id) else { return };
        if job.record.progress_written(id, progress, version) {
            shard.queue.invalidate();
        }
    }

    fn record_too_large(&mut self, shard_id: ShardId, id: &JobId) {
        let Some(job) = self.job_mut(shard_id, id) else { return };
        job.record.size = job.record.size.after_refusal();
        if job.record.size == RecordSize::TooLarge {
            log::error!("job {id}: record was refused for its size; no longer writing its progress");
        } else {
            log::error!("job {id}: record was refused for its size; leaving out its completed tasks");
        }
    }
}
