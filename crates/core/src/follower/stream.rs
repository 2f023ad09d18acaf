use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_types::Offset;
use lavenderhollow_types::RecordId;

use crate::fold::Fold;
use crate::fold::Outcome;
use crate::fold::State;
use crate::record::Item;
use crate::record::Position;
use crate::record::Record;

use super::pace::Pace;
use super::page::Event;
use super::page::Page;
use super::page::Placed;
use super::page::Status;
use super::pending::Batch;
use super::pending::Pending;
use super::pending::Urgency;
use super::rebuild::Rebuild;
use super::snapshots::Snapshots;

/// Follows one stream: folds what is read and appends the records of this process.
#[derive(Clone, Debug)]
pub struct Follower<S: State> {
    fold: Fold<S>,
    rebuild: Option<Rebuild<S>>,
    lost: bool,
    pending: Pending<S::Change>,
    pace: Pace,
    snapshots: Snapshots,
}

impl<S: State> Follower<S> {
    /// Creates a follower that knows nothing yet.
    ///
    /// `writers` is the number of entries times the streams that each appends to. `retention` is
    /// the time for which the log keeps items.
    pub fn new(writers: usize, retention: Duration, now: Instant) -> Self {
        Self {
            fold: Fold::default(),
            rebuild: None,
            lost: false,
            pending: Pending::default(),
            pace: Pace::new(writers, now),
            snapshots: Snapshots::new(retention),
        }
    }

    /// Returns the fold. It is outdated unless the status is [`Status::Following`].
    pub fn fold(&self) -> &Fold<S> {
        &self.fold
    }

    /// Returns the folded state.
    pub fn state(&self) -> &S {
        self.fold.state()
    }

    /// Tells how far the follower is.
    pub fn status(&self) -> Status {
        match (&self.rebuild, self.lost) {
            (None, _) => Status::Following,
            (Some(_), false) => Status::Rebuilding,
            (Some(_), true) => Status::HistoryLost,
        }
    }

    /// Returns the offset to read from next.
    pub fn next(&self) -> Offset {
        let rebuilding = self.rebuild.as_ref();
        rebuilding.map_or(self.fold.next(), Rebuild::next)
    }

    /// Tells whether the state was that of the log's head when the log made this page.
    pub fn is_at_head(&self, page_head: Offset) -> bool {
        self.rebuild.is_none() && self.fold.next() >= page_head
    }

    /// Takes a page. Items that were taken before are ignored, and so is what follows a gap, so that
    /// pages may be late or repeated.
    pub fn take(&mut self, page: Page<S>, now: Instant) -> Vec<Event<S>> {
        let mut events = Vec::new();
        if page.oldest > self.next() {
            self.rebuild = Some(Rebuild::new(page.oldest));
        }
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.forget(page.oldest);
        }
        for placed in page.items {
            if placed.0.offset == self.next() {
                self.take_item(placed, now, &mut events);
            }
        }
        let lost = self.rebuild.is_some() && self.next() >= page.head;
        if lost && !self.lost {
            events.push(Event::HistoryLost);
        }
        self.lost |= lost;
        events
    }

    /// Queues a record of this process.
    pub fn submit(&mut self, record: Record<S::Change>, urgency: Urgency, now: Instant) {
        let due = match urgency {
            Urgency::Normal => now + self.pace.interval(),
            Urgency::Urgent => now,
        };
        self.pending.submit(record, due, now);
    }

    /// Returns records to be appended now. [`Follower::answered`] must follow for every batch, after
    /// a time-out if need be, because no other batch is returned before.
    pub fn flush(&mut self, now: Instant) -> Option<Batch<S::Change>> {
        self.pending.flush(&mut self.pace, now)
    }

    /// Returns the time at which [`Follower::flush`] has records, if any are queued.
    pub fn flush_at(&self) -> Option<Instant> {
        let due = self.pending.due()?;
        Some(due.max(self.pace.ready_at()))
    }

    /// Notes whether the log acknowledged a batch. An error and a missing answer are the same,
    /// because either may come after the records were stored.
    pub fn answered(&mut self, number: u64, stored: bool, now: Instant) {
        self.pending.answered(number, stored, now);
    }

    /// Gives up records that have been repeated for the whole window.
    pub fn give_up(&mut self, now: Instant) -> Vec<Event<S>> {
        let ids = self.pending.give_up(now);
        ids.into_iter().map(Event::Unknown).collect()
    }

    /// Changes the number of writers that share the append budget.
    pub fn set_writers(&mut self, writers: usize) {
        self.pace.set_writers(writers);
    }

    /// Returns a snapshot when this process should append one. The random `delay` counts from the
    /// first call after the last snapshot became older than half of the retention.
    pub fn snapshot(
        &mut self,
        now: Instant,
        wall: SystemTime,
        delay: Duration,
    ) -> Option<Item<S::Change, Fold<S>>> {
        let due = self.rebuild.is_none() && self.snapshots.due(now, wall, delay);
        due.then(|| Item::Snapshot(self.fold.clone()))
    }

    /// Notes that the append of a snapshot failed.
    pub fn snapshot_failed(&mut self) {
        self.snapshots.failed();
    }

    fn take_item(&mut self, placed: Placed<S>, now: Instant, events: &mut Vec<Event<S>>) {
        let Some(rebuild) = &mut self.rebuild else {
            self.fold_item(placed, now, events);
            return;
        };
        let Some((fold, items)) = rebuild.take(placed) else {
            return;
        };
        self.rebuild = None;
        self.lost = false;
        self.fold = fold;
        events.push(Event::Rebuilt);
        for id in self.pending.ids() {
            if let Some(outcome) = self.fold.recall(id) {
                self.settle(id, outcome, events);
            }
        }
        for placed in items {
            self.fold_item(placed, now, events);
        }
    }

    fn fold_item(&mut self, (position, item): Placed<S>, now: Instant, events: &mut Vec<Event<S>>) {
        let outcome = self.fold.apply(position, &item);
        let is_snapshot = matches!(item, Item::Snapshot(_));
        self.snapshots.saw(position.time, is_snapshot, now);
        if let Item::Change(record) = item {
            self.settle(record.id, outcome.clone(), events);
            events.push(Event::Folded {
                position,
                record,
                outcome,
            });
        }
        self.read_past(position, events);
    }

    fn settle(&mut self, id: RecordId, outcome: Outcome<S::Rejection>, events: &mut Vec<Event<S>>) {
        if self.pending.settle(id) {
            events.push(Event::Settled { id, outcome });
        }
    }

    fn read_past(&mut self, position: Position, events: &mut Vec<Event<S>>) {
        let ids = self.pending.read_past(position.time);
        events.extend(ids.into_iter().map(|id| Event::Settled {
            id,
            outcome: Outcome::Expired,
        }));
    }
}
