//! Shard leadership: the known leader of each shard, the replacement of a failed leader before its node lease expires,
//! and the restrictions on the deposed and on the new leader while both believe that they lead the shard.
//!
//! - [`leader_lease`]: the period in which a leader may decide and serve reads, counted from when its newest confirmed
//!   leadership check was *sent*;
//! - [`overlap`]: the writes that a new leader delays until the lease of the deposed leader has certainly ended;
//! - [`membership`]: the table of live peers and of the leader and leadership term of each shard;
//! - [`incarnation`]: the identity of one run of a controller process;
//! - [`failure_detector`]: decides from several kinds of evidence, never from one alone, that a leader has failed;
//! - [`readiness`]: the conditions checked before the first decision of a term;
//! - [`watch_cache`]: a replica of records, kept in sync so that little has to be read at a failover;
//! - [`cancellation`]: the upper bound on how long a task of a cancelled job can remain on a machine.
//!
//! Nothing in this crate performs I/O or reads a clock. `docs/failover.md` lists the guarantees and the mechanism that
//! protects each of them during a failover; `tests/leadership_model.rs` checks every order of events of a small model.

#![warn(missing_docs)]

pub mod cancellation;
pub mod failure_detector;
pub mod incarnation;
pub mod leader_lease;
pub mod membership;
pub mod overlap;
pub mod readiness;
pub mod watch_cache;

pub use cancellation::{CancellationBounds, LeaseSource};
pub use failure_detector::{FailureAction, FailureDetector, FailureEvidence, SelfHealth};
pub use incarnation::NodeIncarnation;
pub use leader_lease::{LeaderLease, LeadershipBounds};
pub use membership::{Membership, MissingLeadership, Peer, PeerStatus, ShardLeadership};
pub use overlap::LeadershipOverlap;
pub use readiness::{Check, ReadinessChecklist, ReadinessFacts};
pub use watch_cache::{WatchCache, WatchChange, WatchRequest};
