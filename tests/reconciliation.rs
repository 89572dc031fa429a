//! Reconciliation after a failover: the time until tasks are started again, and the safety rules when further faults
//! occur during reconciliation.

mod simulation;

use crowstall::model::*;
use crowstall::protocol::users::ClientRequest;
use rand::Rng;
use simulation::users::{User, spec};
use simulation::{CONTROLLERS, DELAY_PACKETS, Endpoint, FOREVER, LOSE_PACKETS, MS, SEC, Simulation, other_controllers};

/// Property that lets a restarted controller acquire leadership of its former process's shards without waiting for the
/// former process's lease to expire.
const RECLAIM: &str = "recovery.reclaim";
/// Property that lets a new leader start tasks that do not depend on unreconciled machines before these are reconciled.
const PIECEWISE: &str = "recovery.piecewise";
/// Property that lets a leader start tasks during an outage of the state service.
const HOLD_ON: &str = "recovery.hold-on";

/// Adds services and job arrays of the team without a quota, and runs the simulation until their tasks are running.
fn start_workload(mut simulation: Simulation) -> Simulation {
    simulation.add_services();
    for id in 100..112 {
        let mut job = spec(id, JobKind::Array, "free", 20, 2.0);
        job.spot = true;
        let submit_at = 5 * SEC + simulation.rng.random_range(0..20 * SEC);
        simulation.add_user(job, 6 * SEC, submit_at, None, false);
    }
    simulation.run_until(30 * SEC);
    simulation
}

/// Crashes the leader and returns the time from its restart until the shard's record names another process, in
/// milliseconds, or `None` if that takes longer than 10 s.
fn acquisition_after_restart(mut simulation: Simulation) -> Option<u64> {
    let node = simulation.current_leader();
    let before = simulation.state_service.get("shard/0").cloned();
    simulation.crash(node, 500 * MS);
    let restarted_at = simulation.now + 500 * MS;
    while simulation.now < restarted_at + 10 * SEC {
        simulation.run_for(10 * MS);
        let record = simulation.state_service.get("shard/0");
        if record.is_some() && record != before.as_ref() {
            simulation.assert_no_violations();
            return Some((simulation.now - restarted_at) / MS);
        }
    }
    None
}

#[test]
fn restarted_leader_does_not_wait_for_its_own_former_term() {
    let reclaim_ms = acquisition_after_restart(start_workload(Simulation::with_one_shard(1, [12, 12])));
    assert!(reclaim_ms.is_some_and(|ms| ms <= 300), "leadership acquired {reclaim_ms:?} ms after the restart");
    let control_ms =
        acquisition_after_restart(start_workload(Simulation::with_one_shard_without(1, [12, 12], RECLAIM)));
    assert!(
        control_ms.is_none_or(|ms| ms > 1500),
        "control run: acquired after {control_ms:?} ms although {RECLAIM} is off"
    );
}

/// Returns the number of completed tasks that were restricted to the zone `west`.
fn completed_in_the_west(simulation: &Simulation) -> usize {
    let is_in_the_west = |user: &&User| user.spec.zone == Some(Name::new("west"));
    let jobs = simulation.users.iter().filter(is_in_the_west);
    jobs.map(|user| simulation.completed_tasks_of(&user.spec.id)).sum()
}

/// Number of tasks that were completed in the zone without faults.
struct CompletedTasks {
    before_crash: usize,
    /// Number of completed tasks 12 s after the crash.
    after_crash: usize,
}

