//! Learning of run times from completed and censored attempts, and forecasts for the next task.

use crate::calibration::{Calibration, TAIL_PROBABILITY};
use crate::cell::{Cell, CellObservation, DecayingMean};
use crate::expectation::Expectation;
use crate::features::{CellKey, MIN_SECONDS, TaskFeatures};
use crate::run_time::RunTimeForecast;
use crowstall_model::model::Name;
use crowstall_model::time::{Span, Time};
use std::collections::BTreeMap;

/// Maximum distance of a standardized run time from the location, in standard deviations. Larger ones are clamped, so
/// that a single outlier cannot move a cell far.
const MAX_STANDARDIZED_RUN_TIME: f64 = 3.5;
/// Weight of tasks after which an older residual counts 1/e in the mean residual of its job.
const JOB_WINDOW: f64 = 100.0;
/// Minimum weight of the observed tasks of a job for the next one to contribute to the variance within the job.
const MIN_JOB_WEIGHT: f64 = 0.5;
/// Lower bound of the logarithm of a forecast run time in seconds.
const MIN_LOG_SECONDS: f64 = -7.0;
/// Upper bound of the logarithm of a forecast run time in seconds.
const MAX_LOG_SECONDS: f64 = 25.0;
/// Maximum variance that enters the mean of a forecast. The mean of a log-normal distribution grows exponentially with
/// its variance.
const MAX_VARIANCE_OF_MEAN: f64 = 1.0;
/// Reciprocal of the fraction of cells that an eviction removes at once. Evicting single cells would sort all cells
/// again for each new one.
const EVICTION_DIVISOR: usize = 8;

/// End of an observed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt ran to its end.
    Completed,
    /// The attempt was stopped or lost, or is still running. Its observed run time is a lower bound.
    Censored,
}

/// An observed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Time in which the attempt made progress, excluding image fetch, waiting and pauses of its machine.
    pub run_time: Span,
    /// End of the attempt.
    pub outcome: Outcome,
}

/// Observations of the tasks of one job.
#[derive(Clone, Debug, Default)]
pub struct JobObservations {
    /// First observed task; `None` before any task has been observed.
    pub(crate) first: Option<FirstTask>,
    /// Number of observed attempts. A task is counted again if its earlier attempt was censored.
    pub(crate) tasks_seen: u32,
    /// Mean difference between the logarithm of the run time and the location without the effect of the job.
    pub(crate) residuals: DecayingMean,
}

/// First observed task of a job.
#[derive(Clone, Debug)]
pub(crate) struct FirstTask {
    /// Type of the machine that the task ran on.
    pub machine_type: Name,
    /// Location that was expected for the task, as the logarithm of seconds.
    pub location: f64,
}

/// Limits of a learner.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum memory of a learner, in bytes. Beyond it the least useful cells are evicted; their observations remain
    /// in the coarser cells.
    pub max_memory_bytes: usize,
    /// Time without new observations after which evidence counts half.
    pub half_life: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { max_memory_bytes: 64 * 1024, half_life: Span::secs(7200.0) }
    }
}

/// Statistical model of run times, updated with every observed attempt.
#[derive(Clone, Debug)]
pub struct Learner {
    /// Cells, ordered by key so that the same history always gives the same result.
    pub(crate) cells: BTreeMap<CellKey, Box<Cell>>,
    /// Memory of the cells and their keys, in bytes.
    cell_bytes: usize,
    pub(crate) limits: Limits,
    /// Calibration of the intervals.
    pub calibration: Calibration,
    /// Number of attempts by origin, that is, by the learner that observed them. Comparing the counts with those of a
    /// snapshot shows whether the snapshot contains observations that are missing here.
    pub(crate) origins: BTreeMap<u64, u64>,
    /// Origin of the attempts that this learner itself observes.
    own_origin: u64,
}

/// Bounds and median of an interval, as logarithms of seconds.
struct LogInterval {
    low: f64,
    median: f64,
    high: f64,
}

/// Run time of an attempt, or its expectation if the attempt was censored.
struct ImputedRunTime {
    /// Logarithm of the run time in seconds.
    log_seconds: f64,
    /// Evidence that the run time counts for: 1 for a completed attempt, less for a censored one.
    evidence: f64,
    /// Standardized observed run time.
    standardized: f64,
}

