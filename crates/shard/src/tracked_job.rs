//! Jobs under way: which tasks run, which are done, and what may start next.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::job::JobState;
use crate::job::Name;
use crate::job::Resources;
use crate::job::TaskId;
use crate::records::JobProgress;
use crate::records::StoredRun;
use crate::records::StoredTask;

/// The place of a job in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    urgency: Urgency,
    /// The queue's priority; zero is the most urgent.
    priority: u32,
    /// The work that is left, in tenths of the job's work.
    tenths_left: u64,
    /// The longest chain of steps that are not done.
    remaining_path: Duration,
    deadline: Instant,
}

/// A job is late after its objective and worth nothing after this many times its objective.
pub(crate) const EXPIRY_FACTOR: u32 = 3;

/// How urgent a job is; the first is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Its tasks run until it is cancelled.
    LongRunning,
    /// It can be completed within its objective.
    OnTime,
    /// It will be late, and is worth less.
    Late,
    /// It is beyond its team's share.
    OverShare,
    /// It is worth nothing any more.
    Expired,
}

impl Urgency {
    /// Tells whether the pool has to provide for such a job.
    pub(crate) fn needs_capacity(self) -> bool {
        self < Self::OverShare
    }
}

/// How far a run is known to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It is being stored; no order was sent.
    Persisting,
    /// The order was sent and has no answer yet.
    Starting,
    /// The order has no answer and may still be carried out. `barred` is when the worker
    /// confirmed a stop, after which it can't start any more.
    Unresolved {
        /// When the worker confirmed a stop.
        stop_confirmed: Option<Instant>,
    },
    /// The worker confirmed or listed it.
    Running {
        /// When that was.
        confirmed: Instant,
    },
    /// An earlier owner recorded it; whether it runs is not known.
    Recovered,
}

/// One run of a task that may be under way.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u32,
    pub(crate) worker: Name,
    pub(crate) incarnation: u64,
    pub(crate) phase: Phase,
    pub(crate) since: Instant,
    pub(crate) progress: u32,
    pub(crate) metric: u64,
    /// The share at which a filling task works, in percent.
    pub(crate) cpu_percent: u32,
    /// Whether the owner wants it stopped.
    pub(crate) stop_requested: bool,
}

/// One task of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    pub(crate) failures: u32,
    pub(crate) last_run: u32,
    /// Runs that were taken for over without a listed end, which may still be listed.
    pub(crate) lost_runs: Vec<u32>,
    pub(crate) checkpoint: Option<Name>,
    pub(crate) failed_on: Option<Name>,
    pub(crate) runs: Vec<Run>,
}

impl Task {
    pub(crate) fn run_mut(&mut self, number: u32) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.number == number)
    }
}

/// The tasks of one step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepTasks {
    pub(crate) tasks: Vec<Task>,
}

impl StepTasks {
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.done)
    }
}

/// A job that the shard knows.
#[derive(Clone, Debug)]
pub(crate) struct TrackedJob {
    pub(crate) job: Arc<Job>,
    pub(crate) state: JobState,
    /// The newest state that is stored, which is what callers are told.
    pub(crate) stored_state: JobState,
    pub(crate) accepted: Instant,
    pub(crate) accepted_unix: Duration,
    pub(crate) finished: Option<(Instant, Duration)>,
    pub(crate) occurrences: BTreeMap<u32, Vec<StepTasks>>,
    pub(crate) objective: Duration,
    /// Whether its team had submitted more than its share.
    pub(crate) over_share: bool,
    /// Whether the submission itself is stored or in a batch that is being stored.
    pub(crate) persisted: bool,
}

impl TrackedJob {
    pub(crate) fn new(job: Arc<Job>, now: Instant, unix: Duration) -> Self {
        Self {
            objective: job.objective(),
            job,
            state: JobState::Queued,
            stored_state: JobState::Queued,
            accepted: now,
            accepted_unix: unix,
            finished: None,
            occurrences: BTreeMap::new(),
            over_share: false,
            persisted: false,
        }
    }

    /// Returns the number of occurrences.
    pub(crate) fn occurrence_count(&self) -> u32 {
        self.job.repeat.map_or(1, |r| r.count.max(1))
    }

    /// Returns when an occurrence is due, as time since 1970.
    pub(crate) fn scheduled_unix(&self, occurrence: u32) -> Duration {
        match self.job.repeat {
            Some(r) => Duration::from_millis(
                r.start_ms
                    .saturating_add(r.interval_ms.saturating_mul(occurrence.into())),
            ),
            None => Duration::ZERO,
        }
    }

    /// Creates the tasks of the occurrences that are due.
    pub(crate) fn create_due_tasks(&mut self, unix: Duration) {
        if self.state.is_final() {
            return;
        }
        for k in 0..self.occurrence_count() {
            if self.scheduled_unix(k) > unix {
                break;
            }
            self.occurrence_tasks(k);
        }
    }

