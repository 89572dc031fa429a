//! A fleet of about 4,000 machines: no fixed limit of the transport or the protocols is too low for it, and the safety
//! rules hold in a scenario with a failover and an outage of the state service.

mod simulation;

use calloop::EventLoop;
use crowstall::model::*;
use crowstall::protocol::cloud::{ListedMachine, MachineState};
use crowstall::protocol::peer_heartbeat_pages;
use crowstall::protocol::peers::{self, Envelope, MachineOffer, PeerMessage};
use crowstall::protocol::state::{StateAnswer, StateCall};
use crowstall::storage::rate_limiter::RateLimiter;
use crowstall::time::Span;
use crowstall::transport::http::{self, OutgoingRequest};
use crowstall::transport::{CallId, MAX_FRAME, NetEvent, Transport};
use simulation::users::spec;
use simulation::{MS, SEC, Simulation};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Minimum number of machines of the fleet.
const FLEET: usize = 4_000;
/// Number of machines that every limit has to allow.
const HEADROOM: usize = 12_000;
/// Size in bytes of the largest frame that versions without paged heartbeats accept.
const OLDEST_FRAME: usize = 1024 * 1024;

/// Returns a machine id of 100 bytes, the maximum length of a machine id in a heartbeat.
fn machine_id_of_maximum_length(number: usize) -> MachineId {
    MachineId::new(&format!("machine-{number:092}"))
}

/// Returns a heartbeat between controllers that names the given machines and the terms of 1,000 shards, the maximum
/// number of shards.
fn heartbeat_of(rented: Vec<(MachineId, ShardId)>, spare: Vec<MachineOffer>) -> Envelope {
    let shards: Vec<(ShardId, Revision)> = (0..1000).map(|at| (ShardId(at), Revision(u64::MAX))).collect();
    let message = PeerMessage::Heartbeat {
        holds_lease: true,
        ready: true,
        led: shards.clone(),
        rented,
        spare,
        incarnation: u64::MAX,
        known_terms: shards,
        state_silence: Span::ZERO,
        heartbeat_ages: Vec::new(),
        message_version: peers::MESSAGE_VERSION,
    };
    Envelope { from: NodeLabel::new("perch-0"), message }
}

#[test]
fn heartbeats_fit_a_frame_and_name_every_machine_in_turn() {
    let rented: Vec<(MachineId, ShardId)> =
        (0..HEADROOM).map(|at| (machine_id_of_maximum_length(at), ShardId(999))).collect();
    let offer = |at: usize| MachineOffer {
        machine: machine_id_of_maximum_length(at),
        kind: Name::new("a-machine-type-with-quite-a-long-name"),
        zone: Name::new("a-zone-with-quite-a-long-name"),
        spot: true,
    };
    let spare: Vec<MachineOffer> = (0..HEADROOM).map(offer).collect();
    let whole = peers::encode(&heartbeat_of(rented.clone(), spare.clone()));
    assert!(
        whole.len() > MAX_FRAME,
        "the whole heartbeat fits into one frame, so that this test does not exercise paging"
    );
    let (mut rented_seen, mut spare_seen) = (BTreeSet::new(), BTreeSet::new());
    let mut heartbeats = 0;
    while rented_seen.len() < HEADROOM || spare_seen.len() < HEADROOM {
        assert!(
            heartbeats < 10,
            "only {} rented and {} spare machines were named in 10 heartbeats",
            rented_seen.len(),
            spare_seen.len()
        );
        let rented_page = peer_heartbeat_pages::rented_page(rented.clone(), heartbeats);
        let spare_page = peer_heartbeat_pages::spare_page(spare.clone(), heartbeats);
        rented_seen.extend(rented_page.iter().map(|(machine, _)| machine.clone()));
        spare_seen.extend(spare_page.iter().map(|offer| offer.machine.clone()));
        let frame = peers::encode(&heartbeat_of(rented_page, spare_page)).len();
        assert!(frame <= OLDEST_FRAME, "heartbeat {heartbeats} takes {frame} bytes");
        heartbeats += 1;
    }
}

