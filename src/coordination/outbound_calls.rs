//! Outbound calls in flight: to the state service, the cloud and workers. Calls to the state service are admitted here
//! within this node's share of its rate limits.

use super::events::{Action, OutboundCallId};
use super::pending_calls::{CloudOperation, PendingWorkerCall};
use super::state_admission::{StateAdmission, TrafficClass};
use super::state_operation::StateOperation;
use crate::config::Settings;
use crate::protocol::CallError;
use crate::protocol::cloud::CloudCall;
use crate::protocol::state::{StateCall, StateResult};
use crate::protocol::workers::WorkerCall;
use crate::storage::write_usage::{RecordKind, WriteUsage};
use crate::time::{Span, Time};
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Interval at which the writes to the state service are logged.
const WRITE_USAGE_LOG_INTERVAL: Span = Span::millis(60_000);

/// Call to the state service that is in flight.
pub(super) struct PendingStateCall {
    /// Time at which the call was sent.
    pub sent: Time,
    /// Purpose of the call, by which its answer is dispatched.
    pub operation: StateOperation,
    /// Kinds of the records that the call writes.
    record_kinds: Vec<RecordKind>,
}

/// Collector of the actions that one event leads to. Keeps the calls among them until they are answered.
pub(super) struct OutboundCalls {
    /// Actions of the event that is being handled.
    actions: Vec<Action>,
    /// Number of the last call id that was assigned.
    last_call_number: u64,
    state_calls: HashMap<OutboundCallId, PendingStateCall>,
    cloud_calls: HashMap<OutboundCallId, CloudOperation>,
    worker_calls: HashMap<OutboundCallId, PendingWorkerCall>,
    /// Admission within this node's share of the state service's rate limits.
    admission: StateAdmission,
    /// Number of violated invariants: calls of bounded traffic classes that were to be sent without having been
    /// admitted, and work beyond a limit.
    invariant_violations: u64,
    /// Calls to the state service that were not sent, because they had not been admitted.
    not_admitted: Vec<PendingStateCall>,
    /// Writes per second that the state service accepts from all controllers together: the current limit until the
    /// service refuses a request over its rate limit, then the announced limit if that is lower.
    writes_per_second: f64,
    /// Records written since the last log line about them.
    write_usage: WriteUsage,
    /// Time of the last log line about writes.
    write_usage_logged_at: Time,
}

impl OutboundCalls {
    /// Creates a collector without any call in flight.
    pub fn new(settings: &Settings, now: Time) -> OutboundCalls {
        OutboundCalls {
            actions: Vec::new(),
            last_call_number: 1,
            state_calls: HashMap::new(),
            cloud_calls: HashMap::new(),
            worker_calls: HashMap::new(),
            admission: StateAdmission::new(settings.state_rps, settings.state_write_rps),
            invariant_violations: 0,
            not_admitted: Vec::new(),
            writes_per_second: settings.current_state_write_rps,
            write_usage: WriteUsage::default(),
            write_usage_logged_at: now,
        }
    }

    /// Adds an action that has no outcome to wait for.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Returns the actions that were collected since the previous call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns a call id that this process has not used before.
    pub fn next_call_id(&mut self) -> OutboundCallId {
        self.last_call_number += 1;
        OutboundCallId(self.last_call_number)
    }

    /// Returns `true` if a call of this class may be sent to the state service now. The caller must then send it before
    /// the next event is handled.
    pub fn admits(&mut self, now: Time, class: TrafficClass) -> bool {
        self.admission.admits(now, class)
    }

    /// Returns `true` if so little of the rate limits is in use that a background write would be admitted.
    pub fn would_admit_background_write(&mut self, now: Time) -> bool {
        self.admission.would_admit_background_write(now)
    }

    /// Returns the seconds after which a client whose call was not admitted should retry.
    pub fn retry_after(&mut self, now: Time, class: TrafficClass) -> u32 {
        self.admission.retry_after(now, class)
    }

    /// Admits the next call of an operation whose first call was admitted, whatever the rate limits say.
    pub fn admit_next_step(&mut self, now: Time, class: TrafficClass) {
        self.admission.admit_next_step(now, class);
    }

    /// Sends a request to the state service. A request of a bounded traffic class that was not admitted is a
    /// programming error: it is not sent but kept for [`OutboundCalls::take_not_admitted`].
    pub fn send_to_state(&mut self, now: Time, request: StateCall, operation: StateOperation) {
        if let Err(error) = self.admission.send(now, operation.traffic_class(), request.writes()) {
            log::error!("invariant violated: {error}; not sending it: {request:?}");
            self.record_invariant_violation();
            self.not_admitted.push(PendingStateCall { sent: now, operation, record_kinds: Vec::new() });
            return;
        }
        let call = self.next_call_id();
        let record_kinds = match &request {
            StateCall::Commit { changes, .. } => self.write_usage.sent(changes),
            _ => Vec::new(),
        };
        self.state_calls.insert(call, PendingStateCall { sent: now, operation, record_kinds });
        self.actions.push(Action::State { call, request });
    }

