//! Polls and cancellations of waiting jobs.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::user_requests::LookupPurpose;
use super::super::waiting_jobs::WaitingStatus;
use super::replies::{StateSource, withdrawn_view};
use crate::model::{JobId, ShardId};
use crate::protocol::users::JobView;
use crate::protocol::{BusyReason, Reply};

impl Controller {
    /// Answers a poll of a waiting job of a shard led by this node.
    pub(in crate::coordination) fn poll_waiting_job(&mut self, requester: Requester, shard_id: ShardId, id: JobId) {
        let Some(shard) = self.shards.get(&shard_id) else {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        };
        let view = match shard.waiting_status(&id) {
            WaitingStatus::Loading => return self.reply(requester, Reply::busy(BusyReason::LoadingPrerequisites)),
            WaitingStatus::WriteInProgress => return self.reply(requester, Reply::busy(BusyReason::FinalWritePending)),
            WaitingStatus::PrerequisiteInDoubt => {
                return self.reply(requester, Reply::busy(BusyReason::PrerequisiteWritePending));
            }
            WaitingStatus::PrerequisitesUnknown => {
                return self.look_up_job(requester, id, LookupPurpose::DependencyTraversal);
            }
            WaitingStatus::Withdrawn(cause) => withdrawn_view(&id, cause),
            WaitingStatus::Waiting => JobView::waiting(&id, shard.waiting_jobs.open_prerequisites(&id)),
        };
        let source = StateSource::Memory(shard.leadership_term());
        self.reply_about_dependent(requester, &view, source, self.now);
    }

    /// Cancels a waiting job. The reply is sent once the final record is durable.
    pub(in crate::coordination) fn cancel_waiting_job(&mut self, requester: Requester, shard_id: ShardId, id: JobId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        if let Some(cause) = shard.waiting_jobs.withdrawn_with(&id) {
            let source = StateSource::Memory(shard.leadership_term());
            return self.reply_about_dependent(requester, &withdrawn_view(&id, cause), source, now);
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
