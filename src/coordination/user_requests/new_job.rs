//! A job that is being accepted: its submission and the first records written for it.

use super::super::events::Requester;
use super::super::shard::START_WATERMARK_LOOKAHEAD;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::{JobId, JobSpec, Revision, ShardId};
use crate::protocol::state::{Change, Condition};
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
    /// Transactions that have written part records, in order.
    written_parts: Vec<PartsTransaction>,
}

/// Transaction that has written some part records of a new job.
struct PartsTransaction {
    /// Number of the first part that was written.
    first_part: u32,
    /// Version of all parts that were written.
    version: Revision,
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
            Ok(NewJob { shard, term, record, path, unwritten_parts, written_parts: Vec::new() })
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

    /// Returns the changes that write the next unwritten part records, at most `max_count` of them.
    pub fn next_part_changes(&self, max_count: usize) -> Vec<Change> {
        let put = |(number, part): (u32, &PartRecord)| Change::Put {
            key: keys::part_key(self.id(), number),
            value: to_value(part),
            lease: None,
        };
        (self.next_part()..).zip(self.unwritten_parts.iter().take(max_count)).map(put).collect()
    }

    /// Records that the changes of [`NewJob::next_part_changes`] with the same `max_count` were committed.
    pub fn parts_committed(&mut self, max_count: usize, version: Revision) {
        self.written_parts.push(PartsTransaction { first_part: self.next_part(), version });
        self.unwritten_parts.drain(..max_count.min(self.unwritten_parts.len()));
    }

    /// Returns the number of the first part that is not written yet.
    fn next_part(&self) -> u32 {
        self.record.parts - self.unwritten_parts.len() as u32
    }

    /// Returns the conditions under which the part records are those that were written for this acceptance. Every
    /// submission of the job divides its parts among transactions in the same way, so a late transaction of another
    /// submission that replaces any of them also replaces the first one of the same transaction.
    pub fn part_conditions(&self) -> Vec<Condition> {
        let condition = |transaction: &PartsTransaction| {
            Condition::version(keys::part_key(self.id(), transaction.first_part), transaction.version)
        };
        self.written_parts.iter().map(condition).collect()
    }

    /// Returns the conditions under which the job has not been accepted yet.
    pub fn conditions_of_absence(&self) -> Vec<Condition> {
        [keys::live_key(self.id()), keys::final_key(self.id())].map(Condition::absent).into()
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
