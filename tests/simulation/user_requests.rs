//! Requests of users.

use super::users::{User, UserRequest};
use super::*;

/// Time for which a user waits for an answer.
pub(super) const REQUEST_TIMEOUT: u64 = 5 * SEC;

/// Time for which a user waits for the answer to a poll.
pub(super) const POLL_TIMEOUT: u64 = 2 * SEC;

/// Longest time for which the user of a live job may get no answer after the faults are over.
const MAX_UNANSWERED: u64 = 75 * SEC;

/// Time after which a user gives up submitting a job.
const SUBMISSION_TIMEOUT: u64 = 60 * SEC;

/// Upper bounds of the delays with which users send requests after the completion of their job.
const COMPLETION_DELAYS: [u64; 4] = [MS, 20 * MS, 200 * MS, 1200 * MS];

impl Simulation {
    /// Chooses and sends the next request of a user, and schedules the one after it.
    pub(super) fn step_user(&mut self, user: usize) {
        let random_percent: u32 = self.rng.random_range(0..100);
        if self.users[user].abandoned || self.is_unanswered_for_too_long(user) || !self.may_submit(user) {
            return;
        }
        let Some((request, pause)) = self.choose_request(user, random_percent) else { return };
        let speed = self.request_rate_factor();
        let next = self.now + pause + self.rng.random_range(0..SEC / speed);
        self.schedule(next, ScheduledEvent::UserStep { user });
        if let Some(node) = self.random_running_controller() {
            self.send_user_request(user, node, request);
        }
    }

    /// Returns the factor on the rate of the users' requests.
    fn request_rate_factor(&self) -> u64 {
        if self.now < self.request_storm_until { 8 } else { 1 }
    }

    /// Checks, once the faults are over, that the user of a live job gets answers. Returns `true` if the last one is
    /// too long ago.
    fn is_unanswered_for_too_long(&mut self, user: usize) -> bool {
        let user = &self.users[user];
        let is_live = user.accepted_at.is_some() && !user.is_over();
        let Some(liveness_checked_from) = self.liveness_checked_from.filter(|_| is_live) else { return false };
        let unanswered = self.now.saturating_sub(user.last_answer_at.max(liveness_checked_from));
        self.observations.longest_unanswered = self.observations.longest_unanswered.max(unanswered);
        if unanswered <= MAX_UNANSWERED {
            return false;
        }
        let detail = format!("the user of job {} got no answer for {} s", user.spec.id, unanswered / SEC);
        self.record_violation(Rule::LostJob, detail);
        true
    }

    /// Returns `true` if the user may send requests now. A job is not submitted before its prerequisites are accepted.
    fn may_submit(&mut self, index: usize) -> bool {
        let user = &self.users[index];
        if user.accepted_at.is_some() || user.prerequisites.is_empty() {
            return true;
        }
        let mut prerequisites = user.prerequisites.iter().map(|prerequisite| &self.users[*prerequisite]);
        if prerequisites.clone().any(|prerequisite| prerequisite.abandoned) {
            self.users[index].abandoned = true;
            return false;
        }
        let are_accepted = prerequisites.clone().all(|prerequisite| prerequisite.accepted_at.is_some());
        if !are_accepted || user.waits_for_prerequisites && !prerequisites.all(User::is_over) {
            self.schedule(self.now + 200 * MS, ScheduledEvent::UserStep { user: index });
            return false;
        }
        if user.requests_sent == 0 {
            self.users[index].submit_at = self.now;
        }
        true
    }

    /// Returns the user's next request and the pause after it, or `None` if the user gives up.
    fn choose_request(&mut self, user: usize, random_percent: u32) -> Option<(UserRequest, u64)> {
        let (now, speed) = (self.now, self.request_rate_factor());
        let user = &mut self.users[user];
        let is_over = user.is_over();
        if user.accepted_at.is_none() {
            if now > user.submit_at + SUBMISSION_TIMEOUT {
                user.abandoned = true;
                return None;
            }
            return Some((UserRequest::Submit, SEC));
        }
        // A repeated submission may arrive late, even after the job has ended.
        if random_percent < 8 {
            return Some((UserRequest::Submit, 2 * SEC));
        }
        let wants_to_cancel =
            user.cancel_requested || user.cancel_after.is_some_and(|after| now > user.submit_at + after);
        if !is_over && wants_to_cancel {
            return Some((UserRequest::Cancel, SEC));
        }
        if random_percent >= 97 {
            return Some((UserRequest::PollUnknownJob, SEC));
        }
        Some((UserRequest::Poll, if is_over { 9 * SEC } else { 3 * SEC } / speed))
    }

