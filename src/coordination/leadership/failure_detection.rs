//! Detection and fencing of failed leaders, whose terms are replaced before their node lease expires.

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

/// Time for which the report of a heartbeat about the state service is taken into account.
const STATE_SILENCE_VALIDITY: Span = Span::millis(800);

/// Limits of the silence after which a leader counts as failed.
struct SilenceTimeout {
    min: Span,
    max: Span,
}

/// Health of this node and failure detectors of the other leaders.
pub(super) struct FailureDetection {
    silence_timeout: SilenceTimeout,
    self_health: SelfHealth,
    detectors: BTreeMap<NodeLabel, FailureDetector>,
    /// Probes in flight, with the node that is probed by each.
    probes: HashMap<OutboundCallId, NodeLabel>,
    /// Addresses at which the leaders listen for users and workers, from their leadership records. Probes use them too.
    probe_addresses: BTreeMap<NodeLabel, SocketAddrV4>,
}

impl FailureDetection {
    /// Creates the state before any heartbeat of a peer has arrived.
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

    /// Records a tick of this process.
    pub fn ticked(&mut self, now: Time) {
        self.self_health.ticked(now);
    }

    /// Records an answer of the state service to this node.
    pub fn state_answered(&mut self, now: Time) {
        self.self_health.state_answered(now);
    }

    /// Returns the time since the state service last answered this node.
    pub fn state_silence(&self, now: Time) -> Span {
        self.self_health.state_silence(now)
    }

    /// Records a heartbeat from a peer.
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

    /// Returns the action that is due for an observed leader.
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

    /// Checks the peers that lead a shard, and probes or fences those that seem to have failed. Does nothing while this
    /// node has no valid lease or is in its acquisition backoff.
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

    /// Returns the observations of the leader of the given shards, or `None` if no heartbeat of it ever arrived.
    fn observe_leader(&self, node: &NodeLabel, led_shards: &[ShardId]) -> Option<LeaderObservation> {
        let now = self.now;
        let terms = led_shards.iter().filter_map(|shard| self.membership.leadership(*shard));
        let peer = self.membership.peer(node).filter(|peer| now.since(peer.last_heartbeat_at) < STATE_SILENCE_VALIDITY);
        Some(LeaderObservation {
            last_alive: self.membership.last_alive(node, now)?,
            state_silence: peer.map(|peer| peer.peer_status.state_silence),
            observer_isolated: self.membership.reachable_peers(now).all(|(other, _)| other == node),
            rank: self.membership.rank(node, now),
            false_suspicions: terms.map(|leadership| leadership.false_suspicions(now)).max().unwrap_or(0),
        })
    }

    /// Sends a liveness probe to a leader, at the address at which it listens for users and workers.
    fn probe(&mut self, node: &NodeLabel) {
        let call = self.calls.next_call_id();
        match self.leadership.failure_detection.probe_addresses.get(node).copied() {
            Some(addr) => {
                log::debug!("leader {node}: sending a liveness probe to {addr}");
                self.leadership.failure_detection.probes.insert(call, node.clone());
                self.calls.push(Action::Probe { call, addr });
            }
            // The failure detector counts the probe as unanswered after its probe timeout.
            None => log::debug!("leader {node}: its address is not known; the liveness probe counts as unanswered"),
        }
    }

    /// Replaces the terms of a failed leader. If the leader writes its liveness record in the meantime, the version of
    /// that record changes and the acquisition fails.
    fn fence(&mut self, node: &NodeLabel, led_shards: Vec<ShardId>, evidence: FailureEvidence, duration: Span) {
        let liveness_condition =
            |shard: &ShardId| Condition::version(keys::liveness_key(*shard), self.membership.liveness_version(*shard));
        let liveness_conditions: Vec<Condition> = led_shards.iter().map(liveness_condition).collect();
        for shard in led_shards {
            let Some(leadership) = self.membership.leadership(shard) else { continue };
            // A leader whose leadership record has no bounds keeps its term until its node lease expires.
            let (Some(bounds), term) = (leadership.bounds, leadership.term) else { continue };
            let leader = NodeIncarnation { node: node.clone(), incarnation: leadership.incarnation };
            let ms = duration.as_millis();
            log::warn!("shard {shard}: fencing leader {node} of term {term}: {evidence} for {ms} ms");
            let fenced = FencedLeader { leader, bounds, liveness_conditions: liveness_conditions.clone() };
            self.acquire_leadership(shard, term, AcquisitionReason::Fencing(fenced));
        }
    }
}
