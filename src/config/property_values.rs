//! Parsers of property values for `#[serde(deserialize_with = ...)]`. All values in a properties file are texts; each
//! function parses one type and checks its range.

use crate::model::Name;
use crate::time::Span;
use serde::de::{Deserialize, Deserializer, Error, Unexpected};
use std::str::FromStr;

const BYTES_PER_KIB: usize = 1024;
const MILLIS_PER_SECOND: u64 = 1000;

/// Reads a value that satisfies `is_valid`; `expected` describes the valid values in the error message.
fn parse_valid<'de, T: FromStr, D: Deserializer<'de>>(
    deserializer: D,
    expected: &str,
    is_valid: impl FnOnce(&T) -> bool,
) -> Result<T, D::Error> {
    let text = <&str>::deserialize(deserializer)?;
    match text.parse().ok().filter(is_valid) {
        Some(value) => Ok(value),
        None => Err(D::Error::invalid_value(Unexpected::Str(text), &expected)),
    }
}

/// Reads `true` or `false`.
pub(super) fn boolean<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    parse_valid(deserializer, "true or false", |_| true)
}

/// Reads a number of milliseconds from `MIN` to `MAX`.
pub(super) fn milliseconds<'de, const MIN: u64, const MAX: u64, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Span, D::Error> {
    let expected = format!("a whole number of milliseconds from {MIN} to {MAX}");
    parse_valid(deserializer, &expected, |number| (MIN..=MAX).contains(number)).map(Span::millis)
}

/// Reads a number of milliseconds from `MIN` to `MAX` for a property whose default is derived from other settings.
pub(super) fn optional_milliseconds<'de, const MIN: u64, const MAX: u64, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Span>, D::Error> {
    milliseconds::<MIN, MAX, D>(deserializer).map(Some)
}

/// Reads a number of seconds from `MIN` to `MAX`.
pub(super) fn seconds<'de, const MIN: u64, const MAX: u64, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Span, D::Error> {
    let expected = format!("a whole number of seconds from {MIN} to {MAX}");
    let seconds: u64 = parse_valid(deserializer, &expected, |number| (MIN..=MAX).contains(number))?;
    Ok(Span::millis(seconds * MILLIS_PER_SECOND))
}

/// Reads a number of KiB from `MIN` to `MAX` and returns the number of bytes.
pub(super) fn kibibytes<'de, const MIN: usize, const MAX: usize, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<usize, D::Error> {
    let expected = format!("a whole number of KiB from {MIN} to {MAX}");
    let kibibytes: usize = parse_valid(deserializer, &expected, |number| (MIN..=MAX).contains(number))?;
    Ok(kibibytes * BYTES_PER_KIB)
}

/// Reads a count from `MIN` to `MAX`.
pub(super) fn count<'de, const MIN: usize, const MAX: usize, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<usize, D::Error> {
    let expected = format!("a whole number from {MIN} to {MAX}");
    parse_valid(deserializer, &expected, |number| (MIN..=MAX).contains(number))
}

/// Reads a count of at most `MAX`.
pub(super) fn count_up_to<'de, const MAX: usize, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let expected = format!("a whole number up to {MAX}");
    parse_valid(deserializer, &expected, |number| *number <= MAX)
}

/// Reads a number of shards from `MIN` to `MAX`.
pub(super) fn shard_count<'de, const MIN: u32, const MAX: u32, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<u32, D::Error> {
    let expected = format!("a whole number from {MIN} to {MAX}");
    parse_valid(deserializer, &expected, |number| (MIN..=MAX).contains(number))
}

/// Reads a factor, possibly with decimals, from `MIN` to `MAX`.
pub(super) fn factor<'de, const MIN: u32, const MAX: u32, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<f64, D::Error> {
    let expected = format!("a number from {MIN} to {MAX}");
    parse_valid(deserializer, &expected, |number| (f64::from(MIN)..=f64::from(MAX)).contains(number))
}

/// Reads a list of names separated by commas; empty names are ignored.
pub(super) fn names<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Name>, D::Error> {
    let text = <&str>::deserialize(deserializer)?;
    Ok(text.split(',').map(str::trim).filter(|name| !name.is_empty()).map(Name::new).collect())
}
