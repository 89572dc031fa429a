//! The data in the state service: keys, records and their encodings, the rate limiter, and write statistics.

pub mod keys;
pub mod range_set;
pub mod rate_limiter;
pub mod records;
pub mod write_usage;
