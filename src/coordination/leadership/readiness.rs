//! The readiness checks of a new leader, made before the first decision of a term once all records of the shard have
//! been read.

use crate::coordination::controller::Controller;
use crate::coordination::shard::Shard;
use crate::model::ShardId;
use crate::time::{Span, Time};
use crowstall_leadership::{Check, ReadinessFacts};

/// Monitor of the longest pause of this process since it last requested leadership of a shard, or since a long pause
/// last made a readiness check fail.
#[derive(Default)]
pub(super) struct PauseMonitor {
    longest: Span,
}

impl PauseMonitor {
    /// Records the time between two ticks.
    pub fn record(&mut self, pause: Span) {
        self.longest = self.longest.max(pause);
    }

    /// Discards the pauses recorded so far.
    pub fn reset(&mut self) {
        self.longest = Span::ZERO;
    }
}

impl Controller {
    /// Returns `true` if the records of the shard have been read and all required checks before the first decision of a
    /// term are passed. If checks are outstanding, they are logged and a leadership check is sent, because most of them
    /// wait for a confirmation of the term.
    pub(in crate::coordination) fn is_ready_to_decide(&mut self, id: ShardId) -> bool {
        let Some(outstanding) = self.outstanding_checks(id) else { return false };
        if outstanding.is_empty() {
            self.log_readiness(id);
            return true;
        }
        let names: Vec<String> = outstanding.iter().map(Check::to_string).collect();
        log::debug!("shard {id}: not ready for the first decision, checks not passed: {}", names.join(", "));
        self.check_leadership(id);
        false
    }

    /// Returns the required checks that are not passed, or `None` if the records of the shard have not been read.
    fn outstanding_checks(&mut self, id: ShardId) -> Option<Vec<Check>> {
        let now = self.now;
        let facts = self.readiness_facts(self.shards.get(&id)?)?;
        let shard = self.shards.get_mut(&id)?;
        let outstanding = shard.leadership.checklist.evaluate(now, &facts);
        if outstanding.contains(&Check::NoLongPause) {
            // The term may have been replaced while this process was paused, so only a leadership check that is sent
            // from now on can confirm it.
            shard.loading.read_at = Some(now);
            self.leadership.pauses.reset();
        }
        Some(outstanding)
    }

    /// Returns the inputs of the readiness checks, or `None` if the records of the shard have not been read.
    fn readiness_facts(&self, shard: &Shard) -> Option<ReadinessFacts> {
        let read_at = shard.loading.read_at?;
        Some(ReadinessFacts {
            leadership_confirmed: shard.leadership.leader_lease.confirmed_since(read_at),
            lease_left: self.lease_left(shard),
            longest_pause: self.leadership.pauses.longest,
            same_quotas: shard.leadership.same_quotas,
            catalog_known: self.cloud.has_catalog(),
        })
    }

    /// Returns the remaining validity of the node lease or of the leader lease of a shard, whichever ends first.
    fn lease_left(&self, shard: &Shard) -> Span {
        let left_until = |end: Time| end.since(self.now);
        let node_lease_left = self.leadership.node_lease.valid_until().map_or(Span::ZERO, left_until);
        let decision_deadline = shard.leadership.leader_lease.decision_deadline();
        decision_deadline.map_or(node_lease_left, |deadline| left_until(deadline).min(node_lease_left))
    }

    /// Logs the time from the acquisition of leadership to the passing of each check.
    fn log_readiness(&self, id: ShardId) {
        let Some(shard) = self.shards.get(&id) else { return };
        let times = shard.leadership.checklist.pass_times().map(|(check, passed_after)| match passed_after {
            Some(passed_after) => format!("{check}: {} ms", passed_after.as_millis()),
            None => format!("{check}: not passed"),
        });
        log::info!(
            "shard {id}: ready for the first decision of the term; time from acquisition to each check: {}",
            times.collect::<Vec<_>>().join("; ")
        );
    }
}
