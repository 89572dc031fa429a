//! Steps of writing and reading the records of waiting jobs, their order and urgency, and the status reported to users
//! in the meantime.

use crate::model::{JobId, Priority};

/// The next step for the record of a waiting job.
pub(in crate::coordination) enum RecordStep {
    /// Reading the record, because the outcome of a write is unknown.
    Read,
    /// Replacing the record by a final record, because the user has asked to cancel the job or its direct or indirect
    /// prerequisite `cause` was cancelled.
    End { cause: Option<JobId> },
    /// Replacing the record by that of a runnable job, because all prerequisites are done.
    Release,
    /// No step for now.
    Wait,
}

/// The urgency of writing the record of a waiting job.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination) enum WriteUrgency {
    /// A user waits for the write, or tasks can be started once the record is written.
    Awaited,
    /// The write may be deferred, since the record only repeats what is reported to users already.
    Deferrable,
}

/// The order in which due records are written: first those with a waiting user, then those of ready jobs, and then
/// those that only repeat what is reported to users already. Within each group, more urgent jobs come first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination) struct WriteOrder<'a> {
    /// `true` if no user waits for the outcome of the write.
    pub no_user_waits: bool,
    /// `true` if some prerequisites are not done.
    pub not_ready: bool,
    /// Own or inherited priority of the job, whichever is higher.
    pub priority: Priority,
    /// Own or inherited due time of the job in wall-clock milliseconds, whichever is earlier; `u64::MAX` without a
    /// deadline.
    pub due_ms: u64,
    /// Id of the job, which makes the order unambiguous.
    pub job: &'a JobId,
}

/// The status of a waiting job that may be reported to users.
pub(in crate::coordination) enum WaitingStatus {
    /// Some prerequisites of the job are still being read.
    Loading,
    /// The given direct or indirect prerequisite was cancelled, and the job was withdrawn because of that.
    Withdrawn(JobId),
    /// The status depends on the outcome of a write of the job's own record.
    WriteInProgress,
    /// The status depends on the outcome of a write of a direct or indirect prerequisite's record.
    PrerequisiteInDoubt,
    /// Some direct or indirect prerequisites are not in memory.
    PrerequisitesUnknown,
    /// The job waits, and none of its direct or indirect prerequisites was cancelled.
    Waiting,
}
