//! The clock as an interface, so that decisions can be tested with a manual one.

use std::time::Instant;
use std::time::SystemTime;

/// Tells monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which deadlines and leases are measured with.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which may jump.
    fn wall_time(&self) -> SystemTime;
}
