//! The in-memory state of a job: its tasks, their runs and the job's rank in the placement order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::PlacementStats;
use crate::job::Job;
use crate::job::JobState;
use crate::job::Name;
use crate::job::Resources;
use crate::job::TaskId;
use crate::job_memory::JobMemory;
use crate::job_memory::TASK_BYTES;
use crate::occurrence_set::OccurrenceSet;
use crate::records::JobProgress;
use crate::records::Record;
use crate::records::StoredRun;
use crate::records::StoredTask;
use crate::records::TASKS_PER_RECORD;
use crate::records::progress_record;
use crate::records::tasks_record;
use crate::remaining::Remaining;
use crate::remaining::RemainingWork;

/// The sort key of a job in the placement order; the lowest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    urgency: Urgency,
    /// The queue's priority; zero is the most urgent.
    priority: u32,
    /// The remaining work in tenths of the job's total work, rounded up.
    remaining_tenths: u64,
    /// The critical path of the steps that are not done.
    remaining_path: Duration,
    deadline: Instant,
}

/// The maximum number of tasks in the occurrences of a job that have begun and are not done. Further
/// occurrences that are due begin when these are done, so that the work of an owner and its memory
/// don't grow with the number of occurrences that are overdue.
///
/// It is twice [`MAX_TASKS`](crate::MAX_TASKS), so that occurrences of any size can overlap.
const MAX_OPEN_TASKS: u64 = 2 * crate::job::MAX_TASKS;

/// The size of a job in bytes above which its record is replaced once it has finished. The jobs of
/// ordinary callers have 1 to 2 kB, for which another record would cost more than it saves.
const LARGE_JOB: usize = 4_096;

/// A job is late after its objective, and expires after its objective times this factor.
pub(crate) const EXPIRY_FACTOR: u32 = 3;

/// The urgency of a job; the variants are sorted from the most to the least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// The job has tasks that run until it is cancelled.
    LongRunning,
    /// The job can be completed within its objective, or is repeated.
    OnTime,
    /// The job will miss its objective, and its result is worth less.
    Late,
    /// The job was submitted over its team's share.
    OverShare,
    /// The job is older than [`EXPIRY_FACTOR`] times its objective, and its result is worth
    /// nothing.
    Expired,
}

impl Urgency {
    /// Returns whether the pool should have capacity for jobs of this urgency.
    pub(crate) fn needs_capacity(self) -> bool {
        self < Self::OverShare
    }
}

/// What the rank of a job is computed from, apart from the time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankBasis {
    long_running: bool,
    repeated: bool,
    over_share: bool,
    accepted_at: Instant,
    objective: Duration,
    priority: u32,
    remaining_tenths: u64,
    remaining_path: Duration,
}

impl RankBasis {
    /// Returns the urgency of the job.
    ///
    /// A job that can't be completed within its objective any more is placed after those that can,
    /// and a job over its team's share after both.
    pub(crate) fn urgency(&self, now: Instant) -> Urgency {
        let age = now.saturating_duration_since(self.accepted_at);
        if self.long_running {
            Urgency::LongRunning
        } else if self.repeated {
            Urgency::OnTime
        } else if age > self.objective * EXPIRY_FACTOR {
            Urgency::Expired
        } else if self.over_share {
            Urgency::OverShare
        } else if age + self.remaining_path <= self.objective {
            Urgency::OnTime
        } else {
            Urgency::Late
        }
    }

    /// Returns the position of the job in the placement order; the lowest rank is placed first.
    ///
    /// Within an urgency and priority, the job with the smaller remaining part of its work goes
    /// first, then the one with the shorter remaining critical path. With ordering by deadline, all
    /// jobs of an overloaded pool would be served at the last moment and miss their deadlines.
    pub(crate) fn rank(&self, now: Instant) -> Rank {
        Rank {
            urgency: self.urgency(now),
            priority: self.priority,
            remaining_tenths: self.remaining_tenths,
            remaining_path: self.remaining_path,
            deadline: self.accepted_at + self.objective,
        }
    }
}

