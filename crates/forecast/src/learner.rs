//! From completed and cut attempts to the run time of the next one.

use crate::calibration::{Calibration, TAIL};
use crate::cell::{Cell, Mean, Seen};
use crate::sample::{Pool, Survival};
use crowstall_model::model::Name;
use crowstall_model::time::{Span, Time};
use std::collections::BTreeMap;

/// What is believed before anything was seen: a task takes what its owner says, give or take a factor of
/// some 1.8 from job to job and of 1.2 from task to task (variances of logarithms).
const TOTAL: f64 = 0.36;
const WITHIN: f64 = 0.04;
/// The same where the owner says nothing.
const NO_ESTIMATE: f64 = 4.0;
/// How much a kind of work takes over from the coarser kind that it belongs to, as observations.
const LOCATION_PRIOR: f64 = 4.0;
const SPREAD_PRIOR: f64 = 6.0;
/// What each level may weigh in the shape of the distribution, from coarse to fine, and what the normal
/// distribution weighs.
const SHAPE_WEIGHTS: [f64; 4] = [8.0, 12.0, 20.0, 60.0];
const SHAPE_PRIOR: f64 = 6.0;
/// How many spreads beyond expectation something counts at the most.
const FARTHEST: f64 = 3.5;
/// A kind with fewer completed attempts is not what an answer rests on.
const ENOUGH: u64 = 3;
/// How many of a job's own tasks are remembered.
const JOB_MEMORY: f64 = 100.0;
const SHORTEST: f64 = 0.001;

/// What a task is, as far as it tells how long it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    pub team: Name,
    pub class: Name,
    /// The machine's type.
    pub machine: Name,
    /// How many tasks its job has.
    pub tasks: u32,
    /// The owner's estimate; zero if there is none.
    pub estimate: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It ran to its end.
    Completed,
    /// It was stopped or lost, or is running still: it would have taken at least so long.
    Cut,
}

/// An attempt that is over, or as far as it has got.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The time it made progress in: no image fetch, no waiting, no time in which its machine hung.
    pub ran: Span,
    pub end: End,
}

/// What a job's own tasks have shown so far.
#[derive(Clone, Debug, Default)]
pub struct JobTrack {
    /// The type of machine of the first of them, and what was expected of it.
    first: Option<(Name, f64)>,
    seen: u32,
    /// By how much they missed that.
    missed: Mean,
}

/// How finely an answer could tell kinds of work apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Nothing like it was seen: the owner's estimate and what is known of estimates.
    Estimate,
    Class,
    ClassAndSize,
    /// Team, class, type of machine and size.
    Kind,
}

/// The run time to expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTime {
    /// One outcome in ten lies below `low`, one in ten above `high`, half below `middle`.
    pub low: Span,
    pub middle: Span,
    pub high: Span,
    pub mean: Span,
    /// How many completed attempts of such work it rests on, and how finely they were told apart.
    pub observations: u64,
    pub level: Level,
    /// The part of the spread (as a standard deviation of logarithms) that a job's tasks have in common,
    /// and the part in which they differ.
    pub common: f64,
    pub own: f64,
}

impl RunTime {
    /// The mean of a job's tasks, in seconds; `side` says where in what they have in common, in standard
    /// deviations from the middle.
    pub fn mean_at(&self, side: f64) -> f64 {
        self.middle.as_secs() * (self.common * side + self.own * self.own / 2.0).exp()
    }

    /// How much longer than their mean the longest of `tasks` side by side is expected to take, in seconds.
    pub fn longest_over_mean(&self, tasks: u32, side: f64) -> f64 {
        // The expected largest of n normal values, within a few hundredths (G. Blom, 1958).
        let n = f64::from(tasks.max(1));
        let at = normal_quantile((n - 0.375) / (n + 0.25));
        let longest = self.middle.as_secs() * (self.common * side + self.own * at).exp();
        (longest - self.mean_at(side)).max(0.0)
    }
}

