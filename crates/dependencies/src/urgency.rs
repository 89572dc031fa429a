//! Urgency of a job, and the urgency that its prerequisites inherit.

use crowstall_model::model::Priority;

/// The priority and the due times of a job. Due times are wall-clock times in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Priority; a smaller value is more urgent.
    pub priority: Priority,
    /// Time by which the job should be done. `None` if the job has no deadline.
    pub due_ms: Option<u64>,
    /// Time until which the job's result is still of use. `None` if the job has no deadline.
    pub useful_until_ms: Option<u64>,
    /// Expected run time of the job's own tasks in milliseconds.
    pub expected_run_ms: u64,
}

impl Default for Urgency {
    /// Returns an urgency with the lowest priority, no due times and no run time.
    fn default() -> Urgency {
        Urgency { priority: Priority::BestEffort, due_ms: None, useful_until_ms: None, expected_run_ms: 0 }
    }
}

impl Urgency {
    /// Returns the higher priority and the earlier due times of both, with the run time of `self`.
    pub fn combine(&self, other: &Urgency) -> Urgency {
        Urgency {
            priority: self.priority.min(other.priority),
            due_ms: earlier(self.due_ms, other.due_ms),
            useful_until_ms: earlier(self.useful_until_ms, other.useful_until_ms),
            expected_run_ms: self.expected_run_ms,
        }
    }

    /// Returns the urgency that the prerequisites of a job with this urgency inherit: the due times are earlier by the
    /// expected run time of the job.
    pub fn for_prerequisites(&self) -> Urgency {
        let subtract_run = |time: Option<u64>| time.map(|time| time.saturating_sub(self.expected_run_ms));
        Urgency { due_ms: subtract_run(self.due_ms), useful_until_ms: subtract_run(self.useful_until_ms), ..*self }
    }

    /// Returns `true` if the urgency that a job inherits may change when that of one of its dependents changes from
    /// `previous` to `current`. `self` is the urgency that the job inherited before.
    pub(crate) fn is_affected_by(&self, previous: &Urgency, current: &Urgency) -> bool {
        let (previous, current) = (previous.for_prerequisites(), current.for_prerequisites());
        let is_raised = self.combine(&current) != *self;
        let may_be_lowered =
            previous.combine(&current) != Urgency { expected_run_ms: previous.expected_run_ms, ..current };
        is_raised || may_be_lowered
    }
}

/// Returns the earlier of two times, where `None` is later than any time.
fn earlier(one: Option<u64>, other: Option<u64>) -> Option<u64> {
    one.into_iter().chain(other).min()
}
