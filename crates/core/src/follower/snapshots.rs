use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// The part of the retention after which a process repeats its own attempt. It bounds the snapshots
/// that an entry with a wrong wall clock appends.
const ATTEMPT_PART: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct Mark {
    time: SystemTime,
    seen: Instant,
}

/// Decides when a snapshot is due.
#[derive(Clone, Debug)]
pub(super) struct Snapshots {
    retention: Duration,
    last: Option<Mark>,
    latest: Option<SystemTime>,
    due: Option<Instant>,
    attempted: Option<Instant>,
}

impl Snapshots {
    pub(super) fn new(retention: Duration) -> Self {
        Self {
            retention,
            last: None,
            latest: None,
            due: None,
            attempted: None,
        }
    }

    /// Notes an item of the stream. Before the first snapshot, ages count from the first item.
    pub(super) fn saw(&mut self, time: SystemTime, snapshot: bool, now: Instant) {
        self.latest = self.latest.max(Some(time));
        if snapshot || self.last.is_none() {
            self.last = Some(Mark { time, seen: now });
            self.due = None;
        }
    }

    /// Tells whether this process should append a snapshot now. The `delay` is random, so that one
    /// entry comes first and the others read its snapshot before their delay ends.
    pub(super) fn due(&mut self, now: Instant, wall: SystemTime, delay: Duration) -> bool {
        let resting = self
            .attempted
            .is_some_and(|at| now.saturating_duration_since(at) < self.retention / ATTEMPT_PART);
        if resting || self.age(now, wall) <= self.retention / 2 {
            return false;
        }
        if *self.due.get_or_insert(now + delay) > now {
            return false;
        }
        self.attempted = Some(now);
        self.due = None;
        true
    }

    /// Allows another attempt after one that failed.
    pub(super) fn failed(&mut self) {
        self.attempted = None;
    }

    /// Returns the largest age that any of the clocks tells, because a late snapshot loses history
    /// and an early one only costs an append.
    fn age(&self, now: Instant, wall: SystemTime) -> Duration {
        let Some(last) = self.last else {
            return Duration::ZERO;
        };
        let since = |time: SystemTime| time.duration_since(last.time).unwrap_or_default();
        now.saturating_duration_since(last.seen)
            .max(since(wall))
            .max(self.latest.map_or(Duration::ZERO, since))
    }
}
