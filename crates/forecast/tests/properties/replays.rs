//! Replays of histories: coverage and accuracy of the forecasts, and malformed lines.

use crate::support::log_normal;
use crowstall_forecast::Limits;
use crowstall_forecast::replay::{self, Replay};
use crowstall_forecast::synthetic::HistoryGenerator;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[test]
fn replayed_histories_are_forecast_with_nominal_coverage() {
    for seed in 1..=5 {
        let run = || {
            let mut replay = Replay::new(Limits::default());
            HistoryGenerator::new(seed).take(8000).for_each(|line| replay.process(&line));
            replay
        };
        let replay = run();
        let summary = &replay.summary;
        assert_eq!(*summary, run().summary, "seed {seed}: a second replay gave another result");
        // The learner must have judged the same intervals for its calibration as the replay.
        assert_eq!(replay.learner.calibration.overall(), summary.all(), "seed {seed}");
        let all = summary.all();
        let within_quarter = all.within_quarter_fraction().expect("some attempts completed");
        assert!(within_quarter >= 0.6, "seed {seed}: {within_quarter} within a quarter");
        for tally in [all, summary.few_observations, summary.many_observations] {
            let coverage = tally.coverage().expect("some attempts completed");
            assert!((0.75..=0.85).contains(&coverage), "seed {seed}: coverage {coverage}: {summary:?}");
        }
        let best_baseline = summary.job_mean_within_quarter.max(summary.estimate_within_quarter);
        assert!(all.within_quarter > best_baseline, "seed {seed}: {summary:?}");
    }
}

/// Guards against intervals that follow only the observed shape: the scale of the run times alternates between small
/// and large while their location drifts, so that the next run times have another shape.
#[test]
fn intervals_keep_nominal_coverage_while_the_scale_changes() {
    for seed in 1..=4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let medians: Vec<f64> = (0..6).map(|_| rng.random_range(10.0..300.0)).collect();
        let mut replay = Replay::new(Limits::default());
        for number in 0..4000 {
            let class = rng.random_range(0..medians.len());
            let deviation = 0.1 + 0.5 * (f64::from(number) / 200.0).sin().abs();
            let drift = if number / 500 % 2 == 1 { 0.0004 * f64::from(number) } else { 0.0 };
            let ran_s = log_normal(&mut rng, medians[class], deviation) * drift.exp();
            let estimate_s = log_normal(&mut rng, medians[class], 0.3);
            let text = format!(
                r#"{{"at_s":{},"team":"t","class":"c{class}","type":"m","tasks":3,"estimate_s":{estimate_s},"ran_s":{ran_s},"end":"done"}}"#,
                number * 5
            );
            replay.process(&replay::parse(&text).expect("the line is valid"));
        }
        for tally in [replay.summary.few_observations, replay.summary.many_observations] {
            let coverage = tally.coverage().expect("some forecasts are judged");
            assert!((0.75..=0.85).contains(&coverage), "seed {seed}: coverage {coverage}: {tally:?}");
        }
    }
}

#[test]
fn malformed_history_lines_are_refused_with_the_reason() {
    let good =
        r#"{"at_s":0.0,"team":"t","class":"c","type":"m4","tasks":40,"estimate_s":30.0,"ran_s":27.5,"end":"done"}"#;
    assert!(replay::parse(good).is_ok());
    for (from, to, reason) in [
        ("\"cl", "\"kl", "class"),
        ("27.5", "-1", "ran_s"),
        ("40", "0", "tasks"),
        ("done", "gone", "gone"),
        ("\"t\"", "\"\"", "team"),
        ("}", "", "EOF"),
    ] {
        let error = replay::parse(&good.replace(from, to)).expect_err(to).to_string();
        assert!(error.contains(reason), "{to}: {error}");
    }
}
