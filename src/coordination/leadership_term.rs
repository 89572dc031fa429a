//! The identity of one leadership term of one shard.

use crate::model::{Revision, ShardId};
use crate::protocol::state::Condition;
use crate::storage::keys;

/// Leadership term of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeadershipTerm {
    /// Shard that is led.
    pub shard: ShardId,
    /// Revision of the state service at which leadership was acquired, which also serves as the fencing token.
    pub term: Revision,
}

impl LeadershipTerm {
    /// Returns the condition that the shard is still led under this term, whose number is the version of the shard's
    /// key.
    pub fn condition(self) -> Condition {
        Condition::version(keys::shard_key(self.shard), self.term)
    }
}
