//! Controller processes: starts, crashes and freezes them, and carries out their actions.

use super::*;
use crowstall::protocol::peers::Envelope;

/// Number of controllers.
pub const CONTROLLERS: usize = 3;

/// Interval between two ticks of a controller.
const TICK: u64 = 100 * MS;

/// Probability that a call takes up to 30 s to arrive at the cloud.
const SLOW_CLOUD_CALL_PROBABILITY: f64 = 0.02;

/// Duration for which the clock of each controller in turn stands still under [`DisabledSafeguard::RunningClocks`].
/// Before the first one's turn, all clocks run for the same duration.
const CLOCK_STOP: u64 = 20 * SEC;

/// Kind of endpoint that a controller calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CalledService {
    State,
    Cloud,
    Worker,
    Probe,
}

impl CalledService {
    /// Returns the time for which a controller waits for an answer.
    fn call_timeout(self) -> u64 {
        match self {
            CalledService::State => 1200 * MS,
            CalledService::Cloud => 5000 * MS,
            CalledService::Worker => 2000 * MS,
            CalledService::Probe => 450 * MS,
        }
    }

    /// Returns the event that notifies a controller of a call without an answer.
    pub fn timeout(self, call: OutboundCallId) -> Event {
        match self {
            CalledService::State => Event::State { call, answer: Err(CallError::NoAnswer) },
            CalledService::Cloud => Event::Cloud { call, answer: Err(CallError::NoAnswer) },
            CalledService::Worker => Event::Worker { call, answer: Err(CallError::NoAnswer) },
            CalledService::Probe => Event::Probe { call, alive: false },
        }
    }
}

/// Sender of a client request.
#[derive(Clone, Debug)]
pub enum RequestOrigin {
    /// User, by index, with the number of the request.
    User { user: usize, request_number: u64 },
    /// Worker machine, by number, with the sequence number of its heartbeat.
    Worker { machine: u32, heartbeat: u64 },
    /// Sender of a submission that has to be rejected.
    MalformedRequest { job: JobId, expected: malformed_requests::Rejection },
}

/// Controller with its current process.
pub(super) struct SimulatedController {
    pub(super) label: NodeLabel,
    /// Running process; `None` after a crash, and always if the controllers run as separate processes.
    pub(super) process: Option<Controller>,
    /// Number of processes started so far.
    pub(super) incarnation: u64,
    /// Speed of the steady clock relative to simulated time.
    clock_rate: f64,
    /// Outbound calls without an answer.
    pub(super) pending_calls: BTreeSet<OutboundCallId>,
    /// Client requests without a reply.
    open_requests: HashMap<u64, RequestOrigin>,
    started_at: u64,
    /// End of the period in which the process handles no events while its clock continues.
    pub(super) frozen_until: u64,
    /// Processor time of the events handled since the process last stood still for such time.
    unpaid_processor_time: u64,
}

impl SimulatedController {
    /// Returns a controller without a process.
    pub(super) fn new(node: usize, clock_rate: f64) -> SimulatedController {
        SimulatedController {
            label: NodeLabel::new(&settings::controller_label(node)),
            process: None,
            incarnation: 0,
            clock_rate,
            pending_calls: BTreeSet::new(),
            open_requests: HashMap::new(),
            started_at: 0,
            frozen_until: 0,
            unpaid_processor_time: 0,
        }
    }
}

/// Faults of controllers.
impl Simulation {
    /// Kills a controller process and starts a new one after `down_for`.
    pub fn crash(&mut self, node: usize, down_for: u64) {
        self.trace_line(|| format!("controller {node} crashes"));
        if let Some(remote) = &mut self.remote {
            remote.kill(node);
        }
        let controller = &mut self.controllers[node];
        controller.process = None;
        controller.frozen_until = 0;
        controller.unpaid_processor_time = 0;
        controller.pending_calls.clear();
        controller.open_requests.clear();
        self.schedule(self.now + down_for, ScheduledEvent::ControllerStart { node });
    }

    /// Crashes every controller.
    pub fn crash_all(&mut self, down_for: u64) {
        (0..CONTROLLERS).for_each(|node| self.crash(node, down_for));
    }

    /// Suspends a controller process for a while, as if its machine were overloaded. Events for the process are
    /// delivered afterwards.
    pub fn freeze(&mut self, node: usize, duration: u64) {
        self.trace_line(|| format!("controller {node} is frozen for {} ms", duration / MS));
        match &mut self.remote {
            Some(remote) => remote.freeze(node, duration),
            None => self.controllers[node].frozen_until = self.now + duration,
        }
    }

