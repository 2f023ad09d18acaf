//! Whether the store responds to the owner of a shard.
//!
//! A slow store is not an unresponsive one: an append may be queued for two seconds and is still
//! answered. While the store is unresponsive, an owner accepts no new submissions, since it could only
//! hold them until their callers give up.

use std::time::Duration;
use std::time::Instant;

/// The time without an answer to an append after which the store counts as unresponsive. A store under
/// load queues appends for two seconds.
pub(crate) const MAX_APPEND_TIME: Duration = Duration::from_millis(2_200);

/// The time without an answer to any call after which this process has lost the store. Its membership
/// has expired by then, so that other processes claim its shards.
pub(crate) const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_500);

/// The longest time between two decisions of a process that does not stand still: an owner makes them ten
/// times a second.
const MAX_UPDATE_GAP: Duration = Duration::from_millis(500);

/// The delay after which a caller may submit a job again that was refused for the store: a successor of
/// the owner takes over within three seconds, and the caller may reach it from another VM before.
pub(crate) const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Tracks the append in flight of an owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// When the append in flight was sent.
    sent_at: Option<Instant>,
    /// Since when the store counts as unresponsive.
    unresponsive_since: Option<Instant>,
    /// When that was last decided.
    updated_at: Option<Instant>,
    /// Whether the last decision was put off.
    put_off: bool,
}

impl StoreHealth {
    /// Records that an append was sent.
    pub fn handle_sent(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }

    /// Records that the outcome of the append in flight is known.
    pub fn handle_answer(&mut self) {
        self.sent_at = None;
    }

    /// Decides anew whether the store is unresponsive, and returns whether that has changed.
    ///
    /// `silence` is the time since this process last had an answer from the store, and `confirmed` tells
    /// whether the ownership of the shard is confirmed.
    pub fn update(&mut self, now: Instant, silence: Duration, confirmed: bool) -> bool {
        // After a time without processor time the answers may have arrived and not been read yet.
        let updated_at = self.updated_at.replace(now);
        let stood_still =
            updated_at.is_some_and(|at| now.saturating_duration_since(at) > MAX_UPDATE_GAP);
        self.put_off = stood_still && confirmed && !self.put_off;
        if self.put_off {
            return false;
        }
        let waited = self.sent_at.map(|at| now.saturating_duration_since(at));
        let is_unresponsive = !confirmed
            || silence >= MAX_STORE_SILENCE
            || waited.is_some_and(|waited| waited >= MAX_APPEND_TIME);
        let was_unresponsive = self.unresponsive_since.is_some();
        if is_unresponsive != was_unresponsive {
            self.unresponsive_since = is_unresponsive.then_some(now);
        }
        is_unresponsive != was_unresponsive
    }

    /// Returns whether the store was unresponsive at the last [update](Self::update).
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive_since.is_some()
    }
}
