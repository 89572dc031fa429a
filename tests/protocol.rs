//! Parsing of valid and malformed requests from users, workers and controllers, and of the state service's and the
//! cloud's answers.

use crowstall::model::*;
use crowstall::protocol::CallError;
use crowstall::protocol::cloud::{CloudAnswer, CloudCall};
use crowstall::protocol::peers;
use crowstall::protocol::state::{Change, StateAnswer, StateCall, WatchedChange};
use crowstall::protocol::users::{ClientRequest, parse};
use crowstall::protocol::workers::{Exit, TaskState};
use crowstall::storage::range_set::RangeSet;
use crowstall::transport::http::{ParseError, Parsed, parse_request, parse_response};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeSet;

fn submission() -> Value {
    json!({"id":"wk-000412","brood":"train","flock":"vision","gait":"sweep","pecking":"high","clutch":16,
        "cores":8.0,"gpus":1.0,"ram_gb":64.0,"plumage":"img-07","image_gb":6.2,"breeds":["g8"],"roost":null,
        "together":true,"spread":false,"scavenged":true,"flight_s":240.0,"cache_s":30.0,"stash_s":4.0,
        "dusk_s":900.0,"unknown":{"a":1}})
}

fn submit(body: &Value) -> ClientRequest {
    parse("POST", "/v1/jobs", body.to_string().as_bytes())
}

#[test]
fn a_submission_is_parsed() {
    let ClientRequest::Submit(Ok(spec)) = submit(&submission()) else { panic!("the submission was rejected") };
    assert_eq!((spec.id.as_str(), spec.class.as_str(), spec.team.as_str()), ("wk-000412", "train", "vision"));
    assert_eq!((spec.kind, spec.priority, spec.tasks), (JobKind::Array, Priority::High, 16));
    assert_eq!(spec.needs.cpus, Quantity::new(8.0));
    assert_eq!(spec.types, Some(vec![Name::new("g8")]));
    assert!(spec.one_zone && spec.spot && !spec.spread && spec.zone.is_none());
    assert_eq!(spec.deadline_s, Some(900.0));
}

#[test]
fn prerequisites_are_parsed_and_deduplicated() {
    let mut body = submission();
    for none in [json!(null), json!([])] {
        body["awaits"] = none;
        assert!(matches!(submit(&body), ClientRequest::Submit(Ok(spec)) if spec.prerequisites.is_empty()));
    }
    body["awaits"] = json!(["wk-000007", "wk-000003", "wk-000007"]);
    let ClientRequest::Submit(Ok(spec)) = submit(&body) else { panic!("the submission was rejected") };
    assert_eq!(spec.prerequisites, [JobId::new("wk-000003"), JobId::new("wk-000007")]);
}

/// Guards rolling upgrades: a newer version may send messages that this version does not know.
#[test]
fn unknown_peer_messages_are_dropped() {
    let known = peers::Envelope {
        from: NodeLabel::new("perch-1"),
        message: peers::PeerMessage::Released { shard: ShardId(1) },
    };
    let mut value = ciborium::value::Value::serialized(&known).expect("the message can be serialized");
    let rename_message = |value: &mut ciborium::value::Value, name: &str| {
        let fields = value.as_map_mut().expect("a map");
        let message = fields.iter_mut().find(|(key, _)| key.as_text() == Some("message")).expect("a message");
        message.1.as_map_mut().expect("named")[0].0 = name.into();
    };
    let write = |value: &ciborium::value::Value| {
        let mut bytes = Vec::new();
        ciborium::into_writer(value, &mut bytes).expect("the message can be serialized");
        bytes
    };
    assert_eq!(peers::decode(&write(&value)), Some(known));
    rename_message(&mut value, "Foretold");
    assert_eq!(peers::decode(&write(&value)), None);
}

#[test]
fn each_invalid_field_is_refused_and_the_id_is_kept() {
    let invalid = [
        ("clutch", json!(0)),
        ("clutch", json!(100_001)),
        ("clutch", json!(-1)),
        ("clutch", json!(1.5)),
        ("clutch", json!("7")),
        ("cores", json!(-1.0)),
        ("cores", json!(0)),
        ("cores", json!(null)),
        ("cores", json!("NaN")),
        ("ram_gb", json!(1e300)),
        ("gait", json!("gallop")),
        ("pecking", json!("urgent")),
        ("together", json!("yes")),
        ("breeds", json!("g8")),
        ("roost", json!(7)),
        ("dusk_s", json!(-5)),
        ("awaits", json!("wk-1")),
        ("awaits", json!({"wk-1": 1})),
        ("awaits", json!(["job-1"])),
        ("awaits", json!([7])),
        ("flock", json!("")),
    ];
    for (field, value) in invalid {
        let mut body = submission();
        body[field] = value.clone();
        match submit(&body) {
            ClientRequest::Submit(Err(invalid)) => assert_eq!(invalid.id, Some(JobId::new("wk-000412")), "{field}"),
            other => panic!("{field} {value}: {other:?}"),
        }
    }
}

