//! Failover: the time until the leader of a shard is replaced after a failure, and the safety rules while a deposed
//! leader and its successor act at the same time.

mod simulation;

use crowstall::model::*;
use crowstall::protocol::users::ClientRequest;
use rand::Rng;
use simulation::state_service::WatchBehaviour;
use simulation::user_requests::StaleAnswers;
use simulation::users::spec;
use simulation::{
    CONTROLLERS, DELAY_PACKETS, DisabledSafeguard, Endpoint, FOREVER, LOSE_PACKETS, MS, Rule, SEC, Simulation,
    other_controllers,
};

/// Property that makes the other controllers monitor the leader and take over before its node lease expires.
const STANDBY: &str = "standby.enabled";

/// Number of service tasks that run in the workload of these tests.
const SERVICE_TASKS: usize = 28;

/// Returns a simulation of one shard that runs services and job arrays of a team with a quota (`limited`) and of one
/// without (`free`). Throughout the run jobs are submitted, complete or are cancelled.
fn busy_cluster(seed: u64) -> Simulation {
    start_workload(Simulation::with_one_shard(seed, [12, 12]))
}

/// Adds the workload and runs the simulation until its tasks are running.
fn start_workload(mut simulation: Simulation) -> Simulation {
    simulation.add_services();
    for id in 100..160 {
        let team = if id % 4 == 0 { "limited" } else { "free" };
        let mut job = spec(id, JobKind::Array, team, 1 + id % 9, 2.0);
        job.spot = id % 2 == 0;
        job.spread = id % 5 == 0;
        let run_time = simulation.rng.random_range(SEC..5 * SEC);
        let submit_at = 5 * SEC + u64::from(id - 100) * SEC;
        let cancel_after = (id % 6 == 0).then(|| simulation.rng.random_range(SEC..12 * SEC));
        simulation.add_user(job, run_time, submit_at, cancel_after, false);
    }
    simulation.run_until(30 * SEC);
    simulation
}

/// Failure after which the leader has to be replaced.
#[derive(Clone, Copy, Debug)]
enum LeaderFailure {
    Crash,
    Freeze,
    CutOffFromStateService,
    RefusedByStateService,
}

/// Makes the leader fail and returns the time until it is replaced, in milliseconds, or `None` if it has not been
/// replaced within 10 s.
fn time_to_failover(mut simulation: Simulation, failure: LeaderFailure) -> Option<u64> {
    let node = simulation.current_leader();
    let now = simulation.now;
    let until = now + 20 * SEC;
    match failure {
        LeaderFailure::Crash => simulation.crash(node, 20 * SEC),
        LeaderFailure::Freeze => simulation.freeze(node, 20 * SEC),
        LeaderFailure::RefusedByStateService => simulation.state_service.refused_until[node] = until,
        LeaderFailure::CutOffFromStateService => {
            simulation.partition(Endpoint::Controller(node), [Endpoint::StateService], until, LOSE_PACKETS);
        }
    }
    while simulation.now < now + 10 * SEC {
        simulation.run_for(10 * MS);
        simulation.assert_no_violations_in(format_args!("{failure:?},"));
        if simulation.leader(0).is_some_and(|other| other != node) {
            return Some((simulation.now - now) / MS);
        }
    }
    None
}

#[test]
fn failed_leader_is_replaced_long_before_its_node_lease_expires() {
    let failures = [
        LeaderFailure::Crash,
        LeaderFailure::Freeze,
        LeaderFailure::CutOffFromStateService,
        LeaderFailure::RefusedByStateService,
    ];
    for failure in failures {
        for seed in 1..5 {
            let failover_ms = time_to_failover(busy_cluster(seed), failure);
            assert!(
                failover_ms.is_some_and(|ms| ms <= 2200),
                "{failure:?}, seed {seed}: leader replaced after {failover_ms:?} ms"
            );
        }
        let simulation = start_workload(Simulation::with_one_shard_without(1, [12, 12], STANDBY));
        let control_ms = time_to_failover(simulation, failure);
        assert!(
            control_ms.is_none_or(|ms| ms > 3000),
            "control run: {failure:?}: leader replaced after {control_ms:?} ms although {STANDBY} is off"
        );
    }
}

