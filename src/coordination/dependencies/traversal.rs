//! Answering a poll of a waiting job from the records alone: a dependency traversal goes from prerequisite to
//! prerequisite and looks for one that was cancelled.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::job_record_reads::{JobRecordAnswer, JobRecordKind};
use super::super::user_requests::{final_reply, state_reply};
use super::final_record::cancelled_before_start;
use super::operations::{DependencyOperation, DependencyTraversal, TraversalRead};
use crate::coordination::state_admission::TrafficClass;
use crate::model::{FinalState, JobId};
use crate::protocol::state::StateResult;
use crate::protocol::users::{JobState, JobView};
use crate::protocol::{BusyReason, Reply};
use crate::storage::records::LiveRecord;

/// How many records are read for one poll, at the most.
const MAX_READS: u32 = 64;

impl DependencyTraversal {
    /// The traversal that begins at a waiting job.
    fn new(requester: Requester, record: &LiveRecord) -> DependencyTraversal {
        let prerequisites = record.job.prerequisites.clone();
        DependencyTraversal {
            requester,
            job: record.job.id.clone(),
            unvisited: prerequisites.clone(),
            seen: prerequisites.iter().cloned().collect(),
            prerequisites,
            read_count: 0,
        }
    }

    /// Adds jobs that were not seen before to those that have to be looked at.
    fn add_unseen(&mut self, jobs: Vec<JobId>) {
        let unseen = jobs.into_iter().filter(|job| self.seen.insert(job.clone()));
        self.unvisited.extend(unseen);
    }
}

impl Controller {
    /// Answers a poll of a job from the records alone, all of them read after the poll came. `record` is the job's
    /// live record.
    pub(in crate::coordination) fn traverse_dependencies(&mut self, requester: Requester, record: &LiveRecord) {
        if record.parts > 0 {
            return self.reply(requester, Reply::busy(BusyReason::LeaderMustAnswer));
        }
        self.continue_traversal(DependencyTraversal::new(requester, record));
    }

    /// Goes on to the next job that is not known to be done, or answers if there is none.
    fn continue_traversal(&mut self, mut traversal: DependencyTraversal) {
        while let Some(job) = traversal.unvisited.pop() {
            match self.directory.end_of(&job).map(|end| end.state) {
                Some(FinalState::Done) => {}
                Some(FinalState::Cancelled) => {
                    let reply = final_reply(&traversal.job, &cancelled_before_start(Some(job)));
                    return self.reply(traversal.requester, reply);
                }
                None => {
                    return self.read_in_traversal(TraversalRead { traversal, job, reading: JobRecordKind::Live });
                }
            }
        }
        self.finish_traversal(traversal);
    }

    /// None of the jobs was cancelled: the polled one waits.
    fn finish_traversal(&mut self, traversal: DependencyTraversal) {
        let not_ended = traversal.prerequisites.iter().filter(|job| !self.directory.has_ended(job));
        let reply = if traversal.prerequisites.is_empty() {
            state_reply(&traversal.job, JobState::Queued, 0, 0)
        } else {
            Reply::json(200, &JobView::waiting(&traversal.job, not_ended))
        };
        self.reply(traversal.requester, reply);
    }

    /// Reads a record of the next job.
    fn read_in_traversal(&mut self, mut read: TraversalRead) {
        read.traversal.read_count += 1;
        if read.traversal.read_count > MAX_READS || !self.admits(TrafficClass::RecordRead) {
            return self.reply(read.traversal.requester, Reply::busy(BusyReason::TooManyPrerequisites));
        }
        let request = read.reading.request(&read.job);
        self.call_state(request, DependencyOperation::Traverse(Box::new(read)));
    }

    /// Handles the answer to the read of a record in the course of a traversal.
    pub(super) fn traversal_answered(&mut self, read: TraversalRead, answer: StateResult) {
        let TraversalRead { mut traversal, job, reading } = read;
        match reading.interpret(answer) {
            JobRecordAnswer::Live(found) => self.live_record_traversed(traversal, found.record),
            JobRecordAnswer::Final(end) => {
                self.directory.record_end(job.clone(), end);
                // The job is looked at again, now that its end is known.
                traversal.unvisited.push(job);
                self.continue_traversal(traversal);
            }
            JobRecordAnswer::NotLive => {
                self.read_in_traversal(TraversalRead { traversal, job, reading: JobRecordKind::Final });
            }
            JobRecordAnswer::NoSuchJob | JobRecordAnswer::Unreadable(_) | JobRecordAnswer::Unanswered => {
                let reply = Reply::busy(BusyReason::PrerequisiteUnreadable);
                self.reply(traversal.requester, reply);
            }
        }
    }

    /// A job on the way has not ended: what it depends on has to be looked at too.
    fn live_record_traversed(&mut self, mut traversal: DependencyTraversal, record: LiveRecord) {
        if record.parts > 0 {
            return self.reply(traversal.requester, Reply::busy(BusyReason::TooManyPrerequisites));
        }
        // All prerequisites of a job that does not wait any more are done.
        if record.is_waiting() {
            traversal.add_unseen(record.job.prerequisites);
        }
        self.continue_traversal(traversal);
    }
}
