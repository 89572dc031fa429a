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
    "43da80f895ed4bd077f909220fd9964e",
    "1c5854c96b7670a92d48e52c5ef02756",
    "1ba13c9a3e364a1f31549e828bf596e7",
    "ac9bbd257db117b73cb385382eed16dd",
    "2da61c406528817819db3b98b00065c1",
    "c805a5a3adf5cce2f001a45b45ba6c81",
    "79dec6870fa983128a072e920db24484",
    "dacf6f8533800965c063b4a42368d044",
    "b7fc81f4fffc2d313a0a4717f927dbf7",
    "721ab521f254e93773ffdad18a9dbe41",
    "e72e0521bc01efee292dd131f097a85d",
    "10b4f2bb87da7b499dc19f0caa4e383f",
    "9be53ab5352b051c7826274a1b032b2d",
    "ba6ec2b25ca2af2f22646893167af37f",
    "4731ecc8663bd7f04979347269385598",
    "1ab9e256b9edc9bfe7d3d4151f979809",
    "637a7a798e8ac42f75e48214cf710f55",
    "6a089a4a78c06825ce9150c7c43ef1b9",
    "dbb89d753eacb2d7139b4a48d9fd84be",
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
