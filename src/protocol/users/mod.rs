//! Interface for users: submission, polling, cancellation and forecasts of jobs.
//!
//! Workers send their heartbeats to the same address, so [`parse`] accepts these too.

mod submission;
mod views;

pub use submission::{InvalidJob, InvalidReason};
pub use views::{ForecastAccuracy, ForecastView, Interval, JobState, JobView, PromiseView, TaskForecast};

use super::Reply;
use super::workers::{self, WorkerHeartbeat};
use crate::model::{JobId, JobSpec};

/// Path of the health check.
pub const HEALTH_PATH: &str = "/up";
/// Path of the workers' heartbeats.
pub const HEARTBEAT_PATH: &str = "/hello";
/// Prefix of all job ids.
const JOB_ID_PREFIX: &str = "wk-";
/// Maximum number of digits in a job id.
const MAX_JOB_ID_DIGITS: usize = 32;

/// A request of a user or a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// Submits a job. An invalid submission is kept as an error, since it may repeat the id of an accepted job.
    Submit(Result<JobSpec, InvalidJob>),
    /// Returns the state of a job.
    Poll(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Returns the time by which a job is expected to be done.
    Forecast(JobId),
    /// Returns the reports of the recoveries of this controller's shards.
    Recoveries,
    /// Returns 200 if this controller is ready for requests of users, and 503 otherwise.
    Up,
    /// A worker's heartbeat.
    WorkerHeartbeat(Box<WorkerHeartbeat>),
    /// A request whose reply does not depend on the state of the cluster, such as a malformed one.
    Fixed(Reply),
}

/// Parses a job id: `wk-` and up to 32 digits. Returns `None` if `text` has another form.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let digits = text.strip_prefix(JOB_ID_PREFIX)?;
    let is_valid = (1..=MAX_JOB_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
    is_valid.then(|| JobId::new(text))
}

/// Parses a request of a user or a worker.
pub fn parse(method: &str, path: &str, body: &[u8]) -> ClientRequest {
    let path = path.split('?').next().unwrap_or_default();
    let Some(endpoint) = Endpoint::of_path(path) else { return not_found() };
    if method != endpoint.method() {
        return ClientRequest::Fixed(Reply::error(405, "method not allowed"));
    }
    endpoint.parse(body)
}

/// An endpoint, identified by its path. The text in a variant is the part of the path in place of a job id, not
/// validated.
enum Endpoint<'a> {
    /// `POST /hello`
    Heartbeat,
    /// `GET /up`
    Up,
    /// `GET /v1/recoveries`
    Recoveries,
    /// `POST /v1/jobs`
    Submit,
    /// `GET /v1/jobs/{id}`
    Poll(&'a str),
    /// `POST /v1/jobs/{id}/cancel`
    Cancel(&'a str),
    /// `GET /v1/jobs/{id}/forecast`
    Forecast(&'a str),
}

impl<'a> Endpoint<'a> {
    /// Returns the endpoint with the given path, or `None` if there is none.
    fn of_path(path: &'a str) -> Option<Endpoint<'a>> {
        match path {
            HEARTBEAT_PATH => Some(Endpoint::Heartbeat),
            HEALTH_PATH => Some(Endpoint::Up),
            "/v1/recoveries" => Some(Endpoint::Recoveries),
            "/v1/jobs" => Some(Endpoint::Submit),
            _ => Endpoint::of_job_path(path.strip_prefix("/v1/jobs/")?),
        }
    }

    /// Returns the endpoint for a path below `/v1/jobs/`, given without that prefix.
    fn of_job_path(path: &'a str) -> Option<Endpoint<'a>> {
        let endpoint = match path.rsplit_once('/') {
            Some((id, "cancel")) => Endpoint::Cancel(id),
            Some((id, "forecast")) => Endpoint::Forecast(id),
            _ => Endpoint::Poll(path),
        };
        let (Endpoint::Cancel(id) | Endpoint::Forecast(id) | Endpoint::Poll(id)) = endpoint else { return None };
        (!id.contains('/')).then_some(endpoint)
    }

    /// Returns the only HTTP method that the endpoint accepts.
    fn method(&self) -> &'static str {
        match self {
            Endpoint::Heartbeat | Endpoint::Submit | Endpoint::Cancel(_) => "POST",
            Endpoint::Up | Endpoint::Recoveries | Endpoint::Poll(_) | Endpoint::Forecast(_) => "GET",
        }
    }

    /// Parses a request to the endpoint.
    fn parse(&self, body: &[u8]) -> ClientRequest {
        match self {
            Endpoint::Heartbeat => match workers::parse_heartbeat(body) {
                Ok(heartbeat) => ClientRequest::WorkerHeartbeat(Box::new(heartbeat)),
                Err(error) => ClientRequest::Fixed(Reply::error(400, &error.to_string())),
            },
            Endpoint::Up => ClientRequest::Up,
            Endpoint::Recoveries => ClientRequest::Recoveries,
            Endpoint::Submit => ClientRequest::Submit(submission::parse(body)),
            Endpoint::Poll(id) => parse_job_id(id).map_or_else(not_found, ClientRequest::Poll),
            Endpoint::Cancel(id) => parse_job_id(id).map_or_else(not_found, ClientRequest::Cancel),
            Endpoint::Forecast(id) => parse_job_id(id).map_or_else(not_found, ClientRequest::Forecast),
        }
    }
}

fn not_found() -> ClientRequest {
    ClientRequest::Fixed(Reply::error(404, "not found"))
}
