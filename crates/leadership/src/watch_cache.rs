//! The watch cache: a replica of the records under one key prefix of the state service.
//!
//! The records are first listed page by page. After that, changes are received through the watch of the state service.
//! No decision is based on the replica before it is synced at least up to the leadership term that is to be served.

use crowstall_model::model::Revision;
use crowstall_model::time::{Span, Time};
use std::collections::BTreeMap;

/// Retry delay after the first failure, which is doubled with every further failure.
const MIN_RETRY_DELAY: Span = Span::millis(500);
/// Maximum retry delay after a failure.
const MAX_RETRY_DELAY: Span = Span::millis(16_000);
/// Time between the requests for two pages, so that a long listing does not delay other requests.
const PAGE_INTERVAL: Span = Span::millis(100);

/// Request of a watch cache to the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchRequest {
    /// Reads the next page of the listing.
    List {
        /// Last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Reads all changes after a revision.
    Watch {
        /// Revision up to which all changes are known.
        after: Revision,
    },
}

/// Change of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchChange<R> {
    /// Write of a key: the key, the revision of the write, and the record written.
    Set(String, Revision, R),
    /// Deletion of a key: the key and the revision of the deletion.
    Delete(String, Revision),
}

/// Number of requests and records that a watch cache has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchCacheStatistics {
    /// Number of requests sent.
    pub requests: u64,
    /// Number of records and changes received.
    pub records: u64,
    /// Number of times that the replica was discarded in order to be listed again.
    pub restarts: u64,
}

/// Progress of a replica.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The replica is empty and sends no requests.
    Stopped,
    /// Pages of the listing are being read.
    Listing {
        /// Revision of the first page, at which the watch starts because later pages may be newer. `None` until the
        /// first page has been read.
        first_revision: Option<Revision>,
        /// Last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// The replica contains all changes up to this revision.
    Synced(Revision),
}

/// Request to the state service that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestInFlight {
    /// No request waits for its answer.
    None,
    /// The answer will be used.
    Current,
    /// The answer will be ignored, since the cache was stopped after the request was sent.
    Abandoned,
}

/// Replica of the records of type `R` under one key prefix.
#[derive(Debug)]
pub struct WatchCache<R> {
    phase: Phase,
    records: BTreeMap<String, (Revision, R)>,
    /// Maximum number of records. A replica that exceeds it is discarded.
    max_records: usize,
    watch_interval: Span,
    /// At most one request is in flight at a time, also across stops: an answer does not name its request.
    in_flight: RequestInFlight,
    next_request_at: Time,
    retry_delay: Span,
    statistics: WatchCacheStatistics,
}

impl<R> WatchCache<R> {
    /// Creates a stopped cache that requests changes every `watch_interval` and keeps at most `max_records` records.
    pub fn new(watch_interval: Span, max_records: usize) -> WatchCache<R> {
        WatchCache {
            phase: Phase::Stopped,
            records: BTreeMap::new(),
            max_records,
            watch_interval,
            in_flight: RequestInFlight::None,
            next_request_at: Time::ZERO,
            retry_delay: MIN_RETRY_DELAY,
            statistics: WatchCacheStatistics::default(),
        }
    }

    /// Starts the listing if the cache is stopped and no retry delay is in progress.
    pub fn start(&mut self, now: Time) {
        if self.phase == Phase::Stopped && now >= self.next_request_at {
            self.phase = Phase::Listing { first_revision: None, after: None };
        }
    }

    /// Stops the cache and discards all records. The answer to a request in flight will be ignored, and no other
    /// request is sent before it has arrived.
    pub fn stop(&mut self) {
        self.phase = Phase::Stopped;
        if self.in_flight == RequestInFlight::Current {
            self.in_flight = RequestInFlight::Abandoned;
        }
        self.records = BTreeMap::new();
    }

    /// Returns the request to send now, if one is due. If `at_once` is set, the interval between requests is ignored.
    pub fn next_request(&mut self, now: Time, at_once: bool) -> Option<WatchRequest> {
        let is_due = at_once || now >= self.next_request_at;
        if self.in_flight != RequestInFlight::None || !is_due {
            return None;
        }
        let request = match &self.phase {
            Phase::Stopped => return None,
            Phase::Listing { after, .. } => WatchRequest::List { after: after.clone() },
            Phase::Synced(synced_revision) => WatchRequest::Watch { after: *synced_revision },
        };
        self.in_flight = RequestInFlight::Current;
        self.statistics.requests += 1;
        Some(request)
    }

