//! The remaining work of a job, as sums over its occurrences that are kept up to date.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// What remains of one occurrence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Remaining {
    /// The processor time of the tasks that are not done, in core-milliseconds.
    pub(crate) work: u64,
    /// The estimated run time of the longest chain of dependent steps that are not done.
    pub(crate) path: Duration,
}

/// What remains of the occurrences of a job that have become due.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemainingWork {
    occurrences: BTreeMap<u32, Remaining>,
    /// The paths of the occurrences, to find the longest.
    paths: BTreeSet<(Duration, u32)>,
    /// The sum of the work of all occurrences, which may exceed the range of 64 bits.
    work: u128,
}

impl RemainingWork {
    /// Sets what remains of an occurrence.
    pub(crate) fn set(&mut self, occurrence: u32, remaining: Remaining) {
        self.remove(occurrence);
        self.work += u128::from(remaining.work);
        self.paths.insert((remaining.path, occurrence));
        self.occurrences.insert(occurrence, remaining);
    }

    /// Removes an occurrence of which nothing remains.
    pub(crate) fn remove(&mut self, occurrence: u32) {
        if let Some(remaining) = self.occurrences.remove(&occurrence) {
            self.work -= u128::from(remaining.work);
            self.paths.remove(&(remaining.path, occurrence));
        }
    }

    /// Returns the number of occurrences with tasks that are not done.
    pub(crate) fn open_occurrences(&self) -> usize {
        self.occurrences.len()
    }

    /// Returns the processor time of all tasks that are not done, in core-milliseconds.
    pub(crate) fn work(&self) -> u64 {
        u64::try_from(self.work).unwrap_or(u64::MAX)
    }

    /// Returns the estimated run time of the longest chain of dependent steps that are not done.
    pub(crate) fn path(&self) -> Duration {
        self.paths.last().map(|(path, _)| *path).unwrap_or_default()
    }
}
