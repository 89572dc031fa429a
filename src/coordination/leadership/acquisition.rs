//! Acquires leadership of a shard.

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

/// Why leadership of a shard is acquired.
pub(super) enum AcquisitionReason {
    /// The shard has no leader.
    Vacant,
    /// The present term is this process's own: the answer to an acquisition or a release of it was lost.
    OwnOutcomeUnknown,
    /// The present term is of an earlier incarnation of this node.
    OwnFormerIncarnation,
    /// The leader has failed and is replaced before its node lease expires.
    Fencing(FencedLeader),
}

/// A leader that is replaced before its node lease expires.
pub(super) struct FencedLeader {
    /// The process that leads the shard.
    pub leader: NodeIncarnation,
    /// How long it may go on after it was replaced.
    pub bounds: LeadershipBounds,
    /// Require that its liveness records are those last seen: the acquisition fails if it has written one since.
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

/// For how long deposed leaders may go on: the one that is fenced now, and those that the record of previous terms
/// still names.
fn inherited_bounds(fenced: Option<&FencedLeader>, previous: &PreviousTermRecord) -> Option<LeadershipBounds> {
    match (fenced, previous.overlap) {
        (Some(fenced), Some(previous_bounds)) => Some(fenced.bounds.max(previous_bounds)),
        (Some(fenced), None) => Some(fenced.bounds),
        (None, previous_bounds) => previous_bounds,
    }
}

impl Controller {
    /// Acquires leadership of a shard whose key has the given version, unless this node may acquire nothing now.
    pub(super) fn acquire_leadership(&mut self, id: ShardId, version: Revision, reason: AcquisitionReason) {
        if !self.holds_lease() || self.backs_off_acquisition() {
            return;
        }
        let Some(lease) = self.leadership.node_lease.id() else { return };
        let previous = self.leadership.previous_terms.get(id).cloned().unwrap_or_default();
        let context = self.acquisition_context(&previous.record, &reason);
        // From here on pauses of this process count: it may be deposed during one.
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
            same_quotas: previous.limits.as_ref() == Some(&self.settings.limits_digest),
            reacquired: matches!(reason, AcquisitionReason::OwnFormerIncarnation),
            overlap,
        }
    }

    /// The record of this node as the leader, and the record of what this term leaves to the next one.
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
            front: Some(self.settings.front),
            bounds: self.leadership.bounds,
        };
        let previous_term_record = PreviousTermRecord {
            limits: previous.record.limits.filter(|_| context.same_quotas),
            overlap: context.overlap_bounds(),
        };
        vec![
            Change::Put { key: keys::shard_key(id), value: to_value(&leader_record), lease: Some(lease) },
            Change::Put { key: keys::previous_term_key(id), value: to_value(&previous_term_record), lease: None },
        ]
    }

    /// Begins to load the shard if leadership was acquired under the present node lease. If another node was quicker,
    /// or if the answer was lost, the next poll of the leaders shows it.
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

    /// The shards whose leadership this node is acquiring or releasing.
    pub(super) fn leadership_changes_in_flight(&self) -> impl Iterator<Item = ShardId> {
        self.calls.state_operations().filter_map(|operation| operation.shard_changing_leadership())
    }

    /// Whether this node is acquiring or releasing leadership of a shard.
    pub(super) fn is_changing_leadership(&self, id: ShardId) -> bool {
        self.leadership_changes_in_flight().any(|shard| shard == id)
    }
}

/// What must hold for an acquisition to succeed: neither the leader nor what the previous leaders went by has changed,
/// and a leader that is fenced has not shown that it lives.
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
