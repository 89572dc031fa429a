//! Binding: selection of tasks for a machine whose heartbeat shows free resources.

use super::super::shard::AttemptProgress;
use super::super::shard::{Attempt, HeartbeatNumber, Job, Shard};
use super::PlacementContext;
use crate::model::{
    AttemptNumber, JobId, MachineId, MachineType, Name, Quantity, Resources, Revision, TaskId, TaskIndex,
};
use crate::protocol::workers::Command;
use crate::time::Time;
use std::ops::ControlFlow;

/// Number of low bits of an attempt number that hold this node's counter; the bits above them hold the revision of the
/// leadership term.
const ATTEMPT_COUNTER_BITS: u32 = 24;

/// State of binding tasks to one machine while its heartbeat is answered.
struct Binding<'a> {
    /// Machine that receives the tasks.
    machine_id: &'a MachineId,
    /// Type of the machine.
    machine_type: &'a MachineType,
    /// Zone of the machine.
    zone: Name,
    /// `true` if the machine is a spot machine.
    spot: bool,
    /// Number of the heartbeat that is being answered.
    heartbeat: HeartbeatNumber,
    /// Resources that are still free on the machine.
    free: Resources,
    /// Maximum number of commands in the answer to the heartbeat.
    max_commands: usize,
    /// Commands that start the tasks bound so far.
    commands: Vec<Command>,
    /// Jobs that were skipped: their next task does not fit now, but would fit if array tasks on the machine ended.
    skipped: Vec<JobId>,
}

impl Binding<'_> {
    /// Returns `true` if the answer has no room for another command.
    fn is_full(&self) -> bool {
        self.commands.len() >= self.max_commands
    }
}

/// Decision about the next task of a job.
enum BindingDecision {
    /// Start the task on the machine.
    Start,
    /// Continue with the next job: the task can't run on the machine, or should not be started there now.
    NextJob,
    /// Skip the job for now: the task would fit once array tasks on the machine end. Jobs behind it may use the free
    /// resources until the skip limit is reached.
    Skip,
    /// Bind nothing more to the machine: the job has been skipped for longer than the skip limit, so the free resources
    /// are kept for it.
    BlockLaterJobs,
    /// Reserve the machine for the job, which is starved, and bind nothing more to the machine until the task fits.
    Reserve,
}

impl Shard {
    /// Binds the first tasks of the queue that fit to the machine whose heartbeat is being answered, and returns the
    /// commands that start them. `counter` is this process's counter of attempts and rentals, which becomes part of
    /// each attempt number.
    pub fn bind(
        &mut self,
        machine_id: &MachineId,
        counter: &mut u64,
        max_commands: usize,
        context: &PlacementContext,
    ) -> Vec<Command> {
        let Some(mut binding) = self.begin_binding(machine_id, max_commands, context) else { return Vec::new() };
        let queue = self.ordered_jobs(context);
        for job_id in queue.iter() {
            if binding.is_full() || !self.queue.may_fit_into(&binding.free) {
                break;
            }
            self.count_inspections(1);
            if self.bind_job(job_id, &mut binding, counter, context).is_break() {
                break;
            }
        }
        binding.commands
    }

