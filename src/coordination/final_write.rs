//! What the leader of a shard knows about the write of one job's final record.

use super::leadership_term::LeadershipTerm;
use crate::model::{FinalState, JobId, Revision};
use std::fmt;

/// The write of a job's final record, as long as its outcome is not known to the leader. Other controllers may read the
/// final record and report it before the leader learns of the outcome.
#[derive(Default)]
pub(in crate::coordination) struct FinalWrite {
    /// Write that may be executed or may have been executed. `None` if there is none.
    pending: Option<PendingWrite>,
}

/// Write of a final record without a known outcome.
struct PendingWrite {
    /// Final state that the record contains.
    state: FinalState,
    /// `true` if a write had no answer: it may be executed at any time until the live record has another version, even
    /// if later writes are refused.
    is_in_doubt: bool,
}

/// Observation that ends the doubt about the write of a final record.
#[derive(Clone, Copy, Debug)]
pub(in crate::coordination) enum WriteOutcome {
    /// The final record is stored.
    Recorded,
    /// The live record has this new version, so no write that is conditional on the earlier version can be executed.
    Superseded(Revision),
}

impl fmt::Display for WriteOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteOutcome::Recorded => write!(f, "the final record is stored"),
            WriteOutcome::Superseded(version) => write!(f, "the live record has the new version {version}"),
        }
    }
}

impl FinalWrite {
    /// Records that a final record with the given state is being written.
    pub fn sent(&mut self, state: FinalState) {
        let is_in_doubt = self.is_in_doubt();
        self.pending = Some(PendingWrite { state, is_in_doubt });
    }

    /// Records that the write in flight was refused and thus not executed. An earlier write without an answer may still
    /// be executed.
    pub fn refused(&mut self) {
        self.pending.take_if(|write| !write.is_in_doubt);
    }

    /// Records that the write in flight had no conclusive answer.
    pub fn unanswered(&mut self, job: &JobId, leadership: LeadershipTerm) {
        let Some(write) = self.pending.as_mut().filter(|write| !write.is_in_doubt) else { return };
        write.is_in_doubt = true;
        log::info!(
            "job {job}: the write of its final state {:?} in term {} of shard {} had no answer and may still be \
             executed; not reporting the state of the job until its record is known",
            write.state,
            leadership.term,
            leadership.shard
        );
    }

    /// Records that the write has the given outcome, or can't be executed any more.
    pub fn settled(&mut self, job: &JobId, outcome: WriteOutcome) {
        if let Some(write) = self.pending.take().filter(|write| write.is_in_doubt) {
            log::info!("job {job}: the write of its final state {:?} is no longer in doubt: {outcome}", write.state);
        }
    }

    /// Returns `true` if the final record may be stored with the given state, or may be stored at any time.
    pub fn may_record(&self, state: FinalState) -> bool {
        self.pending.as_ref().is_some_and(|write| write.state == state)
    }

    /// Returns `true` if a write had no answer and may still be executed.
    pub fn is_in_doubt(&self) -> bool {
        self.pending.as_ref().is_some_and(|write| write.is_in_doubt)
    }
}
