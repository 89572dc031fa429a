//! Tests with calls to the state service that get no answer or a late one, in sequences of events that the random fault
//! combinations do not produce.

use crate::simulation::user_requests::StaleAnswers;
use crate::simulation::users::spec;
use crate::simulation::{CONTROLLERS, Endpoint, FOREVER, LOSE_PACKETS, MS, SEC, Simulation, TemporaryFault};
use crowstall::model::*;
use crowstall::protocol::Reply;
use crowstall::protocol::users::ClientRequest;
use rand::Rng;
use std::collections::BTreeSet;

/// Returns a simulation, at 30 s of simulated time, with services that are cancelled within the next few seconds.
fn services_about_to_be_cancelled(seed: u64, properties: &str) -> Simulation {
    let mut simulation = Simulation::with_one_shard_and_properties(seed, [12, 12], properties);
    for id in 0..24 {
        let cancel_after = 28 * SEC + u64::from(id) * 100 * MS;
        simulation.add_user(spec(id, JobKind::Service, "free", 2, 2.0), FOREVER, 2 * SEC, Some(cancel_after), false);
    }
    simulation.run_until(30 * SEC);
    simulation
}

/// Runs a simulation in which the leader gets no answer to the transactions that record cancellations, while other
/// controllers read the records and report the cancellations to users. An outage follows that is longer than the bound
/// on cancellations, during which workers continue to send heartbeats to the leader. If `is_isolated`, the leader also
/// loses the connections to the other controllers, which replace it just before the outage.
fn cancel_without_answer(seed: u64, is_isolated: bool) -> Simulation {
    let mut simulation = services_about_to_be_cancelled(seed, "claim.life.ms = 8000");
    let node = simulation.current_leader();
    simulation.run_for_random(0..600 * MS);
    let now = simulation.now;
    let max_duration = if is_isolated { 4 * SEC } else { 1600 * MS };
    let unanswered_for = simulation.rng.random_range(SEC..max_duration);
    simulation.state_service.unanswered_controller = Some(TemporaryFault::new(now + unanswered_for, node));
    if is_isolated {
        isolate_with_all_machines(&mut simulation, node, now + 70 * SEC);
    }
    simulation.run_until(now + unanswered_for);
    simulation.state_service.start_outage(simulation.now, 60 * SEC);
    simulation.run_until(now + 90 * SEC);
    simulation
}

/// Separates a controller and all machines from the other controllers, and makes the cloud refuse to delete machines.
fn isolate_with_all_machines(simulation: &mut Simulation, node: usize, until: u64) {
    simulation.isolate_from_other_controllers(Endpoint::Controller(node), node, until, LOSE_PACKETS);
    for machine in simulation.machines() {
        simulation.isolate_from_other_controllers(Endpoint::Machine(machine), node, until, LOSE_PACKETS);
    }
    simulation.cloud.deletes_refused_until = until;
}

/// Guards against tasks that run past the bound on cancellations because the leader, which got no answer, does not know
/// that the cancellation was recorded and reported.
#[test]
fn cancelled_tasks_end_in_time_if_the_leader_gets_no_answer() {
    let (mut cancelled, mut longest) = (0, 0);
    for seed in 0..24 {
        let simulation = cancel_without_answer(seed, seed % 2 == 1);
        simulation.assert_no_violations();
        longest = longest.max(simulation.observations.longest_run_after_cancellation);
        let is_early = |at: u64| at < 40 * SEC;
        cancelled += simulation.users.iter().filter(|user| user.cancelled_at.is_some_and(is_early)).count();
    }
    println!("longest run of a task after its cancellation was reported: {} ms", longest / MS);
    assert!(cancelled >= 12, "only {cancelled} users were told that their job is cancelled before the outage");
}

/// Runs a simulation in which a leader without connections to workers and other controllers steps down and gets no
/// answer to the transaction that records it, while short jobs end under its successor. Returns the count of stale
/// answers of the former leader.
fn stale_answers_after_stepping_down(seed: u64) -> StaleAnswers {
    let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
    simulation.add_services();
    for id in 100..400 {
        let submit_at = 5 * SEC + u64::from(id - 100) * 150 * MS;
        simulation.add_user(spec(id, JobKind::Array, "free", 2, 1.0), SEC, submit_at, None, false);
    }
    simulation.run_until(25 * SEC);
    let (node, until) = (simulation.current_leader(), simulation.now + 12 * SEC);
    let leader = Endpoint::Controller(node);
    simulation.isolate_from_other_controllers(leader, node, until, LOSE_PACKETS);
    simulation.partition(leader, [Endpoint::AllMachines], until, LOSE_PACKETS);
    // The answers of the state service are lost from shortly before the leader steps down.
    simulation.run_for_random(4500 * MS..5 * SEC);
    let unanswered_from = simulation.now;
    simulation.state_service.unanswered_controller = Some(TemporaryFault::new(unanswered_from + 8 * SEC, node));
    while simulation.leader(0) == Some(node) && simulation.now < unanswered_from + 3 * SEC {
        simulation.run_for(10 * MS);
    }
    assert_ne!(simulation.leader(0), Some(node), "seed {seed}: the leader did not step down");
    let answers = simulation.count_stale_answers(node, 4 * SEC);
    simulation.assert_no_violations();
    answers
}

