//! The clock interface, so that time-dependent decisions can be tested with a manual clock.

use std::time::Instant;
use std::time::SystemTime;

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which is used for deadlines and leases.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which may jump forwards or backwards.
    fn wall_time(&self) -> SystemTime;
}
