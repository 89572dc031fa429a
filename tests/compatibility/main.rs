//! Compatibility during rolling upgrades: this version reads what earlier versions wrote, and writes the same bytes, so
//! that earlier versions can read what this version writes.
//!
//! `fixtures/version_68b31c0.json` was written by the version in production, `fixtures/version_34920fc.json` by the
//! last version before identifiers were renamed, both from the values in `samples`. A record is stored as the text
//! of its JSON value, a message between controllers as its CBOR bytes in hexadecimal.

mod recoveries;
mod samples;

use crowstall::model::NodeLabel;
use crowstall::protocol::peers::{self, Envelope, PeerMessage};
use crowstall::protocol::users::{self, ClientRequest};
use crowstall::protocol::{Outgoing, Reply};
use crowstall::storage::records::to_value;
use samples::SampleVisitor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;

const PRODUCTION: &str = include_str!("../fixtures/version_68b31c0.json");
const BEFORE_RENAMES: &str = include_str!("../fixtures/version_34920fc.json");

/// Output of an earlier version for the samples, by the name of the sample.
#[derive(Deserialize)]
struct Fixture {
    records: BTreeMap<String, String>,
    messages: BTreeMap<String, String>,
    views: BTreeMap<String, String>,
    requests: BTreeMap<String, String>,
    replies: BTreeMap<String, String>,
    #[serde(default)]
    refusals: Vec<String>,
}

impl Fixture {
    fn parse(text: &str) -> Fixture {
        serde_json::from_str(text).expect("the fixture is valid")
    }

    /// Panics if an entry of the fixture was not compared with a sample.
    fn assert_all_compared(&self) {
        let uncompared = [&self.records, &self.messages, &self.views, &self.requests, &self.replies];
        let uncompared: Vec<&String> = uncompared.iter().flat_map(|part| part.keys()).collect();
        assert!(uncompared.is_empty(), "entries of the fixture without a sample: {uncompared:?}");
    }
}

/// Removes an entry from a part of the fixture and returns it.
fn take(part: &mut BTreeMap<String, String>, name: &str) -> String {
    part.remove(name).unwrap_or_else(|| panic!("sample {name} has no entry in the fixture"))
}

/// Compares each sample with the output of the earlier version.
impl SampleVisitor for Fixture {
    fn record<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, key: &str, record: T) {
        let written = take(&mut self.records, key);
        assert_eq!(serde_json::from_str::<T>(&written).expect(key), record, "{key}: value read from the fixture");
        assert_eq!(to_value(&record).to_string(), written, "{key}: text written");
    }

    fn message(&mut self, name: &str, message: PeerMessage) {
        let written = take(&mut self.messages, name);
        let envelope = envelope(message);
        assert_eq!(
            peers::decode(&from_hex(&written)).as_ref(),
            Some(&envelope),
            "{name}: message read from the fixture"
        );
        assert_eq!(to_hex(&peers::encode(&envelope)), written, "{name}: bytes written");
    }

    fn view<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, view: T) {
        let written = take(&mut self.views, name);
        assert_eq!(serde_json::from_str::<T>(&written).expect(name), view, "{name}: value read from the fixture");
        assert_eq!(Reply::json(200, &view).body, written, "{name}: text written");
    }

    fn request(&mut self, name: &str, request: Outgoing) {
        let body = request.body.map_or("-".into(), |body| String::from_utf8(body).expect("text"));
        let sent = format!("{} {} {body}", request.method, request.path);
        assert_eq!(sent, take(&mut self.requests, name), "{name}: request sent");
    }

    fn reply(&mut self, name: &str, reply: Reply) {
        assert_eq!(reply_text(&reply), take(&mut self.replies, name), "{name}: reply sent");
    }
}

fn envelope(message: PeerMessage) -> Envelope {
    Envelope { from: NodeLabel::new("perch-1"), message }
}

fn reply_text(reply: &Reply) -> String {
    format!("{} {:?} {}", reply.status, reply.retry_after, reply.body)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

#[test]
fn the_version_before_the_renames_is_read_and_written_byte_for_byte() {
    let mut fixture = Fixture::parse(BEFORE_RENAMES);
    samples::visit_common(&mut fixture);
    samples::visit_waiting_jobs(&mut fixture);
    fixture.assert_all_compared();
}

#[test]
fn the_version_in_production_is_read_and_written_byte_for_byte() {
    let mut fixture = Fixture::parse(PRODUCTION);
    // The heartbeat between controllers has one more field now; the next test compares it.
    fixture.messages.remove("Beat").expect("a heartbeat");
    samples::visit_common(&mut fixture);
    fixture.assert_all_compared();
}

/// The heartbeat between controllers has one more field at its end, which the version in production ignores.
#[test]
fn the_heartbeat_of_the_version_in_production_is_ours_without_the_last_field() {
    let production_bytes = Fixture::parse(PRODUCTION).messages["Beat"].clone();
    assert_eq!(peers::decode(&from_hex(&production_bytes)), Some(envelope(samples::peer_heartbeat())));
    let current_bytes = to_hex(&peers::encode(&envelope(samples::peer_heartbeat())));
    let name = to_hex(b"Beat");
    let (map_of_9, map_of_10) = (format!("{name}a9"), format!("{name}aa"));
    assert!(production_bytes.contains(&map_of_9), "{production_bytes}");
    let added_field = "66".to_string() + &to_hex(b"speaks") + "00";
    assert_eq!(current_bytes, production_bytes.replacen(&map_of_9, &map_of_10, 1) + &added_field);
}

#[test]
fn refusals_read_as_before() {
    let refusals = samples::refused_requests().into_iter().map(|(method, path, body)| {
        match users::parse(method, path, body.as_bytes()) {
            ClientRequest::Submit(Err(invalid)) => {
                let id = invalid.id.as_ref().map_or("-", |id| id.as_str());
                format!("{id} {}", invalid.reason)
            }
            ClientRequest::Fixed(reply) => reply_text(&reply),
            ClientRequest::Submit(Ok(_)) => "accepted".into(),
            other => panic!("{method} {path}: {other:?}"),
        }
    });
    assert_eq!(refusals.collect::<Vec<String>>(), Fixture::parse(BEFORE_RENAMES).refusals);
}
