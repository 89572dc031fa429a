//! Acceptance of a job: committing its first record and handling the answer.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::leadership::StepDownReason;
use super::new_job::{AcceptancePath, NewJob, RecordTooLarge, Submission};
use super::operations::{LookupPurpose, UserOperation};
use crate::coordination::state_admission::TrafficClass;
use crate::model::{JobId, Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, StateAnswer, StateCall};
use crate::protocol::users::{JobState, JobView};
use crate::protocol::{BusyReason, Reply};
use crate::storage::keys;
use crate::storage::records::to_value;
use crate::time::Time;

impl Controller {
    /// Accepts a job that is not known to this node and whose prerequisites were all accepted.
    pub(in crate::coordination) fn accept(&mut self, submission: Submission) {
        match submission.path {
            AcceptancePath::Leader => self.accept_as_leader(submission),
            AcceptancePath::Handoff => self.accept_with_handoff(submission),
        }
    }

    /// Accepts a job of a shard that this node leads.
    fn accept_as_leader(&mut self, submission: Submission) {
        let may_decide = self.may_decide(submission.shard);
        let Some(shard) = self.shards.get(&submission.shard).filter(|shard| shard.is_active() && may_decide) else {
            return self.reply(submission.requester, Reply::busy(BusyReason::ShardNotReady));
        };
        if shard.contains_job(&submission.spec.id) {
            // The job was submitted twice, and the other submission was accepted in the meantime.
            return self.poll_as_leader(submission.requester, submission.shard, submission.spec.id);
        }
        let term = shard.term;
        self.write_acceptance(submission, term);
    }

    /// Accepts a job of a shard whose leader cannot be reached. The commit is conditional on the shard's leadership
    /// being unchanged.
    fn accept_with_handoff(&mut self, submission: Submission) {
        let Some(leadership) = self.membership.leadership(submission.shard).filter(|_| self.leadership.has_lease())
        else {
            return self.reply(submission.requester, Reply::busy(BusyReason::NotConfirmed));
        };
        let term = if leadership.leader.is_some() { leadership.term } else { Revision(0) };
        self.write_acceptance(submission, term);
    }

    /// Begins to write the records of a job. If a write of the same job is in progress, the requester waits for its
    /// outcome instead.
    fn write_acceptance(&mut self, submission: Submission, term: Revision) {
        let Submission { requester, shard, spec, path } = submission;
        if self.user_requests.is_accepting(&spec.id) {
            return self.user_requests.await_acceptance(&spec.id, requester);
        }
        if !self.admits(TrafficClass::Acceptance) {
            let retry_after = self.calls.retry_after(self.now, TrafficClass::Acceptance);
            return self.reply(requester, Reply::overloaded(BusyReason::TooManySubmissions, retry_after));
        }
        match NewJob::new(shard, term, spec, path, self.wall_clock_ms, self.settings.max_value_bytes) {
            Ok(new_job) => {
                self.user_requests.await_acceptance(new_job.id(), requester);
                self.write_parts(new_job);
            }
            Err(RecordTooLarge) => self.reply(requester, Reply::error(400, "larger than can be recorded")),
        }
    }

    /// Commits a new job's live record, after all its part records were written, if they are still the same.
    pub(in crate::coordination) fn commit_acceptance(&mut self, new_job: NewJob) {
        let (shard, id) = (new_job.shard, new_job.id());
        let mut conditions = vec![new_job.leadership_term().condition()];
        conditions.extend(new_job.conditions_of_absence());
        conditions.extend(new_job.part_conditions());
        let key = keys::live_key(id);
        let mut changes = vec![Change::Put { key, value: to_value(&new_job.record), lease: None }];
        if new_job.path == AcceptancePath::Handoff {
            let value = serde_json::json!({});
            changes.push(Change::Put { key: keys::handoff_key(shard, id), value, lease: None });
        }
        self.call_state(StateCall::Commit { conditions, changes }, UserOperation::Accept(Box::new(new_job)));
    }

    /// Handles the answer to the commit of a new job's live record, or to a write of its part records that failed.
    pub(in crate::coordination) fn acceptance_answered(&mut self, new_job: NewJob, answer: StateResult) {
        let requesters = self.user_requests.take_acceptance_requesters(new_job.id());
        match answer {
            Ok(StateAnswer::Committed(version)) => self.acceptance_committed(new_job, version, requesters),
            Ok(answer) if answer.is_conflict_on(&keys::shard_key(new_job.shard)) => {
                self.acceptance_lost_term(&new_job, requesters);
            }
            Ok(StateAnswer::Conflict(_)) => {
                for requester in requesters {
                    self.look_up_job(requester, new_job.id().clone(), LookupPurpose::AlreadyRecorded);
                }
            }
            // The commit is in doubt. A retry by the user finds the record if it was written.
            _ => self.reply_to_all(requesters, Reply::busy(BusyReason::StateUnreachable)),
        }
    }

    /// Handles the durable acceptance of a job: adopts it if this node leads its shard, and answers the requesters.
    fn acceptance_committed(&mut self, new_job: NewJob, version: Revision, requesters: Vec<Requester>) {
        let (shard_id, id) = (new_job.shard, new_job.id().clone());
        let waits = new_job.record.is_waiting();
        // The job may have been read from the records before this answer arrived, and may have ended since.
        let has_ended = self.directory.has_ended(&id);
        self.adopt_accepted(new_job, version, has_ended);
        let mut requesters = requesters.into_iter();
        if !waits
            && !has_ended
            && let Some(first) = requesters.next()
        {
            // The record is durable, whichever controller leads the shard now. The submission is older than any report.
            self.reply_with_state(first, 201, &JobView::new(&id, JobState::Queued, 0, 0), Time::ZERO);
        }
        // The other requesters asked later and may have been told since that the job has ended, so a reply of
        // 201 could contradict that. If a prerequisite was cancelled, the job is withdrawn from the start.
        for requester in requesters {
            self.poll_accepted(requester, shard_id, &id);
        }
    }

    /// Adds the accepted job to its shard if this node still leads the shard in the same term.
    fn adopt_accepted(&mut self, new_job: NewJob, version: Revision, has_ended: bool) {
        let now = self.now;
        if let Some(shard) = self.shard_in_term(new_job.leadership_term())
            && !has_ended
            && !shard.contains_job(new_job.id())
        {
            if new_job.record.is_waiting() {
                log::info!(
                    "waiting job {} accepted by the leader of shard {} in term {}",
                    new_job.id(),
                    shard.id,
                    shard.term
                );
            }
            shard.add_unstarted_job(new_job.record, version, now);
        }
    }

    /// Answers a requester with the current state of its submitted job, which has been accepted.
    fn poll_accepted(&mut self, requester: Requester, shard_id: ShardId, id: &JobId) {
        if self.shards.get(&shard_id).is_some_and(|shard| shard.contains_job(id)) {
            self.poll_as_leader(requester, shard_id, id.clone());
        } else {
            self.poll_from_records(requester, id);
        }
    }

    /// Handles a commit that was refused because the leadership of the shard has changed.
    fn acceptance_lost_term(&mut self, new_job: &NewJob, requesters: Vec<Requester>) {
        if self.shard_in_term(new_job.leadership_term()).is_some() {
            self.step_down(new_job.shard, StepDownReason::TermReplaced);
        }
        self.reply_to_all(requesters, Reply::busy(BusyReason::TermReplaced));
    }

    /// Sends the same reply to several requesters.
    pub(in crate::coordination) fn reply_to_all(&mut self, requesters: Vec<Requester>, reply: Reply) {
        for requester in requesters {
            self.reply(requester, reply.clone());
        }
    }
}
