//! Times that the owner of a shard works with.

use std::time::Duration;

/// Times that the owner of a shard works with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a lease lasts from each look. A worker that is lost gives its tasks back after
    /// this time, and a change of owner has to fit into it.
    pub lease: Duration,
    /// How long a worker may hold a look open until a run ends.
    pub poll_wait: Duration,
    /// How often a worker without runs is looked at.
    pub idle_poll: Duration,
    /// After what time a look that failed is repeated.
    pub poll_retry: Duration,
    /// For how long an earlier owner may have gone on granting leases.
    pub takeover_wait: Duration,
    /// How long a finished job is remembered.
    pub retention: Duration,
    /// How long a worker that is being vacated waits for its short tasks.
    pub drain_wait: Duration,
    /// After what time without a request the vacating of a worker ends.
    pub drain_ttl: Duration,
}

impl Timings {
    /// Returns the times for a platform that holds leases no longer than `max_hold` and wants
    /// jobs to be known for `status` after their end.
    pub fn new(max_hold: Duration, status: Duration) -> Self {
        /// Long enough for the death of an owner to be noticed and its successor's first look.
        const LEASE: Duration = Duration::from_millis(4_000);
        /// With a lease, tasks outlive an outage of the store of about twice this.
        const TAKEOVER_WAIT: Duration = Duration::from_millis(3_500);
        let lease = LEASE.min(max_hold.mul_f64(0.9));
        Self {
            lease,
            poll_wait: (lease / 3).min(Duration::from_millis(1_500)),
            idle_poll: Duration::from_secs(3),
            poll_retry: Duration::from_millis(300),
            takeover_wait: TAKEOVER_WAIT,
            retention: status + status / 4,
            drain_wait: Duration::from_millis(1_500),
            drain_ttl: Duration::from_secs(4),
        }
    }
}
