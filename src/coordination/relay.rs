//! Relays of worker heartbeats to the leader of their shard, for workers that cannot reach the leader themselves.
//!
//! A network partition may separate workers from the leader although the controllers still reach one another. This node
//! then forwards the heartbeats of these workers to the leader, and the leader's answers to the workers.

use super::controller::Controller;
use super::events::Requester;
use crate::model::{MachineId, Revision, ShardId};
use crate::protocol::peers::ForwardedRequest;
use crate::protocol::workers::{self, ANSWER_TIMEOUT, NEXT_CONTROLLER_DELAY, WorkerHeartbeat};
use crate::protocol::{BusyReason, Reply};
use crate::time::{Span, Time};
use std::collections::HashMap;

/// Length of the first relay period of a worker. At the end of each period the worker is redirected to the leader
/// again.
const INITIAL_RELAY_PERIOD: Span = Span::millis(10_000);
/// Upper bound of the length of a relay period.
const MAX_RELAY_PERIOD: Span = Span::millis(80_000);
/// Factor by which each relay period is longer than the previous one.
const RELAY_PERIOD_FACTOR: f64 = 2.0;
/// Upper bound of the time until a worker sends its next heartbeat to the next controller that it tries, in heartbeat
/// intervals.
const MAX_HEARTBEAT_INTERVALS: f64 = 1.5;
/// Number of round trips to the leader after which a worker that has not come back must have reached the leader.
const ROUND_TRIPS_UNTIL_LEADER_REACHED: f64 = 2.0;

/// Worker whose heartbeats are relayed to the leader of its shard.
struct Relay {
    /// Leadership term of the shard in which the relay began. In another term the relay does not apply.
    term: Revision,
    /// Time at which the worker was last redirected to the leader, or at which the relay began.
    period_started_at: Time,
    /// Length of the present relay period.
    period: Span,
    /// Arrival time of the worker's last heartbeat at this node.
    last_heartbeat_at: Time,
}

impl Relay {
    fn new(term: Revision, now: Time) -> Relay {
        Relay { term, period_started_at: now, period: INITIAL_RELAY_PERIOD, last_heartbeat_at: now }
    }

    fn is_period_over(&self, now: Time) -> bool {
        now.since(self.period_started_at) >= self.period
    }

    /// Begins the next period, which is longer, up to [`MAX_RELAY_PERIOD`].
    fn begin_next_period(&mut self, now: Time) {
        self.period_started_at = now;
        self.period = self.period.times(RELAY_PERIOD_FACTOR).min(MAX_RELAY_PERIOD);
    }
}

/// Workers whose heartbeats this node relays.
#[derive(Default)]
pub(super) struct Relays {
    by_machine: HashMap<MachineId, Relay>,
}

impl Relays {
    /// Returns the relay of a machine if it began in the given term.
    fn get_in_term(&mut self, machine: &MachineId, term: Revision) -> Option<&mut Relay> {
        self.by_machine.get_mut(machine).filter(|relay| relay.term == term)
    }
}

impl Controller {
    /// Answers a heartbeat of a machine whose shard another node leads: redirects the worker to the leader, or relays
    /// the heartbeat to the leader.
    ///
    /// A worker leaves a controller only when that controller does not answer. So a worker that shows a fencing token
    /// of the present term was answered by the leader before, and does not reach the leader any more. If it were
    /// redirected there, its worker lease would expire while it goes back and forth, so its heartbeats are relayed
    /// instead. Right after a failover the worker may have got the token from a direct call of the new leader; it is
    /// then redirected to the leader once.
    ///
    /// Relaying needs no leadership change, works for one machine as well as for all of them, and ends by itself: at
    /// the end of each relay period the worker is redirected to the leader again, and each period is longer than the
    /// last, up to [`MAX_RELAY_PERIOD`]. A worker that could not be back before its lease expires is not redirected.
    pub(super) fn redirect_or_relay(&mut self, requester: Requester, shard: ShardId, heartbeat: Box<WorkerHeartbeat>) {
        if matches!(requester, Requester::Peer { .. }) {
            return self.reply(requester, Reply::busy(BusyReason::NotLeader));
        }
        let term = self.membership.leadership(shard).map_or(Revision(0), |leadership| leadership.term);
        let leader = self.leader_of(shard).filter(|node| **node != self.settings.label);
        let redirect_to_leader = workers::redirect(leader.map(|node| node.as_str()));
        let was_answered_by_leader = term.0 > 0 && heartbeat.token.0 >= term.0;
        if !was_answered_by_leader || leader.is_none() {
            return self.reply(requester, redirect_to_leader);
        }
        if self.reachable_leader(shard).is_none() {
            // Neither the worker nor this node reaches the leader. Another node may reach it.
            return self.reply(requester, workers::redirect(None));
        }
        if self.redirects_to_leader(&heartbeat.machine, shard, term) {
            return self.reply(requester, redirect_to_leader);
        }
        self.forward(requester, shard, ForwardedRequest::WorkerHeartbeat(heartbeat));
    }

    /// Returns `true` if a worker that was answered by the leader before is redirected there now, and `false` if its
    /// heartbeat is relayed. Begins a relay if there is none.
    fn redirects_to_leader(&mut self, machine: &MachineId, shard: ShardId, term: Revision) -> bool {
        let now = self.now;
        let worker_lease = self.settings.worker_lease;
        // A worker that is redirected and still does not reach the leader must be back before its lease expires.
        let returns_in_time = self.round_trip_to_leader() < worker_lease;
        if let Some(relay) = self.relays.get_in_term(machine, term) {
            relay.last_heartbeat_at = now;
            let is_redirected = relay.is_period_over(now) && returns_in_time;
            if is_redirected {
                relay.begin_next_period(now);
            }
            return is_redirected;
        }
        log::debug!(
            "machine {machine}: worker has the fencing token of the leader of shard {shard} but sent its heartbeat \
             here; beginning a relay"
        );
        self.relays.by_machine.insert(machine.clone(), Relay::new(term, now));
        // While the term is new, the worker may have got its token from a direct call of the leader.
        let term_age =
            self.membership.leadership(shard).map_or(Span::ZERO, |leadership| now.since(leadership.term_seen_at));
        term_age < worker_lease
    }

    /// Returns an upper bound of the time in which a worker that is redirected but does not reach the leader comes
    /// back.
    fn round_trip_to_leader(&self) -> Span {
        ANSWER_TIMEOUT + NEXT_CONTROLLER_DELAY + self.settings.heartbeat_interval.times(MAX_HEARTBEAT_INTERVALS)
    }

    /// Removes the relays of workers that have not come back, because they reach the leader. If such a worker comes
    /// back later, there is a new partition: its heartbeats must be relayed at once, because its worker lease might
    /// expire if it were redirected to the leader first.
    pub(super) fn expire_relays(&mut self) {
        let now = self.now;
        let timeout = self.round_trip_to_leader().times(ROUND_TRIPS_UNTIL_LEADER_REACHED);
        self.relays.by_machine.retain(|_, relay| now.since(relay.last_heartbeat_at) < timeout);
    }
}
