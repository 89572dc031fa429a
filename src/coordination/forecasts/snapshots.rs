//! Snapshots of what was learned of run times, in the state service.
//!
//! Every shard has a snapshot. The snapshots of all shards are read once after leadership was acquired, and the
//! shard's own is written from time to time.

use super::super::controller::Controller;
use super::store::ForecastStore;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{Name, Revision, ShardId};
use crate::protocol::CallError;
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, Condition, Entry, StateAnswer, StateCall};
use crate::storage::keys;
use crate::storage::records::{ForecastRecord, to_value};
use crate::time::{Span, Time};
use crowstall_forecast::snapshot::{self, MergeOutcome};

/// How long a failed call is not repeated at first. The pause doubles with each failure.
const MIN_RETRY_PAUSE: Span = Span::millis(10_000);

/// How long a failed call is not repeated at most.
const MAX_RETRY_PAUSE: Span = Span::millis(600_000);

/// How many bytes a record has besides the snapshot.
const RECORD_OVERHEAD: usize = 64;

/// A call to the state service that reads or writes snapshots.
pub(in crate::coordination) enum ForecastOperation {
    /// Reads the snapshots of all shards.
    Load { leadership: LeadershipTerm },
    /// Saves the snapshot of a shard.
    Save { leadership: LeadershipTerm },
}

/// How a shard's snapshot stands.
pub(super) struct SnapshotState {
    /// The version of the record. None until all snapshots were read; nothing is written before.
    version: Option<Revision>,
    /// Whether a read or a write is in flight.
    call_in_flight: bool,
    /// When the next call may be sent.
    next_call: Time,
    /// How long the next failed call is not repeated.
    retry_pause: Span,
    /// How many attempts had been learned from by the time of the last snapshot, the one in flight included.
    saved: u64,
    /// How many attempts were learned from.
    learned: u64,
    /// Whether it was logged that a snapshot can't be read.
    warned: bool,
}

impl SnapshotState {
    /// Nothing has been read yet.
    pub fn new(now: Time) -> SnapshotState {
        SnapshotState {
            version: None,
            call_in_flight: false,
            next_call: now,
            retry_pause: MIN_RETRY_PAUSE,
            saved: 0,
            learned: 0,
            warned: false,
        }
    }

    /// Counts one more attempt that was learned from.
    pub fn count_learned(&mut self) {
        self.learned += 1;
    }

    /// Whether the snapshots have to be read or the shard's own has to be written now.
    fn is_due(&self, now: Time) -> bool {
        let is_wanted = self.version.is_none() || self.learned > self.saved;
        is_wanted && !self.call_in_flight && now >= self.next_call
    }

    /// A snapshot is being written. The next one follows after `interval` at the earliest.
    fn save_sent(&mut self, interval: Span, now: Time) {
        self.call_in_flight = true;
        self.saved = self.learned;
        self.next_call = now + interval;
    }

    fn succeeded(&mut self, version: Revision) {
        self.version = Some(version);
        self.call_in_flight = false;
        self.retry_pause = MIN_RETRY_PAUSE;
    }

    /// A call failed: it is repeated later, after a longer pause each time.
    fn failed(&mut self, now: Time) {
        self.call_in_flight = false;
        self.next_call = now + self.retry_pause;
        self.retry_pause = self.retry_pause.times(2.0).min(MAX_RETRY_PAUSE);
    }

    /// A snapshot was refused, and so not written.
    fn save_refused(&mut self, now: Time) {
        self.saved = 0;
        self.failed(now);
    }

    /// It is not known whether a snapshot was written. The record has to be read again; its contents are known here
    /// already.
    fn save_unanswered(&mut self, now: Time) {
        self.saved = 0;
        self.version = None;
        self.failed(now);
    }
}

impl ForecastStore {
    /// Merges the snapshots of a page into what was learned, the shard's own first.
    fn merge_snapshots(&mut self, shard: ShardId, entries: &[Entry], forget: &[Name], now: Time) {
        let own_key = keys::forecast_key(shard);
        let (own, others): (Vec<&Entry>, Vec<&Entry>) = entries.iter().partition(|entry| entry.key == own_key);
        for entry in own.into_iter().chain(others) {
            self.merge_snapshot(entry, forget, now);
        }
    }

    fn merge_snapshot(&mut self, entry: &Entry, forget: &[Name], now: Time) {
        let record = serde_json::from_value::<ForecastRecord>(entry.value.clone()).map_err(|e| e.to_string());
        match record.and_then(|record| snapshot::read(&record.snapshot).map_err(|e| e.to_string())) {
            Ok(snapshot) => {
                let merged = self.learner.merge(&snapshot, now);
                log::info!("forecast snapshot {}: {} attempts, {:?}", entry.key, snapshot.attempts(), merged);
                if merged == MergeOutcome::Added {
                    forget.iter().for_each(|class| self.learner.forget(class));
                }
            }
            // An unreadable snapshot is no reason to fail; the next snapshot replaces it.
            Err(error) if !self.snapshot.warned => {
                self.snapshot.warned = true;
                log::warn!("forecast snapshot {} is ignored: {error}", entry.key);
            }
            Err(_) => {}
        }
    }
}