#[test]
fn the_heartbeat_of_an_ordinary_large_fleet_has_one_page() {
    let id = |at: usize| MachineId::new(&format!("i-{at:06}"));
    let rented: Vec<(MachineId, ShardId)> = (0..FLEET).map(|at| (id(at), ShardId(2))).collect();
    let offer = |at: usize| MachineOffer { machine: id(at), kind: Name::new("g8"), zone: Name::new("a"), spot: false };
    let spare: Vec<MachineOffer> = (0..FLEET).map(offer).collect();
    for heartbeat in 0..3 {
        assert_eq!(peer_heartbeat_pages::rented_page(rented.clone(), heartbeat), rented);
        assert_eq!(peer_heartbeat_pages::spare_page(spare.clone(), heartbeat), spare);
    }
    assert!(
        peer_heartbeat_pages::rented_page(Vec::new(), 1).is_empty()
            && peer_heartbeat_pages::spare_page(Vec::new(), 1).is_empty()
    );
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

fn transport(max_sockets: usize) -> (EventLoop<'static, Transport>, Transport) {
    let event_loop: EventLoop<'static, Transport> = EventLoop::try_new().unwrap();
    let mut transport = Transport::new(event_loop.handle(), max_sockets);
    transport.clock();
    (event_loop, transport)
}

/// Guards against refused connections when all workers connect to a new leader at once. The transport does not accept
/// connections while the leader is busy, so that they have to wait in the listen queue.
#[test]
fn connections_wait_to_be_accepted() {
    let system: usize = std::fs::read_to_string("/proc/sys/net/core/somaxconn")
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(usize::MAX);
    // Many systems limit a process to 1,024 open files.
    let client_count = 900.min(system);
    let (_event_loop, mut transport) = transport(2000);
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port());
    transport.listen_clients(addr).unwrap();
    let mut waiting = Vec::new();
    for at in 0..client_count {
        let connected = TcpStream::connect_timeout(&addr.into(), Duration::from_millis(500));
        waiting.push(connected.unwrap_or_else(|error| panic!("connection {at}: {error}")));
    }
}

/// Guards against lost frames when the worker heartbeats of a whole fleet are relayed to a controller that does not
/// read for a moment.
#[test]
fn a_peer_that_does_not_read_for_a_moment_loses_nothing() {
    const FRAMES: usize = 9;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let (mut event_loop, mut transport) = transport(700);
    let frame = vec![7; MAX_FRAME];
    for _ in 0..FRAMES {
        transport.send_frame(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), &frame);
        event_loop.dispatch(Some(Duration::from_millis(5)), &mut transport).unwrap();
    }
    let reader = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let (mut left, mut chunk) = (FRAMES * (MAX_FRAME + 4), vec![0; 64 * 1024]);
        while left > 0 {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(count) => left -= count,
            }
        }
        left
    });
    while !reader.is_finished() {
        event_loop.dispatch(Some(Duration::from_millis(5)), &mut transport).unwrap();
    }
    assert_eq!(reader.join().unwrap(), 0, "bytes were lost");
}

/// Guards against a watch that can't resume after an outage. The state service keeps 10,000 changes and sends all that
/// a controller has missed in one response, which may be larger than the transport accepts. The controller then has to
/// list the records again, as after a compaction.
#[test]
fn a_watch_response_that_is_too_large_is_answered_as_compacted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 10_000 * 1600);
        let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&[b' '; 4096]));
        // The connection stays open until the other side closes it.
        while stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
    });
    let (mut event_loop, mut transport) = transport(64);
    let call = StateCall::Watch { prefix: "live/", after: Revision(7) };
    let outgoing = call.request();
    let target = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    transport.call(
        CallId(1),
        target,
        &OutgoingRequest { method: outgoing.method, path: &outgoing.path, body: None },
        Span::millis(5000),
    );
    let answer = loop {
        event_loop.dispatch(Some(Duration::from_millis(5)), &mut transport).unwrap();
        transport.clock();
        transport.expire();
        match transport.next_event() {
            Some(NetEvent::Answer { response, .. }) => break response.expect("a response to the watch call"),
            Some(other) => panic!("{other:?}"),
            None => {}
        }
    };
    assert_eq!(call.answer(answer.status, &answer.body), Ok(StateAnswer::Compacted));
}

