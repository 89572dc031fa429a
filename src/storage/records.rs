//! Records in the state service.
//!
//! During an upgrade, controllers of different versions read each other's records. Serialized names therefore never
//! change, and a field that was added after the first version is omitted while it has its default value.

use crate::model::{FinalState, JobId, JobSpec, Name, NodeLabel, ShardId};
use crowstall_leadership::LeadershipBounds;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Upper bound in bytes of the growth of a live record after its first write, not counting [`LiveRecord::done`]:
/// `ready_ms`, `fails_everywhere` and numbers with more digits.
pub const MAX_LATER_GROWTH_BYTES: usize = 96;

/// Value of [`LiveRecord::shard`] while a job waits for prerequisites. No shard has this number, so a version without
/// support for prerequisites reads the record and starts none of the job's tasks (docs/upgrade.md).
pub const NO_SHARD: ShardId = ShardId(u32::MAX);

/// Size in bytes of the value of a part record without prerequisites, rounded up.
const PART_OVERHEAD_BYTES: usize = 16;

/// Size in bytes that a prerequisite takes in a part record besides the id: two quotes and a comma.
const PREREQUISITE_OVERHEAD_BYTES: usize = 3;

/// Record of the leader of a shard. The revision of the key is the leadership term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Label of the controller that leads the shard.
    pub node: NodeLabel,
    /// Incarnation of the leader: a controller keeps its label when it restarts.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address at which the leader serves users and workers; `None` in records of versions that did not write it.
    #[serde(rename = "front", default)]
    pub client_addr: Option<SocketAddrV4>,
    /// Bounds on the time that the leader may continue to act after its term was last confirmed. With them, the leader
    /// may be deposed before its node lease expires, and the new leader waits for the bounds; `None` if the leader can
    /// only be replaced after the expiry.
    #[serde(rename = "terms", default, skip_serializing_if = "Option::is_none")]
    pub bounds: Option<LeadershipBounds>,
}

/// Data that the leaders of a shard keep for the next leader. The record is not attached to a lease, so it outlives
/// the leadership terms.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PreviousTermRecord {
    /// Digest of the team quotas under which all tasks that may still run were started; `None` if tasks that were
    /// started under other quotas may still run.
    #[serde(rename = "limits")]
    pub quotas_digest: Option<String>,
    /// Bounds of a leader that was deposed before its node lease had expired and may still act. The next leader waits
    /// for these bounds, counted from its own acquisition. `None` if no deposed leader can still act.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub overlap: Option<LeadershipBounds>,
}

/// Sign of life of a shard's leader, written while a peer may not receive the leader's heartbeats. Readers only compare
/// the revision of the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LivenessRecord {
    /// Label of the leader.
    pub node: NodeLabel,
}

/// Live record: a job that was accepted and has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LiveRecord {
    /// Shard of the job, or [`NO_SHARD`] while the job waits for prerequisites.
    pub shard: ShardId,
    /// Shard of the job while `shard` is [`NO_SHARD`], and `None` otherwise.
    #[serde(rename = "home", default, skip_serializing_if = "Option::is_none")]
    pub home_shard: Option<ShardId>,
    /// Number of [`PartRecord`]s that hold the prerequisites which do not fit into this record.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub parts: u32,
    /// Specification of the job.
    pub job: JobSpec,
    /// Time of the acceptance in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Time at which the last prerequisite was done, in milliseconds since 1970; `None` if the job did not have to
    /// wait, or still waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_ms: Option<u64>,
    /// Completed tasks, as the text of a [`RangeSet`](super::range_set::RangeSet).
    #[serde(default)]
    pub done: String,
    /// Start watermark: no task with this number or a larger one was ever started, so after a failover the new leader
    /// looks for attempts of smaller numbers only.
    #[serde(rename = "untouched", default)]
    pub start_watermark: u32,
    /// `true` if the job fails everywhere, so that the next leader does not have to repeat the failures to detect it.
    #[serde(rename = "failing", default, skip_serializing_if = "std::ops::Not::not")]
    pub fails_everywhere: bool,
}

/// Part record: prerequisites of a job that do not fit into its live record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartRecord {
    /// Ids of the prerequisites.
    pub needs: Vec<JobId>,
}

/// Final record of a job that has ended. Final records are never deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Final state of the job.
    pub state: FinalState,
    /// Number of completed tasks.
    pub done: u32,
    /// Cancelled prerequisite that caused the cancellation of this job; `None` if there was no such cause.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<JobId>,
}

/// Run time statistics of a shard. Without the record, forecasts are less accurate; nothing else is affected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForecastRecord {
    /// Snapshot in the format of `crowstall_forecast::snapshot`.
    pub snapshot: String,
}

/// Record of a machine, with the shard to which the machine belongs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Shard of the machine.
    pub shard: ShardId,
    /// Name of the machine type.
    pub kind: Name,
    /// Zone of the machine.
    pub zone: Name,
    /// `true` for a spot machine.
    pub spot: bool,
    /// Address and port at which the worker accepts direct calls.
    pub addr: String,
}

impl LiveRecord {
    /// Returns `true` if the job may have prerequisites that are not done.
    pub fn is_waiting(&self) -> bool {
        self.shard == NO_SHARD
    }

    /// Returns the shard whose leader decides about the job, also while the job waits for prerequisites.
    pub fn deciding_shard(&self) -> ShardId {
        self.home_shard.filter(|_| self.is_waiting()).unwrap_or(self.shard)
    }
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Divides prerequisites among part records whose values take at most `max_value_bytes` each, in the given order.
pub fn parts_of(prerequisites: &[JobId], max_value_bytes: usize) -> Vec<PartRecord> {
    let mut parts: Vec<PartRecord> = Vec::new();
    let mut used_bytes = 0;
    for job in prerequisites {
        let bytes = job.as_str().len() + PREREQUISITE_OVERHEAD_BYTES;
        if let Some(part) = parts.last_mut().filter(|_| used_bytes + bytes <= max_value_bytes) {
            used_bytes += bytes;
            part.needs.push(job.clone());
        } else {
            used_bytes = PART_OVERHEAD_BYTES + bytes;
            parts.push(PartRecord { needs: vec![job.clone()] });
        }
    }
    parts
}

/// Returns the JSON value that is stored for a record.
pub fn to_value(record: &impl Serialize) -> serde_json::Value {
    // Serialization cannot fail: all records have text keys and finite numbers only.
    serde_json::to_value(record).unwrap_or_default()
}
