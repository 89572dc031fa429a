//! The vocabulary of crowstall: small types for ids, versions, amounts and times, and the
//! descriptions of jobs and machines. Shared by the controller and the packages around it.

pub mod model;
pub mod time;
