//! Lifecycle of a shard's attempts: placement on machines, updates from worker heartbeats, and the accounting when an
//! attempt ends.

use super::AttemptProgress;
use super::{Attempt, AttemptLocation, AttemptOutcome, HeartbeatNumber, Job, Shard, UNBOUNDED};
use crate::config::Settings;
use crate::model::{AttemptNumber, JobId, JobKind, MachineId, MachineType, Name, Quantity, Resources, TaskId};
use crate::protocol::workers::{Exit, TaskState, TaskStatus, WorkerHeartbeat};
use crate::time::Time;
use crowstall_reconciliation::TeamQuota;
use std::collections::{HashMap, HashSet};

/// Facts about an attempt that are needed when it ends.
struct EndedAttempt {
    task: TaskId,
    outcome: AttemptOutcome,
    /// Run time in seconds. `None` if the attempt was never reported to be running.
    run_time_s: Option<f64>,
}

impl Shard {
    /// Returns an upper bound of the resources that a team uses now.
    ///
    /// An unreconciled machine may be fully used by the team, and not only by tasks of live jobs: tasks of a job that
    /// was cancelled just before the failover run until they receive a command to stop. A machine with an attempt whose
    /// job has ended counts as fully used by every team as well, since the team of that job is not known any more.
    pub fn team_usage(&self, team: &Name, settings: &Settings, types: &HashMap<Name, MachineType>) -> Resources {
        let counted = self.usage.get(team).copied().unwrap_or_default();
        let ended = self.ended_without_lease.as_ref().and_then(|ended| ended.get(team));
        let counted = ended.map_or(counted, |ended| counted.plus(ended));
        if self.recovery.is_complete() && self.machines_with_unknown_jobs.is_empty() {
            return counted;
        }
        let everything = Resources { cpus: UNBOUNDED, gpus: UNBOUNDED, memory: UNBOUNDED };
        let capacity = |kind: &Name| types.get(kind).map_or(everything, |kind| kind.capacity);
        self.count_inspections(self.machines_with_unknown_jobs.len());
        let with_unknown_jobs = self.machines_with_unknown_jobs.iter().filter_map(|id| self.machines.get(id));
        let unknown_jobs =
            with_unknown_jobs.fold(Resources::default(), |sum, machine| sum.plus(&capacity(&machine.kind)));
        let quota = settings.teams.get(team).filter(|_| self.leadership.same_quotas);
        let quota = quota.map(|quota| TeamQuota { cpus: quota.cpus_max, gpus: quota.gpus_max });
        counted.plus(&self.recovery.max_unreconciled_usage(team, quota, capacity, unknown_jobs))
    }

