//! The clock as an interface, so that decisions can be tested with a manual one.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Tells monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which deadlines and leases are measured with.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which may jump.
    fn wall(&self) -> SystemTime;
}

/// Reads the operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

#[derive(Debug)]
struct Times {
    now: Instant,
    wall: SystemTime,
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    times: Mutex<Times>,
}

impl ManualClock {
    /// Creates a clock whose wall time is `wall`.
    pub fn new(wall: SystemTime) -> Self {
        let now = Instant::now();
        Self {
            times: Mutex::new(Times { now, wall }),
        }
    }

    /// Moves both times forward by `step`.
    pub fn advance(&self, step: Duration) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.now += step;
        times.wall += step;
    }

    /// Sets the wall time without moving the monotonic time, as a clock adjustment does.
    pub fn jump_wall(&self, wall: SystemTime) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.wall = wall;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new(SystemTime::UNIX_EPOCH)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .now
    }

    fn wall(&self) -> SystemTime {
        self.times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .wall
    }
}
