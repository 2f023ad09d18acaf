//! A limit on the log lines of one source.

use std::time::Duration;
use std::time::Instant;

/// The time for which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Admits a limited number of lines a second, and counts those that are dropped.
#[derive(Clone, Debug)]
pub struct LineLimiter {
    limit: u32,
    /// When the current window started.
    started_at: Instant,
    admitted: u32,
    dropped: u64,
}

impl LineLimiter {
    /// Creates a limiter that admits up to `limit` lines a second.
    pub fn new(now: Instant, limit: u32) -> Self {
        Self {
            limit,
            started_at: now,
            admitted: 0,
            dropped: 0,
        }
    }

    /// Returns how many lines were dropped in a second that is over. The count is returned once,
    /// and only if it is not zero.
    pub fn take_dropped(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.started_at) < WINDOW {
            return None;
        }
        let dropped = self.dropped;
        *self = Self::new(now, self.limit);
        (dropped > 0).then_some(dropped)
    }

    /// Returns whether a line may be written. [`Self::take_dropped`] has to be called before, since
    /// it starts the next second.
    pub fn admit(&mut self) -> bool {
        let admitted = self.admitted < self.limit;
        match admitted {
            true => self.admitted += 1,
            false => self.dropped += 1,
        }
        admitted
    }
}
