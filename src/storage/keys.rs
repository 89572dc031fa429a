//! Keys of the records in the state service.
//!
//! | key | record |
//! | --- | --- |
//! | `shard/N` | [`ShardRecord`]: the leader of shard N; removed when the leader's node lease ends |
//! | `shard/last/N` | [`PreviousTermRecord`]: data for the next leader of shard N; not attached to a lease |
//! | `shard/pulse/N` | [`LivenessRecord`]: written while a peer may not receive the leader's heartbeats |
//! | `shard/new/N/JOB` | hand-off record: a controller other than the leader has accepted JOB for shard N |
//! | `live/JOB` | [`LiveRecord`]: an accepted job that has not ended |
//! | `part/JOB/I` | [`PartRecord`]: prerequisites that do not fit into `live/JOB` |
//! | `end/JOB` | [`FinalRecord`]: a job that has ended |
//! | `machine/ID` | [`MachineRecord`]: the shard of a machine |
//! | `forecast/N` | [`ForecastRecord`]: run time statistics of shard N |
//!
//! One transaction deletes the live record of a job and writes the final record, so a reader that reads `live` first
//! and `end` second finds every accepted job. All keys under `shard/` are listed together; `shard/new/` sorts after
//! the numbers and `shard/last/`, so hand-off records follow the leadership records.
//!
//! [`ShardRecord`]: super::records::ShardRecord
//! [`PreviousTermRecord`]: super::records::PreviousTermRecord
//! [`LivenessRecord`]: super::records::LivenessRecord
//! [`LiveRecord`]: super::records::LiveRecord
//! [`PartRecord`]: super::records::PartRecord
//! [`FinalRecord`]: super::records::FinalRecord
//! [`MachineRecord`]: super::records::MachineRecord
//! [`ForecastRecord`]: super::records::ForecastRecord

use crate::model::{JobId, MachineId, ShardId};

/// Prefix of the leadership records (leaders, previous terms and liveness) and of the hand-off records.
pub const SHARDS: &str = "shard/";

/// Prefix of the live records.
pub const LIVE: &str = "live/";

/// Prefix of the final records.
pub const FINALS: &str = "end/";

/// Prefix of the machine records.
pub const MACHINES: &str = "machine/";

/// Prefix of the run time statistics of the shards.
pub const FORECASTS: &str = "forecast/";

/// Prefix of the hand-off records.
const HANDOFFS: &str = "shard/new/";
/// Prefix of the part records.
const PARTS: &str = "part/";

/// Returns the key of a shard's leader record. The revision of the key is the leadership term.
pub fn shard_key(shard: ShardId) -> String {
    format!("{SHARDS}{shard}")
}

/// Returns the key of the record in which a shard's leaders store data for the next leader.
pub fn previous_term_key(shard: ShardId) -> String {
    format!("{SHARDS}last/{shard}")
}

/// Returns the key of a shard's liveness record.
pub fn liveness_key(shard: ShardId) -> String {
    format!("{SHARDS}pulse/{shard}")
}

/// Returns the key of the hand-off record of a job that was accepted by a controller other than the shard's leader.
pub fn handoff_key(shard: ShardId, job: &JobId) -> String {
    format!("{HANDOFFS}{shard}/{job}")
}

/// Returns the shard and the job of a hand-off record, or `None` for any other key.
pub fn parse_handoff(key: &str) -> Option<(ShardId, JobId)> {
    let (shard, job) = key.strip_prefix(HANDOFFS)?.split_once('/')?;
    Some((ShardId(shard.parse().ok()?), JobId::new(job)))
}

/// Returns the key of a job's live record.
pub fn live_key(job: &JobId) -> String {
    format!("{LIVE}{job}")
}

/// Returns the key of a job's final record.
pub fn final_key(job: &JobId) -> String {
    format!("{FINALS}{job}")
}

/// Returns the job whose final record has the given key; an empty id if the key is not under [`FINALS`].
pub fn job_of_final_key(key: &str) -> JobId {
    JobId::new(key.strip_prefix(FINALS).unwrap_or_default())
}

/// Returns the key of the part record with the given index, counted from 0, of a job.
pub fn part_key(job: &JobId, index: u32) -> String {
    format!("{PARTS}{job}/{index}")
}

/// Returns the key of a shard's run time statistics.
pub fn forecast_key(shard: ShardId) -> String {
    format!("{FORECASTS}{shard}")
}

/// Returns the key of a machine's record.
pub fn machine_key(machine: &MachineId) -> String {
    format!("{MACHINES}{machine}")
}

/// Returns the machine whose record has the given key; an empty id if the key is not under [`MACHINES`].
pub fn machine_of(key: &str) -> MachineId {
    MachineId::new(key.strip_prefix(MACHINES).unwrap_or_default())
}
