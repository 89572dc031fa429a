//! The leader lease: the period in which the leader of a shard may act.
//!
//! Keys attached to a node lease at the state service are kept while that lease is valid. This does not protect a
//! leader, because its leadership record may be replaced while the node lease is still valid. The leader lease is
//! therefore counted from when the newest confirmed leadership check was *sent*. Actions under the lease are bounded
//! in time, and a conclusion drawn from a read is valid only after a leadership check that was sent later than the
//! read has confirmed the term.

use crowstall_model::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Maximum times for which a leader continues to act after its term was last confirmed.
///
/// The bounds are stored in the leadership record of the shard, because a node that replaces the leader early has to
/// wait until they have passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipBounds {
    /// Time in milliseconds for which the leader makes decisions: accepts and ends jobs, rents, returns and registers
    /// machines.
    #[serde(rename = "decides_ms")]
    pub decision_ms: u64,
    /// Time in milliseconds for which the leader serves users' reads from memory.
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
    /// Time at which the newest confirmed leadership check was sent.
    confirmed_at: Time,
    /// `None` if the leader cannot be replaced before its node lease expires.
    bounds: Option<LeadershipBounds>,
}

impl LeaderLease {
    /// Creates the lease of a new term. `sent` is the time at which the request that acquired leadership was sent.
    pub fn acquired(sent: Time, bounds: Option<LeadershipBounds>) -> LeaderLease {
        LeaderLease { confirmed_at: sent, bounds }
    }

    /// Renews the lease after a leadership check sent at `sent` has confirmed the term.
    pub fn renew(&mut self, sent: Time) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Returns the time at which the leader has to stop making decisions, or `None` if only its node lease limits it.
    pub fn decision_deadline(&self) -> Option<Time> {
        self.bounds.map(|bounds| self.deadline_after(bounds.decision_ms))
    }

    /// Returns `true` if the leader may make decisions for the shard.
    pub fn may_decide(&self, now: Time) -> bool {
        self.decision_deadline().is_none_or(|deadline| now < deadline)
    }

    /// Returns `true` if the leader may serve users' reads from memory.
    pub fn may_serve_reads(&self, now: Time) -> bool {
        self.bounds.is_none_or(|bounds| now < self.deadline_after(bounds.read_ms))
    }

    /// Returns `true` if a leadership check that was sent at `at` or later has confirmed the term.
    pub fn was_confirmed_after(&self, at: Time) -> bool {
        self.confirmed_at >= at
    }

    /// Returns `true` if the term was certainly in force at `at`. Conclusions from a read made at `at` or earlier are
    /// valid only then.
    pub fn confirmed_since(&self, at: Time) -> bool {
        self.bounds.is_none() || self.was_confirmed_after(at)
    }

    fn deadline_after(&self, bound_ms: u64) -> Time {
        self.confirmed_at + Span::millis(bound_ms).lower_bound_under_drift()
    }
}
