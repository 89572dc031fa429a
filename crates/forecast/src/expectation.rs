//! The distribution that a learner expects for the run time of a task.
//!
//! The location and the variances are estimated level by level from coarse to fine; each level is shrunk towards the
//! coarser one. The tasks of a job share a random effect, which is estimated from the observed ones.

use crate::calibration::Basis;
use crate::cell::Cell;
use crate::features::{LEVELS, TaskFeatures};
use crate::learner::{JobObservations, Learner};
use crate::run_time::Level;
use crate::survival::{PooledSample, SurvivalFunction};
use crowstall_model::time::Span;

/// Prior of the total variance of the logarithm of run time over estimate. The standard deviation corresponds to a
/// factor of some 1.8.
const PRIOR_TOTAL_VARIANCE: f64 = 0.36;
/// Prior of the variance between the tasks of a job. The standard deviation corresponds to a factor of some 1.2.
const PRIOR_WITHIN_JOB_VARIANCE: f64 = 0.04;
/// Factor of the prior total variance for a job without an estimate.
const NO_ESTIMATE_FACTOR: f64 = 4.0;
/// Weight of the coarser level in the location of a cell, in observations.
const LOCATION_PRIOR_WEIGHT: f64 = 4.0;
/// Weight of the coarser level in the variances of a cell, in observations.
const VARIANCE_PRIOR_WEIGHT: f64 = 6.0;
/// Maximum weight of each level in the shape of the distribution, from coarse to fine.
const MAX_SHAPE_WEIGHTS: [f64; LEVELS] = [8.0, 12.0, 20.0, 60.0];
/// Weight of the normal distribution in the shape.
const SHAPE_PRIOR_WEIGHT: f64 = 6.0;
/// Minimum number of completed attempts for a cell to be reported as the basis of a forecast. The class is reported
/// from the first one on.
const MIN_OBSERVATIONS: u64 = 3;
/// Minimum variance between jobs, as a fraction of the total variance.
const MIN_BETWEEN_JOBS_FRACTION: f64 = 0.02;
/// Minimum scale of the expected distribution.
const MIN_SCALE: f64 = 0.01;

/// Estimate of one level, shrunk towards those of the coarser levels.
#[derive(Clone, Copy)]
pub(crate) struct LevelEstimate {
    /// Location of the logarithm of the run time.
    pub location: f64,
    /// Variance over the tasks of all jobs.
    total_variance: f64,
    /// Variance between the tasks of a job.
    within_job_variance: f64,
    /// Variance of the estimated location.
    location_variance: f64,
}

/// Estimates of all levels and the cells that they are based on, from coarse to fine. The cell is `None` for a level
/// without observations.
struct LevelEstimates<'a> {
    estimates: [LevelEstimate; LEVELS],
    cells: [Option<&'a Cell>; LEVELS],
}

/// Distribution expected for the run time of a task; durations are logarithms of seconds.
pub(crate) struct Expectation {
    /// Estimates of all levels, from coarse to fine.
    pub level_estimates: [LevelEstimate; LEVELS],
    /// Location, including the effect of the job.
    pub location: f64,
    /// Scale: the standard deviation of the next task's run time.
    pub scale: f64,
    /// Location without the effect of the job.
    pub base_location: f64,
    /// Distribution of standardized run times.
    pub survival: SurvivalFunction,
    /// Number of completed attempts that the expectation is based on.
    pub observations: u64,
    /// Finest level with enough of these attempts.
    pub level: Level,
    /// Kind of the observations that the expectation is based on, by which the intervals are calibrated.
    pub basis: Basis,
    /// Standard deviation of the effect that all tasks of the job share.
    pub shared_deviation: f64,
    /// Standard deviation between the tasks of the job.
    pub task_deviation: f64,
}

/// Effect that the tasks of a job share beyond their features: a random effect of a mixed model.
struct JobEffect {
    /// Expected effect on the location.
    shift: f64,
    /// Variance of the effect.
    variance: f64,
    /// Variance between the tasks of the job.
    within_job_variance: f64,
}

/// Completed attempts that a forecast is based on.
struct SimilarAttempts {
    level: Level,
    completed: u64,
}

impl LevelEstimate {
    /// Returns the estimate without any observation: the run time is expected to be the owner's estimate.
    fn prior(features: &TaskFeatures) -> LevelEstimate {
        let factor = if features.estimate > Span::ZERO { 1.0 } else { NO_ESTIMATE_FACTOR };
        let total_variance = PRIOR_TOTAL_VARIANCE * factor;
        LevelEstimate {
            location: features.log_estimate(),
            total_variance,
            within_job_variance: PRIOR_WITHIN_JOB_VARIANCE,
            location_variance: total_variance,
        }
    }