    /// Sets the label and the address that the next process of a controller uses.
    pub fn relabel(&mut self, node: usize, label: &str, front: &str) {
        self.settings[node] = settings::parse_settings(&settings::platform_file(label, front), true, "");
        self.controllers[node].label = NodeLabel::new(label);
    }
}

/// Queries and requests of tests.
impl Simulation {
    /// Returns `true` if a controller process is running.
    pub fn is_up(&self, node: usize) -> bool {
        match &self.remote {
            Some(remote) => remote.is_up(node),
            None => self.controllers[node].process.is_some(),
        }
    }

    /// Returns the indices of the running controllers.
    pub fn running_controllers(&self) -> Vec<usize> {
        (0..CONTROLLERS).filter(|node| self.is_up(*node)).collect()
    }

    /// Returns the leader of a shard as recorded in the state service.
    pub fn leader(&self, shard: u32) -> Option<usize> {
        let label = self.state_service.leader(shard)?;
        self.controllers.iter().position(|controller| controller.label.as_str() == label)
    }

    /// Returns the leader of the first shard. Panics if there is none.
    pub fn current_leader(&self) -> usize {
        self.leader(0).expect("the shard has a leader")
    }

    /// Returns the reply of a controller, or `None` if the controller has to make a call first.
    pub fn immediate_reply(&mut self, node: usize, request: ClientRequest) -> Option<Reply> {
        let id = ClientRequestId(u64::MAX);
        let actions = self.actions_of(node, Event::ClientRequest { id, client_request: request });
        actions.into_iter().find_map(|action| match action {
            Action::Reply { id: replied, reply } if replied == id => Some(reply),
            _ => None,
        })
    }

    /// Passes an event to a controller and returns the resulting actions without carrying them out.
    pub fn actions_of(&mut self, node: usize, event: Event) -> Vec<Action> {
        let clock = self.clock(node);
        let process = self.controllers[node].process.as_mut();
        process.map(|process| process.handle(clock, event)).unwrap_or_default()
    }

    /// Returns how many times a controller has violated one of its own invariants.
    pub fn invariant_violations(&self, node: usize) -> u64 {
        self.controllers[node].process.as_ref().map_or(0, Controller::invariant_violations)
    }

    /// Returns the label of a controller.
    pub fn label(&self, node: usize) -> NodeLabel {
        self.controllers[node].label.clone()
    }

    /// Sends a request to a controller and runs until the reply or the timeout.
    pub fn request(&mut self, node: usize, request: ClientRequest, timeout: u64) -> Option<Reply> {
        let id = ClientRequestId(self.next_sequence_number());
        self.awaited_reply = None;
        self.awaited_request = Some(id);
        if let Some(remote) = &mut self.remote {
            remote.send_request(node, id.0, &request);
        } else if self.is_up(node) {
            self.deliver(node, Event::ClientRequest { id, client_request: request });
        }
        let until = self.now + timeout;
        while self.awaited_reply.is_none() && self.now < until {
            self.run_for(10 * MS);
        }
        self.awaited_request = None;
        self.awaited_reply.take()
    }

    /// Sends a request to a controller and ignores the reply.
    pub fn send_request(&mut self, node: usize, request: ClientRequest) {
        if self.is_up(node) {
            self.deliver(node, Event::ClientRequest { id: ClientRequestId(u64::MAX), client_request: request });
        }
    }

    /// Returns the reply of a controller to a request for a job's forecast, or `None` if the controller has to make a
    /// call first.
    pub fn forecast_reply(&mut self, node: usize, job: &JobId) -> Option<Reply> {
        self.immediate_reply(node, ClientRequest::Forecast(job.clone()))
    }

    /// Returns a controller's report on the recovery of the first shard that it leads.
    pub fn recovery_status(&mut self, node: usize) -> serde_json::Value {
        let reply = self.immediate_reply(node, ClientRequest::Recoveries).map(|reply| reply.body).unwrap_or_default();
        serde_json::from_str::<serde_json::Value>(&reply).map(|status| status["held"][0].clone()).unwrap_or_default()
    }

    /// Returns the work that the running controllers have done for heartbeats so far.
    pub fn heartbeat_work(&self) -> HeartbeatWork {
        let processes = self.controllers.iter().filter_map(|controller| controller.process.as_ref());
        HeartbeatWork { steps: processes.map(Controller::inspections).sum(), heartbeats: self.heartbeats }
    }
}

