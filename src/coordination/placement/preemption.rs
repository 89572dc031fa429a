//! Preemption: stopping tasks to free resources for waiting tasks of higher priority.

use super::super::shard::{Job, Machine, Shard};
use super::PlacementContext;
use super::score::PlacementScore;
use crate::model::{AttemptNumber, JobId, MachineId, Resources};
use crate::time::Time;

/// Attempts on one machine that are stopped for a task of higher priority.
pub(in crate::coordination) struct Preemption {
    /// Machine that runs the attempts.
    pub machine: MachineId,
    /// Attempts to be stopped.
    pub victims: Vec<AttemptNumber>,
}

/// Resources of one machine that are free or being freed, less those that this round has assigned to waiting tasks.
struct FreeRoom {
    /// Machine that has the resources.
    machine: MachineId,
    /// Resources that are free or being freed and not yet assigned.
    room: Resources,
}

/// Source of resources for a waiting task.
enum RoomForTask {
    /// Resources that are free or being freed on the machine at this index of the list of free resources.
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
    /// Index of the machine in the list of free resources.
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
    pub fn preempt(&mut self, context: &PlacementContext) -> Vec<Preemption> {
        let mut preemptions = Vec::new();
        let queue = self.preempting_jobs(context);
        if queue.is_empty() {
            return preemptions;
        }
        let mut free = self.free_rooms(context);
        for job_id in &queue {
            self.make_room_for_job(job_id, &mut free, &mut preemptions, context);
        }
        preemptions
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

    /// Returns the machines that accept tasks, with the resources that are free or being freed on each. Jobs earlier in
    /// the queue use them first.
    fn free_rooms(&self, context: &PlacementContext) -> Vec<FreeRoom> {
        let machines = self.machines.iter().filter(|(_, machine)| machine.accepts_tasks(context.now));
        machines
            .filter_map(|(id, machine)| {
                let machine_type = context.types.get(&machine.kind)?;
                Some(FreeRoom {
                    machine: id.clone(),
                    room: machine_type.capacity.minus(&machine.committed_resources()),
                })
            })
            .collect()
    }

    /// Finds resources for the pending tasks of a job, and marks the attempts that have to be stopped for these tasks.
    fn make_room_for_job(
        &mut self,
        job_id: &JobId,
        free: &mut [FreeRoom],
        preemptions: &mut Vec<Preemption>,
        context: &PlacementContext,
    ) {
        for _ in 0..self.tasks_to_make_room_for(job_id, context) {
            let Some(job) = self.jobs.get(job_id) else { return };
            let needs = job.spec.needs;
            match self.room_for_task(job, free, context) {
                Some(RoomForTask::Free(index)) => free[index].room = free[index].room.minus(&needs),
                Some(RoomForTask::Preempt(PreemptionCandidate { victims, index, .. })) => {
                    let target = &mut free[index];
                    target.room = target.room.plus(&victims.freed).minus(&needs);
                    self.mark_victims(&target.machine, &victims.attempts);
                    preemptions.push(Preemption { machine: target.machine.clone(), victims: victims.attempts });
                }
                None => return,
            }
        }
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

    /// Returns the source of resources for one more task of the job. `None` if no machine has enough free resources and
    /// preemption can't free enough.
    fn room_for_task(&self, job: &Job, free: &[FreeRoom], context: &PlacementContext) -> Option<RoomForTask> {
        let has_room =
            |free: &FreeRoom| job.spec.needs.fits_in(&free.room) && self.may_run_on(job, &free.machine, context.now);
        if let Some(index) = free.iter().position(has_room) {
            return Some(RoomForTask::Free(index));
        }
        let mut best: Option<PreemptionCandidate> = None;
        for (index, free) in free.iter().enumerate() {
            let Some(candidate) = self.preemption_candidate(job, index, free, context) else { continue };
            if best.as_ref().is_none_or(|best| candidate.is_better_than(best)) {
                best = Some(candidate);
            }
        }
        best.map(RoomForTask::Preempt)
    }

    /// Returns `true` if a task of the job may run on the machine, regardless of the machine's free resources.
    fn may_run_on(&self, job: &Job, machine_id: &MachineId, now: Time) -> bool {
        self.machines.get(machine_id).is_some_and(|machine| {
            job.spec.allows(&machine.kind, &machine.zone, machine.spot)
                && !job.avoids(machine_id, now)
                && self.zone_allows(job, &machine.zone)
        })
    }

    /// Returns the attempts that would be stopped on one machine for a task of the job. `None` if the task may not run
    /// there or stopping attempts can't free enough resources.
    fn preemption_candidate(
        &self,
        job: &Job,
        index: usize,
        free: &FreeRoom,
        context: &PlacementContext,
    ) -> Option<PreemptionCandidate> {
        if !self.may_run_on(job, &free.machine, context.now) {
            return None;
        }
        let machine = self.machines.get(&free.machine)?;
        let machine_type = context.types.get(&machine.kind)?;
        let victims = self.cheapest_victims(job, machine, &free.room, context.now)?;
        let score = self.placement_score(job, machine, machine_type.capacity.cpus);
        Some(PreemptionCandidate { score, victims, index })
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
