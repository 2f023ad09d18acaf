use std::collections::VecDeque;

use lavenderhollow_types::Offset;

use crate::fold::Fold;
use crate::fold::State;
use crate::record::Item;

use super::page::Placed;

/// The search for a snapshot whose following records are all retained.
#[derive(Clone, Debug)]
pub(super) struct Rebuild<S: State> {
    next: Offset,
    held: VecDeque<Placed<S>>,
}

impl<S: State> Rebuild<S> {
    pub(super) fn new(oldest: Offset) -> Self {
        Self {
            next: oldest,
            held: VecDeque::new(),
        }
    }

    pub(super) fn next(&self) -> Offset {
        self.next
    }

    /// Drops held items that the log no longer has.
    pub(super) fn forget(&mut self, oldest: Offset) {
        while self
            .held
            .front()
            .is_some_and(|(position, _)| position.offset < oldest)
        {
            self.held.pop_front();
        }
    }

    /// Takes the next item. With the first usable snapshot it returns its fold and the items to be
    /// folded after it.
    pub(super) fn take(&mut self, placed: Placed<S>) -> Option<(Fold<S>, VecDeque<Placed<S>>)> {
        let offset = placed.0.offset;
        self.next = offset.next();
        let first = self.held.front().map_or(offset, |(held, _)| held.offset);
        match &placed.1 {
            Item::Snapshot(fold) if (first..=offset).contains(&fold.next()) => {
                let fold = fold.clone().restored();
                self.held.push_back(placed);
                let mut items = std::mem::take(&mut self.held);
                items.retain(|(position, _)| position.offset >= fold.next());
                Some((fold, items))
            }
            _ => {
                self.held.push_back(placed);
                None
            }
        }
    }
}
