//! Availability: users get answers and tasks keep running while controllers, machines and connections fail.

mod simulation;

use crowstall::model::*;
use rand::Rng;
use simulation::users::{User, spec};
use simulation::{
    CONTROLLERS, DELAY_PACKETS, Endpoint, FOREVER, LOSE_PACKETS, MS, SEC, Simulation, TemporaryFault, WORKER_LEASE,
    other_controllers,
};

/// Returns a simulation that runs services, and short job arrays submitted twice a second, so that tasks are always
/// waiting.
fn busy_cluster(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [6, 6]);
    simulation.cloud.reliable = true;
    simulation.add_services();
    for id in 100..220 {
        let mut job = spec(id, JobKind::Array, "free", 6, 2.0);
        job.spot = id % 2 == 0;
        let submit_at = 5 * SEC + u64::from(id - 100) * SEC / 2;
        simulation.add_user(job, 3 * SEC, submit_at, None, false);
    }
    simulation.run_until(25 * SEC);
    simulation
}

/// Loses all answers and commands to every `step`-th machine for `duration`. Returns the number of these machines.
fn lose_answers(simulation: &mut Simulation, step: usize, duration: u64) -> usize {
    let until = simulation.now + duration;
    let machines: Vec<u32> = simulation.machines().into_iter().step_by(step).collect();
    simulation.lose_answers_to(&machines, until);
    machines.len()
}

#[test]
fn few_starts_are_sent_to_machines_that_get_no_answers() {
    for seed in 0..4 {
        let mut simulation = busy_cluster(seed);
        let affected = lose_answers(&mut simulation, 5, 50 * SEC);
        simulation.run_until(70 * SEC);
        let lost = simulation.observations.lost_starts;
        assert!(lost <= 11 * affected as u64, "seed {seed}: {lost} starts sent to {affected} machines without answers");
        simulation.run_until(150 * SEC);
        simulation.assert_no_violations();
        simulation.assert_no_unfinished_jobs();
    }
}

/// Guards against healthy machines that are deleted because of a fault of the controllers or the network: if a large
/// part of the machines gets no answers, the cause is probably not in the machines.
#[test]
fn healthy_machines_are_not_returned_when_many_answers_are_lost() {
    let deleted_machines = |seed: u64, loses_answers: bool| {
        let mut simulation = busy_cluster(seed);
        let deleted = simulation.cloud.deleted;
        if loses_answers {
            lose_answers(&mut simulation, 2, 8 * SEC);
        }
        simulation.run_until(34 * SEC);
        simulation.assert_no_violations();
        simulation.cloud.deleted - deleted
    };
    for seed in 0..4 {
        let (usual, with_losses) = (deleted_machines(seed, false), deleted_machines(seed, true));
        assert!(
            with_losses <= usual + 2,
            "seed {seed}: {with_losses} machines deleted when answers are lost, {usual} otherwise"
        );
    }
}

/// Guards against machine records that are written for vanished machines. Worker heartbeats arrive a second time up to
/// three worker leases later, some of them from machines that have vanished in the meantime.
#[test]
fn late_duplicates_of_heartbeats_register_no_machine() {
    for seed in 0..6 {
        let mut simulation = busy_cluster(seed);
        simulation.duplicate_heartbeats = Some(TemporaryFault::new(70 * SEC, 3 * WORKER_LEASE));
        for _ in 0..12 {
            simulation.run_for(3 * SEC);
            let machines = simulation.machines();
            let machine = machines[simulation.rng.random_range(0..machines.len())];
            simulation.reclaim_machine(machine);
        }
        // One record is allowed: a machine may vanish while its first heartbeat is in transit.
        let recorded = simulation.observations.vanished_machines_recorded;
        assert!(recorded <= 1, "seed {seed}: {recorded} machines were recorded that had vanished");
        simulation.run_until(140 * SEC);
        simulation.assert_no_violations();
        simulation.assert_no_unfinished_jobs();
    }
}

