//! A cell: the location, scale and shape of the distribution of run times of similar tasks, estimated from their
//! attempts.

use crate::sample::CensoredSample;
use crowstall_model::time::{Span, Time};

/// Weight of attempts after which an older one counts 1/e in the location.
///
/// The number is small so that estimates that become too high for all jobs are corrected within tens of completed
/// attempts.
const LOCATION_WINDOW: f64 = 50.0;
/// Weight of attempts after which an older one counts 1/e in the scale and the shape. These need more observations than
/// the location and change less.
const SCALE_WINDOW: f64 = 150.0;
/// Strength of the prior that the run time is proportional to the estimate, that is, that the slope of their logarithms
/// is 1; in units of weight times variance of the estimates.
const SLOPE_PRIOR: f64 = 0.5;
/// Maximum slope of the logarithm of the run time over that of the estimate.
const MAX_SLOPE: f64 = 1.5;
/// Maximum number of times per half-life that decay is applied.
const DECAYS_PER_HALF_LIFE: u64 = 1000;

/// Weighted mean in which older values decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingMean {
    /// Weighted sum of the values.
    pub sum: f64,
    /// Total weight of the values.
    pub weight: f64,
}

impl DecayingMean {
    /// Adds a value. Earlier values decay by the factor e for each `window` of added weight.
    pub fn add(&mut self, value: f64, weight: f64, window: f64) {
        let decay = (-weight / window).exp();
        self.sum = self.sum * decay + value * weight;
        self.weight = self.weight * decay + weight;
    }

    /// Returns the mean shrunk towards `prior`, which counts as much as values with a weight of `strength`.
    pub fn shrunk_towards(&self, prior: f64, strength: f64) -> f64 {
        (self.sum + prior * strength) / (self.weight + strength)
    }

    fn scale_weight(&mut self, factor: f64) {
        self.sum *= factor;
        self.weight *= factor;
    }

    fn merge(&mut self, other: DecayingMean) {
        self.sum += other.sum;
        self.weight += other.weight;
    }
}

/// Attempt as a cell records it; durations are logarithms of seconds.
pub(crate) struct CellObservation {
    /// Owner's estimate.
    pub estimate: f64,
    /// Run time, or its expectation if the attempt was censored.
    pub run_time: f64,
    /// Weight of the attempt; decreases with each further task of the same job.
    pub weight: f64,
    /// Evidence that the run time counts for: 1 for a completed attempt, less for a censored one.
    pub evidence: f64,
    /// Difference between the run time and the location that the level of the cell had predicted.
    pub residual: f64,
    /// Standardized difference between the observed run time and the predicted location.
    pub standardized: f64,
    /// `true` if the attempt completed, `false` if it was censored.
    pub is_completed: bool,
    /// Squared difference from the mean of the job's other tasks, scaled to the variance within the job; `None` if
    /// these have too little weight.
    pub within_job_square: Option<f64>,
}

/// Statistics of the run times of similar tasks; durations are logarithms of seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cell {
    /// Weight of the observations.
    pub weight: f64,
    /// Mean of the estimates.
    pub mean_estimate: f64,
    /// Mean of the run times.
    pub mean_run_time: f64,
    /// Weighted sum of squared deviations of the estimates from their mean.
    pub estimate_moment: f64,
    /// Weighted sum of products of the deviations of estimates and run times from their means.
    pub cross_moment: f64,
    /// Weight of the observations as evidence: completed attempts count in full, censored ones in part.
    pub evidence: f64,
    /// Number of completed attempts; does not decay.
    pub completed_attempts: u64,
    /// Total variance: the mean of the squared residuals.
    pub total_variance: DecayingMean,
    /// Variance within jobs: the mean of the squared differences from the other tasks of the job.
    pub within_job_variance: DecayingMean,
    /// Standardized run times.
    pub shape: CensoredSample,
    /// Latest time that [`Cell::decay`] was called with.
    pub updated_at: Time,
}

impl Cell {
    /// Records an attempt.
    pub fn record(&mut self, observation: &CellObservation, now: Time, half_life: Span) {
        self.decay(now, half_life);
        self.record_location(observation);
        if observation.is_completed {
            self.record_scale(observation);
        }
        self.shape.scale_weight((-observation.weight / SCALE_WINDOW).exp());
        self.shape.add(observation.standardized, observation.weight, observation.is_completed);
    }

