//! Tests of partitions that heal for less than a heartbeat interval.

use crate::simulation::users::spec;
use crate::simulation::{
    DELAY_PACKETS, Endpoint, FOREVER, LOSE_PACKETS, MS, SEC, Simulation, WORKER_LEASE, other_controllers,
};
use crowstall::model::*;
use rand::Rng;

/// Number of services, each with one task that takes half of a machine.
const SERVICES: u32 = 40;
/// Duration of the second partition: longer than a worker lease.
const SECOND_PARTITION: u64 = WORKER_LEASE + 4 * SEC;

/// Separates a controller and all machines from the other controllers, the services and the users. Heartbeats are
/// delivered once the partition has healed; connections to the machines are given up.
fn isolate_with_all_machines(simulation: &mut Simulation, node: usize, until: u64) {
    let outside = other_controllers(node).chain([Endpoint::StateService, Endpoint::Cloud, Endpoint::Users]);
    simulation.partition(Endpoint::Controller(node), outside, until, DELAY_PACKETS);
    for other in other_controllers(node) {
        simulation.partition_one_way(Endpoint::AllMachines, other, until, DELAY_PACKETS);
        simulation.partition_one_way(other, Endpoint::AllMachines, until, LOSE_PACKETS);
    }
}

/// Runs a simulation in which the leader is isolated together with all machines, and replaced. Users cancel all jobs at
/// its successor. Shortly before the leases that the isolated leader has renewed end, the partition heals for less than
/// a heartbeat interval, so that the workers send one heartbeat to the successor.
fn cancel_during_interrupted_partition(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [24, 24]);
    simulation.cloud.reliable = true;
    let isolated_at = 40 * SEC;
    for id in 0..SERVICES {
        let submit_at = 2 * SEC + u64::from(id) * 100 * MS;
        let cancel_after = isolated_at + SEC - submit_at;
        simulation.add_user(spec(id, JobKind::Service, "free", 1, 4.0), FOREVER, submit_at, Some(cancel_after), false);
    }
    simulation.run_until(isolated_at);
    let node = simulation.current_leader();
    let healed_at = isolated_at + simulation.rng.random_range(27 * SEC..30 * SEC);
    isolate_with_all_machines(&mut simulation, node, healed_at);
    simulation.run_until(healed_at);
    simulation.run_for_random(10 * MS..60 * MS);
    let until = simulation.now + SECOND_PARTITION;
    isolate_with_all_machines(&mut simulation, node, until);
    simulation.run_until(until + SEC);
    simulation
}

/// Guards against a worker lease that is renewed by an answer which does not stop the tasks of cancelled jobs.
#[test]
fn cancelled_tasks_end_in_time_if_a_partition_heals_for_less_than_a_heartbeat() {
    let mut confirmed = 0;
    for seed in 0..20 {
        let simulation = cancel_during_interrupted_partition(seed);
        simulation.assert_no_violations();
        let is_early = |at: u64| at < 50 * SEC;
        confirmed += simulation.users.iter().filter(|user| user.cancelled_at.is_some_and(is_early)).count();
    }
    assert!(confirmed >= 20 * SERVICES as usize / 2, "only {confirmed} cancellations were confirmed in the first cut");
}
