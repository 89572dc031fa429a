//! Wire formats as the services, workers and users see them: parses the calls of controllers, and writes responses and
//! requests to controllers.

use crowstall::coordination::Event;
use crowstall::model::*;
use crowstall::protocol::CallError;
use crowstall::protocol::cloud::{CloudAnswer, CloudCall, ListedMachine, MachineState};
use crowstall::protocol::state::{Change, Condition, Entry, StateAnswer, StateCall, WatchedChange};
use crowstall::protocol::users::ClientRequest;
use crowstall::protocol::workers::{Command, Exit, TaskState, TaskStatus, WorkerAnswer, WorkerCall, WorkerHeartbeat};
use serde_json::{Value, json};
use std::net::SocketAddrV4;

/// Prefixes with which controllers list and watch keys.
const PREFIXES: [&str; 5] = ["shard/", "live/", "machine/", "end/", "forecast/"];

/// Status and body of a response.
pub type WireResponse = (u16, Value);

/// Returns the value of a parameter in the query of a path.
fn parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let query = path.split_once('?')?.1;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns a string value, or an empty string if the value has another type.
fn string_value(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_string()
}

/// Returns the elements of an array, or none if the value has another type.
fn array_elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Parses a call to the state service.
pub fn parse_state_call(path: &str, body: &[u8]) -> Option<StateCall> {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let prefix = || {
        let prefix = parameter(path, "prefix")?;
        PREFIXES.into_iter().find(|known| *known == prefix)
    };
    if let Some(key) = path.strip_prefix("/keys/") {
        return Some(StateCall::Get(key.to_string()));
    }
    if let Some(lease) = path.strip_prefix("/holds/").and_then(|rest| rest.strip_suffix("/touch")) {
        return Some(StateCall::KeepAlive(LeaseId(lease.parse().ok()?)));
    }
    match path.split('?').next()? {
        "/keys" => Some(StateCall::List { prefix: prefix()?, after: parameter(path, "after").map(str::to_string) }),
        "/watch" => {
            let after = Revision(parameter(path, "after")?.parse().ok()?);
            Some(StateCall::Watch { prefix: prefix()?, after })
        }
        "/commit" => Some(StateCall::Commit {
            conditions: array_elements(&body["if"]).map(parse_condition).collect(),
            changes: array_elements(&body["apply"]).map(parse_change).collect(),
        }),
        "/holds" => Some(StateCall::Grant { ttl_ms: body["life_ms"].as_u64()? }),
        _ => None,
    }
}

fn parse_condition(condition: &Value) -> Condition {
    Condition { key: string_value(&condition["k"]), version: Revision(condition["molt"].as_u64().unwrap_or_default()) }
}

fn parse_change(change: &Value) -> Change {
    if change["delete"].is_string() {
        return Change::Delete(string_value(&change["delete"]));
    }
    Change::Put {
        key: string_value(&change["set"]),
        value: change["data"].clone(),
        lease: change["tenure"].as_u64().map(LeaseId),
    }
}

/// Parses a call to the cloud.
pub fn parse_cloud_call(method: &str, path: &str, body: &[u8]) -> Option<CloudCall> {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    match (method, path.split('?').next()?) {
        ("GET", "/catalog") => Some(CloudCall::Catalog),
        ("GET", "/rentals") => Some(CloudCall::List { after: parameter(path, "after").map(MachineId::new) }),
        ("POST", "/rentals") => Some(CloudCall::Rent {
            request: string_value(&body["bid"]),
            kind: Name::new(body["breed"].as_str()?),
            zone: Name::new(body["roost"].as_str()?),
            spot: body["scavenged"].as_bool()?,
            count: body["number"].as_u64()? as u32,
        }),
        ("POST", "/rentals/delete") => Some(CloudCall::Delete(
            array_elements(&body["perches"]).map(|id| MachineId::new(&string_value(id))).collect(),
        )),
        _ => None,
    }
}

/// Parses a call to a worker.
pub fn parse_worker_call(body: &[u8]) -> Option<WorkerCall> {
    let body: Value = serde_json::from_slice(body).ok()?;
    Some(WorkerCall {
        token: FencingToken(body["crest"].as_u64()?),
        epoch: AgentEpoch(body["sitting"].as_u64()?),
        commands: array_elements(&body["calls"]).filter_map(parse_command).collect(),
    })
}

