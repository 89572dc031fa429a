//! Seeded random runs of a leader and of a node that monitors it. A leader that gives any sign of life is never
//! replaced, a leader that gives none is replaced within a bounded time, and an unhealthy node replaces no leader.

use crowstall_leadership::failure_detector::{
    FailureAction, FailureDetector, FailureEvidence, LeaderObservation, SelfHealth,
};
use crowstall_model::time::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MIN_SILENCE: Span = Span::millis(1300);
const MAX_SILENCE: Span = Span::millis(12_000);
const TICK: Span = Span::millis(100);
const HEARTBEAT_INTERVAL: Span = Span::millis(400);
const START: Time = Time(1_000_000);
const FAULT_AT: Time = Time(START.0 + Span::millis(10_000).0);
const RUN_LENGTH: Span = Span::millis(40_000);

/// Fault of the leader or of the node that monitors it, from the tenth second on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// No fault except that some heartbeats are lost or late.
    None,
    /// The leader is silent and answers no probe.
    LeaderDown,
    /// The leader's heartbeats are lost, but it answers probes.
    AnswersProbes,
    /// The leader's heartbeats and probe answers are lost, but it writes its liveness record.
    WritesLiveness,
    /// The leader is silent, and the ticks of the monitoring node are late.
    ObserverSlow,
    /// The leader is silent, and the state service does not answer the monitoring node.
    ObserverLosesState,
    /// The leader reports that the state service does not answer it.
    LeaderLosesState,
}

/// Simulation of the leader, the network and the monitoring node.
struct Run {
    rng: SmallRng,
    fault: Fault,
    /// `true` if the fault had begun when the current tick was due.
    is_faulty: bool,
    detector: FailureDetector,
    health: SelfHealth,
    now: Time,
    next_heartbeat: Time,
    last_alive: Time,
    last_heartbeat: Time,
    /// Time at which the outcome of the probe in flight will be known.
    probe_ends_at: Option<Time>,
    /// Time without an answer of the state service that the leader last reported.
    state_silence: Span,
}

impl Run {
    fn new(seed: u64, fault: Fault) -> Run {
        Run {
            rng: SmallRng::seed_from_u64(seed),
            fault,
            is_faulty: false,
            detector: FailureDetector::new(MIN_SILENCE, MAX_SILENCE),
            health: SelfHealth::default(),
            now: START,
            next_heartbeat: START,
            last_alive: START,
            last_heartbeat: START,
            probe_ends_at: None,
            state_silence: Span::ZERO,
        }
    }

    /// Returns the time from the fault to the replacement of the leader, and the evidence, or `None` if the leader is
    /// not replaced within 30 s.
    fn time_to_fence(mut self) -> Option<(Span, FailureEvidence)> {
        while self.now.since(START) < RUN_LENGTH {
            self.tick();
            if self.now >= self.next_heartbeat {
                self.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
                self.deliver_heartbeat();
                self.read_liveness_record();
            }
            self.finish_probe();
            match self.detector.step(self.now, &self.observation(), &self.health) {
                FailureAction::Probe => {
                    self.probe_ends_at = Some(self.now + Span::millis(self.rng.random_range(1..400)));
                }
                FailureAction::Fence(evidence) => return Some((self.now.since(FAULT_AT), evidence)),
                FailureAction::None => {}
            }
        }
        None
    }

    fn has(&self, fault: Fault) -> bool {
        self.is_faulty && self.fault == fault
    }

    fn tick(&mut self) {
        self.is_faulty = self.now >= FAULT_AT;
        let delay = if self.has(Fault::ObserverSlow) { 550..900 } else { 0..20 };
        self.now += TICK + Span::millis(self.rng.random_range(delay));
        self.health.ticked(self.now);
        if !self.has(Fault::ObserverLosesState) {
            self.health.state_answered(self.now);
        }
    }

    fn deliver_heartbeat(&mut self) {
        let arrives = !self.is_faulty || matches!(self.fault, Fault::None | Fault::LeaderLosesState);
        // No heartbeat is lost shortly before a fault, so that the time until the replacement can be bounded.
        let may_be_lost = self.fault == Fault::None || self.now + Span::millis(1500) < FAULT_AT;
        if !arrives || (may_be_lost && self.rng.random_bool(0.05)) {
            return;
        }
        self.last_alive = self.now;
        self.last_heartbeat = self.now;
        self.state_silence = if self.fault == Fault::LeaderLosesState { self.now.since(FAULT_AT) } else { Span::ZERO };
        self.detector.record_heartbeat(self.now);
    }

    /// Reads the liveness record, which is written every 900 ms and read up to 300 ms later.
    fn read_liveness_record(&mut self) {
        if self.has(Fault::WritesLiveness)
            && self.now.since(self.last_alive) >= Span::millis(900 + self.rng.random_range(0..300))
        {
            self.last_alive = self.now;
        }
    }

    fn finish_probe(&mut self) {
        let Some(ends_at) = self.probe_ends_at else { return };
        if self.now < ends_at {
            return;
        }
        self.probe_ends_at = None;
        self.detector.record_probe_outcome(matches!(self.fault, Fault::None | Fault::AnswersProbes));
        if self.fault == Fault::AnswersProbes {
            self.last_alive = self.now;
        }
    }

    fn observation(&self) -> LeaderObservation {
        let is_recent = self.now.since(self.last_heartbeat) < Span::millis(800);
        LeaderObservation {
            last_alive: self.last_alive,
            state_silence: is_recent.then_some(self.state_silence),
            observer_isolated: false,
            rank: 0,
            false_suspicions: 0,
        }
    }
}

#[test]
fn only_a_failed_leader_is_replaced_and_within_bounded_time() {
    for seed in 0..300 {
        for fault in
            [Fault::None, Fault::AnswersProbes, Fault::WritesLiveness, Fault::ObserverSlow, Fault::ObserverLosesState]
        {
            assert_eq!(Run::new(seed, fault).time_to_fence(), None, "{fault:?}, seed {seed}");
        }
        for (fault, expected) in [
            (Fault::LeaderDown, FailureEvidence::Silence),
            (Fault::LeaderLosesState, FailureEvidence::StateServiceLost),
        ] {
            let (after, evidence) = Run::new(seed, fault).time_to_fence().expect("a failed leader is replaced");
            assert_eq!(evidence, expected, "{fault:?}, seed {seed}");
            assert!(after < Span::millis(2500), "{fault:?}, seed {seed}: after {} ms", after.as_millis());
        }
    }
}

#[test]
fn false_suspicions_double_the_silence_limit_and_higher_ranks_wait_longer() {
    let detector = FailureDetector::new(MIN_SILENCE, MAX_SILENCE);
    let silence_limit = |rank, false_suspicions| {
        detector.silence_limit(&LeaderObservation {
            last_alive: Time::ZERO,
            state_silence: None,
            observer_isolated: false,
            rank,
            false_suspicions,
        })
    };
    assert_eq!(silence_limit(0, 0), MIN_SILENCE);
    assert!(silence_limit(1, 0) > silence_limit(0, 0));
    assert_eq!(silence_limit(0, 1), MIN_SILENCE.times(2.0));
    assert!(silence_limit(0, 4) <= MAX_SILENCE, "the limit never exceeds the maximum");
}
