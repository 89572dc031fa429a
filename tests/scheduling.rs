//! Scheduling: placement of tasks on machines, renting of machines, and the cost of heartbeats for the controllers.

mod simulation;

use crowstall::model::*;
use simulation::users::spec;
use simulation::{FOREVER, SEC, Simulation};

/// Returns `true` if a job of two large tasks completes a task within four minutes while the same team keeps submitting
/// small jobs that precede it in the job queue.
fn large_job_starts(seed: u64, team: &str, cpus: f64) -> bool {
    let mut simulation = Simulation::with_one_shard(seed, [1, 0]);
    simulation.cloud.reliable = true;
    for id in 0..700 {
        let submit_at = 2 * SEC + u64::from(id) * SEC / 2;
        simulation.add_user(spec(id, JobKind::Array, team, 5, 2.0), 6 * SEC, submit_at, None, false);
    }
    let mut large = spec(900, JobKind::Array, team, 2, cpus);
    large.class = Name::new("large");
    large.types = Some(vec![Name::new("large")]);
    let id = large.id.clone();
    simulation.add_user(large, 5 * SEC, 20 * SEC, None, false);
    simulation.run_until(20 * SEC + 240 * SEC);
    simulation.assert_no_violations();
    assert!(simulation.task_starts > 150, "seed {seed}: only {} tasks were started", simulation.task_starts);
    simulation.completed_tasks_of(&id) > 0
}

#[test]
fn large_jobs_start_within_four_minutes() {
    for seed in 0..3 {
        assert!(
            large_job_starts(seed, "limited", 14.0),
            "seed {seed}: large job not started in a team that is at its quota"
        );
        assert!(
            large_job_starts(seed, "free", 14.0),
            "seed {seed}: large job not started beside small tasks on all machines"
        );
    }
}

/// Returns the mean number of steps that the controllers take for a worker heartbeat, in a fleet with `jobs` jobs and
/// `stock` machines of each type in each zone.
fn steps_per_heartbeat(jobs: u32, stock: usize) -> f64 {
    let mut simulation = Simulation::with_large_fleet(1, jobs, stock);
    simulation.run_until(25 * SEC);
    let before = simulation.heartbeat_work();
    simulation.run_until(35 * SEC);
    let after = simulation.heartbeat_work();
    let heartbeats = after.heartbeats - before.heartbeats;
    assert!(heartbeats > 100, "only {heartbeats} heartbeats in 10 s");
    (after.steps - before.steps) as f64 / heartbeats as f64
}

#[test]
fn heartbeats_cost_no_more_in_a_larger_fleet() {
    let (small, large) = (steps_per_heartbeat(15, 10), steps_per_heartbeat(90, 60));
    assert!(large < 2.0 * small + 2.0, "{small:.1} steps per heartbeat in a small fleet, {large:.1} in a large one");
}

/// Guards against tasks that wait for machines which the cloud cannot provide. Rent requests for an unavailable machine
/// type were queued, one for each job, and counted as booting machines.
#[test]
fn unavailable_machine_types_are_not_waited_for() {
    let mut simulation = Simulation::with_one_shard(5, [20, 0]);
    for id in 0..40 {
        let mut job = spec(id, JobKind::Array, "free", 12, 2.0);
        (job.spot, job.estimate_s) = (true, 20.0);
        simulation.add_user(job, 20 * SEC, 2 * SEC, None, false);
    }
    simulation.run_until(14 * SEC);
    simulation.assert_no_violations();
    let slots: u32 =
        simulation.workers.values().map(|worker| if worker.kind.as_str() == "large" { 8 } else { 2 }).sum();
    assert!(slots >= 200, "room for {slots} of 480 tasks 12 s after they were submitted");
}

/// Index ranges of the users of `failing_jobs_cost_little_and_quarantine_no_machine`, in the order of their addition.
mod failing_jobs {
    use std::ops::Range;

    pub const SERVICES: Range<usize> = 0..8;
    pub const CORRECTED: Range<usize> = 8..12;
    pub const CANCELLED: Range<usize> = 12..16;
}

