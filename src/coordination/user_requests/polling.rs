//! Polls and forecasts: answered from memory where this node leads the job's shard, else by the shard's leader, else
//! from the records.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::operations::LookupPurpose;
use super::views::{final_reply, live_reply};
use crate::model::{JobId, ShardId};
use crate::protocol::peers::ForwardedRequest;
use crate::protocol::{BusyReason, Reply};

/// What a user wants to know of a job.
#[derive(Clone, Copy)]
enum JobQuery {
    /// How the job stands.
    Poll,
    /// When the job is expected to be done.
    Forecast,
}

impl JobQuery {
    /// The request that passes the query to the leader of the job's shard.
    fn forwarded(self, job: JobId) -> ForwardedRequest {
        match self {
            JobQuery::Poll => ForwardedRequest::Poll(job),
            JobQuery::Forecast => ForwardedRequest::Forecast(job),
        }
    }

    /// Why the job's record is read, if the query is answered from the records.
    fn lookup_purpose(self) -> LookupPurpose {
        match self {
            JobQuery::Poll => LookupPurpose::Poll,
            JobQuery::Forecast => LookupPurpose::Forecast,
        }
    }
}

impl Controller {
    /// Answers a poll of a job.
    pub(in crate::coordination) fn poll(&mut self, requester: Requester, job: JobId) {
        self.answer_query(requester, job, JobQuery::Poll);
    }

    /// Answers a request for a job's forecast, which the leader of its shard has. The answer for a job that has ended is
    /// its state.
    pub(in crate::coordination) fn forecast(&mut self, requester: Requester, job: JobId) {
        if self.forecasts.is_none() {
            return self.reply(requester, Reply::error(404, "forecasts are off"));
        }
        self.answer_query(requester, job, JobQuery::Forecast);
    }

    /// Answers a query here if the job is in memory, else has its shard's leader answer, else reads the records.
    fn answer_query(&mut self, requester: Requester, job: JobId, query: JobQuery) {
        if let Some(reply) = self.known_final_reply(&job) {
            return self.reply(requester, reply);
        }
        if let Some(shard) = self.shard_with(&job) {
            return match query {
                JobQuery::Poll => self.poll_here(requester, shard, job),
                JobQuery::Forecast => self.forecast_here(requester, shard, job),
            };
        }
        match self.likely_shard(&job) {
            Some(shard) if !self.shards.contains_key(&shard) && self.reachable_leader(shard).is_some() => {
                self.forward(requester, shard, query.forwarded(job));
            }
            _ => self.look_up_job(requester, job, query.lookup_purpose()),
        }
    }

    /// Answers a poll as the leader of the job's shard.
    pub(in crate::coordination) fn poll_here(&mut self, requester: Requester, shard_id: ShardId, job: JobId) {
        if let Some(reply) = self.known_final_reply(&job) {
            return self.reply(requester, reply);
        }
        if !self.may_serve_reads(shard_id) {
            return self.reply(requester, Reply::busy(BusyReason::NotConfirmed));
        }
        let shard = self.shards.get(&shard_id);
        match shard.and_then(|shard| shard.jobs.get(&job)) {
            Some(job) => self.reply(requester, live_reply(job)),
            None if shard.is_some_and(|shard| shard.has(&job)) => self.poll_waiting_job(requester, shard_id, job),
            None => self.look_up_job(requester, job, LookupPurpose::Poll),
        }
    }

    /// Answers a request for a forecast as the leader of the job's shard.
    pub(in crate::coordination) fn forecast_here(&mut self, requester: Requester, shard_id: ShardId, job: JobId) {
        if self.forecasts.is_none() {
            return self.reply(requester, Reply::error(404, "forecasts are off here"));
        }
        let waits = self.shards.get(&shard_id).is_some_and(|shard| shard.dependencies.contains(&job));
        if self.directory.has_ended(&job) || waits {
            return self.poll_here(requester, shard_id, job);
        }
        if !self.may_serve_reads(shard_id) {
            return self.reply(requester, Reply::busy(BusyReason::NotConfirmed));
        }
        if self.shards.get(&shard_id).is_some_and(|shard| shard.jobs.contains_key(&job)) {
            self.reply_with_forecast(requester, shard_id, &job);
        } else {
            self.look_up_job(requester, job, LookupPurpose::Forecast);
        }
    }

    /// Answers a poll from the final record if that is in memory, else from the records alone.
    pub(super) fn poll_records(&mut self, requester: Requester, job: &JobId) {
        match self.known_final_reply(job) {
            Some(reply) => self.reply(requester, reply),
            None => self.look_up_job(requester, job.clone(), LookupPurpose::DependencyTraversal),
        }
    }

    /// The reply for a job that is known here to have ended.
    pub(super) fn known_final_reply(&self, job: &JobId) -> Option<Reply> {
        self.directory.end_of(job).map(|end| final_reply(job, end))
    }

    /// The shard of this node that has the job in memory.
    pub(in crate::coordination) fn shard_with(&self, job: &JobId) -> Option<ShardId> {
        self.shards.values().find(|shard| shard.is_active() && shard.has(job)).map(|shard| shard.id)
    }

    /// The shard that a job belongs to if it exists at all, as far as that is known without reading records.
    fn likely_shard(&self, job: &JobId) -> Option<ShardId> {
        self.directory.job_shard(job).or(self.only_shard())
    }
}
