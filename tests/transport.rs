//! The transport on real loopback sockets: pooled connections to services, requests of users and workers, and
//! frames between controllers.

use calloop::EventLoop;
use crowstall::time::Span;
use crowstall::transport::http::OutgoingRequest;
use crowstall::transport::{CallId, NetEvent, RequestId, Transport};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const MAX_SOCKETS: usize = 64;
/// Number of connections of users and workers that `MAX_SOCKETS` allows.
const MAX_CLIENT_CONNECTIONS: usize = 40;
const MAX_CONNECTIONS_PER_SERVICE: usize = 8;
/// Timeout of calls that must not expire during a test.
const LONG: Span = Span::millis(60_000);
/// Maximum time that one turn of the event loop waits for events.
const TURN: Duration = Duration::from_millis(5);
/// Minimum time between two attempts to connect to a peer.
const REDIAL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time that a test waits for an expected event.
const DEADLINE: Duration = Duration::from_secs(20);

/// Transport with its own event loop.
struct Harness {
    event_loop: EventLoop<'static, Transport>,
    transport: Transport,
}

impl Harness {
    fn new() -> Harness {
        let event_loop: EventLoop<'static, Transport> = EventLoop::try_new().unwrap();
        let mut transport = Transport::new(event_loop.handle(), MAX_SOCKETS);
        transport.clock();
        Harness { event_loop, transport }
    }

    /// Runs the event loop once and expires calls and connections.
    fn turn(&mut self) {
        self.event_loop.dispatch(Some(TURN), &mut self.transport).unwrap();
        self.transport.clock();
        self.transport.expire();
    }

    /// Runs the event loop until the transport reports an event, and returns it.
    fn next_event(&mut self) -> NetEvent {
        let deadline = Instant::now() + DEADLINE;
        loop {
            if let Some(event) = self.transport.next_event() {
                return event;
            }
            assert!(Instant::now() < deadline, "no event within {DEADLINE:?}");
            self.turn();
        }
    }

    /// Runs the event loop for 20 turns and fails if the transport reports an event.
    fn expect_silence(&mut self) {
        for _ in 0..20 {
            self.turn();
            assert!(self.transport.next_event().is_none());
        }
    }

    /// Sends a GET request to a service.
    fn get(&mut self, call: u64, target: SocketAddrV4, timeout: Span) {
        let request = OutgoingRequest { method: "GET", path: "/x", body: None };
        self.transport.call(CallId(call), target, &request, timeout);
    }

    /// Runs the event loop until a call ends. Returns the call and the body of the response, or `None` without a
    /// response.
    fn next_answer(&mut self) -> (u64, Option<Vec<u8>>) {
        match self.next_event() {
            NetEvent::Answer { call, response } => (call.0, response.map(|response| response.body)),
            other => panic!("expected the end of a call, got {other:?}"),
        }
    }

    /// Runs the event loop until a request arrives. Returns its id and path.
    fn next_request(&mut self) -> (RequestId, String) {
        match self.next_event() {
            NetEvent::Request { id, request } => (id, request.path),
            other => panic!("expected a request, got {other:?}"),
        }
    }

    /// Runs the event loop until a frame arrives, and returns its content.
    fn next_frame(&mut self) -> Vec<u8> {
        match self.next_event() {
            NetEvent::Frame(bytes) => bytes,
            other => panic!("expected a frame, got {other:?}"),
        }
    }

