//! From run times, work ahead and room to a time at which a job will be done; and what became of such
//! promises.

use crate::calibration::{Stretch, Tally};
use crate::learner::RunTime;
use crowstall_model::model::JobId;
use crowstall_model::time::{Span, Time};
use std::collections::HashMap;

/// How far to the sides of the middle the interval is reckoned, in standard deviations: one in ten lies
/// beyond each.
const SIDE: f64 = 1.2816;
/// How much of the work ahead is uncertain even if all run times were known: what is submitted later may
/// go before it, machines fail.
const DISTURBANCE: f64 = 0.1;

/// Where the job's tasks can run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Room {
    /// CPUs that work of this kind may use now.
    pub cpus: f64,
    /// CPUs that are booting, and in how long they are expected, the soonest first.
    pub booting: Vec<(Span, f64)>,
    /// CPUs that the job may use at most at once: its team's limit, or all its tasks.
    pub most: f64,
}

/// All that a finish time is reckoned from.
#[derive(Clone, Debug)]
pub struct Outlook<'a> {
    /// The run time of one of its tasks.
    pub run: RunTime,
    /// CPUs that a task takes.
    pub cpus: f64,
    pub pending: u32,
    /// How long each running task has run.
    pub running: &'a [Span],
    /// Work that goes first, in CPU seconds: what is pending before it, and the rest of what runs.
    pub ahead_cpu_s: f64,
    /// How long a task's image takes to be fetched.
    pub fetch: Span,
    pub room: &'a Room,
}

/// How long from now until a job is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    pub low: Span,
    pub middle: Span,
    pub high: Span,
}

/// When the job will be done. More work, more work ahead, less room and a lower limit never make it
/// earlier, and the same input always gives the same answer. Nothing if there is no room in sight.
pub fn finish(outlook: &Outlook) -> Option<Finish> {
    let at = |side: f64| finish_at(outlook, side);
    let (low, middle, high) = (at(-SIDE)?, at(0.0)?, at(SIDE)?);
    Some(Finish { low: Span::secs(low.min(middle)), middle: Span::secs(middle), high: Span::secs(high.max(middle)) })
}

fn finish_at(outlook: &Outlook, side: f64) -> Option<f64> {
    let Outlook { run, room, .. } = outlook;
    let mean = run.mean_at(side);
    // What runs goes on for the rest of its time; what has run longer than expected, for about as long
    // as it is late already, as with any long-tailed time.
    let rest = |ran: &Span| (mean - ran.as_secs()).max(0.1 * ran.as_secs()).max(0.1 * mean);
    let running = outlook.running.iter().map(rest).fold(0.0, f64::max);
    let many = outlook.running.len() as u32 + outlook.pending;
    let at_once = (room.most / outlook.cpus.max(1e-6)).clamp(1.0, 1e6) as u32;
    let straggler = run.longest_over_mean(many.min(at_once), side);
    if outlook.pending == 0 {
        return Some(if many == 0 { 0.0 } else { running + straggler });
    }
    let disturbance = (1.0 + DISTURBANCE * side).max(0.0);
    let ahead = outlook.ahead_cpu_s * disturbance;
    let own = f64::from(outlook.pending) * outlook.cpus * mean;
    // The work ahead takes all room; then the job takes as much as its limit allows.
    let start = fluid(room, ahead, f64::MAX, 0.0)?;
    let through = fluid(room, own, room.most, start)?;
    let earliest = start + outlook.fetch.as_secs() + mean;
    Some((through + outlook.fetch.as_secs()).max(earliest).max(running) + straggler)
}

/// When so much work is through that starts at `from` and may use `most` CPUs at once.
fn fluid(room: &Room, work: f64, most: f64, from: f64) -> Option<f64> {
    let (mut cpus, mut now, mut left) = (room.cpus, 0.0, work);
    for (up, more) in room.booting.iter().map(|(up, more)| (up.as_secs(), *more)).chain([(f64::MAX, 0.0)]) {
        let usable = cpus.min(most).max(0.0);
        let begin = f64::max(now, from);
        if up > begin {
            if usable > 0.0 && left <= usable * (up - begin) {
                return Some(begin + left / usable);
            }
            left -= usable * (up - begin);
        }
        now = now.max(up);
        cpus += more;
    }
    None
}

/// A time at which a job was promised to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    pub made: Time,
    pub low: Time,
    pub middle: Time,
    /// By then, nine times out of ten.
    pub by: Time,
    /// How many promises it takes the place of.
    pub revisions: u32,
}

/// What was promised, and what became of it.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    open: HashMap<JobId, Promise>,
    stretch: Stretch,
    /// Of the promise that each job had first when it ended.
    first: HashMap<JobId, Promise>,
    pub tally: Tally,
    /// How late the late ones were, all together.
    pub late: Span,
}

impl Promises {
    pub fn get(&self, job: &JobId) -> Option<Promise> {
        self.open.get(job).copied()
    }

    /// Promises, or revises what was promised if that has changed materially: by more than a fifth of
    /// what is left and a second, or if the time is up.
    pub fn promise(&mut self, job: &JobId, finish: Finish, now: Time) -> Promise {
        let middle = finish.middle;
        let side = |width: Span, stretch: f64| width.times(stretch.exp());
        let low = now + (middle - side(middle - finish.low, self.stretch.low));
        let by = now + middle + side(finish.high - middle, self.stretch.high);
        let fresh = Promise { made: now, low, middle: now + middle, by, revisions: 0 };
        let kept = self.open.get(job).copied().filter(|old| {
            let off = old.middle.since(fresh.middle).max(fresh.middle.since(old.middle));
            now <= old.by && off <= middle.times(0.2).max(Span::millis(1000))
        });
        if let Some(kept) = kept {
            return kept;
        }
        let revisions = self.open.get(job).map_or(0, |old| old.revisions + 1);
        let fresh = Promise { revisions, ..fresh };
        self.open.insert(job.clone(), fresh);
        self.first.entry(job.clone()).or_insert(fresh);
        fresh
    }

    /// The job is done: judges what it was first promised, which is what its user could plan with. Gives
    /// back that promise and by how much it was late.
    pub fn done(&mut self, job: &JobId, now: Time) -> Option<(Promise, Span)> {
        self.open.remove(job);
        let promise = self.first.remove(job)?;
        let since = |at: Time| at.since(promise.made).as_secs();
        let outcome = since(now);
        self.tally.judge(since(promise.low), since(promise.middle), since(promise.by), outcome);
        self.stretch.learn(now < promise.low, now > promise.by, 1.0);
        let late = now.since(promise.by);
        self.late = self.late + late;
        Some((promise, late))
    }

    /// The job is gone without being done, so that nothing can be said of its promise.
    pub fn drop_job(&mut self, job: &JobId) {
        self.open.remove(job);
        self.first.remove(job);
    }

    /// How many jobs have a promise.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}
