//! Benchmarks of a watch cache for fleets of several sizes: the first list, and the changes of one second. Also prints
//! the memory of the cache. Answers are decoded from their wire form, as in a controller.

#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use crowstall::model::{JobId, JobKind, JobSpec, Name, Priority, Quantity, Resources, Revision, ShardId};
use crowstall::protocol::state::{StateAnswer, StateCall, WatchedChange};
use crowstall::storage::records::{LiveRecord, MachineRecord, to_value};
use crowstall::time::{Span, Time};
use crowstall_leadership::{WatchCache, WatchChange};
use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of entries per page of a list.
const PAGE_SIZE: usize = 500;

/// Number of changes per second at the state service's limit on writes.
const CHANGES_PER_SECOND: usize = 100;

/// Returns the key and the record of a machine.
fn machine_record(number: usize) -> (String, serde_json::Value) {
    let record = MachineRecord {
        shard: ShardId(0),
        kind: Name::new("tsagaan-four"),
        zone: Name::new("khan-uul-colo"),
        spot: number.is_multiple_of(2),
        addr: format!("10.1.{}.{}:9000", number / 250, number % 250),
    };
    (format!("machine/i-{number:06}"), to_value(&record))
}

/// Returns the key and the record of a live job.
fn job_record(number: usize) -> (String, serde_json::Value) {
    let job = JobSpec {
        id: JobId::new(&format!("wk-{number:06}")),
        class: Name::new("similarity-sweep"),
        team: Name::new("textcheck-desk-03"),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 250,
        needs: Resources { cpus: Quantity::new(4.0), gpus: Quantity::new(0.0), memory: Quantity::new(5.2) },
        image: Name::new("img-07"),
        image_gb: 1.8,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 25.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        prerequisites: Vec::new(),
    };
    let done = "0-40,42,45-90".to_string();
    let record = LiveRecord {
        shard: ShardId(0),
        home_shard: None,
        parts: 0,
        job,
        accepted_ms: 1_700_000_000_000,
        ready_ms: None,
        done,
        start_watermark: 250,
        fails_everywhere: false,
    };
    (format!("live/wk-{number:06}"), to_value(&record))
}

/// Returns the pages of a list, encoded as the state service sends them.
fn pages(entries: &[(String, serde_json::Value)]) -> Vec<Vec<u8>> {
    let count = entries.len().div_ceil(PAGE_SIZE);
    let wire = |(index, page): (usize, &[(String, serde_json::Value)])| {
        let entries = page.iter().map(|(key, value)| serde_json::json!({ "k": key, "data": value, "molt": 1 }));
        let entries: Vec<serde_json::Value> = entries.collect();
        let page = serde_json::json!({ "entries": entries, "truncated": index + 1 < count, "tally": 1 });
        page.to_string().into_bytes()
    };
    entries.chunks(PAGE_SIZE).enumerate().map(wire).collect()
}

/// Returns a watch cache after it has received the pages of a list.
fn filled_cache<R: serde::de::DeserializeOwned>(pages: &[Vec<u8>]) -> WatchCache<R> {
    let mut cache = WatchCache::new(Span::millis(1000), 1_000_000);
    let mut now = Time::ZERO + Span::millis(1000);
    cache.start(now);
    let call = StateCall::List { prefix: "live/", after: None };
    for page in pages {
        now += Span::millis(1000);
        cache.next_request(now, true).expect("a page is due");
        let Ok(StateAnswer::Page { entries, more, revision }) = call.answer(200, page) else { panic!("not a page") };
        let read = |entry: crowstall::protocol::state::Entry| {
            (entry.key, entry.version, serde_json::from_value(entry.value).expect("the value is a record"))
        };
        cache.listed(entries.into_iter().map(read).collect(), more, revision, now);
    }
    cache
}

/// Allocator that counts the allocated bytes. The memory of the process would be misleading from the second fleet size
/// on, because freed pages are not returned to the system.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn watch_cache(criterion: &mut Criterion) {
    for machines in [1_373, 5_000, 13_000] {
        let jobs: Vec<_> = (0..machines / 4).map(job_record).collect();
        let machines_listed: Vec<_> = (0..machines).map(machine_record).collect();
        let (job_pages, machine_pages) = (pages(&jobs), pages(&machines_listed));
        let bytes: usize = job_pages.iter().chain(&machine_pages).map(Vec::len).sum();
        let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
        let caches = (filled_cache::<LiveRecord>(&job_pages), filled_cache::<MachineRecord>(&machine_pages));
        let memory = ALLOCATED_BYTES.load(Ordering::Relaxed) - before;
        println!(
            "{machines} machines, {} jobs: {bytes} bytes in {} pages, {memory} bytes of memory",
            caches.0.len(),
            job_pages.len() + machine_pages.len()
        );
        let mut group = criterion.benchmark_group("follow");
        group.sample_size(20);
        group.bench_function(BenchmarkId::new("list", machines), |bencher| {
            bencher.iter(|| {
                black_box((filled_cache::<LiveRecord>(&job_pages), filled_cache::<MachineRecord>(&machine_pages)))
            });
        });
        let log: Vec<serde_json::Value> = (0..CHANGES_PER_SECOND)
            .map(|index| {
                let (key, value) = &jobs[index * 3 % jobs.len()];
                serde_json::json!({ "set": key, "data": value, "molt": index + 2 })
            })
            .collect();
        let wire = serde_json::json!({ "tally": CHANGES_PER_SECOND + 2, "log": log }).to_string().into_bytes();
        println!("{CHANGES_PER_SECOND} changes: {} bytes", wire.len());
        let call = StateCall::Watch { prefix: "live/", after: Revision(1) };
        let mut cache = caches.0;
        let mut now = Time::ZERO + Span::millis(1_000_000);
        group.bench_function(BenchmarkId::new("a second's changes", machines), |bencher| {
            bencher.iter(|| {
                now += Span::millis(1000);
                cache.next_request(now, true).expect("a request is due");
                let Ok(StateAnswer::Changes { log, revision }) = call.answer(200, &wire) else { panic!("no changes") };
                let read = |change| match change {
                    WatchedChange::Set { key, value, version } => {
                        WatchChange::Set(key, version, serde_json::from_value(value).expect("the value is a record"))
                    }
                    WatchedChange::Delete { key, version } => WatchChange::Delete(key, version),
                };
                cache.changed(log.into_iter().map(read).collect(), revision, now);
            });
        });
        group.finish();
    }
}

criterion_group!(benches, watch_cache);
criterion_main!(benches);
