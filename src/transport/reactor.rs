//! All connections of the process, driven by the event loop.
//!
//! [`Transport`] owns the connections. Received messages are put into an inbox of [`NetEvent`]s. Output is written at
//! once as far as the socket accepts it, and the rest when the socket becomes writable. The submodules extend
//! [`Transport`] by the listening sockets and by one kind of connection each.

mod client_connections;
mod connection;
mod listener;
mod outgoing_calls;
mod peer_links;
mod statistics;

pub use statistics::TransportStatistics;

use super::http::{Request, Response};
use crate::time::{Span, Time};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness};
use client_connections::ClientConnections;
use connection::{Connection, ConnectionId, ConnectionKind, ReadOutcome, Registration, WriteOutcome};
use outgoing_calls::OutgoingCalls;
use peer_links::PeerLink;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// Maximum size in bytes of a frame between controllers.
pub const MAX_FRAME: usize = 1024 * 1024;
/// Maximum number of unsent bytes for a peer that does not read them; beyond it, the connection is closed and dialled
/// again. Large enough for the relayed worker heartbeats of a whole fleet while the peer pauses for a second.
const MAX_PEER_BACKLOG_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of connections to the same service or worker.
const MAX_CONNECTIONS_PER_TARGET: usize = 8;
/// Maximum number of connections that wait to be accepted. Large, since all workers look for a new leader at the same
/// time. The system may allow fewer (`net.core.somaxconn`).
const LISTEN_BACKLOG: i32 = 16_384;
/// Maximum number of connections accepted in an iteration of the event loop, so that open connections are not starved.
const MAX_ACCEPTED_PER_ITERATION: usize = 64;
/// Time after which an idle connection from a user, worker or peer is closed.
const IDLE_TIMEOUT: Span = Span::millis(75_000);
/// Time within which a request must arrive completely, counted from its first bytes.
const SLOW_REQUEST_TIMEOUT: Span = Span::millis(10_000);
/// Time for which a client connection must have been idle before it may be closed in favour of a new one.
const MIN_IDLE_BEFORE_EVICTION: Span = Span::millis(6_000);
/// Time for which an idle connection to a service is kept. After that, the service may have closed its side.
const POOLED_TIMEOUT: Span = Span::millis(20_000);
/// Minimum time between two attempts to connect to a peer.
const PEER_REDIAL_INTERVAL: Span = Span::millis(400);
/// Time for which pending output to a peer may make no progress before the connection is closed, and minimum age of a
/// connection that is closed because the peer is silent.
const PEER_STALL_TIMEOUT: Span = Span::millis(3_000);
/// Size of the buffer for reading from sockets.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Error number that `connect` returns on Linux for a connection that is being established.
const EINPROGRESS: i32 = 115;

/// Id of a received request that waits for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Id of a call to a service, a worker or the health check of another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Network event for the owner of the transport.
#[derive(Debug)]
pub enum NetEvent {
    /// Request of a user or a worker.
    Request {
        /// Id to pass to [`Transport::reply`].
        id: RequestId,
        /// Received request.
        request: Request,
    },
    /// End of a call.
    Answer {
        /// Id of the call.
        call: CallId,
        /// Response; `None` if the call timed out or the connection broke.
        response: Option<Response>,
    },
    /// Frame from another controller.
    Frame(Vec<u8>),
}

/// All connections of the process.
pub struct Transport {
    handle: LoopHandle<'static, Transport>,
    connections: HashMap<ConnectionId, Connection>,
    last_connection: ConnectionId,
    clients: ClientConnections,
    outgoing: OutgoingCalls,
    peers: HashMap<SocketAddrV4, PeerLink>,
    inbox: VecDeque<NetEvent>,
    read_buffer: Box<[u8]>,
    statistics: TransportStatistics,
    started: Instant,
    now: Time,
}

impl Transport {
    /// Returns a transport without connections, whose limits on connections are derived from `max_sockets`.
    pub fn new(handle: LoopHandle<'static, Transport>, max_sockets: usize) -> Transport {
        Transport {
            handle,
            connections: HashMap::new(),
            last_connection: ConnectionId::default(),
            clients: ClientConnections::new(max_sockets),
            outgoing: OutgoingCalls::new(max_sockets),
            peers: HashMap::new(),
            inbox: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
            statistics: TransportStatistics::default(),
            started: Instant::now(),
            now: Time::ZERO,
        }
    }

