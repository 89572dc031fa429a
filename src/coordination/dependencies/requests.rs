//! Polls and cancellations of waiting jobs.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::user_requests::{LookupPurpose, final_reply};
use super::super::waiting_jobs::WaitingStatus;
use super::final_record::cancelled_before_start;
use crate::model::{JobId, ShardId};
use crate::protocol::users::JobView;
use crate::protocol::{BusyReason, Reply};

impl Controller {
    /// Answers a poll of a waiting job of a shard led by this node.
    pub(in crate::coordination) fn poll_waiting_job(&mut self, requester: Requester, shard_id: ShardId, id: JobId) {
        let Some(shard) = self.shards.get(&shard_id) else {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        };
        let reply = match shard.waiting_jobs.status(&id) {
            WaitingStatus::Loading => Reply::busy(BusyReason::LoadingPrerequisites),
            WaitingStatus::Withdrawn(cause) => final_reply(&id, &cancelled_before_start(Some(cause))),
            WaitingStatus::WriteInProgress => Reply::busy(BusyReason::FinalWritePending),
            WaitingStatus::PrerequisiteInDoubt => Reply::busy(BusyReason::PrerequisiteWritePending),
            WaitingStatus::PrerequisitesUnknown => {
                return self.look_up_job(requester, id, LookupPurpose::DependencyTraversal);
            }
            WaitingStatus::Waiting => {
                Reply::json(200, &JobView::waiting(&id, shard.waiting_jobs.open_prerequisites(&id)))
            }
        };
        self.reply(requester, reply);
    }

    /// Cancels a waiting job. The reply is sent once the final record is durable.
    pub(in crate::coordination) fn cancel_waiting_job(&mut self, requester: Requester, shard_id: ShardId, id: JobId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        if let Some(cause) = shard.waiting_jobs.withdrawn_with(&id) {
            return self.reply(requester, final_reply(&id, &cancelled_before_start(Some(cause))));
        }
        let may_record = shard.may_record_cancellations(now);
        let Some(job) = shard.waiting_jobs.waiting_job_mut(&id) else {
            return self.reply(requester, Reply::busy(BusyReason::LoadingPrerequisites));
        };
        job.request_cancellation();
        if !may_record {
            return self.reply(requester, Reply::busy(BusyReason::LeadershipOverlap));
        }
        job.add_cancel_requester(requester);
        shard.waiting_jobs.mark_record_due(id.clone());
        self.perform_record_step(shard_id, &id);
    }
}
