//! Decides whether a request of which nothing was sent waits for a new owner of its shard.
//!
//! An owner that has terminated is replaced within seconds, and the callers of its queues are served
//! then. An owner that is only cut off from this process is not replaced, and waiting for that would
//! hold each caller until its deadline. The members in the store tell the two apart: a process that is
//! still a member seconds after it was last heard of renews its membership, so that it is alive.

use std::time::Duration;
use std::time::Instant;

use crate::store_health::MAX_STORE_SILENCE;

/// The time after which a shard normally has a new owner that is known to this process.
pub(crate) const MAX_TAKEOVER_TIME: Duration = Duration::from_millis(3_400);

/// The time after its last answer after which a terminated process is no longer seen as a member:
/// the membership expires after 1.5 s, is looked at every 0.4 s, and a slow store takes a quarter of a
/// second for each of the two calls.
pub(crate) const MEMBER_VISIBLE_TIME: Duration = Duration::from_millis(2_400);

/// The shortest delay after which a caller that was refused may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is known of the owner of a shard that does not answer this process.
#[derive(Clone, Copy, Debug)]
pub struct SilentOwner {
    /// When the first call without an answer was sent to it.
    pub since: Instant,
    /// Whether it was a member when this process last read the members.
    pub is_member: bool,
    /// The time since this process last had an answer from the store.
    pub store_silence: Duration,
}

/// Whether a request waits for a new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// A new owner is likely to be found in time, or the previous one answers.
    Wait,
    /// The request is refused.
    Refuse {
        /// The delay after which the caller may come back.
        retry_after: Duration,
    },
}

impl SilentOwner {
    /// Decides whether a request waits for a new owner, or for the first answer of this one.
    pub fn decide(&self, now: Instant) -> WaitDecision {
        let silence = now.saturating_duration_since(self.since);
        // Without the store this process learns neither of a new owner nor whether there will be one.
        let has_lost_store = self.store_silence >= MAX_STORE_SILENCE;
        let is_alive = self.is_member && silence >= MEMBER_VISIBLE_TIME;
        let is_late = silence >= MAX_TAKEOVER_TIME;
        if has_lost_store || is_alive || is_late {
            // The shard may have a new owner by then, which the caller may reach from another VM.
            let takeover = MAX_TAKEOVER_TIME.saturating_sub(silence);
            return WaitDecision::Refuse {
                retry_after: takeover.max(MIN_RETRY_AFTER),
            };
        }
        WaitDecision::Wait
    }
}
