//! Controllers that run as separate processes instead of within the simulation.
//!
//! The state service, the cloud, the workers, the users, the faults and the checker are those of the simulation. With
//! remote controllers the simulation runs in real time, and exchanges all requests and answers with the controllers
//! through [`RemoteControllers`].

use super::*;
use std::time::Duration;

/// Longest sleep of the simulation while no event is due.
const MAX_IDLE: u64 = 2 * MS;

/// Message from a controller process.
pub enum RemoteMessage {
    /// Call to the state service.
    State { node: usize, call: OutboundCallId, request: StateCall },
    /// Call to the cloud.
    Cloud { node: usize, call: OutboundCallId, request: CloudCall },
    /// Call to a worker machine.
    Worker { call: OutboundCallId, machine: u32, request: WorkerCall },
    /// Reply to the client request with the given number.
    Reply { node: usize, request: u64, reply: Reply },
}

/// Controller processes with the connections to them.
pub trait RemoteControllers {
    /// Returns the current time of the simulation in microseconds.
    fn now(&self) -> u64;
    /// Returns the messages that have arrived from the processes.
    fn receive(&mut self) -> Vec<RemoteMessage>;
    /// Sends a request of a user or a worker.
    fn send_request(&mut self, node: usize, number: u64, request: &ClientRequest);
    /// Answers a call of a process. If the event is a network error, no answer is sent.
    fn send_answer(&mut self, event: Event);
    /// Returns `true` if a process is running.
    fn is_up(&self, node: usize) -> bool;
    /// Starts a process.
    fn start(&mut self, node: usize);
    /// Kills a process.
    fn kill(&mut self, node: usize);
    /// Suspends a process for a while.
    fn freeze(&mut self, node: usize, duration: u64);
    /// Sets the blocked links between controllers: packets from the first controller of a pair to the second are held
    /// back. All other links are open.
    fn set_blocked_links(&mut self, blocked: &[(usize, usize)]);
}

impl Simulation {
    /// Returns a simulation with one shard whose controllers are real processes.
    pub fn with_remote_controllers(seed: u64, stock: [usize; 2], remote: Box<dyn RemoteControllers>) -> Simulation {
        let mut simulation = Simulation::with_one_shard(seed, stock);
        simulation.remote = Some(remote);
        simulation
    }

    /// Runs in real time until the time `end`, or until a rule is violated.
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
                    // The connection does not identify the calling controller. It is the leader's call, because only
                    // the leader sends commands.
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

    /// Registers a call of a controller process and schedules its arrival, unless the simulated network loses it.
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

    /// Applies the current network partitions to the links between the controller processes.
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