    /// Runs the event loop until a connection arrives at the listener, and accepts it.
    fn accept(&mut self, listener: &TcpListener) -> TcpStream {
        let deadline = Instant::now() + DEADLINE;
        loop {
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).unwrap();
                return stream;
            }
            assert!(Instant::now() < deadline, "no connection within {DEADLINE:?}");
            self.turn();
        }
    }

    /// Runs the event loop until `count` bytes have been read from the stream or the stream is closed.
    fn read(&mut self, stream: &mut TcpStream, count: usize) -> Vec<u8> {
        stream.set_nonblocking(true).unwrap();
        let deadline = Instant::now() + DEADLINE;
        let mut bytes = Vec::new();
        while bytes.len() < count {
            let mut chunk = vec![0; count - bytes.len()];
            match stream.read(&mut chunk) {
                Ok(0) => return bytes,
                Ok(read) => bytes.extend_from_slice(&chunk[..read]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return bytes,
                Err(_) => self.turn(),
            }
            assert!(Instant::now() < deadline, "only {} of {count} bytes within {DEADLINE:?}", bytes.len());
        }
        bytes
    }

    /// Reads from the stream the request that [`Harness::get`] sends to `target`.
    fn read_request(&mut self, stream: &mut TcpStream, target: SocketAddrV4) {
        let expected =
            format!("GET /x HTTP/1.1\r\nHost: {target}\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(String::from_utf8(self.read(stream, expected.len())).unwrap(), expected);
    }

    /// Returns `true` if the transport closes the stream, `false` if it sends a byte; panics if neither happens.
    fn is_closed(&mut self, stream: &mut TcpStream) -> bool {
        self.read(stream, 1).is_empty()
    }
}

fn loopback(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// Returns a listener that acts as a service, and its address.
fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind(loopback(0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else { panic!("the listener has no IPv4 address") };
    (listener, addr)
}

fn free_address() -> SocketAddrV4 {
    listen().1
}

fn respond(stream: &mut TcpStream, body: &str, headers: &str) {
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).unwrap();
}

#[test]
fn a_connection_to_a_service_is_used_again() {
    let mut harness = Harness::new();
    let (listener, addr) = listen();
    harness.get(1, addr, LONG);
    let mut stream = harness.accept(&listener);
    for call in 1..4 {
        harness.read_request(&mut stream, addr);
        respond(&mut stream, "abc", "");
        assert_eq!(harness.next_answer(), (call, Some(b"abc".to_vec())));
        harness.get(call + 1, addr, LONG);
    }
    assert!(listener.accept().is_err(), "a second connection was opened");
}

#[test]
fn a_connection_that_the_service_closes_is_replaced() {
    let mut harness = Harness::new();
    let (listener, addr) = listen();
    harness.get(1, addr, LONG);
    let mut stream = harness.accept(&listener);
    harness.read_request(&mut stream, addr);
    respond(&mut stream, "a", "Connection: close\r\n");
    assert_eq!(harness.next_answer(), (1, Some(b"a".to_vec())));
    assert!(harness.is_closed(&mut stream));
    harness.get(2, addr, LONG);
    let mut stream = harness.accept(&listener);
    harness.read_request(&mut stream, addr);
    // The call ends without an answer if the connection is closed before the response, or if the response is malformed.
    drop(stream);
    assert_eq!(harness.next_answer(), (2, None));
    harness.get(3, addr, LONG);
    let mut stream = harness.accept(&listener);
    stream.write_all(b"\x16\x03\x01 garbage\r\n\r\n").unwrap();
    assert_eq!(harness.next_answer(), (3, None));
    harness.expect_silence();
}

#[test]
fn calls_beyond_the_pool_wait_for_a_connection() {
    let mut harness = Harness::new();
    let (listener, addr) = listen();
    let calls = MAX_CONNECTIONS_PER_SERVICE as u64 + 2;
    for call in 1..=calls {
        harness.get(call, addr, LONG);
    }
    let mut streams: Vec<_> = (0..MAX_CONNECTIONS_PER_SERVICE).map(|_| harness.accept(&listener)).collect();
    harness.expect_silence();
    assert!(listener.accept().is_err(), "more than {MAX_CONNECTIONS_PER_SERVICE} connections were opened");
    let mut answered = Vec::new();
    for stream in &mut streams {
        harness.read_request(stream, addr);
        respond(stream, "", "");
        answered.push(harness.next_answer().0);
    }
    for stream in &mut streams[..2] {
        harness.read_request(stream, addr);
        respond(stream, "", "");
        answered.push(harness.next_answer().0);
    }
    assert_eq!(answered, (1..=calls).collect::<Vec<_>>());
}

#[test]
fn calls_without_an_answer_expire() {
    let mut harness = Harness::new();
    let (listener, addr) = listen();
    harness.get(1, addr, Span::millis(50));
    let mut stream = harness.accept(&listener);
    assert_eq!(harness.next_answer(), (1, None));
    harness.read_request(&mut stream, addr);
    assert!(harness.is_closed(&mut stream), "the connection of an expired call stays open");
    harness.get(2, free_address(), LONG);
    assert_eq!(harness.next_answer(), (2, None));
    harness.expect_silence();
}

#[test]
fn requests_on_a_connection_are_replied_to_in_their_order() {
    let mut harness = Harness::new();
    let addr = free_address();
    harness.transport.listen_clients(addr).unwrap();
    let mut client = TcpStream::connect(addr).unwrap();
    client.write_all(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
    let (first, path) = harness.next_request();
    assert_eq!(path, "/1");
    harness.expect_silence();
    harness.transport.reply(first, 503, Some(1), b"{}");
    let expected = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\
                    Retry-After: 1\r\n\r\n{}";
    assert_eq!(String::from_utf8(harness.read(&mut client, expected.len())).unwrap(), expected);
    let (second, path) = harness.next_request();
    assert_eq!(path, "/2");
    harness.transport.reply(second, 201, None, b"");
    let expected = "HTTP/1.1 201 Created\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\
                    Connection: close\r\n\r\n";
    assert_eq!(String::from_utf8(harness.read(&mut client, expected.len())).unwrap(), expected);
    assert!(harness.is_closed(&mut client));
    // A reply to a client that has disconnected is dropped.
    let mut client = TcpStream::connect(addr).unwrap();
    client.write_all(b"GET /3 HTTP/1.1\r\n\r\n").unwrap();
    let (third, _) = harness.next_request();
    drop(client);
    harness.expect_silence();
    harness.transport.reply(third, 200, None, b"");
}

#[test]
fn a_client_that_sends_on_without_reading_is_cut_off() {
    let mut harness = Harness::new();
    let addr = free_address();
    harness.transport.listen_clients(addr).unwrap();
    let mut client = TcpStream::connect(addr).unwrap();
    client.write_all(b"GET /1 HTTP/1.1\r\n\r\n").unwrap();
    harness.next_request();
    client.write_all(&vec![b'x'; 128 * 1024]).unwrap();
    harness.expect_silence();
    client.write_all(b"x").unwrap();
    assert!(harness.is_closed(&mut client));
}

#[test]
fn front_connections_are_limited() {
    let mut harness = Harness::new();
    let addr = free_address();
    harness.transport.listen_clients(addr).unwrap();
    let mut clients = Vec::new();
    for _ in 0..MAX_CLIENT_CONNECTIONS {
        clients.push(TcpStream::connect(addr).unwrap());
        harness.turn();
    }
    let mut rejected = TcpStream::connect(addr).unwrap();
    // No open connection has been idle long enough to be closed in its place.
    assert!(harness.is_closed(&mut rejected), "the connection beyond the limit was not closed");
    drop(clients.pop());
    harness.expect_silence();
    let mut accepted = TcpStream::connect(addr).unwrap();
    accepted.write_all(b"GET /free HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(harness.next_request().1, "/free");
}

#[test]
fn frames_arrive_whole_and_in_order() {
    let mut harness = Harness::new();
    let addr = free_address();
    harness.transport.listen_peers(addr).unwrap();
    let mut peer = TcpStream::connect(addr).unwrap();
    peer.write_all(&[0, 0, 0, 1, 7, 0, 0, 0, 0, 0, 0, 0, 2, 8]).unwrap();
    assert_eq!((harness.next_frame(), harness.next_frame()), (vec![7], vec![]));
    harness.expect_silence();
    peer.write_all(&[9]).unwrap();
    assert_eq!(harness.next_frame(), [8, 9]);
    // Frames before one that is too large still arrive.
    peer.write_all(&[0, 0, 0, 1, 5, 0xff, 0xff, 0xff, 0xff, 0]).unwrap();
    assert_eq!(harness.next_frame(), [5]);
    assert!(harness.is_closed(&mut peer));
    // A large frame, which the transport sends to itself in several segments.
    let large = vec![3; 900_000];
    harness.transport.send_frame(addr, &large);
    assert!(harness.next_frame() == large);
}

#[test]
fn a_peer_that_closes_is_dialled_again_after_a_while() {
    let mut harness = Harness::new();
    let (listener, addr) = listen();
    harness.transport.send_frame(addr, b"one");
    let mut stream = harness.accept(&listener);
    assert_eq!(harness.read(&mut stream, 7), b"\0\0\0\x03one");
    let closed = Instant::now();
    drop(stream);
    harness.expect_silence();
    harness.transport.send_frame(addr, b"lost");
    harness.expect_silence();
    let is_dialled = listener.accept().is_ok();
    assert!(
        !is_dialled || closed.elapsed() >= REDIAL_INTERVAL,
        "the peer was dialled again within {REDIAL_INTERVAL:?}"
    );
    while closed.elapsed() < 2 * REDIAL_INTERVAL {
        harness.turn();
    }
    harness.transport.send_frame(addr, b"two");
    let mut stream = harness.accept(&listener);
    assert_eq!(harness.read(&mut stream, 7), b"\0\0\0\x03two");
}
