//! Tests of the answers that renew worker leases: none leaves a task of an ended job running.

use crate::simulation::users::spec;
use crate::simulation::workers::machine_id;
use crate::simulation::{FOREVER, SEC, Simulation};
use crowstall::coordination::{Action, ClientRequestId, Event};
use crowstall::model::*;
use crowstall::protocol::Reply;
use crowstall::protocol::users::ClientRequest;
use crowstall::protocol::workers::{Command, MAX_COMMANDS, TaskState, TaskStatus, WorkerHeartbeat};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Client request with which the heartbeat arrives.
const HEARTBEAT: ClientRequestId = ClientRequestId(u64::MAX - 1);

/// Returns a simulation with a running service, and the number of a machine that the leader has answered.
fn cluster_with_answered_machine() -> (Simulation, u32) {
    let mut simulation = Simulation::with_one_shard(1, [3, 3]);
    simulation.cloud.reliable = true;
    simulation.add_user(spec(1, JobKind::Service, "free", 2, 1.0), FOREVER, 2 * SEC, None, false);
    simulation.run_until(30 * SEC);
    let machine = simulation.machines_where(|worker| !worker.tasks.is_empty())[0];
    (simulation, machine)
}

/// Delivers to the leader the first heartbeat of a machine, which is older than what the leader knows, with a list of
/// running tasks. Returns the resulting actions.
fn deliver_outdated_heartbeat(simulation: &mut Simulation, machine: u32, tasks: Vec<TaskStatus>) -> Vec<Action> {
    let worker = &simulation.workers[&machine];
    let heartbeat = WorkerHeartbeat {
        machine: machine_id(machine),
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 1000),
        kind: worker.kind.clone(),
        zone: worker.zone.clone(),
        spot: worker.spot,
        epoch: AgentEpoch(worker.epoch),
        seq: SequenceNumber(1),
        token: FencingToken(0),
        notice: None,
        tasks,
    };
    let client_request = ClientRequest::WorkerHeartbeat(Box::new(heartbeat));
    let leader = simulation.current_leader();
    simulation.actions_of(leader, Event::ClientRequest { id: HEARTBEAT, client_request })
}

fn running_task(job: &str, attempt: u64) -> TaskStatus {
    let task = TaskId { job: JobId::new(job), task: TaskIndex(0) };
    TaskStatus { task, attempt: AttemptNumber(attempt), state: TaskState::Running }
}

/// Returns the reply to the heartbeat.
fn reply_among(actions: &[Action]) -> &Reply {
    let reply = actions.iter().find_map(|action| match action {
        Action::Reply { id: HEARTBEAT, reply } => Some(reply),
        _ => None,
    });
    reply.expect("the heartbeat gets a reply")
}

/// Returns the number of stop commands in direct calls.
fn direct_stops_among(actions: &[Action]) -> usize {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Worker { request, .. } => Some(&request.commands),
        _ => None,
    });
    calls.flatten().filter(|command| matches!(command, Command::Stop { .. })).count()
}

/// Guards against an outdated heartbeat whose answer renews the lease of a machine with tasks of ended jobs.
#[test]
fn answer_to_an_outdated_heartbeat_stops_the_listed_tasks_of_ended_jobs_alone() {
    let (mut simulation, machine) = cluster_with_answered_machine();
    let tasks = vec![running_task("wk-000001", 1), running_task("wk-777777", 2)];
    let actions = deliver_outdated_heartbeat(&mut simulation, machine, tasks);
    let reply = reply_among(&actions);
    assert_eq!(reply.status, 200, "{}", reply.body);
    let body: serde_json::Value = serde_json::from_str(&reply.body).expect("the reply is JSON");
    let commands = body["calls"].as_array().expect("the reply has commands");
    let stops: Vec<_> = commands.iter().map(|command| (command["call"].as_str(), command["hatch"].as_u64())).collect();
    assert_eq!(stops, [(Some("stop"), Some(2))], "{}", reply.body);
}

/// Guards against an outdated heartbeat whose answer renews the lease of a machine with tasks that are known to the
/// leader and not listed.
#[test]
fn answer_to_an_outdated_heartbeat_stops_the_known_tasks_of_a_cancelled_job() {
    let (mut simulation, machine) = cluster_with_answered_machine();
    let leader = simulation.current_leader();
    simulation.users[0].cancel_requested = true;
    simulation.send_request(leader, ClientRequest::Cancel(JobId::new("wk-000001")));
    let actions = deliver_outdated_heartbeat(&mut simulation, machine, Vec::new());
    let reply = reply_among(&actions);
    assert!(reply.status == 200 && reply.body.contains("\"stop\""), "{} {}", reply.status, reply.body);
}

/// Guards against a lease that is renewed although one answer cannot stop all tasks of ended jobs.
#[test]
fn heartbeat_with_more_tasks_to_stop_than_fit_an_answer_is_refused_and_they_are_stopped_directly() {
    let (mut simulation, machine) = cluster_with_answered_machine();
    let count = MAX_COMMANDS as u64 + 1;
    let tasks: Vec<TaskStatus> = (0..count).map(|attempt| running_task("wk-777777", attempt)).collect();
    let actions = deliver_outdated_heartbeat(&mut simulation, machine, tasks);
    assert_eq!(reply_among(&actions).status, 503);
    assert_eq!(direct_stops_among(&actions), MAX_COMMANDS + 1);
    let tasks = (1..count).map(|attempt| running_task("wk-777777", attempt)).collect();
    let actions = deliver_outdated_heartbeat(&mut simulation, machine, tasks);
    assert_eq!(reply_among(&actions).status, 200);
}
