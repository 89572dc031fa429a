//! Seeded random runs in which heartbeats and reads of leadership records reach five membership tables late and out of
//! order.

use crowstall_leadership::{Membership, PeerStatus};
use crowstall_model::model::{Name, NodeLabel, Revision, ShardId};
use crowstall_model::time::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const NODES: usize = 5;
const SHARD: ShardId = ShardId(0);

fn label(node: usize) -> NodeLabel {
    NodeLabel::new(&format!("node-{node}"))
}

/// Returns the tables of five nodes in two zones: even nodes are in the first zone, odd nodes in the second.
fn tables() -> Vec<Membership> {
    let zone = |node: usize| (label(node), Name::new(["east", "west"][node % 2]));
    let zones: BTreeMap<NodeLabel, Name> = (0..NODES).map(zone).collect();
    (0..NODES).map(|node| Membership::new(label(node), zones.clone(), 2)).collect()
}

fn known_term(table: &Membership) -> Option<Revision> {
    table.leadership(SHARD).map(|leadership| leadership.term)
}

/// Delivers a heartbeat of `from` to a table. The heartbeat reports that `from` received one from the next node `age`
/// ago.
fn deliver_heartbeat(table: &mut Membership, from: usize, incarnation: u64, term: Revision, age: Span, now: Time) {
    let third_node = label((from + 1) % NODES);
    let peer_status = PeerStatus {
        incarnation,
        ready: true,
        led: vec![(SHARD, term)],
        heartbeat_ages: vec![(third_node.clone(), age)],
        ..PeerStatus::default()
    };
    table.record_heartbeat_from(label(from), peer_status, now);
    if let Some(last_alive) = table.last_alive(&third_node, now) {
        assert!(
            last_alive <= now
                && last_alive >= table.peer(&third_node).map_or(Time::ZERO, |peer| peer.last_heartbeat_at)
        );
    }
}

/// Delivers heartbeats between all nodes, and asserts that the other nodes have distinct ranks for replacing each
/// leader and that the first of them is in another zone.
fn assert_ranks_are_distinct(tables: &mut [Membership], incarnation: u64, now: Time, seed: u64) {
    for (node, table) in tables.iter_mut().enumerate() {
        for from in (0..NODES).filter(|from| *from != node) {
            let peer_status = PeerStatus { incarnation, ready: true, ..PeerStatus::default() };
            table.record_heartbeat_from(label(from), peer_status, now);
        }
    }
    for failed in 0..NODES {
        let others = (0..NODES).filter(|node| *node != failed);
        let mut ranks: Vec<u32> = others.clone().map(|node| tables[node].rank(&label(failed), now)).collect();
        let first = others.clone().find(|node| tables[*node].rank(&label(failed), now) == 0);
        assert!(first.is_some_and(|first| first % 2 != failed % 2), "seed {seed}: the first is in another zone");
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2, 3], "seed {seed}: ranks for replacing {failed}");
    }
}

#[test]
fn terms_never_decrease_and_every_node_has_a_distinct_rank() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut tables = tables();
        let mut now = Time(1_000_000);
        let (mut newest_term, mut incarnation) = (Revision(0), 1);
        for _ in 0..400 {
            now += Span::millis(rng.random_range(1..200));
            let (to, from) = (rng.random_range(0..NODES), rng.random_range(0..NODES));
            if rng.random_bool(0.1) {
                newest_term = Revision(newest_term.0 + 1);
                incarnation += 1;
            }
            // Reads and heartbeats arrive late and out of order.
            let term = Revision(newest_term.0.saturating_sub(rng.random_range(0..4)));
            let before = known_term(&tables[to]);
            if rng.random_bool(0.5) {
                tables[to].record_leadership(SHARD, term, &label(from), incarnation, None, now);
            } else if from != to {
                let age = Span::millis(rng.random_range(0..3000));
                deliver_heartbeat(&mut tables[to], from, incarnation, term, age, now);
            }
            let after = known_term(&tables[to]);
            assert!(after >= before, "seed {seed}: the known term decreased from {before:?} to {after:?}");
        }
        assert_ranks_are_distinct(&mut tables, incarnation, now, seed);
    }
}
