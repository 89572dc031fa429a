//! Runtime samples for the forecast learner: how long each attempt made progress, and whether it ran to its end.

#[cfg(test)]
mod tests;

use super::{Attempt, AttemptOutcome, Machine, Shard};
use crate::model::{AttemptNumber, JobId, JobKind, MachineId, Name};
use crate::protocol::workers::{Exit, TaskState};
use crate::storage::range_set::RangeSet;
use crate::time::{Span, Time};
use crowstall_forecast as forecast;
use std::collections::HashMap;

/// Silence, in heartbeat intervals, after which a machine may have been paused.
const MAX_SILENCE_IN_HEARTBEATS: f64 = 2.5;

/// Collects runtime samples until the learner takes them.
pub(in crate::coordination) struct RuntimeSamples {
    /// Silence of a machine after which its attempts may have been paused, so that the silence does not count as run
    /// time.
    pub max_silence: Span,
    /// Samples that the learner has not consumed yet, in the order in which the attempts ended.
    pub samples: Vec<RuntimeSample>,
}

/// Observed run time of one attempt that is over.
pub(in crate::coordination) struct RuntimeSample {
    /// Job of the attempt.
    pub job: JobId,
    /// Type of the machine on which the attempt ran.
    pub machine: Name,
    /// Time for which the attempt and earlier ones of its task made progress, and whether the task ran to its end.
    pub attempt: forecast::Attempt,
}

/// Observed progress of an attempt.
#[derive(Default)]
pub(in crate::coordination) struct AttemptProgress {
    /// `true` if the attempt was running before this leader knew of it, so that its start was not observed.
    inherited: bool,
    /// Time at which the attempt was last reported to be running. `None` if it was not yet.
    last_running: Option<Time>,
    /// Total time of silences of the machine, longer than `RuntimeSamples::max_silence`, while the attempt was running.
    silence: Span,
}

/// Run-time knowledge of a job: the saved progress of its tasks, and the learned run time.
#[derive(Default)]
pub(in crate::coordination) struct TaskRuntimes {
    /// Tasks with an earlier attempt that may have progressed further than is known. If such an attempt completed
    /// unobserved, its result is kept and the task ends at once when it is started again, so the run time of a later
    /// attempt must not be learned as that of the whole task.
    tasks_with_unknown_progress: RangeSet,
    /// Progress of each task that its stopped attempts have saved.
    saved: HashMap<u32, Span>,
    /// Observations of the job that the learner keeps.
    pub observations: forecast::JobObservations,
    /// Learned run time that plans use. `None` if plans use observed and estimated run times only, or nothing was
    /// learned yet.
    pub learned_run_time: Option<Span>,
}

/// Observed run of an attempt that is over.
struct ObservedRun {
    /// Time for which the attempt made progress.
    run_time: Span,
    /// `true` if the attempt ran to its end.
    completed: bool,
    /// `true` if the attempt was observed from its start to its end without a long silence of its machine.
    uninterrupted: bool,
}

impl RuntimeSamples {
    /// Creates an empty collection. Machines send a heartbeat every `heartbeat_interval`.
    pub fn new(heartbeat_interval: Span) -> RuntimeSamples {
        RuntimeSamples { max_silence: heartbeat_interval.times(MAX_SILENCE_IN_HEARTBEATS), samples: Vec::new() }
    }

    fn add(&mut self, job: &JobId, machine: &Machine, run_time: Span, end: forecast::Outcome) {
        let attempt = forecast::Attempt { run_time, outcome: end };
        self.samples.push(RuntimeSample { job: job.clone(), machine: machine.kind.clone(), attempt });
    }
}

impl AttemptProgress {
    /// Creates the progress of an attempt whose start this leader did not observe.
    pub fn inherited(now: Time) -> AttemptProgress {
        AttemptProgress { inherited: true, last_running: Some(now), silence: Span::ZERO }
    }
}

impl TaskRuntimes {
    /// Creates the run-time knowledge of a job. A former leader may have started the tasks in `started`.
    pub fn inherited(started: &RangeSet) -> TaskRuntimes {
        TaskRuntimes { tasks_with_unknown_progress: started.clone(), ..TaskRuntimes::default() }
    }

    /// Returns the run time of a task up to the end of an attempt, with the progress that earlier attempts saved, and
    /// whether it is the whole run time. `None` if the attempt completed, but an unobserved earlier attempt may have
    /// done part of the work.
    fn sample(&self, task: u32, run: &ObservedRun) -> Option<(Span, forecast::Outcome)> {
        if run.completed && self.tasks_with_unknown_progress.contains(task) {
            return None;
        }
        let total = run.run_time + self.saved.get(&task).copied().unwrap_or(Span::ZERO);
        let whole = run.completed && run.uninterrupted;
        Some((total, if whole { forecast::Outcome::Completed } else { forecast::Outcome::Censored }))
    }

