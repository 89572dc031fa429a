//! The checker notices each kind of fault that the meetings are about.

use crate::first::FIRST;
use crate::further::FURTHER;
use crate::walk::{Meeting, met};
use crate::world::{Mutation, World};

fn meeting(name: &str) -> &'static Meeting {
    FIRST.iter().chain(&FURTHER).find(|one| one.name.contains(name)).expect("there is such a meeting")
}

/// Whether a rule is broken within some seeds, with a guard taken away.
fn notices(mutation: Mutation, names: &[&str], rule: &str) -> bool {
    let what: Vec<&Meeting> = names.iter().map(|name| meeting(name)).collect();
    (0..30).any(|seed| {
        let world: World = met(seed, mutation, &what);
        world.broken.iter().any(|broken| broken.contains(rule))
    })
}

#[test]
fn answers_that_are_older_than_another_nodes() {
    assert!(notices(Mutation::OldReads, &["close looks"], "went_back"));
}

#[test]
fn tasks_that_wait_beside_room() {
    assert!(notices(Mutation::RunsIgnored, &["at the very end"], "idle"));
}

#[test]
fn cancelled_tasks_that_go_on_after_a_hang() {
    assert!(notices(Mutation::HangsForgiven, &["cancelled at the limit"], "ran_cancelled"));
}

#[test]
fn submissions_taken_that_cannot_be() {
    assert!(notices(Mutation::AnythingGoes, &["at the very end"], "accepted_odd"));
}

#[test]
fn limits_of_every_team() {
    assert!(notices(Mutation::OneLimit, &["ten leaders"], "the free team"));
    assert!(notices(Mutation::NoGpuLimits, &["ten leaders"], "the guest team"));
}
