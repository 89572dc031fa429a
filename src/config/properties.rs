//! The operators' properties: one struct for each group, with the key, range and default of each field.

use super::ConfigError;
use super::property_table::{PropertyGroup, PropertyTable};
use super::property_values::{
    boolean, count, count_up_to, factor, kibibytes, milliseconds, names, optional_milliseconds, seconds, shard_count,
};
use crate::model::Name;
use crate::time::Span;
use serde::Deserialize;

/// Default time to live of a leader lease, as a fraction of the duration of the worker lease.
const DEFAULT_LEADER_LEASE_FRACTION: f64 = 0.4;

/// Values of the operators' properties; a property that is not set has its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Properties {
    /// Time to live of a controller's leader lease without a renewal.
    pub leader_lease_ttl: Span,
    /// Interval at which the leadership records of all shards are polled.
    pub leadership_poll_interval: Span,
    /// Time after which an idle machine is deleted.
    pub idle_machine_timeout: Span,
    /// Ratio of the service replicas for which the fleet should have room to those of the submitted services; 1 means
    /// no spare room.
    pub headroom: f64,
    /// Time for which a task may be skipped in the queue before it reserves the next machine with enough room.
    pub skip_limit: Span,
    /// Interval at which the progress of jobs is recorded.
    pub progress_interval: Span,
    /// Number of shards over which the teams are distributed.
    pub team_shards: u32,
    /// Maximum number of ended jobs kept in memory; the oldest are evicted first.
    pub ended_jobs_kept: usize,
    /// Properties of run time learning and finish time forecasts.
    pub forecast: ForecastProperties,
    /// Properties of the recovery after a failover.
    pub recovery: RecoveryProperties,
    /// Properties of early failover.
    pub standby: StandbyProperties,
}

/// Properties of leadership, the fleet, the queue, records and shards.
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct GeneralProperties {
    /// If `None`, the time to live is derived from the worker lease.
    #[serde(rename = "claim.life.ms", deserialize_with = "optional_milliseconds::<1000, 60_000, _>")]
    leader_lease_ttl: Option<Span>,
    #[serde(rename = "claim.watch.ms", deserialize_with = "milliseconds::<100, 10_000, _>")]
    leadership_poll_interval: Span,
    #[serde(rename = "fleet.give-back.ms", deserialize_with = "milliseconds::<0, 3_600_000, _>")]
    idle_machine_timeout: Span,
    #[serde(rename = "fleet.headroom", deserialize_with = "factor::<1, 10, _>")]
    headroom: f64,
    #[serde(rename = "queue.skip-limit.ms", deserialize_with = "milliseconds::<1000, 3_600_000, _>")]
    skip_limit: Span,
    #[serde(rename = "records.round.ms", deserialize_with = "milliseconds::<100, 60_000, _>")]
    progress_interval: Span,
    #[serde(rename = "records.ended-kept", deserialize_with = "count_up_to::<1_000_000, _>")]
    ended_jobs_kept: usize,
    #[serde(rename = "shards.for-teams", deserialize_with = "shard_count::<1, 1000, _>")]
    team_shards: u32,
}

impl Default for GeneralProperties {
    fn default() -> GeneralProperties {
        GeneralProperties {
            leader_lease_ttl: None,
            leadership_poll_interval: Span::millis(400),
            idle_machine_timeout: Span::millis(15_000),
            headroom: 1.25,
            skip_limit: Span::millis(60_000),
            progress_interval: Span::millis(1000),
            ended_jobs_kept: 2000,
            team_shards: 1,
        }
    }
}

/// Properties of run time learning and finish time forecasts (`forecast.*`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ForecastProperties {
    /// `true` if run times are learned and finish times are forecast.
    #[serde(rename = "forecast.enabled", deserialize_with = "boolean")]
    pub enabled: bool,
    /// `true` if the queue and the fleet use the learned run times; if `false`, only users see the forecasts.
    #[serde(rename = "forecast.plans", deserialize_with = "boolean")]
    pub used_for_planning: bool,
    /// Minimum interval between two saved snapshots of the learned run times.
    #[serde(rename = "forecast.snapshot.ms", deserialize_with = "milliseconds::<5000, 3_600_000, _>")]
    pub snapshot_interval: Span,
    /// Maximum memory for the learned run times, in bytes.
    #[serde(rename = "forecast.memory.kib", deserialize_with = "kibibytes::<16, 16_384, _>")]
    pub max_memory_bytes: usize,
    /// Time after which the weight of a sample has halved.
    #[serde(rename = "forecast.half-life.s", deserialize_with = "seconds::<60, 31_536_000, _>")]
    pub half_life: Span,
    /// Job classes whose samples are discarded.
    #[serde(rename = "forecast.forget", deserialize_with = "names")]
    pub forget: Vec<Name>,
}

