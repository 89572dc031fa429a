//! Simulated state service: keys with revisions, leases, transactions and a watch.

use super::{CONTROLLERS, DisabledSafeguard, MS, MaxDelay, Probability, SEC, TemporaryFault};
use crowstall::model::*;
use crowstall::protocol::CallError;
use crowstall::protocol::state::{Change, Condition, Entry, StateAnswer, StateCall, WatchedChange};
use crowstall::storage::rate_limiter::RateLimiter;
use crowstall::time::Time;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Maximum number of entries in a page of a list.
const PAGE_SIZE: usize = 20;

/// Maximum number of changes in the watch's log.
const LOG_LENGTH: usize = 10_000;

/// Maximum number of changes in the watch's log under [`WatchBehaviour::CompactsSoon`].
const SHORT_LOG_LENGTH: usize = 40;

/// Prefix of the shards' keys.
const SHARD_PREFIX: &str = "shard/";

/// Behaviour of the watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchBehaviour {
    #[default]
    Normal,
    /// The log is so short that most watch calls are answered with 410.
    CompactsSoon,
    /// Changes are delivered seconds late.
    Lags,
}

/// Limits of the service on requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    pub value_bytes: usize,
    pub changes_per_transaction: usize,
    pub writes_per_second: usize,
}

impl Default for RequestLimits {
    /// Returns a write limit of 60/s, and the present size limits of the platform's settings file.
    fn default() -> RequestLimits {
        RequestLimits { value_bytes: 4096, changes_per_transaction: 8, writes_per_second: 60 }
    }
}

/// Lease to which keys can be bound.
struct Lease {
    expires_at: u64,
    duration: u64,
}

/// Deleted entry that can still be read, see [`DisabledSafeguard::ConsistentReads`].
struct RemovedEntry {
    removed_at: u64,
    entry: Entry,
}

/// Number of writes requested in one second.
#[derive(Default)]
struct WriteCount {
    second: u64,
    count: usize,
}

/// Earlier state of the shards' keys, which one controller gets when it lists them.
struct StaleListing {
    /// Controller that gets the stale listing.
    controller: usize,
    entries: Vec<Entry>,
}

/// State of the service, with its injected faults and its counters.
#[derive(Default)]
pub struct StateService {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// Latest changes, oldest first.
    log: VecDeque<WatchedChange>,
    /// Revision of the latest change that was removed from the log.
    compacted_until: u64,
    /// Recently deleted entries, for [`DisabledSafeguard::ConsistentReads`].
    recently_removed: HashMap<String, RemovedEntry>,
    /// Writes of the current second.
    writes: WriteCount,

    pub watch_behaviour: WatchBehaviour,
    /// Limits on requests.
    pub request_limits: RequestLimits,
    /// Limit on the requests per second, with bursts of one second's worth. `None`: no limit.
    pub request_rate: Option<RateLimiter>,
    /// End of the outage in which all requests are refused.
    pub outage_until: u64,
    /// End of the period in which the requests of a controller are refused, by controller index.
    pub refused_until: [u64; CONTROLLERS],
    /// Controller whose requests are lost, except reads of single live records.
    pub only_job_reads_from: Option<usize>,
    /// Stale listing of the shards' keys for one controller.
    stale_shard_listing: Option<StaleListing>,
    /// Controller whose requests are executed but not answered.
    pub unanswered_controller: Option<TemporaryFault<usize>>,
    /// Fault that executes transactions 2 to 12 s late and without an answer.
    pub delayed_commits: Option<TemporaryFault<Probability>>,
    /// Fault that loses answers to transactions.
    pub lost_commit_answers: Option<TemporaryFault<Probability>>,
    /// Fault that delays answers.
    pub slow_answers: Option<TemporaryFault<MaxDelay>>,
    /// Only controller whose answers are delayed. `None`: the answers to all controllers are.
    pub slow_answers_to: Option<usize>,
    /// Prefix whose keys can neither be listed nor written.
    pub refused_prefix: Option<TemporaryFault<&'static str>>,

