//! The failure detector: decides whether a leader has failed.
//!
//! A leader is replaced only if several kinds of evidence agree. A node that was paused or has lost the state service
//! may itself be the cause of the silence that it observes, so an unhealthy node suspects no leader.

use crowstall_model::time::{Span, Time};
use std::fmt;

/// Maximum time between two ticks. A longer gap shows that this process was paused or is short of CPU.
const MAX_TICK_GAP: Span = Span::millis(600);
/// Maximum time between two answers of the state service. A longer gap shows that this node's connection is
/// unreliable.
const MAX_STATE_ANSWER_GAP: Span = Span::millis(900);
/// Additional time that a node waits per rank: long enough to see that a node of a lower rank has acted.
const DELAY_PER_RANK: Span = Span::millis(300);
/// Time after which a probe without an answer counts as unanswered.
const PROBE_TIMEOUT: Span = Span::millis(500);
/// Fraction of the silence limit after which a leader is probed.
const PROBE_AT_FRACTION: f64 = 0.4;
/// Maximum number of times that the silence limit is doubled because of false suspicions.
const MAX_FALSE_SUSPICION_DOUBLINGS: u32 = 4;

/// Evidence on which a leader is declared failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureEvidence {
    /// No reachable node receives the leader's heartbeats, its liveness record does not change, and a probe was not
    /// answered.
    Silence,
    /// The leader reports that the state service does not answer it, while the state service answers this node.
    StateServiceLost,
}

impl fmt::Display for FailureEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FailureEvidence::Silence => "probe not answered, and no heartbeat or liveness record change",
            FailureEvidence::StateServiceLost => "the leader reports no answer from the state service",
        })
    }
}

/// Next action of this node regarding a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureAction {
    /// No action: the leader is alive, or there is not enough evidence yet.
    None,
    /// Send a liveness probe directly to the leader.
    Probe,
    /// Replace the leader before its node lease expires.
    Fence(FailureEvidence),
}

/// Health of this node: the regularity of its ticks and of the state service's answers to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SelfHealth {
    last_tick: Option<Time>,
    /// Time of the first tick since which no gap was longer than [`MAX_TICK_GAP`].
    steady_since: Time,
    last_state_answer: Option<Time>,
    /// Time of the first answer of the state service since which no gap was longer than [`MAX_STATE_ANSWER_GAP`].
    connected_since: Time,
}

impl SelfHealth {
    /// Records a tick of the controller.
    pub fn ticked(&mut self, now: Time) {
        if self.last_tick.is_none_or(|last| now.since(last) > MAX_TICK_GAP) {
            self.steady_since = now;
        }
        self.last_tick = Some(now);
    }

    /// Records an answer of the state service.
    pub fn state_answered(&mut self, now: Time) {
        if self.last_state_answer.is_none_or(|last| now.since(last) > MAX_STATE_ANSWER_GAP) {
            self.connected_since = now;
        }
        self.last_state_answer = Some(now);
    }

    /// Returns the time since the state service last answered this node, or since time zero if it never has.
    pub fn state_silence(&self, now: Time) -> Span {
        now.since(self.last_state_answer.unwrap_or_default())
    }

    /// Returns `true` if this node has neither been paused nor lost the state service during the last `span`.
    pub fn is_healthy(&self, now: Time, span: Span) -> bool {
        let is_steady = self.last_tick.is_some_and(|last| now.since(last) <= MAX_TICK_GAP);
        let is_connected = self.last_state_answer.is_some_and(|last| now.since(last) <= MAX_STATE_ANSWER_GAP);
        is_steady && is_connected && now.since(self.steady_since) >= span && now.since(self.connected_since) >= span
    }
}

/// Observations of a leader that one step of the detector evaluates.
#[derive(Clone, Copy, Debug)]
pub struct LeaderObservation {
    /// Time of the leader's last sign of life: a heartbeat to this node or to other nodes, or a liveness record write.
    pub last_alive: Time,
    /// Time for which the state service had not answered the leader when it sent its newest heartbeat; `None` if that
    /// heartbeat is not recent.
    pub state_silence: Option<Span>,
    /// `true` if this node receives no heartbeats from any other controller either.
    pub observer_isolated: bool,
    /// Number of nodes that precede this one in the order in which nodes replace the leader.
    pub rank: u32,
    /// Number of recent false suspicions of leaders.
    pub false_suspicions: u32,
}

/// State of the suspicion of one leader.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The leader is not suspected.
    Trusted,
    /// A probe was sent at this time and has not been answered yet.
    Probed(Time),
    /// The newest probe was not answered.
    Unanswered,
}

