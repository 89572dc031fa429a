//! The replica: a copy of the job and machine records, kept by the node that would be the first to replace the leader
//! of a shard, so that little has to be read after leadership was acquired.
//!
//! The copy is made through the watch of the state service, never from messages of the leader. A new leader uses it
//! only after it is synced up to the revision at which leadership was acquired and a later leadership check has
//! confirmed the term.

use super::controller::Controller;
use super::leadership_term::LeadershipTerm;
use super::state_admission::TrafficClass;
use crate::config::Settings;
use crate::model::{MachineId, Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Entry, StateAnswer, StateCall, WatchedChange};
use crate::storage::keys;
use crate::storage::records::{LiveRecord, MachineRecord};
use crate::time::{Span, Time};
use crowstall_leadership::membership::PEER_TIMEOUT;
use crowstall_leadership::{WatchCache, WatchChange, WatchRequest};
use serde::de::DeserializeOwned;

/// Time for which the loading of a shard waits until the replica is synced up to the shard's term. After that the
/// records are read from the state service as without a replica.
const SYNC_TIMEOUT: Span = Span::millis(400);
/// Time for which the replica is kept after this node has ceased to be the first that would replace a leader.
const RETENTION: Span = Span::millis(10_000);
/// Interval at which the size of the replica and the number of its requests are logged.
const STATUS_LOG_INTERVAL: Span = Span::millis(60_000);

/// Kind of records that a request for the replica reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplicatedRecords {
    /// Records of jobs that are queued, running or waiting for prerequisites.
    Jobs,
    /// Records of machines.
    Machines,
}

impl ReplicatedRecords {
    /// Returns the key prefix of these records.
    fn prefix(self) -> &'static str {
        match self {
            ReplicatedRecords::Jobs => keys::LIVE,
            ReplicatedRecords::Machines => keys::MACHINES,
        }
    }
}

/// Time at which requests for the replica are sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollTiming {
    /// At the regular interval.
    WhenDue,
    /// Immediately, because a shard waits for the replica.
    AtOnce,
}

/// Copies of the job and machine records. Disabled unless the operators' properties enable the standby and its replica.
pub(super) struct Replica {
    enabled: bool,
    jobs: WatchCache<LiveRecord>,
    machines: WatchCache<MachineRecord>,
    /// Time at which this node was last the first that would replace a leader; `None` while no replica is kept.
    last_needed: Option<Time>,
    status_logged_at: Time,
}

/// Shard whose loading waits for the replica.
struct WaitingShard {
    leadership: LeadershipTerm,
    deadline: Time,
}

/// State of the replica relative to the term of a shard that waits for it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SyncState {
    /// The replica contains every change up to the term.
    Synced,
    /// The replica is not synced up to the term yet, and the deadline has not passed.
    Pending,
    /// The replica is empty or still being listed, or it was not synced before the deadline.
    Unusable,
}

impl Replica {
    /// Creates an empty replica.
    pub fn new(settings: &Settings) -> Replica {
        let properties = &settings.properties.standby;
        Replica {
            enabled: properties.enabled && properties.replica_interval > Span::ZERO,
            jobs: WatchCache::new(properties.replica_interval, properties.max_replicated),
            machines: WatchCache::new(properties.replica_interval, properties.max_replicated),
            last_needed: None,
            status_logged_at: Time::ZERO,
        }
    }

    /// Returns the revision up to which both copies contain every change, or `None` while a copy is empty or being
    /// listed.
    fn synced_revision(&self) -> Option<Revision> {
        Some(self.jobs.synced_revision()?.min(self.machines.synced_revision()?))
    }

    fn sync_state(&self, shard: &WaitingShard, now: Time) -> SyncState {
        match self.synced_revision() {
            Some(revision) if revision >= shard.leadership.term => SyncState::Synced,
            Some(_) if now < shard.deadline => SyncState::Pending,
            _ => SyncState::Unusable,
        }
    }

    /// Starts the copies, or continues them if they have been started.
    fn start(&mut self, now: Time) {
        if self.last_needed.is_none() {
            log::info!("replica: started, since this node would be the first to replace a leader");
        }
        self.last_needed = Some(now);
        self.jobs.start(now);
        self.machines.start(now);
    }

