//! The lease of this node at the state service: grant, keep-alive and expiry.
//!
//! The leadership records of this node are attached to the lease and are deleted by the state service when it expires.

use super::operation::LeadershipOperation;
use super::step_down_reason::StepDownReason;
use crate::coordination::controller::Controller;
use crate::model::{LeaseId, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{StateAnswer, StateCall};
use crate::time::{Span, Time};

/// Time between two requests for a lease while none is granted.
const GRANT_RETRY_INTERVAL: Span = Span::millis(200);
/// Time between two keep-alives, as a fraction of the lease's time to live.
const KEEP_ALIVE_FRACTION: f64 = 0.25;
/// Remaining fraction of the lease's time to live below which a keep-alive must have failed.
const MIN_REMAINING_FRACTION: f64 = 0.6;
/// Time between two keep-alives after one has failed.
const KEEP_ALIVE_RETRY_INTERVAL: Span = Span::millis(300);

/// Lease that the state service has granted.
struct GrantedLease {
    id: LeaseId,
    /// Time until which the state service certainly keeps the keys attached to the lease. It is counted from when the
    /// last successful grant or keep-alive was sent, so that a slow answer never extends it.
    valid_until: Time,
}

/// Lease of this node at the state service, with its calls.
#[derive(Default)]
pub(super) struct NodeLease {
    granted: Option<GrantedLease>,
    call_in_flight: bool,
    /// Time at which the newest grant request or keep-alive was sent; `None` if the next one is due at once.
    last_call: Option<Time>,
}

/// Call to the state service for the node lease.
enum NodeLeaseCall {
    Grant,
    KeepAlive(LeaseId),
}

impl NodeLease {
    /// Returns `true` if a lease was granted that is not known to have expired.
    pub fn is_granted(&self) -> bool {
        self.granted.is_some()
    }

    /// Returns the granted lease, or `None` if there is none that is not known to have expired.
    pub fn id(&self) -> Option<LeaseId> {
        self.granted.as_ref().map(|lease| lease.id)
    }

    /// Returns the time until which the lease is certainly valid, or `None` if there is none.
    pub fn valid_until(&self) -> Option<Time> {
        self.granted.as_ref().map(|lease| lease.valid_until)
    }

    /// Returns the call that is due now, if any, and marks it as in flight.
    fn begin_call_if_due(&mut self, now: Time, ttl: Span) -> Option<NodeLeaseCall> {
        if self.call_in_flight || !self.is_call_due(now, ttl) {
            return None;
        }
        self.call_in_flight = true;
        self.last_call = Some(now);
        Some(self.id().map_or(NodeLeaseCall::Grant, NodeLeaseCall::KeepAlive))
    }

    fn is_call_due(&self, now: Time, ttl: Span) -> bool {
        let Some(last_call) = self.last_call else { return true };
        let since_last_call = now.since(last_call);
        match &self.granted {
            None => since_last_call > GRANT_RETRY_INTERVAL,
            Some(lease) => since_last_call >= keep_alive_interval(lease.valid_until.since(now), ttl),
        }
    }

    fn call_answered(&mut self) {
        self.call_in_flight = false;
    }

    fn granted(&mut self, id: LeaseId, sent: Time, ttl: Span) {
        self.granted = Some(GrantedLease { id, valid_until: sent + ttl.lower_bound_under_drift() });
    }

    fn renewed(&mut self, sent: Time, ttl: Span) {
        if let Some(lease) = &mut self.granted {
            lease.valid_until = lease.valid_until.max(sent + ttl.lower_bound_under_drift());
        }
    }

    fn expired(&mut self) {
        self.granted = None;
        self.last_call = None;
    }
}

/// Returns the time between two keep-alives. After one has failed the next ones follow sooner, because this node loses
/// its leadership unless one of them succeeds before the lease expires.
fn keep_alive_interval(remaining: Span, ttl: Span) -> Span {
    if remaining < ttl.times(MIN_REMAINING_FRACTION) {
        KEEP_ALIVE_RETRY_INTERVAL
    } else {
        ttl.times(KEEP_ALIVE_FRACTION)
    }
}

impl Controller {
    /// Returns `true` if the node lease is certainly valid, and so are the keys attached to it.
    pub(in crate::coordination) fn holds_lease(&self) -> bool {
        self.leadership.node_lease.valid_until().is_some_and(|valid_until| self.now < valid_until)
    }

    /// Requests or renews the node lease if a call is due.
    pub(super) fn maintain_node_lease(&mut self) {
        let ttl = self.settings.properties.leader_lease_ttl;
        match self.leadership.node_lease.begin_call_if_due(self.now, ttl) {
            Some(NodeLeaseCall::Grant) => {
                self.call_state(StateCall::Grant { ttl_ms: ttl.as_millis() }, LeadershipOperation::Grant);
            }
            Some(NodeLeaseCall::KeepAlive(lease)) => {
                self.call_state(StateCall::KeepAlive(lease), LeadershipOperation::KeepAlive { lease });
            }
            None => {}
        }
    }

    /// Stores a lease that was granted, and polls the leadership records.
    pub(super) fn lease_grant_answered(&mut self, sent: Time, answer: StateResult) {
        self.leadership.node_lease.call_answered();
        if let Ok(StateAnswer::Granted(id)) = answer {
            log::info!("node lease {id} granted by the state service; polling the leadership records");
            self.leadership.node_lease.granted(id, sent, self.settings.properties.leader_lease_ttl);
            // Shards without a leader can be acquired from now on, so the poll does not wait until it is due.
            self.poll_leaders();
        }
    }

    /// Extends a lease that was renewed, or steps down if the lease has expired.
    pub(super) fn keep_alive_answered(&mut self, id: LeaseId, sent: Time, answer: StateResult) {
        self.leadership.node_lease.call_answered();
        if self.leadership.node_lease.id() != Some(id) {
            return;
        }
        match answer {
            Ok(StateAnswer::KeptAlive) => {
                self.leadership.node_lease.renewed(sent, self.settings.properties.leader_lease_ttl);
            }
            Ok(StateAnswer::LeaseExpired) => self.node_lease_expired(id),
            // The call was refused or not answered: the lease expires unless a later keep-alive succeeds.
            _ => {}
        }
    }

    fn node_lease_expired(&mut self, id: LeaseId) {
        log::warn!("node lease {id} has expired; stepping down from all shards of this controller");
        self.leadership.node_lease.expired();
        let led_shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in led_shards {
            self.step_down(shard, StepDownReason::NodeLeaseExpired);
        }
    }
}
