//! Construction of final records and of the transactions that write them.

use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::{FinalState, JobId, Revision};
use crate::protocol::state::{Change, Condition, StateCall};
use crate::storage::keys;
use crate::storage::records::{FinalRecord, to_value};

/// Returns the transaction that replaces the live record of a job, in the given version, by its final record.
pub(in crate::coordination) fn final_record_request(
    leadership: LeadershipTerm,
    id: &JobId,
    version: Revision,
    end: &FinalRecord,
) -> StateCall {
    let (live_key, final_key) = (keys::live_key(id), keys::final_key(id));
    StateCall::Commit {
        conditions: vec![
            leadership.condition(),
            Condition::version(live_key.clone(), version),
            Condition::absent(final_key.clone()),
        ],
        changes: vec![Change::Delete(live_key), Change::Put { key: final_key, value: to_value(end), lease: None }],
    }
}

/// Returns the final record of a job that was cancelled while it waited for prerequisites: because its direct or
/// indirect prerequisite `cause` was cancelled, or by its user if `cause` is `None`.
pub(super) fn cancelled_before_start(cause: Option<JobId>) -> FinalRecord {
    FinalRecord { state: FinalState::Cancelled, done: 0, cause }
}
