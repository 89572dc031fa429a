//! Tests of a watch cache against a simulated state service with pages read at different revisions, changes between two
//! pages, lost answers, compacted changes and a lagging replica of the service.

use crowstall_leadership::{WatchCache, WatchChange, WatchRequest};
use crowstall_model::model::Revision;
use crowstall_model::time::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const PAGE_SIZE: usize = 3;

/// Keys with the revision of their last write and their value.
type Keys = BTreeMap<String, (u64, u32)>;

/// Change in the history of the state service.
struct LoggedChange {
    revision: u64,
    key: String,
    /// Value that was written; `None` if the key was deleted.
    value: Option<u32>,
}

impl LoggedChange {
    fn apply_to(&self, keys: &mut Keys) {
        match self.value {
            Some(value) => _ = keys.insert(self.key.clone(), (self.revision, value)),
            None => _ = keys.remove(&self.key),
        }
    }
}

/// Simulated state service that follows the protocol of the real one.
#[derive(Default)]
struct Service {
    keys: Keys,
    log: Vec<LoggedChange>,
    revision: u64,
    /// Revision before which changes cannot be watched any more.
    compacted_until: u64,
}

impl Service {
    fn change(&mut self, rng: &mut SmallRng) {
        let key = format!("live/{}", rng.random_range(0..12));
        self.revision += 1;
        let value = rng.random_bool(0.6).then(|| rng.random());
        let change = LoggedChange { revision: self.revision, key, value };
        change.apply_to(&mut self.keys);
        self.log.push(change);
    }

    /// Returns the page of keys after `after`, and `true` if further pages follow.
    fn list(&self, after: Option<&String>) -> (Vec<(String, Revision, u32)>, bool) {
        let following = self.keys.iter().filter(|(key, _)| after.is_none_or(|after| *key > after));
        let entries: Vec<_> =
            following.map(|(key, (revision, value))| (key.clone(), Revision(*revision), *value)).collect();
        (entries.iter().take(PAGE_SIZE).cloned().collect(), entries.len() > PAGE_SIZE)
    }

    fn changes(&self, after: u64, until: u64) -> Vec<WatchChange<u32>> {
        let in_range = self.log.iter().filter(|change| change.revision > after && change.revision <= until);
        in_range
            .map(|change| match change.value {
                Some(value) => WatchChange::Set(change.key.clone(), Revision(change.revision), value),
                None => WatchChange::Delete(change.key.clone(), Revision(change.revision)),
            })
            .collect()
    }

    /// Returns all keys as of a revision.
    fn keys_at(&self, revision: u64) -> Keys {
        let mut keys = Keys::new();
        for change in self.log.iter().filter(|change| change.revision <= revision) {
            change.apply_to(&mut keys);
        }
        keys
    }

    fn has_changed_after(&self, key: &str, revision: u64) -> bool {
        self.log.iter().any(|change| change.revision > revision && change.key == key)
    }
}

/// Simulation of a cache and of the service that it replicates.
struct Run {
    seed: u64,
    rng: SmallRng,
    service: Service,
    cache: WatchCache<u32>,
    now: Time,
    /// Newest synced revision since the last listing.
    newest_synced: Revision,
    synced_checks: u32,
    compactions: u32,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut cache = WatchCache::new(Span::millis(1000), 100);
        let now = Time(1_000_000);
        cache.start(now);
        Run {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            service: Service::default(),
            cache,
            now,
            newest_synced: Revision(0),
            synced_checks: 0,
            compactions: 0,
        }
    }

    fn step(&mut self) {
        self.now += Span::millis(self.rng.random_range(1..400));
        if self.rng.random_bool(0.5) {
            self.service.change(&mut self.rng);
        }
        if self.rng.random_bool(0.02) {
            self.service.compacted_until = self.service.revision;
        }
        self.cache.start(self.now);
        let Some(request) = self.cache.next_request(self.now, self.rng.random_bool(0.2)) else { return };
        let seed = self.seed;
        assert_eq!(self.cache.next_request(self.now, true), None, "seed {seed}: two requests in flight");
        self.answer(request);
        self.check_replica();
    }

    fn answer(&mut self, request: WatchRequest) {
        // The service may have changed between an answer and its arrival.
        let lag = self.rng.random_range(0..3);
        match request {
            _ if self.rng.random_bool(0.1) => self.cache.failed(self.now),
            WatchRequest::List { after } => {
                let (entries, more) = self.service.list(after.as_ref());
                let revision = self.service.revision;
                (0..lag).for_each(|_| self.service.change(&mut self.rng));
                self.cache.listed(entries, more, Revision(revision), self.now);
            }
            WatchRequest::Watch { after } if after.0 < self.service.compacted_until => {
                self.compactions += 1;
                self.cache.compacted(self.now);
                assert_eq!(self.cache.synced_revision(), None, "seed {}: synced after a compaction", self.seed);
            }
            WatchRequest::Watch { after } => {
                let until = self.service.revision.saturating_sub(lag);
                self.cache.changed(self.service.changes(after.0, until), Revision(until), self.now);
            }
        }
    }

    /// Asserts that a synced replica differs from the service at the synced revision only in keys that have changed
    /// since.
    fn check_replica(&mut self) {
        let seed = self.seed;
        let Some(synced_revision) = self.cache.synced_revision() else {
            self.newest_synced = Revision(0);
            return;
        };
        assert!(synced_revision >= self.newest_synced, "seed {seed}: the synced revision decreases");
        self.newest_synced = synced_revision;
        let expected = self.service.keys_at(synced_revision.0);
        let replica: Keys =
            self.cache.records().map(|(key, revision, value)| (key.clone(), (revision.0, *value))).collect();
        for (key, (revision, value)) in &replica {
            let is_same = expected.get(key) == Some(&(*revision, *value));
            assert!(
                is_same || *revision > synced_revision.0,
                "seed {seed}: {key} has value {value} of revision {revision} in a replica synced to {synced_revision}"
            );
        }
        let missing = expected.keys().find(|key| !replica.contains_key(*key));
        let has_changed = |key: &String| self.service.has_changed_after(key, synced_revision.0);
        assert!(
            missing.is_none_or(has_changed),
            "seed {seed}: {missing:?} is missing from the replica, which is synced to {synced_revision}"
        );
        self.synced_checks += 1;
    }
}

