//! Controller processes and their communication with the simulated services, workers and users.

use crate::clients::Clients;
use crate::links::Link;
use crate::services::{IncomingCall, Service, serve};
use crate::simulation::remote::{RemoteControllers, RemoteMessage};
use crate::simulation::{CONTROLLERS, SEC, settings};
use crate::wire;
use crowstall::coordination::{Event, OutboundCallId};
use crowstall::model::MachineId;
use crowstall::protocol::state::StateCall;
use crowstall::protocol::users::ClientRequest;
use crowstall::transport::http::{self, OutgoingRequest};
use std::collections::HashMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Number of lines of each controller's log that are printed after a failed run.
const LOG_LINES: usize = 40;

/// Ports below the range from which Linux assigns ports to outgoing connections.
const PORT_RANGE: Range<u16> = 12_000..32_000;
/// Distance between the first ports of two test processes with consecutive process numbers.
const PORTS_PER_PROCESS: u32 = 64;

/// Addresses at which a controller listens, for clients and for other controllers.
#[derive(Clone, Copy)]
struct Addresses {
    client_addr: SocketAddrV4,
    peer_addr: SocketAddrV4,
}

/// Controller with its files and its process, if that is running.
struct ControllerProcess {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Time at which a suspended process is resumed.
    resumes_at: Option<Instant>,
}

/// Call that has not been answered yet.
struct PendingResponse {
    /// Channel to the connection that waits for the response.
    to: Sender<Vec<u8>>,
    /// `true` for a keep-alive of a lease, for which an expired lease has a status of its own.
    is_keep_alive: bool,
}

/// Controllers as separate processes.
pub struct ProcessControllers {
    started: Instant,
    directory: PathBuf,
    addresses: Vec<Addresses>,
    processes: Vec<ControllerProcess>,
    /// Links between controllers, by the indices of the sender and the receiver.
    links: HashMap<(usize, usize), Link>,
    calls: Receiver<IncomingCall>,
    last_call: u64,
    /// Calls that have not been answered yet.
    responses: HashMap<OutboundCallId, PendingResponse>,
    clients: Clients,
    /// Controllers to which the open requests were sent, by request number.
    requests: HashMap<u64, usize>,
    workers_port: u16,
}

/// Returns a free loopback address. Its port stays free while a controller restarts, because the system does not assign
/// ports of this range to outgoing connections.
fn free_address() -> SocketAddrV4 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number =
            std::process::id().wrapping_mul(PORTS_PER_PROCESS).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORT_RANGE.start + (number % (PORT_RANGE.end - PORT_RANGE.start) as u32) as u16;
        let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl ProcessControllers {
    /// Creates the links, servers and settings files. Starts no process.
    pub fn new(seed: u64) -> ProcessControllers {
        let directory = std::env::temp_dir().join(format!("crowstall-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory for temporary files is writable");
        let addresses: Vec<Addresses> =
            (0..CONTROLLERS).map(|_| Addresses { client_addr: free_address(), peer_addr: free_address() }).collect();
        let pairs = (0..CONTROLLERS).flat_map(|from| (0..CONTROLLERS).map(move |to| (from, to)));
        let links: HashMap<(usize, usize), Link> = pairs
            .filter(|(from, to)| from != to)
            .map(|(from, to)| ((from, to), Link::to(addresses[to].peer_addr)))
            .collect();
        let (sender, calls) = channel();
        let workers_port = serve(Service::Workers, "0.0.0.0:0", sender.clone()).port();
        let processes = (0..CONTROLLERS)
            .map(|node| {
                let state = serve(Service::State { node }, "127.0.0.1:0", sender.clone());
                let cloud = serve(Service::Cloud { node }, "127.0.0.1:0", sender.clone());
                let text = platform_file(node, &addresses, &links, state, cloud);
                let settings = directory.join(format!("{node}.toml"));
                std::fs::write(&settings, text).expect("the settings can be written");
                ControllerProcess {
                    settings,
                    log: directory.join(format!("{node}.log")),
                    child: None,
                    resumes_at: None,
                }
            })
            .collect();
        ProcessControllers {
            started: Instant::now(),
            directory,
            addresses,
            processes,
            links,
            calls,
            last_call: 0,
            responses: HashMap::new(),
            clients: Clients::new(),
            requests: HashMap::new(),
            workers_port,
        }
    }

    /// Returns the address at which a worker accepts direct calls. All workers share a port, and each has an IP
    /// address of its own.
    fn worker_address(&self, machine: u32) -> SocketAddrV4 {
        let [_, high, middle, low] = machine.to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(127, 1 + high, middle, low), self.workers_port)
    }

    /// Parses a call and registers it for the response. Returns `None` if the call is invalid.
    fn register_call(&mut self, incoming: IncomingCall) -> Option<RemoteMessage> {
        let IncomingCall { service, addr, request, response } = incoming;
        self.last_call += 1;
        let call = OutboundCallId(self.last_call);
        let message = match service {
            Service::State { node } => {
                let request = wire::parse_state_call(&request.path, &request.body)?;
                RemoteMessage::State { node, call, request }
            }
            Service::Cloud { node } => {
                let request = wire::parse_cloud_call(&request.method, &request.path, &request.body)?;
                RemoteMessage::Cloud { node, call, request }
            }
            Service::Workers => {
                let [_, high, middle, low] = addr.ip().octets();
                let machine = u32::from_be_bytes([0, high - 1, middle, low]);
                RemoteMessage::Worker { call, machine, request: wire::parse_worker_call(&request.body)? }
            }
        };
        let is_keep_alive = matches!(message, RemoteMessage::State { request: StateCall::KeepAlive(_), .. });
        self.responses.insert(call, PendingResponse { to: response, is_keep_alive });
        Some(message)
    }

    /// Panics if a process has exited without having been killed.
    fn check_processes(&mut self) {
        for (node, process) in self.processes.iter_mut().enumerate() {
            let status = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            assert!(status.is_none(), "controller {node} exited without having been killed: {status:?}");
        }
    }

    /// Resumes the suspended processes whose suspension is over.
    fn resume_processes(&mut self) {
        let now = Instant::now();
        for process in &mut self.processes {
            if process.resumes_at.is_some_and(|at| at <= now) {
                process.resumes_at = None;
                process.signal("CONT");
            }
        }
    }
}

