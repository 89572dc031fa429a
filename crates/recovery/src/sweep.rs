//! Asking many machines without a stampede: as many at a time as the answers keep up with.

use crowstall_model::model::{Amount, MachineId, Resources};
use crowstall_model::time::{Span, Time};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How many are asked at first, and at the least.
const FIRST: f64 = 16.0;
const LEAST: f64 = 8.0;
/// A question that old holds up nobody else: its machine is rather gone than busy.
const PATIENCE: Span = Span::millis(250);
/// How long a machine that did not answer is left alone, at first and at most.
const FIRST_PAUSE: Span = Span::millis(500);
const LONGEST_PAUSE: Span = Span::millis(4000);

/// The largest machines come first, since most is hidden there; then by name, so that the order is the same
/// every time.
type Rank = (Reverse<Amount>, MachineId);

pub(crate) struct Sweep {
    waiting: BTreeSet<Rank>,
    /// Machines that did not answer, by when they are asked again.
    resting: BTreeSet<(Time, Rank)>,
    /// Machines that are being asked, since when, and how often they were asked in vain.
    asked: HashMap<MachineId, (Time, Rank)>,
    tries: BTreeMap<MachineId, u32>,
    /// How many questions may be open that are no older than `PATIENCE`.
    window: f64,
    most: f64,
    count: u64,
    /// How long answers took, in milliseconds.
    answers: Option<Histogram<u32>>,
}

impl Sweep {
    pub(crate) fn new(most: usize) -> Sweep {
        let most = (most as f64).max(1.0);
        Sweep {
            waiting: BTreeSet::new(),
            resting: BTreeSet::new(),
            asked: HashMap::new(),
            tries: BTreeMap::new(),
            window: FIRST.min(most),
            most,
            count: 0,
            answers: Histogram::new_with_max(60_000, 2).ok(),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.resting.clear();
        self.asked.clear();
        self.tries.clear();
    }

    pub(crate) fn add(&mut self, id: MachineId, size: Resources) {
        self.waiting.insert((Reverse(size.cpus), id));
    }

    pub(crate) fn next(&mut self, now: Time) -> Vec<MachineId> {
        while let Some((due, _)) = self.resting.first()
            && *due <= now
        {
            if let Some((_, rank)) = self.resting.pop_first() {
                self.waiting.insert(rank);
            }
        }
        let open = self.asked.values().filter(|(since, _)| now.since(*since) < PATIENCE).count();
        // Every open question takes a socket, also one that nobody will answer.
        let sockets = (4.0 * self.most) as usize;
        let free = (self.window as usize).saturating_sub(open).min(sockets.saturating_sub(self.asked.len()));
        let mut asks = Vec::new();
        while asks.len() < free
            && let Some(rank) = self.waiting.pop_first()
        {
            let id = rank.1.clone();
            self.asked.insert(id.clone(), (now, rank));
            self.count += 1;
            asks.push(id);
        }
        asks
    }

    pub(crate) fn asked(&mut self, id: &MachineId, now: Time) {
        if let Some((since, _)) = self.asked.get_mut(id) {
            *since = now;
            self.count += 1;
        }
    }

    /// The machine is known, by its answer or in another way.
    pub(crate) fn answered(&mut self, id: &MachineId, now: Time) {
        self.tries.remove(id);
        if let Some((since, _)) = self.asked.remove(id) {
            let took = now.since(since);
            if let Some(answers) = &mut self.answers {
                answers.saturating_record(took.as_millis());
            }
            if took < PATIENCE {
                self.window = (self.window + 1.0).min(self.most);
            }
            return;
        }
        self.waiting.retain(|(_, other)| other != id);
        self.resting.retain(|(_, (_, other))| other != id);
    }

    pub(crate) fn unanswered(&mut self, id: &MachineId, now: Time) {
        let Some((_, rank)) = self.asked.remove(id) else { return };
        let tries = self.tries.entry(id.clone()).or_default();
        let pause = FIRST_PAUSE.times(f64::from(1u32 << (*tries).min(8))).min(LONGEST_PAUSE);
        *tries += 1;
        self.resting.insert((now + pause, rank));
    }

    pub(crate) fn strained(&mut self) {
        self.window = (self.window / 2.0).max(LEAST.min(self.most));
    }

    /// How many questions were asked.
    pub(crate) fn asks(&self) -> u64 {
        self.count
    }

    /// How long answers took: the median and the 99th percentile.
    pub(crate) fn answer_time(&self) -> Option<(Span, Span)> {
        let answers = self.answers.as_ref().filter(|answers| !answers.is_empty())?;
        let at = |quantile| Span::millis(answers.value_at_quantile(quantile));
        Some((at(0.5), at(0.99)))
    }
}
