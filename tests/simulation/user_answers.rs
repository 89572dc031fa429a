//! Checks of the safety rules that concern the answers to users.

use super::user_requests::{POLL_TIMEOUT, REQUEST_TIMEOUT};
use super::users::UserRequest;
use super::*;

/// States of jobs in answers to users.
mod job_state {
    pub const DONE: &str = "done";
    pub const CANCELLED: &str = "withdrawn";
}

impl Simulation {
    /// Checks the reply to a user and records the reported state.
    pub(super) fn handle_user_reply(&mut self, index: usize, request_number: u64, reply: &Reply) {
        let now = self.now;
        let user = &mut self.users[index];
        let open = user.open_requests.remove(&request_number);
        let Some((request, sent_at)) = open.filter(|(_, sent_at)| now - *sent_at <= REQUEST_TIMEOUT) else { return };
        if request == UserRequest::PollUnknownJob {
            if reply.status == 200 {
                self.record_violation(
                    Rule::UnknownJob,
                    format!("the poll of a job that was not submitted got {}", reply.body),
                );
            }
            return;
        }
        if !self.check_status(index, sent_at, reply.status) {
            return;
        }
        if request != UserRequest::Poll || now - sent_at <= POLL_TIMEOUT {
            self.users[index].last_answer_at = now;
        }
        if request == UserRequest::Submit && self.users[index].accepted_at.is_none() {
            self.users[index].accepted_at = Some(now);
            self.schedule_consistency_checks(index, true);
        }
        let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
        self.check_reported_job(index, &body);
        self.check_reported_state(index, sent_at, body["mood"].as_str().unwrap_or_default());
    }

    /// Checks the status of a reply. Returns `true` if the reply contains the job's state.
    fn check_status(&mut self, index: usize, sent_at: u64, status: u16) -> bool {
        let now = self.now;
        let user = &mut self.users[index];
        // No answer may be older than the state that any controller had reported when the request was sent.
        let was_accepted = user.accepted_at.is_some_and(|accepted_at| accepted_at < sent_at);
        match status {
            200 | 201 => return true,
            400 | 404 | 422 if was_accepted => {
                let detail = format!("a request for the accepted job {} got the status {status}", user.spec.id);
                self.record_violation(Rule::LostJob, detail);
            }
            503 if now < self.consistency_checks_until && self.state_service.is_available(now) => {
                self.observations.consistency_checks.deferred += 1;
            }
            _ => {}
        }
        false
    }

    /// Checks that an answer is about the job that the user asked about.
    fn check_reported_job(&mut self, index: usize, body: &serde_json::Value) {
        let job = &self.users[index].spec.id;
        if body["id"].as_str() != Some(job.as_str()) {
            let detail = format!("a request about job {job} got the answer {body}");
            self.record_violation(Rule::OtherJob, detail);
        }
    }

    /// Checks the state reported to a user and records it.
    fn check_reported_state(&mut self, index: usize, sent_at: u64, state: &str) {
        let user = &self.users[index];
        let done = user.done_at.map(|at| (job_state::DONE, at));
        let known_final_state = done.or(user.cancelled_at.map(|at| (job_state::CANCELLED, at)));
        if let Some((known_state, told_at)) = known_final_state
            && state != known_state
        {
            // The answer to a request sent before that report may be older, but must not contain another final state.
            if told_at < sent_at || matches!(state, job_state::DONE | job_state::CANCELLED) {
                let later = sent_at.saturating_sub(told_at) / MS;
                let detail = format!(
                    "job {} is reported as {state} after {known_state}, in reply to a request sent {later} ms later",
                    user.spec.id
                );
                self.record_violation(Rule::StaleAnswer, detail);
            }
            return;
        }
        match state {
            job_state::DONE => self.check_reported_done(index, known_final_state.is_none()),
            job_state::CANCELLED => self.check_reported_cancelled(index, known_final_state.is_none()),
            _ => self.check_reported_live(index, state),
        }
    }

    fn check_reported_done(&mut self, index: usize, is_new: bool) {
        self.users[index].done_at.get_or_insert(self.now);
        if is_new {
            self.schedule_consistency_checks(index, false);
        }
        let spec = &self.users[index].spec;
        if !self.all_tasks_completed(spec) {
            self.record_violation(
                Rule::PrematureDone,
                format!("job {} is reported as done before all of its tasks are completed", spec.id),
            );
        }
    }

    fn check_reported_cancelled(&mut self, index: usize, is_new: bool) {
        let now = self.now;
        let user = &mut self.users[index];
        let was_requested = user.cancel_requested;
        if !was_requested && !self.prerequisite_cancel_requested(index) {
            let detail = format!("job {} is reported as cancelled without a cancel request", self.users[index].spec.id);
            return self.record_violation(Rule::StaleAnswer, detail);
        }
        let user = &mut self.users[index];
        if user.cancelled_at.is_none() && was_requested {
            self.observations.cancellation_latencies.push(now - user.cancel_requested_at);
        }
        user.cancelled_at.get_or_insert(now);
        if is_new {
            self.schedule_consistency_checks(index, false);
        }
    }

    fn check_reported_live(&mut self, index: usize, state: &str) {
        let Some((prerequisite, cancelled_at)) = self.cancelled_prerequisite(index) else { return };
        let user = &self.users[index];
        let from = cancelled_at.max(user.accepted_at.unwrap_or(self.now));
        if self.now > from + CANCELLATION_BOUND {
            let prerequisite = &self.users[prerequisite].spec.id;
            let detail = format!(
                "job {} is still reported as {state} although the prerequisite {prerequisite} was cancelled",
                user.spec.id
            );
            self.record_violation(Rule::LiveAfterPrerequisiteCancelled, detail);
        }
    }
}
