//! Fault combinations in which controllers crash, freeze or lose their connections.

use crate::combinations::{fail_leader, leader_or_any};
use crate::simulation::users::spec;
use crate::simulation::{CONTROLLERS, MS, SEC, Simulation, WORKER_LEASE};
use crowstall::model::*;
use rand::Rng;

/// Injects two failovers. The workload contains jobs whose tasks end far apart.
pub fn repeated_failovers(simulation: &mut Simulation) {
    fail_leader(simulation);
    simulation.run_for_random(500 * MS..6 * SEC);
    fail_leader(simulation);
}

/// Makes controllers crash six times, mostly the leader. Almost all restart within 900 ms.
pub fn quick_restarts(simulation: &mut Simulation) {
    for round in 0..6 {
        let node = match round % 3 {
            2 => simulation.rng.random_range(0..CONTROLLERS),
            _ => leader_or_any(simulation),
        };
        let max_down_for = if round == 4 { 3 * SEC } else { 900 * MS };
        let down_for = simulation.rng.random_range(50 * MS..max_down_for);
        if simulation.is_up(node) {
            simulation.crash(node, down_for);
        }
        simulation.run_for_random(30 * MS..2500 * MS);
    }
}

/// Checks the consistency of all controllers' answers after cancellations, with a failover in most runs.
pub fn failover_during_consistency_checks(simulation: &mut Simulation) {
    simulation.consistency_checks_until = simulation.now + 40 * SEC;
    simulation.cancel_running_jobs(4);
    simulation.run_for_random(0..8 * SEC);
    if simulation.rng.random_bool(0.7) {
        fail_leader(simulation);
    }
}

/// Cancels jobs during one to three failovers.
pub fn cancellations_during_failovers(simulation: &mut Simulation) {
    let failovers = simulation.rng.random_range(1..4);
    for _ in 0..failovers {
        fail_leader(simulation);
        for _ in 0..12 {
            simulation.cancel_running_jobs(2);
            simulation.run_for_random(0..400 * MS);
        }
    }
}

/// Adds 200 short jobs, a quarter of which are cancelled, and injects a failover.
pub fn failover_with_short_jobs(simulation: &mut Simulation) {
    let begin = simulation.now;
    for number in 0..200 {
        let id = 500_000 + number + (begin / SEC) as u32 * 1000;
        let is_cancelled = number % 4 == 0;
        let cancel_after = is_cancelled.then(|| simulation.rng.random_range(0..3 * SEC));
        let run_time = simulation.rng.random_range(200 * MS..3 * SEC);
        let job = spec(id, JobKind::Array, if number % 5 == 0 { "limited" } else { "free" }, 1, 1.0);
        simulation.add_user(job, run_time, begin + u64::from(number) * 250 * MS, cancel_after, false);
    }
    simulation.consistency_checks_until = begin + 20 * SEC;
    simulation.run_for_random(0..40 * SEC);
    fail_leader(simulation);
}

/// Crashes all controllers for longer than a worker lease, and cancels jobs in the meantime.
pub fn all_controllers_down(simulation: &mut Simulation) {
    let duration = simulation.rng.random_range(WORKER_LEASE..3 * WORKER_LEASE);
    for node in simulation.running_controllers() {
        let down_for = duration + simulation.rng.random_range(0..2 * SEC);
        simulation.crash(node, down_for);
    }
    simulation.run_for_random(0..3 * SEC);
    simulation.cancel_running_jobs(5);
}

/// Injects ten failovers within at most 140 s and, in half of the runs, an outage of the state service.
pub fn ten_failovers(simulation: &mut Simulation) {
    let round_with_outage = simulation.rng.random_range(0..20);
    for round in 0..10 {
        if round == round_with_outage {
            let duration = simulation.rng.random_range(3 * SEC..25 * SEC);
            simulation.state_service.start_outage(simulation.now, duration);
        }
        fail_leader(simulation);
        if round % 3 == 0 {
            simulation.cancel_running_jobs(2);
        }
        simulation.run_for_random(0..14 * SEC);
    }
}
