//! The clocks of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_shard::Timestamp;
use lavenderhollow_types::Clock;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A clock that also counts the time for which the VM was suspended, so that a lease or a
/// configuration does not seem fresh after a suspension.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    base: Instant,
    boot: Duration,
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

impl BootClock {
    /// Creates a clock.
    pub fn new() -> Self {
        Self {
            base: Instant::now(),
            boot: boot_time(),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.base + boot_time().saturating_sub(self.boot)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Reads both times that decisions depend on.
pub(crate) fn timestamp(clock: &dyn Clock) -> Timestamp {
    let unix = clock.wall_time().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp {
        now: clock.now(),
        unix: unix.unwrap_or_default(),
    }
}
