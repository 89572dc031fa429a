//! Confirms that this node's leadership terms still stand, and defers answers until they are confirmed.
//!
//! What was read or confirmed under a term counts only once the term was seen to stand after that: by then the shard
//! may have another leader, and what the records say may be that leader's.

use super::controller::Controller;
use super::leadership::LeadershipOperation;
use super::leadership_term::LeadershipTerm;
use super::pending_calls::CloudOperation;
use super::shard::Shard;
use super::state_operation::StateOperation;
use crate::model::ShardId;
use crate::protocol::CallError;
use crate::protocol::cloud::CloudAnswer;
use crate::protocol::state::StateResult;
use crate::protocol::state::{Entry, StateAnswer, StateCall};
use crate::storage::keys;
use crate::time::Time;
use std::collections::HashSet;

/// An answer that counts only once its term was seen to stand after the answer had come.
struct DeferredAnswer {
    leadership: LeadershipTerm,
    /// Arrival time of the answer.
    received_at: Time,
    call: DeferredCall,
}

/// The call whose answer is deferred, and the answer.
enum DeferredCall {
    /// A read at the state service, and when it was sent.
    State { sent: Time, operation: StateOperation, answer: StateResult },
    /// A deletion that the cloud has confirmed.
    Cloud { operation: CloudOperation, answer: Result<CloudAnswer, CallError> },
}

/// The leadership checks in flight, and the answers that wait for one.
#[derive(Default)]
pub(super) struct Confirmation {
    deferred: Vec<DeferredAnswer>,
    /// The shards whose key is being read to see whether the term still stands.
    checks_in_flight: HashSet<ShardId>,
}

impl Confirmation {
    /// Whether a check may begin now. It counts as in flight from here on.
    fn begin_check(&mut self, shard: ShardId) -> bool {
        self.checks_in_flight.insert(shard)
    }

    fn check_answered(&mut self, shard: ShardId) {
        self.checks_in_flight.remove(&shard);
    }

    fn shards_with_deferred(&self) -> Vec<ShardId> {
        self.deferred.iter().map(|deferred| deferred.leadership.shard).collect()
    }

    fn has_deferred(&self, shard: ShardId) -> bool {
        self.deferred.iter().any(|deferred| deferred.leadership.shard == shard)
    }

    /// Takes out the answers that count or do not matter any more now that a term was seen to stand when a check was
    /// sent: those that came before, and those of other terms.
    fn take_confirmed(&mut self, leadership: LeadershipTerm, sent: Time) -> Vec<DeferredAnswer> {
        self.take(|deferred| {
            deferred.leadership.shard == leadership.shard
                && (deferred.leadership.term != leadership.term || deferred.received_at <= sent)
        })
    }

    /// Takes out all answers for a shard.
    fn take_all(&mut self, shard: ShardId) -> Vec<DeferredAnswer> {
        self.take(|deferred| deferred.leadership.shard == shard)
    }

    fn take(&mut self, is_taken: impl Fn(&DeferredAnswer) -> bool) -> Vec<DeferredAnswer> {
        let (taken, kept) = std::mem::take(&mut self.deferred).into_iter().partition(is_taken);
        self.deferred = kept;
        taken
    }
}

impl Controller {
    /// Confirms the term on which a transaction was conditional, if the transaction was committed.
    pub(super) fn confirm_by_commit(&mut self, sent: Time, operation: &StateOperation, answer: &StateResult) {
        if let (Ok(StateAnswer::Committed(_)), Some(leadership)) = (answer, operation.leadership_condition()) {
            self.leadership_confirmed(leadership, sent);
        }
    }

    /// Defers an answer of the state service that counts only while a term stands, unless the term is confirmed.
    /// Returns the answer if it is not deferred.
    pub(super) fn defer_unconfirmed(
        &mut self,
        sent: Time,
        operation: StateOperation,
        answer: StateResult,
    ) -> Option<(StateOperation, StateResult)> {
        let read_term = match &answer {
            Ok(StateAnswer::Found(entry)) => self.read_term(&operation, entry),
            _ => None,
        };
        match read_term {
            Some(leadership) if !self.is_confirmed_now(leadership) => {
                self.defer(leadership, DeferredCall::State { sent, operation, answer });
                None
            }
            _ => Some((operation, answer)),
        }
    }

