//! In-memory state of one shard on its leader: jobs, machines and the placement of attempts on machines.

mod attempts;
mod failure_history;
mod fleet;
mod job;
mod job_queue;
mod job_record;
mod machine;
mod quota_reservations;
mod task_runtimes;
mod waiting_jobs;

pub(super) use fleet::{BootingMachine, FleetState, Rental, RequestedOffer};
use job::JobProgress;
pub(super) use job::{AttemptLocation, Job, QueueOrder};
pub(super) use job_queue::JobQueue;
pub(super) use job_record::{RecordSize, RecordedProgress};
pub(super) use machine::{Attempt, HeartbeatNumber, Machine, WORKER_LEASE_MARGIN};
pub(super) use quota_reservations::QuotaReservations;
pub(super) use task_runtimes::{AttemptProgress, RuntimeSamples};

use super::events::Requester;
use super::leadership_term::LeadershipTerm;
use super::waiting_jobs::WaitingJobs;
use crate::model::{JobId, MachineId, Name, Quantity, Resources, Revision, ShardId};
use crate::protocol::peers::MachineOffer;
use crate::protocol::workers::{Exit, WorkerHeartbeat};
use crate::storage::records::{LiveRecord, MachineRecord};
use crate::time::{Span, Time};
use crowstall_leadership::{LeaderLease, LeadershipOverlap, ReadinessChecklist};
use crowstall_reconciliation::{MachineClass, Recovery};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Quantity that exceeds the capacity of any machine, yet can be added up 2^24 times without overflow.
const UNBOUNDED: Quantity = Quantity(u64::MAX >> 24);

/// Number of tasks that the start watermark in a job's first record covers. Later records extend the watermark in
/// proportion to this number, as described at [`Job::wanted_start_watermark`].
pub(super) const START_WATERMARK_LOOKAHEAD: u32 = 256;

/// Time since the last message from a machine from which on the machine is not offered to other shards.
const MAX_OFFERED_SILENCE: Span = Span::millis(4000);

/// Reciprocal of the largest fraction of machines that may be excluded from placement for answer loss: if more than one
/// machine in this many loses its answers, none is excluded.
const MIN_MACHINES_PER_ANSWER_LOSS: usize = 4;

/// State of one shard that this node leads.
pub(super) struct Shard {
    /// Number of the shard.
    pub id: ShardId,
    /// Leadership term: the revision at which this node acquired leadership.
    pub term: Revision,
    /// Leader lease of this node, conditions for its first decision, and any overlap with a deposed leader.
    pub leadership: ShardLeadershipState,
    /// Progress of reading the shard's records.
    pub loading: LoadingState,
    /// Progress of the recovery since leadership was acquired, including the machines that are not reconciled yet.
    pub recovery: Recovery,
    /// Jobs that are queued or running.
    pub jobs: HashMap<JobId, Job>,
    /// Jobs that wait for prerequisites and may not start any task yet.
    pub waiting_jobs: WaitingJobs,
    /// Machines that are up.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines that were requested or are booting, are being transferred, or are gone.
    pub fleet: FleetState,
    /// Jobs with pending tasks, in the order in which they are served.
    pub queue: JobQueue,
    /// Resources used by the attempts of each team. Attempts of unknown jobs are counted under the empty name.
    pub usage: HashMap<Name, Resources>,
    /// Resources of the attempts that have ended since the leader lease expired, by team. `None` while the lease is
    /// valid.
    ended_without_lease: Option<HashMap<Name, Resources>>,
    /// Jobs with tasks that a former leader may have started and that have not been found on a machine yet.
    jobs_with_unreconciled_tasks: BTreeSet<JobId>,
    /// Machines that run attempts of unknown jobs. Each counts as fully used by every team.
    machines_with_unknown_jobs: BTreeSet<MachineId>,
    /// Job arrays whose tasks have all completed and whose final record is not being written yet.
    pub finished: Vec<JobId>,
    /// Runtime samples that the forecast learner has not consumed yet. `None` if forecasts are disabled.
    pub runtime_samples: Option<RuntimeSamples>,
    /// Number of jobs, machines and ranges of tasks that were inspected while heartbeats were handled and records were
    /// loaded.
    pub inspections: Cell<u64>,
    /// Number of machines and attempts that were inspected in search of room for waiting tasks.
    pub preemption_inspections: u64,
    /// Job with which the next round of preemption starts, if the previous one ended at its limit.
    pub preemption_resumes_at: Option<JobId>,
}

