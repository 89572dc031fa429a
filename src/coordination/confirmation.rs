//! Confirmation of this node's leadership terms, and the answers that are deferred until their term is confirmed.
//!
//! An answer received under a term is used only after a request sent later has confirmed that the term was in force.
//! Otherwise the shard might already have had another leader, and the records that were read might be that leader's.

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

/// Answer that is used only after a leadership check sent later has confirmed its term.
struct DeferredAnswer {
    leadership: LeadershipTerm,
    /// Arrival time of the answer.
    received_at: Time,
    call: DeferredCall,
}

/// Call whose answer is deferred, with the answer.
enum DeferredCall {
    /// Read from the state service. `sent` is the time at which it was sent.
    State { sent: Time, operation: StateOperation, answer: StateResult },
    /// Deletion of a machine that the cloud has confirmed.
    Cloud { operation: CloudOperation, answer: Result<CloudAnswer, CallError> },
}

/// Leadership checks in flight, and the answers that wait for one.
#[derive(Default)]
pub(super) struct Confirmation {
    deferred: Vec<DeferredAnswer>,
    /// Shards with a leadership check in flight, which reads the key of the shard.
    checks_in_flight: HashSet<ShardId>,
}

impl Confirmation {
    /// Marks a check as in flight and returns `true`, unless one is in flight already.
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

    /// Removes and returns the answers that need no further confirmation after a check sent at `sent` has confirmed a
    /// term: those of this term that had arrived when the check was sent, which may now be used, and those of the
    /// shard's other terms, which have no effect any more.
    fn take_confirmed(&mut self, leadership: LeadershipTerm, sent: Time) -> Vec<DeferredAnswer> {
        self.take(|deferred| {
            deferred.leadership.shard == leadership.shard
                && (deferred.leadership.term != leadership.term || deferred.received_at <= sent)
        })
    }

    /// Removes and returns all deferred answers for a shard.
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
    /// Confirms the term that was a condition of a transaction, if the transaction was committed.
    pub(super) fn confirm_by_commit(&mut self, sent: Time, operation: &StateOperation, answer: &StateResult) {
        if let (Ok(StateAnswer::Committed(_)), Some(leadership)) = (answer, operation.leadership_condition()) {
            self.leadership_confirmed(leadership, sent);
        }
    }

    /// Defers an answer of the state service that is valid only while a term is in force, unless the term is confirmed.
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

    /// Defers the confirmed deletion of a machine until the term is confirmed. Without this, a deposed and a new leader
    /// might both start the tasks of that machine again. Returns the answer if it is not deferred.
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

    /// Returns the leadership term under which an entry was read, or `None` if the entry is valid without a term.
    fn read_term(&self, operation: &StateOperation, entry: &Entry) -> Option<LeadershipTerm> {
        match operation {
            // This node may adopt a live job that belongs to a shard that it leads.
            operation if operation.is_job_lookup() && entry.key.starts_with(keys::LIVE) => {
                let shard = entry.value.get("home").or_else(|| entry.value.get("shard"))?.as_u64()?;
                let shard = self.shards.get(&ShardId(shard as u32))?;
                Some(shard.leadership_term())
            }
            _ => operation.read_term(),
        }
    }

    /// Returns `true` if an answer that arrives now needs no deferral: either this node leads the shard and cannot have
    /// been replaced unnoticed, or it does not lead the shard in that term any more, which the component that handles
    /// the answer checks.
    fn is_confirmed_now(&mut self, leadership: LeadershipTerm) -> bool {
        let now = self.now;
        self.shard_in_term(leadership).is_none_or(|shard| shard.leadership.leader_lease.confirmed_since(now))
    }

    fn defer(&mut self, leadership: LeadershipTerm, call: DeferredCall) {
        self.confirmation.deferred.push(DeferredAnswer { leadership, received_at: self.now, call });
        self.check_leadership(leadership.shard);
    }

    /// Sends a leadership check for each shard with deferred answers.
    pub(super) fn check_leadership_for_deferred(&mut self) {
        for shard in self.confirmation.shards_with_deferred() {
            self.check_leadership(shard);
        }
    }

    /// Sends a leadership check, which reads the key of a shard to find out if this node's term is still in force,
    /// unless one is in flight already.
    pub(super) fn check_leadership(&mut self, shard: ShardId) {
        let Some(leadership) = self.shards.get(&shard).map(Shard::leadership_term) else { return };
        if self.confirmation.begin_check(shard) {
            let operation = LeadershipOperation::CheckTerm { leadership };
            self.call_state(StateCall::Get(keys::shard_key(shard)), operation);
        }
    }

    /// Processes the answer to a leadership check: confirms the term, or steps down if there is a newer one.
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

    /// Renews the leader lease after a request sent at `sent` has confirmed the term of a shard, and resumes the
    /// deferred answers that had arrived by `sent`. Starts to serve the shard if it is ready, and sends another
    /// leadership check if answers remain deferred.
    pub(super) fn leadership_confirmed(&mut self, leadership: LeadershipTerm, sent: Time) {
        let id = leadership.shard;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        shard.leadership.leader_lease.renew(sent);
        let confirmed = self.confirmation.take_confirmed(leadership, sent);
        self.resume_deferred(confirmed);
        self.begin_serving(id);
        // The remaining answers arrived after the check had been sent.
        if self.confirmation.has_deferred(id) {
            self.check_leadership(id);
        }
    }

    /// Completes the answers that were deferred for a shard that this node does not lead any more. They are handled as
    /// by any other node that does not lead the shard.
    pub(super) fn resume_deferred_after_loss(&mut self, id: ShardId) {
        let deferred = self.confirmation.take_all(id);
        self.resume_deferred(deferred);
    }

    fn resume_deferred(&mut self, deferred: Vec<DeferredAnswer>) {
        for DeferredAnswer { call, .. } in deferred {
            match call {
                DeferredCall::State { sent, operation, answer } => self.complete_state_call(sent, operation, answer),
                DeferredCall::Cloud { operation, answer } => self.dispatch_cloud_answer(operation, answer),
            }
        }
    }
}
