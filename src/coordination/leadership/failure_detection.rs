//! Decides that a leader has failed, probes it, and fences it: its terms are replaced before its node lease expires.

use super::acquisition::{AcquisitionReason, FencedLeader};
use crate::config::Properties;
use crate::coordination::controller::Controller;
use crate::coordination::events::{Action, OutboundCallId};
use crate::model::{NodeLabel, ShardId};
use crate::protocol::state::Condition;
use crate::storage::keys;
use crate::time::{Span, Time};
use crowstall_leadership::failure_detector::LeaderObservation;
use crowstall_leadership::{FailureAction, FailureDetector, FailureEvidence, NodeIncarnation, SelfHealth};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// For how long what a heartbeat says of the state service counts.
const STATE_SILENCE_VALIDITY: Span = Span::millis(800);

/// How long a leader may be silent before it counts as failed.
struct SilenceTimeout {
    min: Span,
    max: Span,
}

/// What this node knows of whether the other leaders and itself are well.
pub(super) struct FailureDetection {
    silence_timeout: SilenceTimeout,
    self_health: SelfHealth,
    detectors: BTreeMap<NodeLabel, FailureDetector>,
    /// The probes in flight, by the node that is probed.
    probes: HashMap<OutboundCallId, NodeLabel>,
    /// Addresses at which the leaders listen for users and workers, from their leadership records. Probes use them too.
    probe_addresses: BTreeMap<NodeLabel, SocketAddrV4>,
}

impl FailureDetection {
    /// No peer was heard yet.
    pub fn new(properties: &Properties) -> FailureDetection {
        let min = properties.standby.leader_timeout;
        FailureDetection {
            silence_timeout: SilenceTimeout { min, max: properties.leader_lease_ttl.max(min) },
            self_health: SelfHealth::default(),
            detectors: BTreeMap::new(),
            probes: HashMap::new(),
            probe_addresses: BTreeMap::new(),
        }
    }

    /// Records that this process is running.
    pub fn ticked(&mut self, now: Time) {
        self.self_health.ticked(now);
    }

    /// Records that the state service has answered this node.
    pub fn state_answered(&mut self, now: Time) {
        self.self_health.state_answered(now);
    }

    /// How long the state service has not answered this node.
    pub fn state_silence(&self, now: Time) -> Span {
        self.self_health.state_silence(now)
    }

    /// Records a heartbeat of a peer.
    pub fn record_heartbeat(&mut self, node: &NodeLabel, now: Time) {
        let SilenceTimeout { min, max } = self.silence_timeout;
        let detector = self.detectors.entry(node.clone()).or_insert_with(|| FailureDetector::new(min, max));
        detector.record_heartbeat(now);
    }

    /// Stores the address at which a leader can be probed, if its leadership record contains one.
    pub fn set_probe_address(&mut self, node: &NodeLabel, address: Option<SocketAddrV4>) {
        if let Some(address) = address {
            self.probe_addresses.insert(node.clone(), address);
        }
    }

    fn probe_answered(&mut self, call: OutboundCallId, alive: bool) {
        if let Some(node) = self.probes.remove(&call)
            && let Some(detector) = self.detectors.get_mut(&node)
        {
            detector.record_probe_outcome(alive);
        }
    }

    /// What is to be done about a leader that was observed.
    fn next_action(&mut self, node: &NodeLabel, now: Time, observation: &LeaderObservation) -> FailureAction {
        match self.detectors.get_mut(node) {
            Some(detector) => detector.step(now, observation, &self.self_health),
            None => FailureAction::None,
        }
    }
}

impl Controller {
    /// Passes the outcome of a probe to the failure detector of the node that was probed.
    pub(in crate::coordination) fn probe_answered(&mut self, call: OutboundCallId, alive: bool) {
        self.leadership.failure_detection.probe_answered(call, alive);
    }

