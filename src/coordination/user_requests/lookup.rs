//! Lookup of jobs that are not in memory on this node, by reading their records.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::job_record_reads::{JobRecordAnswer, JobRecordKind, VersionedRecord};
use super::adoption::{AdoptionOutcome, AdoptionSource};
use super::operations::{JobLookup, LookupPurpose, UserOperation};
use super::views::final_view;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{JobId, ShardId};
use crate::protocol::peers::ForwardedRequest;
use crate::protocol::state::StateResult;
use crate::protocol::users::{JobState, JobView};
use crate::protocol::{BusyReason, Reply};
use crate::storage::range_set::RangeSet;
use crate::storage::records::{FinalRecord, LiveRecord};

impl Controller {
    /// Begins to answer a request from the job's records, or replies "busy" if the rate limits admit no read.
    pub(in crate::coordination) fn look_up_job(&mut self, requester: Requester, job: JobId, purpose: LookupPurpose) {
        if !self.admits(TrafficClass::RecordRead) {
            return self.reply(requester, Reply::busy(BusyReason::TooManyReads));
        }
        self.read_record(JobLookup { requester, job, purpose, record_kind: JobRecordKind::Live, sent_at: self.now });
    }

    /// Sends the read of the record that is next in the lookup.
    fn read_record(&mut self, lookup: JobLookup) {
        let request = lookup.record_kind.request(&lookup.job);
        self.call_state(request, UserOperation::LookUp(Box::new(lookup)));
    }

    /// Handles the answer to the read of one of the job's records.
    pub(super) fn job_looked_up(&mut self, lookup: JobLookup, answer: StateResult) {
        match lookup.record_kind.interpret(answer) {
            JobRecordAnswer::Live(found) => self.live_record_found(lookup, *found),
            JobRecordAnswer::Final(end) => self.final_record_found(lookup, end),
            JobRecordAnswer::NotLive => {
                self.admit_next_step(TrafficClass::RecordRead);
                self.read_record(JobLookup { record_kind: JobRecordKind::Final, ..lookup });
            }
            JobRecordAnswer::NoSuchJob => self.job_not_found(lookup),
            JobRecordAnswer::Unreadable(_) => self.reply(lookup.requester, Reply::busy(BusyReason::RecordUnreadable)),
            JobRecordAnswer::Unanswered => self.reply(lookup.requester, Reply::busy(BusyReason::StateUnreachable)),
        }
    }

    /// Answers a request about a job that has ended.
    fn final_record_found(&mut self, lookup: JobLookup, end: FinalRecord) {
        self.reply_with_state(lookup.requester, 200, &final_view(&lookup.job, &end), lookup.sent_at);
        self.directory.record_end(lookup.job, end);
    }

    /// Answers a request about a job that has no records.
    fn job_not_found(&mut self, lookup: JobLookup) {
        self.directory.forget_job_shard(&lookup.job);
        let reply = match lookup.purpose {
            LookupPurpose::Refuse(refusal) => refusal,
            LookupPurpose::AlreadyRecorded => Reply::busy(BusyReason::TryAgain),
            LookupPurpose::Poll
            | LookupPurpose::DependencyTraversal
            | LookupPurpose::Cancel
            | LookupPurpose::Forecast => Reply::error(404, "no such job"),
        };
        self.reply(lookup.requester, reply);
    }

    /// Answers a request about a job that had not ended when its record was read.
    fn live_record_found(&mut self, lookup: JobLookup, found: VersionedRecord) {
        let (id, shard_id) = (found.record.job.id.clone(), found.record.deciding_shard());
        self.directory.set_job_shard(lookup.job.clone(), shard_id);
        if let Some(reply) = self.known_final_reply(&id) {
            // The job has ended since the record was read.
            return self.reply(lookup.requester, reply);
        }
        if matches!(lookup.purpose, LookupPurpose::DependencyTraversal) {
            return self.traverse_dependencies(lookup.requester, &found.record, lookup.sent_at);
        }
        if self.may_decide(shard_id) && self.shards.get(&shard_id).is_some_and(|shard| shard.is_active()) {
            return self.adopt_and_answer(lookup, shard_id, found);
        }
        self.answer_from_live_record(lookup, shard_id, &found.record);
    }

    /// Answers a request about a job that belongs to a shard led by this node but is not in the shard's memory: the
    /// answer to the commit of its acceptance was lost, or its hand-off record was not processed yet.
    fn adopt_and_answer(&mut self, lookup: JobLookup, shard_id: ShardId, found: VersionedRecord) {
        let JobLookup { requester, purpose, sent_at, .. } = lookup;
        let id = found.record.job.id.clone();
        match self.adopt_from_record(shard_id, found, sent_at, AdoptionSource::Lookup) {
            AdoptionOutcome::Retry => self.look_up_job(requester, id, purpose),
            AdoptionOutcome::Settled => match purpose {
                LookupPurpose::Cancel => self.cancel_as_leader(requester, shard_id, id),
                LookupPurpose::Forecast => self.forecast_as_leader(requester, shard_id, id),
                _ => self.poll_as_leader(requester, shard_id, id),
            },
        }
    }

    /// Answers a request about a live job of a shard that this node does not lead, has not finished loading or may not
    /// decide for.
    fn answer_from_live_record(&mut self, lookup: JobLookup, shard_id: ShardId, record: &LiveRecord) {
        let id = record.job.id.clone();
        match lookup.purpose {
            LookupPurpose::Cancel => self.forward(lookup.requester, shard_id, ForwardedRequest::Cancel(id)),
            LookupPurpose::Forecast => self.forward(lookup.requester, shard_id, ForwardedRequest::Forecast(id)),
            _ if record.is_waiting() => self.traverse_dependencies(lookup.requester, record, lookup.sent_at),
            _ => self.reply_with_state(lookup.requester, 200, &recorded_progress(record), lookup.sent_at),
        }
    }
}

/// Returns the view of a live job with the progress shown by its record.
fn recorded_progress(record: &LiveRecord) -> JobView {
    let done = RangeSet::parse(&record.done, record.job.tasks).map_or(0, |done| done.len());
    let state = if done > 0 { JobState::Running } else { JobState::Queued };
    JobView::new(&record.job.id, state, done, 0)
}