/// Fault after which the leader must stay, because it is running and reaches the state service.
#[derive(Clone, Copy, Debug)]
enum HarmlessFault {
    /// The leader cannot reach the other controllers, but still writes its liveness record.
    LeaderCutOffFromControllers,
    /// No controller can reach another one.
    ControllersPartitioned,
    /// The leader cannot reach one controller; the third controller reaches both.
    LeaderCutOffFromOneController,
    LeaderCutOffFromUsers,
    /// The leader cannot reach its workers; the other controllers relay their heartbeats.
    LeaderCutOffFromMachines,
    /// The leader is frozen for less than the timeout of the failure detector.
    ShortFreezeOfLeader,
    /// Another controller is frozen, so that after the freeze all others appear silent to it.
    FreezeOfAnotherController,
}

impl HarmlessFault {
    const ALL: [HarmlessFault; 7] = [
        HarmlessFault::LeaderCutOffFromControllers,
        HarmlessFault::ControllersPartitioned,
        HarmlessFault::LeaderCutOffFromOneController,
        HarmlessFault::LeaderCutOffFromUsers,
        HarmlessFault::LeaderCutOffFromMachines,
        HarmlessFault::ShortFreezeOfLeader,
        HarmlessFault::FreezeOfAnotherController,
    ];

    fn inject(self, simulation: &mut Simulation, node: usize, until: u64, delay_packets: bool) {
        let leader = Endpoint::Controller(node);
        let another = (node + 1) % CONTROLLERS;
        match self {
            HarmlessFault::LeaderCutOffFromControllers => {
                simulation.partition(leader, other_controllers(node), until, delay_packets);
            }
            HarmlessFault::ControllersPartitioned => simulation.partition_controllers(until, delay_packets),
            HarmlessFault::LeaderCutOffFromOneController => {
                simulation.partition(leader, [Endpoint::Controller(another)], until, delay_packets);
            }
            HarmlessFault::LeaderCutOffFromUsers => {
                simulation.partition(leader, [Endpoint::Users], until, delay_packets);
            }
            HarmlessFault::LeaderCutOffFromMachines => {
                simulation.partition(leader, [Endpoint::AllMachines], until, delay_packets);
            }
            HarmlessFault::ShortFreezeOfLeader => simulation.freeze(node, 700 * MS),
            HarmlessFault::FreezeOfAnotherController => simulation.freeze(another, 6 * SEC),
        }
    }
}

#[test]
fn running_leader_that_reaches_the_state_service_is_not_replaced() {
    for fault in HarmlessFault::ALL {
        for seed in 20..24 {
            let mut simulation = busy_cluster(seed);
            let node = simulation.current_leader();
            let until = simulation.now + 15 * SEC;
            fault.inject(&mut simulation, node, until, seed % 2 == 0);
            simulation.run_until(until);
            simulation.assert_no_violations_in(format_args!("{fault:?},"));
            assert_eq!(simulation.leader(0), Some(node), "{fault:?}, seed {seed}: the leader was replaced");
        }
    }
}

/// Guards against the replacement of a running leader by a controller that reads stale data. The controller gets no
/// heartbeats from the leader, and its listing of the shards' keys is frozen, so that the leader's later liveness
/// records are missing. An attempt to acquire leadership is conditional on the last known revision of the liveness
/// record and has to fail.
#[test]
fn liveness_record_that_is_seen_late_prevents_a_failover() {
    for seed in 30..34 {
        let mut simulation = busy_cluster(seed);
        let (node, now) = (simulation.current_leader(), simulation.now);
        let until = now + 9 * SEC;
        simulation.partition(Endpoint::Controller(node), other_controllers(node), until, LOSE_PACKETS);
        let successor = (0..CONTROLLERS).find(|other| *other != node).unwrap_or(0);
        let third = CONTROLLERS - node - successor;
        simulation.state_service.freeze_shard_listing(successor);
        simulation.state_service.refused_until[third] = until;
        while simulation.now < now + 8 * SEC {
            simulation.run_for(100 * MS);
            assert_eq!(simulation.leader(0), Some(node), "seed {seed}: the leader was replaced");
        }
        simulation.assert_no_violations();
    }
}

