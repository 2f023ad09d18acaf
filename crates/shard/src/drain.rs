//! Keeping a worker free for an upkeep of its machine, within the availability budgets.

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

/// The share of a pool's processor time above which it counts as under load. A fifth of the workers
/// may be away at once in a wave without filling the rest.
const LOADED_SHARE: f64 = 0.6;

/// Whether a machine may go down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStatus {
    /// Nothing runs there that may not be ended.
    Drained,
    /// Tasks run there that should end first, or whose step has no budget left.
    Busy,
    /// The pool needs the worker more now than it will later.
    Deferred,
    /// The shard has no such worker.
    UnknownWorker,
}

impl Shard {
    /// Keeps new tasks off a worker and tells whether its machine may go down. After an answer of
    /// [`DrainStatus::Drained`] the lasting tasks there count as away; the answer holds for a short time,
    /// since other tasks of their steps may be lost. Unless it is urgent, a worker of a
    /// pool under load is left to it.
    pub fn drain(&mut self, at: Timestamp, name: &Name, urgent: bool) -> DrainStatus {
        if !urgent && self.is_needed(at.now, name) {
            return DrainStatus::Deferred;
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return DrainStatus::UnknownWorker;
        };
        let since = *worker.drain_since.get_or_insert(at.now);
        worker.drain_requested = at.now;
        let was_granted = worker.drain_granted;
        let runs: Vec<RunId> = worker.runs.iter().copied().collect();
        let waited = at.now.saturating_duration_since(since) >= self.timings.drain_wait;
        let (mut long_running, mut short) = (Vec::new(), false);
        for id in runs {
            match self.is_long_running(id) {
                true => long_running.push(id),
                false => short = true,
            }
        }
        if short && !waited && !was_granted {
            return DrainStatus::Busy;
        }
        if let Some((task, missing)) = self.over_budget(name, &long_running) {
            // Other tasks of the step may have been lost since the worker was released.
            if let Some(worker) = self.workers.get_mut(name) {
                worker.drain_granted = false;
            }
            self.evict_one(at, name, &long_running);
            let budget_blocked = self.workers.get_mut(name).map(|w| &mut w.budget_blocked);
            if budget_blocked.is_some_and(|b| !std::mem::replace(b, true)) {
                self.log_event("upkeep_waits", name, || {
                    format!("task={task} away={missing}")
                });
            }
            return DrainStatus::Busy;
        }
        if was_granted {
            return DrainStatus::Drained;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.drain_granted = true;
        }
        self.log_event("worker_released", name, || {
            format!("lasting={} short={short}", long_running.len())
        });
        DrainStatus::Drained
    }

    /// Takes in that a worker's life was ended by an order to its machine. An end that it listed just
    /// before may still arrive with the answer to a look, and counts.
    pub fn handle_termination(&mut self, name: &Name) {
        let Some(worker) = self.workers.remove(name) else {
            return;
        };
        self.log_event("worker_ended", name, || {
            format!("runs={}", worker.runs.len())
        });
        for id in worker.runs {
            self.mark_lost(id);
        }
        self.ended_incarnations
            .insert(Arc::clone(name), worker.info.incarnation);
    }

    /// Tells whether a worker that is not being vacated belongs to a pool under load.
    fn is_needed(&self, now: Instant, name: &Name) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let load = self.pool_load(now, &worker.info.pool);
        let used = load.used as f64;
        worker.drain_since.is_none() && used > load.capacity as f64 * LOADED_SHARE
    }

    /// Uses workers again that nobody asks to keep free any more.
    pub(crate) fn expire_drains(&mut self, now: Instant) {
        let hold: Duration = self.timings.drain_ttl;
        for worker in self.workers.values_mut() {
            let quiet = now.saturating_duration_since(worker.drain_requested) > hold;
            if worker.drain_since.is_some() && quiet {
                worker.drain_since = None;
                worker.drain_granted = false;
                worker.budget_blocked = false;
            }
        }
    }

    fn is_long_running(&self, id: RunId) -> bool {
        let job = self.jobs.get(&id.task.job);
        let step = job.and_then(|j| j.job.steps.get(usize::from(id.task.step)));
        step.is_some_and(|s| s.long_running)
    }

    /// Stops a lasting task so that it starts on another worker, if its step has several tasks on
    /// this one: together they would exceed the budget whenever the worker goes down. Another one
    /// follows once the first is at work again.
    fn evict_one(&mut self, at: Timestamp, name: &Name, runs: &[RunId]) {
        let step_of = |id: &RunId| StepId::of(id.task);
        let evicted = runs.iter().find(|id| {
            let together = runs.iter().filter(|r| step_of(r) == step_of(id)).count();
            together > 1 && self.has_budget(id.task) && self.fits_elsewhere(at.now, id.task)
        });
        let Some(&id) = evicted else {
            return;
        };
        self.log_event("lasting_task_evicted", id.task, || {
            format!("run={} worker={name}", id.number)
        });
        self.request_stop(id);
    }

    /// Tells whether the budget of a task's step allows one more task to be away.
    fn has_budget(&self, id: TaskId) -> bool {
        let away = self.away(id, None);
        away.is_some_and(|(missing, budget)| missing < budget)
    }

    /// Returns a lasting task on a worker that may not be ended by an order, because with it more
    /// tasks of its step would be away than the budget allows, and how many that would be.
    fn over_budget(&self, name: &Name, runs: &[RunId]) -> Option<(TaskId, usize)> {
        runs.iter().find_map(|id| {
            let (missing, budget) = self.away(id.task, Some(name))?;
            (budget > 0 && missing > budget).then_some((id.task, missing))
        })
    }

    /// Returns how many tasks of a task's step would be away without a worker, and how many may be.
    fn away(&self, id: TaskId, without: Option<&Name>) -> Option<(usize, usize)> {
        let job = self.jobs.get(&id.job)?;
        let step = job.job.steps.get(usize::from(id.step))?;
        let steps = job.occurrences.get(&id.occurrence)?;
        let tasks = &steps.get(usize::from(id.step))?.tasks;
        let kept = |r: &Run| self.is_at_work(r) && Some(&r.worker) != without;
        let missing = tasks.iter().filter(|t| !t.runs.iter().any(kept));
        Some((missing.count(), step.max_unavailable as usize))
    }

    fn is_at_work(&self, run: &Run) -> bool {
        let worker = self.workers.get(&run.worker);
        matches!(run.phase, Phase::Running { .. })
            && run.progress >= 100
            && !run.stop_requested
            && worker.is_some_and(|w| {
                w.reachable && w.registered && !w.drain_granted && !w.info.draining
            })
    }
}
