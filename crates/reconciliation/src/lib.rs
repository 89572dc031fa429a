//! Recovery of a shard after a failover.
//!
//! The records that a new leader reads name the live jobs, their completed tasks, and the machines. No record tells
//! which task runs on which machine; the leader has to query the machines. Until a machine has answered in the new
//! leadership term it is *unreconciled*, and any task that a former leader may have started could be running on it.
//!
//! [`Recovery`] tracks the recovery of one shard in one leadership term. Its parts are:
//!
//! - `sweep`: chooses the machines to query next, the largest first, at the pace of their answers;
//! - `unreconciled_machines`: bounds, for each job, team and zone, what unreconciled machines could be running, and so
//!   which tasks may be started before all machines are reconciled;
//! - `stage`: records the progress of the recovery, every milestone with its time.
//!
//! [`answer_loss`] detects machines that do not receive the leader's answers.
//!
//! Nothing in this crate performs I/O or reads a clock. The invariants behind these bounds, with their proofs, are in
//! `docs/reconciliation.md`.

#![warn(missing_docs)]

pub mod answer_loss;
mod stage;
mod sweep;
mod unreconciled_machines;

use crowstall_model::model::{JobSpec, MachineId, Name, Resources};
use crowstall_model::time::{Span, Time};
use stage::Timeline;
pub use stage::{Milestone, Stage, Summary};
use sweep::Sweep;
use unreconciled_machines::UnreconciledMachines;
pub use unreconciled_machines::{MachineClass, TeamQuota};

/// Progress of the recovery of one shard in one leadership term.
pub struct Recovery {
    timeline: Timeline,
    sweep: Sweep,
    unreconciled_machines: UnreconciledMachines,
    /// `true` if it is decided for each job and team separately which tasks may be started. Otherwise no task in doubt
    /// is started before all machines are reconciled.
    piecewise: bool,
}

impl Recovery {
    /// Creates the recovery of a shard whose leadership was acquired at `acquired_at`.
    ///
    /// At most `max_queries` machines are queried at a time, not counting overdue queries. If `piecewise` is `true`, it
    /// is decided for each job and team separately which tasks may be started; otherwise no task in doubt is started
    /// before all machines are reconciled.
    pub fn new(acquired_at: Time, max_queries: usize, piecewise: bool) -> Recovery {
        Recovery {
            timeline: Timeline::new(acquired_at),
            sweep: Sweep::new(max_queries),
            unreconciled_machines: UnreconciledMachines::default(),
            piecewise,
        }
    }

    /// Returns the present stage.
    pub fn stage(&self) -> Stage {
        self.timeline.stage()
    }

    /// Returns the time at which the leadership was acquired.
    pub fn acquired_at(&self) -> Time {
        self.timeline.acquired_at()
    }

    /// Returns `true` if the records are in memory, so that client requests and worker heartbeats can be served.
    pub fn is_loaded(&self) -> bool {
        self.stage() != Stage::Acquired
    }

    /// Returns `true` if all machines are reconciled.
    pub fn is_complete(&self) -> bool {
        self.unreconciled_machines.is_empty()
    }

    /// Discards all machines, so that the records can be loaded again from the beginning.
    pub fn restart_loading(&mut self) {
        self.sweep.clear();
        self.unreconciled_machines = UnreconciledMachines::default();
    }

    /// Adds an unreconciled machine: a former leader may have started tasks on it. `size` is its capacity, zero if that
    /// is unknown; larger machines are queried first.
    pub fn add_unreconciled_machine(&mut self, id: &MachineId, class: MachineClass, size: Resources) {
        self.unreconciled_machines.add(id.clone(), class);
        self.sweep.add(id.clone(), size);
    }

    /// Records that all records have been read. `jobs` is the number of live jobs among them.
    pub fn record_loaded(&mut self, now: Time, jobs: usize) {
        self.timeline.record_loaded(now, jobs, self.unreconciled_machines.len());
    }

