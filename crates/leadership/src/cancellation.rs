//! How long a task of a cancelled job can still be on a machine, counted from when the user is told that the job is
//! cancelled.
//!
//! The node that tells the user has seen the cancellation in the records. From then on the state service may be
//! unreachable for all nodes for any length of time. So the bound must not depend on later reads or writes, but only
//! on which nodes may still renew worker leases, until when, and on how long a worker lease lasts.

use crowstall_model::time::Span;

/// Safety margin for workers that notice the expiry of their lease late, for late clock readings and for rounding.
const EXPIRY_MARGIN: Span = Span::millis(2000);

/// The platform's settings for cancellations.
#[derive(Clone, Copy, Debug)]
pub struct CancellationBounds {
    /// How long a worker lease lasts, counted from when the newest answered heartbeat was sent.
    pub worker_lease: Span,
    /// How long tasks of a cancelled job may remain on machines.
    pub within: Span,
}

/// Which node may still renew worker leases of machines with the job's tasks when the user is told that the job is
/// cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseSource {
    /// Only the leader that recorded the cancellation, or requested it and may have had no answer. The answers that
    /// renew worker leases also stop the job's tasks, so a machine whose lease is renewed later has none of them.
    Leader,
    /// A former leader in its grace period. Its leader lease has ended: a node that replaced it early has waited for
    /// that ([`crate::LeadershipOverlap`]), and a shard that was released, or whose node lease expired, was acquired
    /// afterwards.
    FormerLeader,
}

impl LeaseSource {
    /// All sources of worker leases.
    pub const ALL: [LeaseSource; 2] = [LeaseSource::Leader, LeaseSource::FormerLeader];
}

impl CancellationBounds {
    /// Returns the grace period: how long a leader goes on renewing worker leases after its leader lease has ended.
    ///
    /// It is as long as possible if another node records the cancellation just when the leader lease ends.
    pub fn grace(&self) -> Span {
        (self.within - self.worker_lease.stretched() - EXPIRY_MARGIN).shrunk()
    }

    /// Returns the latest time at which a task can still be on a machine: the last worker lease is renewed, expires,
    /// and the worker notices that.
    pub fn gone_within(&self, lease_source: LeaseSource) -> Span {
        let last_renewal = match lease_source {
            LeaseSource::Leader => Span::ZERO,
            LeaseSource::FormerLeader => self.grace().stretched(),
        };
        last_renewal + self.worker_lease.stretched() + EXPIRY_MARGIN
    }

    /// Whether the bound on cancelled tasks can be kept at all with these settings.
    pub fn can_be_kept(&self) -> bool {
        LeaseSource::ALL.into_iter().all(|lease_source| self.gone_within(lease_source) <= self.within)
    }
}