/// Guards against jobs that occupy the fleet although a mistake in their submission makes them fail everywhere. Such
/// jobs were started on every machine and caused further machines to be rented, and a machine on which tasks of several
/// such jobs failed was quarantined or deleted.
#[test]
fn failing_jobs_cost_little_and_quarantine_no_machine() {
    for seed in 40..44 {
        let mut simulation = Simulation::with_one_shard(seed, [4, 4]);
        simulation.cloud.reliable = true;
        for id in 0..8 {
            simulation.add_user(spec(id, JobKind::Service, "free", 1, 2.0), FOREVER, 2 * SEC, None, false);
        }
        simulation.run_until(20 * SEC);
        for id in 20..28 {
            let submit_at = 20 * SEC + u64::from(id % 4) * SEC;
            simulation.add_user(spec(id, JobKind::Array, "free", 20, 1.0), SEC, submit_at, None, true);
        }
        simulation.run_until(40 * SEC);
        let (starts, rented) = (simulation.task_starts, simulation.cloud.rented);
        check_sound_job_beside_failing_ones(&mut simulation, seed, starts, rented);
        check_corrected_and_cancelled_jobs(&mut simulation, seed);
        simulation.assert_no_violations();
    }
}

/// Checks that failing tasks take no room from other jobs, even while a new leader does not know yet which tasks have
/// failed.
fn check_sound_job_beside_failing_ones(simulation: &mut Simulation, seed: u64, starts: u64, rented: u64) {
    simulation.crash_all(SEC);
    simulation.add_user(spec(30, JobKind::Array, "free", 12, 1.0), SEC, 40 * SEC, None, false);
    simulation.run_until(75 * SEC);
    let failing_starts = simulation.task_starts - starts - 12;
    let more_rented = simulation.cloud.rented - rented;
    let done = simulation.users.last().and_then(|user| user.done_at).map(|at| at / SEC);
    assert!(done.is_some_and(|at| at < 56), "seed {seed}: the job that does not fail was done at second {done:?}");
    assert!(failing_starts <= 8 * 6, "seed {seed}: {failing_starts} starts of failing tasks in 35 s");
    assert!(more_rented <= 6, "seed {seed}: {more_rented} machines rented in 35 s");
    let services = &simulation.users[failing_jobs::SERVICES];
    let running: usize = services.iter().map(|user| simulation.running_tasks_of(&user.spec.id)).sum();
    assert_eq!(running, 8, "seed {seed}: running services");
}

/// Checks that a failing job completes once its mistake is corrected, and that a failing job can be cancelled at once.
fn check_corrected_and_cancelled_jobs(simulation: &mut Simulation, seed: u64) {
    let now = simulation.now;
    simulation.users[failing_jobs::CORRECTED].iter_mut().for_each(|user| user.fails = false);
    simulation.users[failing_jobs::CANCELLED].iter_mut().for_each(|user| user.cancel_after = Some(0));
    simulation.run_until(now + 8 * SEC);
    let cancelled = &simulation.users[failing_jobs::CANCELLED];
    assert!(
        cancelled.iter().all(|user| user.cancelled_at.is_some()),
        "seed {seed}: some failing jobs are not cancelled"
    );
    simulation.run_until(now + 80 * SEC);
    let corrected = &simulation.users[failing_jobs::CORRECTED];
    assert!(corrected.iter().all(|user| user.done_at.is_some()), "seed {seed}: some corrected jobs are not done");
}

/// Outcome of a scenario with one large job.
struct LargeJob {
    /// Time at which the user was told that the job is done, in seconds.
    done_at_s: Option<u64>,
    /// Number of machines that were rented for the job.
    rented: u64,
}

/// Runs one large job while the boot times of machines are multiplied by a factor for each of the two zones; with
/// `None` no machine of the zone boots.
fn run_large_job(seed: u64, boot_time_factors: [Option<f64>; 2]) -> LargeJob {
    let mut simulation = Simulation::with_one_shard(seed, [30, 30]);
    simulation.cloud.reliable = true;
    simulation.cloud.boot_time_factors = Some(boot_time_factors);
    let mut job = spec(1, JobKind::Array, "free", 120, 2.0);
    (job.spot, job.estimate_s) = (true, 20.0);
    simulation.add_user(job, 20 * SEC, 2 * SEC, None, false);
    simulation.run_until(240 * SEC);
    simulation.assert_no_violations();
    LargeJob { done_at_s: simulation.users[0].done_at.map(|at| at / SEC), rented: simulation.cloud.rented }
}

