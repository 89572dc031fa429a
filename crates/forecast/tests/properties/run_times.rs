//! Forecasts of run times from observations on which a plain average would be wrong.

use crate::support::{TASK_DEVIATION, features, forecast, learn, log_normal, median, run_jobs};
use crowstall_forecast::{JobObservations, Learner, Level, Limits, Name, Outcome, RunTimeForecast};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[test]
fn zone_outage_censoring_two_in_five_attempts_moves_the_median_by_less_than_a_twentieth() {
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut learner, mut now_s) = (Learner::new(1, Limits::default()), 0.0);
        let task = features("sift", "small", 5, 60.0);
        run_jobs(&mut learner, &mut rng, &task, 40.0, 100, &mut now_s);
        let before = median(&learner, &task);
        // Of 100 attempts, 40 are censored at a random time; the others complete.
        for _ in 0..20 {
            let mut job = JobObservations::default();
            for index in 0..5 {
                let full = log_normal(&mut rng, 40.0, TASK_DEVIATION);
                if index < 2 {
                    let ran = full * rng.random_range(0.0..1.0);
                    learn(&mut learner, &task, ran, Outcome::Censored, &mut job, now_s);
                } else {
                    learn(&mut learner, &task, full, Outcome::Completed, &mut job, now_s);
                }
            }
        }
        let after = median(&learner, &task);
        assert!((after / before - 1.0).abs() < 0.05, "seed {seed}: {before} became {after}");
    }
}

#[test]
fn class_with_only_censored_attempts_keeps_a_wide_interval_and_is_not_underestimated() {
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut learner = Learner::new(1, Limits::default());
        let task = features("endless", "small", 1, 100.0);
        let first = forecast(&learner, &task);
        let mut longest: f64 = 0.0;
        for second in 0..300 {
            let ran = rng.random_range(1.0..150.0);
            longest = longest.max(ran);
            learn(&mut learner, &task, ran, Outcome::Censored, &mut JobObservations::default(), f64::from(second));
        }
        let last = forecast(&learner, &task);
        assert_eq!((last.observations, last.level), (0, Level::Estimate));
        assert!(last.median.as_secs() >= 100.0, "seed {seed}: {last:?}");
        assert!(last.high.as_secs() > longest, "seed {seed}: {last:?} although one attempt ran for {longest} s");
        let width = |forecast: &RunTimeForecast| forecast.high.as_secs() / forecast.low.as_secs();
        assert!(width(&last) > 0.6 * width(&first), "seed {seed}: {first:?} became {last:?}");
    }
}

#[test]
fn estimates_biased_by_a_factor_of_three_are_corrected_within_tens_of_completions() {
    for (seed, factor) in [(1, 3.0), (2, 1.0 / 3.0)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut learner, mut now_s) = (Learner::new(1, Limits::default()), 0.0);
        let classes = ["a", "b", "c"];
        for _ in 0..60 {
            for class in classes {
                run_jobs(&mut learner, &mut rng, &features(class, "small", 3, 50.0), 50.0, 1, &mut now_s);
            }
        }
        // All further estimates are biased in the same direction.
        for _ in 0..10 {
            let estimate = log_normal(&mut rng, 50.0 * factor, 0.1);
            run_jobs(&mut learner, &mut rng, &features("a", "small", 3, estimate), 50.0, 1, &mut now_s);
        }
        let forecast = median(&learner, &features("a", "small", 3, 50.0 * factor));
        assert!((0.75..1.25).contains(&(forecast / 50.0)), "factor {factor}: {forecast} s instead of 50 s");
    }
}