#[test]
fn only_optional_fields_may_be_missing() {
    for field in ["brood", "gait", "pecking", "clutch", "cores", "gpus", "plumage", "flight_s", "together"] {
        let mut body = submission();
        body.as_object_mut().unwrap().remove(field);
        assert!(matches!(submit(&body), ClientRequest::Submit(Err(_))), "{field} missing, although it is required");
    }
    for field in ["breeds", "roost", "dusk_s"] {
        let mut body = submission();
        body.as_object_mut().unwrap().remove(field);
        assert!(matches!(submit(&body), ClientRequest::Submit(Ok(_))), "{field} missing, although it is optional");
    }
}

#[test]
fn submissions_without_a_valid_id_are_refused() {
    for id in ["wk-", "job-1", "wk-1a", "wk-1/2", "", "WK-1"] {
        let mut body = submission();
        body["id"] = json!(id);
        assert!(matches!(submit(&body), ClientRequest::Submit(Err(invalid)) if invalid.id.is_none()), "{id}");
    }
    for body in [&b"[]"[..], b"7", b"{", b"", b"\xff\xfe", b"{\"id\":NaN}"] {
        assert!(matches!(parse("POST", "/v1/jobs", body), ClientRequest::Submit(Err(_))));
    }
}

#[test]
fn paths_and_methods_select_the_request() {
    let status = |method: &str, path: &str| match parse(method, path, b"") {
        ClientRequest::Fixed(reply) => reply.status,
        _ => 0,
    };
    assert_eq!(status("GET", "/nowhere"), 404);
    assert_eq!(status("GET", "/v1/jobs/other-1"), 404);
    assert_eq!(status("GET", "/v1/jobs/wk-1/tasks"), 404);
    assert_eq!(status("DELETE", "/v1/jobs/wk-1"), 405);
    assert_eq!(status("GET", "/v1/jobs"), 405);
    assert_eq!(status("GET", "/v1/jobs/wk-1/cancel"), 405);
    assert_eq!(status("POST", "/v1/jobs/wk-1/forecast"), 405);
    assert_eq!(status("GET", "/v1/jobs/other-1/forecast"), 404);
    assert_eq!(parse("GET", "/v1/jobs/wk-1/forecast", b""), ClientRequest::Forecast(JobId::new("wk-1")));
    assert_eq!(status("POST", "/up"), 405);
    assert_eq!(status("POST", "/hello"), 400);
    assert_eq!(parse("GET", "/v1/jobs/wk-1", b""), ClientRequest::Poll(JobId::new("wk-1")));
    assert_eq!(parse("POST", "/v1/jobs/wk-1/cancel", b"{}"), ClientRequest::Cancel(JobId::new("wk-1")));
}

#[test]
fn a_worker_heartbeat_is_parsed() {
    let body = json!({"perch":"i-000231","endpoint":"10.1.0.232:9000","breed":"g8","roost":"a","scavenged":true,
        "sitting":1,"caw":88,"crest":41,"shoo_s":12.5,
        "clutch":[{"egg":"wk-000412/3","hatch":2,"mood":"running"},
                  {"egg":"wk-000398/0","hatch":1,"mood":"ended","cause":"done"},
                  {"egg":"wk-000398/1","hatch":u64::MAX,"mood":"ended","cause":"unheard-of"}]});
    let ClientRequest::WorkerHeartbeat(heartbeat) = parse("POST", "/hello", body.to_string().as_bytes()) else {
        panic!("the heartbeat was rejected")
    };
    assert_eq!(
        (heartbeat.epoch, heartbeat.seq, heartbeat.token),
        (AgentEpoch(1), SequenceNumber(88), FencingToken(41))
    );
    assert_eq!(heartbeat.tasks[0].state, TaskState::Running);
    assert_eq!(heartbeat.tasks[1].state, TaskState::Exited(Exit::Done));
    assert_eq!(
        (heartbeat.tasks[2].attempt, heartbeat.tasks[2].state),
        (AttemptNumber(u64::MAX), TaskState::Exited(Exit::Error))
    );
    assert_eq!(heartbeat.notice.map(crowstall::time::Span::as_millis), Some(12_500));
}

