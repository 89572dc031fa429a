//! Urgency of a job: the time left until its limits, and starvation.

use super::super::shard::Job;
use super::PlacementContext;
use crate::config::Settings;
use crate::model::{JobKind, MachineId};
use crate::time::{Span, Time};

/// Multiple of the skip limit after which a job without a running task is starved.
const STARVATION_SKIP_LIMITS: f64 = 1.5;

impl Job {
    /// Returns the next task that may be started. `None` while the job is not live or is in backoff after failures,
    /// while a job array that fails everywhere has a running task, or if the job has no pending task below the start
    /// watermark of its record.
    pub fn next_task(&self, now: Time) -> Option<u32> {
        let task = self.progress.pending.first().filter(|task| *task < self.record.start_watermark)?;
        // A job array that fails everywhere runs one task at a time until one completes.
        let may_try_another =
            !self.failures.fails_everywhere || self.spec.kind == JobKind::Service || self.progress.running.is_empty();
        (self.is_live() && may_try_another && now >= self.failures.backoff_until).then_some(task)
    }

    /// Returns the time until the first limit that the job can still meet, in seconds, or `None` if it can meet none.
    ///
    /// The limits are tried in this order: the due time inherited from dependent jobs, the job's own deadline, the
    /// service-level objectives of its class, and finally the times at which the inherited due time and the deadline
    /// have been missed by so much that the result is of no more use.
    pub fn time_left_s(&self, settings: &Settings, wall_clock_ms: u64) -> Option<f64> {
        let seconds_since = |from_ms: u64| wall_clock_ms.saturating_sub(from_ms) as f64 / 1000.0;
        let seconds_until = |due_ms: u64| (due_ms as f64 - wall_clock_ms as f64) / 1000.0;
        let since_accepted_s = seconds_since(self.accepted_ms);
        let since_ready_s = seconds_since(self.ready_ms);
        let until_inherited_due_s = self.inherited_urgency.and_then(|urgency| urgency.due_ms).map(seconds_until);
        let until_deadline_s = self.spec.deadline_s.map(|within| within - since_accepted_s);
        let objectives = settings.finish_within.get(&self.spec.class).into_iter().flatten();
        let until_objectives_s = objectives.map(|within| within.as_secs() - since_ready_s);
        let until_inherited_late_s =
            self.inherited_urgency.and_then(|urgency| urgency.useful_until_ms).map(seconds_until);
        let late_factor = settings.late_factors.get(&self.spec.class).copied().unwrap_or(1.0);
        let until_late_s = self.spec.deadline_s.map(|within| within * late_factor - since_accepted_s);
        let mut until_limits_s = until_inherited_due_s
            .into_iter()
            .chain(until_deadline_s)
            .chain(until_objectives_s)
            .chain(until_inherited_late_s)
            .chain(until_late_s);
        until_limits_s.find(|time_left_s| *time_left_s > self.run_time())
    }

    /// Returns the time left in milliseconds as a sort key: zero if the job is starved, `u64::MAX` if it can meet no
    /// limit.
    pub fn time_left_ms(&self, settings: &Settings, wall_clock_ms: u64) -> u64 {
        if self.is_starved(settings, wall_clock_ms) {
            return 0;
        }
        self.time_left_s(settings, wall_clock_ms).map_or(u64::MAX, |seconds| (seconds * 1e3) as u64)
    }

    /// Returns `true` if the job is starved: no task of it runs, it does not fail everywhere, and it became ready
    /// longer ago than [`STARVATION_SKIP_LIMITS`] times the skip limit. Its next task then goes before all others of
    /// the same queue priority, so that every job starts eventually, however many jobs are more urgent.
    pub fn is_starved(&self, settings: &Settings, wall_clock_ms: u64) -> bool {
        let waited = Span::millis(wall_clock_ms.saturating_sub(self.ready_ms));
        // A job that fails everywhere has no running task because of its own failures, not for lack of resources.
        self.progress.running.is_empty()
            && !self.failures.fails_everywhere
            && waited > settings.properties.skip_limit.times(STARVATION_SKIP_LIMITS)
    }

    /// Returns `true` if the machine may be reserved for the next task of the job. A job reserves one machine at a
    /// time, and another one only after the skip limit.
    pub(super) fn may_reserve(&self, machine: &MachineId, context: &PlacementContext) -> bool {
        self.waiting.may_reserve(machine, context.settings.properties.skip_limit, context.now)
    }

    /// Returns `true` if the job's tasks are kept away from the machine because one failed there recently.
    pub fn avoids(&self, machine: &MachineId, now: Time) -> bool {
        self.failures.avoids(machine, now)
    }
}
