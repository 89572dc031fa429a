//! Sample values of every stored record, every message between controllers and every body that users, workers, the
//! state service and the cloud receive. The fixtures contain the output of earlier versions for exactly these values.

use crowstall::model::*;
use crowstall::protocol::cloud::CloudCall;
use crowstall::protocol::peers::{ForwardNumber, ForwardedRequest, MachineOffer, PeerMessage};
use crowstall::protocol::state::{Change, Condition, StateCall};
use crowstall::protocol::users::{
    ForecastAccuracy, ForecastView, Interval, JobState, JobView, PromiseView, TaskForecast,
};
use crowstall::protocol::workers::{Command, Exit, TaskState, TaskStatus, WorkerCall, WorkerHeartbeat};
use crowstall::protocol::workers::{accepted, redirect};
use crowstall::protocol::{BusyReason, Reply};
use crowstall::storage::records::{self, FinalRecord, LiveRecord, LivenessRecord};
use crowstall::storage::records::{MachineRecord, PartRecord, PreviousTermRecord, ShardRecord};
use crowstall::time::Span;
use crowstall_forecast::Level;
use crowstall_leadership::LeadershipBounds;
use crowstall_reconciliation::{Stage, Summary};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Operation on each sample, with one method for each kind of sample.
pub trait SampleVisitor {
    /// Visits a record of the state service.
    fn record<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, key: &str, record: T);
    /// Visits a message to another controller.
    fn message(&mut self, name: &str, message: PeerMessage);
    /// Visits the body of a reply to users and operators.
    fn view<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, view: T);
    /// Visits a request to the cloud, a worker or the state service.
    fn request(&mut self, name: &str, request: crowstall::protocol::Outgoing);
    /// Visits a reply to a user or a worker.
    fn reply(&mut self, name: &str, reply: Reply);
}

/// Returns a job without any of the optional fields.
fn plain_job() -> JobSpec {
    JobSpec {
        id: JobId::new("wk-000001"),
        class: Name::new("batch"),
        team: Name::new("free"),
        kind: JobKind::Array,
        priority: Priority::BestEffort,
        tasks: 300,
        needs: Resources { cpus: Quantity::new(1.0), gpus: Quantity::new(0.0), memory: Quantity::new(0.5) },
        image: Name::new("img-1"),
        image_gb: 0.5,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 240.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        prerequisites: vec![],
    }
}

/// Returns a job that uses every field that the version in production knows.
fn full_job() -> JobSpec {
    JobSpec {
        id: JobId::new("wk-000412"),
        class: Name::new("train"),
        team: Name::new("vision"),
        kind: JobKind::Service,
        priority: Priority::Production,
        tasks: 16,
        needs: Resources { cpus: Quantity::new(8.25), gpus: Quantity::new(1.0), memory: Quantity::new(64.0) },
        image: Name::new("img-07"),
        image_gb: 6.2,
        types: Some(vec![Name::new("g8"), Name::new("c16")]),
        zone: Some(Name::new("a")),
        one_zone: true,
        spread: true,
        spot: true,
        estimate_s: 0.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.5),
        prerequisites: vec![],
    }
}

fn live_record(job: JobSpec) -> LiveRecord {
    LiveRecord {
        shard: ShardId(2),
        home_shard: None,
        parts: 0,
        job,
        accepted_ms: 1_700_000_002_001,
        ready_ms: None,
        done: "0-3,7".into(),
        start_watermark: 12,
        fails_everywhere: false,
    }
}

fn bounds() -> LeadershipBounds {
    LeadershipBounds { decision_ms: 3000, read_ms: 2000 }
}

