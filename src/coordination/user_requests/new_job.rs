//! A job that is being accepted: its submission and the first records written for it.

use super::super::events::Requester;
use super::super::shard::START_WATERMARK_LOOKAHEAD;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::{JobId, JobSpec, Revision, ShardId};
use crate::protocol::state::Change;
use crate::storage::keys;
use crate::storage::records::{self, LiveRecord, NO_SHARD, PartRecord, to_value};

/// Start watermark of a new job: tasks below this number may be started before the job's record is written again.
const INITIAL_START_WATERMARK: u32 = START_WATERMARK_LOOKAHEAD;

/// The kind of controller that accepts a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::coordination) enum AcceptancePath {
    /// Acceptance by the leader of the job's shard, which keeps the job in memory from then on.
    Leader,
    /// Acceptance by another controller, which writes a hand-off record for the shard's leader.
    Handoff,
}

/// A submission of a job that is not known to this node.
pub(in crate::coordination) struct Submission {
    /// Requester that waits for the reply.
    pub requester: Requester,
    /// Shard that the job belongs to.
    pub shard: ShardId,
    /// Specification of the job as submitted.
    pub spec: JobSpec,
    /// Kind of controller that accepts the job.
    pub path: AcceptancePath,
}

/// A new job whose records are being written.
pub(in crate::coordination) struct NewJob {
    /// Shard that the job belongs to.
    pub shard: ShardId,
    /// Version of the shard's key that the commit is conditional on: the leadership term, or 0 if the shard has no
    /// leader.
    pub term: Revision,
    /// Live record of the job.
    pub record: LiveRecord,
    /// Kind of controller that accepts the job.
    pub path: AcceptancePath,
    /// Part records that are not written yet, in order: the prerequisites that do not fit into the live record.
    unwritten_parts: Vec<PartRecord>,
}

/// Error: the record of a job does not fit into a value of the state service.
#[derive(Debug)]
pub(super) struct RecordTooLarge;

impl NewJob {
    /// Creates the records of a submitted job that is accepted at `accepted_ms`, a wall-clock time in milliseconds. If
    /// the live record would exceed `max_value_bytes`, its prerequisites are divided among part records.
    pub(super) fn new(
        shard: ShardId,
        term: Revision,
        spec: JobSpec,
        path: AcceptancePath,
        accepted_ms: u64,
        max_value_bytes: usize,
    ) -> Result<NewJob, RecordTooLarge> {
        let mut record = new_record(shard, spec, accepted_ms);
        let mut unwritten_parts = Vec::new();
        if !fits_value(&record, max_value_bytes) {
            let prerequisites = std::mem::take(&mut record.job.prerequisites);
            unwritten_parts = records::parts_of(&prerequisites, max_value_bytes);
            record.parts = unwritten_parts.len() as u32;
        }
        if fits_value(&record, max_value_bytes) {
            Ok(NewJob { shard, term, record, path, unwritten_parts })
        } else {
            Err(RecordTooLarge)
        }
    }

    /// Returns the leadership term that the commit is conditional on.
    pub fn leadership_term(&self) -> LeadershipTerm {
        LeadershipTerm { shard: self.shard, term: self.term }
    }

    /// Returns the id of the job.
    pub fn id(&self) -> &JobId {
        &self.record.job.id
    }

    /// Returns `true` if part records still have to be written.
    pub fn has_unwritten_parts(&self) -> bool {
        !self.unwritten_parts.is_empty()
    }

    /// Removes the next unwritten part records, at most `max_count` of them, and returns the changes that write them.
    pub fn take_part_changes(&mut self, max_count: usize) -> Vec<Change> {
        let first_number = self.record.parts - self.unwritten_parts.len() as u32;
        let later_parts = self.unwritten_parts.split_off(max_count.min(self.unwritten_parts.len()));
        let parts = std::mem::replace(&mut self.unwritten_parts, later_parts);
        let put = |(number, part): (u32, PartRecord)| Change::Put {
            key: keys::part_key(self.id(), number),
            value: to_value(&part),
            lease: None,
        };
        (first_number..).zip(parts).map(put).collect()
    }
}

/// Returns `true` if a new job's record fits into a value, including the growth reserved for later updates.
fn fits_value(record: &LiveRecord, max_value_bytes: usize) -> bool {
    to_value(record).to_string().len() <= max_value_bytes.saturating_sub(records::MAX_LATER_GROWTH_BYTES)
}

/// Returns the first live record of a job. The record of a job that waits for prerequisites names a shard that no
/// controller can lead, so that no version of the program starts its tasks.
fn new_record(shard: ShardId, job: JobSpec, accepted_ms: u64) -> LiveRecord {
    let waits = !job.prerequisites.is_empty();
    let start_watermark = job.tasks.min(INITIAL_START_WATERMARK);
    LiveRecord {
        shard: if waits { NO_SHARD } else { shard },
        home_shard: waits.then_some(shard),
        parts: 0,
        job,
        accepted_ms,
        ready_ms: None,
        done: String::new(),
        start_watermark,
        fails_everywhere: false,
    }
}
