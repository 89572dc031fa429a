//! Simulated users, each with one job.

use super::*;

/// User with the job's specification and the states that controllers have reported.
pub struct User {
    pub spec: JobSpec,
    /// Run time of the first task of the job.
    pub run_time: u64,
    /// Difference between the run times of a task and the one before it.
    pub run_time_step: u64,
    /// `true` if the job's tasks fail on every machine, as after a mistake in the submission.
    pub fails: bool,
    pub submit_at: u64,
    /// Time from the submission to the first cancel request. `None`: the job is not cancelled.
    pub cancel_after: Option<u64>,
    /// Time at which the user was told that the job is accepted.
    pub accepted_at: Option<u64>,
    /// Time at which the user was told that the job is cancelled.
    pub cancelled_at: Option<u64>,
    /// Time at which the user was told that the job is done.
    pub done_at: Option<u64>,
    /// `true` if the user has asked to cancel the job.
    pub cancel_requested: bool,
    /// Time of the first cancel request.
    pub(super) cancel_requested_at: u64,
    /// Users whose jobs are the prerequisites: accepted before this job is submitted, and done before it starts.
    pub prerequisites: Vec<usize>,
    /// `true` if the job is submitted only after its prerequisites have ended.
    pub waits_for_prerequisites: bool,
    /// `true` if the user has given up submitting the job.
    pub abandoned: bool,
    pub(super) requests_sent: u64,
    /// Unanswered requests by number, with the times at which they were sent.
    pub(super) open_requests: BTreeMap<u64, (UserRequest, u64)>,
    /// Time of the last reply that contained the job's state.
    pub(super) last_answer_at: u64,
}

impl User {
    /// Returns `true` if the user was told that the job is done or cancelled.
    pub fn is_over(&self) -> bool {
        self.cancelled_at.is_some() || self.done_at.is_some()
    }

    /// Returns the run time of a task of the job.
    pub(super) fn run_time_of(&self, task: TaskIndex) -> u64 {
        self.run_time + self.run_time_step * u64::from(task.0)
    }
}

/// Request of a user to a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UserRequest {
    Submit,
    Poll,
    Cancel,
    /// Poll of a job that was not submitted.
    PollUnknownJob,
}

/// Returns a job without placement constraints, checkpoints or prerequisites, whose estimated run time is 5 s.
pub fn spec(id: u32, kind: JobKind, team: &str, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: JobId::new(&format!("wk-{id:06}")),
        class: Name::new(if kind == JobKind::Array { "batch" } else { "front" }),
        team: Name::new(team),
        kind,
        priority: if kind == JobKind::Array { Priority::Normal } else { Priority::High },
        tasks,
        needs: Resources { cpus: Quantity::new(cpus), gpus: Quantity::new(0.0), memory: Quantity::new(cpus) },
        image: Name::new("img-1"),
        image_gb: 0.5,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 5.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        prerequisites: Vec::new(),
    }
}

impl Simulation {
    /// Adds a user whose job is submitted at `submit_at`, and cancelled `cancel_after` later if that is set. If
    /// `fails`, the job's tasks fail on every machine.
    pub fn add_user(&mut self, spec: JobSpec, run_time: u64, submit_at: u64, cancel_after: Option<u64>, fails: bool) {
        let user = self.users.len();
        self.users.push(User {
            spec,
            run_time,
            run_time_step: 0,
            fails,
            submit_at,
            cancel_after,
            accepted_at: None,
            cancelled_at: None,
            done_at: None,
            cancel_requested: false,
            cancel_requested_at: 0,
            prerequisites: Vec::new(),
            waits_for_prerequisites: false,
            abandoned: false,
            requests_sent: 0,
            open_requests: BTreeMap::new(),
            last_answer_at: 0,
        });
        self.schedule(submit_at, ScheduledEvent::UserStep { user });
    }

    /// Adds a job that depends on the jobs of other users, and returns the index of its user. The job is submitted once
    /// its prerequisites are accepted.
    pub fn add_dependent_job(
        &mut self,
        mut spec: JobSpec,
        prerequisites: &[usize],
        run_time: u64,
        submit_at: u64,
        cancel_after: Option<u64>,
    ) -> usize {
        spec.prerequisites = prerequisites.iter().map(|user| self.users[*user].spec.id.clone()).collect();
        let user = self.users.len();
        self.add_user(spec, run_time, submit_at, cancel_after, false);
        self.users[user].prerequisites = prerequisites.to_vec();
        user
    }

    /// Adds services of the limited and the free team with 28 tasks in total, which run until the end of the
    /// simulation.
    pub fn add_services(&mut self) {
        for id in 0..12 {
            let team = if id % 3 == 0 { "limited" } else { "free" };
            let tasks = if team == "limited" { 1 } else { 3 };
            self.add_user(spec(id, JobKind::Service, team, tasks, 2.0), FOREVER, 2 * SEC, None, false);
        }
    }

    /// Returns the jobs that were not reported as done, except services, jobs that run for more than a minute,
    /// cancelled ones, and those whose prerequisites were cancelled.
    pub fn unfinished_jobs(&self) -> Vec<&JobId> {
        let unfinished = (0..self.users.len()).filter(|index| {
            let user = &self.users[*index];
            let may_be_unfinished = user.run_time > 60 * SEC || user.cancel_after.is_some() || user.cancel_requested;
            !may_be_unfinished && user.done_at.is_none() && !self.is_withdrawn(*index)
        });
        unfinished.map(|index| &self.users[index].spec.id).collect()
    }

    /// Returns `true` if a prerequisite of a user's job was cancelled, and the user was told so or gave up submitting.
    fn is_withdrawn(&self, index: usize) -> bool {
        let user = &self.users[index];
        self.prerequisite_cancel_requested(index) && (user.cancelled_at.is_some() || user.accepted_at.is_none())
    }

    /// Returns the direct or indirect prerequisite that was reported as cancelled first, and the time of that report.
    /// Prerequisites whose users did not ask to cancel them are left out.
    pub fn cancelled_prerequisite(&self, user: usize) -> Option<(usize, u64)> {
        let mut first: Option<(usize, u64)> = None;
        for prerequisite in self.all_prerequisites(user) {
            let user = &self.users[prerequisite];
            if let Some(cancelled_at) = user.cancelled_at
                && user.cancel_requested
                && first.is_none_or(|(_, other)| cancelled_at < other)
            {
                first = Some((prerequisite, cancelled_at));
            }
        }
        first
    }

    /// Returns `true` if the cancellation of a direct or indirect prerequisite of a user's job was requested.
    pub(super) fn prerequisite_cancel_requested(&self, user: usize) -> bool {
        self.all_prerequisites(user).into_iter().any(|prerequisite| self.users[prerequisite].cancel_requested)
    }

    /// Returns the direct and indirect prerequisites of a user's job.
    fn all_prerequisites(&self, user: usize) -> Vec<usize> {
        let (mut open, mut seen, mut found) = (vec![user], BTreeSet::from([user]), Vec::new());
        while let Some(user) = open.pop() {
            for prerequisite in &self.users[user].prerequisites {
                if seen.insert(*prerequisite) {
                    found.push(*prerequisite);
                    open.push(*prerequisite);
                }
            }
        }
        found
    }
}
