//! Types shared by all packages of crowstall: ids, revisions, quantities and times, and the specifications of jobs and
//! machine types.
//!
//! The types are independent of the names that the protocols use for the same concepts. Stored records and messages
//! between controllers contain the names of their fields and variants, however, so those names must not change.

#![warn(missing_docs)]

pub mod model;
pub mod time;