    /// Adds the progress that an attempt saved before it ended early: all of it if the attempt saved on its stop, else
    /// that of its last checkpoint.
    fn add_saved_progress(&mut self, task: u32, run_time: Span, outcome: AttemptOutcome, checkpoint_s: f64) {
        let kept = match outcome {
            AttemptOutcome::Exited(Exit::Saved) => run_time,
            _ => Span::secs((run_time.as_secs() / checkpoint_s).floor() * checkpoint_s),
        };
        let saved = self.saved.entry(task).or_default();
        *saved = *saved + kept;
    }

    /// Updates the saved progress and the tasks with unknown progress after the current attempt of a task has ended.
    fn attempt_ended(&mut self, task: u32, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Exited(Exit::Done) => _ = self.saved.remove(&task),
            AttemptOutcome::Lost => _ = self.tasks_with_unknown_progress.insert(task),
            AttemptOutcome::Exited(_) => {}
        }
    }
}

impl Attempt {
    /// Records that the machine has reported the attempt in the given state. A silence before the report counts as a
    /// pause if it was longer than `max_silence`.
    pub fn record_progress(&mut self, state: TaskState, max_silence: Span, now: Time) {
        if self.running_since.is_none() {
            return;
        }
        let silence = now.since(self.progress.last_running.unwrap_or(now));
        if silence > max_silence {
            self.progress.silence = self.progress.silence + silence;
        }
        // An attempt that saves its state makes no more progress.
        if state == TaskState::Running {
            self.progress.last_running = Some(now);
        }
    }

    /// Returns the time for which the attempt has surely made progress, up to the last report that it was running.
    /// `None` if it was never reported to be running.
    fn run_time_until_last_report(&self) -> Option<Span> {
        let (since, last) = (self.running_since?, self.progress.last_running?);
        Some(last.since(since) - self.progress.silence)
    }

    /// Returns the observed run of the attempt, which is over. `None` if no progress was observed.
    fn observed_run(&self, outcome: AttemptOutcome, now: Time) -> Option<ObservedRun> {
        let completed = outcome == AttemptOutcome::Exited(Exit::Done);
        let run_time = if completed {
            self.running_since.map(|since| now.since(since) - self.progress.silence)
        } else {
            self.run_time_until_last_report()
        };
        let uninterrupted = !self.progress.inherited && self.progress.silence == Span::ZERO;
        run_time.filter(|run_time| *run_time > Span::ZERO).map(|run_time| ObservedRun {
            run_time,
            completed,
            uninterrupted,
        })
    }
}

impl Shard {
    /// Records the runtime sample of an attempt that is over, if it is the current attempt of a job array's task.
    ///
    /// No sample is recorded of a completed task whose earlier progress is not known. Any other attempt that did not
    /// run to its end, or that was not observed without a break, gives a lower bound of the run time.
    pub(super) fn record_runtime(
        &mut self,
        machine: &MachineId,
        attempt_number: AttemptNumber,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        let Some(samples) = &mut self.runtime_samples else { return };
        let Some(machine) = self.machines.get(machine) else { return };
        let Some(attempt) = machine.attempts.get(&attempt_number) else { return };
        let Some(job) = self.jobs.get_mut(&attempt.task.job) else { return };
        if job.spec.kind != JobKind::Array || !job.progress.is_current(&attempt.task, attempt_number) {
            return;
        }
        let task = attempt.task.task.0;
        if let Some(run) = attempt.observed_run(outcome, now) {
            if let Some((run_time, end)) = job.runtimes.sample(task, &run) {
                samples.add(&job.spec.id, machine, run_time, end);
            }
            if !run.completed && job.spec.checkpoint_s > 0.0 {
                job.runtimes.add_saved_progress(task, run.run_time, outcome, job.spec.checkpoint_s);
            }
        }
        job.runtimes.attempt_ended(task, outcome);
    }

    /// Records the running attempts of a job array that ends: the time for which each has run so far is a lower bound
    /// of its run time.
    pub(in crate::coordination) fn record_interruptions(&mut self, id: &JobId) {
        let (Some(samples), Some(job)) = (&mut self.runtime_samples, self.jobs.get(id)) else { return };
        if job.spec.kind != JobKind::Array {
            return;
        }
        for location in job.progress.running.values() {
            let Some(machine) = self.machines.get(&location.machine) else { continue };
            let run_time = machine.attempts.get(&location.attempt).and_then(Attempt::run_time_until_last_report);
            if let Some(run_time) = run_time.filter(|run_time| *run_time > Span::ZERO) {
                samples.add(id, machine, run_time, forecast::Outcome::Censored);
            }
        }
    }
}
