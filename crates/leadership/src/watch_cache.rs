//! The watch cache: a replica of the records under one prefix of the state service.
//!
//! The records are first listed page by page; from then on changes are taken from the watch of the state service. No
//! decision is based on the replica before it is synced up to the leadership term that is to be served.

use crowstall_model::model::Revision;
use crowstall_model::time::{Span, Time};
use std::collections::BTreeMap;

/// How long to wait after the first failure; doubled with every further failure.
const MIN_RETRY_DELAY: Span = Span::millis(500);
/// The longest time to wait after a failure.
const MAX_RETRY_DELAY: Span = Span::millis(16_000);
/// The time between two pages, so that a long listing does not delay other requests.
const PAGE_INTERVAL: Span = Span::millis(100);

/// The next request to the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchRequest {
    /// The next page of the listing.
    List {
        /// The last key of the previous page; none for the first page.
        after: Option<String>,
    },
    /// All changes after a revision.
    Watch {
        /// The revision up to which all changes are known.
        after: Revision,
    },
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchChange<R> {
    /// The key was written, at that revision and with that record.
    Set(String, Revision, R),
    /// The key was deleted, at that revision.
    Delete(String, Revision),
}

/// What the replica has cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchCacheStatistics {
    /// Number of requests sent.
    pub requests: u64,
    /// Records and changes received.
    pub records: u64,
    /// How many times the replica was discarded and listed again.
    pub restarts: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Stopped,
    /// Pages are being read.
    Listing {
        /// The revision of the first page. The watch starts there, since later pages may be newer.
        first_revision: Option<Revision>,
        /// The last key of the previous page.
        after: Option<String>,
    },
    /// All changes up to this revision are in the replica.
    Synced(Revision),
}

/// A replica of the records of type `R` under one prefix.
#[derive(Debug)]
pub struct WatchCache<R> {
    phase: Phase,
    records: BTreeMap<String, (Revision, R)>,
    /// The replica is discarded rather than kept with more records than this.
    max_records: usize,
    watch_interval: Span,
    /// A request is waiting for its answer. At most one is at a time.
    in_flight: bool,
    next_request_at: Time,
    retry_delay: Span,
    statistics: WatchCacheStatistics,
}

impl<R> WatchCache<R> {
    /// Creates a cache that asks for changes every `watch_interval` and keeps at most `max_records` records.
    pub fn new(watch_interval: Span, max_records: usize) -> WatchCache<R> {
        WatchCache {
            phase: Phase::Stopped,
            records: BTreeMap::new(),
            max_records,
            watch_interval,
            in_flight: false,
            next_request_at: Time::ZERO,
            retry_delay: MIN_RETRY_DELAY,
            statistics: WatchCacheStatistics::default(),
        }
    }

    /// Starts the listing if the cache is stopped and no retry delay is running.
    pub fn start(&mut self, now: Time) {
        if self.phase == Phase::Stopped && now >= self.next_request_at {
            self.phase = Phase::Listing { first_revision: None, after: None };
        }
    }

    /// Stops and discards all records. The answer to a request in flight will be ignored.
    pub fn stop(&mut self) {
        self.phase = Phase::Stopped;
        self.in_flight = false;
        self.records = BTreeMap::new();
    }

    /// Returns the request to send now, if one is due. With `at_once` the interval between requests is ignored.
    pub fn next_request(&mut self, now: Time, at_once: bool) -> Option<WatchRequest> {
        let is_due = at_once || now >= self.next_request_at;
        if self.in_flight || !is_due {
            return None;
        }
        let request = match &self.phase {
            Phase::Stopped => return None,
            Phase::Listing { after, .. } => WatchRequest::List { after: after.clone() },
            Phase::Synced(synced_revision) => WatchRequest::Watch { after: *synced_revision },
        };
        self.in_flight = true;
        self.statistics.requests += 1;
        Some(request)
    }

    /// Takes in a page of the listing, as it stood at `revision`. `more` tells whether further pages follow.
    pub fn listed(&mut self, entries: Vec<(String, Revision, R)>, more: bool, revision: Revision, now: Time) {
        let Phase::Listing { first_revision, .. } = &self.phase else { return };
        if !std::mem::take(&mut self.in_flight) {
            return;
        }
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
                // The changes made while the pages were read are asked for at once.
                self.phase = Phase::Synced(first_revision);
                self.next_request_at = now;
            }
        }
        self.enforce_max_records(now);
    }

    /// Takes in all changes from the revision that was asked for up to `revision`.
    pub fn changed(&mut self, changes: Vec<WatchChange<R>>, revision: Revision, now: Time) {
        let Phase::Synced(synced_revision) = self.phase else { return };
        if !std::mem::take(&mut self.in_flight) {
            return;
        }
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

    /// Records that the state service has compacted the changes that were asked for. All records are listed again,
    /// with a longer delay each time.
    pub fn compacted(&mut self, now: Time) {
        if std::mem::take(&mut self.in_flight) {
            self.restart(now);
        }
    }

    /// Records that a request was refused or not answered. It is retried, with a longer delay each time.
    pub fn failed(&mut self, now: Time) {
        if std::mem::take(&mut self.in_flight) {
            self.back_off(now);
        }
    }

    /// Returns the revision up to which all changes are in the replica; none while the records are being listed.
    pub fn synced_revision(&self) -> Option<Revision> {
        match self.phase {
            Phase::Synced(synced_revision) => Some(synced_revision),
            _ => None,
        }
    }

    /// Returns all records with their keys and versions, in the order of the keys.
    pub fn records(&self) -> impl Iterator<Item = (&String, Revision, &R)> {
        self.records.iter().map(|(key, (version, record))| (key, *version, record))
    }

    /// Returns how many records are in the replica.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the replica has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests and records used so far.
    pub fn statistics(&self) -> WatchCacheStatistics {
        self.statistics
    }

    /// Applies a change unless the replica already has a newer version of the key, from a page that was read after
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
