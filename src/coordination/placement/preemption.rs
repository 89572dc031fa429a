//! Preemption: stopping tasks to free resources for waiting tasks of higher priority.

mod room_index;

use super::super::shard::{Job, Machine, Shard};
use super::PlacementContext;
use super::constraints::ZoneCounts;
use super::score::PlacementScore;
use crate::model::{AttemptNumber, JobId, MachineId, Resources};
use crate::time::Time;
use room_index::RoomIndex;
use std::ops::ControlFlow;

/// Number of times that a round of preemption may inspect the whole fleet.
const FLEET_INSPECTIONS_PER_ROUND: u64 = 8;
/// Number of inspections that a round of preemption may make in a fleet of any size.
const MIN_INSPECTION_LIMIT: u64 = 20_000;

/// Attempts on one machine that are stopped for a task of higher priority.
pub(in crate::coordination) struct Preemption {
    /// Machine that runs the attempts.
    pub machine: MachineId,
    /// Attempts to be stopped.
    pub victims: Vec<AttemptNumber>,
}

/// Result of a round of preemption.
pub(in crate::coordination) struct PreemptionRound {
    /// Attempts that are stopped.
    pub preemptions: Vec<Preemption>,
    /// Number of machines and attempts that were inspected.
    pub inspections: u64,
    /// `true` unless the round has inspected more than it may.
    pub is_within_limit: bool,
    /// `true` if the round ended at its limit, so that the next one continues.
    pub is_cut_off: bool,
}

impl Default for PreemptionRound {
    fn default() -> PreemptionRound {
        PreemptionRound { preemptions: Vec::new(), inspections: 0, is_within_limit: true, is_cut_off: false }
    }
}

/// Limit on the machines and attempts that a round of preemption inspects. It grows with the fleet and not with the
/// number of waiting jobs, since the same thread renews leases and answers users.
struct InspectionLimit {
    /// Number of inspections after which the search for room for further tasks ends.
    limit: u64,
    /// Upper bound of the inspections for a single task.
    per_task: u64,
}

impl InspectionLimit {
    /// Returns the limit for the machines and attempts that were inspected to create the index.
    fn of_index(index: &RoomIndex) -> InspectionLimit {
        let fleet = index.inspections();
        InspectionLimit { limit: (fleet * FLEET_INSPECTIONS_PER_ROUND).max(MIN_INSPECTION_LIMIT), per_task: 2 * fleet }
    }

    fn is_reached(&self, inspections: u64) -> bool {
        inspections >= self.limit
    }

    /// Returns `true` if a round may have inspected this much: the search for a task that began below the limit ends
    /// beyond it.
    fn holds_for(&self, inspections: u64) -> bool {
        inspections <= self.limit + self.per_task
    }
}

/// Source of resources for a waiting task.
enum RoomForTask {
    /// Resources that are free or being freed on the machine at this index of the room index.
    Free(usize),
    /// Resources of attempts that have to be stopped.
    Preempt(PreemptionCandidate),
}

/// Machine on which attempts could be stopped for a waiting task.
struct PreemptionCandidate {
    /// Placement score of the machine for the task.
    score: PlacementScore,
    /// Attempts that would be stopped.
    victims: VictimSet,
    /// Index of the machine in the room index.
    index: usize,
}

impl PreemptionCandidate {
    /// Returns `true` if this candidate has a better placement score than the other or, with equal scores, loses less
    /// run time.
    fn is_better_than(&self, other: &PreemptionCandidate) -> bool {
        (self.score, self.victims.lost_run_time_s) < (other.score, other.victims.lost_run_time_s)
    }
}

/// Attempts that would be stopped on one machine.
#[derive(Default)]
struct VictimSet {
    /// Attempt numbers, the youngest attempt first.
    attempts: Vec<AttemptNumber>,
    /// Sum of the run times of the attempts, in seconds.
    lost_run_time_s: f64,
    /// Resources that the attempts use, all together.
    freed: Resources,
}

/// Attempt that may be stopped.
struct Victim {
    /// Number of the attempt.
    attempt: AttemptNumber,
    /// Time since the attempt was first reported to be running, in seconds; zero if it was not.
    run_time_s: f64,
    /// Resources that the attempt uses.
    needs: Resources,
}

