//! Table of all fault combinations.

use crate::simulation::{DELAY_PACKETS, Endpoint, MS, SEC, Simulation};
use crate::{
    controller_failures, machine_failures, network_failures, pipelines, state_service_failures, user_requests,
};
use rand::Rng;

/// Faults that are injected together.
pub struct FaultCombination {
    pub name: &'static str,
    /// Function that injects the faults and may run the simulation in between.
    pub inject: fn(&mut Simulation),
}

/// All fault combinations. A seed selects combinations by their position, so the order must not change.
pub const FAULT_COMBINATIONS: [FaultCombination; 25] = [
    FaultCombination {
        name: "repeated failovers while tasks of a job end far apart",
        inject: controller_failures::repeated_failovers,
    },
    FaultCombination {
        name: "commands and answers that reach machines late, and a failover",
        inject: machine_failures::delayed_commands,
    },
    FaultCombination {
        name: "a leader that reaches only its workers and users",
        inject: network_failures::isolated_leader,
    },
    FaultCombination {
        name: "controllers that crash repeatedly and restart within a second",
        inject: controller_failures::quick_restarts,
    },
    FaultCombination {
        name: "transactions that are executed late and without an answer",
        inject: state_service_failures::delayed_transactions,
    },
    FaultCombination {
        name: "machines that are unreachable or get no answers, and a failover",
        inject: machine_failures::unreachable_machines,
    },
    FaultCombination {
        name: "duplicates of heartbeats after newer ones, and a failover",
        inject: network_failures::duplicate_heartbeats,
    },
    FaultCombination {
        name: "a slow state service that refuses the leader, and then an outage",
        inject: state_service_failures::leader_refused_before_outage,
    },
    FaultCombination {
        name: "consistency checks on all controllers, and a failover",
        inject: controller_failures::failover_during_consistency_checks,
    },
    FaultCombination {
        name: "lost answers to transactions, and a failover",
        inject: state_service_failures::lost_answers,
    },
    FaultCombination {
        name: "cancellations on unreachable machines, and a failover",
        inject: machine_failures::cancellations_on_unreachable_machines,
    },
    FaultCombination {
        name: "cancellations during failovers",
        inject: controller_failures::cancellations_during_failovers,
    },
    FaultCombination {
        name: "machines that boot quickly while transactions are delayed, and failovers",
        inject: machine_failures::quick_boots,
    },
    FaultCombination {
        name: "old heartbeats that reach every controller during a failover",
        inject: network_failures::replayed_heartbeats,
    },
    FaultCombination {
        name: "short jobs, a quarter of them cancelled, and a failover",
        inject: controller_failures::failover_with_short_jobs,
    },
    FaultCombination {
        name: "requests at the completion of jobs, and malformed submissions",
        inject: user_requests::requests_at_completion,
    },
    FaultCombination {
        name: "all controllers down for longer than a worker lease",
        inject: controller_failures::all_controllers_down,
    },
    FaultCombination {
        name: "heartbeats that are delayed until after a failover",
        inject: network_failures::delayed_heartbeats,
    },
    FaultCombination {
        name: "machines that cannot send heartbeats, and a failover or an outage",
        inject: machine_failures::blocked_heartbeats,
    },
    FaultCombination {
        name: "ten failovers in two minutes, and an outage",
        inject: controller_failures::ten_failovers,
    },
    FaultCombination {
        name: "slow links under overload, and a failover",
        inject: network_failures::slow_links_under_overload,
    },
    FaultCombination {
        name: "cancellations while the state service refuses the leader, and then an outage",
        inject: state_service_failures::cancellations_before_outage,
    },
    FaultCombination {
        name: "a zone that loses machines while jobs are bound to it",
        inject: machine_failures::zone_loses_machines,
    },
    FaultCombination { name: "an isolated zone with a controller in it", inject: network_failures::isolated_zone },
    FaultCombination {
        name: "dependents submitted around cancellations that the leader is not sure of",
        inject: pipelines::dependents_submitted_around_cancellations,
    },
];

/// Returns the fault combination with the given name. Panics if there is none.
pub fn fault_combination(name: &str) -> &'static FaultCombination {
    FAULT_COMBINATIONS.iter().find(|combination| combination.name == name).expect("the fault combination exists")
}

/// Makes the leader of the first shard fail, if there is one: the leader crashes, freezes, is refused by the state
/// service, or loses the connection to the state service.
pub fn fail_leader(simulation: &mut Simulation) {
    let Some(node) = simulation.leader(0).filter(|node| simulation.is_up(*node)) else { return };
    let until = simulation.now + simulation.rng.random_range(SEC..12 * SEC);
    match simulation.rng.random_range(0..4) {
        0 => {
            let down_for = simulation.rng.random_range(50 * MS..4 * SEC);
            simulation.crash(node, down_for);
        }
        1 => simulation.freeze(node, until - simulation.now),
        2 => simulation.state_service.refused_until[node] = until,
        _ => simulation.partition(Endpoint::Controller(node), [Endpoint::StateService], until, DELAY_PACKETS),
    }
}

/// Returns the leader of the first shard, or controller 0 if there is none.
pub fn leader_or_any(simulation: &Simulation) -> usize {
    simulation.leader(0).unwrap_or(0)
}
