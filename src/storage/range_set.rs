//! Sets of task numbers, stored as ranges. Jobs have up to 100,000 tasks, and the members of a set are mostly
//! consecutive.

use std::cmp::Reverse;
use std::fmt;
use std::ops::Range;

/// Length in bytes of the longest text of a range of numbers below 100,000 and its comma: `99998-99999,`.
const MAX_RANGE_TEXT_BYTES: usize = 12;

/// A set of numbers, stored as ascending, non-empty ranges with a gap between each two.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeSet {
    ranges: Vec<Range<u32>>,
}

impl RangeSet {
    /// Returns the empty set.
    pub fn new() -> RangeSet {
        RangeSet::default()
    }

    /// Returns the set of the numbers below `end`.
    pub fn up_to(end: u32) -> RangeSet {
        let all = 0..end;
        RangeSet { ranges: if all.is_empty() { Vec::new() } else { Vec::from([all]) } }
    }

    /// Returns `true` if the set has no members.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the number of members.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(|range| range.end - range.start).sum()
    }

    /// Returns the smallest member, or `None` if the set is empty.
    pub fn first(&self) -> Option<u32> {
        self.ranges.first().map(|range| range.start)
    }

    /// Returns `true` if `n` is a member.
    pub fn contains(&self, n: u32) -> bool {
        let index = self.ranges.partition_point(|range| range.end <= n);
        self.ranges.get(index).is_some_and(|range| range.start <= n)
    }

    /// Returns the number of ranges, which is a measure of the cost of operations on the whole set.
    pub fn count_ranges(&self) -> usize {
        self.ranges.len()
    }

    /// Returns the set of the numbers below `end` that are not members.
    pub fn complement(&self, end: u32) -> RangeSet {
        let mut gaps = Vec::new();
        let mut gap_start = 0;
        for range in self.ranges.iter().take_while(|range| range.start < end) {
            if gap_start < range.start {
                gaps.push(gap_start..range.start);
            }
            gap_start = range.end;
        }
        if gap_start < end {
            gaps.push(gap_start..end);
        }
        RangeSet { ranges: gaps }
    }

    /// Divides the set into the members below `number` and the other members.
    pub fn split_at(mut self, number: u32) -> (RangeSet, RangeSet) {
        let index = self.ranges.partition_point(|range| range.end <= number);
        let mut rest = self.ranges.split_off(index);
        if let Some(first) = rest.first_mut()
            && first.start < number
        {
            self.ranges.push(first.start..number);
            first.start = number;
        }
        (self, RangeSet { ranges: rest })
    }

    /// Adds all members of the other set.
    pub fn add_all(&mut self, other: RangeSet) {
        let mut sorted = std::mem::take(&mut self.ranges);
        sorted.extend(other.ranges);
        sorted.sort_unstable_by_key(|range| range.start);
        for range in sorted {
            match self.ranges.last_mut() {
                Some(last) if range.start <= last.end => last.end = last.end.max(range.end),
                _ => self.ranges.push(range),
            }
        }
    }

    /// Returns the members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges.iter().flat_map(Clone::clone)
    }

    /// Adds `n`. Returns `false` if `n` was a member already.
    pub fn insert(&mut self, n: u32) -> bool {
        if self.contains(n) {
            return false;
        }
        let next = self.ranges.partition_point(|range| range.end <= n);
        let extends_previous = next > 0 && self.ranges[next - 1].end == n;
        let extends_next = self.ranges.get(next).is_some_and(|range| range.start == n + 1);
        match (extends_previous, extends_next) {
            (true, true) => {
                self.ranges[next - 1].end = self.ranges[next].end;
                self.ranges.remove(next);
            }
            (true, false) => self.ranges[next - 1].end = n + 1,
            (false, true) => self.ranges[next].start = n,
            (false, false) => self.ranges.insert(next, n..n + 1),
        }
        true
    }

    /// Removes `n`. Returns `false` if `n` was not a member.
    pub fn remove(&mut self, n: u32) -> bool {
        if !self.contains(n) {
            return false;
        }
        let index = self.ranges.partition_point(|range| range.end <= n);
        let Range { start, end } = self.ranges[index];
        match (start == n, end == n + 1) {
            (true, true) => {
                self.ranges.remove(index);
            }
            (true, false) => self.ranges[index].start = n + 1,
            (false, true) => self.ranges[index].end = n,
            (false, false) => {
                self.ranges[index].end = n;
                self.ranges.insert(index + 1, n + 1..end);
            }
        }
        true
    }

    /// Parses the text that `Display` writes. Returns `None` if the text has another form or contains a number that is
    /// not less than `limit`.
    pub fn parse(text: &str, limit: u32) -> Option<RangeSet> {
        let mut ranges: Vec<Range<u32>> = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last) = parse_range(part)?;
            let lowest_allowed = ranges.last().map_or(0, |range| range.end + 1);
            if first > last || last >= limit || first < lowest_allowed {
                return None;
            }
            ranges.push(first..last + 1);
        }
        Some(RangeSet { ranges })
    }

    /// Returns a subset whose text takes at most `bytes` bytes. If the set does not fit, its longest ranges are kept.
    pub fn truncated_to_bytes(&self, bytes: usize) -> RangeSet {
        if self.to_string().len() <= bytes {
            return self.clone();
        }
        let mut ranges = self.ranges.clone();
        ranges.sort_by_key(|range| Reverse(range.end - range.start));
        ranges.truncate(bytes / MAX_RANGE_TEXT_BYTES);
        ranges.sort_unstable_by_key(|range| range.start);
        RangeSet { ranges }
    }
}

/// Parses `FIRST-LAST` or a single number. Returns the first and the last number of the range.
fn parse_range(text: &str) -> Option<(u32, u32)> {
    match text.split_once('-') {
        Some((first, last)) => Some((first.parse().ok()?, last.parse().ok()?)),
        None => text.parse().ok().map(|number| (number, number)),
    }
}

impl fmt::Display for RangeSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, range) in self.ranges.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            let (first, last) = (range.start, range.end - 1);
            if first == last { write!(f, "{separator}{first}")? } else { write!(f, "{separator}{first}-{last}")? }
        }
        Ok(())
    }
}
