//! Polling of the leadership records: steps down from terms that were replaced, reacquires terms of this node, and
//! acquires shards without a leader.

use super::acquisition::AcquisitionReason;
use super::operation::LeadershipOperation;
use super::step_down_reason::StepDownReason;
use crate::coordination::controller::Controller;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::{NodeLabel, Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Entry, StateAnswer, StateCall};
use crate::storage::keys;
use crate::storage::records::ShardRecord;
use crate::time::{Span, Time};

/// Time for which a shard that has never had a leader is left to its preferred leader.
const FIRST_LEADER_WAIT: Span = Span::millis(3000);
/// Time for which a shard that this node has released is left to other nodes, such as the one to which it was handed
/// over.
const HAND_OVER_WAIT: Span = Span::millis(3000);
/// Time for which a shard without a leader is left to its preferred leader if that node is ready.
const PREFERRED_LEADER_WAIT: Span = Span::millis(1500);
/// Additional time that a node waits per rank in the order of preference before it acquires a shard.
const WAIT_PER_RANK: Span = Span::millis(300);
/// Number of ranks added to a node's rank for each shard that it leads beyond the first, so that nodes with fewer
/// shards acquire a shard earlier.
const RANKS_PER_LED_SHARD: u64 = 2;

/// Schedule of the polls of the leadership records.
#[derive(Default)]
pub(super) struct LeaderPoll {
    last_poll: Time,
    poll_in_flight: bool,
}

impl LeaderPoll {
    fn is_due(&self, now: Time, interval: Span) -> bool {
        now.since(self.last_poll) >= interval
    }

    /// Starts a poll and returns `true`, unless a poll is in flight already.
    fn begin_poll(&mut self, now: Time) -> bool {
        if self.poll_in_flight {
            return false;
        }
        self.poll_in_flight = true;
        self.last_poll = now;
        true
    }

    fn poll_answered(&mut self) {
        self.poll_in_flight = false;
    }
}

impl Controller {
    /// Returns the node that is known to lead a shard, or `None` if no leader is known.
    pub(in crate::coordination) fn leader_of(&self, shard: ShardId) -> Option<&NodeLabel> {
        self.membership.leader_of(shard)
    }

    /// Returns the node that leads a shard when all nodes are available.
    pub(super) fn preferred_leader(&self, shard: ShardId) -> &NodeLabel {
        &self.settings.nodes[shard.0 as usize % self.settings.nodes.len()]
    }

    /// Polls the leadership records if a poll is due.
    pub(super) fn poll_leaders_if_due(&mut self) {
        let interval = self.settings.properties.leadership_poll_interval;
        if self.leadership.leader_poll.is_due(self.now, interval) {
            self.poll_leaders();
        }
    }

    /// Polls the leadership records, unless a poll is in flight already.
    pub(super) fn poll_leaders(&mut self) {
        if self.leadership.leader_poll.begin_poll(self.now) {
            let request = StateCall::List { prefix: keys::SHARDS, after: None };
            self.call_state(request, LeadershipOperation::ListLeaders);
        }
    }

    /// Processes the records of all shards that a poll has returned.
    pub(super) fn leaders_listed(&mut self, sent: Time, answer: StateResult) {
        self.leadership.leader_poll.poll_answered();
        let Ok(StateAnswer::Page { entries, .. }) = answer else { return };
        for shard in 0..self.settings.shards {
            self.shard_listed(ShardId(shard), &entries, sent);
        }
        for entry in &entries {
            self.handoff_seen(&entry.key, entry.version);
        }
    }

    fn shard_listed(&mut self, id: ShardId, entries: &[Entry], sent: Time) {
        let entry_at = |key: String| entries.iter().find(|entry| entry.key == key);
        self.leadership.previous_terms.update(id, entry_at(keys::previous_term_key(id)));
        if let Some(entry) = entry_at(keys::liveness_key(id)) {
            self.membership.record_liveness(id, entry.version, self.now);
        }
        match entry_at(keys::shard_key(id)) {
            Some(entry) => self.leadership_record_seen(id, entry, sent),
            None => self.leadership_record_missing(id),
        }
    }

