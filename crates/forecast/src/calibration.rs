//! Calibration of prediction intervals: counts the outcomes inside and outside, and adapts the widths.
//!
//! The method is adaptive conformal inference (I. Gibbs and E. Candès, "Adaptive conformal inference under
//! distribution shift", 2021): each miss widens the missed side of the interval and each hit narrows the side, in
//! the proportion in which hits and misses should occur.

/// Nominal probability of an outcome below the interval, and likewise above it.
pub(crate) const TAIL_PROBABILITY: f64 = 0.1;
/// Step size of the adaptation, as the logarithm of a width.
const LEARNING_RATE: f64 = 0.06;
/// Maximum widening or narrowing of a side, as the logarithm of its width.
pub(crate) const MAX_LOG_WIDENING: f64 = 1.5;
/// Minimum number of observations for a forecast to count as based on many.
pub(crate) const MANY_OBSERVATIONS: u64 = 20;
/// Minimum number of earlier tasks of the same job for a forecast to count as based on them.
const MIN_TASKS_OF_JOB: u32 = 8;
/// Minimum weight of a task in the calibration.
///
/// A further task of a large job adds little information about its class, but as much as any other task about the
/// quality of its forecast.
const MIN_WEIGHT: f64 = 0.3;
/// Maximum error of a prediction that counts as within a quarter, as a fraction of the outcome.
const WITHIN_QUARTER_FRACTION: f64 = 0.25;
/// Number of different bases of a forecast; see [`Basis`].
pub(crate) const BASIS_COUNT: usize = 4;

/// Counts of judged intervals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of intervals that were compared with an outcome.
    pub judged: u64,
    /// Number of outcomes below the interval.
    pub below: u64,
    /// Number of outcomes above the interval.
    pub above: u64,
    /// Number of medians that were off by at most a quarter of the outcome.
    pub within_quarter: u64,
}

impl Tally {
    /// Returns the fraction of outcomes inside the interval, from 0 to 1; `None` if no interval was judged.
    pub fn coverage(&self) -> Option<f64> {
        (self.judged > 0).then(|| 1.0 - (self.below + self.above) as f64 / self.judged as f64)
    }

    /// Returns the fraction of medians that were off by at most a quarter, from 0 to 1; `None` if no interval was
    /// judged.
    pub fn within_quarter_fraction(&self) -> Option<f64> {
        (self.judged > 0).then(|| self.within_quarter as f64 / self.judged as f64)
    }

    /// Compares an interval with the outcome and counts the result.
    pub fn judge(&mut self, low: f64, median: f64, high: f64, outcome: f64) {
        self.judged += 1;
        self.below += u64::from(outcome < low);
        self.above += u64::from(outcome > high);
        self.within_quarter += u64::from(is_within_quarter(median, outcome));
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: Tally) {
        self.judged += other.judged;
        self.below += other.below;
        self.above += other.above;
        self.within_quarter += other.within_quarter;
    }
}

/// Returns `true` if a prediction is off by at most a quarter of the outcome.
pub(crate) fn is_within_quarter(prediction: f64, outcome: f64) -> bool {
    (prediction - outcome).abs() <= WITHIN_QUARTER_FRACTION * outcome
}

/// Widening of the two sides of an interval, as logarithms; negative values narrow them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LogWidening {
    /// Side from the lower bound to the median.
    pub low: f64,
    /// Side from the median to the upper bound.
    pub high: f64,
}

impl LogWidening {
    /// Adapts the widening to an outcome below the interval, above it or inside (neither flag is set).
    pub fn adapt(&mut self, below: bool, above: bool, weight: f64) {
        let weight = weight.max(MIN_WEIGHT);
        let step = |missed: bool| LEARNING_RATE * weight * (f64::from(u8::from(missed)) - TAIL_PROBABILITY);
        self.low = (self.low + step(below)).clamp(-MAX_LOG_WIDENING, MAX_LOG_WIDENING);
        self.high = (self.high + step(above)).clamp(-MAX_LOG_WIDENING, MAX_LOG_WIDENING);
    }
}

/// Kind of the observations that a forecast is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Basis {
    /// No observation of such tasks.
    NoObservations,
    /// At least one observation, but fewer than [`MANY_OBSERVATIONS`].
    FewObservations,
    /// [`MANY_OBSERVATIONS`] or more.
    ManyObservations,
    /// At least [`MIN_TASKS_OF_JOB`] tasks of the same job.
    TasksOfJob,
}

impl Basis {
    /// Returns the basis of a forecast for which `observations` similar attempts and `tasks_of_job` tasks of the
    /// same job have been observed.
    pub fn new(observations: u64, tasks_of_job: u32) -> Basis {
        match observations {
            _ if tasks_of_job >= MIN_TASKS_OF_JOB => Basis::TasksOfJob,
            0 => Basis::NoObservations,
            count if count < MANY_OBSERVATIONS => Basis::FewObservations,
            _ => Basis::ManyObservations,
        }
    }

    /// Returns the position of this basis in the arrays of [`Calibration`], which is also its position in snapshots.
    pub fn index(self) -> usize {
        match self {
            Basis::NoObservations => 0,
            Basis::FewObservations => 1,
            Basis::ManyObservations => 2,
            Basis::TasksOfJob => 3,
        }
    }
}

/// Calibration of a learner's intervals, separate for each basis of a forecast.
///
/// A common widening would fit no basis: forecasts based on tasks of the same job do not contain the variation between
/// jobs, and most tasks belong to large jobs, so that these would dominate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calibration {
    /// Widening of the intervals, by basis.
    pub(crate) widenings: [LogWidening; BASIS_COUNT],
    /// Counts of judged intervals, by basis: no observations, few, many, or tasks of the same job.
    pub tallies: [Tally; BASIS_COUNT],
}

impl Calibration {
    /// Returns the counts over all bases.
    pub fn overall(&self) -> Tally {
        let mut sum = Tally::default();
        self.tallies.iter().for_each(|tally| sum.merge(*tally));
        sum
    }
}
