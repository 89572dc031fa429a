//! The previous-term records: the quotas that the previous leaders of each shard applied, and the leadership overlap
//! that they leave to their successor, as last read from the state service.

use crate::model::{Revision, ShardId};
use crate::protocol::state::Entry;
use crate::storage::records::PreviousTermRecord;

/// Previous-term record of a shard, with its version.
#[derive(Clone, Default)]
pub(in crate::coordination) struct PreviousTerm {
    /// Version of the record; 0 if there is none.
    pub version: Revision,
    /// Content of the record; empty if there is none.
    pub record: PreviousTermRecord,
}

/// Newest known previous-term record of each shard.
pub(super) struct PreviousTerms {
    by_shard: Vec<Option<PreviousTerm>>,
}

impl PreviousTerms {
    /// Creates the table of a cluster with `shards` shards, of which no record has been read yet.
    pub fn new(shards: usize) -> PreviousTerms {
        PreviousTerms { by_shard: vec![None; shards] }
    }

    /// Returns the record of a shard, or `None` until it has been read.
    pub fn get(&self, shard: ShardId) -> Option<&PreviousTerm> {
        self.by_shard[shard.0 as usize].as_ref()
    }

    /// Stores the record of a shard.
    pub fn set(&mut self, shard: ShardId, previous_term: PreviousTerm) {
        self.by_shard[shard.0 as usize] = Some(previous_term);
    }

    /// Stores the listed record of a shard, or that there is none, unless a record at least as new is known.
    pub fn update(&mut self, shard: ShardId, entry: Option<&Entry>) {
        let version = entry.map_or(Revision(0), |entry| entry.version);
        if self.get(shard).is_some_and(|previous_term| previous_term.version >= version) {
            return;
        }
        let record = entry.and_then(|entry| serde_json::from_value(entry.value.clone()).ok());
        self.set(shard, PreviousTerm { version, record: record.unwrap_or_default() });
    }
}