    /// Number of watch calls, by controller index.
    pub watches: [u64; CONTROLLERS],
    /// Number of changes delivered by the watch.
    pub changes_delivered: u64,
    /// Number of reads of single keys, by controller index.
    pub reads: [u64; CONTROLLERS],
    /// Number of delayed transactions that were committed.
    pub delayed_commits_applied: u64,
    /// Number of requests that concerned keys with the refused prefix.
    pub refused_prefix_requests: u64,
    /// Number of requests refused because of the limits on requests and on writes per second.
    pub over_limit_refusals: u64,
    /// Oversized keys, or else the conditions, of the transactions that were rejected because of their size.
    pub rejected_for_size: Vec<String>,
    /// Number of leadership terms that have begun.
    pub leadership_acquisitions: u64,
}

/// Faults.
impl StateService {
    /// Refuses all requests for a while. After an outage every lease has its full duration again.
    pub fn start_outage(&mut self, now: u64, duration: u64) {
        self.outage_until = now + duration;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + duration + lease.duration;
        }
    }

    /// Returns `true` if the service refuses no controller.
    pub fn is_available(&self, now: u64) -> bool {
        now >= self.outage_until && self.refused_until.iter().all(|until| now >= *until)
    }

    /// Freezes the shards' keys as one controller sees them in listings.
    pub fn freeze_shard_listing(&mut self, node: usize) {
        let entries = self.keys.values().filter(|entry| entry.key.starts_with(SHARD_PREFIX)).cloned().collect();
        self.stale_shard_listing = Some(StaleListing { controller: node, entries });
    }
}

/// Direct access for tests and for the simulation.
impl StateService {
    /// Writes a value.
    pub fn put(&mut self, key: &str, value: serde_json::Value) {
        self.revision += 1;
        self.set(key.to_string(), value, None);
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&serde_json::Value> {
        self.keys.get(key).map(|entry| &entry.value)
    }

    /// Returns the label of a shard's leader.
    pub fn leader(&self, shard: u32) -> Option<String> {
        let entry = self.keys.get(&format!("{SHARD_PREFIX}{shard}"))?;
        entry.value["node"].as_str().map(str::to_string)
    }

    /// Removes expired leases and the keys that are bound to them, except during an outage.
    pub fn expire_leases(&mut self, now: u64) {
        if now < self.outage_until {
            return;
        }
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.leases.remove(&id);
            let bound = self.keys.values().filter(|entry| entry.lease == Some(LeaseId(id)));
            for key in bound.map(|entry| entry.key.clone()).collect::<Vec<_>>() {
                self.keys.remove(&key);
                self.revision += 1;
                self.append_to_log(WatchedChange::Delete { key, version: Revision(self.revision) });
            }
        }
    }
}

/// Requests.
impl StateService {
    /// Executes a request of a controller.
    pub fn handle(
        &mut self,
        now: u64,
        node: usize,
        call: &StateCall,
        disabled: DisabledSafeguard,
    ) -> Result<StateAnswer, CallError> {
        self.check_access(now, node, call)?;
        self.check_request_rate(now)?;
        self.check_write_rate(now, call)?;
        Ok(match call {
            StateCall::Get(key) => self.read(now, node, key, disabled),
            StateCall::List { prefix, after } => self.list(node, prefix, after.as_deref()),
            StateCall::Watch { prefix, after } => {
                self.watches[node] += 1;
                self.changes_since(prefix, *after, now)
            }
            StateCall::Grant { ttl_ms } => self.grant_lease(now, ttl_ms * MS),
            StateCall::KeepAlive(id) => match self.leases.get_mut(&id.0) {
                Some(lease) => {
                    lease.expires_at = now + lease.duration;
                    StateAnswer::KeptAlive
                }
                None => StateAnswer::LeaseExpired,
            },
            StateCall::Commit { conditions, changes } => {
                self.check_size(conditions, changes)?;
                self.commit(now, conditions, changes, disabled)
            }
        })
    }

