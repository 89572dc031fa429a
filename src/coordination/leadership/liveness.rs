//! The liveness record, which a leader writes at the state service while its heartbeats may not reach all peers, so
//! that they do not replace it.

use super::operation::LeadershipOperation;
use crate::coordination::controller::Controller;
use crate::model::ShardId;
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall};
use crate::storage::keys;
use crate::storage::records::{LivenessRecord, to_value};
use crate::time::{Span, Time};

/// Time without heartbeats in either direction between this node and a peer, after which the liveness record is
/// written.
const PARTITION_TIMEOUT: Span = Span::millis(550);
/// Interval between writes of the liveness record. It is shorter than the smallest permitted leader timeout, so that a
/// peer that waits for that timeout before it replaces a leader sees at least one write.
const LIVENESS_INTERVAL: Span = Span::millis(900);

/// Schedule of the liveness record writes.
#[derive(Default)]
pub(super) struct LivenessWriter {
    last_write: Time,
}

impl Controller {
    /// Writes the liveness record of one shard if it is due and heartbeats between this node and a peer are missing.
    pub(super) fn write_liveness_if_due(&mut self) {
        let is_due = self.now.since(self.leadership.liveness.last_write) >= LIVENESS_INTERVAL;
        if !is_due || !self.holds_lease() || !self.membership.is_partitioned(self.now, PARTITION_TIMEOUT) {
            return;
        }
        // One record is enough: a node that replaces this one checks the records of all shards that this one leads.
        let Some(shard) = self.shards.values().next() else { return };
        let (id, leadership, key) = (shard.id, shard.leadership_term(), keys::liveness_key(shard.id));
        let record = LivenessRecord { node: self.settings.label.clone() };
        let request = StateCall::Commit {
            conditions: vec![
                leadership.condition(),
                Condition::version(key.clone(), self.membership.liveness_version(id)),
            ],
            changes: vec![Change::Put { key, value: to_value(&record), lease: None }],
        };
        self.leadership.liveness.last_write = self.now;
        self.call_state(request, LeadershipOperation::WriteLiveness { leadership });
    }

    /// Stores the version of the liveness record, which is a condition of the next write.
    pub(super) fn liveness_written(&mut self, shard: ShardId, answer: StateResult) {
        if let Ok(StateAnswer::Committed(version)) = answer {
            self.membership.record_liveness(shard, version, self.now);
        }
    }
}
