//! Reads who leads which shard, and reacts to what is found: steps down from terms that were replaced, reacquires
//! terms of this node, and acquires shards without a leader.

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

/// How long a shard that has never been led is left to its preferred leader.
const FIRST_LEADER_WAIT: Span = Span::millis(3000);
/// How long a shard that this node has released is left to the node to which it was handed over.
const HAND_OVER_WAIT: Span = Span::millis(3000);
/// How long a shard without a leader is left to its preferred leader if that is ready.
const PREFERRED_LEADER_WAIT: Span = Span::millis(1500);
/// How much longer each further node in the order of preference waits before it acquires a shard.
const WAIT_PER_RANK: Span = Span::millis(300);
/// Each shard that a node leads beyond the first counts as this many places in the order of preference, so that
/// nodes with fewer shards come first.
const RANKS_PER_LED_SHARD: u64 = 2;

/// The polling of who leads which shard.
#[derive(Default)]
pub(super) struct LeaderPoll {
    last_poll: Time,
    poll_in_flight: bool,
}

impl LeaderPoll {
    fn is_due(&self, now: Time, interval: Span) -> bool {
        now.since(self.last_poll) >= interval
    }

    /// Whether a poll may begin now. It counts as in flight from here on.
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
    /// The node that leads a shard, as far as this node knows.
    pub(in crate::coordination) fn leader_of(&self, shard: ShardId) -> Option<&NodeLabel> {
        self.membership.leader_of(shard)
    }

    /// The node that leads a shard if all nodes are well.
    pub(super) fn preferred_leader(&self, shard: ShardId) -> &NodeLabel {
        &self.settings.nodes[shard.0 as usize % self.settings.nodes.len()]
    }

    /// Reads who leads which shard if that is due.
    pub(super) fn poll_leaders_if_due(&mut self) {
        let interval = self.settings.properties.leadership_poll_interval;
        if self.leadership.leader_poll.is_due(self.now, interval) {
            self.poll_leaders();
        }
    }

    /// Reads who leads which shard, unless that is being done already.
    pub(super) fn poll_leaders(&mut self) {
        if self.leadership.leader_poll.begin_poll(self.now) {
            let request = StateCall::List { prefix: keys::SHARDS, after: None };
            self.call_state(request, LeadershipOperation::ListLeaders);
        }
    }

    /// Reacts to the records of all shards.
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

    /// Reacts to the record of who leads a shard, in an answer to a request that was sent at the given time.
    pub(in crate::coordination) fn leadership_record_seen(&mut self, id: ShardId, entry: &Entry, sent: Time) {
        let Ok(record) = serde_json::from_value::<ShardRecord>(entry.value.clone()) else { return };
        if self.membership.leadership(id).is_some_and(|leadership| entry.version < leadership.term) {
            return;
        }
        self.membership.record_leadership(id, entry.version, &record.node, record.incarnation, record.bounds, self.now);
        self.leadership.failure_detection.set_probe_address(&record.node, record.front);
        self.leadership_confirmed(LeadershipTerm { shard: id, term: entry.version }, sent);
        match self.shards.get(&id).map(|shard| shard.term) {
            Some(term) if term < entry.version => self.step_down(id, StepDownReason::TermReplaced),
            Some(_) => {}
            None => self.reacquire_own_term(id, entry.version, &record),
        }
    }

    /// Acquires a new term if the present one is this node's own although it does not lead the shard.
    ///
    /// The present term is not taken as it is: under an old term there may be commands on their way that this node
    /// no longer remembers, and only a higher fencing token distinguishes heartbeats from before them from heartbeats
    /// after them.
    fn reacquire_own_term(&mut self, id: ShardId, term: Revision, record: &ShardRecord) {
        if let Some(reason) = self.reacquisition_reason(record)
            && !self.is_changing_leadership(id)
        {
            self.acquire_leadership(id, term, reason);
        }
    }

    /// Why this node may reacquire a term with the given record, if it may.
    fn reacquisition_reason(&self, record: &ShardRecord) -> Option<AcquisitionReason> {
        if record.node != self.settings.label {
            return None;
        }
        if record.incarnation == self.incarnation {
            return Some(AcquisitionReason::OwnOutcomeUnknown);
        }
        // The former process is surely gone: only one process can listen at an address, and this one does. So there
        // is no need to wait until its lease expires.
        let same_address = record.front == Some(self.settings.front);
        let may_reacquire = same_address && self.settings.properties.recovery.reacquire_own;
        may_reacquire.then_some(AcquisitionReason::OwnFormerIncarnation)
    }

    /// Acquires a shard that has no leader once the nodes that come before this one have had time to do so.
    fn leadership_record_missing(&mut self, id: ShardId) {
        // The list may be older than an acquisition that this node knows to have succeeded.
        if self.shards.contains_key(&id) || self.is_changing_leadership(id) {
            return;
        }
        let Some(missing) = self.membership.record_missing_leadership(id, self.now) else { return };
        if self.is_handed_over(id) {
            return;
        }
        let wait = self.vacancy_wait(id, missing.ever_led);
        let vacant_for = self.now.since(missing.since);
        // A process that has just started has not heard the others yet.
        let running_for = self.now.since(self.started);
        if vacant_for >= wait && running_for >= FIRST_LEADER_WAIT.min(wait) {
            self.acquire_leadership(id, Revision(0), AcquisitionReason::Vacant);
        }
    }

    /// Whether this node has released a shard so lately that it is left to the node to which it was handed over.
    fn is_handed_over(&self, id: ShardId) -> bool {
        let released_at = self.membership.leadership(id).and_then(|leadership| leadership.released_at);
        released_at.is_some_and(|released_at| self.now.since(released_at) < HAND_OVER_WAIT)
    }

    /// How long this node leaves a shard without a leader to others.
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

    /// How many nodes come before this one in the order of preference of a shard.
    fn preference_rank(&self, id: ShardId) -> u32 {
        let nodes = self.settings.nodes.len() as u32;
        (self.settings.me.0 + nodes - id.0 % nodes) % nodes
    }

    fn is_ready_and_reachable(&self, node: &NodeLabel) -> bool {
        self.membership.peer(node).is_some_and(|peer| peer.ready_since.is_some() && peer.is_reachable(self.now))
    }
}
