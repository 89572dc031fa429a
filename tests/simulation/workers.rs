//! Simulated worker machines, which enforce the rules of the worker protocol.

use super::*;
use crowstall::protocol::workers::{Exit, TaskStatus, WorkerHeartbeat};
use crowstall::time::Span;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Time for which a worker waits for the answer to a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT: u64 = 4 * SEC;

/// Pause before a worker sends a heartbeat to another controller.
const NEXT_CONTROLLER_PAUSE: u64 = SEC;

/// Lowest port of the workers' addresses. A machine's port is this one plus the machine's number.
const FIRST_PORT: u16 = 1000;

/// Returns the identifier of a machine.
pub fn machine_id(number: u32) -> MachineId {
    MachineId::new(&format!("i-{number:06}"))
}

/// Returns the number in a machine's identifier, or `u32::MAX` if there is none.
pub fn machine_number(machine: &MachineId) -> u32 {
    machine.as_str().trim_start_matches("i-").parse().unwrap_or(u32::MAX)
}

/// Returns the number of the machine with that address.
pub fn machine_number_at(addr: SocketAddrV4) -> u32 {
    u32::from(addr.port()) - u32::from(FIRST_PORT)
}

/// Attempt of a task on a machine.
#[derive(Clone, Debug)]
pub struct RunningTask {
    pub state: TaskState,
    /// Time at which the current state ends.
    pub until: u64,
    /// Time at which the machine executed the start command.
    pub(super) commanded_at: u64,
}

impl RunningTask {
    /// Returns `true` if the attempt executes: after the image was fetched and before the attempt exits.
    pub fn occupies_machine(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Saving)
    }

    /// Returns `true` if the attempt has ended.
    pub fn has_exited(&self) -> bool {
        matches!(self.state, TaskState::Exited(_))
    }
}

/// Heartbeat that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatInFlight {
    pub(super) sequence_number: u64,
    pub(super) sent_at: u64,
    pub(super) epoch: u64,
}

/// Worker machine.
pub struct Worker {
    pub number: u32,
    /// Name of the machine type.
    pub kind: Name,
    pub zone: Name,
    pub spot: bool,
    /// Time at which the machine has booted, or its agent has restarted.
    pub up_at: u64,
    /// End of the period in which the machine does nothing, as if it were suspended.
    pub hung_until: u64,
    /// End of the period in which answers and commands do not reach the machine, while its heartbeats arrive.
    pub answers_lost_until: u64,
    /// End of the period in which the machine cannot connect to any controller, while commands reach it.
    pub heartbeats_blocked_until: u64,
    /// `true` if all tasks fail on the machine.
    pub faulty: bool,
    /// Time at which the cloud reclaims the machine, if it has given notice.
    pub notice_at: Option<u64>,
    /// Agent epoch, which increases whenever the worker lease expires or the agent restarts.
    pub epoch: u64,
    /// Sequence number of the last heartbeat.
    pub(super) sequence_number: u64,
    /// Highest fencing token seen.
    pub(super) token: u64,
    /// Start of the current worker lease: the time at which the last heartbeat that renewed it was sent, or else the
    /// time at which the machine came up or its previous lease expired. `None` until the first check after a start of
    /// the agent.
    pub(super) lease_started_at: Option<u64>,
    /// Attempts on the machine, by task and attempt number.
    pub tasks: BTreeMap<(TaskId, u64), RunningTask>,
    /// Controller to which heartbeats are sent.
    node: usize,
    next_heartbeat: u64,
    last_heartbeat: u64,
    /// `true` if the task list or the fencing token has changed since the last heartbeat.
    pub(super) changed: bool,
    pub(super) heartbeat_in_flight: Option<HeartbeatInFlight>,
    /// Calls that arrived while the machine was hung.
    pub(super) calls_while_hung: Vec<WorkerCall>,
}

