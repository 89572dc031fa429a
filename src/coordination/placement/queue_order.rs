//! Order of the job queue.

use super::super::shard::{Job, JobQueue, QueueOrder, QuotaReservations, Shard};
use super::PlacementContext;
use crate::config::Settings;
use crate::model::{JobId, Name, Priority, Quantity, Resources};
use std::collections::HashMap;
use std::sync::Arc;

/// Position of a job in the queue. Positions compare by their fields from first to last; the least goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition<'a> {
    /// Queue priority of the job, derived from its own and its inherited priority.
    queue_priority: Priority,
    /// `true` if one more task would take the team beyond its guarantee.
    exceeds_guarantee: bool,
    /// Time left until the first limit that the job can still meet, in milliseconds. Zero if the job is starved;
    /// `u64::MAX`, and so after all jobs that can meet a limit, if it can meet none.
    time_left_ms: u64,
    /// CPUs that the team uses, for a job that can meet no limit and would exceed its team's guarantee; otherwise zero.
    /// Among such jobs the team that uses least goes first.
    team_cpus: Quantity,
    /// Order among jobs that are otherwise equal: by the time at which they became ready, then by id.
    order: &'a QueueOrder,
}

/// Position of a job among all jobs of the shard, including those of which no task may be started now.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UrgencyPosition<'a> {
    /// Queue priority of the job, derived from its own and its inherited priority.
    queue_priority: Priority,
    /// Time left until the first limit that the job can still meet, in milliseconds.
    time_left_ms: u64,
    /// Order among jobs that are otherwise equal: by the time at which they became ready, then by id.
    order: &'a QueueOrder,
}

/// Job that has a task to start, with its position in the queue.
struct QueueCandidate<'a> {
    /// Position of the job in the queue.
    position: QueuePosition<'a>,
    /// Job with a task to start.
    job: &'a Job,
    /// `true` if the team's quota allows one more task. A starved job is a candidate even without quota, since part of
    /// the quota is then reserved for it.
    quota_allows: bool,
}

impl Shard {
    /// Returns the jobs with a task to start, in queue order. The order is cached for a short time, so that not every
    /// heartbeat has to inspect all jobs; the cache is invalidated at once when a job becomes ready.
    pub(super) fn ordered_jobs(&mut self, context: &PlacementContext) -> Arc<[JobId]> {
        if !self.queue.is_current(context.now) {
            self.count_inspections(self.jobs.len());
            self.queue = self.order_jobs(context);
        }
        self.queue.jobs()
    }

    /// Returns all jobs that are not ending, the most urgent first, including those of which no task may be started
    /// now.
    pub fn by_urgency(&self, settings: &Settings, wall_clock_ms: u64) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| job.ending.is_none()).collect();
        jobs.sort_by_key(|job| UrgencyPosition {
            queue_priority: job.queue_priority(),
            time_left_ms: job.time_left_ms(settings, wall_clock_ms),
            order: &job.order,
        });
        jobs
    }

    /// Sorts the jobs with a task to start and reserves quota for starved jobs. Jobs that their team's quota does not
    /// allow to start a task are left out.
    fn order_jobs(&self, context: &PlacementContext) -> JobQueue {
        let mut team_usage: HashMap<&Name, Resources> = HashMap::new();
        let mut candidates: Vec<QueueCandidate> = self
            .jobs
            .values()
            .filter(|job| job.next_task(context.now).is_some())
            .filter_map(|job| {
                let team = &job.spec.team;
                let used =
                    team_usage.entry(team).or_insert_with(|| self.team_usage(team, context.settings, context.types));
                QueueCandidate::of(job, used, context)
            })
            .collect();
        candidates.sort_by_key(|candidate| candidate.position);
        let reservations = reserve_quotas(&candidates, context);
        candidates.retain(|candidate| {
            let used = team_usage.get(&candidate.job.spec.team).copied().unwrap_or_default();
            let used = reservations.added_to(used, candidate.job);
            candidate.quota_allows && candidate.job.is_within_quota(&used, context.settings)
        });
        let jobs = candidates.iter().map(|candidate| candidate.job.spec.id.clone()).collect();
        JobQueue::new(jobs, least_needs(&candidates), reservations, context.now)
    }
}

/// Returns `true` if one more task of the job keeps the team within its guarantee.
fn is_within_guarantee(job: &Job, used: &Resources, settings: &Settings) -> bool {
    settings.teams.get(&job.spec.team).is_some_and(|team| {
        let after = used.plus(&job.spec.needs);
        after.cpus <= team.cpus && after.gpus <= team.gpus.max(Quantity(0))
    })
}

/// For each team, reserves the quota that the next task of its longest starved job needs. All other jobs of the team
/// have to leave this quota free, including those that go before the starved job.
fn reserve_quotas(candidates: &[QueueCandidate], context: &PlacementContext) -> QuotaReservations {
    let jobs = candidates.iter().map(|candidate| candidate.job);
    let mut starved: Vec<&Job> = jobs.filter(|job| job.is_starved(context.settings, context.wall_clock_ms)).collect();
    starved.sort_by_key(|job| &job.order);
    let mut reservations = QuotaReservations::default();
    for job in starved {
        reservations.reserve(job);
    }
    reservations
}

/// Returns the componentwise minimum of the jobs' needs. A machine with less free of any resource can start no task.
fn least_needs(candidates: &[QueueCandidate]) -> Resources {
    let needs = candidates.iter().map(|candidate| candidate.job.spec.needs);
    let least = needs.reduce(|least, needs| Resources {
        cpus: least.cpus.min(needs.cpus),
        gpus: least.gpus.min(needs.gpus),
        memory: least.memory.min(needs.memory),
    });
    least.unwrap_or_default()
}

impl<'a> QueueCandidate<'a> {
    /// Returns the job as a candidate, given that its team uses `used`. `None` if the team's quota does not allow one
    /// more task and the job is not starved: such a job is left out before any machine is compared with its needs.
    fn of(job: &'a Job, used: &Resources, context: &PlacementContext) -> Option<QueueCandidate<'a>> {
        let (settings, wall_clock_ms) = (context.settings, context.wall_clock_ms);
        let quota_allows = job.is_within_quota(used, settings);
        if !quota_allows && !job.is_starved(settings, wall_clock_ms) {
            return None;
        }
        let exceeds_guarantee = !is_within_guarantee(job, used, settings);
        let time_left_ms = job.time_left_ms(settings, wall_clock_ms);
        let can_meet_limit = time_left_ms != u64::MAX;
        let team_cpus = if !can_meet_limit && exceeds_guarantee { used.cpus } else { Quantity(0) };
        let position = QueuePosition {
            queue_priority: job.queue_priority(),
            exceeds_guarantee,
            time_left_ms,
            team_cpus,
            order: &job.order,
        };
        Some(QueueCandidate { position, job, quota_allows })
    }
}
