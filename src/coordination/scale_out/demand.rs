//! Demand: the number of tasks of each job for which the fleet should have room.

use super::super::controller::Controller;
use super::super::shard::{Job, Shard};
use crate::model::{JobKind, JobSpec, MachineId, Name, Priority, Quantity, Resources};
use std::collections::HashMap;

/// Fraction of the time left that planning relies on, since estimated run times are often wrong.
const USABLE_TIME_FRACTION: f64 = 0.85;
/// Number of tasks that one slot runs one after another if the job can meet no limit.
const DEFAULT_TASKS_PER_SLOT: u32 = 2;
/// Maximum number of tasks that one slot runs one after another.
const MAX_TASKS_PER_SLOT: f64 = 1000.0;
/// Multiple of the skip limit for which best-effort work waits for spot machines before on-demand machines are rented
/// for it. Such work has to start within four minutes, and the rented machine still has to boot.
const SPOT_WAIT_SKIP_LIMITS: f64 = 2.0;

/// Demand of one job for room on machines.
pub(in crate::coordination) struct Demand {
    /// Job that needs the room.
    pub spec: JobSpec,
    /// Number of tasks that need room, at once or one after another.
    pub count: u32,
    /// Number of these tasks that one slot runs one after another by the time at which the job should be done.
    pub tasks_per_slot: TasksPerSlot,
    /// Machines that the job's tasks are kept away from. They do not count as capacity for the job.
    pub avoids: Vec<MachineId>,
    /// `true` if the job waits for spot machines instead of having on-demand machines rented.
    pub waits_for_spot: bool,
}

/// Number of tasks of a job that one slot runs one after another.
#[derive(Clone, Copy)]
pub(in crate::coordination) struct TasksPerSlot {
    /// Number of tasks on a machine that is up.
    pub on_running_machine: u32,
    /// Number of tasks on a machine that has to boot first.
    pub on_new_machine: u32,
}

impl TasksPerSlot {
    /// One task in each slot, for tasks that do not end.
    const ONE: TasksPerSlot = TasksPerSlot { on_running_machine: 1, on_new_machine: 1 };
}

impl Controller {
    /// Returns the demands of all jobs, the most urgent first. The headroom for services comes after the services that
    /// lead the list.
    pub(super) fn demands(&self, shard: &Shard) -> Vec<Demand> {
        let jobs = shard.by_urgency(&self.settings, self.wall_clock_ms);
        let mut demands = Vec::new();
        let mut team_usage: HashMap<&Name, Resources> = HashMap::new();
        for job in &jobs {
            let usage = team_usage.entry(&job.spec.team).or_default();
            demands.extend(self.job_demand(job, usage));
        }
        if let Some(headroom) = self.service_headroom(&jobs) {
            let services = demands.iter().take_while(|demand| demand.spec.kind == JobKind::Service).count();
            demands.insert(services, headroom);
        }
        demands
    }

    /// Returns the demand of one job, or `None` if it needs no further room or its team's quota allows none.
    /// `team_usage` holds the resources that more urgent jobs of the team use of its quota; those of this job are added
    /// to it.
    fn job_demand(&self, job: &Job, team_usage: &mut Resources) -> Option<Demand> {
        let fails_everywhere = job.failures.fails_everywhere;
        let running = job.progress.running.len() as u32;
        // Machines are rented only for the single task that a job that fails everywhere tries.
        let waiting = if fails_everywhere { 1 } else { job.progress.pending.len() + job.progress.unreconciled.len() };
        let (wanted, tasks_per_slot) = match job.spec.kind {
            JobKind::Service if fails_everywhere => ((running + waiting).min(job.spec.tasks), TasksPerSlot::ONE),
            JobKind::Service => (job.spec.tasks, TasksPerSlot::ONE),
            JobKind::Array => (waiting + running, self.tasks_per_slot(job)),
        };
        let max_slots = self.slots_within_quota(job, team_usage);
        let slots = wanted.div_ceil(tasks_per_slot.on_running_machine).min(max_slots);
        *team_usage = team_usage.plus(&job.spec.needs.times(slots));
        // The room of a bin excludes what running services use, so tasks that are already running need no room.
        let already_placed = if job.spec.kind == JobKind::Service { running } else { 0 };
        let max_tasks = max_slots.saturating_mul(tasks_per_slot.on_new_machine);
        let count = wanted.min(max_tasks).saturating_sub(already_placed);
        if count == 0 {
            return None;
        }
        let failed_on = job.failures.machines.iter().map(|failure| &failure.machine);
        let avoids = failed_on.filter(|id| job.avoids(id, self.now)).cloned().collect();
        let waits_for_spot = self.waits_for_spot(job);
        Some(Demand { spec: job.spec.clone(), count, tasks_per_slot, avoids, waits_for_spot })
    }

