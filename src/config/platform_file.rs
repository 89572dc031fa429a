//! Schema of the platform's settings file. Field names are the keys of the file; unknown keys are ignored. The structs
//! are named after the tables of the file, since error messages of the TOML parser contain their names.

use super::ConfigError;
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Top level of the settings file.
#[derive(Deserialize)]
pub(super) struct PlatformFile {
    /// Label of this controller.
    pub label: String,
    /// Zone of this controller.
    pub area: String,
    /// Address at which this controller listens for users and workers.
    pub front: SocketAddrV4,
    /// Address at which this controller listens for its peers.
    pub peer_bind: SocketAddrV4,
    #[serde(default)]
    pub peers: Vec<PeerEntry>,
    pub services: Services,
    pub facts: Facts,
}

/// Entry for another controller.
#[derive(Deserialize)]
pub(super) struct PeerEntry {
    pub label: String,
    #[serde(default)]
    pub area: String,
    pub peer_addr: SocketAddrV4,
}

/// Addresses of the services that a controller uses.
#[derive(Deserialize)]
pub(super) struct Services {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

/// Guarantees and requirements of the platform.
#[derive(Deserialize)]
pub(super) struct Facts {
    /// Number of shards.
    pub size: u32,
    #[serde(default)]
    pub teams: Vec<TeamEntry>,
    #[serde(default)]
    pub objectives: Vec<ObjectiveEntry>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub machine_limits: Limits,
}

/// Guarantees (`cpus`, `gpus`) and quotas (`cpus_max`, `gpus_max`) of a team; a quota of 0 means no quota.
#[derive(Deserialize)]
pub(super) struct TeamEntry {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// Service-level objective.
#[derive(Deserialize)]
pub(super) struct ObjectiveEntry {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

/// Time limits of the worker protocol.
#[derive(Deserialize)]
pub(super) struct Workers {
    /// Interval between worker heartbeats in seconds.
    pub report_s: f64,
    /// Duration of a worker lease in seconds.
    pub lease_s: f64,
    /// Time in seconds within which the tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Deserialize)]
pub(super) struct State {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: u32,
    /// Announced limits, which come into force at an unknown time and without notice.
    #[serde(default)]
    pub next: NextState,
}

/// Announced limits of the state service; `None` means that the current limit stays in force.
#[derive(Deserialize, Default)]
pub(super) struct NextState {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<u32>,
}

/// Limits of the cloud service.
#[derive(Deserialize)]
pub(super) struct Cloud {
    pub rps: f64,
    /// Maximum time in seconds by which the list of machines lags behind.
    pub list_lag_s: f64,
}

/// Limits of the host on which this controller runs.
#[derive(Deserialize)]
pub(super) struct Limits {
    /// Maximum number of open sockets.
    pub max_sockets: u32,
}

impl PlatformFile {
    /// Parses the text of the settings file.
    pub fn parse(text: &str) -> Result<PlatformFile, ConfigError> {
        toml::from_str(text).map_err(|error| ConfigError::Toml {
            line: error.span().map_or(1, |span| line_number(text, span.start)),
            message: error.message().replace('\n', " "),
        })
    }
}

/// Returns the number, from 1, of the line that contains the byte at `offset`.
fn line_number(text: &str, offset: usize) -> usize {
    text[..offset].matches('\n').count() + 1
}
