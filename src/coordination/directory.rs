//! Caches of the shards to which jobs and machines belong, and of the final records of jobs.

use crate::model::{JobId, MachineId, ShardId};
use crate::protocol::users::JobView;
use crate::storage::records::FinalRecord;
use crate::time::Time;
use std::collections::{HashMap, VecDeque};

/// Maximum number of jobs or machines in each table of shards. A table that exceeds it is cleared and fills again with
/// later lookups.
const MAX_SHARD_ENTRIES: usize = 20_000;

/// A final state that was reported to a client.
pub(super) struct ReportedEnd {
    /// View of the job that was reported first.
    pub view: JobView,
    /// Time of that report.
    pub at: Time,
}

/// Caches that save reads from the state service. Correctness does not depend on the presence of any entry.
pub(super) struct Directory {
    /// Final records that are stored at the state service.
    ended: EndedJobs<FinalRecord>,
    /// Final states that this node has reported to clients.
    reported: EndedJobs<ReportedEnd>,
    job_shards: HashMap<JobId, ShardId>,
    machine_shards: HashMap<MachineId, ShardId>,
}

impl Directory {
    /// Creates an empty directory that keeps the final records of at most `max_ended` jobs.
    pub fn new(max_ended: usize) -> Directory {
        Directory {
            ended: EndedJobs::new(max_ended),
            reported: EndedJobs::new(max_ended),
            job_shards: HashMap::new(),
            machine_shards: HashMap::new(),
        }
    }

    /// Returns the final record of a job, if it is cached.
    pub fn end_of(&self, job: &JobId) -> Option<&FinalRecord> {
        self.ended.records.get(job)
    }

    /// Returns `true` if the final record of a job is cached.
    pub fn has_ended(&self, job: &JobId) -> bool {
        self.ended.records.contains_key(job)
    }

    /// Caches the final record of a job. The record must be durable at the state service already.
    pub fn record_end(&mut self, job: JobId, end: FinalRecord) {
        self.ended.insert(job, end);
    }

    /// Returns the final state of a job that was reported to a client, if it is still known.
    pub fn reported_end_of(&self, job: &JobId) -> Option<&ReportedEnd> {
        self.reported.records.get(job)
    }

    /// Records that a final state was reported to a client.
    pub fn record_reported_end(&mut self, view: JobView, at: Time) {
        self.reported.insert(view.id.clone(), ReportedEnd { view, at });
    }

    /// Returns the shard to which a live job belongs, if it is cached.
    pub fn job_shard(&self, job: &JobId) -> Option<ShardId> {
        self.job_shards.get(job).copied()
    }

    /// Caches the shard of a job.
    pub fn set_job_shard(&mut self, job: JobId, shard: ShardId) {
        self.job_shards.insert(job, shard);
    }

    /// Removes the cached shard of a job.
    pub fn forget_job_shard(&mut self, job: &JobId) {
        self.job_shards.remove(job);
    }

    /// Returns the shard to which a machine belongs, if it is cached.
    pub fn machine_shard(&self, machine: &MachineId) -> Option<ShardId> {
        self.machine_shards.get(machine).copied()
    }

    /// Caches the shard of a machine.
    pub fn set_machine_shard(&mut self, machine: MachineId, shard: ShardId) {
        self.machine_shards.insert(machine, shard);
    }

    /// Caches the shard of a machine unless one is cached already.
    pub fn set_machine_shard_if_unknown(&mut self, machine: MachineId, shard: ShardId) {
        self.machine_shards.entry(machine).or_insert(shard);
    }

    /// Removes the cached shard of a machine.
    pub fn forget_machine_shard(&mut self, machine: &MachineId) {
        self.machine_shards.remove(machine);
    }

    /// Clears each table of shards that has more than the maximum number of entries.
    pub fn trim(&mut self) {
        if self.job_shards.len() > MAX_SHARD_ENTRIES {
            self.job_shards.clear();
        }
        if self.machine_shards.len() > MAX_SHARD_ENTRIES {
            self.machine_shards.clear();
        }
    }
}

/// What is known of the jobs that ended last, for each job one record.
struct EndedJobs<Record> {
    records: HashMap<JobId, Record>,
    /// Jobs with a record, in the order in which this node learned of their ends.
    oldest_first: VecDeque<JobId>,
    capacity: usize,
}

impl<Record> EndedJobs<Record> {
    fn new(capacity: usize) -> EndedJobs<Record> {
        EndedJobs { records: HashMap::new(), oldest_first: VecDeque::new(), capacity }
    }

    fn insert(&mut self, job: JobId, record: Record) {
        if self.records.insert(job.clone(), record).is_none() {
            self.oldest_first.push_back(job);
        }
        while self.oldest_first.len() > self.capacity {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }
}
