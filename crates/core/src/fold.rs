//! The fold: the same state from the same records in every entry.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::SystemTime;

use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

use crate::record::Item;
use crate::record::Position;
use crate::record::RECORD_WINDOW;
use crate::record::Record;

/// What a change did to its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The subject has a new version.
    Changed,
    /// The subject is gone and its version is forgotten.
    Removed,
}

/// Facts about the record that a change came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    /// Where and when the log stored the record.
    pub position: Position,
    /// The record's id.
    pub id: RecordId,
    /// The process that made the record.
    pub actor: Incarnation,
}

/// A state that is folded from a stream of changes.
///
/// Implementations are deterministic: no clock, no randomness, no maps without order.
pub trait State: Clone + fmt::Debug + Default + Serialize + DeserializeOwned {
    /// A change of the state.
    type Change: Clone + fmt::Debug + PartialEq + Serialize + DeserializeOwned;
    /// Why a change is refused.
    type Rejection: Clone + fmt::Debug + fmt::Display + PartialEq;

    /// Names the subject whose version the change depends on.
    fn subject(change: &Self::Change) -> String;

    /// Returns the version that a subject gets by an accepted record.
    fn version(previous: Version, position: Position) -> Version {
        let _ = position;
        previous.next()
    }

    /// Applies a change as a whole, or refuses it and changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the rules of the state refuse the change.
    fn apply(&mut self, cx: &Context, change: &Self::Change) -> Result<Effect, Self::Rejection>;
}

/// What became of an item of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<R> {
    /// The change won; the subject has this version now.
    Accepted(Version),
    /// The record was seen before and has no effect.
    Duplicate,
    /// The subject has another version than the actor saw.
    Conflict(Version),
    /// The record was not stored within the window around its creation, and has no effect.
    Expired,
    /// The state's rules refuse the change.
    Rejected(R),
    /// The item is a snapshot and changes nothing.
    Snapshot,
    /// The item is no record of this system.
    Foreign,
}

impl<R> Outcome<R> {
    /// Tells whether the change took effect.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted(_))
    }
}

#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Seen {
    id: RecordId,
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    time: SystemTime,
    accepted: Option<Version>,
}

/// The folded state of one stream with its versions and recent record ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound = "S: State")]
pub struct Fold<S> {
    next: Offset,
    state: S,
    versions: BTreeMap<String, Version>,
    recent: VecDeque<Seen>,
    #[serde(skip)]
    ids: std::collections::HashSet<RecordId>,
}

impl<S: State> Default for Fold<S> {
    fn default() -> Self {
        Self {
            next: Offset::new(0),
            state: S::default(),
            versions: BTreeMap::new(),
            recent: VecDeque::new(),
            ids: std::collections::HashSet::new(),
        }
    }
}

impl<S: State> Fold<S> {
    /// Returns the folded state.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Returns the offset of the next item to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the version of a subject; zero if it does not exist.
    pub fn version(&self, subject: &str) -> Version {
        self.versions.get(subject).copied().unwrap_or_default()
    }

    /// Applies the item at a position. Items before [`Fold::next`] have no effect.
    pub fn apply(
        &mut self,
        position: Position,
        item: &Item<S::Change, Fold<S>>,
    ) -> Outcome<S::Rejection> {
        if position.offset < self.next {
            return Outcome::Duplicate;
        }
        self.next = position.offset.next();
        match item {
            Item::Change(record) => self.change(position, record),
            Item::Snapshot(_) => Outcome::Snapshot,
            Item::Foreign => Outcome::Foreign,
        }
    }

    /// Restores the parts that are not serialised.
    #[must_use]
    pub fn restored(mut self) -> Self {
        self.ids = self.recent.iter().map(|seen| seen.id).collect();
        self
    }

    /// Tells what became of a recent record: accepted, or [`Outcome::Duplicate`] for one that had
    /// no effect. A record that is not remembered gives nothing.
    pub fn recall(&self, id: RecordId) -> Option<Outcome<S::Rejection>> {
        let seen = self.recent.iter().find(|seen| seen.id == id)?;
        Some(seen.accepted.map_or(Outcome::Duplicate, Outcome::Accepted))
    }

    fn change(&mut self, position: Position, record: &Record<S::Change>) -> Outcome<S::Rejection> {
        self.forget(position.time);
        if !self.ids.insert(record.id) {
            return Outcome::Duplicate;
        }
        let outcome = self.decide(position, record);
        self.recent.push_back(Seen {
            id: record.id,
            time: position.time,
            accepted: match outcome {
                Outcome::Accepted(version) => Some(version),
                _ => None,
            },
        });
        outcome
    }

    fn decide(&mut self, position: Position, record: &Record<S::Change>) -> Outcome<S::Rejection> {
        if !in_window(record.created, position.time) {
            return Outcome::Expired;
        }
        let subject = S::subject(&record.change);
        let version = self.version(&subject);
        if record.expected.is_some_and(|expected| expected != version) {
            return Outcome::Conflict(version);
        }
        let cx = Context {
            position,
            id: record.id,
            actor: record.actor,
        };
        let next = S::version(version, position);
        match self.state.apply(&cx, &record.change) {
            Ok(Effect::Changed) => {
                self.versions.insert(subject, next);
                Outcome::Accepted(next)
            }
            Ok(Effect::Removed) => {
                self.versions.remove(&subject);
                Outcome::Accepted(next)
            }
            Err(rejection) => Outcome::Rejected(rejection),
        }
    }

    fn forget(&mut self, now: SystemTime) {
        let window = RECORD_WINDOW * 2;
        while self
            .recent
            .front()
            .is_some_and(|seen| seen.time + window < now)
        {
            if let Some(seen) = self.recent.pop_front() {
                self.ids.remove(&seen.id);
            }
        }
    }
}

/// Tells whether a record may be accepted at a time of the log.
///
/// A record from a clock that is ahead is refused too: it would stay acceptable for longer than its
/// id is remembered, and a late repeat would then be accepted twice.
fn in_window(created: SystemTime, stored: SystemTime) -> bool {
    created + RECORD_WINDOW >= stored && created <= stored + RECORD_WINDOW
}
