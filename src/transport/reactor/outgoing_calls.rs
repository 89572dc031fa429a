//! Calls to the services, to workers and to the health checks of other controllers, over a pool of connections for each
//! target.

use super::connection::{Connection, ConnectionId, ConnectionKind};
use super::{CallId, MAX_CONNECTIONS_PER_TARGET, NetEvent, POOLED_TIMEOUT, Transport};
use crate::time::{Span, Time};
use crate::transport::http::{self, OutgoingRequest, ParseError, Parsed, Response};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;

/// One socket in four may be used for calls before unused connections are closed.
const SOCKETS_PER_SERVICE_CONNECTION: usize = 4;
/// Status that is reported to the caller for a response with a body that exceeds the maximum size.
const PAYLOAD_TOO_LARGE: u16 = 413;

/// All calls without an answer so far, and the connection pools for them.
pub(super) struct OutgoingCalls {
    calls: BTreeMap<CallId, OutgoingCall>,
    pools: HashMap<SocketAddrV4, ConnectionPool>,
    /// Number of connections above which unused ones are closed.
    max_connections: usize,
}

/// Call without an answer so far.
struct OutgoingCall {
    started_at: Time,
    deadline: Time,
    target: SocketAddrV4,
    /// Serialized request; empty after it has been moved to the output of a connection.
    request_bytes: Vec<u8>,
    /// Connection on which the request was sent; `None` while the call is queued.
    connection: Option<ConnectionId>,
}

/// Connections to one target and the queue of calls that wait for a connection.
#[derive(Default)]
struct ConnectionPool {
    /// Open connections without a call; the one used most recently is last.
    idle: Vec<ConnectionId>,
    /// Number of open connections, idle or not.
    open: usize,
    queue: VecDeque<CallId>,
}

/// Result of requesting a connection from a pool.
enum PoolConnection {
    /// Connection without a call.
    Ready(ConnectionId),
    /// All connections are in use and no further one is allowed.
    Exhausted,
    /// No connection could be opened.
    Unreachable,
}

impl OutgoingCalls {
    pub fn new(max_sockets: usize) -> OutgoingCalls {
        let max_connections = max_sockets / SOCKETS_PER_SERVICE_CONNECTION;
        OutgoingCalls { calls: BTreeMap::new(), pools: HashMap::new(), max_connections }
    }

    fn pool(&mut self, target: SocketAddrV4) -> &mut ConnectionPool {
        self.pools.entry(target).or_default()
    }

    /// Returns the first call in the queue of a target, after removing calls that have ended while they were queued.
    fn next_queued(&mut self, target: SocketAddrV4) -> Option<CallId> {
        let pool = self.pools.get_mut(&target)?;
        while pool.queue.front().is_some_and(|call| !self.calls.contains_key(call)) {
            pool.queue.pop_front();
        }
        pool.queue.front().copied()
    }

    fn remove_pool_if_unused(&mut self, target: SocketAddrV4) {
        if self.pools.get(&target).is_some_and(|pool| pool.open == 0 && pool.queue.is_empty()) {
            self.pools.remove(&target);
        }
    }
}

impl Transport {
    /// Sends a request. Exactly one [`NetEvent::Answer`] follows.
    pub fn call(&mut self, call: CallId, target: SocketAddrV4, request: &OutgoingRequest<'_>, timeout: Span) {
        let request_bytes = http::write_request(request, &target.to_string());
        let deadline = self.now + timeout;
        let outgoing = OutgoingCall { started_at: self.now, deadline, target, request_bytes, connection: None };
        self.outgoing.calls.insert(call, outgoing);
        self.outgoing.pool(target).queue.push_back(call);
        self.start_queued_calls(target);
    }

    /// Sends queued calls as long as connections are available for them.
    fn start_queued_calls(&mut self, target: SocketAddrV4) {
        while let Some(call) = self.outgoing.next_queued(target) {
            match self.pooled_connection(target) {
                PoolConnection::Ready(connection) => {
                    self.outgoing.pool(target).queue.pop_front();
                    self.send_call(call, connection, target);
                }
                PoolConnection::Exhausted => break,
                PoolConnection::Unreachable => {
                    self.outgoing.pool(target).queue.pop_front();
                    self.answer_call(call, None);
                }
            }
        }
        self.outgoing.remove_pool_if_unused(target);
    }

    /// Returns an idle connection to a target or opens a new one.
    fn pooled_connection(&mut self, target: SocketAddrV4) -> PoolConnection {
        while let Some(id) = self.outgoing.pool(target).idle.pop() {
            if self.is_reusable(id) {
                return PoolConnection::Ready(id);
            }
            self.discard_pooled(id, target);
        }
        if self.outgoing.pool(target).open >= MAX_CONNECTIONS_PER_TARGET {
            return PoolConnection::Exhausted;
        }
        match self.dial(target, ConnectionKind::Service { target, call: None }) {
            Some(id) => {
                self.outgoing.pool(target).open += 1;
                PoolConnection::Ready(id)
            }
            None => PoolConnection::Unreachable,
        }
    }

