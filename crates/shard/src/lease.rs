//! The lease that a worker holds, measured on the worker's own clock.

use std::time::Duration;
use std::time::Instant;

/// How much slower than real time a worker's clock may run, as a fraction. The platform guarantees
/// this bound.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Tracks a worker's clock and the latest lease deadline that was sent to the worker.
///
/// The shard's owner keeps one per worker and incarnation, and uses it to determine when the runs of
/// an unreachable worker have ended for certain.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The latest reading of the worker's clock.
    sample: Option<ClockSample>,
    /// The latest deadline that was granted, in milliseconds on the worker's clock.
    latest_deadline: u64,
}

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    clock_ms: u64,
    /// When the reading arrived, on the owner's clock.
    received: Instant,
}

impl Lease {
    /// Records a reading of the worker's clock, in milliseconds, that arrived at `now`. Ignores a
    /// reading that is older than the last one.
    pub fn observe_clock(&mut self, now: Instant, clock_ms: u64) {
        let is_newer = self.sample.is_none_or(|s| clock_ms >= s.clock_ms);
        if is_newer {
            self.sample = Some(ClockSample {
                clock_ms,
                received: now,
            });
        }
    }

    /// Returns whether a reading of the worker's clock, in a response to a call that was sent at
    /// `sent`, shows that the clock has started anew since the last reading: it is lower than the
    /// slowest clock can be.
    pub(crate) fn shows_restart(&self, sent: Instant, clock_ms: u64) -> bool {
        let earlier = self.sample.filter(|sample| sample.received <= sent);
        earlier.is_some_and(|sample| {
            let elapsed = sent.saturating_duration_since(sample.received);
            let slowest = elapsed.mul_f64(1.0 - MAX_CLOCK_DRIFT);
            clock_ms < sample.clock_ms + millis(slowest)
        })
    }

    /// Returns whether a reading of the worker's clock is known, without which no lease is granted.
    pub(crate) fn has_clock(&self) -> bool {
        self.sample.is_some()
    }

    /// Grants a lease for `length` from now and returns its deadline, in milliseconds on the
    /// worker's clock. A deadline never moves back, since workers ignore one that does. Returns
    /// `None` while no reading of the worker's clock is known.
    pub fn grant(&mut self, now: Instant, length: Duration) -> Option<u64> {
        let sample = self.sample?;
        let elapsed = now.saturating_duration_since(sample.received);
        let deadline = sample.clock_ms + millis(elapsed) + millis(length);
        self.latest_deadline = self.latest_deadline.max(deadline);
        Some(self.latest_deadline)
    }

    /// Returns when the latest deadline has passed for certain, even if the worker's clock is as
    /// slow as the platform allows. Returns `None` while no lease was granted.
    pub fn expires_at(&self) -> Option<Instant> {
        let sample = self.sample.filter(|_| self.latest_deadline > 0)?;
        let remaining = Duration::from_millis(self.latest_deadline.saturating_sub(sample.clock_ms));
        Some(sample.received + longest_real_time(remaining))
    }
}

/// Returns how much real time at most passes while a worker's clock advances by `time`.
pub(crate) fn longest_real_time(time: Duration) -> Duration {
    time.div_f64(1.0 - MAX_CLOCK_DRIFT)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
