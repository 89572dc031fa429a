//! Overload: once its cause is over, every user of an accepted job is answered again.

mod simulation;

use crowstall::model::{JobKind, Name, Priority};
use crowstall::storage::rate_limiter::RateLimiter;
use simulation::processor::Processor;
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

/// Machines of the large fleet.
const FLEET: usize = 4_000;
/// Jobs that wait because the whole fleet is in use.
const WAITING_JOBS: u32 = 200;
/// Processor that handles some 10,000 events a second.
const PROCESSOR: Processor = Processor { event_us: 100, inspection_ns: 1000 };

/// Returns a cluster whose fleet of about 4,000 machines is filled by services, and where arrays start to wait at
/// `arrays_at`. One array of the lowest priority runs, so that the waiting ones look for tasks to preempt.
fn cluster_with_full_fleet(seed: u64, arrays_at: u64) -> Simulation {
    let mut simulation = Simulation::with_services_for_large_fleet(seed, [FLEET / 2, 0]);
    let mut least_urgent = spec(0, JobKind::Array, "free", 1, 2.0);
    least_urgent.priority = Priority::BestEffort;
    least_urgent.types = Some(vec![Name::new("small")]);
    simulation.add_user(least_urgent, FOREVER, 2 * SEC, None, false);
    for id in 1..=80 {
        simulation.add_user(spec(id, JobKind::Service, "free", 50, 16.0), FOREVER, 4 * SEC, None, false);
    }
    for at in 0..WAITING_JOBS {
        let submit_at = arrays_at + u64::from(at) * SEC / 100;
        simulation.add_user(spec(100 + at, JobKind::Array, "free", 4, 16.0), 30 * SEC, submit_at, None, false);
    }
    simulation
}

/// Guards against leaders that are fenced without a fault, because the search for room takes longer than the silence
/// limit when many jobs wait for a full fleet.
#[test]
fn leadership_is_kept_while_many_jobs_wait_for_a_full_fleet_of_4000_machines() {
    let arrays_at = 40 * SEC;
    let mut simulation = cluster_with_full_fleet(1, arrays_at);
    simulation.run_until(arrays_at + 4 * SEC);
    assert!(simulation.running_tasks() >= FLEET - 1, "only {} tasks are running", simulation.running_tasks());
    simulation.processor = Some(PROCESSOR);
    simulation.liveness_checked_from = Some(simulation.now);
    let acquisitions = simulation.state_service.leadership_acquisitions;
    simulation.run_for(20 * SEC);
    simulation.assert_no_violations();
    assert_eq!(simulation.state_service.leadership_acquisitions, acquisitions, "leadership has changed");
}

/// Checks the simulated processor itself.
#[test]
fn a_controller_with_a_slow_processor_takes_longer_to_acquire_leadership() {
    let leader_after = |event_us| {
        let mut simulation = Simulation::with_one_shard(1, [4, 4]);
        simulation.processor = Some(Processor { event_us, inspection_ns: 0 });
        simulation.run_until(4 * SEC);
        simulation.leader(0)
    };
    assert!(leader_after(1).is_some());
    assert_eq!(leader_after(2 * SEC), None);
}
