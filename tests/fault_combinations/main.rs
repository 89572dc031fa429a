//! Simulations with combinations of faults that are likely to expose violations of the safety rules.
//!
//! Each combination is injected alone and together with another one.

mod brief_reconnections;
mod cancellations_in_doubt;
mod combinations;
mod controller_failures;
mod disabled_safeguards;
mod former_processes;
mod late_copies;
mod lease_renewals;
mod machine_failures;
mod network_failures;
mod pipelines;
mod reported_states;
mod runner;
#[path = "../simulation/mod.rs"]
mod simulation;
mod starts_without_lease;
mod state_service_failures;
mod unanswered_state_calls;
mod user_requests;
