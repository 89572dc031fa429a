//! Failed attempts of one job, and the decision whether the job or the machines are at fault.

use crate::model::{JobKind, MachineId};
use crate::time::{Span, Time};

/// Time after a failure during which the machine gets no other task of the same job, and after which the failure no
/// longer counts against the job.
const FAILED_MACHINE_AVOIDANCE: Span = Span::millis(90_000);

/// Maximum number of machines in the failure history of a job. The oldest entry is dropped first.
const MAX_FAILED_MACHINES: usize = 64;

/// Base and lower bound of the exponential backoff of a job. The pause doubles with each failure.
const MIN_BACKOFF: Span = Span::millis(500);

/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 7;

/// Minimum number of machines with failed tasks of a job for the job to be considered at fault.
const MIN_FAILED_MACHINES: usize = 2;

/// Maximum number of running tasks for each machine with a failed task for a job to be considered at fault. With more
/// running tasks, the machines are more likely at fault than the job.
const MAX_RUNNING_TASKS_PER_FAILED_MACHINE: usize = 4;

/// Failed attempts of a job.
#[derive(Default)]
pub(in crate::coordination) struct FailureHistory {
    /// Machines on which a task of the job failed, the most recent last.
    pub machines: Vec<MachineFailure>,
    /// Number of failures since a task of the job last completed or the failures were last forgotten. Failures during a
    /// backoff are not counted.
    counted_failures: u32,
    /// `true` if tasks of the job failed on several machines and none has completed since, so that the job and not the
    /// machines is at fault.
    pub fails_everywhere: bool,
    /// End of the backoff. No task of the job is started before this time.
    pub backoff_until: Time,
}

/// Most recent failure of a job's task on one machine.
pub(in crate::coordination) struct MachineFailure {
    /// Machine on which the task failed.
    pub machine: MachineId,
    /// Time of the failure.
    pub at: Time,
}

impl FailureHistory {
    /// Creates the history of a job from its record, which holds only whether the job fails everywhere.
    pub(super) fn of_record(fails_everywhere: bool) -> FailureHistory {
        FailureHistory { fails_everywhere, ..FailureHistory::default() }
    }

    /// Returns `true` if a task of the job failed on the machine so recently that the machine gets no other task of the
    /// job.
    pub fn avoids(&self, machine: &MachineId, now: Time) -> bool {
        self.machines.iter().any(|failure| failure.machine == *machine && failure.is_recent(now))
    }

    /// Records that a task of the job has completed. The job is not at fault, so the backoff ends.
    pub(super) fn record_success(&mut self) {
        self.counted_failures = 0;
        self.fails_everywhere = false;
        self.backoff_until = Time::ZERO;
    }

    /// Records that a task of the job failed on a machine while `running` others are still running. Returns `true` if
    /// the job is marked as failing everywhere because of this failure, and was not marked before.
    ///
    /// A faulty job must not be retried on all machines over and over, and a faulty machine must not get tasks of the
    /// same job over and over.
    pub(super) fn record_failure(&mut self, machine: &MachineId, kind: JobKind, running: usize, now: Time) -> bool {
        self.forget_old_failures(kind, now);
        self.remember_machine(machine, now);
        // Tasks that were started before the backoff may fail during it. These failures must not lengthen the pause.
        if now >= self.backoff_until {
            self.counted_failures += 1;
        }
        let newly_at_fault = !self.fails_everywhere && self.is_job_at_fault(running);
        self.fails_everywhere |= newly_at_fault;
        newly_at_fault
    }

    /// Begins or extends the backoff, with a pause that doubles with each counted failure.
    pub(super) fn back_off(&mut self, now: Time) {
        let doublings = self.counted_failures.min(MAX_BACKOFF_DOUBLINGS);
        let pause = MIN_BACKOFF.times(f64::from(1u32 << doublings));
        self.backoff_until = self.backoff_until.max(now + pause);
    }

    /// Forgets all failures if the last one is too old to count. A job array that fails everywhere stays marked as such
    /// until one of its tasks completes; a service does not.
    fn forget_old_failures(&mut self, kind: JobKind, now: Time) {
        if self.machines.last().is_some_and(|failure| failure.is_recent(now)) {
            return;
        }
        self.machines.clear();
        self.counted_failures = 0;
        self.fails_everywhere &= kind == JobKind::Array;
    }

    fn remember_machine(&mut self, machine: &MachineId, now: Time) {
        self.machines.retain(|failure| failure.machine != *machine);
        self.machines.push(MachineFailure { machine: machine.clone(), at: now });
        if self.machines.len() > MAX_FAILED_MACHINES {
            self.machines.remove(0);
        }
    }

    /// Returns `true` if the failures show that the job is at fault. A large job may meet several faulty machines while
    /// most of its tasks run, whereas few tasks of a faulty job run anywhere.
    fn is_job_at_fault(&self, running: usize) -> bool {
        let failed = self.machines.len();
        failed >= MIN_FAILED_MACHINES && running <= MAX_RUNNING_TASKS_PER_FAILED_MACHINE * failed
    }
}

impl MachineFailure {
    fn is_recent(&self, now: Time) -> bool {
        now.since(self.at) < FAILED_MACHINE_AVOIDANCE
    }
}