    /// Records that this controller has violated one of its own invariants.
    pub fn record_invariant_violation(&mut self) {
        self.invariant_violations += 1;
    }

    /// Returns the number of violated invariants.
    pub fn invariant_violations(&self) -> u64 {
        self.invariant_violations
    }

    /// Takes the calls that were not sent because they had not been admitted. The caller completes them as refused.
    pub fn take_not_admitted(&mut self) -> Vec<PendingStateCall> {
        std::mem::take(&mut self.not_admitted)
    }

    /// Sends a request to the cloud.
    pub fn send_to_cloud(&mut self, request: CloudCall, operation: CloudOperation) {
        let call = self.next_call_id();
        self.cloud_calls.insert(call, operation);
        self.actions.push(Action::Cloud { call, request });
    }

    /// Sends commands directly to a worker.
    pub fn send_to_worker(&mut self, pending: PendingWorkerCall, addr: SocketAddrV4, request: WorkerCall) {
        let call = self.next_call_id();
        self.worker_calls.insert(call, pending);
        self.actions.push(Action::Worker { call, addr, request });
    }

    /// Takes the call to the state service that an answer belongs to. Returns `None` if it was answered before.
    pub fn take_state_call(&mut self, call: OutboundCallId, answer: &StateResult) -> Option<PendingStateCall> {
        let mut pending = self.state_calls.remove(&call)?;
        if let Err(CallError::Refused { over_limit: true }) = answer {
            self.write_usage.refused(std::mem::take(&mut pending.record_kinds));
        }
        Some(pending)
    }

    /// Takes the call to the cloud that an answer belongs to. Returns `None` if it was answered before.
    pub fn take_cloud_call(&mut self, call: OutboundCallId) -> Option<CloudOperation> {
        self.cloud_calls.remove(&call)
    }

    /// Takes the call to a worker that an answer belongs to. Returns `None` if it was answered before.
    pub fn take_worker_call(&mut self, call: OutboundCallId) -> Option<PendingWorkerCall> {
        self.worker_calls.remove(&call)
    }

    /// Returns the purposes of the calls to the state service that are in flight.
    pub fn state_operations(&self) -> impl Iterator<Item = &StateOperation> {
        self.state_calls.values().map(|pending| &pending.operation)
    }

    /// Sets this node's share of the state service's rate limits: its rate of requests, and its fraction of the limit
    /// on writes.
    pub fn set_rate_limit_share(&mut self, requests_per_second: f64, fraction_of_writes: f64) {
        let writes_per_second = self.writes_per_second * fraction_of_writes;
        self.admission.set_rates(requests_per_second, writes_per_second);
    }

    /// Records that the state service refused a request because a rate limit was exceeded. Returns `true` if the limit
    /// on writes is lowered to the stricter one as a result; the caller then sets this node's share again.
    pub fn record_limit_exceeded(&mut self, now: Time, stricter_writes_per_second: f64) -> bool {
        self.admission.record_limit_exceeded(now);
        let becomes_stricter = self.writes_per_second > stricter_writes_per_second;
        if becomes_stricter {
            log::info!(
                "state service refused a request over its rate limit; assuming a limit of {stricter_writes_per_second} \
                 writes per second for all controllers from now on"
            );
            self.writes_per_second = stricter_writes_per_second;
        }
        becomes_stricter
    }

    /// Logs once a minute the calls that were not admitted and the records that were written to the state service.
    pub fn log_usage(&mut self, now: Time) {
        if now.since(self.write_usage_logged_at) < WRITE_USAGE_LOG_INTERVAL {
            return;
        }
        self.write_usage_logged_at = now;
        self.log_admission(now);
        if !self.write_usage.is_empty() {
            log::info!("writes to the state service in the last minute, by kind of record: {}", self.write_usage);
            self.write_usage.clear();
        }
    }

    /// Logs the number of calls that were not admitted and the fill levels of the buckets, if there were such calls.
    fn log_admission(&mut self, now: Time) {
        let denied = self.admission.take_denied();
        if denied.is_empty() {
            return;
        }
        let denied: Vec<String> = denied.iter().map(|(class, count)| format!("{class}: {count}")).collect();
        let (requests, writes) = self.admission.levels(now);
        log::info!(
            "calls to the state service not admitted in the last minute, by traffic class: {}; tokens left in this \
             node's buckets: {requests:.0} requests, {writes:.0} writes",
            denied.join("; ")
        );
    }
}
