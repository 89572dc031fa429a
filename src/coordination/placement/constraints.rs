//! Constraints that span machines: the distribution of a job's tasks over zones, and the quotas of teams.

use super::super::shard::{Job, Shard};
use crate::config::Settings;
use crate::model::{JobId, Name, Resources};

/// Numbers of a job's tasks in one zone and in all other zones.
#[derive(Default)]
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
        if !job.spec.one_zone && !job.spec.spread {
            return true;
        }
        let unreconciled = self.unreconciled_tasks(job, zone);
        let placed = self.count_by_zone(&job.spec.id, zone);
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

impl Job {
    /// Returns `true` if the quota of the job's team allows one more of its tasks on top of `usage`.
    pub(super) fn is_within_quota(&self, usage: &Resources, settings: &Settings) -> bool {
        let Some(team) = settings.teams.get(&self.spec.team) else { return false };
        let after = usage.plus(&self.spec.needs);
        team.cpus_max.is_none_or(|limit| after.cpus <= limit) && team.gpus_max.is_none_or(|limit| after.gpus <= limit)
    }
}
