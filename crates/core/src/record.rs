//! Records of the platform's log.

use std::time::Duration;
use std::time::SystemTime;

use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use serde::Deserialize;
use serde::Serialize;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

/// How long after its creation a record is still accepted, by the log's time.
///
/// An append whose answer was lost is repeated within this window only. The fold remembers record
/// ids for twice the window, so that a repeat is always recognised.
pub const RECORD_WINDOW: Duration = Duration::from_secs(600);

/// A conditional change.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record<C> {
    /// The unique id; a repeated append keeps it.
    pub id: RecordId,
    /// The wall time at which the actor made the record, in milliseconds since the Unix epoch.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub created: SystemTime,
    /// The process that made the record.
    pub actor: Incarnation,
    /// The version of the subject that the actor saw, or nothing if any version will do.
    pub expected: Option<Version>,
    /// The change.
    pub change: C,
}

impl<C> Record<C> {
    /// Turns the record of a part of a stream's state into a record of the stream.
    pub fn convert<D: From<C>>(self) -> Record<D> {
        Record {
            id: self.id,
            created: self.created,
            actor: self.actor,
            expected: self.expected,
            change: self.change.into(),
        }
    }
}

/// What a stream holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item<C, S> {
    /// A conditional change.
    Change(Record<C>),
    /// The folded state, republished before the records that it comes from expire.
    Snapshot(S),
    /// Something that is no record of this system. It has no effect, so that a stray append does
    /// not stop every entry.
    #[serde(skip)]
    Foreign,
}

/// Where and when the log stored an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The offset in the stream.
    pub offset: Offset,
    /// The time at which the log stored the item.
    pub time: SystemTime,
}
