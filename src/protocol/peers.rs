//! Messages between controllers, serialized as CBOR, one message in each frame.
//!
//! The serialized names never change, so that controllers of different versions understand each other during an
//! upgrade. A controller drops messages that its version does not know.

use super::Reply;
use super::workers::WorkerHeartbeat;
use crate::model::{JobId, JobSpec, MachineId, Name, NodeLabel, Revision, ShardId};
use crate::time::Span;
use serde::{Deserialize, Serialize};

/// Version of the messages that this program understands. Sent in every [`PeerMessage::Heartbeat`].
pub const MESSAGE_VERSION: u32 = 1;

/// First [`MESSAGE_VERSION`] that understands [`ForwardedRequest::SubmitWaiting`].
pub const WAITING_JOBS_VERSION: u32 = 1;

/// Maximum nesting depth of the values in a received message.
const MAX_NESTING: usize = 16;

/// Number of a forwarded request, which its answer repeats. Unique among all processes that have ever run under the
/// sender's node label, since an answer may arrive after the process that sent the request has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ForwardNumber(pub u64);

/// Content of a frame on a connection between controllers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Label of the sender.
    pub from: NodeLabel,
    /// Message of the sender.
    pub message: PeerMessage,
}

/// A message to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic message with the sender's status.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// `true` if the sender holds a valid node lease.
        #[serde(rename = "entitled")]
        holds_lease: bool,
        /// `true` if the sender has finished its start and can lead a shard.
        ready: bool,
        /// Shards that the sender leads, each with its leadership term.
        #[serde(rename = "held")]
        led: Vec<(ShardId, Revision)>,
        /// Machines that were rented for the sender's shards and have no record yet; one page, see
        /// [`peer_heartbeat_pages`](super::peer_heartbeat_pages).
        rented: Vec<(MachineId, ShardId)>,
        /// Idle machines of the sender's shards that are offered to other shards; one page.
        spare: Vec<MachineOffer>,
        /// Incarnation of the sender; 0 from a version that does not send it.
        #[serde(rename = "life", default)]
        incarnation: u64,
        /// Newest leadership term that the sender knows of each shard.
        #[serde(rename = "known", default)]
        known_terms: Vec<(ShardId, Revision)>,
        /// Time for which the state service has not answered the sender.
        #[serde(rename = "state_quiet", default)]
        state_silence: Span,
        /// Time since the sender last received a heartbeat from each of the other controllers.
        #[serde(rename = "hears", default)]
        heartbeat_ages: Vec<(NodeLabel, Span)>,
        /// [`MESSAGE_VERSION`] of the sender; 0 from a version that does not send it.
        #[serde(rename = "speaks", default)]
        message_version: u32,
    },
    /// A request of a user or a worker, forwarded to the leader of the shard that it concerns.
    #[serde(rename = "Ask")]
    ClientRequest {
        /// Number that identifies the request in the [`PeerMessage::Answer`].
        number: ForwardNumber,
        /// Shard that the request concerns.
        shard: ShardId,
        /// Forwarded request.
        #[serde(rename = "ask")]
        client_request: ForwardedRequest,
    },
    /// Reply to a forwarded request.
    Answer {
        /// Number of the request.
        number: ForwardNumber,
        /// Reply for the user or worker.
        reply: Reply,
    },
    /// The sender has released a shard for the receiver, which may acquire it at once.
    Released {
        /// Shard that was released.
        shard: ShardId,
    },
    /// The sender requests a machine that the receiver has offered.
    #[serde(rename = "Take")]
    RequestMachine {
        /// Id of the machine.
        machine: MachineId,
        /// Shard of the sender for which the machine is requested.
        shard: ShardId,
    },
    /// A machine was transferred to a shard of the receiver.
    #[serde(rename = "Moved")]
    MachineTransferred {
        /// Id of the machine.
        machine: MachineId,
        /// Shard to which the machine belongs now.
        shard: ShardId,
    },
}

/// An idle machine that is offered to other shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineOffer {
    /// Id of the machine.
    pub machine: MachineId,
    /// Name of the machine type.
    pub kind: Name,
    /// Zone of the machine.
    pub zone: Name,
    /// `true` for a spot machine.
    pub spot: bool,
}

/// A request of a user or a worker that is forwarded to the leader of the shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardedRequest {
    /// Accepts a job without prerequisites.
    Submit(Box<JobSpec>),
    /// Returns the state of a job.
    Poll(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Returns the time by which a job is expected to be done.
    Forecast(JobId),
    /// Relays a heartbeat of a worker that does not reach the leader of the shard.
    #[serde(rename = "Report")]
    WorkerHeartbeat(Box<WorkerHeartbeat>),
    /// Accepts a job with prerequisites. A version without support for prerequisites drops the unknown variant. In
    /// [`ForwardedRequest::Submit`] it would ignore the field and start the job at once.
    SubmitWaiting(Box<JobSpec>),
}

/// Serializes `envelope` as the content of a frame.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Neither writing to a vector nor the serialization of these types can fail.
    if ciborium::into_writer(envelope, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// Parses the content of a frame. Returns `None` if it is malformed or has a message that this version does not know.
pub fn decode(bytes: &[u8]) -> Option<Envelope> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_NESTING).ok()
}
