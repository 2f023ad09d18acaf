//! Task placement: which tasks start next, and on which workers.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;
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
use crate::suitability::Suitability;
use crate::tracked_job::Phase;
use crate::tracked_job::Rank;
use crate::tracked_job::Run;
use crate::tracked_job::StepTasks;
use crate::waiting::WaitingJob;
use crate::worker::RunId;
use crate::worker::Worker;

/// How much work placement has done, which grows with the size of the pool and of its queues.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementStats {
    /// The passes over the jobs with waiting tasks.
    pub passes: u64,
    /// The jobs with waiting tasks that were considered for placement.
    pub jobs: u64,
    /// The workers that were considered for a task.
    pub workers: u64,
    /// The steps of these jobs that were not passed over at once.
    pub steps: u64,
    /// The computations of a job's remaining work and critical path.
    pub estimates: u64,
    /// The jobs and workers that were counted or looked at for the load of a pool.
    pub counted: u64,
    /// The runs of earlier owners that were looked at when a worker became known.
    pub attached: u64,
    /// The steps whose tickets were looked at when a job became final.
    pub tickets: u64,
    /// The tasks that were placed on another worker than otherwise, since their image is kept apart from
    /// those there.
    pub kept_apart: u64,
}

/// The minimum time between two placement passes for each job that waits beyond
/// [`UNSPACED_JOBS`]. A pass takes a few microseconds for a job on a VM with half a core.
const PASS_SPACING: Duration = Duration::from_micros(25);

/// The number of waiting jobs up to which each change is followed by a pass at once.
const UNSPACED_JOBS: usize = 32;

/// The intermediate results of one placement pass over the jobs with waiting tasks.
#[derive(Debug, Default)]
struct PlacementPass {
    /// The workers that get no tasks in the rest of this pass, so that room for a long-running task
    /// that fits on no worker builds up there.
    reserved_workers: BTreeSet<Name>,
    /// For each pool, the allocations that fit on no worker. Tasks that need at least as much of
    /// every resource are not tried.
    unplaceable: BTreeMap<Name, Vec<Resources>>,
    /// For each pool, the allocations of long-running tasks that no worker could be reserved for. Tasks
    /// that need at least as much of every resource are not tried.
    unreservable: BTreeMap<Name, Vec<Resources>>,
    /// For each team, the resources of a task or gang of more than half of the team's limit that
    /// waits for its quota. The rest of the pass leaves room for it in the quota.
    held_quotas: BTreeMap<Name, Resources>,
    /// The number of workers that were considered for a task.
    checked_workers: Cell<u64>,
    /// The number of tasks for which another worker was chosen because of the images there.
    kept_apart: Cell<u64>,
}

/// A step with tasks that wait for a place, as [`Shard::candidates`] looks at it.
#[derive(Clone, Copy, Debug)]
struct UnplacedStep<'a> {
    id: StepId,
    step: &'a Step,
    pool: &'a Name,
    tickets: TicketCheck,
}

/// Which workers are candidates for a step that needs tickets of the policy service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TicketCheck {
    /// Those with a valid ticket.
    Held,
    /// Those that the service may still allow, too.
    Obtainable,
}

/// Returns whether an allocation needs at least as much of every resource as one of those of a pool.
fn includes_any(
    pools: &BTreeMap<Name, Vec<Resources>>,
    pool: &Name,
    allocation: Resources,
) -> bool {
    let mut others = pools.get(pool).into_iter().flatten();
    others.any(|other| {
        allocation.cpu >= other.cpu
            && allocation.memory >= other.memory
            && allocation.gpu >= other.gpu
    })
}

impl PlacementPass {
    fn is_unplaceable(&self, pool: &Name, allocation: Resources) -> bool {
        includes_any(&self.unplaceable, pool, allocation)
    }

    /// Counts a task for which `chosen` is selected, and `nearest` without regard to the images there.
    fn count_kept_apart(&self, chosen: Option<&Name>, nearest: Option<&Name>) {
        if chosen != nearest {
            self.kept_apart.set(self.kept_apart.get() + 1);
        }
    }

    fn add_unplaceable(&mut self, pool: &Name, allocation: Resources) {
        if !self.is_unplaceable(pool, allocation) {
            let unplaceable = self.unplaceable.entry(Arc::clone(pool));
            unplaceable.or_default().push(allocation);
        }
    }
}