impl Worker {
    /// Returns a worker without tasks.
    pub fn new(number: u32, kind: Name, zone: Name, spot: bool, up_at: u64) -> Worker {
        Worker {
            number,
            kind,
            zone,
            spot,
            up_at,
            hung_until: 0,
            answers_lost_until: 0,
            heartbeats_blocked_until: 0,
            faulty: false,
            notice_at: None,
            epoch: 1,
            sequence_number: 0,
            token: 0,
            lease_started_at: None,
            tasks: BTreeMap::new(),
            node: number as usize % CONTROLLERS,
            next_heartbeat: up_at,
            last_heartbeat: 0,
            changed: false,
            heartbeat_in_flight: None,
            calls_while_hung: Vec::new(),
        }
    }

    /// Returns the resources of the machine's type.
    pub(super) fn capacity(&self) -> Resources {
        let own_type = cloud::machine_types().into_iter().find(|machine_type| machine_type.name == self.kind);
        own_type.map(|machine_type| machine_type.capacity).unwrap_or_default()
    }

    /// Returns `true` if the machine can be expected to keep and complete tasks.
    pub(super) fn is_healthy(&self) -> bool {
        !self.faulty && self.notice_at.is_none()
    }

    /// Returns the end of the last fault of the machine.
    pub(super) fn last_fault(&self) -> u64 {
        self.hung_until.max(self.answers_lost_until).max(self.heartbeats_blocked_until)
    }

    /// Returns `true` if the machine's task list contains a task of a job, running or exited.
    pub fn has_task_of(&self, job: &JobId) -> bool {
        self.tasks.keys().any(|(task, _)| task.job == *job)
    }

    /// Sets the controller that gets the next heartbeat, and its time.
    pub(super) fn set_next_heartbeat(&mut self, node: usize, at: u64) {
        self.node = node;
        self.next_heartbeat = at;
    }

    /// Sends the next heartbeat to the controller that follows `node`.
    pub(super) fn switch_to_controller_after(&mut self, node: usize, now: u64) {
        self.set_next_heartbeat((node + 1) % CONTROLLERS, now + NEXT_CONTROLLER_PAUSE);
    }

    /// Sends the next heartbeat to the controller that follows the current one.
    pub(super) fn switch_to_next_controller(&mut self, now: u64) {
        self.switch_to_controller_after(self.node, now);
    }

    /// Kills all tasks and begins a new agent epoch.
    fn expire_lease(&mut self) {
        self.tasks.clear();
        self.epoch += 1;
    }

    /// Kills all tasks if the worker lease has expired, unless a disabled safeguard prevents it.
    fn check_lease(&mut self, now: u64, disabled: DisabledSafeguard) {
        let lease_started_at = *self.lease_started_at.get_or_insert(self.up_at);
        if disabled == DisabledSafeguard::LeaseExpiryOfHungMachines && now < self.hung_until + SEC {
            self.lease_started_at = Some(now);
        } else if now.saturating_sub(lease_started_at) > WORKER_LEASE
            && disabled != DisabledSafeguard::WorkerLeaseExpiry
        {
            self.expire_lease();
            self.lease_started_at = Some(now);
            self.changed = true;
        }
    }

    /// Returns the attempts whose current state ends now or earlier.
    fn due_tasks(&self, now: u64) -> Vec<(TaskId, u64)> {
        let due = self.tasks.iter().filter(|(_, task)| !task.has_exited() && task.until <= now);
        due.map(|(key, _)| key.clone()).collect()
    }

    /// Returns `true` if a heartbeat has to be sent now: at the regular time, or after a change as soon as the last
    /// heartbeat is 500 ms old. After a time-out or a restart of the agent, which postpone the regular heartbeat, a
    /// change does not cause an earlier one. Drops a heartbeat that has timed out and switches to the next controller.
    fn heartbeat_is_due(&mut self, now: u64) -> bool {
        if let Some(heartbeat) = self.heartbeat_in_flight {
            if now - heartbeat.sent_at <= HEARTBEAT_TIMEOUT {
                return false;
            }
            self.heartbeat_in_flight = None;
            self.switch_to_next_controller(now);
        }
        let is_time = now >= self.next_heartbeat;
        let has_change = self.changed && now >= self.last_heartbeat + 500 * MS;
        let is_paused = self.next_heartbeat > now && self.next_heartbeat > self.last_heartbeat + 2 * SEC;
        (is_time || has_change) && !is_paused
    }