/// The standard normal distribution's quantile, to 5e-4 (M. Abramowitz and I. Stegun, "Handbook of
/// Mathematical Functions", 1964, 26.2.23).
pub(crate) fn normal_quantile(p: f64) -> f64 {
    let p = p.clamp(1e-9, 1.0 - 1e-9);
    let tail = p.min(1.0 - p);
    let t = (-2.0 * tail.ln()).sqrt();
    let z = t - (2.515517 + t * (0.802853 + t * 0.010328)) / (1.0 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
    if p < 0.5 { -z } else { z }
}

/// How large a job is, coarsely: by factors of 8 of its tasks and of 2 of the estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub(crate) struct Size {
    tasks: u8,
    estimate: i8,
}

/// A kind of work, from coarse to fine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub(crate) enum Key {
    All,
    Class(Name),
    Size(Name, Size),
    Kind(Name, Name, Name, Size),
}

impl Key {
    fn text_bytes(&self) -> usize {
        let bytes = |name: &Name| name.as_str().len() + 16;
        match self {
            Key::All => 0,
            Key::Class(class) | Key::Size(class, _) => bytes(class),
            Key::Kind(team, class, machine, _) => bytes(team) + bytes(class) + bytes(machine),
        }
    }

    pub fn class(&self) -> Option<&Name> {
        match self {
            Key::All => None,
            Key::Class(class) | Key::Size(class, _) | Key::Kind(_, class, _, _) => Some(class),
        }
    }

    pub fn level(&self) -> usize {
        match self {
            Key::All => 0,
            Key::Class(_) => 1,
            Key::Size(..) => 2,
            Key::Kind(..) => 3,
        }
    }
}

/// What bounds a learner.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most memory it may take, in bytes. What is least useful goes first; the coarser kinds that it
    /// belongs to have its evidence too.
    pub memory: usize,
    /// After how long without news evidence counts half.
    pub half_life: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory: 64 * 1024, half_life: Span::secs(7200.0) }
    }
}

/// What has been learned.
#[derive(Clone, Debug)]
pub struct Learner {
    /// In order, so that the same history always leaves the same.
    pub(crate) cells: BTreeMap<Key, Box<Cell>>,
    bytes: usize,
    pub(crate) limits: Limits,
    pub calibration: Calibration,
    /// Who has learned how much of this: tells a snapshot that is contained from one that is not.
    pub(crate) origins: BTreeMap<u64, u64>,
    me: u64,
}

/// What one level says, together with the coarser ones.
#[derive(Clone, Copy)]
struct View {
    location: f64,
    total: f64,
    within: f64,
    /// The variance of the location.
    unsure: f64,
}

/// What is expected of an attempt, before it is known.
struct Expected {
    views: [View; 4],
    location: f64,
    spread: f64,
    /// The location without what the job's own tasks have shown.
    base: f64,
    survival: Survival,
    observations: u64,
    /// What the answer rests on, for its calibration.
    basis: usize,
    level: Level,
    common: f64,
    own: f64,
}

impl Learner {
    /// `origin` must differ from that of every other learner whose snapshots this one may meet.
    pub fn new(origin: u64, limits: Limits) -> Learner {
        Learner {
            cells: BTreeMap::new(),
            bytes: 0,
            limits,
            calibration: Calibration::default(),
            origins: BTreeMap::new(),
            me: origin,
        }
    }

    /// The run time to expect of the next task.
    pub fn predict(&self, work: &Work, track: &JobTrack) -> RunTime {
        self.run_time(&self.expect(work, track))
    }

    fn run_time(&self, expected: &Expected) -> RunTime {
        let (low, middle, high) = self.interval(expected);
        let span = |log: f64| Span::secs(log.clamp(-7.0, 25.0).exp());
        RunTime {
            low: span(low),
            middle: span(middle),
            high: span(high),
            mean: span(middle + expected.spread.powi(2).min(1.0) / 2.0),
            observations: expected.observations,
            level: expected.level,
            common: expected.common,
            own: expected.own,
        }
    }

