//! Controller processes on loopback sockets: malformed input, invalid settings and unreachable services.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time until a process listens and until a socket answers.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Number of connections that exceeds the `max_sockets` of the controller's settings.
const EXCESS_CONNECTIONS: usize = 80;

/// Running controller process. When the value is dropped, the process is killed and its settings file is deleted.
struct ControllerProcess {
    child: Child,
    settings: PathBuf,
    /// Port for users and workers.
    front_port: u16,
    /// Port for other controllers.
    peer_port: u16,
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("crowstall-{name}-{}.toml", std::process::id()))
}

/// Returns the settings of a controller whose state service and cloud are unreachable.
fn settings(front_port: u16, peer_port: u16) -> String {
    format!(
        "label = \"n\"\narea = \"a\"\nfront = \"127.0.0.1:{front_port}\"\npeer_bind = \"127.0.0.1:{peer_port}\"\n\
         [services]\ncloud = \"127.0.0.1:1\"\nstate = \"127.0.0.1:1\"\n[facts]\nsize = 1\n\
         [facts.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 30.0\n\
         [facts.state]\nrps = 10.0\nwrite_rps = 10.0\nvalue_kb = 4.0\ntxn_ops = 8\n\
         [facts.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n[facts.machine_limits]\nmax_sockets = 64\n"
    )
}

/// Starts a controller whose state service and cloud are unreachable, and waits until it listens.
fn start_controller(name: &str) -> ControllerProcess {
    let (front_port, peer_port) = (free_port(), free_port());
    let path = temporary_path(name);
    std::fs::write(&path, settings(front_port, peer_port)).unwrap();
    let child =
        Command::new(env!("CARGO_BIN_EXE_crowstall")).arg("--config").arg(&path).stderr(Stdio::null()).spawn().unwrap();
    let controller = ControllerProcess { child, settings: path, front_port, peer_port };
    let deadline = Instant::now() + TIMEOUT;
    while TcpStream::connect(("127.0.0.1", front_port)).is_err() {
        assert!(Instant::now() < deadline, "the controller does not listen after {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    controller
}

fn connect(port: u16) -> TcpStream {
    let stream = TcpStream::connect(("127.0.0.1", port)).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and returns the head and body of one response, or what was received if the stream ends earlier.
fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> String {
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&answer).to_string();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            if body.len() >= length.and_then(|n| n.parse().ok()).unwrap_or(0) {
                return text;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return text,
            Ok(count) => answer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Asserts that requests which can't be served are answered with an error and leave the connection open.
fn assert_refused(stream: &mut TcpStream) {
    for (request, status) in [
        ("GET /nowhere HTTP/1.1\r\n\r\n", "404"),
        ("DELETE /v1/jobs/wk-1 HTTP/1.1\r\n\r\n", "405"),
        ("GET /v1/jobs/else HTTP/1.1\r\n\r\n", "404"),
        ("POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]", "400"),
        ("POST /hello HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", "400"),
        // Without the state service the controller can't know whether the job exists and can't acquire leadership.
        ("GET /v1/jobs/wk-1 HTTP/1.1\r\n\r\n", "503"),
        ("GET /up HTTP/1.1\r\n\r\n", "503"),
    ] {
        let answer = exchange(stream, request.as_bytes());
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{request:?}: {answer}");
        assert_eq!(answer.contains("Retry-After: "), status == "503", "{answer}");
    }
}

/// Asserts that the connection is closed after input which leaves the start of the next request undetermined.
fn assert_refused_and_closed(front_port: u16) {
    for (bytes, status) in [
        (&b"\x16\x03\x01 garbage\r\n\r\n"[..], "400"),
        (b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413"),
    ] {
        let mut stream = connect(front_port);
        let answer = exchange(&mut stream, bytes);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")) && answer.contains("Connection: close"), "{answer}");
        assert_eq!(stream.read(&mut [0; 16]).unwrap_or(0), 0, "the connection is still open");
    }
}

/// Sends a malformed message on a new connection to the port for other controllers.
fn send_malformed_peer_message(peer_port: u16) -> TcpStream {
    let mut stream = connect(peer_port);
    stream.write_all(&[0, 0, 0, 3, 1, 2, 3, 0xff, 0xff, 0xff, 0xff, 0]).unwrap();
    let _ = stream.read(&mut [0; 16]);
    stream
}

#[test]
fn malformed_input_is_refused_and_the_process_survives() {
    let mut controller = start_controller("input");
    let front_port = controller.front_port;
    let mut open_connection = connect(front_port);
    assert_refused(&mut open_connection);
    assert_refused_and_closed(front_port);
    let _peer_connection = send_malformed_peer_message(controller.peer_port);
    // A connection that is open already is still served when clients open more connections than the limit allows.
    let excess: Vec<TcpStream> =
        (0..EXCESS_CONNECTIONS).filter_map(|_| TcpStream::connect(("127.0.0.1", front_port)).ok()).collect();
    let answer = exchange(&mut open_connection, b"GET /nowhere HTTP/1.1\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    drop(excess);
    assert!(controller.child.try_wait().unwrap().is_none(), "the controller process has exited");
}

#[test]
fn invalid_settings_end_the_process_with_a_one_line_error() {
    let path = temporary_path("bad");
    std::fs::write(&path, "label = 7\n").unwrap();
    for path in [path.as_path(), Path::new("/nowhere/at/all.toml")] {
        let output = Command::new(env!("CARGO_BIN_EXE_crowstall")).arg("--config").arg(path).output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(text.trim_end().lines().count(), 1, "{text}");
        assert!(text.contains(&path.display().to_string()), "{text}");
    }
    let _ = std::fs::remove_file(&path);
}
