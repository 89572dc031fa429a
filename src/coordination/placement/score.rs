//! Placement score: suitability of a machine for a task, and the decision whether a service task waits for a better
//! machine.

use super::super::shard::{Job, Machine, Shard};
use super::PlacementContext;
use crate::model::{JobKind, MachineId, Quantity};
use crate::time::Span;

/// Number of heartbeat intervals for which a task waits for the heartbeat of a better machine.
const BETTER_MACHINE_WAIT_INTERVALS: f64 = 1.5;

/// Minimum ratio of the class's start objective to the wait of [`BETTER_MACHINE_WAIT_INTERVALS`] for a task to wait for
/// any better machine. Below this ratio, a task waits only for a machine that has its image.
const WAITS_WITHIN_START_OBJECTIVE: f64 = 2.0;

/// Suitability of a machine for a task. Scores compare by their fields from first to last; the least is the best.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementScore {
    /// `true` if the machine lacks the image. Fetching the image takes longer than anything else compared here, so this
    /// field comes first.
    lacks_image: bool,
    /// CPUs of the machine type. Smaller machines are better, since a service runs for long and a machine that runs one
    /// can't be deleted.
    machine_cpus: Quantity,
    /// `true` if the machine runs another task of the same job, which a failure of the machine would stop as well.
    runs_same_job: bool,
    /// `true` if the machine runs no service yet.
    runs_no_service: bool,
}

/// Machines that are worth waiting for instead of starting a task at once.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WorthWaitingFor {
    /// Any machine with a better score. Used if the class has no start objective or one that leaves enough time.
    BetterScore,
    /// Machine that has the image: its heartbeat is expected before the current machine could have fetched the image.
    Image,
}

impl Shard {
    /// Returns the placement score of the machine for a task of the job.
    pub(super) fn placement_score(&self, job: &Job, machine: &Machine, machine_cpus: Quantity) -> PlacementScore {
        let (mut runs_same_job, mut runs_no_service) = (false, true);
        for attempt in self.service_attempts(machine).filter(|attempt| attempt.stop_grace_s.is_none()) {
            runs_no_service = false;
            runs_same_job |= attempt.task.job == job.spec.id;
        }
        PlacementScore {
            lacks_image: !machine.has_image(&job.spec.image),
            machine_cpus,
            runs_same_job,
            runs_no_service,
        }
    }

    /// Returns `true` if a service task should wait for the heartbeat of another machine that has room for it and suits
    /// it better.
    pub(super) fn should_wait_for_better_machine(
        &self,
        job: &Job,
        machine_id: &MachineId,
        context: &PlacementContext,
    ) -> bool {
        let max_wait = context.settings.heartbeat_interval.times(BETTER_MACHINE_WAIT_INTERVALS);
        let has_waited = context.now.since(job.waiting.waiting_since) > max_wait;
        if job.spec.kind != JobKind::Service || has_waited {
            return false;
        }
        let Some(machine) = self.machines.get(machine_id) else { return false };
        let Some(machine_type) = context.types.get(&machine.kind) else { return false };
        let score = self.placement_score(job, machine, machine_type.capacity.cpus);
        let image_fetch = Span::secs(job.spec.image_gb / machine_type.fetch_gb_per_s);
        let Some(worth_waiting_for) = worth_waiting_for(job, &score, image_fetch, max_wait, context) else {
            return false;
        };
        self.count_inspections(self.machines.len());
        self.machines.iter().any(|(other_id, other)| {
            context.now.since(other.last_contact_at) < max_wait
                && self.is_better(job, other_id, other, &score, worth_waiting_for, context)
        })
    }

    /// Returns `true` if the other machine has room for a task of the job and suits it better than a machine with the
    /// given score.
    fn is_better(
        &self,
        job: &Job,
        other_id: &MachineId,
        other: &Machine,
        score: &PlacementScore,
        worth_waiting_for: WorthWaitingFor,
        context: &PlacementContext,
    ) -> bool {
        let may_run = other.accepts_tasks(context.now)
            && job.spec.allows(&other.kind, &other.zone, other.spot)
            && !job.avoids(other_id, context.now);
        let Some(machine_type) = context.types.get(&other.kind).filter(|_| may_run) else { return false };
        let other_score = self.placement_score(job, other, machine_type.capacity.cpus);
        let suits_better = match worth_waiting_for {
            WorthWaitingFor::BetterScore => other_score < *score,
            WorthWaitingFor::Image => !other_score.lacks_image,
        };
        suits_better && job.spec.needs.fits_in(&machine_type.capacity.minus(&other.committed_resources()))
    }
}

/// Returns the machines that are worth waiting for instead of a machine with the given score, which would fetch the
/// image within `image_fetch`. `None` if the task should start there at once.
fn worth_waiting_for(
    job: &Job,
    score: &PlacementScore,
    image_fetch: Span,
    max_wait: Span,
    context: &PlacementContext,
) -> Option<WorthWaitingFor> {
    let start_objective = context.settings.start_within.get(&job.spec.class);
    let leaves_time = start_objective.is_none_or(|within| *within >= max_wait.times(WAITS_WITHIN_START_OBJECTIVE));
    if leaves_time {
        return Some(WorthWaitingFor::BetterScore);
    }
    let fetches_slowly = score.lacks_image && image_fetch >= context.settings.heartbeat_interval;
    fetches_slowly.then_some(WorthWaitingFor::Image)
}
