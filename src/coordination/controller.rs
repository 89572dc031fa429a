//! The controller: its components, and the dispatch of events and answers to them.

use super::cloud::Cloud;
use super::confirmation::Confirmation;
use super::directory::Directory;
use super::events::{Action, ClientRequestId, Clock, Event, Requester};
use super::forecasts::Forecasts;
use super::forwarding::ForwardedRequests;
use super::leadership::NodeLeadership;
use super::leadership_term::LeadershipTerm;
use super::machine_transfer::PeerOffers;
use super::outbound_calls::{OutboundCalls, PendingStateCall};
use super::pending_calls::PendingWorkerCall;
use super::relay::Relays;
use super::replica::Replica;
use super::request_statistics::RequestStatistics;
use super::scale_in::DeletedMachines;
use super::shard::Shard;
use super::shard_recovery::RecoveryLog;
use super::state_admission::TrafficClass;
use super::state_operation::StateOperation;
use super::user_requests::UserRequests;
use super::worker_heartbeats::Registrations;
use crate::config::Settings;
use crate::model::{MachineId, NodeLabel, ShardId};
use crate::protocol::peers::{Envelope, ForwardedRequest, PeerMessage};
use crate::protocol::state::StateCall;
use crate::protocol::state::StateResult;
use crate::protocol::users::ClientRequest;
use crate::protocol::workers::WorkerCall;
use crate::protocol::{BusyReason, CallError, Reply};
use crate::time::Time;
use crowstall_leadership::Membership;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Fraction of the state service's limit on requests that is divided evenly among all controllers, because all of them
/// renew leases and read records for users. The rest goes to the leaders of the shards that take the teams' jobs.
const EVEN_FRACTION_OF_REQUESTS: f64 = 0.6;
/// Fraction of the limits on writes to the state service and on calls to the cloud that is divided evenly among all
/// controllers. It is smaller than [`EVEN_FRACTION_OF_REQUESTS`], because only controllers that lead shards with jobs
/// write much.
const EVEN_FRACTION_OF_WRITES: f64 = 0.25;

/// State machine of one controller process.
///
/// Each component owns its state and is defined in a module of its own, together with the `impl Controller` block that
/// works on it. `Controller` joins the components, dispatches events to them, and collects the resulting actions.
pub struct Controller {
    /// Settings of the platform, and properties set by the operators.
    pub(super) settings: Settings,
    /// Random number that distinguishes this process from earlier and later processes of the same node label.
    pub(super) incarnation: u64,
    /// Start time of this process.
    pub(super) started: Time,
    /// Monotonic time at which the current event is handled.
    pub(super) now: Time,
    /// Wall clock time at which the current event is handled, in milliseconds since the Unix epoch.
    pub(super) wall_clock_ms: u64,
    /// Number of the last attempt or rental that this process has named. It never starts over while the process lives,
    /// so that names composed of a leadership term and this number stay unique when one process leads two shards one
    /// after the other.
    pub(super) counter: u64,
    /// Actions of the current event, calls in flight, and this node's share of the state service's rate limits.
    pub(super) calls: OutboundCalls,
    /// Counts of replies and latencies of the state service, which are logged once a minute.
    pub(super) statistics: RequestStatistics,
    /// Node lease at the state service, and acquisition, confirmation and release of leadership of shards.
    pub(super) leadership: NodeLeadership,
    /// Leadership checks in flight, and answers that are deferred until a leadership term is confirmed.
    pub(super) confirmation: Confirmation,
    /// Liveness of the peers, and the leader of each shard as far as this node knows.
    pub(super) membership: Membership,
    /// Copy of the records of the shards that this node is the first to take over after a failure.
    pub(super) replica: Replica,
    /// Shards that this node leads, loaded or still being loaded.
    pub(super) shards: BTreeMap<ShardId, Shard>,
    /// Reports on the recovery of the shards that this node leads or has led.
    pub(super) recoveries: RecoveryLog,
    /// Requests of this node's clients that were forwarded to other controllers and are not answered yet.
    pub(super) forwarded: ForwardedRequests,
    /// Requests of users that wait for an answer of the state service.
    pub(super) user_requests: UserRequests,
    /// Cache of the shards of jobs and machines, and of the final records of ended jobs.
    pub(super) directory: Directory,
    /// Machines that wait until their records may be written.
    pub(super) registrations: Registrations,
    /// Machines that were deleted, whose delayed heartbeats must not register them again.
    pub(super) deleted_machines: DeletedMachines,
    /// Workers whose heartbeats this node relays to the leader of their shard.
    pub(super) relays: Relays,
    /// Idle machines that other controllers offer for transfer.
    pub(super) offers: PeerOffers,
    /// Cached state of the cloud: its catalog, its list of machines, its refusals, and statistics of boots.
    pub(super) cloud: Cloud,
    /// Learned run times and promised finish times. `None` if forecasts are disabled.
    pub(super) forecasts: Option<Forecasts>,
}