/// State of this node's leadership of a shard.
pub(super) struct ShardLeadershipState {
    /// Lease that limits until when this node may make decisions and serve reads.
    pub leader_lease: LeaderLease,
    /// Time at which this node requested the release of its leadership, while the outcome of that request is in doubt.
    pub release_requested_at: Option<Time>,
    /// Overlap with a deposed leader that may not know yet that it was replaced. `None` if there is none.
    pub overlap: Option<LeadershipOverlap>,
    /// Conditions that must hold before the first decision of the term.
    pub checklist: ReadinessChecklist,
    /// Wall-clock time at which leadership was acquired, in milliseconds since 1970.
    pub acquired_wall_ms: u64,
    /// `true` if an earlier incarnation of this node led the shard in the previous term.
    pub reacquired: bool,
    /// `true` if all tasks that may still run were started under the quotas that this node applies.
    pub same_quotas: bool,
}

/// Progress of reading the records of a shard.
#[derive(Default)]
pub(super) struct LoadingState {
    /// Time at which the last record was read, or at which a later long pause of this process was detected. A
    /// leadership check sent after this time has to confirm the term. `None` while records are still being read.
    pub read_at: Option<Time>,
    /// Time until which loading waits for the local replica to be synced with the term. `None` if it does not wait.
    pub replica_wait_until: Option<Time>,
    /// `true` if reading failed and has to start again.
    pub retry: bool,
    /// Heartbeats that arrived while the records were being read. They are handled once the shard is served, or get a
    /// busy reply if this node steps down before.
    pub early_heartbeats: Vec<EarlyHeartbeat>,
}

/// Heartbeat that arrived while the records of its machine's shard were being read.
pub(super) struct EarlyHeartbeat {
    /// Requester that waits for the reply.
    pub requester: Requester,
    /// The heartbeat.
    pub heartbeat: Box<WorkerHeartbeat>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AttemptOutcome {
    /// The worker reported that the attempt exited.
    Exited(Exit),
    /// The attempt never started, or was lost with its machine or with the worker lease.
    Lost,
}

impl Shard {
    /// Creates a shard whose records have not been read yet.
    pub fn new(leadership: LeadershipTerm, recovery: Recovery, late_factors: Arc<BTreeMap<Name, f64>>) -> Shard {
        let acquired_at = recovery.acquired_at();
        Shard {
            id: leadership.shard,
            term: leadership.term,
            leadership: ShardLeadershipState {
                leader_lease: LeaderLease::acquired(acquired_at, None),
                release_requested_at: None,
                overlap: None,
                checklist: ReadinessChecklist::new(acquired_at),
                acquired_wall_ms: 0,
                reacquired: false,
                same_quotas: false,
            },
            loading: LoadingState::default(),
            recovery,
            jobs: HashMap::new(),
            waiting_jobs: WaitingJobs::new(late_factors),
            machines: BTreeMap::new(),
            fleet: FleetState::default(),
            queue: JobQueue::default(),
            usage: HashMap::new(),
            ended_without_lease: None,
            jobs_with_unreconciled_tasks: BTreeSet::new(),
            machines_with_unknown_jobs: BTreeSet::new(),
            finished: Vec::new(),
            runtime_samples: None,
            inspections: Cell::new(0),
            preemption_inspections: 0,
            preemption_resumes_at: None,
        }
    }

    /// Returns the leadership term together with the shard that is led under it.
    pub fn leadership_term(&self) -> LeadershipTerm {
        LeadershipTerm { shard: self.id, term: self.term }
    }