impl Learner {
    /// Creates a learner without observations.
    ///
    /// `origin` must differ from that of every other learner whose snapshots may be merged with this one's.
    pub fn new(origin: u64, limits: Limits) -> Learner {
        Learner {
            cells: BTreeMap::new(),
            cell_bytes: 0,
            limits,
            calibration: Calibration::default(),
            origins: BTreeMap::new(),
            own_origin: origin,
        }
    }

    /// Forecasts the run time of the next task.
    pub fn predict(&self, features: &TaskFeatures, job: &JobObservations) -> RunTimeForecast {
        let expectation = self.expectation(features, job);
        let LogInterval { low, median, high } = self.interval(&expectation);
        let span = |log_seconds: f64| Span::secs(log_seconds.clamp(MIN_LOG_SECONDS, MAX_LOG_SECONDS).exp());
        RunTimeForecast {
            low: span(low),
            median: span(median),
            high: span(high),
            mean: span(median + expectation.scale.powi(2).min(MAX_VARIANCE_OF_MEAN) / 2.0),
            observations: expectation.observations,
            level: expectation.level,
            shared_deviation: expectation.shared_deviation,
            task_deviation: expectation.task_deviation,
        }
    }

    /// Learns from an attempt. Unless cells have to be evicted, the cost does not grow with the number of earlier
    /// attempts.
    pub fn learn(&mut self, features: &TaskFeatures, attempt: Attempt, job: &mut JobObservations, now: Time) {
        let log_seconds = attempt.run_time.as_secs().max(MIN_SECONDS).ln();
        let expectation = self.expectation(features, job);
        let is_completed = attempt.outcome == Outcome::Completed;
        // The tasks of a job are similar, so each further one adds less information. With equal weights a large job
        // would outweigh all others.
        let weight = 1.0 / (1.0 + f64::from(job.tasks_seen) / 2.0);
        self.calibrate(&expectation, log_seconds, is_completed, weight);
        let imputed = impute(&expectation, log_seconds, is_completed);
        let residual = imputed.log_seconds - expectation.base_location;
        let within_job_square = job.within_job_square(residual);
        for (key, level) in features.cell_keys().into_iter().zip(expectation.level_estimates) {
            let observation = CellObservation {
                estimate: features.log_estimate(),
                run_time: imputed.log_seconds,
                weight,
                evidence: imputed.evidence,
                residual: imputed.log_seconds - level.location,
                standardized: imputed.standardized,
                is_completed,
                within_job_square,
            };
            self.record(key, &observation, now);
        }
        let first = || FirstTask { machine_type: features.machine_type.clone(), location: expectation.base_location };
        job.first.get_or_insert_with(first);
        job.tasks_seen = job.tasks_seen.saturating_add(1);
        job.residuals.add(residual, imputed.evidence, JOB_WINDOW);
        *self.origins.entry(self.own_origin).or_default() += 1;
        self.evict(now);
    }

    /// Records an attempt in one cell.
    fn record(&mut self, key: CellKey, observation: &CellObservation, now: Time) {
        let key_bytes = key.heap_bytes();
        let cell = self.cells.entry(key).or_insert_with(|| {
            let cell = Box::<Cell>::default();
            self.cell_bytes += key_bytes + cell.bytes();
            cell
        });
        let bytes_before = cell.bytes();
        cell.record(observation, now, self.limits.half_life);
        self.cell_bytes = self.cell_bytes + cell.bytes() - bytes_before;
    }

    /// Judges the interval if the attempt completed, and adapts its widening.
    fn calibrate(&mut self, expectation: &Expectation, log_seconds: f64, is_completed: bool, weight: f64) {
        let LogInterval { low, median, high } = self.interval(expectation);
        let basis = expectation.basis.index();
        if is_completed {
            self.calibration.tallies[basis].judge(low.exp(), median.exp(), high.exp(), log_seconds.exp());
        }
        // A censored attempt counts only if it ran beyond the interval. Censored earlier, it might have ended inside or
        // outside.
        if is_completed || log_seconds > high {
            self.calibration.widenings[basis].adapt(log_seconds < low, log_seconds > high, weight);
        }
    }