fn worker_heartbeat() -> WorkerHeartbeat {
    let states = [
        TaskState::Fetching,
        TaskState::Running,
        TaskState::Saving,
        TaskState::Exited(Exit::Done),
        TaskState::Exited(Exit::Stopped),
        TaskState::Exited(Exit::Saved),
        TaskState::Exited(Exit::Error),
        TaskState::Exited(Exit::NoRoom),
        TaskState::Exited(Exit::Busy),
        TaskState::Exited(Exit::Unknown),
    ];
    let task = |(at, state)| TaskStatus { task: task_id(at), attempt: AttemptNumber(u64::MAX - u64::from(at)), state };
    WorkerHeartbeat {
        machine: MachineId::new("i-000231"),
        addr: "10.1.0.232:9000".parse().expect("an address"),
        kind: Name::new("g8"),
        zone: Name::new("a"),
        spot: true,
        epoch: AgentEpoch(3),
        seq: SequenceNumber(88),
        token: FencingToken(41),
        notice: Some(Span::millis(12_500)),
        tasks: (0..).zip(states).map(task).collect(),
    }
}

fn task_id(task: u32) -> TaskId {
    TaskId { job: JobId::new("wk-000412"), task: TaskIndex(task) }
}

/// Visits the samples that the version in production knows.
pub fn visit_common(visitor: &mut impl SampleVisitor) {
    visit_common_records(visitor);
    visit_common_messages(visitor);
    visit_common_views(visitor);
    visit_state_requests(visitor);
    visit_cloud_requests(visitor);
    visit_worker_traffic(visitor);
}

fn visit_common_records(visitor: &mut impl SampleVisitor) {
    let node = NodeLabel::new("perch-1");
    let client_addr = Some("10.0.0.1:8080".parse().expect("an address"));
    visitor.record("live/plain", live_record(plain_job()));
    visitor.record("live/full", LiveRecord { fails_everywhere: true, ..live_record(full_job()) });
    visitor.record("end/done", FinalRecord { state: FinalState::Done, done: 4, cause: None });
    visitor.record("end/cancelled", FinalRecord { state: FinalState::Cancelled, done: 0, cause: None });
    visitor.record(
        "shard/bare",
        ShardRecord { node: node.clone(), incarnation: 5_693_141_926_459_386_523, client_addr: None, bounds: None },
    );
    visitor
        .record("shard/full", ShardRecord { node: node.clone(), incarnation: 7, client_addr, bounds: Some(bounds()) });
    visitor.record("shard/last/bare", PreviousTermRecord { quotas_digest: None, overlap: None });
    visitor.record(
        "shard/last/full",
        PreviousTermRecord { quotas_digest: Some("9f86d081".into()), overlap: Some(bounds()) },
    );
    visitor.record("shard/pulse", LivenessRecord { node });
    visitor.record(
        "machine",
        MachineRecord {
            shard: ShardId(1),
            kind: Name::new("g8"),
            zone: Name::new("a"),
            spot: true,
            addr: "10.1.0.232:9000".into(),
        },
    );
    visitor.record("forecast", records::ForecastRecord { snapshot: "Q0YB3RCdy62O".into() });
}

/// Returns the heartbeat between controllers with the fields that the version in production sends.
pub fn peer_heartbeat() -> PeerMessage {
    PeerMessage::Heartbeat {
        holds_lease: true,
        ready: false,
        led: vec![(ShardId(0), Revision(27)), (ShardId(2), Revision(431))],
        rented: vec![(MachineId::new("i-000231"), ShardId(2))],
        spare: vec![MachineOffer {
            machine: MachineId::new("i-000007"),
            kind: Name::new("g8"),
            zone: Name::new("b"),
            spot: false,
        }],
        incarnation: 5_693_141_926_459_386_523,
        known_terms: vec![(ShardId(0), Revision(27)), (ShardId(1), Revision(41))],
        state_silence: Span::millis(198),
        heartbeat_ages: vec![
            (NodeLabel::new("perch-0"), Span::millis(326)),
            (NodeLabel::new("perch-2"), Span::millis(8188)),
        ],
        message_version: 0,
    }
}

fn forwarded(client_request: ForwardedRequest) -> PeerMessage {
    PeerMessage::ClientRequest { number: ForwardNumber(59), shard: ShardId(2), client_request }
}