impl Controller {
    /// Creates a controller that leads no shard yet. `incarnation` must be drawn at random from all 64-bit numbers, so
    /// that it differs from that of every other process of the same node label.
    pub fn new(settings: Settings, incarnation: u64, clock: Clock) -> Controller {
        let now = clock.steady;
        let shards = settings.shards as usize;
        let mut controller = Controller {
            incarnation,
            started: now,
            now,
            wall_clock_ms: clock.wall_clock_ms,
            counter: 0,
            calls: OutboundCalls::new(&settings, now),
            statistics: RequestStatistics::new(now),
            leadership: NodeLeadership::new(&settings),
            confirmation: Confirmation::default(),
            membership: Membership::new(settings.label.clone(), settings.node_zones.clone(), shards),
            replica: Replica::new(&settings),
            shards: BTreeMap::new(),
            recoveries: RecoveryLog::new(now),
            forwarded: ForwardedRequests::new(incarnation),
            user_requests: UserRequests::default(),
            directory: Directory::new(settings.properties.ended_jobs_kept),
            registrations: Registrations::default(),
            deleted_machines: DeletedMachines::default(),
            relays: Relays::default(),
            offers: PeerOffers::default(),
            cloud: Cloud::new(&settings),
            forecasts: Forecasts::new(&settings),
            settings,
        };
        controller.update_rate_limit_shares();
        controller
    }

    /// Handles one event and returns the actions that follow from it.
    pub fn handle(&mut self, clock: Clock, event: Event) -> Vec<Action> {
        self.now = clock.steady;
        self.wall_clock_ms = clock.wall_clock_ms;
        self.record_lease_states();
        match event {
            Event::ClientRequest { id, client_request } => self.handle_client_request(id, client_request),
            Event::State { call, answer } => {
                if let Some(pending) = self.calls.take_state_call(call, &answer) {
                    self.state_answered(pending, answer);
                }
            }
            Event::Cloud { call, answer } => {
                if let Some(operation) = self.calls.take_cloud_call(call) {
                    self.cloud_answered(operation, answer);
                }
            }
            Event::Worker { call, answer } => {
                if let Some(pending) = self.calls.take_worker_call(call) {
                    self.worker_answered(pending, answer);
                }
            }
            Event::Probe { call, alive } => self.probe_answered(call, alive),
            Event::Peer(envelope) => self.handle_peer_message(envelope),
            Event::Tick => self.tick(),
        }
        self.calls.take_actions()
    }

    /// Records in every shard whether this node may decide for it now, at the time of the current event.
    fn record_lease_states(&mut self) {
        let (holds_lease, now) = (self.holds_lease(), self.now);
        for shard in self.shards.values_mut() {
            shard.record_lease_state(holds_lease && shard.may_decide(now));
        }
    }

    /// Returns how many times this controller has violated one of its own invariants. Each time an error is logged and
    /// the offending call is refused.
    pub fn invariant_violations(&self) -> u64 {
        self.calls.invariant_violations()
    }

    /// Returns how many jobs, machines and ranges of tasks were inspected so far while handling heartbeats and loading
    /// records: a measure of their cost that does not depend on the speed of the machine.
    pub fn inspections(&self) -> u64 {
        self.shards.values().map(|shard| shard.inspections.get()).sum()
    }

