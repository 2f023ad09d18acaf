//! The learned demand of one pool.

use std::time::Instant;

/// The mean and the peak of the slots that a pool's work needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The mean number of slots.
    pub mean: f64,
    /// The latest number of slots.
    pub now: f64,
    /// The slots of a typical peak.
    pub peak: f64,
    /// The share of the time that is spent above the mean, between 0 and 1.
    pub busy: f64,
    observed: Option<Instant>,
}
