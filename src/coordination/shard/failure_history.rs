//! The failed attempts of one job, and whether the job or the machines are to blame for them.

use crate::model::{JobKind, MachineId};
use crate::time::{Span, Time};

/// How long a machine on which a job's task failed gets no other task of that job, and how long failures are held
/// against the job.
const FAILED_MACHINE_AVOIDANCE: Span = Span::millis(90_000);

/// How many machines are remembered on which a job's tasks failed.
const MAX_FAILED_MACHINES: usize = 64;

/// The shortest pause after a failure of a job that backs off. The pause doubles with each failure.
const MIN_BACKOFF: Span = Span::millis(500);

/// How many times the pause doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 7;

/// A job is blamed for its failures only if its tasks failed on at least this many machines.
const MIN_FAILED_MACHINES: usize = 2;

/// A job is blamed for its failures only if it has at most this many running tasks for each machine on which a task
/// failed.
const MAX_RUNNING_TASKS_PER_FAILED_MACHINE: usize = 4;

/// The failed attempts of a job.
#[derive(Default)]
pub(in crate::coordination) struct FailureHistory {
    /// The machines on which a task of the job failed, the latest last.
    pub machines: Vec<MachineFailure>,
    /// How many times the job failed and had to back off since one of its tasks last completed.
    count: u32,
    /// The job's tasks failed on several machines and none has completed since: the job is at fault, not the machines.
    pub fails_everywhere: bool,
    /// No task of the job is started before this time.
    pub backoff_until: Time,
}

/// A machine on which a task of a job failed.
pub(in crate::coordination) struct MachineFailure {
    /// The machine.
    pub machine: MachineId,
    /// When a task of the job last failed there.
    pub at: Time,
}

impl FailureHistory {
    /// The history of a job of which it is only known whether it fails everywhere.
    pub(super) fn of_record(fails_everywhere: bool) -> FailureHistory {
        FailureHistory { fails_everywhere, ..FailureHistory::default() }
    }

    /// Whether a task of the job failed on the machine so recently that the machine gets no other task of the job.
    pub fn avoids(&self, machine: &MachineId, now: Time) -> bool {
        self.machines.iter().any(|failure| failure.machine == *machine && failure.is_recent(now))
    }

    /// A task of the job has completed: the job is not at fault, so its other tasks need not wait.
    pub(super) fn record_success(&mut self) {
        self.count = 0;
        self.fails_everywhere = false;
        self.backoff_until = Time::ZERO;
    }

    /// A task of the job failed on a machine while `running` others are still running. Returns whether this failure
    /// shows that the job fails everywhere.
    ///
    /// A job that fails everywhere must not be tried on all machines again and again, and a faulty machine must not
    /// get tasks of the same job again and again.
    pub(super) fn record_failure(&mut self, machine: &MachineId, kind: JobKind, running: usize, now: Time) -> bool {
        self.forget_old_failures(kind, now);
        self.remember_machine(machine, now);
        // A failure of a task that was started before the job began to back off is not a new failure.
        if now >= self.backoff_until {
            self.count += 1;
        }
        let newly_found = !self.fails_everywhere && self.blames_job(running);
        self.fails_everywhere |= newly_found;
        newly_found
    }

    /// Starts no task of the job for a while, longer with each failure.
    pub(super) fn back_off(&mut self, now: Time) {
        let doublings = self.count.min(MAX_BACKOFF_DOUBLINGS);
        let pause = MIN_BACKOFF.times(f64::from(1u32 << doublings));
        self.backoff_until = self.backoff_until.max(now + pause);
    }

    /// Forgets the failures if the last one is too old to count. A service keeps no blame from before.
    fn forget_old_failures(&mut self, kind: JobKind, now: Time) {
        if self.machines.last().is_some_and(|failure| failure.is_recent(now)) {
            return;
        }
        self.machines.clear();
        self.count = 0;
        self.fails_everywhere &= kind == JobKind::Array;
    }

    fn remember_machine(&mut self, machine: &MachineId, now: Time) {
        self.machines.retain(|failure| failure.machine != *machine);
        self.machines.push(MachineFailure { machine: machine.clone(), at: now });
        if self.machines.len() > MAX_FAILED_MACHINES {
            self.machines.remove(0);
        }
    }

    /// Whether the failures show that the job is at fault: a large job comes across several faulty machines, while a
    /// job that is at fault runs hardly anywhere.
    fn blames_job(&self, running: usize) -> bool {
        let failed = self.machines.len();
        failed >= MIN_FAILED_MACHINES && running <= MAX_RUNNING_TASKS_PER_FAILED_MACHINE * failed
    }
}

impl MachineFailure {
    fn is_recent(&self, now: Time) -> bool {
        now.since(self.at) < FAILED_MACHINE_AVOIDANCE
    }
}
