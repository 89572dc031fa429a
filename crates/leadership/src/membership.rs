//! The membership table: the live peers, and the leader and leadership term of each shard as last read from the state
//! service or reported in a peer heartbeat.

use crate::incarnation::NodeIncarnation;
use crate::leader_lease::LeadershipBounds;
use crowstall_model::model::{Name, NodeLabel, Revision, ShardId};
use crowstall_model::time::{Span, Time};
use std::collections::BTreeMap;

/// Time after the newest heartbeat of a peer at which the peer counts as unreachable.
pub const PEER_TIMEOUT: Span = Span::millis(1500);
/// Time for which a false suspicion raises the silence limit of the failure detector.
const FALSE_SUSPICION_MEMORY: Span = Span::millis(60_000);
/// Time after the replacement of a leader in which a heartbeat of the deposed leader proves the suspicion false.
const FALSE_SUSPICION_WINDOW: Span = Span::millis(3_000);

/// The state that a node reports in a peer heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerStatus {
    /// Incarnation number of the node's process; 0 if unknown.
    pub incarnation: u64,
    /// `true` if the node has a valid node lease.
    pub holds_lease: bool,
    /// `true` if the node can lead a shard.
    pub ready: bool,
    /// Shards that the node leads, with their terms.
    pub led: Vec<(ShardId, Revision)>,
    /// Newest term of each shard that the node knows.
    pub known_terms: Vec<(ShardId, Revision)>,
    /// Time since the state service last answered the node.
    pub state_silence: Span,
    /// Time since the node last received a heartbeat from each of the other nodes.
    pub heartbeat_ages: Vec<(NodeLabel, Span)>,
    /// Newest version of the messages between controllers that the node understands; 0 if unknown.
    pub message_version: u32,
}

/// Newest heartbeat of another controller, with the time of its arrival.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Arrival time of the peer's newest heartbeat.
    pub last_heartbeat_at: Time,
    /// Time since which the peer has been ready and reachable without interruption; `None` if it is not ready.
    pub ready_since: Option<Time>,
    /// State that the peer reported in its newest heartbeat.
    pub peer_status: PeerStatus,
}

impl Peer {
    /// Returns `true` if a heartbeat of the peer arrived within [`PEER_TIMEOUT`].
    pub fn is_reachable(&self, now: Time) -> bool {
        now.since(self.last_heartbeat_at) < PEER_TIMEOUT
    }

    /// Returns the longest time for which the state service may not have answered the peer by now, on the assumption
    /// that the peer has received no answer since it sent its newest heartbeat.
    pub fn state_silence(&self, now: Time) -> Span {
        self.peer_status.state_silence + now.since(self.last_heartbeat_at)
    }

    fn is_ready_to_lead(&self, now: Time) -> bool {
        self.ready_since.is_some() && self.is_reachable(now) && self.state_silence(now) < PEER_TIMEOUT
    }
}

/// Newest known version of a leader's liveness record.
#[derive(Clone, Copy, Debug)]
struct LivenessObservation {
    version: Revision,
    /// Time at which this node first read that version.
    seen_at: Time,
}

/// Newest known leader and leadership term of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardLeadership {
    /// Leader of the shard; `None` if no leader is known.
    pub leader: Option<NodeLabel>,
    /// Incarnation number of the leader.
    pub incarnation: u64,
    /// Bounds under which the leader may be replaced early; `None` if it may not be, or if the bounds are not known.
    pub bounds: Option<LeadershipBounds>,
    /// Newest known leadership term; 0 if the shard is not known to have had a leader.
    pub term: Revision,
    /// Time at which this node learned of that term.
    pub term_seen_at: Time,
    /// Time since which the shard has had no leadership record; `None` if it has one.
    pub absent_since: Option<Time>,
    /// Time at which this node last released its leadership of the shard.
    pub released_at: Option<Time>,
    /// Leader of the term before the current one; `None` once a heartbeat of that leader has arrived.
    deposed: Option<NodeIncarnation>,
    /// Times at which a deposed leader proved, soon after its replacement, that it was still alive.
    false_suspicion_times: Vec<Time>,
    liveness: Option<LivenessObservation>,
}

impl ShardLeadership {
    /// Returns the number of false suspicions of the shard's leaders within the last minute.
    pub fn false_suspicions(&self, now: Time) -> u32 {
        self.false_suspicion_times.iter().filter(|at| now.since(**at) < FALSE_SUSPICION_MEMORY).count() as u32
    }

    /// Records that the shard was led in `term`. Returns `true` if the term is newer than all known before.
    fn record_term(&mut self, term: Revision, now: Time) -> bool {
        self.absent_since = None;
        let is_newer = term > self.term;
        if is_newer {
            self.term = term;
            self.term_seen_at = now;
            let incarnation = self.incarnation;
            self.deposed = self.leader.take().map(|node| NodeIncarnation { node, incarnation });
        }
        is_newer
    }