/// Crashes the leader and at the same time isolates all machines of the zone `east`, which the cloud refuses to delete.
fn crash_while_a_zone_is_isolated(mut simulation: Simulation) -> CompletedTasks {
    for id in 0..6 {
        let mut job = spec(id, JobKind::Array, "free", 40, 4.0);
        job.zone = Some(Name::new(if id % 2 == 0 { "east" } else { "west" }));
        simulation.add_user(job, 4 * SEC, 2 * SEC, None, false);
    }
    simulation.run_until(18 * SEC);
    let before_crash = completed_in_the_west(&simulation);
    let until = simulation.now + 25 * SEC;
    for machine in simulation.machines_where(|worker| worker.zone.as_str() == "east") {
        simulation.isolate(Endpoint::Machine(machine), until, DELAY_PACKETS);
    }
    simulation.cloud.deletes_refused_until = until;
    let node = simulation.current_leader();
    simulation.crash(node, 300 * MS);
    simulation.run_for(12 * SEC);
    simulation.assert_no_violations();
    let after_crash = completed_in_the_west(&simulation);
    simulation.run_until(until + 60 * SEC);
    simulation.assert_no_violations();
    assert_eq!(completed_in_the_west(&simulation), 120, "completed tasks of the zone without faults, of 120");
    CompletedTasks { before_crash, after_crash }
}

#[test]
fn tasks_that_cannot_run_on_unreconciled_machines_do_not_wait_for_these() {
    let with = crash_while_a_zone_is_isolated(Simulation::with_one_shard(5, [4, 0]));
    let without = crash_while_a_zone_is_isolated(Simulation::with_one_shard_without(5, [4, 0], PIECEWISE));
    let (before, with, without) = (with.before_crash, with.after_crash, without.after_crash);
    assert!(with >= before + 35, "{before} tasks completed before the crash, {with} after it");
    assert!(without + 15 <= with, "control run: {without} tasks completed without {PIECEWISE}, {with} with it");
}

/// Returns a machine other than `besides` that reports the first task of a job.
fn machine_with_first_task(simulation: &Simulation, job: &JobId, besides: Option<u32>) -> Option<u32> {
    let others = simulation.workers.values().filter(|worker| Some(worker.number) != besides);
    let mut with_task =
        others.filter(|worker| worker.tasks.keys().any(|(task, _)| task.job == *job && task.task.0 == 0));
    with_task.next().map(|worker| worker.number)
}

/// Makes the first task of a job fail on a machine to which all answers are lost, so that the machine keeps reporting
/// the failure, and waits until the task is started on another machine. Returns both machines.
fn fail_first_task(simulation: &mut Simulation, job: &JobId) -> (u32, u32) {
    let first = machine_with_first_task(simulation, job, None).expect("the first task was started");
    let end = simulation.now + 8 * SEC;
    if let Some(worker) = simulation.workers.get_mut(&first) {
        (worker.faulty, worker.answers_lost_until) = (true, end);
        worker.tasks.iter_mut().filter(|((task, _), _)| task.job == *job).for_each(|(_, task)| task.until = 0);
    }
    let mut second = None;
    while second.is_none() && simulation.now < end {
        simulation.run_for(5 * MS);
        second = machine_with_first_task(simulation, job, Some(first));
    }
    if let Some(worker) = simulation.workers.get_mut(&first) {
        (worker.faulty, worker.answers_lost_until) = (false, 0);
    }
    (first, second.expect("the task was started on another machine"))
}

/// Guards against a task that is started a second time because a new leader learns of an old failed attempt first. The
/// task runs on another machine, which is isolated, while the machine of the failed attempt still reports the failure
/// and is reconciled first.
#[test]
fn failure_reported_after_failover_does_not_start_a_running_task_again() {
    let mut simulation = Simulation::with_one_shard(3, [3, 0]);
    simulation.cloud.reliable = true;
    for id in 0..6 {
        simulation.add_user(spec(id, JobKind::Service, "free", 2, 4.0), FOREVER, 2 * SEC, None, false);
    }
    simulation.run_until(14 * SEC);
    let job = simulation.users[0].spec.id.clone();
    let (first, second) = fail_first_task(&mut simulation, &job);
    simulation.run_for(1700 * MS);
    let still_reported = simulation.workers.get(&first).is_some_and(|worker| worker.has_task_of(&job));
    assert!(still_reported, "the first machine does not report the failure any more");
    let until = simulation.now + 8 * SEC;
    simulation.isolate(Endpoint::Machine(second), until, LOSE_PACKETS);
    simulation.cloud.deletes_refused_until = until;
    let node = simulation.current_leader();
    simulation.crash(node, 200 * MS);
    simulation.run_until(until + 20 * SEC);
    simulation.assert_no_violations();
}

