//! Reads of the records of one job by its id: the live record first, then the final record.

use crate::model::{JobId, Revision};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Entry, StateAnswer, StateCall};
use crate::storage::keys;
use crate::storage::records::{FinalRecord, LiveRecord};
use serde::de::DeserializeOwned;

/// Kind of a job's record. At any time an accepted job has exactly one record: a live record or a final record.
///
/// One transaction replaces the live record by the final record. A reader that reads the live record first and the
/// final record second therefore also finds a job that ends between the two reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobRecordKind {
    /// Record of a job that has not ended.
    Live,
    /// Record of the end of a job.
    Final,
}

/// Live record together with the version in which it was read.
pub(super) struct VersionedRecord {
    /// Content of the record.
    pub record: LiveRecord,
    /// Version of the record in the state service.
    pub version: Revision,
}

/// Outcome of a read of one of a job's records.
pub(super) enum JobRecordAnswer {
    /// The job has not ended.
    Live(Box<VersionedRecord>),
    /// The job has ended.
    Final(FinalRecord),
    /// The job has no live record, so the final record has to be read next.
    NotLive,
    /// The job has no final record. If it had no live record before, it was never accepted.
    NoSuchJob,
    /// The record exists but cannot be parsed.
    Unreadable(serde_json::Error),
    /// The state service refused the read or did not answer it.
    Unanswered,
}

impl JobRecordKind {
    /// Returns the request that reads the record of this kind of a job.
    pub fn request(self, job: &JobId) -> StateCall {
        StateCall::Get(match self {
            JobRecordKind::Live => keys::live_key(job),
            JobRecordKind::Final => keys::final_key(job),
        })
    }

    /// Interprets the answer to a read of a record of this kind.
    pub fn interpret(self, answer: StateResult) -> JobRecordAnswer {
        match (self, answer) {
            (JobRecordKind::Live, Ok(StateAnswer::Found(entry))) => Self::parse_live(entry),
            (JobRecordKind::Final, Ok(StateAnswer::Found(entry))) => {
                parse(entry).map_or_else(JobRecordAnswer::Unreadable, JobRecordAnswer::Final)
            }
            (JobRecordKind::Live, Ok(StateAnswer::Missing)) => JobRecordAnswer::NotLive,
            (JobRecordKind::Final, Ok(StateAnswer::Missing)) => JobRecordAnswer::NoSuchJob,
            _ => JobRecordAnswer::Unanswered,
        }
    }

    /// Parses the entry of a live record.
    fn parse_live(entry: Entry) -> JobRecordAnswer {
        let version = entry.version;
        match parse(entry) {
            Ok(record) => JobRecordAnswer::Live(Box::new(VersionedRecord { record, version })),
            Err(error) => JobRecordAnswer::Unreadable(error),
        }
    }
}

/// Parses the value of an entry.
fn parse<Record: DeserializeOwned>(entry: Entry) -> Result<Record, serde_json::Error> {
    serde_json::from_value(entry.value)
}
