//! `crowctl submit`: submits jobs.

use crate::arguments::Format;
use crate::client::Client;
use crate::error::{Error, JobFileError};
use crate::jobs::{check_job_id, show_job};
use crowstall::protocol::users::JobView;
use serde_json::Value;
use std::io::{self, Read};
use std::path::Path;

/// Maximum length of a submission's body that controllers accept, in bytes.
const MAX_SUBMISSION_BYTES: usize = 64 * 1024;
/// Field of a submission that lists the prerequisites of the job.
const PREREQUISITES_FIELD: &str = "awaits";

/// Submits the job in `file`, with `prerequisites` in addition to those that the file lists.
pub(crate) fn submit(client: &Client, file: &Path, prerequisites: &[String], format: Format) -> Result<(), Error> {
    let file_error = |source| Error::JobFile { path: file.display().to_string(), source };
    let mut text = read_job_file(file).map_err(file_error)?;
    let mut job: Value = serde_json::from_str(&text).map_err(|error| file_error(error.into()))?;
    check_job_id(job["id"].as_str().ok_or_else(|| file_error(JobFileError::MissingId))?)?;
    if !prerequisites.is_empty() {
        let listed = prerequisites_mut(&mut job).map_err(file_error)?;
        for prerequisite in prerequisites {
            check_job_id(prerequisite)?;
            listed.push(prerequisite.as_str().into());
        }
        text = job.to_string();
    }
    let view: JobView = client.post("/v1/jobs", &text)?.parse()?;
    show_job(&view, format)
}

/// Reads a job file, or standard input if the path is `-`.
fn read_job_file(file: &Path) -> Result<String, JobFileError> {
    let mut text = String::new();
    match file.to_str() {
        Some("-") => io::stdin().read_to_string(&mut text)?,
        _ => std::fs::File::open(file)?.read_to_string(&mut text)?,
    };
    if text.len() > MAX_SUBMISSION_BYTES {
        return Err(JobFileError::TooLong { bytes: text.len(), max_bytes: MAX_SUBMISSION_BYTES });
    }
    Ok(text)
}

/// Returns the list of prerequisites in a submission; adds an empty list if there is none or it is `null`.
fn prerequisites_mut(job: &mut Value) -> Result<&mut Vec<Value>, JobFileError> {
    let fields = job.as_object_mut().ok_or(JobFileError::NotAnObject)?;
    let prerequisites = fields.entry(PREREQUISITES_FIELD).or_insert(Value::Null);
    if prerequisites.is_null() {
        *prerequisites = Value::Array(Vec::new());
    }
    prerequisites.as_array_mut().ok_or(JobFileError::PrerequisitesNotAList)
}
