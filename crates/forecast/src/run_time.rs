//! Run-time forecasts.

use crowstall_model::time::Span;

/// Similarity of the observed attempts that a forecast is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// No completed attempt of the class: the forecast is based on the owner's estimate and the observed errors of all
    /// estimates.
    Estimate,
    /// Attempts of the same class.
    Class,
    /// Attempts of the same class and size.
    ClassAndSize,
    /// Attempts of the same team, class, machine type and size.
    Kind,
}

/// Forecast of the run time of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimeForecast {
    /// Tenth percentile.
    pub low: Span,
    /// Median.
    pub median: Span,
    /// Ninetieth percentile.
    pub high: Span,
    /// Mean.
    pub mean: Span,
    /// Number of completed attempts that the forecast is based on.
    pub observations: u64,
    /// Similarity of these attempts.
    pub level: Level,
    /// Standard deviation of the effect that all tasks of a job share on the logarithm of the run time.
    pub shared_deviation: f64,
    /// Standard deviation of the logarithm of the run time between the tasks of a job.
    pub task_deviation: f64,
}

impl RunTimeForecast {
    /// Returns the mean run time of the tasks of a job, in seconds, if the effect that they share lies `deviations`
    /// standard deviations from its median.
    pub fn mean_s(&self, deviations: f64) -> f64 {
        let log_mean_over_median = self.task_deviation * self.task_deviation / 2.0;
        self.median.as_secs() * (self.shared_deviation * deviations + log_mean_over_median).exp()
    }

    /// Returns the expected difference between the longest of `tasks` parallel tasks and their mean, in seconds, with
    /// the same meaning of `deviations` as in [`RunTimeForecast::mean_s`].
    ///
    /// Uses the approximation of the largest normal order statistic by G. Blom (1958).
    pub fn longest_excess_s(&self, tasks: u32, deviations: f64) -> f64 {
        let count = f64::from(tasks.max(1));
        let largest = normal_quantile((count - 0.375) / (count + 0.25));
        let longest =
            self.median.as_secs() * (self.shared_deviation * deviations + self.task_deviation * largest).exp();
        (longest - self.mean_s(deviations)).max(0.0)
    }
}

/// Returns a quantile of the standard normal distribution, with an error of at most 5e-4 (M. Abramowitz and I. Stegun,
/// "Handbook of Mathematical Functions", 1964, 26.2.23).
fn normal_quantile(probability: f64) -> f64 {
    let probability = probability.clamp(1e-9, 1.0 - 1e-9);
    let tail = probability.min(1.0 - probability);
    let t = (-2.0 * tail.ln()).sqrt();
    let z =
        t - (2.515_517 + t * (0.802_853 + t * 0.010_328)) / (1.0 + t * (1.432_788 + t * (0.189_269 + t * 0.001_308)));
    if probability < 0.5 { -z } else { z }
}