/// Guards against stale states in the answers of a leader that stepped down without an answer of the state service.
#[test]
fn former_leader_tells_nothing_stale_after_stepping_down_without_an_answer() {
    let mut answers = StaleAnswers::default();
    for seed in 0..8 {
        answers += stale_answers_after_stepping_down(seed);
    }
    assert_eq!(answers.stale, 0, "stale answers of the former leader");
    assert!(answers.ended_jobs >= 20, "only {} jobs have ended", answers.ended_jobs);
}

/// Guards against early expiry of the leases of workers whose heartbeats are relayed to the leader: in an outage of the
/// state service they last as long as those of other workers.
#[test]
fn relayed_heartbeats_are_answered_in_an_outage() {
    for seed in 0..4 {
        let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
        simulation.cloud.reliable = true;
        simulation.add_services();
        simulation.run_until(30 * SEC);
        let (node, until) = (simulation.current_leader(), simulation.now + 60 * SEC);
        simulation.partition(Endpoint::Controller(node), [Endpoint::AllMachines], until, LOSE_PACKETS);
        simulation.run_until(45 * SEC);
        assert_eq!(simulation.running_tasks(), 28, "seed {seed}: number of running tasks before the outage");
        simulation.state_service.start_outage(45 * SEC, 22 * SEC);
        simulation.run_until(67 * SEC);
        assert_eq!(simulation.running_tasks(), 28, "seed {seed}: number of running tasks at the end of the outage");
        simulation.run_until(100 * SEC);
        simulation.assert_no_violations();
    }
}

/// Runs a simulation in which the final records of some jobs are written seconds late and without an answer, while
/// further attempts to write them are refused. Returns the count of the leader's stale answers about jobs whose final
/// records are stored.
fn stale_answers_with_final_writes_in_doubt(seed: u64, are_cancelled: bool) -> StaleAnswers {
    let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
    simulation.cloud.reliable = true;
    simulation.add_services();
    let kind = if are_cancelled { JobKind::Service } else { JobKind::Array };
    let run_time = if are_cancelled { FOREVER } else { 4 * SEC };
    let jobs: Vec<JobSpec> = (100..140).map(|id| spec(id, kind, "free", 1, 1.0)).collect();
    for (job, id) in jobs.iter().zip(100..) {
        let cancel_after = are_cancelled.then_some(4 * SEC);
        simulation.add_user(job.clone(), run_time, 20 * SEC + id * 20 * MS, cancel_after, false);
    }
    simulation.run_until(25 * SEC);
    simulation.state_service.delayed_commits = Some(TemporaryFault::new(29 * SEC, 1.0));
    simulation.run_until(29 * SEC);
    let (node, until) = (simulation.current_leader(), simulation.now + 12 * SEC);
    simulation.state_service.refused_prefix = Some(TemporaryFault::new(until, "end/"));
    let mut stale = 0;
    let mut ended = BTreeSet::new();
    while simulation.now < until && simulation.leader(0) == Some(node) {
        simulation.run_for(20 * MS);
        for job in &jobs {
            if simulation.has_final_record(&job.id) {
                let reply = simulation.immediate_reply(node, ClientRequest::Poll(job.id.clone()));
                stale += usize::from(is_in_state(&reply, "running") || is_in_state(&reply, "pending"));
                ended.insert(&job.id);
            }
        }
    }
    simulation.run_until(100 * SEC);
    simulation.assert_no_violations();
    StaleAnswers { stale, ended_jobs: ended.len() }
}

/// Returns `true` if a reply reports the given state of a job.
fn is_in_state(reply: &Option<Reply>, state: &str) -> bool {
    reply.as_ref().is_some_and(|reply| reply.body.contains(&format!("\"mood\":\"{state}\"")))
}

/// Guards against a leader that reads the unchanged live record of a job and concludes that a final write without an
/// answer was lost. The write may be executed later, and others may read it while the state service refuses the leader.
#[test]
fn leader_tells_nothing_stale_while_a_final_write_is_in_doubt() {
    let mut answers = StaleAnswers::default();
    for seed in 0..6 {
        answers += stale_answers_with_final_writes_in_doubt(seed, seed % 2 == 1);
    }
    assert_eq!(answers.stale, 0, "stale answers of the leader about {} ended jobs", answers.ended_jobs);
    assert!(answers.ended_jobs >= 20, "only {} final records were written late", answers.ended_jobs);
}

