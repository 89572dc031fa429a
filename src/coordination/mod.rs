//! The coordination layer: leadership of shards, job queues and placement, quotas, and the fleet of machines.
//!
//! Nothing in this layer performs I/O or reads a clock. [`Controller`] takes events together with a clock reading and
//! returns actions, so that tests can run the same code in simulated time. Each component of the controller has a
//! module of its own, which defines the component's state and the `impl Controller` block that works on it.

mod boot_statistics;
mod cloud;
mod confirmation;
mod controller;
mod dependencies;
mod directory;
mod events;
mod final_write;
mod forecasts;
mod forwarding;
mod job_persistence;
mod job_record_reads;
mod leadership;
mod leadership_term;
mod machine_list;
mod machine_transfer;
mod outbound_calls;
mod pending_calls;
mod placement;
mod relay;
mod rentals;
mod replica;
mod reported_states;
mod request_statistics;
mod scale_in;
mod scale_out;
mod shard;
mod shard_recovery;
mod state_admission;
mod state_operation;
mod user_requests;
mod waiting_jobs;
mod worker_heartbeats;

pub use controller::Controller;
pub use events::{Action, ClientRequestId, Clock, Event, OutboundCallId};