    fn is_reusable(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| self.now.since(connection.last_active) < POOLED_TIMEOUT)
    }

    /// Closes an idle connection without starting the next queued call.
    fn discard_pooled(&mut self, id: ConnectionId, target: SocketAddrV4) {
        if self.connections.remove(&id).is_some() {
            self.outgoing.pool(target).open -= 1;
        }
    }

    fn send_call(&mut self, call: CallId, id: ConnectionId, target: SocketAddrV4) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(outgoing) = self.outgoing.calls.get_mut(&call) else { return };
        outgoing.connection = Some(id);
        let wait = self.now.since(outgoing.started_at);
        self.statistics.longest_call_wait = self.statistics.longest_call_wait.max(wait);
        connection.kind = ConnectionKind::Service { target, call: Some(call) };
        connection.last_active = self.now;
        connection.output.extend(std::mem::take(&mut outgoing.request_bytes));
        self.flush(id);
    }

    /// Ends a call with a response, or with `None` if there is none. Does nothing if the call has already ended.
    fn answer_call(&mut self, call: CallId, response: Option<Response>) {
        if self.outgoing.calls.remove(&call).is_some() {
            self.inbox.push_back(NetEvent::Answer { call, response });
        }
    }

    /// Parses the response in the input of a service connection and ends its call.
    pub(super) fn take_response(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let ConnectionKind::Service { target, call } = &mut connection.kind else { return };
        match http::parse_response(&connection.input) {
            Ok(Parsed::Partial) => {}
            Ok(Parsed::Complete(response, length)) => {
                let (target, call) = (*target, call.take());
                let has_more_input = connection.input.len() > length;
                connection.input = Vec::new();
                let reusable = !response.close && !has_more_input && call.is_some();
                if let Some(call) = call {
                    self.answer_call(call, Some(response));
                }
                if reusable { self.return_to_pool(id, target) } else { self.close(id) }
            }
            Err(ParseError::BodyTooLarge) => {
                // A retry would get the same body, so the error is reported to the caller.
                let response = Response { status: PAYLOAD_TOO_LARGE, body: Vec::new(), close: true };
                if let Some(call) = call.take() {
                    self.answer_call(call, Some(response));
                }
                self.close(id);
            }
            Err(_) => self.close(id),
        }
    }

    fn return_to_pool(&mut self, id: ConnectionId, target: SocketAddrV4) {
        self.outgoing.pool(target).idle.push(id);
        self.start_queued_calls(target);
        self.close_excess_connection();
    }

    /// Closes the service connection that has been unused for longest if there are too many. Otherwise every worker
    /// that was called directly would occupy a socket until its connection expires.
    fn close_excess_connection(&mut self) {
        let is_service = |connection: &Connection| matches!(connection.kind, ConnectionKind::Service { .. });
        let count = self.connections.values().filter(|connection| is_service(connection)).count();
        if count <= self.outgoing.max_connections {
            return;
        }
        let is_unused = |connection: &Connection| matches!(connection.kind, ConnectionKind::Service { call: None, .. });
        let unused = self.connections.iter().filter(|(_, connection)| is_unused(connection));
        if let Some(id) = unused.min_by_key(|(_, connection)| connection.last_active).map(|(id, _)| *id) {
            self.close(id);
        }
    }

    /// Ends the call of a closed connection and sends queued calls on other connections.
    pub(super) fn service_closed(&mut self, id: ConnectionId, target: SocketAddrV4, call: Option<CallId>) {
        let pool = self.outgoing.pool(target);
        pool.open -= 1;
        pool.idle.retain(|other| *other != id);
        if let Some(call) = call {
            self.answer_call(call, None);
        }
        self.start_queued_calls(target);
    }

    /// Ends the calls whose deadline has passed.
    pub(super) fn expire_calls(&mut self) {
        let now = self.now;
        let is_expired = |(id, call): (&CallId, &OutgoingCall)| (call.deadline <= now).then_some(*id);
        let expired: Vec<CallId> = self.outgoing.calls.iter().filter_map(is_expired).collect();
        for id in expired {
            self.expire_call(id);
        }
    }

    fn expire_call(&mut self, id: CallId) {
        let Some(call) = self.outgoing.calls.remove(&id) else { return };
        match call.connection {
            Some(_) => self.statistics.calls_expired_in_flight += 1,
            None => self.statistics.calls_expired_in_queue += 1,
        }
        self.inbox.push_back(NetEvent::Answer { call: id, response: None });
        // The idle connections to the target may be broken as well, so they are closed instead of being reused.
        let idle = std::mem::take(&mut self.outgoing.pool(call.target).idle);
        for connection in idle.into_iter().chain(call.connection) {
            self.close(connection);
        }
        self.start_queued_calls(call.target);
    }
}
