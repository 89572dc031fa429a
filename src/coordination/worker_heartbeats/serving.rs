//! Answers to heartbeats of registered machines: decides whether a heartbeat renews the worker lease, whether its task
//! list is applied, and which commands the answer contains.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::placement::PlacementContext;
use super::super::shard::{Attempt, EarlyHeartbeat, HeartbeatNumber, Job, Machine};
use super::lease_renewal::RequiredStops;
use crate::model::{AttemptNumber, JobId, MachineId, ShardId};
use crate::protocol::workers::{self, Command, TaskState, WorkerHeartbeat};
use crate::protocol::{BusyReason, Reply};
use crate::time::{Span, Time};
use std::collections::HashMap;

/// Validity of the task list of a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TaskListValidity {
    /// Older than what is known of the machine, or possibly sent before commands of a former leader were executed. It
    /// is not applied.
    Outdated,
    /// Newer than all that is known of the machine.
    Current,
}

impl Controller {
    /// Handles a heartbeat that a worker sent to this node or that another controller relayed.
    pub(in crate::coordination) fn handle_heartbeat(&mut self, requester: Requester, heartbeat: Box<WorkerHeartbeat>) {
        if matches!(requester, Requester::Local(_)) {
            self.leadership.end_backoff();
        }
        let owner = self.shards.values().find(|shard| shard.machines.contains_key(&heartbeat.machine));
        match owner.map(|shard| shard.id) {
            Some(shard) => self.serve_heartbeat(requester, shard, heartbeat),
            None => self.handle_unregistered_heartbeat(requester, heartbeat),
        }
    }

    /// Answers a heartbeat of a registered machine, or queues it while the shard's records are being read.
    fn serve_heartbeat(&mut self, requester: Requester, shard_id: ShardId, heartbeat: Box<WorkerHeartbeat>) {
        let (now, worker_lease) = (self.now, self.settings.worker_lease);
        let may_renew_worker_leases = self.may_renew_worker_leases(shard_id);
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        if !shard.is_active() {
            shard.loading.early_heartbeats.push(EarlyHeartbeat { requester, heartbeat });
            return;
        }
        let Some(machine) = shard.machines.get_mut(&heartbeat.machine) else { return };
        if let Some(refusal) = refusal(machine, &heartbeat, may_renew_worker_leases) {
            if shows_newer_leader(machine, &heartbeat) {
                self.check_leadership(shard_id);
            }
            return self.reply(requester, refusal);
        }
        let is_relayed = matches!(requester, Requester::Peer { .. });
        let validity = machine.record_heartbeat(&heartbeat, is_relayed, now, worker_lease);
        if validity == TaskListValidity::Current {
            shard.apply_heartbeat(&heartbeat, now);
            shard.mark_reconciled(&heartbeat.machine, now);
        }
        // Stopping tasks whose job has ended is always safe.
        let required = shard.required_stops(&heartbeat);
        let mut commands = required.commands();
        if validity == TaskListValidity::Current && required.fit_into_answer() {
            self.add_heartbeat_commands(shard_id, &heartbeat.machine, &required, &mut commands);
        }
        self.renew_worker_lease(requester, shard_id, &heartbeat, &required, &commands);
        self.finish_jobs(shard_id);
    }

    /// Returns `true` if tasks may be started on a machine.
    ///
    /// Without a valid leader lease, tasks are started only if the property recovery.hold-on is set, only while worker
    /// leases are still renewed, and only by workers that surely know the fencing token of a successor, if there is
    /// one: see "Starting tasks during an outage" in docs/reconciliation.md.
    fn may_start_tasks(&self, shard_id: ShardId, machine_id: &MachineId) -> bool {
        if self.may_decide(shard_id) {
            return true;
        }
        let Some(shard) = self.shards.get(&shard_id) else { return false };
        let machine = shard.machines.get(machine_id);
        self.settings.properties.recovery.start_without_lease
            && machine.is_some_and(|machine| machine.is_epoch_confirmed(&shard.leadership.leader_lease))
    }

