//! Generator of synthetic histories.
//!
//! The histories contain the difficulties of real ones: estimates that differ from the run times by a random factor per
//! job and are biased in one direction for hours, machines of two types, classes that appear or change their speed, and
//! zone outages that censor many attempts at once.

use crate::replay::{HistoryLine, LineOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};

/// Standard deviation of the logarithm of run times between the tasks of a job. No predictor can avoid this error.
const TASK_DEVIATION: f64 = 0.15;
/// Standard deviation of the logarithm of run times between the jobs of a class.
const JOB_DEVIATION: f64 = 0.4;
/// Standard deviation of the logarithm of the owners' estimates.
const ESTIMATE_DEVIATION: f64 = 0.45;
/// Standard deviation of the logarithm of the number of tasks of a job.
const TASK_COUNT_DEVIATION: f64 = 0.6;
/// Standard deviation of the logarithm of a change of speed.
const SPEED_CHANGE_DEVIATION: f64 = 0.7;
const DAY_S: f64 = 86_400.0;
/// Length of the periods in which all estimates have the same bias.
const BIAS_PERIOD_S: f64 = DAY_S / 4.0;
/// Biases of the estimates, as logarithms of factors.
const BIASES: [f64; 4] = [0.0, 0.5, -0.5, 0.2];
/// Probability per line that a zone outage begins.
const OUTAGE_PROBABILITY: f64 = 0.001;
const OUTAGE_S: f64 = 60.0;
/// Probability that an attempt is censored during an outage.
const CENSORED_PROBABILITY_IN_OUTAGE: f64 = 0.4;
/// Probability that an attempt is censored outside outages.
const CENSORED_PROBABILITY: f64 = 0.02;
const CLASSES: usize = 8;
/// Reciprocal of the fraction of classes whose speed changes.
const CLASSES_PER_SPEED_CHANGE: usize = 3;
/// Number of classes that exist from the beginning of the history; the others appear later.
const CLASSES_AT_START: usize = 5;
const TEAMS: usize = 3;
/// Number of unfinished jobs that the next attempt is drawn from.
const UNFINISHED_JOBS: usize = 12;
/// Typical numbers of tasks of a job, one of which is drawn for each class.
const TASK_COUNTS: [u32; 5] = [1, 4, 12, 40, 150];
const MACHINE_TYPES: [MachineType; 2] =
    [MachineType { name: "small", log_factor: 0.0 }, MachineType { name: "large", log_factor: -0.22 }];

struct MachineType {
    name: &'static str,
    /// Logarithm of the factor by which run times are longer on this type.
    log_factor: f64,
}

/// Change of the speed of a class.
struct SpeedChange {
    at_s: f64,
    /// Logarithm of the factor by which run times are longer after the change; 0 for a class without a change.
    log_factor: f64,
}

struct Class {
    name: String,
    team: String,
    /// Logarithm of the median run time, in seconds, before the change of speed.
    log_median: f64,
    /// Typical number of tasks of a job.
    typical_tasks: u32,
    /// Time from which jobs of the class are submitted.
    first_submission_s: f64,
    speed_change: SpeedChange,
}

struct Job {
    /// Index of the class.
    class: usize,
    tasks: u32,
    estimate_s: f64,
    /// Logarithm of the median run time of the tasks, in seconds.
    log_median: f64,
    remaining_tasks: u32,
}

/// Iterator over the lines of a synthetic history. The same seed always gives the same lines, and the lines never end.
pub struct HistoryGenerator {
    rng: SmallRng,
    classes: Vec<Class>,
    jobs: Vec<Job>,
    now_s: f64,
    /// Bias of all estimates in the current period, as the logarithm of a factor.
    bias: f64,
    /// Number of the current period of biased estimates; `None` before the first line.
    bias_period: Option<u64>,
    outage_until_s: f64,
}

/// Draws from the normal distribution with mean 0.
fn normal(rng: &mut SmallRng, deviation: f64) -> f64 {
    Normal::new(0.0, deviation).map_or(0.0, |normal| normal.sample(rng))
}

impl Class {
    fn new(number: usize, rng: &mut SmallRng) -> Class {
        // The initializers draw random numbers: another order of the fields would change the histories of all seeds.
        Class {
            name: format!("class-{number}"),
            team: format!("team-{}", number % TEAMS),
            log_median: rng.random_range(8.0f64..240.0).ln(),
            typical_tasks: TASK_COUNTS[rng.random_range(0..TASK_COUNTS.len())],
            first_submission_s: if number < CLASSES_AT_START { 0.0 } else { rng.random_range(0.2..1.5) * DAY_S },
            speed_change: SpeedChange {
                at_s: rng.random_range(0.3..2.0) * DAY_S,
                log_factor: if number % CLASSES_PER_SPEED_CHANGE == 1 {
                    normal(rng, SPEED_CHANGE_DEVIATION)
                } else {
                    0.0
                },
            },
        }
    }