    /// Returns the number of the job's tasks that may run at once in addition to the given usage of its team.
    fn slots_within_quota(&self, job: &Job, team_usage: &Resources) -> u32 {
        let Some(team) = self.settings.teams.get(&job.spec.team) else { return 0 };
        let remaining = |limit: Option<Quantity>, used: Quantity| {
            limit.map_or(Quantity(u64::MAX), |limit| Quantity(limit.0.saturating_sub(used.0)))
        };
        let remaining = Resources {
            cpus: remaining(team.cpus_max, team_usage.cpus),
            gpus: remaining(team.gpus_max, team_usage.gpus),
            memory: Quantity(u64::MAX),
        };
        remaining.slots(&job.spec.needs)
    }

    /// Returns the demand that keeps room for further tasks of services, as set by the headroom property. It has the
    /// needs of the newest service, as the best guess of the next submission.
    fn service_headroom(&self, jobs: &[&Job]) -> Option<Demand> {
        let is_healthy_service = |job: &&&Job| job.spec.kind == JobKind::Service && !job.failures.fails_everywhere;
        let services = || jobs.iter().filter(is_healthy_service);
        let newest = services().max_by_key(|job| &job.order)?;
        let tasks: f64 = services().map(|job| f64::from(job.spec.tasks)).sum();
        let count = ((self.settings.properties.headroom - 1.0) * tasks).ceil() as u32;
        (count > 0).then(|| Demand {
            spec: newest.spec.clone(),
            count,
            tasks_per_slot: TasksPerSlot::ONE,
            avoids: Vec::new(),
            waits_for_spot: false,
        })
    }

    /// Returns the number of tasks that one slot can run one after another before the job should be done. If the class
    /// has an objective for starting, the last of them also has to start within that objective.
    fn tasks_per_slot(&self, job: &Job) -> TasksPerSlot {
        let boot_s = self.cloud.catalog().map(|machine_type| machine_type.boot.as_secs()).fold(f64::MAX, f64::min);
        let fetch_s = self.cloud.min_fetch_s(job.spec.image_gb);
        let waited_s = self.wall_clock_ms.saturating_sub(job.ready_ms) as f64 / 1000.0;
        let time_to_end_s = job.time_left_s(&self.settings, self.wall_clock_ms).map(|left| left * USABLE_TIME_FRACTION);
        let start_objective = self.settings.start_within.get(&job.spec.class);
        let time_to_start_s = start_objective.map(|within| (within.as_secs() - waited_s) * USABLE_TIME_FRACTION);
        let tasks_within = |usable_s: f64| (usable_s / job.run_time()).floor().clamp(1.0, MAX_TASKS_PER_SLOT) as u32;
        let tasks_after_boot = |boot_s: f64| {
            let usable_s = |time_s: f64| time_s - fetch_s - boot_s;
            let by_end = time_to_end_s.map_or(DEFAULT_TASKS_PER_SLOT, |time_s| tasks_within(usable_s(time_s)));
            let by_start = time_to_start_s.map_or(u32::MAX, |time_s| {
                // The last task only has to start within the time, not end, so one more fits.
                let last = u32::from(usable_s(time_s) > job.run_time());
                tasks_within(usable_s(time_s)).saturating_add(last)
            });
            by_end.min(by_start)
        };
        TasksPerSlot { on_running_machine: tasks_after_boot(0.0), on_new_machine: tasks_after_boot(boot_s) }
    }

    /// Returns `true` if a job waits for idle or spot machines instead of having on-demand machines rented. Only job
    /// arrays of the lowest priority without a due time, of a team without a guarantee, do so. The wait is limited,
    /// since there may be no spot machines at all.
    fn waits_for_spot(&self, job: &Job) -> bool {
        let spec = &job.spec;
        let inherits_urgency = job
            .inherited_urgency
            .is_some_and(|urgency| urgency.priority < Priority::BestEffort || urgency.due_ms.is_some());
        let max_wait = self.settings.properties.skip_limit.times(SPOT_WAIT_SKIP_LIMITS);
        let has_waited = job.progress.running.is_empty() && self.now.since(job.waiting.waiting_since) > max_wait;
        if inherits_urgency || has_waited {
            return false;
        }
        let has_guarantee = self.settings.teams.get(&spec.team).is_some_and(|team| team.cpus > Quantity(0));
        spec.kind == JobKind::Array
            && spec.priority == Priority::BestEffort
            && spec.deadline_s.is_none()
            && !has_guarantee
            && !self.settings.finish_within.contains_key(&spec.class)
    }
}