    /// Returns how many machines and attempts were inspected so far in search of room for waiting tasks: a measure of
    /// the cost of preemption that does not depend on the speed of the machine.
    pub fn preemption_inspections(&self) -> u64 {
        self.shards.values().map(|shard| shard.preemption_inspections).sum()
    }

    /// Recomputes this node's share of the rate limits of the state service and the cloud.
    pub(super) fn update_rate_limit_shares(&mut self) {
        let requests_per_second = self.settings.state_rps * self.fraction_of_limit(EVEN_FRACTION_OF_REQUESTS);
        let fraction_of_writes = self.fraction_of_limit(EVEN_FRACTION_OF_WRITES);
        self.calls.set_rate_limit_share(requests_per_second, fraction_of_writes);
        self.cloud.set_rate(self.settings.cloud_rps * fraction_of_writes);
    }

    /// Returns this node's fraction of a rate limit. `even_fraction` of the limit is divided evenly among all
    /// controllers, and the rest evenly among the shards that take the teams' jobs, for their leaders. While the leader
    /// of a shard cannot be reached, the fraction of that shard is divided evenly among all controllers too, because
    /// every controller then accepts the shard's jobs.
    fn fraction_of_limit(&self, even_fraction: f64) -> f64 {
        let nodes = self.settings.nodes.len() as f64;
        let team_shards = self.settings.team_shards();
        let fraction_of_shard = |shard: ShardId| {
            if self.shards.contains_key(&shard) {
                1.0
            } else if self.reachable_leader(shard).is_some() {
                0.0
            } else {
                1.0 / nodes
            }
        };
        let shard_fractions: f64 = (0..team_shards).map(ShardId).map(fraction_of_shard).sum();
        even_fraction / nodes + (1.0 - even_fraction) * shard_fractions / f64::from(team_shards)
    }

    /// Returns the shard that takes all jobs and machines if there is only one such shard. No record has to be read in
    /// that case to find the shard of a job or a machine.
    pub(super) fn only_shard(&self) -> Option<ShardId> {
        (self.settings.team_shards() == 1).then_some(ShardId(0))
    }

    /// Returns the shard if this node still leads it in the given leadership term.
    pub(super) fn shard_in_term(&mut self, leadership: LeadershipTerm) -> Option<&mut Shard> {
        self.shards.get_mut(&leadership.shard).filter(|shard| shard.term == leadership.term)
    }

    /// Returns the shards that this node leads, has loaded, and may decide for now.
    pub(super) fn decidable_shards(&self) -> Vec<ShardId> {
        let decidable = |shard: &&Shard| shard.is_active() && self.may_decide(shard.id);
        self.shards.values().filter(decidable).map(|shard| shard.id).collect()
    }

    /// Replies to a client of this node, or to the controller that forwarded the request.
    pub(super) fn reply(&mut self, requester: Requester, reply: Reply) {
        match requester {
            Requester::Local(id) => {
                if reply.retry_after.is_some() {
                    log::debug!("request {}: refused with Retry-After: {}", id.0, reply.body);
                }
                self.statistics.record_reply(&reply);
                self.calls.push(Action::Reply { id, reply });
            }
            Requester::Peer { node, number } => self.send_to_peer(node, PeerMessage::Answer { number, reply }),
        }
    }

    /// Sends a message to another controller.
    pub(super) fn send_to_peer(&mut self, to: NodeLabel, message: PeerMessage) {
        self.calls.push(Action::SendToPeer { to, message });
    }

    /// Returns `true` if a call of this class may be sent to the state service now. The caller must then send it before
    /// the next event is handled.
    pub(super) fn admits(&mut self, class: TrafficClass) -> bool {
        self.calls.admits(self.now, class)
    }

    /// Admits the next call of an operation whose first call was admitted, whatever the rate limits say: refusing it
    /// would waste the first call.
    pub(super) fn admit_next_step(&mut self, class: TrafficClass) {
        self.calls.admit_next_step(self.now, class);
    }

    /// Sends a request to the state service. The answer goes to the component that `operation` belongs to.
    pub(super) fn call_state(&mut self, request: StateCall, operation: impl Into<StateOperation>) {
        self.calls.send_to_state(self.now, request, operation.into());
    }