    /// Adds to the required stops the other commands for the answer to a heartbeat whose task list was applied.
    fn add_heartbeat_commands(
        &mut self,
        shard_id: ShardId,
        machine_id: &MachineId,
        required: &RequiredStops,
        commands: &mut Vec<Command>,
    ) {
        let may_start_tasks = self.may_start_tasks(shard_id, machine_id);
        let context = PlacementContext {
            settings: &self.settings,
            types: self.cloud.types(),
            now: self.now,
            wall_clock_ms: self.wall_clock_ms,
        };
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        shard.plan_graceful_eviction(machine_id, &context);
        if let Some(machine) = shard.machines.get(machine_id) {
            let max_cleanups = workers::MAX_COMMANDS.saturating_sub(commands.len());
            commands.extend(machine.cleanup_commands(&shard.jobs, required, max_cleanups));
        }
        if may_start_tasks {
            let max_starts = workers::MAX_COMMANDS.saturating_sub(commands.len());
            commands.extend(shard.bind(machine_id, &mut self.counter, max_starts, &context));
        }
    }
}

/// Returns `true` if the worker has seen the fencing token of a newer leader than this node.
fn shows_newer_leader(machine: &Machine, heartbeat: &WorkerHeartbeat) -> bool {
    heartbeat.token > machine.token
}

/// Returns the refusal of a heartbeat that must not be answered with 200, or `None` if it may be.
///
/// A worker is redirected if there is a newer leader or this node may not renew worker leases any more. If it were
/// answered with 200, it would stay with this node while its lease expires.
fn refusal(machine: &Machine, heartbeat: &WorkerHeartbeat, may_renew_worker_leases: bool) -> Option<Reply> {
    if machine.deleting {
        return Some(Reply::busy(BusyReason::MachineBeingDeleted));
    }
    (shows_newer_leader(machine, heartbeat) || !may_renew_worker_leases).then(|| workers::redirect(None))
}

impl Machine {
    /// Records what a heartbeat that is being answered with 200 shows of the machine itself, and returns the validity
    /// of its task list.
    fn record_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        is_relayed: bool,
        now: Time,
        worker_lease: Span,
    ) -> TaskListValidity {
        let number = HeartbeatNumber::of(heartbeat);
        if number <= self.last_heartbeat() {
            // The heartbeat was delayed, or overtaken by the answer to a direct call.
            self.last_answered_at = Some(now);
            return TaskListValidity::Outdated;
        }
        let answer_evidence = self.answer_evidence(heartbeat);
        self.answer_loss.record_heartbeat(now, heartbeat.epoch, answer_evidence, self.last_answered_at, worker_lease);
        let was_never_used = self.reconciled && self.last_answered_at.is_none() && self.attempts.is_empty();
        self.set_last_heartbeat(number, now);
        self.last_contact_at = now;
        if is_relayed {
            self.relayed_at = Some(now);
        }
        self.unanswered_calls = 0;
        self.addr = heartbeat.addr;
        self.last_answered_at = Some(now);
        self.reclaim_at = heartbeat.notice.map(|remaining| now + remaining);
        // Only a heartbeat that was sent after the present token had reached the worker shows the outcome of a former
        // leader's commands: an older heartbeat may have been sent before the worker received them. A new machine that
        // was never answered cannot have received any command.
        if heartbeat.token < self.token && !was_never_used {
            return TaskListValidity::Outdated;
        }
        if !self.reconciled {
            self.idle_since = now;
        }
        TaskListValidity::Current
    }

    /// Returns the commands that stop attempts other than the required ones, and those that make the worker forget
    /// attempts that are over.
    fn cleanup_commands(
        &self,
        jobs: &HashMap<JobId, Job>,
        required: &RequiredStops,
        max_commands: usize,
    ) -> Vec<Command> {
        let others = self.attempts.iter().filter(|(number, _)| !required.contains(**number));
        let commands = others.filter_map(|(number, attempt)| cleanup_command(*number, attempt, jobs));
        commands.take(max_commands).collect()
    }
}

/// Returns the command that stops an attempt or makes the worker forget it, or `None` if neither is due. An attempt
/// that is already saving its progress is stopped only if it gets no time for that.
fn cleanup_command(number: AttemptNumber, attempt: &Attempt, jobs: &HashMap<JobId, Job>) -> Option<Command> {
    let task = attempt.task.clone();
    if attempt.is_over() {
        // The worker may forget a result only once the job's record contains it.
        let result_is_unrecorded = jobs.get(&task.job).is_some_and(|job| {
            job.progress.done.contains(task.task.0) && !job.record.recorded_tasks.contains(task.task.0)
        });
        return (!result_is_unrecorded).then_some(Command::Forget { task, attempt: number });
    }
    let grace_s = attempt.stop_grace_s?;
    let is_saving = attempt.state == Some(TaskState::Saving);
    (!(is_saving && grace_s > 0.0)).then_some(Command::Stop { task, attempt: number, grace_s })
}
