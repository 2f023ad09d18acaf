//! The clock of a node process, and the timestamps that scheduling decisions are based on.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_shard::Timestamp;
use lavenderhollow_types::Clock;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A monotonic clock that includes the time for which the VM was suspended (`CLOCK_BOOTTIME`).
/// Otherwise, after a suspension, an expired lease would still seem valid and an old configuration
/// recent.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    start_boottime: Duration,
}

/// Returns the time since the VM's boot, including suspensions.
fn read_boottime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

impl BootClock {
    /// Creates a clock that starts at the current time.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            start_boottime: read_boottime(),
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
        self.start + read_boottime().saturating_sub(self.start_boottime)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Reads the monotonic and the wall-clock time. Timeouts and leases use the first; times that are
/// stored, and the schedules of repeated jobs, use the second.
pub(crate) fn timestamp(clock: &dyn Clock) -> Timestamp {
    let unix = clock.wall_time().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp {
        now: clock.now(),
        unix: unix.unwrap_or_default(),
    }
}
