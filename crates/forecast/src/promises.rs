//! Promised finish times: their revision, and their comparison with the actual finish time.

use crate::calibration::{LogWidening, Tally};
use crate::finish::FinishForecast;
use crowstall_model::model::JobId;
use crowstall_model::time::{Span, Time};
use std::collections::HashMap;

/// Movement of the median beyond which a promise is revised, as a fraction of the remaining time.
const REVISION_FRACTION: f64 = 0.2;
/// Movement of the median up to which a promise is never revised.
const MIN_REVISION: Span = Span::millis(1000);

/// Finish time that was promised for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Time at which the promise was made.
    pub made_at: Time,
    /// Tenth percentile of the finish time.
    pub low: Time,
    /// Median of the finish time.
    pub median: Time,
    /// Promised time: the ninetieth percentile of the finish time.
    pub promised_finish: Time,
    /// Number of earlier promises for the same job that were replaced.
    pub revisions: u32,
}

/// Promise whose job is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JudgedPromise {
    /// First promise of the job.
    pub promise: Promise,
    /// Time from the promised time to the actual finish time; zero if the promise was kept.
    pub lateness: Span,
}

/// Promises of all unfinished jobs, and counts of the judged ones.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    /// Promise in force of each job.
    in_force: HashMap<JobId, Promise>,
    /// Calibration of the intervals.
    widening: LogWidening,
    /// First promise of each job. Users plan with it, so it is the one that is judged.
    first: HashMap<JobId, Promise>,
    /// Counts of judged promises.
    pub judged: Tally,
    /// Sum of the lateness of all judged promises.
    pub total_lateness: Span,
}

impl Promises {
    /// Returns the promise in force for a job; `None` if there is none.
    pub fn get(&self, job: &JobId) -> Option<Promise> {
        self.in_force.get(job).copied()
    }

    /// Promises a finish time and returns the promise in force.
    ///
    /// An earlier promise remains in force unless the promised time has passed, or the median has moved both by more
    /// than a fifth of the remaining time and by more than a second.
    pub fn promise(&mut self, job: &JobId, finish: FinishForecast, now: Time) -> Promise {
        let old = self.get(job);
        let fresh = self.new_promise(finish, now);
        if let Some(old) = old.filter(|old| remains_in_force(old, &fresh, finish.median, now)) {
            return old;
        }
        let revisions = old.map_or(0, |old| old.revisions + 1);
        let fresh = Promise { revisions, ..fresh };
        self.in_force.insert(job.clone(), fresh);
        self.first.entry(job.clone()).or_insert(fresh);
        fresh
    }

    /// Returns a promise made from a forecast now, with calibrated bounds and without revisions.
    fn new_promise(&self, finish: FinishForecast, now: Time) -> Promise {
        let median = finish.median;
        let widened = |width: Span, log_widening: f64| width.times(log_widening.exp());
        Promise {
            made_at: now,
            low: now + (median - widened(median - finish.low, self.widening.low)),
            median: now + median,
            promised_finish: now + median + widened(finish.high - median, self.widening.high),
            revisions: 0,
        }
    }

    /// Judges the first promise of a job that is done, and removes all of its promises; returns `None` if there was
    /// none.
    pub fn judge_finished_job(&mut self, job: &JobId, now: Time) -> Option<JudgedPromise> {
        self.in_force.remove(job);
        let promise = self.first.remove(job)?;
        let since_made = |time: Time| time.since(promise.made_at).as_secs();
        let (low, median, promised_finish) =
            (since_made(promise.low), since_made(promise.median), since_made(promise.promised_finish));
        self.judged.judge(low, median, promised_finish, since_made(now));
        self.widening.adapt(now < promise.low, now > promise.promised_finish, 1.0);
        let lateness = now.since(promise.promised_finish);
        self.total_lateness = self.total_lateness + lateness;
        Some(JudgedPromise { promise, lateness })
    }

    /// Removes the promises of a job that will not be done, without judging them.
    pub fn remove_job(&mut self, job: &JobId) {
        self.in_force.remove(job);
        self.first.remove(job);
    }

    /// Returns the number of jobs with a promise.
    pub fn job_count(&self) -> usize {
        self.in_force.len()
    }
}

/// Returns `true` if the promise `old` remains in force although `fresh` would be made now.
fn remains_in_force(old: &Promise, fresh: &Promise, remaining: Span, now: Time) -> bool {
    let moved = old.median.since(fresh.median).max(fresh.median.since(old.median));
    now <= old.promised_finish && moved <= remaining.times(REVISION_FRACTION).max(MIN_REVISION)
}