/// Faults that affect the leader, and its successors during reconciliation.
#[derive(Clone, Copy, Debug)]
enum RecoveryFaults {
    /// All running controllers crash during the failover, and the next leader crashes after it.
    RepeatedCrashes,
    /// All controllers crash during an outage of the state service, which then refuses the restarted ones.
    CrashesInOutage,
    /// The leader is isolated for 21 s, after which all of its packets are delivered.
    DelayedPackets,
    /// The leader is isolated and restarts during the isolation.
    CrashDuringIsolation,
    /// Half of the machines are isolated when the leader crashes.
    IsolatedMachines,
    /// No controller can reach another one when the leader crashes.
    ControllersPartitioned,
    /// The state service refuses the restarted leader.
    RefusedByStateService,
    /// The leader's calls arrive at the state service after its restart.
    DelayedStateCalls,
    /// The leader is isolated with half of the machines while its successor cancels jobs.
    IsolationWithMachines,
    /// Controllers restart one after another, as in a rolling update.
    RollingRestart,
}

impl RecoveryFaults {
    const ALL: [RecoveryFaults; 10] = [
        RecoveryFaults::RepeatedCrashes,
        RecoveryFaults::CrashesInOutage,
        RecoveryFaults::DelayedPackets,
        RecoveryFaults::CrashDuringIsolation,
        RecoveryFaults::IsolatedMachines,
        RecoveryFaults::ControllersPartitioned,
        RecoveryFaults::RefusedByStateService,
        RecoveryFaults::DelayedStateCalls,
        RecoveryFaults::IsolationWithMachines,
        RecoveryFaults::RollingRestart,
    ];

    #[expect(clippy::too_many_lines, reason = "one arm for each fault")]
    fn inject(self, simulation: &mut Simulation) {
        let node = simulation.current_leader();
        let leader = Endpoint::Controller(node);
        let now = simulation.now;
        let delay_packets = simulation.rng.random_bool(0.5);
        match self {
            RecoveryFaults::RepeatedCrashes => {
                simulation.crash(node, 400 * MS);
                simulation.run_for_random(400 * MS..1200 * MS);
                for node in simulation.running_controllers() {
                    simulation.crash(node, 300 * MS);
                }
                simulation.run_for(5 * SEC);
                let next = simulation.current_leader();
                simulation.crash(next, 5 * SEC);
            }
            RecoveryFaults::CrashesInOutage => {
                simulation.state_service.start_outage(now, 12 * SEC);
                simulation.run_for_random(SEC..11 * SEC);
                simulation.crash_all(SEC);
            }
            RecoveryFaults::DelayedPackets => {
                let services =
                    [Endpoint::StateService, Endpoint::Cloud, Endpoint::Users, Endpoint::AllMachines].into_iter();
                let all = services.chain((0..CONTROLLERS).map(Endpoint::Controller));
                simulation.partition(leader, all, now + 21 * SEC, DELAY_PACKETS);
            }
            RecoveryFaults::CrashDuringIsolation => {
                simulation.isolate(leader, now + 9 * SEC, delay_packets);
                simulation.run_for_random(SEC..8 * SEC);
                simulation.crash(node, SEC);
            }
            RecoveryFaults::IsolatedMachines => {
                for machine in simulation.machines_where(|worker| worker.number % 2 == 0) {
                    simulation.isolate(Endpoint::Machine(machine), now + 14 * SEC, delay_packets);
                }
                simulation.crash(node, SEC);
            }
            RecoveryFaults::ControllersPartitioned => {
                simulation.partition_controllers(now + 20 * SEC, delay_packets);
                simulation.crash(node, SEC);
            }
            RecoveryFaults::RefusedByStateService => {
                simulation.state_service.refused_until[node] = now + 12 * SEC;
                simulation.crash(node, SEC);
            }
            RecoveryFaults::DelayedStateCalls => {
                simulation.partition(leader, [Endpoint::StateService], now + 3 * SEC, DELAY_PACKETS);
                simulation.run_until(now + 500 * MS);
                simulation.crash(node, 300 * MS);
            }
            RecoveryFaults::IsolationWithMachines => {
                add_jobs_that_fail_or_are_cancelled(simulation);
                simulation.run_until(now + 2 * SEC);
                let services = [Endpoint::StateService, Endpoint::Cloud, Endpoint::Users];
                let outside = other_controllers(node).chain(services);
                simulation.isolate_with_every_other_machine(node, outside, now + 34 * SEC, delay_packets);
            }
            RecoveryFaults::RollingRestart => {
                for node in 0..CONTROLLERS {
                    simulation.crash(node, SEC);
                    simulation.run_for(6 * SEC);
                }
            }
        }
    }
}

