//! Reads of a job's record after a write that had no conclusive answer, or that showed that the record is not as
//! expected.

use super::JobRecordOperation;
use crate::coordination::controller::Controller;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{JobId, ShardId};
use crate::protocol::state::{Entry, StateAnswer, StateCall, StateResult};
use crate::storage::keys;
use crate::storage::records::{FinalRecord, LiveRecord};

impl Controller {
    pub(super) fn read_records(&mut self, shard_id: ShardId, ids: Vec<JobId>) {
        for id in ids {
            if !self.admits(TrafficClass::FinalRecord) {
                return;
            }
            self.read_live_record(shard_id, &id);
        }
    }

    /// Reads the live record of a job, since the outcome of a write is in doubt or the record is not as expected.
    fn read_live_record(&mut self, shard_id: ShardId, id: &JobId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let leadership = shard.leadership_term();
        let Some(job) = shard.jobs.get_mut(id) else { return };
        job.record.call_sent(now);
        let request = StateCall::Get(keys::live_key(id));
        self.call_for_job(leadership, id, request, JobRecordOperation::ReadLive);
    }

    pub(super) fn live_record_answered(&mut self, leadership: LeadershipTerm, id: &JobId, answer: StateResult) {
        let shard_id = leadership.shard;
        match answer {
            Ok(StateAnswer::Found(entry)) => self.live_record_read(shard_id, id, entry),
            Ok(StateAnswer::Missing) => return self.read_final_record(leadership, id),
            _ => return self.job_call_unanswered(shard_id, id),
        }
        self.write_final_record(shard_id, id);
    }

    fn live_record_read(&mut self, shard_id: ShardId, id: &JobId, entry: Entry) {
        let record = match serde_json::from_value::<LiveRecord>(entry.value) {
            Ok(record) => record,
            Err(error) => {
                return log::error!(
                    "job {id}: live record can't be read: {error}; not writing the record, reading it again later"
                );
            }
        };
        if let Some(job) = self.job_mut(shard_id, id) {
            job.record.read_again(&record, entry.version, job.spec.tasks);
        }
    }

    fn read_final_record(&mut self, leadership: LeadershipTerm, id: &JobId) {
        let shard_id = leadership.shard;
        let Some(job) = self.job_mut(shard_id, id) else { return };
        job.record.call_in_flight = true;
        self.admit_next_step(TrafficClass::FinalRecord);
        let request = StateCall::Get(keys::final_key(id));
        self.call_for_job(leadership, id, request, JobRecordOperation::ReadFinal);
    }

    pub(super) fn final_read_answered(&mut self, shard_id: ShardId, id: &JobId, answer: StateResult) {
        let Ok(StateAnswer::Found(entry)) = answer else {
            return self.job_call_unanswered(shard_id, id);
        };
        match serde_json::from_value::<FinalRecord>(entry.value) {
            Ok(end) => self.job_ended(shard_id, id, end.state),
            Err(_) => {
                self.write_final_record(shard_id, id);
            }
        }
    }
}
