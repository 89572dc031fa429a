//! Check that all prerequisites of a new job were accepted.

use super::super::controller::Controller;
use super::super::job_record_reads::{JobRecordAnswer, JobRecordKind};
use super::super::user_requests::Submission;
use super::operations::{DependencyOperation, PrerequisiteCheck};
use crate::coordination::state_admission::TrafficClass;
use crate::model::{FinalState, JobId, JobKind, JobSpec};
use crate::protocol::state::StateResult;
use crate::protocol::{BusyReason, Reply};

/// State of a prerequisite according to the memory of this node.
enum KnownPrerequisite {
    /// An accepted job that other jobs can wait for.
    Accepted,
    /// A service, which is never done.
    Service,
    /// A job that is not in memory, so that its record has to be read.
    NotInMemory,
}

impl Controller {
    /// Checks that all prerequisites of a submitted job were accepted and that none is a service, and then accepts the
    /// job without the prerequisites that are known to be done.
    pub(in crate::coordination) fn check_prerequisites(&mut self, mut submission: Submission) {
        if submission.spec.prerequisites.contains(&submission.spec.id) {
            return self.refuse_submission(submission, "awaits: it names the job itself");
        }
        self.remove_done_prerequisites(&mut submission.spec);
        let mut unchecked = Vec::new();
        for prerequisite in &submission.spec.prerequisites {
            match self.known_prerequisite(prerequisite) {
                KnownPrerequisite::Accepted => {}
                KnownPrerequisite::NotInMemory => unchecked.push(prerequisite.clone()),
                KnownPrerequisite::Service => {
                    let reason = never_done(prerequisite);
                    return self.refuse_submission(submission, &reason);
                }
            }
        }
        self.check_next_prerequisite(PrerequisiteCheck { submission, unchecked, record_kind: JobRecordKind::Live });
    }

    /// Returns the state of a prerequisite as far as it is known without reading the records.
    fn known_prerequisite(&self, prerequisite: &JobId) -> KnownPrerequisite {
        if self.directory.has_ended(prerequisite) {
            return KnownPrerequisite::Accepted;
        }
        let Some(shard) = self.active_shard_with(prerequisite).and_then(|shard| self.shards.get(&shard)) else {
            return KnownPrerequisite::NotInMemory;
        };
        match shard.jobs.get(prerequisite).map(|job| job.spec.kind) {
            Some(JobKind::Service) => KnownPrerequisite::Service,
            _ => KnownPrerequisite::Accepted,
        }
    }

    /// Removes the prerequisites that are known to be done.
    fn remove_done_prerequisites(&self, spec: &mut JobSpec) {
        let is_done = |job: &JobId| self.directory.end_of(job).is_some_and(|end| end.state == FinalState::Done);
        spec.prerequisites.retain(|prerequisite| !is_done(prerequisite));
    }

    /// Refuses a submission permanently, unless its job was accepted before.
    fn refuse_submission(&mut self, submission: Submission, reason: &str) {
        self.refuse_unless_accepted(submission.requester, submission.spec.id, Reply::error(422, reason));
    }

    /// Reads a record of the next prerequisite, or accepts the job if all prerequisites were checked.
    fn check_next_prerequisite(&mut self, mut check: PrerequisiteCheck) {
        let Some(prerequisite) = check.unchecked.last() else {
            self.remove_done_prerequisites(&mut check.submission.spec);
            return self.accept(check.submission);
        };
        if !self.admits(TrafficClass::RecordRead) {
            return self.reply(check.submission.requester, Reply::busy(BusyReason::TooManyReads));
        }
        let request = check.record_kind.request(prerequisite);
        self.call_state(request, DependencyOperation::CheckPrerequisite(Box::new(check)));
    }

    /// Handles the answer to the read of a prerequisite's record.
    pub(super) fn prerequisite_checked(&mut self, mut check: PrerequisiteCheck, answer: StateResult) {
        let Some(prerequisite) = check.unchecked.last().cloned() else { return };
        match check.record_kind.interpret(answer) {
            JobRecordAnswer::Live(found) if found.record.job.kind == JobKind::Service => {
                return self.refuse_submission(check.submission, &never_done(&prerequisite));
            }
            JobRecordAnswer::Live(_) => {}
            JobRecordAnswer::Final(end) => self.directory.record_end(prerequisite, end),
            JobRecordAnswer::NotLive => {
                return self.check_next_prerequisite(PrerequisiteCheck { record_kind: JobRecordKind::Final, ..check });
            }
            JobRecordAnswer::NoSuchJob => {
                let reason = format!("awaits: {prerequisite} was never accepted");
                return self.refuse_submission(check.submission, &reason);
            }
            JobRecordAnswer::Unreadable(_) => {
                return self.reply(check.submission.requester, Reply::busy(BusyReason::AnyRecordUnreadable));
            }
            JobRecordAnswer::Unanswered => {
                return self.reply(check.submission.requester, Reply::busy(BusyReason::StateUnreachable));
            }
        }
        check.unchecked.pop();
        self.check_next_prerequisite(PrerequisiteCheck { record_kind: JobRecordKind::Live, ..check });
    }
}

/// Returns the error text for a prerequisite that is a service.
fn never_done(prerequisite: &JobId) -> String {
    format!("awaits: {prerequisite} is a service and is never done")
}
