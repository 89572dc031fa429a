//! In-memory state of one queued or running job on its shard's leader.

use super::super::events::Requester;
use super::START_WATERMARK_LOOKAHEAD;
use super::failure_history::FailureHistory;
use super::job_record::{JobRecordState, RecordSize};
use super::task_runtimes::TaskRuntimes;
use crate::model::{AttemptNumber, FinalState, JobId, JobKind, JobSpec, MachineId, Priority, Revision, TaskId};
use crate::storage::range_set::RangeSet;
use crate::storage::records::LiveRecord;
use crate::time::{Span, Time};
use crowstall_dependencies::Urgency;
use std::collections::BTreeMap;

/// Lower bound of the expected run time of a task, in seconds.
const MIN_RUN_TIME_S: f64 = 1.0;

/// State of a job that is queued or running.
pub(in crate::coordination) struct Job {
    /// Specification that the owner of the job submitted.
    pub spec: JobSpec,
    /// Wall-clock time at which the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Wall-clock time from which the job could run, in milliseconds since 1970: its acceptance, or the end of its last
    /// prerequisite.
    pub ready_ms: u64,
    /// Urgency that the job inherits from the jobs that depend on it. `None` if there are none.
    pub inherited_urgency: Option<Urgency>,
    /// Position of the job among jobs of equal urgency.
    pub order: QueueOrder,
    /// Pending, running and completed tasks of the job.
    pub progress: JobProgress,
    /// State of the job's record in the state service.
    pub record: JobRecordState,
    /// Failed attempts of the job.
    pub failures: FailureHistory,
    /// Final state that the job is about to enter. Set once a user has requested cancellation or all tasks are done; no
    /// task is started from then on.
    pub ending: Option<FinalState>,
    /// Requesters that wait for a reply to their request to cancel the job.
    pub cancel_requesters: Vec<Requester>,
    /// Waiting time of the job's next task, and the machine that is reserved for it.
    pub waiting: WaitingTimes,
    /// Run times of the tasks that completed under this leader.
    pub observed_runtimes: ObservedRuntimes,
    /// Saved progress of the job's tasks, and the run time that the forecast learned from earlier jobs.
    pub runtimes: TaskRuntimes,
}

/// Sort key of jobs of equal urgency: the time from which the job could run, then its id.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination) struct QueueOrder {
    ready_ms: u64,
    /// Id of the job.
    pub job: JobId,
}

/// Pending, unreconciled, running and completed tasks of a job. Each task is in at most one of the sets.
pub(in crate::coordination) struct JobProgress {
    /// Tasks that may be started.
    pub pending: RangeSet,
    /// Tasks that a former leader may have started and that have not been found on a machine yet. They may not be
    /// started again before that is ruled out.
    pub unreconciled: RangeSet,
    /// Tasks that have completed.
    pub done: RangeSet,
    /// Current attempt of each task that runs or was sent to a machine to run.
    pub running: BTreeMap<u32, AttemptLocation>,
}

/// Identity of an attempt: its number and the machine on which it was placed.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination) struct AttemptLocation {
    /// Machine of the attempt.
    pub machine: MachineId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
}

/// Waiting time of a job's next task, and the machine that is reserved for it.
pub(in crate::coordination) struct WaitingTimes {
    /// Time from which the job's first pending task has been skipped while tasks of other jobs were started. `None` if
    /// it has not been skipped.
    pub skipped_since: Option<Time>,
    /// Time from which the job has had pending tasks without a break, as far as this leader knows: for a job read from
    /// its record, the count starts when leadership was acquired.
    pub waiting_since: Time,
    /// Machine that is reserved for the job's next task because that task has waited too long.
    pub reservation: Option<Reservation>,
}

/// Reservation of a machine for a job's next task. The machine gets no tasks of other jobs until it has room for that
/// task.
pub(in crate::coordination) struct Reservation {
    machine: MachineId,
    since: Time,
}

