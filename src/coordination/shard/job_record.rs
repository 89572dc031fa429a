//! State of a queued or running job's record in the state service, as far as the leader knows it.

use super::super::final_write::{FinalWrite, WriteOutcome};
use crate::model::{JobId, Revision};
use crate::storage::range_set::RangeSet;
use crate::storage::records::LiveRecord;
use crate::time::{Span, Time};

/// State of a job's record in the state service, as far as the leader knows it.
pub(in crate::coordination) struct JobRecordState {
    /// Version of the record.
    pub version: Revision,
    /// Completed tasks that the record names.
    pub recorded_tasks: RangeSet,
    /// Number of tasks that had completed when the record was last written. May exceed the number of tasks that the
    /// record names, since the size of a record is limited.
    pub recorded_count: u32,
    /// Start watermark of the record: no leader ever started a task with this number or a higher one.
    pub start_watermark: u32,
    /// `true` if the record says that the job fails everywhere.
    pub fails_everywhere: bool,
    /// `true` while a read or write of the record is in flight.
    pub call_in_flight: bool,
    /// `true` while the outcome of a call is in doubt, or the record is not as expected, so that it has to be read
    /// again.
    pub outcome_unknown: bool,
    /// Write of the final record whose outcome is not known.
    pub final_write: FinalWrite,
    /// `true` if a write was refused, and thus not executed, since the final record was last sent.
    pub write_refused: bool,
    /// Size of the record relative to the limit of the state service.
    pub size: RecordSize,
    /// Time at which a read or write of the record was last sent.
    pub last_call_at: Time,
}

/// Size of a job's record relative to the limit of a value in the state service. A record that was refused for its size
/// must not be sent again unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::coordination) enum RecordSize {
    /// The record has not been refused for its size.
    Fits,
    /// The record was refused with the ranges of completed tasks. Further writes leave them out.
    TooLargeWithRanges,
    /// The record is too large even without the ranges of completed tasks. It is not written again.
    TooLarge,
}

/// Progress of a job that a write records.
pub(in crate::coordination) struct RecordedProgress {
    /// Completed tasks that the record names.
    pub done: RangeSet,
    /// Number of tasks that had completed when the write was sent.
    pub done_count: u32,
    /// Start watermark: no leader ever started a task with this number or a higher one.
    pub start_watermark: u32,
    /// `true` if the job fails everywhere.
    pub fails_everywhere: bool,
}

impl RecordSize {
    /// Returns the size class after a record of this class was refused for its size.
    pub fn after_refusal(self) -> RecordSize {
        match self {
            RecordSize::Fits => RecordSize::TooLargeWithRanges,
            RecordSize::TooLargeWithRanges | RecordSize::TooLarge => RecordSize::TooLarge,
        }
    }
}

impl JobRecordState {
    /// Creates the state of a record that was just read or written with the given version. `done` are its completed
    /// tasks.
    pub(super) fn new(record: &LiveRecord, version: Revision, done: &RangeSet) -> JobRecordState {
        JobRecordState {
            version,
            recorded_tasks: done.clone(),
            recorded_count: done.len(),
            start_watermark: record.start_watermark.min(record.job.tasks),
            fails_everywhere: record.fails_everywhere,
            call_in_flight: false,
            outcome_unknown: false,
            final_write: FinalWrite::default(),
            write_refused: false,
            size: RecordSize::Fits,
            last_call_at: Time::ZERO,
        }
    }

    /// Returns `true` if the next call for the record has to wait: one is in flight, or the last one was sent less than
    /// `interval` ago. The interval does not apply to the final record of an ending job (`is_ending`) unless a write
    /// was refused or is in doubt: a final record that was only deferred, for example by the rate limit, need not wait
    /// for the interval as well.
    pub fn must_wait(&self, is_ending: bool, interval: Span, now: Time) -> bool {
        let recent = now.since(self.last_call_at) < interval;
        self.call_in_flight || recent && (!is_ending || self.outcome_unknown || self.write_refused)
    }

    /// Records that a read or write of the record is being sent.
    pub fn call_sent(&mut self, now: Time) {
        self.call_in_flight = true;
        self.last_call_at = now;
    }

    /// Records that a write of progress was executed. Returns `true` if the start watermark rose, so that more tasks
    /// may be started.
    pub fn progress_written(&mut self, job: &JobId, progress: RecordedProgress, version: Revision) -> bool {
        self.version = version;
        self.final_write.settled(job, WriteOutcome::Superseded(version));
        self.recorded_tasks = progress.done;
        self.recorded_count = progress.done_count;
        self.fails_everywhere = progress.fails_everywhere;
        let rises = progress.start_watermark > self.start_watermark;
        if rises {
            self.start_watermark = progress.start_watermark;
        }
        rises
    }

    /// Applies the record of a job with the given number of tasks after it was read again. A final write that is in
    /// doubt can still be executed only if the version of the record has not changed, since the version is a condition
    /// of the write.
    pub fn read_again(&mut self, record: &LiveRecord, version: Revision, tasks: u32) {
        if version != self.version {
            self.final_write.settled(&record.job.id, WriteOutcome::Superseded(version));
        }
        self.version = version;
        self.recorded_tasks = RangeSet::parse(&record.done, tasks).unwrap_or_default();
        self.recorded_count = self.recorded_tasks.len();
        self.start_watermark = record.start_watermark.min(tasks);
        self.fails_everywhere = record.fails_everywhere;
        self.outcome_unknown = false;
    }
}
