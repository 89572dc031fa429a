//! Purposes of calls to the state service, by which answers are dispatched to the components that sent the calls.

use super::dependencies::{DependencyOperation, WaitingRecordOperation};
use super::forecasts::ForecastOperation;
use super::job_persistence::{JobOperation, JobRecordOperation};
use super::leadership::LeadershipOperation;
use super::leadership_term::LeadershipTerm;
use super::replica::ReplicatedRecords;
use super::shard_recovery::RecoveryOperation;
use super::state_admission::TrafficClass;
use super::user_requests::UserOperation;
use super::worker_heartbeats::MachineOperation;
use crate::model::{MachineId, ShardId};

/// Purpose of a call to the state service, with one variant for each component that handles answers.
pub(super) enum StateOperation {
    /// Node lease, leadership terms and liveness records.
    Leadership(LeadershipOperation),
    /// Reads of a shard's records after its leadership was acquired.
    Recovery(RecoveryOperation),
    /// Lists and watches of records for the replica.
    Replica(ReplicatedRecords),
    /// Reads and writes on behalf of users.
    User(UserOperation),
    /// Reads and writes of the records of queued and running jobs.
    Job(JobOperation),
    /// Reads and writes of the records of jobs that wait for prerequisites.
    Dependency(DependencyOperation),
    /// Reads and writes of the records of machines.
    Machine(MachineOperation),
    /// Reads and writes of the snapshots of learned run times.
    Forecast(ForecastOperation),
}

impl StateOperation {
    /// Returns the traffic class under which the call is admitted.
    pub fn traffic_class(&self) -> TrafficClass {
        match self {
            StateOperation::Leadership(_) => TrafficClass::Leadership,
            StateOperation::Recovery(_) => TrafficClass::Recovery,
            StateOperation::Replica(_) => TrafficClass::BackgroundRead,
            StateOperation::User(operation) => operation.traffic_class(),
            StateOperation::Job(operation) => operation.traffic_class(),
            StateOperation::Dependency(operation) => operation.traffic_class(),
            StateOperation::Machine(operation) => operation.traffic_class(),
            StateOperation::Forecast(_) => TrafficClass::BackgroundWrite,
        }
    }

    /// Returns the leadership term that was a condition of the transaction, or `None` if there was no such condition. A
    /// commit shows that this term was still in force. For a read of a job's record, which is no transaction, the term
    /// is that of the read.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            StateOperation::Leadership(operation) => operation.leadership_condition(),
            StateOperation::Recovery(operation) => operation.leadership_condition(),
            StateOperation::User(operation) => operation.leadership_condition(),
            StateOperation::Job(operation) => Some(operation.leadership),
            StateOperation::Dependency(operation) => operation.leadership_condition(),
            StateOperation::Machine(operation) => operation.leadership_condition(),
            StateOperation::Replica(_) | StateOperation::Forecast(_) => None,
        }
    }

    /// Returns the shard whose leadership the call acquires or releases, or `None` if it does neither.
    pub fn shard_changing_leadership(&self) -> Option<ShardId> {
        match self {
            StateOperation::Leadership(operation) => operation.shard_changing_leadership(),
            _ => None,
        }
    }

    /// Returns `true` if the call writes the first record of the given machine.
    pub fn registers(&self, machine: &MachineId) -> bool {
        matches!(self, StateOperation::Machine(operation) if operation.registers(machine))
    }

    /// Returns `true` if the call looks up the record of a job that is not in memory.
    pub fn is_job_lookup(&self) -> bool {
        matches!(self, StateOperation::User(UserOperation::LookUp(_)))
    }

    /// Returns the leadership term under which a record is read, or `None` if the answer is valid in any term. An
    /// answer with a term is valid only while that term is in force.
    pub fn read_term(&self) -> Option<LeadershipTerm> {
        match self {
            StateOperation::User(UserOperation::ReadHandoff { leadership, .. })
            | StateOperation::Job(JobOperation { leadership, operation: JobRecordOperation::ReadLive, .. })
            | StateOperation::Dependency(DependencyOperation::WaitingJob {
                leadership,
                operation: WaitingRecordOperation::ReadLive,
                ..
            })
            | StateOperation::Machine(MachineOperation::ReadRecord { leadership }) => Some(*leadership),
            _ => None,
        }
    }
}

macro_rules! from_component_operation {
    ($($variant:ident($operation:ty)),+ $(,)?) => {
        $(impl From<$operation> for StateOperation {
            fn from(operation: $operation) -> StateOperation {
                StateOperation::$variant(operation)
            }
        })+
    };
}

from_component_operation!(
    Leadership(LeadershipOperation),
    Recovery(RecoveryOperation),
    Replica(ReplicatedRecords),
    User(UserOperation),
    Job(JobOperation),
    Dependency(DependencyOperation),
    Machine(MachineOperation),
    Forecast(ForecastOperation),
);
