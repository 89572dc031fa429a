//! Reasons for which a client is asked to retry a request.

use std::fmt;

/// Reason for which a client is asked to retry a request later. Refusals are counted by reason for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BusyReason {
    /// The record of the job or machine cannot be parsed.
    RecordUnreadable,
    /// The record of a prerequisite of a submitted job cannot be parsed.
    AnyRecordUnreadable,
    /// The record of a prerequisite, direct or indirect, of a polled job is missing, unreadable or could not be read.
    PrerequisiteUnreadable,
    /// The machine is being deleted at the cloud.
    MachineBeingDeleted,
    /// The new leader is still loading the shard from the records.
    ShardBeingLoaded,
    /// The machine is being registered, or this node does not lead the machine's shard.
    BeingRecorded,
    /// The rate limit does not admit the read of a machine's record now.
    TooManyMachineReads,
    /// The leadership of the machine's shard was lost before the heartbeat was answered.
    LeadershipLost,
    /// The machine was deleted at the cloud; the heartbeat was delayed or delivered twice.
    MachineGone,
    /// The forecast for the job has not been computed yet.
    ForecastPending,
    /// A deposed leader may still serve reads, so a cancellation cannot be recorded yet.
    LeadershipOverlap,
    /// The write of the job's final record is in progress or in doubt.
    FinalWritePending,
    /// The write of a prerequisite's final record is in progress or in doubt.
    PrerequisiteWritePending,
    /// The state that was to be reported contradicts the final state of the job.
    FinalStateContradicted,
    /// No leader of the shard can be reached from this node.
    LeaderUnreachable,
    /// The job has part records, so only the leader of the shard can answer.
    LeaderMustAnswer,
    /// The machine types have not been read from the cloud yet.
    NoCatalog,
    /// For a read from memory, the last confirmation of the leadership term is too old. For a submission that this node
    /// accepts instead of the leader, the term is unknown or this node has no node lease.
    NotConfirmed,
    /// The leader lease is not valid, so this node may not decide for the shard.
    LeaseInvalid,
    /// The job's team is not configured, so that no shard can be chosen.
    NoShard,
    /// The node that received the request does not lead the shard, or has not loaded it yet.
    NotLeader,
    /// The node is not ready to serve users.
    NotReady,
    /// The machine already has a record: another shard has written it, the answer to an earlier write was lost, or the
    /// machine was transferred. The record is being read.
    RecordedBefore,
    /// The state service refused the call or did not answer.
    StateUnreachable,
    /// The leader of the shard did not answer the forwarded request in time.
    LeaderTimedOut,
    /// The leadership of the shard changed while the job was being recorded.
    TermReplaced,
    /// The shard is being loaded, or the leader lease is not valid.
    ShardNotReady,
    /// The rate limit does not admit the read of a job's record now.
    TooManyReads,
    /// The rate limit does not admit the write of a new job's record now.
    TooManySubmissions,
    /// The job's record existed when it was to be written, but was not found afterwards.
    TryAgain,
    /// The machine has more tasks to be stopped than one answer can stop.
    TooManyStops,
    /// The rate limit did not admit the write of the machine's record in time.
    RegistrationDelayed,
    /// The records of the job's prerequisites are being read.
    LoadingPrerequisites,
    /// More records of prerequisites would have to be read than one request may read or the rate limit admits, or a
    /// prerequisite has part records.
    TooManyPrerequisites,
}

impl fmt::Display for BusyReason {
    /// Writes the text for the body of the reply. The texts are part of the protocol and the same in all versions.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BusyReason::RecordUnreadable => "its record can't be read",
            BusyReason::AnyRecordUnreadable => "a record can't be read",
            BusyReason::PrerequisiteUnreadable => "the record of a job that it needs can't be read",
            BusyReason::MachineBeingDeleted => "being given back",
            BusyReason::ShardBeingLoaded => "being loaded",
            BusyReason::BeingRecorded => "being recorded",
            BusyReason::TooManyMachineReads => "busy",
            BusyReason::LeadershipLost => "changing hands",
            BusyReason::MachineGone => "it is gone",
            BusyReason::ForecastPending => "its forecast is being made",
            BusyReason::LeadershipOverlap => "its former holder may not know yet that it was replaced",
            BusyReason::FinalWritePending => "its record is being written",
            BusyReason::PrerequisiteWritePending => "the record of a job that it needs is being written",
            BusyReason::FinalStateContradicted => "its state is not certain",
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
            BusyReason::TooManyStops => "its tasks are being stopped",
            BusyReason::RegistrationDelayed => "waits to be recorded",
            BusyReason::LoadingPrerequisites => "the jobs that it needs are being read",
            BusyReason::TooManyPrerequisites => "it needs too many jobs to look at them all",
        })
    }
}
