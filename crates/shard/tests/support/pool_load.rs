//! Compares the load of each pool, which the shard keeps as sums, with a walk over its jobs and
//! workers.

use std::collections::BTreeSet;
use std::time::Instant;

use lavenderhollow_shard::JobView;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolLoad;
use lavenderhollow_shard::Shard;
use lavenderhollow_shard::StoredTask;

/// Checks the load of each pool that has workers or open jobs.
pub(crate) fn check(shard: &mut Shard, now: Instant) {
    let (jobs, workers) = (shard.job_views(now), shard.worker_views(now));
    let pools = workers.iter().map(|w| &w.info.pool);
    let pools: BTreeSet<&Name> = pools
        .chain(jobs.iter().map(|j| &j.job.queue.pool))
        .collect();
    for pool in pools {
        let mut load = PoolLoad::default();
        for worker in workers.iter().filter(|w| w.info.pool == *pool) {
            if worker.schedulable {
                load.capacity += worker.info.capacity.cpu;
                load.used += worker.used.cpu;
            }
        }
        for view in jobs.iter().filter(|j| j.job.queue.pool == *pool) {
            if view.job.is_long_running() {
                let steps = view.job.steps.iter().filter(|s| !s.best_effort);
                let requested = steps.map(|s| s.resources.cpu * u64::from(s.count));
                load.long_running += requested.sum::<u64>();
            } else if needs_capacity(view) {
                load.queued_work += remaining_work(view);
            }
        }
        let evacuated = workers
            .iter()
            .filter(|w| w.info.pool == *pool && w.evacuated);
        let evacuated = evacuated.map(|w| w.long_running.cpu).sum();
        load.long_running = load.long_running.saturating_sub(evacuated);
        assert_eq!(shard.pool_load(now, pool), load, "the load of {pool}");
    }
}

/// Returns whether a job neither has expired nor is over its team's share.
fn needs_capacity(view: &JobView) -> bool {
    let expired = view.age > view.job.objective() * 3;
    view.job.repeat.is_some() || (!expired && !view.over_share)
}

/// Returns the processor time of the tasks that exist and are not done, in core-milliseconds.
fn remaining_work(view: &JobView) -> u64 {
    let mut work = 0;
    for (index, step) in (0u16..).zip(&view.job.steps) {
        // The tasks of a finished occurrence that still have runs are none of its open ones.
        let is_open = |t: &&StoredTask| {
            let mut finished = view.progress.finished.iter();
            !finished.any(|(first, last)| (*first..=*last).contains(&t.occurrence))
        };
        let done = view.progress.tasks.iter().filter(is_open);
        let done = done.filter(|t| t.step == index && t.done).count() as u64;
        let tasks = u64::from(step.count) * u64::from(view.occurrences);
        let per_task = step.resources.cpu * step.estimate.as_millis() as u64 / 1_000;
        work += per_task * (tasks - done);
    }
    work
}
