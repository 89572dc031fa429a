//! Polls and forecasts: answered from memory if this node leads the job's shard, otherwise by the shard's leader, and
//! otherwise from the records.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::operations::LookupPurpose;
use super::views::live_view;
use crate::model::{JobId, ShardId};
use crate::protocol::peers::ForwardedRequest;
use crate::protocol::{BusyReason, Reply};

/// A read-only request about a job.
#[derive(Clone, Copy)]
enum JobQuery {
    /// A request for the job's state.
    Poll,
    /// A request for the job's expected finish time.
    Forecast,
}

impl JobQuery {
    /// Returns the request that forwards the query to the leader of the job's shard.
    fn forwarded(self, job: JobId) -> ForwardedRequest {
        match self {
            JobQuery::Poll => ForwardedRequest::Poll(job),
            JobQuery::Forecast => ForwardedRequest::Forecast(job),
        }
    }

    /// Returns the purpose of the lookup if the query is answered from the records.
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

    /// Answers a request for a job's forecast, which only the leader of the job's shard has. For a job that has ended
    /// or waits for prerequisites, the answer is its state.
    pub(in crate::coordination) fn forecast(&mut self, requester: Requester, job: JobId) {
        if self.forecasts.is_none() {
            return self.reply(requester, Reply::error(404, "forecasts are off"));
        }
        self.answer_query(requester, job, JobQuery::Forecast);
    }

    /// Answers a query from memory if the job is there, otherwise forwards it to the leader of the job's shard, and
    /// otherwise reads the records.
    fn answer_query(&mut self, requester: Requester, job: JobId, query: JobQuery) {
        if let Some(reply) = self.known_final_reply(&job) {
            return self.reply(requester, reply);
        }
        if let Some(shard) = self.active_shard_with(&job) {
            return match query {
                JobQuery::Poll => self.poll_as_leader(requester, shard, job),
                JobQuery::Forecast => self.forecast_as_leader(requester, shard, job),
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
    pub(in crate::coordination) fn poll_as_leader(&mut self, requester: Requester, shard_id: ShardId, job: JobId) {
        if let Some(reply) = self.known_final_reply(&job) {
            return self.reply(requester, reply);
        }
        if !self.may_serve_reads(shard_id) {
            return self.reply(requester, Reply::busy(BusyReason::NotConfirmed));
        }
        let shard = self.shards.get(&shard_id);
        match shard.and_then(|shard| shard.jobs.get(&job)) {
            Some(job) => match live_view(job) {
                Some(view) => self.reply_with_state(requester, 200, &view, self.now),
                None => self.reply(requester, Reply::busy(BusyReason::FinalWritePending)),
            },
            None if shard.is_some_and(|shard| shard.contains_job(&job)) => {
                self.poll_waiting_job(requester, shard_id, job);
            }
            None => self.look_up_job(requester, job, LookupPurpose::Poll),
        }
    }

    /// Answers a request for a forecast as the leader of the job's shard. For a job that has ended or waits for
    /// prerequisites, the answer is its state.
    pub(in crate::coordination) fn forecast_as_leader(&mut self, requester: Requester, shard_id: ShardId, job: JobId) {
        if self.forecasts.is_none() {
            return self.reply(requester, Reply::error(404, "forecasts are off here"));
        }
        let waits = self.shards.get(&shard_id).is_some_and(|shard| shard.waiting_jobs.contains(&job));
        if self.directory.has_ended(&job) || waits {
            return self.poll_as_leader(requester, shard_id, job);
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

    /// Answers a poll from the final record if it is in memory, and otherwise from the records in the state service.
    pub(super) fn poll_from_records(&mut self, requester: Requester, job: &JobId) {
        match self.known_final_reply(job) {
            Some(reply) => self.reply(requester, reply),
            None => self.look_up_job(requester, job.clone(), LookupPurpose::DependencyTraversal),
        }
    }

    /// Returns the shard led by this node that has the job in memory.
    pub(in crate::coordination) fn active_shard_with(&self, job: &JobId) -> Option<ShardId> {
        self.shards.values().find(|shard| shard.is_active() && shard.contains_job(job)).map(|shard| shard.id)
    }

    /// Returns the shard that a job belongs to if the job exists, or `None` if that is not known without reading
    /// records.
    fn likely_shard(&self, job: &JobId) -> Option<ShardId> {
        self.directory.job_shard(job).or(self.only_shard())
    }
}
