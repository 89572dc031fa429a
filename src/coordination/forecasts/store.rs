//! The learned run times, promises and forecasts of one shard during one leadership term. Forecasts are made in rounds
//! over all job arrays of the shard.

use super::super::cloud::Cloud;
use super::super::scale_out::PLAN_INTERVAL;
use super::super::shard::{AttemptLocation, Job, Shard};
use super::capacity::FreeCapacity;
use super::snapshots::SnapshotState;
use crate::config::Settings;
use crate::model::{JobId, JobKind, JobSpec, Name, Revision};
use crate::protocol::users::ForecastAccuracy;
use crate::time::{Span, Time};
use crowstall_forecast::{
    self as forecast, FinishForecast, FinishInputs, Learner, Limits, Promises, RunTimeForecast, TaskFeatures,
};
use std::collections::HashMap;

/// Minimum time between the starts of two rounds of forecasts, unless a user asks for a forecast that is missing.
const ROUND_INTERVAL: Span = PLAN_INTERVAL;

/// Minimum time between the start of a round and the start of the next one on a user's request.
const MIN_ROUND_INTERVAL: Span = Span::millis(200);

/// Maximum number of forecasts made at a time, so that a large number of jobs does not delay the handling of other
/// events.
const FORECAST_BATCH_SIZE: usize = 100;

/// The learned run times, promises and forecasts of one shard during one leadership term.
pub(super) struct ForecastStore {
    /// Leadership term in which the store was created.
    pub term: Revision,
    /// Run times learned from attempts.
    pub learner: Learner,
    /// Finish times promised to users.
    pub promises: Promises,
    /// Latest forecast of each job array.
    pub forecasts: HashMap<JobId, JobForecast>,
    /// Time at which the accuracy of the forecasts was last logged.
    pub accuracy_logged_at: Time,
    /// State of the shard's snapshot.
    pub snapshot: SnapshotState,
    /// Time at which the latest round began.
    round_began_at: Time,
    /// Rest of the latest round. `None` if that round is complete.
    round: Option<Round>,
}

/// The forecast of one job array.
pub(super) struct JobForecast {
    /// Run time of one task.
    pub run: RunTimeForecast,
    /// Time from `made` until the job finishes. `None` if no capacity for the job is in sight, or if its tasks fail on
    /// every machine.
    pub finish: Option<FinishForecast>,
    /// Time at which the forecast was made.
    pub made: Time,
}

/// The inputs of forecasts that do not belong to the shard.
pub(super) struct ForecastContext<'a> {
    pub cloud: &'a Cloud,
    pub settings: &'a Settings,
    /// Wall-clock time in milliseconds.
    pub wall_clock_ms: u64,
    pub now: Time,
}

/// A round of forecasts in progress. Jobs are forecast one after the other, the most urgent first.
struct Round {
    /// Jobs whose forecasts still have to be made.
    jobs: std::vec::IntoIter<JobId>,
    /// Capacity of the shard's machines when the round began.
    capacity: FreeCapacity,
    /// Remaining work of the jobs whose forecasts were made in this round, in CPU seconds.
    ahead_cpu_s: f64,
}

impl Round {
    /// Begins a round over all job arrays of a shard.
    fn begin(shard: &Shard, context: &ForecastContext) -> Round {
        let jobs = shard.by_urgency(context.settings, context.wall_clock_ms).into_iter();
        let arrays = jobs.filter(|job| job.spec.kind == JobKind::Array);
        let arrays: Vec<JobId> = arrays.map(|job| job.spec.id.clone()).collect();
        let capacity = FreeCapacity::of(shard, context.cloud.types(), context.now);
        Round { jobs: arrays.into_iter(), capacity, ahead_cpu_s: 0.0 }
    }
}

impl ForecastStore {
    /// Creates an empty store.
    pub fn new(term: Revision, limits: Limits, now: Time) -> ForecastStore {
        ForecastStore {
            term,
            learner: Learner::new(term.0, limits),
            promises: Promises::default(),
            forecasts: HashMap::new(),
            accuracy_logged_at: now,
            snapshot: SnapshotState::new(now),
            round_began_at: Time::ZERO,
            round: None,
        }
    }

    /// Learns from the runtime samples of attempts that have ended since the previous call.
    pub fn learn(&mut self, shard: &mut Shard, now: Time) {
        let Some(samples) = &mut shard.runtime_samples else { return };
        for sample in std::mem::take(&mut samples.samples) {
            let Some(job) = shard.jobs.get_mut(&sample.job) else { continue };
            let work = work_of(&job.spec, sample.machine);
            self.learner.learn(&work, sample.attempt, &mut job.runtimes.observations, now);
            self.snapshot.count_learned();
        }
    }

    /// Returns `true` if forecasts have to be made now, because a round is in progress or the next one is due.
    pub fn is_forecasting_due(&self, now: Time) -> bool {
        self.round.is_some() || now.since(self.round_began_at) >= ROUND_INTERVAL
    }

    /// Returns `true` if a user's request for a forecast may start the next round early.
    pub fn may_forecast_on_request(&self, now: Time) -> bool {
        self.round.is_none() && now.since(self.round_began_at) >= MIN_ROUND_INTERVAL
    }

