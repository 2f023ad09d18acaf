//! Jobs and workers of a pool that fail.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use arc_swap::ArcSwap;
use lavenderhollow_core::evidence::Action;
use lavenderhollow_core::evidence::Evidence;
use lavenderhollow_core::evidence::JobKey;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;

/// Separates failing jobs from failing workers. The request path reads the sets without a lock.
#[derive(Default)]
pub(super) struct Health {
    evidence: Mutex<Evidence>,
    jobs: ArcSwap<BTreeSet<JobKey>>,
    workers: ArcSwap<BTreeSet<VmName>>,
}

impl Health {
    /// Tells whether a job is refused.
    pub(super) fn is_quarantined(&self, job: JobKey) -> bool {
        self.jobs.load().contains(&job)
    }

    /// Tells whether a worker may get a request now.
    pub(super) fn is_open(&self, worker: &VmName, now: Instant) -> bool {
        !self.workers.load().contains(worker) || self.evidence().is_open(now, worker)
    }

    /// Notes the start of a request on a worker that is on probation.
    pub(super) fn started(&self, worker: &VmName) {
        if self.workers.load().contains(worker) {
            self.evidence().started(worker);
        }
    }

    /// Takes over the workers of the pool.
    pub(super) fn set_workers(&self, workers: &[VmName]) {
        self.evidence().set_workers(workers);
        self.workers.rcu(|out| {
            let mut out = BTreeSet::clone(out);
            out.retain(|vm| workers.contains(vm));
            out
        });
    }

    /// Takes in an outcome. Without `acts` it is remembered and nothing is taken out.
    pub(super) fn record(
        &self,
        pool: &PoolName,
        job: JobKey,
        worker: &VmName,
        succeeded: bool,
        now: Instant,
        acts: bool,
    ) {
        let actions = self.evidence().record(now, job, worker, succeeded);
        for action in actions.into_iter().filter(|_| acts) {
            self.act(pool, action);
        }
    }

    fn act(&self, pool: &PoolName, action: Action) {
        match action {
            Action::Quarantine(job) => {
                log::warn!(pool = pool.as_str(); "job {job:016x} fails on every worker, refused");
                self.jobs.rcu(|jobs| {
                    let mut jobs = BTreeSet::clone(jobs);
                    jobs.insert(job);
                    jobs
                });
            }
            Action::TakeOut(vm) => {
                log::warn!(pool = pool.as_str(); "worker {vm} fails jobs of others, taken out");
                self.workers.rcu(|workers| {
                    let mut workers = BTreeSet::clone(workers);
                    workers.insert(vm.clone());
                    workers
                });
            }
            Action::Restore(vm) => {
                log::info!(pool = pool.as_str(); "worker {vm} takes work again");
                self.workers.rcu(|workers| {
                    let mut workers = BTreeSet::clone(workers);
                    workers.remove(&vm);
                    workers
                });
            }
        }
    }

    fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
