//! The answers that renew worker leases.
//!
//! After a user is told that a job is cancelled, its tasks may remain on machines only until the worker leases that
//! were renewed before have ended. So each answer that renews a lease has to stop all tasks on the machine whose jobs
//! have ended, whether the heartbeat is the newest one or an outdated one. [`Controller::renew_worker_lease`] alone
//! gives such answers.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::shard::{Job, Shard};
use crate::model::{AttemptNumber, FinalState, JobId, ShardId, TaskId};
use crate::protocol::workers::{self, Command, TaskState, WorkerHeartbeat};
use crate::protocol::{BusyReason, Reply};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Attempts that the answer to a heartbeat has to stop if it renews the worker lease.
pub(super) struct RequiredStops(BTreeMap<AttemptNumber, TaskId>);

impl RequiredStops {
    /// Returns `true` if the attempt is to be stopped.
    pub fn contains(&self, attempt: AttemptNumber) -> bool {
        self.0.contains_key(&attempt)
    }

    /// Returns `true` if one answer can hold all the commands.
    pub fn fit_into_answer(&self) -> bool {
        self.0.len() <= workers::MAX_COMMANDS
    }

    /// Returns the commands that stop the attempts at once.
    pub fn commands(&self) -> Vec<Command> {
        let stop = |(number, task): (&AttemptNumber, &TaskId)| Command::Stop {
            task: task.clone(),
            attempt: *number,
            grace_s: 0.0,
        };
        self.0.iter().map(stop).collect()
    }

    /// Returns the number of attempts that the commands do not stop at once.
    fn count_missing_in(&self, commands: &[Command]) -> usize {
        let stopped: BTreeSet<AttemptNumber> = commands.iter().filter_map(attempt_stopped_at_once).collect();
        self.0.keys().filter(|number| !stopped.contains(number)).count()
    }
}

/// Returns the attempt that a command stops without time to save its progress, or `None` for any other command.
fn attempt_stopped_at_once(command: &Command) -> Option<AttemptNumber> {
    match command {
        Command::Stop { attempt, grace_s: 0.0, .. } => Some(*attempt),
        _ => None,
    }
}

/// Returns `true` if tasks of a job must not run on: the job is not live, or its cancellation was requested.
///
/// An attempt of a job whose cancellation was requested is stopped before the cancellation is known to be recorded. The
/// answer to the commit may be lost while another controller reads the final record and reports it to users. The time
/// within which the tasks must stop runs from that report, even if this controller can't reach the state service to
/// learn of the outcome.
fn must_not_run(jobs: &HashMap<JobId, Job>, job: &JobId) -> bool {
    jobs.get(job).is_none_or(|job| job.ending == Some(FinalState::Cancelled))
}

impl Shard {
    /// Returns the attempts of jobs that have ended among those that a heartbeat lists and those that are known to be
    /// on its machine. A listed attempt is known only if the list was applied.
    pub(super) fn required_stops(&self, heartbeat: &WorkerHeartbeat) -> RequiredStops {
        let is_over = |state: TaskState| matches!(state, TaskState::Exited(_));
        let listed = heartbeat.tasks.iter().filter(|status| !is_over(status.state));
        let listed = listed.map(|status| (status.attempt, &status.task));
        let known = self.machines.get(&heartbeat.machine).into_iter().flat_map(|machine| &machine.attempts);
        let known = known.filter(|(_, attempt)| !attempt.is_over());
        let known = known.map(|(number, attempt)| (*number, &attempt.task));
        let required = listed.chain(known).filter(|(_, task)| must_not_run(&self.jobs, &task.job));
        RequiredStops(required.map(|(number, task)| (number, task.clone())).collect())
    }
}

impl Controller {
    /// Answers a heartbeat with `commands`, among them the required stops, which renews the worker lease.
    ///
    /// If there are more tasks to stop than one answer can hold, they are stopped by direct calls, and the heartbeat is
    /// refused: the lease is renewed once the worker reports fewer of them.
    pub(super) fn renew_worker_lease(
        &mut self,
        requester: Requester,
        shard_id: ShardId,
        heartbeat: &WorkerHeartbeat,
        required: &RequiredStops,
        commands: &[Command],
    ) {
        let machine = self.shards.get(&shard_id).and_then(|shard| shard.machines.get(&heartbeat.machine));
        let Some(machine) = machine else { return };
        if !required.fit_into_answer() {
            self.stop_directly(shard_id, &heartbeat.machine, required.commands());
            return self.reply(requester, Reply::busy(BusyReason::TooManyStops));
        }
        let missing = required.count_missing_in(commands);
        if missing == 0 {
            return self.reply(requester, workers::accepted(machine.token, commands));
        }
        log::error!(
            "invariant violated: machine {}: the answer to heartbeat {} of epoch {} would have renewed the worker \
             lease without stopping {missing} tasks of ended jobs; refusing the heartbeat",
            heartbeat.machine,
            heartbeat.seq.0,
            heartbeat.epoch.0
        );
        self.calls.record_invariant_violation();
        self.reply(requester, Reply::busy(BusyReason::TooManyStops));
    }
}
