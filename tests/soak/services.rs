//! HTTP servers for the controllers' calls to the state service, the cloud and the workers.
//!
//! Each connection has a thread that reads one request at a time, passes the request on and waits for the response.

use crowstall::transport::http::{self, Parsed, Request};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a connection without a response is closed. Controllers wait for less time and then close the
/// connection themselves.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Service whose calls a server accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// State service, for the calls of one controller.
    State { node: usize },
    /// Cloud, for the calls of one controller.
    Cloud { node: usize },
    /// All workers, which share a port and have different IP addresses.
    Workers,
}

/// Call that has arrived at a server.
pub struct IncomingCall {
    /// Called service.
    pub service: Service,
    /// Address at which the call has arrived, which identifies a worker.
    pub addr: SocketAddrV4,
    /// Request of the controller.
    pub request: Request,
    /// Channel for the response. The connection is closed if the channel is dropped without a response.
    pub response: Sender<Vec<u8>>,
}

/// Listens at an address until the process ends, and passes on the calls that arrive. Returns the address with the
/// actual port.
pub fn serve(service: Service, addr: &str, calls: Sender<IncomingCall>) -> SocketAddrV4 {
    let listener = TcpListener::bind(addr).expect("loopback addresses are free");
    let local = expect_ipv4(listener.local_addr().expect("a listener has an address"));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let calls = calls.clone();
            match stream {
                Ok(stream) => _ = std::thread::spawn(move || serve_connection(service, stream, &calls)),
                Err(error) => eprintln!("the soak test cannot accept a connection to {service:?}: {error}"),
            }
        }
    });
    local
}

fn expect_ipv4(addr: std::net::SocketAddr) -> SocketAddrV4 {
    match addr {
        std::net::SocketAddr::V4(addr) => addr,
        std::net::SocketAddr::V6(addr) => panic!("{addr} is not IPv4"),
    }
}

fn serve_connection(service: Service, mut stream: TcpStream, calls: &Sender<IncomingCall>) {
    let Ok(addr) = stream.local_addr().map(expect_ipv4) else { return };
    if stream.set_read_timeout(Some(IDLE_TIMEOUT)).is_err() || stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut input, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match http::parse_request(&input) {
            Ok(Parsed::Complete(request, length)) => {
                input.drain(..length);
                let (response, answered): (Sender<Vec<u8>>, Receiver<Vec<u8>>) = channel();
                if calls.send(IncomingCall { service, addr, request, response }).is_err() {
                    return;
                }
                let Ok(bytes) = answered.recv_timeout(RESPONSE_TIMEOUT) else { return };
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            Ok(Parsed::Partial) => match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => input.extend_from_slice(&chunk[..count]),
            },
            Err(_) => return,
        }
    }
}