/// Guards against clients without an answer when more workers are connected than the controller may open sockets.
#[test]
fn more_clients_than_sockets_are_answered_in_turn() {
    const CLIENTS: usize = 200;
    let (mut event_loop, mut transport) = transport(64);
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port());
    transport.listen_clients(addr).unwrap();
    let clients = std::thread::spawn(move || {
        let mut kept = Vec::new();
        for at in 0..CLIENTS {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            let mut answer = [0; 4096];
            let sent = stream.write_all(b"GET /up HTTP/1.1\r\n\r\n");
            let count = sent.and_then(|()| stream.read(&mut answer)).unwrap_or(0);
            assert!(answer[..count].starts_with(b"HTTP/1.1 200 "), "client {at} got no answer");
            kept.push(stream);
        }
    });
    while !clients.is_finished() {
        event_loop.dispatch(Some(Duration::from_millis(1)), &mut transport).unwrap();
        transport.clock();
        while let Some(event) = transport.next_event() {
            if let NetEvent::Request { id, .. } = event {
                transport.reply(id, 200, None, b"{}");
            }
        }
    }
    clients.join().unwrap();
}

/// Answers at least `calls` requests on any number of connections. Returns the number of connections that are still
/// open when no request has arrived for a second.
fn serve_workers(listener: &TcpListener, calls: usize) -> usize {
    listener.set_nonblocking(true).unwrap();
    let mut open: Vec<TcpStream> = Vec::new();
    let (mut served, mut last) = (0, Instant::now());
    while served < calls || last.elapsed() < Duration::from_secs(1) {
        assert!(last.elapsed() < Duration::from_secs(10), "{served} of {calls} calls arrived");
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).unwrap();
            open.push(stream);
        }
        open.retain_mut(|stream| match stream.read(&mut [0; 4096]) {
            Ok(0) => false,
            Ok(_) => {
                served += 1;
                last = Instant::now();
                stream.write_all(&http::write_response(409, None, false, b"{}")).is_ok()
            }
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        });
        std::thread::sleep(Duration::from_millis(1));
    }
    open.len()
}

