//! Fault combinations in which machines hang, restart, vanish, boot unusually fast or lose their connections.

use crate::combinations::{fail_leader, leader_or_any};
use crate::simulation::{DELAY_PACKETS, Endpoint, MS, SEC, Simulation, TemporaryFault};
use crate::user_requests::add_jobs;
use crowstall::model::*;
use rand::Rng;

/// Delays commands and answers to machines, which hang or are separated from the leader, and injects a failover.
pub fn delayed_commands(simulation: &mut Simulation) {
    let node = leader_or_any(simulation);
    let machines_hang = simulation.rng.random_bool(0.5);
    let until = simulation.now + simulation.rng.random_range(SEC..9 * SEC);
    let machines = simulation.some_machines(2);
    if machines_hang {
        simulation.hang_machines(&machines, until);
    } else {
        for machine in machines {
            let leader = [Endpoint::Controller(node)];
            simulation.partition(Endpoint::Machine(machine), leader, until, DELAY_PACKETS);
        }
    }
    simulation.run_for_random(0..3 * SEC);
    fail_leader(simulation);
}

/// Makes machines unreachable, or drops all answers to them, and injects a failover.
pub fn unreachable_machines(simulation: &mut Simulation) {
    let answers_are_lost = simulation.rng.random_bool(0.5);
    let until = simulation.now + simulation.rng.random_range(5 * SEC..50 * SEC);
    let machines = simulation.some_machines(3);
    if answers_are_lost {
        simulation.lose_answers_to(&machines, until);
    } else {
        for machine in machines {
            simulation.isolate(Endpoint::Machine(machine), until, DELAY_PACKETS);
        }
    }
    maybe_refuse_deletes(simulation, until);
    simulation.run_for_random(0..4 * SEC);
    fail_leader(simulation);
}

/// Cancels jobs, makes their machines hang or isolates them, and injects a failover.
pub fn cancellations_on_unreachable_machines(simulation: &mut Simulation) {
    let until = simulation.now + simulation.rng.random_range(SEC..45 * SEC);
    let machines = simulation.cancel_running_jobs(14);
    let machines_hang = simulation.rng.random_bool(0.5);
    maybe_refuse_deletes(simulation, until);
    if machines_hang {
        simulation.hang_machines(&machines, until);
    } else {
        for machine in machines {
            simulation.isolate(Endpoint::Machine(machine), until, machine % 2 == 0);
        }
    }
    simulation.run_for_random(0..2 * SEC);
    fail_leader(simulation);
}

/// With a probability of one half, makes the cloud refuse to delete machines until `until`. Otherwise a deletion could
/// end the tasks on unreachable machines.
fn maybe_refuse_deletes(simulation: &mut Simulation, until: u64) {
    simulation.cloud.deletes_refused_until = if simulation.rng.random_bool(0.5) { until } else { 0 };
}

/// Makes machines boot fast while transactions are delayed or their answers are lost, and injects two failovers.
pub fn quick_boots(simulation: &mut Simulation) {
    simulation.cloud.boot_time_factors = Some([Some(0.25), Some(0.05)]);
    let probability = simulation.rng.random_range(0.1..0.5);
    let fault = Some(TemporaryFault::new(simulation.now + 20 * SEC, probability));
    if simulation.rng.random_bool(0.5) {
        simulation.state_service.delayed_commits = fault;
    } else {
        simulation.state_service.lost_commit_answers = fault;
    }
    add_jobs(simulation, 400_000, 30, |_, job| (job.tasks, job.spot) = (4, true));
    for _ in 0..2 {
        simulation.run_for_random(0..5 * SEC);
        fail_leader(simulation);
    }
}

/// Prevents machines from sending heartbeats, cancels jobs, and injects a failover or an outage of the state service.
pub fn blocked_heartbeats(simulation: &mut Simulation) {
    let until = simulation.now + simulation.rng.random_range(4 * SEC..45 * SEC);
    let machines = simulation.some_machines(3);
    simulation.block_heartbeats_of(&machines, until);
    simulation.run_for_random(0..3 * SEC);
    simulation.cancel_running_jobs(6);
    if simulation.rng.random_bool(0.5) {
        fail_leader(simulation);
    } else {
        let duration = simulation.rng.random_range(3 * SEC..20 * SEC);
        simulation.state_service.start_outage(simulation.now, duration);
    }
}

/// Removes or restarts machines of a zone to which jobs are bound, with a failover in half of the runs.
pub fn zone_loses_machines(simulation: &mut Simulation) {
    add_jobs(simulation, 700_000, 16, |id, job| {
        (job.tasks, job.needs.cpus) = (1 + id % 6, Quantity::new(2.0));
        job.kind = if id % 4 == 3 { JobKind::Service } else { JobKind::Array };
        job.one_zone = id % 3 == 0;
        job.zone = (id % 3 > 0).then(|| Name::new("west"));
    });
    simulation.run_for_random(0..6 * SEC);
    for machine in simulation.machines_where(|worker| worker.zone.as_str() == "west") {
        match simulation.rng.random_range(0..4) {
            0 => simulation.reclaim_machine(machine),
            1 => {
                let down_for = simulation.rng.random_range(50 * MS..3 * SEC);
                simulation.restart_machine(machine, down_for);
            }
            _ => {}
        }
    }
    simulation.run_for_random(0..3 * SEC);
    if simulation.rng.random_bool(0.5) {
        fail_leader(simulation);
    }
}