    /// Returns the machines to query now. The caller must query each of them at once: they count as queried.
    pub fn next_queries(&mut self, now: Time) -> Vec<MachineId> {
        self.sweep.next(now)
    }

    /// Records that the caller has immediately queried a machine again, because the previous query named another agent
    /// epoch than the machine's.
    pub fn record_repeated_query(&mut self, id: &MachineId, now: Time) {
        self.sweep.record_query(id, now);
    }

    /// Records that a query had no usable answer. The machine is queried again after a backoff.
    pub fn record_unanswered_query(&mut self, id: &MachineId, now: Time) {
        self.sweep.record_unanswered_query(id, now);
    }

    /// Records that the caller cannot keep up with the answers. Halves the number of machines that are queried at a
    /// time.
    pub fn record_overload(&mut self) {
        self.sweep.shrink_window();
    }

    /// Removes a machine from the unreconciled ones, since it is now known what runs on it. Returns `true` if it was
    /// the last unreconciled machine of its class, so that more tasks may be started than before.
    pub fn record_reconciled(&mut self, id: &MachineId, now: Time) -> bool {
        self.sweep.record_reconciled(id, now);
        let was_last_of_class = self.unreconciled_machines.remove(id);
        self.timeline.record_unreconciled_count(now, self.unreconciled_machines.len());
        was_last_of_class
    }

    /// Records that an attempt of a former leader was found running on a machine that was just reconciled.
    pub fn record_found_attempt(&mut self, team: &Name, resources: &Resources) {
        self.unreconciled_machines.record_found_attempt(team, resources);
    }

    /// Records that a task was started in this term.
    pub fn record_task_start(&mut self, now: Time) {
        self.timeline.record_task_start(now);
    }

    /// Returns `true` if a task of the job that was not found yet may be running on an unreconciled machine.
    pub fn may_be_running(&self, job: &JobSpec) -> bool {
        self.may_be_running_on(job, |_| true)
    }

    /// Returns `true` if a task of the job that was not found yet may be running on an unreconciled machine of the
    /// zone.
    pub fn may_be_running_in(&self, job: &JobSpec, zone: &Name) -> bool {
        self.may_be_running_on(job, |class| class.zone == *zone)
    }

    /// Returns `true` if a task of the job that was not found yet may be running on an unreconciled machine of any
    /// other zone.
    pub fn may_be_running_outside(&self, job: &JobSpec, zone: &Name) -> bool {
        self.may_be_running_on(job, |class| class.zone != *zone)
    }

    fn may_be_running_on(&self, job: &JobSpec, is_considered: impl Fn(&MachineClass) -> bool) -> bool {
        if self.piecewise {
            self.unreconciled_machines.may_be_running(job, is_considered)
        } else {
            !self.unreconciled_machines.is_empty()
        }
    }

    /// Returns an upper bound of the resources that a team may be using on the unreconciled machines and on further
    /// machines whose total capacity is `others`. `capacity` returns the capacity of a machine type. If `quota` is
    /// `None` or the recovery is not piecewise, the total capacity is the only bound.
    pub fn max_unreconciled_usage(
        &self,
        team: &Name,
        quota: Option<TeamQuota>,
        capacity: impl Fn(&Name) -> Resources,
        others: Resources,
    ) -> Resources {
        self.unreconciled_machines.max_usage(team, quota.filter(|_| self.piecewise), capacity, others)
    }

    /// Returns the milestones reached since the previous call, in the order of [`Milestone`]'s variants.
    pub fn take_milestones(&mut self) -> Vec<Milestone> {
        self.timeline.take_unreported()
    }

    /// Returns the report of the recovery for operators.
    pub fn summary(&self, now: Time) -> Summary {
        self.timeline.summary(now, self.sweep.queries(), self.sweep.answer_times())
    }

    /// Returns the time from the acquisition of the leadership to a milestone, or `None` if it is not reached yet.
    pub fn time_to(&self, milestone: Milestone) -> Option<Span> {
        self.timeline.time_to(milestone)
    }
}
