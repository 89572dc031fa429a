//! Requests of users: submitting, polling and cancelling jobs, and asking for forecasts.
//!
//! A request is answered from memory where this node leads the job's shard, else by the shard's leader, else from the
//! records in the state service.
//!
//! - [`operations`]: the calls to the state service that these requests lead to;
//! - [`views`]: replies that report how a job stands;
//! - [`lookup`]: reading the records of a job that is not in memory;
//! - [`adoption`]: adding a job to the memory of its shard as a record describes it;
//! - [`polling`]: polls and forecasts;
//! - [`cancellation`]: cancelling a job;
//! - [`submission`]: validating a submission and choosing the controller that accepts the job;
//! - [`feasibility`]: whether a job can ever run;
//! - [`new_job`]: the first record of a job;
//! - [`acceptance`]: writing that record, and what follows from the answer;
//! - [`handoff`]: jobs that another controller accepted for a shard of this node.

mod acceptance;
mod adoption;
mod cancellation;
mod feasibility;
mod handoff;
mod lookup;
mod new_job;
mod operations;
mod polling;
mod submission;
mod views;

pub(super) use new_job::{NewJob, Submission};
pub(super) use operations::{LookupPurpose, UserOperation};
pub(super) use views::{final_reply, live_state, state_reply};

use super::controller::Controller;
use super::events::Requester;
use crate::model::JobId;
use crate::protocol::state::StateResult;
use std::collections::{HashMap, HashSet};

/// Requests of users that wait for the state service.
#[derive(Default)]
pub(super) struct UserRequests {
    /// Jobs whose acceptance is being recorded, with those who submitted them.
    accepting: HashMap<JobId, Vec<Requester>>,
    /// The keys of hand-off records that are being read or removed.
    handoffs_in_flight: HashSet<String>,
}

impl UserRequests {
    /// Whether the acceptance of a job is being recorded.
    fn is_accepting(&self, job: &JobId) -> bool {
        self.accepting.contains_key(job)
    }

    /// Has a requester wait until the acceptance of a job is recorded.
    fn await_acceptance(&mut self, job: &JobId, requester: Requester) {
        self.accepting.entry(job.clone()).or_default().push(requester);
    }

    /// Returns those who wait for the acceptance of a job, now that the outcome is known.
    fn take_accepting(&mut self, job: &JobId) -> Vec<Requester> {
        self.accepting.remove(job).unwrap_or_default()
    }

    /// Whether a hand-off record is being handled.
    fn is_handling(&self, key: &str) -> bool {
        self.handoffs_in_flight.contains(key)
    }

    /// Notes that a hand-off record is being handled.
    fn begin_handoff(&mut self, key: &str) {
        self.handoffs_in_flight.insert(key.to_string());
    }

    /// Notes that a hand-off record is not being handled any more. If it still exists it will be seen again.
    fn finish_handoff(&mut self, key: &str) {
        self.handoffs_in_flight.remove(key);
    }
}

impl Controller {
    /// Handles an answer of the state service to a call that was made for a user.
    pub(super) fn user_operation_answered(&mut self, operation: UserOperation, answer: StateResult) {
        match operation {
            UserOperation::LookUp(lookup) => self.job_looked_up(*lookup, answer),
            UserOperation::Accept(new_job) => self.accept_answered(*new_job, answer),
            UserOperation::ReadHandoff { leadership, handoff, sent } => {
                self.handoff_read(leadership, handoff, sent, answer);
            }
            UserOperation::RemoveHandoff { handoff } => self.users.finish_handoff(&handoff),
        }
    }
}
