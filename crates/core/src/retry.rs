//! Retry budgets.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// First tries that pay for one retry: retries are at most 10 % of first tries.
pub const TRIES_PER_RETRY: i64 = 10;
/// The most retries that can be saved up, so that a long quiet time pays for no flood.
pub const SAVED_RETRIES: i64 = 100;
/// The time between two retries that are granted without first tries, for pools with little work.
pub const FLOOR_INTERVAL: Duration = Duration::from_secs(1);

/// The retry budget of one pool. It takes no locks.
#[derive(Debug)]
pub struct RetryBudget {
    start: Instant,
    /// First tries that have not paid for a retry yet. A floor retry takes its price too, down to
    /// the price of one, so that a busy pool's floor is part of its 10 %.
    tries: AtomicI64,
    /// The time of the next floor retry, in milliseconds after `start`.
    floor: AtomicU64,
    denied: AtomicU64,
}

impl RetryBudget {
    /// Creates a budget without savings.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            tries: AtomicI64::new(0),
            floor: AtomicU64::new(0),
            denied: AtomicU64::new(0),
        }
    }

    /// Counts a first try.
    pub fn first_try(&self) {
        let cap = SAVED_RETRIES * TRIES_PER_RETRY;
        let add = |tries: i64| (tries < cap).then(|| tries + 1);
        let _ = self
            .tries
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes the right to one retry, if the budget has it.
    pub fn try_retry(&self, now: Instant) -> bool {
        let granted = self.take_saved() || self.take_floor(now);
        if !granted {
            self.denied.fetch_add(1, Ordering::Relaxed);
        }
        granted
    }

    /// Returns the number of retries that were denied.
    pub fn denied(&self) -> u64 {
        self.denied.load(Ordering::Relaxed)
    }

    fn take_saved(&self) -> bool {
        let pay = |tries: i64| (tries >= TRIES_PER_RETRY).then(|| tries - TRIES_PER_RETRY);
        self.tries
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, pay)
            .is_ok()
    }

    fn take_floor(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.start).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let next = elapsed.saturating_add(FLOOR_INTERVAL.as_millis() as u64);
        let take = |due: u64| (due <= elapsed).then_some(next);
        let taken = self
            .floor
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok();
        if taken {
            let pay = |tries: i64| Some((tries - TRIES_PER_RETRY).max(-TRIES_PER_RETRY));
            let _ = self
                .tries
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, pay);
        }
        taken
    }
}
