//! Job queue of a shard, with the order in which jobs are served.

use super::quota_reservations::QuotaReservations;
use crate::model::{JobId, Resources};
use crate::time::{Span, Time};
use std::sync::Arc;

/// Time for which the order of the queue is reused. Sorting inspects every job of the shard, so it is not done for each
/// heartbeat.
const QUEUE_ORDER_TTL: Span = Span::millis(200);

/// Job queue of a shard in the order of its last sorting, which is reused for [`QUEUE_ORDER_TTL`] unless invalidated.
#[derive(Default)]
pub(in crate::coordination) struct JobQueue {
    /// Jobs with pending tasks, in the order in which they are served.
    jobs: Arc<[JobId]>,
    /// Minimum over all jobs of what a task needs, for each kind of resource by itself.
    least_needs: Resources,
    /// Quota reserved for starved jobs.
    reservations: QuotaReservations,
    /// Time of the last sorting. `None` if the queue has to be sorted before its next use.
    ordered_at: Option<Time>,
}

impl JobQueue {
    /// Creates a queue of jobs that were sorted at the given time.
    pub fn new(jobs: Arc<[JobId]>, least_needs: Resources, reservations: QuotaReservations, now: Time) -> JobQueue {
        JobQueue { jobs, least_needs, reservations, ordered_at: Some(now) }
    }

    /// Causes the queue to be sorted again before its next use.
    pub fn invalidate(&mut self) {
        self.ordered_at = None;
    }

    /// Returns `true` if the order is recent enough and was not invalidated, so that the queue may be used without
    /// sorting.
    pub fn is_current(&self, now: Time) -> bool {
        self.ordered_at.is_some_and(|ordered_at| now.since(ordered_at) < QUEUE_ORDER_TTL)
    }

    /// Returns the jobs with pending tasks, in the order in which they are served.
    pub fn jobs(&self) -> Arc<[JobId]> {
        self.jobs.clone()
    }

    /// Returns `true` if a task of any of the jobs may fit into the free resources of a machine. `false` is certain,
    /// `true` is not, since the minima may come from different jobs.
    pub fn may_fit_into(&self, free: &Resources) -> bool {
        self.least_needs.fits_in(free)
    }

    /// Returns the quota reserved for starved jobs.
    pub fn reservations(&self) -> &QuotaReservations {
        &self.reservations
    }

    /// Releases the quota reserved for a job, if any. Called when a task of the job is started.
    pub fn release_reservation(&mut self, job: &JobId) {
        self.reservations.release(job);
    }
}