impl Shard {
    /// Chooses attempts to be stopped so that waiting tasks of higher priority can be placed, and marks them as to be
    /// stopped. For each task that fits nowhere, the machine with the best placement score is used, and on it the
    /// youngest attempts are stopped, so that little work is lost.
    ///
    /// A round that has inspected as much as its limit allows ends, and the next one starts with the job at which it
    /// ended.
    pub fn preempt(&mut self, context: &PlacementContext) -> PreemptionRound {
        let mut round = PreemptionRound::default();
        let queue = self.preempting_jobs(context);
        if queue.is_empty() {
            return round;
        }
        let mut index = RoomIndex::new(self, ZoneCounts::of_jobs(self, &queue), context);
        let limit = InspectionLimit::of_index(&index);
        let resumes_at = self.preemption_resumes_at.take();
        let start = queue.iter().position(|job| resumes_at.as_ref() == Some(job)).unwrap_or(0);
        for job_id in &queue[start..] {
            if self.make_room_for_job(job_id, &mut index, &limit, &mut round.preemptions, context).is_break() {
                self.preemption_resumes_at = Some(job_id.clone());
                break;
            }
        }
        round.inspections = index.inspections();
        round.is_within_limit = limit.holds_for(round.inspections);
        round.is_cut_off = self.preemption_resumes_at.is_some();
        self.preemption_inspections += round.inspections;
        round
    }

    /// Returns the jobs with a task to start whose own priority is higher than the priority of some job with a running
    /// task, in queue order.
    ///
    /// The urgency that a waiting job inherits from dependent jobs does not count: such a job goes first in the queue
    /// but preempts nothing. Otherwise whole job arrays would stop other whole job arrays.
    fn preempting_jobs(&mut self, context: &PlacementContext) -> Vec<JobId> {
        let running = self.jobs.values().filter(|job| !job.progress.running.is_empty());
        let Some(least_urgent) = running.map(Job::priority).max() else { return Vec::new() };
        let queue = self.ordered_jobs(context);
        let may_preempt = |id: &&JobId| {
            let job = self.jobs.get(*id).filter(|job| job.next_task(context.now).is_some());
            job.is_some_and(|job| job.spec.priority < least_urgent)
        };
        queue.iter().filter(may_preempt).cloned().collect()
    }

    /// Finds resources for the pending tasks of a job, and marks the attempts that have to be stopped for these tasks.
    /// Returns `Break` if the round has reached its limit.
    fn make_room_for_job(
        &mut self,
        job_id: &JobId,
        index: &mut RoomIndex,
        limit: &InspectionLimit,
        preemptions: &mut Vec<Preemption>,
        context: &PlacementContext,
    ) -> ControlFlow<()> {
        // All tasks of a job have the same needs, so the machines before the last one found have no room for the next.
        let mut from = 0;
        for _ in 0..self.tasks_to_make_room_for(job_id, context) {
            if limit.is_reached(index.inspections()) {
                return ControlFlow::Break(());
            }
            let Some(job) = self.jobs.get(job_id) else { break };
            let needs = job.spec.needs;
            match self.room_for_task(job, index, from, context) {
                Some(RoomForTask::Free(machine)) => {
                    index.assign(machine, &needs);
                    from = machine;
                }
                Some(RoomForTask::Preempt(PreemptionCandidate { victims, index: target, .. })) => {
                    let machine = index.machine(target).machine.clone();
                    let free = index.free_room(target).plus(&victims.freed).minus(&needs);
                    self.mark_victims(&machine, &victims.attempts);
                    index.record_preemption(self, target, free);
                    preemptions.push(Preemption { machine, victims: victims.attempts });
                    from = target;
                }
                None => break,
            }
        }
        ControlFlow::Continue(())
    }

    /// Returns the number of a job's tasks that may have attempts of other jobs stopped: none if the quota of the job's
    /// team is used up, one if the job fails everywhere, and otherwise all pending tasks.
    fn tasks_to_make_room_for(&self, job_id: &JobId, context: &PlacementContext) -> u32 {
        let Some(job) = self.jobs.get(job_id) else { return 0 };
        let usage = self.team_usage(&job.spec.team, context.settings, context.types);
        if !job.is_within_quota(&usage, context.settings) {
            return 0;
        }
        if job.failures.fails_everywhere { 1 } else { job.progress.pending.len() }
    }

