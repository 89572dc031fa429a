//! Main loop of a controller: converts network events of the transport to events of the controller's state machine,
//! and executes the actions that the state machine returns.
//!
//! A lock guards the controller. It is never held during input or output.

use crate::config::Settings;
use crate::coordination::{Action, ClientRequestId, Clock, Controller, Event, OutboundCallId};
use crate::model::NodeLabel;
use crate::protocol::cloud::CloudCall;
use crate::protocol::peers::{self, Envelope, PeerMessage};
use crate::protocol::state::StateCall;
use crate::protocol::workers::WorkerCall;
use crate::protocol::{CallError, Outgoing, users};
use crate::time::{Span, Time};
use crate::transport::http::{OutgoingRequest, Request, Response};
use crate::transport::{CallId, NetEvent, RequestId, Transport};
use calloop::EventLoop;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// Interval between tick events.
const TICK_INTERVAL: Span = Span::millis(100);
/// Timeout of calls to the state service. Lease renewals depend on them, so a lost answer must be noticed soon.
const STATE_TIMEOUT: Span = Span::millis(1200);
const CLOUD_TIMEOUT: Span = Span::millis(5000);
const WORKER_TIMEOUT: Span = Span::millis(2000);
/// Timeout of probes. A leader that takes longer to answer does not serve its users either.
const PROBE_TIMEOUT: Span = Span::millis(450);
/// Time without a message from a peer after which the connection to it is closed and dialled again.
const PEER_SILENCE_TIMEOUT: Span = Span::millis(2500);
/// Interval at which the statistics of the transport are logged.
const STATISTICS_INTERVAL: Span = Span::millis(60_000);

/// Error that ends a controller.
#[derive(Debug, Error)]
pub enum RunError {
    /// Error of the event loop.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// Address in the settings at which the controller cannot listen.
    #[error("cannot listen at {setting} {addr}: {reason}")]
    Listen {
        /// Name of the setting.
        setting: &'static str,
        /// Address from the setting.
        addr: SocketAddrV4,
        /// Error returned by the operating system.
        reason: io::Error,
    },
}

/// Runs a controller until the process is terminated. Returns only if an error occurs.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let mut event_loop: EventLoop<'static, Transport> = EventLoop::try_new()?;
    let mut transport = Transport::new(event_loop.handle(), settings.max_sockets);
    listen(&mut transport, &settings)?;
    let mut service = Service::new(settings, &mut transport);
    log::info!(
        "controller {} listens for users and workers at {}",
        service.settings.label,
        service.settings.client_addr
    );
    let mut next_tick = Time::ZERO;
    loop {
        let wait = next_tick.since(transport.clock());
        event_loop.dispatch(Some(Duration::from_micros(wait.0)), &mut transport)?;
        let now = transport.clock();
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            service.tick(&mut transport);
        }
        service.handle_network_events(&mut transport);
    }
}

fn listen(transport: &mut Transport, settings: &Settings) -> Result<(), RunError> {
    let error = |setting, addr| move |reason| RunError::Listen { setting, addr, reason };
    let (peer_bind, client_addr) = (settings.peer_bind, settings.client_addr);
    transport.listen_peers(peer_bind).map_err(error("peer_bind", peer_bind))?;
    transport.listen_clients(client_addr).map_err(error("front", client_addr))
}

/// Reads the steady clock and the wall clock.
fn read_clocks(transport: &mut Transport) -> Clock {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let wall_clock_ms = since_epoch.map_or(0, |since| since.as_millis() as u64);
    Clock { steady: transport.clock(), wall_clock_ms }
}

/// Call without an answer so far, with the request where it is needed to parse the answer.
enum PendingCall {
    State(StateCall),
    Cloud(CloudCall),
    Worker,
    Probe,
}

impl PendingCall {
    /// Returns the event for the answer to this call. `response` is `None` if the call timed out or the connection
    /// broke.
    fn into_event(self, call: OutboundCallId, response: Option<Response>) -> Event {
        let received = |response: Option<Response>| response.ok_or(CallError::NoAnswer);
        match self {
            PendingCall::State(request) => {
                let answer = received(response).and_then(|response| request.answer(response.status, &response.body));
                Event::State { call, answer }
            }
            PendingCall::Cloud(request) => {
                let answer = received(response).and_then(|response| request.answer(response.status, &response.body));
                Event::Cloud { call, answer }
            }
            PendingCall::Worker => {
                let answer =
                    received(response).and_then(|response| WorkerCall::answer(response.status, &response.body));
                Event::Worker { call, answer }
            }
            // Any response shows that the other controller is alive.
            PendingCall::Probe => Event::Probe { call, alive: response.is_some() },
        }
    }
}

/// Address of a peer and time of its last message.
struct PeerContact {
    addr: SocketAddrV4,
    last_received_at: Time,
}

/// Controller, its pending calls and the contacts of its peers.
struct Service {
    settings: Settings,
    controller: Mutex<Controller>,
    pending_calls: HashMap<CallId, PendingCall>,
    peers: HashMap<NodeLabel, PeerContact>,
    statistics_logged_at: Time,
}

