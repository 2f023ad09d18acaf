//! Waiting for a target: per pool, by share and deadline.

mod grant;
mod health;
mod pool;
mod seat;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use lavenderhollow_config::Automatic;
use lavenderhollow_config::Config;
use lavenderhollow_core::estimate::Estimate;
use lavenderhollow_core::estimate::Estimator;
use lavenderhollow_core::keyring::Admission;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::VmName;
use tokio::sync::Notify;

pub(crate) use grant::Grant;
pub(crate) use grant::Wanted;
pub(crate) use grant::job_key;
use pool::Pool;

use crate::context::Context;

/// The quantile of learned run times that waiting times are computed with.
const RUN_TIME_QUANTILE: f64 = 0.75;

/// How often waiting requests are looked at without a reason.
const SWEEP: Duration = Duration::from_millis(100);

/// How a request that was sent to a target ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) succeeded: bool,
    pub(crate) took: Duration,
    pub(crate) at: Instant,
}

/// The pools of this entry.
#[derive(Default)]
pub(crate) struct Pools {
    pools: ArcSwap<HashMap<PoolName, Arc<Pool>>>,
    wake: Arc<Notify>,
    /// One estimator for each queue, so that requests of different queues share no lock.
    estimators: ArcSwap<HashMap<QueueName, Arc<Mutex<Estimator>>>>,
}

impl Pools {
    /// Takes over the pools, shares and declarations of a configuration.
    pub(crate) fn configure(&self, config: &Config, now: Instant) {
        let present = self.pools.load();
        let mut pools = HashMap::new();
        for name in config.pools.keys() {
            let pool = present.get(name).cloned();
            let new = || Arc::new(Pool::new(name.clone(), config, &self.wake, now));
            let pool = pool.unwrap_or_else(new);
            pool.configure(&config.teams);
            pools.insert(name.clone(), pool);
        }
        self.pools.store(Arc::new(pools));
        let present = self.estimators.load();
        let mut estimators = HashMap::new();
        for (name, queue) in &config.queues {
            let estimator = present.get(name).cloned().unwrap_or_default();
            let prior = Estimate {
                run_time: queue.run_time,
                size: queue.size,
            };
            lock(&estimator).declare(name, prior);
            estimators.insert(name.clone(), estimator);
        }
        self.estimators.store(Arc::new(estimators));
    }

    /// Returns what a request probably needs.
    pub(crate) fn expected(&self, admission: &Admission) -> Estimate {
        let declared = Estimate {
            run_time: admission.settings.run_time,
            size: admission.settings.size,
        };
        let Some(team) = &admission.team else {
            return declared;
        };
        let estimators = self.estimators.load();
        let estimate = estimators.get(&admission.queue).and_then(|estimator| {
            lock(estimator).quantile(&admission.queue, &team.name, RUN_TIME_QUANTILE)
        });
        estimate.unwrap_or(declared)
    }

    /// Learns from a request that was sent to a target.
    pub(crate) fn observe(&self, cx: &Context, wanted: &Wanted, worker: &VmName, ended: Ended) {
        if let (true, Some(team)) = (ended.succeeded, &wanted.team) {
            let seen = Estimate {
                run_time: ended.took,
                size: wanted.size,
            };
            if let Some(estimator) = self.estimators.load().get(&wanted.queue) {
                lock(estimator).observe(&wanted.queue, team, &seen);
            }
        }
        if let Some(pool) = self.pools.load().get(&wanted.pool) {
            let acts = cx
                .config
                .load()
                .config
                .automatic
                .is_on(Automatic::Quarantine);
            pool.observe(wanted, worker, ended, acts);
        }
    }

    /// Counts a first try for the retry budget.
    pub(crate) fn first_try(&self, pool: &PoolName) {
        if let Some(pool) = self.pools.load().get(pool) {
            pool.retry.first_try();
        }
    }

    /// Takes a retry from the pool's budget, if there is one.
    pub(crate) fn may_retry(&self, pool: &PoolName, now: Instant) -> bool {
        let pools = self.pools.load();
        pools
            .get(pool)
            .is_some_and(|pool| pool.retry.try_retry(now))
    }

    /// Returns how many requests of a team wait in all pools.
    pub(crate) fn waiting(&self, team: &TeamName) -> usize {
        let pools = self.pools.load();
        pools.values().map(|pool| pool.waiting(team)).sum()
    }

    /// Returns how many requests wait in all pools.
    pub(crate) fn waiting_in_all(&self) -> usize {
        let pools = self.pools.load();
        let waiting = pools
            .values()
            .map(|pool| pool.waiting.load(Ordering::Acquire));
        waiting.sum()
    }

    /// Returns how many requests wait for a pool.
    pub(crate) fn waiting_in(&self, pool: &PoolName) -> u32 {
        let pools = self.pools.load();
        let waiting = pools
            .get(pool)
            .map_or(0, |pool| pool.waiting.load(Ordering::Acquire));
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Takes over the slots to keep free in this zone's part of a pool, which has `vms` VMs.
    pub(crate) fn set_buffer(&self, pool: &PoolName, slots: u32, vms: u32) {
        if let Some(pool) = self.pools.load().get(pool) {
            pool.set_buffer(slots, vms);
        }
    }

    /// Takes over the open targets after leases, answers or drains changed.
    pub(crate) fn targets_changed(&self, cx: &Context) {
        let snapshot = cx.targets.snapshot.load();
        for pool in self.pools.load().values() {
            pool.set_targets(cx, &snapshot);
        }
        self.wake.notify_one();
    }

    /// Looks at the waiting requests of every pool after allotments changed.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns the refusal of a request that can never run, however long it waits.
    pub(crate) fn never(&self, wanted: &Wanted) -> Option<Refusal> {
        self.find(wanted).err()
    }

    /// Returns the pool of a request that can run there.
    fn find(&self, wanted: &Wanted) -> Result<Arc<Pool>, Refusal> {
        let pool = self.pools.load().get(&wanted.pool).cloned();
        let pool = pool.ok_or_else(|| {
            let detail = format!("pool {} is not configured", wanted.pool);
            Refusal::new(RefusalKind::NoTarget, detail)
        })?;
        pool.check(wanted)?;
        Ok(pool)
    }

    /// Gets a target for a request, waiting for one until the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when the pool is unknown, the team's queue is full, the deadline can't be met, or
    /// the request can never run.
    pub(crate) async fn acquire(
        &self,
        cx: &Arc<Context>,
        wanted: &Wanted,
        deadline: Instant,
    ) -> Result<Grant, Refusal> {
        let pool = self.find(wanted)?;
        if pool.waiting.load(Ordering::Acquire) == 0 {
            match pool.grab(cx, wanted) {
                Ok(grant) => return Ok(grant),
                Err(refusal) if refusal.kind == RefusalKind::Impossible => return Err(refusal),
                Err(_) => {}
            }
        }
        pool.wait(cx, wanted, deadline).await
    }

    /// Serves the waiting requests of every pool, for ever.
    pub(crate) async fn serve(&self, cx: &Arc<Context>) {
        loop {
            // A wake-up may be for a request that ends while this task looks at another pool.
            let _ = tokio::time::timeout(SWEEP, self.wake.notified()).await;
            let pools: Vec<_> = self.pools.load().values().cloned().collect();
            for pool in pools {
                if pool.waiting.load(Ordering::Acquire) > 0 {
                    pool.pump(cx);
                }
            }
        }
    }
}

fn lock(estimator: &Mutex<Estimator>) -> MutexGuard<'_, Estimator> {
    estimator.lock().unwrap_or_else(PoisonError::into_inner)
}
