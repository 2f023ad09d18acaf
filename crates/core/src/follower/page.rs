use lavenderhollow_types::Offset;
use lavenderhollow_types::RecordId;

use crate::fold::Fold;
use crate::fold::Outcome;
use crate::fold::State;
use crate::record::Item;
use crate::record::Position;
use crate::record::Record;

/// An item with its place in the stream.
pub type Placed<S> = (Position, Item<<S as State>::Change, Fold<S>>);

/// An answer of the log to a read.
#[derive(Clone, Debug)]
pub struct Page<S: State> {
    /// The oldest retained offset.
    pub oldest: Offset,
    /// The offset of the next item that will be stored.
    pub head: Offset,
    /// The items, in the order of their offsets.
    pub items: Vec<Placed<S>>,
}

/// What a follower learned.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<S: State> {
    /// A record of any process was folded.
    Folded {
        /// Where the record is stored.
        position: Position,
        /// The record.
        record: Record<S::Change>,
        /// What became of it.
        outcome: Outcome<S::Rejection>,
    },
    /// The final outcome of a record of this process. After a rebuild, [`Outcome::Duplicate`] says
    /// that the record had no effect for a reason that is no longer known.
    Settled {
        /// The record's id.
        id: RecordId,
        /// What became of it.
        outcome: Outcome<S::Rejection>,
    },
    /// The record of this process was not acknowledged within
    /// [`RECORD_WINDOW`](crate::record::RECORD_WINDOW) and is not appended again. Its outcome
    /// follows when the stream has been read past the window.
    Unknown(RecordId),
    /// The state was taken from a snapshot, so that it may have changed in any way.
    Rebuilt,
    /// Records are gone that no retained snapshot covers.
    HistoryLost,
}

/// How far a follower is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The state is folded up to the offset that is read next.
    Following,
    /// Records are missing; a snapshot that covers them is looked for. The state is outdated.
    Rebuilding,
    /// Records are missing and the log has no snapshot that covers them. The state can't be known.
    HistoryLost,
}