/// The progress of starting a run, as far as the owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The run is being stored. No start request was sent.
    Persisting,
    /// The start request was sent and has no response yet.
    Starting,
    /// The start request got no response and may still be carried out, until the worker confirms a
    /// stop of the run.
    Unresolved {
        /// When the worker confirmed a stop, after which the run can't start any more.
        stop_confirmed: Option<Instant>,
    },
    /// The worker confirmed the start or reported the run.
    Running {
        /// When the worker confirmed the start, first reported the run or confirmed its stop.
        confirmed: Instant,
    },
    /// The run was stored by an earlier owner of the shard. Whether it is executing is unknown.
    Recovered,
}

/// A run of a task that may be executing.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The number of the run, unique and increasing within its task.
    pub(crate) number: u32,
    pub(crate) worker: Name,
    /// The incarnation of the worker that the run belongs to; until it is `listed`, the latest one
    /// that may carry it out.
    pub(crate) incarnation: u64,
    /// Whether a report of `incarnation` has listed the run. The response to a start doesn't name
    /// the incarnation.
    pub(crate) listed: bool,
    pub(crate) phase: Phase,
    /// When the run was placed or recovered; once its start request is sent, the time of that.
    pub(crate) since: Instant,
    /// The fencing token of its start request; zero before that is sent.
    pub(crate) token: u64,
    /// The progress that the worker last reported, in percent.
    pub(crate) progress: u32,
    /// See [`RunStatus::metric`](crate::RunStatus::metric).
    pub(crate) metric: u64,
    /// The processor share that a best-effort task may use, in percent.
    pub(crate) cpu_percent: u32,
    /// Whether the owner has decided to stop the run.
    pub(crate) stop_requested: bool,
}

/// The state of one task of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    /// The number of failed runs.
    pub(crate) failures: u32,
    /// The highest run number, or zero if the task was never placed.
    pub(crate) last_run: u32,
    /// The numbers of the runs that are considered lost without a reported outcome. Their workers
    /// may still report one.
    pub(crate) lost_runs: Vec<u32>,
    /// The newest checkpoint, from which the next run resumes.
    pub(crate) checkpoint: Option<Name>,
    /// The worker of the last failed run.
    pub(crate) failed_on: Option<Name>,
    pub(crate) runs: Vec<Run>,
}

impl Task {
    /// Adds a run. Most tasks have one at a time.
    pub(crate) fn push_run(&mut self, run: Run) {
        self.runs.reserve_exact(1);
        self.runs.push(run);
    }

    pub(crate) fn run_mut(&mut self, number: u32) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.number == number)
    }
}

/// The tasks of one step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepTasks {
    pub(crate) tasks: Vec<Task>,
    /// The number of tasks that are not done.
    unfinished: u32,
    /// The indexes of the tasks that are not done and have no run.
    pub(crate) unplaced: BTreeSet<u32>,
}

impl StepTasks {
    fn new(count: u32) -> Self {
        Self {
            tasks: vec![Task::default(); count as usize],
            unfinished: count,
            unplaced: (0..count).collect(),
        }
    }

