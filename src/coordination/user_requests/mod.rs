//! User requests: submitting, polling and cancelling jobs, and asking for forecasts.
//!
//! A request is answered from memory if this node leads the job's shard, otherwise by the shard's leader, and otherwise
//! from the records in the state service.
//!
//! - [`operations`]: calls to the state service on behalf of users;
//! - [`views`]: replies that report the state of a job;
//! - [`lookup`]: reading the records of a job that is not in memory;
//! - [`adoption`]: loading a job into the memory of its shard from a live record;
//! - [`polling`]: polls and forecasts;
//! - [`cancellation`]: cancelling a job;
//! - [`submission`]: validating a submission and choosing the controller that accepts the job;
//! - [`feasibility`]: rejecting jobs that can never run;
//! - [`new_job`]: construction of the first record of a job;
//! - [`acceptance`]: committing the first record of a job and handling the answer;
//! - [`handoff`]: jobs that another controller accepted for a shard led by this node.

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
pub(super) use views::{final_view, live_state};

use super::controller::Controller;
use super::events::Requester;
use crate::model::JobId;
use crate::protocol::state::StateResult;
use std::collections::{HashMap, HashSet};

/// User requests that are waiting for the state service.
#[derive(Default)]
pub(super) struct UserRequests {
    /// Jobs whose first records are being written, with the requesters that wait for the outcome.
    accepting: HashMap<JobId, Vec<Requester>>,
    /// Keys of the hand-off records that are being read or removed.
    handoffs_in_flight: HashSet<String>,
}

impl UserRequests {
    /// Returns `true` if the first records of a job are being written.
    fn is_accepting(&self, job: &JobId) -> bool {
        self.accepting.contains_key(job)
    }

    /// Adds a requester that is answered once the write of a job's first records has an outcome.
    fn await_acceptance(&mut self, job: &JobId, requester: Requester) {
        self.accepting.entry(job.clone()).or_default().push(requester);
    }

    /// Removes and returns the requesters that wait for the acceptance of a job.
    fn take_acceptance_requesters(&mut self, job: &JobId) -> Vec<Requester> {
        self.accepting.remove(job).unwrap_or_default()
    }

    /// Returns `true` if a hand-off record is being read or removed.
    fn is_handoff_in_flight(&self, key: &str) -> bool {
        self.handoffs_in_flight.contains(key)
    }

    /// Marks a hand-off record as being read or removed, so that it is not processed twice at the same time.
    fn begin_handoff(&mut self, key: &str) {
        self.handoffs_in_flight.insert(key.to_string());
    }

    /// Ends the processing of a hand-off record. If the record still exists, it is processed when it is next seen.
    fn finish_handoff(&mut self, key: &str) {
        self.handoffs_in_flight.remove(key);
    }
}

impl Controller {
    /// Handles the answer of the state service to a call on behalf of a user.
    pub(super) fn user_operation_answered(&mut self, operation: UserOperation, answer: StateResult) {
        match operation {
            UserOperation::LookUp(lookup) => self.job_looked_up(*lookup, answer),
            UserOperation::Accept(new_job) => self.acceptance_answered(*new_job, answer),
            UserOperation::ReadHandoff { leadership, handoff, sent_at } => {
                self.handoff_read(leadership, handoff, sent_at, answer);
            }
            UserOperation::RemoveHandoff { handoff } => self.user_requests.finish_handoff(&handoff),
        }
    }
}
