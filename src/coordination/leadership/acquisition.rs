//! Acquisition of leadership of a shard.

use super::operation::{AcquisitionContext, InheritedOverlap, LeadershipOperation};
use super::previous_terms::PreviousTerm;
use crate::coordination::controller::Controller;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::{LeaseId, Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall};
use crate::storage::keys;
use crate::storage::records::{PreviousTermRecord, ShardRecord, to_value};
use crate::time::Time;
use crowstall_leadership::{LeadershipBounds, NodeIncarnation};

/// Reason for an acquisition of leadership.
pub(super) enum AcquisitionReason {
    /// The shard has no leader.
    Vacant,
    /// The current term belongs to this process, but the answer to its acquisition or release was lost.
    OwnOutcomeUnknown,
    /// The current term belongs to an earlier incarnation of this node.
    OwnFormerIncarnation,
    /// The leader has failed and is replaced before its node lease expires.
    Fencing(FencedLeader),
}

/// Leader that is replaced before its node lease expires.
pub(super) struct FencedLeader {
    /// Process that leads the shard.
    pub leader: NodeIncarnation,
    /// Bounds on how long that process may continue to act after its replacement.
    pub bounds: LeadershipBounds,
    /// Conditions that the versions of its liveness records are those last read, so that the acquisition fails if the
    /// leader has written one since.
    pub liveness_conditions: Vec<Condition>,
}

impl AcquisitionReason {
    fn fenced_leader(&self) -> Option<&FencedLeader> {
        match self {
            AcquisitionReason::Fencing(fenced) => Some(fenced),
            _ => None,
        }
    }
}

/// Returns the longest bounds of the deposed leaders that may still act: the leader that is fenced now, and those from
/// an overlap that the previous-term record still contains.
fn inherited_bounds(fenced: Option<&FencedLeader>, previous: &PreviousTermRecord) -> Option<LeadershipBounds> {
    match (fenced, previous.overlap) {
        (Some(fenced), Some(previous_bounds)) => Some(fenced.bounds.max(previous_bounds)),
        (Some(fenced), None) => Some(fenced.bounds),
        (None, previous_bounds) => previous_bounds,
    }
}

impl Controller {
    /// Requests leadership of a shard whose key has the given version, unless this node has no valid lease or is in its
    /// acquisition backoff.
    pub(super) fn acquire_leadership(&mut self, id: ShardId, version: Revision, reason: AcquisitionReason) {
        if !self.holds_lease() || self.backs_off_acquisition() {
            return;
        }
        let Some(lease) = self.leadership.node_lease.id() else { return };
        let previous = self.leadership.previous_terms.get(id).cloned().unwrap_or_default();
        let context = self.acquisition_context(&previous.record, &reason);
        // Pauses of this process are measured from here on, because it may be deposed during one.
        self.leadership.pauses.reset();
        let request = StateCall::Commit {
            conditions: acquisition_conditions(id, version, previous.version, reason),
            changes: self.acquisition_changes(id, lease, previous, &context),
        };
        self.call_state(request, LeadershipOperation::Acquire { shard: id, lease, context });
    }

    fn acquisition_context(&self, previous: &PreviousTermRecord, reason: &AcquisitionReason) -> AcquisitionContext {
        let fenced = reason.fenced_leader();
        let overlap = inherited_bounds(fenced, previous)
            .map(|bounds| InheritedOverlap { bounds, deposed: fenced.map(|fenced| fenced.leader.clone()) });
        AcquisitionContext {
            same_quotas: previous.quotas_digest.as_ref() == Some(&self.settings.quotas_digest),
            reacquired: matches!(reason, AcquisitionReason::OwnFormerIncarnation),
            overlap,
        }
    }

    /// Returns the writes of an acquisition: the leadership record of this node, and the previous-term record that the
    /// next leader will read.
    fn acquisition_changes(
        &self,
        id: ShardId,
        lease: LeaseId,
        previous: PreviousTerm,
        context: &AcquisitionContext,
    ) -> Vec<Change> {
        let leader_record = ShardRecord {
            node: self.settings.label.clone(),
            incarnation: self.incarnation,
            client_addr: Some(self.settings.client_addr),
            bounds: self.leadership.bounds,
        };
        let previous_term_record = PreviousTermRecord {
            quotas_digest: previous.record.quotas_digest.filter(|_| context.same_quotas),
            overlap: context.overlap_bounds(),
        };
        vec![
            Change::Put { key: keys::shard_key(id), value: to_value(&leader_record), lease: Some(lease) },
            Change::Put { key: keys::previous_term_key(id), value: to_value(&previous_term_record), lease: None },
        ]
    }

    /// Starts to load the shard if leadership was acquired under the current node lease. If another node acquired it
    /// first, or if the answer was lost, the next poll of the leadership records shows the outcome.
    pub(super) fn acquisition_answered(
        &mut self,
        id: ShardId,
        lease: LeaseId,
        context: AcquisitionContext,
        sent: Time,
        answer: StateResult,
    ) {
        if let Ok(StateAnswer::Committed(term)) = answer
            && self.leadership.node_lease.id() == Some(lease)
        {
            self.start_loading(LeadershipTerm { shard: id, term }, context, sent);
        }
    }

    /// Returns the shards for which an acquisition or a release by this node is in flight.
    pub(super) fn leadership_changes_in_flight(&self) -> impl Iterator<Item = ShardId> {
        self.calls.state_operations().filter_map(|operation| operation.shard_changing_leadership())
    }

    /// Returns `true` if an acquisition or a release of the shard by this node is in flight.
    pub(super) fn is_changing_leadership(&self, id: ShardId) -> bool {
        self.leadership_changes_in_flight().any(|shard| shard == id)
    }
}

/// Returns the conditions of an acquisition: neither the leadership record nor the previous-term record has changed,
/// and a leader that is fenced has not written a liveness record since.
fn acquisition_conditions(
    id: ShardId,
    version: Revision,
    previous_term_version: Revision,
    reason: AcquisitionReason,
) -> Vec<Condition> {
    let mut conditions = vec![
        Condition::version(keys::shard_key(id), version),
        Condition::version(keys::previous_term_key(id), previous_term_version),
    ];
    if let AcquisitionReason::Fencing(fenced) = reason {
        conditions.extend(fenced.liveness_conditions);
    }
    conditions
}
