//! Checks of the safety rules that concern the execution of tasks.
//!
//! The module `user_answers` checks the answers to users, and `malformed_requests` the rejection of invalid
//! submissions.

use super::*;
use std::fmt;
use workers::Worker;

/// Longest time for which a task may wait although a machine has room for it.
const MAX_STARVATION: u64 = 90 * SEC;

/// Time after a fault of a machine during which the machine need not get tasks.
const RECOVERY_TIME: u64 = 10 * SEC;

/// Maximum number of violations that are recorded.
const MAX_VIOLATIONS: usize = 20;

/// Safety or liveness rule that controllers must keep under all faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No task runs on two machines at the same time.
    ConcurrentAttempts,
    /// No task runs for longer than [`CANCELLATION_BOUND`] after its job was reported as cancelled.
    RanAfterCancellation,
    /// No task starts before all tasks of its job's prerequisites are completed.
    StartedBeforePrerequisites,
    /// Tasks run only on the machine types, zones and spot machines that their job allows.
    PlacementConstraints,
    /// No team uses more than its quota.
    Quota,
    /// Once the faults are over, no task starves although a machine has room for it.
    Starvation,
    /// No task is started and no state is reported for a job that was not submitted.
    UnknownJob,
    /// No controller reports an older state of a job than one that its user has already been told, or a cancellation
    /// that was not requested.
    StaleAnswer,
    /// Every answer with a job's state is about the job that the user asked about.
    OtherJob,
    /// Every controller knows an accepted job, and its user gets answers once the faults are over.
    LostJob,
    /// A job is reported as done only after all of its tasks were completed.
    PrematureDone,
    /// No job is reported as live for longer than [`CANCELLATION_BOUND`] after one of its prerequisites was cancelled.
    LiveAfterPrerequisiteCancelled,
    /// Submissions that are malformed or can never be executed are rejected.
    AcceptedInvalid,
}

impl fmt::Display for Rule {
    /// Writes the name under which the operators' reports list the rule.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::ConcurrentAttempts => "ran_twice",
            Rule::RanAfterCancellation => "ran_cancelled",
            Rule::StartedBeforePrerequisites => "too_early",
            Rule::PlacementConstraints => "wrong_place",
            Rule::Quota => "quota",
            Rule::Starvation => "idle",
            Rule::UnknownJob => "invented",
            Rule::StaleAnswer => "went_back",
            Rule::OtherJob => "other_job",
            Rule::LostJob => "forgotten",
            Rule::PrematureDone => "not_done",
            Rule::LiveAfterPrerequisiteCancelled => "orphaned",
            Rule::AcceptedInvalid => "accepted_odd",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, PartialEq, Eq)]
pub struct Violation {
    pub at: u64,
    pub rule: Rule,
    pub detail: String,
}

impl fmt::Debug for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.at as f64 / SEC as f64, self.rule, self.detail)
    }
}

/// Upper bounds of the resources that a team may use. `None`: no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    pub cpus: Option<Quantity>,
    pub gpus: Option<Quantity>,
}

impl Quota {
    /// Returns `true` if the used resources are within the quota.
    fn allows(&self, used: &Resources) -> bool {
        self.cpus.is_none_or(|max| used.cpus <= max) && self.gpus.is_none_or(|max| used.gpus <= max)
    }
}

/// Tasks that are placed on machines, and the resources that are left for others.
#[derive(Default)]
struct PlacedTasks<'a> {
    used_by_team: BTreeMap<Name, Resources>,
    /// Placed tasks of each job by index, with their zones.
    placed: HashMap<&'a JobId, Vec<(u32, &'a Name)>>,
    /// Machines that are expected to get tasks, with their free resources.
    room: Vec<(&'a Worker, Resources)>,
}

