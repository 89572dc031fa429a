//! Statistics of this controller's writes to the state service by kind of record, for the log.

use crate::protocol::state::Change;
use std::collections::BTreeMap;
use std::fmt;

/// A kind of record, identified by the part of its keys before the first slash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKind(String);

/// Statistics of the writes of one kind of record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct KindUsage {
    /// Number of changes sent.
    changes: u64,
    /// Total size in bytes of the values sent.
    bytes: u64,
    /// Number of changes that exceeded the rate limit, so that the state service refused them without execution.
    refused: u64,
    /// Size in bytes of the largest value.
    largest: u64,
}

/// Statistics of the writes since the last [`WriteUsage::clear`].
#[derive(Debug, Default)]
pub struct WriteUsage {
    kinds: BTreeMap<RecordKind, KindUsage>,
}

impl RecordKind {
    /// Returns the kind of the record with the given key.
    pub fn of_key(key: &str) -> RecordKind {
        RecordKind(key.split('/').next().unwrap_or_default().to_string())
    }

    /// Returns the kind of the record that the change writes or deletes.
    fn of_change(change: &Change) -> RecordKind {
        let (Change::Put { key, .. } | Change::Delete(key)) = change;
        RecordKind::of_key(key)
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the size in bytes of the value that the change writes; 0 for a deletion.
fn value_bytes(change: &Change) -> u64 {
    match change {
        Change::Put { value, .. } => value.to_string().len() as u64,
        Change::Delete(_) => 0,
    }
}

impl WriteUsage {
    /// Counts changes that are being sent. Returns the kind of each, for [`WriteUsage::refused`] in case the
    /// transaction is refused.
    pub fn sent(&mut self, changes: &[Change]) -> Vec<RecordKind> {
        for change in changes {
            let bytes = value_bytes(change);
            let usage = self.kinds.entry(RecordKind::of_change(change)).or_default();
            usage.changes += 1;
            usage.bytes += bytes;
            usage.largest = usage.largest.max(bytes);
        }
        changes.iter().map(RecordKind::of_change).collect()
    }

    /// Counts refused changes, one for each element of `kinds`.
    pub fn refused(&mut self, kinds: Vec<RecordKind>) {
        for kind in kinds {
            self.kinds.entry(kind).or_default().refused += 1;
        }
    }

    /// Returns `true` if no change was counted since the last [`WriteUsage::clear`].
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Resets all counts to zero.
    pub fn clear(&mut self) {
        self.kinds.clear();
    }
}

impl fmt::Display for WriteUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (kind, usage)) in self.kinds.iter().enumerate() {
            let KindUsage { changes, bytes, refused, largest } = usage;
            let separator = if index > 0 { "; " } else { "" };
            write!(f, "{separator}{kind}: {changes} changes, {bytes} bytes, ")?;
            write!(f, "largest value {largest} bytes, {refused} refused by the rate limit")?;
        }
        Ok(())
    }
}
