//! The load of the open jobs on each pool, as sums that are kept up to date.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::job::JobId;
use crate::job::Name;
use crate::tracked_job::TrackedJob;

/// What a job, or all jobs of a pool, add to the load of the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobLoad {
    /// The processor time requested by jobs with long-running tasks, without their best-effort
    /// steps, in millicores.
    pub(crate) long_running: u64,
    /// The remaining work of the other jobs that neither have expired nor are over their team's
    /// share, in core-milliseconds. The sum of many jobs may exceed the range of 64 bits.
    pub(crate) queued_work: u128,
}

impl JobLoad {
    fn of(job: &TrackedJob, now: Instant) -> Self {
        let mut load = Self::default();
        if job.state.is_final() {
            return load;
        }
        if job.long_running {
            let steps = job.job.steps.iter().filter(|s| !s.best_effort);
            load.long_running = steps.map(|s| s.resources.cpu * u64::from(s.count)).sum();
        } else if job.urgency(now).needs_capacity() {
            load.queued_work = job.remaining_work().into();
        }
        load
    }
}

/// The open jobs as they are counted in the sums of their pools.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    counted: BTreeMap<JobId, JobLoad>,
    pools: BTreeMap<Name, JobLoad>,
    /// After which time a job counts as expired.
    expiries: BTreeSet<(Instant, JobId)>,
}

impl Backlog {
    /// Counts a job anew, which was added or has changed.
    pub(crate) fn count(&mut self, job: &TrackedJob, now: Instant) {
        let id = job.job.id;
        let load = JobLoad::of(job, now);
        let previous = match load == JobLoad::default() {
            true => self.counted.remove(&id),
            false => self.counted.insert(id, load),
        };
        if let Some(expiry) = job.expiry() {
            match load.queued_work > 0 {
                true => self.expiries.insert((expiry, id)),
                false => self.expiries.remove(&(expiry, id)),
            };
        }
        let previous = previous.unwrap_or_default();
        if load != previous {
            let sums = self.pools.entry(Arc::clone(&job.job.queue.pool));
            let sums = sums.or_default();
            sums.long_running = sums.long_running + load.long_running - previous.long_running;
            sums.queued_work = sums.queued_work + load.queued_work - previous.queued_work;
        }
    }

    /// Removes and returns a job that has expired since it was last counted, which has to be
    /// counted anew.
    pub(crate) fn next_expired(&mut self, now: Instant) -> Option<JobId> {
        let is_expired = self.expiries.first().is_some_and(|(at, _)| *at < now);
        let expired = is_expired.then(|| self.expiries.pop_first()).flatten();
        expired.map(|(_, id)| id)
    }

    /// Returns the sums of a pool.
    pub(crate) fn load(&self, pool: &str) -> JobLoad {
        self.pools.get(pool).copied().unwrap_or_default()
    }
}
