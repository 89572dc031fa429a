//! Constraints that span machines: the distribution of a job's tasks over zones, and the quotas of teams.

use super::super::shard::{Job, Shard};
use crate::config::Settings;
use crate::model::{JobId, Name, Resources};
use std::collections::{HashMap, HashSet};

/// Numbers of a job's tasks in one zone and in all other zones.
#[derive(Clone, Copy, Default)]
struct ZoneCount {
    /// Number of tasks in the zone.
    in_zone: u32,
    /// Number of tasks in other zones.
    elsewhere: u32,
}

/// Tasks of a job that may still be running on unreconciled machines.
#[derive(Default)]
struct UnreconciledTasks {
    /// Number of unreconciled tasks, if they may be running in the zone; otherwise zero.
    in_zone: u32,
    /// `true` if unreconciled tasks may be running in another zone.
    any_elsewhere: bool,
}

impl Shard {
    /// Returns `true` if the job's zone constraints allow one more of its tasks in the zone. Unreconciled tasks count
    /// in every zone where an unreconciled machine could run them.
    pub(super) fn zone_allows(&self, job: &Job, zone: &Name) -> bool {
        !has_zone_constraint(job) || self.count_allows(job, zone, self.count_by_zone(&job.spec.id, zone))
    }

    /// Returns `true` if the job's zone constraints allow one more of its tasks in the zone, given the numbers of its
    /// placed tasks.
    fn count_allows(&self, job: &Job, zone: &Name, placed: ZoneCount) -> bool {
        let unreconciled = self.unreconciled_tasks(job, zone);
        let other_zones_are_free = placed.elsewhere == 0 && !unreconciled.any_elsewhere;
        (!job.spec.one_zone || other_zones_are_free)
            && placed.in_zone + unreconciled.in_zone < job.spec.max_tasks_per_zone()
    }

    /// Returns the unreconciled tasks of a job that may be running in the zone or in other zones.
    fn unreconciled_tasks(&self, job: &Job, zone: &Name) -> UnreconciledTasks {
        let count = job.progress.unreconciled.len();
        if count == 0 {
            return UnreconciledTasks::default();
        }
        UnreconciledTasks {
            in_zone: if self.recovery.may_be_running_in(&job.spec, zone) { count } else { 0 },
            any_elsewhere: self.recovery.may_be_running_outside(&job.spec, zone),
        }
    }

    /// Returns the numbers of a job's attempts in the zone and in other zones. Attempts that are being stopped count;
    /// attempts that are over do not.
    fn count_by_zone(&self, job: &JobId, zone: &Name) -> ZoneCount {
        let mut count = ZoneCount::default();
        for machine in self.machines.values() {
            let attempts = machine.attempts.values();
            let on_machine = attempts.filter(|attempt| !attempt.is_over() && attempt.task.job == *job).count() as u32;
            if machine.zone == *zone { count.in_zone += on_machine } else { count.elsewhere += on_machine }
        }
        count
    }
}

/// Returns `true` if the job restricts how its tasks are distributed over zones.
fn has_zone_constraint(job: &Job) -> bool {
    job.spec.one_zone || job.spec.spread
}

/// Numbers of attempts by zone of several jobs with zone constraints, counted in one pass over the machines. Attempts
/// that are being stopped count; attempts that are over do not.
pub(super) struct ZoneCounts {
    by_job: HashMap<JobId, HashMap<Name, u32>>,
}

impl ZoneCounts {
    /// Counts the attempts of those of the given jobs that have a zone constraint.
    pub fn of_jobs(shard: &Shard, jobs: &[JobId]) -> ZoneCounts {
        let is_constrained = |id: &&JobId| shard.jobs.get(*id).is_some_and(has_zone_constraint);
        let constrained: HashSet<&JobId> = jobs.iter().filter(is_constrained).collect();
        let mut by_job: HashMap<JobId, HashMap<Name, u32>> = HashMap::new();
        if constrained.is_empty() {
            return ZoneCounts { by_job };
        }
        for machine in shard.machines.values() {
            for attempt in machine.attempts.values().filter(|attempt| !attempt.is_over()) {
                if constrained.contains(&attempt.task.job) {
                    let zones = by_job.entry(attempt.task.job.clone()).or_default();
                    *zones.entry(machine.zone.clone()).or_default() += 1;
                }
            }
        }
        ZoneCounts { by_job }
    }

    /// Returns `true` if the job's zone constraints allow one more of its tasks in the zone.
    pub fn allow(&self, shard: &Shard, job: &Job, zone: &Name) -> bool {
        !has_zone_constraint(job) || shard.count_allows(job, zone, self.count(&job.spec.id, zone))
    }

    fn count(&self, job: &JobId, zone: &Name) -> ZoneCount {
        let Some(zones) = self.by_job.get(job) else { return ZoneCount::default() };
        let in_zone = zones.get(zone).copied().unwrap_or_default();
        ZoneCount { in_zone, elsewhere: zones.values().sum::<u32>() - in_zone }
    }
}

impl Job {
    /// Returns `true` if the quota of the job's team allows one more of its tasks on top of `usage`.
    pub(super) fn is_within_quota(&self, usage: &Resources, settings: &Settings) -> bool {
        let Some(team) = settings.teams.get(&self.spec.team) else { return false };
        let after = usage.plus(&self.spec.needs);
        team.cpus_max.is_none_or(|limit| after.cpus <= limit) && team.gpus_max.is_none_or(|limit| after.gpus <= limit)
    }
}