    /// Returns the calibrated interval.
    fn interval(&self, expectation: &Expectation) -> LogInterval {
        let widening = self.calibration.widenings[expectation.basis.index()];
        let quantile = |probability: f64| expectation.survival.quantile(probability);
        let median = quantile(0.5);
        let low = median - (median - quantile(TAIL_PROBABILITY)) * widening.low.exp();
        let high = median + (quantile(1.0 - TAIL_PROBABILITY) - median) * widening.high.exp();
        let log_seconds = |standardized: f64| expectation.location + expectation.scale * standardized;
        LogInterval { low: log_seconds(low), median: log_seconds(median), high: log_seconds(high) }
    }

    /// Returns the memory in use, in bytes, as the sum over all cells, map entries and the learner itself.
    pub fn memory_bytes(&self) -> usize {
        // The nodes of a B-tree map are at least half full.
        let entry = 2 * size_of::<(CellKey, Box<Cell>)>();
        self.cell_bytes + self.cells.len() * entry + size_of::<Learner>()
    }

    /// Returns the number of cells, that is, of groups of similar tasks.
    pub fn cell_count(&self) -> usize {
        self.cells.len()
    }

    /// Evicts the least useful cells until the memory limit is met or only one cell is left.
    fn evict(&mut self, now: Time) {
        while self.memory_bytes() > self.limits.max_memory_bytes && self.cells.len() > 1 {
            let mut candidates: Vec<(f64, CellKey)> = self
                .cells
                .iter()
                .filter(|(key, _)| **key != CellKey::All)
                .map(|(key, cell)| (cell.usefulness(now, self.limits.half_life), key.clone()))
                .collect();
            candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(&a.1)));
            for (_, key) in candidates.into_iter().take(self.cells.len().div_ceil(EVICTION_DIVISOR)) {
                self.cells.remove(&key);
            }
            self.recompute_cell_bytes();
        }
    }

    /// Recomputes the memory of the cells after cells were removed or merged.
    fn recompute_cell_bytes(&mut self) {
        self.cell_bytes = self.cells.iter().map(|(key, cell)| key.heap_bytes() + cell.bytes()).sum();
    }

    /// Removes the cells of a class. Its contribution to the cell of all tasks remains and decays with time.
    pub fn remove_class(&mut self, class: &Name) {
        self.cells.retain(|key, _| key.class() != Some(class));
        self.recompute_cell_bytes();
    }

    /// Recomputes the memory after cells were merged, and applies the memory limit.
    pub(crate) fn enforce_memory_limit(&mut self, now: Time) {
        self.recompute_cell_bytes();
        self.evict(now);
    }
}

impl JobObservations {
    /// Returns the squared difference between a residual and the mean of the job's other tasks, scaled to the
    /// variance within the job; `None` if the observed tasks have too little weight.
    fn within_job_square(&self, residual: f64) -> Option<f64> {
        let weight = self.residuals.weight;
        (weight > MIN_JOB_WEIGHT).then(|| {
            let difference = residual - self.residuals.sum / weight;
            difference * difference * weight / (weight + 1.0)
        })
    }
}

/// Limits the run time of a completed attempt to a plausible range, and replaces that of a censored one by its
/// expectation (J. Buckley and I. James, "Linear regression with censored data", 1979).
fn impute(expectation: &Expectation, log_seconds: f64, is_completed: bool) -> ImputedRunTime {
    let Expectation { location, scale, survival, .. } = expectation;
    let standardized = ((log_seconds - location) / scale).clamp(-MAX_STANDARDIZED_RUN_TIME, MAX_STANDARDIZED_RUN_TIME);
    if is_completed {
        return ImputedRunTime { log_seconds: location + standardized * scale, evidence: 1.0, standardized };
    }
    let expected = survival.mean_beyond(standardized).min(MAX_STANDARDIZED_RUN_TIME);
    ImputedRunTime {
        // The observed run time is a lower bound.
        log_seconds: log_seconds.max(location + expected * scale),
        evidence: survival.cumulative_probability(standardized),
        standardized,
    }
}