#[test]
fn change_of_speed_is_learned_by_the_class_and_within_a_job() {
    let mut rng = SmallRng::seed_from_u64(3);
    let (mut learner, mut now_s) = (Learner::new(1, Limits::default()), 0.0);
    let task = features("turning", "small", 4, 30.0);
    run_jobs(&mut learner, &mut rng, &task, 30.0, 100, &mut now_s);
    run_jobs(&mut learner, &mut rng, &task, 75.0, 20, &mut now_s);
    let forecast = median(&learner, &task);
    assert!((0.75..1.25).contains(&(forecast / 75.0)), "{forecast} s instead of 75 s");
    // The forecast for the next task of a job must adapt to the job's earlier tasks before the class does.
    let mut job = JobObservations::default();
    for _ in 0..4 {
        learn(&mut learner, &task, log_normal(&mut rng, 150.0, TASK_DEVIATION), Outcome::Completed, &mut job, now_s);
    }
    let forecast = learner.predict(&task, &job).median.as_secs();
    assert!((0.75..1.25).contains(&(forecast / 150.0)), "{forecast} s instead of 150 s");
}

#[test]
fn new_machine_type_starts_from_its_class_and_then_learns_its_own_run_times() {
    let mut rng = SmallRng::seed_from_u64(4);
    let (mut learner, mut now_s) = (Learner::new(1, Limits::default()), 0.0);
    let (known, new) = (features("sift", "small", 4, 60.0), features("sift", "large", 4, 60.0));
    run_jobs(&mut learner, &mut rng, &known, 40.0, 50, &mut now_s);
    let first = forecast(&learner, &new);
    assert_eq!(first.level, Level::ClassAndSize);
    assert!((0.8..1.25).contains(&(first.median.as_secs() / 40.0)), "{first:?}");
    run_jobs(&mut learner, &mut rng, &new, 20.0, 20, &mut now_s);
    let (large, small) = (median(&learner, &new), median(&learner, &known));
    assert!((0.75..1.25).contains(&(large / 20.0)) && (0.85..1.15).contains(&(small / 40.0)), "{large}, {small}");
}

#[test]
fn job_of_25000_tasks_does_not_outweigh_500_small_jobs() {
    let mut rng = SmallRng::seed_from_u64(5);
    let (mut learner, mut now_s) = (Learner::new(1, Limits::default()), 0.0);
    let small = features("sift", "small", 4, 60.0);
    run_jobs(&mut learner, &mut rng, &small, 40.0, 500, &mut now_s);
    run_jobs(&mut learner, &mut rng, &features("sift", "small", 25_000, 60.0), 240.0, 1, &mut now_s);
    // One kind that was observed, and one size of which only the class was observed.
    for (kind, from, to) in [(&small, 38.0, 42.0), (&features("sift", "small", 4, 15.0), 5.0, 30.0)] {
        let forecast = forecast(&learner, kind);
        assert!((from..to).contains(&forecast.median.as_secs()), "{kind:?}: {forecast:?}");
        // The interval must be neither too narrow nor too wide.
        let width = forecast.high.as_secs() / forecast.low.as_secs();
        assert!((1.2..5.0).contains(&width), "{kind:?}: {forecast:?}");
    }
}

#[test]
fn memory_is_bounded_and_the_most_useful_cells_are_kept() {
    let mut rng = SmallRng::seed_from_u64(6);
    let (mut learner, mut now_s) = (Learner::new(1, Limits::default()), 0.0);
    let often = features("often", "small", 2, 60.0);
    for kind in 0..3000 {
        let class = format!("class-{}", kind % 1500);
        run_jobs(&mut learner, &mut rng, &features(&class, "small", 1, 10.0), 10.0, 1, &mut now_s);
        if kind % 3 == 0 {
            run_jobs(&mut learner, &mut rng, &often, 40.0, 1, &mut now_s);
        }
        assert!(learner.memory_bytes() <= 64 * 1024, "{} bytes after {kind} kinds", learner.memory_bytes());
    }
    let kept = forecast(&learner, &often);
    assert!(kept.observations >= 1900 && kept.level == Level::Kind, "{kept:?}");
    // The coarser cells must still contain the observations of an evicted cell.
    let evicted = forecast(&learner, &features("class-7", "small", 1, 10.0));
    assert!((0.5..2.0).contains(&(evicted.median.as_secs() / 10.0)), "{evicted:?}");
    learner.remove_class(&Name::new("often"));
    assert_eq!(forecast(&learner, &often).observations, 0);
}
