//! The waiting jobs of one shard, their dependencies and the state of their records.

mod final_record_scan;
mod partially_loaded;
mod record_steps;
mod waiting_job;

use super::job_record_reads::VersionedRecord;
use crate::model::{FinalState, JobId, JobSpec, Name, Revision};
use crate::protocol::state::Entry;
use crate::storage::records::LiveRecord;
use crate::time::{Span, Time};
use crowstall_dependencies::{DependencyGraph, DependencyStatus, Urgency, UrgencyUpdate};
use final_record_scan::{FinalRecordScan, ScannedPage};
use partially_loaded::PartiallyLoadedJobs;
use record_steps::WriteOrder;
pub(in crate::coordination) use record_steps::{RecordStep, WaitingStatus, WriteUrgency};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
pub(in crate::coordination) use waiting_job::WaitingJob;

/// The jobs of one shard that wait for prerequisites, with their dependency graph.
pub(in crate::coordination) struct WaitingJobs {
    /// Dependencies between the waiting jobs and their prerequisites.
    graph: DependencyGraph,
    /// Waiting jobs all of whose prerequisites have been loaded.
    jobs: HashMap<JobId, WaitingJob>,
    /// Waiting jobs whose prerequisites still have to be read from part records.
    partially_loaded: PartiallyLoadedJobs,
    /// Keys of the part records of jobs that no longer wait.
    obsolete_parts: Vec<String>,
    /// Waiting jobs whose records have to be written or read.
    due_records: BTreeSet<JobId>,
    /// Factor by which the deadline of a class may be exceeded while the job's result is still of use.
    late_factors: Arc<BTreeMap<Name, f64>>,
    /// Scan for the final records of prerequisites that are not in memory.
    scan: FinalRecordScan,
}

impl WaitingJobs {
    /// Creates an empty set of waiting jobs. `late_factors` holds, for each class, the factor by which the deadline may
    /// be exceeded while the job's result is still of use.
    pub fn new(late_factors: Arc<BTreeMap<Name, f64>>) -> WaitingJobs {
        WaitingJobs {
            graph: DependencyGraph::default(),
            jobs: HashMap::new(),
            partially_loaded: PartiallyLoadedJobs::default(),
            obsolete_parts: Vec::new(),
            due_records: BTreeSet::new(),
            late_factors,
            scan: FinalRecordScan::new(),
        }
    }

    /// Discards everything that was loaded from records.
    pub fn clear(&mut self) {
        *self = WaitingJobs::new(self.late_factors.clone());
    }