    /// Refuses requests that are affected by a fault.
    fn check_access(&mut self, now: u64, node: usize, call: &StateCall) -> Result<(), CallError> {
        if now < self.outage_until || now < self.refused_until[node] {
            return Err(CallError::Refused { over_limit: false });
        }
        let reads_job = matches!(call, StateCall::Get(key) if key.starts_with("live/"));
        if self.only_job_reads_from == Some(node) && !reads_job {
            return Err(CallError::NoAnswer);
        }
        let Some(refused) = self.refused_prefix.and_then(|fault| fault.active(now)) else { return Ok(()) };
        let concerns_refused = match call {
            StateCall::List { prefix, .. } => *prefix == refused,
            StateCall::Commit { changes, .. } => {
                changes.iter().any(|change| matches!(change, Change::Put { key, .. } if key.starts_with(refused)))
            }
            _ => false,
        };
        if concerns_refused {
            self.refused_prefix_requests += 1;
            return Err(CallError::Refused { over_limit: false });
        }
        Ok(())
    }

    /// Refuses requests over the limit on requests per second.
    fn check_request_rate(&mut self, now: u64) -> Result<(), CallError> {
        if self.request_rate.as_mut().is_some_and(|rate| !rate.take(Time(now), 1.0)) {
            self.over_limit_refusals += 1;
            return Err(CallError::Refused { over_limit: true });
        }
        Ok(())
    }

    /// Counts the writes of the current second and refuses those over the limit.
    fn check_write_rate(&mut self, now: u64, call: &StateCall) -> Result<(), CallError> {
        let second = now / SEC;
        if self.writes.second != second {
            self.writes = WriteCount { second, count: 0 };
        }
        self.writes.count += call.writes();
        if self.writes.count > self.request_limits.writes_per_second {
            self.over_limit_refusals += 1;
            return Err(CallError::Refused { over_limit: true });
        }
        Ok(())
    }

    /// Rejects a transaction that is too large. Rejections are recorded for the tests: a controller that repeats such a
    /// transaction is faulty, because the same size is rejected again.
    fn check_size(&mut self, conditions: &[Condition], changes: &[Change]) -> Result<(), CallError> {
        let limits = self.request_limits;
        let large_key = changes.iter().find_map(|change| match change {
            Change::Put { key, value, .. } if value.to_string().len() > limits.value_bytes => Some(key.clone()),
            _ => None,
        });
        let has_too_many =
            changes.len() > limits.changes_per_transaction || conditions.len() > 4 * limits.changes_per_transaction;
        if large_key.is_some() || has_too_many {
            self.rejected_for_size.push(large_key.unwrap_or_else(|| format!("{conditions:?}")));
            return Err(CallError::Unexpected(400));
        }
        Ok(())
    }

    fn read(&mut self, now: u64, node: usize, key: &str, disabled: DisabledSafeguard) -> StateAnswer {
        self.reads[node] += 1;
        let is_shown = |removed_at: u64| disabled == DisabledSafeguard::ConsistentReads && now < removed_at + SEC;
        let removed = self.recently_removed.get(key).filter(|removed| is_shown(removed.removed_at));
        let removed = removed.map(|removed| &removed.entry);
        match self.keys.get(key).or(removed) {
            Some(entry) => StateAnswer::Found(entry.clone()),
            None => StateAnswer::Missing,
        }
    }

    fn list(&self, node: usize, prefix: &str, after: Option<&str>) -> StateAnswer {
        let revision = Revision(self.revision);
        let stale = self.stale_shard_listing.as_ref();
        if let Some(stale) = stale.filter(|stale| stale.controller == node && prefix == SHARD_PREFIX) {
            return StateAnswer::Page { entries: stale.entries.clone(), more: false, revision };
        }
        let is_listed =
            |entry: &&Entry| entry.key.starts_with(prefix) && after.is_none_or(|after| entry.key.as_str() > after);
        let mut entries: Vec<Entry> = self.keys.values().filter(is_listed).take(PAGE_SIZE + 1).cloned().collect();
        let more = entries.len() > PAGE_SIZE;
        entries.truncate(PAGE_SIZE);
        StateAnswer::Page { entries, more, revision }
    }

