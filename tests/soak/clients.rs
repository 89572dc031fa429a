//! HTTP clients for the requests of users and workers to the controllers.

use calloop::EventLoop;
use crowstall::protocol::Reply;
use crowstall::time::Span;
use crowstall::transport::http::{OutgoingRequest, Response};
use crowstall::transport::{CallId, NetEvent, Transport};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of transports that share the requests, to limit head-of-line blocking by a request without a reply.
const TRANSPORTS: usize = 16;
/// Maximum number of sockets of each transport.
const SOCKETS_PER_TRANSPORT: usize = 256;
/// Time after which a request without a reply is dropped.
const REQUEST_TIMEOUT: Span = Span::millis(5000);

/// Clients for the requests to all controllers.
pub struct Clients {
    transports: Vec<(EventLoop<'static, Transport>, Transport)>,
}

impl Clients {
    /// Returns clients without connections.
    pub fn new() -> Clients {
        let transport = |_| {
            let event_loop: EventLoop<'static, Transport> = EventLoop::try_new().expect("an event loop can be made");
            let transport = Transport::new(event_loop.handle(), SOCKETS_PER_TRANSPORT);
            (event_loop, transport)
        };
        Clients { transports: (0..TRANSPORTS).map(transport).collect() }
    }

    /// Sends a request. `number` identifies the request and must be unique.
    pub fn send(&mut self, number: u64, to: SocketAddrV4, request: &OutgoingRequest<'_>) {
        let (_, transport) = &mut self.transports[number as usize % TRANSPORTS];
        transport.clock();
        transport.call(CallId(number), to, request, REQUEST_TIMEOUT);
    }

    /// Returns the replies that have arrived, by the numbers of their requests.
    pub fn receive(&mut self) -> Vec<(u64, Reply)> {
        let mut replies = Vec::new();
        for (event_loop, transport) in &mut self.transports {
            event_loop.dispatch(Some(Duration::ZERO), transport).expect("the event loop runs");
            transport.clock();
            transport.expire();
            while let Some(event) = transport.next_event() {
                if let NetEvent::Answer { call, response: Some(response) } = event {
                    replies.push((call.0, reply(response)));
                }
            }
        }
        replies
    }
}

fn reply(response: Response) -> Reply {
    let body = String::from_utf8(response.body).unwrap_or_default();
    Reply { status: response.status, body, retry_after: None, busy_reason: None }
}
