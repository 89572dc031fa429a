//! The periodic heartbeats between controllers.

use super::step_down_reason::StepDownReason;
use crate::coordination::controller::Controller;
use crate::model::{MachineId, NodeLabel, ShardId};
use crate::protocol::peer_heartbeat_pages::{rented_page, spare_page};
use crate::protocol::peers::{MESSAGE_VERSION, MachineOffer, PeerMessage};
use crate::time::{Span, Time};
use crowstall_leadership::PeerStatus;

/// Interval between two heartbeats to the peers.
const PEER_HEARTBEAT_INTERVAL: Span = Span::millis(400);

/// Schedule of the heartbeats to the peers.
#[derive(Default)]
pub(super) struct PeerHeartbeats {
    last_sent: Time,
    /// Number of heartbeats sent. Each contains the next page of the lists that are too long for one heartbeat.
    sent: u64,
}

impl Controller {
    /// Sends a heartbeat to every peer if one is due.
    pub(super) fn send_peer_heartbeat_if_due(&mut self) {
        if self.now.since(self.leadership.peer_heartbeats.last_sent) >= PEER_HEARTBEAT_INTERVAL {
            self.send_peer_heartbeat();
        }
    }

    /// Sends a heartbeat to every peer.
    pub(in crate::coordination) fn send_peer_heartbeat(&mut self) {
        self.leadership.peer_heartbeats.last_sent = self.now;
        self.leadership.peer_heartbeats.sent += 1;
        let heartbeat = self.peer_heartbeat();
        let peers: Vec<NodeLabel> = self.settings.peers.iter().map(|(peer, _)| peer.clone()).collect();
        for peer in peers {
            self.send_to_peer(peer, heartbeat.clone());
        }
    }

    fn peer_heartbeat(&self) -> PeerMessage {
        let active = self.shards.values().filter(|shard| shard.is_active());
        let offers = self.shards.values().flat_map(|shard| shard.offers(self.now)).collect();
        let page = self.leadership.peer_heartbeats.sent;
        PeerMessage::Heartbeat {
            holds_lease: self.holds_lease(),
            ready: self.holds_lease() && self.cloud.has_catalog(),
            led: active.map(|shard| (shard.id, shard.term)).collect(),
            rented: rented_page(self.rented_machines(), page),
            spare: spare_page(offers, page),
            incarnation: self.incarnation,
            known_terms: self.membership.known_terms(),
            state_silence: self.leadership.failure_detection.state_silence(self.now),
            heartbeat_ages: self.membership.heartbeat_ages(self.now),
            message_version: MESSAGE_VERSION,
        }
    }

    /// Returns the machines that this node's shards have rented and that are not up yet, with their shards.
    fn rented_machines(&self) -> Vec<(MachineId, ShardId)> {
        let rented = |shard: ShardId, machine: &MachineId| (machine.clone(), shard);
        let shards = self.shards.values();
        shards.flat_map(|shard| shard.fleet.booting.keys().map(move |machine| rented(shard.id, machine))).collect()
    }

    /// Handles a heartbeat from a peer. Other messages are ignored.
    pub(in crate::coordination) fn handle_peer_heartbeat(&mut self, from: NodeLabel, heartbeat: PeerMessage) {
        let PeerMessage::Heartbeat {
            holds_lease,
            ready,
            led,
            rented,
            spare,
            incarnation,
            known_terms,
            state_silence,
            heartbeat_ages,
            message_version,
        } = heartbeat
        else {
            return;
        };
        let peer_status = PeerStatus {
            incarnation,
            holds_lease,
            ready,
            led,
            known_terms,
            state_silence,
            heartbeat_ages,
            message_version,
        };
        self.record_peer_heartbeat(from, peer_status, rented, spare);
    }

    /// Updates this node's tables from the heartbeat of a peer, steps down from terms that the peer has replaced, and
    /// hands a shard over to the peer if it leads none.
    fn record_peer_heartbeat(
        &mut self,
        from: NodeLabel,
        peer_status: PeerStatus,
        rented: Vec<(MachineId, ShardId)>,
        spare: Vec<MachineOffer>,
    ) {
        for (machine, shard) in rented {
            self.directory.set_machine_shard(machine, shard);
        }
        self.step_down_from_replaced_terms(&peer_status);
        self.leadership.end_backoff();
        self.end_overlaps(&from, &peer_status);
        self.leadership.failure_detection.record_heartbeat(&from, self.now);
        self.membership.record_heartbeat_from(from.clone(), peer_status, self.now);
        self.offers.set(from.clone(), spare);
        self.hand_over_to(&from);
    }

    /// Steps down from shards that a peer leads in a newer term. The acquisition by that peer can only have succeeded
    /// after this node's term had ended.
    fn step_down_from_replaced_terms(&mut self, peer_status: &PeerStatus) {
        for &(shard, term) in &peer_status.led {
            if self.shards.get(&shard).is_some_and(|own| own.term < term) {
                self.step_down(shard, StepDownReason::TermReplaced);
            }
        }
    }

    /// Ends the leadership overlap with a deposed leader that reports the term that replaced it, or a newer one.
    fn end_overlaps(&mut self, from: &NodeLabel, peer_status: &PeerStatus) {
        let one_process_per_label = self.settings.properties.recovery.reacquire_own;
        for &(id, known_term) in &peer_status.known_terms {
            let Some(shard) = self.shards.get_mut(&id).filter(|shard| shard.term <= known_term) else { continue };
            if let Some(overlap) = &mut shard.leadership.overlap
                && overlap.record_heartbeat_from(from, peer_status.incarnation, one_process_per_label)
            {
                log::info!("shard {id}: deposed leader {from} reports that it was replaced; leadership overlap ended");
            }
        }
    }
}
