//! Requests of this node's clients that are forwarded to the controller that leads their shard.
//!
//! An answer may arrive minutes after its request was sent: after the request has timed out, and after the process that
//! sent the request has been replaced. [`ForwardedRequests::take_answered`] alone decides which request an answer
//! belongs to.

use super::controller::Controller;
use super::events::{ClientRequestId, Requester};
use super::user_requests::LookupPurpose;
use crate::model::{JobId, JobSpec, NodeLabel, ShardId};
use crate::protocol::peers::{ForwardNumber, ForwardedRequest, PeerMessage};
use crate::protocol::{BusyReason, Reply, workers};
use crate::time::{Span, Time};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt;

/// Time within which another controller must answer a forwarded request.
const FORWARD_TIMEOUT: Span = Span::millis(1500);
/// Time within which another controller must answer a forwarded submission. Shorter than [`FORWARD_TIMEOUT`], so that
/// this node can still accept the job itself in time.
const SUBMIT_TIMEOUT: Span = Span::millis(500);

/// Forwarded requests that are not answered yet.
pub(super) struct ForwardedRequests {
    /// Number of the next request.
    next_number: ForwardNumber,
    /// Requests by the number under which they were sent to the leader.
    pending: BTreeMap<ForwardNumber, PendingForward>,
}

impl ForwardedRequests {
    /// Creates an empty collection. The numbers of its requests begin at the random `incarnation` of the process, so
    /// that no other process of this node uses them.
    pub fn new(incarnation: u64) -> ForwardedRequests {
        ForwardedRequests { next_number: ForwardNumber(incarnation), pending: BTreeMap::new() }
    }

    /// Adds a request. Returns the number under which it is to be sent.
    fn add(&mut self, request: PendingForward) -> ForwardNumber {
        let number = self.next_number;
        self.next_number = ForwardNumber(number.0.wrapping_add(1));
        self.pending.insert(number, request);
        number
    }

    /// Takes the request that an answer belongs to: the one with the answer's number that was sent to the controller
    /// that answers. Fails if there is none.
    fn take_answered(&mut self, from: &NodeLabel, number: ForwardNumber) -> Result<PendingForward, UnexpectedAnswer> {
        match self.pending.entry(number) {
            Entry::Occupied(request) if request.get().leader == *from => Ok(request.remove()),
            Entry::Occupied(_) => Err(UnexpectedAnswer::OtherSender),
            Entry::Vacant(_) => Err(UnexpectedAnswer::NoRequest),
        }
    }
}

/// Request that was forwarded to the leader of its shard.
struct PendingForward {
    client_request: ClientRequestId,
    /// Controller to which the request was sent.
    leader: NodeLabel,
    sent_at: Time,
    kind: ForwardedKind,
}

impl PendingForward {
    /// Returns the time at which the request times out.
    fn deadline(&self) -> Time {
        self.sent_at + self.kind.timeout()
    }
}

/// Kind of a forwarded request, with what is needed to answer it if the leader cannot.
enum ForwardedKind {
    /// Submission. If the leader does not answer or answers with status 503, this node tries to accept the job.
    Submission(Box<JobSpec>),
    /// Poll of a job's state. If the leader does not answer or answers with status 503, the job's record is read
    /// instead.
    Poll(JobId),
    /// Request about a job that only the leader can answer.
    LeaderOnly(JobId),
    /// Relayed worker heartbeat.
    WorkerHeartbeat,
}

impl ForwardedKind {
    fn of(request: &ForwardedRequest) -> ForwardedKind {
        match request {
            ForwardedRequest::Submit(spec) | ForwardedRequest::SubmitWaiting(spec) => {
                ForwardedKind::Submission(spec.clone())
            }
            ForwardedRequest::Poll(job) => ForwardedKind::Poll(job.clone()),
            ForwardedRequest::Cancel(job) | ForwardedRequest::Forecast(job) => ForwardedKind::LeaderOnly(job.clone()),
            ForwardedRequest::WorkerHeartbeat(_) => ForwardedKind::WorkerHeartbeat,
        }
    }

    /// Returns the job that the request is about, or `None` for a worker heartbeat.
    fn job(&self) -> Option<&JobId> {
        match self {
            ForwardedKind::Submission(spec) => Some(&spec.id),
            ForwardedKind::Poll(job) | ForwardedKind::LeaderOnly(job) => Some(job),
            ForwardedKind::WorkerHeartbeat => None,
        }
    }

    fn timeout(&self) -> Span {
        match self {
            ForwardedKind::Submission(_) => SUBMIT_TIMEOUT,
            _ => FORWARD_TIMEOUT,
        }
    }
}

/// What is unexpected about an answer of another controller to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum UnexpectedAnswer {
    /// No request with the answer's number waits for an answer: it has timed out, or was sent by another process.
    NoRequest,
    /// The request was sent to another controller than the one that answers.
    OtherSender,
    /// The answer reports the state of another job than the one that the request is about.
    OtherJob,
}

