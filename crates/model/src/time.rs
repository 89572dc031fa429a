//! Points in time of the steady (monotonic) clock and durations, both in microseconds.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};

/// Point in time on the steady clock of this process. Times of different processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(
    /// Microseconds since an arbitrary origin.
    pub u64,
);

/// Duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Span(
    /// Number of microseconds.
    pub u64,
);

/// Assumed maximum rate difference between the steady clocks of two machines, in parts per ten thousand. The protocol
/// guarantees 0.05 %; twice that is assumed.
const MAX_DRIFT_PER_10K: u64 = 10;

/// Allowance for clocks of low resolution, in microseconds.
const CLOCK_GRANULARITY_MICROS: u64 = 1000;

const MICROS_PER_MILLI: u64 = 1000;
const MICROS_PER_SEC: f64 = 1e6;

impl Span {
    /// Empty span.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `ms` milliseconds.
    pub const fn millis(ms: u64) -> Span {
        Span(ms * MICROS_PER_MILLI)
    }

    /// Returns a span of `seconds` seconds, or [`Span::ZERO`] if the number is negative.
    pub fn secs(seconds: f64) -> Span {
        Span((seconds.max(0.0) * MICROS_PER_SEC) as u64)
    }

    /// Returns the span in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SEC
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the span multiplied by `factor`.
    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }

    /// Returns the upper bound of the duration that a machine with another clock measures while this span passes here.
    /// Waiting for this long ensures that a lease of this duration held by another machine has expired.
    pub fn upper_bound_under_drift(self) -> Span {
        Span(self.0 + self.max_deviation())
    }

    /// Returns the lower bound of the duration that a machine with another clock measures while this span passes here.
    /// The holder of a lease of this duration must not rely on the lease for longer.
    pub fn lower_bound_under_drift(self) -> Span {
        Span(self.0.saturating_sub(self.max_deviation()))
    }

    /// Returns the largest possible deviation between two clocks over this span, in microseconds.
    fn max_deviation(self) -> u64 {
        self.0 * MAX_DRIFT_PER_10K / 10_000 + CLOCK_GRANULARITY_MICROS
    }
}

impl Time {
    /// Arbitrary origin of the clock.
    pub const ZERO: Time = Time(0);

    /// Returns the time that has passed since `earlier`, or [`Span::ZERO`] if `earlier` is later than `self`.
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
