//! A deterministic simulation of a cluster around real controllers.
//!
//! The controllers are the program's own. State service, cloud, workers, users and the network are simulated in
//! simulated time, and every random choice is drawn from one generator, so that a seed determines everything that
//! happens. Tests inject faults; the [checker] looks for violations of the safety rules after each step.
//!
//! Times are microseconds of simulated time.
// Each test target uses a part of the simulation only.
#![allow(dead_code, unused_imports)]

pub mod assertions;
pub mod checker;
pub mod cloud;
pub mod controllers;
pub mod digest;
pub mod events;
pub mod faults;
mod heartbeat_copies;
pub mod malformed_requests;
pub mod network;
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
pub use network::{DELAY_PACKETS, Endpoint, LOSE_PACKETS, NetworkPartition, SlowLink, other_controllers};
pub use safeguards::DisabledSafeguard;
pub use temporary_fault::{MaxDelay, Probability, TemporaryFault};

use crowstall::config::Settings;
use crowstall::coordination::{Action, ClientRequestId, Clock, Controller, Event, OutboundCallId};
use crowstall::model::*;
use crowstall::protocol::cloud::CloudCall;
use crowstall::protocol::peers;
use crowstall::protocol::state::{Change, StateAnswer, StateCall};
use crowstall::protocol::users::ClientRequest;
use crowstall::protocol::workers::{TaskState, WorkerCall};
use crowstall::protocol::{CallError, Reply};
use crowstall::time::Time;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;

/// A millisecond.
pub const MS: u64 = 1000;

/// A second.
pub const SEC: u64 = 1_000_000;

/// How long a task may still be running after its user was told that the job is cancelled.
pub const CANCELLATION_BOUND: u64 = 30 * SEC;

/// How long the lease of a worker lasts.
pub const WORKER_LEASE: u64 = 10 * SEC;

/// The run time of a service, which ends only when it is cancelled.
pub const FOREVER: u64 = u64::MAX / 4;

/// The time between two steps of all workers.
const WORKERS_STEP: u64 = 50 * MS;

/// The time between two removals of expired leases.
const LEASE_EXPIRY_STEP: u64 = 50 * MS;

/// A simulated cluster.
pub struct Simulation {
    /// The current time.
    pub now: u64,
    /// The source of all random choices.
    pub rng: SmallRng,
    seed: u64,
    /// The safeguard that is missing.
    pub disabled: DisabledSafeguard,
    pub settings: Vec<Settings>,
    controllers: Vec<controllers::SimulatedController>,
    /// The controllers, if they are real processes.
    remote: Option<Box<dyn remote::RemoteControllers>>,
    queue: events::EventQueue,
    sequence_number: u64,
    pub state_service: state_service::StateService,
    pub cloud: cloud::Cloud,
    /// The worker machines, by number.
    pub workers: BTreeMap<u32, workers::Worker>,
    /// The quotas of the teams that have one.
    pub quotas: BTreeMap<Name, Quota>,
    /// The users, one for each job.
    pub users: Vec<users::User>,

    /// Current and former network partitions.
    pub partitions: Vec<NetworkPartition>,
    /// Packets from and to some endpoints take longer.
    pub slow_links: Vec<SlowLink>,
    /// Some heartbeats are delivered a second time, later.
    pub duplicate_heartbeats: Option<TemporaryFault<MaxDelay>>,
    /// Until when copies of heartbeats are retained, to be delivered around the next change of leadership.
    pub heartbeats_retained_until: u64,
    retained_heartbeats: Vec<(RequestOrigin, ClientRequest)>,
    /// Until when users send eight times as many requests.
    pub request_storm_until: u64,
    /// Until when users compare the answers of all controllers after each change of their job's state.
    pub consistency_checks_until: u64,
    /// Users send requests as their job completes.
    pub requests_at_completion: Option<TemporaryFault<Probability>>,
    malformed_requests_sent: u32,
    /// From when on there are no faults, so that every user must get answers and every task must be placed.
    pub faults_over_from: Option<u64>,

    /// The rules that were violated, first one first. The simulation stops at a violation.
    pub violations: Vec<Violation>,
    /// Log lines, if `SIMULATION_TRACE` is set.
    pub trace: Vec<String>,
    /// The digest of all events and actions, for tests that compare whole runs.
    pub digest: Option<digest::TraceDigest>,
    /// The tasks that were completed.
    pub completed: BTreeSet<TaskId>,
    /// What was observed so far.
    pub observations: Observations,
    /// How many tasks were started.
    pub starts: u64,
    /// How many heartbeats have arrived at a running controller.
    heartbeats: u64,
    /// Since when a task of a job has been waiting although a machine has room for it, by user.
    starved_since: HashMap<usize, u64>,

    /// A request whose reply a test waits for.
    awaited_request: Option<ClientRequestId>,
    awaited_reply: Option<Reply>,
}

/// Measurements that tests assert on or print.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// How often a machine was recorded that did not exist any more.
    pub vanished_machines_recorded: usize,
    /// Start commands in answers to heartbeats that were lost.
    pub lost_starts: u64,
    /// The longest time without an answer of a user with a live job, after the faults were over.
    pub longest_unanswered: u64,
    /// The longest time that a task had to wait although a machine had room for it, after the faults were over.
    pub longest_starvation: u64,
    /// The times from a user's first request to cancel a job until the user was told that the job is cancelled.
    pub cancellation_latencies: Vec<u64>,
    /// The longest time that a task was still running after its user was told that the job is cancelled.
    pub longest_run_after_cancellation: u64,
    pub starts_after_cancellation: StartsAfterCancellation,
    pub consistency_checks: ConsistencyChecks,
    pub malformed_requests: MalformedRequests,
}

impl Observations {
    /// Adds what was observed in another simulation.
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
    }
}

/// Starts of tasks after a user was told that the job is cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartsAfterCancellation {
    /// Starts that the machine had been commanded before the user was told.
    pub commanded_before: u64,
    /// Starts that the machine was commanded after the user had been told.
    pub commanded_after: u64,
}

/// Requests with which users compared the answers of all controllers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsistencyChecks {
    pub sent: u64,
    /// Requests that were answered with 503 while the state service was available.
    pub deferred: u64,
}

/// Submissions that have to be rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MalformedRequests {
    pub answered: u64,
    pub rejected: u64,
}

impl Simulation {
    /// Whether a task has been completed.
    pub fn is_completed(&self, job: &JobId, task: u32) -> bool {
        self.completed.contains(&TaskId { job: job.clone(), task: TaskIndex(task) })
    }

    /// Whether all tasks of a job have been completed.
    pub fn all_tasks_completed(&self, job: &JobSpec) -> bool {
        (0..job.tasks).all(|task| self.is_completed(&job.id, task))
    }

    /// Returns how many tasks of a job have been completed.
    pub fn completed_tasks_of(&self, job: &JobId) -> usize {
        self.completed.iter().filter(|task| task.job == *job).count()
    }

    /// Adds a log line if `SIMULATION_TRACE` is set.
    fn trace_line(&mut self, text: impl Fn() -> String) {
        if std::env::var_os("SIMULATION_TRACE").is_some() {
            self.trace.push(format!("{:.3} {}", self.now as f64 / SEC as f64, text()));
        }
    }
}
