//! Part records: they hold the prerequisites of a job that do not fit into the job's live record.

use super::super::controller::Controller;
use super::super::job_record_reads::VersionedRecord;
use super::super::user_requests::NewJob;
use super::operations::{DependencyOperation, PartRead};
use crate::coordination::state_admission::TrafficClass;
use crate::model::ShardId;
use crate::protocol::state::StateResult;
use crate::protocol::state::{StateAnswer, StateCall};
use crate::storage::keys;
use crate::storage::records::PartRecord;

impl Controller {
    /// Begins to read the part records of loaded jobs. The parts of a job are read one after the other.
    pub(super) fn read_parts(&mut self, shard_id: ShardId) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let leadership = shard.leadership_term();
        for found in shard.waiting_jobs.begin_part_reads() {
            self.read_part(PartRead { leadership, found, part: 0 });
        }
    }

    /// Sends the read of one part record.
    fn read_part(&mut self, read: PartRead) {
        let request = StateCall::Get(keys::part_key(&read.found.record.job.id, read.part));
        self.call_state(request, DependencyOperation::ReadPart(Box::new(read)));
    }

    /// Handles the answer to the read of a part record.
    pub(super) fn part_read(&mut self, read: PartRead, answer: StateResult) {
        let PartRead { leadership, found: VersionedRecord { mut record, version }, part } = read;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        let Some(part_record) = parse_part(answer) else {
            return shard.waiting_jobs.part_read_failed(&record.job.id);
        };
        record.job.prerequisites.extend(part_record.needs);
        if part + 1 < record.parts {
            let found = VersionedRecord { record, version };
            return self.read_part(PartRead { leadership, found, part: part + 1 });
        }
        shard.waiting_jobs.parts_complete(&record.job.id);
        shard.add_waiting_job(record, version);
    }

    /// Writes the part records of a new job, as many at a time as fit into a transaction, and then its live record.
    ///
    /// If the job is submitted again, its parts are written again under the same keys, and they may differ:
    /// prerequisites that have ended meanwhile are left out. The live record is therefore written under the condition
    /// that the parts still have the versions of this submission, and no part is written once the job was accepted.
    pub(in crate::coordination) fn write_parts(&mut self, new_job: NewJob) {
        if !new_job.has_unwritten_parts() {
            return self.commit_acceptance(new_job);
        }
        let changes = new_job.next_part_changes(self.settings.max_txn_changes);
        let request = StateCall::Commit { conditions: new_job.conditions_of_absence(), changes };
        self.call_state(request, DependencyOperation::WriteParts(Box::new(new_job)));
    }

    /// Handles the answer to a write of part records.
    pub(super) fn parts_written(&mut self, mut new_job: NewJob, answer: StateResult) {
        match answer {
            Ok(StateAnswer::Committed(version)) => {
                new_job.parts_committed(self.settings.max_txn_changes, version);
                self.admit_next_step(TrafficClass::Acceptance);
                self.write_parts(new_job);
            }
            answer => self.acceptance_answered(new_job, answer),
        }
    }
}

/// Returns the part record in an answer, or `None` if the read failed or the record can't be parsed.
fn parse_part(answer: StateResult) -> Option<PartRecord> {
    match answer {
        Ok(StateAnswer::Found(entry)) => serde_json::from_value(entry.value).ok(),
        _ => None,
    }
}
