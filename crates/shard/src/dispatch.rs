//! Which tasks start next, and where.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::JobId;
use crate::job::Name;
use crate::job::Resources;
use crate::job::Step;
use crate::job::TaskId;
use crate::policy::StepId;
use crate::shard::Effect;
use crate::shard::Shard;
use crate::shard::StartRequest;
use crate::shard::Timestamp;
use crate::tracked_job::Phase;
use crate::tracked_job::Run;
use crate::worker::RunId;
use crate::worker::Worker;

/// What a placement pass has found so far.
#[derive(Debug, Default)]
struct Pass {
    /// Workers kept free for a lasting task that fits nowhere yet.
    kept: BTreeSet<Name>,
    /// Needs that found no room in a pool, so that larger ones are not tried.
    full: BTreeMap<Name, Resources>,
}

impl Shard {
    /// Does what is due: places tasks, looks at workers, sends stops, ends lapsed runs.
    pub fn tick(&mut self, at: Timestamp) {
        if self.superseded {
            return;
        }
        self.expire_leases(at);
        self.expire_drains(at.now);
        self.dispatch(at);
        self.send_stops(at.now);
        self.send_polls(at.now);
        self.gc_finished(at.now);
    }

    /// Returns when something is due next.
    pub fn next_tick(&self, now: Instant) -> Instant {
        /// Bounds the time until leases, repeated stops and due occurrences are looked at.
        const LONGEST_PAUSE: Duration = Duration::from_millis(100);
        let polls = self.workers.values().filter(|w| !w.poll_pending);
        let next = polls.map(|w| w.next_poll).min();
        next.unwrap_or(now + LONGEST_PAUSE)
            .clamp(now, now + LONGEST_PAUSE)
    }

