//! The purpose of a call to the state service, by which the answer reaches the component that sent the call.

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

/// The purpose of a call to the state service, by the component that handles the answer.
pub(super) enum StateOperation {
    /// Leases and leadership terms.
    Leadership(LeadershipOperation),
    /// Reads the records of a shard after leadership was acquired.
    Recovery(RecoveryOperation),
    /// Lists or watches records for the replica.
    Replica(ReplicatedRecords),
    /// Reads and writes for requests of users.
    User(UserOperation),
    /// The record of a job that is queued or running.
    Job(JobOperation),
    /// Jobs that wait for prerequisites.
    Dependency(DependencyOperation),
    /// Records of machines.
    Machine(MachineOperation),
    /// Snapshots of learned run times.
    Forecast(ForecastOperation),
}

impl StateOperation {
    /// The class of traffic by which the call is admitted.
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

    /// The leadership term that was a condition of the transaction, if there was one: a commit then shows that the
    /// term still stood.
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

    /// The shard whose leadership this acquires or releases, if it does either.
    pub fn shard_changing_leadership(&self) -> Option<ShardId> {
        match self {
            StateOperation::Leadership(operation) => operation.shard_changing_leadership(),
            _ => None,
        }
    }

    /// Whether this writes the record of the given machine.
    pub fn registers(&self, machine: &MachineId) -> bool {
        matches!(self, StateOperation::Machine(operation) if operation.registers(machine))
    }

    /// Whether this reads the record of a job that is not in memory.
    pub fn is_job_lookup(&self) -> bool {
        matches!(self, StateOperation::User(UserOperation::LookUp(_)))
    }

    /// The leadership term under which a record is read, if what the record says counts only while that term stands.
    pub fn read_term(&self) -> Option<LeadershipTerm> {
        match self {
            StateOperation::User(UserOperation::ReadHandoff { leadership, .. })
            | StateOperation::Job(JobOperation { leadership, operation: JobRecordOperation::ReadLive, .. })
            | StateOperation::Dependency(DependencyOperation::WaitingJob {
                leadership,
                operation: WaitingRecordOperation::ReadLive,
                ..
            })
            | StateOperation::Machine(MachineOperation::Fetch { leadership }) => Some(*leadership),
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
