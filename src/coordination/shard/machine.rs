//! In-memory state of one machine and its attempts on the leader of the machine's shard.

use super::AttemptProgress;
use crate::model::{
    AgentEpoch, AttemptNumber, FencingToken, JobId, Name, Resources, Revision, SequenceNumber, ShardId, TaskId,
};
use crate::protocol::workers::{TaskState, WorkerHeartbeat};
use crate::storage::records::MachineRecord;
use crate::time::{Span, Time};
use crowstall_leadership::LeaderLease;
use crowstall_reconciliation::answer_loss::{AnswerEvidence, AnswerLossDetector};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddrV4;

/// Safety margin that is added to the end of a worker lease before the lease counts as expired.
pub(in crate::coordination) const WORKER_LEASE_MARGIN: Span = Span::millis(500);

/// Minimum number of jobs with failed tasks on a machine for the machine to be quarantined.
const MIN_FAILED_JOBS_FOR_QUARANTINE: usize = 2;

/// Duration of a quarantine: a machine that is probably faulty gets no tasks for this long, unless it is returned to
/// the cloud before.
const QUARANTINE_PERIOD: Span = Span::millis(180_000);

/// Position of a heartbeat in the sequence of its machine's heartbeats. Compares by epoch first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination) struct HeartbeatNumber {
    /// Agent epoch in which the heartbeat was sent.
    pub epoch: AgentEpoch,
    /// Sequence number of the heartbeat within the epoch.
    pub seq: SequenceNumber,
}

/// Attempt to run a task on a machine.
pub(in crate::coordination) struct Attempt {
    /// Task of the attempt.
    pub task: TaskId,
    /// Team of the task's job. Empty if the job is unknown.
    pub team: Name,
    /// Resources that the attempt uses.
    pub needs: Resources,
    /// State that the machine last reported. `None` if the machine has not reported the attempt yet.
    pub state: Option<TaskState>,
    /// Heartbeat in whose answer the attempt was sent, or which first reported it.
    pub sent_in: HeartbeatNumber,
    /// Time at which the attempt was first reported to be running. `None` if it was not yet.
    pub running_since: Option<Time>,
    /// Observed progress of the attempt, for runtime samples.
    pub progress: AttemptProgress,
    /// Time in seconds that the attempt has to save its progress before it is stopped. `None` if it is not to be
    /// stopped.
    pub stop_grace_s: Option<f64>,
}

/// State of a machine that is up.
pub(in crate::coordination) struct Machine {
    /// Name of the machine's type.
    pub kind: Name,
    /// Zone of the machine.
    pub zone: Name,
    /// `true` for a spot machine.
    pub spot: bool,
    /// Address at which the machine's worker accepts direct calls.
    pub addr: SocketAddrV4,
    /// Version of the machine's record.
    pub version: Revision,
    /// Fencing token that commands to the machine carry.
    pub token: FencingToken,
    /// Number of the newest heartbeat that was handled.
    last_heartbeat: HeartbeatNumber,
    /// Time at which this leader first learned of the current agent epoch.
    epoch_seen_at: Time,
    /// Time at which a heartbeat of the machine was last answered with 200, or at which the machine was reconciled by a
    /// direct call, since the leader that answered before may have granted a worker lease until then. The worker lease
    /// starts no later than that. `None` if neither has happened under this leader.
    pub last_answered_at: Option<Time>,
    /// `true` if all attempts on the machine are known: it has sent a heartbeat under the current fencing token, or no
    /// attempt can have been running on it before.
    pub reconciled: bool,
    /// Detector of a one-way partition in which the machine's heartbeats arrive, but the answers to them do not.
    pub answer_loss: AnswerLossDetector,
    /// `true` if the machine gets no tasks because it does not receive the answers to its heartbeats, while most other
    /// machines do.
    pub loses_answers: bool,
    /// Time by which every worker lease granted by a former leader has surely expired. Used only while the machine is
    /// not reconciled.
    pub reconciled_by: Time,
    /// Attempts on the machine, with those that are over and not forgotten yet.
    pub attempts: BTreeMap<AttemptNumber, Attempt>,
    /// Time at which the cloud will reclaim the machine. `None` if no reclaim was announced.
    pub reclaim_at: Option<Time>,
    /// Time from which no attempt has been running on the machine. Of no meaning while one is running.
    pub idle_since: Time,
    /// Time at which a message from the machine last arrived.
    pub last_contact_at: Time,
    /// `true` if the machine is drained: it gets no more tasks.
    pub draining: bool,
    /// Shard to which the machine is being transferred. While the outcome of the transfer is in doubt, no task is
    /// started on the machine.
    pub moving_to: Option<ShardId>,
    /// `true` once the machine is to be deleted; from then on nothing is sent to it.
    pub deleting: bool,
    /// Jobs with a failed task on the machine that counts towards a quarantine.
    failed_jobs: BTreeSet<JobId>,
    /// End of the machine's quarantine. The machine gets no tasks before this time.
    pub quarantined_until: Time,
    /// Images that are probably in the machine's cache, the most recently used last.
    images: Vec<CachedImage>,
    /// `true` while a direct call is in flight that probes whether the machine is alive.
    pub probe_in_flight: bool,
    /// Time at which another controller last relayed a heartbeat of the machine. `None` if none was relayed.
    pub relayed_at: Option<Time>,
    /// Number of direct calls without an answer since a message from the machine last arrived.
    pub unanswered_calls: u32,
    /// `true` once the cloud's machine list has contained the machine, so that the machine can be returned.
    pub listed: bool,
}