impl Simulation {
    /// Records a violation unless [`MAX_VIOLATIONS`] have been recorded already.
    pub(super) fn record_violation(&mut self, rule: Rule, detail: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { at: self.now, rule, detail });
        }
    }

    /// Checks the start of a task. `commanded_at` is the time at which the machine executed the start command.
    pub(super) fn check_start(&mut self, machine: u32, task: &TaskId, commanded_at: u64) {
        self.task_starts += 1;
        let Some(user) = self.users.iter().position(|user| user.spec.id == task.job) else {
            return self.record_violation(
                Rule::UnknownJob,
                format!("task {task} of a job that was not submitted starts on machine {machine}"),
            );
        };
        self.check_start_is_allowed(machine, task, commanded_at, user);
        self.check_no_other_attempt_runs(machine, task);
        self.check_placement(machine, task, user);
    }

    /// Checks that the job has not been cancelled for too long and that its prerequisites are done.
    fn check_start_is_allowed(&mut self, machine: u32, task: &TaskId, commanded_at: u64, user: usize) {
        if let Some(cancelled_at) = self.users[user].cancelled_at {
            let starts = &mut self.observations.starts_after_cancellation;
            if commanded_at > cancelled_at {
                starts.commanded_after += 1;
            } else {
                starts.commanded_before += 1;
            }
            if self.now > cancelled_at + CANCELLATION_BOUND {
                self.record_violation(
                    Rule::RanAfterCancellation,
                    format!("task {task} of a cancelled job starts on machine {machine}"),
                );
            }
        }
        let prerequisites = self.users[user].prerequisites.iter().map(|user| &self.users[*user].spec);
        let unfinished = prerequisites.clone().find(|job| !self.all_tasks_completed(job)).map(|job| job.id.clone());
        if let Some(prerequisite) = unfinished {
            self.record_violation(
                Rule::StartedBeforePrerequisites,
                format!("task {task} starts before the prerequisite {prerequisite} is done"),
            );
        }
    }

    /// Checks that no other machine runs the task.
    fn check_no_other_attempt_runs(&mut self, machine: u32, task: &TaskId) {
        let mut others = self.workers.values().filter(|worker| worker.number != machine);
        let runs_task = |worker: &&Worker| {
            worker.tasks.iter().any(|((other, _), running)| other == task && running.occupies_machine())
        };
        let other = others.rfind(runs_task).map(|worker| worker.number);
        if let Some(other) = other {
            self.record_violation(
                Rule::ConcurrentAttempts,
                format!("task {task} starts on machine {machine} while it runs on machine {other}"),
            );
        }
    }

    /// Checks that the job allows the machine's type, zone and price model, and the distribution over the zones.
    fn check_placement(&mut self, machine: u32, task: &TaskId, user: usize) {
        let spec = &self.users[user].spec;
        let Some(here) = self.workers.get(&machine) else { return };
        let (mut same_zone, mut other_zone) = (0, 0);
        for worker in self.workers.values() {
            let running = worker.tasks.iter().filter(|(_, running)| running.occupies_machine());
            let siblings = running.filter(|((other, _), _)| other.job == task.job && other != task).count() as u32;
            if worker.zone == here.zone { same_zone += siblings } else { other_zone += siblings }
        }
        let is_wrong = !spec.allows_type(&here.kind)
            || !spec.allows_zone(&here.zone)
            || (here.spot && !spec.spot)
            || (spec.one_zone && other_zone > 0)
            || (spec.spread && same_zone + 1 > spec.tasks.div_ceil(2));
        if is_wrong {
            let detail = format!(
                "task {task} starts on machine {machine} (type {}, zone {}, spot {}), which its job does not allow",
                here.kind, here.zone, here.spot
            );
            self.record_violation(Rule::PlacementConstraints, detail);
        }
    }

    /// Checks the rules that concern all machines. Called after each step of the workers.
    pub(super) fn check_machines(&mut self) {
        self.check_running_tasks();
        if self.now % SEC < WORKERS_STEP {
            self.check_starvation();
        }
    }

    /// Checks the quotas of the teams, and that no task of a cancelled job runs for too long.
    fn check_running_tasks(&mut self) {
        let mut used_by_team: BTreeMap<Name, Resources> = BTreeMap::new();
        let (mut running_too_long, mut longest) = (None, 0);
        let users = self.users_by_job();
        for worker in self.workers.values() {
            for ((id, _), _) in worker.tasks.iter().filter(|(_, running)| running.occupies_machine()) {
                let Some(user) = users.get(&id.job) else { continue };
                let used = used_by_team.entry(user.spec.team.clone()).or_default();
                *used = used.plus(&user.spec.needs);
                let since_cancellation = user.cancelled_at.map_or(0, |at| self.now - at);
                longest = longest.max(since_cancellation);
                if since_cancellation > CANCELLATION_BOUND {
                    running_too_long = Some(id.clone());
                }
            }
        }
        let longest_so_far = &mut self.observations.longest_run_after_cancellation;
        *longest_so_far = longest.max(*longest_so_far);
        let over_quota = used_by_team.iter().find(|(team, used)| !self.quota(team).allows(used));
        if let Some((team, used)) = over_quota {
            let (cpus, gpus) = (used.cpus.0 / 1_000_000, used.gpus.0 / 1_000_000);
            self.record_violation(
                Rule::Quota,
                format!("the {team} team uses {cpus} CPUs and {gpus} GPUs, more than its quota"),
            );
        }
        if let Some(task) = running_too_long {
            self.record_violation(Rule::RanAfterCancellation, format!("task {task} of a cancelled job still runs"));
        }
    }

    /// Checks, once the faults are over, that no task waits for too long although a machine has room for it.
    fn check_starvation(&mut self) {
        let Some(liveness_checked_from) = self.liveness_checked_from.filter(|from| self.now >= *from) else { return };
        let placed_tasks = self.placed_tasks();
        let is_starved = |user: &usize| self.has_room_for_a_task_of(*user, &placed_tasks);
        let starved: Vec<usize> = (0..self.users.len()).filter(is_starved).collect();
        let starved_since = std::mem::take(&mut self.starved_since);
        for user in starved {
            let since = starved_since.get(&user).copied().unwrap_or(self.now).max(liveness_checked_from);
            let waited = self.now - since;
            self.observations.longest_starvation = self.observations.longest_starvation.max(waited);
            self.starved_since.insert(user, since);
            if waited > MAX_STARVATION {
                let job = &self.users[user].spec.id;
                let detail =
                    format!("a task of job {job} has waited for {} s although a machine has room for it", waited / SEC);
                self.record_violation(Rule::Starvation, detail);
            }
        }
    }

    /// Returns the placed tasks and the free resources of the machines.
    fn placed_tasks(&self) -> PlacedTasks<'_> {
        let users = self.users_by_job();
        let mut result = PlacedTasks::default();
        for worker in self.workers.values().filter(|worker| worker.up_at <= self.now) {
            let mut left = worker.capacity();
            for ((id, _), task) in worker.tasks.iter().filter(|(_, task)| !task.has_exited()) {
                let Some(user) = users.get(&id.job) else { continue };
                left = left.minus(&user.spec.needs);
                let used = result.used_by_team.entry(user.spec.team.clone()).or_default();
                *used = used.plus(&user.spec.needs);
                if matches!(task.state, TaskState::Fetching | TaskState::Running | TaskState::Saving) {
                    result.placed.entry(&user.spec.id).or_default().push((id.task.0, &worker.zone));
                }
            }
            if worker.is_healthy() && worker.last_fault() + RECOVERY_TIME < self.now {
                result.room.push((worker, left));
            }
        }
        result
    }

    /// Returns `true` if a task of the user's job waits although it may run, its team's quota allows it and a machine
    /// has room for it.
    fn has_room_for_a_task_of(&self, user: usize, placed_tasks: &PlacedTasks) -> bool {
        let user = &self.users[user];
        let prerequisites_done = user.prerequisites.iter().all(|other| self.users[*other].done_at.is_some());
        let may_run = user.accepted_at.is_some() && !user.cancel_requested && !user.is_over() && !user.fails;
        if !may_run || !prerequisites_done {
            return false;
        }
        let spec = &user.spec;
        let placed: &[(u32, &Name)] = placed_tasks.placed.get(&spec.id).map_or(&[], Vec::as_slice);
        let is_waiting =
            |task: u32| !placed.iter().any(|(other, _)| *other == task) && !self.is_completed(&spec.id, task);
        if !(0..spec.tasks).any(is_waiting) {
            return false;
        }
        let used = placed_tasks.used_by_team.get(&spec.team).copied().unwrap_or_default();
        if !self.quota(&spec.team).allows(&used.plus(&spec.needs)) {
            return false;
        }
        placed_tasks.room.iter().any(|(worker, left)| {
            let in_zone = placed.iter().filter(|(_, zone)| **zone == worker.zone).count() as u32;
            let in_other_zone = placed.iter().any(|(_, zone)| **zone != worker.zone);
            spec.needs.fits_in(left)
                && spec.allows_type(&worker.kind)
                && spec.allows_zone(&worker.zone)
                && (spec.spot || !worker.spot)
                && !(spec.one_zone && in_other_zone)
                && !(spec.spread && in_zone + 1 > spec.tasks.div_ceil(2))
        })
    }

    /// Returns the quota of a team, without bounds if the team has none.
    fn quota(&self, team: &Name) -> Quota {
        self.quotas.get(team).copied().unwrap_or_default()
    }

    fn users_by_job(&self) -> HashMap<&JobId, &users::User> {
        self.users.iter().map(|user| (&user.spec.id, user)).collect()
    }
}
