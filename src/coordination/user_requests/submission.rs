//! Submission of jobs: recognises repeated submissions, rejects jobs that can't be accepted, and chooses the controller
//! that accepts the job.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::new_job::{AcceptancePath, Submission};
use super::operations::LookupPurpose;
use crate::model::{JobId, JobSpec, ShardId};
use crate::protocol::peers::{ForwardedRequest, WAITING_JOBS_VERSION};
use crate::protocol::users::InvalidJob;
use crate::protocol::{BusyReason, Reply};

impl Controller {
    /// Refuses an invalid submission. If its job id could be parsed, a repeated submission of an accepted job is still
    /// answered with the job's state.
    pub(in crate::coordination) fn reject_invalid_submission(&mut self, requester: Requester, invalid: InvalidJob) {
        let refusal = Reply::error(400, &invalid.reason.to_string());
        match invalid.id {
            Some(id) => self.refuse_unless_accepted(requester, id, refusal),
            None => self.reply(requester, refusal),
        }
    }

    /// Refuses a submission permanently, unless its job was accepted before: a repeated submission is answered with the
    /// job's state.
    pub(in crate::coordination) fn refuse_unless_accepted(&mut self, requester: Requester, id: JobId, refusal: Reply) {
        if let Some(reply) = self.known_final_reply(&id) {
            return self.reply(requester, reply);
        }
        match self.active_shard_with(&id) {
            Some(shard) => self.poll_as_leader(requester, shard, id),
            None => self.look_up_job(requester, id, LookupPurpose::Refuse(refusal)),
        }
    }

    /// Handles a submission that a client sent to this node.
    pub(in crate::coordination) fn submit(&mut self, requester: Requester, spec: JobSpec) {
        if let Some(reply) = self.known_final_reply(&spec.id) {
            return self.reply(requester, reply);
        }
        if let Some(shard) = self.active_shard_with(&spec.id) {
            return self.poll_as_leader(requester, shard, spec.id);
        }
        if !self.cloud.has_catalog() {
            return self.reply(requester, Reply::busy(BusyReason::NoCatalog));
        }
        if let Err(infeasible) = self.check_feasibility(&spec) {
            return self.refuse_unless_accepted(requester, spec.id, Reply::error(422, infeasible.reason()));
        }
        match self.shard_for(&spec) {
            Some(shard) => self.submit_to_shard(requester, shard, spec),
            None => self.reply(requester, Reply::busy(BusyReason::NoShard)),
        }
    }

    /// Accepts the job on this node if it leads the shard, and otherwise forwards the submission to the leader.
    fn submit_to_shard(&mut self, requester: Requester, shard_id: ShardId, spec: JobSpec) {
        match self.shards.get(&shard_id) {
            Some(shard) if shard.is_active() => self.submit_as_leader(requester, shard_id, spec),
            Some(_) => self.accept_without_leader(requester, spec),
            None => self.forward_submission(requester, shard_id, spec),
        }
    }

    /// Forwards a submission to the leader of the job's shard.
    fn forward_submission(&mut self, requester: Requester, shard: ShardId, spec: JobSpec) {
        self.directory.set_job_shard(spec.id.clone(), shard);
        if spec.prerequisites.is_empty() {
            return self.forward(requester, shard, ForwardedRequest::Submit(Box::new(spec)));
        }
        // A leader that runs an older version would start the job without waiting for its prerequisites.
        let leader = self.leader_of(shard).and_then(|leader| self.membership.peer(leader));
        if leader.is_some_and(|peer| peer.peer_status.message_version >= WAITING_JOBS_VERSION) {
            self.forward(requester, shard, ForwardedRequest::SubmitWaiting(Box::new(spec)));
        } else {
            self.accept_without_leader(requester, spec);
        }
    }

    /// Returns the shard that a job belongs to, or `None` if its team is not configured.
    ///
    /// All jobs of a team belong to one shard, so that a team's quota is enforced in one place and all its jobs can use
    /// all machines that run its work. If the jobs were spread over several shards, partly occupied machines could not
    /// follow the work from one shard to another.
    fn shard_for(&self, spec: &JobSpec) -> Option<ShardId> {
        let position = self.settings.teams.keys().position(|team| *team == spec.team)?;
        Some(ShardId(position as u32 % self.settings.team_shards()))
    }

    /// Handles a submission as the leader of the job's shard.
    pub(in crate::coordination) fn submit_as_leader(&mut self, requester: Requester, shard_id: ShardId, spec: JobSpec) {
        if let Some(reply) = self.known_final_reply(&spec.id) {
            return self.reply(requester, reply);
        }
        if self.shards.get(&shard_id).is_some_and(|shard| shard.is_active() && shard.contains_job(&spec.id)) {
            return self.poll_as_leader(requester, shard_id, spec.id);
        }
        self.check_and_accept(Submission { requester, shard: shard_id, spec, path: AcceptancePath::Leader });
    }

    /// Accepts a job for a shard whose leader cannot be reached, because leadership is changing or the network between
    /// the controllers is down.
    ///
    /// The commit is conditional on the current version of the shard's key, whether or not the shard has a leader. A
    /// later leader loads the live record when it loads the shard; the current leader learns of the job from the
    /// hand-off record.
    pub(in crate::coordination) fn accept_without_leader(&mut self, requester: Requester, spec: JobSpec) {
        match self.shard_for(&spec) {
            Some(shard) => self.check_and_accept(Submission { requester, shard, spec, path: AcceptancePath::Handoff }),
            None => self.reply(requester, Reply::busy(BusyReason::NoShard)),
        }
    }

    /// Accepts the submitted job, after checking that all its prerequisites were accepted.
    fn check_and_accept(&mut self, submission: Submission) {
        if submission.spec.prerequisites.is_empty() {
            self.accept(submission);
        } else {
            self.check_prerequisites(submission);
        }
    }
}