/// Guards against restarts that go unnoticed because they are short. Controllers and machines restart within a fraction
/// of a second, also twice in a row and during a failover.
#[test]
fn quick_restarts_are_noticed() {
    for seed in 0..10 {
        let mut simulation = busy_cluster(seed);
        for round in 0..10 {
            let node = match round % 3 {
                0 => simulation.leader(0).unwrap_or(0),
                _ => simulation.rng.random_range(0..CONTROLLERS),
            };
            let down_for = simulation.rng.random_range(50 * MS..900 * MS);
            simulation.crash(node, down_for);
            for machine in simulation.machines_where(|worker| worker.number % 4 == round % 4) {
                let down_for = simulation.rng.random_range(50 * MS..900 * MS);
                simulation.restart_machine(machine, down_for);
            }
            simulation.run_for_random(100 * MS..4 * SEC);
        }
        simulation.liveness_checked_from = Some(simulation.now);
        simulation.run_for(120 * SEC);
        simulation.assert_no_violations();
        simulation.assert_no_unfinished_jobs();
    }
}

/// Guards against violations by a leader, deposed or not, that still reaches its workers and users, but no other
/// endpoint. The partitions last from less than the leader's lease to far longer.
#[test]
fn isolated_leader_with_workers_and_users_violates_no_rule() {
    for (seed, duration) in [(0, 3), (1, 8), (2, 20), (3, 40), (4, 90), (5, 150)] {
        let mut simulation = busy_cluster(seed);
        let node = simulation.current_leader();
        let until = simulation.now + duration * SEC;
        let outside = other_controllers(node).chain([Endpoint::StateService, Endpoint::Cloud]);
        simulation.partition(Endpoint::Controller(node), outside, until, seed % 2 == 0);
        simulation.liveness_checked_from = Some(simulation.now + 15 * SEC);
        simulation.run_until(until + 60 * SEC);
        simulation.assert_no_violations();
    }
}

/// Guards against submissions that are answered with 503 while no controller can reach another one, or during a
/// failover: a controller that cannot reach the leader has to accept them with hand-off records.
#[test]
fn every_controller_accepts_jobs_while_the_leader_is_unreachable() {
    let mut simulation = Simulation::with_one_shard(6, [10, 10]);
    simulation.run_until(8 * SEC);
    let until = 30 * SEC;
    simulation.partition_controllers(until, LOSE_PACKETS);
    for id in 0..30 {
        let submit_at = 11 * SEC + u64::from(id) * SEC / 2;
        simulation.add_user(spec(id, JobKind::Array, "free", 1, 1.0), SEC, submit_at, None, false);
    }
    simulation.run_until(until);
    let is_quick = |user: &&User| user.accepted_at.is_some_and(|at| at - user.submit_at < SEC);
    let accepted = simulation.users.iter().filter(is_quick).count();
    assert!(accepted >= 27, "{accepted} of 30 jobs were accepted within a second");
    // The leader finds the hand-off records and executes the jobs.
    let done = simulation.completed.len();
    assert!(done >= 24, "{done} of 30 jobs are done before the partition ends");
    simulation.run_until(90 * SEC);
    simulation.assert_no_violations();
    simulation.assert_accepted_jobs_ended();
    simulation.assert_jobs_accepted_except(2);
}

/// Guards against a reconciliation that waits for vanished machines: for 25 s after a crash of the controllers, tasks
/// of machines that vanished at the same time were not started again.
#[test]
fn failover_does_not_wait_for_vanished_machines() {
    let mut simulation = Simulation::with_one_shard(7, [12, 12]);
    for id in 0..12 {
        simulation.add_user(spec(id, JobKind::Service, "free", 3, 2.0), FOREVER, 2 * SEC, None, false);
    }
    simulation.run_until(30 * SEC);
    assert_eq!(simulation.running_tasks(), 36);
    let machines = simulation.machines_where(|worker| !worker.tasks.is_empty());
    machines.iter().take(machines.len() / 3).for_each(|machine| simulation.reclaim_machine(*machine));
    simulation.crash_all(SEC);
    assert!(simulation.running_tasks() < 36);
    simulation.run_until(48 * SEC);
    simulation.assert_no_violations();
    assert_eq!(simulation.running_tasks(), 36, "running tasks 18 s after the crash");
}

