//! How well the stated intervals hold, and what they are stretched by so that they do (after I. Gibbs
//! and E. Candès, "Adaptive conformal inference under distribution shift", 2021: each miss widens its
//! side, each hit narrows it, in the proportion in which they should occur).

/// The share that should lie below the interval, and the same above it.
pub(crate) const TAIL: f64 = 0.1;
/// How far one observation moves a side, and how far it may go, as logarithms of the width.
const STEP: f64 = 0.06;
const MOST: f64 = 1.5;
/// From how many observations on an answer rests on many.
pub(crate) const MANY: u64 = 20;

/// What became of stated intervals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// How many were judged.
    pub judged: u64,
    /// In how many the outcome lay below the interval, and above it.
    pub below: u64,
    pub above: u64,
    /// In how many the middle lay within a quarter of the outcome.
    pub within_quarter: u64,
}

impl Tally {
    /// The share of outcomes inside the interval; nothing if none was judged.
    pub fn coverage(&self) -> Option<f64> {
        (self.judged > 0).then(|| 1.0 - (self.below + self.above) as f64 / self.judged as f64)
    }

    /// The share of middles within a quarter of the outcome; nothing if none was judged.
    pub fn near(&self) -> Option<f64> {
        (self.judged > 0).then(|| self.within_quarter as f64 / self.judged as f64)
    }

    /// Judges an interval by an outcome.
    pub fn judge(&mut self, low: f64, middle: f64, high: f64, outcome: f64) {
        self.judged += 1;
        self.below += u64::from(outcome < low);
        self.above += u64::from(outcome > high);
        self.within_quarter += u64::from((middle - outcome).abs() <= 0.25 * outcome);
    }

    pub fn merge(&mut self, other: Tally) {
        self.judged += other.judged;
        self.below += other.below;
        self.above += other.above;
        self.within_quarter += other.within_quarter;
    }
}

/// By how much the two sides of an interval are stretched, as logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Stretch {
    pub low: f64,
    pub high: f64,
}

impl Stretch {
    pub fn learn(&mut self, below: bool, above: bool, weight: f64) {
        let step = |missed: bool| STEP * weight * (f64::from(u8::from(missed)) - TAIL);
        self.low = (self.low + step(below)).clamp(-MOST, MOST);
        self.high = (self.high + step(above)).clamp(-MOST, MOST);
    }
}

/// Kept apart by how much an answer rests on: nothing, few or many observations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calibration {
    pub(crate) stretch: [Stretch; 3],
    /// What became of the intervals, by the same.
    pub tallies: [Tally; 3],
}

impl Calibration {
    pub(crate) fn class_of(observations: u64) -> usize {
        match observations {
            0 => 0,
            n if n < MANY => 1,
            _ => 2,
        }
    }

    /// Of all intervals together.
    pub fn overall(&self) -> Tally {
        let mut sum = Tally::default();
        self.tallies.iter().for_each(|tally| sum.merge(*tally));
        sum
    }
}
