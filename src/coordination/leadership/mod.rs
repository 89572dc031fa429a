//! Leadership of shards: acquiring and keeping it, giving it up, and replacing leaders that have failed.
//!
//! - [`node_lease`]: this node's lease at the state service, to which its leadership records are attached;
//! - [`leader_watch`]: reads who leads which shard and reacts to what is found;
//! - [`acquisition`]: acquires leadership of a shard;
//! - [`release`]: steps down, releases leadership and hands it over to a peer;
//! - [`isolation`]: releases the shards of an isolated controller, and the acquisition backoff after that;
//! - [`leader_lease`]: until when a leader may decide, serve reads and renew worker leases;
//! - [`readiness`]: what must hold before the first decision of a term;
//! - [`failure_detection`]: decides that a leader has failed, probes it and fences it;
//! - [`liveness`]: the record by which a leader shows that it lives while peers cannot hear it;
//! - [`peer_heartbeats`]: the periodic messages between controllers;
//! - [`previous_terms`] and [`operation`]: the data that these modules share.
//!
//! The decisions themselves are made by the `crowstall_leadership` package; these modules make the calls. Why no
//! promise is broken while two nodes take themselves for the leader of a shard is explained in `docs/failover.md`.

mod acquisition;
mod failure_detection;
mod isolation;
mod leader_lease;
mod leader_poll;
mod liveness;
mod node_lease;
mod operation;
mod peer_heartbeats;
mod previous_terms;
mod readiness;
mod release;
mod step_down_reason;

pub(super) use operation::{AcquisitionContext, LeadershipOperation};
pub(super) use previous_terms::PreviousTerm;
pub(super) use step_down_reason::StepDownReason;

use super::controller::Controller;
use crate::config::Settings;
use crate::model::{Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::storage::records::PreviousTermRecord;
use crate::time::{Span, Time};
use crowstall_leadership::LeadershipBounds;
use failure_detection::FailureDetection;
use isolation::AcquisitionBackoff;
use leader_poll::LeaderPoll;
use liveness::LivenessWriter;
use node_lease::NodeLease;
use peer_heartbeats::PeerHeartbeats;
use previous_terms::PreviousTerms;
use readiness::PauseMonitor;

/// What this node knows of leadership beyond the table of members, and what it last did to acquire and keep it.
pub(super) struct NodeLeadership {
    /// The leadership bounds of this node's terms. None if its terms may not be replaced before the node lease
    /// expires, and if it replaces no other leader before that either.
    bounds: Option<LeadershipBounds>,
    /// This node's lease at the state service.
    node_lease: NodeLease,
    /// Polling of the leadership records.
    leader_poll: LeaderPoll,
    /// Newest known previous-term record of each shard.
    previous_terms: PreviousTerms,
    /// Set while this node acquires nothing because it has stepped down in isolation.
    acquisition_backoff: AcquisitionBackoff,
    /// How long this process has stood still since it last acquired leadership.
    pauses: PauseMonitor,
    /// The failure detectors of the peers.
    failure_detection: FailureDetection,
    /// Writing the liveness record.
    liveness: LivenessWriter,
    /// Sending heartbeats to the peers.
    peer_heartbeats: PeerHeartbeats,
}

impl NodeLeadership {
    /// A node without a lease.
    pub fn new(settings: &Settings) -> NodeLeadership {
        let properties = &settings.properties;
        let bounds = LeadershipBounds {
            decision_ms: properties.leader_lease_ttl.as_millis(),
            read_ms: properties.standby.read_window.as_millis(),
        };
        NodeLeadership {
            bounds: properties.standby.enabled.then_some(bounds),
            node_lease: NodeLease::default(),
            leader_poll: LeaderPoll::default(),
            previous_terms: PreviousTerms::new(settings.shards as usize),
            acquisition_backoff: AcquisitionBackoff::default(),
            pauses: PauseMonitor::default(),
            failure_detection: FailureDetection::new(properties),
            liveness: LivenessWriter::default(),
            peer_heartbeats: PeerHeartbeats::default(),
        }
    }

    /// The leadership bounds of this node's terms, if they may be replaced before the node lease expires.
    pub fn bounds(&self) -> Option<LeadershipBounds> {
        self.bounds
    }

    /// Whether this node was granted a lease that is not known to have expired.
    pub fn has_lease(&self) -> bool {
        self.node_lease.is_granted()
    }

    /// What the previous leaders of a shard went by, once it was read.
    pub fn previous_term(&self, shard: ShardId) -> Option<&PreviousTerm> {
        self.previous_terms.get(shard)
    }

    /// Remembers what the previous leaders of a shard went by.
    pub fn set_previous_term(&mut self, shard: ShardId, version: Revision, record: PreviousTermRecord) {
        self.previous_terms.set(shard, PreviousTerm { version, record });
    }

    /// Ends the acquisition backoff, since a peer or a worker reaches this node.
    pub fn end_backoff(&mut self) {
        self.acquisition_backoff.end();
    }

    /// Records that the state service has answered this node.
    pub fn state_answered(&mut self, now: Time) {
        self.failure_detection.state_answered(now);
    }
}

impl Controller {
    /// Passes an answer of the state service to the module that sent the call.
    pub(super) fn leadership_answered(&mut self, sent: Time, operation: LeadershipOperation, answer: StateResult) {
        match operation {
            LeadershipOperation::Grant => self.lease_grant_answered(sent, answer),
            LeadershipOperation::KeepAlive { lease } => self.keep_alive_answered(lease, sent, answer),
            LeadershipOperation::ListLeaders => self.leaders_listed(sent, answer),
            LeadershipOperation::Acquire { shard, lease, context } => {
                self.acquisition_answered(shard, lease, context, sent, answer);
            }
            LeadershipOperation::CheckTerm { leadership } => self.leadership_checked(leadership, sent, answer),
            LeadershipOperation::WriteLiveness { leadership } => self.liveness_written(leadership.shard, answer),
            LeadershipOperation::Release { leadership, reason } => self.release_answered(leadership, reason, answer),
        }
    }

    /// Keeps the node lease alive, reads who leads which shard and sends heartbeats to the peers, each when due.
    pub(super) fn leadership_tick(&mut self) {
        self.maintain_node_lease();
        self.poll_leaders_if_due();
        self.send_peer_heartbeat_if_due();
    }

    /// Confirms this node's terms, shows that it lives, and replaces leaders that have failed.
    pub(super) fn failover_tick(&mut self, time_since_last_tick: Span) {
        self.leadership.failure_detection.ticked(self.now);
        self.leadership.pauses.record(time_since_last_tick);
        if self.leadership.bounds.is_none() {
            return;
        }
        self.check_leadership_for_deferred();
        self.write_liveness_if_due();
        self.check_leaders();
    }
}
