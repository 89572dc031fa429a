//! Jobs that wait for prerequisites.
//!
//! `crowstall_dependencies` determines which jobs are ready, and which jobs are withdrawn when one is cancelled. This
//! module reads and writes the records of waiting jobs and answers requests about them; the in-memory state of a
//! shard's waiting jobs is in `waiting_jobs`. `docs/job-dependencies.md` explains why no task is started before the
//! prerequisites are done, and why no job is reported as live after one of its prerequisites was cancelled.
//!
//! - [`operations`]: calls to the state service;
//! - [`final_record`]: construction of final records;
//! - [`waiting_records`]: writing and reading the records of waiting jobs;
//! - [`prerequisite_parts`]: part records, for prerequisites that do not fit into their job's record;
//! - [`prerequisite_ends`]: finding the ends of prerequisites that are not in memory;
//! - [`prerequisite_check`]: checking that the prerequisites of a new job were accepted;
//! - [`traversal`]: answering a poll from the records alone;
//! - [`requests`]: polls and cancellations of waiting jobs;
//! - [`replies`]: replies about jobs with prerequisites.

mod final_record;
mod operations;
mod prerequisite_check;
mod prerequisite_ends;
mod prerequisite_parts;
mod replies;
mod requests;
mod traversal;
mod waiting_records;

pub(super) use final_record::final_record_request;
pub(super) use operations::{DependencyOperation, WaitingRecordOperation};
pub(super) use replies::DependentReplyKind;

use super::controller::Controller;
use crate::model::ShardId;
use crate::protocol::state::StateResult;

impl Controller {
    /// Handles the answer of the state service to a call for a job with prerequisites.
    pub(super) fn dependency_answered(&mut self, operation: DependencyOperation, answer: StateResult) {
        match operation {
            DependencyOperation::WaitingJob { leadership, job, operation } => {
                self.waiting_record_answered(leadership, job, operation, answer);
            }
            DependencyOperation::ListFinalRecords { leadership } => self.final_records_listed(leadership, answer),
            DependencyOperation::ReadPart(read) => self.part_read(*read, answer),
            DependencyOperation::WriteParts(new_job) => self.parts_written(*new_job, answer),
            DependencyOperation::RemovePart => {}
            DependencyOperation::CheckPrerequisite(check) => self.prerequisite_checked(*check, answer),
            DependencyOperation::Traverse(read) => self.traversal_answered(*read, answer),
        }
    }

    /// Performs the periodic work for the waiting jobs of a shard: reads their missing part records, looks for ended
    /// prerequisites, and writes the records that are due.
    pub(super) fn dependencies_tick(&mut self, shard_id: ShardId) {
        self.read_parts(shard_id);
        self.find_prerequisite_ends(shard_id);
        self.write_due_records(shard_id);
        self.apply_inherited_urgencies(shard_id);
    }

    /// Updates the urgency that jobs inherit from their dependents, and applies it to the jobs of the queue.
    pub(super) fn apply_inherited_urgencies(&mut self, shard_id: ShardId) {
        self.update_urgencies(shard_id);
        if let Some(shard) = self.shards.get_mut(&shard_id) {
            shard.apply_inherited_urgencies();
        }
    }

    /// Updates the urgency that jobs inherit from their dependents.
    fn update_urgencies(&mut self, shard_id: ShardId) {
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let update = shard.waiting_jobs.update_urgencies();
        self.statistics.record_urgency_update(&update);
        if !update.is_within_limit {
            log::error!(
                "invariant violated: shard {shard_id}: an update of inherited urgencies made {} visits",
                update.visits
            );
            self.calls.record_invariant_violation();
        }
    }
}
