//! Dependency traversal: answers a poll of a waiting job from the records alone, by following the records from
//! prerequisite to prerequisite in search of one that was cancelled.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::job_record_reads::{JobRecordAnswer, JobRecordKind};
use super::operations::{DependencyOperation, DependencyTraversal, TraversalRead};
use super::replies::{StateSource, withdrawn_view};
use crate::coordination::state_admission::TrafficClass;
use crate::model::{FinalState, JobId};
use crate::protocol::state::StateResult;
use crate::protocol::users::{JobState, JobView};
use crate::protocol::{BusyReason, Reply};
use crate::storage::records::LiveRecord;
use crate::time::Time;

/// Maximum number of records that are read for one poll.
const MAX_READS: u32 = 64;

impl DependencyTraversal {
    /// Creates the traversal that begins at the job with the given live record, whose read was sent at `sent_at`.
    fn new(requester: Requester, record: &LiveRecord, sent_at: Time) -> DependencyTraversal {
        let prerequisites = record.job.prerequisites.clone();
        DependencyTraversal {
            requester,
            job: record.job.id.clone(),
            sent_at,
            unvisited: prerequisites.clone(),
            seen: prerequisites.iter().cloned().collect(),
            prerequisites,
            read_count: 0,
        }
    }

    /// Returns the records that were read so far as the source of the polled job's state.
    fn source(&self) -> StateSource {
        StateSource::Records { reads: self.read_count }
    }

    /// Adds those of the jobs that were not seen before to the jobs that have to be visited.
    fn add_unseen(&mut self, jobs: Vec<JobId>) {
        let unseen = jobs.into_iter().filter(|job| self.seen.insert(job.clone()));
        self.unvisited.extend(unseen);
    }
}

impl Controller {
    /// Answers a poll of a job from its live record `record`, from the records of its direct and indirect
    /// prerequisites, and from the ends that this node knows. The read of `record` was sent at `sent_at`, after the
    /// poll arrived; all other records are read later. If the prerequisites are in part records, replies "busy", since
    /// only the leader can answer.
    pub(in crate::coordination) fn traverse_dependencies(
        &mut self,
        requester: Requester,
        record: &LiveRecord,
        sent_at: Time,
    ) {
        if record.parts > 0 {
            return self.reply(requester, Reply::busy(BusyReason::LeaderMustAnswer));
        }
        self.continue_traversal(DependencyTraversal::new(requester, record, sent_at));
    }

    /// Visits the next job that is not known to be done. Answers the poll if that job is cancelled or no job is left.
    fn continue_traversal(&mut self, mut traversal: DependencyTraversal) {
        while let Some(job) = traversal.unvisited.pop() {
            match self.directory.end_of(&job).map(|end| end.state) {
                Some(FinalState::Done) => {}
                Some(FinalState::Cancelled) => {
                    let view = withdrawn_view(&traversal.job, job);
                    let source = traversal.source();
                    return self.reply_about_dependent(traversal.requester, &view, source, traversal.sent_at);
                }
                None => {
                    return self.read_in_traversal(TraversalRead { traversal, job, record_kind: JobRecordKind::Live });
                }
            }
        }
        self.finish_traversal(traversal);
    }

    /// Answers the poll after no cancelled job was found: the polled job waits, or is queued if its record names no
    /// prerequisites.
    fn finish_traversal(&mut self, traversal: DependencyTraversal) {
        let not_ended = traversal.prerequisites.iter().filter(|job| !self.directory.has_ended(job));
        let view = if traversal.prerequisites.is_empty() {
            JobView::new(&traversal.job, JobState::Queued, 0, 0)
        } else {
            JobView::waiting(&traversal.job, not_ended)
        };
        let source = traversal.source();
        self.reply_about_dependent(traversal.requester, &view, source, traversal.sent_at);
    }

    /// Sends a read of a record, or replies "busy" if the traversal has read too many records or the rate limits admit
    /// no read.
    fn read_in_traversal(&mut self, mut read: TraversalRead) {
        read.traversal.read_count += 1;
        if read.traversal.read_count > MAX_READS || !self.admits(TrafficClass::RecordRead) {
            return self.reply(read.traversal.requester, Reply::busy(BusyReason::TooManyPrerequisites));
        }
        let request = read.record_kind.request(&read.job);
        self.call_state(request, DependencyOperation::Traverse(Box::new(read)));
    }

    /// Handles the answer to the read of a record during a traversal.
    pub(super) fn traversal_answered(&mut self, read: TraversalRead, answer: StateResult) {
        let TraversalRead { mut traversal, job, record_kind } = read;
        match record_kind.interpret(answer) {
            JobRecordAnswer::Live(found) => self.live_record_traversed(traversal, found.record),
            JobRecordAnswer::Final(end) => {
                self.directory.record_end(job.clone(), end);
                // The job is visited again, now that its end is cached.
                traversal.unvisited.push(job);
                self.continue_traversal(traversal);
            }
            JobRecordAnswer::NotLive => {
                self.read_in_traversal(TraversalRead { traversal, job, record_kind: JobRecordKind::Final });
            }
            JobRecordAnswer::NoSuchJob | JobRecordAnswer::Unreadable(_) | JobRecordAnswer::Unanswered => {
                let reply = Reply::busy(BusyReason::PrerequisiteUnreadable);
                self.reply(traversal.requester, reply);
            }
        }
    }

    /// Continues the traversal after visiting a job that has not ended: its prerequisites have to be visited too.
    fn live_record_traversed(&mut self, mut traversal: DependencyTraversal, record: LiveRecord) {
        if record.parts > 0 {
            return self.reply(traversal.requester, Reply::busy(BusyReason::TooManyPrerequisites));
        }
        // All prerequisites of a job that no longer waits are done.
        if record.is_waiting() {
            traversal.add_unseen(record.job.prerequisites);
        }
        self.continue_traversal(traversal);
    }
}
