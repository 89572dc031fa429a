//! Snapshots of learned run times in the state service.
//!
//! Every shard has a snapshot. A leader reads the snapshots of all shards after it has acquired leadership, and again
//! after a write without an answer. It writes the snapshot of its own shard periodically.

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

/// Backoff after the first failed call. The backoff doubles with each further failure.
const MIN_RETRY_BACKOFF: Span = Span::millis(10_000);

/// Upper bound of the backoff after failed calls.
const MAX_RETRY_BACKOFF: Span = Span::millis(600_000);

/// Number of bytes reserved in a record for everything but the snapshot.
const RECORD_OVERHEAD: usize = 64;

/// A call to the state service that reads or writes snapshots.
pub(in crate::coordination) enum ForecastOperation {
    /// Reads the snapshots of all shards.
    Load { leadership: LeadershipTerm },
    /// Saves the snapshot of a shard.
    Save { leadership: LeadershipTerm },
}

/// State of a shard's snapshot in the state service.
pub(super) struct SnapshotState {
    /// Version of the snapshot's record, 0 if there is no record. `None` if the snapshots have to be read first, as
    /// after a write without an answer; no snapshot is written until then.
    version: Option<Revision>,
    /// `true` while a read or a write is in flight. A read of several pages counts as one.
    call_in_flight: bool,
    /// Earliest time at which the next call may be sent.
    next_call_at: Time,
    /// Backoff after the next failed call.
    retry_backoff: Span,
    /// Number of attempts covered by the last snapshot, including one whose write is in flight.
    attempts_saved: u64,
    /// Number of attempts learned from in this leadership term.
    attempts_learned: u64,
    /// `true` after the first warning about an unreadable snapshot, so that the warning is not repeated.
    unreadable_warned: bool,
}

impl SnapshotState {
    /// Creates the state of a shard whose snapshots were not read yet.
    pub fn new(now: Time) -> SnapshotState {
        SnapshotState {
            version: None,
            call_in_flight: false,
            next_call_at: now,
            retry_backoff: MIN_RETRY_BACKOFF,
            attempts_saved: 0,
            attempts_learned: 0,
            unreadable_warned: false,
        }
    }

    /// Counts an attempt that was learned from.
    pub fn count_learned(&mut self) {
        self.attempts_learned += 1;
    }

    /// Returns `true` if the snapshots have to be read, or the shard's own snapshot has to be written, now.
    fn is_due(&self, now: Time) -> bool {
        let is_wanted = self.version.is_none() || self.attempts_learned > self.attempts_saved;
        is_wanted && !self.call_in_flight && now >= self.next_call_at
    }

    /// Records that a write of the snapshot was sent. Unless it fails, the next one is sent after `interval` at the
    /// earliest.
    fn save_sent(&mut self, interval: Span, now: Time) {
        self.call_in_flight = true;
        self.attempts_saved = self.attempts_learned;
        self.next_call_at = now + interval;
    }

    /// Records that a call has succeeded and that the snapshot's record has the given version now.
    fn succeeded(&mut self, version: Revision) {
        self.version = Some(version);
        self.call_in_flight = false;
        self.retry_backoff = MIN_RETRY_BACKOFF;
    }

    /// Records that a call has failed. It is repeated after an exponential backoff.
    fn failed(&mut self, now: Time) {
        self.call_in_flight = false;
        self.next_call_at = now + self.retry_backoff;
        self.retry_backoff = self.retry_backoff.times(2.0).min(MAX_RETRY_BACKOFF);
    }

    /// Records that a write of the snapshot was refused and therefore not executed.
    fn save_refused(&mut self, now: Time) {
        self.attempts_saved = 0;
        self.failed(now);
    }

    /// Records that the outcome of a write of the snapshot is unknown. The snapshots are read again to find the version
    /// of the record; observations that the learner contains already are not added again.
    fn save_unanswered(&mut self, now: Time) {
        self.attempts_saved = 0;
        self.version = None;
        self.failed(now);
    }
}