impl Shard {
    /// Does all work that is due: expires leases and drains, places tasks, sends stops and polls,
    /// records the leases of silent workers, and removes old finished jobs.
    ///
    /// It does nothing once the owner is superseded.
    pub fn tick(&mut self, at: Timestamp) {
        if self.superseded {
            return;
        }
        self.expire_leases(at);
        self.expire_drains(at.now);
        self.dispatch(at);
        self.send_stops(at.now);
        self.send_polls(at.now);
        self.update_lease_record(at.now);
        self.update_restart_record(at.now);
        self.update_slowdowns(at);
        self.gc_finished(at.now);
    }

    /// Returns when [`Shard::tick`] should be called next.
    pub fn next_tick(&self, now: Instant) -> Instant {
        /// The maximum delay until expired leases, repeated stops and due occurrences are handled.
        const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
        let polls = self.workers.values().filter(|w| !w.poll_pending);
        let next = polls.map(|w| w.next_poll).min();
        let pass = (!self.settled && self.next_pass > now).then_some(self.next_pass);
        let next = next.into_iter().chain(pass).min();
        next.unwrap_or(now + MAX_TICK_INTERVAL)
            .clamp(now, now + MAX_TICK_INTERVAL)
    }

    /// Creates the tasks of the occurrences that are due.
    fn create_due_tasks(&mut self, at: Timestamp) {
        while let Some(&(due, id)) = self.due.first()
            && due <= at.unix
        {
            self.due.pop_first();
            let free = self.free_job_memory();
            let job = self.jobs.get_mut(&id).filter(|j| !j.state.is_final());
            let Some(job) = job else {
                continue;
            };
            job.create_due_tasks(at.unix, free, &mut self.placement);
            self.due.extend(job.next_due().map(|due| (due, id)));
            self.count_memory(id);
            self.count_job(at.now, id);
            self.update_waiting(id);
        }
    }

    /// Updates whether a job has tasks that wait for a place, after its tasks have changed. The
    /// next tick makes a placement pass.
    pub(crate) fn update_waiting(&mut self, id: JobId) {
        self.changed_waiting.insert(id);
        self.settled = false;
    }

    /// Collects the waiting tasks anew of the jobs that have changed.
    fn collect_waiting(&mut self, now: Instant) {
        for id in mem::take(&mut self.changed_waiting) {
            let needs_ticket = |step| self.needs_ticket(now, step);
            let job = self.jobs.get(&id);
            match job.and_then(|j| WaitingJob::of(j, needs_ticket)) {
                Some(job) => self.waiting.insert(id, Arc::new(job)),
                None => self.waiting.remove(&id),
            };
        }
    }

    /// Runs a placement pass over the jobs with waiting tasks, in the order of their ranks.
    ///
    /// There is none if the last one placed nothing and nothing has changed since: the time alone
    /// makes no room, and changes only the order of jobs none of which fits. While many jobs wait,
    /// passes are spaced in proportion to them, so that an owner with a backlog has processor time
    /// left for its calls. A worker whose backoff or drain ends is a change. Requests to the policy
    /// service are repeated with time, so that a pass with one is repeated.
    fn dispatch(&mut self, at: Timestamp) {
        self.create_due_tasks(at);
        self.workers.update(at.now, &mut self.placement);
        self.settled &= !self.workers.take_change();
        if self.settled || at.now < self.next_pass {
            return;
        }
        self.settled = true;
        self.paused_steps.retain(|_, until| at.now < *until);
        self.collect_waiting(at.now);
        for team in self.teams.values_mut() {
            team.pending = Resources::default();
            team.next_unit = None;
        }
        let jobs = self.waiting.iter();
        let jobs = jobs.map(|(&id, job)| (job.basis.rank(at.now), id, Arc::clone(job)));
        let mut queue: Vec<(Rank, JobId, Arc<WaitingJob>)> = jobs.collect();
        queue.sort_unstable_by_key(|(rank, id, _)| (*rank, *id));
        let mut pass = PlacementPass::default();
        self.placement.passes += 1;
        self.placement.jobs += queue.len() as u64;
        let spaced = u32::try_from(queue.len().saturating_sub(UNSPACED_JOBS)).unwrap_or(u32::MAX);
        self.next_pass = at.now + PASS_SPACING * spaced;
        for (_, id, job) in queue {
            self.dispatch_job(at, id, &job, &mut pass);
        }
        self.placement.workers += pass.checked_workers.get();
        self.placement.kept_apart += pass.kept_apart.get();
    }

