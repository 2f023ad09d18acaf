//! Sending start and stop requests to workers, and handling their responses.

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

/// How long after a stop request without a confirmation the request is sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);

/// How long a worker gets no tasks after it rejected a start for lack of resources. The next poll
/// shows what runs on it.
const RESOURCES_BACKOFF: Duration = Duration::from_millis(300);

/// How long no task of a step is started after a worker rejected one as malformed. Other workers are
/// likely to do the same.
const MALFORMED_BACKOFF: Duration = Duration::from_millis(500);

/// How long a worker gets no tasks after it responded that it is unhealthy.
const UNHEALTHY_BACKOFF: Duration = Duration::from_millis(800);

/// The outcome of a request to start a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run exists on the worker. Carries the reading of the worker's clock, in milliseconds.
    Started(u64),
    /// The worker has seen a higher fencing token, so another owner has acquired the shard.
    StaleToken,
    /// A run of the task with this number or a higher one was already stopped or has ended there.
    StaleRun,
    /// The lease deadline in the request has passed.
    DeadlineExceeded,
    /// The worker lacks the resources that the task needs.
    InsufficientResources,
    /// The worker rejected the ticket of the queue's policy service, or a start without one.
    InvalidTicket,
    /// The worker is unhealthy and did not start the run.
    Unhealthy,
    /// The worker rejected the request as malformed.
    Invalid,
    /// Another worker responded at the address.
    WrongWorker,
    /// The request was not sent, so the run cannot have started.
    NotSent,
    /// The request was not sent, since the owner has too many others in progress.
    Withheld,
    /// No usable response arrived. The worker may have started the run, or may still start it.
    Unknown,
}

impl Shard {
    /// Sends a start request whose run is stored, and which nothing keeps from being sent
    /// ([`Shard::release_effects`]).
    pub(crate) fn send_start(&mut self, now: Instant, worker_id: Name, mut request: StartRequest) {
        let id = request.run;
        let token = self.fencing_token(&worker_id);
        let Some(run) = self.run_mut(id) else {
            return;
        };
        run.phase = Phase::Starting;
        run.since = now;
        run.token = token;
        let lease = self.timings.lease;
        let worker = self.workers.get_mut(&worker_id);
        let Some(deadline) = worker.and_then(|worker| worker.lease.grant(now, lease)) else {
            self.remove_run(id);
            return;
        };
        request.lease_deadline = deadline;
        let whole = request.checkpoint.is_none();
        self.record_execution(now, &worker_id, id, whole);
        self.effects.push(Effect::Start(worker_id, request));
    }

    /// Handles the outcome of [`Effect::Start`].
    ///
    /// After [`StartOutcome::Unknown`] the run is kept until a poll shows whether it exists. After
    /// [`StartOutcome::StaleToken`] this owner stops making decisions, unless the start was meant for an
    /// earlier incarnation. Any other failure removes
    /// the run, so that the task can be placed again.
    pub fn handle_start(
        &mut self,
        at: Timestamp,
        worker_id: &Name,
        id: RunId,
        outcome: StartOutcome,
    ) {
        let now = at.now;
        if outcome == StartOutcome::StaleToken {
            // The worker may have rejected a start that was meant for an earlier incarnation.
            let token = self.fencing_token(worker_id);
            let run = self.run(id).filter(|r| r.worker == *worker_id);
            self.superseded |= run.is_none_or(|r| r.token >= token);
            return;
        }
        let Some(run) = self.run_mut(id).filter(|r| r.worker == *worker_id) else {
            return;
        };
        if run.phase != Phase::Starting {
            return;
        }
        match outcome {
            StartOutcome::Started(clock_ms) => {
                run.phase = Phase::Running { confirmed: now };
                let (incarnation, sent) = (run.incarnation, run.since);
                self.mark_started(id.task);
                let max_lease = self.timings.max_lease;
                let worker = self.workers.get_mut(worker_id);
                // The reading may be that of an earlier incarnation, which had its own clock.
                if let Some(worker) = worker.filter(|w| w.info.incarnation == incarnation) {
                    if worker.lease.shows_restart(sent, clock_ms) {
                        worker.expect_misdirected_lease(now, max_lease);
                        self.log_event("worker_clock_went_back", worker_id, || {
                            format!("task={} run={} clock_ms={clock_ms}", id.task, id.number)
                        });
                    } else {
                        worker.lease.observe_clock(now, clock_ms);
                    }
                }
                // An idle worker is polled rarely, so the next poll may be far off.
                self.poll_soon(now, worker_id);
                return;
            }
            StartOutcome::Unknown => {
                // The next poll shows whether the run exists. If it does not, a stop is sent so
                // that the worker can't start it later.
                run.phase = Phase::Unresolved {
                    stop_confirmed: None,
                };
                self.image_slowdown.colocation.distrust(worker_id, id);
                self.poll_soon(now, worker_id);
                self.log_event("start_unconfirmed", id.task, || {
                    format!("run={} worker={worker_id}", id.number)
                });
                return;
            }
            _ => self.remove_run(id),
        }
        self.log_event("start_rejected", id.task, || {
            format!("run={} worker={worker_id} reason={outcome:?}", id.number)
        });
        let Some(w) = self.workers.get_mut(worker_id) else {
            return;
        };
        match outcome {
            StartOutcome::InsufficientResources => w.backoff_until = Some(now + RESOURCES_BACKOFF),
            StartOutcome::Unhealthy => {
                w.backoff_until = Some(now + UNHEALTHY_BACKOFF);
                w.record_failure(now, id.task.job);
            }
            StartOutcome::InvalidTicket => {
                if self.unfinished.contains(&id.task.job) {
                    let tickets = self.tickets.entry(StepId::of(id.task)).or_default();
                    tickets.reject(now, worker_id);
                }
                return;
            }
            StartOutcome::Invalid => {
                let until = now + MALFORMED_BACKOFF;
                self.paused_steps.insert(StepId::of(id.task), until);
            }
            StartOutcome::WrongWorker | StartOutcome::NotSent => w.mark_unreachable(now),
            _ => {}
        }
        self.poll_soon(now, worker_id);
    }