impl ForecastStore {
    /// Merges the snapshots of a page into the learner, the shard's own first. Whenever a snapshot has added
    /// observations, all observations of the classes in `forget` are discarded.
    fn merge_snapshots(&mut self, shard: ShardId, entries: &[Entry], forget: &[Name], now: Time) {
        let own_key = keys::forecast_key(shard);
        let (own, others): (Vec<&Entry>, Vec<&Entry>) = entries.iter().partition(|entry| entry.key == own_key);
        for entry in own.into_iter().chain(others) {
            self.merge_snapshot(entry, forget, now);
        }
    }

    /// Merges one snapshot into the learner. A snapshot that can't be read is ignored.
    fn merge_snapshot(&mut self, entry: &Entry, forget: &[Name], now: Time) {
        let record = serde_json::from_value::<ForecastRecord>(entry.value.clone()).map_err(|e| e.to_string());
        match record.and_then(|record| snapshot::read(&record.snapshot).map_err(|e| e.to_string())) {
            Ok(snapshot) => {
                let merged = self.learner.merge(&snapshot, now);
                log::info!("forecast snapshot {} with {} attempts read: {:?}", entry.key, snapshot.attempts(), merged);
                if merged == MergeOutcome::Added {
                    forget.iter().for_each(|class| self.learner.remove_class(class));
                }
            }
            // An unreadable snapshot costs accuracy only, and the next snapshot of its shard replaces it.
            Err(error) if !self.snapshot.unreadable_warned => {
                self.snapshot.unreadable_warned = true;
                log::warn!("forecast snapshot {} can't be read and is ignored: {error}", entry.key);
            }
            Err(_) => {}
        }
    }
}

impl Controller {
    /// Handles the answer of the state service to a read or write of snapshots.
    pub(in crate::coordination) fn forecast_answered(&mut self, operation: ForecastOperation, answer: StateResult) {
        match operation {
            ForecastOperation::Load { leadership } => self.snapshots_loaded(leadership, answer),
            ForecastOperation::Save { leadership } => self.snapshot_saved(leadership, answer),
        }
    }

    /// Sends the read of all snapshots, or the periodic write of the shard's own snapshot, if one of them is due.
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

    /// Begins to read the snapshots of all shards.
    fn load_first_snapshots(&mut self, leadership: LeadershipTerm) {
        let Some(store) = self.forecasts.as_mut().and_then(|forecasts| forecasts.store_in_term(leadership)) else {
            return;
        };
        store.snapshot.call_in_flight = true;
        self.load_snapshots(leadership, None);
    }

    /// Sends the read of the page of snapshots that begins after the given key, or of the first page.
    fn load_snapshots(&mut self, leadership: LeadershipTerm, after: Option<String>) {
        let request = StateCall::List { prefix: keys::FORECASTS, after };
        self.call_state(request, ForecastOperation::Load { leadership });
    }

    /// Writes the snapshot of a shard, reduced to what fits into a value of the state service.
    fn save_snapshot(&mut self, leadership: LeadershipTerm, version: Revision, now: Time) {
        let id = leadership.shard;
        let Some(forecasts) = &mut self.forecasts else { return };
        let interval = forecasts.properties.snapshot_interval;
        let Some(store) = forecasts.store_in_term(leadership) else { return };
        let max_bytes = self.settings.max_value_bytes.saturating_sub(RECORD_OVERHEAD);
        let Some(text) = snapshot::write(&store.learner, now, max_bytes) else {
            // Even a snapshot of a single cell exceeds the limit, so none can be saved with these settings.
            store.snapshot.next_call_at = now + MAX_RETRY_BACKOFF;
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

    /// Handles the answer to the read of a page of snapshots.
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
        // The call counts as in flight until all pages are read, so that no snapshot is written before that.
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

    /// Handles the answer to a write of a snapshot.
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

    /// Handles a write of a snapshot whose outcome is unknown.
    fn snapshot_save_unanswered(&mut self, leadership: LeadershipTerm) {
        let now = self.now;
        if let Some(store) = self.forecasts.as_mut().and_then(|forecasts| forecasts.store_in_term(leadership)) {
            store.snapshot.save_unanswered(now);
        }
    }
}