impl Controller {
    /// Handles an answer of the state service to one of this module's calls.
    pub(in crate::coordination) fn forecast_answered(&mut self, operation: ForecastOperation, answer: StateResult) {
        match operation {
            ForecastOperation::Load { leadership } => self.snapshots_loaded(leadership, answer),
            ForecastOperation::Save { leadership } => self.snapshot_saved(leadership, answer),
        }
    }

    /// Reads the snapshots once, and writes the shard's own from time to time.
    pub(super) fn snapshot_tick(&mut self, id: ShardId, now: Time) {
        let Some(store) = self.forecasts.as_ref().and_then(|forecasts| forecasts.stores.get(&id)) else { return };
        let (leadership, version) = (LeadershipTerm { shard: id, term: store.term }, store.snapshot.version);
        if !store.snapshot.is_due(now) || !self.may_decide(id) || !self.admits(TrafficClass::BackgroundWrite) {
            return;
        }
        match version {
            None => self.load_first_snapshots(leadership),
            Some(version) => self.save_snapshot(leadership, version, now),
        }
    }

    fn load_first_snapshots(&mut self, leadership: LeadershipTerm) {
        let Some(store) = self.forecasts.as_mut().and_then(|forecasts| forecasts.store_in_term(leadership)) else {
            return;
        };
        store.snapshot.call_in_flight = true;
        self.load_snapshots(leadership, None);
    }

    /// Reads the page of snapshots that begins after the given key.
    fn load_snapshots(&mut self, leadership: LeadershipTerm, after: Option<String>) {
        let request = StateCall::List { prefix: keys::FORECASTS, after };
        self.call_state(request, ForecastOperation::Load { leadership });
    }

    fn save_snapshot(&mut self, leadership: LeadershipTerm, version: Revision, now: Time) {
        let id = leadership.shard;
        let Some(forecasts) = &mut self.forecasts else { return };
        let interval = forecasts.properties.snapshot;
        let Some(store) = forecasts.store_in_term(leadership) else { return };
        let max_bytes = self.settings.value_bytes.saturating_sub(RECORD_OVERHEAD);
        let Some(text) = snapshot::write(&store.learner, now, max_bytes) else {
            // Not even the coarsest snapshot fits: nothing can be saved with these limits.
            store.snapshot.next_call = now + MAX_RETRY_PAUSE;
            return;
        };
        store.snapshot.save_sent(interval, now);
        let key = keys::forecast_key(id);
        let value = to_value(&ForecastRecord { snapshot: text });
        let request = StateCall::Commit {
            conditions: vec![leadership.condition(), Condition::version(key.clone(), version)],
            changes: vec![Change::Put { key, value, lease: None }],
        };
        self.call_state(request, ForecastOperation::Save { leadership });
    }

    fn snapshots_loaded(&mut self, leadership: LeadershipTerm, answer: StateResult) {
        let now = self.now;
        let Some(forecasts) = &mut self.forecasts else { return };
        let forget = forecasts.properties.forget.clone();
        let Some(store) = forecasts.store_in_term(leadership) else { return };
        let Ok(StateAnswer::Page { entries, more, .. }) = answer else {
            store.snapshot.version = None;
            return store.snapshot.failed(now);
        };
        store.merge_snapshots(leadership.shard, &entries, &forget, now);
        let own_key = keys::forecast_key(leadership.shard);
        let own_version = entries.iter().find(|entry| entry.key == own_key).map(|entry| entry.version);
        // The call counts as in flight until all pages are read, so that nothing is written before.
        store.snapshot.version = own_version.or(store.snapshot.version);
        match entries.last() {
            Some(last) if more => {
                self.admit_next_step(TrafficClass::BackgroundWrite);
                self.load_snapshots(leadership, Some(last.key.clone()));
            }
            _ => {
                let version = store.snapshot.version.unwrap_or(Revision(0));
                store.snapshot.succeeded(version);
            }
        }
    }

    fn snapshot_saved(&mut self, leadership: LeadershipTerm, answer: StateResult) {
        let now = self.now;
        let Some(store) = self.forecasts.as_mut().and_then(|forecasts| forecasts.store_in_term(leadership)) else {
            return;
        };
        match answer {
            Ok(StateAnswer::Committed(version)) => store.snapshot.succeeded(version),
            Err(CallError::Refused { .. }) => store.snapshot.save_refused(now),
            answer => {
                if !self.step_down_on_conflict(leadership.shard, &answer) {
                    self.snapshot_save_unanswered(leadership);
                }
            }
        }
    }

    fn snapshot_save_unanswered(&mut self, leadership: LeadershipTerm) {
        let now = self.now;
        if let Some(store) = self.forecasts.as_mut().and_then(|forecasts| forecasts.store_in_term(leadership)) {
            store.snapshot.save_unanswered(now);
        }
    }
}
