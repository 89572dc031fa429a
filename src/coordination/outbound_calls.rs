//! Calls to outside services that are in flight, and this node's share of the services' rate limits.

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

/// How often the log says what was written to the state service.
const USAGE_LOG_INTERVAL: Span = Span::millis(60_000);

/// A call to the state service that is in flight.
pub(super) struct PendingStateCall {
    /// When the call was sent.
    pub sent: Time,
    /// What to do with its answer.
    pub operation: StateOperation,
    /// The kinds of records that the call changes.
    record_kinds: Vec<RecordKind>,
}

/// Collects the actions that one event leads to and remembers the calls among them until they are answered.
pub(super) struct OutboundCalls {
    /// The actions of the event that is being handled.
    actions: Vec<Action>,
    last_call: u64,
    state_calls: HashMap<OutboundCallId, PendingStateCall>,
    cloud_calls: HashMap<OutboundCallId, CloudOperation>,
    worker_calls: HashMap<OutboundCallId, PendingWorkerCall>,
    /// This node's share of the state service's limits.
    admission: StateAdmission,
    /// How many calls should have been admitted before and were not.
    invariant_violations: u64,
    /// Calls to the state service that were not sent, since they should have been admitted before and were not.
    not_admitted: Vec<PendingStateCall>,
    /// How many changes per second the state service allows: the present limit until it refuses a request, then the
    /// announced stricter one.
    changes_per_second: f64,
    /// What was written since it was last logged.
    usage: WriteUsage,
    usage_logged_at: Time,
}

impl OutboundCalls {
    /// Returns the state in which nothing is in flight yet.
    pub fn new(settings: &Settings, now: Time) -> OutboundCalls {
        OutboundCalls {
            actions: Vec::new(),
            last_call: 1,
            state_calls: HashMap::new(),
            cloud_calls: HashMap::new(),
            worker_calls: HashMap::new(),
            admission: StateAdmission::new(settings.state_rps, settings.state_writes),
            invariant_violations: 0,
            not_admitted: Vec::new(),
            changes_per_second: settings.state_writes_now,
            usage: WriteUsage::default(),
            usage_logged_at: now,
        }
    }

    /// Adds an action that is not a call.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Returns the actions collected since the last time.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns a call id that was never used before by this process.
    pub fn next_call_id(&mut self) -> OutboundCallId {
        self.last_call += 1;
        OutboundCallId(self.last_call)
    }

    /// Whether a call of this class may be sent to the state service now. If so it has to be sent at once.
    pub fn admits(&mut self, now: Time, class: TrafficClass) -> bool {
        self.admission.admits(now, class)
    }

    /// Whether a call to the state service that can wait would be admitted.
    pub fn is_quiet(&mut self, now: Time) -> bool {
        self.admission.is_quiet(now)
    }

    /// Returns after how many seconds a client whose call was not admitted should retry.
    pub fn retry_after(&mut self, now: Time, class: TrafficClass) -> u32 {
        self.admission.retry_after(now, class)
    }

    /// Admits the next call of an operation whose first call was admitted.
    pub fn admit_next_step(&mut self, now: Time, class: TrafficClass) {
        self.admission.admit_next_step(now, class);
    }

    /// Sends a request to the state service. One of a bounded class that was not admitted is refused instead, which is
    /// an error in this program.
    pub fn send_to_state(&mut self, now: Time, request: StateCall, operation: StateOperation) {
        if let Err(error) = self.admission.send(now, operation.traffic_class(), request.writes()) {
            log::error!("invariant violated: {error}: {request:?}");
            self.invariant_violations += 1;
            self.not_admitted.push(PendingStateCall { sent: now, operation, record_kinds: Vec::new() });
            return;
        }
        let call = self.next_call_id();
        let record_kinds = match &request {
            StateCall::Commit { changes, .. } => self.usage.sent(changes),
            _ => Vec::new(),
        };
        self.state_calls.insert(call, PendingStateCall { sent: now, operation, record_kinds });
        self.actions.push(Action::State { call, request });
    }

    /// How often this program broke a rule of its own, and refused what would have followed.
    pub fn invariant_violations(&self) -> u64 {
        self.invariant_violations
    }

    /// Takes out the calls that were not sent because they had not been admitted.
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

    /// Takes out the call to the state service that an answer belongs to, unless it was answered before.
    pub fn take_state_call(&mut self, call: OutboundCallId, answer: &StateResult) -> Option<PendingStateCall> {
        let mut pending = self.state_calls.remove(&call)?;
        if let Err(CallError::Refused { over_limit: true }) = answer {
            self.usage.refused(std::mem::take(&mut pending.record_kinds));
        }
        Some(pending)
    }

    /// Takes out the call to the cloud that an answer belongs to, unless it was answered before.
    pub fn take_cloud_call(&mut self, call: OutboundCallId) -> Option<CloudOperation> {
        self.cloud_calls.remove(&call)
    }

    /// Takes out the call to a worker that an answer belongs to, unless it was answered before.
    pub fn take_worker_call(&mut self, call: OutboundCallId) -> Option<PendingWorkerCall> {
        self.worker_calls.remove(&call)
    }

    /// What the calls to the state service that are in flight are for.
    pub fn state_operations(&self) -> impl Iterator<Item = &StateOperation> {
        self.state_calls.values().map(|pending| &pending.operation)
    }

    /// Sets this node's share of the state service's limits.
    pub fn set_share(&mut self, requests_per_second: f64, share_of_changes: f64) {
        let changes_per_second = self.changes_per_second * share_of_changes;
        self.admission.set_rates(requests_per_second, changes_per_second);
    }

    /// The state service refused a request because a limit was exceeded. Returns whether the stricter limit on
    /// changes applies from now on.
    pub fn limit_exceeded(&mut self, now: Time, stricter_changes_per_second: f64) -> bool {
        self.admission.limit_exceeded(now);
        let becomes_stricter = self.changes_per_second > stricter_changes_per_second;
        if becomes_stricter {
            log::info!(
                "state service limit exceeded: at most {stricter_changes_per_second} changes per second from now on"
            );
            self.changes_per_second = stricter_changes_per_second;
        }
        becomes_stricter
    }

    /// Logs once a minute what was written to the state service.
    pub fn log_usage(&mut self, now: Time) {
        if now.since(self.usage_logged_at) < USAGE_LOG_INTERVAL {
            return;
        }
        self.usage_logged_at = now;
        self.log_admission(now);
        if !self.usage.is_empty() {
            log::info!("records written to the state service in the last minute: {}", self.usage);
            self.usage.clear();
        }
    }

    /// Logs what is left of this node's share of the limits, if calls had to wait.
    fn log_admission(&mut self, now: Time) {
        let deferred = self.admission.take_deferred();
        if deferred.is_empty() {
            return;
        }
        let deferred: Vec<String> = deferred.iter().map(|(class, count)| format!("{class}: {count}")).collect();
        let (requests, writes) = self.admission.levels(now);
        log::info!(
            "calls to the state service not admitted in the last minute: {}; left of this node's share: {requests:.0} requests, {writes:.0} changes",
            deferred.join("; ")
        );
    }
}
