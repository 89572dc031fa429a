//! Listening sockets.

use super::connection::ConnectionKind;
use super::{LISTEN_BACKLOG, MAX_ACCEPTED_PER_ITERATION, Transport};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};

/// Kind of the connections that a listening socket accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerKind {
    /// Connections from users and workers.
    Clients,
    /// Connections from other controllers.
    Peers,
}

impl Transport {
    /// Listens for users and workers.
    pub fn listen_clients(&mut self, addr: SocketAddrV4) -> io::Result<()> {
        self.listen(addr, ListenerKind::Clients)
    }

    /// Listens for other controllers.
    pub fn listen_peers(&mut self, addr: SocketAddrV4) -> io::Result<()> {
        self.listen(addr, ListenerKind::Peers)
    }

    fn listen(&mut self, addr: SocketAddrV4, kind: ListenerKind) -> io::Result<()> {
        let source = Generic::new(bind(addr)?, Interest::READ, Mode::Level);
        self.handle
            .insert_source(source, move |_, listener, transport: &mut Transport| {
                transport.clock();
                transport.accept_waiting(listener, kind);
                Ok(PostAction::Continue)
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(())
    }

    /// Accepts waiting connections, at most [`MAX_ACCEPTED_PER_ITERATION`].
    fn accept_waiting(&mut self, listener: &TcpListener, kind: ListenerKind) {
        for _ in 0..MAX_ACCEPTED_PER_ITERATION {
            match listener.accept() {
                Ok((stream, _)) => self.add_accepted(stream, kind),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
    }

    fn add_accepted(&mut self, stream: TcpStream, kind: ListenerKind) {
        match kind {
            ListenerKind::Clients => self.add_client(stream),
            ListenerKind::Peers => {
                self.register(stream, ConnectionKind::PeerIncoming);
            }
        }
    }
}

/// Returns a non-blocking socket that listens at `addr`.
fn bind(addr: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    let _ = socket.set_reuse_address(true);
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(addr).into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
