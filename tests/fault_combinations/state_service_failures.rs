//! Fault combinations in which the state service executes transactions late, loses answers, refuses controllers or has
//! an outage.

use crate::combinations::{fail_leader, leader_or_any};
use crate::simulation::{CANCELLATION_BOUND, DELAY_PACKETS, Endpoint, MS, SEC, Simulation, TemporaryFault};
use rand::Rng;

/// Makes the state service execute some transactions late and without an answer, and injects a failover.
pub fn delayed_transactions(simulation: &mut Simulation) {
    let probability = simulation.rng.random_range(0.1..0.6);
    let until = simulation.now + simulation.rng.random_range(5 * SEC..30 * SEC);
    simulation.state_service.delayed_commits = Some(TemporaryFault::new(until, probability));
    simulation.run_for_random(0..6 * SEC);
    fail_leader(simulation);
}

/// Loses answers to transactions, cancels jobs, and injects a failover.
pub fn lost_answers(simulation: &mut Simulation) {
    let probability = simulation.rng.random_range(0.1..0.5);
    let until = simulation.now + simulation.rng.random_range(4 * SEC..25 * SEC);
    simulation.state_service.lost_commit_answers = Some(TemporaryFault::new(until, probability));
    simulation.consistency_checks_until = simulation.now + 20 * SEC;
    simulation.run_for_random(0..6 * SEC);
    simulation.cancel_running_jobs(6);
    simulation.run_for_random(0..2 * SEC);
    fail_leader(simulation);
}

/// Slows down the answers of the state service, which refuses the leader and then has an outage. In half of the runs,
/// the leader is also isolated from the other controllers.
pub fn leader_refused_before_outage(simulation: &mut Simulation) {
    let now = simulation.now;
    let node = leader_or_any(simulation);
    let is_isolated = simulation.rng.random_bool(0.5);
    let slow_until = now + simulation.rng.random_range(SEC..20 * SEC);
    simulation.state_service.slow_answers = Some(TemporaryFault::new(slow_until, 1500 * MS));
    let outage_after = simulation.rng.random_range(500 * MS..8 * SEC);
    simulation.state_service.refused_until[node] = now + outage_after + SEC;
    if is_isolated {
        let leader = Endpoint::Controller(node);
        simulation.isolate_from_other_controllers(leader, node, now + 40 * SEC, DELAY_PACKETS);
    }
    simulation.run_for(outage_after);
    let duration = simulation.rng.random_range(10 * SEC..45 * SEC);
    simulation.state_service.start_outage(simulation.now, duration);
}

/// Cancels jobs while the state service refuses the leader, and then injects an outage of at least the bound on
/// cancellations.
pub fn cancellations_before_outage(simulation: &mut Simulation) {
    let node = leader_or_any(simulation);
    simulation.state_service.refused_until[node] = simulation.now + 3 * SEC;
    simulation.cancel_running_jobs(8);
    simulation.run_for_random(800 * MS..1300 * MS);
    let duration = simulation.rng.random_range(CANCELLATION_BOUND..CANCELLATION_BOUND + 10 * SEC);
    simulation.state_service.start_outage(simulation.now, duration);
}
