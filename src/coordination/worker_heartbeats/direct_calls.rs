//! Direct calls to workers, which do not wait for the next heartbeat: probes of silent machines, and commands that stop
//! preempted tasks and tasks of cancelled jobs.

use super::super::controller::Controller;
use super::super::pending_calls::PendingWorkerCall;
use super::super::placement::{PlacementContext, Preemption};
use super::super::shard::{AttemptLocation, Job, Machine, Shard};
use crate::model::{JobId, MachineId, ShardId};
use crate::protocol::CallError;
use crate::protocol::workers::{self, Command, WorkerAnswer, WorkerCall};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Maximum number of machines that are called directly to stop the tasks of one cancelled job. Each call takes a
/// socket; the other machines get the commands in answers to their heartbeats.
const MAX_DIRECT_STOPS: usize = 64;

/// Number of heartbeat intervals without a heartbeat after which a machine is probed.
const PROBE_AFTER_INTERVALS: f64 = 2.0;

/// Direct call that is ready to be sent.
struct DirectCall {
    /// Machine to call.
    machine: MachineId,
    /// Address at which the machine's worker receives direct calls.
    addr: SocketAddrV4,
    /// Commands, with the fencing token and the agent epoch that the worker checks.
    request: WorkerCall,
}

impl DirectCall {
    /// Creates a call with the given commands under the machine's present token and epoch. Without commands the call is
    /// a probe.
    fn new(id: &MachineId, machine: &Machine, commands: Vec<Command>) -> DirectCall {
        let request = WorkerCall { token: machine.token, epoch: machine.last_heartbeat().epoch, commands };
        DirectCall { machine: id.clone(), addr: machine.addr, request }
    }
}

impl Controller {
    /// Sends direct calls to machines of a shard.
    fn send_direct_calls(&mut self, shard_id: ShardId, calls: Vec<DirectCall>) {
        for DirectCall { machine, addr, request } in calls {
            self.call_worker(shard_id, &machine, addr, request);
        }
    }

    /// Probes reconciled machines with unfinished attempts that have been silent for [`PROBE_AFTER_INTERVALS`], to find
    /// out whether they are up.
    pub(super) fn probe_silent_machines(&mut self, shard_id: ShardId) {
        let (now, max_silence) = (self.now, self.settings.heartbeat_interval.times(PROBE_AFTER_INTERVALS));
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let mut calls = Vec::new();
        for (id, machine) in &mut shard.machines {
            let is_silent =
                machine.reconciled && now.since(machine.last_contact_at) > max_silence && !machine.is_empty();
            if is_silent && !machine.probe_in_flight && !machine.deleting {
                machine.probe_in_flight = true;
                calls.push(DirectCall::new(id, machine, Vec::new()));
            }
        }
        self.send_direct_calls(shard_id, calls);
    }

    /// Handles the outcome of a direct call to a worker.
    pub(in crate::coordination) fn worker_answered(
        &mut self,
        call: PendingWorkerCall,
        answer: Result<WorkerAnswer, CallError>,
    ) {
        let PendingWorkerCall { leadership, machine: id } = call;
        let shard_id = leadership.shard;
        let now = self.now;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        let Some(machine) = shard.machines.get_mut(&id) else { return };
        machine.probe_in_flight = false;
        match answer {
            answer if !machine.reconciled => self.reconciliation_answered(shard_id, &id, answer),
            // The machine is up. Its task list is not applied: a start command in the answer to one of its heartbeats
            // may still be on its way, and the attempt would seem to be lost.
            Ok(WorkerAnswer::Executed(heartbeat) | WorkerAnswer::Rejected(heartbeat)) if heartbeat.machine == id => {
                machine.last_contact_at = now;
                machine.unanswered_calls = 0;
            }
            // Another machine answers at this address now.
            Ok(_) => {}
            Err(_) => machine.unanswered_calls += 1,
        }
    }

