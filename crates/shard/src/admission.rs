//! Admission control: rejects jobs that would expire before they complete. A job expires, and its
//! result is worth nothing, after [`EXPIRY_FACTOR`] times its objective.
//!
//! This limits the backlog of a queue whose demand exceeds its pool for some seconds. Jobs that can
//! still meet their objective are placed first, so that a backlog of late jobs doesn't delay them.
//! A late result is still of use to its caller, so a job is rejected only if the pool is full and
//! the queued work delays the job's completion beyond its expiry. The rejection is immediate.
//!
//! A job that only evacuated zones have capacity for is rejected as well, since it could not start.
//!
//! While the pool is full, jobs over their team's share are rejected as well.

use std::time::Duration;
use std::time::Instant;

use crate::evacuation::EVACUATION_RETRY_AFTER;
use crate::job::Job;
use crate::job::JobId;
use crate::shard::Shard;
use crate::tracked_job::EXPIRY_FACTOR;

/// The fraction of the capacity not taken by long-running tasks that queued work is expected to
/// use. The rest is lost to tasks that don't fit and to wrong estimates.
const USABLE_FRACTION: f64 = 0.85;

/// The factor by which estimated run times may be wrong. A rejection has to be correct in spite of
/// it.
const ESTIMATE_ERROR_FACTOR: u32 = 2;

/// The minimum delay after which a caller may submit a rejected job again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The fraction of a pool's processor time that has to be free for the pool not to count as full.
const MIN_FREE_FRACTION: f64 = 0.02;

/// The load of a pool, counted in processor time only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// The capacity of the schedulable workers, in millicores.
    pub capacity: u64,
    /// The allocation of the tasks that run on these workers, in millicores.
    pub used: u64,
    /// The processor time requested by jobs with long-running tasks, without their best-effort
    /// steps and what is allocated to long-running tasks in evacuated zones, in millicores.
    pub long_running: u64,
    /// The remaining work of the jobs that neither have expired nor are over their team's share, in
    /// core-milliseconds.
    pub queued_work: u64,
}

impl PoolLoad {
    fn is_full(&self) -> bool {
        let free = self.capacity.saturating_sub(self.used);
        (free as f64) < self.capacity as f64 * MIN_FREE_FRACTION
    }

    /// Returns how long the pool needs for the queued work.
    fn queue_delay(&self) -> Duration {
        let free = self.capacity.saturating_sub(self.long_running).max(1);
        // `queued_work` is in core-milliseconds and `free` in millicores.
        let millis = self.queued_work as f64 / (free as f64 / 1_000.0) / USABLE_FRACTION;
        Duration::from_secs_f64(millis / 1_000.0)
    }
}

impl Shard {
    /// Returns the time after which to submit the job again if it is rejected, `None` if it is
    /// admitted.
    ///
    /// Long-running and repeated jobs are always admitted. `over_share` is set if the job is over
    /// its team's share, to the time after which it would be within it.
    pub(crate) fn check_admission(
        &mut self,
        now: Instant,
        job: &Job,
        over_share: Option<Duration>,
    ) -> Option<Duration> {
        if job.is_long_running() || job.repeat.is_some() {
            return None;
        }
        if self.needs_evacuated_zone(job) {
            // The demand of rejected jobs moves machines of other zones to the pool.
            self.arrivals.remove(job.id);
            if over_share.is_none() {
                self.arrivals.add(now, job);
            }
            self.log_event("job_rejected", job.id, || {
                format!(
                    "queue={} cause=evacuated retry_ms={}",
                    job.queue.name,
                    EVACUATION_RETRY_AFTER.as_millis()
                )
            });
            return Some(EVACUATION_RETRY_AFTER);
        }
        let load = self.pool_load(now, &job.queue.pool);
        if load.capacity == 0 || !load.is_full() {
            return None;
        }
        let (delay, critical_path, objective) =
            (load.queue_delay(), job.critical_path(), job.objective());
        let expiry = objective * EXPIRY_FACTOR * ESTIMATE_ERROR_FACTOR;
        let total = delay + critical_path;
        if let Some(refill) = over_share {
            let retry_after = refill.max(delay).max(MIN_RETRY_AFTER);
            self.log_event("job_rejected", job.id, || {
                format!(
                    "queue={} team={} cause=beyond_share wait_ms={} retry_ms={}",
                    job.queue.name,
                    job.team.as_deref().unwrap_or("-"),
                    delay.as_millis(),
                    retry_after.as_millis()
                )
            });
            return Some(retry_after);
        }
        if total <= expiry {
            return None;
        }
        // After this time the queued work has shrunk so far that the job can meet its objective.
        let retry_after = (total - objective).max(MIN_RETRY_AFTER);
        self.log_event("job_rejected", job.id, || {
            format!(
                "queue={} cause=too_late wait_ms={} chain_ms={} objective_ms={} retry_ms={} load={load:?}",
                job.queue.name,
                delay.as_millis(),
                critical_path.as_millis(),
                objective.as_millis(),
                retry_after.as_millis()
            )
        });
        Some(retry_after)
    }

    /// Returns the load of a pool of this shard.
    pub fn pool_load(&mut self, now: Instant, pool: &str) -> PoolLoad {
        self.workers.update(now, &mut self.placement);
        while let Some(id) = self.backlog.next_expired(now) {
            self.count_job(now, id);
        }
        let (workers, jobs) = (self.workers.capacity(pool), self.backlog.load(pool));
        PoolLoad {
            capacity: workers.capacity,
            used: workers.used,
            long_running: jobs.long_running.saturating_sub(workers.evacuated),
            queued_work: u64::try_from(jobs.queued_work).unwrap_or(u64::MAX),
        }
    }

    /// Counts a job anew in the load of its pool, after it was added or has changed.
    pub(crate) fn count_job(&mut self, now: Instant, id: JobId) {
        if let Some(job) = self.jobs.get(&id) {
            self.placement.counted += 1;
            self.backlog.count(job, now);
        }
    }
}
