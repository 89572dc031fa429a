//! Amounts of resources: the demand of tasks and the capacity and room of machines.

use serde::{Deserialize, Serialize};

/// Upper bound of the number of tasks that [`Resources::slots`] returns, also for tasks that need no resources.
const MAX_SLOTS: u64 = 100_000;

/// Amount of a resource in millionths of the resource's unit: of a CPU, of a GPU, or of a GB of memory.
///
/// Integers keep sums exact and allow comparisons for equality.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Quantity(
    /// Amount in millionths of the unit.
    pub u64,
);

impl Quantity {
    const MILLIONTHS_PER_UNIT: f64 = 1e6;

    /// Converts a value in whole units, rounded to the nearest millionth. A negative value becomes 0.
    pub fn new(value: f64) -> Quantity {
        Quantity((value.max(0.0) * Quantity::MILLIONTHS_PER_UNIT).round() as u64)
    }

    /// Returns the amount in whole units.
    pub fn value(self) -> f64 {
        self.0 as f64 / Quantity::MILLIONTHS_PER_UNIT
    }

    fn saturating_add(self, other: Quantity) -> Quantity {
        Quantity(self.0.saturating_add(other.0))
    }

    fn saturating_sub(self, other: Quantity) -> Quantity {
        Quantity(self.0.saturating_sub(other.0))
    }

    fn saturating_mul(self, count: u32) -> Quantity {
        Quantity(self.0.saturating_mul(u64::from(count)))
    }

    /// Returns how many times `part` fits into this amount, or `u64::MAX` if `part` is zero.
    fn divided_by(self, part: Quantity) -> u64 {
        self.0.checked_div(part.0).unwrap_or(u64::MAX)
    }
}

/// Amounts of all resources: the demand of a task, or the capacity or room of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Number of CPUs.
    pub cpus: Quantity,
    /// Number of GPUs.
    pub gpus: Quantity,
    /// Memory in GB.
    pub memory: Quantity,
}

impl Resources {
    /// Returns `true` if `room` contains at least this amount of every resource.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    /// Returns the sum of `self` and `other`, resource by resource.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
            memory: self.memory.saturating_add(other.memory),
        }
    }

    /// Returns the sum of `count` such amounts.
    pub fn times(&self, count: u32) -> Resources {
        Resources {
            cpus: self.cpus.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
        }
    }

    /// Returns the difference of `self` and `other`, resource by resource; 0 where `other` has more.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
            memory: self.memory.saturating_sub(other.memory),
        }
    }

    /// Returns the number of tasks with the demand `task` that fit at the same time, at most `MAX_SLOTS`.
    pub fn slots(&self, task: &Resources) -> u32 {
        let cpus = self.cpus.divided_by(task.cpus);
        let gpus = self.gpus.divided_by(task.gpus);
        let memory = self.memory.divided_by(task.memory);
        cpus.min(gpus).min(memory).min(MAX_SLOTS) as u32
    }
}
