//! Refusing jobs that could not be completed in time.
//!
//! The load this answers: a queue whose demand exceeds its pool for some seconds. Every job that is
//! taken in delays those behind it, so that without a bound all of them become late. A job is
//! refused at once when the work ahead of it leaves too little of its objective.

use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::job::Name;
use crate::shard::Shard;

/// The share of the pool's free processor time that the work ahead is expected to get; the rest is
/// lost to tasks that do not fit and to estimates that are off.
const USABLE_SHARE: f64 = 0.85;

/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_secs(1);

impl Shard {
    /// Returns when to come back if a job can't be completed within its objective any more.
    pub(crate) fn refuses(&self, now: Instant, job: &Job) -> Option<Duration> {
        if job.is_lasting() || job.repeat.is_some() {
            return None;
        }
        let (wait, objective) = (self.expected_wait(now, &job.queue.pool)?, job.objective());
        let total = wait + job.chain();
        if total <= objective {
            return None;
        }
        Some((total - objective).max(MIN_RETRY))
    }

    /// Returns how long the work that a pool has taken in keeps it busy. Without a usable worker
    /// there is no telling.
    fn expected_wait(&self, now: Instant, pool: &Name) -> Option<Duration> {
        let mut capacity = 0u64;
        for worker in self.workers.values() {
            if worker.listing.pool == *pool && worker.is_open(now) {
                capacity += worker.listing.capacity.cpu;
            }
        }
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        let (mut ahead, mut held) = (0u64, 0u64);
        for job in jobs.filter(|j| j.job.queue.pool == *pool) {
            if job.job.is_lasting() {
                let steps = job.job.steps.iter().filter(|s| !s.fills);
                held += steps.map(|s| s.need.cpu * u64::from(s.count)).sum::<u64>();
            } else if job.class(now) <= 1 {
                ahead += job.work_left();
            }
        }
        let free = capacity.saturating_sub(held);
        if free == 0 {
            return None;
        }
        // Core-milliseconds over thousandths of a core; running tasks are about half done.
        let millis = ahead as f64 / (free as f64 / 1_000.0) / USABLE_SHARE;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }
}
