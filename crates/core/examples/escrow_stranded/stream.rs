//! A stream of the log in the simulation.

use std::time::SystemTime;

use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Position;
use lavenderhollow_core::record::Record;
use lavenderhollow_types::RecordId;

/// A folded stream. Records that are appended in one step are read back in the next one.
pub(crate) struct Stream<S: State> {
    pub(crate) fold: Fold<S>,
    pub(crate) next: Vec<Record<S::Change>>,
}

impl<S: State> Default for Stream<S> {
    fn default() -> Self {
        Self {
            fold: Fold::default(),
            next: Vec::new(),
        }
    }
}

impl<S: State> Stream<S> {
    pub(crate) fn read(&mut self, time: SystemTime) -> Vec<RecordId> {
        let records = std::mem::take(&mut self.next);
        let mut ids = Vec::new();
        for record in records {
            ids.push(record.id);
            let offset = self.fold.next();
            self.fold
                .apply(Position { offset, time }, &Item::Change(record));
        }
        ids
    }
}
