//! Forecasts of finish times, and promises.

use crate::support::{features, forecast, learner_with, log_normal};
use crowstall_forecast::{
    AvailableCapacity, BootingCapacity, FinishForecast, FinishInputs, JobId, JudgedPromise, Promises, RunTimeForecast,
    Span, Time, forecast_finish,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn finish_inputs<'a>(
    run_time: RunTimeForecast,
    pending: u32,
    running: &'a [Span],
    ahead_cpu_s: f64,
    capacity: &'a AvailableCapacity,
) -> FinishInputs<'a> {
    let image_fetch = Span::secs(4.0);
    FinishInputs { run_time, cpus_per_task: 2.0, pending, running, ahead_cpu_s, image_fetch, capacity }
}

fn random_capacity(rng: &mut SmallRng) -> AvailableCapacity {
    let mut booting: Vec<BootingCapacity> = (0..rng.random_range(0..4))
        .map(|_| BootingCapacity { ready_in: Span::secs(rng.random_range(1.0..90.0)), cpus: 8.0 })
        .collect();
    booting.sort_by_key(|booting| booting.ready_in);
    AvailableCapacity { cpus: rng.random_range(2.0..200.0), booting, max_cpus: rng.random_range(2.0..100.0) }
}

fn with_later_boots(capacity: &AvailableCapacity) -> AvailableCapacity {
    let mut later = capacity.clone();
    later.booting.iter_mut().for_each(|booting| booting.ready_in = booting.ready_in.times(1.5));
    later
}

#[test]
fn finish_forecast_is_monotone_in_work_and_capacity_and_deterministic() {
    let learner = learner_with(1, "sift", 40.0, 50);
    let run_time = forecast(&learner, &features("sift", "small", 2, 60.0));
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let capacity = random_capacity(&mut rng);
        let running: Vec<Span> = (0..rng.random_range(0..5)).map(|_| Span::secs(rng.random_range(0.0..60.0))).collect();
        let (pending, ahead) = (rng.random_range(1..500), rng.random_range(0.0..20_000.0));
        let finish = |pending, ahead, capacity: &AvailableCapacity| {
            forecast_finish(&finish_inputs(run_time, pending, &running, ahead, capacity))
        };
        let base = finish(pending, ahead, &capacity).expect("there is capacity");
        assert_eq!(finish(pending, ahead, &capacity), Some(base), "seed {seed}: a second forecast differs");
        assert!(base.low <= base.median && base.median <= base.high, "seed {seed}: {base:?}");
        let assert_not_earlier = |other: Option<FinishForecast>, change: &str| {
            let other = other.expect("there is capacity");
            let is_not_earlier = base.low <= other.low && base.median <= other.median && base.high <= other.high;
            assert!(is_not_earlier, "seed {seed}, {change}: {base:?}, {other:?}");
        };
        assert_not_earlier(finish(pending + rng.random_range(1..50), ahead, &capacity), "more tasks");
        assert_not_earlier(finish(pending, ahead + rng.random_range(0.0..5000.0), &capacity), "more work ahead");
        let fraction = rng.random_range(0.3..1.0);
        let fewer_cpus = AvailableCapacity { cpus: capacity.cpus * fraction, ..capacity.clone() };
        assert_not_earlier(finish(pending, ahead, &fewer_cpus), "less capacity");
        assert_not_earlier(finish(pending, ahead, &with_later_boots(&capacity)), "later boots");
    }
    let none = AvailableCapacity { cpus: 0.0, booting: Vec::new(), max_cpus: 8.0 };
    assert_eq!(forecast_finish(&finish_inputs(run_time, 1, &[], 0.0, &none)), None);
}

#[test]
fn nine_in_ten_promises_are_kept_and_only_material_changes_revise_them() {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut promises = Promises::default();
    let mut now = Time::ZERO;
    let (mut kept, mut total_lateness) = (0, Span::ZERO);
    for number in 0..2000 {
        let job = JobId::new(&format!("wk-{number}"));
        let median_s = rng.random_range(20.0..200.0);
        let median = Span::secs(median_s);
        // Without calibration the intervals are about half as wide as they should be.
        let finish = FinishForecast { low: Span::secs(median_s * 0.85), median, high: Span::secs(median_s * 1.15) };
        let first = promises.promise(&job, finish, now);
        let similar = FinishForecast { median: Span::secs(median_s * 1.01), ..finish };
        assert_eq!(
            promises.promise(&job, similar, now + Span::secs(0.2)),
            first,
            "the promise was revised without a material change"
        );
        let doubled =
            FinishForecast { low: median, median: Span::secs(2.0 * median_s), high: Span::secs(3.0 * median_s) };
        let revised = promises.promise(&job, doubled, now + Span::secs(1.0));
        assert_eq!(revised.revisions, 1);
        assert!(revised.promised_finish > first.promised_finish);
        let end = now + Span::secs(log_normal(&mut rng, median_s, 0.25));
        let JudgedPromise { promise, lateness } =
            promises.judge_finished_job(&job, end).expect("the job had a promise");
        assert_eq!((promise, lateness), (first, end.since(first.promised_finish)));
        kept += u64::from(lateness == Span::ZERO);
        total_lateness = total_lateness + lateness;
        now += Span::secs(3.0);
    }
    assert_eq!(promises.judged.judged - promises.judged.above, kept);
    assert_eq!(promises.total_lateness, total_lateness);
    assert_eq!(promises.job_count(), 0);
    assert!((1740..=1860).contains(&kept), "{kept} of 2000 were kept");
}