    /// Handles the response to [`Effect::Stop`]. `confirmed` is whether the worker carried the stop
    /// out. A stop that is not confirmed is sent again after a while.
    pub fn handle_stop(&mut self, at: Timestamp, worker_id: &Name, id: RunId, confirmed: bool) {
        if !confirmed {
            return;
        }
        let key = (Arc::clone(worker_id), id);
        if self.stops.get(&key).is_some_and(|stop| stop.sent.is_none()) {
            // An earlier incarnation confirmed the stop. The one that the owner knows now has not
            // been sent it yet.
            return;
        }
        self.stops.remove(&key);
        let Some(run) = self.run_mut(id).filter(|r| r.worker == *worker_id) else {
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
        self.poll_soon(at.now, worker_id);
    }

    /// Sends the stop requests that are due.
    pub(crate) fn send_stops(&mut self, now: Instant) {
        let workers = &self.workers;
        let mut due = Vec::new();
        self.stops.retain(|(worker_id, id), stop| {
            let Some(worker) = workers.get(worker_id) else {
                return false;
            };
            let is_recent = stop
                .sent
                .is_some_and(|at| now.saturating_duration_since(at) < STOP_RETRY);
            if !is_recent && worker.reachable && worker.synced {
                stop.sent = Some(now);
                due.push((Arc::clone(worker_id), *id));
            }
            true
        });
        for (worker_id, id) in due {
            self.effects.push(Effect::Stop(worker_id, id));
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

    /// Adds a run to its task, and its resources to the usage of its worker and its team.
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
        let long_running = step.long_running;
        let team = job.job.team.clone();
        let (worker, since) = (Arc::clone(&run.worker), run.since);
        if let Some(image) = &step.image {
            let colocation = &mut self.image_slowdown.colocation;
            colocation.place(since, &worker, id, image);
        }
        if let Some(task) = job.task_mut(task_id) {
            task.last_run = task.last_run.max(run.number);
            task.push_run(run);
        }
        job.update_unplaced(task_id);
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.used.add(allocation);
            if long_running {
                worker.long_running.add(allocation);
            }
            worker.runs.insert(id);
            worker.last_active = since;
        } else {
            self.unattached.entry(worker).or_default().insert(id);
        }
        if let Some(team) = team {
            self.teams.entry(team).or_default().used.add(resources);
        }
        self.update_waiting(task_id.job);
    }

    /// Removes a run from its task, and its resources from the usage of its worker and its team.
    pub(crate) fn remove_run(&mut self, id: RunId) {
        let Some(job) = self.jobs.get_mut(&id.task.job) else {
            return;
        };
        let Some(step) = job.job.steps.get(usize::from(id.task.step)) else {
            return;
        };
        let (allocation, resources) = (step.allocation(), step.resources);
        let long_running = step.long_running;
        let team = job.job.team.clone();
        let Some(task) = job.task_mut(id.task) else {
            return;
        };
        let Some(position) = task.runs.iter().position(|r| r.number == id.number) else {
            return;
        };
        let run = task.runs.remove(position);
        job.update_unplaced(id.task);
        self.image_slowdown.colocation.remove(&run.worker, id);
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used.sub(allocation);
            if long_running {
                worker.long_running.sub(allocation);
            }
            worker.runs.remove(&id);
        } else if let Some(runs) = self.unattached.get_mut(&run.worker) {
            runs.remove(&id);
        }
        if let Some(team) = team.and_then(|t| self.teams.get_mut(&t)) {
            team.used.sub(resources);
        }
        self.stops.remove(&(run.worker, id));
        self.update_waiting(id.task.job);
        self.mark_dirty(id.task.job);
        self.drop_finished(id.task.job, id.task.occurrence);
        self.drop_tasks(id.task.job);
    }

    /// Removes a run that ended without a reported outcome, and records it as lost. The worker may
    /// still report the outcome later.
    pub(crate) fn mark_lost(&mut self, id: RunId) {
        self.remove_run(id);
        let job = self.jobs.get_mut(&id.task.job);
        if let Some(task) = job.and_then(|j| j.task_mut(id.task)) {
            task.lost_runs.push(id.number);
        }
    }

    /// Sets the state of a queued job to running once one of its tasks has started.
    pub(crate) fn mark_started(&mut self, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
        }
    }

    /// Makes the next poll of a worker due now.
    pub(crate) fn poll_soon(&mut self, now: Instant, worker_id: &Name) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.next_poll = worker.next_poll.min(now);
        }
    }
}