/// Guards against shards without jobs that are repeatedly released to a controller which gets no answers from the state
/// service. The shards have no leader until that controller's attempt to acquire them has failed.
#[test]
fn no_shard_is_handed_to_a_controller_that_cannot_acquire_it() {
    for seed in 40..44 {
        let properties = "claim.life.ms = 9000";
        let simulation = Simulation::with_one_shard_and_properties(seed, [12, 12], properties);
        let mut simulation = start_workload(simulation);
        let (node, now) = (simulation.current_leader(), simulation.now);
        simulation.partition(Endpoint::Controller(node), [Endpoint::StateService], now + 16 * SEC, LOSE_PACKETS);
        let mut changes = 0;
        let mut leaders_before = [None, None];
        while simulation.now < now + 14 * SEC {
            simulation.run_for(50 * MS);
            for (index, before) in leaders_before.iter_mut().enumerate() {
                let leader = simulation.leader(index as u32 + 1);
                changes += usize::from(leader != *before);
                *before = leader;
            }
        }
        assert!(changes <= 6, "seed {seed}: {changes} leadership changes in two shards without jobs");
    }
}

/// Faults after which the leader is replaced. Some of them affect its successor as well.
#[derive(Clone, Copy, Debug)]
enum FailoverFaults {
    /// The leader is frozen for the given number of milliseconds.
    LeaderFrozen(u64),
    /// Another controller is frozen for the given number of milliseconds.
    OtherFrozen(u64),
    /// The leader is frozen, and then its successor while it takes over.
    LeaderAndSuccessorFrozen,
    /// The leader is frozen and resumes while it is being replaced.
    LeaderResumesDuringFailover,
    /// The leader and half of the machines are isolated for the given number of seconds, and still reach each other.
    IsolatedWithMachines(u64),
    CutOffFromStateService,
    RefusedByStateService,
    /// The leader reaches only its workers, the users and the cloud.
    CutOffFromControllersAndStateService,
    /// The leader's leadership checks are answered late.
    DelayedLeadershipChecks,
    /// The leader, its successor and the leader after that crash one after another.
    RepeatedCrashes,
    /// The leader is frozen while no controller can reach another one, so that both others try to take over.
    FrozenDuringPartition,
    /// Some machines are reachable only by the leader, which is frozen.
    MachinesReachedByLeaderOnly,
    /// An outage of the state service begins during the failover.
    OutageDuringFailover,
    /// Some machines vanish, hang or are isolated during the failover.
    MachineFailuresDuringFailover,
}

impl FailoverFaults {
    const ALL: [FailoverFaults; 20] = [
        FailoverFaults::LeaderFrozen(1500),
        FailoverFaults::LeaderFrozen(3000),
        FailoverFaults::LeaderFrozen(12_000),
        FailoverFaults::LeaderFrozen(40_000),
        FailoverFaults::OtherFrozen(3000),
        FailoverFaults::OtherFrozen(12_000),
        FailoverFaults::OtherFrozen(40_000),
        FailoverFaults::LeaderAndSuccessorFrozen,
        FailoverFaults::LeaderResumesDuringFailover,
        FailoverFaults::IsolatedWithMachines(6),
        FailoverFaults::IsolatedWithMachines(34),
        FailoverFaults::CutOffFromStateService,
        FailoverFaults::RefusedByStateService,
        FailoverFaults::CutOffFromControllersAndStateService,
        FailoverFaults::DelayedLeadershipChecks,
        FailoverFaults::RepeatedCrashes,
        FailoverFaults::FrozenDuringPartition,
        FailoverFaults::MachinesReachedByLeaderOnly,
        FailoverFaults::OutageDuringFailover,
        FailoverFaults::MachineFailuresDuringFailover,
    ];

