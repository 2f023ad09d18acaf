//! Sets of the occurrences of a repeated job.

use std::collections::BTreeMap;

/// A set of occurrences, kept as ranges, since those of a job mostly finish in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OccurrenceSet {
    /// The last occurrence of each range, by the first one. Ranges neither overlap nor touch.
    ranges: BTreeMap<u32, u32>,
    len: usize,
}

impl OccurrenceSet {
    /// Adds an occurrence, and returns whether it was missing.
    pub(crate) fn insert(&mut self, occurrence: u32) -> bool {
        if self.contains(occurrence) {
            return false;
        }
        let mut last = occurrence;
        if let Some(next) = occurrence.checked_add(1)
            && let Some(end) = self.ranges.remove(&next)
        {
            last = end;
        }
        let previous = self.ranges.range_mut(..occurrence).next_back();
        match previous.filter(|(_, end)| end.checked_add(1) == Some(occurrence)) {
            Some((_, end)) => *end = last,
            None => {
                self.ranges.insert(occurrence, last);
            }
        }
        self.len += 1;
        true
    }

    pub(crate) fn contains(&self, occurrence: u32) -> bool {
        let range = self.ranges.range(..=occurrence).next_back();
        range.is_some_and(|(_, last)| *last >= occurrence)
    }

    /// Returns the first and the last occurrence of each range.
    pub(crate) fn ranges(&self) -> Vec<(u32, u32)> {
        self.ranges
            .iter()
            .map(|(&first, &last)| (first, last))
            .collect()
    }

    /// Creates a set from ranges that neither overlap nor touch.
    pub(crate) fn from_ranges(ranges: &[(u32, u32)]) -> Self {
        let len = ranges
            .iter()
            .map(|(first, last)| (last - first) as usize + 1);
        Self {
            len: len.sum(),
            ranges: ranges.iter().copied().collect(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }
}
