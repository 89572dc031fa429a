//! Dependencies between jobs.
//!
//! [`DependencyGraph`] holds the jobs of one shard that wait for prerequisites, together with those prerequisites. It
//! determines which jobs become ready when a prerequisite is done, which jobs are withdrawn when one is cancelled, and
//! the urgency that a job inherits from the jobs that depend on it ([`Urgency`]).
//!
//! Nothing in this crate performs I/O or reads a clock. No function is recursive, so the length of a chain of
//! dependencies is not limited by the stack. No function takes more steps than a small multiple of the number of jobs
//! and dependencies in the graph.

#![warn(missing_docs)]

mod graph;
mod urgency;

pub use graph::{DependencyGraph, DependencyStatus, UrgencyUpdate};
pub use urgency::Urgency;
