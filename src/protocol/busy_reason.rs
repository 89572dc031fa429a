//! Why a request is not answered now.

use std::fmt;

/// Why a client is asked to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BusyReason {
    /// The job's record cannot be parsed.
    RecordUnreadable,
    /// A record that is needed cannot be parsed.
    AnyRecordUnreadable,
    /// The record of a prerequisite cannot be parsed.
    PrerequisiteUnreadable,
    /// The machine is being returned.
    BeingReturned,
    /// The shard's records are being read.
    BeingLoaded,
    /// The machine's record is being written.
    BeingRecorded,
    /// No read of a machine's record is admitted now.
    TooManyMachineReads,
    /// This node does not lead the machine's shard any more.
    LeadershipLost,
    /// The machine was returned.
    MachineGone,
    /// The forecast is not made yet.
    ForecastPending,
    /// A deposed leader may still serve reads.
    LeadershipOverlap,
    /// A final write is on its way or in doubt.
    FinalWritePending,
    /// The same for a prerequisite.
    PrerequisiteWritePending,
    /// The shard has no leader that this node can reach.
    LeaderUnreachable,
    /// Only the leader can answer.
    LeaderMustAnswer,
    /// The machine types are not known yet.
    NoCatalog,
    /// The term was not confirmed lately enough to answer from memory.
    NotConfirmed,
    /// The leader lease is not valid.
    LeaseInvalid,
    /// There is no shard for the job's team.
    NoShard,
    /// This node does not lead the shard.
    NotLeader,
    /// This node cannot take requests of users.
    NotReady,
    /// The machine was recorded before; its record is being read.
    RecordedBefore,
    /// The state service refused the call or did not answer.
    StateUnreachable,
    /// The leader did not answer in time.
    LeaderTimedOut,
    /// The leadership changed while the job was being recorded.
    TermReplaced,
    /// The shard is being loaded, or the leader lease is not valid.
    ShardNotReady,
    /// No read of a job's record is admitted now.
    TooManyReads,
    /// No record of a new job is admitted now.
    TooManySubmissions,
    /// The record was written and is gone again.
    TryAgain,
    /// No write of a machine's record was admitted in time.
    RegistrationDelayed,
    /// The job's prerequisites are being read.
    LoadingPrerequisites,
    /// More records would have to be read than one request may.
    TooManyPrerequisites,
}

impl fmt::Display for BusyReason {
    /// Writes the text in the reply's body. Clients have been told these texts by all versions.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BusyReason::RecordUnreadable => "its record can't be read",
            BusyReason::AnyRecordUnreadable => "a record can't be read",
            BusyReason::PrerequisiteUnreadable => "the record of a job that it needs can't be read",
            BusyReason::BeingReturned => "being given back",
            BusyReason::BeingLoaded => "being loaded",
            BusyReason::BeingRecorded => "being recorded",
            BusyReason::TooManyMachineReads => "busy",
            BusyReason::LeadershipLost => "changing hands",
            BusyReason::MachineGone => "it is gone",
            BusyReason::ForecastPending => "its forecast is being made",
            BusyReason::LeadershipOverlap => "its former holder may not know yet that it was replaced",
            BusyReason::FinalWritePending => "its record is being written",
            BusyReason::PrerequisiteWritePending => "the record of a job that it needs is being written",
            BusyReason::LeaderUnreachable => "its shard is changing hands",
            BusyReason::LeaderMustAnswer => "its shard's holder has to be asked",
            BusyReason::NoCatalog => "machine types not known yet",
            BusyReason::NotConfirmed => "no fresh state",
            BusyReason::LeaseInvalid => "no right to",
            BusyReason::NoShard => "no shard to put it in",
            BusyReason::NotLeader => "not held here",
            BusyReason::NotReady => "not ready",
            BusyReason::RecordedBefore => "recorded before",
            BusyReason::StateUnreachable => "state not reachable",
            BusyReason::LeaderTimedOut => "the job's node does not answer",
            BusyReason::TermReplaced => "the shard is changing hands",
            BusyReason::ShardNotReady => "the shard is not ready",
            BusyReason::TooManyReads => "too many questions",
            BusyReason::TooManySubmissions => "too many submissions",
            BusyReason::TryAgain => "try again",
            BusyReason::RegistrationDelayed => "waits to be recorded",
            BusyReason::LoadingPrerequisites => "the jobs that it needs are being read",
            BusyReason::TooManyPrerequisites => "it needs too many jobs to look at them all",
        })
    }
}
