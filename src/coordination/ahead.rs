//! How far ahead of the queue's front the records allow starts. A record that allows a task's start is written
//! before the start, so that nobody waits for it; but after a takeover every task that may have been started has
//! to be looked for, so it is not written for what stands far back in the line.

use super::binding::Market;
use super::shard::{Job, Shard};
use crate::time::{Span, Time};

/// How many starts are allowed ahead at the least.
pub(super) const LEAST: u32 = 256;
/// How many starts of one job are allowed at a time at the least, so as not to write for each.
const BLOCK: u32 = 32;
/// How often it is planned.
const PAUSE: Span = Span::millis(200);

#[derive(Default)]
pub(super) struct Ahead {
    /// Starts of late, each counting less the longer ago it was: at a steady pace as many as there are in
    /// the time that passed to `started`.
    lately: f64,
    last: Time,
    planned: Option<Time>,
    /// How many tasks of the line may be started, as of the last plan, and how many should be.
    open: u32,
    wanted: u32,
}

impl Ahead {
    /// Something was started. `memory` is for how long that counts.
    pub fn started(&mut self, now: Time, memory: Span) {
        self.fade(now, memory);
        self.lately += 1.0;
    }

    fn fade(&mut self, now: Time, memory: Span) {
        self.lately *= (-now.since(self.last).as_secs() / memory.as_secs().max(0.001)).exp();
        self.last = now;
    }

    /// What comes now will be started soon.
    pub fn has_room(&self) -> bool {
        self.open < self.wanted
    }
}

impl Job {
    /// How many of its pending tasks may be started.
    fn open_tasks(&self) -> u32 {
        self.pending.count_below(self.untouched)
    }
}

impl Shard {
    /// Plans up to where the jobs' records should allow starts: from the front of the line as many tasks as are
    /// started while this node could hold the shard without the state service, since that long no record
    /// can be written, and a quarter more.
    pub fn plan_starts(&mut self, market: &Market) {
        let now = market.now;
        if self.ahead.planned.is_some_and(|at| now.since(at) < PAUSE) {
            return;
        }
        self.ahead.planned = Some(now);
        if !market.cfg.own.recovery.open_late {
            return self.plan_starts_of_all();
        }
        self.ahead.fade(now, market.cfg.own.claim_life);
        let wanted = LEAST.max((1.25 * self.ahead.lately) as u32);
        let mut open = 0;
        for id in self.ranked(market, |job| !job.pending.is_empty() && job.may_start(now)) {
            if open >= wanted {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let there = job.open_tasks();
            let share = job.pending.len().min(wanted - open);
            // Only when half of it is used up, or every start would ask for a write.
            if there <= share / 2 || there < share.min(BLOCK / 2) {
                let more = (share - there).max(BLOCK);
                job.open_to = job.untouched.saturating_add(more).min(job.spec.tasks);
            }
            open += there.max(share);
        }
        (self.ahead.open, self.ahead.wanted) = (open, wanted);
    }

    /// The same for every job, wherever it stands in the line.
    fn plan_starts_of_all(&mut self) {
        for job in self.jobs.values_mut() {
            if let Some(next) = job.pending.first()
                && next + LEAST / 2 >= job.untouched
            {
                job.open_to = job.untouched.max((next + 2 * LEAST).min(job.spec.tasks));
            }
        }
    }
}
