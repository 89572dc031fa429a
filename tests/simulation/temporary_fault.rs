//! Faults that end at a given time.

/// Probability that a fault affects a message or a user.
pub type Probability = f64;

/// Maximum delay in microseconds.
pub type MaxDelay = u64;

/// Fault that ends at a given time. Its parameter is a probability, a maximum delay or the affected controller or
/// prefix.
#[derive(Clone, Copy, Debug)]
pub struct TemporaryFault<T> {
    until: u64,
    parameter: T,
}

impl<T: Copy> TemporaryFault<T> {
    /// Returns a fault that lasts until the given time.
    pub fn new(until: u64, parameter: T) -> TemporaryFault<T> {
        TemporaryFault { until, parameter }
    }

    /// Returns the parameter if the fault has not ended yet.
    pub fn active(self, now: u64) -> Option<T> {
        (now < self.until).then_some(self.parameter)
    }
}
