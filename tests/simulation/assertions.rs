//! Assertions shared by many tests.

use super::*;
use std::fmt::Display;

impl Simulation {
    /// Panics if a safety rule was violated.
    #[track_caller]
    pub fn assert_no_violations(&self) {
        self.assert_no_violations_in("");
    }

    /// Panics if a safety rule was violated. `case` names the test case in the message.
    #[track_caller]
    pub fn assert_no_violations_in(&self, case: impl Display) {
        let (seed, violations) = (self.seed, &self.violations);
        assert!(violations.is_empty(), "{case} seed {seed}: {violations:#?}\n{}", self.trace.join("\n"));
    }

    /// Panics if a job has not been reported as done, except services, long jobs and cancelled ones.
    #[track_caller]
    pub fn assert_no_unfinished_jobs(&self) {
        self.assert_no_unfinished_jobs_in("");
    }

    /// Panics if a job has not been reported as done, except services, long jobs and cancelled ones. `case` names the
    /// test case in the message.
    #[track_caller]
    pub fn assert_no_unfinished_jobs_in(&self, case: impl Display) {
        let unfinished = self.unfinished_jobs();
        assert!(
            unfinished.is_empty(),
            "{case} seed {}: jobs that were not reported as done: {unfinished:?}",
            self.seed
        );
    }

    /// Panics unless every accepted job is done or cancelled, directly or because a prerequisite was cancelled.
    #[track_caller]
    pub fn assert_accepted_jobs_ended(&self) {
        let open: Vec<&JobId> = (0..self.users.len())
            .filter(|user| {
                let state = &self.users[*user];
                let is_cancelled =
                    state.cancelled_at.is_some() || state.abandoned || self.cancelled_prerequisite(*user).is_some();
                state.accepted_at.is_some() && state.done_at.is_none() && !is_cancelled
            })
            .map(|user| &self.users[user].spec.id)
            .collect();
        assert!(
            open.is_empty(),
            "seed {}: accepted jobs that did not end: {open:?}, {} task starts",
            self.seed,
            self.task_starts
        );
    }

    /// Panics if more than `max` jobs were never accepted.
    #[track_caller]
    pub fn assert_jobs_accepted_except(&self, max: usize) {
        let not_accepted = self.users.iter().filter(|user| user.accepted_at.is_none()).count();
        assert!(not_accepted <= max, "seed {}: {not_accepted} jobs were never accepted, more than {max}", self.seed);
    }

    /// Panics if the state service rejected a transaction because of its size.
    #[track_caller]
    pub fn assert_nothing_rejected_for_size(&self) {
        let rejected = &self.state_service.rejected_for_size;
        assert!(rejected.is_empty(), "seed {}: transactions rejected because of their size: {rejected:?}", self.seed);
    }

    /// Returns `true` if one of the rules was violated.
    pub fn violates(&self, rules: &[Rule]) -> bool {
        self.violations.iter().any(|violation| rules.contains(&violation.rule))
    }
}
