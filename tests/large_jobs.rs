//! Jobs of the largest sizes that users may submit: no event takes memory or work far beyond the size of its input, of
//! the fleet and of the records in memory.

mod simulation;

use crowstall::model::{JobKind, JobSpec};
use simulation::event_meter::EventMeter;
use simulation::users::spec;
use simulation::{Endpoint, LOSE_PACKETS, NetworkPartition, SEC, Simulation};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Largest number of tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// Memory in bytes that an event may take while it is handled: a tenth of the smallest limit of a controller, 40 MB.
const MAX_EVENT_BYTES: usize = 4_000_000;

thread_local! {
    /// Bytes that this thread has allocated and not freed.
    static ALLOCATED: Cell<isize> = const { Cell::new(0) };
    /// The maximum of these since the last event began.
    static MAXIMUM: Cell<isize> = const { Cell::new(0) };
    /// The bytes when the last event began.
    static BEFORE_EVENT: Cell<isize> = const { Cell::new(0) };
}

/// Counts the bytes that each thread has allocated.
struct CountingAllocator;

impl CountingAllocator {
    fn count(bytes: isize) {
        let allocated = ALLOCATED.get() + bytes;
        ALLOCATED.set(allocated);
        MAXIMUM.set(MAXIMUM.get().max(allocated));
    }
}

// SAFETY: all calls are passed on unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        CountingAllocator::count(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        CountingAllocator::count(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn begin_event() {
    MAXIMUM.set(ALLOCATED.get());
    BEFORE_EVENT.set(ALLOCATED.get());
}

fn bytes_of_event() -> usize {
    (MAXIMUM.get() - BEFORE_EVENT.get()).max(0) as usize
}

/// Returns a cluster that measures the memory of each event.
fn metered_cluster(seed: u64) -> Simulation {
    let mut simulation = Simulation::with_one_shard(seed, [4, 4]);
    simulation.event_meter = Some(EventMeter::new(begin_event, bytes_of_event));
    simulation
}

/// Returns an array of the largest size, each task of which takes a whole machine and is due soon.
fn largest_array(id: u32) -> JobSpec {
    let mut array = spec(id, JobKind::Array, "free", MAX_TASKS, 16.0);
    array.deadline_s = Some(60.0);
    array
}

/// Guards against plans of the fleet with an entry for each machine that a job could use, of which the cloud is asked
/// for 50 at a time: six arrays took every controller over its memory limit as soon as it had loaded them.
#[test]
fn arrays_of_the_largest_size_take_little_memory_in_any_event() {
    let mut simulation = metered_cluster(1);
    for id in 0..6 {
        simulation.add_user(largest_array(id), 20 * SEC, 3 * SEC, None, false);
    }
    simulation.run_until(20 * SEC);
    let leader = simulation.current_leader();
    simulation.crash(leader, 5 * SEC);
    simulation.run_for(25 * SEC);
    simulation.assert_no_violations();
    assert!(simulation.task_starts > 0, "no task was started");
    let bytes = simulation.most_bytes_of_an_event();
    println!("at most {bytes} bytes in an event");
    assert!(bytes <= MAX_EVENT_BYTES, "an event took {bytes} bytes");
}

/// Guards against rental requests that pile up, with an entry in each plan for every machine, while the cloud does not
/// answer.
#[test]
fn unanswered_rentals_take_little_memory_in_any_event() {
    let mut simulation = metered_cluster(2);
    simulation.run_until(10 * SEC);
    let until = simulation.now + 600 * SEC;
    simulation.partitions.push(NetworkPartition {
        one_end: Endpoint::Cloud,
        other_end: None,
        until,
        delay_packets: LOSE_PACKETS,
    });
    for id in 0..6 {
        let submit_at = simulation.now + SEC;
        simulation.add_user(largest_array(id), 20 * SEC, submit_at, None, false);
    }
    simulation.run_until(until);
    simulation.assert_no_violations();
    let bytes = simulation.most_bytes_of_an_event();
    println!("at most {bytes} bytes in an event");
    assert!(bytes <= MAX_EVENT_BYTES, "an event took {bytes} bytes");
}

/// Guards against a step for each task of the jobs whose records are loaded: an event loads up to 500 records, and each
/// may be of a job with 100,000 tasks.
#[test]
fn loading_large_arrays_takes_work_for_their_records_alone() {
    const ARRAYS: u32 = 30;
    let mut simulation = metered_cluster(3);
    for id in 0..ARRAYS {
        simulation.add_user(spec(id, JobKind::Array, "free", MAX_TASKS, 2.0), 3 * SEC, 3 * SEC, None, false);
    }
    simulation.run_until(30 * SEC);
    let leader = simulation.current_leader();
    simulation.crash(leader, 5 * SEC);
    simulation.run_for(30 * SEC);
    simulation.assert_no_violations();
    let inspections = simulation.most_inspections_of_an_event();
    println!("at most {inspections} inspections in an event");
    assert!(!simulation.completed.is_empty(), "no task was done");
    assert!(inspections <= u64::from(MAX_TASKS) / 10, "an event took {inspections} inspections");
}
