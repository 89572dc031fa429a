//! Tests of the crowctl binary against a fake controller: fail-over, exit statuses, output and files.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::mpsc::{Receiver, channel};

/// Starts a fake controller that gives one of `answers` (status and body) per connection, in this order.
///
/// Returns the address of the controller, and a receiver of the requests (request line and body).
fn fake_controller(answers: &'static [(u16, &'static str)]) -> (String, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a local port can be bound");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for (status, body) in answers {
            let Ok((stream, _)) = listener.accept() else { return };
            let mut reader = BufReader::new(stream);
            let _ = sender.send(read_request(&mut reader));
            write_answer(reader.get_mut(), *status, body);
        }
    });
    (address, requests)
}

/// Reads a request; returns the request line and the body.
fn read_request(reader: &mut BufReader<TcpStream>) -> String {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 || line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        head += &line;
    }
    let mut body = vec![0; length];
    let _ = reader.read_exact(&mut body);
    format!("{} {}", head.lines().next().unwrap_or(""), String::from_utf8_lossy(&body))
}

fn write_answer(stream: &mut TcpStream, status: u16, body: &str) {
    let retry_after = if status == 503 { "Retry-After: 1\r\n" } else { "" };
    let length = body.len();
    let answer =
        format!("HTTP/1.1 {status} X\r\n{retry_after}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(answer.as_bytes());
}

/// Runs crowctl with `input` on standard input and waits until it exits.
fn crowctl(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_crowctl"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("crowctl starts");
    // Writing fails if crowctl exits before it has read all of the input; the tests check its output and status.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("crowctl exits")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn temporary_file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("crowctl-{name}-{}", std::process::id()));
    std::fs::write(&path, content).expect("the directory is writable");
    path
}

#[test]
fn submission_fails_over_to_the_next_controller_and_retries_after_503() {
    let (address, requests) =
        fake_controller(&[(503, r#"{"error":"state not reachable"}"#), (201, r#"{"id":"wk-1","mood":"pending"}"#)]);
    let servers = format!("127.0.0.1:1,{address}");
    let output = crowctl(&["--server", &servers, "--format", "json", "submit", "-"], r#"{"id":"wk-1","clutch":2}"#);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout).trim(), r#"{"id":"wk-1","mood":"pending","done":0,"running":0}"#);
    let received: Vec<String> = requests.iter().collect();
    assert_eq!(received, vec![r#"POST /v1/jobs HTTP/1.1 {"id":"wk-1","clutch":2}"#; 2]);
}

#[test]
fn refusals_and_bad_input_are_reported_with_reason_and_exit_status() {
    let (address, _) = fake_controller(&[(422, r#"{"error":"unknown team"}"#)]);
    let output = crowctl(&["--server", &address, "submit", "-"], r#"{"id":"wk-1"}"#);
    assert_eq!((output.status.code(), text(&output.stderr).trim()), (Some(1), "crowctl: unknown team (422)"));
    let (address, requests) = fake_controller(&[(404, r#"{"error":"no such job"}"#)]);
    let output = crowctl(&["--server", &address, "status", "wk-77"], "");
    assert_eq!((output.status.code(), text(&output.stderr).trim()), (Some(1), "crowctl: no such job (404)"));
    assert_eq!(requests.recv().expect("the controller received a request"), "GET /v1/jobs/wk-77 HTTP/1.1 ");
    for (input, reason) in [("{", "EOF"), ("{}", "id: missing"), (r#"{"id":"x/../y"}"#, "not a job's id")] {
        let output = crowctl(&["--server", "127.0.0.1:1", "submit", "-"], input);
        assert_eq!(output.status.code(), Some(2), "{input}");
        assert!(text(&output.stderr).contains(reason), "{input}: {}", text(&output.stderr));
    }
}

#[test]
fn forecast_is_shown_as_a_table_and_watch_fails_when_the_job_is_cancelled() {
    const FORECAST: &str = r#"{"id":"wk-9","mood":"running","done":3,"running":2,"tasks":10,
        "task":{"low_s":20.0,"middle_s":25.0,"high_s":31.5,"observations":412,"level":"kind"},
        "finish":{"low_s":100.0,"middle_s":130.0,"high_s":200.0},
        "promise":{"by_s":190.0,"by_ms":1,"made_s":12.0,"revisions":1},
        "record":{"run_times_judged":500,"inside_interval":0.81,"promises_judged":0,"promises_kept":null}}"#;
    let (address, _) = fake_controller(&[(200, FORECAST)]);
    let output = crowctl(&["--server", &address, "forecast", "wk-9"], "");
    let table = text(&output.stdout);
    for part in ["3 of 10 done", "2 min 10 s (100.0 s to 3 min 20 s)", "25.0 s (20.0 s to 31.5 s)", "412", "81.0 %"] {
        assert!(table.contains(part), "{part} is not in\n{table}");
    }
    let (address, _) = fake_controller(&[
        (200, r#"{"id":"wk-9","mood":"running","done":3,"running":2}"#),
        (200, FORECAST),
        (200, FORECAST),
        (200, r#"{"id":"wk-9","mood":"withdrawn","done":3,"running":0}"#),
    ]);
    let output = crowctl(&["--server", &address, "status", "wk-9", "--watch"], "");
    assert_eq!((output.status.code(), text(&output.stderr).trim()), (Some(1), "crowctl: wk-9 was cancelled"));
}

#[test]
fn history_is_replayed_and_a_malformed_line_is_reported_by_number() {
    let path = temporary_file("history", "");
    let name = path.to_str().expect("the path is UTF-8");
    let output = crowctl(&["forecast", "history", "--seed", "3", "--lines", "3000", "--output", name], "");
    assert!(output.status.success(), "{}", text(&output.stderr));
    let plot = temporary_file("plot.svg", "");
    let plot_name = plot.to_str().expect("the path is UTF-8");
    let output = crowctl(&["--format", "json", "forecast", "replay", name, "--plot", plot_name], "");
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("the report is JSON");
    assert_eq!(report["lines"], 3000);
    assert_eq!(report["n"], report["completed"]);
    let (within_quarter, coverage) = (report["within_quarter"].as_f64(), report["coverage80"].as_f64());
    assert!(within_quarter.is_some_and(|fraction| fraction > 0.6), "{report}");
    assert!(coverage.is_some_and(|fraction| fraction > 0.7), "{report}");
    assert!(report["baselines"]["best_possible"].as_f64() > within_quarter, "{report}");
    let svg = std::fs::read_to_string(&plot).expect("the plot was written");
    assert!(svg.starts_with("<svg") && svg.contains("polyline"));
    let mut lines = std::fs::read_to_string(&path).expect("the history was written");
    lines += "{\"at_s\":1}\n";
    let broken = temporary_file("broken", &lines);
    let output = crowctl(&["forecast", "replay", broken.to_str().expect("the path is UTF-8")], "");
    assert_eq!(output.status.code(), Some(2));
    let reason = text(&output.stderr);
    assert!(reason.contains(":3001: missing field"), "{reason}");
    for path in [path, plot, broken] {
        let _ = std::fs::remove_file(path);
    }
}

#[test]
fn prerequisites_are_added_to_the_submission_and_unfinished_ones_are_shown() {
    let answer = r#"{"id":"wk-3","mood":"pending","waits_for":["wk-1","wk-2"],"waits_for_count":5}"#;
    let (address, requests) = fake_controller(Box::leak(Box::new([(201, answer)])));
    let file = r#"{"id":"wk-3","awaits":["wk-1"]}"#;
    let output = crowctl(&["--server", &address, "submit", "--needs", "wk-2", "-"], file);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(
        requests.recv().expect("the controller received a request"),
        r#"POST /v1/jobs HTTP/1.1 {"awaits":["wk-1","wk-2"],"id":"wk-3"}"#
    );
    assert!(text(&output.stdout).contains("wk-1, wk-2 and 3 more"), "{}", text(&output.stdout));
    let output = crowctl(&["--server", &address, "submit", "--needs", "job-2", "-"], file);
    assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
}