    /// Sends commands directly to the worker of a machine in a shard that this node leads, without waiting for its next
    /// heartbeat. A call that would start tasks is not sent, since copies of it may be executed at any later time.
    pub(super) fn call_worker(&mut self, shard: ShardId, machine: &MachineId, addr: SocketAddrV4, request: WorkerCall) {
        if request.starts_tasks() {
            log::error!(
                "invariant violated: machine {machine}: a direct call would have started tasks; not sending it"
            );
            return self.calls.record_invariant_violation();
        }
        let Some(leadership) = self.shards.get(&shard).map(Shard::leadership_term) else { return };
        let pending = PendingWorkerCall { leadership, machine: machine.clone() };
        self.calls.send_to_worker(pending, addr, request);
    }

    /// Handles a request of a user, a worker or an operator.
    fn handle_client_request(&mut self, id: ClientRequestId, client_request: ClientRequest) {
        let requester = Requester::Local(id);
        match client_request {
            ClientRequest::Fixed(reply) => self.reply(requester, reply),
            ClientRequest::Up => {
                let reply = self.health();
                self.reply(requester, reply);
            }
            ClientRequest::WorkerHeartbeat(heartbeat) => self.handle_heartbeat(requester, heartbeat),
            ClientRequest::Submit(Ok(spec)) => self.submit(requester, spec),
            ClientRequest::Submit(Err(invalid)) => self.reject_invalid_submission(requester, invalid),
            ClientRequest::Poll(job) => self.poll(requester, job),
            ClientRequest::Cancel(job) => self.cancel(requester, job),
            ClientRequest::Forecast(job) => self.forecast(requester, job),
            ClientRequest::Recoveries => {
                let reply = self.recovery_reports();
                self.reply(requester, reply);
            }
        }
    }

    /// Returns the reply to the load balancer's health check.
    fn health(&self) -> Reply {
        if self.is_ready_for_users() {
            Reply::json(200, &serde_json::json!({}))
        } else {
            Reply::busy(BusyReason::NotReady)
        }
    }

    /// Returns `true` if the load balancer should send users to this node.
    ///
    /// A node that knows the machine types and holds a node lease is ready. During an outage of the state service no
    /// controller holds one. All of them stay ready, because the load balancer would take them back only after a delay
    /// when the outage ends. The same applies to a node that was started during the outage: it can at least tell users
    /// at once when to retry. A node without a lease is not ready while a reachable peer holds one, because that peer
    /// serves users better, nor while it reaches no peer, because it may then be the only node without a lease.
    fn is_ready_for_users(&self) -> bool {
        let mut reachable = self.membership.reachable_peers(self.now).peekable();
        let reaches_any = reachable.peek().is_some() || self.settings.peers.is_empty();
        let peer_holds_lease = reachable.any(|(_, peer)| peer.peer_status.holds_lease);
        self.cloud.has_catalog() && (self.holds_lease() || reaches_any && !peer_holds_lease)
    }

    /// Handles an answer of the state service: adjusts the rate limits, records that the service responds, confirms the
    /// leadership term that the call was conditional on, and dispatches the answer unless it has to wait until its term
    /// is confirmed.
    fn state_answered(&mut self, pending: PendingStateCall, answer: StateResult) {
        let limit_exceeded = matches!(answer, Err(CallError::Refused { over_limit: true }));
        if limit_exceeded && self.calls.record_limit_exceeded(self.now, self.settings.state_write_rps) {
            self.update_rate_limit_shares();
        }
        if answer.is_ok() || limit_exceeded {
            self.leadership.state_answered(self.now);
        }
        let PendingStateCall { sent, operation, .. } = pending;
        self.statistics.record_state_latency(self.now.since(sent));
        self.confirm_by_commit(sent, &operation, &answer);
        if let Some((operation, answer)) = self.defer_unconfirmed(sent, operation, answer) {
            self.complete_state_call(sent, operation, answer);
        }
    }

