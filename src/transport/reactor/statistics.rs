//! Statistics of the transport for the log: client connections, requests by kind of client, and outgoing calls.

use crate::time::{Span, Time};
use crate::transport::RequestKind;
use std::fmt;

/// Statistics since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct TransportStatistics {
    /// Number of client connections that were accepted.
    pub accepted: u64,
    /// Number of accepted client connections that were closed at once, because all slots were in use.
    pub refused: u64,
    /// Number of idle client connections that were closed in favour of new ones.
    pub evicted: u64,
    /// Largest number of open connections of all kinds.
    pub max_connections: usize,
    /// Number of connections to services, workers and peers that could not be opened.
    pub failed_dials: u64,
    /// Number of calls that expired before a connection to their target was free.
    pub calls_expired_in_queue: u64,
    /// Number of calls that expired after they had been sent.
    pub calls_expired_in_flight: u64,
    /// Longest time for which a call waited for a connection to its target.
    pub longest_call_wait: Span,
    /// Requests by kind of client.
    pub requests: [RequestStatistics; RequestKind::ALL.len()],
}

/// Statistics of the requests of one kind of client.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestStatistics {
    /// Number of requests that were replied to.
    pub replied: u64,
    /// Number of replies that were not sent, because the client had closed its connection.
    pub client_gone: u64,
    /// Longest time from the arrival of a request to the reply.
    pub longest_time_to_reply: Span,
}

impl TransportStatistics {
    /// Records the end of a request.
    pub(super) fn record_reply(&mut self, kind: RequestKind, age: Span, is_sent: bool) {
        let statistics = &mut self.requests[kind as usize];
        let counter = if is_sent { &mut statistics.replied } else { &mut statistics.client_gone };
        *counter += 1;
        statistics.longest_time_to_reply = statistics.longest_time_to_reply.max(age);
    }
}

/// Request that waits for its reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenRequest {
    pub connection: super::ConnectionId,
    pub kind: RequestKind,
    pub received_at: Time,
}

impl fmt::Display for TransportStatistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "client connections accepted: {}, refused because all were in use: {}, closed in favour of others: {}; \
             most connections open: {}; connections that could not be opened: {}; calls expired in the queue for a \
             connection: {}, after they were sent: {}, longest wait for a connection: {} ms",
            self.accepted,
            self.refused,
            self.evicted,
            self.max_connections,
            self.failed_dials,
            self.calls_expired_in_queue,
            self.calls_expired_in_flight,
            self.longest_call_wait.as_millis(),
        )?;
        for (kind, requests) in RequestKind::ALL.iter().zip(&self.requests) {
            write!(
                f,
                "; {kind}: {} replied to, {} whose client had left, longest time to the reply {} ms",
                requests.replied,
                requests.client_gone,
                requests.longest_time_to_reply.as_millis(),
            )?;
        }
        Ok(())
    }
}
