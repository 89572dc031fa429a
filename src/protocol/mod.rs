//! Wire formats of crowstall: JSON over HTTP for users, workers, the cloud and the state service, and CBOR between
//! controllers.
//!
//! Many names in the HTTP protocol differ from the usual terms of the field. The wire structs in this module translate
//! them: a field's documentation has the form "`protocol name`: term". The rest of the program uses only the terms.
//! Protocol names that occur in several messages:
//!
//! | protocol name | term |
//! | --- | --- |
//! | `brood`, `flock`, `gait`, `pecking` | class, team, kind and priority of a job |
//! | `clutch` | the tasks of a job or of a machine |
//! | `egg`, `hatch` | task id, attempt number |
//! | `perch` | machine (also the label of a controller) |
//! | `breed`, `roost`, `scavenged` | machine type, zone, spot machine |
//! | `plumage` | image |
//! | `awaits` | prerequisites |
//! | `flight_s`, `cache_s`, `stash_s`, `dusk_s` | estimated run time, checkpoint interval, time to save, deadline |
//! | `mood` | state |
//! | `sitting`, `caw`, `crest`, `shoo_s` | agent epoch, sequence number, fencing token, reclaim notice |
//! | `call`, `settle_s` | command, grace period for saving progress |
//! | `rookery` | controller to report to |
//! | `tally`, `molt`, `tenure` | revision of the store, revision of a key, lease |

mod busy_reason;
pub mod cloud;
pub mod peer_heartbeat_pages;
pub mod peers;
pub mod state;
pub mod users;
pub mod workers;

pub use busy_reason::BusyReason;

use serde::{Deserialize, Serialize};

/// Retry delay in seconds of a [`Reply::busy`].
const RETRY_AFTER_S: u32 = 1;

/// HTTP status of a request that is refused for overload.
const STATUS_OVERLOADED: u16 = 429;

/// An HTTP request to another service.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// HTTP method.
    pub method: &'static str,
    /// Path with the query string.
    pub path: String,
    /// JSON body; `None` for a request without a body.
    pub body: Option<Vec<u8>>,
}

impl Outgoing {
    /// Returns a `GET` request without a body.
    pub fn get(path: String) -> Outgoing {
        Outgoing { method: "GET", path, body: None }
    }

    /// Returns a `POST` request with `body` as JSON.
    fn post(path: impl Into<String>, body: &impl Serialize) -> Outgoing {
        Outgoing { method: "POST", path: path.into(), body: Some(to_json(body)) }
    }
}

/// A reply to a user or a worker. Controllers also send replies to forwarded requests to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
    /// Retry delay in seconds for the header `Retry-After`; `None` for a reply without this header.
    pub retry_after: Option<u32>,
    /// Reason of a refusal by this controller, for its statistics; `None` for all other replies. Not sent to other
    /// controllers.
    #[serde(skip)]
    pub busy_reason: Option<BusyReason>,
}

impl Reply {
    /// Returns a reply with `body` as JSON.
    pub fn json(status: u16, body: &impl Serialize) -> Reply {
        let body = String::from_utf8(to_json(body)).unwrap_or_default();
        Reply { status, body, retry_after: None, busy_reason: None }
    }

    /// Returns a reply whose body has `reason` as the error text.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::json(status, &ErrorBody { error: reason })
    }

    /// Returns a 503 that asks the client to retry after one second.
    pub fn busy(reason: BusyReason) -> Reply {
        Reply::retry_later(503, reason, RETRY_AFTER_S)
    }

    /// Returns a 429 that asks the client to retry after the given number of seconds. The request is not sent to
    /// another controller instead.
    pub fn overloaded(reason: BusyReason, retry_after_s: u32) -> Reply {
        Reply::retry_later(STATUS_OVERLOADED, reason, retry_after_s)
    }

    fn retry_later(status: u16, reason: BusyReason, retry_after_s: u32) -> Reply {
        let refusal = Reply::error(status, &reason.to_string());
        Reply { retry_after: Some(retry_after_s), busy_reason: Some(reason), ..refusal }
    }
}

/// Body of a reply with an error text.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Error of a call to another service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The service refused the request and did not execute it.
    #[error("request refused without execution (rate limit exceeded: {over_limit})")]
    Refused {
        /// `true` if the rate limit was exceeded, `false` in an outage of the service.
        over_limit: bool,
    },
    /// The outcome is in doubt: the request may have been executed, or may still be executed later.
    #[error("no conclusive answer; the request may still be executed")]
    NoAnswer,
    /// The protocol does not provide for the answer, because of its HTTP status, given here, or of its body.
    #[error("unexpected answer with HTTP status {0}")]
    Unexpected(u16),
}

/// Returns `value` as JSON.
fn to_json(value: &impl Serialize) -> Vec<u8> {
    // Serialization cannot fail: all types that are written here have text keys and finite numbers only.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Parses the JSON body of an answer with the given HTTP status.
fn from_json<'a, T: Deserialize<'a>>(status: u16, body: &'a [u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|_| CallError::Unexpected(status))
}