    fn done(count: u32) -> Self {
        let task = Task {
            done: true,
            ..Task::default()
        };
        Self {
            tasks: vec![task; count as usize],
            unfinished: 0,
            unplaced: BTreeSet::new(),
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.unfinished == 0
    }
}

/// An accepted job with the state of its tasks, kept until the retention time after its end.
#[derive(Clone, Debug)]
pub(crate) struct TrackedJob {
    pub(crate) job: Arc<Job>,
    pub(crate) state: JobState,
    /// The newest state that is stored. Callers get this one, so that a state they have seen is not
    /// lost with the owner.
    pub(crate) stored_state: JobState,
    /// When the job was accepted, on this owner's monotonic clock. `JobProgress::accepted_at` is
    /// the time since the Unix epoch, like `accepted_unix`.
    pub(crate) accepted_at: Instant,
    /// The same time, since the Unix epoch.
    pub(crate) accepted_unix: Duration,
    /// When the job reached a final state, on both clocks. `JobProgress::finished_at` has only the
    /// time since the Unix epoch.
    pub(crate) finished_at: Option<(Instant, Duration)>,
    /// The steps of each occurrence that has begun; cleared once a final job has no runs left.
    pub(crate) occurrences: BTreeMap<u32, Vec<StepTasks>>,
    /// The result of [`Job::objective`].
    pub(crate) objective: Duration,
    /// The result of [`Job::is_long_running`].
    pub(crate) long_running: bool,
    /// The result of [`Job::work`].
    work: u64,
    /// The result of [`Job::approximate_size`].
    size: usize,
    /// The memory that the shard counts for the job, in bytes.
    pub(crate) counted_bytes: usize,
    /// Whether further occurrences wait for memory, until tasks of an earlier one have ended.
    lacks_memory: bool,
    remaining: RemainingWork,
    /// The occurrences before this one have begun.
    next_occurrence: u32,
    /// The occurrences whose tasks are all done.
    finished: OccurrenceSet,
    /// The steps with unplaced tasks whose dependencies are done, as occurrence and step.
    pub(crate) waiting: BTreeSet<(u32, u16)>,
    /// Whether the job was over its team's share when it was submitted.
    pub(crate) over_share: bool,
    /// The parts of the job with task records that are stored or in a batch that is being stored, with
    /// hashes of their values. Zero stands for a value that an earlier owner stored.
    pub(crate) stored_parts: BTreeMap<u32, u64>,
    /// Whether the job's own record is stored or in a batch that is being stored.
    pub(crate) persisted: bool,
}

impl TrackedJob {
    pub(crate) fn new(job: Arc<Job>, now: Instant, unix: Duration) -> Self {
        Self {
            objective: job.objective(),
            long_running: job.is_long_running(),
            work: job.work(),
            size: job.approximate_size(),
            counted_bytes: 0,
            lacks_memory: false,
            remaining: RemainingWork::default(),
            next_occurrence: 0,
            finished: OccurrenceSet::default(),
            waiting: BTreeSet::new(),
            job,
            state: JobState::Queued,
            stored_state: JobState::Queued,
            accepted_at: now,
            accepted_unix: unix,
            finished_at: None,
            occurrences: BTreeMap::new(),
            over_share: false,
            stored_parts: BTreeMap::new(),
            persisted: false,
        }
    }

    /// Returns the number of occurrences, one for a job that is not repeated.
    pub(crate) fn occurrence_count(&self) -> u32 {
        self.job.repeat.map_or(1, |r| r.count.max(1))
    }

    /// Returns the scheduled time of an occurrence, as time since the Unix epoch.
    pub(crate) fn scheduled_unix(&self, occurrence: u32) -> Duration {
        match self.job.repeat {
            Some(r) => Duration::from_millis(
                r.start_ms
                    .saturating_add(r.interval_ms.saturating_mul(occurrence.into())),
            ),
            None => Duration::ZERO,
        }
    }

    /// Returns the memory that the job takes, in bytes. The tasks of an unfinished job count before
    /// they are created, so that a job that was accepted can run.
    pub(crate) fn memory(&self) -> usize {
        let least = usize::from(!self.state.is_final());
        let occurrences = self.occurrences.len().max(least);
        let tasks = usize::try_from(self.tasks_per_occurrence()).unwrap_or(usize::MAX);
        JobMemory::of_tasks(self.size, occurrences.saturating_mul(tasks))
    }

    /// Creates the tasks of the occurrences that are due, as far as [`MAX_OPEN_TASKS`] and `free` bytes
    /// of memory allow. One occurrence always begins.
    pub(crate) fn create_due_tasks(
        &mut self,
        unix: Duration,
        free: usize,
        stats: &mut PlacementStats,
    ) {
        if self.state.is_final() {
            return;
        }
        let tasks = usize::try_from(self.tasks_per_occurrence()).unwrap_or(usize::MAX);
        let needed = tasks.saturating_mul(TASK_BYTES);
        let mut free = free;
        while self.next_due().is_some_and(|due| due <= unix) {
            if !self.occurrences.is_empty() {
                if needed > free {
                    self.lacks_memory = true;
                    return;
                }
                free -= needed;
            }
            self.create_occurrence(self.next_occurrence, stats);
            self.next_occurrence += 1;
        }
    }

    /// Returns whether another occurrence may begin.
    fn may_begin_occurrence(&self) -> bool {
        let open = self.remaining.open_occurrences() as u64;
        open == 0 || (open + 1).saturating_mul(self.tasks_per_occurrence()) <= MAX_OPEN_TASKS
    }

    fn tasks_per_occurrence(&self) -> u64 {
        self.job.steps.iter().map(|s| u64::from(s.count)).sum()
    }

