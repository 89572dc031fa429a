//! Tests of jobs that depend on a job whose cancellation may be recorded without the leader knowing.

use crate::combinations::fault_combination;
use crate::runner::run_with;
use crate::simulation::users::spec;
use crate::simulation::{CONTROLLERS, DisabledSafeguard, MS, SEC, Simulation, TemporaryFault};
use crowstall::model::*;
use crowstall::protocol::Reply;
use crowstall::protocol::users::{ClientRequest, InvalidJob, InvalidReason};
use std::collections::BTreeSet;

/// Number of jobs that are cancelled. Each has one dependent.
const CANCELLED_JOBS: u32 = 40;

/// Time at which no cancellation has been sent yet.
const BEFORE_CANCELLATIONS: u64 = 22 * SEC;

/// Time at which all cancellations were sent and none was answered.
const WHILE_IN_DOUBT: u64 = 29 * SEC;

/// Adds job arrays that are cancelled from 26 s on, and for each an array that depends on it and is submitted at
/// `dependents_submitted_at`. Returns the indices of the users of the dependents.
fn add_cancelled_jobs_with_dependents(simulation: &mut Simulation, dependents_submitted_at: u64) -> Vec<usize> {
    let mut dependents = Vec::new();
    for number in 0..u64::from(CANCELLED_JOBS) {
        let id = 100 + number as u32;
        let submit_at = 20 * SEC + number * 20 * MS;
        let root = spec(id, JobKind::Array, "free", 1, 1.0);
        let root = simulation.add_dependent_job(root, &[], 400 * SEC, submit_at, Some(6 * SEC));
        let submit_at = dependents_submitted_at + number * 20 * MS;
        let dependent = spec(id + 100, JobKind::Array, "free", 1, 1.0);
        dependents.push(simulation.add_dependent_job(dependent, &[root], SEC, submit_at, None));
    }
    dependents
}

/// Returns a simulation at [`WHILE_IN_DOUBT`] in which the leader does not know whether cancellations are recorded, and
/// the users of dependents of the cancelled jobs.
fn start_with_cancellations_in_doubt(seed: u64, dependents_submitted_at: u64) -> (Simulation, Vec<usize>) {
    let mut simulation = Simulation::with_one_shard(seed, [12, 12]);
    simulation.cloud.reliable = true;
    let dependents = add_cancelled_jobs_with_dependents(&mut simulation, dependents_submitted_at);
    simulation.run_until(25 * SEC);
    simulation.state_service.delayed_commits = Some(TemporaryFault::new(WHILE_IN_DOUBT, 1.0));
    simulation.run_until(WHILE_IN_DOUBT);
    (simulation, dependents)
}

/// Runs a simulation in which cancellations are recorded seconds late and without an answer to the leader, and further
/// attempts to record them are refused. Checks that the leader reports no dependent as live once the cancellation of
/// its prerequisite is recorded. Returns the number of dependents for which that was checked.
fn check_answers_about_dependents(seed: u64, dependents_submitted_at: u64) -> usize {
    let (mut simulation, dependents) = start_with_cancellations_in_doubt(seed, dependents_submitted_at);
    let (node, until) = (simulation.current_leader(), simulation.now + 12 * SEC);
    simulation.state_service.refused_prefix = Some(TemporaryFault::new(until, "end/"));
    let mut stale = 0;
    let mut withdrawn = BTreeSet::new();
    while simulation.now < until && simulation.leader(0) == Some(node) {
        simulation.run_for(20 * MS);
        for user in &dependents {
            let dependent = simulation.users[*user].spec.clone();
            if simulation.has_live_record(&dependent.id) && simulation.has_final_record(&dependent.prerequisites[0]) {
                let reply = simulation.immediate_reply(node, ClientRequest::Poll(dependent.id));
                stale += usize::from(reports_live_job(&reply));
                withdrawn.insert(*user);
            }
        }
    }
    assert_eq!(stale, 0, "seed {seed}: stale answers of the leader about {} dependents", withdrawn.len());
    simulation.run_until(110 * SEC);
    simulation.assert_no_violations();
    withdrawn.len()
}

/// Returns `true` if a reply reports a job as queued, waiting or running.
fn reports_live_job(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_some_and(|reply| reply.status == 200 && !reply.body.contains("\"mood\":\"withdrawn\""))
}

/// Guards against the answer "pending" after another controller has reported the dependent as withdrawn.
#[test]
fn leader_reports_no_dependent_as_live_that_was_accepted_while_a_cancellation_was_in_doubt() {
    let withdrawn: usize = (0..6).map(|seed| check_answers_about_dependents(seed, WHILE_IN_DOUBT)).sum();
    assert!(withdrawn >= 60, "only {withdrawn} dependents were withdrawn while the leader was in doubt");
}