    #[expect(clippy::too_many_lines, reason = "one arm for each fault")]
    fn inject(self, simulation: &mut Simulation) {
        let node = simulation.current_leader();
        let leader = Endpoint::Controller(node);
        let successor = (node + 1) % CONTROLLERS;
        let now = simulation.now;
        let delay_packets = simulation.rng.random_bool(0.5);
        match self {
            FailoverFaults::LeaderFrozen(milliseconds) => simulation.freeze(node, milliseconds * MS),
            FailoverFaults::OtherFrozen(milliseconds) => simulation.freeze(successor, milliseconds * MS),
            FailoverFaults::LeaderAndSuccessorFrozen => {
                simulation.freeze(node, 12 * SEC);
                simulation.run_for_random(SEC..1600 * MS);
                simulation.freeze(successor, 5 * SEC);
            }
            FailoverFaults::LeaderResumesDuringFailover => {
                let duration = simulation.rng.random_range(1200 * MS..1700 * MS);
                simulation.freeze(node, duration);
            }
            FailoverFaults::IsolatedWithMachines(seconds) => {
                let services = [Endpoint::StateService, Endpoint::Cloud, Endpoint::Users];
                let outside = other_controllers(node).chain(services);
                simulation.isolate_with_every_other_machine(node, outside, now + seconds * SEC, delay_packets);
            }
            FailoverFaults::CutOffFromStateService => {
                simulation.partition(leader, [Endpoint::StateService], now + 20 * SEC, delay_packets);
            }
            FailoverFaults::RefusedByStateService => {
                simulation.state_service.refused_until[node] = now + 20 * SEC;
            }
            FailoverFaults::CutOffFromControllersAndStateService => {
                let outside = other_controllers(node).chain([Endpoint::StateService]);
                simulation.partition(leader, outside, now + 20 * SEC, delay_packets);
            }
            FailoverFaults::DelayedLeadershipChecks => {
                let pause = simulation.rng.random_range(100 * MS..900 * MS);
                simulation.partition(leader, [Endpoint::StateService], now + pause, delay_packets);
                simulation.freeze(node, pause + 800 * MS);
            }
            FailoverFaults::RepeatedCrashes => {
                for round in 0..3 {
                    let node = simulation.current_leader();
                    simulation.crash(node, 3 * SEC);
                    simulation.run_for_random(1300 * MS..(2 + round) * SEC);
                }
            }
            FailoverFaults::FrozenDuringPartition => {
                simulation.partition_controllers(now + 12 * SEC, delay_packets);
                simulation.freeze(node, 5 * SEC);
            }
            FailoverFaults::MachinesReachedByLeaderOnly => {
                for machine in simulation.machines_where(|worker| worker.number % 3 == 0) {
                    let machine = Endpoint::Machine(machine);
                    simulation.isolate_from_other_controllers(machine, node, now + 25 * SEC, delay_packets);
                }
                simulation.freeze(node, 2500 * MS);
            }
            FailoverFaults::OutageDuringFailover => {
                simulation.freeze(node, 6 * SEC);
                simulation.run_for_random(SEC..1700 * MS);
                simulation.state_service.start_outage(simulation.now, 8 * SEC);
            }
            FailoverFaults::MachineFailuresDuringFailover => {
                simulation.freeze(node, 4 * SEC);
                fail_machines(simulation, delay_packets);
            }
        }
    }
}

