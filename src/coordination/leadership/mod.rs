//! Shard leadership: acquisition, confirmation and release of leadership, and the replacement of failed leaders.
//!
//! - [`node_lease`]: this node's lease at the state service, to which its leadership records are attached;
//! - [`leader_poll`]: polls the leadership records of all shards and reacts to their content;
//! - [`acquisition`]: acquires leadership of a shard;
//! - [`release`]: steps down, releases leadership and hands it over to a peer;
//! - [`isolation`]: releases the shards of an isolated controller, and delays its next acquisitions;
//! - [`leader_lease`]: the periods in which a leader may make decisions, serve reads and renew worker leases;
//! - [`readiness`]: the checks before the first decision of a term;
//! - [`failure_detection`]: detects a failed leader, probes it and fences it;
//! - [`liveness`]: the liveness record, written by a leader whose heartbeats may not reach all peers;
//! - [`peer_heartbeats`]: the periodic messages between controllers;
//! - [`step_down_reason`]: the reasons for which a node stops leading a shard;
//! - [`previous_terms`] and [`operation`]: the data that these modules share.
//!
//! The rules for these decisions are implemented without I/O in the `crowstall_leadership` package; the modules here
//! apply them and call the state service and the peers. `docs/failover.md` explains why all guarantees hold while two
//! nodes believe that they lead the same shard.

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

/// Leadership state of this node beyond the membership table: its node lease, and the progress of polling, failure
/// detection and heartbeats.
pub(super) struct NodeLeadership {
    /// Leadership bounds of this node's terms. `None` if early replacement is disabled: this node's terms may not be
    /// replaced before its node lease expires, and it replaces no other leader before that leader's node lease expires.
    bounds: Option<LeadershipBounds>,
    /// Lease of this node at the state service.
    node_lease: NodeLease,
    /// Polling of the leadership records.
    leader_poll: LeaderPoll,
    /// Newest known previous-term record of each shard.
    previous_terms: PreviousTerms,
    /// Period in which this node acquires no leadership because it has stepped down in isolation.
    acquisition_backoff: AcquisitionBackoff,
    /// Longest pause of this process since it last requested leadership, or since a long pause last made a readiness
    /// check fail.
    pauses: PauseMonitor,
    /// Failure detectors of the peers.
    failure_detection: FailureDetection,
    /// Schedule of the liveness record writes.
    liveness: LivenessWriter,
    /// Schedule of the heartbeats to the peers.
    peer_heartbeats: PeerHeartbeats,
}

impl NodeLeadership {
    /// Creates the state of a node that has no lease yet.
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

    /// Returns the leadership bounds of this node's terms, or `None` if early replacement is disabled.
    pub fn bounds(&self) -> Option<LeadershipBounds> {
        self.bounds
    }

    /// Returns `true` if this node was granted a lease that is not known to have expired.
    pub fn has_lease(&self) -> bool {
        self.node_lease.is_granted()
    }

    /// Returns the previous-term record of a shard, or `None` until it has been read.
    pub fn previous_term(&self, shard: ShardId) -> Option<&PreviousTerm> {
        self.previous_terms.get(shard)
    }

    /// Stores the previous-term record of a shard.
    pub fn set_previous_term(&mut self, shard: ShardId, version: Revision, record: PreviousTermRecord) {
        self.previous_terms.set(shard, PreviousTerm { version, record });
    }

    /// Ends the acquisition backoff because a message from a peer or a worker has reached this node.
    pub fn end_backoff(&mut self) {
        self.acquisition_backoff.end();
    }

    /// Records an answer of the state service to this node.
    pub fn state_answered(&mut self, now: Time) {
        self.failure_detection.state_answered(now);
    }
}

impl Controller {
    /// Dispatches an answer of the state service to the module that sent the call.
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

    /// Renews the node lease, polls the leadership records and sends heartbeats to the peers, each when it is due.
    pub(super) fn leadership_tick(&mut self) {
        self.maintain_node_lease();
        self.poll_leaders_if_due();
        self.send_peer_heartbeat_if_due();
    }

    /// Records the tick and the pause before it. Unless early replacement is disabled, also sends leadership checks for
    /// deferred answers, writes the liveness record if it is due, and replaces failed leaders.
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