/// Guards against polls that exceed the state service's rate limit. When controllers that do not lead the shard read
/// the job's record for every poll, they exceeded the limit.
#[test]
fn polls_are_forwarded_to_the_leader() {
    let mut simulation = Simulation::with_one_shard(8, [12, 12]);
    for id in 0..60 {
        simulation.add_user(spec(id, JobKind::Service, "free", 1, 1.0), FOREVER, 3 * SEC, None, false);
    }
    simulation.run_until(10 * SEC);
    let before: u64 = simulation.state_service.reads.iter().sum();
    simulation.run_until(40 * SEC);
    let reads = simulation.state_service.reads.iter().sum::<u64>() - before;
    simulation.assert_no_violations();
    // A few polls are for unknown jobs, for which the records have to be read.
    assert!(reads < 60, "{reads} reads at the state service for about 500 polls");
}

/// Cluster whose leader has been cut off from some endpoints for 29 s.
struct CutOffLeader {
    simulation: Simulation,
    /// Leader before the partition.
    leader: usize,
    /// Number of worker leases that expired during the partition.
    expired_leases: u64,
}

/// Cuts off the leader from the endpoints `from` for 30 s, after a failover if `after_failover` is set.
fn cut_off_leader(seed: u64, delay_packets: bool, after_failover: bool, from: &[Endpoint]) -> CutOffLeader {
    let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
    // Faulty machines would be deleted, and the test compares the number of machines.
    simulation.cloud.reliable = true;
    for id in 0..12 {
        simulation.add_user(spec(id, JobKind::Service, "free", 3, 2.0), FOREVER, 2 * SEC, None, false);
    }
    simulation.run_until(30 * SEC);
    if after_failover {
        let first = simulation.current_leader();
        simulation.crash(first, 3 * SEC);
        simulation.run_until(55 * SEC);
    }
    let leader = simulation.current_leader();
    let epochs = |simulation: &Simulation| simulation.workers.values().map(|worker| worker.epoch).sum::<u64>();
    let (epochs_before, machines_before) = (epochs(&simulation), simulation.workers.len());
    let until = simulation.now + 30 * SEC;
    simulation.partition(Endpoint::Controller(leader), from.iter().copied(), until, delay_packets);
    simulation.run_until(until - SEC);
    let machines = simulation.workers.len();
    assert!(
        machines >= machines_before,
        "machines were deleted: {machines_before} before the partition, {machines} at its end"
    );
    let expired_leases = epochs(&simulation) - epochs_before - (machines - machines_before) as u64;
    CutOffLeader { simulation, leader, expired_leases }
}

/// Guards against the loss of all tasks when the leader reaches every endpoint but the workers. It keeps its shard, so
/// the other controllers have to relay worker heartbeats to it, or else all worker leases expire.
#[test]
fn heartbeats_are_relayed_to_a_leader_that_workers_cannot_reach() {
    let cases =
        [(20, LOSE_PACKETS, false), (21, DELAY_PACKETS, false), (22, LOSE_PACKETS, true), (23, DELAY_PACKETS, true)];
    for (seed, delay_packets, after_failover) in cases {
        let CutOffLeader { mut simulation, leader, expired_leases } =
            cut_off_leader(seed, delay_packets, after_failover, &[Endpoint::AllMachines]);
        assert_eq!(expired_leases, 0, "seed {seed}: expired worker leases");
        assert_eq!(simulation.leader(0), Some(leader), "seed {seed}: the leader was replaced");
        simulation.assert_no_violations();
        // A job that is submitted at the end of the partition is executed as well.
        let submit_at = simulation.now + SEC;
        simulation.add_user(spec(50, JobKind::Array, "free", 4, 1.0), SEC, submit_at, None, false);
        simulation.run_until(submit_at + 90 * SEC);
        simulation.assert_no_violations();
        let new_job = simulation.users.last().expect("a user was added");
        assert!(new_job.done_at.is_some(), "seed {seed}: the new job is not done");
    }
}