    /// Makes users poll one controller in turn, one request every `interval`, for `duration` from `start` on. One poll
    /// in three asks about a job that was not submitted.
    pub fn poll_steadily(&mut self, node: usize, start: u64, duration: u64, interval: u64) {
        let users = self.users.len();
        for number in 0..(duration / interval) as usize {
            let request = if number % 3 == 0 { UserRequest::PollUnknownJob } else { UserRequest::Poll };
            let event = ScheduledEvent::UserRequest { user: number % users, node, request };
            self.schedule(start + number as u64 * interval, event);
        }
    }

    fn random_running_controller(&mut self) -> Option<usize> {
        let running = self.running_controllers();
        (!running.is_empty()).then(|| running[self.rng.random_range(0..running.len())])
    }

    /// Sends a request of a user to a controller.
    fn send_user_request(&mut self, index: usize, node: usize, user_request: UserRequest) {
        let request = self.client_request(index, user_request);
        let now = self.now;
        let user = &mut self.users[index];
        user.requests_sent += 1;
        let request_number = user.requests_sent;
        user.open_requests.retain(|_, (_, sent_at)| now - *sent_at <= REQUEST_TIMEOUT);
        user.open_requests.insert(request_number, (user_request, now));
        if let Some(at) = self.packet_arrival(Endpoint::Users, Endpoint::Controller(node)) {
            let origin = RequestOrigin::User { user: index, request_number };
            self.schedule(at, ScheduledEvent::ClientRequestArrives { node, origin, request });
        }
    }

    fn client_request(&mut self, index: usize, user_request: UserRequest) -> ClientRequest {
        let user = &mut self.users[index];
        match user_request {
            UserRequest::Submit => {
                let mut spec = user.spec.clone();
                if self.disabled == DisabledSafeguard::Prerequisites {
                    spec.prerequisites.clear();
                }
                ClientRequest::Submit(Ok(spec))
            }
            UserRequest::Poll => ClientRequest::Poll(user.spec.id.clone()),
            UserRequest::Cancel => {
                if !user.cancel_requested && !user.is_over() {
                    user.cancel_requested = true;
                    user.cancel_requested_at = self.now;
                }
                ClientRequest::Cancel(user.spec.id.clone())
            }
            UserRequest::PollUnknownJob => ClientRequest::Poll(JobId::new(&format!("wk-9{index:05}"))),
        }
    }

    /// Makes some users send requests at the moment at which the last task of their job completes.
    pub(super) fn schedule_requests_at_completion(&mut self, job: &JobId) {
        let fault = self.requests_at_completion;
        let Some(probability) = fault.and_then(|fault| fault.active(self.now)) else { return };
        let Some(user) = self.users.iter().position(|user| user.spec.id == *job) else { return };
        if !self.all_tasks_completed(&self.users[user].spec) || !self.rng.random_bool(probability) {
            return;
        }
        let requests = [UserRequest::Cancel, UserRequest::Cancel, UserRequest::Submit, UserRequest::Poll];
        for _ in 0..4 {
            let max_delay = COMPLETION_DELAYS[self.rng.random_range(0..COMPLETION_DELAYS.len())];
            let delay = self.rng.random_range(0..max_delay);
            let request = requests[self.rng.random_range(0..requests.len())];
            let node = self.rng.random_range(0..CONTROLLERS);
            self.schedule(self.now + delay, ScheduledEvent::ConsistencyCheck { user, node, request });
        }
    }