impl Service {
    fn new(settings: Settings, transport: &mut Transport) -> Service {
        let controller = Controller::new(settings.clone(), rand::random(), read_clocks(transport));
        let contact = |addr| PeerContact { addr, last_received_at: Time::ZERO };
        Service {
            controller: Mutex::new(controller),
            pending_calls: HashMap::new(),
            peers: settings.peers.iter().map(|(label, addr)| (label.clone(), contact(*addr))).collect(),
            settings,
            statistics_logged_at: transport.clock(),
        }
    }

    /// Expires connections and calls, passes a tick to the controller and redials silent peers.
    fn tick(&mut self, transport: &mut Transport) {
        transport.expire();
        self.handle_network_events(transport);
        self.handle_event(transport, Event::Tick);
        self.redial_silent_peers(transport);
        self.log_statistics_if_due(transport);
    }

    fn log_statistics_if_due(&mut self, transport: &mut Transport) {
        let now = transport.clock();
        if now.since(self.statistics_logged_at) >= STATISTICS_INTERVAL {
            self.statistics_logged_at = now;
            log::info!("transport in the last minute: {}", transport.take_statistics());
        }
    }

    /// Passes all received network events to the controller.
    fn handle_network_events(&mut self, transport: &mut Transport) {
        while let Some(network_event) = transport.next_event() {
            if let Some(event) = self.controller_event(network_event, transport) {
                self.handle_event(transport, event);
            }
        }
    }

    fn handle_event(&mut self, transport: &mut Transport, event: Event) {
        let clock = read_clocks(transport);
        let actions = self.controller.lock().unwrap_or_else(PoisonError::into_inner).handle(clock, event);
        for action in actions {
            self.execute(transport, action);
        }
    }

    /// Converts a network event to an event of the controller. Returns `None` for an answer to an unknown call and for
    /// a frame that is malformed or has a message unknown to this version.
    fn controller_event(&mut self, network_event: NetEvent, transport: &mut Transport) -> Option<Event> {
        match network_event {
            NetEvent::Request { id, request } => Some(client_request_event(id, &request)),
            NetEvent::Answer { call, response } => {
                let pending = self.pending_calls.remove(&call)?;
                Some(pending.into_event(OutboundCallId(call.0), response))
            }
            NetEvent::Frame(bytes) => self.peer_event(&bytes, transport.clock()),
        }
    }

    fn peer_event(&mut self, frame: &[u8], now: Time) -> Option<Event> {
        let Some(envelope) = peers::decode(frame) else {
            log::debug!("discarded a frame of {} bytes without a peer message known to this version", frame.len());
            return None;
        };
        if let Some(peer) = self.peers.get_mut(&envelope.from) {
            peer.last_received_at = now;
        }
        Some(Event::Peer(envelope))
    }

    /// Executes an action of the controller.
    fn execute(&mut self, transport: &mut Transport, action: Action) {
        match action {
            Action::Reply { id, reply } => {
                transport.reply(RequestId(id.0), reply.status, reply.retry_after, reply.body.as_bytes());
            }
            Action::State { call, request } => {
                let (addr, outgoing) = (self.settings.state_addr, request.request());
                self.start_call(call, PendingCall::State(request));
                send_request(transport, call, addr, &outgoing, STATE_TIMEOUT);
            }
            Action::Cloud { call, request } => {
                let (addr, outgoing) = (self.settings.cloud_addr, request.request());
                self.start_call(call, PendingCall::Cloud(request));
                send_request(transport, call, addr, &outgoing, CLOUD_TIMEOUT);
            }
            Action::Worker { call, addr, request } => {
                self.start_call(call, PendingCall::Worker);
                send_request(transport, call, addr, &request.request(), WORKER_TIMEOUT);
            }
            Action::Probe { call, addr } => {
                let outgoing = Outgoing::get(users::HEALTH_PATH.to_string());
                self.start_call(call, PendingCall::Probe);
                send_request(transport, call, addr, &outgoing, PROBE_TIMEOUT);
            }
            Action::SendToPeer { to, message } => self.send_to_peer(transport, &to, message),
        }
    }

    fn start_call(&mut self, call: OutboundCallId, pending: PendingCall) {
        self.pending_calls.insert(CallId(call.0), pending);
    }

    fn send_to_peer(&mut self, transport: &mut Transport, to: &NodeLabel, message: PeerMessage) {
        let Some(peer) = self.peers.get(to) else { return };
        let envelope = Envelope { from: self.settings.label.clone(), message };
        transport.send_frame(peer.addr, &peers::encode(&envelope));
    }

    /// Closes the connections to peers from which no message has arrived for [`PEER_SILENCE_TIMEOUT`], since they may
    /// be broken. The next message to such a peer dials it again.
    fn redial_silent_peers(&mut self, transport: &mut Transport) {
        let now = transport.clock();
        for peer in self.peers.values() {
            if now.since(peer.last_received_at) > PEER_SILENCE_TIMEOUT {
                transport.redial_peer(peer.addr);
            }
        }
    }
}

fn client_request_event(id: RequestId, request: &Request) -> Event {
    let client_request = users::parse(&request.method, &request.path, &request.body);
    Event::ClientRequest { id: ClientRequestId(id.0), client_request }
}

fn send_request(
    transport: &mut Transport,
    call: OutboundCallId,
    addr: SocketAddrV4,
    outgoing: &Outgoing,
    timeout: Span,
) {
    let request = OutgoingRequest { method: outgoing.method, path: &outgoing.path, body: outgoing.body.as_deref() };
    transport.call(CallId(call.0), addr, &request, timeout);
}
