//! Draining workers for maintenance of their machines, within the disruption budgets
//! (`max_unavailable`) of the steps that run there.
//!
//! A drain is requested by the owner of the fleet shard with [`Shard::drain`]. It is independent of
//! the state `draining`, with which a worker announces that it is leaving
//! ([`WorkerInfo::draining`](crate::worker::WorkerInfo::draining)).

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::Name;
use crate::job::TaskId;
use crate::policy::StepId;
use crate::shard::Shard;
use crate::shard::Timestamp;
use crate::tracked_job::Phase;
use crate::tracked_job::Run;
use crate::worker::RunId;

/// The ratio of allocated to offered processor time above which a pool is under high load. Below
/// it, a maintenance wave can take down a fifth of the workers at once without filling up the
/// others.
const HIGH_LOAD_RATIO: f64 = 0.6;

/// The response to a drain request: whether the worker's machine may go down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStatus {
    /// The machine may go down. No run on the worker has to be kept.
    Drained,
    /// Short tasks (those that are not long-running) should end first, or the disruption budget of
    /// a long-running task's step is used up.
    Busy,
    /// The pool is under high load and needs the worker more now than later. The drain did not
    /// begin and should be requested again later.
    Deferred,
    /// The shard does not know the worker.
    UnknownWorker,
}

