//! Starting and stopping runs, and what their answers mean.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::JobState;
use crate::job::Name;
use crate::job::TaskId;
use crate::policy::StepId;
use crate::shard::Effect;
use crate::shard::Shard;
use crate::shard::StartRequest;
use crate::shard::Timestamp;
use crate::tracked_job::Phase;
use crate::tracked_job::Run;
use crate::worker::RunId;

/// After what time a stop without an answer is sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);

/// For how long a worker that refused a task for want of room gets no tasks; its next look tells
/// what runs on it.
const ROOM_PAUSE: Duration = Duration::from_millis(300);

/// For how long a worker that answered that it is unhealthy gets no tasks.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(800);

/// What came of an order to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there; the worker's clock, in milliseconds.
    Started(u64),
    /// The worker has seen a higher token.
    StaleToken,
    /// A run with this number or a higher one was stopped or ended there.
    StaleRun,
    /// The order's deadline has passed.
    DeadlineExceeded,
    /// There is not enough room.
    InsufficientResources,
    /// The ticket is not valid.
    InvalidTicket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The order is malformed.
    Invalid,
    /// Another worker answers at the address.
    WrongWorker,
    /// Nothing was sent.
    NotSent,
    /// There was no answer; the order may have been carried out, or will be.
    Unknown,
}

impl Shard {
    /// Sends an order whose run is stored, unless the run is not wanted any more.
    pub(crate) fn send_start(&mut self, now: Instant, worker: Name, mut order: StartRequest) {
        let id = order.run;
        let Some(run) = self.run_mut(id) else {
            return;
        };
        if run.stop_requested {
            self.remove_run(id);
            return;
        }
        run.phase = Phase::Starting;
        run.since = now;
        let lease = self.timings.lease;
        let deadline = self
            .workers
            .get_mut(&worker)
            .and_then(|w| w.lease.grant(now, lease));
        let Some(deadline) = deadline else {
            // The worker began a new life since the placement.
            self.remove_run(id);
            return;
        };
        order.lease_deadline = deadline;
        self.effects.push(Effect::Start(worker, order));
    }

    /// Takes in what came of an order to start a task.
    pub fn handle_start(&mut self, at: Timestamp, worker: &Name, id: RunId, answer: StartOutcome) {
        let now = at.now;
        if let StartOutcome::Started(clock) = answer
            && let Some(w) = self.workers.get_mut(worker)
        {
            w.lease.observe_clock(now, clock);
        }
        if answer == StartOutcome::StaleToken {
            self.superseded = true;
            return;
        }
        let Some(run) = self.run_mut(id).filter(|r| r.worker == *worker) else {
            return;
        };
        if run.phase != Phase::Starting {
            return;
        }
        match answer {
            StartOutcome::Started(_) => {
                run.phase = Phase::Running { confirmed: now };
                self.mark_started(id.task);
                // A worker that was idle is looked at seldom.
                self.poll_soon(now, worker);
                return;
            }
            StartOutcome::Unknown => {
                // The next look shows whether it runs; if not, it is barred.
                run.phase = Phase::Unresolved {
                    stop_confirmed: None,
                };
                self.poll_soon(now, worker);
                self.log_event("start_unanswered", id.task, || {
                    format!("run={} worker={worker}", id.number)
                });
                return;
            }
            _ => self.remove_run(id),
        }
        self.log_event("start_refused", id.task, || {
            format!("run={} worker={worker} reason={answer:?}", id.number)
        });
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        match answer {
            StartOutcome::InsufficientResources => w.backoff_until = Some(now + ROOM_PAUSE),
            StartOutcome::Unhealthy => {
                w.backoff_until = Some(now + UNHEALTHY_PAUSE);
                w.record_failure(now, id.task.job);
            }
            StartOutcome::InvalidTicket => {
                if let Some(tickets) = self.tickets.get_mut(&StepId::of(id.task)) {
                    tickets.remove(worker);
                }
                return;
            }
            StartOutcome::WrongWorker | StartOutcome::NotSent => w.reachable = false,
            _ => {}
        }
        self.poll_soon(now, worker);
    }

