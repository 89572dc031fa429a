//! What this controller answered in the last minute and how long the state service took, for the log.

use super::controller::Controller;
use crate::protocol::{BusyReason, Reply};
use crate::time::{Span, Time};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Display;

/// How often the statistics are logged.
const LOG_INTERVAL: Span = Span::millis(60_000);
/// The longest latency that is told apart; longer ones count as this one.
const MAX_LATENCY_MS: u64 = 10_000;
/// How many significant digits of a latency are kept.
const LATENCY_DIGITS: u8 = 2;

/// Counts since the statistics were last logged.
pub(super) struct RequestStatistics {
    /// Replies to users and workers by status.
    replies: BTreeMap<u16, u64>,
    /// Replies that ask to retry, by reason.
    busy: BTreeMap<BusyReason, u64>,
    /// From when a call to the state service was sent to when it was answered or given up, in milliseconds.
    state_latencies: Histogram<u32>,
    /// The longest time between two ticks.
    longest_pause: Span,
    logged_at: Time,
}

impl RequestStatistics {
    /// Nothing was counted yet.
    pub fn new(now: Time) -> RequestStatistics {
        // The bounds are constants that the histogram accepts.
        let state_latencies = Histogram::new_with_max(MAX_LATENCY_MS, LATENCY_DIGITS).expect("the bounds are valid");
        RequestStatistics {
            replies: BTreeMap::new(),
            busy: BTreeMap::new(),
            state_latencies,
            longest_pause: Span::ZERO,
            logged_at: now,
        }
    }

    /// Counts a reply to a user or a worker.
    pub fn replied(&mut self, reply: &Reply) {
        *self.replies.entry(reply.status).or_default() += 1;
        if let Some(reason) = reply.busy_reason {
            *self.busy.entry(reason).or_default() += 1;
        }
    }

    /// Records how long a call to the state service took.
    pub fn state_answered(&mut self, latency: Span) {
        self.state_latencies.saturating_record(latency.as_millis());
    }

    /// Records the time between two ticks.
    pub fn paused(&mut self, pause: Span) {
        self.longest_pause = self.longest_pause.max(pause);
    }

    /// Logs the statistics once a minute and starts over.
    fn log_if_due(&mut self, now: Time) {
        if now.since(self.logged_at) < LOG_INTERVAL {
            return;
        }
        if !self.replies.is_empty() {
            log::info!(
                "replies in the last minute: {}; to be retried: {}; state service: median {} ms, 99% {} ms, longest {} ms of {} calls; \
                 longest pause {} ms",
                list(&self.replies),
                list(&self.busy),
                self.state_latencies.value_at_quantile(0.5),
                self.state_latencies.value_at_quantile(0.99),
                self.state_latencies.max(),
                self.state_latencies.len(),
                self.longest_pause.as_millis()
            );
        }
        *self = RequestStatistics::new(now);
    }
}

fn list(counts: &BTreeMap<impl Display, u64>) -> String {
    if counts.is_empty() {
        return "none".to_string();
    }
    let counts: Vec<String> = counts.iter().map(|(name, count)| format!("{name}: {count}")).collect();
    counts.join(", ")
}

impl Controller {
    /// Logs once a minute what was answered.
    pub(super) fn statistics_tick(&mut self, time_since_last_tick: Span) {
        self.statistics.paused(time_since_last_tick);
        self.statistics.log_if_due(self.now);
    }
}
