//! Replies that report the state of a job.

use super::super::shard::Job;
use crate::model::{FinalState, JobId};
use crate::protocol::users::{JobState, JobView};
use crate::protocol::{BusyReason, Reply};
use crate::storage::records::FinalRecord;

/// Returns the reply that reports a job's state, with its numbers of completed and running tasks.
pub(super) fn state_reply(id: &JobId, state: JobState, done: u32, running: u32) -> Reply {
    Reply::json(200, &JobView::new(id, state, done, running))
}

/// Returns the view of a job that has ended according to its final record.
pub(in crate::coordination) fn final_view(id: &JobId, end: &FinalRecord) -> JobView {
    let state = match end.state {
        FinalState::Done => JobState::Done,
        FinalState::Cancelled => JobState::Cancelled,
    };
    JobView { withdrawn_with: end.cause.clone(), ..JobView::new(id, state, end.done, 0) }
}

/// Returns the reply that reports the end of a job according to its final record.
pub(super) fn final_reply(id: &JobId, end: &FinalRecord) -> Reply {
    Reply::json(200, &final_view(id, end))
}

/// Returns the state of a live job that may be reported to users, or `None` if they have to retry.
pub(in crate::coordination) fn live_state(job: &Job) -> Option<JobState> {
    // While a write of the final record is in flight or in doubt, another controller may already have read the record
    // and reported the end. A job whose tasks are all done but whose final record is not being written yet is reported
    // as running.
    let final_record_may_exist = job.record.outcome_unknown
        || job.record.final_write.is_in_doubt()
        || job.ending.is_some() && job.record.call_in_flight;
    if final_record_may_exist || job.ending == Some(FinalState::Cancelled) {
        return None;
    }
    let runs = !job.progress.running.is_empty() || job.ending.is_some();
    Some(if runs { JobState::Running } else { JobState::Queued })
}

/// Returns the reply to a poll of a job that is in memory.
pub(super) fn live_reply(job: &Job) -> Reply {
    match live_state(job) {
        Some(state) => state_reply(&job.spec.id, state, job.progress.done.len(), job.progress.running.len() as u32),
        None => Reply::busy(BusyReason::FinalWritePending),
    }
}
