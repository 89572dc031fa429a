//! Submitting a job: whether it is known already, whether it can be accepted, and which controller accepts it.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::new_job::{AcceptancePath, Submission};
use super::operations::LookupPurpose;
use crate::model::{JobId, JobSpec, ShardId};
use crate::protocol::peers::{ForwardedRequest, WAITING_JOBS_VERSION};
use crate::protocol::users::InvalidJob;
use crate::protocol::{BusyReason, Reply};

impl Controller {
    /// Refuses a submission that is not valid.
    pub(in crate::coordination) fn reject(&mut self, requester: Requester, invalid: InvalidJob) {
        let refusal = Reply::error(400, &invalid.reason.to_string());
        match invalid.id {
            Some(id) => self.refuse_unless_accepted(requester, id, refusal),
            None => self.reply(requester, refusal),
        }
    }

    /// Refuses a submission for good, unless its job was accepted before: a repeated submission is answered with the
    /// job's state.
    pub(in crate::coordination) fn refuse_unless_accepted(&mut self, requester: Requester, id: JobId, refusal: Reply) {
        if let Some(reply) = self.known_final_reply(&id) {
            return self.reply(requester, reply);
        }
        match self.shard_with(&id) {
            Some(shard) => self.poll_here(requester, shard, id),
            None => self.look_up_job(requester, id, LookupPurpose::Refuse(refusal)),
        }
    }

    /// Handles the submission of a job by a client of this node.
    pub(in crate::coordination) fn submit(&mut self, requester: Requester, spec: JobSpec) {
        if let Some(reply) = self.known_final_reply(&spec.id) {
            return self.reply(requester, reply);
        }
        if let Some(shard) = self.shard_with(&spec.id) {
            return self.poll_here(requester, shard, spec.id);
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

    /// Has the job accepted by this node if it leads the shard, else by the leader.
    fn submit_to_shard(&mut self, requester: Requester, shard_id: ShardId, spec: JobSpec) {
        match self.shards.get(&shard_id) {
            Some(shard) if shard.is_active() => self.submit_here(requester, shard_id, spec),
            Some(_) => self.submit_remotely(requester, spec),
            None => self.forward_submission(requester, shard_id, spec),
        }
    }

    /// Has the leader of a shard accept a job.
    fn forward_submission(&mut self, requester: Requester, shard: ShardId, spec: JobSpec) {
        self.directory.set_job_shard(spec.id.clone(), shard);
        if spec.prerequisites.is_empty() {
            return self.forward(requester, shard, ForwardedRequest::Submit(Box::new(spec)));
        }
        // A leader of an older version would start the job without waiting for its prerequisites.
        let leader = self.leader_of(shard).and_then(|leader| self.membership.peer(leader));
        if leader.is_some_and(|peer| peer.peer_status.message_version >= WAITING_JOBS_VERSION) {
            self.forward(requester, shard, ForwardedRequest::SubmitWaiting(Box::new(spec)));
        } else {
            self.submit_remotely(requester, spec);
        }
    }

    /// The shard of a team's jobs. All of them go to one shard: so a limited team's quota is kept in one place, and
    /// all jobs of a team can use all machines that work for it, while machines that are partly full could not
    /// follow the work from shard to shard.
    fn shard_for(&self, spec: &JobSpec) -> Option<ShardId> {
        let position = self.settings.teams.keys().position(|team| *team == spec.team)?;
        Some(ShardId(position as u32 % self.settings.team_shards()))
    }

    /// Handles a submission as the leader of the job's shard.
    pub(in crate::coordination) fn submit_here(&mut self, requester: Requester, shard_id: ShardId, spec: JobSpec) {
        if let Some(reply) = self.known_final_reply(&spec.id) {
            return self.reply(requester, reply);
        }
        if self.shards.get(&shard_id).is_some_and(|shard| shard.is_active() && shard.has(&spec.id)) {
            return self.poll_here(requester, shard_id, spec.id);
        }
        self.check_and_accept(Submission { requester, shard: shard_id, spec, path: AcceptancePath::Leader });
    }

    /// Accepts a job for a shard whose leader cannot be asked: leadership is changing, or the network between the
    /// controllers is down.
    ///
    /// The record is conditional on the shard's key as it stands, whether the shard has a leader or not. The next
    /// leader loads the record; the present one finds the hand-off record.
    pub(in crate::coordination) fn submit_remotely(&mut self, requester: Requester, spec: JobSpec) {
        match self.shard_for(&spec) {
            Some(shard) => self.check_and_accept(Submission { requester, shard, spec, path: AcceptancePath::Handoff }),
            None => self.reply(requester, Reply::busy(BusyReason::NoShard)),
        }
    }

    /// Accepts the submitted job once all its prerequisites are known to have been accepted.
    fn check_and_accept(&mut self, submission: Submission) {
        if submission.spec.prerequisites.is_empty() {
            self.accept(submission);
        } else {
            self.check_prerequisites(submission);
        }
    }
}
