//! Reports of the recoveries of this node's shards, for the log and for operators.

use crate::coordination::controller::Controller;
use crate::coordination::shard::Shard;
use crate::model::{Revision, ShardId};
use crate::protocol::Reply;
use crowstall_reconciliation::{Milestone, Summary};
use serde::Serialize;

/// Course of a shard's recovery on this node, finished or in progress.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ShardRecoveryReport {
    shard: ShardId,
    #[serde(rename = "claim")]
    term: Revision,
    /// Wall-clock time at which leadership was acquired, in milliseconds since 1970.
    #[serde(rename = "claimed_ms")]
    acquired_wall_ms: u64,
    /// `true` if an earlier incarnation of this node led the shard in the previous term.
    #[serde(rename = "reclaimed")]
    reacquired: bool,
    #[serde(flatten)]
    summary: Summary,
}

impl Controller {
    /// Logs the milestones that the recovery of a shard has reached since the last call.
    pub(super) fn log_milestones(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        for milestone in shard.recovery.take_milestones() {
            let took = shard.recovery.time_to(milestone).unwrap_or_default().as_millis();
            log::info!(
                "shard {id}: recovery milestone \"{milestone}\" reached {took} ms after leadership was acquired"
            );
            if milestone == Milestone::Serving {
                let summary = serde_json::to_string(&shard.recovery.summary(now)).unwrap_or_default();
                log::info!("shard {id}: recovery complete, summary: {summary}");
            }
        }
    }

    /// Keeps the recovery report of a shard that this node no longer leads.
    pub(in crate::coordination) fn keep_recovery_report(&mut self, shard: &Shard) {
        let report = self.recovery_report(shard);
        self.recoveries.add_past_report(report);
    }

    fn recovery_report(&self, shard: &Shard) -> ShardRecoveryReport {
        ShardRecoveryReport {
            shard: shard.id,
            term: shard.term,
            acquired_wall_ms: shard.leadership.acquired_wall_ms,
            reacquired: shard.leadership.reacquired,
            summary: shard.recovery.summary(self.now),
        }
    }

    /// Returns the recovery reports of the shards that this node leads, and the most recent ones of shards that it no
    /// longer leads.
    pub(in crate::coordination) fn recovery_reports(&self) -> Reply {
        let led: Vec<ShardRecoveryReport> = self.shards.values().map(|shard| self.recovery_report(shard)).collect();
        Reply::json(200, &serde_json::json!({ "node": self.settings.label, "held": led, "past": self.recoveries.past }))
    }
}
