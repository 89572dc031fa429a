//! Statistics for the log: counts of replies, latency of the state service, and the longest interval between ticks.

use super::controller::Controller;
use super::dependencies::DependentReplyKind;
use super::forwarding::UnexpectedAnswer;
use super::placement::PreemptionRound;
use crate::protocol::{BusyReason, Reply};
use crate::time::{Span, Time};
use crowstall_dependencies::UrgencyUpdate;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Display;

/// Interval at which the statistics are logged.
const LOG_INTERVAL: Span = Span::millis(60_000);
/// Longest latency that the histogram distinguishes. Longer ones count as this one.
const MAX_LATENCY_MS: u64 = 10_000;
/// Number of significant decimal digits of the recorded latencies.
const LATENCY_DIGITS: u8 = 2;

/// Statistics since they were last logged.
pub(super) struct RequestStatistics {
    /// Number of replies to users and workers by HTTP status.
    replies: BTreeMap<u16, u64>,
    /// Number of replies that ask the client to retry, by reason.
    busy_replies: BTreeMap<BusyReason, u64>,
    /// Number of replies about jobs with prerequisites, by reported state and the knowledge it was derived from.
    dependent_replies: BTreeMap<DependentReplyKind, u64>,
    /// Number of answers of other controllers to forwarded requests, by what is unexpected about them.
    unexpected_answers: BTreeMap<UnexpectedAnswer, u64>,
    /// Times from sending a call to the state service to its answer or failure, in milliseconds.
    state_latencies: Histogram<u32>,
    /// Longest interval between two ticks.
    longest_tick_interval: Span,
    /// Number of machines and attempts inspected in search of room for waiting tasks.
    preemption_inspections: u64,
    /// Number of rounds of preemption that ended at their limit.
    cut_off_preemption_rounds: u64,
    /// Largest number of jobs and dependencies visited by one update of inherited urgencies.
    max_urgency_visits: usize,
    /// Largest number of machines in one plan of the fleet: those that exist, were requested or are to be rented.
    max_planned_machines: usize,
    /// Time at which the statistics were last logged.
    logged_at: Time,
}

impl RequestStatistics {
    /// Creates empty statistics.
    pub fn new(now: Time) -> RequestStatistics {
        let state_latencies =
            Histogram::new_with_max(MAX_LATENCY_MS, LATENCY_DIGITS).expect("constant bounds are valid");
        RequestStatistics {
            replies: BTreeMap::new(),
            busy_replies: BTreeMap::new(),
            dependent_replies: BTreeMap::new(),
            unexpected_answers: BTreeMap::new(),
            state_latencies,
            longest_tick_interval: Span::ZERO,
            preemption_inspections: 0,
            cut_off_preemption_rounds: 0,
            max_urgency_visits: 0,
            max_planned_machines: 0,
            logged_at: now,
        }
    }

    /// Counts a reply to a user or a worker.
    pub fn record_reply(&mut self, reply: &Reply) {
        *self.replies.entry(reply.status).or_default() += 1;
        if let Some(reason) = reply.busy_reason {
            *self.busy_replies.entry(reason).or_default() += 1;
        }
    }

    /// Counts a reply about a job with prerequisites.
    pub fn record_dependent_reply(&mut self, kind: DependentReplyKind) {
        *self.dependent_replies.entry(kind).or_default() += 1;
    }

    /// Counts an unexpected answer of another controller to a forwarded request.
    pub fn record_unexpected_answer(&mut self, kind: UnexpectedAnswer) {
        *self.unexpected_answers.entry(kind).or_default() += 1;
    }

    /// Records the latency of a call to the state service.
    pub fn record_state_latency(&mut self, latency: Span) {
        self.state_latencies.saturating_record(latency.as_millis());
    }

    /// Records the interval between two ticks.
    pub fn record_tick_interval(&mut self, interval: Span) {
        self.longest_tick_interval = self.longest_tick_interval.max(interval);
    }

    /// Records a round of preemption.
    pub fn record_preemption_round(&mut self, round: &PreemptionRound) {
        self.preemption_inspections += round.inspections;
        self.cut_off_preemption_rounds += u64::from(round.is_cut_off);
    }

    /// Records an update of inherited urgencies.
    pub fn record_urgency_update(&mut self, update: &UrgencyUpdate) {
        self.max_urgency_visits = self.max_urgency_visits.max(update.visits);
    }

    /// Records the number of machines in a plan of the fleet.
    pub fn record_plan(&mut self, machines: usize) {
        self.max_planned_machines = self.max_planned_machines.max(machines);
    }

    /// Logs the statistics and resets them if [`LOG_INTERVAL`] has passed. Logs nothing if there were no replies.
    fn log_if_due(&mut self, now: Time) {
        if now.since(self.logged_at) < LOG_INTERVAL {
            return;
        }
        if !self.replies.is_empty() {
            log::info!(
                "replies in the last minute, by status: {}; replies to be retried, by reason: {}; replies about jobs \
                 with prerequisites: {}; unexpected answers to forwarded requests: {}; latency of the state service: \
                 median {} ms, p99 {} ms, maximum {} ms of {} calls; longest interval between ticks: {} ms; machines \
                 and attempts inspected in search of room for waiting tasks: {}; rounds of preemption ended at their \
                 limit: {}; most jobs and dependencies visited by an update of inherited urgencies: {}; most machines \
                 in a plan of the fleet: {}",
                format_counts(&self.replies),
                format_counts(&self.busy_replies),
                format_counts(&self.dependent_replies),
                format_counts(&self.unexpected_answers),
                self.state_latencies.value_at_quantile(0.5),
                self.state_latencies.value_at_quantile(0.99),
                self.state_latencies.max(),
                self.state_latencies.len(),
                self.longest_tick_interval.as_millis(),
                self.preemption_inspections,
                self.cut_off_preemption_rounds,
                self.max_urgency_visits,
                self.max_planned_machines
            );
        }
        *self = RequestStatistics::new(now);
    }
}

fn format_counts(counts: &BTreeMap<impl Display, u64>) -> String {
    if counts.is_empty() {
        return "none".to_string();
    }
    let counts: Vec<String> = counts.iter().map(|(name, count)| format!("{name}: {count}")).collect();
    counts.join(", ")
}

impl Controller {
    /// Records the interval since the last tick, and logs the statistics once a minute.
    pub(super) fn statistics_tick(&mut self, time_since_last_tick: Span) {
        self.statistics.record_tick_interval(time_since_last_tick);
        self.statistics.log_if_due(self.now);
    }
}
