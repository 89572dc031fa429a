//! Newtypes for ids, revisions and quantities, and the specifications of jobs and machine types.

mod ids;
mod job;
mod machine_type;
mod resources;

pub use ids::{
    AgentEpoch, AttemptNumber, FencingToken, InvalidTaskId, JobId, LeaseId, MachineId, Name, NodeIndex, NodeLabel,
    Revision, SequenceNumber, ShardId, TaskId, TaskIndex,
};
pub use job::{FinalState, JobKind, JobSpec, Priority};
pub use machine_type::MachineType;
pub use resources::{Quantity, Resources};