    /// Returns the estimate of the next finer level from its cell, shrunk towards this one.
    fn refine(&self, cell: &Cell, log_estimate: f64) -> LevelEstimate {
        let fraction = cell.evidence / (cell.evidence + LOCATION_PRIOR_WEIGHT);
        LevelEstimate {
            location: self.location + (cell.location(log_estimate) - self.location) * fraction,
            total_variance: cell.total_variance.shrunk_towards(self.total_variance, VARIANCE_PRIOR_WEIGHT),
            within_job_variance: cell
                .within_job_variance
                .shrunk_towards(self.within_job_variance, VARIANCE_PRIOR_WEIGHT),
            // The weight of the total variance counts completed attempts only: censored ones may move the location but
            // do not make it more certain.
            location_variance: self.location_variance * LOCATION_PRIOR_WEIGHT
                / (cell.total_variance.weight + LOCATION_PRIOR_WEIGHT),
        }
    }
}

impl LevelEstimates<'_> {
    /// Returns the estimate of the finest level, which contains those of the coarser ones.
    fn finest(&self) -> LevelEstimate {
        self.estimates[LEVELS - 1]
    }

    /// Returns the distribution of standardized run times, pooled over all levels.
    fn survival_function(&self) -> SurvivalFunction {
        let mut pooled = PooledSample::default();
        for (cell, max_weight) in self.cells.iter().zip(MAX_SHAPE_WEIGHTS) {
            if let Some(cell) = cell {
                pooled.add(&cell.shape, max_weight);
            }
        }
        pooled.add_normal(SHAPE_PRIOR_WEIGHT);
        pooled.survival_function()
    }

    /// Returns the finest level with enough completed attempts, and their number.
    fn similar_attempts(&self) -> SimilarAttempts {
        let mut similar = SimilarAttempts { level: Level::Estimate, completed: 0 };
        for (cell, level) in self.cells.iter().skip(1).zip([Level::Class, Level::ClassAndSize, Level::Kind]) {
            let completed = cell.map_or(0, |cell| cell.completed_attempts);
            if completed >= MIN_OBSERVATIONS || (level == Level::Class && completed > 0) {
                similar = SimilarAttempts { level, completed };
            }
        }
        similar
    }
}

impl JobEffect {
    /// Estimates the effect from the mean residual of the job, shrunk towards zero; the more tasks of the job were
    /// observed, the less it is shrunk.
    fn new(estimate: &LevelEstimate, job: &JobObservations) -> JobEffect {
        let total = estimate.total_variance;
        let within = estimate.within_job_variance.min(total);
        let between = (total - within).max(MIN_BETWEEN_JOBS_FRACTION * total);
        let prior_weight = within / between;
        let weight = job.residuals.weight;
        let known_fraction = weight / (weight + prior_weight);
        let mean_residual = if weight > 0.0 { job.residuals.sum / weight } else { 0.0 };
        JobEffect {
            shift: known_fraction * mean_residual,
            variance: within / (weight + prior_weight) + estimate.location_variance * (1.0 - known_fraction),
            within_job_variance: within,
        }
    }
}

impl Learner {
    /// Returns the distribution expected for the run time of a task.
    pub(crate) fn expectation(&self, features: &TaskFeatures, job: &JobObservations) -> Expectation {
        let levels = self.level_estimates(features);
        let finest = levels.finest();
        let base_location = self.base_location(&finest, features, job);
        let effect = JobEffect::new(&finest, job);
        let similar = levels.similar_attempts();
        Expectation {
            level_estimates: levels.estimates,
            location: base_location + effect.shift,
            scale: (effect.within_job_variance + effect.variance).sqrt().max(MIN_SCALE),
            base_location,
            survival: levels.survival_function(),
            observations: similar.completed,
            level: similar.level,
            basis: Basis::new(similar.completed, job.tasks_seen),
            shared_deviation: effect.variance.sqrt(),
            task_deviation: effect.within_job_variance.sqrt(),
        }
    }

    /// Returns the estimates of all levels for a task.
    fn level_estimates(&self, features: &TaskFeatures) -> LevelEstimates<'_> {
        let log_estimate = features.log_estimate();
        let mut estimate = LevelEstimate::prior(features);
        let cells = features.cell_keys().map(|key| self.cells.get(&key).map(|cell| &**cell));
        let estimates = cells.map(|cell| {
            // A level without observations takes over the estimate of the coarser one.
            if let Some(cell) = cell.filter(|cell| cell.weight > 0.0) {
                estimate = estimate.refine(cell, log_estimate);
            }
            estimate
        });
        LevelEstimates { estimates, cells }
    }

    /// Returns the location without the effect of the job.
    ///
    /// For a job with observed tasks, returns the location expected for the first one, plus the difference between the
    /// machine types. The current estimate of the cells already contains the job's own observations, so that these
    /// would be counted twice together with the effect of the job.
    fn base_location(&self, finest: &LevelEstimate, features: &TaskFeatures, job: &JobObservations) -> f64 {
        let Some(first) = &job.first else { return finest.location };
        if first.machine_type == features.machine_type {
            return first.location;
        }
        let on_first_type = TaskFeatures { machine_type: first.machine_type.clone(), ..features.clone() };
        first.location + (finest.location - self.level_estimates(&on_first_type).finest().location)
    }
}
