//! Overload: once its cause is over, every user of an accepted job is answered again.

mod simulation;

use crowstall::model::JobKind;
use crowstall::storage::rate_limiter::RateLimiter;
use simulation::users::spec;
use simulation::{FOREVER, SEC, Simulation};

/// Requests per second that the state service executes, as the settings of the simulation's controllers say.
const STATE_REQUESTS_PER_SECOND: f64 = 120.0;
/// Writes per second that the state service executes; each change of a record counts as one.
const STATE_WRITES_PER_SECOND: usize = 30;

/// Returns a cluster whose state service enforces its limit on requests per second.
fn cluster_with_request_limit(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [40, 40]);
    simulation.cloud.reliable = true;
    let limit = RateLimiter::new(STATE_REQUESTS_PER_SECOND, STATE_REQUESTS_PER_SECOND);
    simulation.state_service.request_rate = Some(limit);
    simulation.state_service.request_limits.writes_per_second = STATE_WRITES_PER_SECOND;
    simulation
}

/// Guards against an overload that outlasts its cause. Submissions come faster than the state service can record them,
/// also after an outage of 20 s, and must not use up the requests that lease keep-alives and reads need.
#[test]
fn polls_are_answered_while_more_jobs_are_submitted_than_can_be_recorded() {
    for seed in 0..2 {
        let mut simulation = cluster_with_request_limit(seed);
        for id in 0..100 {
            simulation.add_user(spec(id, JobKind::Service, "free", 1, 2.0), FOREVER, 2 * SEC, None, false);
        }
        simulation.run_until(20 * SEC);
        for id in 100..4000 {
            let submit_at = 20 * SEC + u64::from(id - 100) * SEC / 30;
            simulation.add_user(spec(id, JobKind::Service, "free", 1, 2.0), FOREVER, submit_at, None, false);
        }
        let now = simulation.now;
        simulation.state_service.start_outage(now, 20 * SEC);
        simulation.liveness_checked_from = Some(now + 20 * SEC);
        simulation.run_until(170 * SEC);
        simulation.assert_no_violations();
    }
}
