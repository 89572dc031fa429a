//! Digests of all events and actions in simulated scenarios.
//!
//! A change that only renames or moves code must leave every digest unchanged. A change of behaviour updates the
//! digests and says so in its commit message.

mod simulation;

use crowstall::model::*;
use rand::Rng;
use simulation::digest::TraceDigest;
use simulation::users::spec;
use simulation::{DisabledSafeguard, FOREVER, MS, SEC, Simulation};

/// Adds job arrays, services and dependent jobs of two teams, some of which are cancelled.
fn add_jobs(simulation: &mut Simulation, count: u32) {
    for id in 0..count {
        let service = simulation.rng.random_bool(0.25);
        let team = if simulation.rng.random_bool(0.5) { "limited" } else { "free" };
        let kind = if service { JobKind::Service } else { JobKind::Array };
        let tasks = simulation.rng.random_range(1..if service { 4 } else { 12 });
        let mut job = spec(id, kind, team, tasks, 2.0);
        job.spot = !service && simulation.rng.random_bool(0.5);
        job.spread = simulation.rng.random_bool(0.15);
        job.deadline_s = (!service && simulation.rng.random_bool(0.3)).then_some(60.0);
        job.priority = if simulation.rng.random_bool(0.3) { Priority::High } else { Priority::Normal };
        let run_time = if service { FOREVER } else { simulation.rng.random_range(SEC..10 * SEC) };
        let cancel_after =
            (service || simulation.rng.random_bool(0.2)).then(|| simulation.rng.random_range(5 * SEC..50 * SEC));
        let submit_at = 2 * SEC + simulation.rng.random_range(0..60 * SEC);
        if service || id < 2 || simulation.rng.random_bool(0.6) {
            simulation.add_user(job, run_time, submit_at, cancel_after, false);
        } else {
            let prerequisite = simulation.rng.random_range(0..2);
            simulation.add_dependent_job(job, &[prerequisite], run_time, submit_at, cancel_after);
        }
    }
}

/// Runs a scenario with `faults` random faults and returns its digest.
fn digest_of(mut simulation: Simulation, faults: u32) -> String {
    simulation.digest = Some(TraceDigest::default());
    add_jobs(&mut simulation, 16);
    simulation.run_until(8 * SEC);
    for _ in 0..faults {
        simulation.run_for_random(500 * MS..12 * SEC);
        simulation.inject_random_fault();
    }
    simulation.run_for(60 * SEC);
    simulation.assert_no_violations();
    simulation.digest.as_ref().expect("the digest was set above").finish()
}

/// Expected digests, one for each scenario, in the order of the scenarios.
const EXPECTED: [&str; 19] = [
    "444f6921797053d0bc1ff8bf6cbca77b",
    "703b4f280cc6b2a2386b6a4809cc2e06",
    "eb477f1bd2d59f20bc7d0b717878924c",
    "87e35fb2cf7d7dabafd80c9dfa5b09f2",
    "c2274756eb6ad449f35ab4150d099921",
    "eb6600a2ae9e86c3c5a3066b48f39dcb",
    "d2daaf2957dd423ac8c3e3af923773c1",
    "a454082cbe4cb05ceb60ecb90d9078d3",
    "9e0858f0d62ad041533b4949c9575ce2",
    "719328f8d748d0e8534e2857be126fd8",
    "a230c7e5ee195edc5929b1c327b7802e",
    "1c9162a59b14a9d07b7a355056fb4ba3",
    "981d6e7703f15cbebd64964c03015c32",
    "f19beb114ffa802be87c62e3a7251a0c",
    "e3655dbac544e2aa53b9913655f33781",
    "c85018b1456cdb73a7e95b0c5b4c543a",
    "c4f3e5df179f5bc779b7f28f2a0f7cca",
    "e0670a487dc367021d3937a898065735",
    "b7628717747c121c599625e6b3c7bd92",
];

#[test]
fn digests_of_simulated_days_are_unchanged() {
    let mut scenarios: Vec<(String, Simulation, u32)> =
        vec![("no faults".to_string(), Simulation::new(1, DisabledSafeguard::None), 0)];
    for seed in 2..10 {
        let faults = if seed % 2 == 0 { 12 } else { 24 };
        scenarios.push((format!("three shards, seed {seed}"), Simulation::new(seed, DisabledSafeguard::None), faults));
        scenarios.push((format!("one shard, seed {seed}"), Simulation::with_one_shard(seed, [5, 5]), faults));
    }
    scenarios.push(("forecasts, one shard".to_string(), Simulation::with_forecasts(7, true, [8, 8]), 12));
    scenarios.push(("forecasts, three shards".to_string(), Simulation::with_forecasts(8, false, [8, 8]), 12));
    assert_eq!(scenarios.len(), EXPECTED.len());
    let mut mismatches = Vec::new();
    for ((name, simulation, faults), expected) in scenarios.into_iter().zip(EXPECTED) {
        let digest = digest_of(simulation, faults);
        println!("{name}: {digest}");
        if digest != expected {
            mismatches.push(format!("{name}: digest {digest}, expected {expected}"));
        }
    }
    assert!(mismatches.is_empty(), "{mismatches:#?}");
}
