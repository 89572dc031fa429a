//! Jobs with prerequisites under all faults: no job starts before its prerequisites are done, none is reported as live
//! after a prerequisite was cancelled, and waiting jobs reserve no resources.

mod simulation;

use crowstall::model::*;
use crowstall::protocol::users::ClientRequest;
use crowstall::storage::records::{LiveRecord, NO_SHARD};
use rand::Rng;
use simulation::state_service::RequestLimits;
use simulation::users::spec;
use simulation::{
    CANCELLATION_BOUND, CONTROLLERS, DisabledSafeguard, Endpoint, FOREVER, LOSE_PACKETS, MS, Rule, SEC, Simulation,
    TemporaryFault,
};

/// Limits of the state service that are lower than those of [`RequestLimits::default`] for values and transactions. The
/// settings file announces these two as the next limits.
const LOWERED_LIMITS: RequestLimits =
    RequestLimits { value_bytes: 2048, changes_per_transaction: 4, writes_per_second: 60 };

/// Adds a job array with random properties and returns the index of its user.
fn add_random_job(simulation: &mut Simulation, id: u32, prerequisites: &[usize], cancel_after: Option<u64>) -> usize {
    let team = if simulation.rng.random_bool(0.4) { "limited" } else { "free" };
    let tasks = simulation.rng.random_range(1..9);
    let mut job = spec(id, JobKind::Array, team, tasks, 2.0);
    job.spot = simulation.rng.random_bool(0.6);
    job.priority = [Priority::High, Priority::Normal, Priority::BestEffort][simulation.rng.random_range(0..3)];
    job.deadline_s = simulation.rng.random_bool(0.3).then_some(60.0);
    let run_time = simulation.rng.random_range(SEC..6 * SEC);
    let submit_at = 2 * SEC + simulation.rng.random_range(0..50 * SEC);
    let user = simulation.add_dependent_job(job, prerequisites, run_time, submit_at, cancel_after);
    simulation.users[user].waits_for_prerequisites = simulation.rng.random_bool(0.15);
    user
}

/// Adds `count` pipelines: chains, graphs that fan out from one job and join in another, and random graphs. Some of
/// their jobs are cancelled.
fn add_pipelines(simulation: &mut Simulation, count: u32) {
    let mut id = 0;
    for pipeline in 0..count {
        let mut jobs: Vec<usize> = Vec::new();
        for step in 0..simulation.rng.random_range(2..7usize) {
            let prerequisites: Vec<usize> = match pipeline % 4 {
                0 => jobs.last().copied().into_iter().collect(),
                1 if step == 0 => vec![],
                1 if step < 4 => vec![jobs[0]],
                1 => jobs[1..].to_vec(),
                _ => jobs.iter().copied().filter(|_| simulation.rng.random_bool(0.4)).collect(),
            };
            let cancel_after = simulation.rng.random_bool(0.1).then(|| simulation.rng.random_range(SEC..30 * SEC));
            jobs.push(add_random_job(simulation, id, &prerequisites, cancel_after));
            id += 1;
        }
    }
}

/// Runs a scenario of 90 s with pipelines and faults, in the middle of which the state service's limits are lowered,
/// followed by some minutes without faults.
fn run_scenario(seed: u64, one_shard: bool, faults: u32, disabled: DisabledSafeguard) -> Simulation {
    let mut simulation = if one_shard && disabled == DisabledSafeguard::None {
        Simulation::with_one_shard(seed, [5, 5])
    } else {
        Simulation::new(seed, disabled)
    };
    add_pipelines(&mut simulation, 10);
    simulation.run_until(8 * SEC);
    simulation.run_with_random_faults(faults, 90 * SEC, |simulation, fault| {
        if fault == faults / 2 {
            simulation.state_service.request_limits = RequestLimits { writes_per_second: 40, ..LOWERED_LIMITS };
        }
    });
    simulation.run_without_faults(60 * SEC, 180 * SEC);
    simulation
}

/// Checks that no rule was violated and that the state service rejected no transaction for its size.
fn assert_no_violations(simulation: &Simulation) {
    simulation.assert_no_violations();
    simulation.assert_nothing_rejected_for_size();
}

