//! Tests of a controller that is restarted while the requests that its former process has forwarded wait for an answer.

use crate::simulation::users::spec;
use crate::simulation::{CONTROLLERS, DELAY_PACKETS, Endpoint, FOREVER, MS, SEC, Simulation};
use crowstall::coordination::{Action, ClientRequestId, Event};
use crowstall::model::*;
use crowstall::protocol::peers::{Envelope, PeerMessage};
use crowstall::protocol::users::ClientRequest;

/// Number of requests that each process forwards in the exact test.
const FORWARDED_REQUESTS: u32 = 3000;
/// Interval at which users poll the restarted controller.
const POLL_INTERVAL: u64 = 15 * MS;

/// Adds services and arrays, some of which are done at 30 s, and returns the simulation at that time.
fn cluster_with_running_and_ended_jobs(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [6, 6]);
    simulation.cloud.reliable = true;
    for id in 0..8 {
        let is_service = id % 2 == 0;
        let (kind, run_time) = if is_service { (JobKind::Service, FOREVER) } else { (JobKind::Array, 2 * SEC) };
        let submit_at = 2 * SEC + u64::from(id) * 100 * MS;
        simulation.add_user(spec(id, kind, "free", 1, 1.0), run_time, submit_at, None, false);
    }
    simulation.run_until(30 * SEC);
    simulation
}

/// Polls about `job` at a controller, as often as given, and returns the messages that forward them to the leader.
fn forward_polls(simulation: &mut Simulation, node: usize, job: &str, count: u32) -> Vec<PeerMessage> {
    let mut messages = Vec::new();
    for number in 0..u64::from(count) {
        let id = ClientRequestId(u64::MAX / 2 + number);
        let event = Event::ClientRequest { id, client_request: ClientRequest::Poll(JobId::new(job)) };
        let forwarded = simulation.actions_of(node, event).into_iter().filter_map(|action| match action {
            Action::SendToPeer { message, .. } => Some(message),
            _ => None,
        });
        messages.extend(forwarded);
    }
    messages
}

/// Delivers messages of one controller to another, and returns the resulting actions.
fn deliver_to(simulation: &mut Simulation, node: usize, from: usize, messages: Vec<PeerMessage>) -> Vec<Action> {
    let from = simulation.label(from);
    let events = messages.into_iter().map(|message| Event::Peer(Envelope { from: from.clone(), message }));
    events.flat_map(|event| simulation.actions_of(node, event)).collect()
}

/// Returns the messages to other controllers among some actions.
fn messages_of(actions: Vec<Action>) -> Vec<PeerMessage> {
    let message = |action| match action {
        Action::SendToPeer { message, .. } => Some(message),
        _ => None,
    };
    actions.into_iter().filter_map(message).collect()
}

/// Guards against answers to requests of a former process that reach the clients of the present one.
#[test]
fn answers_to_requests_of_a_former_process_reach_no_client() {
    for seed in 0..4 {
        let mut simulation = cluster_with_running_and_ended_jobs(seed);
        let leader = simulation.current_leader();
        let restarted = (leader + 1) % CONTROLLERS;
        let former_requests = forward_polls(&mut simulation, restarted, "wk-000000", FORWARDED_REQUESTS);
        assert_eq!(former_requests.len(), FORWARDED_REQUESTS as usize, "seed {seed}: polls were not forwarded");
        simulation.crash(restarted, 3 * SEC);
        simulation.run_for(8 * SEC);
        assert_eq!(simulation.current_leader(), leader, "seed {seed}: the leader was replaced");
        let requests = forward_polls(&mut simulation, restarted, "wk-999999", FORWARDED_REQUESTS);
        assert_eq!(requests.len(), FORWARDED_REQUESTS as usize, "seed {seed}: polls were not forwarded again");

        let late_answers = messages_of(deliver_to(&mut simulation, leader, restarted, former_requests));
        assert!(!late_answers.is_empty(), "seed {seed}: the leader did not answer the former process");
        let actions = deliver_to(&mut simulation, restarted, leader, late_answers);
        assert!(actions.is_empty(), "seed {seed}: late answers led to {} actions: {:?}", actions.len(), actions[0]);

        let answers = messages_of(deliver_to(&mut simulation, leader, restarted, requests));
        let replies = deliver_to(&mut simulation, restarted, leader, answers);
        let replies = replies.iter().filter(|action| matches!(action, Action::Reply { .. })).count();
        assert!(replies > 0, "seed {seed}: the requests of the present process got no reply");
    }
}

/// Guards against answers of a controller to which the request was not sent.
#[test]
fn answer_of_another_controller_than_the_asked_one_is_ignored() {
    let mut simulation = cluster_with_running_and_ended_jobs(1);
    let leader = simulation.current_leader();
    let (asker, other) = ((leader + 1) % CONTROLLERS, (leader + 2) % CONTROLLERS);
    let requests = forward_polls(&mut simulation, asker, "wk-000000", 1);
    let answers = messages_of(deliver_to(&mut simulation, leader, asker, requests));
    assert_eq!(answers.len(), 1, "the leader did not answer");
    let actions = deliver_to(&mut simulation, asker, other, answers.clone());
    assert!(actions.is_empty(), "the answer of a controller that was not asked led to {:?}", actions[0]);
    let actions = deliver_to(&mut simulation, asker, leader, answers);
    assert!(matches!(actions[..], [Action::Reply { .. }]), "the leader's answer led to {actions:?}");
}

/// Guards against accepted jobs that are forgotten, and jobs that nobody submitted: the link from a controller to the
/// leader is held while the controller is restarted, and released while users of the new process submit and poll.
#[test]
fn restart_of_a_controller_behind_a_held_link_mixes_up_no_answers() {
    for seed in 0..6 {
        let mut simulation = cluster_with_running_and_ended_jobs(seed);
        let leader = simulation.current_leader();
        let restarted = (leader + 1) % CONTROLLERS;
        let released_at = simulation.now + 20 * SEC;
        let (from, to) = (Endpoint::Controller(restarted), Endpoint::Controller(leader));
        simulation.partition_one_way(from, to, released_at, DELAY_PACKETS);
        simulation.poll_steadily(restarted, simulation.now, 10 * SEC, POLL_INTERVAL);
        simulation.run_for(10 * SEC);
        simulation.crash(restarted, SEC);
        simulation.poll_steadily(restarted, released_at - 7 * SEC, 9 * SEC, POLL_INTERVAL);
        for id in 100..140 {
            let submit_at = released_at - 500 * MS + u64::from(id - 100) * 10 * MS;
            simulation.add_user(spec(id, JobKind::Array, "free", 1, 1.0), 2 * SEC, submit_at, None, false);
        }
        simulation.run_until(released_at + 30 * SEC);
        assert!(
            simulation.one_way_partitions[0].packets > 100,
            "seed {seed}: nothing was forwarded over the held link"
        );
        simulation.assert_no_violations_in(format_args!("seed {seed}:"));
    }
}
