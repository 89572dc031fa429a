//! Waiting jobs whose prerequisites are kept in part records that were not all read yet.

use super::super::job_record_reads::VersionedRecord;
use crate::model::{JobId, Revision};
use crate::storage::records::LiveRecord;
use std::collections::BTreeMap;

/// The waiting jobs of a shard whose part records still have to be read.
#[derive(Default)]
pub(in crate::coordination) struct PartiallyLoadedJobs {
    jobs: BTreeMap<JobId, PartiallyLoadedJob>,
}

/// A job whose part records were not all read yet.
struct PartiallyLoadedJob {
    /// Live record of the job, which names no prerequisites.
    record: LiveRecord,
    /// Version of the live record.
    version: Revision,
    /// `true` while the part records are being read.
    read_in_flight: bool,
}

impl PartiallyLoadedJobs {
    /// Returns `true` if part records of a job still have to be read.
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Adds a job whose part records have to be read.
    pub fn insert(&mut self, record: LiveRecord, version: Revision) {
        let id = record.job.id.clone();
        self.jobs.insert(id, PartiallyLoadedJob { record, version, read_in_flight: false });
    }

    /// Returns the jobs whose part records have to be read, and marks their reads as in flight.
    pub fn begin_reads(&mut self) -> Vec<VersionedRecord> {
        let mut begun = Vec::new();
        for job in self.jobs.values_mut().filter(|job| !job.read_in_flight) {
            job.read_in_flight = true;
            begun.push(VersionedRecord { record: job.record.clone(), version: job.version });
        }
        begun
    }

    /// Marks the reads of a job's part records as failed. The next call of `begin_reads` returns the job again.
    pub fn read_failed(&mut self, job: &JobId) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.read_in_flight = false;
        }
    }

    /// Removes a job whose part records were all read.
    pub fn remove(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }
}
