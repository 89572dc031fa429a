//! Jobs of a shard that wait for prerequisites, and the urgency that their prerequisites inherit.

use super::Shard;
use crate::coordination::waiting_jobs::{WaitingJob, WaitingStatus};
use crate::model::{FinalState, JobId, Revision};
use crate::storage::records::LiveRecord;
use crate::time::Time;

impl Shard {
    /// Returns `true` if the job is in memory, whether or not it waits for prerequisites.
    pub fn contains_job(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job) || self.waiting_jobs.contains(job)
    }

    /// Adds a job of which no task was ever started, as waiting or as ready according to its record.
    pub fn add_unstarted_job(&mut self, record: LiveRecord, version: Revision, now: Time) {
        if record.is_waiting() { self.add_waiting_job(record, version) } else { self.accept_job(record, version, now) }
    }

    /// Adds a job that waits for prerequisites, and records the urgency of the prerequisites that are live in this
    /// shard.
    pub fn add_waiting_job(&mut self, record: LiveRecord, version: Revision) {
        let prerequisites = record.job.prerequisites.clone();
        self.waiting_jobs.add_waiting_job(record, version);
        for prerequisite in prerequisites {
            if let Some(job) = self.jobs.get(&prerequisite) {
                let urgency = self.waiting_jobs.own_urgency(&job.spec, job.accepted_ms);
                self.waiting_jobs.mark_runnable(&prerequisite, urgency);
            }
        }
    }

    /// Returns the status of a waiting job that may be reported to users.
    pub(in crate::coordination) fn waiting_status(&self, id: &JobId) -> WaitingStatus {
        self.waiting_jobs.status(id, |job| self.may_be_recorded_as_cancelled(job))
    }

    /// Returns `true` if the cancellation of a job in memory may be recorded without this leader knowing, so that other
    /// controllers report the job, and all that depend on it, as withdrawn.
    fn may_be_recorded_as_cancelled(&self, id: &JobId) -> bool {
        let of_job = self.jobs.get(id).map(|job| &job.record.final_write);
        let final_write = of_job.or_else(|| self.waiting_jobs.waiting_job(id).map(WaitingJob::final_write));
        final_write.is_some_and(|write| write.may_record(FinalState::Cancelled))
    }

    /// Returns `true` if a cancellation may be recorded: no deposed leader can still renew worker leases. Otherwise
    /// tasks of the job could keep running after its user was told that it is cancelled.
    pub fn may_record_cancellations(&self, now: Time) -> bool {
        self.leadership.overlap.as_ref().is_none_or(|overlap| overlap.may_record_cancelled(now))
    }

    /// Applies changes of the urgency that jobs inherit from their dependents, and has the queue sorted again if any
    /// differs.
    pub(in crate::coordination) fn apply_inherited_urgencies(&mut self) {
        for id in self.waiting_jobs.take_changed_urgencies() {
            let inherited_urgency = self.waiting_jobs.inherited_urgency(&id);
            if let Some(job) = self.jobs.get_mut(&id)
                && job.inherited_urgency != inherited_urgency
            {
                job.inherited_urgency = inherited_urgency;
                self.queue.invalidate();
            }
        }
    }
}
