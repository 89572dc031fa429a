//! One controller: the components it is made of, and which of them handles which event.

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
use super::scale_in::RemovedMachines;
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

/// The share of the state service's limit on requests that is divided evenly among all controllers: all of them
/// renew leases and read for users. The rest follows the shards that take the teams' jobs.
const EVEN_SHARE_OF_REQUESTS: f64 = 0.6;
/// The same for the limits on changes and on calls to the cloud: only controllers with work change much.
const EVEN_SHARE_OF_CHANGES: f64 = 0.25;

/// The state of one controller.
///
/// Each component owns its state and is defined in the module of the same name, together with the part of the
/// controller that works on it. `Controller` joins them, passes events to them, and collects the resulting actions.
pub struct Controller {
    /// The platform's settings and the operators' properties.
    pub(super) settings: Settings,
    /// Distinguishes this process from earlier and later ones of the same label.
    pub(super) incarnation: u64,
    /// When this process started.
    pub(super) started: Time,
    /// The steady clock at the event that is being handled.
    pub(super) now: Time,
    /// The time of day at the event that is being handled, in milliseconds.
    pub(super) wall_clock_ms: u64,
    /// Counts attempts and rentals. It never starts over while the process lives, so that names that begin with a
    /// leadership term are unique even if one process leads two shards one after the other.
    pub(super) counter: u64,
    /// Actions of the current event, and calls to outside services in flight.
    pub(super) calls: OutboundCalls,
    /// What was answered lately, for the log.
    pub(super) statistics: RequestStatistics,
    /// This node's lease at the state service, and acquiring, confirming and replacing leadership.
    pub(super) leadership: NodeLeadership,
    /// Leadership checks, and answers that are deferred until a leadership term is confirmed.
    pub(super) confirmation: Confirmation,
    /// Which peers are alive and which node leads which shard.
    pub(super) membership: Membership,
    /// A copy of the records of shards that this node would take over first.
    pub(super) replica: Replica,
    /// The shards that this node leads.
    pub(super) shards: BTreeMap<ShardId, Shard>,
    /// How the shards of this node were recovered.
    pub(super) recoveries: RecoveryLog,
    /// Requests that were forwarded to other controllers.
    pub(super) forwarded: ForwardedRequests,
    /// Requests of users that wait for the state service.
    pub(super) users: UserRequests,
    /// Where jobs and machines belong, and how jobs have ended.
    pub(super) directory: Directory,
    /// Machines whose records wait to be written.
    pub(super) registrations: Registrations,
    /// Machines that were deleted.
    pub(super) removed_machines: RemovedMachines,
    /// Workers whose heartbeats come by way of another controller.
    pub(super) relays: Relays,
    /// Idle machines that other controllers offer.
    pub(super) offers: PeerOffers,
    /// What is known of the cloud: its catalog, its list of machines, its refusals.
    pub(super) cloud: Cloud,
    /// Learned run times and promised finish times, if they are enabled.
    pub(super) forecasts: Option<Forecasts>,
}

