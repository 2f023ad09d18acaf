use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_types::RecordId;

use crate::record::RECORD_WINDOW;
use crate::record::Record;

use super::pace::Pace;

/// The most records in one append.
pub const MAX_BATCH: usize = 256;

/// The time between an append without an answer and its repetition.
pub const RETRY: Duration = Duration::from_secs(1);

/// Whether a record waits for the flush interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// The record is held until the flush interval ends.
    Normal,
    /// The record is appended at once while the budget allows it.
    Urgent,
}

/// Records to be appended now, in this order.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch<C> {
    /// The number to give back with the answer.
    pub number: u64,
    /// The records.
    pub records: Vec<Record<C>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued { due: Instant },
    InFlight,
    Acknowledged,
    Unknown,
}

#[derive(Clone, Debug)]
struct Own<C> {
    record: Record<C>,
    submitted: Instant,
    stage: Stage,
}

impl<C> Own<C> {
    fn due(&self) -> Option<Instant> {
        match self.stage {
            Stage::Queued { due } => Some(due),
            _ => None,
        }
    }
}

/// The records of this process whose outcome is not known, in the order of submission.
#[derive(Clone, Debug)]
pub(super) struct Pending<C> {
    records: BTreeMap<u64, Own<C>>,
    submitted: u64,
    batches: u64,
    in_flight: bool,
}

impl<C> Default for Pending<C> {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            submitted: 0,
            batches: 0,
            in_flight: false,
        }
    }
}

impl<C: Clone> Pending<C> {
    pub(super) fn submit(&mut self, record: Record<C>, due: Instant, now: Instant) {
        let own = Own {
            record,
            submitted: now,
            stage: Stage::Queued { due },
        };
        self.records.insert(self.submitted, own);
        self.submitted += 1;
    }

    pub(super) fn ids(&self) -> Vec<RecordId> {
        self.records.values().map(|own| own.record.id).collect()
    }

    /// Returns the time at which records are due, unless an append is under way.
    pub(super) fn due(&self) -> Option<Instant> {
        let dues = self.records.values().filter_map(Own::due);
        if self.in_flight { None } else { dues.min() }
    }

    /// Takes all queued records once one is due. Only one append of a stream is under way at a
    /// time, so that records arrive in order and a slow log gets larger batches.
    pub(super) fn flush(&mut self, pace: &mut Pace, now: Instant) -> Option<Batch<C>> {
        if self.due().is_none_or(|due| due > now) || !pace.take(now) {
            return None;
        }
        let queued = self.records.values_mut().filter(|own| own.due().is_some());
        let mut records = Vec::new();
        for own in queued.take(MAX_BATCH) {
            own.stage = Stage::InFlight;
            records.push(own.record.clone());
        }
        self.batches += 1;
        self.in_flight = true;
        Some(Batch {
            number: self.batches,
            records,
        })
    }

    /// Notes the answer to an append. Without an answer it is not known whether the records are
    /// stored, and they are appended again with the same ids.
    pub(super) fn answered(&mut self, number: u64, stored: bool, now: Instant) {
        if !self.in_flight || number != self.batches {
            return;
        }
        self.in_flight = false;
        for own in self.records.values_mut() {
            if own.stage == Stage::InFlight {
                own.stage = if stored {
                    Stage::Acknowledged
                } else {
                    Stage::Queued { due: now + RETRY }
                };
            }
        }
    }

    /// Stops the repetition of records whose window has ended and returns their ids.
    pub(super) fn give_up(&mut self, now: Instant) -> Vec<RecordId> {
        let mut ids = Vec::new();
        for own in self.records.values_mut() {
            if own.due().is_some() && own.submitted + RECORD_WINDOW < now {
                own.stage = Stage::Unknown;
                ids.push(own.record.id);
            }
        }
        ids
    }

    /// Removes a record that was read back and tells whether it was there.
    pub(super) fn settle(&mut self, id: RecordId) -> bool {
        let before = self.records.len();
        self.records.retain(|_, own| own.record.id != id);
        self.records.len() < before
    }

    /// Removes the records that the fold refuses from the log's time `time` on.
    pub(super) fn read_past(&mut self, time: SystemTime) -> Vec<RecordId> {
        let mut ids = Vec::new();
        self.records.retain(|_, own| {
            let past = own.record.created + RECORD_WINDOW < time;
            if past {
                ids.push(own.record.id);
            }
            !past
        });
        ids
    }
}
