//! Snapshots: the observations of a learner as a compact text.
//!
//! ```text
//! base64( "CF" version:u8 crc32:u32be deflate( cbor( body ) ) )
//! ```
//!
//! The checksum covers the compressed bytes. A text that is truncated, damaged, of another version or not a snapshot is
//! refused as a whole.

use crate::calibration::{BASIS_COUNT, LogWidening, MAX_LOG_WIDENING};
use crate::cell::{Cell, DecayingMean};
use crate::features::CellKey;
use crate::learner::{Learner, Limits};
use crate::run_time::Level;
use crate::sample::CensoredSample;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use crowstall_model::time::{Span, Time};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use tdigests::Centroid;

/// First bytes of a snapshot.
const MAGIC: &[u8; 2] = b"CF";
/// Version of the format, incremented with each change of the body's meaning.
const VERSION: u8 = 1;
/// Offset of the version in the header.
const VERSION_OFFSET: usize = 2;
/// Offset of the checksum in the header.
const CHECKSUM_OFFSET: usize = 3;
/// Length of the header.
const HEADER_BYTES: usize = 7;
/// Maximum length of a decompressed body, so that a malformed text cannot exhaust memory. No learner within sensible
/// limits needs as much.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Maximum nesting depth of the body.
const MAX_BODY_DEPTH: usize = 16;
/// Units per 1 of the stored values of centroids. The resolution of a thousandth is finer than the accuracy of any
/// forecast.
const VALUE_UNITS: f64 = 1000.0;
/// Units per 1 of the stored weights of centroids.
const WEIGHT_UNITS: f64 = 64.0;
/// Maximum stored weight of a centroid, in units of 1/64.
const MAX_STORED_WEIGHT: f64 = 65_535.0;

/// Error of reading a text as a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The text is damaged or not a snapshot.
    #[error("damaged: {0}")]
    Damaged(#[from] Damage),
    /// The snapshot has another version.
    #[error("unsupported version {0}, expected {VERSION}")]
    UnsupportedVersion(u8),
}

/// Kind of damage of a text that should be a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The text is not valid base64.
    #[error("not valid base64")]
    NotBase64,
    /// The text is shorter than the header.
    #[error("shorter than the header of {HEADER_BYTES} bytes")]
    TooShort,
    /// The text does not begin with the first bytes of a snapshot.
    #[error("does not begin with the first bytes of a snapshot")]
    NotASnapshot,
    /// The checksum does not match.
    #[error("checksum mismatch")]
    WrongChecksum,
    /// The body cannot be decompressed.
    #[error("body cannot be decompressed")]
    Compression,
    /// The body is not CBOR with the expected fields, or it is longer than the limit.
    #[error("body cannot be parsed")]
    Body,
    /// A number is not finite or outside its range, or there are too many widenings.
    #[error("a number is out of range")]
    NumberOutOfRange,
}

/// Result of merging a snapshot into a learner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The observations of the snapshot were added.
    Added,
    /// Nothing was added, because the learner already contains all observations of the snapshot.
    Contained,
    /// Nothing was added, because the learner already contains some observations of the snapshot, and these cannot be
    /// told apart from the others. Observations may be missing then, but none counts twice.
    Overlaps,
}

/// Body of a snapshot. The names of the fields are part of the format.
#[derive(Serialize, Deserialize)]
struct Body {
    /// Number of attempts by origin; see [`Learner::origins`].
    origins: BTreeMap<u64, u64>,
    /// Widenings of the intervals, low and high, by basis.
    #[serde(rename = "stretch")]
    widenings: Vec<(f32, f32)>,
    cells: Vec<StoredCell>,
}

/// Cell as a snapshot stores it. The names of the fields are part of the format.
#[derive(Serialize, Deserialize)]
struct StoredCell {
    key: CellKey,
    numbers: StoredNumbers,
    #[serde(rename = "completed")]
    completed_attempts: u64,
    #[serde(rename = "events")]
    completed: Vec<StoredCentroid>,
    #[serde(rename = "cuts")]
    censored: Vec<StoredCentroid>,
}

