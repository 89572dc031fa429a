//! Release of the shards of an isolated controller, which reaches the state service but neither its peers nor its
//! workers.

use super::operation::ReleaseReason;
use crate::coordination::controller::Controller;
use crate::coordination::shard::Shard;
use crate::model::ShardId;
use crate::time::{Span, Time};

/// Silence of all workers of a shard, in heartbeat intervals, after which an isolated controller releases the shard.
const MISSED_HEARTBEATS: f64 = 3.0;
/// Silence of all workers of a shard, as a fraction of the worker lease, after which an isolated controller releases
/// the shard. The longer of this time and [`MISSED_HEARTBEATS`] applies.
const SILENCE_FRACTION_OF_WORKER_LEASE: f64 = 0.5;
/// Duration of the first backoff, in worker leases.
const FIRST_BACKOFF_IN_WORKER_LEASES: f64 = 2.0;
/// Maximum duration of a backoff, in worker leases.
const MAX_BACKOFF_IN_WORKER_LEASES: f64 = 8.0;
/// Factor by which each backoff is longer than the previous one.
const BACKOFF_FACTOR: f64 = 2.0;

/// Backoff during which this node acquires no leadership because it has stepped down in isolation.
#[derive(Default)]
pub(super) struct AcquisitionBackoff {
    /// Newest backoff since the last message from a peer or a worker; `None` if there was none.
    newest: Option<BackoffPeriod>,
}

struct BackoffPeriod {
    until: Time,
    duration: Span,
}

impl AcquisitionBackoff {
    fn is_active(&self, now: Time) -> bool {
        self.newest.as_ref().is_some_and(|period| now < period.until)
    }

    /// Starts a backoff that is longer than the previous one.
    fn begin(&mut self, now: Time, worker_lease: Span) {
        let longest = worker_lease.times(MAX_BACKOFF_IN_WORKER_LEASES);
        let duration = match &self.newest {
            Some(previous) => previous.duration.times(BACKOFF_FACTOR).min(longest),
            None => worker_lease.times(FIRST_BACKOFF_IN_WORKER_LEASES),
        };
        self.newest = Some(BackoffPeriod { until: now + duration, duration });
    }

    /// Ends the backoff and resets the duration of the next one.
    pub fn end(&mut self) {
        self.newest = None;
    }
}

impl Controller {
    /// Returns `true` while this node acquires no leadership because it has stepped down in isolation.
    pub(super) fn backs_off_acquisition(&self) -> bool {
        self.leadership.acquisition_backoff.is_active(self.now)
    }

    /// Releases the shards from whose workers no message arrives while no peer is reachable either.
    ///
    /// A node on the workers' side of such a partition can serve them. The isolated node cannot, although it could
    /// renew its node lease indefinitely and so keep its leadership. After the release it acquires no leadership until
    /// a message from a peer or a worker arrives, or until a backoff that doubles each time has ended, so that the
    /// leader of a shard whose workers are all unreachable does not change repeatedly.
    pub(in crate::coordination) fn step_down_if_isolated(&mut self) {
        let has_peers = !self.settings.peers.is_empty();
        let reaches_peer = self.membership.reachable_peers(self.now).next().is_some();
        if !has_peers || reaches_peer || !self.holds_lease() {
            return;
        }
        let silent_shards = self.shards_with_silent_workers();
        if silent_shards.is_empty() {
            return;
        }
        self.leadership.acquisition_backoff.begin(self.now, self.settings.worker_lease);
        for shard in silent_shards {
            self.release_leadership(shard, ReleaseReason::Isolated);
        }
    }

    /// Returns the served shards that have workers, from none of which a message has arrived recently. Shards whose
    /// leadership this node is acquiring or releasing are left out.
    fn shards_with_silent_workers(&self) -> Vec<ShardId> {
        let heartbeats = self.settings.heartbeat_interval.times(MISSED_HEARTBEATS);
        let timeout = heartbeats.max(self.settings.worker_lease.times(SILENCE_FRACTION_OF_WORKER_LEASE));
        let is_silent = |shard: &&Shard| {
            let last_contact_at = shard.machines.values().map(|machine| machine.last_contact_at).max();
            shard.is_active()
                && last_contact_at.is_some_and(|last_contact_at| self.now.since(last_contact_at) >= timeout)
                && !self.is_changing_leadership(shard.id)
        };
        self.shards.values().filter(is_silent).map(|shard| shard.id).collect()
    }
}