#[test]
fn dependency_rules_hold_with_random_faults() {
    let mut cancelled_with_prerequisite = 0;
    for seed in 0..24 {
        let faults = [0, 8, 30][(seed / 2) as usize % 3];
        let simulation = run_scenario(seed, seed % 2 == 0, faults, DisabledSafeguard::None);
        assert_no_violations(&simulation);
        simulation.assert_accepted_jobs_ended();
        let done = simulation.users.iter().filter(|user| user.done_at.is_some()).count();
        assert!(done > 5, "seed {seed}: only {done} jobs are done");
        let users = 0..simulation.users.len();
        cancelled_with_prerequisite += users.filter(|user| simulation.cancelled_prerequisite(*user).is_some()).count();
    }
    assert!(
        cancelled_with_prerequisite > 20,
        "only {cancelled_with_prerequisite} jobs were cancelled with a prerequisite"
    );
}

#[test]
#[ignore = "takes minutes"]
fn dependency_rules_hold_on_hundreds_of_days() {
    let threads: Vec<_> = (0..6)
        .map(|thread| {
            std::thread::spawn(move || {
                for seed in (1_000 + thread..1_600).step_by(6) {
                    let faults = 6 + (seed % 5) as u32 * 6;
                    let simulation = run_scenario(seed, seed % 2 == 0, faults, DisabledSafeguard::None);
                    assert_no_violations(&simulation);
                    simulation.assert_accepted_jobs_ended();
                }
            })
        })
        .collect();
    for thread in threads {
        assert!(thread.join().is_ok(), "a rule was violated; see the panic of the thread above");
    }
}

/// Returns `true` if one of the rules is violated in at least one of 20 scenarios with the safeguard disabled.
fn is_violated_without(disabled: DisabledSafeguard, rules: &[Rule]) -> bool {
    (0..20).any(|seed| run_scenario(seed, false, 4, disabled).violates(rules))
}

#[test]
fn checker_notices_lost_prerequisites() {
    assert!(is_violated_without(DisabledSafeguard::Prerequisites, &[Rule::StartedBeforePrerequisites]));
}

#[test]
fn checker_notices_dependents_that_are_not_cancelled() {
    let rules = [Rule::LiveAfterPrerequisiteCancelled, Rule::StaleAnswer, Rule::LostJob];
    assert!(is_violated_without(DisabledSafeguard::CancellationRecords, &rules));
}

/// Returns a job with one task, of the team without a quota.
fn small_job(id: u32) -> JobSpec {
    spec(id, JobKind::Array, "free", 1, 2.0)
}

/// Adds a job without prerequisites that would run for 400 s and is cancelled earlier. Returns the index of its user.
fn add_cancelled_root(simulation: &mut Simulation, cancel_after: u64) -> usize {
    let job = spec(0, JobKind::Array, "free", 2, 2.0);
    simulation.add_dependent_job(job, &[], 400 * SEC, 2 * SEC, Some(cancel_after))
}

/// Guards against a stack overflow by recursion over dependents, one request for each dependent, and transactions
/// beyond the state service's limits. A thousand jobs either all depend on one job, or each on the one before it.
#[test]
fn cancelling_a_job_cancels_a_thousand_dependents_at_once() {
    for (seed, is_fan) in [(1, true), (2, false)] {
        let mut simulation = Simulation::with_one_shard(seed, [3, 3]);
        simulation.state_service.request_limits = LOWERED_LIMITS;
        let root = add_cancelled_root(&mut simulation, 60 * SEC);
        let mut last = root;
        for id in 1..=1_000 {
            let prerequisite = if is_fan { root } else { last };
            last = simulation.add_dependent_job(small_job(id), &[prerequisite], SEC, 2 * SEC, None);
        }
        simulation.run_until(58 * SEC);
        let accepted = simulation.users.iter().filter(|user| user.accepted_at.is_some()).count();
        assert!(accepted > if is_fan { 700 } else { 50 }, "seed {seed}: only {accepted} jobs are accepted");
        simulation.run_until(100 * SEC);
        assert_no_violations(&simulation);
        let cancelled_at = simulation.users[root].cancelled_at.expect("the root is cancelled");
        let bound = cancelled_at + CANCELLATION_BOUND;
        let dependents = simulation.users.iter().filter(|user| user.accepted_at.is_some_and(|at| at < cancelled_at));
        let late = dependents.clone().filter(|user| user.cancelled_at.is_none_or(|at| at > bound)).count();
        assert_eq!(
            late,
            0,
            "seed {seed}: {late} of {} users were not told of the cancellation in time",
            dependents.count()
        );
    }
}

