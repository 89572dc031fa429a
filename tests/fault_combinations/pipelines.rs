//! Fault combination in which jobs are cancelled at the moment at which users submit jobs that depend on them.

use crate::combinations::{fail_leader, leader_or_any};
use crate::simulation::users::{UserRequest, spec};
use crate::simulation::{CONTROLLERS, DELAY_PACKETS, Endpoint, MS, SEC, ScheduledEvent, Simulation, TemporaryFault};
use crowstall::model::*;
use rand::Rng;
use std::ops::Range;

/// Number of jobs that are cancelled.
const CANCELLED_JOBS: u32 = 12;

/// Run time of the jobs that are cancelled; none of them completes.
const LONG_RUN: u64 = 400 * SEC;

/// Time for which the users of dependents poll all controllers after the submission.
const POLLING_TIME: u64 = 10 * SEC;

/// Cancels jobs while the leader may not learn that the cancellations are recorded, and submits dependents of these
/// jobs and dependents of those at all controllers around each cancellation. Then polls all controllers about them.
pub fn dependents_submitted_around_cancellations(simulation: &mut Simulation) {
    let cancelled = add_jobs_to_cancel(simulation);
    simulation.run_for(4 * SEC);
    let duration = simulation.rng.random_range(2 * SEC..9 * SEC);
    hide_commits_from_leader(simulation, duration);
    let begin = simulation.now;
    for job in cancelled {
        let cancelled_at = begin + simulation.rng.random_range(0..duration);
        let node = simulation.rng.random_range(0..CONTROLLERS);
        let request = UserRequest::Cancel;
        simulation.schedule(cancelled_at, ScheduledEvent::UserRequest { user: job, node, request });
        // The user repeats a request that was lost or is not confirmed.
        simulation.users[job].cancel_after = Some(cancelled_at + SEC - simulation.users[job].submit_at);
        add_dependents_around(simulation, job, cancelled_at);
    }
    let until_cut = simulation.rng.random_range(0..duration);
    simulation.run_for(until_cut);
    maybe_cut_leader_from_state_service(simulation);
    simulation.run_for(duration - until_cut);
    if simulation.rng.random_bool(0.3) {
        fail_leader(simulation);
    }
}

/// Adds job arrays of which the second half wait for the first one. Returns the indices of their users.
fn add_jobs_to_cancel(simulation: &mut Simulation) -> Vec<usize> {
    let first_id = next_job_id(simulation);
    let now = simulation.now;
    let mut users: Vec<usize> = Vec::new();
    for number in 0..CANCELLED_JOBS {
        let prerequisites = if number < CANCELLED_JOBS / 2 { vec![] } else { vec![users[0]] };
        let job = spec(first_id + number, JobKind::Array, "free", 1, 1.0);
        let submit_at = now + u64::from(number) * 50 * MS;
        users.push(simulation.add_dependent_job(job, &prerequisites, LONG_RUN, submit_at, None));
    }
    users
}

/// Makes the state service execute some transactions late or lose answers to them. In half of the runs the leader is
/// isolated from the other controllers, which then answer users from the records.
fn hide_commits_from_leader(simulation: &mut Simulation, duration: u64) {
    let until = simulation.now + duration;
    let probability = simulation.rng.random_range(0.2..0.8);
    let fault = Some(TemporaryFault::new(until, probability));
    match simulation.rng.random_range(0..3) {
        0 => simulation.state_service.lost_commit_answers = fault,
        1 => simulation.state_service.delayed_commits = fault,
        _ => {
            simulation.state_service.lost_commit_answers = fault;
            simulation.state_service.delayed_commits = fault;
        }
    }
    if simulation.rng.random_bool(0.5) {
        let node = leader_or_any(simulation);
        simulation.isolate_from_other_controllers(Endpoint::Controller(node), node, until, DELAY_PACKETS);
    }
}

/// Cuts the leader off from the state service for some seconds, in half of the runs.
fn maybe_cut_leader_from_state_service(simulation: &mut Simulation) {
    if simulation.rng.random_bool(0.5) {
        let leader = Endpoint::Controller(leader_or_any(simulation));
        let until = simulation.now + simulation.rng.random_range(500 * MS..5 * SEC);
        simulation.partition(leader, [Endpoint::StateService], until, DELAY_PACKETS);
    }
}

/// Adds dependents of a job, all of which are submitted just before, at or after the cancellation, and a dependent of
/// each. The leader knows of none when it sends the cancellation unless they are submitted before.
fn add_dependents_around(simulation: &mut Simulation, job: usize, cancelled_at: u64) {
    let delays = [0..300 * MS, 300 * MS..330 * MS, 300 * MS..600 * MS, 300 * MS..3 * SEC];
    let delay = delays[simulation.rng.random_range(0..delays.len())].clone();
    let from = cancelled_at - 300 * MS;
    for _ in 0..3 {
        let dependent = add_dependent(simulation, job, from, delay.clone());
        add_dependent(simulation, dependent, from, delay.start..delay.end + 300 * MS);
    }
}

/// Adds a dependent, sometimes of another team, that is submitted at all controllers at a random time after `from`, and
/// polled at all of them afterwards. Returns the index of its user.
fn add_dependent(simulation: &mut Simulation, job: usize, from: u64, delay: Range<u64>) -> usize {
    let id = next_job_id(simulation);
    let submit_at = from + simulation.rng.random_range(delay);
    let team = if simulation.rng.random_bool(0.7) { "free" } else { "limited" };
    let dependent = spec(id, JobKind::Array, team, 1, 1.0);
    let user = simulation.add_dependent_job(dependent, &[job], SEC, submit_at + 100 * MS, None);
    for node in 0..CONTROLLERS {
        let at = submit_at + simulation.rng.random_range(0..5 * MS);
        simulation.schedule(at, ScheduledEvent::UserRequest { user, node, request: UserRequest::Submit });
    }
    let mut at = submit_at;
    while at < submit_at + POLLING_TIME {
        at += simulation.rng.random_range(50 * MS..600 * MS);
        for node in 0..CONTROLLERS {
            let request = UserRequest::Poll;
            simulation.schedule(at, ScheduledEvent::UserRequest { user, node, request });
        }
    }
    user
}

/// Returns a job id that no user has.
fn next_job_id(simulation: &Simulation) -> u32 {
    700_000 + simulation.users.len() as u32
}
