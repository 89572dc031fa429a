//! The features of a task that its run time depends on, and the keys of the cells that the task belongs to.

use crate::run_time::Level;
use crowstall_model::model::Name;
use crowstall_model::time::Span;

/// Lower bound of run times and estimates before their logarithm is taken, in seconds.
pub(crate) const MIN_SECONDS: f64 = 0.001;
/// Number of levels of cells.
pub(crate) const LEVELS: usize = 4;
/// Allocation of a name in addition to its text, in bytes.
const NAME_OVERHEAD: usize = 16;
/// Logarithm to base 2 of the factor between the numbers of tasks of neighbouring size classes.
const LOG2_TASKS_PER_CLASS: u32 = 3;
/// Lower bound of the logarithm to base 2 of an estimate in seconds.
const MIN_LOG2_ESTIMATE: f64 = -20.0;
/// Upper bound of the logarithm to base 2 of an estimate in seconds.
const MAX_LOG2_ESTIMATE: f64 = 40.0;

/// Features of a task that its run time depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskFeatures {
    /// Team that owns the job.
    pub team: Name,
    /// Class of the job.
    pub class: Name,
    /// Type of the machine that the task runs on.
    pub machine_type: Name,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Owner's estimate of the run time; zero if there is none.
    pub estimate: Span,
}

impl TaskFeatures {
    /// Returns the logarithm of the estimate in seconds, or 0 if there is no estimate.
    pub(crate) fn log_estimate(&self) -> f64 {
        match self.estimate {
            Span::ZERO => 0.0,
            estimate => estimate.as_secs().max(MIN_SECONDS).ln(),
        }
    }

    /// Returns the keys of the cells that the task belongs to, from coarse to fine.
    pub(crate) fn cell_keys(&self) -> [CellKey; LEVELS] {
        let size = SizeClass::new(self.tasks, self.estimate);
        [
            CellKey::All,
            CellKey::Class(self.class.clone()),
            CellKey::Size(self.class.clone(), size),
            CellKey::Kind(self.team.clone(), self.class.clone(), self.machine_type.clone(), size),
        ]
    }
}

/// Size class of a job: its number of tasks by factors of 8 and its estimate by factors of 2.
///
/// The names of the fields are part of the snapshot format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub(crate) struct SizeClass {
    tasks: u8,
    estimate: i8,
}

impl SizeClass {
    fn new(tasks: u32, estimate: Span) -> SizeClass {
        let log2_estimate = estimate.as_secs().max(MIN_SECONDS).log2().round();
        SizeClass {
            tasks: (tasks.max(1).ilog2() / LOG2_TASKS_PER_CLASS) as u8,
            estimate: log2_estimate.clamp(MIN_LOG2_ESTIMATE, MAX_LOG2_ESTIMATE) as i8,
        }
    }
}

/// Key of a cell: the features that the tasks in the cell have in common, from coarse to fine.
///
/// The names of the variants are part of the snapshot format. Their order determines that of the cells in a learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub(crate) enum CellKey {
    /// All tasks.
    All,
    /// Tasks of the same class.
    Class(Name),
    /// Tasks of the same class and size class.
    Size(Name, SizeClass),
    /// Tasks of the same team, class, machine type and size class.
    Kind(Name, Name, Name, SizeClass),
}

impl CellKey {
    /// Returns the memory that the names in the key allocate, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let bytes = |name: &Name| name.as_str().len() + NAME_OVERHEAD;
        match self {
            CellKey::All => 0,
            CellKey::Class(class) | CellKey::Size(class, _) => bytes(class),
            CellKey::Kind(team, class, machine_type, _) => bytes(team) + bytes(class) + bytes(machine_type),
        }
    }

    /// Returns the class of the tasks, or `None` for the cell of all tasks.
    pub fn class(&self) -> Option<&Name> {
        match self {
            CellKey::All => None,
            CellKey::Class(class) | CellKey::Size(class, _) | CellKey::Kind(_, class, _, _) => Some(class),
        }
    }

    /// Returns the level of a forecast that is based on this cell.
    pub fn level(&self) -> Level {
        match self {
            CellKey::All => Level::Estimate,
            CellKey::Class(_) => Level::Class,
            CellKey::Size(..) => Level::ClassAndSize,
            CellKey::Kind(..) => Level::Kind,
        }
    }
}
