use std::time::Duration;
use std::time::Instant;

/// The fleet's budget of appends to the log, in appends per second.
pub const APPENDS_PER_SECOND: u32 = 300;

/// How many flushes an idle entry saves up for urgent records. With 200 writers each one more allows
/// 200 more appends in the same second.
const BURST: u32 = 2;

/// Spreads the fleet's append budget over its writers.
///
/// Urgent and other flushes draw on one token bucket, so that together they stay within the budget.
#[derive(Clone, Debug)]
pub struct Pace {
    interval: Duration,
    credit: Duration,
    updated: Instant,
}

impl Pace {
    /// Creates the pace of one of `writers` writers. A writer is one entry appending to one stream.
    pub fn new(writers: usize, now: Instant) -> Self {
        let interval = interval(writers);
        Self {
            interval,
            credit: interval,
            updated: now,
        }
    }

    /// Changes the number of writers.
    pub fn set_writers(&mut self, writers: usize) {
        self.interval = interval(writers);
    }

    /// Returns the flush interval: the time for which a record that is not urgent is held.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns the time at which the next flush is within the budget.
    pub fn ready_at(&self) -> Instant {
        self.updated + self.interval.saturating_sub(self.credit)
    }

    /// Takes the right to one flush, if the budget has one.
    pub fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        self.credit = (self.credit + passed).min(self.interval * BURST);
        if self.credit < self.interval {
            return false;
        }
        self.credit -= self.interval;
        true
    }
}

fn interval(writers: usize) -> Duration {
    let writers = u32::try_from(writers.max(1)).unwrap_or(u32::MAX);
    Duration::from_secs(1) * writers / APPENDS_PER_SECOND
}
