//! Replies about jobs with prerequisites, with the knowledge that each of them rests on.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::user_requests::final_view;
use super::final_record::cancelled_before_start;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::JobId;
use crate::protocol::users::{JobState, JobView};
use crate::time::Time;
use std::fmt;

/// Knowledge from which the state of a job with prerequisites was derived.
#[derive(Clone, Copy, Debug)]
pub(super) enum StateSource {
    /// The memory of the leader of the job's shard, in this term.
    Memory(LeadershipTerm),
    /// The records of the job and of its direct and indirect prerequisites, read after the request arrived.
    Records {
        /// Number of records that were read.
        reads: u32,
    },
}

/// Kind of a reply about a job with prerequisites, for the statistics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination) struct DependentReplyKind {
    /// `true` if the job is reported as withdrawn, `false` if it is reported as waiting or queued.
    is_withdrawn: bool,
    /// `true` if the state was derived from the leader's memory, `false` if it was derived from the records.
    from_memory: bool,
}

impl fmt::Display for StateSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateSource::Memory(leadership) => {
                write!(f, "memory of the leader of shard {} in term {}", leadership.shard, leadership.term)
            }
            StateSource::Records { reads } => write!(f, "{reads} records read for the request"),
        }
    }
}

impl fmt::Display for DependentReplyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_withdrawn { "withdrawn" } else { "waiting" };
        let source = if self.from_memory { "memory" } else { "records" };
        write!(f, "{state} from {source}")
    }
}

/// Returns the view of a job that was withdrawn because its direct or indirect prerequisite `cause` was cancelled.
pub(super) fn withdrawn_view(id: &JobId, cause: JobId) -> JobView {
    final_view(id, &cancelled_before_start(Some(cause)))
}

impl Controller {
    /// Replies with the state of a job with prerequisites that was derived at `derived_at`, or from records whose reads
    /// were sent then or later.
    pub(super) fn reply_about_dependent(
        &mut self,
        requester: Requester,
        view: &JobView,
        source: StateSource,
        derived_at: Time,
    ) {
        let is_withdrawn = view.state == JobState::Cancelled;
        let from_memory = matches!(source, StateSource::Memory(_));
        self.statistics.record_dependent_reply(DependentReplyKind { is_withdrawn, from_memory });
        log::debug!("job {}: reported as {:?} to {requester:?} from {source}", view.id, view.state);
        self.reply_with_state(requester, 200, view, derived_at);
    }
}
