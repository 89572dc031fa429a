//! The sweep, in which a new leader queries all unreconciled machines.
//!
//! The number of queries in flight is bounded by a window, as in congestion control: the window grows by one with every
//! prompt answer and is halved when the leader is overloaded.

use crowstall_model::model::{MachineId, Quantity, Resources};
use crowstall_model::time::{Span, Time};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// Window at the start of a sweep, in queries.
const INITIAL_WINDOW: f64 = 16.0;
/// Lower bound of the window, unless the maximum is smaller.
const MIN_WINDOW: f64 = 8.0;
/// Time after which a query in flight is overdue and does not count towards the window any more: its machine is more
/// likely gone than busy.
const PROMPT_ANSWER: Span = Span::millis(250);
/// Maximum number of queries in flight, overdue ones included, as a multiple of the maximum window. Each query needs a
/// socket, even if it is never answered.
const MAX_IN_FLIGHT_WINDOWS: f64 = 4.0;
/// Delay before the second query to a machine that did not answer. The delay is doubled with every further query.
const MIN_RETRY_DELAY: Span = Span::millis(500);
/// Upper bound of the delay between two queries to a machine that does not answer.
const MAX_RETRY_DELAY: Span = Span::millis(4000);
/// Upper bound of the number of doublings, which keeps the computation from overflowing. [`MAX_RETRY_DELAY`] is reached
/// before.
const MAX_RETRY_DOUBLINGS: u32 = 8;
/// Longest answer time that the histogram distinguishes, in milliseconds. Longer ones count as this one.
const MAX_RECORDED_ANSWER_MS: u64 = 60_000;
/// Number of significant decimal digits of the recorded answer times.
const ANSWER_TIME_DIGITS: u8 = 2;

/// Sort key of machines that wait for a query: the largest first, because they may run the most tasks; then by id, so
/// that the order is deterministic.
type QueryOrder = (Reverse<Quantity>, MachineId);

/// Unreconciled machine in the sweep.
struct QueryTarget {
    /// CPUs of the machine.
    size: Quantity,
    /// Number of queries without a usable answer.
    failed_queries: u32,
    state: QueryState,
}

impl QueryTarget {
    fn order(&self, id: &MachineId) -> QueryOrder {
        (Reverse(self.size), id.clone())
    }
}

#[derive(Clone, Copy)]
enum QueryState {
    /// The machine is queried as soon as the window allows.
    Waiting,
    /// The machine did not answer. It waits for a query again from the given time on.
    BackingOff(Time),
    /// A query has been in flight since the given time.
    InFlight(Time),
}

/// Distribution of the time from a query to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnswerTimes {
    pub(crate) median: Span,
    /// 99th percentile.
    pub(crate) p99: Span,
}

pub(crate) struct Sweep {
    targets: HashMap<MachineId, QueryTarget>,
    /// Targets in each state, in the order in which they are due.
    waiting: BTreeSet<QueryOrder>,
    backing_off: BTreeSet<(Time, MachineId)>,
    in_flight: BTreeSet<(Time, MachineId)>,
    /// Maximum number of queries in flight that are not older than `PROMPT_ANSWER`.
    window: f64,
    max_window: f64,
    /// Number of queries sent so far.
    queries: u64,
    /// Answer times in milliseconds.
    answer_times: Option<Histogram<u32>>,
}

