//! Execution of controllers' commands by workers, and the workers' handling of the answers to their heartbeats.

use super::workers::{HEARTBEAT_TIMEOUT, RunningTask};
use super::*;
use crowstall::protocol::workers::{Exit, WorkerAnswer};
use serde_json::Value;

impl Simulation {
    /// Executes a call of a controller. Returns `None` if the machine does not answer.
    pub(super) fn execute_worker_call(&mut self, number: u32, request: &WorkerCall) -> Option<WorkerAnswer> {
        let now = self.now;
        let worker = self.workers.get_mut(&number)?;
        if now < worker.up_at || now < worker.answers_lost_until {
            return None;
        }
        if now < worker.hung_until {
            worker.calls_while_hung.push(request.clone());
            return None;
        }
        if request.token.0 < worker.token || request.epoch.0 != worker.epoch {
            return Some(WorkerAnswer::Rejected(Box::new(worker.heartbeat(now))));
        }
        if request.token.0 > worker.token {
            worker.token = request.token.0;
            worker.changed = true;
        }
        let commands = serde_json::to_value(&request.commands).unwrap_or_default();
        self.execute_commands(number, &commands.as_array().cloned().unwrap_or_default());
        let worker = self.workers.get_mut(&number)?;
        Some(WorkerAnswer::Executed(Box::new(worker.heartbeat(now))))
    }

    /// Executes the calls that arrived while the machine was hung.
    pub(super) fn execute_calls_while_hung(&mut self, number: u32) {
        let Some(worker) = self.workers.get_mut(&number) else { return };
        for request in std::mem::take(&mut worker.calls_while_hung) {
            if let Some(answer) = self.execute_worker_call(number, &request) {
                // The calls have timed out, so the controller has to ignore the answers. They are sent to incarnation
                // 0, which no process has.
                let call = OutboundCallId(0);
                let event = Event::Worker { call, answer: Ok(answer) };
                self.send_answer(0, 0, call, Endpoint::Machine(number), event);
            }
        }
    }

    /// Handles the answer to a heartbeat.
    pub(super) fn handle_heartbeat_reply(&mut self, number: u32, sequence_number: u64, node: usize, reply: &Reply) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&number) else { return };
        let Some(heartbeat) =
            worker.heartbeat_in_flight.filter(|heartbeat| heartbeat.sequence_number == sequence_number)
        else {
            return;
        };
        if now < worker.answers_lost_until {
            self.observations.lost_starts += reply.body.matches("\"run\"").count() as u64;
            return;
        }
        if now < worker.hung_until {
            // The machine reads the answer after resuming, when the heartbeat has usually timed out.
            let at = worker.hung_until + MS;
            let origin = RequestOrigin::Worker { machine: number, heartbeat: sequence_number };
            return self.schedule(at, ScheduledEvent::ReplyArrives { origin, node, reply: reply.clone() });
        }
        worker.heartbeat_in_flight = None;
        if now - heartbeat.sent_at > HEARTBEAT_TIMEOUT {
            return worker.switch_to_next_controller(now);
        }
        let body: Value = serde_json::from_str(&reply.body).unwrap_or_default();
        match reply.status {
            200 if heartbeat.epoch == worker.epoch => self.handle_lease_renewal(number, heartbeat.sent_at, &body),
            200 => {}
            421 if body["rookery"].is_string() => self.handle_redirect(number, node, &body),
            _ => worker.switch_to_controller_after(node, now),
        }
    }

    /// Renews the worker lease and executes the commands in the answer, unless the answer has an older fencing token
    /// than the worker and therefore comes from a deposed leader.
    fn handle_lease_renewal(&mut self, number: u32, sent_at: u64, body: &Value) {
        let Some(worker) = self.workers.get_mut(&number) else { return };
        let Some(token) = body["crest"].as_u64().filter(|token| *token >= worker.token) else { return };
        if token > worker.token {
            worker.token = token;
            worker.changed = true;
        }
        worker.lease_started_at = Some(sent_at);
        let epoch = worker.epoch;
        self.trace_line(|| format!("machine {number}: lease renewed from {sent_at} with token {token}"));
        let commands = body["calls"].as_array().cloned().unwrap_or_default();
        self.execute_commands(number, &commands);
        self.copy_commands(number, message_copies::CommandCopy::HeartbeatAnswer { epoch, token, commands });
    }

    /// Sends the next heartbeat to the controller that was named in the answer.
    fn handle_redirect(&mut self, number: u32, node: usize, body: &Value) {
        let now = self.now;
        let label = body["rookery"].as_str().unwrap_or_default();
        let target = self.controllers.iter().position(|controller| controller.label.as_str() == label);
        let Some(worker) = self.workers.get_mut(&number) else { return };
        match target {
            Some(target) if target != node => {
                worker.set_next_heartbeat(target, now + self.rng.random_range(0..500 * MS));
            }
            _ => worker.switch_to_controller_after(node, now),
        }
    }

    pub(super) fn execute_commands(&mut self, number: u32, commands: &[Value]) {
        for command in commands {
            let Some(id) = command["egg"].as_str().and_then(|id| id.parse::<TaskId>().ok()) else { continue };
            let key = (id, command["hatch"].as_u64().unwrap_or(0));
            self.trace_line(|| format!("machine {number}: command {command}"));
            let fetch_time = self.rng.random_range(100 * MS..1500 * MS);
            match command["call"].as_str() {
                Some("run") => self.start_task(number, key, fetch_time),
                Some("stop") => self.stop_task(number, &key),
                Some("forget") => self.forget_task(number, &key),
                _ => {}
            }
        }
    }

    fn start_task(&mut self, number: u32, key: (TaskId, u64), fetch_time: u64) {
        let now = self.now;
        let (id, _) = &key;
        let is_ignored = self.disabled == DisabledSafeguard::StartCommands && id.job.as_str().ends_with('3');
        let Some(worker) = self.workers.get_mut(&number) else { return };
        if worker.tasks.contains_key(&key) || is_ignored {
            return;
        }
        let job_of = |id: &TaskId| self.users.iter().find(|user| user.spec.id == id.job).map(|user| &user.spec);
        let active = worker.tasks.iter().filter(|(_, task)| !task.has_exited()).map(|((id, _), _)| id);
        let is_busy = active.clone().any(|other| other == id);
        let room = active.filter_map(job_of).fold(worker.capacity(), |room, job| room.minus(&job.needs));
        let state = match job_of(id) {
            None => TaskState::Exited(Exit::Unknown),
            Some(_) if is_busy => TaskState::Exited(Exit::Busy),
            Some(job) if !job.needs.fits_in(&room) => TaskState::Exited(Exit::NoRoom),
            Some(_) => TaskState::Fetching,
        };
        worker.tasks.insert(key, RunningTask { state, until: now + fetch_time, commanded_at: now });
        worker.changed = true;
    }

    fn stop_task(&mut self, number: u32, key: &(TaskId, u64)) {
        if self.disabled == DisabledSafeguard::StopCommands {
            return;
        }
        let Some(worker) = self.workers.get_mut(&number) else { return };
        if let Some(task) = worker.tasks.get_mut(key).filter(|task| !task.has_exited()) {
            task.state = TaskState::Exited(Exit::Stopped);
            worker.changed = true;
        }
    }

    fn forget_task(&mut self, number: u32, key: &(TaskId, u64)) {
        let Some(worker) = self.workers.get_mut(&number) else { return };
        if worker.tasks.get(key).is_some_and(RunningTask::has_exited) {
            worker.tasks.remove(key);
            worker.changed = true;
        }
    }
}
