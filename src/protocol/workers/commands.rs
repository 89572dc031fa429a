//! Messages to workers: answers to heartbeats, and direct calls with commands.
//!
//! The fields of the bodies are declared in the alphabetical order of their serialized names, in which all versions
//! write them.

use super::heartbeat::{WorkerHeartbeat, parse_heartbeat};
use crate::model::{AgentEpoch, AttemptNumber, FencingToken, TaskId};
use crate::protocol::{CallError, Outgoing, Reply};
use serde::{Serialize, Serializer};

/// Largest number of commands in one answer or direct call. Keeps the body well below 64 KiB.
pub const MAX_COMMANDS: usize = 400;

/// A command to a worker. In the JSON body, `egg` is the task id and `hatch` the attempt number.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "call", rename_all = "lowercase")]
pub enum Command {
    /// Starts an attempt at a task.
    Run {
        /// `egg`: id of the task.
        #[serde(rename = "egg", serialize_with = "as_text")]
        task: TaskId,
        /// `hatch`: number of the attempt.
        #[serde(rename = "hatch")]
        attempt: AttemptNumber,
    },
    /// Stops an attempt.
    Stop {
        /// `egg`: id of the task.
        #[serde(rename = "egg", serialize_with = "as_text")]
        task: TaskId,
        /// `hatch`: number of the attempt.
        #[serde(rename = "hatch")]
        attempt: AttemptNumber,
        /// `settle_s`: time in seconds that the task has to save its progress.
        #[serde(rename = "settle_s")]
        grace_s: f64,
    },
    /// Acknowledges the end of an attempt: later heartbeats omit the attempt.
    Forget {
        /// `egg`: id of the task.
        #[serde(rename = "egg", serialize_with = "as_text")]
        task: TaskId,
        /// `hatch`: number of the attempt.
        #[serde(rename = "hatch")]
        attempt: AttemptNumber,
    },
}

/// Serializes a task id as the text that `Display` writes.
fn as_text<S: Serializer>(task: &TaskId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(task)
}

/// Body of the answer to an accepted heartbeat.
#[derive(Serialize)]
struct WireAccepted<'a> {
    /// `calls`: commands in the order of execution.
    #[serde(rename = "calls")]
    commands: &'a [Command],
    /// `crest`: fencing token under which the commands are given.
    #[serde(rename = "crest")]
    token: FencingToken,
}

/// Body of the answer to a heartbeat that has to be sent to another controller.
#[derive(Serialize)]
struct WireRedirect<'a> {
    /// `rookery`: label of the controller to report to, if known.
    #[serde(rename = "rookery", skip_serializing_if = "Option::is_none")]
    controller: Option<&'a str>,
}

/// Returns the answer that renews the worker lease and has the worker execute `commands`.
pub fn accepted(token: FencingToken, commands: &[Command]) -> Reply {
    Reply::json(200, &WireAccepted { commands, token })
}

/// Returns the answer that redirects the worker to the controller with the given label, or to any other if `None`.
pub fn redirect(controller: Option<&str>) -> Reply {
    Reply::json(421, &WireRedirect { controller })
}

/// A direct call with commands to a worker. A delayed call may be executed minutes later, when the decision to start a
/// task may be obsolete, so direct calls never contain a [`Command::Run`].
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCall {
    /// Fencing token under which the commands are given.
    pub token: FencingToken,
    /// Agent epoch for which the commands are meant.
    pub epoch: AgentEpoch,
    /// Commands in the order of execution.
    pub commands: Vec<Command>,
}

/// Body of `POST /commands`, a direct call.
#[derive(Serialize)]
struct WireCall<'a> {
    /// `calls`: commands in the order of execution.
    #[serde(rename = "calls")]
    commands: &'a [Command],
    /// `crest`: fencing token under which the commands are given.
    #[serde(rename = "crest")]
    token: FencingToken,
    /// `sitting`: agent epoch for which the commands are meant.
    #[serde(rename = "sitting")]
    epoch: AgentEpoch,
}

/// A worker's answer to a [`WorkerCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerAnswer {
    /// The commands were executed; the heartbeat has the state after the execution.
    Executed(Box<WorkerHeartbeat>),
    /// No command was executed, because the fencing token or the agent epoch did not match; the heartbeat has the
    /// current ones.
    Rejected(Box<WorkerHeartbeat>),
}

impl WorkerCall {
    /// Returns `true` if the call has a command that starts a task, which no direct call may have.
    pub fn starts_tasks(&self) -> bool {
        self.commands.iter().any(|command| matches!(command, Command::Run { .. }))
    }

    /// Returns the HTTP request for this call.
    pub fn request(&self) -> Outgoing {
        Outgoing::post("/commands", &WireCall { commands: &self.commands, token: self.token, epoch: self.epoch })
    }

    /// Interprets the response to a direct call.
    pub fn answer(status: u16, body: &[u8]) -> Result<WorkerAnswer, CallError> {
        let heartbeat = || parse_heartbeat(body).map(Box::new).map_err(|_| CallError::Unexpected(status));
        match status {
            200 => Ok(WorkerAnswer::Executed(heartbeat()?)),
            409 => Ok(WorkerAnswer::Rejected(heartbeat()?)),
            _ => Err(CallError::Unexpected(status)),
        }
    }
}