    /// Restores the finished occurrences, as [`JobProgress::finished`] has them.
    pub(crate) fn restore_finished(&mut self, ranges: &[(u32, u32)]) {
        self.finished = OccurrenceSet::from_ranges(ranges);
    }

    /// Returns the number of occurrences that have begun and have not finished.
    pub(crate) fn open_occurrences(&self) -> usize {
        self.remaining.open_occurrences()
    }

    /// Returns whether all tasks of an occurrence are done.
    pub(crate) fn is_finished(&self, occurrence: u32) -> bool {
        self.finished.contains(occurrence)
    }

    /// Creates the tasks of a finished occurrence, some of which may still have runs.
    pub(crate) fn create_finished(&mut self, occurrence: u32) {
        let steps = self.job.steps.iter().map(|s| StepTasks::done(s.count));
        let steps = steps.collect();
        self.occurrences.entry(occurrence).or_insert(steps);
    }

    /// Drops the tasks of an occurrence if all of them are done and none has a run that may be
    /// executing.
    pub(crate) fn drop_finished(&mut self, occurrence: u32) {
        self.lacks_memory = false;
        if !self.finished.contains(occurrence) {
            return;
        }
        let steps = self.occurrences.get(&occurrence).into_iter().flatten();
        if steps.flat_map(|s| &s.tasks).all(|t| t.runs.is_empty()) {
            self.occurrences.remove(&occurrence);
        }
    }

    /// Creates the tasks of an occurrence unless they exist or are all done.
    pub(crate) fn create_occurrence(&mut self, occurrence: u32, stats: &mut PlacementStats) {
        if self.occurrences.contains_key(&occurrence) || self.finished.contains(occurrence) {
            return;
        }
        let steps = self.job.steps.iter().map(|s| StepTasks::new(s.count));
        self.occurrences.insert(occurrence, steps.collect());
        self.update_waiting(occurrence);
        self.update_remaining(occurrence, stats);
    }

    /// Marks a task as done. Has no effect on an unknown task.
    pub(crate) fn mark_done(&mut self, id: TaskId, stats: &mut PlacementStats) {
        let Some(task) = self.task_mut(id).filter(|t| !t.done) else {
            return;
        };
        task.done = true;
        let steps = self.occurrences.get_mut(&id.occurrence);
        if let Some(step) = steps.and_then(|s| s.get_mut(usize::from(id.step))) {
            step.unfinished -= 1;
        }
        self.update_unplaced(id);
        self.update_remaining(id.occurrence, stats);
    }

    /// Updates whether a task and its step wait for a place, after a run was added to the task or
    /// removed, or the task is done.
    pub(crate) fn update_unplaced(&mut self, id: TaskId) {
        let steps = self.occurrences.get_mut(&id.occurrence);
        let Some(step) = steps.and_then(|s| s.get_mut(usize::from(id.step))) else {
            return;
        };
        let task = step.tasks.get(id.index as usize);
        match task.is_some_and(|t| !t.done && t.runs.is_empty()) {
            true => step.unplaced.insert(id.index),
            false => step.unplaced.remove(&id.index),
        };
        self.update_waiting(id.occurrence);
    }

    /// Updates which steps of an occurrence have tasks that wait for a place.
    fn update_waiting(&mut self, occurrence: u32) {
        let Some(steps) = self.occurrences.get(&occurrence) else {
            return;
        };
        let is_done = |a: &u16| steps.get(usize::from(*a)).is_some_and(StepTasks::is_done);
        for ((index, step), tasks) in (0u16..).zip(&self.job.steps).zip(steps) {
            match !tasks.unplaced.is_empty() && step.depends_on.iter().all(is_done) {
                true => self.waiting.insert((occurrence, index)),
                false => self.waiting.remove(&(occurrence, index)),
            };
        }
    }

    /// Returns when the next occurrence is due, as time since the Unix epoch; `None` after the last,
    /// and while too many tasks of earlier ones are open.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        let remains = self.next_occurrence < self.occurrence_count();
        (remains && !self.lacks_memory && self.may_begin_occurrence())
            .then(|| self.scheduled_unix(self.next_occurrence))
    }

