//! Copies of heartbeats that arrive late, as from a network that delivers packets twice.

use super::*;

/// Probability that a heartbeat is copied.
const COPY_PROBABILITY: f64 = 0.3;

/// Maximum number of copies that are retained for the next leader.
const MAX_RETAINED: usize = 300;

/// Upper bounds of the delays with which retained copies arrive after a change of leadership: before the new leader
/// knows of its term, while the leader reads its records, and when the leader starts to make decisions.
const REPLAY_DELAYS: [u64; 4] = [5 * MS, 60 * MS, 400 * MS, 3 * SEC];

impl Simulation {
    /// Schedules a second delivery of some heartbeats, at a random controller.
    pub(super) fn duplicate_heartbeat(&mut self, origin: &RequestOrigin, request: &ClientRequest) {
        let fault = self.duplicate_heartbeats;
        let Some(max_delay) = fault.and_then(|fault| fault.active(self.now)) else { return };
        if self.rng.random_bool(COPY_PROBABILITY) {
            let at = self.now + self.rng.random_range(SEC..max_delay);
            let node = self.rng.random_range(0..CONTROLLERS);
            let (origin, request) = (origin.clone(), request.clone());
            self.schedule(at, ScheduledEvent::ClientRequestArrives { node, origin, request });
        }
    }

    /// Retains copies of some heartbeats for the next leader.
    pub(super) fn retain_heartbeat(&mut self, origin: &RequestOrigin, request: &ClientRequest) {
        if self.now < self.heartbeats_retained_until
            && self.retained_heartbeats.len() < MAX_RETAINED
            && self.rng.random_bool(COPY_PROBABILITY)
        {
            self.retained_heartbeats.push((origin.clone(), request.clone()));
        }
    }

    /// Delivers the retained copies to every controller after a change of leadership.
    pub(super) fn replay_retained_heartbeats(&mut self) {
        for (origin, request) in std::mem::take(&mut self.retained_heartbeats) {
            for node in 0..CONTROLLERS {
                let max_delay = REPLAY_DELAYS[self.rng.random_range(0..REPLAY_DELAYS.len())];
                let at = self.now + self.rng.random_range(0..max_delay);
                let (origin, request) = (origin.clone(), request.clone());
                self.schedule(at, ScheduledEvent::ClientRequestArrives { node, origin, request });
            }
        }
    }
}
