//! Deterministic simulation of a cluster.
//!
//! The controllers are instances of the production [`Controller`]. The state service, the cloud, the workers, the users
//! and the network are simulated, and time is simulated too. All random choices are drawn from one generator, so that a
//! seed determines the whole run. Tests inject faults, and the [checker] verifies the safety rules during the run.
//!
//! All times and durations are in microseconds of simulated time.
// Each test target uses only a part of the simulation.
#![allow(dead_code, unused_imports)]

pub mod assertions;
pub mod checker;
pub mod cloud;
mod controller_log;
pub mod controllers;
pub mod digest;
pub mod event_meter;
pub mod events;
pub mod faults;
mod heartbeat_copies;
pub mod malformed_requests;
pub mod message_copies;
pub mod network;
pub mod processor;
pub mod remote;
pub mod safeguards;
pub mod settings;
mod setup;
mod state_calls;
pub mod state_service;
mod temporary_fault;
mod user_answers;
pub mod user_requests;
pub mod users;
mod worker_commands;
pub mod workers;

pub use checker::{Quota, Rule, Violation};
pub use controllers::{CONTROLLERS, CalledService, RequestOrigin};
pub use events::ScheduledEvent;
pub use network::{
    DELAY_PACKETS, Endpoint, LOSE_PACKETS, NetworkPartition, OneWayPartition, SlowLink, other_controllers,
};
pub use safeguards::DisabledSafeguard;
pub use temporary_fault::{MaxDelay, Probability, TemporaryFault};

use crowstall::config::Settings;
use crowstall::coordination::{Action, ClientRequestId, Clock, Controller, Event, OutboundCallId};
use crowstall::model::*;
use crowstall::protocol::cloud::CloudCall;
use crowstall::protocol::peers::{self, PeerMessage};
use crowstall::protocol::state::{Change, StateAnswer, StateCall};
use crowstall::protocol::users::ClientRequest;
use crowstall::protocol::workers::{TaskState, WorkerCall};
use crowstall::protocol::{CallError, Reply};
use crowstall::time::Time;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;
use std::sync::OnceLock;

/// One millisecond, in microseconds.
pub const MS: u64 = 1000;

/// One second, in microseconds.
pub const SEC: u64 = 1_000_000;

/// Longest permitted time from the reply that reports a job as cancelled to the end of its last task.
pub const CANCELLATION_BOUND: u64 = 30 * SEC;

/// Duration of a worker lease.
pub const WORKER_LEASE: u64 = 10 * SEC;

/// Run time of a service, which ends only when it is cancelled.
pub const FOREVER: u64 = u64::MAX / 4;

/// Interval between two steps of all workers.
const WORKERS_STEP: u64 = 50 * MS;

/// Interval at which the state service removes expired leases.
const LEASE_EXPIRY_STEP: u64 = 50 * MS;

/// A simulated cluster.
pub struct Simulation {
    /// Current time.
    pub now: u64,
    /// Generator of all random choices.
    pub rng: SmallRng,
    seed: u64,
    /// Safeguard that is disabled to test the checker.
    pub disabled: DisabledSafeguard,
    /// Settings of the controllers, by controller index.
    pub settings: Vec<Settings>,
    controllers: Vec<controllers::SimulatedController>,
    /// Processor of each controller. `None`: handling an event takes no time.
    pub processor: Option<processor::Processor>,
    /// Measurement of the memory that each event takes. `None`: it is not measured.
    pub event_meter: Option<event_meter::EventMeter>,
    /// Connection to the controllers if they run as separate processes.
    remote: Option<Box<dyn remote::RemoteControllers>>,
    queue: events::EventQueue,
    /// Last number given to an event or a request.
    sequence_number: u64,
    pub state_service: state_service::StateService,
    pub cloud: cloud::Cloud,
    /// Worker machines, by number.
    pub workers: BTreeMap<u32, workers::Worker>,
    /// Quotas of the teams that have one.
    pub quotas: BTreeMap<Name, Quota>,
    /// Users, one for each job.
    pub users: Vec<users::User>,

    /// Network partitions, including those that have healed.
    pub partitions: Vec<NetworkPartition>,
    /// Network partitions in one direction, including those that have healed.
    pub one_way_partitions: Vec<OneWayPartition>,
    /// Endpoints whose packets are delayed in both directions.
    pub slow_links: Vec<SlowLink>,
    /// Fault that delivers some heartbeats a second time, with a delay.
    pub duplicate_heartbeats: Option<TemporaryFault<MaxDelay>>,
    /// End of the period in which copies of heartbeats are retained for delivery around the next change of leadership.
    pub heartbeats_retained_until: u64,
    retained_heartbeats: Vec<(RequestOrigin, ClientRequest)>,
    /// Fault that delivers commands to workers, and forwarded requests and their answers, a second time.
    pub message_copies: Option<TemporaryFault<MaxDelay>>,
    /// End of the period in which users send eight times as many requests.
    pub request_storm_until: u64,
    /// End of the period in which users send requests to all controllers after each change of their job's state, to
    /// check that no controller reports an older state.
    pub consistency_checks_until: u64,
    /// Fault that makes users send requests at the moment at which their job completes.
    pub requests_at_completion: Option<TemporaryFault<Probability>>,
    malformed_requests_sent: u32,
    /// Time from which the checker requires that every user gets answers and every task is placed. `None`: the faults
    /// are not over yet.
    pub liveness_checked_from: Option<u64>,