    /// Places the tasks of a job whose dependencies are done and that have no run.
    fn dispatch_job(
        &mut self,
        at: Timestamp,
        id: JobId,
        waiting: &WaitingJob,
        pass: &mut PlacementPass,
    ) {
        let pool = &waiting.pool;
        for step in &waiting.steps {
            if self.paused_steps.contains_key(&step.id(id)) {
                self.settled = false;
                continue;
            }
            if step.only_waits {
                if pass.is_unplaceable(pool, step.allocation) {
                    continue;
                }
                let team = waiting.team.as_ref();
                if !self.within_quota(team, step.resources, pass) {
                    self.add_demand(at.now, step.id(id), pool, pass);
                    continue;
                }
            }
            self.placement.steps += 1;
            self.dispatch_step(at, step.id(id), pool, pass);
        }
    }

    /// Places the tasks of a step that have no run.
    fn dispatch_step(&mut self, at: Timestamp, id: StepId, pool: &Name, pass: &mut PlacementPass) {
        let Some(job) = self.jobs.get(&id.job).map(|j| Arc::clone(&j.job)) else {
            return;
        };
        let Some(step) = job.steps.get(usize::from(id.step)) else {
            return;
        };
        if step.gang {
            let unplaced: Vec<u32> = self.unplaced(id, 0).collect();
            self.place_gang(at, id, step, pool, &unplaced, pass);
            return;
        }
        let mut next = 0;
        loop {
            let first = self.unplaced(id, next).next();
            let Some(index) = first else {
                return;
            };
            if !self.place_task(at, id.task(index), step, pool, pass) {
                return;
            }
            next = index + 1;
        }
    }

    /// Returns the indexes, from `first` on, of a step's tasks that are not done and have no run.
    fn unplaced(&self, id: StepId, first: u32) -> impl Iterator<Item = u32> {
        let step = self.step_tasks(id).into_iter();
        step.flat_map(move |s| s.unplaced.range(first..).copied())
    }

    fn step_tasks(&self, id: StepId) -> Option<&StepTasks> {
        let steps = self.jobs.get(&id.job)?.occurrences.get(&id.occurrence)?;
        steps.get(usize::from(id.step))
    }

    /// Places one task. Returns `false` if there is no room for it on a worker or in the team's
    /// quota, in which case there is none for another task of the step either.
    fn place_task(
        &mut self,
        at: Timestamp,
        id: TaskId,
        step: &Step,
        pool: &Name,
        pass: &mut PlacementPass,
    ) -> bool {
        let team = self.team_of(id.job);
        self.workers.update(at.now, &mut self.placement);
        if !self.within_quota(team.as_ref(), step.resources, pass) {
            self.add_demand(at.now, StepId::of(id), pool, pass);
            return false;
        }
        let Some(worker) = self.select_worker(at.now, id, step, pool, pass) else {
            if self.needs_ticket(at.now, StepId::of(id)) {
                self.await_tickets(at.now, StepId::of(id), pool, pass);
            }
            if step.long_running {
                self.reserve_worker(at.now, id, step, pool, pass);
            } else if self.fits_alike(at.now, StepId::of(id), step) {
                pass.add_unplaceable(pool, step.allocation());
            }
            return false;
        };
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let number = task.map_or(1, |t| t.last_run + 1);
        self.schedule_start(at, id, step, worker, number);
        true
    }

