//! Limits the rate of commands to the machine interface.

use std::time::Duration;
use std::time::Instant;

/// The fraction of the machine interface's limit that is used continuously. With the burst, the
/// commands of any second stay within the limit.
const USABLE_FRACTION: f64 = 0.8;

/// The time over which unused commands accumulate. It is longer than one reconciliation, so that a
/// peak can use the whole rate, and short enough for a reconciliation to end soon.
const BURST: Duration = Duration::from_millis(250);

/// How many commands the owner of the fleet shard may send at a time.
///
/// The machine interface rejects commands beyond its rate, and a rejected move waits for some
/// seconds.
#[derive(Clone, Debug)]
pub struct CommandBudget {
    /// The commands per second.
    rate: f64,
    /// The commands that may be sent at the time `updated`.
    available: f64,
    updated: Instant,
}

impl CommandBudget {
    /// Creates a budget for a machine interface that accepts `limit` commands per second.
    pub fn new(now: Instant, limit: f64) -> Self {
        let rate = limit * USABLE_FRACTION;
        Self {
            rate,
            available: Self::burst(rate),
            updated: now,
        }
    }

    /// Returns how many commands may be sent now.
    pub fn available(&self, now: Instant) -> usize {
        self.available_at(now) as usize
    }

    /// Records that `count` commands are about to be sent. More than are available delay the later
    /// ones.
    pub fn take(&mut self, now: Instant, count: usize) {
        self.available = self.available_at(now) - count as f64;
        self.updated = now;
    }

    fn available_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.available + elapsed * self.rate).min(Self::burst(self.rate))
    }

    fn burst(rate: f64) -> f64 {
        (rate * BURST.as_secs_f64()).max(1.0)
    }
}
