//! What attempts tell of run times: for how long each has made progress, and whether it got to its end.

use super::shard::{Attempt, Outcome, Shard};
use crate::bookkeeping::ranges::RangeSet;
use crate::model::*;
use crate::protocol::workers::{Exit, TaskState};
use crate::time::{Span, Time};
use crowstall_forecast as forecast;
use std::collections::HashMap;

/// Collects what attempts tell, until the learner takes it.
pub(super) struct Runs {
    /// A machine that was silent for longer may have stood still meanwhile.
    pub patience: Span,
    pub told: Vec<Run>,
}

impl Runs {
    pub fn new(report: Span) -> Runs {
        Runs { patience: report.times(2.5), told: Vec::new() }
    }
}

/// One attempt that is over.
pub(super) struct Run {
    pub job: JobId,
    /// The type of its machine.
    pub machine: Name,
    pub attempt: forecast::Attempt,
}

/// How far an attempt has got.
#[derive(Default)]
pub(super) struct Progress {
    /// It was running before this holder knew of it.
    inherited: bool,
    /// When it was last told to be running.
    last: Option<Time>,
    /// How long its machine was silent meanwhile.
    silent: Span,
}

impl Progress {
    pub fn inherited(now: Time) -> Progress {
        Progress { inherited: true, last: Some(now), silent: Span::ZERO }
    }
}

/// What a job's tasks tell of run times.
#[derive(Default)]
pub(super) struct TaskRuns {
    /// Tasks of which a former attempt may have got further than is known: one that completed unseen has
    /// its result kept, and ends at once when it is started again.
    doubtful: RangeSet,
    /// Progress that stopped attempts have saved.
    saved: HashMap<u32, Span>,
    pub track: forecast::JobTrack,
    /// The run time to plan with, if forecasts are to be planned with.
    pub expected: Option<Span>,
}

impl TaskRuns {
    /// Of a job of which a former holder may have started some tasks.
    pub fn inherited(started: &RangeSet) -> TaskRuns {
        TaskRuns { doubtful: started.clone(), ..TaskRuns::default() }
    }
}

impl Attempt {
    /// Its machine has told how it stands.
    pub fn note_progress(&mut self, state: TaskState, patience: Span, now: Time) {
        if self.running_since.is_none() {
            return;
        }
        let silent = now.since(self.progress.last.unwrap_or(now));
        if silent > patience {
            self.progress.silent = self.progress.silent + silent;
        }
        // What is being saved makes no more progress.
        if state == TaskState::Running {
            self.progress.last = Some(now);
        }
    }

    /// For how long it has surely made progress by the time it was last heard to.
    pub fn ran(&self) -> Option<Span> {
        let (since, last) = (self.running_since?, self.progress.last?);
        Some(last.since(since) - self.progress.silent)
    }
}

impl Shard {
    /// Notes what an attempt that is over tells of run times. Nothing is noted of tasks of which it is not
    /// known how far they had got; anything else that did not come to its end, or not in sight of this
    /// holder, would have taken at least as long as it was seen to run.
    pub(super) fn note_run(&mut self, machine: &MachineId, no: AttemptNo, outcome: Outcome, now: Time) {
        let Some(runs) = &mut self.runs else { return };
        let Some(machine) = self.machines.get(machine) else { return };
        let Some(attempt) = machine.attempts.get(&no) else { return };
        let task = attempt.task.task.0;
        let Some(job) = self.jobs.get_mut(&attempt.task.job).filter(|job| job.spec.kind == JobKind::Array) else {
            return;
        };
        if job.running.get(&task).is_none_or(|(_, current)| *current != no) {
            return;
        }
        let completed = outcome == Outcome::Exited(Exit::Done);
        let seen = match completed {
            true => attempt.running_since.map(|since| now.since(since) - attempt.progress.silent),
            false => attempt.ran(),
        };
        let doubtful = job.runs.doubtful.contains(task);
        let whole = !attempt.progress.inherited && attempt.progress.silent == Span::ZERO;
        if let Some(ran) = seen.filter(|ran| *ran > Span::ZERO) {
            let total = ran + job.runs.saved.get(&task).copied().unwrap_or(Span::ZERO);
            let end = if completed && whole { forecast::End::Completed } else { forecast::End::Cut };
            if !(completed && doubtful) {
                let attempt = forecast::Attempt { ran: total, end };
                runs.told.push(Run { job: job.spec.id.clone(), machine: machine.kind.clone(), attempt });
            }
            if !completed && job.spec.checkpoint_s > 0.0 {
                let kept = match outcome {
                    Outcome::Exited(Exit::Saved) => ran,
                    _ => Span::secs((ran.as_secs() / job.spec.checkpoint_s).floor() * job.spec.checkpoint_s),
                };
                let saved = job.runs.saved.entry(task).or_default();
                *saved = *saved + kept;
            }
        }
        if completed {
            job.runs.saved.remove(&task);
        } else if outcome == Outcome::Lost {
            job.runs.doubtful.insert(task);
        }
    }

    /// A job ends with tasks running: they would have taken at least as long as they did.
    pub(super) fn note_cuts(&mut self, id: &JobId) {
        let (Some(runs), Some(job)) = (&mut self.runs, self.jobs.get(id)) else { return };
        if job.spec.kind != JobKind::Array {
            return;
        }
        for (machine, no) in job.running.values() {
            let Some(machine) = self.machines.get(machine) else { continue };
            let ran = machine.attempts.get(no).and_then(Attempt::ran).filter(|ran| *ran > Span::ZERO);
            if let Some(ran) = ran {
                let attempt = forecast::Attempt { ran, end: forecast::End::Cut };
                runs.told.push(Run { job: id.clone(), machine: machine.kind.clone(), attempt });
            }
        }
    }
}