/// Work that the controllers have done for heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatWork {
    /// Number of table entries inspected by the controllers.
    pub steps: u64,
    /// Number of heartbeats handled by the controllers.
    pub heartbeats: u64,
}

/// Events of controllers.
impl Simulation {
    /// Returns the reading of a controller's clocks.
    fn clock(&self, node: usize) -> Clock {
        let controller = &self.controllers[node];
        let stopped = self.disabled == DisabledSafeguard::RunningClocks
            && self.now / CLOCK_STOP % (CONTROLLERS as u64 + 1) == node as u64 + 1;
        let time = if stopped { self.now / CLOCK_STOP * CLOCK_STOP } else { self.now };
        let steady = (time.saturating_sub(controller.started_at) as f64 * controller.clock_rate) as u64 + SEC;
        Clock { steady: Time(steady), wall_clock_ms: 1_700_000_000_000 + self.now / MS }
    }

    pub(super) fn start_controller(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        controller.incarnation += 1;
        controller.started_at = self.now;
        let incarnation = controller.incarnation;
        let seed: u64 = self.rng.random();
        if let Some(remote) = &mut self.remote {
            return remote.start(node);
        }
        let process = Controller::new(self.settings[node].clone(), seed, self.clock(node));
        self.controllers[node].process = Some(process);
        self.schedule(self.now + 1, ScheduledEvent::ControllerTick { node, incarnation });
    }

    pub(super) fn tick_controller(&mut self, node: usize, incarnation: u64) {
        if self.controllers[node].incarnation == incarnation && self.is_up(node) {
            self.deliver(node, Event::Tick);
            self.schedule(self.now + TICK, ScheduledEvent::ControllerTick { node, incarnation });
        }
    }

    pub(super) fn client_request_arrives(&mut self, node: usize, origin: RequestOrigin, request: ClientRequest) {
        let is_heartbeat = matches!(origin, RequestOrigin::Worker { .. });
        if is_heartbeat {
            self.duplicate_heartbeat(&origin, &request);
            self.retain_heartbeat(&origin, &request);
        }
        if self.is_up(node) {
            self.heartbeats += u64::from(is_heartbeat);
            let id = self.next_sequence_number();
            self.controllers[node].open_requests.insert(id, origin);
            if let Some(remote) = &mut self.remote {
                return remote.send_request(node, id, &request);
            }
            self.deliver(node, Event::ClientRequest { id: ClientRequestId(id), client_request: request });
        }
    }

    pub(super) fn reply_arrives(&mut self, origin: RequestOrigin, node: usize, reply: &Reply) {
        match origin {
            RequestOrigin::User { user, request_number } => self.handle_user_reply(user, request_number, reply),
            RequestOrigin::Worker { machine, heartbeat } => {
                self.handle_heartbeat_reply(machine, heartbeat, node, reply);
            }
            RequestOrigin::MalformedRequest { job, expected } => {
                self.check_malformed_request_reply(&job, expected, reply);
            }
        }
    }

    /// Delivers an answer or the failure of a call, unless the process has been replaced or the call has already ended.
    pub(super) fn answer_arrives(&mut self, node: usize, incarnation: u64, call: OutboundCallId, event: Event) {
        let controller = &mut self.controllers[node];
        if controller.incarnation == incarnation && controller.pending_calls.remove(&call) {
            if let Some(remote) = &mut self.remote {
                return remote.send_answer(event);
            }
            self.deliver(node, event);
        }
    }

    /// Sends an answer to a controller over the network, which may lose it.
    pub(super) fn send_answer(
        &mut self,
        node: usize,
        incarnation: u64,
        call: OutboundCallId,
        from: Endpoint,
        event: Event,
    ) {
        if let Some(at) = self.packet_arrival(from, Endpoint::Controller(node)) {
            self.schedule(at, ScheduledEvent::AnswerArrives { node, incarnation, call, event });
        }
    }

    /// Passes an event to a controller and carries out the resulting actions.
    pub(super) fn deliver(&mut self, node: usize, event: Event) {
        let clock = self.clock(node);
        self.event_begins();
        let Some(process) = &mut self.controllers[node].process else { return };
        let all_inspections_before = process.inspections();
        if let Some(digest) = &mut self.digest {
            digest.event(self.now, node, &event);
        }
        let inspections_before = process.preemption_inspections();
        let actions = process.handle(clock, event);
        let all_inspections = process.inspections().saturating_sub(all_inspections_before);
        self.event_ended(all_inspections);
        for line in controller_log::take_lines() {
            self.trace_line(|| format!("controller {node}: {line}"));
        }
        let Some(process) = &self.controllers[node].process else { return };
        let inspections = process.preemption_inspections().saturating_sub(inspections_before);
        assert_eq!(process.invariant_violations(), 0, "controller {node} has violated an invariant, see its log");
        for action in actions {
            if let Some(digest) = &mut self.digest {
                digest.action(node, &action);
            }
            self.execute_action(node, action);
        }
        self.charge_processor_time(node, inspections);
    }