impl ControllerProcess {
    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{signal} {}", child.id());
            let status = Command::new("sh").args(["-c", &command]).status();
            assert!(status.is_ok_and(|status| status.success()), "{command} failed");
        }
    }

    fn kill(&mut self) {
        self.resumes_at = None;
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the arguments of a controller in `deploy/service.toml`, without the path of the settings file at the end.
fn arguments() -> Vec<String> {
    let text = include_str!("../../deploy/service.toml");
    let run = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("the file says how to run");
    run.trim_matches('"').split_whitespace().skip(1).map(str::to_string).collect()
}

/// Returns the platform's settings file for one controller.
fn platform_file(
    node: usize,
    addresses: &[Addresses],
    links: &HashMap<(usize, usize), Link>,
    state: SocketAddrV4,
    cloud: SocketAddrV4,
) -> String {
    let Addresses { client_addr, peer_addr } = addresses[node];
    let mut text = settings::platform_file(&settings::controller_label(node), &client_addr.to_string())
        .replace("peer_bind = \"10.0.0.1:8081\"", &format!("peer_bind = \"{peer_addr}\""))
        .replace("10.2.0.1:2379", &state.to_string())
        .replace("10.2.0.2:8443", &cloud.to_string());
    for to in (0..CONTROLLERS).filter(|to| *to != node) {
        let addr = links[&(node, to)].addr;
        text = text.replace(&format!("peer_addr = \"10.0.0.{to}:8081\""), &format!("peer_addr = \"{addr}\""));
    }
    text
}

impl RemoteControllers for ProcessControllers {
    fn now(&self) -> u64 {
        SEC + self.started.elapsed().as_micros() as u64
    }

    fn receive(&mut self) -> Vec<RemoteMessage> {
        self.check_processes();
        self.resume_processes();
        let mut messages = Vec::new();
        while let Ok(incoming) = self.calls.try_recv() {
            messages.extend(self.register_call(incoming));
        }
        for (request, reply) in self.clients.receive() {
            if let Some(node) = self.requests.remove(&request) {
                messages.push(RemoteMessage::Reply { node, request, reply });
            }
        }
        messages
    }

    fn send_request(&mut self, node: usize, number: u64, request: &ClientRequest) {
        let worker_address =
            |machine: &MachineId| self.worker_address(crate::simulation::workers::machine_number(machine));
        let Some((method, path, body)) = wire::client_request(request, worker_address) else { return };
        let body = body.map(|body| body.to_string().into_bytes());
        let request = OutgoingRequest { method, path: &path, body: body.as_deref() };
        self.requests.insert(number, node);
        self.clients.send(number, self.addresses[node].client_addr, &request);
    }

    fn send_answer(&mut self, event: Event) {
        let (Event::State { call, .. } | Event::Cloud { call, .. } | Event::Worker { call, .. }) = &event else {
            return;
        };
        let Some(response) = self.responses.remove(call) else { return };
        if let Some((status, body)) = wire::response(&event, response.is_keep_alive) {
            let _ = response.to.send(http::write_response(status, None, false, body.to_string().as_bytes()));
        }
    }

    fn is_up(&self, node: usize) -> bool {
        self.processes[node].child.is_some()
    }

    fn start(&mut self, node: usize) {
        let process = &mut self.processes[node];
        process.kill();
        let log = File::options().create(true).append(true).open(&process.log).expect("the log can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_crowstall"))
            .args(arguments())
            .arg(&process.settings)
            .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        process.child = Some(child.expect("the controller can be started"));
    }

    fn kill(&mut self, node: usize) {
        self.processes[node].kill();
        self.requests.retain(|_, to| *to != node);
    }

    fn freeze(&mut self, node: usize, duration: u64) {
        let process = &mut self.processes[node];
        process.resumes_at = Some(Instant::now() + Duration::from_micros(duration));
        process.signal("STOP");
    }

    fn set_blocked_links(&mut self, blocked: &[(usize, usize)]) {
        for (ends, link) in &self.links {
            link.set_blocked(blocked.contains(ends));
        }
    }
}

impl Drop for ProcessControllers {
    fn drop(&mut self) {
        let has_failed = std::thread::panicking();
        for process in &mut self.processes {
            process.kill();
            if has_failed {
                let log = std::fs::read_to_string(&process.log).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let last = &lines[lines.len().saturating_sub(LOG_LINES)..];
                eprintln!("{}:\n{}", process.log.display(), last.join("\n"));
            }
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