/// Guards against controllers that contradict one another. As soon as a user has been told that a job is cancelled,
/// every controller has to report an indirect dependent of it, at the end of a chain of twelve jobs, as cancelled, even
/// a controller that cannot reach the others and has to read the records.
#[test]
fn every_controller_calls_an_indirect_dependent_cancelled() {
    for seed in 0..6 {
        let mut simulation = Simulation::with_one_shard(seed, [3, 3]);
        let root = add_cancelled_root(&mut simulation, 20 * SEC);
        let mut last = root;
        for id in 1..12 {
            last = simulation.add_dependent_job(small_job(id), &[last], SEC, 2 * SEC, None);
        }
        simulation.run_until(15 * SEC);
        assert!(simulation.users[last].accepted_at.is_some(), "seed {seed}: the chain is not accepted");
        let isolated = (simulation.current_leader() + 1) % CONTROLLERS;
        let others = (0..CONTROLLERS).filter(|other| *other != isolated).map(Endpoint::Controller);
        simulation.partition(Endpoint::Controller(isolated), others, 60 * SEC, LOSE_PACKETS);
        while simulation.users[root].cancelled_at.is_none() && simulation.now < 40 * SEC {
            simulation.run_for(20 * MS);
        }
        assert!(simulation.users[root].cancelled_at.is_some(), "seed {seed}: the root was not cancelled");
        let id = simulation.users[last].spec.id.clone();
        for node in 0..CONTROLLERS {
            let reply = simulation.request(node, ClientRequest::Poll(id.clone()), 2 * SEC);
            let reply = reply.unwrap_or_else(|| panic!("seed {seed}: controller {node} does not answer"));
            let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
            assert_eq!(body["mood"], "withdrawn", "seed {seed}: controller {node} answers {}", reply.body);
        }
        assert_no_violations(&simulation);
    }
}

/// A submission is rejected if one of its prerequisites is unknown, a service, or the job itself. The retry of a
/// submission that was accepted is answered without checking the prerequisites again.
#[test]
fn prerequisites_are_checked_before_a_job_is_accepted() {
    let mut simulation = Simulation::with_one_shard(3, [3, 3]);
    let (service, array, unknown) = (1, 2, 77);
    simulation.add_user(spec(service, JobKind::Service, "free", 1, 2.0), FOREVER, 2 * SEC, None, false);
    simulation.add_user(small_job(array), 2 * SEC, 2 * SEC, None, false);
    simulation.run_until(25 * SEC);
    assert!(simulation.users[1].done_at.is_some(), "the array is not done");
    let mut submit = |node: usize, id: u32, prerequisite: u32| {
        let job = JobSpec { prerequisites: vec![small_job(prerequisite).id], ..small_job(id) };
        simulation.request(node, ClientRequest::Submit(Ok(job)), 3 * SEC).expect("the controller answers")
    };
    for node in 0..CONTROLLERS {
        let id = 100 + node as u32 * 10;
        let cases = [(id, unknown, 422), (id + 1, service, 422), (id + 2, id + 2, 422), (id + 3, array, 201)];
        for (id, prerequisite, status) in cases {
            let reply = submit(node, id, prerequisite);
            assert_eq!(reply.status, status, "controller {node}, {id} after {prerequisite}: {}", reply.body);
        }
        // The retry names another prerequisite, but the job has been accepted already.
        let retry = submit(node, id + 3, unknown);
        assert_eq!(retry.status, 200, "controller {node}: {}", retry.body);
        let dependent = submit(node, id + 4, id + 3);
        assert!(matches!(dependent.status, 200 | 201), "controller {node}: {}", dependent.body);
    }
    assert_no_violations(&simulation);
}

