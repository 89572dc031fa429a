//! Errors of the commands and their exit statuses.

use crate::client::AttemptError;
use crate::plot::PlotError;
use crowstall_forecast::replay::LineError;
use std::io;

/// Exit status if the request was refused, or the job is unknown or was cancelled.
const STATUS_REFUSED: u8 = 1;
/// Exit status if the arguments or a file cannot be used, or a result cannot be written.
const STATUS_BAD_INPUT: u8 = 2;
/// Exit status if no controller gave a usable answer in time.
const STATUS_UNREACHABLE: u8 = 3;

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A controller refused the request, and a retry would not help.
    #[error("{reason} ({status})")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason that the controller gave.
        reason: String,
    },
    /// The watched job was cancelled.
    #[error("{id} was cancelled")]
    JobCancelled {
        /// Id of the job.
        id: String,
    },
    /// The argument is not the id of a job.
    #[error("{id}: not a job's id (wk-000412)")]
    InvalidJobId {
        /// Argument as the user gave it.
        id: String,
    },
    /// The job file cannot be submitted.
    #[error("{path}: {source}")]
    JobFile {
        /// Path as the user gave it.
        path: String,
        /// Reason.
        source: JobFileError,
    },
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path as the user gave it.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A line of a recorded history cannot be used.
    #[error("{path}:{line}: {source}")]
    HistoryLine {
        /// Path of the history.
        path: String,
        /// Number of the line, counted from 1.
        line: usize,
        /// Reason.
        source: HistoryLineError,
    },
    /// A plot cannot be drawn.
    #[error("{path}: {source}")]
    Plot {
        /// Path of the plot.
        path: String,
        /// Error of the plotting library.
        source: PlotError,
    },
    /// A result cannot be written as JSON.
    #[error(transparent)]
    Serialize(serde_json::Error),
    /// The body of a successful answer cannot be parsed.
    #[error("the controller's answer cannot be parsed: {0}")]
    UnreadableAnswer(serde_json::Error),
    /// No controller gave a final answer in time; contains the failure of the last attempt.
    #[error(transparent)]
    Unreachable(AttemptError),
}

/// Error of a job file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JobFileError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file is longer than the body of a request may be.
    #[error("{bytes} bytes, more than {max_bytes}")]
    TooLong {
        /// Length of the file.
        bytes: usize,
        /// Maximum length of a body.
        max_bytes: usize,
    },
    /// The file is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The job has no id, or the id is not a string.
    #[error("id: missing, or not a string")]
    MissingId,
    /// The JSON value is not an object.
    #[error("not an object")]
    NotAnObject,
    /// The prerequisites in the file are not an array.
    #[error("awaits: not an array")]
    PrerequisitesNotAList,
}

/// Error of a line of a history.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HistoryLineError {
    /// The line cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The line does not describe an attempt.
    #[error(transparent)]
    Parse(#[from] LineError),
}

impl Error {
    /// Returns the exit status of the process.
    pub(crate) fn exit_status(&self) -> u8 {
        match self {
            Error::Refused { .. } | Error::JobCancelled { .. } => STATUS_REFUSED,
            Error::InvalidJobId { .. }
            | Error::JobFile { .. }
            | Error::File { .. }
            | Error::HistoryLine { .. }
            | Error::Plot { .. }
            | Error::Serialize(_) => STATUS_BAD_INPUT,
            Error::UnreadableAnswer(_) | Error::Unreachable(_) => STATUS_UNREACHABLE,
        }
    }
}