    /// Returns the next heartbeat, with a new sequence number.
    pub(super) fn heartbeat(&mut self, now: u64) -> WorkerHeartbeat {
        self.sequence_number += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), running)| TaskStatus {
            task: task.clone(),
            attempt: AttemptNumber(*attempt),
            state: running.state,
        });
        WorkerHeartbeat {
            machine: machine_id(self.number),
            addr: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), FIRST_PORT + self.number as u16),
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            epoch: AgentEpoch(self.epoch),
            seq: SequenceNumber(self.sequence_number),
            token: FencingToken(self.token),
            notice: self.notice_at.map(|at| Span(at.saturating_sub(now))),
            tasks: tasks.collect(),
        }
    }
}

/// Faults of machines.
impl Simulation {
    /// Restarts the agent of a machine: its tasks are lost, and a new agent epoch begins after `down_for`. With a
    /// probability of one half the agent forgets the fencing token.
    pub fn restart_machine(&mut self, number: u32, down_for: u64) {
        let (now, forgets_token) = (self.now, self.rng.random_bool(0.5));
        self.trace_line(|| format!("machine {number}: agent restarts"));
        let Some(worker) = self.workers.get_mut(&number) else { return };
        worker.expire_lease();
        worker.heartbeat_in_flight = None;
        worker.lease_started_at = None;
        worker.up_at = worker.up_at.max(now + down_for);
        worker.next_heartbeat = now + down_for;
        if forgets_token {
            worker.token = 0;
        }
    }

    /// Returns the numbers of the machines that satisfy a condition.
    pub fn machines_where(&self, condition: impl Fn(&Worker) -> bool) -> Vec<u32> {
        self.workers.values().filter(|worker| condition(worker)).map(|worker| worker.number).collect()
    }

    /// Returns the numbers of all machines.
    pub fn machines(&self) -> Vec<u32> {
        self.workers.keys().copied().collect()
    }

    /// Returns every `step`-th machine, starting with a random one of the first `step`.
    pub fn some_machines(&mut self, step: usize) -> Vec<u32> {
        let first = self.rng.random_range(0..step);
        self.workers.keys().copied().skip(first).step_by(step).collect()
    }

    /// Suspends machines.
    pub fn hang_machines(&mut self, machines: &[u32], until: u64) {
        self.change_machines(machines, |worker| worker.hung_until = until);
    }

    /// Drops all answers and commands to machines.
    pub fn lose_answers_to(&mut self, machines: &[u32], until: u64) {
        self.change_machines(machines, |worker| worker.answers_lost_until = until);
    }

    /// Prevents machines from connecting to any controller.
    pub fn block_heartbeats_of(&mut self, machines: &[u32], until: u64) {
        self.change_machines(machines, |worker| worker.heartbeats_blocked_until = until);
    }

    fn change_machines(&mut self, machines: &[u32], change: impl Fn(&mut Worker)) {
        for number in machines {
            change(self.workers.get_mut(number).expect("the machine exists"));
        }
    }

    /// Returns the number of tasks of a job that run on machines that are not hung.
    pub fn running_tasks_of(&self, job: &JobId) -> usize {
        let active = self.workers.values().filter(|worker| self.now >= worker.hung_until);
        let tasks = active.flat_map(|worker| &worker.tasks);
        tasks.filter(|((task, _), running)| task.job == *job && running.state == TaskState::Running).count()
    }

    /// Returns the number of tasks of all jobs that run on machines that are not hung.
    pub fn running_tasks(&self) -> usize {
        self.users.iter().map(|user| self.running_tasks_of(&user.spec.id)).sum()
    }
}

/// Periodic work of machines.
impl Simulation {
    pub(super) fn step_workers(&mut self) {
        if self.now / SEC != (self.now - WORKERS_STEP) / SEC {
            self.record_machine_list();
        }
        for number in self.machines() {
            self.step_worker(number);
        }
        self.check_machines();
    }

