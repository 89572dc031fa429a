//! Interface to the state service, a key-value store with transactions, leases and watches.

mod condition;
mod wire;

pub use condition::Condition;

use super::{CallError, Outgoing, from_json};
use crate::model::{LeaseId, Revision};
use serde_json::Value;
use wire::{WireChanges, WireCommit, WireCommitted, WireConflict, WireEntry, WireGrant, WireLease, WirePage};

/// Number of entries requested in one page of a list.
const PAGE_SIZE: u32 = 500;

/// Text in the 400 answer to a transaction that attaches a key to an expired lease.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

/// A call to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StateCall {
    /// Reads one key.
    Get(String),
    /// Reads a page of the keys with a prefix, in ascending order.
    List {
        /// Prefix of the keys.
        prefix: &'static str,
        /// Key after which the page starts; `None` for the first page.
        after: Option<String>,
    },
    /// Reads the changes since a revision, without waiting for further changes.
    Watch {
        /// Prefix of the keys.
        prefix: &'static str,
        /// Revision after which the changes start.
        after: Revision,
    },
    /// Applies all changes in one transaction, or none of them if a condition does not hold.
    Commit {
        /// Preconditions of the transaction.
        conditions: Vec<Condition>,
        /// Changes to apply.
        changes: Vec<Change>,
    },
    /// Acquires a lease.
    Grant {
        /// Time to live in milliseconds: the lease expires if it is not renewed for that long.
        ttl_ms: u64,
    },
    /// Renews a lease.
    KeepAlive(LeaseId),
}

/// A change in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Writes a key.
    Put {
        /// Key of the record.
        key: String,
        /// Value of the key.
        value: Value,
        /// Lease to which the key is attached, so that the key is removed when the lease ends; `None` for a key that
        /// stays until it is deleted.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete(String),
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Key of the record.
    pub key: String,
    /// Value of the key.
    pub value: Value,
    /// Revision of the key's last change.
    pub version: Revision,
    /// Lease to which the key is attached; `None` if the key is not attached to a lease.
    pub lease: Option<LeaseId>,
}

/// A change in the answer to a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchedChange {
    /// A key was written.
    Set {
        /// Key of the record.
        key: String,
        /// Value of the key.
        value: Value,
        /// Revision of the change.
        version: Revision,
    },
    /// A key was deleted, or was removed because its lease ended.
    Delete {
        /// Key of the record.
        key: String,
        /// Revision of the change.
        version: Revision,
    },
}

/// Result of a call to the state service.
pub type StateResult = Result<StateAnswer, CallError>;

/// An answer of the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StateAnswer {
    /// The key exists.
    Found(Entry),
    /// The key does not exist.
    Missing,
    /// A page of a list.
    Page {
        /// Entries in ascending order of their keys.
        entries: Vec<Entry>,
        /// `true` if there are further pages.
        more: bool,
        /// Revision of the store at which the page was read.
        revision: Revision,
    },
    /// All changes after the requested revision, up to `revision`.
    Changes {
        /// Changes, oldest first.
        log: Vec<WatchedChange>,
        /// Revision of the store.
        revision: Revision,
    },
    /// Changes since the requested revision are unavailable: some are no longer kept, or the answer is too large.
    Compacted,
    /// The transaction was applied at this revision.
    Committed(Revision),
    /// The transaction was not applied, since these keys had other versions than required.
    Conflict(Vec<String>),
    /// A lease was acquired.
    Granted(LeaseId),
    /// The lease was renewed.
    KeptAlive,
    /// The lease to be renewed, or to attach a key to, has expired.
    LeaseExpired,
}

