//! Tests of leaders that start tasks without a valid leader lease, since the state service does not answer them.

use crate::simulation::users::spec;
use crate::simulation::{CONTROLLERS, Endpoint, LOSE_PACKETS, MS, SEC, Simulation, other_controllers};
use crowstall::model::*;

/// Adds job arrays whose tasks take all machines for the whole simulation.
fn add_long_queue(simulation: &mut Simulation) {
    for id in 0..40 {
        let run_time = 4 * SEC + u64::from(id % 7) * SEC;
        let job = spec(id, JobKind::Array, "free", 12, 2.0);
        simulation.add_user(job, run_time, 3 * SEC + u64::from(id) * 100 * MS, None, false);
    }
}

/// Replaces a leader that loses the state service, the other controllers and, for some seconds, its workers. Then the
/// agents of half of the machines restart, some of them without their fencing token, and look for a controller.
fn restart_agents_beside_deposed_leader(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [8, 8]);
    simulation.cloud.reliable = true;
    add_long_queue(&mut simulation);
    simulation.run_until(20 * SEC);
    let (node, until) = (simulation.current_leader(), simulation.now + 40 * SEC);
    let leader = Endpoint::Controller(node);
    let outside = other_controllers(node).chain([Endpoint::StateService]);
    simulation.partition(leader, outside, until, LOSE_PACKETS);
    simulation.partition(leader, [Endpoint::AllMachines], simulation.now + 6 * SEC, LOSE_PACKETS);
    simulation.run_for(8 * SEC);
    let successor = simulation.current_leader();
    assert_ne!(successor, node, "seed {seed}: the leader was not replaced");
    for machine in simulation.some_machines(2) {
        simulation.restart_machine(machine, 100 * MS);
    }
    for other in (0..CONTROLLERS).filter(|other| *other != node) {
        simulation.crash(other, 6 * SEC);
    }
    simulation.run_for(15 * SEC);
    simulation
}

/// Guards against a deposed leader whose commands are obeyed by a worker that has forgotten its successor's token.
#[test]
fn deposed_leader_starts_no_task_twice_on_a_machine_whose_agent_has_forgotten_the_token() {
    for seed in 0..12 {
        restart_agents_beside_deposed_leader(seed).assert_no_violations();
    }
}