/// Adds job arrays of the team with a quota, some of which fail or are cancelled.
fn add_jobs_that_fail_or_are_cancelled(simulation: &mut Simulation) {
    for id in 200..206 {
        let mut job = spec(id, JobKind::Array, "limited", 8, 2.0);
        job.spread = id % 2 == 0;
        let cancel_after = (id % 3 == 0).then_some(9 * SEC);
        let fails = id % 3 == 0 && id % 2 == 0;
        simulation.add_user(job, 3 * SEC, simulation.now, cancel_after, fails);
    }
}

#[test]
fn safety_rules_hold_when_reconciliation_is_interrupted() {
    for faults in RecoveryFaults::ALL {
        for seed in 400..406 {
            let mut simulation = start_workload(Simulation::with_one_shard(seed, [12, 12]));
            faults.inject(&mut simulation);
            simulation.run_for(90 * SEC);
            simulation.assert_no_violations_in(format_args!("{faults:?},"));
            simulation.assert_no_unfinished_jobs_in(format_args!("{faults:?},"));
            assert_eq!(simulation.running_tasks(), 28, "{faults:?}, seed {seed}: running tasks at the end");
        }
    }
}

/// Returns the number of tasks that are started from 6 s to 16 s after the beginning of an outage of the state service.
fn starts_in_outage(mut simulation: Simulation) -> u64 {
    for id in 0..4 {
        simulation.add_user(spec(id, JobKind::Array, "free", 200, 2.0), 2 * SEC, 2 * SEC, None, false);
    }
    simulation.run_until(20 * SEC);
    simulation.state_service.start_outage(simulation.now, 18 * SEC);
    simulation.run_for(6 * SEC);
    let before = simulation.task_starts;
    simulation.run_for(10 * SEC);
    let starts = simulation.task_starts - before;
    simulation.run_until(120 * SEC);
    simulation.assert_no_violations();
    assert_eq!(simulation.completed.len(), 800);
    starts
}

#[test]
fn tasks_are_started_in_an_outage_while_worker_leases_are_renewed() {
    let with = starts_in_outage(Simulation::with_one_shard(4, [6, 0]));
    let without = starts_in_outage(Simulation::with_one_shard_without(4, [6, 0], HOLD_ON));
    assert!(with >= 100 && without == 0, "{with} starts with {HOLD_ON}, {without} without it");
}