impl WatchedChange {
    /// Returns the key that was written or deleted.
    pub fn key(&self) -> &str {
        match self {
            WatchedChange::Set { key, .. } | WatchedChange::Delete { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub fn version(&self) -> Revision {
        match self {
            WatchedChange::Set { version, .. } | WatchedChange::Delete { version, .. } => *version,
        }
    }
}

impl StateAnswer {
    /// Returns `true` if a transaction was not applied because the given key had another version.
    pub fn is_conflict_on(&self, key: &str) -> bool {
        matches!(self, StateAnswer::Conflict(failed) if failed.iter().any(|failed| failed == key))
    }
}

impl StateCall {
    /// Returns the number of writes that count towards the rate limit on writes: one for each change.
    pub fn writes(&self) -> usize {
        match self {
            StateCall::Commit { changes, .. } => changes.len(),
            _ => 0,
        }
    }

    /// Returns the HTTP request for this call.
    pub fn request(&self) -> Outgoing {
        match self {
            StateCall::Get(key) => Outgoing::get(format!("/keys/{key}")),
            StateCall::List { prefix, after } => Outgoing::get(list_path(prefix, after.as_deref())),
            StateCall::Watch { prefix, after } => {
                Outgoing::get(format!("/watch?prefix={prefix}&after={after}&wait_ms=0"))
            }
            StateCall::Commit { conditions, changes } => {
                Outgoing::post("/commit", &WireCommit::new(conditions, changes))
            }
            StateCall::Grant { ttl_ms } => Outgoing::post("/holds", &WireGrant { ttl_ms: *ttl_ms }),
            StateCall::KeepAlive(lease) => {
                Outgoing { method: "POST", path: format!("/holds/{lease}/touch"), body: Some(b"{}".to_vec()) }
            }
        }
    }

    /// Interprets the response to this call.
    pub fn answer(&self, status: u16, body: &[u8]) -> Result<StateAnswer, CallError> {
        match (status, self) {
            (200, _) => self.parse_success(status, body),
            (404, StateCall::Get(_)) => Ok(StateAnswer::Missing),
            (404, StateCall::KeepAlive(_)) => Ok(StateAnswer::LeaseExpired),
            (400, StateCall::Commit { .. }) if contains_bytes(body, NO_SUCH_LEASE) => Ok(StateAnswer::LeaseExpired),
            (409, StateCall::Commit { .. }) => {
                Ok(StateAnswer::Conflict(from_json::<WireConflict>(status, body)?.failed))
            }
            (410 | 413, StateCall::Watch { .. }) => Ok(StateAnswer::Compacted),
            (429, _) => Err(CallError::Refused { over_limit: true }),
            (503, _) => Err(CallError::Refused { over_limit: false }),
            // After an internal error of the server, the request may or may not have been executed.
            (500.., _) => Err(CallError::NoAnswer),
            _ => Err(CallError::Unexpected(status)),
        }
    }

    /// Parses the body of an answer with status 200.
    fn parse_success(&self, status: u16, body: &[u8]) -> Result<StateAnswer, CallError> {
        match self {
            StateCall::Get(_) => Ok(StateAnswer::Found(from_json::<WireEntry>(status, body)?.into())),
            StateCall::List { .. } => Ok(from_json::<WirePage>(status, body)?.into()),
            StateCall::Watch { .. } => from_json::<WireChanges>(status, body)?.try_into(),
            StateCall::Commit { .. } => {
                Ok(StateAnswer::Committed(Revision(from_json::<WireCommitted>(status, body)?.revision)))
            }
            StateCall::Grant { .. } => Ok(StateAnswer::Granted(LeaseId(from_json::<WireLease>(status, body)?.lease))),
            StateCall::KeepAlive(_) => Ok(StateAnswer::KeptAlive),
        }
    }
}

/// Returns the path and query for a page of a list.
fn list_path(prefix: &str, after: Option<&str>) -> String {
    match after {
        Some(after) => format!("/keys?prefix={prefix}&after={after}&page={PAGE_SIZE}"),
        None => format!("/keys?prefix={prefix}&page={PAGE_SIZE}"),
    }
}

/// Returns `true` if `needle` occurs in `body`.
fn contains_bytes(body: &[u8], needle: &[u8]) -> bool {
    body.windows(needle.len()).any(|part| part == needle)
}