    /// Returns the source of resources for one more task of the job, looking for free resources on the machines from
    /// the index `from` on. `None` if no machine has enough free resources and preemption can't free enough.
    fn room_for_task(
        &self,
        job: &Job,
        index: &mut RoomIndex,
        from: usize,
        context: &PlacementContext,
    ) -> Option<RoomForTask> {
        if let Some(machine) = index.first_with_free_room(self, job, from, context) {
            return Some(RoomForTask::Free(machine));
        }
        let mut best: Option<PreemptionCandidate> = None;
        for machine in index.preemptible_machines(self, job, context) {
            let Some(candidate) = self.preemption_candidate(job, machine, index, context) else { continue };
            if best.as_ref().is_none_or(|best| candidate.is_better_than(best)) {
                best = Some(candidate);
            }
        }
        best.map(RoomForTask::Preempt)
    }

    /// Returns the attempts that would be stopped on the machine at an index for a task of the job. `None` if stopping
    /// attempts can't free enough resources.
    fn preemption_candidate(
        &self,
        job: &Job,
        machine_index: usize,
        index: &RoomIndex,
        context: &PlacementContext,
    ) -> Option<PreemptionCandidate> {
        let machine = self.machines.get(&index.machine(machine_index).machine)?;
        let machine_type = context.types.get(&machine.kind)?;
        index.count_inspections(machine.attempts.len());
        let victims = self.cheapest_victims(job, machine, index.free_room(machine_index), context.now)?;
        let score = self.placement_score(job, machine, machine_type.capacity.cpus);
        Some(PreemptionCandidate { score, victims, index: machine_index })
    }

    /// Returns the youngest attempts of lower priority on a machine that together free enough resources for a task of
    /// the job. `None` if even all of them do not free enough.
    fn cheapest_victims(&self, job: &Job, machine: &Machine, free: &Resources, now: Time) -> Option<VictimSet> {
        let mut candidates = self.possible_victims(job, machine, now);
        candidates.sort_by(|a, b| a.run_time_s.total_cmp(&b.run_time_s));
        let mut victims = VictimSet::default();
        for Victim { attempt, run_time_s, needs } in candidates {
            victims.lost_run_time_s += run_time_s;
            victims.attempts.push(attempt);
            victims.freed = victims.freed.plus(&needs);
            if job.spec.needs.fits_in(&free.plus(&victims.freed)) {
                return Some(victims);
            }
        }
        None
    }

    /// Returns the attempts on a machine whose jobs have a lower queue priority than the job's own priority, except
    /// those that are to be stopped already.
    fn possible_victims(&self, job: &Job, machine: &Machine, now: Time) -> Vec<Victim> {
        let attempts =
            machine.attempts.iter().filter(|(_, attempt)| !attempt.is_over() && attempt.stop_grace_s.is_none());
        attempts
            .filter_map(|(attempt_number, attempt)| {
                let other = self.jobs.get(&attempt.task.job)?;
                let run_time_s = attempt.running_since.map_or(0.0, |since| now.since(since).as_secs());
                let victim = Victim { attempt: *attempt_number, run_time_s, needs: attempt.needs };
                (other.queue_priority() > job.spec.priority).then_some(victim)
            })
            .collect()
    }

    /// Marks attempts as to be stopped. An attempt of a job with checkpoints gets a grace period in which it can save
    /// one.
    fn mark_victims(&mut self, machine_id: &MachineId, victims: &[AttemptNumber]) {
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        for attempt_number in victims {
            let Some(attempt) = machine.attempts.get_mut(attempt_number) else { continue };
            let spec = self.jobs.get(&attempt.task.job).map(|job| &job.spec);
            let grace_s = spec.filter(|spec| spec.checkpoint_s > 0.0).map_or(0.0, |spec| spec.save_s);
            attempt.stop_grace_s = Some(grace_s);
        }
    }
}