    /// Takes an attempt in. It costs the same however much was learned before.
    pub fn learn(&mut self, work: &Work, attempt: Attempt, track: &mut JobTrack, now: Time) {
        let estimate = log_estimate(work);
        let mut ran = attempt.ran.as_secs().max(SHORTEST).ln();
        let expected = self.expect(work, track);
        let is_event = attempt.end == End::Completed;
        // One job of very many tasks must not drown all others: each further one tells less that is new.
        let weight = 1.0 / (1.0 + f64::from(track.seen) / 2.0);
        self.calibrate(&expected, ran, is_event, weight);
        let mut in_spreads = ((ran - expected.location) / expected.spread).clamp(-FARTHEST, FARTHEST);
        let mut evidence = 1.0;
        let shape = in_spreads;
        if is_event {
            ran = expected.location + in_spreads * expected.spread;
        } else {
            // Expected to have run as long as others that got as far (J. Buckley and I. James, "Linear
            // regression with censored data", 1979). Never for less time than it was seen to.
            evidence = expected.survival.share_below(in_spreads);
            in_spreads = expected.survival.mean_beyond(in_spreads).min(FARTHEST);
            ran = ran.max(expected.location + in_spreads * expected.spread);
        }
        let from_base = ran - expected.base;
        let job_weight = track.missed.weight;
        let within_job = (job_weight > 0.5).then(|| {
            let missed = from_base - track.missed.sum / job_weight;
            missed * missed * job_weight / (job_weight + 1.0)
        });
        for (key, view) in keys(work).into_iter().zip(expected.views) {
            let seen = Seen {
                estimate,
                ran,
                weight,
                evidence,
                missed: ran - view.location,
                in_spreads: shape,
                is_event,
                within_job,
            };
            let key_bytes = key.text_bytes();
            let cell = self.cells.entry(key).or_insert_with(|| {
                let cell = Box::<Cell>::default();
                self.bytes += key_bytes + cell.bytes();
                cell
            });
            let before = cell.bytes();
            cell.learn(&seen, now, self.limits.half_life);
            self.bytes = self.bytes + cell.bytes() - before;
        }
        track.first.get_or_insert_with(|| (work.machine.clone(), expected.base));
        track.seen = track.seen.saturating_add(1);
        track.missed.add(from_base, evidence, JOB_MEMORY);
        *self.origins.entry(self.me).or_default() += 1;
        self.keep_within_limits(now);
    }

    fn calibrate(&mut self, expected: &Expected, ran: f64, is_event: bool, weight: f64) {
        let (low, middle, high) = self.interval(expected);
        let basis = expected.basis;
        // What was cut inside the interval may have ended anywhere.
        if is_event {
            self.calibration.tallies[basis].judge(low.exp(), middle.exp(), high.exp(), ran.exp());
        }
        if is_event || ran > high {
            self.calibration.stretch[basis].learn(ran < low, ran > high, weight);
        }
    }

    /// Low, middle and high, as logarithms.
    fn interval(&self, expected: &Expected) -> (f64, f64, f64) {
        let stretch = self.calibration.stretch[expected.basis];
        let at = |p: f64| expected.survival.quantile(p);
        let middle = at(0.5);
        let low = middle - (middle - at(TAIL)) * stretch.low.exp();
        let high = middle + (at(1.0 - TAIL) - middle) * stretch.high.exp();
        let place = |spreads: f64| expected.location + expected.spread * spreads;
        (place(low), place(middle), place(high))
    }

    fn views(&self, work: &Work) -> ([View; 4], [Option<&Cell>; 4]) {
        let estimate = log_estimate(work);
        let wide = if work.estimate > Span::ZERO { 1.0 } else { NO_ESTIMATE };
        let (total, within) = (TOTAL * wide, WITHIN);
        let mut view = View { location: estimate, total, within, unsure: total };
        let cells = keys(work).map(|key| self.cells.get(&key).map(|cell| &**cell));
        let views = cells.map(|cell| {
            // What a level says is what it would say if nothing finer were known.
            let Some(cell) = cell.filter(|cell| cell.weight > 0.0) else { return view };
            let part = cell.evidence / (cell.evidence + LOCATION_PRIOR);
            view = View {
                location: view.location + (cell.location(estimate) - view.location) * part,
                total: cell.total.with(view.total, SPREAD_PRIOR),
                within: cell.within.with(view.within, SPREAD_PRIOR),
                // What was only cut may move the location, but nobody has seen where it is.
                unsure: view.unsure * LOCATION_PRIOR / (cell.total.weight + LOCATION_PRIOR),
            };
            view
        });
        (views, cells)
    }

