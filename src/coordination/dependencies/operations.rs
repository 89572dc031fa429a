//! Calls to the state service that concern jobs with prerequisites, with what is kept until the answer comes.

use super::super::events::Requester;
use super::super::job_record_reads::{JobRecordKind, VersionedRecord};
use super::super::user_requests::{NewJob, Submission};
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::JobId;
use crate::storage::records::{EndRecord, LiveRecord};
use std::collections::HashSet;

/// A call to the state service that concerns jobs with prerequisites.
pub(in crate::coordination) enum DependencyOperation {
    /// Writes or reads the record of a waiting job.
    WaitingJob { leadership: LeadershipTerm, job: JobId, operation: WaitingRecordOperation },
    /// Lists final records to learn how prerequisites have ended that are not in memory.
    ListFinalRecords { leadership: LeadershipTerm },
    /// Reads prerequisites that are kept in records of their own.
    ReadPart(Box<PartRead>),
    /// Writes prerequisites that are kept in records of their own.
    WriteParts(Box<NewJob>),
    /// Removes such a record.
    RemovePart,
    /// Checks that a prerequisite of a new job was accepted.
    CheckPrerequisite(Box<PrerequisiteCheck>),
    /// Reads the next record of a dependency traversal.
    Traverse(Box<TraversalRead>),
}

impl DependencyOperation {
    /// The class of traffic by which the call is admitted.
    pub fn traffic_class(&self) -> TrafficClass {
        match self {
            DependencyOperation::WaitingJob { .. } => TrafficClass::WaitingRecord,
            DependencyOperation::ListFinalRecords { .. } => TrafficClass::BackgroundRead,
            DependencyOperation::ReadPart(_) => TrafficClass::Recovery,
            DependencyOperation::WriteParts(_) => TrafficClass::Acceptance,
            DependencyOperation::RemovePart => TrafficClass::StaleRecord,
            DependencyOperation::CheckPrerequisite(_) | DependencyOperation::Traverse(_) => TrafficClass::RecordRead,
        }
    }

    /// The term that was a condition of the transaction, if there was one.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            DependencyOperation::WaitingJob { leadership, .. } => Some(*leadership),
            _ => None,
        }
    }
}

/// What is written or read of a waiting job's record.
#[derive(Debug)]
pub(in crate::coordination) enum WaitingRecordOperation {
    /// Writes the ordinary record of a job all of whose prerequisites are done.
    Release(Box<LiveRecord>),
    /// Writes the final record of a job that is cancelled or withdrawn.
    End(EndRecord),
    /// Reads the live record, since it is not known what became of a write.
    ReadLive,
    /// Reads the final record, since there is no live record.
    ReadFinal,
}

/// A read of some of the prerequisites of a job that is being loaded.
pub(in crate::coordination) struct PartRead {
    /// The shard that the job belongs to, and the leadership term in which the job is loaded.
    pub(super) leadership: LeadershipTerm,
    /// The job's record, with the prerequisites that were read so far.
    pub(super) found: VersionedRecord,
    /// The number of the part that is being read.
    pub(super) part: u32,
}

/// A check that all prerequisites of a submitted job were accepted, one after the other.
pub(in crate::coordination) struct PrerequisiteCheck {
    /// What was submitted.
    pub(super) submission: Submission,
    /// The prerequisites that still have to be checked, the one whose record is being read last.
    pub(super) unchecked: Vec<JobId>,
    /// Which of its records is being read.
    pub(super) reading: JobRecordKind,
}

/// A search through the records for a cancelled job among all that a waiting job depends on, directly or through other
/// jobs. A controller answers polls in this way that does not have all of these jobs in memory.
pub(in crate::coordination) struct DependencyTraversal {
    /// Who waits for the reply.
    pub(super) requester: Requester,
    /// The job that was polled.
    pub(super) job: JobId,
    /// The prerequisites that its record names.
    pub(super) prerequisites: Vec<JobId>,
    /// Jobs that still have to be looked at.
    pub(super) unvisited: Vec<JobId>,
    /// All jobs that were ever put there: each is looked at once.
    pub(super) seen: HashSet<JobId>,
    /// How many records were read.
    pub(super) read_count: u32,
}

/// A read of one record in the course of a dependency traversal.
pub(in crate::coordination) struct TraversalRead {
    /// The traversal that goes on with the answer.
    pub(super) traversal: DependencyTraversal,
    /// The job whose record is read.
    pub(super) job: JobId,
    /// Which of its records is read.
    pub(super) reading: JobRecordKind,
}
