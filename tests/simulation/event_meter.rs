//! Measurement of the memory and work that a controller takes to handle each event.

use super::*;

/// Measures the memory and work that the controllers take to handle each event. The functions come from the test, since only a
/// test as a whole can have an allocator that counts.
#[derive(Clone, Copy)]
pub struct EventMeter {
    /// Called before a controller handles an event.
    begin_event: fn(),
    /// Returns the most bytes that were allocated at once since `begin_event`, beyond those at that time.
    bytes_of_event: fn() -> usize,
    most_bytes: usize,
    most_inspections: u64,
}

impl EventMeter {
    pub fn new(begin_event: fn(), bytes_of_event: fn() -> usize) -> EventMeter {
        EventMeter { begin_event, bytes_of_event, most_bytes: 0, most_inspections: 0 }
    }
}

impl Simulation {
    pub(super) fn event_begins(&self) {
        if let Some(meter) = &self.event_meter {
            (meter.begin_event)();
        }
    }

    pub(super) fn event_ended(&mut self, inspections: u64) {
        if let Some(meter) = &mut self.event_meter {
            meter.most_bytes = meter.most_bytes.max((meter.bytes_of_event)());
            meter.most_inspections = meter.most_inspections.max(inspections);
        }
    }

    /// Returns the most entries of tables and records that a controller inspected to handle an event so far.
    pub fn most_inspections_of_an_event(&self) -> u64 {
        self.event_meter.map_or(0, |meter| meter.most_inspections)
    }

    /// Returns the most bytes that a controller took to handle an event so far.
    pub fn most_bytes_of_an_event(&self) -> usize {
        self.event_meter.map_or(0, |meter| meter.most_bytes)
    }
}
