//! Relays heartbeats of workers that do not reach the leader of their shard, while this node does.
//!
//! A network partition may separate workers from the leader although the controllers still reach one another. Their
//! heartbeats are then forwarded to the leader, and its answers back to them.

use super::controller::Controller;
use super::events::Requester;
use crate::model::{MachineId, Revision, ShardId};
use crate::protocol::peers::ForwardedRequest;
use crate::protocol::workers::{self, ANSWER_TIMEOUT, NEXT_CONTROLLER_DELAY, WorkerHeartbeat};
use crate::protocol::{BusyReason, Reply};
use crate::time::{Span, Time};
use std::collections::HashMap;

/// How long the heartbeats of a worker are relayed before it is sent to the leader again, at first.
const FIRST_RELAY_PERIOD: Span = Span::millis(10_000);
/// The same at most.
const MAX_RELAY_PERIOD: Span = Span::millis(80_000);
/// By which factor each period is longer than the one before.
const RELAY_PERIOD_FACTOR: f64 = 2.0;
/// How many heartbeat intervals may pass before a worker that has come back sends its next heartbeat.
const MAX_HEARTBEAT_INTERVALS: f64 = 1.5;
/// After how many round trips to the leader a worker that has not come back must have reached it.
const ROUND_TRIPS_UNTIL_LEADER_REACHED: f64 = 2.0;

/// A worker whose heartbeats are relayed to the leader of its shard.
struct Relay {
    /// The leadership term during which they are relayed.
    term: Revision,
    /// When the worker was last sent to the leader, or its heartbeats were first relayed.
    period_start: Time,
    /// For how long after that its heartbeats are relayed before it is sent to the leader again.
    period: Span,
    last_heartbeat: Time,
}

impl Relay {
    fn new(term: Revision, now: Time) -> Relay {
        Relay { term, period_start: now, period: FIRST_RELAY_PERIOD, last_heartbeat: now }
    }

    fn is_period_over(&self, now: Time) -> bool {
        now.since(self.period_start) >= self.period
    }

    /// Begins the next period, which is longer.
    fn begin_next_period(&mut self, now: Time) {
        self.period_start = now;
        self.period = self.period.times(RELAY_PERIOD_FACTOR).min(MAX_RELAY_PERIOD);
    }
}

/// The workers whose heartbeats are relayed at present.
#[derive(Default)]
pub(super) struct Relays {
    by_machine: HashMap<MachineId, Relay>,
}

impl Relays {
    /// The relay of a machine in the given term, if there is one.
    fn get_in_term(&mut self, machine: &MachineId, term: Revision) -> Option<&mut Relay> {
        self.by_machine.get_mut(machine).filter(|relay| relay.term == term)
    }
}

impl Controller {
    /// Answers a heartbeat of a machine whose shard another node leads: sends the worker to the leader, or relays the
    /// heartbeat there.
    ///
    /// A worker leaves a node only when that does not answer it. So a worker that shows a fencing token of the present
    /// term has been with the leader and does not reach it any more. If it were sent there, it would lose its lease
    /// going back and forth, so its heartbeats are relayed instead. Right after a failover it may have the token from a
    /// direct call of the new leader instead, and is sent to the leader once.
    ///
    /// That needs no leadership change, works for one machine as well as for all of them, and ends by itself: from time
    /// to time the worker is sent to the leader again, after a longer period each time.
    pub(super) fn redirect_or_relay(&mut self, requester: Requester, shard: ShardId, heartbeat: Box<WorkerHeartbeat>) {
        if matches!(requester, Requester::Peer { .. }) {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        }
        let term = self.membership.leadership(shard).map_or(Revision(0), |leadership| leadership.term);
        let leader = self.leader_of(shard).filter(|node| **node != self.settings.label);
        let redirect_to_leader = workers::redirect(leader.map(|node| node.as_str()));
        let was_with_leader = term.0 > 0 && heartbeat.token.0 >= term.0;
        if !was_with_leader || leader.is_none() {
            return self.reply(requester, redirect_to_leader);
        }
        if self.reachable_leader(shard).is_none() {
            // Neither the worker nor this node reaches the leader. Another node may do so.
            return self.reply(requester, workers::redirect(None));
        }
        if self.is_sent_to_leader(&heartbeat.machine, shard, term) {
            return self.reply(requester, redirect_to_leader);
        }
        self.forward(requester, shard, ForwardedRequest::WorkerHeartbeat(heartbeat));
    }

    /// Whether a worker that was with the leader is sent there again this time. If not, its heartbeat is relayed.
    fn is_sent_to_leader(&mut self, machine: &MachineId, shard: ShardId, term: Revision) -> bool {
        let now = self.now;
        let worker_lease = self.settings.worker_lease;
        // A worker that is sent to the leader in vain must be back before its lease expires.
        let returns_in_time = self.round_trip_to_leader() < worker_lease;
        if let Some(relay) = self.relays.get_in_term(machine, term) {
            relay.last_heartbeat = now;
            let is_sent = relay.is_period_over(now) && returns_in_time;
            if is_sent {
                relay.begin_next_period(now);
            }
            return is_sent;
        }
        log::debug!("machine {machine} does not reach the leader of shard {shard}");
        self.relays.by_machine.insert(machine.clone(), Relay::new(term, now));
        // The worker may have the token from a direct call of a leader that is new.
        let term_age =
            self.membership.leadership(shard).map_or(Span::ZERO, |leadership| now.since(leadership.term_seen_at));
        term_age < worker_lease
    }

    /// How long a worker that is sent to the leader in vain takes to come back, at most.
    fn round_trip_to_leader(&self) -> Span {
        ANSWER_TIMEOUT + NEXT_CONTROLLER_DELAY + self.settings.heartbeat_interval.times(MAX_HEARTBEAT_INTERVALS)
    }

    /// Forgets the relays of workers that have not come back, since they reach the leader. If such a worker comes
    /// again, that is a new partition. It must not be sent to the leader first, since it would lose its lease on the
    /// way.
    pub(super) fn expire_relays(&mut self) {
        let now = self.now;
        let timeout = self.round_trip_to_leader().times(ROUND_TRIPS_UNTIL_LEADER_REACHED);
        self.relays.by_machine.retain(|_, relay| now.since(relay.last_heartbeat) < timeout);
    }
}
