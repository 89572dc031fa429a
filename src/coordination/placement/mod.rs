//! Placement: assignment of tasks to machines.
//!
//! Tasks are bound late: only when the heartbeat of a machine shows free resources are the first tasks of the job queue
//! that fit bound to that machine.

mod binding;
mod constraints;
mod preemption;
mod queue_order;
mod score;
mod urgency;

pub(super) use preemption::{Preemption, PreemptionRound};

use super::shard::{Attempt, Machine, Shard};
use crate::config::Settings;
use crate::model::{JobKind, MachineType, Name, Resources};
use crate::time::Time;
use std::collections::HashMap;

/// Inputs of placement besides the shard.
pub(super) struct PlacementContext<'a> {
    /// Settings of this node.
    pub settings: &'a Settings,
    /// Machine types of the cloud's catalog, by name.
    pub types: &'a HashMap<Name, MachineType>,
    /// Monotonic time.
    pub now: Time,
    /// Wall-clock time in milliseconds.
    pub wall_clock_ms: u64,
}

impl Shard {
    /// Returns the attempts of services on a machine that are not over, including those that are to be stopped.
    pub(super) fn service_attempts<'a>(&'a self, machine: &'a Machine) -> impl Iterator<Item = &'a Attempt> {
        machine.attempts.values().filter(|attempt| {
            let job = self.jobs.get(&attempt.task.job);
            !attempt.is_over() && job.is_some_and(|job| job.spec.kind == JobKind::Service)
        })
    }

    /// Returns the resources that services use on a machine. Waiting does not free these resources, since services do
    /// not end.
    pub(super) fn service_usage(&self, machine: &Machine) -> Resources {
        self.service_attempts(machine).fold(Resources::default(), |sum, attempt| sum.plus(&attempt.needs))
    }
}
