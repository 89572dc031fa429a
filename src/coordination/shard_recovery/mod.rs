//! Recovery of a shard after a failover, from the acquisition of leadership until the shard is served in full: its
//! records are read, its machines are queried for their attempts, and the progress is reported.
//!
//! `crowstall_reconciliation` determines which decisions are allowed during the recovery. The submodules send the calls
//! and handle the answers.

mod loading;
mod machine_queries;
mod quotas;
mod report;

use self::report::ShardRecoveryReport;
use super::controller::Controller;
use super::leadership_term::LeadershipTerm;
use crate::model::ShardId;
use crate::protocol::state::StateResult;
use crate::storage::records::PreviousTermRecord;
use crate::time::{Span, Time};
use std::collections::{HashSet, VecDeque};

/// Time between two ticks above which this node counts as overloaded, and fewer machines are queried at a time.
const MAX_TICK_INTERVAL: Span = Span::millis(250);

/// Maximum number of reports that are kept of shards that this node no longer leads.
const MAX_PAST_REPORTS: usize = 32;

/// Call to the state service that reads or updates a shard's records after leadership was acquired.
pub(super) enum RecoveryOperation {
    /// Reads a page of job records.
    LoadJobs { leadership: LeadershipTerm },
    /// Reads a page of machine records.
    LoadMachines { leadership: LeadershipTerm },
    /// Records for the next leader under which quotas all tasks that may still run were started.
    RecordQuotas { leadership: LeadershipTerm, record: PreviousTermRecord },
}

impl RecoveryOperation {
    /// Returns the leadership term that is a condition of the transaction. `None` if the call is a read.
    pub fn leadership_condition(&self) -> Option<LeadershipTerm> {
        match self {
            RecoveryOperation::RecordQuotas { leadership, .. } => Some(*leadership),
            RecoveryOperation::LoadJobs { .. } | RecoveryOperation::LoadMachines { .. } => None,
        }
    }
}

/// State of the recoveries of this node's shards beyond what each shard holds itself.
pub(super) struct RecoveryLog {
    /// Most recent reports of shards that this node no longer leads, the oldest first.
    past: VecDeque<ShardRecoveryReport>,
    /// Shards with a write in flight that records the quotas for the next leader.
    recording_quotas: HashSet<ShardId>,
    /// Time of the previous tick.
    last_tick: Time,
}

impl RecoveryLog {
    /// Creates an empty log.
    pub fn new(now: Time) -> RecoveryLog {
        RecoveryLog { past: VecDeque::new(), recording_quotas: HashSet::new(), last_tick: now }
    }

    /// Returns the time since the previous tick.
    pub fn time_since_last_tick(&self, now: Time) -> Span {
        now.since(self.last_tick)
    }

    fn add_past_report(&mut self, report: ShardRecoveryReport) {
        self.past.push_back(report);
        if self.past.len() > MAX_PAST_REPORTS {
            self.past.pop_front();
        }
    }
}

impl Controller {
    /// Handles the answer of the state service to a recovery operation.
    pub(super) fn recovery_answered(&mut self, operation: RecoveryOperation, answer: StateResult) {
        match operation {
            RecoveryOperation::LoadJobs { leadership } => self.jobs_loaded(leadership, answer),
            RecoveryOperation::LoadMachines { leadership } => self.machines_loaded(leadership, answer),
            RecoveryOperation::RecordQuotas { leadership, record } => {
                self.quotas_recorded(leadership, record, answer);
            }
        }
    }

    /// Continues the recovery of all shards that this node leads.
    pub(super) fn recovery_tick(&mut self) {
        let is_late = self.recoveries.time_since_last_tick(self.now) > MAX_TICK_INTERVAL;
        self.recoveries.last_tick = self.now;
        self.retry_loads();
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            if let Some(shard) = self.shards.get_mut(&id)
                && is_late
            {
                shard.recovery.record_overload();
            }
            self.begin_serving(id);
            self.query_machines(id);
            self.log_milestones(id);
            self.record_quotas(id);
        }
    }
}
