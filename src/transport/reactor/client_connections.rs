//! HTTP server connections: requests of clients, that is, users and workers, and the replies to them.

use super::connection::{ConnectionId, ConnectionKind};
use super::statistics::OpenRequest;
use super::{MIN_IDLE_BEFORE_EVICTION, NetEvent, RequestId, Transport};
use crate::time::Time;
use crate::transport::RequestKind;
use crate::transport::http::{self, ParseError, Parsed};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::TcpStream;
use std::rc::Rc;

/// One socket in four, and [`RESERVED_SOCKETS`] more, are reserved for connections to the services, to the other
/// controllers and to workers.
const RESERVED_SOCKETS_DIVISOR: usize = 4;
/// Number of sockets reserved in addition to the reserved fraction.
const RESERVED_SOCKETS: usize = 8;
/// Maximum number of bytes that a client may send while its previous request waits for the reply.
const MAX_PIPELINED_BYTES: usize = 2 * http::MAX_REQUEST_BODY;
/// Body of the reply to a request that cannot be parsed.
const EMPTY_BODY: &[u8] = b"{}";

/// All client connections and the requests that wait for a reply.
pub(super) struct ClientConnections {
    slots: ClientSlots,
    last_request: RequestId,
    /// Requests that wait for a reply.
    requests: HashMap<RequestId, OpenRequest>,
}

impl ClientConnections {
    pub fn new(max_sockets: usize) -> ClientConnections {
        let limit = max_sockets - max_sockets / RESERVED_SOCKETS_DIVISOR - RESERVED_SOCKETS;
        ClientConnections {
            slots: ClientSlots { used: Rc::default(), limit },
            last_request: RequestId(0),
            requests: HashMap::new(),
        }
    }

    /// Assigns a new id to a request.
    fn add_request(&mut self, request: OpenRequest) -> RequestId {
        self.last_request = RequestId(self.last_request.0 + 1);
        self.requests.insert(self.last_request, request);
        self.last_request
    }
}

/// Counter of the client connections and its limit.
struct ClientSlots {
    used: Rc<Cell<usize>>,
    limit: usize,
}

impl ClientSlots {
    /// Returns `true` if more than three quarters of the slots are in use. Connections are then closed after each
    /// reply, so that more clients than there are sockets can be served in turn.
    fn is_nearly_exhausted(&self) -> bool {
        self.used.get() > self.limit / 4 * 3
    }

    fn is_exhausted(&self) -> bool {
        self.used.get() >= self.limit
    }

    fn acquire(&self) -> Option<ClientSlot> {
        if self.is_exhausted() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(ClientSlot { used: self.used.clone() })
    }
}

/// Slot of a client connection, which is released when the value is dropped.
struct ClientSlot {
    used: Rc<Cell<usize>>,
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.used.set(self.used.get() - 1);
    }
}

/// State of a client connection.
pub(super) struct ClientState {
    /// Request that waits for its reply, if any.
    pub pending_request: Option<RequestId>,
    /// `true` if the connection is to be closed after the current or next reply.
    pub close_after_reply: bool,
    /// Time at which the first bytes of an incomplete request arrived.
    pub request_started: Option<Time>,
    _slot: ClientSlot,
}

impl Transport {
    /// Adds a client connection. If the limit is reached, the connection that has been idle for longest is closed in
    /// its favour; if none has been idle for long enough, the new one is closed.
    pub(super) fn add_client(&mut self, stream: TcpStream) {
        if self.clients.slots.is_exhausted() {
            self.close_longest_idle_client();
        }
        let Some(slot) = self.clients.slots.acquire() else {
            self.statistics.refused += 1;
            return;
        };
        self.statistics.accepted += 1;
        let state = ClientState { pending_request: None, close_after_reply: false, request_started: None, _slot: slot };
        self.register(stream, ConnectionKind::Client(state));
    }

    fn close_longest_idle_client(&mut self) {
        let idle = self.connections.iter().filter(|(_, connection)| {
            let ConnectionKind::Client(client) = &connection.kind else { return false };
            let is_unused = client.pending_request.is_none() && client.request_started.is_none();
            is_unused && self.now.since(connection.last_active) > MIN_IDLE_BEFORE_EVICTION
        });
        let longest_idle = idle.min_by_key(|(_, connection)| connection.last_active);
        if let Some(id) = longest_idle.map(|(id, _)| *id) {
            self.statistics.evicted += 1;
            self.close(id);
        }
    }

    /// Parses the next request in the input of a client connection and removes it from there.
    pub(super) fn take_request(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let ConnectionKind::Client(client) = &mut connection.kind else { return };
        if client.pending_request.is_some() || client.close_after_reply {
            // The next request is parsed after the reply to the current one. Well-behaved clients send little in the
            // meantime; the input buffers of other clients must not grow without bound.
            if connection.input.len() > MAX_PIPELINED_BYTES {
                self.close(id);
            }
            return;
        }
        match http::parse_request(&connection.input) {
            Ok(Parsed::Partial) => {
                client.request_started.get_or_insert(self.now);
            }
            Ok(Parsed::Complete(request, length)) => {
                let kind = RequestKind::of_path(&request.path);
                let open_request = OpenRequest { connection: id, kind, received_at: self.now };
                let request_id = self.clients.add_request(open_request);
                client.pending_request = Some(request_id);
                client.request_started = None;
                client.close_after_reply = request.close;
                connection.discard_input(length);
                self.inbox.push_back(NetEvent::Request { id: request_id, request });
            }
            Err(error) => self.refuse_request(id, error),
        }
    }

    /// Replies to bytes that are not a valid request and closes the connection, since the start of a next request
    /// cannot be determined.
    fn refuse_request(&mut self, id: ConnectionId, error: ParseError) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let ConnectionKind::Client(client) = &mut connection.kind else { return };
        client.close_after_reply = true;
        connection.input = Vec::new();
        connection.output.extend(http::write_response(error.status(), None, true, EMPTY_BODY));
        self.flush(id);
    }

    /// Replies to a request. Does nothing if the connection of the request has been closed.
    pub fn reply(&mut self, id: RequestId, status: u16, retry_after: Option<u32>, body: &[u8]) {
        let Some(request) = self.clients.requests.remove(&id) else { return };
        let connection_id = request.connection;
        self.statistics.record_reply(request.kind, self.now.since(request.received_at), true);
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        let ConnectionKind::Client(client) = &mut connection.kind else { return };
        client.pending_request = None;
        client.close_after_reply |= self.clients.slots.is_nearly_exhausted();
        connection.output.extend(http::write_response(status, retry_after, client.close_after_reply, body));
        self.flush(connection_id);
        self.take_messages(connection_id);
    }

    /// Removes the request that waited for a reply on a closed connection.
    pub(super) fn client_closed(&mut self, client: &ClientState) {
        if let Some(request) = client.pending_request
            && let Some(request) = self.clients.requests.remove(&request)
        {
            self.statistics.record_reply(request.kind, self.now.since(request.received_at), false);
        }
    }
}
