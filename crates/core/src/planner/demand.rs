//! The learned demand of one pool.

use std::time::Duration;
use std::time::Instant;

/// The time over which mean and busy share are averaged.
const AVERAGING: Duration = Duration::from_secs(120);

/// The time in which a remembered peak falls to about a third, so that rare peaks are forgotten.
const PEAK_DECAY: Duration = Duration::from_secs(1800);

/// The mean and the peak of the slots that a pool's work needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The mean number of slots.
    pub mean: f64,
    /// The latest number of slots.
    pub now: f64,
    /// The slots of a recent peak.
    pub peak: f64,
    /// The share of the time in which the demand is above twice its mean, between 0 and 1.
    pub busy: f64,
    observed: Option<Instant>,
}

impl Demand {
    /// Takes in the slots that the pool's work needs at `now`.
    pub fn observe(&mut self, slots: f64, now: Instant) {
        self.now = slots;
        let Some(before) = self.observed.replace(now) else {
            (self.mean, self.peak) = (slots, slots);
            return;
        };
        let passed = now.saturating_duration_since(before).as_secs_f64();
        let part = 1.0 - (-passed / AVERAGING.as_secs_f64()).exp();
        self.mean += (slots - self.mean) * part;
        let busy = f64::from(u8::from(slots > 2.0 * self.mean));
        self.busy += (busy - self.busy) * part;
        self.peak = (self.peak * (-passed / PEAK_DECAY.as_secs_f64()).exp()).max(slots);
    }
}
