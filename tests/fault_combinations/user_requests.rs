//! Fault combination with requests at the completion of jobs and invalid submissions. Other fault combinations use
//! [`add_jobs`] to add jobs to a running simulation.

use crate::simulation::users::spec;
use crate::simulation::{FOREVER, MS, SEC, Simulation, TemporaryFault};
use crowstall::model::*;

/// Makes users send requests at the completion of their jobs, and sends invalid submissions.
pub fn requests_at_completion(simulation: &mut Simulation) {
    let until = simulation.now + 30 * SEC;
    simulation.requests_at_completion = Some(TemporaryFault::new(until, 0.8));
    simulation.schedule_malformed_requests(until, 300 * MS);
}

/// Adds `count` jobs, which are submitted from now on, one every 50 ms. `change` modifies a default array. Services are
/// cancelled after 40 s.
pub fn add_jobs(simulation: &mut Simulation, first_id: u32, count: u32, change: impl Fn(u32, &mut JobSpec)) {
    let first_id = first_id + (simulation.now / SEC) as u32 * 1000;
    for id in first_id..first_id + count {
        let mut job = spec(id, JobKind::Array, "free", 1, 1.0);
        change(id, &mut job);
        let submit_at = simulation.now + MS + u64::from(id - first_id) * 50 * MS;
        let (run_time, cancel_after) = match job.kind {
            JobKind::Service => (FOREVER, Some(40 * SEC)),
            JobKind::Array => (2 * SEC, None),
        };
        simulation.add_user(job, run_time, submit_at, cancel_after, false);
    }
}