/// Reclaims a fifth of the machines, hangs a fifth, and isolates a fifth.
fn fail_machines(simulation: &mut Simulation, delay_packets: bool) {
    for machine in simulation.machines() {
        let until = simulation.now + simulation.rng.random_range(SEC..16 * SEC);
        match machine % 5 {
            0 => simulation.reclaim_machine(machine),
            1 => simulation.hang_machines(&[machine], until),
            2 => simulation.isolate(Endpoint::Machine(machine), until, delay_packets),
            _ => {}
        }
    }
}

/// Starts the workload, injects the faults, and runs for another 100 s, in which the cluster has to recover.
fn run_with_faults(simulation: Simulation, faults: FailoverFaults) -> Simulation {
    let mut simulation = start_workload(simulation);
    faults.inject(&mut simulation);
    simulation.run_for(100 * SEC);
    simulation
}

#[test]
fn safety_rules_hold_while_a_deposed_leader_still_acts() {
    for faults in FailoverFaults::ALL {
        for seed in 700..706 {
            let simulation = run_with_faults(Simulation::with_one_shard(seed, [12, 12]), faults);
            simulation.assert_no_violations_in(format_args!("{faults:?},"));
            simulation.assert_no_unfinished_jobs_in(format_args!("{faults:?},"));
            let running = simulation.running_tasks();
            assert_eq!(running, SERVICE_TASKS, "{faults:?}, seed {seed}: running tasks at the end");
        }
    }
}

/// Guards against a failover that relies on an up-to-date watch cache. However the watch behaves, the successor has to
/// load the records in time, and must not serve anything from a cache that is older than its term.
#[test]
fn failover_does_not_depend_on_a_synced_watch_cache() {
    let behaviours =
        [(WatchBehaviour::Normal, 2200), (WatchBehaviour::CompactsSoon, 2600), (WatchBehaviour::Lags, 2600)];
    let cases = [
        (900, FailoverFaults::LeaderFrozen(3000)),
        (901, FailoverFaults::LeaderFrozen(12_000)),
        (902, FailoverFaults::LeaderAndSuccessorFrozen),
        (903, FailoverFaults::RepeatedCrashes),
        (904, FailoverFaults::OutageDuringFailover),
    ];
    for (behaviour, max_ms) in behaviours {
        for (seed, faults) in cases {
            let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
            simulation.state_service.watch_behaviour = behaviour;
            let simulation = run_with_faults(simulation, faults);
            simulation.assert_no_violations_in(format_args!("{behaviour:?}, {faults:?},"));
            let running = simulation.running_tasks();
            assert_eq!(running, SERVICE_TASKS, "{behaviour:?}, {faults:?}, seed {seed}: running tasks at the end");
        }
        check_records_are_loaded_in_time(behaviour, max_ms);
    }
}

/// Checks that `max_ms` milliseconds after a crash of the leader its successor has loaded the records.
fn check_records_are_loaded_in_time(behaviour: WatchBehaviour, max_ms: u64) {
    let mut simulation = Simulation::with_one_shard(910, [12, 12]);
    simulation.state_service.watch_behaviour = behaviour;
    let mut simulation = start_workload(simulation);
    let node = simulation.current_leader();
    simulation.crash(node, 20 * SEC);
    simulation.run_for(max_ms * MS);
    let successor = simulation.current_leader();
    assert_ne!(successor, node, "{behaviour:?}: leader not replaced {max_ms} ms after the crash");
    let loaded = simulation.recovery_status(successor)["loaded_ms"].as_u64();
    assert!(loaded.is_some(), "{behaviour:?}: records not loaded {max_ms} ms after the crash");
}

/// Number of watch calls and of changes delivered to watches.
#[derive(Debug)]
struct WatchCost {
    calls: u64,
    changes: u64,
}