/// Value and weight of a centroid, in the units of the format.
#[derive(Serialize, Deserialize)]
struct StoredCentroid(i16, u16);

/// Numbers of a cell, stored as an array in the order of the fields.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "[f32; 10]", into = "[f32; 10]")]
struct StoredNumbers {
    weight: f32,
    evidence: f32,
    mean_estimate: f32,
    mean_run_time: f32,
    estimate_moment: f32,
    cross_moment: f32,
    total_variance_sum: f32,
    total_variance_weight: f32,
    within_job_variance_sum: f32,
    within_job_variance_weight: f32,
}

impl From<[f32; 10]> for StoredNumbers {
    fn from(numbers: [f32; 10]) -> StoredNumbers {
        let [
            weight,
            evidence,
            mean_estimate,
            mean_run_time,
            estimate_moment,
            cross_moment,
            total_variance_sum,
            total_variance_weight,
            within_job_variance_sum,
            within_job_variance_weight,
        ] = numbers;
        StoredNumbers {
            weight,
            evidence,
            mean_estimate,
            mean_run_time,
            estimate_moment,
            cross_moment,
            total_variance_sum,
            total_variance_weight,
            within_job_variance_sum,
            within_job_variance_weight,
        }
    }
}

impl From<StoredNumbers> for [f32; 10] {
    fn from(numbers: StoredNumbers) -> [f32; 10] {
        [
            numbers.weight,
            numbers.evidence,
            numbers.mean_estimate,
            numbers.mean_run_time,
            numbers.estimate_moment,
            numbers.cross_moment,
            numbers.total_variance_sum,
            numbers.total_variance_weight,
            numbers.within_job_variance_sum,
            numbers.within_job_variance_weight,
        ]
    }
}

impl StoredNumbers {
    /// Returns `true` if all numbers are finite, and those that must not be negative are not.
    fn are_valid(&self) -> bool {
        let non_negative = [
            self.weight,
            self.evidence,
            self.estimate_moment,
            self.total_variance_sum,
            self.total_variance_weight,
            self.within_job_variance_sum,
            self.within_job_variance_weight,
        ];
        let all: [f32; 10] = (*self).into();
        all.iter().all(|number| number.is_finite()) && non_negative.iter().all(|number| *number >= 0.0)
    }
}

impl StoredCentroid {
    fn new(centroid: &Centroid) -> StoredCentroid {
        let weight = (centroid.weight * WEIGHT_UNITS).min(MAX_STORED_WEIGHT) as u16;
        StoredCentroid((centroid.mean * VALUE_UNITS) as i16, weight)
    }

    fn restore(&self) -> Centroid {
        Centroid::new(f64::from(self.0) / VALUE_UNITS, f64::from(self.1) / WEIGHT_UNITS)
    }
}

impl StoredCell {
    /// Creates the stored form of a cell, with the decay up to `now` applied: the reader's clock is a different one, so
    /// the time of the last decay would mean nothing there.
    fn new(key: &CellKey, cell: &Cell, now: Time, half_life: Span) -> StoredCell {
        let mut cell = cell.clone();
        cell.decay(now, half_life);
        StoredCell {
            key: key.clone(),
            numbers: StoredNumbers {
                weight: cell.weight as f32,
                evidence: cell.evidence as f32,
                mean_estimate: cell.mean_estimate as f32,
                mean_run_time: cell.mean_run_time as f32,
                estimate_moment: cell.estimate_moment as f32,
                cross_moment: cell.cross_moment as f32,
                total_variance_sum: cell.total_variance.sum as f32,
                total_variance_weight: cell.total_variance.weight as f32,
                within_job_variance_sum: cell.within_job_variance.sum as f32,
                within_job_variance_weight: cell.within_job_variance.weight as f32,
            },
            completed_attempts: cell.completed_attempts,
            completed: stored_centroids(&cell.shape.completed),
            censored: stored_centroids(&cell.shape.censored),
        }
    }