/// Guards against the loss of prerequisites when they exceed the limits on values and transactions. They are divided
/// into several part records, which have to be complete after a failover and with lowered limits.
#[test]
fn hundreds_of_prerequisites_survive_a_failover() {
    for (seed, is_cancelled) in [(1, false), (2, true)] {
        let mut simulation = Simulation::with_one_shard(seed, [6, 6]);
        simulation.state_service.request_limits = LOWERED_LIMITS;
        let mut prerequisites = Vec::new();
        for id in 0..800 {
            let job = spec(id, JobKind::Array, "free", 1, 0.5);
            let run_time = if id == 0 { 110 * SEC } else { 50 * SEC };
            let cancel_after = (id == 0 && is_cancelled).then_some(90 * SEC);
            prerequisites.push(simulation.add_dependent_job(job, &[], run_time, 2 * SEC, cancel_after));
        }
        let dependent = spec(900, JobKind::Array, "free", 2, 2.0);
        let last = simulation.add_dependent_job(dependent, &prerequisites, SEC, 2 * SEC, None);
        simulation.run_until(60 * SEC);
        assert!(simulation.users[last].accepted_at.is_some(), "seed {seed}: the job is not accepted");
        let has_part = |simulation: &Simulation, part: u32| {
            simulation.state_service.get(&format!("part/wk-000900/{part}")).is_some()
        };
        assert!(has_part(&simulation, 4), "seed {seed}: the prerequisites are not divided into several part records");
        let leader = simulation.current_leader();
        simulation.crash(leader, 3 * SEC);
        simulation.run_until(80 * SEC);
        assert!(!simulation.users[last].is_over(), "seed {seed}: the job has ended before its prerequisites");
        simulation.run_until(200 * SEC);
        assert_no_violations(&simulation);
        let user = &simulation.users[last];
        let (is_done, has_been_cancelled) = (user.done_at.is_some(), user.cancelled_at.is_some());
        assert_eq!((is_done, has_been_cancelled), (!is_cancelled, is_cancelled), "seed {seed}: done, cancelled");
        assert!(!has_part(&simulation, 0), "seed {seed}: part records remain after the job has ended");
    }
}

/// Number of jobs in the days with late transactions of which the dependents need some.
const PREREQUISITES_UNDER_LATE_WRITES: usize = 400;
/// Time at which the dependents are submitted and transactions begin to be late.
const LATE_WRITES_FROM: u64 = 70 * SEC;

/// Runs a day in which dependents of 171 to 400 jobs are submitted while half of the transactions are executed late and
/// without an answer, and while some of the prerequisites end.
fn accept_many_prerequisites_under_late_writes(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [8, 8]);
    simulation.cloud.reliable = true;
    simulation.state_service.request_limits = LOWERED_LIMITS;
    let mut prerequisites = Vec::new();
    for id in 0..PREREQUISITES_UNDER_LATE_WRITES as u32 {
        let ends_early = simulation.rng.random_bool(0.5);
        let short = simulation.rng.random_range(40 * SEC..80 * SEC);
        let run_time = if ends_early { short } else { 120 * SEC + u64::from(id) * 300 * MS };
        let job = spec(id, JobKind::Array, "free", 1, 0.1);
        prerequisites.push(simulation.add_dependent_job(job, &[], run_time, 2 * SEC, None));
    }
    simulation.run_until(LATE_WRITES_FROM);
    for id in 0..48 {
        let count =
            if id % 4 == 3 { simulation.rng.random_range(345..400) } else { simulation.rng.random_range(171..230) };
        let first = simulation.rng.random_range(0..=PREREQUISITES_UNDER_LATE_WRITES - count);
        let needs = &prerequisites[first..first + count];
        let dependent = spec(900 + id, JobKind::Array, "free", 1, 0.1);
        simulation.add_dependent_job(dependent, needs, SEC, LATE_WRITES_FROM + u64::from(id) * 200 * MS, None);
    }
    simulation.state_service.delayed_commits = Some(TemporaryFault::new(LATE_WRITES_FROM + 30 * SEC, 0.5));
    simulation.run_until(320 * SEC);
    simulation
}

