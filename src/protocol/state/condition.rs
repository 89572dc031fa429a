//! Preconditions of transactions at the state service.

use crate::model::Revision;

/// Version that the state service assigns to a key that does not exist.
const ABSENT: Revision = Revision(0);

/// A precondition of a transaction: the version that a key must have.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Key to be compared.
    pub key: String,
    /// Required revision of the key's last change; 0 if the key must not exist.
    pub version: Revision,
}

impl Condition {
    /// Returns the condition that the key was last changed at the given revision. Version 0 stands for a key that does
    /// not exist.
    pub fn version(key: impl Into<String>, version: Revision) -> Condition {
        Condition { key: key.into(), version }
    }

    /// Returns the condition that the key does not exist.
    pub fn absent(key: impl Into<String>) -> Condition {
        Condition::version(key, ABSENT)
    }
}