    /// Returns the changes of keys with a prefix after a revision.
    fn changes_since(&mut self, prefix: &str, after: Revision, now: u64) -> StateAnswer {
        if after.0 < self.compacted_until {
            return StateAnswer::Compacted;
        }
        // A lagging watch delivers at most one revision per call, and only during one second out of ten.
        let until = match self.watch_behaviour {
            WatchBehaviour::Lags => after.0 + u64::from((now / SEC).is_multiple_of(10)),
            _ => self.revision,
        };
        let is_delivered = |change: &&WatchedChange| {
            change.key().starts_with(prefix) && change.version() > after && change.version().0 <= until
        };
        let log: Vec<WatchedChange> = self.log.iter().filter(is_delivered).cloned().collect();
        self.changes_delivered += log.len() as u64;
        StateAnswer::Changes { log, revision: Revision(until) }
    }

    fn grant_lease(&mut self, now: u64, duration: u64) -> StateAnswer {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { expires_at: now + duration, duration });
        StateAnswer::Granted(LeaseId(self.last_lease))
    }

    /// Commits a transaction if its leases have not expired and its conditions hold.
    fn commit(
        &mut self,
        now: u64,
        conditions: &[Condition],
        changes: &[Change],
        disabled: DisabledSafeguard,
    ) -> StateAnswer {
        let lease_expired = |change: &Change| match change {
            Change::Put { lease: Some(lease), .. } => !self.leases.contains_key(&lease.0),
            _ => false,
        };
        if changes.iter().any(lease_expired) {
            return StateAnswer::LeaseExpired;
        }
        let failed = conditions.iter().filter(|condition| self.version(&condition.key) != condition.version.0);
        let failed: Vec<String> = failed.map(|condition| condition.key.clone()).collect();
        if !failed.is_empty() && disabled != DisabledSafeguard::WriteConditions {
            return StateAnswer::Conflict(failed);
        }
        self.revision += 1;
        for change in changes {
            self.apply(now, change, disabled);
        }
        StateAnswer::Committed(Revision(self.revision))
    }

    /// Applies one change of a transaction.
    fn apply(&mut self, now: u64, change: &Change, disabled: DisabledSafeguard) {
        match change {
            Change::Put { key, value, .. }
                if disabled == DisabledSafeguard::CancellationRecords
                    && key.starts_with("end/")
                    && value["state"] == "cancelled" => {}
            Change::Put { key, value, lease } => {
                let mut value = value.clone();
                if disabled == DisabledSafeguard::LeadershipBounds
                    && let Some(bounds) = value.get_mut("terms")
                {
                    *bounds = serde_json::json!({ "decides_ms": 0, "tells_ms": 0 });
                }
                let is_leadership = key.strip_prefix(SHARD_PREFIX).is_some_and(|shard| !shard.contains('/'));
                self.leadership_acquisitions += u64::from(is_leadership);
                self.set(key.clone(), value, *lease);
            }
            Change::Delete(key) => {
                self.append_to_log(WatchedChange::Delete { key: key.clone(), version: Revision(self.revision) });
                let removed = self.keys.remove(key);
                if let Some(entry) = removed.filter(|_| disabled == DisabledSafeguard::ConsistentReads) {
                    self.recently_removed.insert(key.clone(), RemovedEntry { removed_at: now, entry });
                }
            }
        }
    }

    /// Sets a key at the current revision.
    fn set(&mut self, key: String, value: serde_json::Value, lease: Option<LeaseId>) {
        let version = Revision(self.revision);
        self.append_to_log(WatchedChange::Set { key: key.clone(), value: value.clone(), version });
        self.keys.insert(key.clone(), Entry { key, value, version, lease });
    }

    /// Appends a change to the watch's log and removes the oldest changes beyond the maximum length.
    fn append_to_log(&mut self, change: WatchedChange) {
        self.log.push_back(change);
        let max_length = match self.watch_behaviour {
            WatchBehaviour::CompactsSoon => SHORT_LOG_LENGTH,
            WatchBehaviour::Normal | WatchBehaviour::Lags => LOG_LENGTH,
        };
        while self.log.len() > max_length {
            self.compacted_until = self.log.pop_front().map_or(self.compacted_until, |change| change.version().0);
        }
    }

    /// Returns the revision at which a key was last set, or 0 if the key does not exist.
    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |entry| entry.version.0)
    }
}
