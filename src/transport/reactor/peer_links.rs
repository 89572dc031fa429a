//! Connections between controllers. A frame consists of the length of its payload as a 4-byte big-endian integer,
//! followed by the payload.

use super::connection::{ConnectionId, ConnectionKind};
use super::{MAX_FRAME, MAX_PEER_BACKLOG_BYTES, NetEvent, PEER_REDIAL_INTERVAL, PEER_STALL_TIMEOUT, Transport};
use crate::time::Time;
use std::net::SocketAddrV4;
use thiserror::Error;

/// State of the outgoing connection to a peer.
pub(super) struct PeerLink {
    connection: Option<ConnectionId>,
    /// Time at which the connection was dialled, or at which it was closed if there is none.
    changed_at: Time,
}

/// Error for a frame that exceeds [`MAX_FRAME`].
#[derive(Debug, Error)]
#[error("the frame is too large")]
struct FrameTooLarge;

/// Payload of a frame and the bytes that follow it.
struct SplitFrame<'a> {
    frame: &'a [u8],
    rest: &'a [u8],
}

/// Splits off the frame at the start of `bytes`. Returns `None` if the frame is not complete yet.
fn split_frame(bytes: &[u8]) -> Result<Option<SplitFrame<'_>>, FrameTooLarge> {
    let Some((header, rest)) = bytes.split_first_chunk() else { return Ok(None) };
    let length = u32::from_be_bytes(*header) as usize;
    if length > MAX_FRAME {
        return Err(FrameTooLarge);
    }
    Ok(rest.split_at_checked(length).map(|(frame, rest)| SplitFrame { frame, rest }))
}

impl Transport {
    /// Sends a frame to another controller, connecting to it if necessary. Delivery is not guaranteed.
    pub fn send_frame(&mut self, target: SocketAddrV4, frame: &[u8]) {
        let Some(id) = self.peer_connection(target) else { return };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.output.len() > MAX_PEER_BACKLOG_BYTES {
            self.close(id);
            return;
        }
        connection.output.extend((frame.len() as u32).to_be_bytes());
        connection.output.extend(frame);
        self.flush(id);
    }

    /// Returns the connection to a peer. If there is none, dials the peer, unless the last attempt or the end of the
    /// last connection is less than [`PEER_REDIAL_INTERVAL`] ago.
    fn peer_connection(&mut self, target: SocketAddrV4) -> Option<ConnectionId> {
        if let Some(link) = self.peers.get(&target) {
            if link.connection.is_some() {
                return link.connection;
            }
            if self.now.since(link.changed_at) < PEER_REDIAL_INTERVAL {
                return None;
            }
        }
        let connection = self.dial(target, ConnectionKind::PeerOutgoing { target });
        self.peers.insert(target, PeerLink { connection, changed_at: self.now });
        connection
    }

    /// Removes the complete frames from the input of a peer connection and adds them to the inbox.
    pub(super) fn take_frames(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let mut rest = connection.input.as_slice();
        loop {
            match split_frame(rest) {
                Ok(Some(split)) => {
                    self.inbox.push_back(NetEvent::Frame(split.frame.to_vec()));
                    rest = split.rest;
                }
                Ok(None) => break,
                Err(FrameTooLarge) => {
                    self.close(id);
                    return;
                }
            }
        }
        let consumed = connection.input.len() - rest.len();
        connection.discard_input(consumed);
    }

    /// Records that the outgoing connection to a peer has been closed.
    pub(super) fn peer_closed(&mut self, target: SocketAddrV4) {
        self.peers.insert(target, PeerLink { connection: None, changed_at: self.now });
    }

    /// Closes the connection to another controller, which the caller has found silent, so that a later frame dials it
    /// again. A connection younger than `PEER_STALL_TIMEOUT` is kept.
    pub fn redial_peer(&mut self, target: SocketAddrV4) {
        let Some(PeerLink { connection: Some(id), changed_at }) = self.peers.get(&target) else { return };
        if self.now.since(*changed_at) > PEER_STALL_TIMEOUT {
            self.close(*id);
        }
    }
}