    /// Places all tasks of a gang in one pass, or none of them. Their runs get the same number and
    /// resume from the same checkpoint.
    fn place_gang(
        &mut self,
        at: Timestamp,
        id: StepId,
        step: &Step,
        pool: &Name,
        unplaced: &[u32],
        pass: &mut PlacementPass,
    ) {
        if unplaced.len() < step.count as usize {
            return;
        }
        let tasks: Vec<TaskId> = unplaced.iter().map(|&i| id.task(i)).collect();
        let task_state = |t: &TaskId| self.jobs.get(&id.job).and_then(|j| j.task(*t));
        let runs = tasks.iter().filter_map(task_state).map(|t| t.last_run);
        let number = runs.max().unwrap_or(0) + 1;
        let checkpoint = tasks
            .iter()
            .filter_map(task_state)
            .filter_map(|t| t.checkpoint.clone())
            .max();
        let team = self.team_of(id.job);
        self.workers.update(at.now, &mut self.placement);
        let resources = step.resources.scaled(tasks.len() as f64);
        if !self.within_quota(team.as_ref(), resources, pass) {
            self.add_demand(at.now, id, pool, pass);
            return;
        }
        let unplaced_step = UnplacedStep {
            id,
            step,
            pool,
            tickets: TicketCheck::Held,
        };
        if !self.has_room(at.now, unplaced_step, tasks.len(), pass) {
            if self.needs_ticket(at.now, id) {
                self.await_tickets(at.now, id, pool, pass);
            }
            return;
        }
        let mut placed: Vec<RunId> = Vec::new();
        let deferred_len = self.deferred_len();
        let kept_apart = pass.kept_apart.get();
        for &task in &tasks {
            self.workers.update(at.now, &mut self.placement);
            let Some(worker) = self.select_worker(at.now, task, step, pool, pass) else {
                for run in placed {
                    self.undo_start(run);
                }
                self.truncate_deferred(deferred_len, false);
                pass.kept_apart.set(kept_apart);
                return;
            };
            if let Some(t) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(task)) {
                t.checkpoint.clone_from(&checkpoint);
            }
            self.schedule_start(at, task, step, worker, number);
            placed.push(RunId { task, number });
        }
        self.truncate_deferred(deferred_len, true);
    }

    /// Removes a run that was placed in this pass and is in no batch yet.
    fn undo_start(&mut self, id: RunId) {
        self.remove_run(id);
        let job = self.jobs.get_mut(&id.task.job);
        if let Some(task) = job.and_then(|j| j.task_mut(id.task)) {
            task.last_run = id.number - 1;
        }
    }

    /// Adds a run on a worker, and defers its start request until the run is stored.
    fn schedule_start(
        &mut self,
        at: Timestamp,
        id: TaskId,
        step: &Step,
        worker: Name,
        number: u32,
    ) {
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
            listed: false,
            phase: Phase::Persisting,
            since: at.now,
            token: 0,
            progress: 0,
            metric: 0,
            cpu_percent: 100,
            stop_requested: false,
        };
        self.add_run(id, run);
        self.mark_dirty(id.job);
        if step.long_running {
            self.log_event("long_running_task_scheduled", id, || {
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

    /// Returns the team of a job.
    fn team_of(&self, id: JobId) -> Option<Name> {
        self.jobs.get(&id).and_then(|j| j.job.team.clone())
    }

    /// Returns whether the quota of a team has room for a task that needs `resources`. A job without
    /// a team has no quota.
    fn within_quota(
        &self,
        team: Option<&Name>,
        resources: Resources,
        pass: &PlacementPass,
    ) -> bool {
        let Some(team) = team else {
            return true;
        };
        let held = pass.held_quotas.get(team).copied().unwrap_or_default();
        self.teams.get(team).is_some_and(|team| {
            let mut total = team.used;
            total.add(held);
            total.add(resources);
            team.quota.is_some_and(|quota| total.within_limit(quota))
        })
    }

    /// Asks for tickets for a step that has too few to be placed. It keeps its quota meanwhile, and is tried
    /// again in the next pass even if nothing has changed.
    fn await_tickets(&mut self, now: Instant, id: StepId, pool: &Name, pass: &mut PlacementPass) {
        self.settled = false;
        self.query_policy(now, id);
        self.add_demand(now, id, pool, pass);
    }

    /// Adds the waiting tasks of a step to the pending resources of their team, if workers could take one
    /// of them now, or all of a gang. Otherwise this shard would be granted a part of the team's limit
    /// that it can't use and that other shards lack.
    fn add_demand(&mut self, now: Instant, id: StepId, pool: &Name, pass: &mut PlacementPass) {
        let Some(job) = self.jobs.get(&id.job).map(|j| Arc::clone(&j.job)) else {
            return;
        };
        let Some(step) = job.steps.get(usize::from(id.step)) else {
            return;
        };
        let Some(team) = &job.team else {
            return;
        };
        let waiting = self.step_tasks(id).map_or(0, |s| s.unplaced.len());
        let (unit, units, unit_tasks) = match step.gang {
            true => (step.resources.scaled(waiting as f64), 1, waiting),
            false => (step.resources, waiting, 1),
        };
        let unplaced_step = UnplacedStep {
            id,
            step,
            pool,
            tickets: TicketCheck::Obtainable,
        };
        if self.has_room(now, unplaced_step, unit_tasks, pass) {
            self.add_pending(team, unit, units, pass);
        } else if self.tickets.contains_key(&id) {
            // While its quota holds the step back, nothing else asks for its tickets again.
            self.settled = false;
            self.query_policy(now, id);
        }
    }

    /// Adds the resources of `waiting` tasks or gangs, each of which needs `unit`, to a team's pending
    /// resources, unless one of them needs more than the team's limit: the quota never grows to it.
    ///
    /// While one of more than half of the limit waits, smaller ones of the team could use the quota
    /// up for ever, so that the rest of the pass leaves room for it.
    fn add_pending(
        &mut self,
        name: &Name,
        unit: Resources,
        waiting: usize,
        pass: &mut PlacementPass,
    ) {
        let team = self.teams.entry(Arc::clone(name)).or_default();
        if let Some(limit) = team.limit {
            if !unit.within_limit(limit) {
                return;
            }
            if !unit.scaled(2.0).within_limit(limit) {
                pass.held_quotas.entry(Arc::clone(name)).or_insert(unit);
            }
        }
        team.pending.add(unit.scaled(waiting as f64));
        team.next_unit.get_or_insert(unit);
    }

    /// Returns whether workers could take `count` tasks of a step now, apart from the quota.
    ///
    /// A new owner has reached no worker yet. For the length of a lease, within which it has to, a
    /// pool without schedulable workers counts as having room, unless it has workers in evacuated
    /// zones.
    fn has_room(
        &self,
        now: Instant,
        unplaced_step: UnplacedStep<'_>,
        count: usize,
        pass: &mut PlacementPass,
    ) -> bool {
        let UnplacedStep { id, step, pool, .. } = unplaced_step;
        if self.workers.capacity(pool).capacity == 0 {
            let is_new = now < self.owned_since + self.timings.lease;
            return is_new && !self.workers.has_evacuated(pool);
        }
        let allocation = step.allocation();
        if pass.is_unplaceable(pool, allocation) {
            return false;
        }
        let siblings = match step.max_per_worker {
            Some(_) => self.siblings(id),
            None => BTreeMap::new(),
        };
        let mut found = 0;
        for (name, w) in self.candidates(now, unplaced_step, &siblings, pass) {
            let fitting = w.info.capacity.count_fitting(w.used, allocation);
            let placed = siblings.get(name).copied().unwrap_or(0);
            let allowed = step.max_per_worker.map(|max| max.saturating_sub(placed));
            found += allowed.map_or(fitting, |allowed| fitting.min(allowed.into()));
            if found >= count as u64 {
                return true;
            }
        }
        if found == 0 && self.fits_alike(now, id, step) {
            pass.add_unplaceable(pool, allocation);
        }
        false
    }

    /// Returns whether the workers for a step are limited by their free resources alone. If its tasks fit
    /// on none, no other tasks of the same size do.
    fn fits_alike(&self, now: Instant, id: StepId, step: &Step) -> bool {
        step.required_label.is_none()
            && step.max_per_worker.is_none()
            && !self.needs_ticket(now, id)
    }

    /// Returns the workers that could take a task of a step now, those with the least free processor
    /// time first, as of the last [`Workers::update`](crate::workers::Workers::update).
    fn candidates<'a>(
        &'a self,
        now: Instant,
        unplaced_step: UnplacedStep<'a>,
        siblings: &'a BTreeMap<Name, u32>,
        pass: &'a PlacementPass,
    ) -> impl Iterator<Item = (&'a Name, &'a Worker)> {
        let UnplacedStep { id, step, pool, .. } = unplaced_step;
        let allocation = step.allocation();
        let needs_ticket = self.needs_ticket(now, id);
        let tickets = self.tickets.get(&id);
        let has_ticket = move |worker: &Name| match unplaced_step.tickets {
            TicketCheck::Held => tickets.is_some_and(|t| t.for_worker(now, worker).is_some()),
            TicketCheck::Obtainable => tickets.is_none_or(|t| t.is_obtainable(now, worker)),
        };
        let workers = self.workers.by_free(pool, allocation.cpu);
        workers.filter(move |(name, w)| {
            pass.checked_workers.set(pass.checked_workers.get() + 1);
            (!needs_ticket || has_ticket(name))
                && self.is_eligible(now, w, step, pool, siblings)
                && !pass.reserved_workers.contains(*name)
                && w.info.capacity.fits(w.used, allocation)
        })
    }

    /// Selects the worker for a task among those that are eligible and have room, as of the last
    /// [`Workers::update`](crate::workers::Workers::update).
    ///
    /// It prefers the workers with the greatest [`Suitability`]. Of those that differ only in the images
    /// there, it also determines which one it would choose without regard to these, to count the tasks
    /// that are kept apart.
    fn select_worker(
        &self,
        now: Instant,
        id: TaskId,
        step: &Step,
        pool: &Name,
        pass: &PlacementPass,
    ) -> Option<Name> {
        let allocation = step.allocation();
        if pass.is_unplaceable(pool, allocation) {
            return None;
        }
        let has_rules = step.max_per_worker.is_some() || step.same_rack || step.max_unavailable > 0;
        let siblings = match has_rules || step.long_running {
            true => self.siblings(StepId::of(id)),
            false => BTreeMap::new(),
        };
        let failed_on = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let failed_on = failed_on.and_then(|t| t.failed_on.as_ref());
        let unplaced_step = UnplacedStep {
            id: StepId::of(id),
            step,
            pool,
            tickets: TicketCheck::Held,
        };
        let mut candidates = self.candidates(now, unplaced_step, &siblings, pass);
        let placed = |name: &Name| siblings.get(name).copied().unwrap_or(0);
        // The first task of such a step determines the rack of the others. Any choice that depends on
        // images could lead to a rack with less room.
        let chooses_rack = step.same_rack && step.count > 1 && siblings.is_empty();
        let suitability = |name: &Name, w: &Worker| {
            let near_data = step.data_rack.is_none() || w.rack() == step.data_rack.as_ref();
            let in_same_rack = !step.same_rack
                || siblings.is_empty()
                || siblings
                    .keys()
                    .filter_map(|n| self.workers.get(n))
                    .any(|s| s.rack() == w.rack());
            Suitability {
                near_data,
                in_same_rack,
                within_budget: step.max_unavailable == 0 || placed(name) < step.max_unavailable,
                not_failed: failed_on != Some(name),
                step_runs: Reverse(if step.long_running { placed(name) } else { 0 }),
                apart: chooses_rack || self.image_slowdown.suits(step.image.as_ref(), name),
            }
        };
        // Short tasks go to the worker with the least free processor time, and long-running tasks
        // of several steps share workers, so that other workers become idle and can be moved to
        // pools that need them.
        if step.long_running {
            let (mut best, mut nearest) = (None, None);
            for (name, w) in candidates {
                let free = w.info.capacity.cpu.saturating_sub(w.used.cpu);
                let packing = (self.has_long_running(w), free);
                let suits = suitability(name, w);
                best = best.max(Some((suits, packing, name)));
                nearest = nearest.max(Some((suits.anywhere(), packing, name)));
            }
            let best = best.map(|(_, _, name)| name);
            pass.count_kept_apart(best, nearest.map(|(_, _, name)| name));
            return best.map(Arc::clone);
        }
        // The candidates have ascending free processor time.
        let mut best: Option<(Suitability, &Name)> = None;
        let mut nearest: Option<(Suitability, &Name)> = None;
        while best.is_none_or(|(suits, _)| suits != Suitability::BEST)
            && let Some((name, w)) = candidates.next()
        {
            let suits = suitability(name, w);
            if best.is_none_or(|(b, _)| suits > b) {
                best = Some((suits, name));
            }
            if nearest.is_none_or(|(n, _)| suits.anywhere() > n) {
                nearest = Some((suits.anywhere(), name));
            }
        }
        let best = best.map(|(_, name)| name);
        pass.count_kept_apart(best, nearest.map(|(_, name)| name));
        best.map(Arc::clone)
    }

    /// Returns whether a job with long-running tasks has a run on a worker.
    fn has_long_running(&self, worker: &Worker) -> bool {
        let mut jobs = worker
            .runs
            .iter()
            .filter_map(|run| self.jobs.get(&run.task.job));
        jobs.any(|job| job.long_running)
    }

    /// Returns whether another worker has room for a task now, as of the last
    /// [`Workers::update`](crate::workers::Workers::update).
    ///
    /// The task's own worker has to be unschedulable, for example because it is being drained; it
    /// would be counted otherwise.
    pub(crate) fn fits_elsewhere(&self, now: Instant, id: TaskId) -> bool {
        let job = self.jobs.get(&id.job).map(|j| Arc::clone(&j.job));
        job.is_some_and(|job| {
            let step = job.steps.get(usize::from(id.step));
            let pass = PlacementPass::default();
            step.is_some_and(|s| {
                self.select_worker(now, id, s, &job.queue.pool, &pass)
                    .is_some()
            })
        })
    }

    /// Returns whether a worker may run tasks of a step, apart from its free resources and tickets.
    fn is_eligible(
        &self,
        now: Instant,
        worker: &Worker,
        step: &Step,
        pool: &Name,
        siblings: &BTreeMap<Name, u32>,
    ) -> bool {
        let has_label = |label: &Name| worker.info.labels.contains(label);
        let placed = siblings.get(&worker.info.id).copied().unwrap_or(0);
        worker.is_schedulable(now)
            && worker.info.pool == *pool
            && step.required_label.as_ref().is_none_or(has_label)
            && step.max_per_worker.is_none_or(|max| placed < max)
    }

    /// Returns how many runs of a step there are on each worker.
    fn siblings(&self, id: StepId) -> BTreeMap<Name, u32> {
        let mut counts = BTreeMap::new();
        let Some(step) = self.step_tasks(id) else {
            return counts;
        };
        for run in step.tasks.iter().flat_map(|t| &t.runs) {
            *counts.entry(Arc::clone(&run.worker)).or_insert(0) += 1;
        }
        counts
    }

    /// Reserves the eligible worker with the most free resources for a long-running task that fits
    /// on no worker. Otherwise short tasks could take the free resources for ever.
    ///
    /// It reserves only a worker on which the task fits once the short tasks there have ended. Any
    /// other would stay reserved for ever, and lost for all other tasks.
    fn reserve_worker(
        &mut self,
        now: Instant,
        id: TaskId,
        step: &Step,
        pool: &Name,
        pass: &mut PlacementPass,
    ) {
        let allocation = step.allocation();
        if includes_any(&pass.unreservable, pool, allocation) {
            return;
        }
        let siblings = match step.max_per_worker {
            Some(_) => self.siblings(StepId::of(id)),
            None => BTreeMap::new(),
        };
        let needs_ticket = self.needs_ticket(now, StepId::of(id));
        let tickets = self.tickets.get(&StepId::of(id));
        let mut best: Option<(u64, u64, &Name)> = None;
        for (name, w) in self.workers.by_free(pool, 0).rev() {
            let free_cpu = w.info.capacity.cpu.saturating_sub(w.used.cpu);
            if best.is_some_and(|(most, _, _)| free_cpu < most) {
                break;
            }
            let ticket = tickets.and_then(|t| t.for_worker(now, name));
            if self.is_eligible(now, w, step, pool, &siblings)
                && (!needs_ticket || ticket.is_some())
                && !pass.reserved_workers.contains(name)
                && self.could_fit(w, allocation)
            {
                let free_memory = w.info.capacity.memory.saturating_sub(w.used.memory);
                best = best.max(Some((free_cpu, free_memory, name)));
            }
        }
        if let Some((_, _, name)) = best {
            pass.reserved_workers.insert(Arc::clone(name));
        } else if self.fits_alike(now, StepId::of(id), step) {
            let unreservable = pass.unreservable.entry(Arc::clone(pool));
            unreservable.or_default().push(allocation);
        }
    }

    /// Returns whether a worker has room for an allocation once only the long-running tasks are left
    /// on it.
    fn could_fit(&self, worker: &Worker, allocation: Resources) -> bool {
        let capacity = worker.info.capacity;
        if !capacity.fits(Resources::default(), allocation) {
            return false;
        }
        let mut kept = Resources::default();
        for run in &worker.runs {
            let job = self.jobs.get(&run.task.job);
            let step = job.and_then(|j| j.job.steps.get(usize::from(run.task.step)));
            let is_stopping = self.run(*run).is_some_and(|r| r.stop_requested);
            if let Some(step) = step.filter(|s| s.long_running && !is_stopping) {
                kept.add(step.allocation());
            }
        }
        capacity.fits(kept, allocation)
    }

    /// Returns the allocation of a task; zero for an unknown task.
    pub(crate) fn allocation_of(&self, id: TaskId) -> Resources {
        let job = self.jobs.get(&id.job);
        let step = job.and_then(|j| j.job.steps.get(usize::from(id.step)));
        step.map(Step::allocation).unwrap_or_default()
    }
}
