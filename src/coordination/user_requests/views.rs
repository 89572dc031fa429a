//! Views of jobs that are reported to users.

use super::super::shard::Job;
use crate::model::{FinalState, JobId};
use crate::protocol::users::{JobState, JobView};
use crate::storage::records::FinalRecord;

/// Returns the view of a job that has ended according to its final record.
pub(in crate::coordination) fn final_view(id: &JobId, end: &FinalRecord) -> JobView {
    let state = match end.state {
        FinalState::Done => JobState::Done,
        FinalState::Cancelled => JobState::Cancelled,
    };
    JobView { withdrawn_with: end.cause.clone(), ..JobView::new(id, state, end.done, 0) }
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

/// Returns the view of a job that is in memory, or `None` if its state may not be reported now.
pub(super) fn live_view(job: &Job) -> Option<JobView> {
    let (done, running) = (job.progress.done.len(), job.progress.running.len() as u32);
    live_state(job).map(|state| JobView::new(&job.spec.id, state, done, running))
}
