//! Requests of this node's clients that are forwarded to the controller that leads their shard.

use super::controller::Controller;
use super::events::{ClientRequestId, Requester};
use super::user_requests::LookupPurpose;
use crate::model::{JobId, JobSpec, NodeLabel, ShardId};
use crate::protocol::peers::{ForwardedRequest, PeerMessage};
use crate::protocol::{BusyReason, Reply, workers};
use crate::time::{Span, Time};
use std::collections::BTreeMap;
use std::fmt;

/// Time within which another controller must answer a forwarded request.
const FORWARD_TIMEOUT: Span = Span::millis(1500);
/// Time within which another controller must answer a forwarded submission. Shorter than [`FORWARD_TIMEOUT`], so that
/// this node can still accept the job itself in time.
const SUBMIT_TIMEOUT: Span = Span::millis(500);

/// Forwarded requests that are not answered yet.
#[derive(Default)]
pub(super) struct ForwardedRequests {
    /// Requests by the number under which they were sent to the leader.
    pending: BTreeMap<u64, PendingForward>,
}

/// Request that was forwarded to the leader of its shard.
struct PendingForward {
    client_request: ClientRequestId,
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
    /// The answer reports the state of another job than the one that the request is about.
    OtherJob,
}

impl fmt::Display for UnexpectedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnexpectedAnswer::NoRequest => "no request waits for it",
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
        let number = self.calls.next_call_id().0;
        let kind = ForwardedKind::of(&request);
        let pending = PendingForward { client_request, sent_at: self.now, kind };
        self.forwarded.pending.insert(number, pending);
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
    pub(super) fn forwarded_request_answered(&mut self, number: u64, reply: Reply) {
        let Some(forwarded) = self.forwarded.pending.remove(&number) else {
            log::debug!("answer with status {} to request {number}: no request waits for it", reply.status);
            return self.statistics.record_unexpected_answer(UnexpectedAnswer::NoRequest);
        };
        let requester = Requester::Local(forwarded.client_request);
        match forwarded.kind {
            ForwardedKind::Submission(spec) if reply.status == 503 => self.accept_without_leader(requester, *spec),
            ForwardedKind::Poll(job) if reply.status == 503 => self.look_up_job(requester, job, LookupPurpose::Poll),
            ForwardedKind::LeaderOnly(job) | ForwardedKind::Poll(job) if reply.status == 404 => {
                self.directory.forget_job_shard(&job);
                self.reply(requester, reply);
            }
            ForwardedKind::LeaderOnly(job) | ForwardedKind::Poll(job) => {
                let reply = self.checked_leader_reply(&job, reply, forwarded.sent_at);
                self.reply(requester, reply);
            }
            ForwardedKind::Submission(spec) => {
                let reply = self.checked_leader_reply(&spec.id, reply, forwarded.sent_at);
                self.reply(requester, reply);
            }
            ForwardedKind::WorkerHeartbeat => self.reply(requester, reply),
        }
    }

    /// Handles the forwarded requests that have timed out: tries to accept the submitted jobs on this node, answers
    /// polls from the jobs' records, refuses other requests of users, and redirects workers.
    pub(super) fn expire_forwarded_requests(&mut self) {
        let now = self.now;
        let expired = self.forwarded.pending.extract_if(.., |_, forwarded| forwarded.deadline() <= now);
        let expired: Vec<PendingForward> = expired.map(|(_, forwarded)| forwarded).collect();
        for PendingForward { client_request, kind, .. } in expired {
            let requester = Requester::Local(client_request);
            match kind {
                ForwardedKind::Submission(spec) => self.accept_without_leader(requester, *spec),
                ForwardedKind::Poll(job) => self.look_up_job(requester, job, LookupPurpose::Poll),
                ForwardedKind::LeaderOnly(_) => self.reply(requester, Reply::busy(BusyReason::LeaderTimedOut)),
                ForwardedKind::WorkerHeartbeat => self.reply(requester, workers::redirect(None)),
            }
        }
    }
}
