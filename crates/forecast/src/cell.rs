//! What was seen of one kind of work: where its run times lie, how they spread, and in what shape.

use crate::sample::Sample;
use crowstall_model::time::{Span, Time};

/// How much of the newest evidence the location remembers, in completed attempts: few, so that a day on
/// which all estimates are too high is noticed within tens of completions.
const LOCATION: f64 = 50.0;
/// The same for the spread and the shape, which need more to be known and change less.
const SPREAD: f64 = 150.0;
/// The slope of the run time over the estimate is taken as 1, as if that had been seen with so much
/// spread of the estimates (weight times variance).
const SLOPE_PRIOR: f64 = 0.5;

/// A sum with forgetting.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub sum: f64,
    pub weight: f64,
}

impl Mean {
    pub fn add(&mut self, value: f64, weight: f64, memory: f64) {
        let keep = (-weight / memory).exp();
        self.sum = self.sum * keep + value * weight;
        self.weight = self.weight * keep + weight;
    }

    /// The mean, with `prior` counted as so much evidence.
    pub fn with(&self, prior: f64, strength: f64) -> f64 {
        (self.sum + prior * strength) / (self.weight + strength)
    }

    fn fade(&mut self, factor: f64) {
        self.sum *= factor;
        self.weight *= factor;
    }

    fn merge(&mut self, other: Mean) {
        self.sum += other.sum;
        self.weight += other.weight;
    }
}

/// One observation as a cell takes it in; lengths of time as logarithms of seconds.
pub(crate) struct Seen {
    pub estimate: f64,
    /// The run time, or what it is expected to have been if it was cut.
    pub ran: f64,
    pub weight: f64,
    /// How much the run time is worth as evidence: all of it if it completed.
    pub evidence: f64,
    /// By how much it missed what this cell alone would have said, before and in spreads.
    pub missed: f64,
    pub in_spreads: f64,
    pub is_event: bool,
    /// For a task whose job has completed others: the square by which it missed their mean.
    pub within_job: Option<f64>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Cell {
    /// Means and centred moments of estimate (x) and run time (y).
    pub weight: f64,
    pub x: f64,
    pub y: f64,
    pub xx: f64,
    pub xy: f64,
    /// How much of the weight rests on run times that were really seen.
    pub evidence: f64,
    /// Completed attempts, never forgotten.
    pub completed: u64,
    /// Squares of misses, of all and within jobs.
    pub total: Mean,
    pub within: Mean,
    /// Misses in spreads.
    pub shape: Sample,
    pub last: Time,
}

impl Cell {
    pub fn learn(&mut self, seen: &Seen, now: Time, half_life: Span) {
        self.fade(now, half_life);
        let keep = (-seen.weight / LOCATION).exp();
        self.scale_location(keep);
        self.evidence += seen.weight * seen.evidence;
        let weight = self.weight + seen.weight;
        let (dx, dy) = (seen.estimate - self.x, seen.ran - self.y);
        let part = seen.weight / weight;
        self.x += dx * part;
        self.y += dy * part;
        self.xx += seen.weight * dx * (seen.estimate - self.x);
        self.xy += seen.weight * dx * (seen.ran - self.y);
        self.weight = weight;
        if seen.is_event {
            self.completed += 1;
            self.total.add(seen.missed * seen.missed, seen.weight, SPREAD);
            if let Some(square) = seen.within_job {
                self.within.add(square, seen.weight, SPREAD);
            }
        }
        self.shape.fade((-seen.weight / SPREAD).exp());
        self.shape.add(seen.in_spreads, seen.weight, seen.is_event);
    }

    /// Where the run time of work with this estimate lies, by what this cell has seen.
    pub fn location(&self, estimate: f64) -> f64 {
        let slope = ((self.xy + SLOPE_PRIOR) / (self.xx + SLOPE_PRIOR)).clamp(0.0, 1.5);
        self.y + slope * (estimate - self.x)
    }

    pub fn fade(&mut self, now: Time, half_life: Span) {
        let age = now.since(self.last);
        self.last = self.last.max(now);
        // Too little to be worth the work.
        if age.0.saturating_mul(1000) < half_life.0 || self.weight == 0.0 {
            return;
        }
        let factor = self.freshness(age, half_life);
        self.scale_location(factor);
        self.total.fade(factor);
        self.within.fade(factor);
        self.shape.fade(factor);
    }

    fn freshness(&self, age: Span, half_life: Span) -> f64 {
        (-(age.as_secs() / half_life.as_secs().max(1e-3))).exp2()
    }

    fn scale_location(&mut self, factor: f64) {
        self.weight *= factor;
        self.evidence *= factor;
        self.xx *= factor;
        self.xy *= factor;
    }

    /// How much would be lost with it.
    pub fn usefulness(&self, now: Time, half_life: Span) -> f64 {
        self.evidence * self.freshness(now.since(self.last), half_life)
    }

    pub fn merge(&mut self, other: &Cell) {
        let weight = self.weight + other.weight;
        if other.weight > 0.0 {
            let part = other.weight / weight;
            let (dx, dy) = (other.x - self.x, other.y - self.y);
            let spread = self.weight * part;
            self.xx += other.xx + dx * dx * spread;
            self.xy += other.xy + dx * dy * spread;
            self.x += dx * part;
            self.y += dy * part;
        }
        self.weight = weight;
        self.evidence += other.evidence;
        self.completed += other.completed;
        self.total.merge(other.total);
        self.within.merge(other.within);
        self.shape.merge(&other.shape);
        self.last = self.last.max(other.last);
    }

    pub fn bytes(&self) -> usize {
        size_of::<Cell>() + self.shape.bytes()
    }
}
