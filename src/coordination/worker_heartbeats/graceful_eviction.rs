//! Graceful eviction: stops tasks early enough to save their checkpoints when the cloud has announced that it will
//! reclaim their spot machine.

use super::super::placement::PlacementContext;
use super::super::shard::{Attempt, Job, Shard};
use crate::model::{JobKind, MachineId};

/// Number of heartbeat intervals after which a command is assumed to have reached a worker: one until the next
/// heartbeat, and one more in case that heartbeat is lost.
const COMMAND_DELAY_INTERVALS: f64 = 2.0;

/// Time allowed for stopping a task in addition to the time for saving its checkpoint, in seconds.
const STOP_MARGIN_S: f64 = 1.0;

impl Shard {
    /// Marks the attempts that must be stopped now on a machine that the cloud is about to reclaim. Does nothing if
    /// there is no reclaim notice for the machine.
    pub(super) fn plan_graceful_eviction(&mut self, id: &MachineId, context: &PlacementContext) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(reclaim_at) = machine.reclaim_at else { return };
        let remaining_s = reclaim_at.since(context.now).as_secs();
        for attempt in
            machine.attempts.values_mut().filter(|attempt| !attempt.is_over() && attempt.stop_grace_s.is_none())
        {
            let Some(job) = self.jobs.get(&attempt.task.job) else { continue };
            if let Some(grace_s) = eviction_grace_s(job, attempt, remaining_s, context) {
                attempt.stop_grace_s = Some(grace_s);
            }
        }
    }
}

/// Returns the seconds that an attempt gets for saving its checkpoint if it must be stopped now, or `None` if it goes
/// on. The cloud reclaims the machine in `remaining_s` seconds.
fn eviction_grace_s(job: &Job, attempt: &Attempt, remaining_s: f64, context: &PlacementContext) -> Option<f64> {
    let has_checkpoints = job.spec.checkpoint_s > 0.0;
    if job.spec.kind == JobKind::Service {
        // The replacement is needed at once, and work done until the machine is reclaimed would be lost.
        return Some(if has_checkpoints { job.spec.save_s } else { 0.0 });
    }
    let ran_s = attempt.running_since.map_or(0.0, |since| context.now.since(since).as_secs());
    if !has_checkpoints || job.run_time() - ran_s < remaining_s - job.spec.save_s {
        // Either there is no checkpoint to save, or the task may complete before the machine is reclaimed.
        return None;
    }
    let margin_s = COMMAND_DELAY_INTERVALS * context.settings.heartbeat_interval.as_secs() + STOP_MARGIN_S;
    (remaining_s < job.spec.save_s + margin_s).then_some(job.spec.save_s)
}