/// Guards against a late transaction that puts an older list into the part records of a job, which then starts before
/// all of its prerequisites are done.
#[test]
fn late_writes_of_part_records_let_no_job_start_too_early() {
    let mut accepted = 0;
    for seed in 0..20 {
        let simulation = accept_many_prerequisites_under_late_writes(seed);
        simulation.assert_no_violations();
        let dependents = &simulation.users[PREREQUISITES_UNDER_LATE_WRITES..];
        accepted += dependents.iter().filter(|user| user.accepted_at.is_some()).count();
    }
    assert!(accepted >= 160, "only {accepted} of 320 dependents were accepted");
}

/// Guards against endless retries when the state service's limit on values is lower than announced. A transaction that
/// was rejected for its size must not be sent again unchanged, and the job has to be done nevertheless.
#[test]
fn transactions_rejected_for_their_size_are_not_repeated() {
    let mut simulation = Simulation::with_one_shard(1, [4, 4]);
    simulation.cloud.reliable = true;
    simulation.add_user(spec(1, JobKind::Array, "free", 300, 1.0), 2 * SEC, 2 * SEC, None, false);
    simulation.run_until(12 * SEC);
    let record = simulation.state_service.get("live/wk-000001").expect("the job is live");
    simulation.state_service.request_limits = RequestLimits { value_bytes: record.to_string().len(), ..LOWERED_LIMITS };
    simulation.run_until(120 * SEC);
    simulation.assert_no_violations();
    assert!(simulation.users[0].done_at.is_some(), "the job is not done");
    let rejected = &simulation.state_service.rejected_for_size;
    assert!((1..4).contains(&rejected.len()), "rejected for size: {rejected:?}");
}

/// Checks that records and messages written by the version in production can be read.
fn check_records_in_production() {
    let fixture: serde_json::Value = serde_json::from_str(include_str!("fixtures/production.json")).expect("JSON");
    let records = fixture["records"].as_object().expect("records by key");
    for (key, value) in records.iter().filter(|(key, _)| key.starts_with("live/")) {
        let record: LiveRecord = serde_json::from_value(value.clone()).unwrap_or_else(|e| panic!("{key}: {e}"));
        assert!(!record.is_waiting() && record.job.prerequisites.is_empty() && record.ready_ms.is_none());
        assert_eq!(serde_json::to_value(&record).expect("JSON"), *value, "{key}: value written");
    }
    let messages = fixture["messages"].as_object().expect("messages by kind");
    for (kind, text) in messages {
        let digits = text.as_str().expect("hexadecimal").as_bytes();
        let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16).expect("a byte");
        let bytes: Vec<u8> = digits.chunks(2).map(byte).collect();
        assert!(crowstall::protocol::peers::decode(&bytes).is_some(), "{kind} cannot be read");
    }
}

/// Guards against an upgrade after which this version and the one in production cannot read each other's records.
#[test]
fn records_are_compatible_with_the_version_in_production() {
    check_records_in_production();
    // The version in production does not know waiting jobs. The record of such a job names a shard that never has a
    // leader, so that a controller of that version does not load the job, and has the fields it needs to answer polls.
    let mut simulation = Simulation::with_one_shard(1, [2, 2]);
    let root = simulation.add_dependent_job(small_job(1), &[], 300 * SEC, 2 * SEC, None);
    simulation.add_dependent_job(small_job(2), &[root], SEC, 2 * SEC, None);
    simulation.run_until(20 * SEC);
    let waiting = simulation.state_service.get("live/wk-000002").expect("the job waits");
    let known = ["shard", "job", "accepted_ms", "done", "untouched"];
    assert!(known.iter().all(|field| !waiting[*field].is_null()), "{waiting}");
    assert_eq!(waiting["shard"], serde_json::json!(NO_SHARD));
    assert_eq!(waiting["done"], "");
}
