//! Learned quantiles of sizes and run times.

use std::time::Duration;

use lavenderhollow_config::Resources;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::TeamName;

/// What a request is expected to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The run time.
    pub run_time: Duration,
    /// The size.
    pub size: Resources,
}

/// Learns run times and sizes for each queue and team.
#[derive(Clone, Debug, Default)]
pub struct Estimator {}

impl Estimator {
    /// Sets the declaration of a queue, the prior of all its teams.
    pub fn declare(&mut self, _queue: &QueueName, _prior: Estimate) {
        todo!()
    }
    /// Learns from a request that ended, or from a usage report of one that runs.
    pub fn observe(&mut self, _queue: &QueueName, _team: &TeamName, _seen: Estimate) {
        todo!()
    }
    /// Returns the estimate at a quantile between 0 and 1.
    pub fn quantile(&self, _queue: &QueueName, _team: &TeamName, _q: f64) -> Option<Estimate> {
        todo!()
    }
    /// Returns how many requests may run at once: one until something was observed.
    pub fn trial_bound(&self, _queue: &QueueName, _team: &TeamName) -> Option<u32> {
        todo!()
    }
}