/// Guards against machines that are repeatedly deleted shortly before they are up and rented again, because they boot
/// later than usual. If the machines of one zone do not boot, those of the other zone have to be used. Machines that
/// boot very fast are up before the cloud lists them.
#[test]
fn unusual_boot_times_delay_jobs_little() {
    for seed in 60..63 {
        let usual = run_large_job(seed, [Some(1.0), Some(1.0)]);
        let usually = format!("usually at {:?} with {} machines", usual.done_at_s, usual.rented);
        let late = run_large_job(seed, [Some(8.0), Some(8.0)]);
        assert!(
            late.done_at_s.is_some_and(|at| at < 120),
            "seed {seed}: late boots: done at {:?}, {usually}",
            late.done_at_s
        );
        assert!(2 * late.rented <= 3 * usual.rented, "seed {seed}: late boots: {} machines, {usually}", late.rented);
        let one_zone = run_large_job(seed, [None, Some(1.0)]);
        assert!(
            one_zone.done_at_s.is_some_and(|at| at < 100),
            "seed {seed}: no boots in one zone: done at {:?}, {usually}",
            one_zone.done_at_s
        );
        assert!(
            5 * one_zone.rented <= 7 * usual.rented,
            "seed {seed}: no boots in one zone: {} machines, {usually}",
            one_zone.rented
        );
        let instant = run_large_job(seed, [Some(0.05), Some(0.05)]);
        assert!(
            instant.done_at_s <= usual.done_at_s,
            "seed {seed}: instant boots: done at {:?}, {usually}",
            instant.done_at_s
        );
    }
}

/// Returns a best-effort job of a class without a service-level objective.
fn best_effort_job(id: u32, team: &str, tasks: u32, cpus: f64) -> JobSpec {
    let mut job = spec(id, JobKind::Array, team, tasks, cpus);
    (job.class, job.priority, job.spot) = (Name::new("scan"), Priority::BestEffort, true);
    job
}

/// Guards against ordinary machines that are rented for a best-effort job without an objective because no spot machine
/// is left.
#[test]
fn best_effort_jobs_wait_for_spot_machines() {
    let mut simulation = Simulation::with_one_shard(70, [20, 1]);
    simulation.cloud.reliable = true;
    simulation.add_user(best_effort_job(1, "free", 60, 2.0), 400 * SEC, 3 * SEC, None, false);
    // Ordinary machines are still rented for a job with an objective.
    simulation.add_user(spec(2, JobKind::Array, "free", 4, 2.0), 400 * SEC, 4 * SEC, None, false);
    simulation.run_until(60 * SEC);
    simulation.assert_no_violations();
    let ordinary = simulation.workers.values().filter(|worker| !worker.spot).count();
    assert!((1..=4).contains(&ordinary), "{ordinary} ordinary machines were rented");
}

/// Guards against best-effort jobs that never start because the cloud has no spot machines: ordinary machines have to
/// be rented early enough for the job to be done within four minutes.
#[test]
fn best_effort_jobs_start_eventually_without_spot_machines() {
    let mut simulation = Simulation::with_one_shard(71, [20, 0]);
    simulation.cloud.reliable = true;
    simulation.add_user(best_effort_job(1, "free", 6, 2.0), 5 * SEC, 2 * SEC, None, false);
    simulation.run_until(110 * SEC);
    assert_eq!(simulation.cloud.rented, 0, "ordinary machines were rented at once");
    simulation.run_until(240 * SEC);
    simulation.assert_no_violations();
    assert!(simulation.users[0].done_at.is_some(), "the job was not done");
}

/// Guards against a team that keeps all idle room until its jobs are done because it submitted them first.
#[test]
fn teams_without_quota_share_idle_room() {
    let mut simulation = Simulation::with_one_shard(72, [2, 2]);
    simulation.cloud.reliable = true;
    for (id, team, submit_at) in [(1, "free", 2), (2, "guest", 20)] {
        simulation.add_user(best_effort_job(id, team, 2000, 1.0), 3 * SEC, submit_at * SEC, None, false);
    }
    let completed = |simulation: &Simulation| {
        [0, 1].map(|user: usize| simulation.completed_tasks_of(&simulation.users[user].spec.id))
    };
    simulation.run_until(40 * SEC);
    let before = completed(&simulation);
    simulation.run_until(80 * SEC);
    simulation.assert_no_violations();
    let after = completed(&simulation);
    let (first, second) = (after[0] - before[0], after[1] - before[1]);
    assert!(
        first > 50 && 2 * second > first && 2 * first > second,
        "{first} and {second} tasks of the two teams completed in 40 s"
    );
}
