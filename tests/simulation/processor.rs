//! Processor of a simulated controller: handling an event takes time, during which the controller handles nothing else.

use super::MS;

/// Processor time that accumulates before the process stands still for it. Much shorter than any timeout.
pub const CHARGE_INTERVAL: u64 = 10 * MS;

/// Number of nanoseconds in a microsecond, the unit of simulated time.
const NANOSECONDS: u64 = 1000;

/// Processor with a finite speed. Its times are deterministic, so that a seed still determines the whole run.
#[derive(Clone, Copy, Debug)]
pub struct Processor {
    /// Microseconds for each event, whatever it is.
    pub event_us: u64,
    /// Nanoseconds for each machine or attempt that is inspected in search of room for waiting tasks.
    pub inspection_ns: u64,
}

impl Processor {
    /// Returns the microseconds that an event with the given number of inspections takes.
    pub fn time_of_event(self, inspections: u64) -> u64 {
        self.event_us + inspections * self.inspection_ns / NANOSECONDS
    }
}
