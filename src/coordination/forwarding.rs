//! Requests of this node's clients that are forwarded to another controller, since that leads the shard.

use super::controller::Controller;
use super::events::{ClientRequestId, Requester};
use super::user_requests::LookupPurpose;
use crate::model::{JobId, JobSpec, NodeLabel, ShardId};
use crate::protocol::peers::{ForwardedRequest, PeerMessage};
use crate::protocol::{BusyReason, Reply, workers};
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// How long another controller may take to answer a forwarded request.
const FORWARD_TIMEOUT: Span = Span::millis(1500);
/// The same for a submission. It is shorter, since this node can then still accept the job in time.
const SUBMIT_TIMEOUT: Span = Span::millis(500);

/// The forwarded requests that are not answered yet.
#[derive(Default)]
pub(super) struct ForwardedRequests {
    /// By the numbers under which they were sent.
    waiting: BTreeMap<u64, Forwarded>,
}

/// A request that was forwarded to the leader of its shard.
struct Forwarded {
    client_request: ClientRequestId,
    deadline: Time,
    kind: ForwardedKind,
}

/// What was forwarded, as far as it matters when it is answered or times out.
enum ForwardedKind {
    /// If the leader cannot accept the job, this node may be able to.
    Submission(Box<JobSpec>),
    /// If the leader does not answer, the job's record can be read instead.
    Poll(JobId),
    /// Only the leader can answer.
    LeaderOnly(JobId),
    /// A worker heartbeat.
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

impl Controller {
    /// Forwards a request of a client of this node to the leader of a shard.
    pub(super) fn forward(&mut self, requester: Requester, shard: ShardId, request: ForwardedRequest) {
        let Requester::Local(client_request) = requester else {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        };
        let Some(leader) = self.reachable_leader(shard) else {
            return self.answer_without_leader(requester, request);
        };
        let number = self.calls.next_call_id().0;
        let kind = ForwardedKind::of(&request);
        let deadline = self.now + kind.timeout();
        self.forwarded.waiting.insert(number, Forwarded { client_request, deadline, kind });
        self.send_to_peer(leader, PeerMessage::ClientRequest { number, shard, client_request: request });
    }

    /// Answers a request for a shard whose leader cannot be reached.
    fn answer_without_leader(&mut self, requester: Requester, request: ForwardedRequest) {
        match request {
            ForwardedRequest::Submit(spec) | ForwardedRequest::SubmitWaiting(spec) => {
                self.submit_remotely(requester, *spec);
            }
            ForwardedRequest::WorkerHeartbeat(_) => self.reply(requester, workers::redirect(None)),
            _ => self.reply(requester, Reply::busy(BusyReason::LeaderUnreachable)),
        }
    }

    /// The peer that leads a shard, if it is reachable.
    pub(super) fn reachable_leader(&self, shard: ShardId) -> Option<NodeLabel> {
        let leader = self.leader_of(shard)?;
        let peer = self.membership.peer(leader)?;
        peer.is_reachable(self.now).then(|| leader.clone())
    }

    /// Passes the answer to a forwarded request to the client, or finds another answer if the leader has none.
    pub(super) fn forwarded_request_answered(&mut self, number: u64, reply: Reply) {
        let Some(forwarded) = self.forwarded.waiting.remove(&number) else { return };
        let requester = Requester::Local(forwarded.client_request);
        match forwarded.kind {
            ForwardedKind::Submission(spec) if reply.status == 503 => self.submit_remotely(requester, *spec),
            ForwardedKind::Poll(job) if reply.status == 503 => self.look_up_job(requester, job, LookupPurpose::Poll),
            ForwardedKind::LeaderOnly(job) | ForwardedKind::Poll(job) if reply.status == 404 => {
                self.directory.forget_job_shard(&job);
                self.reply(requester, reply);
            }
            _ => self.reply(requester, reply),
        }
    }

    /// Answers the forwarded requests that have timed out.
    pub(super) fn expire_forwarded_requests(&mut self) {
        let now = self.now;
        let expired = self.forwarded.waiting.extract_if(.., |_, forwarded| forwarded.deadline <= now);
        let expired: Vec<Forwarded> = expired.map(|(_, forwarded)| forwarded).collect();
        for Forwarded { client_request, kind, .. } in expired {
            let requester = Requester::Local(client_request);
            match kind {
                ForwardedKind::Submission(spec) => self.submit_remotely(requester, *spec),
                ForwardedKind::Poll(job) => self.look_up_job(requester, job, LookupPurpose::Poll),
                ForwardedKind::LeaderOnly(_) => self.reply(requester, Reply::busy(BusyReason::LeaderTimedOut)),
                ForwardedKind::WorkerHeartbeat => self.reply(requester, workers::redirect(None)),
            }
        }
    }
}