/// Returns the cost of the watches in 20 s in a fleet with the given number of machine records.
fn watch_cost(machines: u32) -> WatchCost {
    let mut simulation = Simulation::with_one_shard(920, [12, 12]);
    // The shard of these machines has no leader, so that no controller acts on them.
    let record = serde_json::json!(
        { "shard": 99, "kind": "small", "zone": "east", "spot": false, "addr": "10.1.0.9:9000" });
    for number in 0..machines {
        simulation.state_service.put(&format!("machine/z-{number:06}"), record.clone());
    }
    let mut simulation = start_workload(simulation);
    // Listing all records takes long because the pages are small.
    simulation.run_until(60 * SEC);
    let calls = |simulation: &Simulation| simulation.state_service.watches.iter().sum::<u64>();
    let (calls_before, changes_before) = (calls(&simulation), simulation.state_service.changes_delivered);
    simulation.run_until(80 * SEC);
    simulation.assert_no_violations();
    WatchCost {
        calls: calls(&simulation) - calls_before,
        changes: simulation.state_service.changes_delivered - changes_before,
    }
}

/// Guards against several controllers that watch the records at the same time. Controllers that start together have not
/// received one another's heartbeats yet, so that each could consider itself the one that has to watch.
#[test]
fn only_one_of_the_controllers_that_start_together_watches_the_records() {
    for seed in 930..936 {
        let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
        simulation.run_until(12 * SEC);
        let watches = simulation.state_service.watches;
        let watching = watches.iter().filter(|watches| **watches > 0).count();
        assert_eq!(watching, 1, "seed {seed}: watch calls of each controller: {watches:?}");
    }
}

#[test]
fn watch_costs_no_more_in_a_larger_fleet() {
    let (small, large) = (watch_cost(20), watch_cost(2000));
    assert!(small.calls >= 20, "only {} watch calls in 20 s", small.calls);
    assert!(
        large.calls <= small.calls + 4 && large.changes <= 2 * small.changes + 20,
        "{small:?} with 20 machine records, {large:?} with 2000"
    );
}

/// Cuts off the leader from the state service and the other controllers, while users still reach it, and polls it for
/// 10 s. Counts the answers that contradict the final record of a job written by its successor.
fn stale_answers_of_deposed_leader(seed: u64, disabled: DisabledSafeguard) -> StaleAnswers {
    let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
    simulation.disabled = disabled;
    let mut simulation = start_workload(simulation);
    let (node, now) = (simulation.current_leader(), simulation.now);
    let outside = other_controllers(node).chain([Endpoint::StateService]);
    simulation.partition(Endpoint::Controller(node), outside, now + 20 * SEC, DELAY_PACKETS);
    simulation.count_stale_answers(node, 10 * SEC)
}

#[test]
fn nothing_is_recorded_that_a_deposed_leader_may_still_contradict() {
    let mut answers = StaleAnswers::default();
    let mut stale_without_bounds = 0;
    for seed in 700..712 {
        answers += stale_answers_of_deposed_leader(seed, DisabledSafeguard::None);
        stale_without_bounds += stale_answers_of_deposed_leader(seed, DisabledSafeguard::LeadershipBounds).stale;
    }
    assert!(answers.ended_jobs >= 12, "only {} jobs ended after the failover", answers.ended_jobs);
    assert_eq!(answers.stale, 0, "stale answers of the deposed leader");
    assert!(stale_without_bounds > 0, "control run: no stale answer without leadership bounds");
}