fn visit_common_messages(visitor: &mut impl SampleVisitor) {
    let job = JobId::new("wk-000003");
    let machine = MachineId::new("i-000231");
    visitor.message("Ask.Submit.plain", forwarded(ForwardedRequest::Submit(Box::new(plain_job()))));
    visitor.message("Ask.Submit.full", forwarded(ForwardedRequest::Submit(Box::new(full_job()))));
    visitor.message("Ask.Poll", forwarded(ForwardedRequest::Poll(job.clone())));
    visitor.message("Ask.Cancel", forwarded(ForwardedRequest::Cancel(job.clone())));
    visitor.message("Ask.Forecast", forwarded(ForwardedRequest::Forecast(job)));
    visitor.message("Ask.Report", forwarded(ForwardedRequest::WorkerHeartbeat(Box::new(worker_heartbeat()))));
    visitor
        .message("Answer", PeerMessage::Answer { number: ForwardNumber(72), reply: Reply::error(404, "no such job") });
    let busy = Reply { busy_reason: None, ..Reply::busy(BusyReason::NotLeader) };
    visitor.message("Answer.busy", PeerMessage::Answer { number: ForwardNumber(73), reply: busy });
    visitor.message("Released", PeerMessage::Released { shard: ShardId(1) });
    visitor.message("Take", PeerMessage::RequestMachine { machine: machine.clone(), shard: ShardId(1) });
    visitor.message("Moved", PeerMessage::MachineTransferred { machine, shard: ShardId(0) });
}

/// Returns a job view with the fields that the version in production sends.
fn job_view(state: JobState) -> JobView {
    JobView {
        id: JobId::new("wk-000412"),
        state,
        done: 3,
        running: 13,
        waits_for: vec![],
        waits_for_count: None,
        withdrawn_with: None,
    }
}

fn forecast_view() -> ForecastView {
    let interval = Interval { low_s: 1.5, middle_s: 2.25, high_s: 10.0 };
    ForecastView {
        id: JobId::new("wk-000412"),
        state: JobState::Running,
        done: 3,
        running: 2,
        tasks: 16,
        task: Some(TaskForecast { run: interval, observations: 40, level: Level::ClassAndSize }),
        finish: Some(interval),
        promise: Some(PromiseView { by_s: -3.5, by_ms: 1_700_000_002_001, made_s: 60.0, revisions: 1 }),
        record: ForecastAccuracy {
            run_times_judged: 100,
            inside_interval: Some(0.81),
            within_quarter: Some(0.5),
            promises_judged: 20,
            promises_kept: Some(0.95),
        },
    }
}

fn recovery_summary(stage: Stage) -> Summary {
    Summary {
        stage,
        age_ms: 4000,
        jobs: 12,
        machines: 9,
        unreconciled: 2,
        loaded_ms: Some(150),
        half_reconciled_ms: Some(600),
        nearly_reconciled_ms: None,
        first_task_started_ms: Some(700),
        serving_ms: None,
        queries: 31,
        answer_p50_ms: Some(12),
        answer_p99_ms: Some(420),
    }
}

fn visit_common_views(visitor: &mut impl SampleVisitor) {
    visitor.view("job.pending", job_view(JobState::Queued));
    visitor.view("job.running", job_view(JobState::Running));
    visitor.view("job.done", job_view(JobState::Done));
    visitor.view("job.withdrawn", job_view(JobState::Cancelled));
    visitor.view("forecast.full", forecast_view());
    visitor.view("forecast.bare", ForecastView { task: None, finish: None, promise: None, ..forecast_view() });
    for level in [Level::Estimate, Level::Class, Level::ClassAndSize, Level::Kind] {
        visitor.view(&format!("forecast.level.{level:?}"), level);
    }
    visitor.view("recovery.claimed", recovery_summary(Stage::Acquired));
    visitor.view("recovery.loaded", recovery_summary(Stage::Loaded));
    visitor.view("recovery.proving", recovery_summary(Stage::Reconciling));
    visitor.view("recovery.serving", recovery_summary(Stage::Serving));
}

