//! Validation of the platform's settings file and its conversion to [`Settings`].

use super::platform_file::{Facts, ObjectiveEntry, PlatformFile, State, TeamEntry, Workers};
use super::property_table::PropertyTable;
use super::{ConfigError, Properties, Settings, TeamLimits};
use crate::model::{Name, NodeIndex, NodeLabel, Quantity};
use crate::time::Span;
use crowstall_leadership::CancellationBounds;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Minimum number of changes that a transaction must be able to contain: the end of a job deletes its `live` key and
/// writes its `end` key, acquiring leadership also writes `shard/last`, and accepting a job for another shard also
/// writes a hand-off record.
const MIN_TRANSACTION_CHANGES: u32 = 2;
/// Lower bound of the maximum size of a value in KiB: the record of a small job takes as much, and so may other records
/// whose size is not bounded otherwise.
const MIN_VALUE_KB: f64 = 1.0;
const BYTES_PER_KB: f64 = 1024.0;
const MAX_SHARDS: u32 = 1000;
/// Minimum number of sockets; fewer do not suffice for the services, the peers and the users together.
const MIN_SOCKETS: u32 = 32;
/// Number of bytes of the SHA-256 digest of the team quotas that are kept.
const QUOTAS_DIGEST_BYTES: usize = 16;

impl PlatformFile {
    /// Validates the file and the properties and converts them to settings.
    pub(super) fn validate(self, properties: &PropertyTable) -> Result<Settings, ConfigError> {
        let facts = &self.facts;
        let DerivedFacts { cancellation, state } = facts.check()?;
        let cluster = Cluster::of(&self)?;
        let teams = teams_by_name(&facts.teams)?;
        let objectives = Objectives::collect(&facts.objectives);
        let properties = Properties::read(properties, cancellation.worker_lease)?;
        Ok(Settings {
            label: NodeLabel::new(&self.label),
            zone: Name::new(&self.area),
            client_addr: self.front,
            peer_bind: self.peer_bind,
            nodes: cluster.nodes,
            own_index: cluster.own_index,
            node_zones: cluster.zones,
            peers: cluster.peers,
            cloud_addr: self.services.cloud,
            state_addr: self.services.state,
            shards: facts.size,
            quotas_digest: digest_of_quotas(&teams),
            teams,
            finish_within: objectives.finish_within,
            start_within: objectives.start_within,
            late_factors: Arc::new(objectives.late_factors),
            heartbeat_interval: Span::secs(facts.workers.report_s),
            worker_lease: cancellation.worker_lease,
            cancellation,
            state_rps: state.rps,
            state_write_rps: state.write_rps,
            current_state_write_rps: facts.state.write_rps,
            max_value_bytes: (state.value_kb * BYTES_PER_KB) as usize,
            max_txn_changes: state.txn_ops as usize,
            cloud_rps: facts.cloud.rps,
            cloud_list_lag: Span::secs(facts.cloud.list_lag_s),
            max_sockets: facts.machine_limits.max_sockets as usize,
            properties,
        })
    }
}

/// All controllers of the cluster, as listed in the settings file.
struct Cluster {
    /// Labels of all controllers in ascending order.
    nodes: Vec<NodeLabel>,
    own_index: NodeIndex,
    zones: BTreeMap<NodeLabel, Name>,
    peers: Vec<(NodeLabel, SocketAddrV4)>,
}

impl Cluster {
    fn of(file: &PlatformFile) -> Result<Cluster, ConfigError> {
        let label = NodeLabel::new(&file.label);
        let peer_zones = file.peers.iter().map(|peer| (NodeLabel::new(&peer.label), Name::new(&peer.area)));
        let zones: BTreeMap<_, _> = peer_zones.chain([(label.clone(), Name::new(&file.area))]).collect();
        // Controllers with the same label share an entry of `zones`.
        let has_duplicates = zones.len() < file.peers.len() + 1;
        if has_duplicates {
            return Err(ConfigError::invalid_field("peers", "a label is used twice"));
        }
        let nodes: Vec<NodeLabel> = zones.keys().cloned().collect();
        let position = nodes.iter().position(|node| *node == label).unwrap_or(0);
        let peers = file.peers.iter().map(|peer| (NodeLabel::new(&peer.label), peer.peer_addr));
        Ok(Cluster { own_index: NodeIndex(position as u32), peers: peers.collect(), nodes, zones })
    }
}

