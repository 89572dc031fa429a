//! crowstall, a cluster scheduler.
//!
//! A controller queues the tasks of jobs and uses late binding: a task is assigned to a machine only when a heartbeat
//! of the machine's worker reports free resources. Jobs and machines are partitioned into shards. Each shard is led by
//! one controller at a time.
//!
//! - [`config`]: the platform's settings and the operators' properties
//! - [`coordination`]: all scheduling and leadership decisions, as a state machine that maps events to actions and does
//!   no input or output
//! - [`protocol`]: the messages of users, workers, services and controllers
//! - [`storage`]: the records kept at the state service
//! - [`transport`]: sockets, HTTP and framed connections between controllers
//! - [`service`]: the main loop, which connects transport and coordination

pub mod config;
pub mod coordination;
pub mod protocol;
pub mod service;
pub mod storage;
pub mod transport;

pub use crowstall_model::{model, time};