fn visit_state_requests(visitor: &mut impl SampleVisitor) {
    let put = |key: &str, lease| Change::Put {
        key: key.into(),
        value: records::to_value(&LivenessRecord { node: NodeLabel::new("perch-1") }),
        lease,
    };
    let commit = StateCall::Commit {
        conditions: vec![Condition::version("shard/1", Revision(412)), Condition::absent("shard/2")],
        changes: vec![put("shard/1", Some(LeaseId(7))), put("shard/2", None), Change::Delete("live/wk-1".into())],
    };
    visitor.request("state.get", StateCall::Get("shard/1".into()).request());
    visitor.request("state.list", StateCall::List { prefix: "live/", after: None }.request());
    visitor.request("state.list.after", StateCall::List { prefix: "live/", after: Some("live/wk-1".into()) }.request());
    visitor.request("state.watch", StateCall::Watch { prefix: "live/", after: Revision(431) }.request());
    visitor.request("state.commit", commit.request());
    visitor.request("state.grant", StateCall::Grant { ttl_ms: 5000 }.request());
    visitor.request("state.keep-alive", StateCall::KeepAlive(LeaseId(7)).request());
}

fn visit_cloud_requests(visitor: &mut impl SampleVisitor) {
    let rent =
        CloudCall::Rent { request: "r-17".into(), kind: Name::new("g8"), zone: Name::new("a"), spot: true, count: 12 };
    visitor.request("cloud.catalog", CloudCall::Catalog.request());
    visitor.request("cloud.rent", rent.request());
    visitor.request("cloud.delete", CloudCall::Delete(vec![MachineId::new("i-000231")]).request());
    visitor.request("cloud.list", CloudCall::List { after: None }.request());
    visitor.request("cloud.list.after", CloudCall::List { after: Some(MachineId::new("i-000230")) }.request());
}

fn visit_worker_traffic(visitor: &mut impl SampleVisitor) {
    let commands = vec![
        Command::Run { task: task_id(4), attempt: AttemptNumber(2) },
        Command::Stop { task: task_id(1), attempt: AttemptNumber(1), grace_s: 10.0 },
        Command::Forget { task: task_id(0), attempt: AttemptNumber(u64::MAX) },
    ];
    visitor.reply("worker.accepted", accepted(FencingToken(41), &commands));
    visitor.reply("worker.redirect", redirect(Some("perch-2")));
    visitor.reply("worker.redirect.unknown", redirect(None));
    visitor
        .request("worker.commands", WorkerCall { token: FencingToken(41), epoch: AgentEpoch(3), commands }.request());
}

/// Visits the samples that the version in production does not know: those about jobs that wait for prerequisites.
pub fn visit_waiting_jobs(visitor: &mut impl SampleVisitor) {
    let prerequisites = vec![JobId::new("wk-000003"), JobId::new("wk-000007")];
    let waiting = JobSpec { prerequisites: prerequisites.clone(), ..full_job() };
    visitor.record(
        "live/waiting",
        LiveRecord {
            shard: records::NO_SHARD,
            home_shard: Some(ShardId(1)),
            parts: 2,
            ready_ms: Some(1_700_000_009_000),
            ..live_record(waiting.clone())
        },
    );
    visitor.record(
        "end/with-cause",
        FinalRecord { state: FinalState::Cancelled, done: 0, cause: Some(JobId::new("wk-000003")) },
    );
    visitor.record("part", PartRecord { needs: prerequisites.clone() });
    visitor.message("Ask.SubmitWaiting", forwarded(ForwardedRequest::SubmitWaiting(Box::new(waiting))));
    visitor.message("Beat", peer_heartbeat_of_this_version());
    visitor.view("job.waiting", JobView::waiting(&JobId::new("wk-000412"), prerequisites.iter()));
    visitor.view(
        "job.withdrawn-with",
        JobView { withdrawn_with: Some(JobId::new("wk-000003")), ..job_view(JobState::Cancelled) },
    );
}

