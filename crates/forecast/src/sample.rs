//! A weighted sample of values of which some are censored, that is, only a lower bound is known.
//!
//! The values are kept as a few centroids of a t-digest (T. Dunning, "The t-digest: efficient estimates of
//! distributions", 2021).

use tdigests::{Centroid, TDigest};

/// Number of centroids of completed values after compression.
const MAX_COMPLETED_CENTROIDS: usize = 12;
/// Number of centroids of censored values after compression.
const MAX_CENSORED_CENTROIDS: usize = 5;
/// Number of further centroids that accumulate before they are compressed.
const BUFFERED_CENTROIDS: usize = 8;
/// Minimum weight of a centroid; lighter ones are removed at the next compression.
const MIN_CENTROID_WEIGHT: f64 = 1e-9;

/// Sample of completed and censored values.
#[derive(Clone, Debug, Default)]
pub(crate) struct CensoredSample {
    /// Values that are known exactly.
    pub completed: Vec<Centroid>,
    /// Lower bounds of values.
    pub censored: Vec<Centroid>,
}

impl CensoredSample {
    /// Adds a value, which is a lower bound unless `is_completed`.
    pub fn add(&mut self, value: f64, weight: f64, is_completed: bool) {
        let (centroids, max_centroids) = if is_completed {
            (&mut self.completed, MAX_COMPLETED_CENTROIDS)
        } else {
            (&mut self.censored, MAX_CENSORED_CENTROIDS)
        };
        let max_length = max_centroids + BUFFERED_CENTROIDS;
        centroids.reserve_exact(max_length.saturating_sub(centroids.len()).min(BUFFERED_CENTROIDS));
        centroids.push(Centroid::new(value, weight));
        if centroids.len() >= max_length {
            compress(centroids, max_centroids);
        }
    }

    /// Adds all values of another sample.
    pub fn merge(&mut self, other: &CensoredSample) {
        self.completed.extend(other.completed.iter().cloned());
        self.censored.extend(other.censored.iter().cloned());
        compress(&mut self.completed, MAX_COMPLETED_CENTROIDS);
        compress(&mut self.censored, MAX_CENSORED_CENTROIDS);
    }

    /// Multiplies the weight of all values by a factor.
    pub fn scale_weight(&mut self, factor: f64) {
        for centroid in self.completed.iter_mut().chain(&mut self.censored) {
            centroid.weight *= factor;
        }
    }

    /// Returns the total weight of all values.
    pub fn weight(&self) -> f64 {
        self.completed.iter().chain(&self.censored).map(|centroid| centroid.weight).sum()
    }

    /// Returns the memory of the centroids, in bytes.
    pub fn heap_bytes(&self) -> usize {
        (self.completed.capacity() + self.censored.capacity()) * size_of::<Centroid>()
    }
}

/// Removes centroids without weight or with a value that is not finite, and merges the others into at most
/// `max_centroids`.
fn compress(centroids: &mut Vec<Centroid>, max_centroids: usize) {
    centroids.retain(|centroid| centroid.weight > MIN_CENTROID_WEIGHT && centroid.mean.is_finite());
    if centroids.len() > max_centroids {
        let mut digest = TDigest::from_centroids(std::mem::take(centroids));
        digest.compress(max_centroids);
        *centroids = digest.centroids().to_vec();
    }
}