    /// Adds a page of the listing, read at `revision`. `more` is `true` if further pages follow.
    pub fn listed(&mut self, entries: Vec<(String, Revision, R)>, more: bool, revision: Revision, now: Time) {
        if !self.take_answer() {
            return;
        }
        let Phase::Listing { first_revision, .. } = &self.phase else { return };
        let first_revision = first_revision.unwrap_or(revision);
        let last_key = entries.last().map(|(key, ..)| key.clone());
        self.statistics.records += entries.len() as u64;
        self.records.extend(entries.into_iter().map(|(key, version, record)| (key, (version, record))));
        self.retry_delay = MIN_RETRY_DELAY;
        match last_key {
            Some(last_key) if more => {
                self.phase = Phase::Listing { first_revision: Some(first_revision), after: Some(last_key) };
                self.next_request_at = now + PAGE_INTERVAL;
            }
            _ => {
                // Changes made while the pages were being read are requested at once.
                self.phase = Phase::Synced(first_revision);
                self.next_request_at = now;
            }
        }
        self.enforce_max_records(now);
    }

    /// Applies all changes from the requested revision up to `revision`.
    pub fn changed(&mut self, changes: Vec<WatchChange<R>>, revision: Revision, now: Time) {
        if !self.take_answer() {
            return;
        }
        let Phase::Synced(synced_revision) = self.phase else { return };
        self.statistics.records += changes.len() as u64;
        for change in changes {
            self.apply(change);
        }
        self.retry_delay = MIN_RETRY_DELAY;
        // The answer of a lagging replica of the state service must not lower the synced revision.
        self.phase = Phase::Synced(synced_revision.max(revision));
        self.next_request_at = now + self.watch_interval;
        self.enforce_max_records(now);
    }

    /// Records that the state service has compacted the requested changes. All records are listed again, after a delay
    /// that increases with every failure.
    pub fn compacted(&mut self, now: Time) {
        if self.take_answer() {
            self.restart(now);
        }
    }

    /// Records that a request was refused or not answered. The request is retried after a delay that increases with
    /// every failure.
    pub fn failed(&mut self, now: Time) {
        if self.take_answer() {
            self.back_off(now);
        }
    }

    /// Returns the revision up to which the replica contains all changes, or `None` while the cache is stopped or the
    /// records are being listed.
    pub fn synced_revision(&self) -> Option<Revision> {
        match self.phase {
            Phase::Synced(synced_revision) => Some(synced_revision),
            _ => None,
        }
    }

    /// Returns all records with their keys and versions, sorted by key.
    pub fn records(&self) -> impl Iterator<Item = (&String, Revision, &R)> {
        self.records.iter().map(|(key, (version, record))| (key, *version, record))
    }

    /// Returns the number of records in the replica.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns `true` if the replica contains no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests and records used so far.
    pub fn statistics(&self) -> WatchCacheStatistics {
        self.statistics
    }

    /// Records that the request in flight was answered. Returns `true` if its answer is to be used.
    fn take_answer(&mut self) -> bool {
        std::mem::replace(&mut self.in_flight, RequestInFlight::None) == RequestInFlight::Current
    }

    /// Applies a change unless the replica already contains a newer version of the key, from a page that was read after
    /// the change was made.
    fn apply(&mut self, change: WatchChange<R>) {
        match change {
            WatchChange::Set(key, version, record) => {
                if self.version_of(&key).is_none_or(|known| known < version) {
                    self.records.insert(key, (version, record));
                }
            }
            WatchChange::Delete(key, version) => {
                if self.version_of(&key).is_some_and(|known| known < version) {
                    self.records.remove(&key);
                }
            }
        }
    }

    fn version_of(&self, key: &str) -> Option<Revision> {
        self.records.get(key).map(|(version, _)| *version)
    }

    fn back_off(&mut self, now: Time) {
        self.next_request_at = now + self.retry_delay;
        self.retry_delay = self.retry_delay.times(2.0).min(MAX_RETRY_DELAY);
    }

    fn restart(&mut self, now: Time) {
        self.stop();
        self.statistics.restarts += 1;
        self.back_off(now);
    }

    fn enforce_max_records(&mut self, now: Time) {
        if self.records.len() > self.max_records {
            self.retry_delay = MAX_RETRY_DELAY;
            self.restart(now);
        }
    }
}
