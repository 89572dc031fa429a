//! One job that waits for prerequisites, and the state of its record in the state service.

use super::super::events::Requester;
use super::super::final_write::{FinalWrite, WriteOutcome};
use super::super::job_record_reads::VersionedRecord;
use crate::model::{JobSpec, Revision, ShardId};
use crate::storage::keys;
use crate::storage::records::LiveRecord;
use crate::time::{Span, Time};

/// A job that waits for prerequisites. None of its tasks was ever started.
pub(in crate::coordination) struct WaitingJob {
    /// Specification of the job as submitted.
    spec: JobSpec,
    /// Version of the live record.
    version: Revision,
    /// Time of acceptance in wall-clock milliseconds.
    accepted_ms: u64,
    /// Start watermark of the record: tasks below this number may be started as soon as the job is released.
    start_watermark: u32,
    /// Number of part records that hold the job's prerequisites; 0 if the live record names them.
    parts: u32,
    /// `true` if the user has asked to cancel the job.
    cancel_requested: bool,
    /// Requesters that wait for the cancellation to become durable.
    cancel_requesters: Vec<Requester>,
    /// `true` while a read or write of the record is in flight.
    call_in_flight: bool,
    /// `true` if a write had no answer, so that the record has to be read again.
    outcome_unknown: bool,
    /// Write of the final record whose outcome is not known.
    final_write: FinalWrite,
    /// Time of the last failed read or write. `None` if the latest call has not failed.
    failed_at: Option<Time>,
}

impl WaitingJob {
    /// Creates a waiting job from its live record.
    pub fn new(found: VersionedRecord) -> WaitingJob {
        let VersionedRecord { record, version } = found;
        let LiveRecord { job: spec, accepted_ms, start_watermark, parts, .. } = record;
        WaitingJob {
            spec,
            version,
            accepted_ms,
            start_watermark,
            parts,
            cancel_requested: false,
            cancel_requesters: Vec::new(),
            call_in_flight: false,
            outcome_unknown: false,
            final_write: FinalWrite::default(),
            failed_at: None,
        }
    }

    /// Returns the version of the job's live record.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Returns `true` if the user has asked to cancel the job.
    pub fn is_cancel_requested(&self) -> bool {
        self.cancel_requested
    }

    /// Returns `true` if a write had no answer, so that the record has to be read again.
    pub fn is_outcome_unknown(&self) -> bool {
        self.outcome_unknown
    }

    /// Returns `true` if a user may be waiting for the outcome of a write: the user has asked to cancel the job, or a
    /// write had no answer.
    pub fn is_outcome_awaited(&self) -> bool {
        self.cancel_requested || self.outcome_unknown
    }

    /// Returns `true` while a read or write of the record is in flight.
    pub fn is_call_in_flight(&self) -> bool {
        self.call_in_flight
    }

    /// Returns `true` if the record may be read or written: no call is in flight, and the last failure is at least
    /// `retry_pause` ago.
    pub fn may_call(&self, now: Time, retry_pause: Span) -> bool {
        let pauses = self.failed_at.is_some_and(|failed_at| now.since(failed_at) < retry_pause);
        !self.call_in_flight && !pauses
    }

    /// Returns the keys of the job's part records.
    pub fn part_keys(&self) -> impl Iterator<Item = String> {
        (0..self.parts).map(|part| keys::part_key(&self.spec.id, part))
    }

    /// Returns the live record that the job has once all its prerequisites are done. `ready_ms` is the time of the
    /// release in wall-clock milliseconds.
    pub fn released_record(&self, shard: ShardId, ready_ms: u64) -> LiveRecord {
        LiveRecord {
            shard,
            home_shard: None,
            parts: 0,
            job: JobSpec { prerequisites: Vec::new(), ..self.spec.clone() },
            accepted_ms: self.accepted_ms,
            ready_ms: Some(ready_ms),
            done: String::new(),
            start_watermark: self.start_watermark,
            fails_everywhere: false,
        }
    }

    /// Records that the user has asked to cancel the job.
    pub fn request_cancellation(&mut self) {
        self.cancel_requested = true;
    }

    /// Adds a requester that is answered once the cancellation is durable or has failed.
    pub fn add_cancel_requester(&mut self, requester: Requester) {
        self.cancel_requesters.push(requester);
    }

    /// Removes and returns the requesters that wait for the cancellation.
    pub fn take_cancel_requesters(&mut self) -> Vec<Requester> {
        std::mem::take(&mut self.cancel_requesters)
    }

    /// Records that a read or write of the record was sent.
    pub fn call_sent(&mut self) {
        self.call_in_flight = true;
        self.failed_at = None;
    }

    /// Records that a read or write of the record was answered or timed out.
    pub fn call_answered(&mut self) {
        self.call_in_flight = false;
    }

    /// Records that a read or write failed in a way that leaves the known state of the record valid.
    pub fn call_failed(&mut self, now: Time) {
        self.failed_at = Some(now);
    }

    /// Records that a read or write had no conclusive answer, so that the record has to be read again.
    pub fn mark_outcome_unknown(&mut self, now: Time) {
        self.outcome_unknown = true;
        self.failed_at = Some(now);
    }

    /// Returns the write of the final record.
    pub fn final_write(&self) -> &FinalWrite {
        &self.final_write
    }

    /// Returns the write of the final record for modification.
    pub fn final_write_mut(&mut self) -> &mut FinalWrite {
        &mut self.final_write
    }

    /// Records that the live record was read and still shows a waiting job. A final write that was in doubt can be
    /// executed only while the record still has the version that the write was conditional on.
    pub fn live_record_read(&mut self, version: Revision) {
        if version != self.version {
            self.final_write.settled(&self.spec.id, WriteOutcome::Superseded(version));
        }
        self.version = version;
        self.outcome_unknown = false;
    }
}