    /// Checks whether a leader has failed, and fences it if so.
    pub(super) fn check_leaders(&mut self) {
        if !self.holds_lease() || self.backs_off_acquisition() {
            return;
        }
        let peers: Vec<NodeLabel> = self.membership.peers().map(|(node, _)| node.clone()).collect();
        for node in peers {
            self.check_leader(&node);
        }
    }

    fn check_leader(&mut self, node: &NodeLabel) {
        let led_shards: Vec<ShardId> = self.membership.shards_led_by(node).map(|(shard, _)| shard).collect();
        if led_shards.is_empty() || led_shards.iter().any(|shard| self.is_changing_leadership(*shard)) {
            return;
        }
        let Some(observation) = self.observe_leader(node, &led_shards) else { return };
        match self.leadership.failure_detection.next_action(node, self.now, &observation) {
            FailureAction::None => {}
            FailureAction::Probe => self.probe(node),
            FailureAction::Fence(evidence) => {
                let duration = match evidence {
                    FailureEvidence::Silence => self.now.since(observation.last_alive),
                    FailureEvidence::StateServiceLost => observation.state_silence.unwrap_or_default(),
                };
                self.fence(node, led_shards, evidence, duration);
            }
        }
    }

    /// What is known of the leader of the given shards. None if no heartbeat of it was ever received.
    fn observe_leader(&self, node: &NodeLabel, led_shards: &[ShardId]) -> Option<LeaderObservation> {
        let now = self.now;
        let terms = led_shards.iter().filter_map(|shard| self.membership.leadership(*shard));
        let peer = self.membership.peer(node).filter(|peer| now.since(peer.seen) < STATE_SILENCE_VALIDITY);
        Some(LeaderObservation {
            last_alive: self.membership.last_alive(node, now)?,
            state_silence: peer.map(|peer| peer.peer_status.state_silence),
            observer_isolated: self.membership.reachable_peers(now).all(|(other, _)| other == node),
            rank: self.membership.rank(node, now),
            false_suspicions: terms.map(|leadership| leadership.false_suspicions(now)).max().unwrap_or(0),
        })
    }

    /// Asks a leader directly whether it lives, at the address at which users and workers reach it.
    fn probe(&mut self, node: &NodeLabel) {
        let call = self.calls.next_call_id();
        match self.leadership.failure_detection.probe_addresses.get(node).copied() {
            Some(addr) => {
                log::debug!("probing {node}");
                self.leadership.failure_detection.probes.insert(call, node.clone());
                self.calls.push(Action::Probe { call, addr });
            }
            // The probe counts as unanswered once the failure detector's time for an answer is over.
            None => log::debug!("{node} cannot be probed: its address is not known"),
        }
    }

    /// Replaces the terms of a leader that has failed. If it shows meanwhile that it lives, the version of its
    /// liveness record has changed and the acquisition fails.
    fn fence(&mut self, node: &NodeLabel, led_shards: Vec<ShardId>, evidence: FailureEvidence, duration: Span) {
        let liveness_condition =
            |shard: &ShardId| Condition::version(keys::liveness_key(*shard), self.membership.liveness_version(*shard));
        let liveness_conditions: Vec<Condition> = led_shards.iter().map(liveness_condition).collect();
        for shard in led_shards {
            let Some(leadership) = self.membership.leadership(shard) else { continue };
            // A leader whose record names no bounds keeps its term until its node lease expires.
            let (Some(bounds), term) = (leadership.bounds, leadership.term) else { continue };
            let leader = NodeIncarnation { node: node.clone(), incarnation: leadership.incarnation };
            let ms = duration.as_millis();
            log::warn!("shard {shard}: fencing leader {node} of term {term}, which is {evidence} (for {ms} ms)");
            let fenced = FencedLeader { leader, bounds, liveness_conditions: liveness_conditions.clone() };
            self.acquire_leadership(shard, term, AcquisitionReason::Fencing(fenced));
        }
    }
}
