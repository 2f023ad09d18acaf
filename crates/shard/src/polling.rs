//! Polling workers: renews their leases and processes their reports of running and finished runs.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::JobState;
use crate::job::Name;
use crate::job::TaskId;
use crate::shard::Effect;
use crate::shard::PollRequest;
use crate::shard::Shard;
use crate::shard::Timestamp;
use crate::tracked_job::Phase;
use crate::worker::FinishedRun;
use crate::worker::RunId;
use crate::worker::RunOutcome;
use crate::worker::RunStatus;
use crate::worker::Worker;
use crate::worker::WorkerInfo;
use crate::worker::WorkerReport;

/// How long after the expiry of a lease its runs are considered lost. Covers the time that a worker
/// takes to end them.
pub(crate) const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// How long after a poll without a response the workers are polled with short waits.
const LOSSY_PERIOD: Duration = Duration::from_secs(3);

/// How long a worker may delay the response to a poll while responses of workers are lost. A poll
/// takes this and the time limit of a call until its loss is noticed, so that the wait is shorter than
/// that time limit; the workers are polled at most three times as often.
const LOSSY_POLL_WAIT: Duration = Duration::from_millis(400);

/// Why a poll of a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The worker has seen a higher fencing token, so another owner has acquired the shard.
    StaleToken,
    /// Another worker responded at the address.
    WrongWorker,
    /// No usable response arrived.
    NoResponse,
}