    fn step_worker(&mut self, number: u32) {
        let (now, disabled) = (self.now, self.disabled);
        let Some(worker) = self.workers.get_mut(&number) else { return };
        if now < worker.up_at {
            return;
        }
        if worker.notice_at.is_some_and(|at| now >= at) {
            return self.reclaim_machine(number);
        }
        let epoch = worker.epoch;
        worker.check_lease(now, disabled);
        if worker.epoch > epoch {
            self.trace_line(|| format!("machine {number}: lease expired, all tasks are lost"));
        }
        let Some(worker) = self.workers.get_mut(&number) else { return };
        if now < worker.hung_until {
            return;
        }
        for key in worker.due_tasks(now) {
            self.advance_task(number, key);
        }
        self.execute_calls_while_hung(number);
        let Some(worker) = self.workers.get_mut(&number) else { return };
        if !worker.heartbeat_is_due(now) {
            return;
        }
        if now < worker.heartbeats_blocked_until {
            return worker.switch_to_next_controller(now);
        }
        self.send_heartbeat(number);
    }

    fn send_heartbeat(&mut self, number: u32) {
        let (now, disabled) = (self.now, self.disabled);
        let Some(worker) = self.workers.get_mut(&number) else { return };
        worker.changed = false;
        worker.last_heartbeat = now;
        let node = worker.node;
        let mut heartbeat = worker.heartbeat(now);
        if disabled == DisabledSafeguard::ReportedZones {
            heartbeat.zone = Name::new(if heartbeat.zone.as_str() == "east" { "west" } else { "east" });
        }
        if disabled == DisabledSafeguard::CompleteHeartbeats {
            heartbeat.tasks.retain(|task| task.attempt.0 % 3 > 0);
        }
        let sequence_number = heartbeat.seq.0;
        worker.heartbeat_in_flight = Some(HeartbeatInFlight { sequence_number, sent_at: now, epoch: worker.epoch });
        let interval = self.rng.random_range(750 * MS..1250 * MS);
        let arrival = self.packet_arrival(Endpoint::Machine(number), Endpoint::Controller(node));
        let is_up = self.is_up(node);
        let Some(worker) = self.workers.get_mut(&number) else { return };
        worker.next_heartbeat = now + interval;
        if !is_up {
            // A crashed controller refuses the connection immediately.
            worker.heartbeat_in_flight = None;
            return worker.switch_to_controller_after(node, now);
        }
        if let Some(at) = arrival {
            let origin = RequestOrigin::Worker { machine: number, heartbeat: sequence_number };
            let request = ClientRequest::WorkerHeartbeat(Box::new(heartbeat));
            self.schedule(at, ScheduledEvent::ClientRequestArrives { node, origin, request });
        }
    }

    /// Moves an attempt to its next state: from fetching its image to running, and from running to exited.
    fn advance_task(&mut self, number: u32, key: (TaskId, u64)) {
        let now = self.now;
        let (id, _) = &key;
        let was_completed = self.completed.contains(id);
        let user = self.users.iter().find(|user| user.spec.id == id.job);
        let run_time = user.map_or(SEC, |user| user.run_time_of(id.task));
        let job_fails = user.is_some_and(|user| user.fails);
        let Some(worker) = self.workers.get_mut(&number) else { return };
        let fails = worker.faulty || job_fails;
        let Some(task) = worker.tasks.get_mut(&key) else { return };
        worker.changed = true;
        match task.state {
            TaskState::Fetching => {
                task.state = TaskState::Running;
                task.until = match (fails, was_completed) {
                    (true, _) => now + 200 * MS,
                    (false, true) => now,
                    (false, false) => now.saturating_add(run_time),
                };
                let commanded_at = task.commanded_at;
                self.trace_line(|| format!("machine {number}: task {id} attempt {} runs", key.1));
                self.check_start(number, id, commanded_at);
            }
            TaskState::Running => {
                let exit = if fails && !was_completed { Exit::Error } else { Exit::Done };
                task.state = TaskState::Exited(exit);
                if exit == Exit::Done {
                    self.completed.insert(id.clone());
                    self.schedule_requests_at_completion(&id.job);
                }
            }
            _ => {}
        }
    }
}
