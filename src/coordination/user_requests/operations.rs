//! Calls to the state service that requests of users lead to, with what is kept of a request until the answer comes.

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
    /// Records a new job.
    Accept(Box<NewJob>),
    /// Reads the record of a job that another controller accepted for this shard. `sent` is when the read was sent.
    ReadHandoff { leadership: LeadershipTerm, handoff: HandoffRecord, sent: Time },
    /// Removes the hand-off record under that key: its job is known here by now.
    RemoveHandoff { handoff: String },
}

impl UserOperation {
    /// The class of traffic by which the call is admitted.
    pub fn traffic_class(&self) -> TrafficClass {
        match self {
            UserOperation::LookUp(_) => TrafficClass::RecordRead,
            UserOperation::Accept(_) => TrafficClass::Acceptance,
            UserOperation::ReadHandoff { .. } | UserOperation::RemoveHandoff { .. } => TrafficClass::Adoption,
        }
    }

    /// The term that was a condition of the transaction, if there was one.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            UserOperation::Accept(new_job) => Some(new_job.leadership_term()),
            _ => None,
        }
    }
}

/// A hand-off record in the state service.
pub(in crate::coordination) struct HandoffRecord {
    /// Its key, which names the shard and the job.
    pub(super) key: String,
    /// The version in which it was seen.
    pub(super) version: Revision,
}

/// A request about a job whose record is being read because the job is not in memory here.
pub(in crate::coordination) struct JobLookup {
    /// Who waits for the reply.
    pub(super) requester: Requester,
    /// The job in question.
    pub(super) job: JobId,
    /// What the record is read for.
    pub(super) purpose: LookupPurpose,
    /// Which of the job's records is being read.
    pub(super) reading: JobRecordKind,
    /// When the read of the live record was sent.
    pub(super) sent: Time,
}

/// What the record of a job is read for.
pub(in crate::coordination) enum LookupPurpose {
    /// The user asked how the job stands.
    Poll,
    /// The user asked the same, and the answer has to come from the records alone, whichever controller leads the
    /// shard.
    DependencyTraversal,
    /// The user asked to cancel the job.
    Cancel,
    /// The user asked for the job's forecast.
    Forecast,
    /// The job can't be accepted: it gets this reply, unless its submission repeats one that was accepted.
    Refuse(Reply),
    /// The acceptance failed since the job is recorded already.
    AlreadyRecorded,
}
