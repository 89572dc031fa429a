//! Simulation runs with one fault combination, or with two shortly after each other.

use crate::combinations::{FAULT_COMBINATIONS, FaultCombination};
use crate::simulation::users::spec;
use crate::simulation::{
    ConsistencyChecks, DisabledSafeguard, FOREVER, MS, MalformedRequests, Observations, SEC, Simulation,
};
use crowstall::model::*;
use rand::Rng;
use std::ops::Range;

/// Environment variable that contains the range of seeds to run, as in `SEEDS=1000..2000`.
const SEEDS_VARIABLE: &str = "SEEDS";

/// Range of seeds to run if the variable `SEEDS` is not set.
const DEFAULT_SEEDS: Range<u64> = 0..100;

/// Properties of the operators. Each seed runs with one of them.
const PROPERTIES: [&str; 4] = ["", "claim.life.ms = 8000", "standby.enabled = false", "recovery.reclaim = false"];

/// Returns a simulation with all kinds of jobs that has run until 24 to 27 s of simulated time.
fn start_workload(seed: u64, disabled: DisabledSafeguard, properties: &str) -> Simulation {
    let mut simulation = match seed % 5 {
        0 => Simulation::new(seed, disabled),
        _ => Simulation::with_disabled_safeguard(seed, disabled, [10, 10], properties),
    };
    if seed % 3 == 1 {
        simulation.set_quotas_of_all_teams();
        add_jobs_with_gpus(&mut simulation);
    }
    simulation.add_services();
    add_arrays(&mut simulation);
    add_cancelled_services(&mut simulation);
    let begin = 24 * SEC + simulation.rng.random_range(0..3 * SEC);
    simulation.run_until(begin);
    simulation
}

fn add_jobs_with_gpus(simulation: &mut Simulation) {
    for id in 300..324 {
        let mut job = spec(id, JobKind::Array, if id % 2 == 0 { "free" } else { "guest" }, 2 + id % 3, 1.0);
        job.needs.gpus = Quantity::new(1.0);
        let submit_at = 10 * SEC + u64::from(id - 300) * SEC;
        simulation.add_user(job, 6 * SEC, submit_at, None, false);
    }
}

/// Adds arrays: half of them with two or three tasks that end far apart, and a fifth of them cancelled.
fn add_arrays(simulation: &mut Simulation) {
    for id in 100..190 {
        let has_few_tasks = id % 2 == 0;
        let team = if id % 3 == 0 { "limited" } else { "free" };
        let tasks = if has_few_tasks { 2 + id % 4 / 2 } else { 1 + id % 9 };
        let mut job = spec(id, JobKind::Array, team, tasks, 2.0);
        (job.spot, job.spread, job.one_zone) = (id % 4 == 1, id % 10 == 3, id % 10 == 7);
        let run_time = simulation.rng.random_range(SEC..5 * SEC);
        let cancel_after = (id % 5 == 0).then(|| simulation.rng.random_range(SEC..40 * SEC));
        let submit_at = 4 * SEC + u64::from(id - 100) * SEC / 2;
        simulation.add_user(job, run_time, submit_at, cancel_after, false);
        if let Some(user) = simulation.users.last_mut().filter(|_| has_few_tasks) {
            user.run_time_step = [3, 9, 25][id as usize % 3] * SEC;
        }
    }
}

/// Adds services that are cancelled before, during or after the faults.
fn add_cancelled_services(simulation: &mut Simulation) {
    for id in 200..212 {
        let cancel_after = simulation.rng.random_range(18 * SEC..60 * SEC);
        simulation.add_user(spec(id, JobKind::Service, "free", 2, 1.0), FOREVER, 3 * SEC, Some(cancel_after), false);
    }
}

/// Runs a seed with fault combinations shortly after each other, and then for 190 s without faults.
pub fn run_with(seed: u64, disabled: DisabledSafeguard, combinations: &[&FaultCombination]) -> Simulation {
    let properties = PROPERTIES[seed as usize / 5 % PROPERTIES.len()];
    let mut simulation = start_workload(seed, disabled, properties);
    for combination in combinations {
        (combination.inject)(&mut simulation);
        simulation.run_for_random(0..5 * SEC);
    }
    simulation.run_without_faults(70 * SEC, 190 * SEC);
    simulation
}

/// Returns the fault combinations of a seed: pairs in five of six rounds through the table, and single combinations in
/// the sixth. The distance between the two members of a pair changes with each round, so that all pairs occur in turn.
fn combinations_of(seed: u64) -> Vec<&'static FaultCombination> {
    let count = FAULT_COMBINATIONS.len();
    let round = seed as usize / count;
    let first = &FAULT_COMBINATIONS[seed as usize % count];
    let second = &FAULT_COMBINATIONS[(seed as usize + 7 * round + 5) % count];
    if round % 6 == 5 { vec![first] } else { vec![first, second] }
}