/// Returns the heartbeat between controllers as this version sends it.
fn peer_heartbeat_of_this_version() -> PeerMessage {
    let mut heartbeat = peer_heartbeat();
    if let PeerMessage::Heartbeat { message_version, .. } = &mut heartbeat {
        *message_version = crowstall::protocol::peers::MESSAGE_VERSION;
    }
    heartbeat
}

/// Returns method, path and body of invalid requests, which are rejected.
pub fn refused_requests() -> Vec<(&'static str, &'static str, String)> {
    let mut requests = vec![
        ("GET", "/hello", String::new()),
        ("POST", "/hello", "{}".into()),
        ("POST", "/up", String::new()),
        ("POST", "/v1/recoveries", String::new()),
        ("GET", "/v1/jobs", String::new()),
        ("POST", "/v1/jobs/wk-1", String::new()),
        ("GET", "/v1/jobs/wk-1/cancel", String::new()),
        ("POST", "/v1/jobs/wk-1/forecast", String::new()),
        ("GET", "/v1/jobs/wk-x", String::new()),
        ("GET", "/v1/jobs/a/b", String::new()),
        ("GET", "/other", String::new()),
        ("POST", "/v1/jobs", "{".into()),
        ("POST", "/v1/jobs", "[]".into()),
        ("POST", "/v1/jobs", "{}".into()),
        ("POST", "/v1/jobs", r#"{"id":"job-1"}"#.into()),
        ("POST", "/v1/jobs", r#"{"id":7}"#.into()),
    ];
    requests.extend(broken_submissions().into_iter().map(|body| ("POST", "/v1/jobs", body)));
    requests
}

fn submission() -> serde_json::Value {
    serde_json::json!({"id":"wk-000412","brood":"train","flock":"vision","gait":"sweep","pecking":"high","clutch":16,
        "cores":8.0,"gpus":1.0,"ram_gb":64.0,"plumage":"img-07","image_gb":6.2,"breeds":["g8"],"roost":null,
        "together":true,"spread":false,"scavenged":true,"flight_s":240.0,"cache_s":30.0,"stash_s":4.0,
        "dusk_s":900.0})
}

fn broken_submissions() -> Vec<String> {
    let without = submission().as_object().expect("an object").keys().cloned().collect::<Vec<_>>();
    let missing = without.iter().filter(|field| *field != "id").map(|field| {
        let mut body = submission();
        body.as_object_mut().expect("an object").remove(field);
        body.to_string()
    });
    let wrong = wrong_values().into_iter().map(|(field, value)| {
        let mut body = submission();
        body[field] = value;
        body.to_string()
    });
    missing.chain(wrong).collect()
}

fn wrong_values() -> Vec<(&'static str, serde_json::Value)> {
    use serde_json::json;
    let long = "x".repeat(201);
    let amounts = ["cores", "gpus", "ram_gb", "image_gb", "flight_s", "cache_s", "stash_s", "dusk_s"];
    let mut values: Vec<(&'static str, serde_json::Value)> = amounts
        .iter()
        .flat_map(|field| [(*field, json!(-1.0)), (*field, json!(1e300)), (*field, json!("1"))])
        .collect();
    values.extend([
        ("cores", json!(0)),
        ("clutch", json!(0)),
        ("clutch", json!(100_001)),
        ("clutch", json!(1.5)),
        ("gait", json!("gallop")),
        ("pecking", json!("urgent")),
        ("together", json!("yes")),
        ("brood", json!("")),
        ("flock", json!(long)),
        ("plumage", json!("")),
        ("breeds", json!("g8")),
        ("breeds", json!([""])),
        ("breeds", json!(vec!["g8"; 65])),
        ("roost", json!("")),
        ("roost", json!(long)),
        ("awaits", json!(["job-1"])),
        ("awaits", json!("wk-1")),
    ]);
    values
}
