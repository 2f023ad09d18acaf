//! Keeping a worker free for an upkeep of its machine, within the availability budgets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::active::Phase;
use crate::advice::StepId;
use crate::job::Name;
use crate::job::TaskId;
use crate::shard::Moment;
use crate::shard::Shard;
use crate::worker::RunId;

/// The share of a pool's processor time above which it counts as under load. A fifth of the workers
/// may be away at once in a wave without filling the rest.
const LOADED_SHARE: f64 = 0.6;

/// Whether a machine may go down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vacancy {
    /// Nothing runs there that may not be ended.
    Free,
    /// Tasks run there that should end first, or whose step has no budget left.
    Busy,
    /// The pool needs the worker more now than it will later.
    Later,
    /// The shard has no such worker.
    NoWorker,
}

impl Shard {
    /// Keeps new tasks off a worker and tells whether its machine may go down. After an answer of
    /// [`Vacancy::Free`] the lasting tasks there count as away. Unless it is urgent, a worker of a
    /// pool under load is left to it.
    pub fn vacate(&mut self, at: Moment, name: &Name, urgent: bool) -> Vacancy {
        if !urgent && self.is_needed(at.now, name) {
            return Vacancy::Later;
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return Vacancy::NoWorker;
        };
        let since = *worker.vacated.get_or_insert(at.now);
        worker.vacate_asked = at.now;
        if worker.released {
            return Vacancy::Free;
        }
        let runs: Vec<RunId> = worker.runs.iter().copied().collect();
        let waited = at.now.saturating_duration_since(since) >= self.tuning.vacate_wait;
        let (mut lasting, mut short) = (Vec::new(), false);
        for id in runs {
            match self.is_lasting(id) {
                true => lasting.push(id),
                false => short = true,
            }
        }
        if short && !waited {
            return Vacancy::Busy;
        }
        if let Some((task, missing)) = self.over_budget(name, &lasting) {
            self.evict_one(at, name, &lasting);
            let blocked = self.workers.get_mut(name).map(|w| &mut w.blocked);
            if blocked.is_some_and(|b| !std::mem::replace(b, true)) {
                self.note("upkeep_waits", name, || {
                    format!("task={task} away={missing}")
                });
            }
            return Vacancy::Busy;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.released = true;
        }
        self.note("worker_released", name, || {
            format!("lasting={} short={short}", lasting.len())
        });
        Vacancy::Free
    }

    /// Takes in that a worker's life was ended by an order to its machine.
    pub fn worker_ended(&mut self, name: &Name) {
        let Some(worker) = self.workers.remove(name) else {
            return;
        };
        self.note("worker_ended", name, || {
            format!("runs={}", worker.runs.len())
        });
        for id in worker.runs {
            self.end_run(id);
        }
        self.ended_lives
            .insert(Arc::clone(name), worker.listing.born);
    }

    /// Tells whether a worker that is not being vacated belongs to a pool under load.
    fn is_needed(&self, now: Instant, name: &Name) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let load = self.pool_load(now, &worker.listing.pool);
        let used = load.used as f64;
        worker.vacated.is_none() && used > load.capacity as f64 * LOADED_SHARE
    }

    /// Uses workers again that nobody asks to keep free any more.
    pub(crate) fn end_vacating(&mut self, now: Instant) {
        let hold: Duration = self.tuning.vacate_hold;
        for worker in self.workers.values_mut() {
            let quiet = now.saturating_duration_since(worker.vacate_asked) > hold;
            if worker.vacated.is_some() && quiet {
                worker.vacated = None;
                worker.released = false;
                worker.blocked = false;
            }
        }
    }

    fn is_lasting(&self, id: RunId) -> bool {
        let job = self.jobs.get(&id.task.job);
        let step = job.and_then(|j| j.job.steps.get(usize::from(id.task.step)));
        step.is_some_and(|s| s.lasting)
    }

    /// Stops a lasting task so that it starts on another worker, if its step has several tasks on
    /// this one: together they would exceed the budget whenever the worker goes down. Another one
    /// follows once the first is at work again.
    fn evict_one(&mut self, at: Moment, name: &Name, runs: &[RunId]) {
        let step_of = |id: &RunId| StepId::of(id.task);
        let evicted = runs.iter().find(|id| {
            let together = runs.iter().filter(|r| step_of(r) == step_of(id)).count();
            together > 1 && self.has_budget(id.task) && self.has_place(at.now, id.task)
        });
        let Some(&id) = evicted else {
            return;
        };
        self.note("lasting_task_evicted", id.task, || {
            format!("run={} worker={name}", id.number)
        });
        self.unwanted(id);
    }

    /// Tells whether the budget of a task's step allows one more task to be away.
    fn has_budget(&self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(step) = job.job.steps.get(usize::from(id.step)) else {
            return false;
        };
        let steps = job.occurrences.get(&id.occurrence);
        let Some(tasks) = steps.and_then(|s| s.get(usize::from(id.step))) else {
            return false;
        };
        let at_work = |t: &&crate::active::Task| t.runs.iter().any(|r| self.is_at_work(r));
        let away = tasks.tasks.iter().filter(|t| !at_work(t)).count();
        away < step.may_miss as usize
    }

    /// Returns a lasting task on a worker that may not be ended by an order, because with it more
    /// tasks of its step would be away than the budget allows, and how many that would be.
    fn over_budget(&self, name: &Name, runs: &[RunId]) -> Option<(TaskId, usize)> {
        runs.iter().find_map(|id| {
            let job = self.jobs.get(&id.task.job)?;
            let step = job.job.steps.get(usize::from(id.task.step))?;
            if step.may_miss == 0 {
                return None;
            }
            let steps = job.occurrences.get(&id.task.occurrence);
            let tasks = steps.and_then(|s| s.get(usize::from(id.task.step)))?;
            let kept = |t: &crate::active::Task| {
                t.runs
                    .iter()
                    .any(|r| self.is_at_work(r) && r.worker != *name)
            };
            let missing = tasks.tasks.iter().filter(|t| !kept(t)).count();
            (missing > step.may_miss as usize).then_some((id.task, missing))
        })
    }

    fn is_at_work(&self, run: &crate::active::Run) -> bool {
        let worker = self.workers.get(&run.worker);
        matches!(run.phase, Phase::Running { .. })
            && run.percent >= 100
            && !run.unwanted
            && worker.is_some_and(|w| w.reachable && w.listed && !w.released && !w.listing.draining)
    }

    /// Returns the ids of the workers of this shard.
    pub fn worker_names(&self) -> Vec<Name> {
        self.workers.keys().map(Arc::clone).collect()
    }
}
