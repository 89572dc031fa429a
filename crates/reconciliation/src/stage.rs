//! Stage of the recovery of a shard, and the time of every milestone.

use crate::sweep::AnswerTimes;
use crowstall_model::time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Stage of the recovery of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Leadership of the shard is acquired, and the records are being read.
    #[serde(rename = "claimed")]
    Acquired,
    /// The records are in memory, and no machine is reconciled yet.
    Loaded,
    /// Some machines are reconciled and get tasks, and the others are being queried.
    #[serde(rename = "proving")]
    Reconciling,
    /// All machines are reconciled.
    Serving,
}

/// Step of the recovery. The variants are in the order in which the steps are usually reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// The records are in memory.
    Loaded,
    /// At least half of the machines are reconciled.
    HalfReconciled,
    /// At least 99 % of the machines are reconciled.
    NearlyReconciled,
    /// The first task was started in this term.
    FirstTaskStarted,
    /// All machines are reconciled.
    Serving,
}

const ALL_MILESTONES: [Milestone; 5] = [
    Milestone::Loaded,
    Milestone::HalfReconciled,
    Milestone::NearlyReconciled,
    Milestone::FirstTaskStarted,
    Milestone::Serving,
];

impl fmt::Display for Milestone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Milestone::Loaded => "loaded",
            Milestone::HalfReconciled => "half of the machines reconciled",
            Milestone::NearlyReconciled => "99% of the machines reconciled",
            Milestone::FirstTaskStarted => "first task started",
            Milestone::Serving => "serving",
        })
    }
}

/// Report of a recovery for operators. The times of milestones are in milliseconds after leadership was acquired, and
/// `None` for a milestone that is not reached yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Present stage.
    pub stage: Stage,
    /// Time since leadership was acquired, in milliseconds.
    pub age_ms: u64,
    /// Number of live jobs in the records.
    pub jobs: usize,
    /// Number of machines that a former leader may have used.
    pub machines: usize,
    /// Number of machines that are not reconciled yet.
    #[serde(rename = "unproven")]
    pub unreconciled: usize,
    /// Time at which the records were in memory.
    pub loaded_ms: Option<u64>,
    /// Time at which half of the machines were reconciled.
    #[serde(rename = "half_proven_ms")]
    pub half_reconciled_ms: Option<u64>,
    /// Time at which 99 % of the machines were reconciled.
    #[serde(rename = "nearly_proven_ms")]
    pub nearly_reconciled_ms: Option<u64>,
    /// Time at which the first task was started.
    #[serde(rename = "first_bind_ms")]
    pub first_task_started_ms: Option<u64>,
    /// Time at which all machines were reconciled.
    pub serving_ms: Option<u64>,
    /// Number of queries that were sent to machines.
    #[serde(rename = "asks")]
    pub queries: u64,
    /// Median time from a query to its answer, in milliseconds. `None` without any answer.
    pub answer_p50_ms: Option<u64>,
    /// 99th percentile of the time from a query to its answer, in milliseconds. `None` without any answer.
    pub answer_p99_ms: Option<u64>,
}

/// Milestones of one recovery, and the counts of machines that determine them.
pub(crate) struct Timeline {
    acquired_at: Time,
    /// Time at which each milestone was reached, by the discriminant of the milestone.
    reached_at: [Option<Time>; ALL_MILESTONES.len()],
    /// `true` for each milestone, by its discriminant, that `take_unreported` has returned.
    is_reported: [bool; ALL_MILESTONES.len()],
    /// Number of live jobs in the records.
    jobs: usize,
    /// Largest number of unreconciled machines so far.
    machines: usize,
    unreconciled: usize,
}

impl Timeline {
    pub(crate) fn new(acquired_at: Time) -> Timeline {
        Timeline {
            acquired_at,
            reached_at: [None; ALL_MILESTONES.len()],
            is_reported: [false; ALL_MILESTONES.len()],
            jobs: 0,
            machines: 0,
            unreconciled: 0,
        }
    }

    pub(crate) fn acquired_at(&self) -> Time {
        self.acquired_at
    }

    pub(crate) fn stage(&self) -> Stage {
        if !self.has_reached(Milestone::Loaded) {
            return Stage::Acquired;
        }
        match self.unreconciled {
            0 => Stage::Serving,
            unreconciled if unreconciled == self.machines => Stage::Loaded,
            _ => Stage::Reconciling,
        }
    }

    pub(crate) fn record_loaded(&mut self, now: Time, jobs: usize, machines: usize) {
        self.jobs = jobs;
        self.machines = machines;
        self.reach(Milestone::Loaded, now);
        self.record_unreconciled_count(now, machines);
    }

    /// Records the number of machines that are not reconciled yet.
    pub(crate) fn record_unreconciled_count(&mut self, now: Time, unreconciled: usize) {
        // The number can rise, because a machine transfer may add a machine during the recovery.
        self.machines = self.machines.max(unreconciled);
        self.unreconciled = unreconciled;
        if !self.has_reached(Milestone::Loaded) {
            return;
        }
        if 2 * unreconciled <= self.machines {
            self.reach(Milestone::HalfReconciled, now);
        }
        if 100 * unreconciled <= self.machines {
            self.reach(Milestone::NearlyReconciled, now);
        }
        if unreconciled == 0 {
            self.reach(Milestone::Serving, now);
        }
    }

    pub(crate) fn record_task_start(&mut self, now: Time) {
        self.reach(Milestone::FirstTaskStarted, now);
    }

    pub(crate) fn time_to(&self, milestone: Milestone) -> Option<Span> {
        self.reached_at[milestone as usize].map(|at| at.since(self.acquired_at))
    }

    /// Returns the milestones reached since the previous call.
    pub(crate) fn take_unreported(&mut self) -> Vec<Milestone> {
        let is_new = |milestone: &Milestone| self.has_reached(*milestone) && !self.is_reported[*milestone as usize];
        let new: Vec<Milestone> = ALL_MILESTONES.into_iter().filter(is_new).collect();
        for milestone in &new {
            self.is_reported[*milestone as usize] = true;
        }
        new
    }

    pub(crate) fn summary(&self, now: Time, queries: u64, answer_times: Option<AnswerTimes>) -> Summary {
        let time_to_ms = |milestone| self.time_to(milestone).map(Span::as_millis);
        Summary {
            stage: self.stage(),
            age_ms: now.since(self.acquired_at).as_millis(),
            jobs: self.jobs,
            machines: self.machines,
            unreconciled: self.unreconciled,
            loaded_ms: time_to_ms(Milestone::Loaded),
            half_reconciled_ms: time_to_ms(Milestone::HalfReconciled),
            nearly_reconciled_ms: time_to_ms(Milestone::NearlyReconciled),
            first_task_started_ms: time_to_ms(Milestone::FirstTaskStarted),
            serving_ms: time_to_ms(Milestone::Serving),
            queries,
            answer_p50_ms: answer_times.map(|times| times.median.as_millis()),
            answer_p99_ms: answer_times.map(|times| times.p99.as_millis()),
        }
    }

    fn has_reached(&self, milestone: Milestone) -> bool {
        self.reached_at[milestone as usize].is_some()
    }

    fn reach(&mut self, milestone: Milestone, now: Time) {
        self.reached_at[milestone as usize].get_or_insert(now);
    }
}