/// Image in the cache of a machine.
struct CachedImage {
    name: Name,
    size_gb: f64,
}

impl HeartbeatNumber {
    /// Number that is less than that of any heartbeat.
    const NONE: HeartbeatNumber = HeartbeatNumber::before_epoch(AgentEpoch(0));

    /// Returns the number of a heartbeat.
    pub fn of(heartbeat: &WorkerHeartbeat) -> HeartbeatNumber {
        HeartbeatNumber { epoch: heartbeat.epoch, seq: heartbeat.seq }
    }

    /// Returns a number that is less than that of the first heartbeat of `epoch` and greater than those of earlier
    /// epochs.
    pub const fn before_epoch(epoch: AgentEpoch) -> HeartbeatNumber {
        HeartbeatNumber { epoch, seq: SequenceNumber(0) }
    }
}

impl Attempt {
    /// Returns `true` if the machine has reported the end of the attempt.
    pub fn is_over(&self) -> bool {
        matches!(self.state, Some(TaskState::Exited(_)))
    }

    /// Returns `true` if the job of the attempt, and with it the team, is unknown.
    pub fn is_of_unknown_job(&self) -> bool {
        self.team.as_str().is_empty()
    }
}

impl Machine {
    /// Creates an unreconciled machine without known attempts from its record of the given version.
    pub(super) fn new(
        record: &MachineRecord,
        addr: SocketAddrV4,
        version: Revision,
        term: Revision,
        now: Time,
    ) -> Machine {
        Machine {
            kind: record.kind.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            addr,
            version,
            token: FencingToken(term.0.max(version.0)),
            last_heartbeat: HeartbeatNumber::NONE,
            epoch_seen_at: now,
            last_answered_at: None,
            reconciled: false,
            answer_loss: AnswerLossDetector::default(),
            loses_answers: false,
            reconciled_by: Time::ZERO,
            attempts: BTreeMap::new(),
            reclaim_at: None,
            idle_since: now,
            last_contact_at: now,
            draining: false,
            moving_to: None,
            deleting: false,
            failed_jobs: BTreeSet::new(),
            quarantined_until: Time::ZERO,
            images: Vec::new(),
            probe_in_flight: false,
            relayed_at: None,
            unanswered_calls: 0,
            listed: false,
        }
    }

    /// Returns the number of the newest heartbeat that was handled.
    pub fn last_heartbeat(&self) -> HeartbeatNumber {
        self.last_heartbeat
    }

    /// Records the number of the newest heartbeat that was handled.
    pub fn set_last_heartbeat(&mut self, number: HeartbeatNumber, now: Time) {
        if number.epoch != self.last_heartbeat.epoch {
            self.epoch_seen_at = now;
        }
        self.last_heartbeat = number;
    }

    /// Returns `true` if a leadership check has confirmed the term since the current agent epoch was first seen. Until
    /// then, the worker may have forgotten the fencing token of a newer leader.
    pub fn is_epoch_confirmed(&self, lease: &LeaderLease) -> bool {
        lease.was_confirmed_after(self.epoch_seen_at)
    }

    /// Returns the time after which no attempt on the machine can still be running, unless another leader has renewed
    /// the worker lease.
    pub fn worker_lease_end(&self, worker_lease: Span) -> Time {
        let end = self
            .last_answered_at
            .map_or(Time::ZERO, |at| at + worker_lease.upper_bound_under_drift() + WORKER_LEASE_MARGIN);
        if self.reconciled { end } else { end.max(self.reconciled_by) }
    }