/// Values that the validation of [`Facts`] derives.
struct DerivedFacts {
    cancellation: CancellationBounds,
    state: EffectiveStateLimits,
}

impl Facts {
    fn check(&self) -> Result<DerivedFacts, ConfigError> {
        self.check_positive_numbers()?;
        let cancellation = self.workers.cancellation()?;
        check_not_negative("facts.cloud.list_lag_s", self.cloud.list_lag_s)?;
        let state = self.state.validate()?;
        self.check_sizes()?;
        Ok(DerivedFacts { cancellation, state })
    }

    fn check_positive_numbers(&self) -> Result<(), ConfigError> {
        check_positive("facts.workers.report_s", self.workers.report_s)?;
        check_positive("facts.workers.lease_s", self.workers.lease_s)?;
        check_positive("facts.workers.cancel_s", self.workers.cancel_s)?;
        check_positive("facts.state.rps", self.state.rps)?;
        check_positive("facts.state.write_rps", self.state.write_rps)?;
        check_positive("facts.state.value_kb", self.state.value_kb)?;
        check_positive("facts.cloud.rps", self.cloud.rps)
    }

    fn check_sizes(&self) -> Result<(), ConfigError> {
        if !(1..=MAX_SHARDS).contains(&self.size) {
            return Err(ConfigError::invalid_field("facts.size", format!("not a number from 1 to {MAX_SHARDS}")));
        }
        if self.machine_limits.max_sockets < MIN_SOCKETS {
            let problem = format!("must be at least {MIN_SOCKETS}");
            return Err(ConfigError::invalid_field("facts.machine_limits.max_sockets", problem));
        }
        Ok(())
    }
}

impl Workers {
    fn cancellation(&self) -> Result<CancellationBounds, ConfigError> {
        let worker_lease = Span::secs(self.lease_s);
        let cancellation = CancellationBounds { worker_lease, max_duration: Span::secs(self.cancel_s) };
        if !cancellation.is_feasible() {
            // A task on a machine that cannot be reached stops only when the machine's lease expires.
            let problem = "must be longer than facts.workers.lease_s by more than 2 s";
            return Err(ConfigError::invalid_field("facts.workers.cancel_s", problem));
        }
        Ok(cancellation)
    }
}

/// Limits of the state service that a controller observes from its first request on: the stricter of the current and
/// the announced limit.
struct EffectiveStateLimits {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: u32,
}

impl State {
    fn validate(&self) -> Result<EffectiveStateLimits, ConfigError> {
        let next = &self.next;
        check_positive_if_set("facts.state.next.rps", next.rps)?;
        check_positive_if_set("facts.state.next.write_rps", next.write_rps)?;
        check_positive_if_set("facts.state.next.value_kb", next.value_kb)?;
        check_transaction_changes("facts.state.txn_ops", self.txn_ops)?;
        let next_txn_ops = next.txn_ops.unwrap_or(u32::MAX);
        check_transaction_changes("facts.state.next.txn_ops", next_txn_ops)?;
        let value_kb = stricter(self.value_kb, next.value_kb);
        if value_kb < MIN_VALUE_KB {
            let is_announced = value_kb < self.value_kb;
            let field = if is_announced { "facts.state.next.value_kb" } else { "facts.state.value_kb" };
            return Err(ConfigError::invalid_field(field, format!("must be at least {MIN_VALUE_KB}")));
        }
        Ok(EffectiveStateLimits {
            rps: stricter(self.rps, next.rps),
            write_rps: stricter(self.write_rps, next.write_rps),
            value_kb,
            txn_ops: self.txn_ops.min(next_txn_ops),
        })
    }
}

fn stricter(current: f64, announced: Option<f64>) -> f64 {
    announced.map_or(current, |announced| announced.min(current))
}

