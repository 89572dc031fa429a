//! A real controller process on real loopback sockets: what it does with bad input, bad settings
//! and missing neighbours.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Running(Child, std::path::PathBuf);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// Starts a controller whose state service and cloud are not there.
fn start(name: &str) -> (Running, u16, u16) {
    let (front, peer) = (free_port(), free_port());
    let text = format!(
        "label = \"n\"\narea = \"a\"\nfront = \"127.0.0.1:{front}\"\npeer_bind = \"127.0.0.1:{peer}\"\n\
         [services]\ncloud = \"127.0.0.1:1\"\nstate = \"127.0.0.1:1\"\n[facts]\nsize = 1\n\
         [facts.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 30.0\n\
         [facts.state]\nrps = 10.0\nwrite_rps = 10.0\nvalue_kb = 4.0\ntxn_ops = 8\n\
         [facts.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n[facts.machine_limits]\nmax_sockets = 64\n"
    );
    let path = std::env::temp_dir().join(format!("crowstall-{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let child =
        Command::new(env!("CARGO_BIN_EXE_crowstall")).arg("--config").arg(&path).stderr(Stdio::null()).spawn().unwrap();
    let running = Running(child, path);
    let deadline = Instant::now() + Duration::from_secs(20);
    while TcpStream::connect(("127.0.0.1", front)).is_err() {
        assert!(Instant::now() < deadline, "it does not listen");
        std::thread::sleep(Duration::from_millis(20));
    }
    (running, front, peer)
}

fn connect(port: u16) -> TcpStream {
    let stream = TcpStream::connect(("127.0.0.1", port)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

/// Sends bytes and reads one answer's head and body.
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

#[test]
fn bad_input_gets_its_answer_and_the_process_lives() {
    let (mut running, front, peer) = start("input");
    let mut kept = connect(front);
    for (request, status) in [
        ("GET /nowhere HTTP/1.1\r\n\r\n", "404"),
        ("DELETE /v1/jobs/wk-1 HTTP/1.1\r\n\r\n", "405"),
        ("GET /v1/jobs/else HTTP/1.1\r\n\r\n", "404"),
        ("POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]", "400"),
        ("POST /hello HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", "400"),
        // No state service, so nobody can say whether the job is known; and no right to hold.
        ("GET /v1/jobs/wk-1 HTTP/1.1\r\n\r\n", "503"),
        ("GET /up HTTP/1.1\r\n\r\n", "503"),
    ] {
        let answer = exchange(&mut kept, request.as_bytes());
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{request:?}: {answer}");
        assert_eq!(answer.contains("Retry-After: "), status == "503", "{answer}");
    }
    // The rest of the connection is not trusted after what is not HTTP, or too large.
    for (bytes, status) in [
        (&b"\x16\x03\x01 garbage\r\n\r\n"[..], "400"),
        (b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413"),
    ] {
        let mut stream = connect(front);
        let answer = exchange(&mut stream, bytes);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")) && answer.contains("Connection: close"), "{answer}");
        assert_eq!(stream.read(&mut [0; 16]).unwrap_or(0), 0, "closed");
    }
    // Garbage between controllers is dropped.
    let mut stream = connect(peer);
    stream.write_all(&[0, 0, 0, 3, 1, 2, 3, 0xff, 0xff, 0xff, 0xff, 0]).unwrap();
    let _ = stream.read(&mut [0; 16]);
    // More connections than there are sockets for: those there go on being served.
    let crowd: Vec<TcpStream> = (0..80).filter_map(|_| TcpStream::connect(("127.0.0.1", front)).ok()).collect();
    let answer = exchange(&mut kept, b"GET /nowhere HTTP/1.1\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    drop(crowd);
    assert!(running.0.try_wait().unwrap().is_none(), "it has ended");
}

#[test]
fn settings_that_cannot_be_used_end_it_with_one_line() {
    let path = std::env::temp_dir().join(format!("crowstall-bad-{}.toml", std::process::id()));
    std::fs::write(&path, "label = 7\n").unwrap();
    for path in [path.as_path(), std::path::Path::new("/nowhere/at/all.toml")] {
        let output = Command::new(env!("CARGO_BIN_EXE_crowstall")).arg("--config").arg(path).output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(text.trim_end().lines().count(), 1, "{text}");
        assert!(text.contains(&path.display().to_string()), "{text}");
    }
    let _ = std::fs::remove_file(&path);
}
