//! Tests of the leader lease of a deposed leader and of the leadership overlap of its successor.

use crowstall_leadership::{LeaderLease, LeadershipBounds, LeadershipOverlap, NodeIncarnation};
use crowstall_model::model::NodeLabel;
use crowstall_model::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn label(node: usize) -> NodeLabel {
    NodeLabel::new(&format!("node-{node}"))
}

/// For any clock drift within the guaranteed bound, the deposed leader has stopped serving reads and making decisions
/// before the new leader records an end that would contradict them.
#[test]
fn the_lease_of_a_deposed_leader_ends_before_the_overlap_under_any_clock_drift() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..10_000 {
        let bounds =
            LeadershipBounds { decision_ms: rng.random_range(2000..60_000), read_ms: rng.random_range(500..2000) };
        let (old_rate, new_rate): (f64, f64) = (rng.random_range(0.99975..1.00025), rng.random_range(0.99975..1.00025));
        let check_sent_at = rng.random_range(0..1_000_000_000u64);
        // The leadership check is confirmed, then the leader is replaced, and then the new leader learns of it.
        let replaced_at = check_sent_at + rng.random_range(0..2_000_000);
        let learned_at = replaced_at + rng.random_range(0..2_000_000);
        let old_clock = |at: u64| Time((at as f64 * old_rate) as u64);
        let new_clock = |at: u64| Time((at as f64 * new_rate) as u64);
        let mut leader_lease = LeaderLease::acquired(Time::ZERO, Some(bounds));
        leader_lease.renew(old_clock(check_sent_at));
        let overlap = LeadershipOverlap::new(new_clock(learned_at), bounds, None);
        let at = learned_at + rng.random_range(0..70_000_000);
        let (old, new) = (old_clock(at), new_clock(at));
        assert!(!(leader_lease.may_serve_reads(old) && overlap.may_record_done(new)), "{bounds:?} at {at}");
        assert!(!(leader_lease.may_decide(old) && overlap.may_record_cancelled(new)), "{bounds:?} at {at}");
    }
}

#[test]
fn only_a_deposed_leader_that_knows_of_its_replacement_ends_the_overlap() {
    let bounds = LeadershipBounds { decision_ms: 4000, read_ms: 2000 };
    let now = Time(5_000_000);
    let mut overlap = LeadershipOverlap::new(now, bounds, Some(NodeIncarnation { node: label(1), incarnation: 7 }));
    assert!(!overlap.record_heartbeat_from(&label(2), 7, true), "another node");
    assert!(
        !overlap.record_heartbeat_from(&label(1), 8, false),
        "another incarnation, if two processes may run with the same label"
    );
    assert!(!overlap.record_heartbeat_from(&label(1), 0, true), "a node that reports no incarnation");
    assert!(!overlap.may_record_done(now) && !overlap.is_over(now));
    assert!(overlap.record_heartbeat_from(&label(1), 7, false));
    assert!(overlap.may_record_done(now) && overlap.may_record_cancelled(now));
    let mut inherited = LeadershipOverlap::new(now, bounds, None);
    assert!(
        !inherited.record_heartbeat_from(&label(1), 7, true),
        "the leader that a former leader replaced is not known"
    );
}
