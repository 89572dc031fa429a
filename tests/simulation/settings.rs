//! Settings of the simulated controllers: the platform's settings file and the operators' properties.

use super::CONTROLLERS;
use super::safeguards::DisabledSafeguard;
use crowstall::config::Settings;

/// Settings file of the platform, with the placeholders `LABEL`, `FRONT` and `PEERS`.
const PLATFORM_FILE: &str = r#"
label = "LABEL"
area = "east"
front = "FRONT"
peer_bind = "10.0.0.1:8081"
PEERS
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
size = 3
zones = ["east", "west"]
time_bound_ms = 25.0
something_new = true
[[facts.teams]]
name = "limited"
cpus = 8.0
cpus_max = 16.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "free"
[[facts.teams]]
name = "guest"
[[facts.objectives]]
kind = "finished"
class = "batch"
within_s = 60.0
share = 0.9
[facts.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 30.0
[facts.state]
rps = 120.0
write_rps = 30.0
value_kb = 4.0
txn_ops = 8
[facts.state.next]
value_kb = 2.0
txn_ops = 4
[facts.cloud]
rps = 6.0
list_lag_s = 5.0
[facts.machine_limits]
core_share = 0.2
memory_mb = 40.0
max_sockets = 700
"#;

/// Returns the platform's settings file for a controller that listens for clients at the address `front`.
pub fn platform_file(label: &str, front: &str) -> String {
    let others = (0..CONTROLLERS).map(|node| (node, controller_label(node))).filter(|(_, other)| other != label);
    let peers = others.map(|(node, other)| {
        format!("[[peers]]\nlabel = \"{other}\"\narea = \"east\"\npeer_addr = \"10.0.0.{node}:8081\"\n")
    });
    PLATFORM_FILE.replace("LABEL", label).replace("FRONT", front).replace("PEERS", &peers.collect::<String>())
}

/// Returns the label of a controller.
pub fn controller_label(node: usize) -> String {
    format!("perch-{node}")
}

/// Returns the settings of a controller, with `properties` in addition to those of the deployment.
pub fn controller_settings(node: usize, disabled: DisabledSafeguard, one_shard: bool, properties: &str) -> Settings {
    let text = platform_file(&controller_label(node), &format!("10.0.0.{}:8080", node + 1));
    let text = match disabled {
        DisabledSafeguard::WorkerLeaseDuration => text.replace("lease_s = 10.0", "lease_s = 1.0"),
        DisabledSafeguard::CancellationBound => text.replace("cancel_s = 30.0", "cancel_s = 120.0"),
        DisabledSafeguard::CpuQuotas => text.replace("cpus_max = 16.0", "cpus_max = 0.0"),
        _ => text,
    };
    parse_settings(&text, one_shard, properties)
}

/// Parses a settings file together with the properties of the deployment and additional ones.
pub fn parse_settings(text: &str, one_shard: bool, properties: &str) -> Settings {
    let shards = if one_shard { 1 } else { 3 };
    let recovery = include_str!("../../deploy/recovery.properties");
    let standby = include_str!("../../deploy/standby.properties");
    // The node lease is set explicitly because its default is derived from the worker lease, which a test may shorten.
    // If a key occurs more than once, the last value applies.
    let all_properties = format!("claim.life.ms=4000\nshards.for-teams={shards}\n{recovery}\n{standby}\n{properties}");
    Settings::parse(text, Some(&all_properties)).expect("the test's settings are valid")
}