#[test]
fn answers_of_the_state_service_are_interpreted() {
    let commit = StateCall::Commit { conditions: vec![], changes: vec![Change::Delete("a".into())] };
    assert_eq!(commit.answer(200, br#"{"tally":432}"#), Ok(StateAnswer::Committed(Revision(432))));
    assert_eq!(commit.answer(409, br#"{"failed":["a/b"],"tally":1}"#), Ok(StateAnswer::Conflict(vec!["a/b".into()])));
    assert_eq!(commit.answer(400, br#"{"error":"no such lease"}"#), Ok(StateAnswer::LeaseExpired));
    assert_eq!(commit.answer(400, b"{}"), Err(CallError::Unexpected(400)));
    assert_eq!(commit.answer(429, b""), Err(CallError::Refused { over_limit: true }));
    assert_eq!(commit.answer(503, b""), Err(CallError::Refused { over_limit: false }));
    assert_eq!(commit.answer(500, b""), Err(CallError::NoAnswer));
    assert_eq!(commit.answer(200, b"garbage"), Err(CallError::Unexpected(200)));
    assert_eq!(StateCall::KeepAlive(LeaseId(7)).answer(404, b""), Ok(StateAnswer::LeaseExpired));
    assert_eq!(StateCall::Get("a".into()).answer(404, br#"{"tally":1}"#), Ok(StateAnswer::Missing));
}

#[test]
fn answers_to_a_watch_are_interpreted() {
    let watch = StateCall::Watch { prefix: "live/", after: Revision(431) };
    assert_eq!(watch.request().path, "/watch?prefix=live/&after=431&wait_ms=0");
    let log = br#"{"tally":433,"log":[{"set":"live/a","data":{"x":1},"molt":433},{"delete":"live/b","molt":432}]}"#;
    let set = WatchedChange::Set { key: "live/a".into(), value: serde_json::json!({ "x": 1 }), version: Revision(433) };
    let delete = WatchedChange::Delete { key: "live/b".into(), version: Revision(432) };
    assert_eq!(watch.answer(200, log), Ok(StateAnswer::Changes { log: vec![set, delete], revision: Revision(433) }));
    assert_eq!(watch.answer(410, b""), Ok(StateAnswer::Compacted));
    // A change of an unknown kind is an error: skipping it would lose a change.
    assert_eq!(watch.answer(200, br#"{"tally":1,"log":[{"odd":"a","molt":1}]}"#), Err(CallError::Unexpected(200)));
}

#[test]
fn answers_to_a_rental_request_are_interpreted() {
    let rent =
        CloudCall::Rent { request: "r".into(), kind: Name::new("g"), zone: Name::new("a"), spot: true, count: 1 };
    assert_eq!(rent.answer(503, br#"{"error":"no capacity"}"#), Ok(CloudAnswer::NoCapacity));
    assert_eq!(rent.answer(503, br#"{"error":"trouble"}"#), Err(CallError::Refused { over_limit: false }));
    assert_eq!(rent.answer(200, br#"{"perches":["i-1"]}"#), Ok(CloudAnswer::Rented(vec![MachineId::new("i-1")])));
}

#[test]
fn http_requests_are_parsed_once_complete() {
    let wire = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcdGET /up HTTP/1.1\r\n\r\n";
    let length = wire.len() - b"GET /up HTTP/1.1\r\n\r\n".len();
    for end in 0..length {
        assert_eq!(parse_request(&wire[..end]), Ok(Parsed::Partial), "{end}");
    }
    let Ok(Parsed::Complete(request, used)) = parse_request(wire) else { panic!("the request is not complete") };
    assert_eq!((request.body.as_slice(), used, request.close), (&b"abcd"[..], length, false));
    let chunked = b"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let Ok(Parsed::Complete(request, used)) = parse_request(chunked) else {
        panic!("the chunked request is not complete")
    };
    assert_eq!((request.body.as_slice(), used), (&b"abcde"[..], chunked.len()));
    let broken = [
        (&b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"[..], ParseError::Malformed),
        (b"GET /up HTTP/1.1\r\nContent-Length: -1\r\n\r\n", ParseError::Malformed),
        (b"GET /up HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", ParseError::Malformed),
        (b"GET /up HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ParseError::Malformed),
        (b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", ParseError::BodyTooLarge),
        (b"POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n", ParseError::BodyTooLarge),
    ];
    for (bytes, error) in broken {
        assert_eq!(parse_request(bytes), Err(error), "{}", String::from_utf8_lossy(bytes));
    }
    let long = [b"GET / HTTP/1.1\r\nA: ".to_vec(), vec![b'x'; 20_000]].concat();
    assert_eq!(parse_request(&long), Err(ParseError::HeadTooLarge));
    let statuses = [ParseError::Malformed, ParseError::BodyTooLarge, ParseError::HeadTooLarge].map(ParseError::status);
    assert_eq!(statuses, [400, 413, 431]);
}

#[test]
fn malformed_input_makes_no_parser_panic() {
    let mut rng = SmallRng::seed_from_u64(1);
    let valid_inputs: Vec<Vec<u8>> = vec![
        submission().to_string().into_bytes(),
        b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd".to_vec(),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".to_vec(),
        br#"{"entries":[{"k":"a","data":{},"molt":4}],"truncated":true,"tally":431}"#.to_vec(),
    ];
    let mut parsed_inputs = 0;
    for _ in 0..20_000 {
        let mut bytes = valid_inputs[rng.random_range(0..valid_inputs.len())].clone();
        for _ in 0..rng.random_range(0..6) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..3) {
                0 => bytes[at] = rng.random(),
                1 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, rng.random()),
            }
        }
        parsed_inputs += usize::from(matches!(parse_request(&bytes), Ok(Parsed::Complete(..))));
        parsed_inputs += usize::from(matches!(parse_response(&bytes), Ok(Parsed::Complete(..))));
        parsed_inputs += usize::from(matches!(parse("POST", "/v1/jobs", &bytes), ClientRequest::Submit(Ok(_))));
        parsed_inputs += usize::from(matches!(parse("POST", "/hello", &bytes), ClientRequest::WorkerHeartbeat(_)));
        parsed_inputs += usize::from(peers::decode(&bytes).is_some());
        let list = StateCall::List { prefix: "live/", after: None };
        parsed_inputs += usize::from(list.answer(200, &bytes).is_ok());
        parsed_inputs += usize::from(CloudCall::Catalog.answer(200, &bytes).is_ok());
    }
    assert!(parsed_inputs > 1000, "only {parsed_inputs} inputs were parsed, although some are unchanged");
}

/// Checks the operations on a set as a whole. `at` is the bound of the complement and the number at which to divide.
fn check_whole_sets(ranges: &RangeSet, plain: &BTreeSet<u32>, at: u32) {
    let complement = ranges.complement(at);
    assert!(complement.iter().eq((0..at).filter(|n| !plain.contains(n))), "complement of {ranges} below {at}");
    let (below, rest) = ranges.clone().split_at(at);
    assert!(below.iter().eq(plain.range(..at).copied()), "{ranges} below {at}");
    assert!(rest.iter().eq(plain.range(at..).copied()), "{ranges} from {at} on");
    let mut all = rest;
    all.add_all(below);
    assert_eq!(&all, ranges);
    all.add_all(complement);
    assert!(all.iter().eq((0..at).chain(plain.range(at..).copied())), "{ranges} and its complement below {at}");
    assert!(all.count_ranges() <= 1 + ranges.count_ranges(), "{all} is not in its shortest form");
}

#[test]
fn range_sets_agree_with_plain_sets() {
    let mut rng = SmallRng::seed_from_u64(2);
    for _ in 0..200 {
        let (mut ranges, mut plain) = (RangeSet::new(), BTreeSet::new());
        for _ in 0..200 {
            let n = rng.random_range(0..60);
            if rng.random_bool(0.6) {
                assert_eq!(ranges.insert(n), plain.insert(n));
            } else {
                assert_eq!(ranges.remove(n), plain.remove(&n));
            }
            assert!(ranges.iter().eq(plain.iter().copied()));
            assert_eq!((ranges.len() as usize, ranges.first()), (plain.len(), plain.first().copied()));
            assert_eq!(ranges.contains(n), plain.contains(&n));
            assert_eq!(RangeSet::parse(&ranges.to_string(), 60).as_ref(), Some(&ranges));
        }
        check_whole_sets(&ranges, &plain, rng.random_range(0..70));
        let part = ranges.truncated_to_bytes(40);
        assert!(part.to_string().len() <= 40 && part.iter().all(|n| ranges.contains(n)));
    }
    for text in ["3-1", "5,4", "1-2,2-3", "60", "x", "1--2", "4294967296"] {
        assert_eq!(RangeSet::parse(text, 60), None, "{text}");
    }
}