    /// Returns the cell; its decay continues from `now`.
    fn restore(&self, now: Time) -> Cell {
        let numbers = &self.numbers;
        Cell {
            weight: f64::from(numbers.weight),
            mean_estimate: f64::from(numbers.mean_estimate),
            mean_run_time: f64::from(numbers.mean_run_time),
            estimate_moment: f64::from(numbers.estimate_moment),
            cross_moment: f64::from(numbers.cross_moment),
            evidence: f64::from(numbers.evidence),
            completed_attempts: self.completed_attempts,
            total_variance: DecayingMean {
                sum: f64::from(numbers.total_variance_sum),
                weight: f64::from(numbers.total_variance_weight),
            },
            within_job_variance: DecayingMean {
                sum: f64::from(numbers.within_job_variance_sum),
                weight: f64::from(numbers.within_job_variance_weight),
            },
            shape: CensoredSample {
                completed: self.completed.iter().map(StoredCentroid::restore).collect(),
                censored: self.censored.iter().map(StoredCentroid::restore).collect(),
            },
            updated_at: now,
        }
    }
}

/// Returns the stored form of centroids, without those whose weight is rounded down to zero.
fn stored_centroids(centroids: &[Centroid]) -> Vec<StoredCentroid> {
    centroids.iter().map(StoredCentroid::new).filter(|stored| stored.1 > 0).collect()
}

impl Body {
    /// Returns `true` if all numbers are in their ranges.
    fn is_valid(&self) -> bool {
        let widenings_are_finite = self.widenings.iter().all(|(low, high)| low.is_finite() && high.is_finite());
        let cells_are_valid = self.cells.iter().all(|cell| cell.numbers.are_valid());
        cells_are_valid && widenings_are_finite && self.widenings.len() <= BASIS_COUNT
    }
}

/// Snapshot that was read and validated.
pub struct Snapshot(Body);

impl Snapshot {
    /// Returns the number of attempts that the snapshot contains.
    pub fn attempts(&self) -> u64 {
        self.0.origins.values().sum()
    }

    /// Returns the number of cells, that is, of groups of similar tasks.
    pub fn cell_count(&self) -> usize {
        self.0.cells.len()
    }
}

/// Writes a snapshot of at most `max_bytes`. If not all cells fit, the least useful fine ones are left out first.
///
/// Returns `None` if not even a snapshot of a single cell fits.
pub fn write(learner: &Learner, now: Time, max_bytes: usize) -> Option<String> {
    let cells = cells_by_usefulness(learner, now);
    // Packing is expensive, so the largest number of cells that fits is found by bisection.
    let mut largest_fit: Option<(usize, String)> = None;
    let mut too_many = cells.len() + 1;
    let mut count = cells.len();
    loop {
        let text = pack(learner, &cells[..count], now);
        if text.len() <= max_bytes {
            largest_fit = Some((count, text));
        } else {
            too_many = count;
        }
        let fitting = largest_fit.as_ref().map_or(0, |(count, _)| *count);
        if too_many - fitting <= 1 {
            return largest_fit.map(|(_, text)| text);
        }
        count = fitting.midpoint(too_many);
    }
}

/// Returns the cells ordered by their priority in a snapshot of limited size: the two coarsest levels first, then
/// the others, and within each of these groups by decreasing usefulness.
fn cells_by_usefulness(learner: &Learner, now: Time) -> Vec<(&CellKey, &Cell)> {
    let mut cells: Vec<(&CellKey, &Cell)> = learner.cells.iter().map(|(key, cell)| (key, &**cell)).collect();
    let usefulness = |cell: &Cell| cell.usefulness(now, learner.limits.half_life);
    let is_fine = |key: &CellKey| key.level() > Level::Class;
    cells.sort_by(|(key_a, cell_a), (key_b, cell_b)| {
        let by_level = is_fine(key_a).cmp(&is_fine(key_b));
        by_level.then(usefulness(cell_b).total_cmp(&usefulness(cell_a))).then(key_a.cmp(key_b))
    });
    cells
}