#[test]
fn synced_replica_equals_the_records_at_its_synced_revision() {
    let (mut checked, mut compactions) = (0, 0);
    for seed in 0..300 {
        let mut run = Run::new(seed);
        for _ in 0..400 {
            run.step();
        }
        checked += run.synced_checks;
        compactions += run.compactions;
    }
    assert!(
        checked > 10_000 && compactions > 100,
        "only {checked} checks of synced replicas and {compactions} compactions"
    );
}

#[test]
fn failures_lengthen_the_retry_delay_and_too_many_records_discard_the_replica() {
    let mut cache: WatchCache<u32> = WatchCache::new(Span::millis(1000), 10);
    let mut now = Time(1_000_000);
    cache.start(now);
    let mut requests = 0;
    for _ in 0..600 {
        now += Span::millis(100);
        if cache.next_request(now, false).is_some() {
            requests += 1;
            cache.failed(now);
        }
    }
    assert!((4..12).contains(&requests), "{requests} requests in a minute of failures");
    now += Span::millis(60_000);
    assert!(cache.next_request(now, false).is_some());
    let entries = (0..11).map(|index| (format!("live/{index:02}"), Revision(index + 1), 0)).collect();
    cache.listed(entries, false, Revision(11), now);
    assert_eq!((cache.synced_revision(), cache.len()), (None, 0), "more records than the cache may keep");
}

/// Guards against a page that was requested before a stop and is taken for the first page of the next listing, so that
/// the replica counts as synced although the pages before it were never read.
#[test]
fn page_requested_before_a_stop_is_ignored() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut service = Service::default();
    (0..100).for_each(|_| service.change(&mut rng));
    assert!(service.keys.len() > 2 * PAGE_SIZE, "too few keys for several pages");
    let mut cache = WatchCache::new(Span::millis(1000), 100);
    let mut now = Time(1_000_000);
    cache.start(now);
    let mut next_page = |cache: &mut WatchCache<u32>, late_page: Option<(Vec<_>, bool)>| {
        now += Span::millis(200);
        cache.start(now);
        let request = cache.next_request(now, true);
        if let Some((entries, more)) = late_page {
            cache.listed(entries, more, Revision(service.revision), now);
        }
        let Some(WatchRequest::List { after }) = request else { return None };
        let (entries, more) = service.list(after.as_ref());
        Some((after, entries, more, now))
    };
    let (_, entries, more, at) = next_page(&mut cache, None).expect("the first page is requested");
    cache.listed(entries, more, Revision(service.revision), at);
    let (after, late_entries, late_more, _) = next_page(&mut cache, None).expect("the second page is requested");
    assert!(after.is_some(), "the second request reads the first page");
    cache.stop();
    let mut late_page = Some((late_entries, late_more));
    for _ in 0..20 {
        if let Some((_, entries, more, at)) = next_page(&mut cache, late_page.take()) {
            cache.listed(entries, more, Revision(service.revision), at);
        }
    }
    assert_eq!(cache.synced_revision(), Some(Revision(service.revision)));
    assert_eq!(cache.len(), service.keys.len(), "records are missing from the synced replica");
}
