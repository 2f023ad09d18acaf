//! Refusing jobs that would be worth nothing by the time they are completed.
//!
//! The load this answers: a queue whose demand exceeds its pool for some seconds. Jobs that can still
//! meet their objective go first, so that a queue of late jobs does not delay them; a late result is
//! still of use to its caller. A job is refused, at once, only when the pool is full and the work
//! ahead puts its completion beyond the time after which it is worth nothing.

use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::job::Name;
use crate::shard::Shard;
use crate::tracked_job::EXPIRY_FACTOR;

/// The share of the pool's free processor time that the work ahead is expected to get; the rest is
/// lost to tasks that do not fit and to estimates that are off.
const USABLE_SHARE: f64 = 0.85;

/// How far off the declared run times may be; a refusal has to be right in spite of it.
const ESTIMATE_ERROR: u32 = 2;

/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// The share of a pool's processor time that has to be free for it to count as not full.
const FREE_SHARE: f64 = 0.02;

/// How busy a pool is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolLoad {
    /// The processor time of its workers, in thousandths of a core.
    pub(crate) capacity: u64,
    /// What runs.
    pub(crate) used: u64,
    /// What lasting tasks hold.
    lasting: u64,
    /// The work of the jobs that are worth completing, in core-milliseconds.
    ahead: u64,
}

impl PoolLoad {
    fn is_full(&self) -> bool {
        let free = self.capacity.saturating_sub(self.used);
        (free as f64) < self.capacity as f64 * FREE_SHARE
    }

    /// Returns how long the work ahead keeps the pool busy.
    fn wait(&self) -> Duration {
        let free = self.capacity.saturating_sub(self.lasting).max(1);
        // Core-milliseconds over cores.
        let millis = self.ahead as f64 / (free as f64 / 1_000.0) / USABLE_SHARE;
        Duration::from_secs_f64(millis / 1_000.0)
    }
}

impl Shard {
    /// Returns when to come back if a job would be completed too late to be worth anything, or is
    /// beyond its team's share while the pool is full; `excess` is after what time it would not be.
    pub(crate) fn check_admission(
        &mut self,
        now: Instant,
        job: &Job,
        over_share: Option<Duration>,
    ) -> Option<Duration> {
        if job.is_long_running() || job.repeat.is_some() {
            return None;
        }
        let load = self.pool_load(now, &job.queue.pool);
        if load.capacity == 0 || !load.is_full() {
            return None;
        }
        let (wait, critical_path, objective) = (load.wait(), job.critical_path(), job.objective());
        let expiry = objective * EXPIRY_FACTOR * ESTIMATE_ERROR;
        let total = wait + critical_path;
        if let Some(until) = over_share {
            let retry_after = until.max(wait).max(MIN_RETRY);
            self.log_event("job_refused", job.id, || {
                format!(
                    "queue={} team={} cause=beyond_share wait_ms={} retry_ms={}",
                    job.queue.name,
                    job.team.as_deref().unwrap_or("-"),
                    wait.as_millis(),
                    retry_after.as_millis()
                )
            });
            return Some(retry_after);
        }
        if total <= expiry {
            return None;
        }
        // By then the work ahead leaves enough time for the objective itself.
        let retry_after = (total - objective).max(MIN_RETRY);
        self.log_event("job_refused", job.id, || {
            format!(
                "queue={} cause=too_late wait_ms={} chain_ms={} objective_ms={} retry_ms={} load={load:?}",
                job.queue.name,
                wait.as_millis(),
                critical_path.as_millis(),
                objective.as_millis(),
                retry_after.as_millis()
            )
        });
        Some(retry_after)
    }

    pub(crate) fn pool_load(&self, now: Instant, pool: &Name) -> PoolLoad {
        let mut load = PoolLoad::default();
        for worker in self.workers.values() {
            if worker.info.pool == *pool && worker.is_schedulable(now) {
                load.capacity += worker.info.capacity.cpu;
                load.used += worker.used.cpu;
            }
        }
        let jobs = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        for job in jobs.filter(|j| j.job.queue.pool == *pool) {
            if job.job.is_long_running() {
                let steps = job.job.steps.iter().filter(|s| !s.best_effort);
                load.lasting += steps
                    .map(|s| s.resources.cpu * u64::from(s.count))
                    .sum::<u64>();
            } else if job.urgency(now).needs_capacity() {
                load.ahead += job.remaining_work();
            }
        }
        load
    }
}
