//! Second copies of messages that carry commands to workers. They arrive after the first ones were executed and
//! answered.

use super::*;
use serde_json::Value;

/// Probability that a message is copied.
const COPY_PROBABILITY: f64 = 0.5;

/// Shortest delay of a copy.
const MIN_DELAY: u64 = 500 * MS;

/// Copy of a message with commands that a worker has executed.
#[derive(Clone, Debug)]
pub enum CommandCopy {
    /// A direct call.
    DirectCall(WorkerCall),
    /// The answer to a heartbeat of an agent epoch, with its fencing token.
    HeartbeatAnswer { epoch: u64, token: u64, commands: Vec<Value> },
}

/// Numbers of copies that reached a running machine in the same agent epoch and with a current fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopiesOfCommands {
    /// Direct calls. The worker executes them once more.
    pub direct_calls: u64,
    /// Start commands of attempts that the worker has forgotten, so that it would start them once more.
    pub forgotten_starts: u64,
    /// Those of tasks that have another attempt on another machine.
    pub starts_of_moved_tasks: u64,
    /// Those of tasks whose job was reported as cancelled.
    pub starts_of_cancelled_jobs: u64,
    /// Messages between controllers: forwarded requests and their answers.
    pub peer_messages: u64,
}

impl CopiesOfCommands {
    /// Adds the numbers of another simulation.
    pub fn add(&mut self, other: CopiesOfCommands) {
        self.direct_calls += other.direct_calls;
        self.forgotten_starts += other.forgotten_starts;
        self.starts_of_moved_tasks += other.starts_of_moved_tasks;
        self.starts_of_cancelled_jobs += other.starts_of_cancelled_jobs;
        self.peer_messages += other.peer_messages;
    }
}

impl Simulation {
    /// Returns the time at which a copy of the message that is being delivered arrives, or `None` if it has no copy.
    fn arrival_of_copy(&mut self) -> Option<u64> {
        let max_delay = self.message_copies?.active(self.now)?;
        let is_copied = self.rng.random_bool(COPY_PROBABILITY);
        is_copied.then(|| self.now + self.rng.random_range(MIN_DELAY..max_delay))
    }

    /// Schedules a copy of commands that a worker is executing, unless there are none.
    pub(super) fn copy_commands(&mut self, machine: u32, copy: CommandCopy) {
        let is_empty = match &copy {
            CommandCopy::DirectCall(request) => request.commands.is_empty(),
            CommandCopy::HeartbeatAnswer { commands, .. } => commands.is_empty(),
        };
        if is_empty {
            return;
        }
        if let Some(at) = self.arrival_of_copy() {
            self.schedule(at, ScheduledEvent::CommandCopyArrives { machine, copy });
        }
    }

    /// Schedules a copy of a forwarded request or of its answer.
    pub(super) fn copy_peer_message(&mut self, node: usize, message: &PeerMessage, bytes: &[u8]) {
        if !matches!(message, PeerMessage::ClientRequest { .. } | PeerMessage::Answer { .. }) {
            return;
        }
        if let Some(at) = self.arrival_of_copy() {
            self.observations.copies_of_commands.peer_messages += 1;
            self.schedule(at, ScheduledEvent::PeerMessageArrives { node, bytes: bytes.to_vec() });
        }
    }

    /// Handles the arrival of a copy at a machine. A direct call is executed once more; the answer to a heartbeat is
    /// dropped, since the worker no longer waits for it, unless a disabled safeguard makes the worker execute it.
    pub(super) fn command_copy_arrives(&mut self, machine: u32, copy: CommandCopy) {
        let now = self.now;
        let is_reachable = |worker: &workers::Worker| {
            now >= worker.up_at && now >= worker.answers_lost_until && now >= worker.hung_until
        };
        let Some(worker) = self.workers.get(&machine).filter(|worker| is_reachable(worker)) else { return };
        let (epoch, token) = match &copy {
            CommandCopy::DirectCall(request) => (request.epoch.0, request.token.0),
            CommandCopy::HeartbeatAnswer { epoch, token, .. } => (*epoch, *token),
        };
        if worker.epoch != epoch || token < worker.token {
            return;
        }
        match copy {
            CommandCopy::DirectCall(request) => {
                self.observations.copies_of_commands.direct_calls += 1;
                self.execute_worker_call(machine, &request);
            }
            CommandCopy::HeartbeatAnswer { commands, .. } => {
                self.count_copied_starts(machine, &commands);
                if self.disabled == DisabledSafeguard::LateAnswersDropped {
                    self.execute_commands(machine, &commands);
                }
            }
        }
    }

    /// Counts the start commands of a copied answer.
    fn count_copied_starts(&mut self, machine: u32, commands: &[Value]) {
        let starts = commands.iter().filter(|command| command["call"] == "run");
        let attempts = starts.filter_map(|command| {
            let task: TaskId = command["egg"].as_str()?.parse().ok()?;
            Some((task, command["hatch"].as_u64()?))
        });
        for (task, attempt) in attempts.collect::<Vec<_>>() {
            let Some(worker) = self.workers.get(&machine) else { return };
            if worker.tasks.contains_key(&(task.clone(), attempt)) {
                continue;
            }
            let mut others = self.workers.values().filter(|worker| worker.number != machine);
            let is_moved = others.any(|worker| worker.tasks.keys().any(|(other, _)| *other == task));
            let mut users = self.users.iter();
            let is_cancelled = users.any(|user| user.spec.id == task.job && user.cancelled_at.is_some());
            let copies = &mut self.observations.copies_of_commands;
            copies.forgotten_starts += 1;
            copies.starts_of_moved_tasks += u64::from(is_moved);
            copies.starts_of_cancelled_jobs += u64::from(is_cancelled);
        }
    }
}