    /// Computes anew what remains of an occurrence, after its tasks were created or one is done.
    fn update_remaining(&mut self, occurrence: u32, stats: &mut PlacementStats) {
        let Some(steps) = self.occurrences.get(&occurrence) else {
            return;
        };
        stats.estimates += 1;
        if steps.iter().all(StepTasks::is_done) {
            self.remaining.remove(occurrence);
            self.finished.insert(occurrence);
            return;
        }
        let mut remaining = Remaining::default();
        let mut finish_times: Vec<Duration> = Vec::with_capacity(steps.len());
        for (step, tasks) in self.job.steps.iter().zip(steps) {
            let estimate = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
            let per_task = step.resources.cpu.saturating_mul(estimate) / 1_000;
            let work = per_task.saturating_mul(tasks.unfinished.into());
            remaining.work = remaining.work.saturating_add(work);
            let ready_times = step
                .depends_on
                .iter()
                .filter_map(|&a| finish_times.get(usize::from(a)));
            let start = ready_times.max().copied().unwrap_or_default();
            finish_times.push(match tasks.is_done() {
                true => start,
                false => start + step.estimate,
            });
        }
        remaining.path = finish_times.into_iter().max().unwrap_or_default();
        self.remaining.set(occurrence, remaining);
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let steps = self.occurrences.get_mut(&id.occurrence)?;
        let step = steps.get_mut(usize::from(id.step))?;
        step.tasks.get_mut(usize::try_from(id.index).ok()?)
    }

    pub(crate) fn task(&self, id: TaskId) -> Option<&Task> {
        let steps = self.occurrences.get(&id.occurrence)?;
        let step = steps.get(usize::from(id.step))?;
        step.tasks.get(usize::try_from(id.index).ok()?)
    }

    /// Returns whether every task of every occurrence is done.
    pub(crate) fn is_done(&self) -> bool {
        self.finished.len() == self.occurrence_count() as usize
    }

    /// Returns the processor time of the tasks that are not done, in core-milliseconds; zero for a
    /// final job and for one with long-running tasks.
    pub(crate) fn remaining_work(&self) -> u64 {
        match self.state.is_final() || self.long_running {
            true => 0,
            false => self.remaining.work(),
        }
    }

    /// Returns the resources that the job needs to complete by its deadline.
    ///
    /// They are the remaining work divided by the time until the deadline, which counts as at least
    /// `min_horizon`, but no more than the job can use in parallel. Long-running tasks need their
    /// whole allocation.
    pub(crate) fn demand(&self, now: Instant, min_horizon: Duration) -> Resources {
        let mut long_running = Resources::default();
        let (mut rate, mut max_parallel) = (Resources::default(), Resources::default());
        if self.state.is_final() {
            return long_running;
        }
        let horizon = self
            .deadline()
            .saturating_duration_since(now)
            .max(min_horizon);
        for steps in self.occurrences.values() {
            for (step, tasks) in self.job.steps.iter().zip(steps) {
                let unfinished = tasks.unfinished;
                let allocation = step.allocation().scaled(f64::from(unfinished));
                if step.long_running {
                    long_running.add(allocation);
                } else {
                    rate.add(
                        allocation.scaled(step.estimate.as_secs_f64() / horizon.as_secs_f64()),
                    );
                    max_parallel = max_parallel.max(allocation);
                }
            }
        }
        long_running.add(rate.min(max_parallel));
        long_running
    }

    /// Returns the deadline, until which the job's result has its full worth.
    pub(crate) fn deadline(&self) -> Instant {
        self.accepted_at + self.objective
    }

    /// Returns after which time the job has expired, `None` if it can't expire.
    pub(crate) fn expiry(&self) -> Option<Instant> {
        let expires = !self.long_running && self.job.repeat.is_none();
        expires.then(|| self.accepted_at + self.objective * EXPIRY_FACTOR)
    }

    /// Returns the urgency of the job.
    pub(crate) fn urgency(&self, now: Instant) -> Urgency {
        self.rank_basis().urgency(now)
    }

    /// Returns what the rank of the job is computed from.
    pub(crate) fn rank_basis(&self) -> RankBasis {
        let remaining = self.remaining_work().saturating_mul(10);
        RankBasis {
            long_running: self.long_running,
            repeated: self.job.repeat.is_some(),
            over_share: self.over_share,
            accepted_at: self.accepted_at,
            objective: self.objective,
            priority: self.job.queue.priority,
            remaining_tenths: remaining.div_ceil(self.work.max(1)),
            remaining_path: self.remaining.path(),
        }
    }