impl Shard {
    /// Updates the workers from the latest registrations for this shard's pools.
    ///
    /// A registration of an incarnation that was terminated ([`Shard::handle_termination`]) is
    /// ignored. A worker that is no longer registered for these pools stays known while it is
    /// reachable, has runs or has a pending poll.
    pub fn update_workers(&mut self, at: Timestamp, worker_infos: Vec<WorkerInfo>) {
        let mut registered_ids = BTreeSet::new();
        self.terminated_incarnations.retain(|id, incarnation| {
            worker_infos
                .iter()
                .any(|info| info.id == *id && info.incarnation <= *incarnation)
        });
        for info in worker_infos {
            if self.terminated_incarnations.contains_key(&info.id) {
                continue;
            }
            registered_ids.insert(Arc::clone(&info.id));
            let evacuated = self.evacuation.includes(&info);
            let Some(worker) = self.workers.get_mut(&info.id) else {
                self.log_event("worker_registered", &info.id, || {
                    format!("pool={} address={}", info.pool, info.address)
                });
                let id = Arc::clone(&info.id);
                let incarnation = info.incarnation;
                let mut worker = Worker::new(info, at.now, self.max_fencing_token());
                worker.evacuated = evacuated;
                worker.misdirected_lease_end = self.restart_leases.earlier(&id);
                self.workers.insert(worker);
                self.attach_recovered_runs(at, &id, incarnation);
                continue;
            };
            let is_former = worker.former_incarnation == Some(info.incarnation);
            if info.incarnation < worker.info.incarnation || is_former {
                continue;
            }
            if info.draining && !worker.info.draining {
                worker.next_poll = at.now;
            }
            worker.registered = true;
            worker.evacuated = evacuated;
            // Sums and indexes of the workers don't show a change of the labels.
            self.settled &= worker.info.labels == info.labels;
            if info.incarnation > worker.info.incarnation {
                let (id, incarnation) = (Arc::clone(&info.id), info.incarnation);
                worker.former_incarnation = Some(worker.info.incarnation);
                worker.info = info;
                self.begin_incarnation(at, &id, incarnation);
            } else {
                worker.info = info;
            }
        }
        let is_changed = |(id, w): &(&Name, &Worker)| w.registered != registered_ids.contains(*id);
        let changed = self.workers.iter().filter(is_changed);
        let changed: Vec<Name> = changed.map(|(id, _)| Arc::clone(id)).collect();
        for id in changed {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.registered = registered_ids.contains(&id);
            }
        }
        let unused = self.workers.iter().filter(|(_, w)| {
            !(w.registered || w.reachable || !w.runs.is_empty() || w.poll_pending)
        });
        let unused: Vec<Name> = unused.map(|(id, _)| Arc::clone(id)).collect();
        for id in unused {
            self.silent_leases.forget(&id);
            self.workers.remove(&id);
        }
        self.log_evacuated_workers();
    }

    /// Sends the polls that are due.
    pub(crate) fn send_polls(&mut self, now: Instant) {
        let timings = self.timings;
        // A long poll without a response hides the runs that finish meanwhile for its whole wait.
        let is_lossy = self
            .last_unanswered
            .is_some_and(|at| now.saturating_duration_since(at) < LOSSY_PERIOD);
        let poll_wait = match is_lossy {
            true => timings.poll_wait.min(LOSSY_POLL_WAIT),
            false => timings.poll_wait,
        };
        let due = self.workers.iter();
        let due = due.filter(|(_, w)| !w.poll_pending && w.next_poll <= now);
        let due: Vec<Name> = due.map(|(id, _)| Arc::clone(id)).collect();
        for worker_id in due {
            let raising = self.is_raising(&worker_id);
            let Some(worker) = self.workers.get_mut(&worker_id) else {
                continue;
            };
            let busy = !worker.runs.is_empty();
            // An unreachable worker is granted no new deadline: the poll may not arrive, and a
            // later deadline would delay the time from which the runs of a lost worker are
            // considered lost.
            let withheld = self.silent_leases.is_withheld(&worker_id);
            let lease_deadline = (busy && worker.reachable && !withheld)
                .then(|| worker.lease.grant(now, timings.lease))
                .flatten();
            // A worker ends a long poll at once while it has finished runs that are not
            // acknowledged, and they are acknowledged only after their outcomes are stored.
            let may_wait = busy
                && worker.synced
                && worker.fenced
                && worker.stored_seq == worker.received_seq
                && !withheld;
            worker.record_poll(!raising);
            worker.sent_ack = worker.next_ack();
            worker.grant_pending |= lease_deadline.is_some();
            let request = PollRequest {
                lease_deadline,
                acked_until: worker.sent_ack,
                wait: if may_wait { poll_wait } else { Duration::ZERO },
            };
            self.effects.push(Effect::Poll(worker_id, request));
        }
    }

    /// Handles a failed poll: the worker gets no tasks until a later poll succeeds. After
    /// [`PollFailure::StaleToken`] this owner stops making decisions, unless the poll was meant for an
    /// earlier incarnation.
    pub fn handle_poll_failure(&mut self, at: Timestamp, worker_id: &Name, failure: PollFailure) {
        let is_earlier = |w: &Worker| w.poll_token < w.fencing_token;
        if failure == PollFailure::StaleToken {
            let worker = self.workers.get_mut(worker_id);
            if let Some(worker) = worker.filter(|w| is_earlier(w)) {
                // The poll was meant for an earlier incarnation.
                worker.poll_pending = false;
                worker.next_poll = at.now;
            } else {
                self.superseded = true;
            }
            return;
        }
        let retry = self.timings.poll_retry;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.poll_pending = false;
        worker.next_poll = at.now + retry;
        self.image_slowdown.colocation.distrust_all(worker_id);
        if worker.reachable {
            if failure == PollFailure::NoResponse {
                // Most workers that miss one call respond to the next.
                worker.next_poll = at.now;
                self.last_unanswered = Some(at.now);
            }
            worker.mark_unreachable(at.now);
            self.log_event("worker_unreachable", worker_id, || {
                format!("cause={failure:?}")
            });
        }
    }

    /// Handles a worker's response to a poll that was sent at `sent`.
    ///
    /// A started run that the report lacks is considered lost only if the worker confirmed its
    /// start or stop before `sent`.
    pub fn handle_report(
        &mut self,
        at: Timestamp,
        worker_id: &Name,
        sent: Instant,
        report: &WorkerReport,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            self.handle_final_report(at, worker_id, report);
            return;
        };
        worker.poll_pending = false;
        if !worker.reachable {
            worker.reachable = true;
            self.log_event("worker_reachable", worker_id, || {
                format!("born={}", report.incarnation)
            });
        }
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let is_later = match report.incarnation.cmp(&worker.info.incarnation) {
            // The worker's clock of day may have gone back before it started again.
            Ordering::Less => worker.lease.shows_restart(sent, report.clock_ms),
            Ordering::Equal => false,
            Ordering::Greater => true,
        };
        if report.incarnation != 0 && report.incarnation < worker.info.incarnation && !is_later {
            worker.next_poll = at.now + self.timings.poll_retry;
            return;
        }
        if report.incarnation != 0 && is_later {
            self.begin_incarnation(at, worker_id, report.incarnation);
        }
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let first_report = !worker.synced || !worker.fenced;
        worker.synced = true;
        let is_newly_fenced = worker.record_fence(at.now, self.timings.max_lease);
        let (token, extended) = (worker.fencing_token, worker.misdirected_lease_end.is_some());
        worker.silent_since = None;
        worker.confirm_ack();
        worker.grant_pending = false;
        if !worker.runs.is_empty() {
            worker.last_active = at.now;
        }
        worker.lease.observe_clock(at.now, report.clock_ms);
        let incarnation = worker.info.incarnation;
        let received_seq = worker.received_seq;
        for finished_run in report.finished.iter().filter(|f| f.sequence > received_seq) {
            self.handle_finished_run(at, worker_id, finished_run);
        }
        if let Some(last_seq) = report.finished.iter().map(|f| f.sequence).max()
            && last_seq > received_seq
        {
            if let Some(worker) = self.workers.get_mut(worker_id) {
                worker.received_seq = last_seq;
            }
            self.defer_ack(worker_id, incarnation, last_seq);
        }
        if is_newly_fenced {
            self.log_event("worker_fenced", worker_id, || {
                format!("born={incarnation} token={token} longest_lease={extended}")
            });
        }
        for status in &report.running {
            self.handle_run_status(at.now, worker_id, incarnation, status);
        }
        self.handle_missing_runs(at.now, worker_id, sent, report);
        self.record_tails(at.now, worker_id);
        self.adjust_throttling(at.now, worker_id);
        self.record_shares(at.now, worker_id);
        let idle = self.timings.idle_poll;
        let retry = self.timings.poll_retry;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let withheld = self.silent_leases.is_withheld(worker_id);
        worker.next_poll = if worker.received_seq > worker.stored_seq || withheld {
            // `Shard::batch_stored` polls sooner, once the outcomes of the runs are stored and the
            // lease may be renewed.
            at.now + retry
        } else if first_report || !worker.runs.is_empty() || worker.next_ack() > 0 {
            at.now
        } else {
            at.now + idle
        };
    }

    /// Handles the last report of a worker that was terminated by a command to its machine. The
    /// outcomes of the finished runs in it still count.
    fn handle_final_report(&mut self, at: Timestamp, worker_id: &Name, report: &WorkerReport) {
        let incarnation = self.terminated_incarnations.get(worker_id);
        if incarnation.is_none_or(|incarnation| *incarnation != report.incarnation) {
            return;
        }
        for finished_run in &report.finished {
            self.handle_finished_run(at, worker_id, finished_run);
        }
    }

    /// Removes a finished run, or takes it from the lost runs of its task, and applies its outcome.
    fn handle_finished_run(&mut self, at: Timestamp, worker_id: &Name, finished_run: &FinishedRun) {
        let id = finished_run.run;
        if self.run(id).is_some_and(|r| r.worker == *worker_id) {
            let done = finished_run.outcome == RunOutcome::Done;
            self.record_end(at.now, worker_id, id, done);
            self.remove_run(id);
            self.record_outcome(at.now, worker_id, finished_run);
        } else if !self.take_lost_run(id) {
            self.log_event("unknown_run_ended", id.task, || {
                format!(
                    "run={} worker={worker_id} end={:?}",
                    id.number, finished_run.outcome
                )
            });
            return;
        }
        if finished_run.outcome != RunOutcome::Done {
            self.log_event("run_ended", id.task, || {
                format!(
                    "run={} worker={worker_id} end={:?}",
                    id.number, finished_run.outcome
                )
            });
        }
        self.apply_outcome(at, worker_id, finished_run);
    }

    /// Removes a run from the lost runs of its task, and returns whether it was one of them. The
    /// outcome of a lost run still counts: a completed task is not started again, and a failure
    /// counts as an attempt.
    fn take_lost_run(&mut self, id: RunId) -> bool {
        let job = self.jobs.get_mut(&id.task.job);
        let Some(task) = job.and_then(|j| j.task_mut(id.task)) else {
            return false;
        };
        let position = task.lost_runs.iter().position(|n| *n == id.number);
        position
            .map(|position| task.lost_runs.remove(position))
            .is_some()
    }

    /// Updates the worker's failure count and backoff.
    fn record_outcome(&mut self, now: Instant, worker_id: &Name, finished_run: &FinishedRun) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        match finished_run.outcome {
            RunOutcome::Done => worker.record_success(),
            RunOutcome::Failed => {
                if let Some(backoff) = worker.record_failure(now, finished_run.run.task.job) {
                    self.log_event("worker_backoff", worker_id, || {
                        format!("cause=failed_runs rest_ms={}", backoff.as_millis())
                    });
                }
            }
            _ => {}
        }
    }

    /// Applies the outcome of a run to its task and its job.
    fn apply_outcome(&mut self, at: Timestamp, worker_id: &Name, finished_run: &FinishedRun) {
        let (id, outcome) = (finished_run.run, finished_run.outcome);
        let Some(job) = self.jobs.get_mut(&id.task.job) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        let max_attempts = job.job.queue.max_attempts.max(1);
        let Some(step) = job.job.steps.get(usize::from(id.task.step)) else {
            return;
        };
        let (long_running, gang) = (step.long_running, step.gang);
        let Some(task) = job.task_mut(id.task) else {
            return;
        };
        if !finished_run.checkpoint.is_empty() {
            task.checkpoint = Some(Arc::clone(&finished_run.checkpoint));
        }
        if outcome == RunOutcome::Failed && !long_running {
            task.failures += 1;
            task.failed_on = Some(Arc::clone(worker_id));
        }
        if outcome == RunOutcome::Done && !long_running {
            job.mark_done(id.task, &mut self.placement);
            self.placement.counted += 1;
            self.backlog.count(job, at.now);
        }
        let Some(task) = job.task(id.task) else {
            return;
        };
        let failed = !task.done && task.failures >= max_attempts;
        let remaining_runs: Vec<u32> = match task.done {
            true => task.runs.iter().map(|r| r.number).collect(),
            false => Vec::new(),
        };
        if gang && outcome == RunOutcome::Done {
            self.complete_gang(id);
            self.count_job(at.now, id.task.job);
        }
        for number in remaining_runs {
            self.request_stop(RunId {
                task: id.task,
                number,
            });
        }
        self.drop_finished(id.task.job, id.task.occurrence);
        self.update_waiting(id.task.job);
        self.mark_dirty(id.task.job);
        if failed {
            self.finish(at, id.task.job, JobState::Failed);
        } else if self.jobs.get(&id.task.job).is_some_and(|j| j.is_done()) {
            self.finish(at, id.task.job, JobState::Completed);
        }
    }

    /// Marks all tasks of a gang as done. The tasks of a gang work only together, so one that
    /// completes shows that all of them did.
    fn complete_gang(&mut self, id: RunId) {
        let Some(job) = self.jobs.get_mut(&id.task.job) else {
            return;
        };
        let steps = job.occurrences.get(&id.task.occurrence);
        let step = steps.and_then(|s| s.get(usize::from(id.task.step)));
        let count = step.map_or(0, |s| s.tasks.len());
        for index in (0u32..).take(count) {
            job.mark_done(TaskId { index, ..id.task }, &mut self.placement);
        }
    }

    /// Updates a run from its reported status, or requests its stop if this owner doesn't know the
    /// run.
    fn handle_run_status(
        &mut self,
        now: Instant,
        worker_id: &Name,
        incarnation: u64,
        status: &RunStatus,
    ) {
        let id = status.run;
        let known = self.run_mut(id).filter(|r| r.worker == *worker_id);
        let Some(run) = known else {
            // The job is unknown, or a delayed start request was carried out after the run was
            // marked as lost.
            let key = (Arc::clone(worker_id), id);
            if !self.stops.contains_key(&key) {
                self.log_event("unknown_run_found", id.task, || {
                    format!("run={} worker={worker_id}", id.number)
                });
            }
            self.stops.entry(key).or_default();
            return;
        };
        run.progress = status.progress;
        run.metric = status.metric;
        run.incarnation = incarnation;
        run.listed = true;
        let stop_requested = run.stop_requested;
        if !matches!(run.phase, Phase::Running { .. }) {
            run.phase = Phase::Running { confirmed: now };
            self.mark_started(id.task);
            self.mark_dirty(id.task.job);
            self.record_execution(now, worker_id, id, false);
            if !stop_requested {
                // A start request without a response was carried out, so the stop that was to keep
                // it from being carried out later is not needed.
                self.stops.remove(&(Arc::clone(worker_id), id));
            }
        }
        if stop_requested {
            self.stops.entry((Arc::clone(worker_id), id)).or_default();
        }
        let job = self.jobs.get_mut(&id.task.job);
        if let Some(task) = job.and_then(|j| j.task_mut(id.task))
            && !status.checkpoint.is_empty()
        {
            task.checkpoint = Some(Arc::clone(&status.checkpoint));
        }
    }

    /// Handles the runs that a report lacks. Marks a run as lost if the worker must have started it
    /// earlier or can no longer start it. Otherwise the start request may still be carried out, and
    /// a stop is sent to prevent that. A run that a truncated report lacks may have finished.
    fn handle_missing_runs(
        &mut self,
        now: Instant,
        worker_id: &Name,
        sent: Instant,
        report: &WorkerReport,
    ) {
        let worker = self.workers.get(worker_id);
        // An incarnation that isn't fenced may still carry out starts that were meant for an earlier
        // one.
        let Some(worker) = worker.filter(|w| w.fenced && !report.truncated) else {
            return;
        };
        let reported: BTreeSet<RunId> = report.running.iter().map(|r| r.run).collect();
        let missing: Vec<RunId> = worker.runs.difference(&reported).copied().collect();
        for id in missing {
            let Some(run) = self.run(id) else {
                continue;
            };
            let (phase, since) = (run.phase, run.since);
            let is_lost = match phase {
                Phase::Running { confirmed } => confirmed < sent,
                Phase::Unresolved {
                    stop_confirmed: None,
                } => {
                    if run.since < sent {
                        self.stops.entry((Arc::clone(worker_id), id)).or_default();
                    }
                    false
                }
                Phase::Unresolved {
                    stop_confirmed: Some(at),
                } => at < sent,
                // The poll carried this owner's fencing token, so the worker rejects a start
                // request of an earlier owner from now on.
                Phase::Recovered => true,
                Phase::Persisting | Phase::Starting => false,
            };
            if is_lost {
                self.log_run_lost(id, worker_id, "not_reported");
                self.mark_lost(id);
                let is_confirmed = matches!(phase, Phase::Running { .. });
                let worker = self.workers.get_mut(worker_id).filter(|_| !is_confirmed);
                if let Some(worker) = worker {
                    worker.abandon(now, id, since);
                }
            }
        }
    }

    /// Logs why a run is considered to have ended without a reported outcome, so that its task is
    /// placed again.
    pub(crate) fn log_run_lost(&mut self, id: RunId, worker_id: &Name, cause: &str) {
        self.log_event("run_lost", id.task, || {
            format!("run={} worker={worker_id} cause={cause}", id.number)
        });
    }

    /// Removes the runs that a report of a worker's previous incarnation has listed, and those whose
    /// start was not sent. The new one may have started any other run, or may still start it: its
    /// first reports show which.
    fn begin_incarnation(&mut self, at: Timestamp, worker_id: &Name, incarnation: u64) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let known = worker.info.incarnation != 0 && worker.synced;
        let grant_pending = worker.grant_pending;
        let abandoned = worker.take_abandoned(at.now);
        worker.begin_incarnation(at.now, incarnation);
        self.restarted.insert(Arc::clone(worker_id), incarnation);
        self.image_slowdown.colocation.distrust_all(worker_id);
        worker.next_poll = at.now;
        worker.synced = false;
        let runs: Vec<RunId> = worker.runs.iter().copied().collect();
        let (total, mut kept) = (runs.len(), 0);
        for &id in &abandoned {
            let key = (Arc::clone(worker_id), id);
            self.stops.insert(key, Default::default());
        }
        for id in runs {
            let Some(run) = self.run_mut(id) else {
                continue;
            };
            if run.incarnation == incarnation {
                continue;
            }
            match run.phase {
                // The new incarnation may carry out a start request that has no response.
                Phase::Starting | Phase::Unresolved { .. } => {
                    run.incarnation = incarnation;
                    run.phase = Phase::Unresolved {
                        stop_confirmed: None,
                    };
                    let key = (Arc::clone(worker_id), id);
                    self.stops.insert(key, Default::default());
                    kept += 1;
                }
                // The new incarnation may carry out a start request of an earlier owner until it
                // has seen this owner's fencing token.
                Phase::Recovered => {
                    run.incarnation = incarnation;
                    kept += 1;
                }
                Phase::Persisting => self.remove_run(id),
                Phase::Running { .. } if !run.listed => {
                    run.incarnation = incarnation;
                    kept += 1;
                }
                Phase::Running { .. } => {
                    self.remove_run(id);
                    self.log_run_lost(id, worker_id, "worker_restarted");
                }
            }
        }
        let max_lease = self.timings.max_lease;
        if let Some(worker) = self.workers.get_mut(worker_id)
            && (grant_pending || kept + abandoned.len() > 0)
        {
            worker.expect_misdirected_lease(at.now, max_lease);
        }
        self.log_event("worker_restarted", worker_id, || {
            format!("born={incarnation} runs={total} kept={kept} known={known}")
        });
    }

    /// Marks the runs of workers whose leases have expired without contact as lost.
    pub(crate) fn expire_leases(&mut self, at: Timestamp) {
        let mut expired = Vec::new();
        for worker in self.workers.values() {
            if worker.reachable && worker.synced || worker.runs.is_empty() {
                continue;
            }
            if self.lease_end(worker) + EXPIRY_MARGIN <= at.now {
                expired.extend(worker.runs.iter().copied());
            }
        }
        expired.extend(self.take_expired_orphans(at.now));
        for id in expired {
            let is_persisting = self.run(id).is_some_and(|r| r.phase == Phase::Persisting);
            if !is_persisting {
                self.log_event("run_lease_expired", id.task, || {
                    format!("run={}", id.number)
                });
                self.mark_lost(id);
            }
        }
    }

    /// Assigns the recovered runs that were stored for a worker to it when the worker becomes
    /// known. The start of a run that was meant for an earlier incarnation may have granted a lease.
    fn attach_recovered_runs(&mut self, at: Timestamp, worker_id: &Name, incarnation: u64) {
        let max_lease = self.timings.max_lease;
        for id in self.unattached.remove(worker_id).unwrap_or_default() {
            self.placement.attached += 1;
            let allocation = self.allocation_of(id.task);
            let long_running = self.is_long_running(id);
            let Some(run) = self.run_mut(id).filter(|r| r.worker == *worker_id) else {
                continue;
            };
            let is_misdirected = run.incarnation != incarnation;
            // The first poll shows whether the run exists, also if the worker has restarted since.
            run.incarnation = incarnation;
            let Some(worker) = self.workers.get_mut(worker_id) else {
                continue;
            };
            if worker.runs.insert(id) {
                worker.used.add(allocation);
                if long_running {
                    worker.long_running.add(allocation);
                }
            }
            if is_misdirected {
                worker.expect_misdirected_lease(at.now, max_lease);
            }
        }
    }
}