    fn expect(&self, work: &Work, track: &JobTrack) -> Expected {
        let (views, cells) = self.views(work);
        let view = views[3];
        let mut base = view.location;
        if let Some((machine, first)) = &track.first {
            base = *first;
            if *machine != work.machine {
                let other = Work { machine: machine.clone(), ..work.clone() };
                base += view.location - self.views(&other).0[3].location;
            }
        }
        // A job's tasks have something in common that no estimate told; the more of them are through, the
        // more of it is known.
        let within = view.within.min(view.total);
        let between = (view.total - within).max(0.02 * view.total);
        let strength = within / between;
        let known = track.missed.weight / (track.missed.weight + strength);
        let shift = if track.missed.weight > 0.0 { track.missed.sum / track.missed.weight } else { 0.0 };
        let common = within / (track.missed.weight + strength) + view.unsure * (1.0 - known);
        let mut pool = Pool::default();
        for (cell, most) in cells.iter().zip(SHAPE_WEIGHTS) {
            if let Some(cell) = cell {
                pool.add(&cell.shape, most);
            }
        }
        pool.add_normal(SHAPE_PRIOR);
        let mut found = (Level::Estimate, 0);
        for (cell, level) in cells.iter().skip(1).zip([Level::Class, Level::ClassAndSize, Level::Kind]) {
            let completed = cell.map_or(0, |cell| cell.completed);
            if completed >= ENOUGH || (level == Level::Class && completed > 0) {
                found = (level, completed);
            }
        }
        Expected {
            views,
            location: base + known * shift,
            spread: (within + common).sqrt().max(0.01),
            base,
            survival: pool.survival(),
            level: found.0,
            observations: found.1,
            basis: Calibration::basis(found.1, track.seen),
            common: common.sqrt(),
            own: within.sqrt(),
        }
    }

    /// The memory taken, in bytes: counted, not measured.
    pub fn memory(&self) -> usize {
        // The nodes of the tree are half full at the least.
        let entry = 2 * size_of::<(Key, Box<Cell>)>();
        self.bytes + self.cells.len() * entry + size_of::<Learner>()
    }

    /// How many kinds of work are told apart.
    pub fn kinds(&self) -> usize {
        self.cells.len()
    }

    fn keep_within_limits(&mut self, now: Time) {
        while self.memory() > self.limits.memory && self.cells.len() > 1 {
            let mut order: Vec<(f64, Key)> = self
                .cells
                .iter()
                .filter(|(key, _)| **key != Key::All)
                .map(|(key, cell)| (cell.usefulness(now, self.limits.half_life), key.clone()))
                .collect();
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(&a.1)));
            // Several at once, so that this is not done for each new kind.
            for (_, key) in order.into_iter().take(self.cells.len().div_ceil(8)) {
                self.cells.remove(&key);
            }
            self.count();
        }
    }

    /// Counts the bytes anew, after cells came or went.
    pub(crate) fn count(&mut self) {
        self.bytes = self.cells.iter().map(|(key, cell)| key.text_bytes() + cell.bytes()).sum();
    }

    /// Unlearns all that was seen of a class. What the coarsest level has of it fades by itself.
    pub fn forget(&mut self, class: &Name) {
        self.cells.retain(|key, _| key.class() != Some(class));
        self.count();
    }

    /// Holds to the limits again, after cells came from elsewhere.
    pub(crate) fn bound(&mut self, now: Time) {
        self.count();
        self.keep_within_limits(now);
    }
}

fn keys(work: &Work) -> [Key; 4] {
    let log = (work.estimate.as_secs().max(SHORTEST)).log2().round().clamp(-20.0, 40.0);
    let size = Size { tasks: (work.tasks.max(1).ilog2() / 3) as u8, estimate: log as i8 };
    [
        Key::All,
        Key::Class(work.class.clone()),
        Key::Size(work.class.clone(), size),
        Key::Kind(work.team.clone(), work.class.clone(), work.machine.clone(), size),
    ]
}

fn log_estimate(work: &Work) -> f64 {
    match work.estimate {
        Span::ZERO => 0.0,
        estimate => estimate.as_secs().max(SHORTEST).ln(),
    }
}
