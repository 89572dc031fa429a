//! Newtypes for ids, names, revisions and other numbers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Defines newtypes of numbers, so that the compiler rejects the use of one kind of number as another.
macro_rules! number_type {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(
            /// Wrapped number.
            pub $inner,
        );

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

number_type! {
    /// Revision of the state service: of the whole store, or of the last change of a key. As the version of a key, 0
    /// means that the key does not exist. The revision at which leadership of a shard was acquired is the number of the
    /// leadership term.
    Revision(u64);
    /// Id of a lease at the state service.
    LeaseId(u64);
    /// Fencing token. A worker executes only commands that carry the highest token that it has received so far.
    FencingToken(u64);
    /// Agent epoch of a worker. A new epoch begins whenever the worker lease has expired.
    AgentEpoch(u64);
    /// Sequence number of a worker's message within its agent epoch.
    SequenceNumber(u64);
    /// Number of an attempt at a task. The leadership term forms its upper bits, so that no number is used twice.
    AttemptNumber(u64);
    /// Index of a task within its job, from 0.
    TaskIndex(u32);
    /// Number of a shard, from 0. Jobs and machines are partitioned into shards.
    ShardId(u32);
    /// Index of a controller in the sorted list of all node labels.
    NodeIndex(u32);
}

/// Defines newtypes of texts that are cheap to clone.
macro_rules! text_type {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without validating it.
            pub fn new(text: &str) -> Self {
                $name(Arc::from(text))
            }

            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

text_type! {
    /// Id of a job, chosen by its user.
    JobId;
    /// Id of a machine, chosen by the cloud.
    MachineId;
    /// Label of a controller, which stays the same when the controller is restarted.
    NodeLabel;
    /// Name of a job class, a team, a zone, a machine type or an image; only ever compared with other names.
    Name;
}

/// Id of a task, written `JOB/INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job.
    pub task: TaskIndex,
}

/// Error for a text that is not of the form `JOB/INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a task id")]
pub struct InvalidTaskId;

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.task)
    }
}

impl FromStr for TaskId {
    type Err = InvalidTaskId;

    fn from_str(text: &str) -> Result<TaskId, InvalidTaskId> {
        let (job, task) = text.rsplit_once('/').ok_or(InvalidTaskId)?;
        let task = task.parse().map_err(|_| InvalidTaskId)?;
        Ok(TaskId { job: JobId::new(job), task: TaskIndex(task) })
    }
}
