//! Two troubles at once: each meeting of `docs/meetings.md` brought about on purpose, with the rules checked after
//! each step.

mod world;

use crowstall::model::*;
use crowstall::protocol::users::Ask;
use rand::Rng;
use world::users::spec;
use world::{Cut, Host, MS, SEC, World};

fn holder(world: &World) -> usize {
    world.holder(0).expect("somebody holds the shard")
}

fn peers(node: usize) -> impl Iterator<Item = Host> + Clone {
    (0..3).filter(move |other| *other != node).map(Host::Node)
}

/// Services everywhere, each of whose users asks to cancel it at some moment around 31 s.
fn about_to_be_cancelled(seed: u64, more: &str) -> World {
    let mut world = World::with_one_shard_and(seed, [12, 12], more);
    for id in 0..24 {
        let cancel = 28 * SEC + u64::from(id) * 100 * MS;
        world.add_user(spec(id, JobKind::Service, "free", 2, 2.0), u64::MAX / 4, 2 * SEC, Some(cancel), false);
    }
    world.run_until(30 * SEC);
    world
}

/// The holder's cancellations are recorded but it gets no answer, other controllers read them and tell, and then the
/// state service is down for all for longer than a cancellation may take, while workers keep reporting to the
/// holder. `parted`: from the other controllers too, which replace it just before.
fn cancelled_without_an_answer(seed: u64, parted: bool) -> World {
    let mut world = about_to_be_cancelled(seed, "claim.life.ms = 8000");
    let node = holder(&world);
    let now = world.now + world.rng.random_range(0..600 * MS);
    world.run_until(now);
    let down = world.rng.random_range(SEC..if parted { 4 * SEC } else { 1600 * MS });
    world.state.unanswered = Some((node, now + down));
    if parted {
        let to = peers(node);
        world.cuts.extend(to.map(|to| Cut { a: Host::Node(node), b: Some(to), until: now + 70 * SEC, hold: false }));
        // Workers reach the one that they report to.
        let numbers: Vec<u32> = world.workers.keys().copied().collect();
        for number in numbers {
            let to = peers(node);
            let cut = |to| Cut { a: Host::Machine(number), b: Some(to), until: now + 70 * SEC, hold: false };
            world.cuts.extend(to.map(cut));
        }
        world.cloud.keeps_until = now + 70 * SEC;
    }
    world.run_until(now + down);
    let begin = world.now;
    world.state.start_outage(begin, 60 * SEC);
    world.run_until(now + 90 * SEC);
    world
}

#[test]
fn what_a_holder_was_asked_to_cancel_is_gone_in_time_though_it_never_learns_that_it_was_recorded() {
    let mut told = 0;
    for seed in 0..24 {
        let world = cancelled_without_an_answer(seed, seed % 2 == 1);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        told += world.users.iter().filter(|user| user.cancelled_at.is_some_and(|at| at < 40 * SEC)).count();
    }
    assert!(told >= 12, "only {told} users were told that their job is cancelled before the outage");
}

/// A holder that reaches neither workers nor controllers gives its shard up, and the answer to that is lost; short jobs
/// end elsewhere at once. Gives back how often it told something older of a job whose end is recorded, and how many
/// ends were recorded meanwhile.
fn told_after_giving_up(seed: u64) -> (usize, usize) {
    let mut world = World::with_one_shard(seed, [12, 12]);
    world.add_services();
    for id in 100..400 {
        let at = 5 * SEC + u64::from(id - 100) * 150 * MS;
        world.add_user(spec(id, JobKind::Array, "free", 2, 1.0), SEC, at, None, false);
    }
    world.run_until(25 * SEC);
    let (node, now) = (holder(&world), world.now);
    for to in peers(node).chain([Host::Machines]) {
        world.cuts.push(Cut { a: Host::Node(node), b: Some(to), until: now + 12 * SEC, hold: false });
    }
    // Just before it does so it still reaches the state service.
    let lost = now + world.rng.random_range(4500 * MS..5 * SEC);
    world.run_until(lost);
    world.state.unanswered = Some((node, lost + 8 * SEC));
    while world.holder(0) == Some(node) && world.now < lost + 3 * SEC {
        let next = world.now + 10 * MS;
        world.run_until(next);
    }
    assert_ne!(world.holder(0), Some(node), "seed {seed}: nothing was given up");
    let jobs: Vec<JobId> = world.users.iter().map(|user| user.spec.id.clone()).collect();
    let is_over = |world: &World, job: &JobId| world.state.get(&format!("end/{job}")).is_some();
    let open: Vec<JobId> = jobs.into_iter().filter(|job| !is_over(&world, job)).collect();
    let (mut older, end) = (0, world.now + 4 * SEC);
    while world.now < end {
        let next = world.now + 20 * MS;
        world.run_until(next);
        for job in open.iter().filter(|job| is_over(&world, job)).cloned().collect::<Vec<_>>() {
            let reply = world.ask(node, Ask::Poll(job));
            older += usize::from(reply.is_some_and(|reply| reply.status == 200));
        }
    }
    assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    (older, open.iter().filter(|job| is_over(&world, job)).count())
}

#[test]
fn a_holder_that_gives_its_shard_up_tells_nothing_more_before_it_knows_what_became_of_that() {
    let (mut older, mut ends) = (0, 0);
    for seed in 0..8 {
        let (told, recorded) = told_after_giving_up(seed);
        (older, ends) = (older + told, ends + recorded);
    }
    assert_eq!(older, 0, "older answers of the one that gave up");
    assert!(ends >= 20, "only {ends} ends were recorded");
}
