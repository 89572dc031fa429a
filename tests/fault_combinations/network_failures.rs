//! Fault combinations in which connections fail or are slow, and heartbeats arrive late or twice.

use crate::combinations::{fail_leader, leader_or_any};
use crate::simulation::{
    CONTROLLERS, DELAY_PACKETS, Endpoint, MS, SEC, Simulation, SlowLink, TemporaryFault, WORKER_LEASE,
    other_controllers,
};
use crowstall::model::*;
use rand::Rng;

/// Separates the leader from the other controllers and the state service, so that it reaches only workers, users and
/// the cloud. In half of the runs, some machines reach only this leader.
pub fn isolated_leader(simulation: &mut Simulation) {
    let node = leader_or_any(simulation);
    let delay_packets = simulation.rng.random_bool(0.5);
    let until = simulation.now + simulation.rng.random_range(2 * SEC..60 * SEC);
    let outside = other_controllers(node).chain([Endpoint::StateService]);
    simulation.partition(Endpoint::Controller(node), outside, until, delay_packets);
    if simulation.rng.random_bool(0.5) {
        for machine in simulation.some_machines(2) {
            simulation.isolate_from_other_controllers(Endpoint::Machine(machine), node, until, delay_packets);
        }
    }
}

/// Delivers copies of heartbeats after newer ones, and injects a failover and restarts of machines.
pub fn duplicate_heartbeats(simulation: &mut Simulation) {
    simulation.duplicate_heartbeats = Some(TemporaryFault::new(simulation.now + 25 * SEC, 30 * SEC));
    fail_leader(simulation);
    simulation.run_for_random(SEC..8 * SEC);
    restart_some_machines(simulation, 4);
}

/// Retains copies of heartbeats, which reach every controller during a failover. Machines restart before it, so that
/// the copies contain former agent epochs.
pub fn replayed_heartbeats(simulation: &mut Simulation) {
    for _ in 0..2 {
        simulation.heartbeats_retained_until = simulation.now + 20 * SEC;
        simulation.run_for_random(0..10 * SEC);
        restart_some_machines(simulation, 5);
        simulation.run_for_random(0..2 * SEC);
        fail_leader(simulation);
        simulation.run_for_random(0..8 * SEC);
    }
}

/// Restarts the agent of every `step`-th machine.
fn restart_some_machines(simulation: &mut Simulation, step: usize) {
    for machine in simulation.some_machines(step) {
        let down_for = simulation.rng.random_range(50 * MS..2 * SEC);
        simulation.restart_machine(machine, down_for);
    }
}

/// Delays the heartbeats of some machines until after a failover, and then cancels jobs.
pub fn delayed_heartbeats(simulation: &mut Simulation) {
    let until = simulation.now + simulation.rng.random_range(500 * MS..9 * SEC);
    for machine in simulation.some_machines(2) {
        let controllers = (0..CONTROLLERS).map(Endpoint::Controller);
        simulation.partition(Endpoint::Machine(machine), controllers, until, DELAY_PACKETS);
    }
    simulation.run_for_random(0..2 * SEC);
    fail_leader(simulation);
    simulation.run_for_random(0..8 * SEC);
    simulation.cancel_running_jobs(3);
}

/// Slows down the links of all controllers, overloads the cluster with more jobs, and injects a failover.
pub fn slow_links_under_overload(simulation: &mut Simulation) {
    let until = simulation.now + simulation.rng.random_range(5 * SEC..30 * SEC);
    for node in 0..CONTROLLERS {
        let max_delay = simulation.rng.random_range(100 * MS..900 * MS);
        let delay = TemporaryFault::new(until, max_delay);
        simulation.slow_links.push(SlowLink { endpoint: Endpoint::Controller(node), delay });
    }
    crate::user_requests::add_jobs(simulation, 600_000, 60, |id, job| {
        job.priority = [Priority::High, Priority::Normal, Priority::BestEffort][id as usize % 3];
        (job.tasks, job.needs.cpus) = (3 + id % 4, Quantity::new(2.0));
        (job.checkpoint_s, job.save_s) = if id % 2 == 0 { (1.0, 0.5) } else { (0.0, 0.0) };
    });
    simulation.run_for_random(0..15 * SEC);
    fail_leader(simulation);
}

/// Isolates a zone together with a controller, the leader in more than half of the runs, and cancels jobs.
pub fn isolated_zone(simulation: &mut Simulation) {
    let until = simulation.now + simulation.rng.random_range(WORKER_LEASE + SEC..4 * WORKER_LEASE);
    let delay_packets = simulation.rng.random_bool(0.5);
    let node = if simulation.rng.random_bool(0.5) {
        leader_or_any(simulation)
    } else {
        simulation.rng.random_range(0..CONTROLLERS)
    };
    let outside = other_controllers(node).chain([Endpoint::StateService, Endpoint::Cloud, Endpoint::Users]);
    simulation.partition(Endpoint::Controller(node), outside, until, delay_packets);
    for machine in simulation.machines_where(|worker| worker.zone.as_str() == "west") {
        simulation.isolate_from_other_controllers(Endpoint::Machine(machine), node, until, delay_packets);
    }
    simulation.run_for_random(0..12 * SEC);
    simulation.cancel_running_jobs(4);
}