    /// Takes in the answer to a stop; `confirmed` tells whether the worker carried it out.
    pub fn handle_stop(&mut self, at: Timestamp, worker: &Name, id: RunId, confirmed: bool) {
        if !confirmed {
            return;
        }
        self.stops.remove(&(Arc::clone(worker), id));
        let Some(run) = self.run_mut(id).filter(|r| r.worker == *worker) else {
            return;
        };
        match run.phase {
            Phase::Unresolved { .. } | Phase::Starting => {
                run.phase = Phase::Unresolved {
                    stop_confirmed: Some(at.now),
                };
            }
            Phase::Running { .. } => run.phase = Phase::Running { confirmed: at.now },
            Phase::Persisting | Phase::Recovered => {}
        }
        self.poll_soon(at.now, worker);
    }

    /// Sends the stops that are due.
    pub(crate) fn send_stops(&mut self, now: Instant) {
        let workers = &self.workers;
        let mut due = Vec::new();
        self.stops.retain(|(name, id), stop| {
            let Some(worker) = workers.get(name) else {
                return false;
            };
            let waits = stop
                .sent
                .is_some_and(|at| now.saturating_duration_since(at) < STOP_RETRY);
            if !waits && worker.reachable && worker.synced {
                stop.sent = Some(now);
                due.push((Arc::clone(name), *id));
            }
            true
        });
        for (name, id) in due {
            self.effects.push(Effect::Stop(name, id));
        }
    }

    pub(crate) fn run_mut(&mut self, id: RunId) -> Option<&mut Run> {
        let job = self.jobs.get_mut(&id.task.job)?;
        job.task_mut(id.task)?.run_mut(id.number)
    }

    pub(crate) fn run(&self, id: RunId) -> Option<&Run> {
        let task = self.jobs.get(&id.task.job)?.task(id.task)?;
        task.runs.iter().find(|r| r.number == id.number)
    }

    /// Adds a run to its task, its worker and its team.
    pub(crate) fn add_run(&mut self, task_id: TaskId, run: Run) {
        let id = RunId {
            task: task_id,
            number: run.number,
        };
        let Some(job) = self.jobs.get_mut(&task_id.job) else {
            return;
        };
        let Some(step) = job.job.steps.get(usize::from(task_id.step)) else {
            return;
        };
        let (allocation, resources) = (step.allocation(), step.resources);
        let team = job.job.team.clone();
        let (worker, since) = (Arc::clone(&run.worker), run.since);
        if let Some(task) = job.task_mut(task_id) {
            task.last_run = task.last_run.max(run.number);
            task.runs.push(run);
        }
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.used.add(allocation);
            worker.runs.insert(id);
            worker.last_active = since;
        }
        if let Some(team) = team {
            self.teams.entry(team).or_default().used.add(resources);
        }
    }

    /// Removes a run that is over, and gives back what it used.
    pub(crate) fn remove_run(&mut self, id: RunId) {
        let Some(job) = self.jobs.get_mut(&id.task.job) else {
            return;
        };
        let Some(step) = job.job.steps.get(usize::from(id.task.step)) else {
            return;
        };
        let (allocation, resources) = (step.allocation(), step.resources);
        let team = job.job.team.clone();
        let Some(task) = job.task_mut(id.task) else {
            return;
        };
        let Some(place) = task.runs.iter().position(|r| r.number == id.number) else {
            return;
        };
        let run = task.runs.remove(place);
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used.sub(allocation);
            worker.runs.remove(&id);
        }
        if let Some(team) = team.and_then(|t| self.teams.get_mut(&t)) {
            team.used.sub(resources);
        }
        self.stops.remove(&(run.worker, id));
        self.mark_dirty(id.task.job);
        self.drop_tasks(id.task.job);
    }

    /// Ends a run without a listed end, which may still be listed.
    pub(crate) fn mark_lost(&mut self, id: RunId) {
        self.remove_run(id);
        let job = self.jobs.get_mut(&id.task.job);
        if let Some(task) = job.and_then(|j| j.task_mut(id.task)) {
            task.lost_runs.push(id.number);
        }
    }

    pub(crate) fn mark_started(&mut self, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
        }
    }

    pub(crate) fn poll_soon(&mut self, now: Instant, worker: &Name) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.next_poll = w.next_poll.min(now);
        }
    }
}
