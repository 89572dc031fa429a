//! Replies with the states of jobs. After a final state, no other state of the job is reported.

use super::controller::Controller;
use super::directory::ReportedEnd;
use super::events::Requester;
use super::forwarding::UnexpectedAnswer;
use super::user_requests::{final_view, live_state};
use super::waiting_jobs::WaitingStatus;
use crate::model::JobId;
use crate::protocol::users::JobView;
use crate::protocol::{BusyReason, Reply};
use crate::time::Time;

impl Controller {
    /// Replies with the state of a job that was derived from the memory of its leader, or from records whose reads were
    /// sent at `derived_at` or later.
    pub(super) fn reply_with_state(&mut self, requester: Requester, status: u16, view: &JobView, derived_at: Time) {
        let reply = self.reply_unless_contradicted(view, Reply::json(status, view), derived_at);
        self.reply(requester, reply);
    }

    /// Returns the reply to pass on to a client after the leader of a job's shard has answered a request that was
    /// forwarded at `sent_at`. Returns `None` if the reply reports the state of another job: the error is logged and
    /// counted.
    pub(super) fn checked_leader_reply(&mut self, job: &JobId, reply: Reply, sent_at: Time) -> Option<Reply> {
        if !matches!(reply.status, 200 | 201) {
            return Some(reply);
        }
        let Ok(view) = serde_json::from_str::<JobView>(&reply.body) else { return Some(reply) };
        if view.id == *job {
            return Some(self.reply_unless_contradicted(&view, reply, sent_at));
        }
        log::error!(
            "invariant violated: job {job}: the leader's answer to a request about it reports the state of job {}; \
             ignoring the answer",
            view.id
        );
        self.calls.record_invariant_violation();
        self.statistics.record_unexpected_answer(UnexpectedAnswer::OtherJob);
        None
    }

    /// Returns `reply`, which reports `view`, unless this node has reported another state as final. If it did so after
    /// `derived_at`, the state is merely older, and the final state takes its place. Otherwise one of the two is wrong:
    /// the error is logged and counted, and the client has to retry.
    fn reply_unless_contradicted(&mut self, view: &JobView, reply: Reply, derived_at: Time) -> Reply {
        let Some(ReportedEnd { view: reported, at }) = self.directory.reported_end_of(&view.id) else {
            if view.state.is_final() {
                self.directory.record_reported_end(view.clone(), self.now);
            }
            return reply;
        };
        if reported.state == view.state {
            return reply;
        }
        if *at >= derived_at {
            return Reply::json(200, reported);
        }
        log::error!(
            "invariant violated: job {} was about to be reported as {:?} after it was reported as {:?}; asking the \
             client to retry",
            view.id,
            view.state,
            reported.state
        );
        self.calls.record_invariant_violation();
        Reply::busy(BusyReason::FinalStateContradicted)
    }

    /// Returns the reply for a job whose final record is in memory, or `None` for any other job.
    pub(super) fn known_final_reply(&mut self, job: &JobId) -> Option<Reply> {
        let view = self.directory.end_of(job).map(|end| final_view(job, end))?;
        if self.reports_as_live(job) {
            log::error!(
                "invariant violated: job {job} is live in the memory of its leader although its final record with the \
                 state {:?} is known; reporting the final state",
                view.state
            );
            self.calls.record_invariant_violation();
        }
        Some(self.reply_unless_contradicted(&view, Reply::json(200, &view), self.now))
    }

    /// Returns `true` if this node leads the shard of a job and would report the job as live from memory.
    fn reports_as_live(&self, id: &JobId) -> bool {
        let shard = self.active_shard_with(id).filter(|shard| self.may_serve_reads(*shard));
        let Some(shard) = shard.and_then(|shard| self.shards.get(&shard)) else { return false };
        match shard.jobs.get(id) {
            Some(job) => live_state(job).is_some(),
            None => matches!(shard.waiting_status(id), WaitingStatus::Waiting),
        }
    }
}