/// Guards against the same answer about dependents that the leader knew when it sent the cancellation.
#[test]
fn leader_reports_no_dependent_as_live_that_was_accepted_before_a_cancellation_in_doubt() {
    let withdrawn: usize = (0..6).map(|seed| check_answers_about_dependents(seed, BEFORE_CANCELLATIONS)).sum();
    assert!(withdrawn >= 60, "only {withdrawn} dependents were withdrawn while the leader was in doubt");
}

/// Guards against controllers that contradict one another about jobs submitted around the cancellation of others.
#[test]
fn no_controller_reports_a_dependent_as_live_that_another_has_reported_as_withdrawn() {
    let combination = fault_combination("dependents submitted around cancellations that the leader is not sure of");
    let mut withdrawn = 0;
    for seed in 0..20 {
        let simulation = run_with(seed, DisabledSafeguard::None, &[combination]);
        simulation.assert_no_violations();
        let users = simulation.users.iter();
        withdrawn += users.filter(|user| user.cancelled_at.is_some() && !user.prerequisites.is_empty()).count();
    }
    assert!(withdrawn > 1000, "only {withdrawn} dependents were reported as withdrawn");
}

/// Returns the controllers that report the state of a job in reply to a poll.
fn controllers_that_answer(simulation: &mut Simulation, job: &JobId) -> BTreeSet<usize> {
    let answers = |node: &usize| {
        let reply = simulation.request(*node, ClientRequest::Poll(job.clone()), 2 * SEC);
        reply.is_some_and(|reply| reply.status == 200)
    };
    (0..CONTROLLERS).filter(answers).collect()
}

/// Guards against dependents that no controller reports while their leader gets no answers of the state service.
#[test]
fn dependents_stay_answered_while_the_leader_gets_no_answers_for_ten_seconds() {
    for seed in 0..6 {
        let (mut simulation, dependents) = start_with_cancellations_in_doubt(seed, BEFORE_CANCELLATIONS);
        let (leader, fault_end) = (simulation.current_leader(), simulation.now + 10 * SEC);
        simulation.state_service.unanswered_controller = Some(TemporaryFault::new(fault_end, leader));
        let sample: Vec<JobId> =
            dependents.iter().step_by(10).map(|user| simulation.users[*user].spec.id.clone()).collect();
        let mut answered = BTreeSet::new();
        while simulation.now < fault_end && answered.len() < sample.len() {
            for job in &sample {
                if !controllers_that_answer(&mut simulation, job).is_empty() {
                    answered.insert(job.clone());
                }
            }
        }
        assert_eq!(answered.len(), sample.len(), "seed {seed}: answered during the fault: {answered:?}");
        simulation.run_until(fault_end + 60 * SEC);
        for job in &sample {
            let controllers = controllers_that_answer(&mut simulation, job);
            assert_eq!(
                controllers.len(),
                CONTROLLERS,
                "seed {seed}: only {controllers:?} report {job} after the fault"
            );
        }
        assert!(simulation.now < fault_end + 75 * SEC, "seed {seed}: the polls took too long");
        simulation.assert_no_violations();
    }
}

/// Guards against accepting invalid submissions, or inventing jobs, while the leader is in doubt about cancellations.
#[test]
fn invalid_requests_are_rejected_while_cancellations_are_in_doubt() {
    for seed in 0..3 {
        let (mut simulation, dependents) = start_with_cancellations_in_doubt(seed, BEFORE_CANCELLATIONS);
        let fault_end = simulation.now + 12 * SEC;
        simulation.state_service.refused_prefix = Some(TemporaryFault::new(fault_end, "end/"));
        let dependent = simulation.users[dependents[0]].spec.id.clone();
        let id = |number: u32| spec(number, JobKind::Array, "free", 1, 1.0).id;
        let job = |number: u32, prerequisites: Vec<JobId>| JobSpec {
            prerequisites,
            ..spec(number, JobKind::Array, "free", 1, 1.0)
        };
        for node in 0..CONTROLLERS {
            let number = 800 + node as u32 * 10;
            let malformed = InvalidJob { id: Some(id(number + 2)), reason: InvalidReason::NotAnObject };
            let cases = [
                (ClientRequest::Submit(Ok(job(number, vec![dependent.clone(), id(999)]))), 422),
                (ClientRequest::Submit(Ok(job(number + 1, vec![id(number + 1)]))), 422),
                (ClientRequest::Submit(Err(malformed)), 400),
                (ClientRequest::Poll(id(number + 3)), 404),
                (ClientRequest::Cancel(id(number + 3)), 404),
            ];
            for (number, (request, status)) in cases.into_iter().enumerate() {
                let reply = simulation.request(node, request, 4 * SEC).expect("the controller answers");
                assert_eq!(reply.status, status, "seed {seed}, controller {node}, case {number}: {}", reply.body);
            }
        }
        assert!(simulation.now < fault_end, "seed {seed}: the requests took too long");
        simulation.assert_no_violations();
    }
}