    /// Returns the tasks of an occurrence, created when they are missing.
    pub(crate) fn occurrence_tasks(&mut self, occurrence: u32) -> &mut Vec<StepTasks> {
        let job = &self.job;
        self.occurrences.entry(occurrence).or_insert_with(|| {
            let tasks = |count: u32| vec![Task::default(); count as usize];
            let steps = job.steps.iter().map(|s| StepTasks {
                tasks: tasks(s.count),
            });
            steps.collect()
        })
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

    /// Tells whether every task of every occurrence is done.
    pub(crate) fn is_done(&self) -> bool {
        self.occurrences.len() == self.occurrence_count() as usize
            && self
                .occurrences
                .values()
                .all(|steps| steps.iter().all(StepTasks::is_done))
    }

    /// Returns the processor time of the tasks that are not done, in core-milliseconds.
    pub(crate) fn remaining_work(&self) -> u64 {
        if self.state.is_final() || self.job.is_long_running() {
            return 0;
        }
        let mut left = 0u64;
        for steps in self.occurrences.values() {
            for (step, tasks) in self.job.steps.iter().zip(steps) {
                let open = tasks.tasks.iter().filter(|t| !t.done).count() as u64;
                let estimate = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
                let each = step.resources.cpu.saturating_mul(estimate) / 1_000;
                left = left.saturating_add(each.saturating_mul(open));
            }
        }
        left
    }

    /// Returns what the job should have running to be done in time: the work that is left over the
    /// time that is left, but at least `shortest`, and no more than can run at once. Lasting tasks
    /// need what they hold.
    pub(crate) fn demand(&self, now: Instant, shortest: Duration) -> Resources {
        let mut long_running = Resources::default();
        let (mut rate, mut widest) = (Resources::default(), Resources::default());
        if self.state.is_final() {
            return long_running;
        }
        let left = self.deadline().saturating_duration_since(now).max(shortest);
        for steps in self.occurrences.values() {
            for (step, tasks) in self.job.steps.iter().zip(steps) {
                let open = tasks.tasks.iter().filter(|t| !t.done).count();
                let all = step.allocation().scaled(open as f64);
                if step.long_running {
                    long_running.add(all);
                } else {
                    rate.add(all.scaled(step.estimate.as_secs_f64() / left.as_secs_f64()));
                    widest = widest.max(all);
                }
            }
        }
        long_running.add(rate.min(widest));
        long_running
    }

    /// Returns the time until which the job earns its full worth.
    pub(crate) fn deadline(&self) -> Instant {
        self.accepted + self.objective
    }

    /// Returns the estimated time of the longest chain of steps that are not done.
    pub(crate) fn remaining_path(&self) -> Duration {
        let chains = self.occurrences.values().map(|steps| {
            let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
            for (step, tasks) in self.job.steps.iter().zip(steps) {
                let begins = step
                    .depends_on
                    .iter()
                    .filter_map(|&a| ends.get(usize::from(a)));
                let begin = begins.max().copied().unwrap_or_default();
                let open = !tasks.is_done();
                ends.push(begin + if open { step.estimate } else { Duration::ZERO });
            }
            ends.into_iter().max().unwrap_or_default()
        });
        chains.max().unwrap_or_default()
    }

    /// Returns the urgency. A job that can't be completed within its objective any more gives way
    /// to those that can, and what its team sent beyond its share gives way to both.
    pub(crate) fn urgency(&self, now: Instant) -> Urgency {
        self.urgency_with(now, self.remaining_path())
    }

    /// Returns the urgency, given the longest chain of steps that are not done.
    fn urgency_with(&self, now: Instant, remaining_path: Duration) -> Urgency {
        let age = now.saturating_duration_since(self.accepted);
        if self.job.is_long_running() {
            Urgency::LongRunning
        } else if self.job.repeat.is_some() {
            Urgency::OnTime
        } else if age > self.objective * EXPIRY_FACTOR {
            Urgency::Expired
        } else if self.over_share {
            Urgency::OverShare
        } else if age + remaining_path <= self.objective {
            Urgency::OnTime
        } else {
            Urgency::Late
        }
    }

    /// Returns the place in the queue; lower goes first. Within a class and priority a job that is
    /// further along goes first, then the one with the shortest chain left. By the time at which
    /// they are due, jobs of an overloaded pool would all be served at the last moment and miss it.
    pub(crate) fn rank(&self, now: Instant) -> Rank {
        let (all, left) = (self.job.work().max(1), self.remaining_work());
        let remaining_path = self.remaining_path();
        Rank {
            urgency: self.urgency_with(now, remaining_path),
            priority: self.job.queue.priority,
            tenths_left: left.saturating_mul(10).div_ceil(all),
            remaining_path,
            deadline: self.deadline(),
        }
    }

    /// Returns what is stored of the progress.
    pub(crate) fn progress(&self) -> JobProgress {
        // Of a final job only the runs that may be under way matter: they have to be stopped and
        // count against the team's limit.
        let matters = |t: &Task| match self.state.is_final() {
            true => !t.runs.is_empty(),
            false => t.last_run > 0,
        };
        let mut stored = Vec::new();
        for (&occurrence, steps) in &self.occurrences {
            for (step, tasks) in (0u16..).zip(steps) {
                let tasks = (0u32..).zip(&tasks.tasks).filter(|(_, t)| matters(t));
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
            finished_at: self.finished.map(|(_, unix)| unix),
            tasks: stored,
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