fn check_positive(field: &str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(ConfigError::invalid_field(field, format!("{value} is not a positive number")))
    }
}

fn check_positive_if_set(field: &str, value: Option<f64>) -> Result<(), ConfigError> {
    value.map_or(Ok(()), |value| check_positive(field, value))
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn check_not_negative(field: &str, value: f64) -> Result<(), ConfigError> {
    if is_not_negative(value) {
        Ok(())
    } else {
        Err(ConfigError::invalid_field(field, "must be a number of at least 0"))
    }
}

fn check_transaction_changes(field: &str, changes: u32) -> Result<(), ConfigError> {
    if changes >= MIN_TRANSACTION_CHANGES {
        Ok(())
    } else {
        Err(ConfigError::invalid_field(field, format!("must be at least {MIN_TRANSACTION_CHANGES}")))
    }
}

/// Returns the guaranteed resources and quotas of the teams by name. Of several entries for a team, the last one takes
/// effect.
fn teams_by_name(entries: &[TeamEntry]) -> Result<BTreeMap<Name, TeamLimits>, ConfigError> {
    let limits = |entry: &TeamEntry| entry.validate().map(|limits| (Name::new(&entry.name), limits));
    entries.iter().map(limits).collect()
}

impl TeamEntry {
    fn validate(&self) -> Result<TeamLimits, ConfigError> {
        let fields =
            [("cpus", self.cpus), ("cpus_max", self.cpus_max), ("gpus", self.gpus), ("gpus_max", self.gpus_max)];
        if let Some((field, value)) = fields.into_iter().find(|(_, value)| !is_not_negative(*value)) {
            let problem = format!("{value} is not a number of at least 0");
            return Err(ConfigError::invalid_field(format!("facts.teams.{field}"), problem));
        }
        let quota = |value: f64| (value > 0.0).then(|| Quantity::new(value));
        Ok(TeamLimits {
            cpus: Quantity::new(self.cpus),
            gpus: Quantity::new(self.gpus),
            cpus_max: quota(self.cpus_max),
            gpus_max: quota(self.gpus_max),
        })
    }
}

/// Returns a digest of the team quotas that does not depend on the order of the entries in the file.
fn digest_of_quotas(teams: &BTreeMap<Name, TeamLimits>) -> String {
    let bytes_of = |quota: Option<Quantity>| quota.map_or(u64::MAX, |quantity| quantity.0).to_be_bytes();
    let mut hasher = Sha256::new();
    for (name, limits) in teams {
        hasher.update((name.as_str().len() as u64).to_be_bytes());
        hasher.update(name.as_str());
        hasher.update(bytes_of(limits.cpus_max));
        hasher.update(bytes_of(limits.gpus_max));
    }
    hasher.finalize().iter().take(QUOTAS_DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect()
}

/// Service-level objectives by job class.
#[derive(Default)]
struct Objectives {
    finish_within: BTreeMap<Name, Vec<Span>>,
    start_within: BTreeMap<Name, Span>,
    late_factors: BTreeMap<Name, f64>,
}

impl Objectives {
    /// Collects the objectives that name a job class; objectives without a class do not concern the scheduler.
    fn collect(entries: &[ObjectiveEntry]) -> Objectives {
        let mut objectives = Objectives::default();
        for entry in entries {
            if let Some(class) = &entry.class {
                objectives.add(Name::new(class), entry);
            }
        }
        objectives.finish_within.values_mut().for_each(|times| times.sort());
        objectives
    }

    fn add(&mut self, class: Name, entry: &ObjectiveEntry) {
        let within = entry.within_s.map(Span::secs);
        match (entry.kind.as_str(), within, entry.times) {
            ("finished", Some(within), _) => self.finish_within.entry(class).or_default().push(within),
            ("wait", Some(within), _) => {
                let strictest = self.start_within.entry(class).or_insert(within);
                *strictest = within.min(*strictest);
            }
            ("deadline", _, Some(times)) => {
                let largest = self.late_factors.entry(class).or_insert(1.0);
                *largest = largest.max(times);
            }
            _ => {}
        }
    }
}