    /// Makes the next forecasts of the current round, at most [`FORECAST_BATCH_SIZE`]. Begins a round if none is in
    /// progress.
    pub fn forecast_next_batch(&mut self, shard: &mut Shard, context: &ForecastContext) {
        let mut round = if let Some(round) = self.round.take() {
            round
        } else {
            self.round_began_at = context.now;
            Round::begin(shard, context)
        };
        let next: Vec<JobId> = round.jobs.by_ref().take(FORECAST_BATCH_SIZE).collect();
        for id in next {
            let Some(job) = shard.jobs.get(&id).filter(|job| job.ending.is_none()) else { continue };
            let (forecast, work_cpu_s) = self.forecast_job(shard, job, &round, context);
            round.ahead_cpu_s += work_cpu_s;
            let mean = forecast.run.mean;
            self.forecasts.insert(id.clone(), forecast);
            if context.settings.properties.forecast.used_for_planning
                && let Some(job) = shard.jobs.get_mut(&id)
            {
                job.runtimes.learned_run_time = Some(mean);
            }
        }
        self.round = (round.jobs.len() > 0).then_some(round);
    }

    /// Makes the forecast of a job. Returns it with the remaining work of the job in CPU seconds.
    fn forecast_job(
        &mut self,
        shard: &Shard,
        job: &Job,
        round: &Round,
        context: &ForecastContext,
    ) -> (JobForecast, f64) {
        let machine = round.capacity.most_common_type(&job.spec);
        let run = self.learner.predict(&work_of(&job.spec, machine), &job.runtimes.observations);
        let running = running_times(shard, job, context.now);
        let capacity = round.capacity.available_capacity(&job.spec, context.settings);
        let inputs = FinishInputs {
            run_time: run,
            cpus_per_task: job.spec.needs.cpus.value(),
            pending: job.progress.pending.len() + job.progress.unreconciled.len(),
            running: &running,
            ahead_cpu_s: round.ahead_cpu_s,
            image_fetch: image_fetch_time(&job.spec, context.cloud),
            capacity: &capacity,
        };
        // A job whose tasks fail on every machine ends only if its user cancels it.
        let finish = if job.failures.fails_everywhere { None } else { forecast::forecast_finish(&inputs) };
        if let Some(finish) = finish {
            self.promise(&job.spec.id, finish, context.now);
        }
        let work_cpu_s = remaining_work(&inputs);
        (JobForecast { run, finish, made: context.now }, work_cpu_s)
    }

    /// Promises a finish time, or revises an earlier promise that no longer holds.
    fn promise(&mut self, id: &JobId, finish: FinishForecast, now: Time) {
        let before = self.promises.get(id);
        let promise = self.promises.promise(id, finish, now);
        if before != Some(promise) {
            let (within, revisions) = (promise.promised_finish.since(now).as_secs(), promise.revisions);
            log::debug!("job {id}: promised to finish within {within:.1} s (revision {revisions})");
        }
    }

    /// Returns the accuracy of the forecasts and promises that could be compared with actual times so far.
    pub fn accuracy(&self) -> ForecastAccuracy {
        let (runs, promises) = (self.learner.calibration.overall(), self.promises.judged);
        let kept = 1.0 - promises.above as f64 / promises.judged.max(1) as f64;
        ForecastAccuracy {
            run_times_judged: runs.judged,
            inside_interval: runs.coverage(),
            within_quarter: runs.within_quarter_fraction(),
            promises_judged: promises.judged,
            promises_kept: (promises.judged > 0).then_some(kept),
        }
    }
}

/// Returns the learner's description of the work of a job on machines of a type.
fn work_of(spec: &JobSpec, machine: Name) -> TaskFeatures {
    TaskFeatures {
        team: spec.team.clone(),
        class: spec.class.clone(),
        machine_type: machine,
        tasks: spec.tasks,
        estimate: Span::secs(spec.estimate_s),
    }
}

/// Returns the time that each running task of a job has run so far, in ascending order.
fn running_times(shard: &Shard, job: &Job, now: Time) -> Vec<Span> {
    let since_start = |location: &AttemptLocation| {
        let machine = shard.machines.get(&location.machine);
        let attempt = machine.and_then(|machine| machine.attempts.get(&location.attempt));
        now.since(attempt.and_then(|attempt| attempt.running_since).unwrap_or(now))
    };
    let mut times: Vec<Span> = job.progress.running.values().map(since_start).collect();
    times.sort();
    times
}

/// Returns the minimum time to fetch a job's image, or zero while no machine type is known.
fn image_fetch_time(spec: &JobSpec, cloud: &Cloud) -> Span {
    let seconds = cloud.min_fetch_s(spec.image_gb);
    if seconds < f64::MAX { Span::secs(seconds) } else { Span::ZERO }
}

/// Returns the remaining work of a job in CPU seconds.
fn remaining_work(inputs: &FinishInputs) -> f64 {
    let mean_s = inputs.run_time.mean.as_secs();
    let running_s = inputs.running.iter().map(|ran| (mean_s - ran.as_secs()).max(0.0)).sum::<f64>();
    inputs.cpus_per_task * (f64::from(inputs.pending) * mean_s + running_s)
}
