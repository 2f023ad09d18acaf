//! Durations that control leases, polling, drains and the retention of finished jobs.

use std::time::Duration;

/// The durations that a shard's owner uses; [`Timings::new`] derives them from a node's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// The length of a worker's lease, which polls renew.
    ///
    /// The tasks of a lost worker can be started elsewhere after this time, and a new owner has to
    /// take the shard over and renew the leases within it.
    pub lease: Duration,
    /// The longest lease that a worker holds, whatever deadline it is given.
    pub max_lease: Duration,
    /// How long a worker may delay the response to a poll until a run finishes (long polling).
    pub poll_wait: Duration,
    /// The interval at which a worker without runs is polled.
    pub idle_poll: Duration,
    /// The delay before a failed poll is repeated.
    pub poll_retry: Duration,
    /// How long an earlier owner may have kept granting leases after this owner acquired the shard.
    ///
    /// Runs of an earlier owner on workers that don't respond are considered lost only after this
    /// time and a lease.
    pub takeover_wait: Duration,
    /// How long a finished job is kept before it is garbage-collected.
    pub retention: Duration,
    /// How long the drain of a worker waits for tasks that are not long-running.
    pub drain_wait: Duration,
    /// The time since the last drain request after which a worker is no longer drained.
    pub drain_ttl: Duration,
}

impl Timings {
    /// Creates the durations for a platform on which a lease is at most `max_lease` long and the
    /// state of a job has to stay available for `job_retention` after its end.
    pub fn new(max_lease: Duration, job_retention: Duration) -> Self {
        /// Long enough to detect that an owner died and for its successor to poll the workers.
        const DEFAULT_LEASE: Duration = Duration::from_millis(4_000);
        /// Together with a lease, it lets tasks survive a store outage of about twice this time.
        const TAKEOVER_WAIT: Duration = Duration::from_millis(3_500);
        let lease = DEFAULT_LEASE.min(max_lease.mul_f64(0.9));
        Self {
            lease,
            max_lease,
            poll_wait: (lease / 3).min(Duration::from_millis(1_500)),
            idle_poll: Duration::from_secs(3),
            poll_retry: Duration::from_millis(300),
            takeover_wait: TAKEOVER_WAIT,
            retention: job_retention + job_retention / 4,
            drain_wait: Duration::from_millis(1_500),
            drain_ttl: Duration::from_secs(4),
        }
    }
}
