//! The wire formats of crowstall: HTTP with users, workers, the cloud and the state service, and CBOR between
//! controllers.
//!
//! The protocol has words of its own for most things. Each wire struct in this module documents its fields as
//! "protocol word: term"; the rest of the program uses the terms only. The words that recur:
//!
//! | protocol | term |
//! | --- | --- |
//! | `brood`, `flock`, `gait`, `pecking` | class, team, kind and priority of a job |
//! | `clutch` | the tasks of a job or of a machine |
//! | `egg`, `hatch` | task id, attempt number |
//! | `perch` | machine (and the label of a controller) |
//! | `breed`, `roost`, `scavenged` | machine type, zone, spot machine |
//! | `plumage` | image |
//! | `awaits` | prerequisites |
//! | `flight_s`, `cache_s`, `stash_s`, `dusk_s` | estimated run time, checkpoint interval, time to save, deadline |
//! | `mood` | state |
//! | `sitting`, `caw`, `crest`, `shoo_s` | agent epoch, message number, fencing token, spot notice |
//! | `call`, `settle_s` | command, grace period |
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

/// Seconds after which a client that was turned away for the moment should retry.
const RETRY_AFTER_S: u32 = 1;

/// The status with which a client is turned away because more is asked than the cluster can do.
const STATUS_OVERLOADED: u16 = 429;

/// An HTTP request to another service, ready for transport.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The HTTP method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The JSON body, if there is one.
    pub body: Option<Vec<u8>>,
}

impl Outgoing {
    /// Returns a `GET` request without a body.
    pub fn get(path: String) -> Outgoing {
        Outgoing { method: "GET", path, body: None }
    }

    fn post(path: impl Into<String>, body: &impl Serialize) -> Outgoing {
        Outgoing { method: "POST", path: path.into(), body: Some(to_json(body)) }
    }
}

/// An answer to a user or a worker. Controllers also send it to each other for forwarded requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: String,
    /// Seconds after which the client should retry, for the header `Retry-After`.
    pub retry_after: Option<u32>,
    /// Why the client is asked to retry, if this controller decided so. Not sent to other controllers.
    #[serde(skip)]
    pub busy_reason: Option<BusyReason>,
}

impl Reply {
    /// Returns an answer with `body` as JSON.
    pub fn json(status: u16, body: &impl Serialize) -> Reply {
        let body = String::from_utf8(to_json(body)).unwrap_or_default();
        Reply { status, body, retry_after: None, busy_reason: None }
    }

    /// Returns an answer that gives the reason of a failure.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::json(status, &ErrorBody { error: reason })
    }

    /// Returns a 503 that asks the client to retry soon.
    pub fn busy(reason: BusyReason) -> Reply {
        Reply::retry_later(503, reason, RETRY_AFTER_S)
    }

    /// Returns a 429 that asks the client to retry after so many seconds. No other controller is asked instead.
    pub fn overloaded(reason: BusyReason, retry_after_s: u32) -> Reply {
        Reply::retry_later(STATUS_OVERLOADED, reason, retry_after_s)
    }

    fn retry_later(status: u16, reason: BusyReason, retry_after_s: u32) -> Reply {
        let refusal = Reply::error(status, &reason.to_string());
        Reply { retry_after: Some(retry_after_s), busy_reason: Some(reason), ..refusal }
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Why a call to another service brought no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The service did not execute the request.
    #[error("refused")]
    Refused {
        /// True if the rate limit was exceeded, false in an outage.
        over_limit: bool,
    },
    /// The request may have been executed, or may still be executed later.
    #[error("no answer")]
    NoAnswer,
    /// The answer, of this status, is not one that the protocol provides for.
    #[error("unexpected answer with status {0}")]
    Unexpected(u16),
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    // Every type that is written here has text keys and finite numbers, so this cannot fail.
    serde_json::to_vec(value).unwrap_or_default()
}

fn from_json<'a, T: Deserialize<'a>>(status: u16, body: &'a [u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|_| CallError::Unexpected(status))
}
