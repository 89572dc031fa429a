//! Parsing and validation of the settings file and of the properties files of the operators.

use crowstall::config::{ConfigError, ForecastProperties, Properties, RecoveryProperties, Settings, StandbyProperties};
use crowstall::model::{Name, NodeIndex};
use crowstall::time::Span;
use std::path::PathBuf;

/// A valid settings file.
const SETTINGS: &str = r#"
label = "perch-1"
area = "a"
front = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
new_field = { x = 1 }
[[peers]]
label = "perch-0"
area = "b"
peer_addr = "127.0.0.1:3"
[services]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[facts]
size = 2
zones = ["a", "b"]
time_bound_ms = 25.0
[[facts.teams]]
name = "t"
cpus = 4.0
cpus_max = 0.0
[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[facts.state]
rps = 10.0
write_rps = 10.0
value_kb = 4.0
txn_ops = 8
[facts.cloud]
rps = 5.0
list_lag_s = 8.0
[facts.machine_limits]
max_sockets = 100
"#;

/// Parses the settings file with one part of its text replaced.
fn with_replaced(from: &str, to: &str) -> Result<Settings, ConfigError> {
    Settings::parse(&SETTINGS.replacen(from, to, 1), None)
}

/// Parses the settings file with announced next limits of the state service.
fn with_announced_limits(fields: &str) -> Result<Settings, ConfigError> {
    with_replaced("[facts.cloud]", &format!("[facts.state.next]\n{fields}\n[facts.cloud]"))
}

/// Returns the properties that a properties file sets, with defaults for all others.
fn properties(text: &str) -> Result<Properties, ConfigError> {
    Settings::parse(SETTINGS, Some(text)).map(|settings| settings.properties)
}

/// Returns the error message for an invalid properties file.
fn properties_error(text: &str) -> String {
    properties(text).unwrap_err().to_string()
}

#[test]
fn settings_are_validated() {
    let settings = Settings::parse(SETTINGS, None).unwrap();
    assert_eq!((settings.own_index, settings.nodes.len()), (NodeIndex(1), 2));
    assert!(!settings.teams[&Name::new("t")].is_limited(), "cpus_max = 0 means no quota");
    let broken = [
        ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
        ("cancel_s = 30.0", "cancel_s = 12.0", "facts.workers.cancel_s: must be longer than facts.workers.lease_s"),
        ("lease_s = 10.0", "lease_s = \"ten\"", "line"),
        ("txn_ops = 8", "txn_ops = 1", "txn_ops"),
        ("front = \"127.0.0.1:1\"", "front = \"nowhere\"", "line 4"),
        ("size = 2", "", "size"),
        ("label = \"perch-0\"", "label = \"perch-1\"", "twice"),
        ("cpus = 4.0", "cpus = nan", "cpus"),
    ];
    for (from, to, part) in broken {
        let error = with_replaced(from, to).unwrap_err().to_string();
        assert!(error.contains(part) && !error.contains('\n'), "{to}: {error}");
    }
}

/// Announced next limits of the state service that are stricter than the present ones apply at once, field by field.
/// The announced rate of writes applies only after a write was refused.
#[test]
fn announced_limits_of_the_state_service_apply_at_once() {
    let stricter = with_announced_limits("txn_ops = 4\nvalue_kb = 1.5\nwrite_rps = 5.0").unwrap();
    assert_eq!((stricter.max_txn_changes, stricter.max_value_bytes, stricter.state_write_rps), (4, 1536, 5.0));
    assert!(stricter.current_state_write_rps > 5.0);
    assert_eq!(with_announced_limits("txn_ops = 1000").unwrap().max_txn_changes, 8);
    for (fields, part) in
        [("txn_ops = 1", "next.txn_ops"), ("value_kb = 0.5", "next.value_kb"), ("rps = -1.0", "next.rps")]
    {
        let error = with_announced_limits(fields).unwrap_err().to_string();
        assert!(error.contains(part) && !error.contains('\n'), "{fields}: {error}");
    }
}

#[test]
fn general_properties_are_validated() {
    assert_eq!(properties("# a comment\nfleet.headroom: 1.5\n").unwrap().headroom, 1.5);
    assert_eq!(properties("claim.life.ms = 5000").unwrap().leader_lease_ttl.as_millis(), 5000);
    assert!(properties_error("fleet.hedroom=1.5").contains("no such property"));
    assert!(properties_error("fleet.headroom=0.5").contains("from 1 to 10"));
    assert!(properties_error("claim.life.ms=soon").contains("claim.life.ms"));
}

#[test]
fn forecast_properties_are_validated() {
    let forecast = properties(include_str!("../deploy/forecast.properties")).unwrap().forecast;
    assert!(forecast.enabled && !forecast.used_for_planning && forecast.forget.is_empty());
    let forget = properties("forecast.forget = batch, front ,").unwrap().forecast.forget;
    assert_eq!(forget, [Name::new("batch"), Name::new("front")]);
    for bad in ["forecast.enabled=yes", "forecast.plans=true", "forecast.memory.kib=8", "forecast.half-life.s=1"] {
        let key = bad.split('=').next().unwrap();
        assert!(properties_error(bad).contains(key), "{bad}");
    }
}

#[test]
fn standby_properties_are_validated() {
    let standby = properties(include_str!("../deploy/standby.properties")).unwrap().standby;
    assert!(standby.enabled && standby.read_window.as_millis() == 2000 && standby.leader_timeout.as_millis() == 1300);
    let long = "standby.enabled = true\nclaim.life.ms = 3000\nstandby.tells.ms = 3001";
    for bad in ["standby.enabled=on", "standby.tells.ms=1", "standby.patience.ms=999", "standby.follow.most=9", long] {
        let key = bad.lines().last().and_then(|line| line.split(['=', ' ']).next()).unwrap();
        assert!(properties_error(bad).contains(key), "{bad}");
    }
}

/// Each property takes effect, both ends of its range are accepted, and values that are out of range or not numbers are
/// rejected.
#[test]
fn every_property_has_a_range() {
    let ranges = [
        ("claim.life.ms", "1000", "60000", "a whole number of milliseconds from 1000 to 60000"),
        ("claim.watch.ms", "100", "10000", "a whole number of milliseconds from 100 to 10000"),
        ("fleet.give-back.ms", "0", "3600000", "a whole number of milliseconds from 0 to 3600000"),
        ("fleet.headroom", "1", "10.0", "a number from 1 to 10"),
        ("queue.skip-limit.ms", "1000", "3600000", "a whole number of milliseconds from 1000 to 3600000"),
        ("records.round.ms", "100", "60000", "a whole number of milliseconds from 100 to 60000"),
        ("records.ended-kept", "0", "1000000", "a whole number up to 1000000"),
        ("shards.for-teams", "2", "1000", "a whole number from 1 to 1000"),
        ("forecast.snapshot.ms", "5000", "3600000", "a whole number of milliseconds from 5000 to 3600000"),
        ("forecast.memory.kib", "16", "16384", "a whole number of KiB from 16 to 16384"),
        ("forecast.half-life.s", "60", "31536000", "a whole number of seconds from 60 to 31536000"),
        ("recovery.asks", "1", "1000", "a whole number from 1 to 1000"),
        ("standby.tells.ms", "500", "60000", "a whole number of milliseconds from 500 to 60000"),
        ("standby.patience.ms", "1000", "60000", "a whole number of milliseconds from 1000 to 60000"),
        ("standby.follow.ms", "0", "60000", "a whole number of milliseconds from 0 to 60000"),
        ("standby.follow.most", "100", "1000000", "a whole number from 100 to 1000000"),
    ];
    let defaults = properties("").unwrap();
    for (key, min, max, expected) in ranges {
        for value in [min, max] {
            let set = properties(&format!("{key} = {value}")).unwrap();
            assert_ne!(set, defaults, "{key} = {value}");
        }
        for value in ["-1", "1e9", "99999999", "many", ""] {
            let message = format!("property {key}: \"{value}\" is not {expected}");
            assert_eq!(properties_error(&format!("{key} = {value}")), message);
        }
    }
    for key in ["forecast.enabled", "recovery.reclaim", "recovery.piecewise", "recovery.hold-on", "standby.enabled"] {
        assert_ne!(properties(&format!("{key} = true")).unwrap(), defaults, "{key}");
        let message = format!("property {key}: \"on\" is not true or false");
        assert_eq!(properties_error(&format!("{key} = on")), message);
    }
}

#[test]
fn properties_have_defaults() {
    let defaults = properties("").unwrap();
    assert_eq!(defaults.leader_lease_ttl, Span::millis(4000), "0.4 of the worker lease");
    assert_eq!(defaults.leadership_poll_interval, Span::millis(400));
    assert_eq!((defaults.headroom, defaults.team_shards, defaults.ended_jobs_kept), (1.25, 1, 2000));
    assert_eq!(defaults.idle_machine_timeout, Span::millis(15_000));
    assert_eq!(defaults.skip_limit, Span::millis(60_000));
    assert_eq!(defaults.progress_interval, Span::millis(1000));
    assert_eq!(defaults.forecast, ForecastProperties::default());
    assert_eq!(defaults.recovery, RecoveryProperties::default());
    assert_eq!(defaults.standby, StandbyProperties::default());
}

/// Operators search for these messages, so they must not change.
#[test]
fn messages_name_the_property() {
    let messages = [
        ("fleet.hedroom = 1", "property fleet.hedroom: no such property"),
        ("nowhere = 1", "property nowhere: no such property"),
        ("= 1", "property : no such property"),
        ("forecast. = 1", "property forecast.: no such property"),
        ("forecast.plans = true", "property forecast.plans: needs forecast.enabled = true"),
        (
            "standby.enabled = true\nstandby.tells.ms = 4001",
            "property standby.tells.ms: longer than a claim lives (claim.life.ms)",
        ),
        // Of several invalid properties the first one in the order of keys is reported, regardless of their groups.
        ("standby.x = 1\nrecovery.asks = 0\nfleet-x = 1\nforecast.x = 1", "property fleet-x: no such property"),
        ("standby.x = 1\nshards.x = 1\nforecast.x = 1", "property forecast.x: no such property"),
    ];
    for (text, message) in messages {
        assert_eq!(properties_error(text), message);
    }
}

#[test]
fn errors_have_a_type() {
    assert!(matches!(properties("x = 1"), Err(ConfigError::UnknownProperty { key }) if key == "x"));
    let invalid = properties("recovery.asks = 0");
    assert!(matches!(invalid, Err(ConfigError::InvalidPropertyValue { key, .. }) if key == "recovery.asks"));
    let contradiction = properties("forecast.plans = true");
    assert!(matches!(contradiction, Err(ConfigError::Contradiction { key: "forecast.plans", .. })));
    assert!(matches!(properties("x = \\u00"), Err(ConfigError::PropertiesSyntax(_))));
    assert!(matches!(with_replaced("area = \"a\"", ""), Err(ConfigError::Toml { .. })));
    let field = with_replaced("size = 2", "size = 0").unwrap_err();
    assert_eq!(field.to_string(), "facts.size: not a number from 1 to 1000");
    assert!(matches!(field, ConfigError::InvalidField { field, .. } if field == "facts.size"));
}

/// Temporary file of this process, which is deleted when the value is dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, text: &str) -> TemporaryFile {
        let path = std::env::temp_dir().join(format!("crowstall-configuration-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        TemporaryFile(path)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn files_are_read_together_and_errors_name_the_file() {
    let settings = TemporaryFile::new("settings.toml", SETTINGS);
    let first = TemporaryFile::new("first.properties", "fleet.headroom = 2\nrecovery.asks = 5");
    let second = TemporaryFile::new("second.properties", "forecast.enabled = true");
    let third = TemporaryFile::new("third.properties", "recovery.asks = 5");
    let loaded = Settings::load(&settings.0, &[first.0.clone(), second.0.clone()]).unwrap().properties;
    assert!(loaded.forecast.enabled && loaded.headroom == 2.0 && loaded.recovery.max_queries == 5);
    let twice = Settings::load(&settings.0, &[first.0.clone(), third.0.clone()]).unwrap_err();
    assert_eq!(twice.to_string(), format!("{}: property recovery.asks: set in two files", third.0.display()));
    let missing = Settings::load(&settings.0.join("missing"), &[]).unwrap_err();
    assert!(matches!(&missing, ConfigError::Unreadable { .. }) && missing.to_string().contains("missing: "));
}