    /// Returns the logarithm of the factor by which run times have become longer up to `now_s`.
    fn speed_change_at(&self, now_s: f64) -> f64 {
        if now_s >= self.speed_change.at_s { self.speed_change.log_factor } else { 0.0 }
    }
}

impl HistoryGenerator {
    /// Creates the generator of the history of `seed`.
    pub fn new(seed: u64) -> HistoryGenerator {
        let mut rng = SmallRng::seed_from_u64(seed);
        let classes = (0..CLASSES).map(|number| Class::new(number, &mut rng)).collect();
        HistoryGenerator {
            rng,
            classes,
            jobs: Vec::new(),
            now_s: 0.0,
            bias: 0.0,
            bias_period: None,
            outage_until_s: 0.0,
        }
    }

    /// Advances the time to the end of the next attempt.
    fn advance(&mut self) {
        self.now_s += self.rng.random_range(0.5..6.0);
        let period = (self.now_s / BIAS_PERIOD_S) as u64;
        if self.bias_period != Some(period) {
            self.bias_period = Some(period);
            self.bias = BIASES[self.rng.random_range(0..BIASES.len())];
        }
        if self.rng.random_bool(OUTAGE_PROBABILITY) {
            self.outage_until_s = self.now_s + OUTAGE_S;
        }
    }

    fn submit_job(&mut self) {
        let submitted: Vec<usize> =
            (0..self.classes.len()).filter(|index| self.classes[*index].first_submission_s <= self.now_s).collect();
        let index = submitted[self.rng.random_range(0..submitted.len())];
        let class = &self.classes[index];
        let speed_change = class.speed_change_at(self.now_s);
        let log_median = class.log_median + speed_change + normal(&mut self.rng, JOB_DEVIATION);
        // Estimates do not follow a change of speed: they are made from the run times before it.
        let log_estimate = log_median - speed_change + self.bias + normal(&mut self.rng, ESTIMATE_DEVIATION);
        let task_factor = normal(&mut self.rng, TASK_COUNT_DEVIATION).exp();
        let tasks = (f64::from(class.typical_tasks) * task_factor).ceil().max(1.0) as u32;
        let estimate_s = (log_estimate.exp() * 10.0).round().max(1.0) / 10.0;
        self.jobs.push(Job { class: index, tasks, estimate_s, log_median, remaining_tasks: tasks });
    }

    /// Draws an attempt of a random job and returns its line; a censored attempt leaves its task to be repeated.
    fn end_attempt(&mut self) -> HistoryLine {
        let index = self.rng.random_range(0..self.jobs.len());
        let machine_type = &MACHINE_TYPES[self.rng.random_range(0..MACHINE_TYPES.len())];
        let job = &self.jobs[index];
        let true_median_s = (job.log_median + machine_type.log_factor).exp();
        let full_run_time_s = true_median_s * normal(&mut self.rng, TASK_DEVIATION).exp();
        let in_outage = self.now_s < self.outage_until_s;
        let is_censored =
            self.rng.random_bool(if in_outage { CENSORED_PROBABILITY_IN_OUTAGE } else { CENSORED_PROBABILITY });
        let ran_s = if is_censored { full_run_time_s * self.rng.random_range(0.02..0.98) } else { full_run_time_s };
        let class = &self.classes[job.class];
        let line = HistoryLine {
            at_s: self.now_s,
            team: class.team.clone(),
            class: class.name.clone(),
            machine_type: machine_type.name.into(),
            tasks: job.tasks,
            estimate_s: job.estimate_s,
            ran_s: (ran_s * 1000.0).round().max(1.0) / 1000.0,
            outcome: if is_censored { LineOutcome::Censored } else { LineOutcome::Completed },
            true_median_s: Some(true_median_s),
        };
        if !is_censored {
            self.complete_task(index);
        }
        line
    }

    fn complete_task(&mut self, index: usize) {
        let job = &mut self.jobs[index];
        job.remaining_tasks -= 1;
        if job.remaining_tasks == 0 {
            self.jobs.swap_remove(index);
        }
    }
}

impl Iterator for HistoryGenerator {
    type Item = HistoryLine;

    fn next(&mut self) -> Option<HistoryLine> {
        self.advance();
        while self.jobs.len() < UNFINISHED_JOBS {
            self.submit_job();
        }
        Some(self.end_attempt())
    }
}