/// Runs a simulation in which controllers that cannot reach each other accept jobs for the leader of the shard, and
/// some users cancel their jobs immediately after the acceptance. Answers of the state service take up to `max_delay`,
/// and a fifth of the answers to transactions are lost.
fn accept_jobs_for_unreachable_leader(seed: u64, max_delay: u64) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
    simulation.cloud.reliable = true;
    simulation.run_until(12 * SEC);
    let until = 60 * SEC;
    for node in 0..CONTROLLERS {
        simulation.isolate_from_other_controllers(Endpoint::Controller(node), node, until, LOSE_PACKETS);
    }
    simulation.consistency_checks_until = until;
    simulation.state_service.slow_answers = Some(TemporaryFault::new(until, max_delay));
    simulation.state_service.lost_commit_answers = Some(TemporaryFault::new(until, 0.2));
    for id in 0..150 {
        let submit_at = 12 * SEC + u64::from(id) * 250 * MS;
        simulation.add_user(spec(id, JobKind::Array, "free", 1, 1.0), 60 * SEC, submit_at, None, false);
    }
    simulation.run_until(110 * SEC);
    simulation
}

/// Guards against repeated adoption of a job: a leader that had read the live record before the job ended used it
/// afterwards, adopted the job again and started its task. The user had already been told that the job is cancelled,
/// and nothing stopped the task.
#[test]
fn job_that_has_ended_is_not_adopted_again_from_an_earlier_read() {
    let mut starts = 0;
    for seed in 0..12 {
        let max_delay = [20, 300, 1100][seed as usize % 3] * MS;
        let simulation = accept_jobs_for_unreachable_leader(seed, max_delay);
        simulation.assert_no_violations();
        starts += simulation.observations.starts_after_cancellation.commanded_after;
    }
    assert_eq!(starts, 0, "task starts commanded after a reported cancellation");
}

/// Runs a simulation in which a controller that the others cannot reach accepts a job, and the answer of the state
/// service arrives late. Meanwhile the leader adopts the job and cancels it for a user, and the job is submitted again
/// at the first controller, where the acceptance is still pending. Returns the reply to the repeated submission.
fn repeat_submission_during_acceptance(seed: u64) -> Option<Reply> {
    let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
    simulation.run_until(12 * SEC);
    let leader = simulation.current_leader();
    let remote = (leader + 1) % CONTROLLERS;
    simulation.isolate_from_other_controllers(Endpoint::Controller(remote), remote, 60 * SEC, LOSE_PACKETS);
    simulation.run_until(16 * SEC);
    simulation.state_service.slow_answers = Some(TemporaryFault::new(60 * SEC, 1100 * MS));
    simulation.state_service.slow_answers_to = Some(remote);
    let job = spec(900, JobKind::Array, "free", 1, 1.0);
    simulation.add_user(job.clone(), SEC, 900 * SEC, None, false);
    simulation.send_request(remote, ClientRequest::Submit(Ok(job.clone())));
    simulation.run_until(16 * SEC + 30 * MS);
    let accepted = simulation.request(leader, ClientRequest::Submit(Ok(job.clone())), SEC);
    assert!(contains(&accepted, "pending"), "seed {seed}: {accepted:?}");
    let cancelled = simulation.request(leader, ClientRequest::Cancel(job.id.clone()), SEC);
    assert!(contains(&cancelled, "withdrawn"), "seed {seed}: {cancelled:?}");
    let reply = simulation.request(remote, ClientRequest::Submit(Ok(job)), 4 * SEC);
    simulation.run_until(40 * SEC);
    simulation.assert_no_violations();
    reply
}

/// Returns `true` if the body of a reply contains a word.
fn contains(reply: &Option<Reply>, word: &str) -> bool {
    reply.as_ref().is_some_and(|reply| reply.body.contains(word))
}

/// Guards against a controller that reports a job as pending, after a repeated submission, when the job has been
/// cancelled since the first submission was sent.
#[test]
fn submission_repeated_during_acceptance_is_told_the_newest_state() {
    let mut cancelled = 0;
    for seed in 0..16 {
        let reply = repeat_submission_during_acceptance(seed);
        let is_success = reply.as_ref().is_some_and(|reply| reply.status < 300);
        assert!(!is_success || !contains(&reply, "pending"), "seed {seed}: {reply:?}");
        cancelled += usize::from(contains(&reply, "withdrawn"));
    }
    assert!(cancelled >= 10, "only {cancelled} of 16 were told that the job is cancelled");
}
