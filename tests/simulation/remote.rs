//! Controllers that are real processes instead of objects of the simulation.
//!
//! State service, cloud, workers, users, faults and checker are those of the simulation. With remote controllers the
//! simulation runs in real time, and what it exchanges with the controllers passes through [`RemoteControllers`].

use super::*;
use std::time::Duration;

/// How long the simulation sleeps when nothing is due.
const MAX_IDLE: u64 = 2 * MS;

/// A message of a controller process.
pub enum RemoteMessage {
    /// A call to the state service.
    State { node: usize, call: OutboundCallId, request: StateCall },
    /// A call to the cloud.
    Cloud { node: usize, call: OutboundCallId, request: CloudCall },
    /// A command to a worker machine.
    Worker { call: OutboundCallId, machine: u32, request: WorkerCall },
    /// The reply to the client request with that number.
    Reply { node: usize, request: u64, reply: Reply },
}

/// Controller processes, and the connections to them.
pub trait RemoteControllers {
    /// Microseconds of simulated time that have passed since the start.
    fn now(&self) -> u64;
    /// Returns what has arrived from the processes.
    fn receive(&mut self) -> Vec<RemoteMessage>;
    /// Sends a request of a user or a worker.
    fn send_request(&mut self, node: usize, number: u64, request: &ClientRequest);
    /// Answers a call of a process. An answer that is an error of the network is not sent.
    fn send_answer(&mut self, event: Event);
    /// Whether a process is running.
    fn is_up(&self, node: usize) -> bool;
    /// Starts a process.
    fn start(&mut self, node: usize);
    /// Kills a process.
    fn kill(&mut self, node: usize);
    /// Stops a process for that long.
    fn freeze(&mut self, node: usize, duration: u64);
    /// Says which controllers cannot reach each other: packets from the first to the second are held back.
    fn set_blocked_links(&mut self, blocked: &[(usize, usize)]);
}

impl Simulation {
    /// Returns a simulation with one shard whose controllers are real processes.
    pub fn with_remote_controllers(seed: u64, stock: [usize; 2], remote: Box<dyn RemoteControllers>) -> Simulation {
        let mut simulation = Simulation::with_one_shard(seed, stock);
        simulation.remote = Some(remote);
        simulation
    }

    /// Runs in real time until that time, or until a rule is violated.
    pub(super) fn run_remote_until(&mut self, end: u64) {
        while self.now < end && self.violations.is_empty() {
            self.receive_from_remote();
            self.run_due_events();
            self.update_blocked_links();
            let next_event = self.queue.first_key_value().map_or(end, |(&(time, _), _)| time);
            let idle = next_event.saturating_sub(self.remote_now()).min(MAX_IDLE);
            std::thread::sleep(Duration::from_micros(idle));
            self.now = self.remote_now();
        }
    }

    fn remote_now(&self) -> u64 {
        self.remote.as_ref().map_or(self.now, |remote| remote.now())
    }

    fn run_due_events(&mut self) {
        while let Some((&(time, _), _)) = self.queue.first_key_value() {
            self.now = self.remote_now();
            if time > self.now || !self.violations.is_empty() {
                return;
            }
            let Some((_, event)) = self.queue.pop_first() else { return };
            self.dispatch(event);
        }
    }

    fn receive_from_remote(&mut self) {
        let messages = self.remote.as_mut().map(|remote| remote.receive()).unwrap_or_default();
        for message in messages {
            self.now = self.remote_now();
            match message {
                RemoteMessage::State { node, call, request } => {
                    self.schedule_remote_call(node, call, Endpoint::StateService, |incarnation| {
                        ScheduledEvent::StateCallArrives { node, incarnation, call, request }
                    });
                }
                RemoteMessage::Cloud { node, call, request } => {
                    self.schedule_remote_call(node, call, Endpoint::Cloud, |incarnation| {
                        ScheduledEvent::CloudCallArrives { node, incarnation, call, request }
                    });
                }
                RemoteMessage::Worker { call, machine, request } => {
                    // The connection does not tell which controller calls: the leader does.
                    let node = self.leader(0).unwrap_or(0);
                    self.schedule_remote_call(node, call, Endpoint::Machine(machine), |incarnation| {
                        ScheduledEvent::WorkerCallArrives { node, incarnation, call, machine, request }
                    });
                }
                RemoteMessage::Reply { request, reply, .. }
                    if self.awaited_request == Some(ClientRequestId(request)) =>
                {
                    self.awaited_reply = Some(reply);
                }
                RemoteMessage::Reply { node, request, reply } => {
                    self.send_reply(node, ClientRequestId(request), reply);
                }
            }
        }
    }

    fn schedule_remote_call(
        &mut self,
        node: usize,
        call: OutboundCallId,
        to: Endpoint,
        event: impl FnOnce(u64) -> ScheduledEvent,
    ) {
        let incarnation = self.controllers[node].incarnation;
        self.controllers[node].pending_calls.insert(call);
        if let Some(at) = self.packet_arrival(Endpoint::Controller(node), to) {
            self.schedule(at, event(incarnation));
        }
    }

    fn update_blocked_links(&mut self) {
        let now = self.now;
        let pairs = (0..CONTROLLERS).flat_map(|from| (0..CONTROLLERS).map(move |to| (from, to)));
        let is_blocked = |(from, to): &(usize, usize)| {
            let mut partitions = self.partitions.iter().filter(|partition| partition.until > now);
            from != to
                && partitions
                    .any(|partition| partition.separates(Endpoint::Controller(*from), Endpoint::Controller(*to)))
        };
        let blocked: Vec<(usize, usize)> = pairs.filter(is_blocked).collect();
        if let Some(remote) = &mut self.remote {
            remote.set_blocked_links(&blocked);
        }
    }
}
