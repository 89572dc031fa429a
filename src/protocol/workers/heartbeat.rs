//! Heartbeats of workers: the state of a machine and of the tasks on it.

use crate::model::{AgentEpoch, AttemptNumber, FencingToken, MachineId, Name, SequenceNumber, TaskId};
use crate::time::Span;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Maximum length of a machine id in bytes.
const MAX_MACHINE_ID_BYTES: usize = 100;

/// Error for a body that is not a valid heartbeat. The text is sent to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a report")]
pub struct InvalidHeartbeat;

/// Body of `POST /hello` and of the answers to `GET /status` and `POST /commands`.
#[derive(Deserialize)]
struct WireHeartbeat {
    /// `perch`: id of the machine.
    #[serde(rename = "perch")]
    machine: String,
    /// Address and port at which the worker accepts direct calls.
    endpoint: SocketAddrV4,
    /// `breed`: name of the machine type.
    #[serde(rename = "breed")]
    machine_type: String,
    /// `roost`: zone.
    #[serde(rename = "roost")]
    zone: String,
    /// `scavenged`: `true` for a spot machine.
    #[serde(rename = "scavenged", default)]
    spot: bool,
    /// `sitting`: agent epoch.
    #[serde(rename = "sitting")]
    epoch: u64,
    /// `caw`: sequence number of the message.
    #[serde(rename = "caw")]
    seq: u64,
    /// `crest`: highest fencing token seen.
    #[serde(rename = "crest", default)]
    token: u64,
    /// `shoo_s`: time in seconds until the cloud reclaims the spot machine, if announced.
    #[serde(rename = "shoo_s")]
    notice_s: Option<f64>,
    /// `clutch`: tasks on the machine.
    #[serde(rename = "clutch", default)]
    tasks: Vec<WireTask>,
}

/// A task in a heartbeat.
#[derive(Deserialize)]
struct WireTask {
    /// `egg`: task id.
    #[serde(rename = "egg")]
    task: String,
    /// `hatch`: attempt number.
    #[serde(rename = "hatch")]
    attempt: u64,
    /// `mood`: state of the task.
    #[serde(rename = "mood")]
    state: WireTaskState,
    /// Cause of the end of a task that has ended.
    cause: Option<String>,
    /// `true` if a stopped task has saved its progress.
    #[serde(default)]
    saved: Option<bool>,
}

/// `mood`: state of a task.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireTaskState {
    /// `pulling`: the task waits until its image is fetched.
    #[serde(rename = "pulling")]
    Fetching,
    Running,
    Saving,
    Ended,
    /// A state that was added in a newer version of the protocol.
    #[serde(other)]
    Other,
}

/// A worker's periodic message with the list of its tasks. Controllers relay heartbeats to each other in this form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Id of the machine on which the worker runs.
    pub machine: MachineId,
    /// Address and port at which the worker accepts direct calls.
    pub addr: SocketAddrV4,
    /// Name of the machine type.
    pub kind: Name,
    /// Zone of the machine.
    pub zone: Name,
    /// `true` for a spot machine.
    pub spot: bool,
    /// Agent epoch of the worker, incremented whenever the worker lease expires.
    #[serde(rename = "session")]
    pub epoch: AgentEpoch,
    /// Sequence number of the message within the agent epoch.
    pub seq: SequenceNumber,
    /// Highest fencing token that the worker has received.
    pub token: FencingToken,
    /// Time until the cloud reclaims the spot machine; `None` unless the cloud has announced that.
    pub notice: Option<Span>,
    /// All attempts on the machine, including ended ones until a [`Command::Forget`](super::Command::Forget).
    pub tasks: Vec<TaskStatus>,
}

/// State of an attempt in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the attempt at the task.
    pub attempt: AttemptNumber,
    /// State of the attempt.
    pub state: TaskState,
}

/// State of an attempt on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The task waits until its image is fetched.
    Fetching,
    /// The task runs.
    Running,
    /// The task is being stopped and saves its progress.
    Saving,
    /// The attempt has ended, or its start was refused.
    Exited(Exit),
}

/// Cause of the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exit {
    /// The task has completed.
    Done,
    /// The task was stopped without saving.
    Stopped,
    /// The task was stopped, and its progress is saved.
    Saved,
    /// The task failed.
    Error,
    /// The start was refused because the machine has too few free resources.
    NoRoom,
    /// The start was refused because another attempt of the task is on the machine.
    Busy,
    /// The start was refused because the worker could not find the job.
    Unknown,
}

/// Parses the body of a heartbeat.
pub fn parse_heartbeat(body: &[u8]) -> Result<WorkerHeartbeat, InvalidHeartbeat> {
    serde_json::from_slice::<WireHeartbeat>(body).map_err(|_| InvalidHeartbeat)?.try_into()
}

/// Returns `true` if `text` is a valid machine id. Machine ids become parts of keys of the state service, so they
/// contain neither spaces nor slashes.
fn is_machine_id(text: &str) -> bool {
    (1..=MAX_MACHINE_ID_BYTES).contains(&text.len()) && !text.contains([' ', '/'])
}

impl TryFrom<WireHeartbeat> for WorkerHeartbeat {
    type Error = InvalidHeartbeat;

    fn try_from(wire: WireHeartbeat) -> Result<WorkerHeartbeat, InvalidHeartbeat> {
        if !is_machine_id(&wire.machine) {
            return Err(InvalidHeartbeat);
        }
        Ok(WorkerHeartbeat {
            machine: MachineId::new(&wire.machine),
            addr: wire.endpoint,
            kind: Name::new(&wire.machine_type),
            zone: Name::new(&wire.zone),
            spot: wire.spot,
            epoch: AgentEpoch(wire.epoch),
            seq: SequenceNumber(wire.seq),
            token: FencingToken(wire.token),
            notice: wire.notice_s.filter(|seconds| seconds.is_finite()).map(Span::secs),
            tasks: wire.tasks.iter().map(TaskStatus::try_from).collect::<Result<Vec<_>, _>>()?,
        })
    }
}

impl TryFrom<&WireTask> for TaskStatus {
    type Error = InvalidHeartbeat;

    fn try_from(wire: &WireTask) -> Result<TaskStatus, InvalidHeartbeat> {
        let task = wire.task.parse().map_err(|_| InvalidHeartbeat)?;
        Ok(TaskStatus { task, attempt: AttemptNumber(wire.attempt), state: wire.into() })
    }
}

impl From<&WireTask> for TaskState {
    fn from(wire: &WireTask) -> TaskState {
        match wire.state {
            WireTaskState::Fetching => TaskState::Fetching,
            // A task in an unknown state still occupies resources on the machine.
            WireTaskState::Running | WireTaskState::Other => TaskState::Running,
            WireTaskState::Saving => TaskState::Saving,
            WireTaskState::Ended => TaskState::Exited(wire.exit()),
        }
    }
}

impl WireTask {
    /// Returns the cause of the end. Unknown causes count as failures of the task.
    fn exit(&self) -> Exit {
        match self.cause.as_deref() {
            Some("done") => Exit::Done,
            Some("halted") if self.saved == Some(true) => Exit::Saved,
            Some("halted") => Exit::Stopped,
            Some("no_room") => Exit::NoRoom,
            Some("busy") => Exit::Busy,
            Some("no_such") => Exit::Unknown,
            _ => Exit::Error,
        }
    }
}
