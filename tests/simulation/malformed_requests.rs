//! Submissions that have to be rejected: a required field is missing or has the wrong type, the team is unknown, no
//! machine fits the tasks, or the team's quota is too small.

use super::*;
use crowstall::protocol::users;
use serde_json::{Value, json};

/// Reason for which a submission has to be rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Malformed submission, rejected with the status 400.
    Malformed,
    /// Well-formed submission that can never be executed, rejected with the status 422.
    Unsatisfiable,
}

impl Rejection {
    /// Returns the status of the expected reply.
    fn status(self) -> u16 {
        match self {
            Rejection::Malformed => 400,
            Rejection::Unsatisfiable => 422,
        }
    }
}

/// Required fields of a submission.
const REQUIRED: [&str; 17] = [
    "brood",
    "flock",
    "gait",
    "pecking",
    "clutch",
    "cores",
    "gpus",
    "ram_gb",
    "together",
    "spread",
    "scavenged",
    "plumage",
    "image_gb",
    "flight_s",
    "cache_s",
    "stash_s",
    "id",
];

/// Returns a valid submission.
fn submission(id: &JobId) -> Value {
    json!({"id": id.to_string(), "brood": "batch", "flock": "limited", "gait": "sweep", "pecking": "normal", "clutch": 2,
        "cores": 1.0, "gpus": 0.0, "ram_gb": 1.0, "plumage": "img-1", "image_gb": 0.5, "breeds": null, "roost": null,
        "together": false, "spread": false, "scavenged": true, "flight_s": 3.0, "cache_s": 0.0, "stash_s": 0.0,
        "dusk_s": null})
}

/// Returns the `number`-th invalid submission and the reason for its rejection. The sequence goes through all required
/// fields once for each defect of a field, and then through unsatisfiable submissions.
fn invalid_submission(id: &JobId, number: u32) -> (Value, Rejection) {
    let mut body = submission(id);
    let field = REQUIRED[number as usize % REQUIRED.len()];
    let fields = body.as_object_mut().expect("a submission is an object");
    match number / REQUIRED.len() as u32 % 4 {
        0 => _ = fields.remove(field),
        1 => fields[field] = Value::Null,
        2 => fields[field] = json!({ "not": "this" }),
        _ => {
            make_unsatisfiable(fields, number);
            return (body, Rejection::Unsatisfiable);
        }
    }
    (body, Rejection::Malformed)
}

/// Changes a valid submission so that its team is unknown, no machine fits its tasks, or the team's quota is too small.
fn make_unsatisfiable(fields: &mut serde_json::Map<String, Value>, number: u32) {
    let changes = [
        ("flock", json!("nobody")),
        ("cores", json!(64.0)),
        ("ram_gb", json!(500.0)),
        ("gpus", json!(9.0)),
        ("breeds", json!(["none-such"])),
        ("breeds", json!([])),
        ("roost", json!("none-such")),
    ];
    let (field, value) = changes[number as usize % 8 % 7].clone();
    fields[field] = value;
    if number % 8 == 7 {
        // All replicas of a service run at the same time. Here they need 18 CPUs, and the quota is 16.
        let service = json!({"flock": "limited", "gait": "daemon", "clutch": 9, "cores": 2.0});
        fields.extend(service.as_object().cloned().unwrap_or_default());
    }
}

impl Simulation {
    /// Schedules invalid submissions at an interval from now until `until`, each to a random controller.
    pub fn schedule_malformed_requests(&mut self, until: u64, interval: u64) {
        let mut at = self.now;
        while at < until {
            let node = self.rng.random_range(0..CONTROLLERS);
            self.schedule(at, ScheduledEvent::MalformedRequest { node });
            at += interval;
        }
    }

    pub(super) fn send_malformed_request(&mut self, node: usize) {
        // Takes a number as every request does. The number itself is not used.
        self.next_sequence_number();
        let job = JobId::new(&format!("wk-8{:05}", self.malformed_requests_sent));
        let (mut body, expected) = invalid_submission(&job, self.malformed_requests_sent);
        self.malformed_requests_sent += 1;
        if self.disabled == DisabledSafeguard::RequestValidation {
            body = submission(&job);
        }
        let request = users::parse("POST", "/v1/jobs", body.to_string().as_bytes());
        if self.is_up(node)
            && let Some(at) = self.packet_arrival(Endpoint::Users, Endpoint::Controller(node))
        {
            let origin = RequestOrigin::MalformedRequest { job, expected };
            self.schedule(at, ScheduledEvent::ClientRequestArrives { node, origin, request });
        }
    }

    /// Checks the reply to an invalid submission, and that the job was not recorded.
    pub(super) fn check_malformed_request_reply(&mut self, job: &JobId, expected: Rejection, reply: &Reply) {
        self.observations.malformed_requests.answered += 1;
        match reply.status {
            status if status == expected.status() => self.observations.malformed_requests.rejected += 1,
            503 => {}
            status => {
                let detail = format!("the invalid submission {job} got the reply {status} {}", reply.body);
                self.record_violation(Rule::AcceptedInvalid, detail);
            }
        }
        if self.has_live_record(job) {
            self.record_violation(Rule::AcceptedInvalid, format!("the job {job} of an invalid submission is recorded"));
        }
    }
}