    /// Returns `true` if a job waits in this shard, even if its prerequisites are still being loaded.
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job) || self.partially_loaded.contains(job)
    }

    /// Returns the number of waiting jobs, without those whose prerequisites are still being loaded.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the urgency that follows from a job's own specification.
    pub fn own_urgency(&self, spec: &JobSpec, accepted_ms: u64) -> Urgency {
        let late_factor = self.late_factors.get(&spec.class).copied().unwrap_or(1.0).max(1.0);
        let deadline_times =
            |factor: f64| spec.deadline_s.map(|seconds| accepted_ms + (seconds * factor * 1000.0) as u64);
        Urgency {
            priority: spec.priority,
            due_ms: deadline_times(1.0),
            useful_until_ms: deadline_times(late_factor),
            expected_run_ms: (spec.estimate_s * 1000.0) as u64,
        }
    }

    /// Returns the urgency of a job combined with the urgency inherited from the jobs that depend on it, as of the last
    /// update, or `None` if the job neither waits nor has dependents.
    pub fn inherited_urgency(&self, job: &JobId) -> Option<Urgency> {
        self.graph.inherited_urgency(job)
    }

    /// Recomputes the inherited urgency of the jobs that are affected by changes since the previous update.
    pub(in crate::coordination) fn update_urgencies(&mut self) -> UrgencyUpdate {
        self.graph.update_urgencies()
    }

    /// Returns the jobs whose inherited urgency has changed since the previous call, as of the last update.
    pub(in crate::coordination) fn take_changed_urgencies(&mut self) -> HashSet<JobId> {
        self.graph.take_changed_urgencies()
    }

    /// Marks a job as loaded and not waiting for any prerequisite.
    pub fn mark_runnable(&mut self, job: &JobId, urgency: Urgency) {
        self.graph.mark_runnable(job, urgency);
    }

    /// Adds a waiting job. If its prerequisites are kept in part records that were not read yet, the job joins the
    /// graph only once they are read.
    pub(in crate::coordination) fn add_waiting_job(&mut self, record: LiveRecord, version: Revision) {
        if record.parts > 0 && record.job.prerequisites.is_empty() {
            return self.partially_loaded.insert(record, version);
        }
        let urgency = self.own_urgency(&record.job, record.accepted_ms);
        let id = record.job.id.clone();
        let withdrawn = self.graph.add_waiting(&id, &record.job.prerequisites, urgency);
        if self.graph.is_ready(&id) {
            self.due_records.insert(id.clone());
        }
        self.jobs.insert(id, WaitingJob::new(VersionedRecord { record, version }));
        self.due_records.extend(withdrawn);
        self.scan.allow_immediate_start();
    }

    /// Removes a job that no longer waits. Its part records become obsolete.
    pub(in crate::coordination) fn remove_waiting_job(&mut self, job: &JobId) -> Option<WaitingJob> {
        self.due_records.remove(job);
        let waiting = self.jobs.remove(job)?;
        self.obsolete_parts.extend(waiting.part_keys());
        Some(waiting)
    }

    /// Removes and returns the key of an obsolete part record.
    pub fn take_obsolete_part(&mut self) -> Option<String> {
        self.obsolete_parts.pop()
    }

    /// Returns the jobs whose part records have to be read, and marks their reads as in flight.
    pub(in crate::coordination) fn begin_part_reads(&mut self) -> Vec<VersionedRecord> {
        self.partially_loaded.begin_reads()
    }

    /// Handles the failure to read a part record of a job. The next call of `begin_part_reads` returns the job again,
    /// and its parts are read from the first one on.
    pub(in crate::coordination) fn part_read_failed(&mut self, job: &JobId) {
        self.partially_loaded.read_failed(job);
    }

    /// Ends the loading of a job whose part records were all read.
    pub(in crate::coordination) fn parts_complete(&mut self, job: &JobId) {
        self.partially_loaded.remove(job);
    }

    /// Returns a waiting job, unless its prerequisites are still being loaded.
    pub(in crate::coordination) fn waiting_job(&self, job: &JobId) -> Option<&WaitingJob> {
        self.jobs.get(job)
    }

    /// Returns a waiting job for modification, unless its prerequisites are still being loaded.
    pub(in crate::coordination) fn waiting_job_mut(&mut self, job: &JobId) -> Option<&mut WaitingJob> {
        self.jobs.get_mut(job)
    }

    /// Applies the durable end of a job to its dependents: marks the records of those that become ready or are
    /// withdrawn as due.
    pub(in crate::coordination) fn record_end(&mut self, job: &JobId, state: FinalState) {
        let affected = self.graph.record_end(job, state);
        for dependent in &affected {
            match state {
                FinalState::Done => log::info!("job {dependent} is ready: its last prerequisite {job} is done"),
                FinalState::Cancelled => {
                    log::info!("job {dependent} is withdrawn: its direct or indirect prerequisite {job} was cancelled");
                }
            }
        }
        // A cancellation also withdraws jobs that are known to the graph only as prerequisites and have no record here.
        self.due_records.extend(affected.into_iter().filter(|dependent| self.jobs.contains_key(dependent)));
    }

    /// Returns the cancelled direct or indirect prerequisite because of which a job is withdrawn, or `None` if the job
    /// is not withdrawn.
    pub(in crate::coordination) fn withdrawn_with(&self, job: &JobId) -> Option<JobId> {
        self.graph.withdrawn_with(job).cloned()
    }

    /// Returns the status of a waiting job that may be reported to users. `may_be_cancelled` returns `true` for a job
    /// whose cancellation other controllers may already have read.
    pub(in crate::coordination) fn status(
        &self,
        id: &JobId,
        may_be_cancelled: impl Fn(&JobId) -> bool,
    ) -> WaitingStatus {
        let Some(job) = self.jobs.get(id) else { return WaitingStatus::Loading };
        match self.graph.dependency_status(id, may_be_cancelled) {
            DependencyStatus::Withdrawn(cause) => WaitingStatus::Withdrawn(cause),
            _ if job.is_outcome_awaited() => WaitingStatus::WriteInProgress,
            DependencyStatus::InDoubt => WaitingStatus::PrerequisiteInDoubt,
            DependencyStatus::Unknown => WaitingStatus::PrerequisitesUnknown,
            DependencyStatus::Waiting => WaitingStatus::Waiting,
        }
    }

    /// Returns the prerequisites of a job that are not done.
    pub(in crate::coordination) fn open_prerequisites(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.graph.prerequisites(job)
    }

    /// Returns `true` if any records have to be written or read.
    pub(in crate::coordination) fn has_due_records(&self) -> bool {
        !self.due_records.is_empty()
    }

    /// Marks the record of a waiting job as due to be written or read.
    pub(in crate::coordination) fn mark_record_due(&mut self, job: JobId) {
        self.due_records.insert(job);
    }

    /// Marks the record of a waiting job as not due.
    pub(in crate::coordination) fn clear_record_due(&mut self, job: &JobId) {
        self.due_records.remove(job);
    }

    /// Returns the jobs whose due records may be written or read now, sorted by [`WriteOrder`]. Jobs with a call in
    /// flight, and jobs whose last call failed less than `retry_pause` ago, are left out.
    pub(in crate::coordination) fn jobs_with_due_records(&self, now: Time, retry_pause: Span) -> Vec<JobId> {
        let mut due: Vec<WriteOrder> = self
            .due_records
            .iter()
            .filter(|id| self.jobs.get(id).is_some_and(|job| job.may_call(now, retry_pause)))
            .map(|id| self.write_order(id))
            .collect();
        due.sort();
        due.into_iter().map(|order| order.job.clone()).collect()
    }

    /// Returns the sort key of a waiting job among those whose records are due.
    fn write_order<'a>(&self, id: &'a JobId) -> WriteOrder<'a> {
        let user_waits = self.jobs.get(id).is_some_and(WaitingJob::is_outcome_awaited);
        let urgency = self.graph.inherited_urgency(id).unwrap_or_default();
        WriteOrder {
            no_user_waits: !user_waits,
            not_ready: !self.graph.is_ready(id),
            priority: urgency.priority,
            due_ms: urgency.due_ms.unwrap_or(u64::MAX),
            job: id,
        }
    }

    /// Returns the urgency of writing the record of a waiting job, or `None` if the job does not wait.
    pub(in crate::coordination) fn write_urgency(&self, id: &JobId) -> Option<WriteUrgency> {
        let job = self.jobs.get(id)?;
        let awaited = job.is_outcome_awaited() || self.graph.is_ready(id);
        Some(if awaited { WriteUrgency::Awaited } else { WriteUrgency::Deferrable })
    }

    /// Returns the next step for the record of a waiting job, or `None` if the job does not wait or a call for its
    /// record is in flight.
    pub(in crate::coordination) fn next_step(&self, id: &JobId) -> Option<RecordStep> {
        let job = self.jobs.get(id).filter(|job| !job.is_call_in_flight())?;
        let cause = self.withdrawn_with(id);
        Some(if job.is_outcome_unknown() {
            RecordStep::Read
        } else if job.is_cancel_requested() || cause.is_some() {
            RecordStep::End { cause }
        } else if self.graph.is_ready(id) {
            RecordStep::Release
        } else {
            RecordStep::Wait
        })
    }

    /// Returns the prerequisites that are not in memory, so that it is not known whether they have ended.
    pub(in crate::coordination) fn unknown_prerequisites(&self) -> impl Iterator<Item = &JobId> {
        self.graph.unknown_jobs()
    }

    /// Starts a scan for the final records of unknown prerequisites, if one may start. Returns the job at whose key the
    /// listing has to begin, or `None` if there is nothing to list now.
    pub(in crate::coordination) fn begin_scan(&mut self, now: Time) -> Option<JobId> {
        if !self.scan.may_start(now) {
            return None;
        }
        self.scan.start(self.graph.unknown_jobs().cloned().collect())
    }

    /// Looks up unknown prerequisites on a listed page of final records. `more` is `true` if there are records after
    /// the page.
    pub(in crate::coordination) fn page_listed(&mut self, entries: &[Entry], more: bool, now: Time) -> ScannedPage {
        self.scan.page_listed(entries, more, now)
    }

    /// Ends the scan early, because a page could not be listed.
    pub(in crate::coordination) fn scan_failed(&mut self, now: Time) {
        self.scan.stop(now);
    }
}
