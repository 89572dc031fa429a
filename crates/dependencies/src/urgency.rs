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
    pub late_ms: Option<u64>,
    /// Expected run time of the job's own tasks in milliseconds.
    pub run_ms: u64,
}

impl Default for Urgency {
    /// Returns an urgency with the lowest priority, no due times and no run time.
    fn default() -> Urgency {
        Urgency { priority: Priority::BestEffort, due_ms: None, late_ms: None, run_ms: 0 }
    }
}

impl Urgency {
    /// Returns the higher priority and the earlier due times of both, with the run time of `self`.
    pub fn combine(&self, other: &Urgency) -> Urgency {
        Urgency {
            priority: self.priority.min(other.priority),
            due_ms: earlier(self.due_ms, other.due_ms),
            late_ms: earlier(self.late_ms, other.late_ms),
            run_ms: self.run_ms,
        }
    }

    /// Returns the urgency that the prerequisites of a job with this urgency inherit: their due times are earlier by
    /// `run_ms`, the expected run time of the job itself.
    pub fn for_prerequisites(&self, run_ms: u64) -> Urgency {
        let subtract_run = |time: Option<u64>| time.map(|time| time.saturating_sub(run_ms));
        Urgency { due_ms: subtract_run(self.due_ms), late_ms: subtract_run(self.late_ms), ..*self }
    }
}

/// Returns the earlier of two times, where `None` is later than any time.
fn earlier(one: Option<u64>, other: Option<u64>) -> Option<u64> {
    one.into_iter().chain(other).min()
}