impl Sweep {
    pub(crate) fn new(max_queries: usize) -> Sweep {
        let max_window = (max_queries as f64).max(1.0);
        Sweep {
            targets: HashMap::new(),
            waiting: BTreeSet::new(),
            backing_off: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            window: INITIAL_WINDOW.min(max_window),
            max_window,
            queries: 0,
            answer_times: Histogram::new_with_max(MAX_RECORDED_ANSWER_MS, ANSWER_TIME_DIGITS).ok(),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.targets.clear();
        self.waiting.clear();
        self.backing_off.clear();
        self.in_flight.clear();
    }

    pub(crate) fn add(&mut self, id: MachineId, size: Resources) {
        self.remove(&id);
        let target = QueryTarget { size: size.cpus, failed_queries: 0, state: QueryState::Waiting };
        self.insert(id, target);
    }

    /// Returns the machines to query now and counts them as queried.
    pub(crate) fn next(&mut self, now: Time) -> Vec<MachineId> {
        self.end_retry_delays(now);
        let machines: Vec<MachineId> =
            self.waiting.iter().take(self.free_queries(now)).map(|(_, id)| id.clone()).collect();
        for id in &machines {
            self.record_query(id, now);
        }
        machines
    }

    /// Records that a machine was queried.
    pub(crate) fn record_query(&mut self, id: &MachineId, now: Time) {
        if self.targets.contains_key(id) {
            self.set_state(id, QueryState::InFlight(now));
            self.queries += 1;
        }
    }

    /// Removes a machine that is reconciled, by the answer to a query or in another way, for example by a heartbeat. If
    /// a query to the machine is in flight, it counts as answered now.
    pub(crate) fn record_reconciled(&mut self, id: &MachineId, now: Time) {
        let Some(QueryTarget { state: QueryState::InFlight(since), .. }) = self.remove(id) else { return };
        let answer_time = now.since(since);
        if let Some(answer_times) = &mut self.answer_times {
            answer_times.saturating_record(answer_time.as_millis());
        }
        if answer_time < PROMPT_ANSWER {
            self.window = (self.window + 1.0).min(self.max_window);
        }
    }

    /// Records that a query in flight had no usable answer, and schedules the next query to the machine.
    pub(crate) fn record_unanswered_query(&mut self, id: &MachineId, now: Time) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if !matches!(target.state, QueryState::InFlight(_)) {
            return;
        }
        let doublings = target.failed_queries.min(MAX_RETRY_DOUBLINGS);
        let retry_delay = MIN_RETRY_DELAY.times(f64::from(1u32 << doublings)).min(MAX_RETRY_DELAY);
        target.failed_queries += 1;
        self.set_state(id, QueryState::BackingOff(now + retry_delay));
    }

    /// Halves the window, down to its lower bound.
    pub(crate) fn shrink_window(&mut self) {
        self.window = (self.window / 2.0).max(MIN_WINDOW.min(self.max_window));
    }

    /// Returns the number of queries that were sent.
    pub(crate) fn queries(&self) -> u64 {
        self.queries
    }

    /// Returns the distribution of answer times, or `None` if there was no answer.
    pub(crate) fn answer_times(&self) -> Option<AnswerTimes> {
        let answer_times = self.answer_times.as_ref().filter(|answer_times| !answer_times.is_empty())?;
        let at_quantile = |quantile| Span::millis(answer_times.value_at_quantile(quantile));
        Some(AnswerTimes { median: at_quantile(0.5), p99: at_quantile(0.99) })
    }

    fn end_retry_delays(&mut self, now: Time) {
        while let Some((due, id)) = self.backing_off.first().cloned()
            && due <= now
        {
            self.set_state(&id, QueryState::Waiting);
        }
    }

    /// Returns the number of further queries that may be sent now.
    fn free_queries(&self, now: Time) -> usize {
        let recent = self.in_flight.iter().rev().take_while(|(since, _)| now.since(*since) < PROMPT_ANSWER).count();
        let max_in_flight = (MAX_IN_FLIGHT_WINDOWS * self.max_window) as usize;
        let free_in_window = (self.window as usize).saturating_sub(recent);
        free_in_window.min(max_in_flight.saturating_sub(self.in_flight.len()))
    }

    fn set_state(&mut self, id: &MachineId, state: QueryState) {
        if let Some(target) = self.remove(id) {
            self.insert(id.clone(), QueryTarget { state, ..target });
        }
    }

    fn insert(&mut self, id: MachineId, target: QueryTarget) {
        match target.state {
            QueryState::Waiting => self.waiting.insert(target.order(&id)),
            QueryState::BackingOff(until) => self.backing_off.insert((until, id.clone())),
            QueryState::InFlight(since) => self.in_flight.insert((since, id.clone())),
        };
        self.targets.insert(id, target);
    }

    fn remove(&mut self, id: &MachineId) -> Option<QueryTarget> {
        let target = self.targets.remove(id)?;
        match target.state {
            QueryState::Waiting => self.waiting.remove(&target.order(id)),
            QueryState::BackingOff(until) => self.backing_off.remove(&(until, id.clone())),
            QueryState::InFlight(since) => self.in_flight.remove(&(since, id.clone())),
        };
        Some(target)
    }
}
