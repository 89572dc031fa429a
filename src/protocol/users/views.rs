//! Bodies of the answers to users about their jobs.

use crate::model::JobId;
use serde::{Deserialize, Serialize};

/// Maximum number of prerequisites that are listed in an answer.
const MAX_NAMED_PREREQUISITES: usize = 16;

/// State of a job in answers to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// `pending`: no task is running.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// `withdrawn`: the job was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl JobState {
    /// Returns `true` if the job has ended, so that its state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

/// Body of the answer to a submission, a poll or a cancellation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: JobId,
    /// `mood`: state of the job.
    #[serde(rename = "mood")]
    pub state: JobState,
    /// Number of completed tasks.
    #[serde(default)]
    pub done: u32,
    /// Number of running tasks.
    #[serde(default)]
    pub running: u32,
    /// Prerequisites that are not done: the first 16 in ascending order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits_for: Vec<JobId>,
    /// Number of all prerequisites that are not done; `None` if the job does not wait for prerequisites.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_for_count: Option<usize>,
    /// Cancelled prerequisite that caused the cancellation of this job; `None` if there was no such cause.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn_with: Option<JobId>,
}

impl JobView {
    /// Returns the view of a job that does not wait for prerequisites.
    pub fn new(id: &JobId, state: JobState, done: u32, running: u32) -> JobView {
        let id = id.clone();
        JobView { id, state, done, running, waits_for: Vec::new(), waits_for_count: None, withdrawn_with: None }
    }

    /// Returns the view of a job that waits for `prerequisites`, in any order.
    pub fn waiting<'a>(id: &JobId, prerequisites: impl Iterator<Item = &'a JobId>) -> JobView {
        let mut waits_for: Vec<JobId> = prerequisites.cloned().collect();
        let count = waits_for.len();
        waits_for.sort();
        waits_for.truncate(MAX_NAMED_PREREQUISITES);
        JobView { waits_for, waits_for_count: Some(count), ..JobView::new(id, JobState::Queued, 0, 0) }
    }
}

/// Body of the answer to a forecast request: the expected end of a job and the basis of the forecast. Times are in
/// seconds and relative to the answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForecastView {
    /// Id of the job.
    pub id: JobId,
    /// `mood`: state of the job.
    #[serde(rename = "mood")]
    pub state: JobState,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Forecast of the run time of one task; null for services.
    pub task: Option<TaskForecast>,
    /// Time until the job is done; null for services, and while the forecast finds no free resources for the job.
    pub finish: Option<Interval>,
    /// Promised time of completion, if there is one.
    pub promise: Option<PromiseView>,
    /// Accuracy of earlier forecasts.
    pub record: ForecastAccuracy,
}

/// Forecast of a time in seconds: one outcome in ten is expected below `low_s`, and one in ten above `high_s`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// 10th percentile.
    pub low_s: f64,
    /// Median.
    pub middle_s: f64,
    /// 90th percentile.
    pub high_s: f64,
}

/// Forecast of the run time of one task.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskForecast {
    /// Run time in seconds.
    #[serde(flatten)]
    pub run: Interval,
    /// Number of completed attempts on which the forecast is based.
    pub observations: u64,
    /// Degree to which the observed attempts resemble the task.
    pub level: crowstall_forecast::Level,
}

/// Promised time of completion of a job.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromiseView {
    /// Time in seconds until the promised time; negative after the promised time.
    pub by_s: f64,
    /// Promised time in milliseconds since 1970.
    pub by_ms: u64,
    /// Age of the promise in seconds.
    pub made_s: f64,
    /// Number of earlier promises that this one replaces.
    pub revisions: u32,
}

/// Accuracy of earlier forecasts. A fraction is null until there is an outcome to compare.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForecastAccuracy {
    /// Number of run time forecasts that were compared with the actual run time.
    pub run_times_judged: u64,
    /// Fraction of run times inside the forecast interval.
    pub inside_interval: Option<f64>,
    /// Fraction of run times for which the forecast median was off by at most a quarter.
    #[serde(default)]
    pub within_quarter: Option<f64>,
    /// Number of promises that were compared with the time at which the job was done.
    pub promises_judged: u64,
    /// Fraction of promises that were kept.
    pub promises_kept: Option<f64>,
}