    /// Returns `true` if the shard's records are in memory and requests are served.
    pub fn is_active(&self) -> bool {
        self.recovery.is_loaded()
    }

    /// Returns `true` if this node may make decisions about the shard: its leader lease is valid and it has not
    /// requested the release of its leadership.
    ///
    /// A requested release ends the right to decide before its answer arrives. The answer may be lost, and another
    /// controller may acquire leadership at once, without waiting for the lease of a leader that has released the
    /// shard.
    pub fn may_decide(&self, now: Time) -> bool {
        self.leadership.release_requested_at.is_none() && self.leadership.leader_lease.may_decide(now)
    }

    /// Discards all records that were read, so that loading can start again from the beginning.
    pub fn restart_loading(&mut self) {
        self.loading.retry = false;
        self.loading.read_at = None;
        self.jobs.clear();
        self.waiting_jobs.clear();
        self.machines.clear();
        self.jobs_with_unreconciled_tasks.clear();
        self.recovery.restart_loading();
    }

    /// Excludes machines that do not receive this leader's answers from placement, and readmits those that do again.
    ///
    /// If more than one machine in [`MIN_MACHINES_PER_ANSWER_LOSS`] loses its answers, the fault is more likely on the
    /// side of this node, and no machine is excluded.
    pub fn update_answer_loss(&mut self) {
        let losing_answers =
            self.machines.values().filter(|machine| machine.answer_loss.loss_since().is_some()).count();
        let may_exclude = losing_answers <= self.machines.len().div_ceil(MIN_MACHINES_PER_ANSWER_LOSS);
        for (id, machine) in &mut self.machines {
            let loses_answers = may_exclude && machine.answer_loss.loss_since().is_some();
            if machine.loses_answers != loses_answers {
                let change = if loses_answers {
                    "does not receive the answers to its heartbeats; starting no tasks on it"
                } else {
                    "no longer excluded from placement for lost answers"
                };
                log::info!("machine {id}: {change}");
                machine.loses_answers = loses_answers;
            }
        }
    }

    /// Returns the idle machines that this shard does not need and offers to other shards.
    pub fn offers(&self, now: Time) -> Vec<MachineOffer> {
        let offered = self.machines.iter().filter(|(id, machine)| {
            self.fleet.spare_machines.contains(*id)
                && machine.accepts_tasks(now)
                && machine.attempts.is_empty()
                && now.since(machine.last_contact_at) < MAX_OFFERED_SILENCE
        });
        offered
            .map(|(id, machine)| MachineOffer {
                machine: id.clone(),
                kind: machine.kind.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            })
            .collect()
    }

    /// Adds a job from its record during loading. Tasks below the record's start watermark may be running on any
    /// machine, started by a former leader.
    pub fn load_job(&mut self, record: LiveRecord, version: Revision) {
        if record.is_waiting() {
            return self.add_waiting_job(record, version);
        }
        let waiting_since = self.recovery.acquired_at();
        let progress = JobProgress::of_record(&record);
        self.count_inspections(progress.count_ranges());
        self.insert_job(record, version, progress, waiting_since);
    }

    /// Adds an accepted job of which no task has been started.
    pub fn accept_job(&mut self, record: LiveRecord, version: Revision, now: Time) {
        let progress = JobProgress::not_started(record.job.tasks);
        self.insert_job(record, version, progress, now);
    }

    fn insert_job(&mut self, record: LiveRecord, version: Revision, progress: JobProgress, waiting_since: Time) {
        let id = record.job.id.clone();
        let urgency = self.waiting_jobs.own_urgency(&record.job, record.accepted_ms);
        self.waiting_jobs.mark_runnable(&id, urgency);
        let inherited_urgency = self.waiting_jobs.inherited_urgency(&id);
        let job = Job::new(record, version, progress, inherited_urgency, waiting_since);
        if job.is_complete() {
            self.finished.push(id.clone());
        }
        if !job.progress.unreconciled.is_empty() {
            self.jobs_with_unreconciled_tasks.insert(id.clone());
        }
        self.queue.invalidate();
        self.jobs.insert(id, job);
    }