    /// Lets a controller stand still for the processor time of the events that it has handled.
    fn charge_processor_time(&mut self, node: usize, inspections: u64) {
        let Some(processor) = self.processor else { return };
        let controller = &mut self.controllers[node];
        controller.unpaid_processor_time += processor.time_of_event(inspections);
        if controller.unpaid_processor_time >= processor::CHARGE_INTERVAL {
            controller.frozen_until = self.now + std::mem::take(&mut controller.unpaid_processor_time);
        }
    }

    /// Carries out an action of a controller.
    fn execute_action(&mut self, node: usize, action: Action) {
        let incarnation = self.controllers[node].incarnation;
        let from = Endpoint::Controller(node);
        match action {
            Action::Reply { id, reply } if self.awaited_request == Some(id) => self.awaited_reply = Some(reply),
            Action::Reply { id, reply } => self.send_reply(node, id, reply),
            Action::State { call, request } => {
                self.start_call(node, call, CalledService::State);
                if let Some(at) = self.packet_arrival(from, Endpoint::StateService) {
                    self.schedule(at, ScheduledEvent::StateCallArrives { node, incarnation, call, request });
                }
            }
            Action::Cloud { call, request } => {
                self.start_call(node, call, CalledService::Cloud);
                if let Some(at) = self.packet_arrival(from, Endpoint::Cloud) {
                    let slow = self.rng.random_bool(SLOW_CLOUD_CALL_PROBABILITY);
                    let delay = if slow { self.rng.random_range(0..30 * SEC) } else { 100 * MS };
                    self.schedule(at + delay, ScheduledEvent::CloudCallArrives { node, incarnation, call, request });
                }
            }
            Action::Worker { call, addr, request } => {
                self.start_call(node, call, CalledService::Worker);
                let machine = workers::machine_number_at(addr);
                if let Some(at) = self.packet_arrival(from, Endpoint::Machine(machine)) {
                    self.schedule(at, ScheduledEvent::WorkerCallArrives { node, incarnation, call, machine, request });
                }
            }
            Action::Probe { call, addr } => {
                self.start_call(node, call, CalledService::Probe);
                let Some(to) = self.settings.iter().position(|settings| settings.client_addr == addr) else { return };
                if let Some(at) = self.packet_arrival(from, Endpoint::Controller(to)) {
                    self.schedule(at, ScheduledEvent::ProbeArrives { node, incarnation, call, to });
                }
            }
            Action::SendToPeer { to, message } => {
                let Some(peer) = self.controllers.iter().position(|controller| controller.label == to) else { return };
                let envelope = Envelope { from: self.controllers[node].label.clone(), message };
                let bytes = peers::encode(&envelope);
                self.copy_peer_message(peer, &envelope.message, &bytes);
                if let Some(at) = self.packet_arrival(from, Endpoint::Controller(peer)) {
                    self.schedule(at, ScheduledEvent::PeerMessageArrives { node: peer, bytes });
                }
            }
        }
    }

    /// Registers an outbound call and schedules its timeout.
    fn start_call(&mut self, node: usize, call: OutboundCallId, service: CalledService) {
        let controller = &mut self.controllers[node];
        controller.pending_calls.insert(call);
        let incarnation = controller.incarnation;
        let at = self.now + service.call_timeout();
        self.schedule(at, ScheduledEvent::CallTimeout { node, incarnation, call, service });
    }

    /// Sends a controller's reply to the requester.
    pub(super) fn send_reply(&mut self, node: usize, id: ClientRequestId, reply: Reply) {
        let Some(origin) = self.controllers[node].open_requests.remove(&id.0) else { return };
        let to = match origin {
            RequestOrigin::User { .. } | RequestOrigin::MalformedRequest { .. } => Endpoint::Users,
            RequestOrigin::Worker { machine, .. } => Endpoint::Machine(machine),
        };
        if let Some(at) = self.packet_arrival(Endpoint::Controller(node), to) {
            self.schedule(at, ScheduledEvent::ReplyArrives { origin, node, reply });
        }
    }
}