    /// Makes the users of up to `count` running jobs cancel them within 200 ms. Returns the machines with tasks of
    /// these jobs.
    pub fn cancel_running_jobs(&mut self, count: usize) -> Vec<u32> {
        let running: Vec<usize> = (0..self.users.len())
            .filter(|user| !self.users[*user].is_over() && !self.machines_with_tasks_of(*user).is_empty())
            .take(count)
            .collect();
        let mut machines = Vec::new();
        for user in running {
            machines.extend(self.machines_with_tasks_of(user));
            let node = self.rng.random_range(0..CONTROLLERS);
            let delay = self.rng.random_range(0..200 * MS);
            let request = UserRequest::Cancel;
            self.schedule(self.now + delay, ScheduledEvent::ConsistencyCheck { user, node, request });
        }
        machines.sort();
        machines.dedup();
        machines
    }

    /// Returns the machines that have tasks of a user's job.
    fn machines_with_tasks_of(&self, user: usize) -> Vec<u32> {
        let job = &self.users[user].spec.id;
        self.machines_where(|worker| worker.has_task_of(job))
    }

    /// Schedules requests to all controllers immediately after a user was told a new state of the job: polls, repeated
    /// submissions and, from some users, cancellations.
    pub(super) fn schedule_consistency_checks(&mut self, user: usize, is_accepted: bool) {
        if self.now >= self.consistency_checks_until {
            return;
        }
        let cancels = if is_accepted { self.rng.random_bool(0.25) } else { self.users[user].cancel_requested };
        for round in 0..3 {
            for node in 0..CONTROLLERS {
                let request = match self.rng.random_range(0..4) {
                    0 => UserRequest::Submit,
                    1 if cancels => UserRequest::Cancel,
                    _ => UserRequest::Poll,
                };
                let delay = round * 15 * MS + self.rng.random_range(0..25 * MS);
                self.schedule(self.now + delay, ScheduledEvent::ConsistencyCheck { user, node, request });
            }
        }
    }

    /// Sends a request of a user that checks the consistency of answers to a particular controller, if that is running.
    pub(super) fn send_consistency_check(&mut self, user: usize, node: usize, request: UserRequest) {
        if self.is_up(node) {
            self.observations.consistency_checks.sent += 1;
        }
        self.send_request_to(user, node, request);
    }

    /// Sends a request of a user to a particular controller, if that is running.
    pub(super) fn send_request_to(&mut self, user: usize, node: usize, request: UserRequest) {
        if self.is_up(node) {
            self.send_user_request(user, node, request);
        }
    }

    /// Runs for `duration` and polls a controller about every job whose final record is written in that time. Counts
    /// the answers that report an older state.
    pub fn count_stale_answers(&mut self, node: usize, duration: u64) -> StaleAnswers {
        let jobs: Vec<JobId> = self.users.iter().map(|user| user.spec.id.clone()).collect();
        let live: Vec<JobId> = jobs.into_iter().filter(|job| !self.has_final_record(job)).collect();
        let mut result = StaleAnswers::default();
        let end = self.now + duration;
        while self.now < end {
            self.run_for(20 * MS);
            for job in live.iter().filter(|job| self.has_final_record(job)).cloned().collect::<Vec<_>>() {
                let reply = self.immediate_reply(node, ClientRequest::Poll(job));
                result.stale += usize::from(reply.is_some_and(|reply| reply.status == 200));
            }
        }
        result.ended_jobs = live.iter().filter(|job| self.has_final_record(job)).count();
        result
    }

    /// Returns `true` if the final record of a job is stored.
    pub fn has_final_record(&self, job: &JobId) -> bool {
        self.state_service.get(&format!("end/{job}")).is_some()
    }

    /// Returns `true` if the live record of a job is stored.
    pub fn has_live_record(&self, job: &JobId) -> bool {
        self.state_service.get(&format!("live/{job}")).is_some()
    }
}

/// Count of a controller's answers that are older than the recorded state of the job.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaleAnswers {
    /// Number of stale answers.
    pub stale: usize,
    /// Number of jobs that ended in the meantime.
    pub ended_jobs: usize,
}

impl std::ops::AddAssign for StaleAnswers {
    fn add_assign(&mut self, other: StaleAnswers) {
        self.stale += other.stale;
        self.ended_jobs += other.ended_jobs;
    }
}