    fn set_leader(&mut self, node: NodeLabel, incarnation: u64, bounds: Option<LeadershipBounds>) {
        self.leader = Some(node);
        self.incarnation = incarnation;
        self.bounds = bounds;
    }

    /// Records a false suspicion if a heartbeat comes from the deposed leader soon after its replacement.
    fn detect_false_suspicion(&mut self, node: &NodeLabel, incarnation: u64, now: Time) {
        let is_deposed =
            self.deposed.as_ref().is_some_and(|deposed| deposed.node == *node && deposed.incarnation == incarnation);
        if !is_deposed || incarnation == 0 {
            return;
        }
        self.deposed = None;
        if now.since(self.term_seen_at) < FALSE_SUSPICION_WINDOW {
            self.false_suspicion_times.retain(|at| now.since(*at) < FALSE_SUSPICION_MEMORY);
            self.false_suspicion_times.push(now);
        }
    }
}

/// Observations of a shard that has no leadership record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingLeadership {
    /// Time since which the record has been missing.
    pub since: Time,
    /// `true` if any node is known to have led the shard before.
    pub ever_led: bool,
}

/// Membership table of one node. It is updated by peer heartbeats and by reads of the shards' keys; the rest of the
/// controller only reads it.
#[derive(Debug)]
pub struct Membership {
    this_node: NodeLabel,
    peers: BTreeMap<NodeLabel, Peer>,
    zones: BTreeMap<NodeLabel, Name>,
    shards: Vec<ShardLeadership>,
}

impl Membership {
    /// Creates an empty table. `zones` contains the zone of every controller, including this one.
    pub fn new(this_node: NodeLabel, zones: BTreeMap<NodeLabel, Name>, shards: usize) -> Membership {
        Membership { this_node, peers: BTreeMap::new(), zones, shards: vec![ShardLeadership::default(); shards] }
    }