impl Controller {
    /// A controller that leads nothing yet. `incarnation` must differ from that of any other process of the label.
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
            forwarded: ForwardedRequests::default(),
            users: UserRequests::default(),
            directory: Directory::new(settings.properties.ended_jobs_kept),
            registrations: Registrations::default(),
            removed_machines: RemovedMachines::default(),
            relays: Relays::default(),
            offers: PeerOffers::default(),
            cloud: Cloud::new(&settings),
            forecasts: Forecasts::new(&settings),
            settings,
        };
        controller.share_limits();
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

    /// Tells every shard whether this node may decide for it now.
    fn record_lease_states(&mut self) {
        let (holds_lease, now) = (self.holds_lease(), self.now);
        for shard in self.shards.values_mut() {
            shard.record_lease_state(holds_lease && shard.may_decide(now));
        }
    }

    /// How often this controller broke an invariant of its own. Each time there is a line in the log, and what would have
    /// followed was refused.
    pub fn invariant_violations(&self) -> u64 {
        self.calls.invariant_violations()
    }

    /// How many jobs and machines were inspected so far while handling heartbeats: a measure of their cost that does not
    /// depend on the clock.
    pub fn inspections(&self) -> u64 {
        self.shards.values().map(|shard| shard.inspections.get()).sum()
    }

    /// Takes this node's share of the limits of the state service and the cloud.
    pub(super) fn share_limits(&mut self) {
        let requests_per_second = self.settings.state_rps * self.share_of_limit(EVEN_SHARE_OF_REQUESTS);
        let share_of_changes = self.share_of_limit(EVEN_SHARE_OF_CHANGES);
        self.calls.set_share(requests_per_second, share_of_changes);
        self.cloud.set_share(self.settings.cloud_rps * share_of_changes);
    }

    /// This node's share of a limit of which the given part is divided evenly among all controllers, and the rest among
    /// the leaders of the shards that take the teams' jobs. While the leader of a shard cannot be reached its part is
    /// divided evenly too, since every controller then accepts the shard's jobs.
    fn share_of_limit(&self, even_part: f64) -> f64 {
        let nodes = self.settings.nodes.len() as f64;
        let team_shards = self.settings.team_shards();
        let part_of = |shard: ShardId| {
            if self.shards.contains_key(&shard) {
                1.0
            } else if self.reachable_leader(shard).is_some() {
                0.0
            } else {
                1.0 / nodes
            }
        };
        let parts: f64 = (0..team_shards).map(ShardId).map(part_of).sum();
        even_part / nodes + (1.0 - even_part) * parts / f64::from(team_shards)
    }

    /// The only shard that takes jobs and machines, if there is just one. Then no record has to be read to find out
    /// which shard a job or a machine belongs to.
    pub(super) fn only_shard(&self) -> Option<ShardId> {
        (self.settings.team_shards() == 1).then_some(ShardId(0))
    }

    /// The shard if this node still leads it in the given term.
    pub(super) fn shard_in_term(&mut self, leadership: LeadershipTerm) -> Option<&mut Shard> {
        self.shards.get_mut(&leadership.shard).filter(|shard| shard.term == leadership.term)
    }

    /// The shards that this node leads, has loaded, and may decide about.
    pub(super) fn decidable_shards(&self) -> Vec<ShardId> {
        let decidable = |shard: &&Shard| shard.is_active() && self.may_decide(shard.id);
        self.shards.values().filter(decidable).map(|shard| shard.id).collect()
    }

    /// Answers a request of a client of this node or of another controller.
    pub(super) fn reply(&mut self, requester: Requester, reply: Reply) {
        match requester {
            Requester::Local(id) => {
                if reply.retry_after.is_some() {
                    log::debug!("request refused with Retry-After: {}", reply.body);
                }
                self.statistics.replied(&reply);
                self.calls.push(Action::Reply { id, reply });
            }
            Requester::Peer { node, number } => self.send_to_peer(node, PeerMessage::Answer { number, reply }),
        }
    }

    /// Sends a message to another controller.
    pub(super) fn send_to_peer(&mut self, to: NodeLabel, message: PeerMessage) {
        self.calls.push(Action::Send { to, message });
    }

    /// Whether a call of this class may be sent to the state service now. If so it has to be sent at once.
    pub(super) fn admits(&mut self, class: TrafficClass) -> bool {
        self.calls.admits(self.now, class)
    }

    /// Admits the next call of an operation whose first call was admitted.
    pub(super) fn admit_next_step(&mut self, class: TrafficClass) {
        self.calls.admit_next_step(self.now, class);
    }

    /// Sends a request to the state service on behalf of the component that `operation` belongs to.
    pub(super) fn call_state(&mut self, request: StateCall, operation: impl Into<StateOperation>) {
        self.calls.send_to_state(self.now, request, operation.into());
    }

    /// Sends commands directly to a worker of a shard that this node leads, instead of in an answer to a heartbeat.
    pub(super) fn call_worker(&mut self, shard: ShardId, machine: &MachineId, addr: SocketAddrV4, request: WorkerCall) {
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
            ClientRequest::Submit(Err(invalid)) => self.reject(requester, invalid),
            ClientRequest::Poll(job) => self.poll(requester, job),
            ClientRequest::Cancel(job) => self.cancel(requester, job),
            ClientRequest::Forecast(job) => self.forecast(requester, job),
            ClientRequest::Recoveries => {
                let reply = self.recovery_reports();
                self.reply(requester, reply);
            }
        }
    }

    /// The answer to the load balancer's health check.
    fn health(&self) -> Reply {
        if self.is_ready_for_users() {
            Reply::json(200, &serde_json::json!({}))
        } else {
            Reply::busy(BusyReason::NotReady)
        }
    }

    /// Whether the load balancer should send users to this node.
    ///
    /// During an outage of the state service no controller holds a lease. All of them stay in the load balancer's list,
    /// which avoids its delay in taking them back afterwards. If a peer holds a lease and this node does not, users are
    /// served better there. A node that was started during the outage never had a lease; while its peers have none
    /// either, it is ready and tells users at once when to retry. A node that reaches no peer may be the only one
    /// without a lease, so it is not ready.
    fn is_ready_for_users(&self) -> bool {
        let mut reachable = self.membership.reachable_peers(self.now).peekable();
        let reaches_any = reachable.peek().is_some() || self.settings.peers.is_empty();
        let peer_holds_lease = reachable.any(|(_, peer)| peer.peer_status.holds_lease);
        self.cloud.has_catalog() && (self.holds_lease() || reaches_any && !peer_holds_lease)
    }

    /// Handles an answer of the state service: records what it says of this node's share of the limits and of its
    /// leadership, and passes it on unless it has to wait until the term is confirmed.
    fn state_answered(&mut self, pending: PendingStateCall, answer: StateResult) {
        let limit_exceeded = matches!(answer, Err(CallError::Refused { over_limit: true }));
        if limit_exceeded && self.calls.limit_exceeded(self.now, self.settings.state_writes) {
            self.share_limits();
        }
        if answer.is_ok() || limit_exceeded {
            self.leadership.state_answered(self.now);
        }
        let PendingStateCall { sent, operation, .. } = pending;
        self.statistics.state_answered(self.now.since(sent));
        self.confirm_by_commit(sent, &operation, &answer);
        if let Some((operation, answer)) = self.defer_unconfirmed(sent, operation, answer) {
            self.complete_state_call(sent, operation, answer);
        }
    }

    /// Passes an answer of the state service to the component that sent the call.
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

    /// Handles a message of another controller. Messages of unknown senders are ignored.
    fn handle_peer_message(&mut self, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        if !self.settings.nodes.contains(&from) || from == self.settings.label {
            return;
        }
        match message {
            heartbeat @ PeerMessage::Heartbeat { .. } => self.handle_peer_heartbeat(from, heartbeat),
            PeerMessage::Released { shard } => self.leadership_handed_over(shard),
            PeerMessage::Take { machine, shard } => self.offered_machine_requested(machine, shard),
            PeerMessage::Moved { machine, shard } => self.machine_transferred_here(machine, shard),
            PeerMessage::ClientRequest { number, shard, client_request } => {
                self.handle_forwarded_request(Requester::Peer { node: from, number }, shard, client_request);
            }
            PeerMessage::Answer { number, reply } => self.forwarded_request_answered(number, reply),
        }
    }

    /// Handles a request that another controller forwarded because this node leads the shard.
    fn handle_forwarded_request(&mut self, requester: Requester, shard: ShardId, request: ForwardedRequest) {
        if !self.may_handle_forwarded(shard, &request) {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        }
        match request {
            ForwardedRequest::Submit(spec) | ForwardedRequest::SubmitWaiting(spec) => {
                self.submit_here(requester, shard, *spec);
            }
            ForwardedRequest::Poll(job) => self.poll_here(requester, shard, job),
            ForwardedRequest::Cancel(job) => self.cancel_here(requester, shard, job),
            ForwardedRequest::Forecast(job) => self.forecast_here(requester, shard, job),
            ForwardedRequest::WorkerHeartbeat(heartbeat) => self.handle_heartbeat(requester, heartbeat),
        }
    }

    /// Whether a request that was forwarded for a shard may be handled here.
    fn may_handle_forwarded(&self, shard: ShardId, request: &ForwardedRequest) -> bool {
        let is_active = self.shards.get(&shard).is_some_and(|shard| shard.is_active());
        match request {
            // Worker leases are renewed for a grace period after the end of the leader lease, and heartbeats are kept
            // while the shard's records are being read.
            ForwardedRequest::WorkerHeartbeat(_) => self.shards.contains_key(&shard),
            // The job's tasks may be stopped even without a valid leader lease.
            ForwardedRequest::Cancel(_) => is_active,
            _ => is_active && self.may_decide(shard),
        }
    }

    /// Refuses the calls to the state service that should have been admitted before they were sent.
    fn refuse_calls_not_admitted(&mut self) {
        for PendingStateCall { sent, operation, .. } in self.calls.take_not_admitted() {
            self.complete_state_call(sent, operation, Err(CallError::Refused { over_limit: true }));
        }
    }

    /// Does what is due in each component: this node's leadership is kept up first, and decisions by it come after.
    fn tick(&mut self) {
        self.share_limits();
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