fn parse_command(command: &Value) -> Option<Command> {
    let task: TaskId = command["egg"].as_str()?.parse().ok()?;
    let attempt = AttemptNumber(command["hatch"].as_u64()?);
    match command["call"].as_str()? {
        "run" => Some(Command::Run { task, attempt }),
        "stop" => Some(Command::Stop { task, attempt, grace_s: command["settle_s"].as_f64().unwrap_or(0.0) }),
        "forget" => Some(Command::Forget { task, attempt }),
        _ => None,
    }
}

/// Returns the response to a call, or `None` if the call gets no response. An expired lease is reported with different
/// statuses to a keep-alive and to a transaction.
pub fn response(event: &Event, is_keep_alive: bool) -> Option<WireResponse> {
    match event {
        Event::State { answer: Ok(StateAnswer::LeaseExpired), .. } if is_keep_alive => Some((404, json!({}))),
        Event::State { answer: Ok(answer), .. } => Some(state_response(answer)),
        Event::Cloud { answer: Ok(answer), .. } => Some(cloud_response(answer)),
        Event::Worker { answer: Ok(WorkerAnswer::Executed(heartbeat)), .. } => Some((200, heartbeat_body(heartbeat))),
        Event::Worker { answer: Ok(WorkerAnswer::Rejected(heartbeat)), .. } => Some((409, heartbeat_body(heartbeat))),
        Event::State { answer: Err(error), .. } | Event::Cloud { answer: Err(error), .. } => error_response(*error),
        _ => None,
    }
}

fn error_response(error: CallError) -> Option<WireResponse> {
    match error {
        CallError::Refused { over_limit: true } => Some((429, json!({}))),
        CallError::Refused { over_limit: false } => Some((503, json!({"error": "trouble"}))),
        CallError::Unexpected(status) => Some((status, json!({}))),
        CallError::NoAnswer => None,
    }
}

fn entry_body(entry: &Entry) -> Value {
    json!({"k": entry.key, "data": entry.value, "molt": entry.version.0, "tenure": entry.lease.map(|lease| lease.0)})
}

fn log_body(entry: &WatchedChange) -> Value {
    match entry {
        WatchedChange::Set { key, value, version } => json!({"set": key, "data": value, "molt": version.0}),
        WatchedChange::Delete { key, version } => json!({"delete": key, "molt": version.0}),
    }
}

fn state_response(answer: &StateAnswer) -> WireResponse {
    match answer {
        StateAnswer::Found(entry) => (200, entry_body(entry)),
        StateAnswer::Missing => (404, json!({"tally": 0})),
        StateAnswer::Page { entries, more, revision } => {
            let entries: Vec<Value> = entries.iter().map(entry_body).collect();
            (200, json!({"entries": entries, "truncated": more, "tally": revision.0}))
        }
        StateAnswer::Changes { log, revision } => {
            (200, json!({"tally": revision.0, "log": log.iter().map(log_body).collect::<Vec<Value>>()}))
        }
        StateAnswer::Compacted => (410, json!({})),
        StateAnswer::Committed(revision) => (200, json!({"tally": revision.0})),
        StateAnswer::Conflict(failed) => (409, json!({"failed": failed, "tally": 0})),
        StateAnswer::Granted(lease) => (200, json!({"tenure": lease.0})),
        StateAnswer::KeptAlive => (200, json!({})),
        StateAnswer::LeaseExpired => (400, json!({"error": "no such lease"})),
    }
}

fn cloud_response(answer: &CloudAnswer) -> WireResponse {
    match answer {
        CloudAnswer::Catalog(types) => {
            let breeds: Vec<Value> = types.iter().map(machine_type_body).collect();
            (200, json!({ "breeds": breeds }))
        }
        CloudAnswer::Rented(machines) => (200, json!({"perches": machines})),
        CloudAnswer::NoCapacity => (503, json!({"error": "no capacity"})),
        CloudAnswer::Deleted => (200, json!({})),
        CloudAnswer::Machines { listed, more } => {
            let perches: Vec<Value> = listed.iter().map(listed_machine_body).collect();
            (200, json!({"perches": perches, "truncated": more}))
        }
    }
}

/// Converts a quantity to units of CPUs, GPUs or gigabytes.
fn in_units(quantity: Quantity) -> f64 {
    quantity.0 as f64 / 1e6
}