/// Runs a seed with its fault combinations. Returns the measurements, and a description of the failure if there is one.
fn run_seed(seed: u64) -> (Summary, Option<String>) {
    let combinations = combinations_of(seed);
    let simulation = run_with(seed, DisabledSafeguard::None, &combinations);
    let names: Vec<&str> = combinations.iter().map(|combination| combination.name).collect();
    let unfinished = simulation.unfinished_jobs();
    let failure = if !simulation.violations.is_empty() {
        let trace = simulation.trace.join("\n");
        Some(format!("seed {seed}, {names:?}: {:?}\n{trace}", simulation.violations))
    } else if !unfinished.is_empty() {
        let trace = simulation.trace.join("\n");
        Some(format!("seed {seed}, {names:?}: jobs that were not reported as done: {unfinished:?}\n{trace}"))
    } else {
        None
    };
    (Summary::of(&simulation), failure)
}

/// Returns the seeds to run, from the environment variable or by default.
fn seeds() -> Range<u64> {
    let requested = std::env::var(SEEDS_VARIABLE).ok();
    let requested = requested.and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    requested.unwrap_or(DEFAULT_SEEDS)
}

/// Measurements of one or more runs.
#[derive(Default)]
struct Summary {
    observations: Observations,
    delayed_commits_applied: u64,
}

impl Summary {
    fn of(simulation: &Simulation) -> Summary {
        Summary {
            observations: simulation.observations.clone(),
            delayed_commits_applied: simulation.state_service.delayed_commits_applied,
        }
    }

    fn add(&mut self, other: Summary) {
        self.observations.add(other.observations);
        self.delayed_commits_applied += other.delayed_commits_applied;
    }

    fn print(&mut self, runs: u64) {
        let observations = &mut self.observations;
        observations.cancellation_latencies.sort();
        let latencies = &observations.cancellation_latencies;
        let quantile = |fraction: f64| {
            latencies.get((latencies.len() as f64 * fraction) as usize).map_or(0, |latency| latency / MS)
        };
        println!("{runs} runs");
        println!(
            "{} cancellations: median {} ms, 95% {} ms, longest {} ms",
            latencies.len(),
            quantile(0.5),
            quantile(0.95),
            quantile(0.9999)
        );
        println!(
            "longest run of a task after its cancellation was reported: {} ms",
            observations.longest_run_after_cancellation / MS
        );
        println!("longest time of a user without an answer: {} ms", observations.longest_unanswered / MS);
        println!(
            "longest wait of a task although a machine had room for it: {} ms",
            observations.longest_starvation / MS
        );
        let starts = observations.starts_after_cancellation;
        println!(
            "task starts after a reported cancellation: {} with a command before the report, {} after it",
            starts.commanded_before, starts.commanded_after
        );
        let ConsistencyChecks { sent, deferred } = observations.consistency_checks;
        println!("{sent} consistency checks, {deferred} of them deferred while the state service was available");
        let MalformedRequests { answered, rejected } = observations.malformed_requests;
        println!("{answered} malformed requests answered, {rejected} rejected");
    }
}

#[test]
fn safety_rules_hold_when_two_fault_combinations_occur() {
    let seeds = seeds();
    let runs = seeds.end - seeds.start;
    let mut summary = Summary::default();
    let mut failures = Vec::new();
    // Runs are independent of each other, so each processor executes a part of them.
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() as u64).min(runs.max(1));
    std::thread::scope(|scope| {
        let part = |first: u64| seeds.clone().skip(first as usize).step_by(threads as usize);
        let handles: Vec<_> =
            (0..threads).map(|first| scope.spawn(move || part(first).map(run_seed).collect::<Vec<_>>())).collect();
        for handle in handles {
            for (run, failure) in handle.join().expect("a run does not panic") {
                failures.extend(failure);
                summary.add(run);
            }
        }
    });
    failures.sort();
    assert!(failures.is_empty(), "{} of {runs} runs:\n{}", failures.len(), failures.join("\n"));
    summary.print(runs);
    if runs >= 100 {
        assert!(summary.delayed_commits_applied > 0, "no delayed transaction was applied");
        let ConsistencyChecks { sent, deferred } = summary.observations.consistency_checks;
        assert!(sent > 1000, "only {sent} consistency checks");
        let MalformedRequests { rejected, .. } = summary.observations.malformed_requests;
        assert!(rejected > 100, "only {rejected} malformed requests were rejected");
        assert!(deferred * 10 < sent, "{deferred} of {sent} consistency checks were deferred");
    }
}