    /// Stops the copies and discards the records.
    fn stop(&mut self) {
        if self.last_needed.take().is_some() {
            log::info!("replica: stopped, its job and machine records are discarded");
        }
        self.jobs.stop();
        self.machines.stop();
    }

    /// Returns `true` if the replica has not been needed for the retention time, so that it is to be discarded.
    fn has_outlived_retention(&self, now: Time) -> bool {
        self.last_needed.is_none_or(|last_needed| now.since(last_needed) >= RETENTION)
    }

    /// Returns the requests to send now and marks them as in flight.
    fn next_requests(&mut self, now: Time, timing: PollTiming) -> Vec<(ReplicatedRecords, WatchRequest)> {
        let at_once = timing == PollTiming::AtOnce;
        let jobs = self.jobs.next_request(now, at_once).map(|request| (ReplicatedRecords::Jobs, request));
        let machines = self.machines.next_request(now, at_once).map(|request| (ReplicatedRecords::Machines, request));
        jobs.into_iter().chain(machines).collect()
    }

    fn answered(&mut self, records: ReplicatedRecords, answer: StateResult, now: Time) {
        match records {
            ReplicatedRecords::Jobs => apply_answer(&mut self.jobs, answer, now),
            ReplicatedRecords::Machines => apply_answer(&mut self.machines, answer, now),
        }
    }

    fn log_status(&mut self, now: Time) {
        if self.last_needed.is_none() || now.since(self.status_logged_at) < STATUS_LOG_INTERVAL {
            return;
        }
        self.status_logged_at = now;
        let (jobs, machines) = (self.jobs.statistics(), self.machines.statistics());
        log::info!(
            "replica: {} jobs and {} machines at revision {}; {} requests sent, {} records received, {} restarts",
            self.jobs.len(),
            self.machines.len(),
            self.synced_revision().map_or("none".to_string(), |revision| revision.to_string()),
            jobs.requests + machines.requests,
            jobs.records + machines.records,
            jobs.restarts + machines.restarts
        );
    }
}

/// Applies an answer of the state service to a copy.
fn apply_answer<R: DeserializeOwned>(copy: &mut WatchCache<R>, answer: StateResult, now: Time) {
    match answer {
        Ok(StateAnswer::Page { entries, more, revision }) => {
            copy.listed(entries.into_iter().filter_map(parse_entry).collect(), more, revision, now);
        }
        Ok(StateAnswer::Changes { log, revision }) => {
            copy.changed(log.into_iter().filter_map(parse_change).collect(), revision, now);
        }
        Ok(StateAnswer::Compacted) => copy.compacted(now),
        _ => copy.failed(now),
    }
}

fn parse_entry<R: DeserializeOwned>(entry: Entry) -> Option<(String, Revision, R)> {
    let record = parse_record(&entry.key, entry.value)?;
    Some((entry.key, entry.version, record))
}

fn parse_change<R: DeserializeOwned>(change: WatchedChange) -> Option<WatchChange<R>> {
    match change {
        WatchedChange::Set { key, value, version } => {
            let record = parse_record(&key, value)?;
            Some(WatchChange::Set(key, version, record))
        }
        WatchedChange::Delete { key, version } => Some(WatchChange::Delete(key, version)),
    }
}

fn parse_record<R: DeserializeOwned>(key: &str, value: serde_json::Value) -> Option<R> {
    let log_error = |error| log::error!("replica: record {key} can't be read and is skipped: {error}");
    serde_json::from_value(value).map_err(log_error).ok()
}

impl Controller {
    /// Maintains the replica while this node would be the first to replace the leader of a shard, and loads the shards
    /// that wait for it.
    pub(super) fn replica_tick(&mut self) {
        // Until heartbeats from the peers have arrived, every node would consider itself the first.
        if !self.replica.enabled || self.now.since(self.started) < PEER_TIMEOUT {
            return;
        }
        let is_loading = self.is_waiting_for_replica();
        if self.is_first_successor() && self.holds_lease() {
            self.replica.start(self.now);
        } else if !is_loading && self.replica.has_outlived_retention(self.now) {
            self.replica.stop();
        }
        self.replica.log_status(self.now);
        self.poll_replica(if is_loading { PollTiming::AtOnce } else { PollTiming::WhenDue });
        self.load_from_replica();
    }

