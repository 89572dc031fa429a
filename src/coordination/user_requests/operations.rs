//! Calls to the state service on behalf of users, with the context that is needed to handle their answers.

use super::super::events::Requester;
use super::super::job_record_reads::JobRecordKind;
use super::new_job::NewJob;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{JobId, Revision};
use crate::protocol::Reply;
use crate::time::Time;

/// A call to the state service on behalf of a user.
pub(in crate::coordination) enum UserOperation {
    /// Reads the record of a job that is not in memory.
    LookUp(Box<JobLookup>),
    /// Writes the first records of a new job.
    Accept(Box<NewJob>),
    /// Reads the live record of a job that another controller accepted for this shard. The read was sent at `sent_at`.
    ReadHandoff { leadership: LeadershipTerm, handoff: HandoffRecord, sent_at: Time },
    /// Removes the hand-off record with the given key, since its job is in memory or known to have ended.
    RemoveHandoff { handoff: String },
}

impl UserOperation {
    /// Returns the traffic class under which the call is admitted.
    pub fn traffic_class(&self) -> TrafficClass {
        match self {
            UserOperation::LookUp(_) => TrafficClass::RecordRead,
            UserOperation::Accept(_) => TrafficClass::Acceptance,
            UserOperation::ReadHandoff { .. } | UserOperation::RemoveHandoff { .. } => TrafficClass::Adoption,
        }
    }

    /// Returns the leadership term that the transaction is conditional on, if any.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            UserOperation::Accept(new_job) => Some(new_job.leadership_term()),
            _ => None,
        }
    }
}

/// A hand-off record in the state service.
pub(in crate::coordination) struct HandoffRecord {
    /// Key of the record, which contains the shard and the job id.
    pub(super) key: String,
    /// Version of the record when it was seen.
    pub(super) version: Revision,
}

/// A request about a job whose records are being read because the job is not in memory on this node.
pub(in crate::coordination) struct JobLookup {
    /// Requester that waits for the reply.
    pub(super) requester: Requester,
    /// Job that the request is about.
    pub(super) job: JobId,
    /// Request that the records are read for.
    pub(super) purpose: LookupPurpose,
    /// Kind of the record that is being read.
    pub(super) record_kind: JobRecordKind,
    /// Time at which the read of the live record was sent.
    pub(super) sent_at: Time,
}

/// The request that a job's records are read for.
pub(in crate::coordination) enum LookupPurpose {
    /// A poll of the job.
    Poll,
    /// A poll that has to be answered from the records alone, whichever controller leads the job's shard.
    DependencyTraversal,
    /// A cancellation of the job.
    Cancel,
    /// A request for the job's forecast.
    Forecast,
    /// A submission that can't be accepted: it is answered with the given reply, unless it repeats a submission that
    /// was accepted.
    Refuse(Reply),
    /// A submission whose commit failed because the job has a record already.
    AlreadyRecorded,
}
