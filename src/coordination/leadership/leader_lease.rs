//! The actions that this node may take as the leader of a shard while its leases are valid.

use crate::coordination::controller::Controller;
use crate::model::ShardId;
use crate::time::{Span, Time};

impl Controller {
    /// Returns `true` if this node may make decisions for a shard: its node lease and its leader lease are valid.
    pub(in crate::coordination) fn may_decide(&self, shard: ShardId) -> bool {
        self.holds_lease() && self.shards.get(&shard).is_some_and(|shard| shard.may_decide(self.now))
    }

    /// Returns `true` if this node may serve users' reads of a shard from memory.
    pub(in crate::coordination) fn may_serve_reads(&self, shard: ShardId) -> bool {
        self.may_decide(shard)
            && self.shards.get(&shard).is_some_and(|shard| shard.leadership.leader_lease.may_serve_reads(self.now))
    }

    /// Returns `true` if this node may renew worker leases of a shard. It may do so until the end of the grace period,
    /// which begins when the node lease expires, the leader lease ends, or the release of the shard is requested,
    /// whichever is first.
    pub(in crate::coordination) fn may_renew_worker_leases(&self, shard: ShardId) -> bool {
        let (Some(lease_end), Some(shard)) = (self.leadership.node_lease.valid_until(), self.shards.get(&shard)) else {
            return false;
        };
        let leader_lease_end = shard.leadership.leader_lease.decision_deadline();
        let release_requested_at = shard.leadership.release_requested_at;
        let end = [leader_lease_end, release_requested_at].into_iter().flatten().fold(lease_end, Time::min);
        self.now < end + self.worker_lease_grace()
    }

    /// Returns the grace period: the time for which worker leases are still renewed after the leader lease has ended.
    pub(in crate::coordination) fn worker_lease_grace(&self) -> Span {
        self.settings.cancellation.grace()
    }
}