    /// Violations of safety rules, in the order of their detection. The simulation stops at the first one.
    pub violations: Vec<Violation>,
    /// Log lines of the simulation, recorded if the environment variable `SIMULATION_TRACE` is set.
    pub trace: Vec<String>,
    /// Digest of all events and actions, for tests that compare whole runs.
    pub digest: Option<digest::TraceDigest>,
    /// Completed tasks.
    pub completed: BTreeSet<TaskId>,
    /// Measurements of the run so far.
    pub observations: Observations,
    /// Number of task starts.
    pub task_starts: u64,
    /// Number of heartbeats that arrived at a running controller.
    heartbeats: u64,
    /// Time since which a task of a job has been waiting although a machine has room for it, by user.
    starved_since: HashMap<usize, u64>,

    /// Request whose reply a test waits for.
    awaited_request: Option<ClientRequestId>,
    /// Reply to the awaited request, once it has arrived.
    awaited_reply: Option<Reply>,
}

/// Measurements that tests assert on or print.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Number of machine records written after the machine had been deleted or reclaimed.
    pub vanished_machines_recorded: usize,
    /// Number of start commands in lost replies to heartbeats.
    pub lost_starts: u64,
    /// Longest time for which the user of a live job got no answer after the faults were over.
    pub longest_unanswered: u64,
    /// Longest time for which a task waited after the faults were over although a machine had room for it.
    pub longest_starvation: u64,
    /// Times from a user's first cancel request to the first reply that reported the job as cancelled.
    pub cancellation_latencies: Vec<u64>,
    /// Longest time for which a task ran on after its job was reported as cancelled.
    pub longest_run_after_cancellation: u64,
    /// Task starts of jobs that had been reported as cancelled.
    pub starts_after_cancellation: StartsAfterCancellation,
    /// Requests that check the answers of all controllers for consistency.
    pub consistency_checks: ConsistencyChecks,
    /// Submissions that have to be rejected.
    pub malformed_requests: MalformedRequests,
    /// Second copies of commands to workers.
    pub copies_of_commands: message_copies::CopiesOfCommands,
}

impl Observations {
    /// Merges the measurements of another simulation into these.
    pub fn add(&mut self, other: Observations) {
        self.vanished_machines_recorded += other.vanished_machines_recorded;
        self.lost_starts += other.lost_starts;
        self.longest_unanswered = self.longest_unanswered.max(other.longest_unanswered);
        self.longest_starvation = self.longest_starvation.max(other.longest_starvation);
        self.cancellation_latencies.extend(other.cancellation_latencies);
        self.longest_run_after_cancellation =
            self.longest_run_after_cancellation.max(other.longest_run_after_cancellation);
        self.starts_after_cancellation.commanded_before += other.starts_after_cancellation.commanded_before;
        self.starts_after_cancellation.commanded_after += other.starts_after_cancellation.commanded_after;
        self.consistency_checks.sent += other.consistency_checks.sent;
        self.consistency_checks.deferred += other.consistency_checks.deferred;
        self.malformed_requests.answered += other.malformed_requests.answered;
        self.malformed_requests.rejected += other.malformed_requests.rejected;
        self.copies_of_commands.add(other.copies_of_commands);
    }
}

/// Numbers of task starts after the user was told that the job is cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartsAfterCancellation {
    /// Starts whose command the machine executed before the user was told.
    pub commanded_before: u64,
    /// Starts whose command the machine executed after the user had been told.
    pub commanded_after: u64,
}

/// Numbers of requests that check whether all controllers report a job's newest state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsistencyChecks {
    pub sent: u64,
    /// Requests answered with 503 although the state service was available.
    pub deferred: u64,
}

/// Numbers of submissions that have to be rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MalformedRequests {
    pub answered: u64,
    pub rejected: u64,
}

/// Returns `true` if the environment variable `SIMULATION_TRACE` is set.
fn is_trace_enabled() -> bool {
    static IS_ENABLED: OnceLock<bool> = OnceLock::new();
    *IS_ENABLED.get_or_init(|| std::env::var_os("SIMULATION_TRACE").is_some())
}

impl Simulation {
    /// Returns `true` if a task has been completed.
    pub fn is_completed(&self, job: &JobId, task: u32) -> bool {
        self.completed.contains(&TaskId { job: job.clone(), task: TaskIndex(task) })
    }

    /// Returns `true` if all tasks of a job have been completed.
    pub fn all_tasks_completed(&self, job: &JobSpec) -> bool {
        (0..job.tasks).all(|task| self.is_completed(&job.id, task))
    }

    /// Returns the number of completed tasks of a job.
    pub fn completed_tasks_of(&self, job: &JobId) -> usize {
        self.completed.iter().filter(|task| task.job == *job).count()
    }

    /// Records a log line if the environment variable `SIMULATION_TRACE` is set.
    fn trace_line(&mut self, text: impl Fn() -> String) {
        if is_trace_enabled() {
            self.trace.push(format!("{:.3} {}", self.now as f64 / SEC as f64, text()));
        }
    }
}