    /// Defers a deletion that the cloud has confirmed, until it is certain that this node may still draw conclusions
    /// from it: otherwise two nodes might start anew what ran on the machine. Returns the answer if it is not deferred.
    pub(super) fn defer_unconfirmed_deletion(
        &mut self,
        operation: CloudOperation,
        answer: Result<CloudAnswer, CallError>,
    ) -> Option<(CloudOperation, Result<CloudAnswer, CallError>)> {
        match operation {
            CloudOperation::Delete { leadership, .. } if answer.is_ok() && !self.is_confirmed_now(leadership) => {
                self.defer(leadership, DeferredCall::Cloud { operation, answer });
                None
            }
            _ => Some((operation, answer)),
        }
    }

    /// The leadership term under which an entry was read, if what the entry says counts only while that term stands.
    fn read_term(&self, operation: &StateOperation, entry: &Entry) -> Option<LeadershipTerm> {
        match operation {
            // A job that is found live in a shard that this node leads may be adopted there.
            operation if operation.is_job_lookup() && entry.key.starts_with(keys::LIVE) => {
                let shard = entry.value.get("home").or_else(|| entry.value.get("shard"))?.as_u64()?;
                let shard = self.shards.get(&ShardId(shard as u32))?;
                Some(shard.leadership_term())
            }
            _ => operation.read_term(),
        }
    }

    /// Whether what is read at this moment counts at once: either this node leads the shard and cannot have been
    /// replaced without having noticed, or it does not lead the shard in that term any more, which is checked by
    /// the component that handles the answer.
    fn is_confirmed_now(&mut self, leadership: LeadershipTerm) -> bool {
        let now = self.now;
        self.shard_in_term(leadership).is_none_or(|shard| shard.leadership.leader_lease.confirmed_since(now))
    }

    fn defer(&mut self, leadership: LeadershipTerm, call: DeferredCall) {
        self.confirmation.deferred.push(DeferredAnswer { leadership, received_at: self.now, call });
        self.check_leadership(leadership.shard);
    }

    /// Checks leadership of the shards for which answers are deferred.
    pub(super) fn check_leadership_for_deferred(&mut self) {
        for shard in self.confirmation.shards_with_deferred() {
            self.check_leadership(shard);
        }
    }

    /// Reads the key of a shard to see whether this node's term still stands, unless that is being done already.
    pub(super) fn check_leadership(&mut self, shard: ShardId) {
        let Some(leadership) = self.shards.get(&shard).map(Shard::leadership_term) else { return };
        if self.confirmation.begin_check(shard) {
            let operation = LeadershipOperation::CheckTerm { leadership };
            self.call_state(StateCall::Get(keys::shard_key(shard)), operation);
        }
    }

    /// Confirms the term that was checked, or steps down if there is a newer one.
    pub(super) fn leadership_checked(&mut self, leadership: LeadershipTerm, sent: Time, answer: StateResult) {
        self.confirmation.check_answered(leadership.shard);
        match answer {
            Ok(StateAnswer::Found(entry)) if entry.version == leadership.term => {
                self.leadership_confirmed(leadership, sent);
            }
            Ok(StateAnswer::Found(entry)) => self.leadership_record_seen(leadership.shard, &entry, sent),
            _ => {}
        }
    }

    /// Extends the leader lease: the term of a shard stood when a request that was sent at the given time was
    /// answered.
    pub(super) fn leadership_confirmed(&mut self, leadership: LeadershipTerm, sent: Time) {
        let id = leadership.shard;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        shard.leadership.leader_lease.renew(sent);
        let confirmed = self.confirmation.take_confirmed(leadership, sent);
        self.resume_deferred(confirmed);
        self.begin_serving(id);
        // What is left came after the check had been sent.
        if self.confirmation.has_deferred(id) {
            self.check_leadership(id);
        }
    }

    /// Completes the answers that were deferred for a shard that this node does not lead any more. They are handled
    /// as by any node that does not lead the shard.
    pub(super) fn resume_deferred_after_loss(&mut self, id: ShardId) {
        let deferred = self.confirmation.take_all(id);
        self.resume_deferred(deferred);
    }

    fn resume_deferred(&mut self, deferred: Vec<DeferredAnswer>) {
        for DeferredAnswer { call, .. } in deferred {
            match call {
                DeferredCall::State { sent, operation, answer } => self.complete_state_call(sent, operation, answer),
                DeferredCall::Cloud { operation, answer } => self.cloud_done(operation, answer),
            }
        }
    }
}
