//! Releases the shards of a controller that is isolated: it reaches the state service, but neither its peers nor its
//! workers.

use super::operation::ReleaseReason;
use crate::coordination::controller::Controller;
use crate::coordination::shard::Shard;
use crate::model::ShardId;
use crate::time::{Span, Time};

/// For how many heartbeat intervals no worker may have been heard before a shard is released in isolation.
const MISSED_HEARTBEATS: f64 = 3.0;
/// Silence of all workers of a shard, as a fraction of the worker lease, after which an isolated controller releases
/// the shard. The longer of this time and [`MISSED_HEARTBEATS`] applies.
const SILENCE_FRACTION_OF_WORKER_LEASE: f64 = 0.5;
/// Duration of the first backoff, in worker leases.
const FIRST_BACKOFF_IN_WORKER_LEASES: f64 = 2.0;
/// How many worker leases a backoff lasts at most.
const MAX_BACKOFF_IN_WORKER_LEASES: f64 = 8.0;
/// By which factor each backoff is longer than the one before.
const BACKOFF_FACTOR: f64 = 2.0;

/// Whether this node acquires nothing at present because it has stepped down in isolation.
#[derive(Default)]
pub(super) struct AcquisitionBackoff {
    /// The newest backoff since a peer or a worker was last heard.
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

    /// Begins a backoff that is longer than the one before.
    fn begin(&mut self, now: Time, worker_lease: Span) {
        let longest = worker_lease.times(MAX_BACKOFF_IN_WORKER_LEASES);
        let duration = match &self.newest {
            Some(previous) => previous.duration.times(BACKOFF_FACTOR).min(longest),
            None => worker_lease.times(FIRST_BACKOFF_IN_WORKER_LEASES),
        };
        self.newest = Some(BackoffPeriod { until: now + duration, duration });
    }

    /// Ends the backoff, and the next one is short again.
    pub fn end(&mut self) {
        self.newest = None;
    }
}

impl Controller {
    /// Whether this node acquires nothing at present because it has stepped down in isolation.
    pub(super) fn backs_off_acquisition(&self) -> bool {
        self.leadership.acquisition_backoff.is_active(self.now)
    }

    /// Releases the shards whose workers send no heartbeats to this node while no peer is reachable either.
    ///
    /// A node on the workers' side of such a partition can serve them; an isolated node cannot, although it could
    /// renew its lease forever. It acquires nothing until it hears a peer or a worker, or until a backoff that doubles
    /// each time is over, so that a shard without any worker does not change its leader again and again.
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

    /// The shards that have workers, none of which was heard lately.
    fn shards_with_silent_workers(&self) -> Vec<ShardId> {
        let heartbeats = self.settings.heartbeat_interval.times(MISSED_HEARTBEATS);
        let timeout = heartbeats.max(self.settings.worker_lease.times(SILENCE_FRACTION_OF_WORKER_LEASE));
        let is_silent = |shard: &&Shard| {
            let last_heard = shard.machines.values().map(|machine| machine.seen).max();
            shard.is_active()
                && last_heard.is_some_and(|last_heard| self.now.since(last_heard) >= timeout)
                && !self.is_changing_leadership(shard.id)
        };
        self.shards.values().filter(is_silent).map(|shard| shard.id).collect()
    }
}
