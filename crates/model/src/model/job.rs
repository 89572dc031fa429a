//! Specification of a job as its user submitted it.

use super::{JobId, Name, Resources};
use serde::{Deserialize, Serialize};

/// Kind of a job, which decides when its tasks end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Job array: independent tasks, each of which runs to completion.
    Array,
    /// Service: replicas that run until the job is cancelled.
    Service,
}

/// Priority of a job. The derived order puts the highest priority first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Highest priority.
    Production,
    /// Second highest priority.
    High,
    /// Priority of ordinary jobs.
    Normal,
    /// Lowest priority.
    BestEffort,
}

impl Priority {
    /// Returns the next lower priority; [`Priority::BestEffort`] is returned unchanged.
    pub fn next_lower(self) -> Priority {
        match self {
            Priority::Production => Priority::High,
            Priority::High => Priority::Normal,
            Priority::Normal | Priority::BestEffort => Priority::BestEffort,
        }
    }
}

/// Specification of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id chosen by the user.
    pub id: JobId,
    /// Job class. Service-level objectives in the settings refer to it.
    pub class: Name,
    /// Team whose guarantee and quota apply.
    pub team: Name,
    /// Job array or service.
    pub kind: JobKind,
    /// Priority in the queue.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs on its machine.
    pub needs: Resources,
    /// Image that a machine must have fetched before a task can start.
    pub image: Name,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Allowed machine types; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Name>>,
    /// Only allowed zone; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Name>,
    /// `true` if all tasks must run in the same zone.
    #[serde(default, skip_serializing_if = "is_false")]
    pub one_zone: bool,
    /// `true` if at most half of the tasks, rounded up, may run in the same zone.
    #[serde(default, skip_serializing_if = "is_false")]
    pub spread: bool,
    /// `true` if tasks may run on spot machines.
    #[serde(default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// User's estimate of the run time of a task in seconds; 0 for services.
    pub estimate_s: f64,
    /// Checkpoint interval in seconds of progress; 0 if tasks save no checkpoints.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Time in seconds that a task needs to save its progress when it is stopped.
    #[serde(default)]
    pub save_s: f64,
    /// Time in seconds from the submission until the job should be complete; `None` if it has no deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts, except those already known to be done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prerequisites: Vec<JobId>,
}

fn is_false(value: &bool) -> bool {
    !*value
}

impl JobSpec {
    /// Returns `true` if the job may run on machines of the type `machine_type`.
    pub fn allows_type(&self, machine_type: &Name) -> bool {
        self.types.as_ref().is_none_or(|types| types.contains(machine_type))
    }

    /// Returns `true` if the job may run in `zone`.
    pub fn allows_zone(&self, zone: &Name) -> bool {
        self.zone.as_ref().is_none_or(|only| only == zone)
    }

    /// Returns `true` if the job may run on a machine with this type, zone and rental model (`spot`), regardless of the
    /// machine's free resources and of the placement of the job's other tasks.
    pub fn allows(&self, machine_type: &Name, zone: &Name, spot: bool) -> bool {
        self.allows_type(machine_type) && self.allows_zone(zone) && (self.spot || !spot)
    }

    /// Returns the maximum number of tasks of the job that may run in the same zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { u32::MAX }
    }
}

/// State in which a job has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalState {
    /// All tasks are done.
    Done,
    /// The job was cancelled.
    Cancelled,
}
