//! Calls to the state service for the node lease and for leadership terms.

use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::{LeaseId, NodeLabel, ShardId};
use crate::time::Time;
use crowstall_leadership::{LeadershipBounds, LeadershipOverlap, NodeIncarnation};

/// Call to the state service for the node lease or for a leadership term.
pub(in crate::coordination) enum LeadershipOperation {
    /// Requests a node lease.
    Grant,
    /// Renews the node lease.
    KeepAlive { lease: LeaseId },
    /// Lists the leadership records of all shards.
    ListLeaders,
    /// Acquires leadership of a shard.
    Acquire { shard: ShardId, lease: LeaseId, context: AcquisitionContext },
    /// Reads the leadership record of a shard in order to check that this node's term is still in force.
    CheckTerm { leadership: LeadershipTerm },
    /// Writes the liveness record of a shard.
    WriteLiveness { leadership: LeadershipTerm },
    /// Releases leadership of a shard.
    Release { leadership: LeadershipTerm, reason: ReleaseReason },
}

impl LeadershipOperation {
    /// Returns the term that is a condition of the transaction, if there is one.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            LeadershipOperation::WriteLiveness { leadership } => Some(*leadership),
            _ => None,
        }
    }

    /// Returns the shard whose leadership this call acquires or releases; `None` for all other calls.
    pub(in crate::coordination) fn shard_changing_leadership(&self) -> Option<ShardId> {
        match self {
            LeadershipOperation::Acquire { shard, .. } => Some(*shard),
            LeadershipOperation::Release { leadership, .. } => Some(leadership.shard),
            _ => None,
        }
    }
}

/// Reason for a release of leadership.
pub(in crate::coordination) enum ReleaseReason {
    /// Transfer of leadership to a peer.
    HandOver {
        /// Peer that may acquire leadership at once.
        to: NodeLabel,
    },
    /// Isolation of this node, after which any other node may lead the shard.
    Isolated,
}

/// Facts known when leadership of a shard is requested that are needed after it was acquired.
pub(in crate::coordination) struct AcquisitionContext {
    /// `true` if all previous leaders applied the same quotas as this node, see `PreviousTermRecord`.
    pub same_quotas: bool,
    /// `true` if the previous term belonged to an earlier incarnation of this node.
    pub reacquired: bool,
    /// Overlap with deposed leaders; `None` if no deposed leader can be unaware of its replacement.
    pub(super) overlap: Option<InheritedOverlap>,
}

impl AcquisitionContext {
    /// Returns the bounds of deposed leaders that may not know yet that they were replaced, if there may be any.
    pub fn overlap_bounds(&self) -> Option<LeadershipBounds> {
        self.overlap.as_ref().map(|overlap| overlap.bounds)
    }

    /// Returns the leadership overlap at the start of the term, if there is one. `since` must not be earlier than the
    /// replacement of the previous term.
    pub fn leadership_overlap(&self, since: Time) -> Option<LeadershipOverlap> {
        let overlap = self.overlap.as_ref()?;
        Some(LeadershipOverlap::new(since, overlap.bounds, overlap.deposed.clone()))
    }
}

/// Overlap with deposed leaders at the start of a term.
pub(super) struct InheritedOverlap {
    /// Bounds on how long a deposed leader may continue to act, counted from the acquisition.
    pub bounds: LeadershipBounds,
    /// Leader that this term replaces; `None` if the overlap remains from an earlier replacement.
    pub deposed: Option<NodeIncarnation>,
}
