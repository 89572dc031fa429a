//! TCP proxies for the directed links between controllers. A proxy can hold back data until its link is restored.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval at which a blocked link is checked.
const BLOCKED_POLL: Duration = Duration::from_millis(10);

/// Directed link between two controllers: the first one connects to a proxy instead of to the second one.
pub struct Link {
    /// Address at which the proxy listens.
    pub addr: SocketAddrV4,
    /// `true` while data is held back.
    blocked: Arc<AtomicBool>,
}

impl Link {
    /// Starts a proxy for connections to `target`.
    pub fn to(target: SocketAddrV4) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback addresses are free");
        let Ok(SocketAddr::V4(addr)) = listener.local_addr() else { panic!("the listener has no address") };
        let blocked = Arc::new(AtomicBool::new(false));
        let is_blocked = blocked.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let is_blocked = is_blocked.clone();
                std::thread::spawn(move || forward_connection(&stream, target, &is_blocked));
            }
        });
        Link { addr, blocked }
    }

    /// Starts or stops to hold back the data sent over the link.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Relaxed);
    }
}

/// Forwards a connection in both directions. Frames are sent only by the client; the opposite direction is needed to
/// pass on that the server closed the connection.
fn forward_connection(client: &TcpStream, target: SocketAddrV4, blocked: &Arc<AtomicBool>) {
    wait_until_open(blocked);
    let Ok(server) = TcpStream::connect(target) else { return };
    let (Ok(back_from), Ok(back_to)) = (server.try_clone(), client.try_clone()) else { return };
    let back_blocked = blocked.clone();
    std::thread::spawn(move || copy(&back_from, &back_to, &back_blocked));
    copy(client, &server, blocked);
}

/// Copies data in one direction, pausing while the link is blocked, and shuts down both connections at the end.
fn copy(mut from: &TcpStream, mut to: &TcpStream, blocked: &AtomicBool) {
    let mut chunk = vec![0; 64 * 1024];
    while let Ok(count) = from.read(&mut chunk) {
        wait_until_open(blocked);
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn wait_until_open(blocked: &AtomicBool) {
    while blocked.load(Ordering::Relaxed) {
        std::thread::sleep(BLOCKED_POLL);
    }
}