    /// Returns the initial state for binding tasks to the machine. `None` if the machine accepts no tasks, has no free
    /// CPUs or is of an unknown type.
    fn begin_binding<'a>(
        &self,
        machine_id: &'a MachineId,
        max_commands: usize,
        context: &PlacementContext<'a>,
    ) -> Option<Binding<'a>> {
        let machine = self.machines.get(machine_id)?;
        let machine_type = context.types.get(&machine.kind)?;
        let free = machine_type.capacity.minus(&machine.used());
        if !machine.accepts_tasks(context.now) || free.cpus == Quantity(0) {
            return None;
        }
        Some(Binding {
            machine_id,
            machine_type,
            zone: machine.zone.clone(),
            spot: machine.spot,
            heartbeat: machine.last_heartbeat(),
            free,
            max_commands,
            commands: Vec::new(),
            skipped: Vec::new(),
        })
    }

    /// Binds as many tasks of a job as fit. Returns `Break` if nothing more may be bound to the machine.
    fn bind_job(
        &mut self,
        job_id: &JobId,
        binding: &mut Binding,
        counter: &mut u64,
        context: &PlacementContext,
    ) -> ControlFlow<()> {
        while let Some(job) = self.jobs.get(job_id)
            && let Some(task) = job.next_task(context.now)
            && !binding.is_full()
        {
            match self.decide_binding(job, binding, context) {
                BindingDecision::Start => {
                    *counter += 1;
                    let attempt_number = attempt_number(self.term, *counter);
                    self.start_task(
                        TaskId { job: job_id.clone(), task: TaskIndex(task) },
                        attempt_number,
                        binding,
                        context.now,
                    );
                }
                BindingDecision::NextJob => break,
                BindingDecision::Skip => {
                    binding.skipped.push(job_id.clone());
                    break;
                }
                BindingDecision::BlockLaterJobs => return ControlFlow::Break(()),
                BindingDecision::Reserve => {
                    self.reserve_machine(job_id, binding.machine_id, context.now);
                    return ControlFlow::Break(());
                }
            }
        }
        ControlFlow::Continue(())
    }

    /// Decides whether the next task of a job is bound to the machine.
    fn decide_binding(&self, job: &Job, binding: &Binding, context: &PlacementContext) -> BindingDecision {
        let is_allowed = job.spec.allows(&binding.machine_type.name, &binding.zone, binding.spot);
        if !is_allowed || job.avoids(binding.machine_id, context.now) {
            return BindingDecision::NextJob;
        }
        if !job.spec.needs.fits_in(&binding.free) {
            return self.decide_without_room(job, binding, context);
        }
        if self.should_wait_for_better_machine(job, binding.machine_id, context) {
            return BindingDecision::NextJob;
        }
        let usage = self.team_usage(&job.spec.team, context.settings, context.types);
        let usage = self.queue.reservations().added_to(usage, job);
        if !job.is_within_quota(&usage, context.settings) || !self.zone_allows(job, &binding.zone) {
            return BindingDecision::NextJob;
        }
        BindingDecision::Start
    }

    /// Decides about a job whose next task does not fit into the free resources of the machine.
    fn decide_without_room(&self, job: &Job, binding: &Binding, context: &PlacementContext) -> BindingDecision {
        let service_usage =
            self.machines.get(binding.machine_id).map(|machine| self.service_usage(machine)).unwrap_or_default();
        if !job.spec.needs.fits_in(&binding.machine_type.capacity.minus(&service_usage)) {
            return BindingDecision::NextJob;
        }
        let skip_limit = context.settings.properties.skip_limit;
        if job.waiting.skipped_since.is_some_and(|since| context.now.since(since) > skip_limit) {
            return BindingDecision::BlockLaterJobs;
        }
        let is_starved = job.is_starved(context.settings, context.wall_clock_ms);
        if is_starved && job.may_reserve(binding.machine_id, context) && self.zone_allows(job, &binding.zone) {
            return BindingDecision::Reserve;
        }
        BindingDecision::Skip
    }

    /// Reserves the machine for the next task of a job. A reservation of the same machine that exists already keeps its
    /// time.
    fn reserve_machine(&mut self, job_id: &JobId, machine_id: &MachineId, now: Time) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.waiting.reserve(machine_id, now);
        }
    }

    /// Records the start of a task on the machine, and adds the command that starts it to the answer.
    fn start_task(&mut self, task: TaskId, attempt_number: AttemptNumber, binding: &mut Binding, now: Time) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let machine_id = binding.machine_id;
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        let attempt = Attempt {
            task: task.clone(),
            team: job.spec.team.clone(),
            needs: job.spec.needs,
            state: None,
            sent_in: binding.heartbeat,
            running_since: None,
            progress: AttemptProgress::default(),
            stop_grace_s: None,
        };
        log::debug!("task {task}: starting attempt {attempt_number} on machine {machine_id}");
        binding.free = binding.free.minus(&attempt.needs);
        self.place(machine_id, attempt_number, attempt);
        self.recovery.record_task_start(now);
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.record_image(&image, image_gb, binding.machine_type.cache_gb);
        }
        self.end_waiting(&task.job);
        self.record_skipped(binding.skipped.drain(..), now);
        binding.commands.push(Command::Run { task, attempt: attempt_number });
    }

    /// Clears the waiting state of a job that has started a task: the time since which it was skipped, its machine
    /// reservation and its quota reservation.
    fn end_waiting(&mut self, job_id: &JobId) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.waiting.skipped_since = None;
            job.waiting.reservation = None;
        }
        self.queue.release_reservation(job_id);
    }

    /// Records for each of the given jobs since when it has been skipped in favour of tasks of other jobs.
    fn record_skipped(&mut self, jobs: impl Iterator<Item = JobId>, now: Time) {
        for job_id in jobs {
            if let Some(job) = self.jobs.get_mut(&job_id) {
                job.waiting.skipped_since.get_or_insert(now);
            }
        }
    }
}

/// Returns an attempt number that no attempt of another leadership term has, since its upper bits are the term's
/// revision.
fn attempt_number(term: Revision, counter: u64) -> AttemptNumber {
    let counter_mask = (1 << ATTEMPT_COUNTER_BITS) - 1;
    AttemptNumber((term.0 << ATTEMPT_COUNTER_BITS) | (counter & counter_mask))
}
