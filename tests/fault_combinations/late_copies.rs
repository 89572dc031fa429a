//! Second copies of commands that workers have already executed and answered, while controllers and machines come back
//! within a second, and tasks are moved and cancelled.

use crate::simulation::message_copies::CopiesOfCommands;
use crate::simulation::users::spec;
use crate::simulation::{
    DisabledSafeguard, Endpoint, FOREVER, LOSE_PACKETS, MS, Rule, SEC, Simulation, TemporaryFault,
};
use crowstall::model::*;
use rand::Rng;

/// Longest delay of a copy: longer than the bound of a cancellation.
const MAX_DELAY: u64 = 45 * SEC;

/// Time at which the faults end.
const FAULTS_UNTIL: u64 = 100 * SEC;

/// Adds arrays that are stopped for more urgent ones and then run elsewhere, and services that are cancelled.
fn add_moving_and_cancelled_jobs(simulation: &mut Simulation) {
    for id in 0..30 {
        let mut array = spec(id, JobKind::Array, "free", 4, 2.0);
        let is_urgent = id % 3 == 2;
        array.priority = if is_urgent { Priority::Production } else { Priority::BestEffort };
        let cancel_after = (id % 4 == 1).then(|| simulation.rng.random_range(2 * SEC..20 * SEC));
        let run_time = simulation.rng.random_range(2 * SEC..12 * SEC);
        simulation.add_user(array, run_time, 3 * SEC + u64::from(id) * 2 * SEC, cancel_after, false);
    }
    for id in 100..116 {
        let cancel_after = simulation.rng.random_range(5 * SEC..60 * SEC);
        let service = spec(id, JobKind::Service, "free", 2, 1.0);
        simulation.add_user(service, FOREVER, 3 * SEC + u64::from(id - 100) * SEC, Some(cancel_after), false);
    }
}

/// Lets a controller or a machine come back within a second, or separates the leader from the machines, whose
/// heartbeats are then relayed.
fn inject_brief_fault(simulation: &mut Simulation) {
    let down_for = simulation.rng.random_range(50 * MS..900 * MS);
    let until = simulation.now + simulation.rng.random_range(2 * SEC..7 * SEC);
    let machines = simulation.some_machines(3);
    let leader = simulation.leader(0);
    match (simulation.rng.random_range(0..5), leader) {
        (0, Some(leader)) => simulation.crash(leader, down_for),
        (1, _) => machines.into_iter().for_each(|machine| simulation.restart_machine(machine, down_for)),
        (2, _) => simulation.hang_machines(&machines, until),
        (3, _) => simulation.lose_answers_to(&machines, until),
        (_, Some(leader)) => {
            let machines = machines.into_iter().map(Endpoint::Machine).collect::<Vec<_>>();
            simulation.partition(Endpoint::Controller(leader), machines, until, LOSE_PACKETS);
        }
        _ => {}
    }
}

fn run_day(seed: u64, disabled: DisabledSafeguard) -> Simulation {
    let mut simulation = Simulation::with_disabled_safeguard(seed, disabled, [3, 3], "");
    simulation.message_copies = Some(TemporaryFault::new(FAULTS_UNTIL, MAX_DELAY));
    add_moving_and_cancelled_jobs(&mut simulation);
    simulation.run_until(10 * SEC);
    while simulation.now < FAULTS_UNTIL && simulation.violations.is_empty() {
        simulation.run_for_random(SEC..6 * SEC);
        inject_brief_fault(&mut simulation);
    }
    simulation.run_without_faults(70 * SEC, 100 * SEC);
    simulation
}

/// Returns the number of tasks that started after the user was told that the job is cancelled, on a command that the
/// machine executed after that.
fn starts_after_cancellation(simulation: &Simulation) -> u64 {
    simulation.observations.starts_after_cancellation.commanded_after
}

/// Guards against tasks that start once more when a late copy of their start command reaches the machine, also after
/// they were moved to another machine or cancelled. Only answers to heartbeats start tasks, and a worker drops an
/// answer for which it no longer waits; a direct call, which it executes whenever it arrives, never starts a task.
#[test]
fn late_copies_of_commands_start_no_task_again() {
    let mut copies = CopiesOfCommands::default();
    for seed in 0..20 {
        let simulation = run_day(seed, DisabledSafeguard::None);
        simulation.assert_no_violations();
        assert_eq!(starts_after_cancellation(&simulation), 0, "seed {seed}: a task of a cancelled job was started");
        copies.add(simulation.observations.copies_of_commands);
    }
    println!("{copies:?}");
    assert!(copies.direct_calls > 0 && copies.peer_messages > 0, "{copies:?}");
    assert!(copies.starts_of_moved_tasks > 0 && copies.starts_of_cancelled_jobs > 0, "{copies:?}");
}

/// Shows that the days above contain copies of start commands whose execution is noticed, of moved tasks and of
/// cancelled ones.
#[test]
fn start_commands_that_are_executed_again_are_noticed() {
    let days = || (0..20).map(|seed| run_day(seed, DisabledSafeguard::LateAnswersDropped));
    assert!(days().any(|simulation| simulation.violates(&[Rule::ConcurrentAttempts])));
    assert!(days().any(|simulation| starts_after_cancellation(&simulation) > 0));
}
