//! Inputs and outputs of the coordination layer: the events that [`Controller::handle`](super::Controller::handle)
//! takes and the actions that it returns for the caller to carry out.

use crate::model::NodeLabel;
use crate::protocol::cloud::{CloudAnswer, CloudCall};
use crate::protocol::peers::{Envelope, ForwardNumber, PeerMessage};
use crate::protocol::state::StateCall;
use crate::protocol::state::StateResult;
use crate::protocol::users::ClientRequest;
use crate::protocol::workers::{WorkerAnswer, WorkerCall};
use crate::protocol::{CallError, Reply};
use crate::time::Time;
use std::net::SocketAddrV4;

/// Identifier of a request of a user, a worker or an operator that waits for its reply. Assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRequestId(pub u64);

/// Identifier of an outbound call: to the state service, the cloud, a worker, or another controller's probe address.
/// Assigned by the controller and unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OutboundCallId(pub u64);

/// Reading of both clocks of the process at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time of the monotonic clock. All timeouts and leases are measured by it.
    pub steady: Time,
    /// Milliseconds since the Unix epoch. May jump; used for times that are stored in records or shown to
    /// users.
    pub wall_clock_ms: u64,
}

/// Input of the controller.
#[derive(Debug)]
pub enum Event {
    /// Request of a user, a worker or an operator.
    ClientRequest {
        /// Identifier to repeat in [`Action::Reply`].
        id: ClientRequestId,
        /// Parsed request.
        client_request: ClientRequest,
    },
    /// Outcome of an [`Action::State`].
    State {
        /// Identifier of the call.
        call: OutboundCallId,
        /// Answer, or the reason why the call failed.
        answer: StateResult,
    },
    /// Outcome of an [`Action::Cloud`].
    Cloud {
        /// Identifier of the call.
        call: OutboundCallId,
        /// Answer, or the reason why the call failed.
        answer: Result<CloudAnswer, CallError>,
    },
    /// Outcome of an [`Action::Worker`].
    Worker {
        /// Identifier of the call.
        call: OutboundCallId,
        /// Answer, or the reason why the call failed.
        answer: Result<WorkerAnswer, CallError>,
    },
    /// Outcome of an [`Action::Probe`].
    Probe {
        /// Identifier of the call.
        call: OutboundCallId,
        /// `true` if the probed controller answered, `false` if the probe failed or timed out.
        alive: bool,
    },
    /// Message of another controller.
    Peer(Envelope),
    /// Periodic event, sent about ten times per second. Drives all timeouts and periodic work.
    Tick,
}

/// Output of the controller, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Replies to an [`Event::ClientRequest`].
    Reply {
        /// Identifier of the request.
        id: ClientRequestId,
        /// Reply to send.
        reply: Reply,
    },
    /// Calls the state service. Its outcome comes back as [`Event::State`].
    State {
        /// Identifier of the call.
        call: OutboundCallId,
        /// Request to send.
        request: StateCall,
    },
    /// Calls the cloud. Its outcome comes back as [`Event::Cloud`].
    Cloud {
        /// Identifier of the call.
        call: OutboundCallId,
        /// Request to send.
        request: CloudCall,
    },
    /// Calls a worker directly, instead of waiting for its next heartbeat. Its outcome comes back as
    /// [`Event::Worker`].
    Worker {
        /// Identifier of the call.
        call: OutboundCallId,
        /// Address at which the worker receives direct calls.
        addr: SocketAddrV4,
        /// Commands, with the fencing token and the agent epoch that the worker checks.
        request: WorkerCall,
    },
    /// Probes another controller: checks that it answers at its address for users and workers. The outcome comes back
    /// as [`Event::Probe`].
    Probe {
        /// Identifier of the call.
        call: OutboundCallId,
        /// Address for users and workers of the probed controller.
        addr: SocketAddrV4,
    },
    /// Sends a message to another controller. The message may be lost.
    SendToPeer {
        /// Label of the receiving controller.
        to: NodeLabel,
        /// Message to send.
        message: PeerMessage,
    },
}

/// Origin of a request, to which the reply is sent.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Requester {
    /// Client that is connected to this node.
    Local(ClientRequestId),
    /// Controller that forwarded the request of one of its clients under the given number.
    Peer { node: NodeLabel, number: ForwardNumber },
}
