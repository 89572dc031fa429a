//! The end of this node's leadership: steps down in memory, releases leadership at the state service, and hands shards
//! over to a peer that leads none.

use super::acquisition::AcquisitionReason;
use super::operation::{LeadershipOperation, ReleaseReason};
use super::step_down_reason::StepDownReason;
use crate::coordination::controller::Controller;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::shard::{EarlyHeartbeat, Shard};
use crate::model::{NodeLabel, Revision, ShardId};
use crate::protocol::peers::PeerMessage;
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, StateAnswer, StateCall};
use crate::protocol::{BusyReason, CallError, Reply};
use crate::storage::keys;
use crate::time::Span;
use crowstall_leadership::Peer;
use crowstall_leadership::membership::PEER_TIMEOUT;

/// Time for which a peer must have been ready before a shard is handed over to it.
const MIN_READY_TIME: Span = Span::millis(800);

impl Controller {
    /// Stops leading a shard, in memory only. The records at the state service are not changed; the next leader loads
    /// the shard from them.
    pub(in crate::coordination) fn step_down(&mut self, id: ShardId, reason: StepDownReason) {
        if let Some(shard) = self.shards.remove(&id) {
            log::warn!("shard {id}: stepped down from leadership term {}: {reason}", shard.term);
            self.keep_recovery_report(&shard);
            self.resume_deferred_after_loss(id);
            for EarlyHeartbeat { requester, .. } in shard.loading.early_heartbeats {
                self.reply(requester, Reply::busy(BusyReason::LeadershipLost));
            }
        }
    }

    /// Steps down if a commit failed because another controller has acquired the shard. Returns `true` if so.
    pub(in crate::coordination) fn step_down_on_conflict(&mut self, shard: ShardId, answer: &StateResult) -> bool {
        let replaced = answer.as_ref().is_ok_and(|answer| answer.is_conflict_on(&keys::shard_key(shard)));
        if replaced {
            self.step_down(shard, StepDownReason::TermReplaced);
        }
        replaced
    }

    /// Hands a shard over to a peer that is ready and leads none, if this node leads more than one.
    pub(super) fn hand_over_to(&mut self, node: &NodeLabel) {
        let Some(peer) = self.membership.peer(node) else { return };
        if !self.may_receive_shard(peer) || !self.holds_lease() || self.shards.len() < 2 {
            return;
        }
        let Some(id) = self.smallest_shard_for(node) else { return };
        if self.leadership_changes_in_flight().next().is_some() {
            return;
        }
        log::info!("shard {id}: releasing leadership to hand it over to {node}, which leads no shard");
        self.release_leadership(id, ReleaseReason::HandOver { to: node.clone() });
    }

    /// Returns `true` if a peer leads no shard and can acquire one. A peer that the state service does not answer
    /// cannot.
    fn may_receive_shard(&self, peer: &Peer) -> bool {
        let reaches_state = peer.state_silence(self.now) < PEER_TIMEOUT;
        let is_ready = peer.ready_since.is_some_and(|since| self.now.since(since) >= MIN_READY_TIME);
        reaches_state && is_ready && peer.peer_status.led.is_empty()
    }

    /// Returns the loaded shard with the fewest jobs and machines, because a leadership change interrupts scheduling on
    /// them for a short time. Among equals, a shard whose preferred leader is `node` comes first.
    fn smallest_shard_for(&self, node: &NodeLabel) -> Option<ShardId> {
        let order = |shard: &&Shard| {
            let size = shard.jobs.len() + shard.machines.len();
            (size, self.preferred_leader(shard.id) != node)
        };
        let active = self.shards.values().filter(|shard| shard.is_active());
        active.min_by_key(order).map(|shard| shard.id)
    }

    /// Requests the release of a shard's leadership from the state service.
    pub(super) fn release_leadership(&mut self, id: ShardId, reason: ReleaseReason) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        shard.leadership.release_requested_at = Some(self.now);
        let leadership = shard.leadership_term();
        let request = StateCall::Commit {
            conditions: vec![leadership.condition()],
            changes: vec![Change::Delete(keys::shard_key(id))],
        };
        self.call_state(request, LeadershipOperation::Release { leadership, reason });
    }

    /// Steps down from a shard whose leadership was or may have been released.
    pub(super) fn release_answered(&mut self, leadership: LeadershipTerm, reason: ReleaseReason, answer: StateResult) {
        let id = leadership.shard;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        match answer {
            // An unanswered release may be executed at any later time, so this node steps down at once. If the
            // release was not executed, the leadership record still names this node, which then acquires a new term
            // and loads the shard again.
            Ok(StateAnswer::Committed(_) | StateAnswer::Conflict(_)) | Err(CallError::NoAnswer) => {
                self.finish_release(id, reason);
            }
            // The release was refused and therefore not executed.
            _ => shard.leadership.release_requested_at = None,
        }
    }

    fn finish_release(&mut self, id: ShardId, reason: ReleaseReason) {
        self.step_down(id, StepDownReason::from(&reason));
        self.membership.record_release(id, self.now);
        if let ReleaseReason::HandOver { to } = reason {
            self.send_to_peer(to, PeerMessage::Released { shard: id });
        }
    }

    /// Acquires a shard that a peer has handed over to this node.
    pub(in crate::coordination) fn leadership_handed_over(&mut self, id: ShardId) {
        let is_known = self.membership.leadership(id).is_some();
        if is_known && !self.shards.contains_key(&id) && !self.is_changing_leadership(id) {
            self.acquire_leadership(id, Revision(0), AcquisitionReason::Vacant);
        }
    }
}