/// Sum and number of the run times of a job's completed tasks.
#[derive(Default)]
pub(in crate::coordination) struct ObservedRuntimes {
    sum_s: f64,
    count: u32,
}

impl JobProgress {
    /// Creates the progress of a job of which no task has been started.
    pub fn not_started(tasks: u32) -> JobProgress {
        JobProgress {
            pending: RangeSet::up_to(tasks),
            unreconciled: RangeSet::new(),
            done: RangeSet::new(),
            running: BTreeMap::new(),
        }
    }

    /// Creates the progress that a job's record shows. Tasks below the start watermark that are not done may be running
    /// on any machine, and are unreconciled.
    pub fn of_record(record: &LiveRecord) -> JobProgress {
        let tasks = record.job.tasks;
        let start_watermark = record.start_watermark.min(tasks);
        let done = RangeSet::parse(&record.done, tasks).unwrap_or_default();
        let (unreconciled, pending) = done.complement(tasks).split_at(start_watermark);
        JobProgress { pending, unreconciled, done, running: BTreeMap::new() }
    }

    /// Returns the number of ranges of tasks, without those that run.
    pub fn count_ranges(&self) -> usize {
        [&self.pending, &self.unreconciled, &self.done].map(RangeSet::count_ranges).iter().sum()
    }

    /// Returns `true` if the attempt is the current attempt of the task.
    pub fn is_current(&self, task: &TaskId, attempt: AttemptNumber) -> bool {
        self.running.get(&task.task.0).is_some_and(|location| location.attempt == attempt)
    }

    /// Returns `true` if the task is neither done nor running.
    pub fn needs_attempt(&self, task: u32) -> bool {
        !self.done.contains(task) && !self.running.contains_key(&task)
    }

    /// Records that an attempt of a task was placed on a machine or found there.
    pub(super) fn started(&mut self, task: u32, location: AttemptLocation) {
        self.pending.remove(task);
        self.unreconciled.remove(task);
        self.running.insert(task, location);
    }

    /// Records that a task has completed.
    pub(super) fn completed(&mut self, task: u32) {
        self.done.insert(task);
        self.pending.remove(task);
        self.unreconciled.remove(task);
    }

    /// Makes all unreconciled tasks pending, since they can't be running on any machine.
    pub(super) fn release_unreconciled(&mut self) {
        self.pending.add_all(std::mem::take(&mut self.unreconciled));
    }
}

impl WaitingTimes {
    fn since(waiting_since: Time) -> WaitingTimes {
        WaitingTimes { skipped_since: None, waiting_since, reservation: None }
    }

    /// Returns `true` if the machine may be reserved for the job's next task. Only one machine is reserved at a time;
    /// another machine may replace it once the reservation is older than `max_reservation`.
    pub fn may_reserve(&self, machine: &MachineId, max_reservation: Span, now: Time) -> bool {
        self.reservation
            .as_ref()
            .is_none_or(|reservation| reservation.machine == *machine || now.since(reservation.since) > max_reservation)
    }

    /// Reserves a machine for the job's next task. An existing reservation of the same machine keeps its start time.
    pub fn reserve(&mut self, machine: &MachineId, now: Time) {
        if self.reservation.as_ref().is_none_or(|reservation| reservation.machine != *machine) {
            self.reservation = Some(Reservation { machine: machine.clone(), since: now });
        }
    }
}

impl ObservedRuntimes {
    /// Adds the run time of a completed task.
    pub(super) fn add(&mut self, seconds: f64) {
        self.sum_s += seconds;
        self.count += 1;
    }

    /// Returns the mean run time in seconds. The user's estimate counts as one more observation.
    fn mean_s(&self, estimate_s: f64) -> f64 {
        if self.count > 0 { (self.sum_s + estimate_s) / (self.count as f64 + 1.0) } else { estimate_s }
    }
}

