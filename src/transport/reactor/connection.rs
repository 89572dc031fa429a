//! Socket, buffers and kind of a single connection.

use super::client_connections::ClientState;
use super::{CallId, IDLE_TIMEOUT, PEER_STALL_TIMEOUT, POOLED_TIMEOUT, SLOW_REQUEST_TIMEOUT, Transport};
use crate::time::Time;
use calloop::{LoopHandle, RegistrationToken};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::Arc;

/// Capacity in bytes that an empty output buffer keeps.
const KEPT_OUTPUT_CAPACITY: usize = 4096;

/// Id of a connection, which is not reused after the connection is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ConnectionId(u64);

impl ConnectionId {
    pub fn next(self) -> ConnectionId {
        ConnectionId(self.0 + 1)
    }
}

/// Kind of a connection, with the state that depends on it.
pub(super) enum ConnectionKind {
    /// Connection from a user or worker.
    Client(ClientState),
    /// Connection to a service, a worker or the health check of another controller. `call` is the call that waits for
    /// its response, if any.
    Service { target: SocketAddrV4, call: Option<CallId> },
    /// Connection that another controller has opened to this one.
    PeerIncoming,
    /// Connection that this controller has opened to another one.
    PeerOutgoing { target: SocketAddrV4 },
}

/// Registration of a socket with the event loop, which is removed when the value is dropped.
pub(super) struct Registration {
    handle: LoopHandle<'static, Transport>,
    token: RegistrationToken,
}

impl Registration {
    pub fn new(handle: LoopHandle<'static, Transport>, token: RegistrationToken) -> Registration {
        Registration { handle, token }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

/// Result of reading from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// More bytes may arrive later.
    Open,
    /// The connection has been closed by the other side or is broken.
    Ended,
}

/// Result of writing the output of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// Everything has been written.
    Finished,
    /// The send buffer of the socket is full.
    Blocked,
    /// The connection is broken.
    Failed,
}

/// Open connection.
pub(super) struct Connection {
    stream: Arc<TcpStream>,
    registration: Registration,
    /// Received bytes that have not been processed yet.
    pub input: Vec<u8>,
    /// Bytes that have not been written yet.
    pub output: VecDeque<u8>,
    pub kind: ConnectionKind,
    /// Time at which bytes were last sent or received.
    pub last_active: Time,
}

impl Connection {
    pub fn new(stream: Arc<TcpStream>, registration: Registration, kind: ConnectionKind, now: Time) -> Connection {
        Connection { stream, registration, input: Vec::new(), output: VecDeque::new(), kind, last_active: now }
    }

    /// Closes the connection and returns its kind.
    pub fn into_kind(self) -> ConnectionKind {
        drop(self.registration);
        self.kind
    }

    /// Reads all bytes that have arrived and appends them to the input.
    pub fn read_available(&mut self, buffer: &mut [u8], now: Time) -> ReadOutcome {
        loop {
            match (&*self.stream).read(buffer) {
                Ok(0) => return ReadOutcome::Ended,
                Ok(count) => {
                    self.last_active = now;
                    self.input.extend_from_slice(&buffer[..count]);
                    if count < buffer.len() {
                        return ReadOutcome::Open;
                    }
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => return ReadOutcome::Open,
                    _ => return ReadOutcome::Ended,
                },
            }
        }
    }

    /// Writes as much of the output as the socket accepts.
    pub fn write_pending(&mut self, now: Time) -> WriteOutcome {
        while !self.output.is_empty() {
            let (first, _) = self.output.as_slices();
            match (&*self.stream).write(first) {
                Ok(0) => break,
                Ok(count) => {
                    self.output.drain(..count);
                    self.last_active = now;
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => return WriteOutcome::Blocked,
                    _ => return WriteOutcome::Failed,
                },
            }
        }
        self.output.shrink_to(KEPT_OUTPUT_CAPACITY);
        WriteOutcome::Finished
    }

    /// Removes the first `count` bytes of the input and frees its memory if none are left.
    pub fn discard_input(&mut self, count: usize) {
        self.input.drain(..count);
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Returns `true` if the connection is to be closed once its output is written.
    pub fn closes_once_written(&self) -> bool {
        matches!(
            &self.kind,
            ConnectionKind::Client(client) if client.pending_request.is_none() && client.close_after_reply
        )
    }

    /// Returns `true` if the connection has been idle for too long, or a message takes too long to be transferred.
    pub fn is_stale(&self, now: Time) -> bool {
        let idle = now.since(self.last_active);
        match &self.kind {
            ConnectionKind::Client(ClientState { request_started: Some(started), .. }) => {
                now.since(*started) > SLOW_REQUEST_TIMEOUT
            }
            ConnectionKind::Client(client) => client.pending_request.is_none() && idle > IDLE_TIMEOUT,
            ConnectionKind::Service { call, .. } => call.is_none() && idle > POOLED_TIMEOUT,
            ConnectionKind::PeerIncoming => idle > IDLE_TIMEOUT,
            // Heartbeats are sent several times a second, so output that makes no progress indicates a broken network.
            ConnectionKind::PeerOutgoing { .. } => !self.output.is_empty() && idle > PEER_STALL_TIMEOUT,
        }
    }
}
