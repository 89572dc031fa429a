//! Updates of a shard's previous-term record, which tells the next leader under which quotas all tasks that may still
//! run were started.

use super::RecoveryOperation;
use crate::coordination::controller::Controller;
use crate::coordination::leadership::PreviousTerm;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::shard::Shard;
use crate::model::ShardId;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall, StateResult};
use crate::storage::keys;
use crate::storage::records::{PreviousTermRecord, to_value};

impl Controller {
    /// Updates the previous-term record for the next leader when its content has changed: the quotas under which all
    /// tasks that may still run were started, and the overlap with a deposed leader. See [`PreviousTermRecord`]. Only
    /// one write for each shard is in flight at a time.
    pub(super) fn record_quotas(&mut self, id: ShardId) {
        let Some(shard) = self.shards.get(&id).filter(|shard| shard.is_active()) else { return };
        let Some(PreviousTerm { version, record: recorded }) = self.leadership.previous_term(id).cloned() else {
            return;
        };
        if !self.may_decide(id) || self.recoveries.recording_quotas.contains(&id) {
            return;
        }
        let record = self.previous_term_record(shard, &recorded);
        if record == recorded {
            return;
        }
        let (leadership, key) = (shard.leadership_term(), keys::previous_term_key(id));
        let request = StateCall::Commit {
            conditions: vec![leadership.condition(), Condition::version(key.clone(), version)],
            changes: vec![Change::Put { key, value: to_value(&record), lease: None }],
        };
        self.recoveries.recording_quotas.insert(id);
        self.call_state(request, RecoveryOperation::RecordQuotas { leadership, record });
    }

    /// Returns the previous-term record as it should be now. `recorded` is its content in the state service.
    fn previous_term_record(&self, shard: &Shard, recorded: &PreviousTermRecord) -> PreviousTermRecord {
        let overlap = shard.leadership.overlap.as_ref();
        let overlaps = overlap.is_some_and(|overlap| !overlap.is_over(self.now));
        let quotas_digest =
            if shard.leadership.same_quotas { recorded.quotas_digest.clone() } else { self.met_quotas_digest(shard) };
        PreviousTermRecord { quotas_digest, overlap: recorded.overlap.filter(|_| overlaps) }
    }

    /// Returns the digest of this node's quotas if all machines are reconciled and every team is within its quota.
    fn met_quotas_digest(&self, shard: &Shard) -> Option<String> {
        if !shard.recovery.is_complete() {
            return None;
        }
        let are_met = self.settings.teams.iter().all(|(team, quota)| {
            let used = shard.team_usage(team, &self.settings, self.cloud.types());
            quota.cpus_max.is_none_or(|max| used.cpus <= max) && quota.gpus_max.is_none_or(|max| used.gpus <= max)
        });
        are_met.then(|| self.settings.quotas_digest.clone())
    }

    pub(super) fn quotas_recorded(
        &mut self,
        leadership: LeadershipTerm,
        record: PreviousTermRecord,
        answer: StateResult,
    ) {
        let id = leadership.shard;
        self.recoveries.recording_quotas.remove(&id);
        let Some(shard) = self.shard_in_term(leadership) else { return };
        if let Ok(StateAnswer::Committed(version)) = answer {
            shard.leadership.same_quotas |= record.quotas_digest.is_some();
            self.leadership.set_previous_term(id, version, record);
        }
    }
}