    /// Returns the entry of a peer, or `None` if no heartbeat of it ever arrived.
    pub fn peer(&self, node: &NodeLabel) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// Returns all peers from which a heartbeat ever arrived.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeLabel, &Peer)> {
        self.peers.iter()
    }

    /// Returns the peers from which a heartbeat arrived within [`PEER_TIMEOUT`].
    pub fn reachable_peers(&self, now: Time) -> impl Iterator<Item = (&NodeLabel, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_reachable(now))
    }

    /// Returns the known leadership of a shard, or `None` if there is no such shard.
    pub fn leadership(&self, shard: ShardId) -> Option<&ShardLeadership> {
        self.shards.get(shard.0 as usize)
    }

    /// Returns the leader of a shard, or `None` if no leader is known.
    pub fn leader_of(&self, shard: ShardId) -> Option<&NodeLabel> {
        self.leadership(shard)?.leader.as_ref()
    }

    /// Returns the shards that a node is known to lead.
    pub fn shards_led_by<'a>(&'a self, node: &'a NodeLabel) -> impl Iterator<Item = (ShardId, &'a ShardLeadership)> {
        self.shard_leaderships().filter(move |(_, leadership)| leadership.leader.as_ref() == Some(node))
    }

    /// Returns the newest known term of each shard that ever had a leader.
    pub fn known_terms(&self) -> Vec<(ShardId, Revision)> {
        let terms = self.shard_leaderships().map(|(shard, leadership)| (shard, leadership.term));
        terms.filter(|(_, term)| term.0 > 0).collect()
    }

    /// Records a heartbeat from another node.
    pub fn record_heartbeat_from(&mut self, node: NodeLabel, peer_status: PeerStatus, now: Time) {
        let ready_since = match self.peers.get(&node) {
            Some(peer) if peer_status.ready && peer.is_reachable(now) => peer.ready_since.or(Some(now)),
            _ => peer_status.ready.then_some(now),
        };
        for &(shard, term) in &peer_status.led {
            let Some(leadership) = self.leadership_mut(shard) else { continue };
            if leadership.record_term(term, now) {
                // Heartbeats do not contain the bounds, which are read from the leadership record.
                leadership.set_leader(node.clone(), peer_status.incarnation, None);
            }
        }
        for leadership in &mut self.shards {
            leadership.detect_false_suspicion(&node, peer_status.incarnation, now);
        }
        self.peers.insert(node, Peer { last_heartbeat_at: now, ready_since, peer_status });
    }

    /// Records the content of a shard's leadership record. The record is ignored if a newer term is known.
    pub fn record_leadership(
        &mut self,
        shard: ShardId,
        term: Revision,
        leader: &NodeLabel,
        incarnation: u64,
        bounds: Option<LeadershipBounds>,
        now: Time,
    ) {
        let Some(leadership) = self.leadership_mut(shard) else { return };
        if term >= leadership.term {
            leadership.record_term(term, now);
            leadership.set_leader(leader.clone(), incarnation, bounds);
        }
    }

    /// Records that a shard has no leadership record. Returns `None` if there is no such shard.
    pub fn record_missing_leadership(&mut self, shard: ShardId, now: Time) -> Option<MissingLeadership> {
        let leadership = self.leadership_mut(shard)?;
        leadership.leader = None;
        let since = *leadership.absent_since.get_or_insert(now);
        Some(MissingLeadership { since, ever_led: leadership.term.0 > 0 })
    }

    /// Records that this node has released its leadership of a shard.
    pub fn record_release(&mut self, shard: ShardId, now: Time) {
        if let Some(leadership) = self.leadership_mut(shard) {
            leadership.leader = None;
            leadership.released_at = Some(now);
        }
    }

    /// Records that a version of the liveness record of a shard's leader was read, or written by this node.
    pub fn record_liveness(&mut self, shard: ShardId, version: Revision, now: Time) {
        if let Some(leadership) = self.leadership_mut(shard)
            && leadership.liveness.is_none_or(|known| known.version < version)
        {
            leadership.liveness = Some(LivenessObservation { version, seen_at: now });
        }
    }

    /// Returns the newest known version of the liveness record of a shard's leader; 0 if there is none.
    pub fn liveness_version(&self, shard: ShardId) -> Revision {
        self.leadership(shard).and_then(|leadership| leadership.liveness).map_or(Revision(0), |known| known.version)
    }

    /// Returns the time of a node's last sign of life: a heartbeat to this node or to a reachable peer, or a write of
    /// its liveness record. Returns `None` if no heartbeat of that node ever reached this node.
    pub fn last_alive(&self, node: &NodeLabel, now: Time) -> Option<Time> {
        let own_last_heartbeat = self.peers.get(node)?.last_heartbeat_at;
        let other_peers = self.reachable_peers(now).filter(|(other, _)| *other != node);
        let last_heartbeats_at_peers = other_peers.filter_map(|(_, peer)| {
            let (_, age) = peer.peer_status.heartbeat_ages.iter().find(|(sender, _)| sender == node)?;
            Some(peer.last_heartbeat_at - *age)
        });
        let liveness_seen =
            self.shards_led_by(node).filter_map(|(_, leadership)| leadership.liveness.map(|known| known.seen_at));
        last_heartbeats_at_peers.chain(liveness_seen).chain([own_last_heartbeat]).max()
    }

    /// Returns the time since the newest heartbeat of each of the peers arrived.
    pub fn heartbeat_ages(&self, now: Time) -> Vec<(NodeLabel, Span)> {
        self.peers.iter().map(|(node, peer)| (node.clone(), now.since(peer.last_heartbeat_at))).collect()
    }

    /// Returns `true` if heartbeats between this node and at least one other controller have not arrived, in either
    /// direction, within `timeout`. A leader then writes a liveness record.
    pub fn is_partitioned(&self, now: Time, timeout: Span) -> bool {
        let is_reached = |peer: &Peer| {
            peer.peer_status.heartbeat_ages.iter().any(|(node, age)| *node == self.this_node && *age < timeout)
        };
        let is_connected = |peer: &Peer| now.since(peer.last_heartbeat_at) < timeout && is_reached(peer);
        let mut other_nodes = self.zones.keys().filter(|node| **node != self.this_node);
        other_nodes.any(|node| !self.peers.get(node).is_some_and(is_connected))
    }

    /// Returns this node's rank among the nodes that could replace a leader, which is the number of nodes before it.
    ///
    /// Nodes in other zones than the leader's come first. Within both groups the nodes follow in the order of their
    /// labels, starting after the leader's. Only nodes that are reachable, ready, and connected to the state service
    /// are counted.
    pub fn rank(&self, leader: &NodeLabel, now: Time) -> u32 {
        let own_order = self.succession_order(leader, &self.this_node);
        let precedes_this_node = |(node, peer): &(&NodeLabel, &Peer)| {
            *node != leader && peer.is_ready_to_lead(now) && self.succession_order(leader, node) < own_order
        };
        self.peers.iter().filter(precedes_this_node).count() as u32
    }

    /// Returns the sort key of a node in the order in which nodes replace a leader: nodes of other zones first, then by
    /// distance from the leader in the ring of labels.
    fn succession_order(&self, leader: &NodeLabel, node: &NodeLabel) -> (bool, usize) {
        let position = |label: &NodeLabel| self.zones.keys().position(|other| other == label).unwrap_or(0);
        let count = self.zones.len();
        let is_same_zone = self.zones.get(node) == self.zones.get(leader);
        (is_same_zone, (position(node) + count - position(leader)) % count.max(1))
    }

    fn shard_leaderships(&self) -> impl Iterator<Item = (ShardId, &ShardLeadership)> {
        self.shards.iter().enumerate().map(|(index, leadership)| (ShardId(index as u32), leadership))
    }

    fn leadership_mut(&mut self, shard: ShardId) -> Option<&mut ShardLeadership> {
        self.shards.get_mut(shard.0 as usize)
    }
}