    fn dispatch(&mut self, at: Timestamp) {
        for team in self.teams.values_mut() {
            team.pending = Resources::default();
        }
        let mut order = Vec::with_capacity(self.unfinished.len());
        for &id in &self.unfinished {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.create_due_tasks(at.unix);
                order.push((job.rank(at.now), id));
            }
        }
        order.sort_unstable();
        let mut pass = Pass::default();
        for (_, id) in order {
            self.dispatch_job(at, id, &mut pass);
        }
    }

    fn dispatch_job(&mut self, at: Timestamp, id: JobId, pass: &mut Pass) {
        let Some(active) = self.jobs.get(&id) else {
            return;
        };
        let job = Arc::clone(&active.job);
        let mut ready = Vec::new();
        for (&occurrence, steps) in &active.occurrences {
            for (i, step) in (0u16..).zip(&job.steps) {
                let is_done = |a: &u16| steps.get(usize::from(*a)).is_some_and(|s| s.is_done());
                let Some(tasks) = steps.get(usize::from(i)) else {
                    continue;
                };
                if !step.depends_on.iter().all(is_done) {
                    continue;
                }
                let idle = |(_, t): &(u32, &crate::tracked_job::Task)| !t.done && t.runs.is_empty();
                let idle = (0u32..).zip(&tasks.tasks).filter(idle);
                let idle: Vec<u32> = idle.map(|(index, _)| index).collect();
                let step_id = StepId {
                    job: id,
                    occurrence,
                    step: i,
                };
                if !idle.is_empty() {
                    ready.push((step_id, idle));
                }
            }
        }
        for (step_id, idle) in ready {
            let Some(step) = job.steps.get(usize::from(step_id.step)) else {
                continue;
            };
            let pool = &job.queue.pool;
            match step.gang {
                true => self.place_gang(at, step_id, step, pool, &idle, pass),
                false => {
                    for index in idle {
                        if !self.place_task(at, step_id.task(index), step, pool, pass) {
                            break;
                        }
                    }
                }
            }
        }
    }

    /// Places one task; false when no further task of the step fits either.
    fn place_task(
        &mut self,
        at: Timestamp,
        id: TaskId,
        step: &Step,
        pool: &Name,
        pass: &mut Pass,
    ) -> bool {
        if !self.within_limit(id.job, step.resources) {
            return false;
        }
        let Some(worker) = self.choose(at.now, id, step, pool, pass) else {
            if self.needs_ticket(id.job) {
                self.query_policy(at.now, StepId::of(id), pool);
            } else if step.long_running {
                self.keep_worker(at.now, id, step, pool, pass);
            } else if step.required_label.is_none() && step.max_per_worker.is_none() {
                pass.full.insert(Arc::clone(pool), step.allocation());
            }
            return false;
        };
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let number = task.map_or(1, |t| t.last_run + 1);
        self.order_start(at, id, step, worker, number);
        true
    }

    /// Places all tasks of a gang at once, or none.
    fn place_gang(
        &mut self,
        at: Timestamp,
        id: StepId,
        step: &Step,
        pool: &Name,
        idle: &[u32],
        pass: &mut Pass,
    ) {
        if idle.len() < step.count as usize {
            return;
        }
        let tasks: Vec<TaskId> = idle.iter().map(|&i| id.task(i)).collect();
        let known = |t: &TaskId| self.jobs.get(&id.job).and_then(|j| j.task(*t));
        let runs = tasks.iter().filter_map(known).map(|t| t.last_run);
        let number = runs.max().unwrap_or(0) + 1;
        let checkpoint = tasks
            .iter()
            .filter_map(known)
            .filter_map(|t| t.checkpoint.clone())
            .max();
        let mut placed: Vec<RunId> = Vec::new();
        let held_back = self.deferred_len();
        for &task in &tasks {
            let fits = self.within_limit(id.job, step.resources);
            let worker = fits
                .then(|| self.choose(at.now, task, step, pool, pass))
                .flatten();
            let Some(worker) = worker else {
                for run in placed {
                    self.undo_start(run);
                }
                self.truncate_deferred(held_back, false);
                return;
            };
            if let Some(t) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(task)) {
                t.checkpoint.clone_from(&checkpoint);
            }
            self.order_start(at, task, step, worker, number);
            placed.push(RunId { task, number });
        }
        self.truncate_deferred(held_back, true);
    }

    /// Takes back a run that was placed in this pass and not recorded.
    fn undo_start(&mut self, id: RunId) {
        self.remove_run(id);
        let job = self.jobs.get_mut(&id.task.job);
        if let Some(task) = job.and_then(|j| j.task_mut(id.task)) {
            task.last_run = id.number - 1;
        }
    }

    fn order_start(&mut self, at: Timestamp, id: TaskId, step: &Step, worker: Name, number: u32) {
        let Some(incarnation) = self.workers.get(&worker).map(|w| w.info.incarnation) else {
            return;
        };
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let payload = Arc::clone(&job.job.payload);
        let checkpoint = job.task(id).and_then(|t| t.checkpoint.clone());
        let tickets = self.tickets.get(&StepId::of(id));
        let ticket = tickets.and_then(|t| t.for_worker(at.now, &worker)).cloned();
        let run = Run {
            number,
            worker: Arc::clone(&worker),
            incarnation,
            phase: Phase::Persisting,
            since: at.now,
            progress: 0,
            metric: 0,
            cpu_percent: 100,
            stop_requested: false,
        };
        self.add_run(id, run);
        self.mark_dirty(id.job);
        if step.long_running {
            self.log_event("start_lasting", id, || {
                format!("run={number} worker={worker}")
            });
        }
        self.defer_effect(Effect::Start(
            worker,
            StartRequest {
                run: RunId { task: id, number },
                payload,
                lease_deadline: 0,
                checkpoint,
                ticket,
            },
        ));
    }

    /// Tells whether a team may have `need` more running, and notes what it lacks if not.
    fn within_limit(&mut self, id: JobId, resources: Resources) -> bool {
        let team = self.jobs.get(&id).and_then(|j| j.job.team.clone());
        let Some(team) = team else {
            return true;
        };
        let team = self.teams.entry(team).or_default();
        let mut then = team.used;
        then.add(resources);
        let within = team.quota.is_some_and(|quota| then.within_limit(quota));
        if !within {
            team.pending.add(resources);
        }
        within
    }

    /// Chooses the worker for a task: near the data, not where the task failed, with most room.
    fn choose(
        &self,
        now: Instant,
        id: TaskId,
        step: &Step,
        pool: &Name,
        pass: &Pass,
    ) -> Option<Name> {
        let allocation = step.allocation();
        let hopeless = pass.full.get(pool).is_some_and(|full| {
            allocation.cpu >= full.cpu
                && allocation.memory >= full.memory
                && allocation.gpu >= full.gpu
        });
        if hopeless {
            return None;
        }
        let siblings = self.siblings(id);
        let failed_on = self
            .jobs
            .get(&id.job)
            .and_then(|j| j.task(id))
            .and_then(|t| t.failed_on.clone());
        let needs_ticket = self.needs_ticket(id.job);
        let tickets = self.tickets.get(&StepId::of(id));
        let candidates = self.workers.iter().filter(|(name, w)| {
            let ticket = tickets.and_then(|t| t.for_worker(now, name));
            (!needs_ticket || ticket.is_some())
                && self.may_run(now, w, step, pool, &siblings)
                && !pass.kept.contains(*name)
                && w.info.capacity.fits(w.used, allocation)
        });
        let best = candidates.max_by_key(|(name, w)| {
            let near = step.data_rack.is_none() || w.rack() == step.data_rack.as_ref();
            let together = !step.same_rack
                || siblings.is_empty()
                || siblings
                    .keys()
                    .filter_map(|n| self.workers.get(n))
                    .any(|s| s.rack() == w.rack());
            let fresh = failed_on.as_ref() != Some(*name);
            // More tasks of a step on one worker than may be away at once keep its machine up.
            let placed = siblings.get(*name).copied().unwrap_or(0);
            let apart = step.max_unavailable == 0 || placed < step.max_unavailable;
            let free = w.info.capacity.cpu.saturating_sub(w.used.cpu);
            // Workers become idle, and can be moved to pools that need them, when short tasks fill
            // the fullest worker first, and the lasting tasks of several steps share workers. Those
            // of one step are spread, since a worker may be lost.
            let order = match step.long_running {
                true => (Reverse(placed), self.runs_long_running(w), free),
                false => (Reverse(0), false, u64::MAX - free),
            };
            (near, together, apart, fresh, order)
        });
        best.map(|(name, _)| Arc::clone(name))
    }

    /// Tells whether a lasting task runs on a worker.
    fn runs_long_running(&self, worker: &Worker) -> bool {
        let mut jobs = worker
            .runs
            .iter()
            .filter_map(|run| self.jobs.get(&run.task.job));
        jobs.any(|job| job.job.is_long_running())
    }

    /// Tells whether another worker has room for a task now.
    pub(crate) fn fits_elsewhere(&self, now: Instant, id: TaskId) -> bool {
        let job = self.jobs.get(&id.job).map(|j| Arc::clone(&j.job));
        job.is_some_and(|job| {
            let step = job.steps.get(usize::from(id.step));
            let pass = Pass::default();
            step.is_some_and(|s| self.choose(now, id, s, &job.queue.pool, &pass).is_some())
        })
    }

    fn may_run(
        &self,
        now: Instant,
        worker: &Worker,
        step: &Step,
        pool: &Name,
        siblings: &BTreeMap<Name, u32>,
    ) -> bool {
        let labelled = |label: &Name| worker.info.labels.contains(label);
        let placed = siblings.get(&worker.info.id).copied().unwrap_or(0);
        worker.is_schedulable(now)
            && worker.info.pool == *pool
            && step.required_label.as_ref().is_none_or(labelled)
            && step.max_per_worker.is_none_or(|most| placed < most)
    }

    /// Returns how many tasks of the same step of the same occurrence run on each worker.
    fn siblings(&self, id: TaskId) -> BTreeMap<Name, u32> {
        let mut counts = BTreeMap::new();
        let steps = self
            .jobs
            .get(&id.job)
            .and_then(|j| j.occurrences.get(&id.occurrence));
        let Some(step) = steps.and_then(|s| s.get(usize::from(id.step))) else {
            return counts;
        };
        for run in step.tasks.iter().flat_map(|t| &t.runs) {
            *counts.entry(Arc::clone(&run.worker)).or_insert(0) += 1;
        }
        counts
    }

    /// Keeps the emptiest suitable worker free for a lasting task, so that it isn't overtaken by
    /// short ones for ever.
    fn keep_worker(&mut self, now: Instant, id: TaskId, step: &Step, pool: &Name, pass: &mut Pass) {
        let siblings = self.siblings(id);
        let suitable = self.workers.iter().filter(|(name, w)| {
            self.may_run(now, w, step, pool, &siblings) && !pass.kept.contains(*name)
        });
        let best = suitable.max_by_key(|(_, w)| {
            let free_memory = w.info.capacity.memory.saturating_sub(w.used.memory);
            let free_cpu = w.info.capacity.cpu.saturating_sub(w.used.cpu);
            (free_cpu, free_memory)
        });
        if let Some((name, _)) = best {
            pass.kept.insert(Arc::clone(name));
        }
    }

    fn needs_ticket(&self, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|j| j.job.queue.policy.is_some())
    }

    pub(crate) fn allocation_of(&self, id: TaskId) -> Resources {
        let job = self.jobs.get(&id.job);
        let step = job.and_then(|j| j.job.steps.get(usize::from(id.step)));
        step.map(Step::allocation).unwrap_or_default()
    }
}
