//! Steady time and spans of it, in microseconds, as types of their own.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};

/// A reading of this process's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A length of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Span(pub u64);

/// How far the steady clocks of two machines may drift apart, as parts in ten thousand. The
/// protocol promises 0.05 %; twice that is assumed.
const DRIFT_PER_10K: u64 = 10;

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn millis(ms: u64) -> Span {
        Span(ms * 1000)
    }

    pub fn secs(seconds: f64) -> Span {
        Span((seconds.max(0.0) * 1e6) as u64)
    }

    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }

    /// The span as the slowest other clock could see it: use it to wait for somebody else's lease.
    pub fn stretched(self) -> Span {
        Span(self.0 + self.0 * DRIFT_PER_10K / 10_000 + 1000)
    }

    /// The span as the fastest other clock could see it: use it to bound one's own right.
    pub fn shrunk(self) -> Span {
        Span(self.0.saturating_sub(self.0 * DRIFT_PER_10K / 10_000 + 1000))
    }
}

impl Time {
    pub const ZERO: Time = Time(0);

    /// The time passed since `earlier`, none if that lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}