    /// Records that this node's leader lease for the shard is valid (`holds_lease`) or not.
    ///
    /// While the lease is not valid, another controller may have acquired the shard. That controller counts the
    /// attempts that it finds towards the teams' quotas, and reuses the quota of attempts whose end it observes.
    /// Attempts whose end this node observes meanwhile therefore free no quota here; otherwise both controllers could
    /// reuse the same quota, and together exceed the usage at the time when the lease expired. If the lease becomes
    /// valid again, no other controller led the shard in between, and the quota is free.
    pub fn record_lease_state(&mut self, holds_lease: bool) {
        if holds_lease {
            self.ended_without_lease = None;
        } else {
            self.ended_without_lease.get_or_insert_default();
        }
    }

    /// Adds to the number of jobs, machines and ranges of tasks that were inspected while heartbeats were handled and
    /// records were loaded.
    pub fn count_inspections(&self, count: usize) {
        self.inspections.set(self.inspections.get() + count as u64);
    }

    /// Adds a machine that a former leader may have used. `size` is the capacity of the machine, `reconciled_by` the
    /// time by which every worker lease granted by a former leader has surely expired.
    pub fn load_machine(
        &mut self,
        id: MachineId,
        record: &MachineRecord,
        version: Revision,
        reconciled_by: Time,
        size: Resources,
    ) {
        let Ok(addr) = record.addr.parse() else { return };
        let now = self.recovery.acquired_at();
        let mut machine = Machine::new(record, addr, version, self.term, now);
        machine.reconciled_by = reconciled_by;
        let class = MachineClass { kind: record.kind.clone(), zone: record.zone.clone(), spot: record.spot };
        self.recovery.add_unreconciled_machine(&id, class, size);
        self.machines.insert(id, machine);
    }

    /// Adds a machine whose record was written in this leadership term. It counts as reconciled, since no former leader
    /// of the shard can have started attempts on it.
    pub fn add_machine(
        &mut self,
        id: MachineId,
        record: &MachineRecord,
        addr: SocketAddrV4,
        version: Revision,
        now: Time,
    ) {
        let mut machine = Machine::new(record, addr, version, self.term, now);
        machine.reconciled = true;
        self.fleet.booting.remove(&id);
        self.machines.insert(id, machine);
    }

    /// Marks a machine as reconciled, after its newest heartbeat was applied or all its attempts were removed.
    pub fn mark_reconciled(&mut self, id: &MachineId, now: Time) {
        if let Some(machine) = self.machines.get_mut(id)
            && !machine.reconciled
        {
            machine.reconciled = true;
            self.end_reconciliation_of(id, now);
        }
    }

    /// Removes and returns a machine that is gone or belongs to another shard.
    pub fn remove_machine(&mut self, id: &MachineId, now: Time) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        self.machines_with_unknown_jobs.remove(id);
        if !machine.reconciled {
            self.end_reconciliation_of(id, now);
        }
        Some(machine)
    }

    /// Records that no attempt unknown to this leader can be running on the machine any more.
    fn end_reconciliation_of(&mut self, id: &MachineId, now: Time) {
        if self.recovery.record_reconciled(id, now) {
            self.release_reconciled_tasks();
        }
    }

    /// Makes unreconciled tasks pending if they can't be running on any machine any more. Each job is decided by
    /// itself: its tasks are released as soon as no unreconciled machine is left that could run an attempt of them.
    pub fn release_reconciled_tasks(&mut self) {
        if self.jobs_with_unreconciled_tasks.is_empty() {
            return;
        }
        self.count_inspections(self.jobs_with_unreconciled_tasks.len());
        for id in std::mem::take(&mut self.jobs_with_unreconciled_tasks) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if self.recovery.may_be_running(&job.spec) {
                self.jobs_with_unreconciled_tasks.insert(id);
                continue;
            }
            job.progress.release_unreconciled();
            self.queue.invalidate();
        }
    }
}
