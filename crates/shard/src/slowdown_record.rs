//! The record of the pairs of images that are kept apart, and when it is written.

use std::time::Duration;
use std::time::Instant;

use crate::image_slowdown::HOLD;
use crate::records::Record;
use crate::records::StoredSlowdown;
use crate::records::slowdowns_record;

/// The shortest time between two records. A pair that was learned since the last one is learned anew
/// by a successor.
const RECORD_INTERVAL: Duration = Duration::from_secs(5);

/// What is stored of the pairs.
#[derive(Debug, Default)]
pub(crate) struct SlowdownRecord {
    /// The pairs in the last record that was created, whether or not it is stored yet.
    recorded: Vec<StoredSlowdown>,
    /// When the last record was created.
    created: Option<Instant>,
    /// The record for the next batch.
    pending: Option<Record>,
}

impl SlowdownRecord {
    /// Sets what an earlier owner has stored.
    pub(crate) fn restore(&mut self, stored: Vec<StoredSlowdown>) {
        self.recorded = stored;
    }

    /// Returns whether a record may be created now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECORD_INTERVAL;
        !self.created.is_some_and(is_recent)
    }

    /// Creates a record if it would differ from the last one in its pairs, or if a pair is held for
    /// much longer than that one says.
    pub(crate) fn update(&mut self, now: Instant, pairs: Vec<StoredSlowdown>) {
        let is_current = |(pair, recorded): (&StoredSlowdown, &StoredSlowdown)| {
            pair.slowed == recorded.slowed
                && pair.beside == recorded.beside
                && pair.is_tail == recorded.is_tail
                && pair.until < recorded.until + HOLD / 2
        };
        let is_same =
            pairs.len() == self.recorded.len() && pairs.iter().zip(&self.recorded).all(is_current);
        if !is_same {
            self.pending = Some(slowdowns_record(&pairs));
            self.recorded = pairs;
            self.created = Some(now);
        }
    }

    /// Takes the record for the next batch.
    pub(crate) fn take_record(&mut self) -> Option<Record> {
        self.pending.take()
    }
}