    /// Stops the attempts of a cancelled job that were sent to a machine and have not been reported running. Without
    /// the direct call they could begin to run before the next heartbeat of their machine, after the user was told that
    /// the job is cancelled. Running attempts are stopped in answers to heartbeats.
    pub(in crate::coordination) fn stop_unstarted_attempts(&mut self, shard_id: ShardId, job_id: &JobId) {
        let Some(shard) = self.shards.get(&shard_id) else { return };
        let Some(job) = shard.jobs.get(job_id) else { return };
        let mut calls = Vec::new();
        for (id, mut commands) in shard.unstarted_stops(job).into_iter().take(MAX_DIRECT_STOPS) {
            let Some(machine) = shard.machines.get(id) else { continue };
            commands.truncate(workers::MAX_COMMANDS);
            calls.push(DirectCall::new(id, machine, commands));
        }
        self.send_direct_calls(shard_id, calls);
    }

    /// Sends commands to one machine, in as many direct calls as they need.
    pub(super) fn stop_directly(&mut self, shard_id: ShardId, machine_id: &MachineId, commands: Vec<Command>) {
        let machine = self.shards.get(&shard_id).and_then(|shard| shard.machines.get(machine_id));
        let Some(machine) = machine else { return };
        let calls = commands.chunks(workers::MAX_COMMANDS);
        let calls = calls.map(|commands| DirectCall::new(machine_id, machine, commands.to_vec())).collect();
        self.send_direct_calls(shard_id, calls);
    }

    /// Chooses tasks to preempt and stops them with direct calls, without waiting for the next heartbeats.
    pub(super) fn preempt_tasks(&mut self, shard_id: ShardId) {
        if !self.may_decide(shard_id) {
            return;
        }
        let context = PlacementContext {
            settings: &self.settings,
            types: self.cloud.types(),
            now: self.now,
            wall_clock_ms: self.wall_clock_ms,
        };
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let round = shard.preempt(&context);
        self.statistics.record_preemption_round(&round);
        if !round.is_within_limit {
            log::error!("invariant violated: a round of preemption made {} inspections", round.inspections);
            self.calls.record_invariant_violation();
        }
        let calls = round.preemptions.iter().filter_map(|preemption| shard.preemption_call(preemption)).collect();
        self.send_direct_calls(shard_id, calls);
    }
}

impl Shard {
    /// Returns the commands, by machine, that stop the attempts of a job that have not been reported running.
    fn unstarted_stops<'a>(&self, job: &'a Job) -> BTreeMap<&'a MachineId, Vec<Command>> {
        let mut attempts: Vec<_> = job.progress.running.values().collect();
        attempts.sort();
        let mut stops: BTreeMap<&MachineId, Vec<Command>> = BTreeMap::new();
        for AttemptLocation { machine: machine_id, attempt: number } in attempts {
            let machine = self.machines.get(machine_id).filter(|machine| machine.reconciled && !machine.deleting);
            let Some(attempt) = machine.and_then(|machine| machine.attempts.get(number)) else { continue };
            if !attempt.is_over() && attempt.running_since.is_none() {
                let stop = Command::Stop { task: attempt.task.clone(), attempt: *number, grace_s: 0.0 };
                stops.entry(machine_id).or_default().push(stop);
            }
        }
        stops
    }

    /// Returns the call that stops the attempts that were chosen for preemption on one machine.
    fn preemption_call(&self, preemption: &Preemption) -> Option<DirectCall> {
        let Preemption { machine: id, victims } = preemption;
        let machine = self.machines.get(id)?;
        let stops = victims.iter().filter_map(|number| {
            let attempt = machine.attempts.get(number)?;
            log::debug!("task {} on machine {id}: preempted; sending a stop command to the worker", attempt.task);
            Some(Command::Stop { task: attempt.task.clone(), attempt: *number, grace_s: attempt.stop_grace_s? })
        });
        Some(DirectCall::new(id, machine, stops.collect()))
    }
}
