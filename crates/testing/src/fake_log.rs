//! One stream of the platform's log, in memory, with faults.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Position;
use lavenderhollow_types::Offset;

/// A fault of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// The log works.
    #[default]
    None,
    /// Appends and reads fail without effect.
    Down,
    /// Appends take effect, but their answers are lost.
    AnswerLost,
}

/// Why an append failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum AppendError {
    /// The log is down; nothing was stored.
    #[display("log is down")]
    Down,
    /// The answer was lost; the item was stored.
    #[display("answer was lost")]
    AnswerLost,
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadError {
    /// The log is down.
    #[display("log is down")]
    Down,
    /// The offset is no longer retained.
    #[display("offset is gone, oldest is {oldest}")]
    Gone {
        /// The oldest retained offset.
        oldest: Offset,
    },
}

type StoredItem<S> = (Position, Item<<S as State>::Change, Fold<S>>);

/// One stream in memory.
#[derive(Clone, Debug)]
pub struct FakeLog<S: State> {
    items: VecDeque<StoredItem<S>>,
    head: u64,
    /// The present fault.
    pub fault: Fault,
}

impl<S: State> Default for FakeLog<S> {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
            head: 0,
            fault: Fault::None,
        }
    }
}

impl<S: State> FakeLog<S> {
    /// Stores an item at the wall time `now`.
    ///
    /// # Errors
    ///
    /// Fails as the present fault says.
    pub fn append(
        &mut self,
        item: Item<S::Change, Fold<S>>,
        now: SystemTime,
    ) -> Result<Offset, AppendError> {
        if self.fault == Fault::Down {
            return Err(AppendError::Down);
        }
        let offset = Offset::new(self.head);
        self.head += 1;
        self.items.push_back((Position { offset, time: now }, item));
        match self.fault {
            Fault::AnswerLost => Err(AppendError::AnswerLost),
            Fault::None | Fault::Down => Ok(offset),
        }
    }

    /// Reads up to `max` items from an offset on.
    ///
    /// # Errors
    ///
    /// Fails when the log is down or the offset is no longer retained.
    pub fn read(&self, from: Offset, max: usize) -> Result<Vec<StoredItem<S>>, ReadError> {
        if self.fault == Fault::Down {
            return Err(ReadError::Down);
        }
        if from < self.oldest() {
            return Err(ReadError::Gone {
                oldest: self.oldest(),
            });
        }
        let items = self.items.iter();
        Ok(items
            .filter(|(position, _)| position.offset >= from)
            .take(max)
            .cloned()
            .collect())
    }

    /// Returns the oldest retained offset.
    pub fn oldest(&self) -> Offset {
        Offset::new(self.head - self.items.len() as u64)
    }

    /// Returns the offset of the next item to be stored.
    pub fn head(&self) -> Offset {
        Offset::new(self.head)
    }

    /// Drops items that were stored more than `retention` before `now`.
    pub fn expire(&mut self, retention: Duration, now: SystemTime) {
        while let Some((position, _)) = self.items.front()
            && position.time + retention < now
        {
            self.items.pop_front();
        }
    }
}