/// Guards against a shard without progress: a leader that reaches neither workers nor other controllers can still renew
/// its lease at the state service, but cannot start tasks.
#[test]
fn isolated_leader_steps_down() {
    for (seed, delay_packets) in [(30, LOSE_PACKETS), (31, DELAY_PACKETS)] {
        let controllers = (0..CONTROLLERS).map(Endpoint::Controller);
        let from: Vec<Endpoint> = controllers.chain([Endpoint::AllMachines]).collect();
        let CutOffLeader { simulation, leader, expired_leases } = cut_off_leader(seed, delay_packets, false, &from);
        simulation.assert_no_violations();
        let now = simulation.leader(0);
        assert!(
            now.is_some_and(|now| now != leader),
            "seed {seed}: leader {now:?} at the end of the partition, {leader} before it"
        );
        assert!(delay_packets || expired_leases == 0, "seed {seed}: {expired_leases} worker leases expired");
    }
}

/// Guards against controllers that take over the shard from each other again and again while none of them reaches
/// another controller or a worker.
#[test]
fn leadership_rarely_changes_among_isolated_controllers() {
    let mut simulation = Simulation::with_one_shard(32, [12, 12]);
    simulation.add_user(spec(1, JobKind::Service, "free", 3, 2.0), FOREVER, 2 * SEC, None, false);
    simulation.run_until(30 * SEC);
    let until = 150 * SEC;
    for node in 0..CONTROLLERS {
        let others = (node + 1..CONTROLLERS).map(Endpoint::Controller);
        let outside = [Endpoint::AllMachines].into_iter().chain(others);
        simulation.partition(Endpoint::Controller(node), outside, until, LOSE_PACKETS);
    }
    let mut changes = 0;
    let mut last = simulation.leader(0);
    while simulation.now < until {
        simulation.run_for(SEC / 5);
        let now = simulation.leader(0);
        changes += u32::from(now.is_some() && now != last);
        last = now.or(last);
    }
    // Each controller backs off for 20, 40 and 80 s before it acquires leadership again.
    assert!(changes <= 9, "the leader changed {changes} times in 120 s");
    simulation.run_until(200 * SEC);
    simulation.assert_no_violations();
    assert_eq!(simulation.running_tasks_of(&JobId::new("wk-000001")), 3);
}

/// Guards against final records that use up the state service's write limit. When hundreds of small jobs ended
/// together, most of these writes were refused and retried again and again, and with them submissions, polls and lease
/// keep-alives were refused.
#[test]
fn hundreds_of_jobs_that_end_together_stay_within_the_write_limit() {
    let mut simulation = Simulation::with_one_shard(50, [20, 20]);
    simulation.run_until(6 * SEC);
    for id in 0..300 {
        let submit_at = 6 * SEC + simulation.rng.random_range(0..12 * SEC);
        simulation.add_user(spec(id, JobKind::Array, "free", 1, 0.5), 18 * SEC, submit_at, None, false);
    }
    // An outage of 3 s while the jobs end delays their final records, which are then due all at once.
    simulation.run_until(26 * SEC);
    let before = simulation.state_service.over_limit_refusals;
    simulation.state_service.start_outage(26 * SEC, 3 * SEC);
    simulation.run_until(75 * SEC);
    simulation.assert_no_violations();
    let over_limit_refusals = simulation.state_service.over_limit_refusals - before;
    assert!(over_limit_refusals < 60, "{over_limit_refusals} requests refused because of the rate limit");
    let done = simulation.users.iter().filter(|user| user.done_at.is_some()).count();
    assert!(done >= 295, "{done} of 300 jobs are done");
}
