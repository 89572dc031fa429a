//! Benchmarks of learning, forecasting, and writing and restoring a snapshot after 100, 10,000 and 1,000,000
//! observations. Also prints the sizes of the learner and its snapshots.

#![allow(missing_docs)]

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use crowstall_forecast::replay::{HistoryLine, Replay};
use crowstall_forecast::synthetic::HistoryGenerator;
use crowstall_forecast::{Attempt, JobObservations, Learner, Limits, Outcome, Span, TaskFeatures, Time, snapshot};
use std::hint::black_box;

/// Size limit that no snapshot reaches.
const UNLIMITED_BYTES: usize = 1 << 20;
/// Size limit that leaves room only for the most useful cells.
const LIMITED_BYTES: usize = 4000;

/// Returns a learner after `count` lines of a synthetic history, and the next 1,000 lines.
fn learner_after(count: usize) -> (Learner, Vec<HistoryLine>) {
    let mut replay = Replay::new(Limits::default());
    let mut history = HistoryGenerator::new(7);
    for line in history.by_ref().take(count) {
        replay.process(&line);
    }
    (replay.learner, history.take(1000).collect())
}

/// Prints the memory of a learner and the sizes of its snapshots.
fn print_sizes(count: usize, learner: &Learner, whole: &str, limited: &str) {
    let (memory_bytes, cell_count) = (learner.memory_bytes(), learner.cell_count());
    println!(
        "after {count} observations: {cell_count} kinds of work, {memory_bytes} bytes in memory, {} for each, snapshot \
         {} bytes, at most {LIMITED_BYTES}: {} bytes with {} kinds",
        memory_bytes / cell_count.max(1),
        whole.len(),
        limited.len(),
        snapshot::read(limited).map_or(0, |snapshot| snapshot.cell_count()),
    );
}

fn learning(criterion: &mut Criterion) {
    for count in [100, 10_000, 1_000_000] {
        let (learner, next_lines) = learner_after(count);
        measure_learning(criterion, count, &learner, &next_lines);
        measure_snapshots(criterion, count, &learner, Time::ZERO + Span::secs(next_lines[0].at_s));
    }
}

fn measure_learning(criterion: &mut Criterion, count: usize, learner: &Learner, lines: &[HistoryLine]) {
    let now = Time::ZERO + Span::secs(lines[0].at_s);
    let features: Vec<TaskFeatures> = lines.iter().map(HistoryLine::features).collect();
    let mut group = criterion.benchmark_group("after");
    let mut index = 0;
    group.bench_function(BenchmarkId::new("learn", count), |bencher| {
        let mut learner = learner.clone();
        let mut job = JobObservations::default();
        bencher.iter(|| {
            index = (index + 1) % features.len();
            let attempt = Attempt { run_time: Span::secs(lines[index].ran_s), outcome: Outcome::Completed };
            learner.learn(&features[index], attempt, &mut job, now);
        });
    });
    group.bench_function(BenchmarkId::new("predict", count), |bencher| {
        bencher.iter(|| {
            index = (index + 1) % features.len();
            black_box(learner.predict(&features[index], &JobObservations::default()))
        });
    });
    group.finish();
}

fn measure_snapshots(criterion: &mut Criterion, count: usize, learner: &Learner, now: Time) {
    let whole = snapshot::write(learner, now, UNLIMITED_BYTES).unwrap_or_default();
    let limited = snapshot::write(learner, now, LIMITED_BYTES).unwrap_or_default();
    print_sizes(count, learner, &whole, &limited);
    let mut group = criterion.benchmark_group("after");
    group.bench_function(BenchmarkId::new("write", count), |bencher| {
        bencher.iter(|| black_box(snapshot::write(learner, now, UNLIMITED_BYTES)));
    });
    group.bench_function(BenchmarkId::new("write-4000", count), |bencher| {
        bencher.iter(|| black_box(snapshot::write(learner, now, LIMITED_BYTES)));
    });
    group.bench_function(BenchmarkId::new("restore", count), |bencher| {
        bencher.iter_batched(
            || whole.clone(),
            |text| snapshot::read(&text).map(|read| Learner::from_snapshot(&read, 2, Limits::default(), now)),
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

criterion_group!(benches, learning);
criterion_main!(benches);
