//! Replay of a recorded history: for each completed attempt, a forecast is made from the earlier lines only. Then the
//! attempt is learned, as are the censored ones.

use crate::calibration::{MANY_OBSERVATIONS, Tally, is_within_quarter};
use crate::features::TaskFeatures;
use crate::learner::{Attempt, JobObservations, Learner, Limits, Outcome};
use crowstall_model::model::Name;
use crowstall_model::time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum time or duration in a line, in seconds.
const MAX_SECONDS: f64 = 1e9;
/// Maximum length of a name in a line.
const MAX_NAME_BYTES: usize = 200;
/// Maximum number of jobs whose observations are held at once.
const MAX_JOBS: usize = 4096;
/// Time without a line after which a job counts as done.
const JOB_TIMEOUT_S: f64 = 3600.0;
/// Origin of the attempts that the learner of a replay observes.
const REPLAY_ORIGIN: u64 = 1;

/// Line of a history: an attempt of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// End of the attempt, in seconds since the history began.
    pub at_s: f64,
    /// Team that owns the job.
    pub team: String,
    /// Class of the job.
    pub class: String,
    /// `type`: type of the machine.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Owner's estimate of the run time, in seconds; zero if there is none.
    pub estimate_s: f64,
    /// Run time of the attempt, in seconds.
    pub ran_s: f64,
    /// `end`: outcome of the attempt.
    #[serde(rename = "end")]
    pub outcome: LineOutcome,
    /// `truth_s`: median of the distribution that a synthetic run time was drawn from, in seconds. The learner does not
    /// see it; comparing it with the run times gives the accuracy that the best possible predictor would have.
    #[serde(rename = "truth_s", default, skip_serializing_if = "Option::is_none")]
    pub true_median_s: Option<f64>,
}

/// Outcome of the attempt of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LineOutcome {
    /// `done`: the attempt ran to its end.
    #[serde(rename = "done")]
    Completed,
    /// `cut`: the attempt was stopped or lost.
    #[serde(rename = "cut")]
    Censored,
}

/// Error of parsing or validating a line of a history.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not the JSON of an attempt.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A number is negative, not finite or too large.
    #[error("{field}: {value} is not a number from 0 to 1e9")]
    NumberOutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Number in the line.
        value: f64,
    },
    /// A name is empty or too long.
    #[error("{field}: empty or longer than {MAX_NAME_BYTES} bytes")]
    InvalidName {
        /// Name of the field.
        field: &'static str,
    },
    /// The job has no tasks.
    #[error("tasks: must be at least 1")]
    NoTasks,
}

/// Parses and validates a line of a history.
pub fn parse(line: &str) -> Result<HistoryLine, LineError> {
    let line: HistoryLine = serde_json::from_str(line)?;
    let true_median = ("truth_s", line.true_median_s.unwrap_or(0.0));
    for (field, value) in [("at_s", line.at_s), ("estimate_s", line.estimate_s), ("ran_s", line.ran_s), true_median] {
        if !(value.is_finite() && (0.0..=MAX_SECONDS).contains(&value)) {
            return Err(LineError::NumberOutOfRange { field, value });
        }
    }
    for (field, text) in [("team", &line.team), ("class", &line.class), ("type", &line.machine_type)] {
        if text.is_empty() || text.len() > MAX_NAME_BYTES {
            return Err(LineError::InvalidName { field });
        }
    }
    if line.tasks == 0 {
        return Err(LineError::NoTasks);
    }
    Ok(line)
}

impl HistoryLine {
    /// Returns the features of the task.
    pub fn features(&self) -> TaskFeatures {
        TaskFeatures {
            team: Name::new(&self.team),
            class: Name::new(&self.class),
            machine_type: Name::new(&self.machine_type),
            tasks: self.tasks,
            estimate: Span::secs(self.estimate_s),
        }
    }

    /// Returns the attempt as a learner takes it.
    fn attempt(&self) -> Attempt {
        let outcome = match self.outcome {
            LineOutcome::Completed => Outcome::Completed,
            LineOutcome::Censored => Outcome::Censored,
        };
        Attempt { run_time: Span::secs(self.ran_s), outcome }
    }
}

/// Result of a replay. Predictions are compared with the run times of completed attempts; `within_quarter` counts those
/// that were off by at most a quarter of the run time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of replayed lines.
    pub lines: u64,
    /// Number of completed attempts.
    pub completed: u64,
    /// Number of censored attempts.
    pub censored: u64,
    /// Counts of forecasts based on fewer than 20 observations.
    pub few_observations: Tally,
    /// Counts of forecasts based on 20 or more observations.
    pub many_observations: Tally,
    /// Number of run times of which the owner's estimate was off by at most a quarter.
    pub estimate_within_quarter: u64,
    /// Number of lines of completed attempts that contain the true median.
    pub with_true_median: u64,
    /// Number of run times of which the true median was off by at most a quarter.
    pub true_median_within_quarter: u64,
    /// Number of run times of which the mean of the job's earlier run times and the estimate was off by at most a
    /// quarter.
    pub job_mean_within_quarter: u64,
}

