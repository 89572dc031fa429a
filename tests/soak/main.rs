//! Soak test: controller processes on the loopback interface under random faults, started as in `deploy/service.toml`.
//!
//! The state service, the cloud, the workers, the users, the faults and the checker are those of the simulation, behind
//! sockets ([`processes`], [`services`], [`clients`], [`links`]). A seed determines the jobs, the faults and the
//! requests of the users. The order in which messages arrive depends on the machine. Only the safety rules with their
//! bounds are checked, not the performance.
//!
//! `SEEDS=0..50 cargo test --release --test soak -- --nocapture` runs the given seeds one after the other.

#[path = "../simulation/mod.rs"]
mod simulation;

mod clients;
mod links;
mod processes;
mod services;
mod wire;

use crowstall::model::JobKind;
use crowstall::protocol::users::ClientRequest;
use processes::ProcessControllers;
use rand::Rng;
use simulation::users::spec;
use simulation::{CONTROLLERS, FOREVER, SEC, Simulation};

/// Number of random faults in a run.
const FAULTS: u32 = 8;
/// Approximate time within which the faults are injected.
const FAULT_SPAN: u64 = 20 * SEC;
/// Duration for which the cluster runs without faults. Longer than the time within which every user must get answers.
const FAULT_FREE_PERIOD: u64 = 80 * SEC;
/// Longest time for which a controller may take to report that it is ready after the period without faults.
const READY_TIMEOUT: u64 = 10 * SEC;
/// Seeds that run concurrently in CI.
const CI_SEEDS: [u64; 3] = [0, 1, 2];

/// Runs one seed. Panics if a rule is violated or a process exits without having been killed.
fn run(seed: u64) {
    let workers = if seed % 3 == 2 { 60 } else { 10 };
    let remote = ProcessControllers::new(seed);
    let mut simulation = Simulation::with_remote_controllers(seed, [workers, workers], Box::new(remote));
    add_jobs(&mut simulation, workers as u32);
    simulation.schedule_malformed_requests(100 * SEC, 2 * SEC);
    simulation.run_until(6 * SEC);
    simulation.consistency_checks_until = 100 * SEC;
    simulation.run_with_random_faults(FAULTS, FAULT_SPAN, |_, _| {});
    simulation.end_faults();
    simulation.run_without_faults(0, FAULT_FREE_PERIOD);
    println!(
        "seed {seed}: {} task starts, {} of {} jobs ended, longest time without an answer {} s, longest wait although a \
         machine had room {} s, {} leadership terms",
        simulation.task_starts,
        simulation.users.iter().filter(|user| user.is_over()).count(),
        simulation.users.len(),
        simulation.observations.longest_unanswered / SEC,
        simulation.observations.longest_starvation / SEC,
        simulation.state_service.leadership_acquisitions
    );
    simulation.assert_no_violations_in(format!("SEEDS={seed}..{} cargo test --release --test soak", seed + 1));
    for node in 0..CONTROLLERS {
        let reply = simulation.request(node, ClientRequest::Up, READY_TIMEOUT);
        let is_ready = reply.as_ref().is_some_and(|reply| reply.status == 200);
        assert!(is_ready, "seed {seed}: controller {node} is not ready: {reply:?}");
    }
    assert!(simulation.task_starts > 0, "seed {seed}: no task was started");
}

/// Adds arrays and services, some of which are cancelled.
fn add_jobs(simulation: &mut Simulation, workers: u32) {
    for id in 0..3 * workers {
        let is_service = id % 4 == 0;
        let kind = if is_service { JobKind::Service } else { JobKind::Array };
        let team = if simulation.rng.random_bool(0.2) { "limited" } else { "free" };
        let tasks = simulation.rng.random_range(1..if is_service { 3 } else { 8 });
        let mut job = spec(id, kind, team, tasks, 2.0);
        job.spot = !is_service && simulation.rng.random_bool(0.5);
        let run_time = if is_service { FOREVER } else { simulation.rng.random_range(SEC..8 * SEC) };
        let cancelled = is_service || simulation.rng.random_bool(0.3);
        let cancel_after = cancelled.then(|| simulation.rng.random_range(5 * SEC..60 * SEC));
        let submit_at = 3 * SEC + simulation.rng.random_range(0..50 * SEC);
        simulation.add_user(job, run_time, submit_at, cancel_after, false);
    }
}

/// Returns the seeds `a` to `b - 1` if the environment contains `SEEDS=a..b`.
fn requested_seeds() -> Option<std::ops::Range<u64>> {
    let text = std::env::var("SEEDS").ok()?;
    let (first, end) = text.split_once("..")?;
    Some(first.parse().ok()?..end.parse().ok()?)
}

#[test]
fn no_rule_is_violated_by_real_processes_under_faults() {
    if let Some(seeds) = requested_seeds() {
        return seeds.for_each(run);
    }
    let runs: Vec<_> = CI_SEEDS.into_iter().map(|seed| std::thread::spawn(move || run(seed))).collect();
    // All runs are joined before the first failure is propagated, so that no controller process outlives the test.
    let results: Vec<_> = runs.into_iter().map(|run| run.join()).collect();
    for result in results {
        result.unwrap_or_else(|panic| std::panic::resume_unwind(panic));
    }
}
