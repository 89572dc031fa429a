//! Adoption of jobs: loading a job into the memory of its shard from a live record that was read after the shard itself
//! was loaded.

use super::super::controller::Controller;
use super::super::job_record_reads::VersionedRecord;
use crate::model::ShardId;
use crate::time::{Span, Time};

/// Maximum age of a read, counted from sending, at which its answer may still be adopted. Much shorter than the time
/// for which the newest final records stay in memory, so that a job that has ended since is recognised.
const MAX_RECORD_AGE: Span = Span::millis(10_000);

/// The way in which the record of a job to adopt was found.
pub(super) enum AdoptionSource {
    /// A lookup for a user request.
    Lookup,
    /// A hand-off record of another controller.
    Handoff,
}

impl AdoptionSource {
    /// Returns the description of the source for the log.
    fn log_text(&self) -> &'static str {
        match self {
            AdoptionSource::Lookup => "found in the state service by a lookup for a user request",
            AdoptionSource::Handoff => "accepted by another controller and handed off to this node",
        }
    }
}

/// The outcome of an attempt to adopt a job.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AdoptionOutcome {
    /// The job is in memory, or it is known to have ended.
    Settled,
    /// The record may be stale and has to be read again.
    Retry,
}

impl Controller {
    /// Adopts a job from the live record that was returned by a read sent at `sent_at`.
    ///
    /// The record was written in this leadership term, as it would otherwise have been loaded with the shard, so none
    /// of the job's tasks has been started. However, the record may be stale: an answer may take long, and may have to
    /// wait for a leadership check. In the meantime the job may have become known in another way and have ended, or it
    /// may have ended before the term began. If a stale record were adopted, tasks would be started after the user was
    /// told that the job has ended.
    pub(super) fn adopt_from_record(
        &mut self,
        shard_id: ShardId,
        found: VersionedRecord,
        sent_at: Time,
        source: AdoptionSource,
    ) -> AdoptionOutcome {
        let now = self.now;
        let VersionedRecord { record, version } = found;
        let has_ended = self.directory.has_ended(&record.job.id);
        let Some(shard) = self.shards.get_mut(&shard_id) else { return AdoptionOutcome::Retry };
        if has_ended || shard.contains_job(&record.job.id) {
            return AdoptionOutcome::Settled;
        }
        let sent_after_loading = shard.loading.read_at.is_some_and(|read_at| sent_at >= read_at);
        if !sent_after_loading || now.since(sent_at) >= MAX_RECORD_AGE {
            return AdoptionOutcome::Retry;
        }
        log::info!("job {} adopted by shard {shard_id}: {}", record.job.id, source.log_text());
        shard.add_unstarted_job(record, version, now);
        AdoptionOutcome::Settled
    }
}