impl Summary {
    /// Returns the counts of all forecasts.
    pub fn all(&self) -> Tally {
        let mut all = self.few_observations;
        all.merge(self.many_observations);
        all
    }
}

/// Identification of a job by its features, because a history contains no job ids.
#[derive(PartialEq, Eq, Hash)]
struct JobKey {
    team: String,
    class: String,
    tasks: u32,
    estimate_bits: u64,
}

impl JobKey {
    fn new(line: &HistoryLine) -> JobKey {
        JobKey {
            team: line.team.clone(),
            class: line.class.clone(),
            tasks: line.tasks,
            estimate_bits: line.estimate_s.to_bits(),
        }
    }
}

/// Job of a replay in progress.
struct Job {
    observations: JobObservations,
    /// Sum of the run times of the completed tasks.
    run_time_sum_s: f64,
    /// Number of completed tasks.
    completed: u32,
    /// Time of the job's last line.
    last_line_at_s: f64,
}

impl Job {
    fn new(now_s: f64) -> Job {
        Job { observations: JobObservations::default(), run_time_sum_s: 0.0, completed: 0, last_line_at_s: now_s }
    }

    fn is_recent(&self, now_s: f64) -> bool {
        now_s - self.last_line_at_s < JOB_TIMEOUT_S
    }

    /// Returns the mean of the run times so far and the estimate, which counts as one more task.
    fn mean_with_estimate(&self, estimate_s: f64) -> f64 {
        (self.run_time_sum_s + estimate_s) / f64::from(self.completed + 1)
    }
}

/// Replay in progress.
///
/// Lines with the same team, class, number of tasks and estimate count as one job until all of its tasks have
/// completed, or no line of the job has come for an hour.
pub struct Replay {
    /// Learner that makes the forecasts.
    pub learner: Learner,
    /// Result of the lines processed so far.
    pub summary: Summary,
    jobs: HashMap<JobKey, Job>,
}

impl Replay {
    /// Creates a replay with a learner without observations.
    pub fn new(limits: Limits) -> Replay {
        Replay { learner: Learner::new(REPLAY_ORIGIN, limits), summary: Summary::default(), jobs: HashMap::new() }
    }

    /// Processes a line: if the attempt completed, makes a forecast and compares it with the run time; then learns the
    /// attempt.
    pub fn process(&mut self, line: &HistoryLine) {
        self.limit_jobs(line.at_s);
        let job = self.jobs.entry(JobKey::new(line)).or_insert_with(|| Job::new(line.at_s));
        if !job.is_recent(line.at_s) || job.completed >= line.tasks {
            *job = Job::new(line.at_s);
        }
        job.last_line_at_s = line.at_s;
        self.summary.lines += 1;
        match line.outcome {
            LineOutcome::Censored => self.summary.censored += 1,
            LineOutcome::Completed => {
                self.summary.judge(&self.learner, line, job);
                job.run_time_sum_s += line.ran_s;
                job.completed += 1;
            }
        }
        let now = Time::ZERO + Span::secs(line.at_s);
        self.learner.learn(&line.features(), line.attempt(), &mut job.observations, now);
    }

    /// Removes the jobs without recent lines if the maximum number is reached, or all jobs if too many are left.
    fn limit_jobs(&mut self, now_s: f64) {
        if self.jobs.len() >= MAX_JOBS {
            self.jobs.retain(|_, job| job.is_recent(now_s));
            if self.jobs.len() >= MAX_JOBS {
                self.jobs.clear();
            }
        }
    }
}

impl Summary {
    /// Compares the forecast and the baselines with the run time of a completed attempt.
    fn judge(&mut self, learner: &Learner, line: &HistoryLine, job: &Job) {
        self.completed += 1;
        let forecast = learner.predict(&line.features(), &job.observations);
        let tally = if forecast.observations < MANY_OBSERVATIONS {
            &mut self.few_observations
        } else {
            &mut self.many_observations
        };
        tally.judge(forecast.low.as_secs(), forecast.median.as_secs(), forecast.high.as_secs(), line.ran_s);
        let count = |prediction_s: f64| u64::from(is_within_quarter(prediction_s, line.ran_s));
        self.estimate_within_quarter += count(line.estimate_s);
        self.job_mean_within_quarter += count(job.mean_with_estimate(line.estimate_s));
        if let Some(true_median_s) = line.true_median_s {
            self.with_true_median += 1;
            self.true_median_within_quarter += count(true_median_s);
        }
    }
}
