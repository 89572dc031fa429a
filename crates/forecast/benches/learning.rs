//! What it costs to learn, to predict, to write a snapshot and to restore one, after 100, 10,000 and
//! 1,000,000 observations. Prints sizes as well.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use crowstall_forecast::replay::{Line, Replay};
use crowstall_forecast::{Attempt, End, JobTrack, Learner, Limits, Span, Time, Work, snapshot, standin};
use std::hint::black_box;

fn learned(count: usize) -> (Learner, Vec<Line>) {
    let mut replay = Replay::new(Limits::default());
    let mut history = standin::History::new(7);
    for line in history.by_ref().take(count) {
        replay.line(&line);
    }
    (replay.learner, history.take(1000).collect())
}

fn learning(criterion: &mut Criterion) {
    for count in [100, 10_000, 1_000_000] {
        let (learner, next) = learned(count);
        let now = Time::ZERO + Span::secs(next[0].at_s);
        let works: Vec<Work> = next.iter().map(Line::work).collect();
        let text = snapshot::write(&learner, now, 1 << 20).unwrap_or_default();
        let small = snapshot::write(&learner, now, 4000).unwrap_or_default();
        let (memory, kinds) = (learner.memory(), learner.kinds());
        println!(
            "after {count} observations: {kinds} kinds of work, {memory} bytes in memory, {} for each, snapshot {} \
             bytes, at most 4000: {} bytes with {} kinds",
            memory / kinds.max(1),
            text.len(),
            small.len(),
            snapshot::read(&small).map_or(0, |snapshot| snapshot.kinds()),
        );
        let mut group = criterion.benchmark_group("after");
        let mut at = 0;
        group.bench_function(BenchmarkId::new("learn", count), |bencher| {
            let mut learner = learner.clone();
            let mut track = JobTrack::default();
            bencher.iter(|| {
                at = (at + 1) % works.len();
                let attempt = Attempt { ran: Span::secs(next[at].ran_s), end: End::Completed };
                learner.learn(&works[at], attempt, &mut track, now);
            });
        });
        group.bench_function(BenchmarkId::new("predict", count), |bencher| {
            bencher.iter(|| {
                at = (at + 1) % works.len();
                black_box(learner.predict(&works[at], &JobTrack::default()))
            });
        });
        group.bench_function(BenchmarkId::new("write", count), |bencher| {
            bencher.iter(|| black_box(snapshot::write(&learner, now, 1 << 20)));
        });
        group.bench_function(BenchmarkId::new("write-4000", count), |bencher| {
            bencher.iter(|| black_box(snapshot::write(&learner, now, 4000)));
        });
        group.bench_function(BenchmarkId::new("restore", count), |bencher| {
            bencher.iter_batched(
                || text.clone(),
                |text| snapshot::read(&text).map(|read| Learner::from_snapshot(&read, 2, Limits::default(), now)),
                BatchSize::SmallInput,
            );
        });
        group.finish();
    }
}

criterion_group!(benches, learning);
criterion_main!(benches);