    /// Reads the steady clock and updates `now`, the time that all other methods use.
    pub fn clock(&mut self) -> Time {
        self.now = Time(self.started.elapsed().as_micros() as u64);
        self.now
    }

    /// Removes the oldest event from the inbox and returns it.
    pub fn next_event(&mut self) -> Option<NetEvent> {
        self.inbox.pop_front()
    }

    /// Ends calls that have timed out and closes stale connections. Must be called several times a second.
    pub fn expire(&mut self) {
        self.expire_calls();
        self.close_stale_connections();
    }

    /// Returns the statistics since the previous call.
    pub fn take_statistics(&mut self) -> TransportStatistics {
        std::mem::take(&mut self.statistics)
    }

    fn close_stale_connections(&mut self) {
        let now = self.now;
        let is_stale = |(id, connection): (&ConnectionId, &Connection)| connection.is_stale(now).then_some(*id);
        let stale: Vec<ConnectionId> = self.connections.iter().filter_map(is_stale).collect();
        for id in stale {
            self.close(id);
        }
    }

    /// Starts to connect to `target`. Returns `None` if that fails at once.
    fn dial(&mut self, target: SocketAddrV4, kind: ConnectionKind) -> Option<ConnectionId> {
        let id = self.open(target, kind);
        self.statistics.failed_dials += u64::from(id.is_none());
        id
    }

    fn open(&mut self, target: SocketAddrV4, kind: ConnectionKind) -> Option<ConnectionId> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).ok()?;
        socket.set_nonblocking(true).ok()?;
        match socket.connect(&SocketAddr::V4(target).into()) {
            Ok(()) => {}
            Err(error) if is_in_progress(&error) => {}
            Err(_) => return None,
        }
        self.register(socket.into(), kind)
    }

    /// Adds a connection and registers its socket with the event loop.
    fn register(&mut self, stream: TcpStream, kind: ConnectionKind) -> Option<ConnectionId> {
        stream.set_nonblocking(true).ok()?;
        let _ = stream.set_nodelay(true);
        let stream = Arc::new(stream);
        let id = self.last_connection.next();
        self.last_connection = id;
        // Edge-triggered in both directions, so that the registration never has to be changed.
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let on_ready = move |ready: Readiness, _: &mut _, transport: &mut Transport| {
            transport.connection_ready(id, ready);
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, on_ready).ok()?;
        let registration = Registration::new(self.handle.clone(), token);
        self.connections.insert(id, Connection::new(stream, registration, kind, self.now));
        self.statistics.max_connections = self.statistics.max_connections.max(self.connections.len());
        Some(id)
    }

    fn connection_ready(&mut self, id: ConnectionId, ready: Readiness) {
        self.clock();
        if ready.readable || ready.error {
            self.read(id);
        }
        self.flush(id);
    }

    /// Reads the bytes that a connection has received and processes the complete messages among them.
    fn read(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let outcome = connection.read_available(&mut self.read_buffer, self.now);
        self.take_messages(id);
        if outcome == ReadOutcome::Ended {
            self.close(id);
        }
    }

    /// Processes the complete messages in the input buffer of a connection.
    fn take_messages(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.input.is_empty() {
            return;
        }
        match connection.kind {
            ConnectionKind::Client(_) => self.take_request(id),
            ConnectionKind::Service { .. } => self.take_response(id),
            ConnectionKind::PeerIncoming | ConnectionKind::PeerOutgoing { .. } => self.take_frames(id),
        }
    }

    /// Writes pending output as far as the socket accepts it.
    fn flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.write_pending(self.now) {
            WriteOutcome::Blocked => {}
            WriteOutcome::Finished if connection.closes_once_written() => self.close(id),
            WriteOutcome::Finished => {}
            WriteOutcome::Failed => self.close(id),
        }
    }

    /// Closes a connection and ends the request or call that depends on it.
    fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        match connection.into_kind() {
            ConnectionKind::Client(client) => self.client_closed(&client),
            ConnectionKind::Service { target, call } => self.service_closed(id, target, call),
            ConnectionKind::PeerIncoming => {}
            ConnectionKind::PeerOutgoing { target } => self.peer_closed(target),
        }
    }
}

/// Returns `true` if `error`, returned by `connect`, means that the connection is being established.
fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}