fn machine_type_body(kind: &MachineType) -> Value {
    json!({"label": kind.name, "cores": in_units(kind.capacity.cpus), "gpus": in_units(kind.capacity.gpus),
        "ram_gb": in_units(kind.capacity.memory), "cache_gb": kind.cache_gb, "pull_gb_per_s": kind.fetch_gb_per_s,
        "hourly": kind.price, "spot_price": kind.spot_price, "startup_s": kind.boot.as_secs(), "roosts": kind.zones})
}

fn listed_machine_body(machine: &ListedMachine) -> Value {
    let state = if machine.state == MachineState::Running { "running" } else { "starting" };
    json!({"id": machine.id, "endpoint": "127.0.0.1:1", "breed": machine.kind, "roost": machine.zone,
        "scavenged": machine.spot, "mood": state, "held_s": machine.age.as_secs()})
}

fn task_body(status: &TaskStatus) -> Value {
    let mut body = json!({"egg": status.task.to_string(), "hatch": status.attempt.0});
    let (state, cause) = match status.state {
        TaskState::Fetching => ("pulling", None),
        TaskState::Running => ("running", None),
        TaskState::Saving => ("saving", None),
        TaskState::Exited(exit) => ("ended", Some(exit)),
    };
    body["mood"] = json!(state);
    if let Some(exit) = cause {
        body["cause"] = json!(match exit {
            Exit::Done => "done",
            Exit::Stopped | Exit::Saved => "halted",
            Exit::Error => "error",
            Exit::NoRoom => "no_room",
            Exit::Busy => "busy",
            Exit::Unknown => "no_such",
        });
        body["saved"] = json!(exit == Exit::Saved);
    }
    body
}

/// Returns the body of a worker's heartbeat.
pub fn heartbeat_body(heartbeat: &WorkerHeartbeat) -> Value {
    json!({"perch": heartbeat.machine, "endpoint": heartbeat.addr, "breed": heartbeat.kind, "roost": heartbeat.zone,
        "scavenged": heartbeat.spot, "sitting": heartbeat.epoch.0, "caw": heartbeat.seq.0, "crest": heartbeat.token.0,
        "shoo_s": heartbeat.notice.map(|notice| notice.as_secs()),
        "clutch": heartbeat.tasks.iter().map(task_body).collect::<Vec<Value>>()})
}

/// Returns the body of a submission.
fn submission_body(spec: &JobSpec) -> Value {
    let kind = if spec.kind == JobKind::Array { "sweep" } else { "daemon" };
    let priority = match spec.priority {
        Priority::Production => "production",
        Priority::High => "high",
        Priority::Normal => "normal",
        Priority::BestEffort => "best_effort",
    };
    json!({"id": spec.id, "brood": spec.class, "flock": spec.team, "gait": kind, "pecking": priority,
        "clutch": spec.tasks, "cores": in_units(spec.needs.cpus), "gpus": in_units(spec.needs.gpus),
        "ram_gb": in_units(spec.needs.memory), "plumage": spec.image, "image_gb": spec.image_gb, "breeds": spec.types,
        "roost": spec.zone, "together": spec.one_zone, "spread": spec.spread, "scavenged": spec.spot,
        "flight_s": spec.estimate_s, "cache_s": spec.checkpoint_s, "stash_s": spec.save_s, "dusk_s": spec.deadline_s,
        "awaits": spec.prerequisites})
}

/// Method, path and body of a request to a controller.
pub type WireRequest = (&'static str, String, Option<Value>);

/// Returns the HTTP request of a user or a worker. `worker_addr` returns the address at which a worker accepts
/// commands. Returns `None` for requests whose simulated form does not contain the original text.
pub fn client_request(
    request: &ClientRequest,
    worker_addr: impl Fn(&MachineId) -> SocketAddrV4,
) -> Option<WireRequest> {
    match request {
        ClientRequest::Submit(Ok(spec)) => Some(("POST", "/v1/jobs".to_string(), Some(submission_body(spec)))),
        ClientRequest::Up => Some(("GET", "/up".to_string(), None)),
        ClientRequest::Poll(job) => Some(("GET", format!("/v1/jobs/{job}"), None)),
        ClientRequest::Cancel(job) => Some(("POST", format!("/v1/jobs/{job}/cancel"), Some(json!({})))),
        ClientRequest::WorkerHeartbeat(heartbeat) => {
            let mut heartbeat = heartbeat.as_ref().clone();
            heartbeat.addr = worker_addr(&heartbeat.machine);
            Some(("POST", "/hello".to_string(), Some(heartbeat_body(&heartbeat))))
        }
        _ => None,
    }
}
