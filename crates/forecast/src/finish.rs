//! Forecasts of the time until a job is done, from run times, work ahead and available capacity.

use crate::run_time::RunTimeForecast;
use crowstall_model::time::Span;

/// Distance of the interval's bounds from the median, in standard deviations of the normal distribution. One outcome in
/// ten lies beyond each bound.
const BOUND_DEVIATIONS: f64 = 1.2816;
/// Relative standard deviation of the work ahead. It would remain even if all run times were known, because jobs that
/// are submitted later may go first and machines fail.
const WORK_AHEAD_DEVIATION: f64 = 0.1;
/// Minimum remaining time of a running task, as a fraction both of its elapsed time and of the mean run time.
const MIN_REMAINING_FRACTION: f64 = 0.1;
/// Lower bound of the CPUs of a task when the number of parallel tasks is computed, against a division by zero.
const MIN_CPUS_PER_TASK: f64 = 1e-6;
/// Upper bound of the number of parallel tasks.
const MAX_PARALLEL_TASKS: f64 = 1e6;

/// CPUs of machines that are booting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BootingCapacity {
    /// Time from now until the CPUs are expected to be available.
    pub ready_in: Span,
    /// Number of CPUs.
    pub cpus: f64,
}

/// CPUs that the tasks of a job can use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AvailableCapacity {
    /// CPUs that are available now.
    pub cpus: f64,
    /// CPUs of booting machines, ordered by [`BootingCapacity::ready_in`].
    pub booting: Vec<BootingCapacity>,
    /// Maximum number of CPUs that the job may use at once: the quota of its team or the CPUs of all its tasks,
    /// whichever is smaller.
    pub max_cpus: f64,
}

/// Inputs of the forecast of a finish time.
#[derive(Clone, Debug)]
pub struct FinishInputs<'a> {
    /// Forecast run time of one task.
    pub run_time: RunTimeForecast,
    /// Number of CPUs that one task uses.
    pub cpus_per_task: f64,
    /// Number of pending tasks.
    pub pending: u32,
    /// Elapsed run time of each running task.
    pub running: &'a [Span],
    /// Work that goes first, in CPU seconds: pending tasks ahead in the queue, and the rest of running ones.
    pub ahead_cpu_s: f64,
    /// Expected duration of the fetch of a task's image.
    pub image_fetch: Span,
    /// CPUs that the tasks can use.
    pub capacity: &'a AvailableCapacity,
}

/// Forecast of the time from now until a job is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishForecast {
    /// Tenth percentile.
    pub low: Span,
    /// Median.
    pub median: Span,
    /// Ninetieth percentile.
    pub high: Span,
}

/// Forecasts the time until a job is done; returns `None` if neither available nor booting CPUs can run its pending
/// tasks.
///
/// The forecast is monotone: more tasks, more work ahead, less capacity or a lower quota never make it earlier. The
/// same inputs always give the same result.
pub fn forecast_finish(inputs: &FinishInputs) -> Option<FinishForecast> {
    let low = finish_s(inputs, -BOUND_DEVIATIONS)?;
    let median = finish_s(inputs, 0.0)?;
    let high = finish_s(inputs, BOUND_DEVIATIONS)?;
    Some(FinishForecast {
        low: Span::secs(low.min(median)),
        median: Span::secs(median),
        high: Span::secs(high.max(median)),
    })
}

/// Returns the seconds until the job is done if run times and the work ahead are `deviations` standard deviations
/// larger than their medians.
fn finish_s(inputs: &FinishInputs, deviations: f64) -> Option<f64> {
    let FinishInputs { run_time, capacity, .. } = inputs;
    let mean_s = run_time.mean_s(deviations);
    let running_s = longest_remaining_s(inputs.running, mean_s);
    let tasks = inputs.running.len() as u32 + inputs.pending;
    let straggler_s = run_time.longest_excess_s(tasks.min(max_parallel_tasks(inputs)), deviations);
    if inputs.pending == 0 {
        return Some(if tasks == 0 { 0.0 } else { running_s + straggler_s });
    }
    let ahead_cpu_s = inputs.ahead_cpu_s * (1.0 + WORK_AHEAD_DEVIATION * deviations).max(0.0);
    let own_cpu_s = f64::from(inputs.pending) * inputs.cpus_per_task * mean_s;
    // The work ahead uses all CPUs and the job starts after it, with as many CPUs as it may use.
    let start_s = work_done_at_s(capacity, ahead_cpu_s, f64::MAX, 0.0)?;
    let done_s = work_done_at_s(capacity, own_cpu_s, capacity.max_cpus, start_s)?;
    let image_fetch_s = inputs.image_fetch.as_secs();
    let earliest_s = start_s + image_fetch_s + mean_s;
    Some((done_s + image_fetch_s).max(earliest_s).max(running_s) + straggler_s)
}

/// Returns the longest remaining time of the running tasks, in seconds.
///
/// The remaining time of a task that has run longer than expected is taken as proportional to its elapsed time, as
/// usual for long-tailed distributions.
fn longest_remaining_s(running: &[Span], mean_s: f64) -> f64 {
    let remaining_s = |elapsed: &Span| {
        let elapsed_s = elapsed.as_secs();
        (mean_s - elapsed_s).max(MIN_REMAINING_FRACTION * elapsed_s).max(MIN_REMAINING_FRACTION * mean_s)
    };
    running.iter().map(remaining_s).fold(0.0, f64::max)
}

/// Returns the number of tasks that the job may run at once.
fn max_parallel_tasks(inputs: &FinishInputs) -> u32 {
    let tasks = inputs.capacity.max_cpus / inputs.cpus_per_task.max(MIN_CPUS_PER_TASK);
    tasks.clamp(1.0, MAX_PARALLEL_TASKS) as u32
}

/// Returns the time, in seconds from now, at which work of `work_cpu_s` CPU seconds is done if it starts at `start_s`
/// and uses at most `max_cpus` at once; `None` if there are no CPUs for it.
fn work_done_at_s(capacity: &AvailableCapacity, work_cpu_s: f64, max_cpus: f64, start_s: f64) -> Option<f64> {
    let (mut cpus, mut now_s, mut remaining_cpu_s) = (capacity.cpus, 0.0, work_cpu_s);
    let boots = capacity.booting.iter().map(|booting| (booting.ready_in.as_secs(), booting.cpus));
    for (ready_at_s, more_cpus) in boots.chain([(f64::MAX, 0.0)]) {
        let usable = cpus.min(max_cpus).max(0.0);
        let begin_s = f64::max(now_s, start_s);
        if ready_at_s > begin_s {
            if usable > 0.0 && remaining_cpu_s <= usable * (ready_at_s - begin_s) {
                return Some(begin_s + remaining_cpu_s / usable);
            }
            remaining_cpu_s -= usable * (ready_at_s - begin_s);
        }
        now_s = now_s.max(ready_at_s);
        cpus += more_cpus;
    }
    None
}