    /// Returns what is stored of a large job once it has finished, in place of its steps and payload,
    /// which nobody reads any more. The next owner reads the records of all jobs.
    pub(crate) fn large_job_summary(&self) -> Option<Job> {
        let has_ended = self.state.is_final() && self.occurrences.is_empty();
        (has_ended && self.size > LARGE_JOB).then(|| Job {
            id: self.job.id,
            queue: self.job.queue.clone(),
            team: self.job.team.clone(),
            payload: Name::from(""),
            steps: Vec::new(),
            repeat: self.job.repeat,
        })
    }

    /// Returns the records that store the job's progress, as far as they have changed.
    ///
    /// The tasks of a job with many of them, over all its occurrences, are in records of their own, so
    /// that no record grows beyond what the store takes.
    pub(crate) fn progress_records(&mut self) -> Vec<Record> {
        let id = self.job.id;
        let mut progress = self.progress();
        let tasks = self.tasks_per_occurrence();
        let divided = tasks.saturating_mul(self.occurrence_count().into()) > TASKS_PER_RECORD;
        if !divided {
            return vec![progress_record(id, &progress, false)];
        }
        let mut parts: BTreeMap<u32, Vec<StoredTask>> = BTreeMap::new();
        for task in mem::take(&mut progress.tasks) {
            parts.entry(self.part_of(&task)).or_default().push(task);
        }
        let mut records = vec![progress_record(id, &progress, true)];
        let known: Vec<u32> = self.stored_parts.keys().copied().collect();
        for part in known {
            if !parts.contains_key(&part) {
                self.stored_parts.remove(&part);
                records.push(tasks_record(id, part, &[]));
            }
        }
        for (part, tasks) in parts {
            let record = tasks_record(id, part, &tasks);
            let mut hasher = DefaultHasher::new();
            record.value.hash(&mut hasher);
            let hash = hasher.finish();
            if self.stored_parts.insert(part, hash) != Some(hash) {
                records.push(record);
            }
        }
        records
    }

    /// Returns the number of the task record that holds a task.
    fn part_of(&self, task: &StoredTask) -> u32 {
        let earlier = self.job.steps.iter().take(usize::from(task.step));
        let earlier: u64 = earlier.map(|s| u64::from(s.count)).sum();
        let position = u64::from(task.occurrence) * self.tasks_per_occurrence()
            + earlier
            + u64::from(task.index);
        u32::try_from(position / TASKS_PER_RECORD).unwrap_or(u32::MAX)
    }

    /// Returns the job's progress, with all its tasks that are stored.
    pub(crate) fn progress(&self) -> JobProgress {
        // Of a final job and of a finished occurrence, only tasks with runs that may be executing
        // are stored: those runs have to be stopped and count against the team's quota.
        let is_stored = |t: &Task, is_finished: bool| match is_finished {
            true => !t.runs.is_empty(),
            false => t.last_run > 0,
        };
        let mut stored = Vec::new();
        for (&occurrence, steps) in &self.occurrences {
            let is_finished = self.state.is_final() || self.finished.contains(occurrence);
            for (step, tasks) in (0u16..).zip(steps) {
                let tasks = (0u32..).zip(&tasks.tasks);
                let tasks = tasks.filter(|(_, t)| is_stored(t, is_finished));
                stored.extend(tasks.map(|(index, t)| StoredTask {
                    occurrence,
                    step,
                    index,
                    done: t.done,
                    failures: t.failures,
                    last_run: t.last_run,
                    lost_runs: t.lost_runs.clone(),
                    runs: t.runs.iter().map(stored_run).collect(),
                }));
            }
        }
        JobProgress {
            state: self.state,
            accepted_at: self.accepted_unix,
            finished_at: self.finished_at.map(|(_, unix)| unix),
            tasks: stored,
            finished: match self.state.is_final() {
                true => Vec::new(),
                false => self.finished.ranges(),
            },
        }
    }
}

fn stored_run(run: &Run) -> StoredRun {
    StoredRun {
        number: run.number,
        worker: Arc::clone(&run.worker),
        incarnation: run.incarnation,
    }
}
