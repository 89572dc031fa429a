//! The leader lease: until when the leader of a shard may act.
//!
//! A node lease at the state service guarantees that no other node acquires the keys attached to it. That is not
//! enough, because a leadership record may be replaced while the node lease is still alive. The leader lease
//! therefore also counts from when the newest confirmed leadership check was *sent*. Actions under the lease are
//! bounded in time, and a conclusion drawn from a read is valid only after a leadership check that was sent later
//! than the read has confirmed the term.

use crowstall_model::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// How long a leader goes on acting after its term was last confirmed.
///
/// The bounds are stored in the leadership record of the shard, since a node that replaces the leader has to wait
/// for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipBounds {
    /// How long the leader decides: accepts and ends jobs, rents, returns and registers machines.
    #[serde(rename = "decides_ms")]
    pub decision_ms: u64,
    /// How long the leader serves users' reads from memory.
    #[serde(rename = "tells_ms")]
    pub read_ms: u64,
}

impl LeadershipBounds {
    /// Returns the longer decision bound and the longer read bound of `self` and `other`.
    pub fn max(self, other: LeadershipBounds) -> LeadershipBounds {
        LeadershipBounds {
            decision_ms: self.decision_ms.max(other.decision_ms),
            read_ms: self.read_ms.max(other.read_ms),
        }
    }
}

/// The lease under which a leader acts for one shard during one leadership term.
#[derive(Clone, Copy, Debug)]
pub struct LeaderLease {
    /// When the newest confirmed leadership check was sent.
    confirmed_at: Time,
    /// None if the leader cannot be replaced before its node lease expires.
    bounds: Option<LeadershipBounds>,
}

impl LeaderLease {
    /// Creates the lease of a new term. `sent` is when the request that acquired the leadership was sent.
    pub fn acquired(sent: Time, bounds: Option<LeadershipBounds>) -> LeaderLease {
        LeaderLease { confirmed_at: sent, bounds }
    }

    /// Renews the lease after a leadership check that was sent at `sent` has confirmed the term.
    pub fn renew(&mut self, sent: Time) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Returns when the leader has to stop deciding, or none if only its node lease bounds that.
    pub fn decision_deadline(&self) -> Option<Time> {
        self.bounds.map(|bounds| self.deadline_after(bounds.decision_ms))
    }

    /// Whether the leader may make decisions for the shard.
    pub fn may_decide(&self, now: Time) -> bool {
        self.decision_deadline().is_none_or(|deadline| now < deadline)
    }

    /// Whether the leader may serve users' reads from memory.
    pub fn may_serve_reads(&self, now: Time) -> bool {
        self.bounds.is_none_or(|bounds| now < self.deadline_after(bounds.read_ms))
    }

    /// Whether the term certainly stood at time `at`. A read made up to `at` may be relied on only then.
    pub fn confirmed_since(&self, at: Time) -> bool {
        self.bounds.is_none() || self.confirmed_at >= at
    }

    fn deadline_after(&self, bound_ms: u64) -> Time {
        self.confirmed_at + Span::millis(bound_ms).shrunk()
    }
}