    /// Updates the regression of run times over estimates.
    fn record_location(&mut self, observation: &CellObservation) {
        self.scale_location_weight((-observation.weight / LOCATION_WINDOW).exp());
        self.evidence += observation.weight * observation.evidence;
        let weight = self.weight + observation.weight;
        let estimate_deviation = observation.estimate - self.mean_estimate;
        let run_time_deviation = observation.run_time - self.mean_run_time;
        let fraction = observation.weight / weight;
        self.mean_estimate += estimate_deviation * fraction;
        self.mean_run_time += run_time_deviation * fraction;
        self.estimate_moment += observation.weight * estimate_deviation * (observation.estimate - self.mean_estimate);
        self.cross_moment += observation.weight * estimate_deviation * (observation.run_time - self.mean_run_time);
        self.weight = weight;
    }

    /// Updates the variances with a completed attempt.
    fn record_scale(&mut self, observation: &CellObservation) {
        self.completed_attempts += 1;
        self.total_variance.add(observation.residual * observation.residual, observation.weight, SCALE_WINDOW);
        if let Some(square) = observation.within_job_square {
            self.within_job_variance.add(square, observation.weight, SCALE_WINDOW);
        }
    }

    /// Returns the location of the run time of tasks with this estimate, from the regression of run times over
    /// estimates.
    pub fn location(&self, estimate: f64) -> f64 {
        let slope = ((self.cross_moment + SLOPE_PRIOR) / (self.estimate_moment + SLOPE_PRIOR)).clamp(0.0, MAX_SLOPE);
        self.mean_run_time + slope * (estimate - self.mean_estimate)
    }

    /// Reduces the weight of all observations by the time since the last call.
    pub fn decay(&mut self, now: Time, half_life: Span) {
        let age = now.since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        // A shorter time is skipped to save the computation, and is not made up for by a later call.
        if age.0.saturating_mul(DECAYS_PER_HALF_LIFE) < half_life.0 || self.weight == 0.0 {
            return;
        }
        let factor = decay_factor(age, half_life);
        self.scale_location_weight(factor);
        self.total_variance.scale_weight(factor);
        self.within_job_variance.scale_weight(factor);
        self.shape.scale_weight(factor);
    }

    fn scale_location_weight(&mut self, factor: f64) {
        self.weight *= factor;
        self.evidence *= factor;
        self.estimate_moment *= factor;
        self.cross_moment *= factor;
    }

    /// Returns the evidence that would be lost if the cell were evicted.
    pub fn usefulness(&self, now: Time, half_life: Span) -> f64 {
        self.evidence * decay_factor(now.since(self.updated_at), half_life)
    }

    /// Adds the observations of another cell.
    pub fn merge(&mut self, other: &Cell) {
        let weight = self.weight + other.weight;
        if other.weight > 0.0 {
            let fraction = other.weight / weight;
            let estimate_deviation = other.mean_estimate - self.mean_estimate;
            let run_time_deviation = other.mean_run_time - self.mean_run_time;
            let between_weight = self.weight * fraction;
            self.estimate_moment += other.estimate_moment + estimate_deviation * estimate_deviation * between_weight;
            self.cross_moment += other.cross_moment + estimate_deviation * run_time_deviation * between_weight;
            self.mean_estimate += estimate_deviation * fraction;
            self.mean_run_time += run_time_deviation * fraction;
        }
        self.weight = weight;
        self.evidence += other.evidence;
        self.completed_attempts += other.completed_attempts;
        self.total_variance.merge(other.total_variance);
        self.within_job_variance.merge(other.within_job_variance);
        self.shape.merge(&other.shape);
        self.updated_at = self.updated_at.max(other.updated_at);
    }

    /// Returns the memory of the cell, in bytes.
    pub fn bytes(&self) -> usize {
        size_of::<Cell>() + self.shape.heap_bytes()
    }
}

/// Returns the factor by which evidence of this age is reduced.
fn decay_factor(age: Span, half_life: Span) -> f64 {
    (-(age.as_secs() / half_life.as_secs().max(1e-3))).exp2()
}