    /// Dispatches an answer of the state service to the component that sent the call.
    pub(super) fn complete_state_call(&mut self, sent: Time, operation: StateOperation, answer: StateResult) {
        match operation {
            StateOperation::Leadership(operation) => self.leadership_answered(sent, operation, answer),
            StateOperation::Recovery(operation) => self.recovery_answered(operation, answer),
            StateOperation::Replica(records) => self.replica_answered(records, answer),
            StateOperation::User(operation) => self.user_operation_answered(operation, answer),
            StateOperation::Job(operation) => self.job_record_answered(operation, answer),
            StateOperation::Dependency(operation) => self.dependency_answered(operation, answer),
            StateOperation::Machine(operation) => self.machine_operation_answered(operation, answer),
            StateOperation::Forecast(operation) => self.forecast_answered(operation, answer),
        }
    }

    /// Handles a message of another controller. Messages of unknown senders, and of this node's own label, are ignored.
    fn handle_peer_message(&mut self, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        if !self.settings.nodes.contains(&from) || from == self.settings.label {
            return;
        }
        match message {
            heartbeat @ PeerMessage::Heartbeat { .. } => self.handle_peer_heartbeat(from, heartbeat),
            PeerMessage::Released { shard } => self.leadership_handed_over(shard),
            PeerMessage::RequestMachine { machine, shard } => self.offered_machine_requested(machine, shard),
            PeerMessage::MachineTransferred { machine, shard } => self.machine_transferred_here(machine, shard),
            PeerMessage::ClientRequest { number, shard, client_request } => {
                self.handle_forwarded_request(Requester::Peer { node: from, number }, shard, client_request);
            }
            PeerMessage::Answer { number, reply } => self.forwarded_request_answered(&from, number, reply),
        }
    }

    /// Handles a request that another controller forwarded to this node as the leader of the shard.
    fn handle_forwarded_request(&mut self, requester: Requester, shard: ShardId, request: ForwardedRequest) {
        if !self.may_handle_forwarded(shard, &request) {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        }
        match request {
            ForwardedRequest::Submit(spec) | ForwardedRequest::SubmitWaiting(spec) => {
                self.submit_as_leader(requester, shard, *spec);
            }
            ForwardedRequest::Poll(job) => self.poll_as_leader(requester, shard, job),
            ForwardedRequest::Cancel(job) => self.cancel_as_leader(requester, shard, job),
            ForwardedRequest::Forecast(job) => self.forecast_as_leader(requester, shard, job),
            ForwardedRequest::WorkerHeartbeat(heartbeat) => self.handle_heartbeat(requester, heartbeat),
        }
    }

    /// Returns `true` if this node may handle a request that was forwarded for the shard.
    fn may_handle_forwarded(&self, shard: ShardId, request: &ForwardedRequest) -> bool {
        let is_active = self.shards.get(&shard).is_some_and(|shard| shard.is_active());
        match request {
            // Worker leases are renewed for a grace period after the end of the leader lease, and heartbeats that
            // arrive while the shard's records are being read are queued.
            ForwardedRequest::WorkerHeartbeat(_) => self.shards.contains_key(&shard),
            // Stopping the tasks of a cancelled job is safe even without a valid leader lease.
            ForwardedRequest::Cancel(_) => is_active,
            _ => is_active && self.may_decide(shard),
        }
    }

    /// Completes the state service calls that were not sent for lack of an admission, as if the service had refused
    /// them because a rate limit was exceeded.
    fn refuse_calls_not_admitted(&mut self) {
        for PendingStateCall { sent, operation, .. } in self.calls.take_not_admitted() {
            self.complete_state_call(sent, operation, Err(CallError::Refused { over_limit: true }));
        }
    }

    /// Runs the periodic work of each component. Leases and leadership are maintained first, because the decisions that
    /// follow depend on them.
    fn tick(&mut self) {
        self.update_rate_limit_shares();
        self.refuse_calls_not_admitted();
        let time_since_last_tick = self.recoveries.time_since_last_tick(self.now);
        self.statistics_tick(time_since_last_tick);
        self.failover_tick(time_since_last_tick);
        self.leadership_tick();
        self.replica_tick();
        self.expire_forwarded_requests();
        self.directory.trim();
        self.expire_relays();
        self.step_down_if_isolated();
        self.recovery_tick();
        self.workers_tick();
        self.persistence_tick();
        self.fleet_tick();
        self.forecast_tick();
        self.calls.log_usage(self.now);
    }
}
