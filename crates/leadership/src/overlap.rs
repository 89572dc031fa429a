//! The leadership overlap: the period in which a new leader delays certain writes, until the lease of the deposed
//! leader has certainly ended.

use crate::incarnation::NodeIncarnation;
use crate::leader_lease::LeadershipBounds;
use crowstall_model::model::NodeLabel;
use crowstall_model::time::{Span, Time};

/// Period in which a deposed leader may not know yet that it was replaced.
///
/// During the overlap the deposed leader may start tasks on the machines that it reaches, which fencing tokens and the
/// records make harmless, and it may serve reads from memory. Therefore a job's end that the deposed leader does not
/// know of must not be recorded before that leader has certainly stopped serving reads. A cancellation must not be
/// recorded before it is certain that the last worker lease that the deposed leader may renew expires in time.
#[derive(Clone, Debug)]
pub struct LeadershipOverlap {
    since: Time,
    bounds: LeadershipBounds,
    /// Deposed leader; `None` if a former leader made the replacement, since this node does not know the deposed leader
    /// then.
    deposed: Option<NodeIncarnation>,
    /// `true` once the deposed leader has reported that it knows of its replacement.
    ended_early: bool,
}

impl LeadershipOverlap {
    /// Creates the overlap with a deposed leader that acted under `bounds`.
    ///
    /// `since` must not be earlier than the replacement. `deposed` is the deposed leader, if known.
    pub fn new(since: Time, bounds: LeadershipBounds, deposed: Option<NodeIncarnation>) -> LeadershipOverlap {
        LeadershipOverlap { since, bounds, deposed, ended_early: false }
    }

    /// Returns `true` if a completion may be recorded: no deposed leader can serve a read any more that contradicts it.
    pub fn may_record_done(&self, now: Time) -> bool {
        self.has_passed(now, self.bounds.read_ms)
    }

    /// Returns `true` if a cancellation may be recorded: no deposed leader renews worker leases under its leader lease
    /// any more. The grace period that always follows a leader lease is not included.
    pub fn may_record_cancelled(&self, now: Time) -> bool {
        self.is_over(now)
    }

    /// Returns `true` if the leader lease of the deposed leader has certainly ended, so that it makes no more
    /// decisions.
    pub fn is_over(&self, now: Time) -> bool {
        self.has_passed(now, self.bounds.decision_ms)
    }

    /// Returns the longest time for which the deposed leader's lease may last after the replacement.
    pub fn max_duration(&self) -> Span {
        Span::millis(self.bounds.decision_ms).upper_bound_under_drift()
    }

    /// Records a heartbeat of a node that knows of a term at least as new as the one that replaced the deposed leader.
    /// Returns `true` if the heartbeat ends the overlap.
    ///
    /// The overlap ends if the node is the deposed leader, which can never return to an older term. A different
    /// incarnation of the same label counts only if `one_process_per_label` is set: two processes with the same label
    /// cannot run at the same time then.
    pub fn record_heartbeat_from(&mut self, node: &NodeLabel, incarnation: u64, one_process_per_label: bool) -> bool {
        let is_deposed = self.deposed.as_ref().is_some_and(|deposed| {
            deposed.node == *node && (deposed.incarnation == incarnation || one_process_per_label)
        });
        let ends = !self.ended_early && incarnation != 0 && is_deposed;
        self.ended_early |= ends;
        ends
    }

    fn has_passed(&self, now: Time, bound_ms: u64) -> bool {
        self.ended_early || now >= self.since + Span::millis(bound_ms).upper_bound_under_drift()
    }
}