    /// Returns `true` if no attempt on the machine can still be running.
    ///
    /// The end of the worker lease counts only once this leadership term has been confirmed after it. Otherwise a
    /// leader that has replaced this node may have renewed the lease.
    pub fn all_attempts_surely_ended(&self, now: Time, worker_lease: Span, leader_lease: &LeaderLease) -> bool {
        let end = self.worker_lease_end(worker_lease);
        now > end && leader_lease.confirmed_since(end)
    }

    /// Returns the resources of all attempts that are not over.
    pub fn used(&self) -> Resources {
        let live = self.attempts.values().filter(|attempt| !attempt.is_over());
        live.fold(Resources::default(), |sum, attempt| sum.plus(&attempt.needs))
    }

    /// Returns the resources of all attempts that are neither over nor to be stopped.
    pub fn committed_resources(&self) -> Resources {
        let live = self.attempts.values().filter(|attempt| !attempt.is_over() && attempt.stop_grace_s.is_none());
        live.fold(Resources::default(), |sum, attempt| sum.plus(&attempt.needs))
    }

    /// Returns `true` if all attempts on the machine are over.
    pub fn is_empty(&self) -> bool {
        self.attempts.values().all(Attempt::is_over)
    }

    /// Returns `true` if tasks may be placed on the machine.
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.reconciled
            && !self.loses_answers
            && !self.draining
            && !self.deleting
            && self.reclaim_at.is_none()
            && now >= self.quarantined_until
    }

    /// Returns the evidence in a newer heartbeat that the machine did or did not receive the answer to its previous
    /// heartbeat. If attempts were sent in that answer, the heartbeat has to report at least one of them. Otherwise the
    /// answer counts as missing if the machine still has an older fencing token although this leader has answered it.
    pub fn answer_evidence(&self, heartbeat: &WorkerHeartbeat) -> AnswerEvidence {
        let just_sent = |attempt: &Attempt| attempt.state.is_none() && attempt.sent_in == self.last_heartbeat;
        let mut sent = self
            .attempts
            .iter()
            .filter(|(_, attempt)| just_sent(attempt))
            .map(|(attempt_number, _)| attempt_number)
            .peekable();
        if sent.peek().is_none() {
            return if self.last_answered_at.is_some() && heartbeat.token < self.token {
                AnswerEvidence::Missing
            } else {
                AnswerEvidence::NotExpected
            };
        }
        let reported: HashSet<AttemptNumber> = heartbeat.tasks.iter().map(|task| task.attempt).collect();
        if sent.any(|attempt_number| reported.contains(attempt_number)) {
            AnswerEvidence::Received
        } else {
            AnswerEvidence::Missing
        }
    }

    /// Returns `true` if the image is probably in the machine's cache.
    pub fn has_image(&self, image: &Name) -> bool {
        self.images.iter().any(|cached| cached.name == *image)
    }

    /// Records that the machine fetches or uses an image of `size_gb`. The least recently used images are evicted while
    /// the cache exceeds `cache_gb`, but the new image always stays.
    pub fn record_image(&mut self, image: &Name, size_gb: f64, cache_gb: f64) {
        self.images.retain(|cached| cached.name != *image);
        self.images.push(CachedImage { name: image.clone(), size_gb });
        while self.images.len() > 1 && self.images.iter().map(|cached| cached.size_gb).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }

    /// Counts the failure of a job's task towards a quarantine of the machine. Returns `true` if this failure starts a
    /// quarantine.
    pub(super) fn record_failed_job(&mut self, job: &JobId, now: Time) -> bool {
        self.failed_jobs.insert(job.clone());
        let becomes_quarantined =
            self.failed_jobs.len() >= MIN_FAILED_JOBS_FOR_QUARANTINE && now >= self.quarantined_until;
        if becomes_quarantined {
            self.quarantined_until = now + QUARANTINE_PERIOD;
        }
        becomes_quarantined
    }

    /// Resets the count of failed jobs after a task has completed on the machine. A quarantine in progress continues.
    pub(super) fn clear_failed_jobs(&mut self) {
        self.failed_jobs.clear();
    }

    /// Removes a job from the failed jobs, and ends the machine's quarantine if too few failed jobs remain for one.
    pub(super) fn clear_failed_job(&mut self, job: &JobId) {
        if self.failed_jobs.remove(job) && self.failed_jobs.len() < MIN_FAILED_JOBS_FOR_QUARANTINE {
            self.quarantined_until = Time::ZERO;
        }
    }
}
