//! Helper functions of the tests.

use crowstall_forecast::{
    Attempt, JobObservations, Learner, Limits, Name, Outcome, RunTimeForecast, Span, TaskFeatures, Time, snapshot,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Normal};

/// Standard deviation of the logarithm of run times between the tasks of a job.
pub const TASK_DEVIATION: f64 = 0.15;

pub fn features(class: &str, machine_type: &str, tasks: u32, estimate_s: f64) -> TaskFeatures {
    TaskFeatures {
        team: Name::new("team"),
        class: Name::new(class),
        machine_type: Name::new(machine_type),
        tasks,
        estimate: Span::secs(estimate_s),
    }
}

pub fn time(seconds: f64) -> Time {
    Time::ZERO + Span::secs(seconds)
}

/// Draws from a log-normal distribution; `deviation` is the standard deviation of the logarithm.
pub fn log_normal(rng: &mut SmallRng, median: f64, deviation: f64) -> f64 {
    median * Normal::new(0.0, deviation).map_or(0.0, |normal| normal.sample(rng)).exp()
}

/// Learns from one attempt.
pub fn learn(
    learner: &mut Learner,
    features: &TaskFeatures,
    run_time_s: f64,
    outcome: Outcome,
    job: &mut JobObservations,
    now_s: f64,
) {
    learner.learn(features, Attempt { run_time: Span::secs(run_time_s), outcome }, job, time(now_s));
}

/// Learns from `count` jobs whose tasks all complete, one every half second from `now_s` on.
pub fn run_jobs(
    learner: &mut Learner,
    rng: &mut SmallRng,
    features: &TaskFeatures,
    median_s: f64,
    count: u32,
    now_s: &mut f64,
) {
    for _ in 0..count {
        let mut job = JobObservations::default();
        for _ in 0..features.tasks {
            *now_s += 0.5;
            let run_time_s = log_normal(rng, median_s, TASK_DEVIATION);
            learn(learner, features, run_time_s, Outcome::Completed, &mut job, *now_s);
        }
    }
}

/// Returns the forecast for the first task of a job.
pub fn forecast(learner: &Learner, features: &TaskFeatures) -> RunTimeForecast {
    let forecast = learner.predict(features, &JobObservations::default());
    assert!(forecast.low <= forecast.median && forecast.median <= forecast.high, "{forecast:?}");
    forecast
}

/// Returns the median of the forecast for the first task of a job, in seconds.
pub fn median(learner: &Learner, features: &TaskFeatures) -> f64 {
    forecast(learner, features).median.as_secs()
}

/// Returns a learner that has learned from `count` jobs of one class.
pub fn learner_with(origin: u64, class: &str, median_s: f64, count: u32) -> Learner {
    let mut rng = SmallRng::seed_from_u64(origin);
    let (mut learner, mut now_s) = (Learner::new(origin, Limits::default()), 0.0);
    run_jobs(&mut learner, &mut rng, &features(class, "small", 2, 60.0), median_s, count, &mut now_s);
    learner
}

/// Writes a snapshot with a size limit that it does not reach.
pub fn snapshot_text(learner: &Learner) -> String {
    snapshot::write(learner, time(1000.0), 1 << 20).expect("the snapshot fits")
}