    /// Processes the leadership record of a shard, read by a request that was sent at `sent`. Confirms this node's term
    /// if the record still contains it, steps down if the record contains a newer term, and reacquires leadership if
    /// the record names this node as the leader although it does not lead the shard. A record of an older term than the
    /// newest known one is ignored.
    pub(in crate::coordination) fn leadership_record_seen(&mut self, id: ShardId, entry: &Entry, sent: Time) {
        let Ok(record) = serde_json::from_value::<ShardRecord>(entry.value.clone()) else { return };
        if self.membership.leadership(id).is_some_and(|leadership| entry.version < leadership.term) {
            return;
        }
        self.membership.record_leadership(id, entry.version, &record.node, record.incarnation, record.bounds, self.now);
        self.leadership.failure_detection.set_probe_address(&record.node, record.client_addr);
        self.leadership_confirmed(LeadershipTerm { shard: id, term: entry.version }, sent);
        match self.shards.get(&id).map(|shard| shard.term) {
            Some(term) if term < entry.version => self.step_down(id, StepDownReason::TermReplaced),
            Some(_) => {}
            None => self.reacquire_own_term(id, entry.version, &record),
        }
    }

    /// Acquires a new term if the current term belongs to this node although it does not lead the shard.
    ///
    /// The node does not continue the current term: commands sent under it may still be in transit that this process
    /// has no record of, and only a higher fencing token distinguishes heartbeats sent before such a command from
    /// heartbeats sent after it.
    fn reacquire_own_term(&mut self, id: ShardId, term: Revision, record: &ShardRecord) {
        if let Some(reason) = self.reacquisition_reason(record)
            && !self.is_changing_leadership(id)
        {
            self.acquire_leadership(id, term, reason);
        }
    }

    /// Returns the reason for which this node may reacquire the term of a leadership record, or `None` if it may not.
    fn reacquisition_reason(&self, record: &ShardRecord) -> Option<AcquisitionReason> {
        if record.node != self.settings.label {
            return None;
        }
        if record.incarnation == self.incarnation {
            return Some(AcquisitionReason::OwnOutcomeUnknown);
        }
        // The former process has certainly exited, because only one process can listen at an address and this one
        // does. There is no need to wait until the lease of the former process expires.
        let same_address = record.client_addr == Some(self.settings.client_addr);
        let may_reacquire = same_address && self.settings.properties.recovery.reacquire_own;
        may_reacquire.then_some(AcquisitionReason::OwnFormerIncarnation)
    }

    /// Acquires a shard that has no leader, after the nodes that precede this one have had time to acquire it.
    fn leadership_record_missing(&mut self, id: ShardId) {
        // The list may have been read before an acquisition that this node knows to have succeeded.
        if self.shards.contains_key(&id) || self.is_changing_leadership(id) {
            return;
        }
        let Some(missing) = self.membership.record_missing_leadership(id, self.now) else { return };
        if self.is_handed_over(id) {
            return;
        }
        let wait = self.vacancy_wait(id, missing.ever_led);
        let vacant_for = self.now.since(missing.since);
        // A process that has just started has not received heartbeats from the others yet.
        let running_for = self.now.since(self.started);
        if vacant_for >= wait && running_for >= FIRST_LEADER_WAIT.min(wait) {
            self.acquire_leadership(id, Revision(0), AcquisitionReason::Vacant);
        }
    }

    /// Returns `true` if this node has released a shard so recently that the shard is left to other nodes, such as the
    /// one to which it was handed over.
    fn is_handed_over(&self, id: ShardId) -> bool {
        let released_at = self.membership.leadership(id).and_then(|leadership| leadership.released_at);
        released_at.is_some_and(|released_at| self.now.since(released_at) < HAND_OVER_WAIT)
    }

    /// Returns the time for which this node leaves a shard without a leader to other nodes.
    fn vacancy_wait(&self, id: ShardId, was_led: bool) -> Span {
        let rank = self.preference_rank(id);
        if rank == 0 {
            return Span::ZERO;
        }
        let other_led_shards = self.shards.len().saturating_sub(1) as u64;
        let ranks = u64::from(rank) - 1 + RANKS_PER_LED_SHARD * other_led_shards;
        let rank_wait = WAIT_PER_RANK.times(ranks as f64);
        if self.is_ready_and_reachable(self.preferred_leader(id)) {
            PREFERRED_LEADER_WAIT + rank_wait
        } else if was_led {
            rank_wait
        } else {
            FIRST_LEADER_WAIT + rank_wait
        }
    }

    /// Returns the number of nodes that precede this one in the order of preference of a shard.
    fn preference_rank(&self, id: ShardId) -> u32 {
        let nodes = self.settings.nodes.len() as u32;
        (self.settings.own_index.0 + nodes - id.0 % nodes) % nodes
    }

    fn is_ready_and_reachable(&self, node: &NodeLabel) -> bool {
        self.membership.peer(node).is_some_and(|peer| peer.ready_since.is_some() && peer.is_reachable(self.now))
    }
}
