//! Interface for workers: heartbeats from them and commands to them.

mod commands;
mod heartbeat;

pub use commands::{Command, MAX_COMMANDS, WorkerAnswer, WorkerCall, accepted, redirect};
pub use heartbeat::{Exit, InvalidHeartbeat, TaskState, TaskStatus, WorkerHeartbeat, parse_heartbeat};

use crate::time::Span;

/// Time for which a worker waits for the answer to a heartbeat.
pub const ANSWER_TIMEOUT: Span = Span::millis(4000);

/// Time for which a worker waits after a failed heartbeat before it sends one to the next controller.
pub const NEXT_CONTROLLER_DELAY: Span = Span::millis(1000);