    /// Returns `true` if this node would be the first to replace the leader of a shard that accepts the teams' jobs.
    fn is_first_successor(&self) -> bool {
        let mut shards = (0..self.settings.team_shards()).map(ShardId);
        shards.any(|shard| {
            let leader = self.membership.leader_of(shard).filter(|leader| **leader != self.settings.label);
            leader.is_some_and(|leader| self.membership.rank(leader, self.now) == 0)
        })
    }

    /// Returns `true` if the loading of a shard waits for the replica.
    fn is_waiting_for_replica(&self) -> bool {
        self.shards.values().any(|shard| shard.loading.replica_wait_until.is_some())
    }

    /// Sends the requests for the replica that are due. At the regular interval, requests are sent only if admitted;
    /// requests that a shard waits for are sent in any case.
    fn poll_replica(&mut self, timing: PollTiming) {
        if timing == PollTiming::WhenDue && !self.admits(TrafficClass::BackgroundRead) {
            return;
        }
        for (records, watch_request) in self.replica.next_requests(self.now, timing) {
            self.admit_next_step(TrafficClass::BackgroundRead);
            let prefix = records.prefix();
            let request = match watch_request {
                WatchRequest::List { after } => StateCall::List { prefix, after },
                WatchRequest::Watch { after } => StateCall::Watch { prefix, after },
            };
            self.call_state(request, records);
        }
    }

    /// Applies an answer of the state service to the replica, and loads the shards that wait for it.
    pub(super) fn replica_answered(&mut self, records: ReplicatedRecords, answer: StateResult) {
        self.replica.answered(records, answer, self.now);
        if self.is_waiting_for_replica() {
            self.poll_replica(PollTiming::AtOnce);
            self.load_from_replica();
        }
    }

    /// Starts to load a shard whose leadership was just acquired, from the replica if both of its copies are listed.
    pub(super) fn load_records(&mut self, leadership: LeadershipTerm) {
        let id = leadership.shard;
        if self.replica.synced_revision().is_none() {
            return self.load_jobs(leadership, None);
        }
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.loading.replica_wait_until = Some(self.now + SYNC_TIMEOUT);
        }
        // The answer to a request in flight may contain only changes made before the acquisition. If there is one, the
        // next request is sent once it is answered.
        self.poll_replica(PollTiming::AtOnce);
    }

    /// Loads the waiting shards up to whose terms the replica is synced. The records of shards for which the replica is
    /// unusable are read from the state service.
    fn load_from_replica(&mut self) {
        for shard in self.shards_waiting_for_replica() {
            let leadership = shard.leadership;
            let sync_state = self.replica.sync_state(&shard, self.now);
            if sync_state == SyncState::Pending {
                continue;
            }
            if let Some(waiting) = self.shards.get_mut(&leadership.shard) {
                waiting.loading.replica_wait_until = None;
            }
            if sync_state == SyncState::Synced {
                self.load_shard_from_replica(leadership);
            } else {
                let LeadershipTerm { shard, term } = leadership;
                log::info!(
                    "shard {shard}: the replica is not synced up to term {term}; \
                     reading the records from the state service"
                );
                self.load_jobs(leadership, None);
            }
        }
    }

    fn shards_waiting_for_replica(&self) -> Vec<WaitingShard> {
        let shards = self.shards.values();
        let waiting = shards.filter_map(|shard| {
            let deadline = shard.loading.replica_wait_until?;
            Some(WaitingShard { leadership: shard.leadership_term(), deadline })
        });
        waiting.collect()
    }

    /// Loads a shard from the replica, which is synced up to the shard's term.
    fn load_shard_from_replica(&mut self, leadership: LeadershipTerm) {
        let id = leadership.shard;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        for (_, version, record) in self.replica.jobs.records() {
            if record.deciding_shard() == id {
                shard.load_job(record.clone(), version);
            }
        }
        let machine_records = self.replica.machines.records();
        let machines: Vec<(MachineId, Revision, MachineRecord)> =
            machine_records.map(|(key, version, record)| (keys::machine_of(key), version, record.clone())).collect();
        for (machine, version, record) in machines {
            self.load_machine_record(leadership, machine, version, record);
        }
        self.records_read(id);
    }
}