    /// Adds an attempt to a machine in memory. The attempt counts towards its team's usage unless it is over, and
    /// becomes the current attempt of its task unless it is to be stopped or its job is unknown.
    pub fn place(&mut self, machine: &MachineId, attempt_number: AttemptNumber, attempt: Attempt) {
        if !attempt.is_over() {
            let usage = self.usage.entry(attempt.team.clone()).or_default();
            *usage = usage.plus(&attempt.needs);
        }
        if let Some(job) = self.jobs.get_mut(&attempt.task.job)
            && attempt.stop_grace_s.is_none()
        {
            let location = AttemptLocation { machine: machine.clone(), attempt: attempt_number };
            job.progress.started(attempt.task.task.0, location);
        }
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.attempts.insert(attempt_number, attempt);
        }
    }

    /// Records that an attempt no longer runs: its resources and quota are freed, and its task is completed or becomes
    /// pending again.
    fn finish_attempt(
        &mut self,
        machine_id: &MachineId,
        attempt_number: AttemptNumber,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        self.record_runtime(machine_id, attempt_number, outcome, now);
        let Some(ended) = self.ended_attempt(machine_id, attempt_number, outcome, now) else { return };
        log::debug!("task {}: attempt {attempt_number} on machine {machine_id} ended: {outcome:?}", ended.task);
        self.free_usage(machine_id, attempt_number);
        self.update_idle_since(machine_id, now);
        self.update_machine_failures(machine_id, &ended, now);
        let Some(job) = self.jobs.get(&ended.task.job) else { return };
        if job.progress.is_current(&ended.task, attempt_number) {
            self.finish_current_attempt(machine_id, &ended, now);
        } else {
            self.finish_superseded_attempt(&ended);
        }
    }

    fn ended_attempt(
        &self,
        machine_id: &MachineId,
        attempt_number: AttemptNumber,
        outcome: AttemptOutcome,
        now: Time,
    ) -> Option<EndedAttempt> {
        let attempt = self.machines.get(machine_id)?.attempts.get(&attempt_number)?;
        let run_time_s = attempt.running_since.map(|since| now.since(since).as_secs());
        Some(EndedAttempt { task: attempt.task.clone(), outcome, run_time_s })
    }

    /// Subtracts the resources of an attempt from its team's usage. While the leader lease is not valid, they keep
    /// counting towards the quota as resources that ended without a lease, see [`Shard::record_lease_state`].
    fn free_usage(&mut self, machine_id: &MachineId, attempt_number: AttemptNumber) {
        let Some(attempt) = self.machines.get(machine_id).and_then(|machine| machine.attempts.get(&attempt_number))
        else {
            return;
        };
        let Some(usage) = self.usage.get_mut(&attempt.team) else { return };
        *usage = usage.minus(&attempt.needs);
        if let Some(ended) = &mut self.ended_without_lease {
            let ended = ended.entry(attempt.team.clone()).or_default();
            *ended = ended.plus(&attempt.needs);
        }
        if attempt.is_of_unknown_job() && usage.cpus == Quantity(0) {
            self.machines_with_unknown_jobs.clear();
        }
    }

    /// Starts the idle time of a machine if the attempt that ends, which is not marked as over yet, is its last one.
    fn update_idle_since(&mut self, machine_id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        if machine.attempts.values().filter(|attempt| !attempt.is_over()).count() <= 1 {
            machine.idle_since = now;
        }
    }

    /// Counts a failed attempt towards the quarantine of its machine. A completed attempt resets that count.
    fn update_machine_failures(&mut self, machine_id: &MachineId, ended: &EndedAttempt, now: Time) {
        match ended.outcome {
            AttemptOutcome::Exited(Exit::Error) => self.record_machine_failure(machine_id, &ended.task.job, now),
            AttemptOutcome::Exited(Exit::Done) => {
                if let Some(machine) = self.machines.get_mut(machine_id) {
                    machine.clear_failed_jobs();
                }
            }
            _ => {}
        }
    }

    /// Handles the end of an attempt that is not the current attempt of its task. If the attempt completed a task of a
    /// job array, the task is done nevertheless.
    fn finish_superseded_attempt(&mut self, ended: &EndedAttempt) {
        let is_array = self.jobs.get(&ended.task.job).is_some_and(|job| job.spec.kind == JobKind::Array);
        if ended.outcome == AttemptOutcome::Exited(Exit::Done) && is_array {
            self.complete_task(&ended.task);
        }
    }

    /// Handles the end of the current attempt of a task: the task is completed or becomes pending again, and an exit
    /// with an error counts as a failure of the job.
    fn finish_current_attempt(&mut self, machine_id: &MachineId, ended: &EndedAttempt, now: Time) {
        let Some(job) = self.jobs.get_mut(&ended.task.job) else { return };
        job.progress.running.remove(&ended.task.task.0);
        if ended.outcome == AttemptOutcome::Exited(Exit::Done) {
            if let Some(seconds) = ended.run_time_s {
                job.observed_runtimes.add(seconds);
            }
            job.failures.record_success();
            return self.complete_task(&ended.task);
        }
        if job.progress.pending.is_empty() {
            job.waiting.waiting_since = now;
            self.queue.invalidate();
        }
        job.progress.pending.insert(ended.task.task.0);
        if matches!(ended.outcome, AttemptOutcome::Exited(Exit::Error | Exit::Unknown)) {
            self.record_job_failure(machine_id, ended, now);
        }
    }

    /// Adds a failure to the job's history. The job backs off if it fails everywhere, or if the worker could not find
    /// it ([`Exit::Unknown`]).
    fn record_job_failure(&mut self, machine_id: &MachineId, ended: &EndedAttempt, now: Time) {
        let Some(job) = self.jobs.get_mut(&ended.task.job) else { return };
        let running = job.progress.running.len();
        let newly_at_fault = job.failures.record_failure(machine_id, job.spec.kind, running, now);
        if job.failures.fails_everywhere || ended.outcome == AttemptOutcome::Exited(Exit::Unknown) {
            job.failures.back_off(now);
            self.queue.invalidate();
        }
        if newly_at_fault {
            log::info!(
                "job {}: tasks failed on {} machines and {running} of its tasks are running; \
                 considering the job at fault and backing off",
                ended.task.job,
                job.failures.machines.len()
            );
            self.clear_machine_failures(&ended.task.job);
        }
    }

    /// Counts a failure towards the quarantine of the machine, unless the job is unknown or fails everywhere.
    fn record_machine_failure(&mut self, machine_id: &MachineId, job: &JobId, now: Time) {
        if self.jobs.get(job).is_none_or(|job| job.failures.fails_everywhere) {
            return;
        }
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        if machine.record_failed_job(job, now) {
            log::warn!(
                "machine {machine_id}: quarantined since tasks of several jobs failed on it; starting no tasks on it"
            );
        }
    }

    /// Removes a job's failures from the counts of all machines. Otherwise a machine on which tasks of several jobs
    /// that fail everywhere happened to run would be quarantined and returned to the cloud.
    fn clear_machine_failures(&mut self, job: &JobId) {
        for machine in self.machines.values_mut() {
            machine.clear_failed_job(job);
        }
    }

    fn complete_task(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.progress.completed(task.task.0);
        if job.is_complete() {
            self.finished.push(task.job.clone());
        }
    }

    /// Removes the attempts of a machine for which `is_gone` returns `true`. Attempts that were not over end as lost.
    fn remove_attempts(
        &mut self,
        machine_id: &MachineId,
        is_gone: impl Fn(AttemptNumber, &Attempt) -> bool,
        now: Time,
    ) {
        let Some(machine) = self.machines.get(machine_id) else { return };
        let gone = machine.attempts.iter().filter(|(attempt_number, attempt)| is_gone(**attempt_number, attempt));
        let gone: Vec<(AttemptNumber, bool)> =
            gone.map(|(attempt_number, attempt)| (*attempt_number, attempt.is_over())).collect();
        for (attempt_number, was_over) in gone {
            if !was_over {
                self.finish_attempt(machine_id, attempt_number, AttemptOutcome::Lost, now);
            }
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.attempts.remove(&attempt_number);
            }
        }
    }

    /// Marks all attempts of a job that are not over to be stopped at once, without time to save their progress.
    pub fn stop_attempts_of(&mut self, job: &JobId) {
        let attempts = self.machines.values_mut().flat_map(|machine| machine.attempts.values_mut());
        for attempt in attempts.filter(|attempt| attempt.task.job == *job && !attempt.is_over()) {
            attempt.stop_grace_s = Some(0.0);
        }
    }

    /// Removes all attempts of a machine on which none can be running any more, and marks the machine as reconciled.
    pub fn remove_all_attempts(&mut self, machine_id: &MachineId, now: Time) {
        self.remove_attempts(machine_id, |_, _| true, now);
        self.mark_reconciled(machine_id, now);
    }

    /// Applies a heartbeat that is newer than all before. If the heartbeat reconciles its machine, the caller applies
    /// it before it marks the machine as reconciled, so that the attempts found are recorded as inherited.
    pub fn apply_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Time) {
        let id = &heartbeat.machine;
        for status in &heartbeat.tasks {
            let Some(machine) = self.machines.get(id) else { return };
            if machine.attempts.contains_key(&status.attempt) {
                self.apply_status(id, status, now);
            } else {
                self.adopt_attempt(heartbeat, status, now);
            }
        }
        let reported: HashSet<AttemptNumber> = heartbeat.tasks.iter().map(|task| task.attempt).collect();
        let number = HeartbeatNumber::of(heartbeat);
        // The command to start an attempt that was sent in answer to this heartbeat or to a later one may still be in
        // flight, so such an attempt is kept though it is not reported.
        self.remove_attempts(
            id,
            |attempt_number, attempt| !reported.contains(&attempt_number) && attempt.sent_in < number,
            now,
        );
    }

    /// Applies a reported status to an attempt that this leader knows.
    fn apply_status(&mut self, machine_id: &MachineId, status: &TaskStatus, now: Time) {
        let max_silence = self.runtime_samples.as_ref().map(|samples| samples.max_silence);
        let Some(attempt) = self.attempt_mut(machine_id, status.attempt) else { return };
        if status.state == TaskState::Running && attempt.running_since.is_none() {
            attempt.running_since = Some(now);
        }
        if let Some(max_silence) = max_silence {
            attempt.record_progress(status.state, max_silence, now);
        }
        if attempt.is_over() {
            return;
        }
        if let TaskState::Exited(exit) = status.state {
            self.finish_attempt(machine_id, status.attempt, AttemptOutcome::Exited(exit), now);
        }
        self.set_attempt_state(machine_id, status);
    }

    /// Adds a reported attempt that this leader does not know: one that a former leader started, or one whose job has
    /// ended.
    fn adopt_attempt(&mut self, heartbeat: &WorkerHeartbeat, status: &TaskStatus, now: Time) {
        let attempt = self.reported_attempt(heartbeat, status, now);
        match status.state {
            TaskState::Exited(exit) => self.adopt_ended_attempt(&heartbeat.machine, status, attempt, exit, now),
            _ => self.adopt_running_attempt(&heartbeat.machine, status.attempt, attempt),
        }
    }

    /// Creates an attempt from its status in a heartbeat. The attempt is to be stopped unless it is over, or its task
    /// is neither done nor run by another attempt.
    fn reported_attempt(&self, heartbeat: &WorkerHeartbeat, status: &TaskStatus, now: Time) -> Attempt {
        let is_over = matches!(status.state, TaskState::Exited(_));
        let (team, needs) = match self.job_of(&status.task) {
            Some(job) => (job.spec.team.clone(), job.spec.needs),
            // The needs of the attempt are not known, so the machine counts as full until the attempt is gone.
            None => (Name::new(""), Resources { cpus: UNBOUNDED, ..Resources::default() }),
        };
        Attempt {
            task: status.task.clone(),
            team,
            needs,
            state: Some(status.state),
            sent_in: HeartbeatNumber::of(heartbeat),
            running_since: (status.state == TaskState::Running).then_some(now),
            progress: AttemptProgress::inherited(now),
            stop_grace_s: (!self.needs_attempt(&status.task) && !is_over).then_some(0.0),
        }
    }

    fn adopt_running_attempt(&mut self, machine_id: &MachineId, attempt_number: AttemptNumber, attempt: Attempt) {
        let inherited = self.machines.get(machine_id).is_some_and(|machine| !machine.reconciled);
        if attempt.is_of_unknown_job() {
            self.machines_with_unknown_jobs.insert(machine_id.clone());
        } else if inherited {
            self.recovery.record_found_attempt(&attempt.team, &attempt.needs);
        }
        self.place(machine_id, attempt_number, attempt);
    }

    /// Adds an attempt that was over when it was first reported.
    ///
    /// Unless the attempt completed its task, the task may still be running elsewhere: the former leader may have
    /// received the same report and started the task on another machine, while its answer that makes this machine
    /// forget the attempt was lost. A task that may be running on another machine therefore stays unreconciled.
    fn adopt_ended_attempt(
        &mut self,
        machine_id: &MachineId,
        status: &TaskStatus,
        attempt: Attempt,
        exit: Exit,
        now: Time,
    ) {
        let job = self.job_of(&status.task);
        let settles_task = exit == Exit::Done || job.is_none_or(|job| !self.recovery.may_be_running(&job.spec));
        if self.needs_attempt(&status.task) && settles_task {
            // The attempt is first placed as running, so that its end is recorded like that of any other attempt.
            self.place(machine_id, status.attempt, Attempt { state: None, ..attempt });
            self.finish_attempt(machine_id, status.attempt, AttemptOutcome::Exited(exit), now);
        } else if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.attempts.insert(status.attempt, attempt);
        }
        self.set_attempt_state(machine_id, status);
    }

    /// Returns `true` if the task exists and is neither done nor running.
    fn needs_attempt(&self, task: &TaskId) -> bool {
        self.job_of(task).is_some_and(|job| job.progress.needs_attempt(task.task.0))
    }

    /// Returns the job of a task. `None` if the job is unknown or has no task of that number.
    fn job_of(&self, task: &TaskId) -> Option<&Job> {
        self.jobs.get(&task.job).filter(|job| task.task.0 < job.spec.tasks)
    }

    fn attempt_mut(&mut self, machine_id: &MachineId, attempt_number: AttemptNumber) -> Option<&mut Attempt> {
        self.machines.get_mut(machine_id).and_then(|machine| machine.attempts.get_mut(&attempt_number))
    }

    fn set_attempt_state(&mut self, machine_id: &MachineId, status: &TaskStatus) {
        if let Some(attempt) = self.attempt_mut(machine_id, status.attempt) {
            attempt.state = Some(status.state);
        }
    }
}
