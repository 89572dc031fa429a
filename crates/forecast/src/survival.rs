//! Survival function of several pooled samples with censored values.

use crate::sample::CensoredSample;
use tdigests::Centroid;

/// Values of a discrete approximation of the standard normal distribution.
const NORMAL_VALUES: [f64; 11] = [-2.4, -1.7, -1.2, -0.8, -0.4, 0.0, 0.4, 0.8, 1.2, 1.7, 2.4];
/// Probability of each of the [`NORMAL_VALUES`].
const NORMAL_PROBABILITIES: [f64; 11] = [0.02, 0.05, 0.09, 0.13, 0.15, 0.12, 0.15, 0.13, 0.09, 0.05, 0.02];
/// Probability below which a tail counts as empty; also the lower bound of tail probabilities in quotients.
const MIN_PROBABILITY: f64 = 1e-6;
/// Minimum distance between the midpoints of two steps; across less, no interpolation is made.
const MIN_STEP_WIDTH: f64 = 1e-12;
/// Minimum probability of a tail for its mean to be computed.
const MIN_TAIL_PROBABILITY: f64 = 1e-9;
/// Assumed mean distance of the values beyond the last step from the last completed value or the given one, whichever
/// is larger, in standard deviations.
const MEAN_EXCESS_BEYOND_LAST: f64 = 0.5;
/// Assumed mean distance of the values beyond a given one if none was observed there, in standard deviations.
const DEFAULT_MEAN_EXCESS: f64 = 0.25;

/// Weighted value of a pooled sample.
#[derive(Clone, Copy, Debug)]
struct Point {
    value: f64,
    weight: f64,
    is_completed: bool,
}

/// Union of several samples, each with a limited weight.
#[derive(Default)]
pub(crate) struct PooledSample {
    points: Vec<Point>,
}

impl PooledSample {
    /// Adds a sample, scaled down to a total weight of `max_weight` if it has more.
    pub fn add(&mut self, sample: &CensoredSample, max_weight: f64) {
        let weight = sample.weight();
        if weight <= 0.0 {
            return;
        }
        let factor = (max_weight / weight).min(1.0);
        let point = |centroid: &Centroid, is_completed| Point {
            value: centroid.mean,
            weight: centroid.weight * factor,
            is_completed,
        };
        self.points.extend(sample.completed.iter().map(|centroid| point(centroid, true)));
        self.points.extend(sample.censored.iter().map(|centroid| point(centroid, false)));
    }

    /// Adds the standard normal distribution with a total weight of `weight`.
    pub fn add_normal(&mut self, weight: f64) {
        for (value, probability) in NORMAL_VALUES.into_iter().zip(NORMAL_PROBABILITIES) {
            self.points.push(Point { value, weight: weight * probability, is_completed: true });
        }
    }

    /// Returns the product-limit estimate of the survival function (E. Kaplan and P. Meier, "Nonparametric
    /// estimation from incomplete observations", 1958): a censored value is in the risk set up to the value at
    /// which it was censored.
    pub fn survival_function(mut self) -> SurvivalFunction {
        self.points.sort_by(|a, b| a.value.total_cmp(&b.value).then(b.is_completed.cmp(&a.is_completed)));
        let mut at_risk: f64 = self.points.iter().map(|point| point.weight).sum();
        let mut survival = 1.0;
        let mut steps = Vec::with_capacity(self.points.len());
        for point in &self.points {
            if point.is_completed && at_risk > 0.0 {
                let after = survival * (1.0 - point.weight / at_risk).max(0.0);
                steps.push(Step {
                    value: point.value,
                    probability: survival - after,
                    midpoint: 1.0 - (survival + after) / 2.0,
                });
                survival = after;
            }
            at_risk -= point.weight;
        }
        SurvivalFunction { steps, probability_beyond_last: survival }
    }
}

/// Step of a survival function.
struct Step {
    value: f64,
    /// Probability of the value.
    probability: f64,
    /// Cumulative probability at the middle of the step.
    midpoint: f64,
}

/// Estimated survival function.
pub(crate) struct SurvivalFunction {
    steps: Vec<Step>,
    /// Probability beyond the last step, where all values are censored.
    probability_beyond_last: f64,
}

impl SurvivalFunction {
    /// Returns the quantile at `probability`, interpolated between the steps and extrapolated beyond the last one; 0 if
    /// there are no steps.
    pub fn quantile(&self, probability: f64) -> f64 {
        let Some(first) = self.steps.first() else { return 0.0 };
        match self.steps.iter().position(|step| step.midpoint >= probability) {
            Some(0) => first.value,
            Some(index) => interpolate(&self.steps[index - 1], &self.steps[index], probability),
            None => self.extrapolate(self.steps.last().unwrap_or(first), probability),
        }
    }

    /// Returns the quantile at a probability beyond the last step. If censored values remain there, the quantile grows
    /// by one standard deviation for each factor e by which the survival probability falls; otherwise it is the last
    /// value.
    fn extrapolate(&self, last: &Step, probability: f64) -> f64 {
        let remaining = (1.0 - last.midpoint).max(MIN_PROBABILITY);
        let excess = if self.probability_beyond_last > MIN_PROBABILITY {
            (remaining / (1.0 - probability).max(MIN_PROBABILITY)).ln().max(0.0)
        } else {
            0.0
        };
        last.value + excess
    }

    /// Returns the mean of the distribution beyond `value`.
    pub fn mean_beyond(&self, value: f64) -> f64 {
        let (mut sum, mut probability) = (0.0, 0.0);
        for step in self.steps.iter().filter(|step| step.value > value) {
            sum += step.value * step.probability;
            probability += step.probability;
        }
        let last = self.steps.last().map_or(value, |step| step.value).max(value);
        sum += (last + MEAN_EXCESS_BEYOND_LAST) * self.probability_beyond_last;
        probability += self.probability_beyond_last;
        if probability > MIN_TAIL_PROBABILITY { (sum / probability).max(value) } else { value + DEFAULT_MEAN_EXCESS }
    }

    /// Returns the probability of values up to `value`.
    pub fn cumulative_probability(&self, value: f64) -> f64 {
        self.steps.iter().take_while(|step| step.value <= value).map(|step| step.probability).sum()
    }
}

/// Returns the value at `probability` by linear interpolation between two steps.
fn interpolate(before: &Step, after: &Step, probability: f64) -> f64 {
    let width = after.midpoint - before.midpoint;
    let fraction = if width > MIN_STEP_WIDTH { (probability - before.midpoint) / width } else { 1.0 };
    before.value + (after.value - before.value) * fraction
}