/// Running estimate of the interval between heartbeats, in microseconds, computed as TCP estimates round-trip times.
#[derive(Clone, Copy, Debug, Default)]
struct HeartbeatInterval {
    mean: f64,
    mean_deviation: f64,
}

impl HeartbeatInterval {
    fn record(&mut self, interval: f64) {
        if self.mean == 0.0 {
            self.mean = interval;
            self.mean_deviation = interval / 4.0;
            return;
        }
        let error = interval - self.mean;
        self.mean += error / 8.0;
        self.mean_deviation += (error.abs() - self.mean_deviation) / 4.0;
    }

    /// Returns the silence above which a leader is unusually late: twice the mean interval plus four mean deviations.
    fn unusual_silence(&self) -> Span {
        Span((2.0 * self.mean + 4.0 * self.mean_deviation) as u64)
    }
}

/// Failure detector for one leader, which decides when to probe and when to replace it.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    phase: Phase,
    last_heartbeat: Option<Time>,
    heartbeat_interval: HeartbeatInterval,
    min_silence: Span,
    max_silence: Span,
}

impl FailureDetector {
    /// Creates a detector that tolerates a silence of at least `min_silence` and at most `max_silence`.
    pub fn new(min_silence: Span, max_silence: Span) -> FailureDetector {
        FailureDetector {
            phase: Phase::Trusted,
            last_heartbeat: None,
            heartbeat_interval: HeartbeatInterval::default(),
            min_silence,
            max_silence,
        }
    }

    /// Records a heartbeat of the leader.
    pub fn record_heartbeat(&mut self, now: Time) {
        let Some(last) = self.last_heartbeat.replace(now) else { return };
        // The interval is capped, so that one long silence does not raise the estimate of the usual interval.
        let interval = (now.since(last).0 as f64).min(self.max_silence.0 as f64 / 4.0);
        self.heartbeat_interval.record(interval);
    }

    /// Returns the silence after which the leader counts as failed, given how regularly its heartbeats arrive.
    pub fn silence_limit(&self, observation: &LeaderObservation) -> Span {
        let usual = self.heartbeat_interval.unusual_silence().max(self.min_silence);
        let doublings =
            observation.false_suspicions.min(MAX_FALSE_SUSPICION_DOUBLINGS) + u32::from(observation.observer_isolated);
        let limit = usual.times(f64::from(1u32 << doublings));
        (limit + rank_delay(observation)).min(self.max_silence)
    }

    /// Records the outcome of a probe. `alive` is `true` if the leader answered that it is alive.
    pub fn record_probe_outcome(&mut self, alive: bool) {
        if matches!(self.phase, Phase::Probed(_)) {
            self.phase = if alive { Phase::Trusted } else { Phase::Unanswered };
        }
    }

    /// Returns the action that is due for the leader now.
    pub fn step(&mut self, now: Time, observation: &LeaderObservation, health: &SelfHealth) -> FailureAction {
        if !health.is_healthy(now, self.min_silence) {
            // The apparent silence of the leader may be caused by a fault of this node.
            self.phase = Phase::Trusted;
            return FailureAction::None;
        }
        let silence_limit = self.silence_limit(observation);
        let silence = now.since(observation.last_alive);
        if silence < silence_limit.times(PROBE_AT_FRACTION) {
            self.phase = Phase::Trusted;
            return state_loss_action(observation, silence_limit);
        }
        self.step_silent_leader(now, silence >= silence_limit)
    }

    fn step_silent_leader(&mut self, now: Time, is_silent_too_long: bool) -> FailureAction {
        match self.phase {
            Phase::Trusted => {
                self.phase = Phase::Probed(now);
                FailureAction::Probe
            }
            Phase::Probed(at) if now.since(at) > PROBE_TIMEOUT => {
                self.phase = Phase::Unanswered;
                FailureAction::None
            }
            Phase::Unanswered if is_silent_too_long => FailureAction::Fence(FailureEvidence::Silence),
            _ => FailureAction::None,
        }
    }
}

fn rank_delay(observation: &LeaderObservation) -> Span {
    DELAY_PER_RANK.times(f64::from(observation.rank))
}

/// Returns [`FailureAction::Fence`] for a leader that sends heartbeats but reports that it has lost the state service
/// for too long.
fn state_loss_action(observation: &LeaderObservation, silence_limit: Span) -> FailureAction {
    // `silence_limit` includes the delay per rank already. It is added once more because the leader reports the loss in
    // its heartbeats, whose interval is longer than the delay between two ranks.
    let limit = silence_limit + rank_delay(observation);
    match observation.state_silence {
        Some(silence) if silence >= limit => FailureAction::Fence(FailureEvidence::StateServiceLost),
        _ => FailureAction::None,
    }
}