/// Returns the text of a snapshot with these cells.
fn pack(learner: &Learner, cells: &[(&CellKey, &Cell)], now: Time) -> String {
    let half_life = learner.limits.half_life;
    let stored_widening = |widening: &LogWidening| (widening.low as f32, widening.high as f32);
    let body = Body {
        origins: learner.origins.clone(),
        widenings: learner.calibration.widenings.iter().map(stored_widening).collect(),
        cells: cells.iter().map(|(key, cell)| StoredCell::new(key, cell, now, half_life)).collect(),
    };
    let compressed = compress(&body);
    let mut bytes = MAGIC.to_vec();
    bytes.push(VERSION);
    bytes.extend(crc32fast::hash(&compressed).to_be_bytes());
    bytes.extend(compressed);
    BASE64.encode(bytes)
}

/// Returns the body as compressed CBOR.
///
/// Neither writing to a vector nor serializing these types can fail. In case of an error the result would be empty,
/// which readers refuse.
fn compress(body: &Body) -> Vec<u8> {
    let mut cbor = Vec::new();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    let is_written = ciborium::into_writer(body, &mut cbor).is_ok() && encoder.write_all(&cbor).is_ok();
    encoder.finish().ok().filter(|_| is_written).unwrap_or_default()
}

/// Reads and validates a snapshot.
pub fn read(text: &str) -> Result<Snapshot, SnapshotError> {
    let bytes = BASE64.decode(text).map_err(|_| Damage::NotBase64)?;
    let (header, compressed) = bytes.split_at_checked(HEADER_BYTES).ok_or(Damage::TooShort)?;
    if !header.starts_with(MAGIC) {
        return Err(Damage::NotASnapshot.into());
    }
    if header[VERSION_OFFSET] != VERSION {
        return Err(SnapshotError::UnsupportedVersion(header[VERSION_OFFSET]));
    }
    if header[CHECKSUM_OFFSET..] != crc32fast::hash(compressed).to_be_bytes() {
        return Err(Damage::WrongChecksum.into());
    }
    let body = decompress(compressed)?;
    if !body.is_valid() {
        return Err(Damage::NumberOutOfRange.into());
    }
    Ok(Snapshot(body))
}

fn decompress(compressed: &[u8]) -> Result<Body, Damage> {
    let mut cbor = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_BODY_BYTES);
    decoder.read_to_end(&mut cbor).map_err(|_| Damage::Compression)?;
    ciborium::de::from_reader_with_recursion_limit(cbor.as_slice(), MAX_BODY_DEPTH).map_err(|_| Damage::Body)
}

impl Learner {
    /// Adds the observations of a snapshot unless the learner already contains some of them, so that no attempt counts
    /// twice. A learner without observations also takes over the widenings.
    pub fn merge(&mut self, snapshot: &Snapshot, now: Time) -> MergeOutcome {
        let Snapshot(body) = snapshot;
        let known_attempts = |origin: &u64| self.origins.get(origin).copied().unwrap_or(0);
        if body.origins.iter().all(|(origin, count)| known_attempts(origin) >= *count) {
            return MergeOutcome::Contained;
        }
        if body.origins.keys().any(|origin| known_attempts(origin) > 0) {
            return MergeOutcome::Overlaps;
        }
        if self.origins.is_empty() {
            self.restore_widenings(body);
        }
        self.origins.extend(&body.origins);
        for stored in &body.cells {
            self.cells.entry(stored.key.clone()).or_default().merge(&stored.restore(now));
        }
        self.enforce_memory_limit(now);
        MergeOutcome::Added
    }

    fn restore_widenings(&mut self, body: &Body) {
        let restore = |stored: f32| f64::from(stored).clamp(-MAX_LOG_WIDENING, MAX_LOG_WIDENING);
        for (widening, (low, high)) in self.calibration.widenings.iter_mut().zip(&body.widenings) {
            *widening = LogWidening { low: restore(*low), high: restore(*high) };
        }
    }

    /// Creates a learner with the observations of a snapshot.
    pub fn from_snapshot(snapshot: &Snapshot, origin: u64, limits: Limits, now: Time) -> Learner {
        let mut learner = Learner::new(origin, limits);
        learner.merge(snapshot, now);
        learner
    }
}
