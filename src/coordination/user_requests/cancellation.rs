//! Cancellation of jobs by users.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::operations::LookupPurpose;
use crate::model::{FinalState, JobId, ShardId};
use crate::protocol::peers::ForwardedRequest;
use crate::protocol::{BusyReason, Reply};

impl Controller {
    /// Handles a request to cancel a job that a client sent to this node.
    pub(in crate::coordination) fn cancel(&mut self, requester: Requester, job: JobId) {
        if let Some(reply) = self.known_final_reply(&job) {
            return self.reply(requester, reply);
        }
        if let Some(shard) = self.active_shard_with(&job) {
            return self.cancel_as_leader(requester, shard, job);
        }
        match self.directory.job_shard(&job) {
            Some(shard) if !self.shards.contains_key(&shard) => {
                self.forward(requester, shard, ForwardedRequest::Cancel(job));
            }
            _ => self.look_up_job(requester, job, LookupPurpose::Cancel),
        }
    }

    /// Cancels a job as the leader of its shard.
    pub(in crate::coordination) fn cancel_as_leader(&mut self, requester: Requester, shard_id: ShardId, id: JobId) {
        if let Some(reply) = self.known_final_reply(&id) {
            return self.reply(requester, reply);
        }
        if !self.shards.get(&shard_id).is_some_and(|shard| shard.is_active()) {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        }
        self.stop_cancelled_tasks(shard_id, &id);
        if !self.may_decide(shard_id) {
            return self.reply(requester, Reply::busy(BusyReason::LeaseInvalid));
        }
        self.record_cancellation(requester, shard_id, id);
    }

    /// Stops the tasks of a job that its user cancels. No valid leader lease is needed, since the results are no longer
    /// wanted.
    fn stop_cancelled_tasks(&mut self, shard_id: ShardId, id: &JobId) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        if let Some(job) = shard.jobs.get_mut(id)
            && job.ending.is_none()
        {
            job.ending = Some(FinalState::Cancelled);
            self.stop_unstarted_attempts(shard_id, id);
        }
    }

    /// Writes the final record of a job that its user cancels. The reply is sent once the record is durable.
    fn record_cancellation(&mut self, requester: Requester, shard_id: ShardId, id: JobId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&shard_id) else {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        };
        if shard.waiting_jobs.contains(&id) {
            return self.cancel_waiting_job(requester, shard_id, id);
        }
        let may_record = shard.may_record_cancellations(now);
        let Some(job) = shard.jobs.get_mut(&id) else { return self.look_up_job(requester, id, LookupPurpose::Cancel) };
        if !may_record {
            return self.reply(requester, Reply::busy(BusyReason::LeadershipOverlap));
        }
        job.cancel_requesters.push(requester);
        self.write_final_record(shard_id, &id);
    }
}