impl Job {
    /// Creates a job from its record of the given version, with the given progress.
    pub fn new(
        record: LiveRecord,
        version: Revision,
        progress: JobProgress,
        inherited_urgency: Option<Urgency>,
        waiting_since: Time,
    ) -> Job {
        let ready_ms = record.ready_ms.unwrap_or(record.accepted_ms);
        Job {
            accepted_ms: record.accepted_ms,
            ready_ms,
            inherited_urgency,
            order: QueueOrder { ready_ms, job: record.job.id.clone() },
            runtimes: TaskRuntimes::inherited(&progress.unreconciled),
            record: JobRecordState::new(&record, version, &progress.done),
            failures: FailureHistory::of_record(record.fails_everywhere),
            progress,
            ending: None,
            cancel_requesters: Vec::new(),
            waiting: WaitingTimes::since(waiting_since),
            observed_runtimes: ObservedRuntimes::default(),
            spec: record.job,
        }
    }

    /// Returns `true` if the job is an array all of whose tasks have completed.
    pub fn is_complete(&self) -> bool {
        self.spec.kind == JobKind::Array && self.progress.done.len() == self.spec.tasks
    }

    /// Returns the job's effective priority: the higher of its own priority and the inherited one.
    pub fn priority(&self) -> Priority {
        self.inherited_urgency
            .map_or(self.spec.priority, |inherited_urgency| inherited_urgency.priority.min(self.spec.priority))
    }

    /// Returns the priority that determines the job's position in the queue.
    ///
    /// A priority that is only inherited counts as one level lower. Otherwise entire arrays with a near due time would
    /// be served before services, which have no due time, and would block all jobs of the next priority.
    pub fn queue_priority(&self) -> Priority {
        match self.priority() {
            same if same == self.spec.priority => same,
            inherited => inherited.next_lower(),
        }
    }

    /// Returns `true` if the state of the job's record allows tasks to be started: the job is not ending, and no write
    /// of the record is in doubt.
    pub fn is_live(&self) -> bool {
        self.ending.is_none() && !self.record.outcome_unknown
    }

    /// Returns the expected run time of a task in seconds: the learned one if there is one, else the mean of the
    /// observed ones and the estimate, else the estimate. At least [`MIN_RUN_TIME_S`].
    pub fn run_time(&self) -> f64 {
        let seconds = match self.runtimes.learned_run_time {
            Some(learned) => learned.as_secs(),
            None => self.observed_runtimes.mean_s(self.spec.estimate_s),
        };
        seconds.max(MIN_RUN_TIME_S)
    }

    /// Returns the start watermark that the record should have.
    ///
    /// The watermark is ahead of the next pending task, so that no start has to wait for a write of the record, but not
    /// far, since after a failover all tasks below the watermark have to be searched for. Once the next pending task is
    /// within half of [`START_WATERMARK_LOOKAHEAD`] of the recorded watermark, the watermark rises to twice
    /// `START_WATERMARK_LOOKAHEAD` beyond that task, but at most to the number of tasks.
    pub fn wanted_start_watermark(&self) -> u32 {
        match self.progress.pending.first() {
            Some(next) if next + START_WATERMARK_LOOKAHEAD / 2 >= self.record.start_watermark => {
                self.record.start_watermark.max((next + 2 * START_WATERMARK_LOOKAHEAD).min(self.spec.tasks))
            }
            _ => self.record.start_watermark,
        }
    }

    /// Returns `true` if the next pending task can't be started before a write of the record raises the start
    /// watermark.
    pub fn is_held_back_by_record(&self) -> bool {
        self.progress.pending.first().is_some_and(|next| next >= self.record.start_watermark)
    }

    /// Returns `true` if there is progress to write to the job's record.
    pub fn has_unrecorded_progress(&self) -> bool {
        if self.record.size == RecordSize::TooLarge {
            return false;
        }
        self.progress.done.len() != self.record.recorded_count
            || self.wanted_start_watermark() > self.record.start_watermark
            || self.failures.fails_everywhere != self.record.fails_everywhere
    }
}
