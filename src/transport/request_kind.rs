//! Kinds of requests of users, workers and health checks, by the path of the request.

use crate::protocol::users::{HEALTH_PATH, HEARTBEAT_PATH};
use std::fmt;

/// Kind of a request, by who sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Health check of the load balancer or of another controller.
    HealthCheck,
    /// Request of a user or an operator.
    User,
    /// Heartbeat of a worker.
    Heartbeat,
}

impl RequestKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [RequestKind; 3] = [RequestKind::HealthCheck, RequestKind::User, RequestKind::Heartbeat];

    /// Returns the kind of a request with the given path.
    pub fn of_path(path: &str) -> RequestKind {
        match path {
            HEALTH_PATH => RequestKind::HealthCheck,
            HEARTBEAT_PATH => RequestKind::Heartbeat,
            _ => RequestKind::User,
        }
    }
}

impl fmt::Display for RequestKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestKind::HealthCheck => "health checks",
            RequestKind::User => "user requests",
            RequestKind::Heartbeat => "worker heartbeats",
        })
    }
}
