//! A weighted sample of values, some of which are only known to be "at least this much", in a few
//! centroids of a t-digest (T. Dunning, "The t-digest: efficient estimates of distributions", 2021).

use tdigests::{Centroid, TDigest};

/// How many centroids are kept of completed and of cut values, and how many may wait in between.
const EVENTS: usize = 12;
const CUTS: usize = 5;
const WAITING: usize = 8;

#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    pub events: Vec<Centroid>,
    pub cuts: Vec<Centroid>,
}

/// A point of a pooled sample.
#[derive(Clone, Copy, Debug)]
struct Point {
    value: f64,
    weight: f64,
    is_event: bool,
}

impl Sample {
    pub fn add(&mut self, value: f64, weight: f64, is_event: bool) {
        let (list, most) = if is_event { (&mut self.events, EVENTS) } else { (&mut self.cuts, CUTS) };
        list.reserve_exact((most + WAITING).saturating_sub(list.len()).min(WAITING));
        list.push(Centroid::new(value, weight));
        if list.len() >= most + WAITING {
            squeeze(list, most);
        }
    }

    pub fn merge(&mut self, other: &Sample) {
        self.events.extend(other.events.iter().cloned());
        self.cuts.extend(other.cuts.iter().cloned());
        squeeze(&mut self.events, EVENTS);
        squeeze(&mut self.cuts, CUTS);
    }

    /// Makes everything seen so far count less.
    pub fn fade(&mut self, factor: f64) {
        for centroid in self.events.iter_mut().chain(&mut self.cuts) {
            centroid.weight *= factor;
        }
    }

    pub fn weight(&self) -> f64 {
        self.events.iter().chain(&self.cuts).map(|centroid| centroid.weight).sum()
    }

    pub fn bytes(&self) -> usize {
        (self.events.capacity() + self.cuts.capacity()) * size_of::<Centroid>()
    }
}

fn squeeze(list: &mut Vec<Centroid>, most: usize) {
    list.retain(|centroid| centroid.weight > 1e-9 && centroid.mean.is_finite());
    if list.len() > most {
        let mut digest = TDigest::from_centroids(std::mem::take(list));
        digest.compress(most);
        *list = digest.centroids().to_vec();
    }
}

/// Several samples taken as one, each with its share.
#[derive(Default)]
pub(crate) struct Pool {
    points: Vec<Point>,
}

impl Pool {
    /// Counts the sample for at most `most` of weight.
    pub fn add(&mut self, sample: &Sample, most: f64) {
        let weight = sample.weight();
        if weight <= 0.0 {
            return;
        }
        let factor = (most / weight).min(1.0);
        let point = |c: &Centroid, is_event| Point { value: c.mean, weight: c.weight * factor, is_event };
        self.points.extend(sample.events.iter().map(|c| point(c, true)));
        self.points.extend(sample.cuts.iter().map(|c| point(c, false)));
    }

    /// Adds the normal distribution, as if so much of it had been seen.
    pub fn add_normal(&mut self, weight: f64) {
        const AT: [f64; 11] = [-2.4, -1.7, -1.2, -0.8, -0.4, 0.0, 0.4, 0.8, 1.2, 1.7, 2.4];
        const SHARE: [f64; 11] = [0.02, 0.05, 0.09, 0.13, 0.15, 0.12, 0.15, 0.13, 0.09, 0.05, 0.02];
        for (value, share) in AT.into_iter().zip(SHARE) {
            self.points.push(Point { value, weight: weight * share, is_event: true });
        }
    }

    /// The distribution by the product-limit estimate (E. Kaplan and P. Meier, "Nonparametric estimation
    /// from incomplete observations", 1958): what was cut counts as at risk up to where it was cut.
    pub fn survival(mut self) -> Survival {
        self.points.sort_by(|a, b| a.value.total_cmp(&b.value).then(b.is_event.cmp(&a.is_event)));
        let mut at_risk: f64 = self.points.iter().map(|point| point.weight).sum();
        let mut left = 1.0;
        let mut steps = Vec::with_capacity(self.points.len());
        for point in &self.points {
            if point.is_event && at_risk > 0.0 {
                let after = left * (1.0 - point.weight / at_risk).max(0.0);
                steps.push(Step { value: point.value, share: left - after, below: 1.0 - (left + after) / 2.0 });
                left = after;
            }
            at_risk -= point.weight;
        }
        Survival { steps, beyond: left }
    }
}

struct Step {
    value: f64,
    /// The share that lies here.
    share: f64,
    /// The share that lies below the middle of it.
    below: f64,
}

pub(crate) struct Survival {
    steps: Vec<Step>,
    /// The share that lies beyond the last step: nobody has seen where.
    beyond: f64,
}

impl Survival {
    /// The value below which the share `p` lies. Beyond what was seen it goes on as the last steps did.
    pub fn quantile(&self, p: f64) -> f64 {
        let Some(first) = self.steps.first() else { return 0.0 };
        let after = self.steps.iter().position(|step| step.below >= p);
        match after {
            Some(0) => first.value,
            Some(at) => {
                let (a, b) = (&self.steps[at - 1], &self.steps[at]);
                let width = b.below - a.below;
                let part = if width > 1e-12 { (p - a.below) / width } else { 1.0 };
                a.value + (b.value - a.value) * part
            }
            None => {
                let last = self.steps.last().unwrap_or(first);
                // What never ended while it was watched: a standard deviation for each halving.
                let rest = (1.0 - last.below).max(1e-6);
                last.value + if self.beyond > 1e-6 { (rest / (1.0 - p).max(1e-6)).ln().max(0.0) } else { 0.0 }
            }
        }
    }

    /// The mean of what lies beyond `value`.
    pub fn mean_beyond(&self, value: f64) -> f64 {
        let beyond = self.steps.iter().filter(|step| step.value > value);
        let (mut sum, mut share) = (0.0, 0.0);
        for step in beyond {
            sum += step.value * step.share;
            share += step.share;
        }
        let last = self.steps.last().map_or(value, |step| step.value).max(value);
        sum += (last + 0.5) * self.beyond;
        share += self.beyond;
        if share > 1e-9 { (sum / share).max(value) } else { value + 0.25 }
    }

    /// The share that lies below `value`.
    pub fn share_below(&self, value: f64) -> f64 {
        self.steps.iter().take_while(|step| step.value <= value).map(|step| step.share).sum()
    }
}