impl Shard {
    /// Starts or continues a drain: keeps new tasks off a worker and returns whether its machine
    /// may go down. The owner of the fleet shard repeats the request while it waits for the
    /// machine. The drain expires `drain_ttl` after the last request.
    ///
    /// After [`DrainStatus::Drained`] the long-running tasks on the worker count as unavailable.
    /// The response is valid only for a short time, since other tasks of their steps may be lost.
    /// Unless `urgent` is set, a drain of a worker whose pool is under high load is deferred. That of a
    /// worker in an evacuated zone is not: the pool can't use it.
    pub fn drain(&mut self, at: Timestamp, worker_id: &Name, urgent: bool) -> DrainStatus {
        if !urgent && self.should_defer_drain(at.now, worker_id) {
            return DrainStatus::Deferred;
        }
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return DrainStatus::UnknownWorker;
        };
        let since = *worker.drain_since.get_or_insert(at.now);
        worker.drain_requested = at.now;
        let was_granted = worker.drain_granted;
        let runs: Vec<RunId> = worker.runs.iter().copied().collect();
        let wait_over = at.now.saturating_duration_since(since) >= self.timings.drain_wait;
        let (mut long_running, mut has_short_tasks) = (Vec::new(), false);
        for id in runs {
            match self.is_long_running(id) {
                true => long_running.push(id),
                false => has_short_tasks = true,
            }
        }
        if has_short_tasks && !wait_over && !was_granted {
            return DrainStatus::Busy;
        }
        if let Some((task, unavailable)) = self.find_budget_violation(worker_id, &long_running) {
            // Other tasks of the step may have been lost since the drain was granted.
            if let Some(worker) = self.workers.get_mut(worker_id) {
                worker.drain_granted = false;
            }
            self.evict_colocated_task(at, worker_id, &long_running);
            let budget_blocked = self
                .workers
                .get_mut(worker_id)
                .map(|w| &mut w.budget_blocked);
            if budget_blocked.is_some_and(|b| !std::mem::replace(b, true)) {
                self.log_event("drain_blocked", worker_id, || {
                    format!("task={task} away={unavailable}")
                });
            }
            return DrainStatus::Busy;
        }
        if was_granted {
            return DrainStatus::Drained;
        }
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.drain_granted = true;
        }
        self.log_event("worker_drained", worker_id, || {
            format!("lasting={} short={has_short_tasks}", long_running.len())
        });
        DrainStatus::Drained
    }

    /// Handles the termination of a worker by a maintenance or move command to its machine, which
    /// the owner of the fleet shard reports. The worker's runs are lost at once, without waiting
    /// for its lease to expire. A run that finished just before may still be in the response to a
    /// pending poll, and its outcome counts.
    pub fn handle_termination(&mut self, worker_id: &Name) {
        let Some(worker) = self.workers.remove(worker_id) else {
            return;
        };
        self.silent_leases.forget(worker_id);
        self.log_event("worker_terminated", worker_id, || {
            format!("runs={}", worker.runs.len())
        });
        for id in worker.runs {
            self.log_run_lost(id, worker_id, "worker_terminated");
            self.mark_lost(id);
        }
        self.terminated_incarnations
            .insert(Arc::clone(worker_id), worker.info.incarnation);
    }

    /// Returns whether a worker has no drain in progress, is not in an evacuated zone and belongs to a
    /// pool under high load.
    fn should_defer_drain(&mut self, now: Instant, worker_id: &Name) -> bool {
        let Some(worker) = self.workers.get(worker_id) else {
            return false;
        };
        if worker.evacuated {
            return false;
        }
        let (pool, draining) = (Arc::clone(&worker.info.pool), worker.drain_since.is_some());
        let load = self.pool_load(now, &pool);
        let used = load.used as f64;
        !draining && used > load.capacity as f64 * HIGH_LOAD_RATIO
    }

    /// Ends the drains that were not requested again within `drain_ttl`, so that their workers get
    /// tasks again.
    pub(crate) fn expire_drains(&mut self, now: Instant) {
        let ttl: Duration = self.timings.drain_ttl;
        let expired = self.workers.iter().filter(|(_, w)| {
            w.drain_since.is_some() && now.saturating_duration_since(w.drain_requested) > ttl
        });
        let expired: Vec<Name> = expired.map(|(id, _)| Arc::clone(id)).collect();
        for id in expired {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.drain_since = None;
                worker.drain_granted = false;
                worker.budget_blocked = false;
            }
        }
    }

    /// Returns whether a run belongs to a long-running task.
    pub(crate) fn is_long_running(&self, id: RunId) -> bool {
        let job = self.jobs.get(&id.task.job);
        let step = job.and_then(|j| j.job.steps.get(usize::from(id.task.step)));
        step.is_some_and(|s| s.long_running)
    }

    /// Stops a long-running task so that it starts on another worker, if several tasks of its step
    /// run on this one: together they would exceed the disruption budget whenever the worker goes
    /// down. The next one is stopped only after the first is available again.
    fn evict_colocated_task(&mut self, at: Timestamp, worker_id: &Name, runs: &[RunId]) {
        self.workers.update(at.now, &mut self.placement);
        let step_of = |id: &RunId| StepId::of(id.task);
        let evictable = runs.iter().filter(|id| {
            let colocated = runs.iter().filter(|r| step_of(r) == step_of(id)).count();
            colocated > 1 && self.has_budget(id.task)
        });
        let evictable: Vec<&RunId> = evictable.collect();
        let evicted = evictable
            .iter()
            .find(|id| self.fits_elsewhere(at.now, id.task));
        let Some(&&id) = evicted else {
            for id in evictable {
                self.query_policy(at.now, step_of(id));
            }
            return;
        };
        self.log_event("long_running_task_evicted", id.task, || {
            format!("run={} worker={worker_id}", id.number)
        });
        self.request_stop(id);
    }

    /// Returns whether the disruption budget of a task's step allows one more unavailable task.
    fn has_budget(&self, id: TaskId) -> bool {
        let counts = self.count_unavailable(id, None);
        counts.is_some_and(|(unavailable, budget)| unavailable < budget)
    }

    /// Returns a long-running task that must stay on a worker because without the worker more tasks
    /// of its step would be unavailable than the disruption budget allows, and how many that would
    /// be.
    fn find_budget_violation(&self, worker_id: &Name, runs: &[RunId]) -> Option<(TaskId, usize)> {
        runs.iter().find_map(|id| {
            let (unavailable, budget) = self.count_unavailable(id.task, Some(worker_id))?;
            (budget > 0 && unavailable > budget).then_some((id.task, unavailable))
        })
    }

    /// Returns how many tasks of a task's step would be unavailable without the worker `without`,
    /// and how many may be.
    fn count_unavailable(&self, id: TaskId, without: Option<&Name>) -> Option<(usize, usize)> {
        let job = self.jobs.get(&id.job)?;
        let step = job.job.steps.get(usize::from(id.step))?;
        let steps = job.occurrences.get(&id.occurrence)?;
        let tasks = &steps.get(usize::from(id.step))?.tasks;
        let stays_available = |r: &Run| self.is_available(r) && Some(&r.worker) != without;
        let unavailable = tasks.iter().filter(|t| !t.runs.iter().any(stays_available));
        Some((unavailable.count(), step.max_unavailable as usize))
    }

    /// Returns whether a run is ready on a worker that is reachable and registered, has no granted
    /// drain and has not announced the state `draining`.
    fn is_available(&self, run: &Run) -> bool {
        let worker = self.workers.get(&run.worker);
        matches!(run.phase, Phase::Running { .. })
            && run.progress >= 100
            && !run.stop_requested
            && worker.is_some_and(|w| {
                w.reachable && w.registered && !w.drain_granted && !w.info.draining
            })
    }
}
