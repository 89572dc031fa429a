//! The leadership overlap: what a new leader holds back until the lease of the deposed leader has certainly ended.

use crate::incarnation::NodeIncarnation;
use crate::leader_lease::LeadershipBounds;
use crowstall_model::model::NodeLabel;
use crowstall_model::time::{Span, Time};

/// The time in which a deposed leader may not know yet that it was replaced.
///
/// Meanwhile the deposed leader may start tasks on the machines that it reaches, which fencing tokens and the records
/// make harmless, and it may serve reads from memory. Therefore an end that the deposed leader does not know of must
/// not be recorded before that leader has certainly stopped serving reads, and a cancellation not before the last
/// worker lease that it may renew can expire in time.
#[derive(Clone, Debug)]
pub struct LeadershipOverlap {
    since: Time,
    bounds: LeadershipBounds,
    /// None if the replacement was made by a former leader, which is not known here.
    deposed: Option<NodeIncarnation>,
    /// The deposed leader has shown that it knows of its replacement.
    ended_early: bool,
}

impl LeadershipOverlap {
    /// Creates the overlap with a deposed leader that acted under `bounds`.
    ///
    /// `since` is no earlier than the moment of the replacement. `deposed` is the deposed leader, if known.
    pub fn new(since: Time, bounds: LeadershipBounds, deposed: Option<NodeIncarnation>) -> LeadershipOverlap {
        LeadershipOverlap { since, bounds, deposed, ended_early: false }
    }

    /// Whether no deposed leader can serve a read any more that a recorded completion would contradict.
    pub fn may_record_done(&self, now: Time) -> bool {
        self.has_passed(now, self.bounds.read_ms)
    }

    /// Whether no deposed leader renews worker leases under its leader lease any more. The grace period that always
    /// follows a leader lease is not included.
    pub fn may_record_cancelled(&self, now: Time) -> bool {
        self.is_over(now)
    }

    /// Whether the leader lease of the deposed leader has certainly ended, so that it decides nothing any more.
    pub fn is_over(&self, now: Time) -> bool {
        self.has_passed(now, self.bounds.decision_ms)
    }

    /// Returns the longest time for which the deposed leader's lease may last after the replacement.
    pub fn longest(&self) -> Span {
        Span::millis(self.bounds.decision_ms).stretched()
    }

    /// Records that a node knows of a term at least as new as the one that replaced the deposed leader, and returns
    /// whether this ends the overlap.
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
        self.ended_early || now >= self.since + Span::millis(bound_ms).stretched()
    }
}
