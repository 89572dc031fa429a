//! Field names in the reply to `GET /v1/recoveries` of a controller that leads shards.

use crowstall::config::Settings;
use crowstall::coordination::{Action, ClientRequestId, Clock, Controller, Event};
use crowstall::model::{LeaseId, Revision};
use crowstall::protocol::state::{StateAnswer, StateCall};
use crowstall::protocol::users::ClientRequest;
use crowstall::time::{Span, Time};
use std::collections::VecDeque;

const SETTINGS: &str = r#"
label = "perch-0"
area = "a"
front = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
peers = []
[services]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[facts]
size = 1
zones = ["a"]
time_bound_ms = 25.0
[[facts.teams]]
name = "t"
cpus = 4.0
[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[facts.state]
rps = 100.0
write_rps = 100.0
value_kb = 4.0
txn_ops = 8
[facts.cloud]
rps = 5.0
list_lag_s = 8.0
[facts.machine_limits]
max_sockets = 100
"#;

const START: Time = Time(1_000_000);
const TICK: Span = Span::millis(100);
const REQUEST: ClientRequestId = ClientRequestId(1);

/// Simulated state service without records, which accepts every transaction.
struct AcceptingState {
    revision: u64,
}

impl AcceptingState {
    fn answer(&mut self, request: &StateCall) -> StateAnswer {
        match request {
            StateCall::Get(_) => StateAnswer::Missing,
            StateCall::List { .. } => {
                StateAnswer::Page { entries: vec![], more: false, revision: Revision(self.revision) }
            }
            StateCall::Watch { .. } => StateAnswer::Changes { log: vec![], revision: Revision(self.revision) },
            StateCall::Commit { .. } => {
                self.revision += 1;
                StateAnswer::Committed(Revision(self.revision))
            }
            StateCall::Grant { .. } => StateAnswer::Granted(LeaseId(7)),
            StateCall::KeepAlive(_) => StateAnswer::KeptAlive,
        }
    }
}

/// Returns the body of the reply after a controller has run on its own for half a minute.
fn recoveries_of_a_lone_controller() -> serde_json::Value {
    let settings = Settings::parse(SETTINGS, None).unwrap_or_else(|error| panic!("{}", error));
    let mut now = START;
    let clock = |now| Clock { steady: now, wall_clock_ms: 1_700_000_000_000 };
    let mut controller = Controller::new(settings, 1, clock(now));
    let mut state = AcceptingState { revision: 0 };
    for _ in 0..300 {
        now += TICK;
        let mut events = VecDeque::from([Event::Tick]);
        while let Some(event) = events.pop_front() {
            for action in controller.handle(clock(now), event) {
                if let Action::State { call, request } = action {
                    events.push_back(Event::State { call, answer: Ok(state.answer(&request)) });
                }
            }
        }
    }
    let request_event = Event::ClientRequest { id: REQUEST, client_request: ClientRequest::Recoveries };
    let reply = controller.handle(clock(now), request_event).into_iter().find_map(|action| match action {
        Action::Reply { id: REQUEST, reply } => Some(reply),
        _ => None,
    });
    serde_json::from_str(&reply.expect("a reply").body).expect("JSON")
}

fn field_names(value: &serde_json::Value) -> Vec<&str> {
    value.as_object().expect("an object").keys().map(String::as_str).collect()
}

#[test]
fn recoveries_keep_their_field_names() {
    let body = recoveries_of_a_lone_controller();
    assert_eq!(field_names(&body), ["held", "node", "past"]);
    let expected = [
        "age_ms",
        "answer_p50_ms",
        "answer_p99_ms",
        "asks",
        "claim",
        "claimed_ms",
        "first_bind_ms",
        "half_proven_ms",
        "jobs",
        "loaded_ms",
        "machines",
        "nearly_proven_ms",
        "reclaimed",
        "serving_ms",
        "shard",
        "stage",
        "unproven",
    ];
    assert_eq!(field_names(&body["held"][0]), expected);
}
