//! The upper bound on how long a task of a cancelled job can remain on a machine, counted from the reply that informs
//! the user of the cancellation.
//!
//! The node that sends the reply has read the cancellation in the records. After that the state service may be
//! unreachable for all nodes for any length of time. The bound must therefore not depend on later reads or writes, but
//! only on the nodes that may still renew worker leases, on the time until which they may do so, and on the duration
//! of a worker lease.

use crowstall_model::time::Span;

/// Safety margin for workers that notice the expiry of their lease late, for late clock readings and for rounding.
const EXPIRY_MARGIN: Span = Span::millis(2000);

/// Platform settings that bound the duration of a cancellation.
#[derive(Clone, Copy, Debug)]
pub struct CancellationBounds {
    /// Duration of a worker lease, counted from when the worker sent its newest answered heartbeat.
    pub worker_lease: Span,
    /// Maximum time for which tasks of a cancelled job may remain on machines after the user was informed.
    pub max_duration: Span,
}

/// Node that may still renew worker leases of machines with the job's tasks when the user is informed of the
/// cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseSource {
    /// Only the leader that recorded the cancellation, or sent the write and may have received no answer, and leaders
    /// after it. Each of their replies that renews a worker lease also stops the job's tasks, to outdated heartbeats
    /// too, so a machine whose lease is renewed later runs none of them.
    Leader,
    /// A former leader in its grace period. Its leader lease has ended: a node that replaced it early has waited for
    /// the end of that lease ([`crate::LeadershipOverlap`]), and a shard that was released, or whose leader's node
    /// lease expired, was acquired afterwards.
    FormerLeader,
}

impl LeaseSource {
    /// All sources of worker leases.
    pub const ALL: [LeaseSource; 2] = [LeaseSource::Leader, LeaseSource::FormerLeader];
}

impl CancellationBounds {
    /// Returns the grace period: the time for which a leader continues to renew worker leases after its leader lease
    /// has ended.
    ///
    /// The grace period is the longest with which the bound is kept even if another node records a cancellation at the
    /// moment when the leader lease ends.
    pub fn grace(&self) -> Span {
        (self.max_duration - self.worker_lease.upper_bound_under_drift() - EXPIRY_MARGIN).lower_bound_under_drift()
    }

    /// Returns the longest time for which a task can remain on a machine: until the last renewed worker lease has
    /// expired and the worker has noticed the expiry.
    pub fn max_removal_time(&self, lease_source: LeaseSource) -> Span {
        let last_renewal = match lease_source {
            LeaseSource::Leader => Span::ZERO,
            LeaseSource::FormerLeader => self.grace().upper_bound_under_drift(),
        };
        last_renewal + self.worker_lease.upper_bound_under_drift() + EXPIRY_MARGIN
    }

    /// Returns `true` if these settings allow the bound on cancelled tasks to be kept.
    pub fn is_feasible(&self) -> bool {
        LeaseSource::ALL.into_iter().all(|lease_source| self.max_removal_time(lease_source) <= self.max_duration)
    }
}