impl fmt::Display for UnexpectedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnexpectedAnswer::NoRequest => "no request waits for it",
            UnexpectedAnswer::OtherSender => "from a controller that was not asked",
            UnexpectedAnswer::OtherJob => "about another job",
        })
    }
}

impl Controller {
    /// Forwards a request of a client of this node to the leader of a shard. Refuses requests of other controllers, so
    /// that no request is forwarded twice.
    pub(super) fn forward(&mut self, requester: Requester, shard: ShardId, request: ForwardedRequest) {
        let Requester::Local(client_request) = requester else {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        };
        let Some(leader) = self.reachable_leader(shard) else {
            return self.answer_without_leader(requester, request);
        };
        let kind = ForwardedKind::of(&request);
        let pending = PendingForward { client_request, leader: leader.clone(), sent_at: self.now, kind };
        let number = self.forwarded.add(pending);
        self.send_to_peer(leader, PeerMessage::ClientRequest { number, shard, client_request: request });
    }

    /// Answers a request for a shard whose leader is unknown or cannot be reached.
    fn answer_without_leader(&mut self, requester: Requester, request: ForwardedRequest) {
        match request {
            ForwardedRequest::Submit(spec) | ForwardedRequest::SubmitWaiting(spec) => {
                self.accept_without_leader(requester, *spec);
            }
            ForwardedRequest::WorkerHeartbeat(_) => self.reply(requester, workers::redirect(None)),
            _ => self.reply(requester, Reply::busy(BusyReason::LeaderUnreachable)),
        }
    }

    /// Returns the peer that leads a shard if it is reachable.
    pub(super) fn reachable_leader(&self, shard: ShardId) -> Option<NodeLabel> {
        let leader = self.leader_of(shard)?;
        let peer = self.membership.peer(leader)?;
        peer.is_reachable(self.now).then(|| leader.clone())
    }

    /// Passes the leader's reply to a forwarded request to the client. If the leader is not able to answer a submission
    /// or a poll (status 503), this node tries to accept the job itself or reads the job's record instead.
    pub(super) fn forwarded_request_answered(&mut self, from: &NodeLabel, number: ForwardNumber, reply: Reply) {
        let forwarded = match self.forwarded.take_answered(from, number) {
            Ok(forwarded) => forwarded,
            Err(unexpected) => return self.ignore_answer(from, number, &reply, unexpected),
        };
        let PendingForward { client_request, kind, sent_at, .. } = forwarded;
        let requester = Requester::Local(client_request);
        match kind {
            ForwardedKind::Submission(spec) if reply.status == 503 => self.accept_without_leader(requester, *spec),
            ForwardedKind::Poll(job) if reply.status == 503 => self.look_up_job(requester, job, LookupPurpose::Poll),
            ForwardedKind::LeaderOnly(job) | ForwardedKind::Poll(job) if reply.status == 404 => {
                self.directory.forget_job_shard(&job);
                self.reply(requester, reply);
            }
            kind => self.pass_on_reply(requester, kind, reply, sent_at),
        }
    }

    /// Passes the leader's reply to a request that was forwarded at `sent_at` to the client. A reply about another job
    /// counts as no answer.
    fn pass_on_reply(&mut self, requester: Requester, kind: ForwardedKind, reply: Reply, sent_at: Time) {
        let checked = match kind.job() {
            Some(job) => self.checked_leader_reply(job, reply, sent_at),
            None => Some(reply),
        };
        match checked {
            Some(reply) => self.reply(requester, reply),
            None => self.answer_instead_of_leader(requester, kind),
        }
    }

    /// Logs and counts an answer that belongs to no request of this process. Nothing follows from it.
    fn ignore_answer(&mut self, from: &NodeLabel, number: ForwardNumber, reply: &Reply, unexpected: UnexpectedAnswer) {
        log::debug!(
            "ignoring the answer of controller {from} with status {} to request {}: {unexpected}",
            reply.status,
            number.0
        );
        self.statistics.record_unexpected_answer(unexpected);
    }

    /// Handles the forwarded requests that have timed out.
    pub(super) fn expire_forwarded_requests(&mut self) {
        let now = self.now;
        let expired = self.forwarded.pending.extract_if(.., |_, forwarded| forwarded.deadline() <= now);
        let expired: Vec<PendingForward> = expired.map(|(_, forwarded)| forwarded).collect();
        for PendingForward { client_request, kind, .. } in expired {
            self.answer_instead_of_leader(Requester::Local(client_request), kind);
        }
    }

    /// Answers a request to which the leader has given no usable answer: tries to accept a submitted job on this node,
    /// answers a poll from the job's record, refuses other requests of users, and redirects workers.
    fn answer_instead_of_leader(&mut self, requester: Requester, kind: ForwardedKind) {
        match kind {
            ForwardedKind::Submission(spec) => self.accept_without_leader(requester, *spec),
            ForwardedKind::Poll(job) => self.look_up_job(requester, job, LookupPurpose::Poll),
            ForwardedKind::LeaderOnly(_) => self.reply(requester, Reply::busy(BusyReason::LeaderTimedOut)),
            ForwardedKind::WorkerHeartbeat => self.reply(requester, workers::redirect(None)),
        }
    }
}