/// Guards against tasks that are started twice because two leaders adopt the same job. The deposed leader still reaches
/// half of the machines, and of its calls to the state service only reads of job records arrive. Users poll it for jobs
/// that its successor has accepted; it must not adopt a job whose record it reads for such a poll.
#[test]
fn deposed_leader_does_not_adopt_a_job_that_it_reads() {
    for seed in 850..858 {
        let mut simulation = busy_cluster(seed);
        let (node, now) = (simulation.current_leader(), simulation.now);
        let outside = other_controllers(node).chain([Endpoint::Cloud]);
        simulation.isolate_with_every_other_machine(node, outside, now + 30 * SEC, LOSE_PACKETS);
        simulation.state_service.only_job_reads_from = Some(node);
        let jobs: Vec<JobSpec> = (300..310).map(|id| spec(id, JobKind::Array, "free", 6, 0.5)).collect();
        for job in &jobs {
            simulation.add_user(job.clone(), 8 * SEC, now + 1300 * MS, None, false);
        }
        let mut recorded = 0;
        while simulation.now < now + 5 * SEC {
            simulation.run_for(50 * MS);
            if simulation.current_leader() != node {
                recorded = jobs.iter().filter(|job| simulation.has_live_record(&job.id)).count();
                jobs.iter().for_each(|job| simulation.send_request(node, ClientRequest::Poll(job.id.clone())));
            }
        }
        assert_ne!(simulation.current_leader(), node, "seed {seed}: the leader was not replaced");
        assert!(recorded > 0, "seed {seed}: the successor accepted no job");
        simulation.run_until(now + 40 * SEC);
        simulation.assert_no_violations();
    }
}

/// Isolates the leader with half of the machines for 60 s. Meanwhile the cloud refuses to delete machines, because a
/// deletion would end their tasks.
fn isolate_leader_with_machines(simulation: &mut Simulation) {
    let (node, until) = (simulation.current_leader(), simulation.now + 60 * SEC);
    let outside = other_controllers(node).chain([Endpoint::StateService, Endpoint::Cloud, Endpoint::Users]);
    simulation.isolate_with_every_other_machine(node, outside, until, LOSE_PACKETS);
    simulation.cloud.deletes_refused_until = until;
}

/// Guards against tasks that run twice while a deposed leader still renews the leases of workers that its successor
/// cannot reach. The successor has to wait until the last lease that may have been renewed has expired.
#[test]
fn machines_that_only_a_deposed_leader_reaches_are_waited_for() {
    for seed in 860..864 {
        let mut simulation = Simulation::with_one_shard_and_properties(seed, [12, 12], "claim.life.ms = 8000");
        for id in 0..16 {
            simulation.add_user(spec(id, JobKind::Service, "free", 2, 2.0), FOREVER, 2 * SEC, None, false);
        }
        simulation.run_until(30 * SEC);
        isolate_leader_with_machines(&mut simulation);
        simulation.run_for(100 * SEC);
        simulation.assert_no_violations();
        assert_eq!(simulation.running_tasks(), 32, "seed {seed}: running tasks at the end");
    }
}

/// Isolates the leader with half of the machines. The users cancel every job from 1 s later on, about the time at which
/// the leader is replaced.
fn cancel_after_isolation(seed: u64, disabled: DisabledSafeguard) -> Simulation {
    let mut simulation = Simulation::with_one_shard_and_properties(seed, [12, 12], "claim.life.ms = 8000");
    simulation.disabled = disabled;
    for id in 0..24 {
        simulation.add_user(spec(id, JobKind::Service, "free", 2, 2.0), FOREVER, 2 * SEC, Some(29 * SEC), false);
    }
    simulation.run_until(30 * SEC);
    isolate_leader_with_machines(&mut simulation);
    simulation.run_for(60 * SEC);
    simulation
}

#[test]
fn tasks_of_cancelled_jobs_end_in_time_under_a_deposed_leader() {
    let mut detected_without_bounds = 0;
    for seed in 800..808 {
        let simulation = cancel_after_isolation(seed, DisabledSafeguard::None);
        simulation.assert_no_violations();
        let cancelled = simulation.users.iter().filter(|user| user.cancelled_at.is_some()).count();
        assert_eq!(cancelled, 24, "seed {seed}: users who were told that their job is cancelled");
        let without_bounds = cancel_after_isolation(seed, DisabledSafeguard::LeadershipBounds);
        detected_without_bounds += usize::from(without_bounds.violates(&[Rule::RanAfterCancellation]));
    }
    assert!(
        detected_without_bounds > 0,
        "control run: no task of a cancelled job runs for too long without leadership bounds"
    );
}
