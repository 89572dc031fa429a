//! What is kept in the state service, and how it is written there.

pub mod budget;
pub mod ranges;
pub mod records;
pub mod usage;
