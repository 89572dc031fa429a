//! Keys of records, division of prerequisites into part records, the rate limiter, and the accounting of writes.

use crowstall::model::{JobId, MachineId, ShardId};
use crowstall::protocol::state::Change;
use crowstall::storage::keys;
use crowstall::storage::rate_limiter::RateLimiter;
use crowstall::storage::records::{parts_of, to_value};
use crowstall::storage::write_usage::{RecordKind, WriteUsage};
use crowstall::time::{Span, Time};
use serde_json::json;

const START: Time = Time(0);

/// Returns the time `seconds` after `START`.
fn after(seconds: f64) -> Time {
    START + Span::secs(seconds)
}

#[test]
fn keys_are_those_that_all_versions_use() {
    let (shard, job, machine) = (ShardId(2), JobId::new("wk-7"), MachineId::new("i-1"));
    assert_eq!(keys::shard_key(shard), "shard/2");
    assert_eq!(keys::previous_term_key(shard), "shard/last/2");
    assert_eq!(keys::liveness_key(shard), "shard/pulse/2");
    assert_eq!(keys::handoff_key(shard, &job), "shard/new/2/wk-7");
    assert_eq!(keys::live_key(&job), "live/wk-7");
    assert_eq!(keys::final_key(&job), "end/wk-7");
    assert_eq!(keys::part_key(&job, 3), "part/wk-7/3");
    assert_eq!(keys::machine_key(&machine), "machine/i-1");
    assert_eq!(keys::forecast_key(shard), "forecast/2");
}

#[test]
fn keys_are_parsed_back() {
    let (shard, job, machine) = (ShardId(2), JobId::new("wk-7"), MachineId::new("i-1"));
    assert_eq!(keys::parse_handoff(&keys::handoff_key(shard, &job)), Some((shard, job.clone())));
    assert_eq!(keys::job_of_final_key(&keys::final_key(&job)), job);
    assert_eq!(keys::machine_of(&keys::machine_key(&machine)), machine);
    for other in ["shard/2", "shard/last/2", "shard/new/x/wk-7", "shard/new/2", "live/wk-7"] {
        assert_eq!(keys::parse_handoff(other), None, "{other}");
    }
}

#[test]
fn prerequisites_are_divided_into_parts_that_fit() {
    const VALUE_BYTES: usize = 100;
    let jobs: Vec<JobId> = (0..40).map(|number| JobId::new(&format!("wk-{number:06}"))).collect();
    let parts = parts_of(&jobs, VALUE_BYTES);
    assert!(parts.len() > 1);
    assert!(parts.iter().all(|part| to_value(part).to_string().len() <= VALUE_BYTES));
    let rejoined: Vec<JobId> = parts.into_iter().flat_map(|part| part.needs).collect();
    assert_eq!(rejoined, jobs);
    assert!(parts_of(&[], VALUE_BYTES).is_empty());
}

#[test]
fn the_rate_limiter_allows_a_burst_and_refills() {
    let mut limiter = RateLimiter::new(10.0, 5.0);
    assert!((0..5).all(|_| limiter.take(START, 1.0)));
    assert!(!limiter.take(START, 1.0));
    assert!(!limiter.take(after(0.05), 1.0));
    assert!(limiter.take(after(0.15), 1.0));
    assert!(limiter.is_filled_to(after(60.0), 1.0));
}

#[test]
fn a_request_larger_than_the_burst_needs_a_full_bucket() {
    let mut limiter = RateLimiter::new(10.0, 5.0);
    assert!(limiter.take(START, 8.0));
    assert!(!limiter.take(after(0.7), 8.0));
    assert!(limiter.take(after(0.9), 8.0));
}

#[test]
fn urgent_requests_go_into_bounded_debt() {
    let mut limiter = RateLimiter::new(10.0, 5.0);
    limiter.take_on_credit(START, 9.0);
    assert!(limiter.is_filled_beyond(START, -1.0, 0.0) && !limiter.is_filled_to(START, 0.0));
    limiter.take_on_credit(START, 100.0);
    assert!(!limiter.is_filled_beyond(START, -1.0, 0.0));
    // The debt is limited to two bursts (10 tokens), of which one (5 tokens) is paid back after half a second.
    assert!(!limiter.is_filled_beyond(after(0.49), -1.0, 0.0));
    assert!(limiter.is_filled_beyond(after(0.51), -1.0, 0.0));
}

#[test]
fn a_drained_rate_limiter_keeps_its_debt() {
    let mut limiter = RateLimiter::new(10.0, 5.0);
    limiter.drain(START);
    assert!(limiter.take(START, 0.0) && !limiter.take(START, 0.5));
    limiter.take_on_credit(START, 3.0);
    limiter.drain(START);
    assert!(!limiter.is_filled_to(after(0.25), 0.0));
    assert!(limiter.is_filled_to(after(0.35), 0.0));
}

#[test]
fn write_usage_counts_by_kind_of_record() {
    let put = |key: &str| Change::Put { key: key.into(), value: json!({ "a": 1 }), lease: None };
    let mut usage = WriteUsage::default();
    assert!(usage.is_empty());
    let kinds = usage.sent(&[put("live/wk-1"), put("live/wk-2"), Change::Delete("end/wk-3".into())]);
    assert_eq!(kinds, ["live", "live", "end"].map(RecordKind::of_key));
    usage.refused(vec![RecordKind::of_key("end")]);
    assert_eq!(
        usage.to_string(),
        "end: 1 changes, 0 bytes, largest value 0 bytes, 1 refused by the rate limit; \
         live: 2 changes, 14 bytes, largest value 7 bytes, 0 refused by the rate limit"
    );
    usage.clear();
    assert!(usage.is_empty());
}