impl Default for ForecastProperties {
    fn default() -> ForecastProperties {
        ForecastProperties {
            enabled: false,
            used_for_planning: false,
            snapshot_interval: Span::millis(30_000),
            max_memory_bytes: 64 * 1024,
            half_life: Span::millis(7_200_000),
            forget: Vec::new(),
        }
    }
}

/// Properties of the recovery after a failover (`recovery.*`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecoveryProperties {
    /// `true` if a restarted controller reacquires the shards that it led before at once, instead of waiting for its
    /// former node lease to expire.
    #[serde(rename = "recovery.reclaim", deserialize_with = "boolean")]
    pub reacquire_own: bool,
    /// `true` if task starts are allowed separately for each job, team and zone as reconciliation proceeds, instead of
    /// only when every machine is reconciled.
    #[serde(rename = "recovery.piecewise", deserialize_with = "boolean")]
    pub piecewise: bool,
    /// Maximum number of machines queried for their tasks at the same time.
    #[serde(rename = "recovery.asks", deserialize_with = "count::<1, 1000, _>")]
    pub max_queries: usize,
    /// `true` if tasks are started without a leader lease for as long as worker leases are renewed.
    #[serde(rename = "recovery.hold-on", deserialize_with = "boolean")]
    pub start_without_lease: bool,
}

impl Default for RecoveryProperties {
    fn default() -> RecoveryProperties {
        RecoveryProperties { reacquire_own: false, piecewise: false, max_queries: 64, start_without_lease: false }
    }
}

/// Properties of early failover (`standby.*`): replacing a failed leader before its node lease has expired.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandbyProperties {
    /// `true` if a failed leader is replaced early.
    #[serde(rename = "standby.enabled", deserialize_with = "boolean")]
    pub enabled: bool,
    /// Time for which a leader serves reads from memory after its last successful leadership check.
    #[serde(rename = "standby.tells.ms", deserialize_with = "milliseconds::<500, 60_000, _>")]
    pub read_window: Span,
    /// Minimum time without a sign of life after which a leader is considered failed.
    #[serde(rename = "standby.patience.ms", deserialize_with = "milliseconds::<1000, 60_000, _>")]
    pub leader_timeout: Span,
    /// Interval at which the first candidate for a shard updates its replica of the records; 0 disables the replica.
    #[serde(rename = "standby.follow.ms", deserialize_with = "milliseconds::<0, 60_000, _>")]
    pub replica_interval: Span,
    /// Maximum number of replicated records of each kind.
    #[serde(rename = "standby.follow.most", deserialize_with = "count::<100, 1_000_000, _>")]
    pub max_replicated: usize,
}

impl Default for StandbyProperties {
    fn default() -> StandbyProperties {
        StandbyProperties {
            enabled: false,
            read_window: Span::millis(2000),
            leader_timeout: Span::millis(1300),
            replica_interval: Span::millis(1000),
            max_replicated: 50_000,
        }
    }
}

impl Properties {
    /// Reads the operators' properties. Of several errors, the one for the first key in alphabetical order is returned.
    pub(super) fn read(table: &PropertyTable, worker_lease: Span) -> Result<Properties, ConfigError> {
        let mut errors = Vec::new();
        let general: GeneralProperties = table.read_group(PropertyGroup::General, &mut errors);
        let forecast: ForecastProperties = table.read_group(PropertyGroup::Forecast, &mut errors);
        let recovery: RecoveryProperties = table.read_group(PropertyGroup::Recovery, &mut errors);
        let standby: StandbyProperties = table.read_group(PropertyGroup::Standby, &mut errors);
        if let Some(first) = errors.into_iter().min_by(|a, b| a.key.cmp(&b.key)) {
            return Err(first.into());
        }
        let default_ttl = worker_lease.times(DEFAULT_LEADER_LEASE_FRACTION);
        let properties = Properties {
            leader_lease_ttl: general.leader_lease_ttl.unwrap_or(default_ttl),
            leadership_poll_interval: general.leadership_poll_interval,
            idle_machine_timeout: general.idle_machine_timeout,
            headroom: general.headroom,
            skip_limit: general.skip_limit,
            progress_interval: general.progress_interval,
            team_shards: general.team_shards,
            ended_jobs_kept: general.ended_jobs_kept,
            forecast,
            recovery,
            standby,
        };
        properties.check_contradictions()?;
        Ok(properties)
    }

    fn check_contradictions(&self) -> Result<(), ConfigError> {
        if self.forecast.used_for_planning && !self.forecast.enabled {
            let conflict = "needs forecast.enabled = true";
            return Err(ConfigError::Contradiction { key: "forecast.plans", conflict });
        }
        if self.standby.enabled && self.standby.read_window > self.leader_lease_ttl {
            let conflict = "longer than a claim lives (claim.life.ms)";
            return Err(ConfigError::Contradiction { key: "standby.tells.ms", conflict });
        }
        Ok(())
    }
}
