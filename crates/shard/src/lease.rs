//! The lease that a worker holds, counted on the worker's own clock.

use std::time::Duration;
use std::time::Instant;

/// How slow a worker's clock may be, as a fraction of true time; the platform's bound.
const MAX_CLOCK_LAG: f64 = 0.02;

/// What is known of a worker's clock and of the deadlines that were sent to it.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    sample: Option<Sample>,
    granted: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    clock: u64,
    at: Instant,
}

impl Lease {
    /// Takes a reading of the worker's clock, in milliseconds, that arrived at `now`.
    pub fn observe_clock(&mut self, now: Instant, clock: u64) {
        let newer = self.sample.is_none_or(|s| clock >= s.clock);
        if newer {
            self.sample = Some(Sample { clock, at: now });
        }
    }

    /// Chooses and notes a deadline `length` from now. Without a reading of the worker's clock
    /// there is none.
    pub fn grant(&mut self, now: Instant, length: Duration) -> Option<u64> {
        let sample = self.sample?;
        let passed = now.saturating_duration_since(sample.at);
        let deadline = sample.clock + millis(passed) + millis(length);
        self.granted = self.granted.max(deadline);
        Some(self.granted)
    }

    /// Returns when the last deadline has passed for certain, however slow the worker's clock is.
    pub fn expires_at(&self) -> Option<Instant> {
        let sample = self.sample?;
        let left = Duration::from_millis(self.granted.saturating_sub(sample.clock));
        Some(sample.at + left.div_f64(1.0 - MAX_CLOCK_LAG))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
