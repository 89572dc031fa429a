//! Calls to the state service for jobs with prerequisites, with the context that is needed to handle their answers.

use super::super::events::Requester;
use super::super::job_record_reads::{JobRecordKind, VersionedRecord};
use super::super::user_requests::{NewJob, Submission};
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::JobId;
use crate::storage::records::{FinalRecord, LiveRecord};
use crate::time::Time;
use std::collections::HashSet;

/// A call to the state service for a job with prerequisites.
pub(in crate::coordination) enum DependencyOperation {
    /// Writes or reads the record of a waiting job.
    WaitingJob { leadership: LeadershipTerm, job: JobId, operation: WaitingRecordOperation },
    /// Lists final records to find the ends of prerequisites that are not in memory.
    ListFinalRecords { leadership: LeadershipTerm },
    /// Reads a part record of a job that is being loaded.
    ReadPart(Box<PartRead>),
    /// Writes part records of a new job.
    WriteParts(Box<NewJob>),
    /// Removes an obsolete part record.
    RemovePart,
    /// Reads a record to check that a prerequisite of a new job was accepted.
    CheckPrerequisite(Box<PrerequisiteCheck>),
    /// Reads the next record of a dependency traversal.
    Traverse(Box<TraversalRead>),
}

impl DependencyOperation {
    /// Returns the traffic class under which the call is admitted.
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

    /// Returns the leadership term that a commit of this operation is conditional on, if any.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            DependencyOperation::WaitingJob { leadership, .. } => Some(*leadership),
            _ => None,
        }
    }
}

/// A write or read of a waiting job's record.
#[derive(Debug)]
pub(in crate::coordination) enum WaitingRecordOperation {
    /// Replaces the record by that of a runnable job, because all prerequisites are done.
    Release(Box<LiveRecord>),
    /// Replaces the record by a final record, because the job is cancelled or withdrawn.
    End(FinalRecord),
    /// Reads the live record, because the outcome of a write is unknown.
    ReadLive,
    /// Reads the final record, because there is no live record.
    ReadFinal,
}

/// A read of a part record of a job that is being loaded.
pub(in crate::coordination) struct PartRead {
    /// Shard that the job belongs to, and leadership term in which the job is loaded.
    pub(super) leadership: LeadershipTerm,
    /// Live record of the job, with the prerequisites that were read so far.
    pub(super) found: VersionedRecord,
    /// Number of the part that is being read, beginning with 0.
    pub(super) part: u32,
}

/// A check that all prerequisites of a submitted job were accepted. The prerequisites are checked one after the other.
pub(in crate::coordination) struct PrerequisiteCheck {
    /// Submission that is accepted if the check succeeds.
    pub(super) submission: Submission,
    /// Prerequisites that still have to be checked. The record of the last one is being read.
    pub(super) unchecked: Vec<JobId>,
    /// Kind of the record that is being read.
    pub(super) record_kind: JobRecordKind,
}

/// A search through the records for a cancelled job among the direct and indirect prerequisites of a waiting job. A
/// controller answers a poll in this way if it does not have all of these jobs in memory.
pub(in crate::coordination) struct DependencyTraversal {
    /// Requester that waits for the reply.
    pub(super) requester: Requester,
    /// Job that was polled.
    pub(super) job: JobId,
    /// Time at which the read of the polled job's record was sent.
    pub(super) sent_at: Time,
    /// Prerequisites named by the record of the polled job.
    pub(super) prerequisites: Vec<JobId>,
    /// Jobs that still have to be visited.
    pub(super) unvisited: Vec<JobId>,
    /// All jobs ever added to `unvisited`, so that each of them is added only once.
    pub(super) seen: HashSet<JobId>,
    /// Number of records that were read.
    pub(super) read_count: u32,
}

/// A read of one record during a dependency traversal.
pub(in crate::coordination) struct TraversalRead {
    /// Traversal that continues with the answer.
    pub(super) traversal: DependencyTraversal,
    /// Job whose record is read.
    pub(super) job: JobId,
    /// Kind of the record that is read.
    pub(super) record_kind: JobRecordKind,
}