/// A controller that starts during an outage of the state service reports ready, so that users reach it and are told
/// when to retry. If the state service refuses only this controller, it reports not ready, so that users reach others.
#[test]
fn controller_started_in_an_outage_is_ready_unless_only_it_is_affected() {
    let readiness = |simulation: &mut Simulation, node: usize| {
        simulation.immediate_reply(node, ClientRequest::Up).map(|reply| reply.status)
    };
    for seed in 60..64 {
        let mut simulation = start_workload(Simulation::with_one_shard(seed, [12, 12]));
        let now = simulation.now;
        simulation.state_service.start_outage(now, 20 * SEC);
        simulation.run_until(now + 6 * SEC);
        simulation.crash_all(SEC);
        // Leaves time for the cloud to answer with the machine types: no controller is ready without them.
        simulation.run_until(now + 18 * SEC);
        for node in 0..CONTROLLERS {
            assert_eq!(
                readiness(&mut simulation, node),
                Some(200),
                "seed {seed}: readiness of controller {node} during the outage"
            );
        }
        // After the outage the state service refuses one controller, which restarts.
        simulation.state_service.refused_until[0] = now + 60 * SEC;
        simulation.run_until(now + 30 * SEC);
        simulation.crash(0, SEC);
        simulation.run_until(now + 36 * SEC);
        assert_eq!(
            readiness(&mut simulation, 0),
            Some(503),
            "seed {seed}: readiness of the controller that the state service refuses"
        );
        assert_eq!(readiness(&mut simulation, 1), Some(200), "seed {seed}: readiness of another controller");
        simulation.assert_no_violations();
    }
}

/// Returns the number of machines that are rented within 50 s. If `crash_at` is given, the leader crashes at that time,
/// while its first machines are booting.
fn machines_rented(seed: u64, crash_at: Option<u64>) -> u64 {
    let mut simulation = Simulation::with_one_shard(seed, [40, 40]);
    simulation.cloud.boot_time_factors = Some([Some(2.2), Some(2.2)]);
    for id in 0..10 {
        simulation.add_user(spec(id, JobKind::Service, "free", 3, 4.0), FOREVER, 2 * SEC, None, false);
    }
    if let Some(crash_at) = crash_at {
        simulation.run_until(crash_at);
        let node = simulation.current_leader();
        simulation.crash(node, 300 * MS);
    }
    simulation.run_until(50 * SEC);
    simulation.assert_no_violations();
    assert_eq!(simulation.running_tasks(), 30);
    simulation.cloud.rented
}

#[test]
fn machines_rented_by_the_former_leader_are_not_rented_again() {
    let rented = |crash_at: Option<u64>| -> u64 { (600..608).map(|seed| machines_rented(seed, crash_at)).sum() };
    let (without_crash, with_crash) = (rented(None), rented(Some(10 * SEC)));
    assert!(
        10 * with_crash <= 12 * without_crash,
        "{with_crash} machines rented in eight runs with a crash, {without_crash} without"
    );
}

/// Runs a scenario with two processes that have the same label by misconfiguration. With `same_address` they also have
/// the same address, which no real network allows.
fn run_with_duplicate_label(seed: u64, same_address: bool) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
    simulation.relabel(1, "perch-1", "10.0.0.2:8080");
    simulation.relabel(2, "perch-1", if same_address { "10.0.0.2:8080" } else { "10.0.0.3:8080" });
    for id in 0..10 {
        let cancel_after = (id % 2 == 0).then_some(20 * SEC);
        simulation.add_user(spec(id, JobKind::Service, "free", 2, 2.0), FOREVER, 4 * SEC, cancel_after, false);
    }
    for id in 100..130 {
        let submit_at = 5 * SEC + u64::from(id - 100) * SEC;
        simulation.add_user(spec(id, JobKind::Array, "limited", 6, 2.0), 3 * SEC, submit_at, None, false);
    }
    simulation.run_until(10 * SEC);
    for _ in 0..6 {
        simulation.run_for_random(2 * SEC..8 * SEC);
        let node = simulation.rng.random_range(0..CONTROLLERS);
        if simulation.is_up(node) {
            simulation.crash(node, SEC);
        }
    }
    simulation.run_for(60 * SEC);
    simulation
}

#[test]
fn two_processes_with_the_same_label_violate_no_rule() {
    for seed in 500..506 {
        run_with_duplicate_label(seed, false).assert_no_violations();
        // With the same address each takes the other's term for the term of its own former process.
        run_with_duplicate_label(seed, true).assert_no_violations();
    }
}
