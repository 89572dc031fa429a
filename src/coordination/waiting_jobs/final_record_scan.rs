//! Scan of the final records for prerequisites that are not in memory, to find out which of them have ended.
//!
//! The records are listed in the order of their keys, beginning with the first wanted one. Thousands of prerequisites
//! thus need only a few pages instead of one read each.

use crate::model::JobId;
use crate::protocol::state::Entry;
use crate::storage::keys;
use crate::storage::records::FinalRecord;
use crate::time::{Span, Time};

/// Minimum time between the end of a scan and the start of the next one.
const SCAN_INTERVAL: Span = Span::millis(1000);

/// State of the scan for the final records of a shard's unknown prerequisites. At most one scan is in progress.
pub(in crate::coordination) enum FinalRecordScan {
    /// No scan is in progress. `finished_at` is the time at which the last one ended, or `None` if the next one may
    /// start at once.
    Idle { finished_at: Option<Time> },
    /// Final records are being listed. `wanted` holds the prerequisites whose keys were not covered yet, in descending
    /// order.
    Listing { wanted: Vec<JobId> },
}

/// A prerequisite whose final record was found.
pub(in crate::coordination) struct EndedPrerequisite {
    /// Id of the prerequisite.
    pub job: JobId,
    /// Final record of the prerequisite.
    pub end: FinalRecord,
}

/// The result of scanning one listed page.
#[derive(Default)]
pub(in crate::coordination) struct ScannedPage {
    /// Wanted prerequisites whose final records are on the page.
    pub ended: Vec<EndedPrerequisite>,
    /// Job at whose key the next page has to begin. `None` if the scan is complete.
    pub next: Option<JobId>,
}

impl FinalRecordScan {
    /// Creates an idle scan that may start at once.
    pub fn new() -> FinalRecordScan {
        FinalRecordScan::Idle { finished_at: None }
    }

    /// Allows the next scan to start at once. A scan that is in progress is not affected.
    pub fn allow_immediate_start(&mut self) {
        if let FinalRecordScan::Idle { finished_at } = self {
            *finished_at = None;
        }
    }

    /// Returns `true` if a scan may start.
    pub fn may_start(&self, now: Time) -> bool {
        match self {
            FinalRecordScan::Idle { finished_at } => finished_at.is_none_or(|at| now.since(at) >= SCAN_INTERVAL),
            FinalRecordScan::Listing { .. } => false,
        }
    }

    /// Starts a scan for the given prerequisites. Returns the job at whose key the listing has to begin, or `None` if
    /// there are no prerequisites to look for.
    pub fn start(&mut self, mut wanted: Vec<JobId>) -> Option<JobId> {
        wanted.sort();
        wanted.reverse();
        let first = wanted.last().cloned()?;
        *self = FinalRecordScan::Listing { wanted };
        Some(first)
    }

    /// Looks up the wanted prerequisites on a listed page. `more` is `true` if there are records after the page.
    pub fn page_listed(&mut self, entries: &[Entry], more: bool, now: Time) -> ScannedPage {
        let FinalRecordScan::Listing { wanted } = self else { return ScannedPage::default() };
        let last_listed = entries.last().filter(|_| more).map(|entry| keys::job_of_final_key(&entry.key));
        let is_listed = |job: &mut JobId| last_listed.as_ref().is_none_or(|last| *job <= *last);
        let mut ended = Vec::new();
        while let Some(job) = wanted.pop_if(is_listed) {
            ended.extend(find_end(entries, &job).map(|end| EndedPrerequisite { job, end }));
        }
        let next = wanted.last().cloned();
        if next.is_none() {
            self.stop(now);
        }
        ScannedPage { ended, next }
    }

    /// Ends the scan, complete or not.
    pub fn stop(&mut self, now: Time) {
        *self = FinalRecordScan::Idle { finished_at: Some(now) };
    }
}

/// Returns the final record of a job, if it is among `entries` and can be parsed. `entries` are sorted by key.
fn find_end(entries: &[Entry], job: &JobId) -> Option<FinalRecord> {
    let key = keys::final_key(job);
    let position = entries.binary_search_by(|entry| entry.key.as_str().cmp(&key)).ok()?;
    let record = serde_json::from_value(entries[position].value.clone());
    record
        .inspect_err(|error| {
            log::error!("final record of prerequisite {job} can't be parsed, so its dependents keep waiting: {error}");
        })
        .ok()
}