/// Guards against sockets that run out after a failover. The new leader calls every machine, and must not keep the
/// connections to machines that have answered while it calls the others.
#[test]
fn calling_every_machine_leaves_few_connections() {
    const MACHINES: u8 = 200;
    const MAX_SOCKETS: usize = 64;
    let listener = TcpListener::bind("0.0.0.0:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let workers = std::thread::spawn(move || serve_workers(&listener, usize::from(MACHINES)));
    let (mut event_loop, mut transport) = transport(MAX_SOCKETS);
    let (mut asked, mut answered) = (0, 0);
    while !workers.is_finished() {
        if asked < MACHINES && answered + 8 > asked {
            let target = SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, asked), port);
            asked += 1;
            transport.call(
                CallId(u64::from(asked)),
                target,
                &OutgoingRequest { method: "GET", path: "/status", body: None },
                Span::millis(5000),
            );
        }
        event_loop.dispatch(Some(Duration::from_millis(1)), &mut transport).unwrap();
        transport.clock();
        while let Some(event) = transport.next_event() {
            match event {
                NetEvent::Answer { response: Some(_), .. } => answered += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    let open = workers.join().unwrap();
    assert_eq!(answered, MACHINES);
    assert!(open <= MAX_SOCKETS / 4, "{open} connections are still open after all calls");
}

/// Guards against a list of machines that never completes, because it has more pages than the cloud's rate limit allows
/// calls in a burst.
#[test]
fn a_list_of_many_pages_is_read_to_its_end() {
    const CALLS_A_SECOND: f64 = 5.0;
    let mut simulation = Simulation::with_one_shard(3, [12, 12]);
    for settings in &mut simulation.settings {
        settings.cloud_rps = CALLS_A_SECOND;
    }
    simulation.cloud.call_limit = Some(RateLimiter::new(CALLS_A_SECOND, 2.0 * CALLS_A_SECOND));
    simulation.cloud.page_size = Some(500);
    let foreign = |at: usize| ListedMachine {
        id: MachineId::new(&format!("z-{at:06}")),
        kind: Name::new("large"),
        zone: Name::new("east"),
        spot: false,
        state: MachineState::Running,
        age: Span::ZERO,
    };
    simulation.cloud.foreign_machines = (0..HEADROOM + 3000).map(foreign).collect();
    for id in 0..10 {
        simulation.add_user(spec(id, JobKind::Array, "free", 6, 2.0), 5 * SEC, 5 * SEC, None, false);
    }
    run_until(&mut simulation, 60 * SEC);
    let (lists, refused) = (simulation.cloud.complete_lists, simulation.cloud.calls_over_limit);
    assert!(lists >= 4, "{lists} lists were read completely, {refused} calls were refused");
    assert!(simulation.users.iter().all(|user| user.done_at.is_some()), "some jobs were not reported as done");
}

/// Returns a simulation whose cloud and state service are sized for such a fleet, with eight jobs of 520 tasks. Each
/// task runs for `run_time` microseconds.
fn large_fleet(seed: u64, run_time: u64) -> Simulation {
    let mut simulation = Simulation::with_services_for_large_fleet(seed, [1100, 1100]);
    for id in 0..8 {
        // Each task needs a machine of its own.
        let mut job = spec(id, JobKind::Array, "free", 520, 16.0);
        job.spot = true;
        simulation.add_user(job, run_time, 3 * SEC, None, false);
    }
    simulation
}

/// Runs the simulation until `end`, checks the rules and prints the progress.
fn run_until(simulation: &mut Simulation, end: u64) {
    simulation.run_until(end);
    simulation.assert_no_violations();
    println!(
        "{} s: {} machines, {} running tasks",
        simulation.now / SEC,
        simulation.workers.len(),
        simulation.running_tasks()
    );
}

/// Runs until at least `tasks` tasks are running, which need one machine each.
fn run_until_tasks_are_running(simulation: &mut Simulation, tasks: usize) {
    while simulation.running_tasks() < tasks {
        assert!(
            simulation.now < 400 * SEC,
            "only {} tasks are running on {} machines",
            simulation.running_tasks(),
            simulation.workers.len()
        );
        let next = simulation.now + 5 * SEC;
        run_until(simulation, next);
    }
}

#[test]
fn safety_rules_hold_with_4000_machines_a_failover_and_an_outage() {
    let mut simulation = large_fleet(1, 120 * SEC);
    run_until_tasks_are_running(&mut simulation, FLEET);
    let leader = simulation.current_leader();
    let crashed_at = simulation.now;
    simulation.crash(leader, 20 * SEC);
    while simulation.leader(0).is_none_or(|other| other == leader) {
        assert!(simulation.now < crashed_at + 10 * SEC, "no other controller has acquired leadership");
        simulation.run_for(100 * MS);
    }
    println!("leadership acquired {} ms after the crash", (simulation.now - crashed_at) / MS);
    let settled_at = simulation.now + 20 * SEC;
    run_until(&mut simulation, settled_at);
    assert!(simulation.running_tasks() >= FLEET, "{} tasks are running after the failover", simulation.running_tasks());
    let outage_start = simulation.now;
    simulation.state_service.start_outage(outage_start, 15 * SEC);
    run_until(&mut simulation, outage_start + 20 * SEC);
    assert!(simulation.running_tasks() >= FLEET, "{} tasks are running after the outage", simulation.running_tasks());
    while simulation.users.iter().any(|user| user.done_at.is_none()) {
        assert!(simulation.now < 600 * SEC, "some jobs were not reported as done");
        let next = simulation.now + 10 * SEC;
        run_until(&mut simulation, next);
    }
    println!("{} starts of {} tasks", simulation.task_starts, simulation.completed.len());
    assert!(
        simulation.task_starts <= simulation.completed.len() as u64 + FLEET as u64 / 100,
        "{} starts of {} tasks",
        simulation.task_starts,
        simulation.completed.len()
    );
    while !simulation.workers.is_empty() {
        assert!(simulation.now < 900 * SEC, "{} machines were not deleted", simulation.workers.len());
        let next = simulation.now + 10 * SEC;
        run_until(&mut simulation, next);
    }
}
