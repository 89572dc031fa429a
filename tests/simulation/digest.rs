//! Digest of all inputs and outputs of the controllers of a simulation.
//!
//! The digest covers the wire form of the data and not the program's identifiers, so that it does not change when
//! types, fields and functions are renamed or moved.

use crowstall::coordination::{Action, Event};
use crowstall::protocol::Outgoing;
use crowstall::protocol::peers::{self, Envelope};
use crowstall::protocol::state::StateAnswer;
use crowstall::protocol::users::ClientRequest;
use sha2::{Digest, Sha256};

/// Digest of events and actions in the order in which they occur.
#[derive(Default)]
pub struct TraceDigest(Sha256);

impl TraceDigest {
    /// Adds an event that is passed to a controller.
    pub fn event(&mut self, time: u64, node: usize, event: &Event) {
        self.number(time);
        self.number(node as u64);
        match event {
            Event::ClientRequest { id, client_request: request } => {
                self.text("request");
                self.number(id.0);
                self.request(request);
            }
            Event::State { call, answer } => {
                self.text("state");
                self.number(call.0);
                self.text(match answer {
                    Err(_) => "failed",
                    Ok(StateAnswer::Found(_)) => "found",
                    Ok(StateAnswer::Missing) => "missing",
                    Ok(StateAnswer::Page { .. }) => "page",
                    Ok(StateAnswer::Committed(_)) => "committed",
                    Ok(StateAnswer::Conflict(_)) => "conflict",
                    Ok(_) => "other",
                });
            }
            Event::Cloud { call, answer } => self.answer("cloud", call.0, answer.is_ok()),
            Event::Worker { call, answer } => self.answer("worker", call.0, answer.is_ok()),
            Event::Probe { call, alive } => self.answer("probe", call.0, *alive),
            Event::Peer(envelope) => self.bytes(&peers::encode(envelope)),
            Event::Tick => self.text("tick"),
        }
    }

    /// Adds an action of a controller.
    pub fn action(&mut self, node: usize, action: &Action) {
        self.number(node as u64);
        match action {
            Action::Reply { id, reply } => {
                self.number(id.0);
                self.number(u64::from(reply.status));
                self.number(u64::from(reply.retry_after.unwrap_or(0)));
                // Successful replies contain the states of jobs, which must not change; the texts of errors may.
                if reply.status < 400 {
                    self.text(&reply.body);
                }
            }
            Action::State { call, request } => self.call(call.0, &request.request()),
            Action::Cloud { call, request } => self.call(call.0, &request.request()),
            Action::Worker { call, addr, request } => {
                self.text(&addr.to_string());
                self.call(call.0, &request.request());
            }
            Action::Probe { call, addr } => {
                self.number(call.0);
                self.text(&addr.to_string());
            }
            Action::SendToPeer { to, message } => {
                let envelope = Envelope { from: to.clone(), message: message.clone() };
                self.bytes(&peers::encode(&envelope));
            }
        }
    }

    /// Returns the first 16 bytes of the digest in hexadecimal form.
    pub fn finish(&self) -> String {
        self.0.clone().finalize().iter().take(16).map(|byte| format!("{byte:02x}")).collect()
    }

    fn request(&mut self, request: &ClientRequest) {
        match request {
            ClientRequest::Submit(Ok(spec)) => self.text(spec.id.as_str()),
            ClientRequest::Poll(job) | ClientRequest::Cancel(job) | ClientRequest::Forecast(job) => {
                self.text(job.as_str());
            }
            ClientRequest::WorkerHeartbeat(heartbeat) => {
                self.bytes(&serde_json::to_vec(heartbeat).expect("a heartbeat can be encoded"));
            }
            ClientRequest::Submit(Err(_)) | ClientRequest::Recoveries | ClientRequest::Up | ClientRequest::Fixed(_) => {
                self.text("other");
            }
        }
    }

    fn call(&mut self, call: u64, outgoing: &Outgoing) {
        self.number(call);
        self.text(outgoing.method);
        self.text(&outgoing.path);
        self.bytes(outgoing.body.as_deref().unwrap_or_default());
    }

    fn answer(&mut self, service: &str, call: u64, succeeded: bool) {
        self.text(service);
        self.number(call);
        self.number(u64::from(succeeded));
    }

    fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    fn number(&mut self, number: u64) {
        self.0.update(number.to_be_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.0.update(bytes);
    }
}
