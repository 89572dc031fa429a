//! Validated settings of a controller.

use super::platform_file::PlatformFile;
use super::property_table::PropertyTable;
use super::{ConfigError, Properties};
use crate::model::{Name, NodeIndex, NodeLabel, Quantity};
use crate::time::Span;
use crowstall_leadership::CancellationBounds;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Guaranteed resources and quotas of a team. A quota of `None` means that the use is not limited.
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    /// Guaranteed number of CPUs.
    pub cpus: Quantity,
    /// Guaranteed number of GPUs.
    pub gpus: Quantity,
    /// Quota of CPUs.
    pub cpus_max: Option<Quantity>,
    /// Quota of GPUs.
    pub gpus_max: Option<Quantity>,
}

impl TeamLimits {
    /// Returns `true` if the team has a quota for any resource.
    pub fn is_limited(&self) -> bool {
        self.cpus_max.is_some() || self.gpus_max.is_some()
    }
}

/// Configuration of a controller: the validated settings of the platform and the operators' properties.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Label of this controller.
    pub label: NodeLabel,
    /// Zone of this controller.
    pub zone: Name,
    /// Address at which this controller listens for users and workers.
    pub client_addr: SocketAddrV4,
    /// Address at which this controller listens for its peers.
    pub peer_bind: SocketAddrV4,
    /// Labels of all controllers, this one included, in ascending order.
    pub nodes: Vec<NodeLabel>,
    /// Index of this controller in `nodes`.
    pub own_index: NodeIndex,
    /// Zone of each controller.
    pub node_zones: BTreeMap<NodeLabel, Name>,
    /// Labels and peer addresses of the other controllers.
    pub peers: Vec<(NodeLabel, SocketAddrV4)>,
    /// Address of the cloud service.
    pub cloud_addr: SocketAddrV4,
    /// Address of the state service.
    pub state_addr: SocketAddrV4,
    /// Number of shards.
    pub shards: u32,
    /// Guaranteed resources and quotas of the teams.
    pub teams: BTreeMap<Name, TeamLimits>,
    /// Objectives for the time in which a job should finish once it is ready to start, by job class; the strictest
    /// first.
    pub finish_within: BTreeMap<Name, Vec<Span>>,
    /// Strictest objective for the time in which the tasks of a job should start once it is ready, by job class.
    pub start_within: BTreeMap<Name, Span>,
    /// Interval between the heartbeats of a worker.
    pub heartbeat_interval: Span,
    /// Duration of a worker lease.
    pub worker_lease: Span,
    /// Bounds on the time for which tasks of a cancelled job may continue to run.
    pub cancellation: CancellationBounds,
    /// Rate limit of the state service in requests per second; the stricter of the current and the announced limit.
    pub state_rps: f64,
    /// Rate limit of the state service in writes per second; the stricter of the current and the announced limit.
    pub state_write_rps: f64,
    /// Current rate limit of the state service in writes per second, before the announced limit comes into force.
    pub current_state_write_rps: f64,
    /// Maximum size of a value at the state service, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of changes in a transaction of the state service.
    pub max_txn_changes: usize,
    /// Rate limit of the cloud service in requests per second.
    pub cloud_rps: f64,
    /// Maximum time by which the cloud's list of machines lags behind.
    pub cloud_list_lag: Span,
    /// Maximum number of sockets that this process may have open.
    pub max_sockets: usize,
    /// Digest of the quotas of all teams; equal at two controllers if and only if their quotas are the same.
    pub quotas_digest: String,
    /// Factor by job class, at least 1, by which the time to the deadline of a job is multiplied to get the time until
    /// which its result is still of use. Classes without such an objective have no entry.
    pub late_factors: Arc<BTreeMap<Name, f64>>,
    /// The operators' properties.
    pub properties: Properties,
}

impl Settings {
    /// Returns the number of shards that accept jobs of teams. The shards with the lowest numbers are used.
    pub fn team_shards(&self) -> u32 {
        self.properties.team_shards.min(self.shards)
    }

    /// Reads and validates the platform's settings file and any number of properties files.
    pub fn load(path: &Path, properties: &[PathBuf]) -> Result<Settings, ConfigError> {
        let table = load_properties(properties)?;
        let text = read_file(path)?;
        Settings::from_texts(&text, &table).map_err(|error| error.in_file(path))
    }

    /// Reads and validates settings and properties from the contents of their files.
    pub fn parse(text: &str, properties: Option<&str>) -> Result<Settings, ConfigError> {
        let table = properties.map(PropertyTable::parse).transpose()?.unwrap_or_default();
        Settings::from_texts(text, &table)
    }

    fn from_texts(text: &str, table: &PropertyTable) -> Result<Settings, ConfigError> {
        PlatformFile::parse(text)?.validate(table)
    }
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|reason| ConfigError::Unreadable { file: path.to_path_buf(), reason })
}

fn load_properties(files: &[PathBuf]) -> Result<PropertyTable, ConfigError> {
    let mut table = PropertyTable::default();
    for file in files {
        let text = read_file(file)?;
        let merged = PropertyTable::parse(&text).and_then(|properties| table.merge(properties));
        merged.map_err(|error| error.in_file(file))?;
    }
    Ok(table)
}
