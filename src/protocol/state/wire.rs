//! JSON bodies of the state service's requests and answers.
//!
//! The fields of request bodies are declared in the alphabetical order of their serialized names, in which all versions
//! write them.

use super::{Change, Condition, Entry, StateAnswer, WatchedChange};
use crate::model::{LeaseId, Revision};
use crate::protocol::CallError;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Deserialize)]
pub(super) struct WireEntry {
    /// `k`: key.
    #[serde(rename = "k")]
    key: String,
    /// `data`: value.
    #[serde(rename = "data")]
    value: Value,
    /// `molt`: revision of the key's last change.
    #[serde(rename = "molt")]
    version: u64,
    /// `tenure`: lease to which the key is attached, if any.
    #[serde(rename = "tenure")]
    lease: Option<u64>,
}

/// A page of a list.
#[derive(Deserialize)]
pub(super) struct WirePage {
    /// Entries in ascending order of their keys.
    entries: Vec<WireEntry>,
    /// `true` if there are further pages.
    #[serde(default)]
    truncated: bool,
    /// `tally`: revision of the store.
    #[serde(rename = "tally", default)]
    revision: u64,
}

/// A change in the answer to a watch: `set` with `data`, or `delete`.
#[derive(Deserialize)]
struct WireWatchedChange {
    /// Key, if the change is a write.
    set: Option<String>,
    /// Key, if the change is a deletion.
    delete: Option<String>,
    /// `data`: value; null for a deletion.
    #[serde(rename = "data", default)]
    value: Value,
    /// `molt`: revision of the change.
    #[serde(rename = "molt")]
    version: u64,
}

/// Body of the answer to a watch.
#[derive(Deserialize)]
pub(super) struct WireChanges {
    /// `tally`: revision of the store.
    #[serde(rename = "tally")]
    revision: u64,
    /// Changes, oldest first.
    #[serde(default)]
    log: Vec<WireWatchedChange>,
}

/// Body of the answer to a transaction that was applied.
#[derive(Deserialize)]
pub(super) struct WireCommitted {
    /// `tally`: revision of the transaction.
    #[serde(rename = "tally")]
    pub(super) revision: u64,
}

/// Body of the answer to a transaction that was not applied.
#[derive(Deserialize)]
pub(super) struct WireConflict {
    /// Keys that had other versions than the conditions require.
    #[serde(default)]
    pub(super) failed: Vec<String>,
}

/// Body of the answer to a request for a lease.
#[derive(Deserialize)]
pub(super) struct WireLease {
    /// `tenure`: lease.
    #[serde(rename = "tenure")]
    pub(super) lease: u64,
}

/// Body of `POST /holds`, the request for a lease.
#[derive(Serialize)]
pub(super) struct WireGrant {
    /// `life_ms`: time to live in milliseconds.
    #[serde(rename = "life_ms")]
    pub(super) ttl_ms: u64,
}

/// Body of `POST /commit`, a transaction.
#[derive(Serialize)]
pub(super) struct WireCommit<'a> {
    /// `apply`: changes.
    #[serde(rename = "apply")]
    changes: Vec<WireChange<'a>>,
    /// `if`: conditions.
    #[serde(rename = "if")]
    conditions: Vec<WireCondition<'a>>,
}

/// A precondition of a transaction: a key and its required version.
#[derive(Serialize)]
struct WireCondition<'a> {
    /// `k`: key.
    #[serde(rename = "k")]
    key: &'a str,
    /// `molt`: revision of the key's last change.
    #[serde(rename = "molt")]
    version: Revision,
}

/// A change in a transaction.
#[derive(Serialize)]
#[serde(untagged)]
enum WireChange<'a> {
    /// Writes a key.
    Put {
        /// `data`: value.
        #[serde(rename = "data")]
        value: &'a Value,
        /// `set`: key.
        #[serde(rename = "set")]
        key: &'a str,
        /// `tenure`: lease to which the key is attached.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// `delete`: key.
        #[serde(rename = "delete")]
        key: &'a str,
    },
}

impl<'a> WireCommit<'a> {
    pub(super) fn new(conditions: &'a [Condition], changes: &'a [Change]) -> WireCommit<'a> {
        WireCommit {
            changes: changes.iter().map(WireChange::from).collect(),
            conditions: conditions.iter().map(WireCondition::from).collect(),
        }
    }
}

impl<'a> From<&'a Condition> for WireCondition<'a> {
    fn from(condition: &'a Condition) -> WireCondition<'a> {
        WireCondition { key: &condition.key, version: condition.version }
    }
}

impl<'a> From<&'a Change> for WireChange<'a> {
    fn from(change: &'a Change) -> WireChange<'a> {
        match change {
            Change::Put { key, value, lease } => WireChange::Put { value, key, lease: *lease },
            Change::Delete(key) => WireChange::Delete { key },
        }
    }
}

impl From<WireEntry> for Entry {
    fn from(wire: WireEntry) -> Entry {
        let WireEntry { key, value, version, lease } = wire;
        Entry { key, value, version: Revision(version), lease: lease.map(LeaseId) }
    }
}

impl From<WirePage> for StateAnswer {
    fn from(page: WirePage) -> StateAnswer {
        let entries = page.entries.into_iter().map(Entry::from).collect();
        StateAnswer::Page { entries, more: page.truncated, revision: Revision(page.revision) }
    }
}

impl TryFrom<WireChanges> for StateAnswer {
    type Error = CallError;

    fn try_from(wire: WireChanges) -> Result<StateAnswer, CallError> {
        let log =
            wire.log.into_iter().map(WatchedChange::try_from).collect::<Result<Vec<WatchedChange>, CallError>>()?;
        Ok(StateAnswer::Changes { log, revision: Revision(wire.revision) })
    }
}

impl TryFrom<WireWatchedChange> for WatchedChange {
    type Error = CallError;

    fn try_from(wire: WireWatchedChange) -> Result<WatchedChange, CallError> {
        let version = Revision(wire.version);
        match (wire.set, wire.delete) {
            (Some(key), None) => Ok(WatchedChange::Set { key, value: wire.value, version }),
            (None, Some(key)) => Ok(WatchedChange::Delete { key, version }),
            // A change of an unknown kind is an error: if it was skipped, the replica would differ from the store
            // without notice.
            _ => Err(CallError::Unexpected(200)),
        }
    }
}
