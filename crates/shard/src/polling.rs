//! Looking at workers: leases, what runs, and how runs ended.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::job::JobState;
use crate::job::Name;
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

/// How much is added to the end of a lease before its runs count as over, for the time that a
/// worker takes to end them.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// Why a look failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The worker has seen a higher token.
    StaleToken,
    /// Another worker answers at the address.
    WrongWorker,
    /// There was no usable answer.
    NoResponse,
}

impl Shard {
    /// Takes the list of the workers in this shard's pools.
    pub fn update_workers(&mut self, at: Timestamp, worker_infos: Vec<WorkerInfo>) {
        let mut listed = BTreeSet::new();
        self.ended_incarnations.retain(|id, incarnation| {
            worker_infos
                .iter()
                .any(|l| l.id == *id && l.incarnation <= *incarnation)
        });
        for info in worker_infos {
            if self.ended_incarnations.contains_key(&info.id) {
                continue;
            }
            listed.insert(Arc::clone(&info.id));
            let Some(worker) = self.workers.get_mut(&info.id) else {
                self.log_event("worker_listed", &info.id, || {
                    format!("pool={} address={}", info.pool, info.address)
                });
                let id = Arc::clone(&info.id);
                let incarnation = info.incarnation;
                self.workers
                    .insert(Arc::clone(&id), Worker::new(info, at.now));
                self.attach_recovered_runs(&id, incarnation);
                continue;
            };
            if info.incarnation < worker.info.incarnation {
                continue;
            }
            if info.draining && !worker.info.draining {
                worker.next_poll = at.now;
            }
            worker.registered = true;
            if info.incarnation > worker.info.incarnation {
                let (id, incarnation) = (Arc::clone(&info.id), info.incarnation);
                worker.info = info;
                self.begin_incarnation(at, &id, incarnation);
            } else {
                worker.info = info;
            }
        }
        for worker in self.workers.values_mut() {
            worker.registered = listed.contains(&worker.info.id);
        }
        self.workers
            .retain(|_, w| w.registered || w.reachable || !w.runs.is_empty() || w.poll_pending);
    }

    /// Sends the looks that are due.
    pub(crate) fn send_polls(&mut self, now: Instant) {
        let timings = self.timings;
        for (name, worker) in &mut self.workers {
            if worker.poll_pending || worker.next_poll > now {
                continue;
            }
            let busy = !worker.runs.is_empty();
            // A deadline that may or may not arrive would put off the time from which the runs of
            // a lost worker count as over.
            let lease_deadline = (busy && worker.reachable)
                .then(|| worker.lease.grant(now, timings.lease))
                .flatten();
            // Ends that are taken in but not stored yet would end the wait at once.
            let may_wait = busy && worker.synced && worker.stored_seq == worker.received_seq;
            worker.poll_pending = true;
            let order = PollRequest {
                lease_deadline,
                acked_until: worker.stored_seq,
                wait: if may_wait {
                    timings.poll_wait
                } else {
                    Duration::ZERO
                },
            };
            self.effects.push(Effect::Poll(Arc::clone(name), order));
        }
    }

    /// Takes in that a look failed.
    pub fn handle_poll_failure(&mut self, at: Timestamp, name: &Name, failure: PollFailure) {
        if failure == PollFailure::StaleToken {
            self.superseded = true;
            return;
        }
        let retry = self.timings.poll_retry;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.poll_pending = false;
        worker.next_poll = at.now + retry;
        if worker.reachable {
            worker.reachable = false;
            self.log_event("worker_unreachable", name, || format!("cause={failure:?}"));
        }
    }

    /// Takes in the answer to a look that was sent at `sent`.
    pub fn handle_report(
        &mut self,
        at: Timestamp,
        name: &Name,
        sent: Instant,
        report: &WorkerReport,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            self.take_last_ends(at, name, report);
            return;
        };
        worker.poll_pending = false;
        if !worker.reachable {
            worker.reachable = true;
            self.log_event("worker_reachable", name, || {
                format!("born={}", report.incarnation)
            });
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if report.incarnation != 0 && report.incarnation < worker.info.incarnation {
            worker.next_poll = at.now + self.timings.poll_retry;
            return;
        }
        if report.incarnation > worker.info.incarnation {
            self.begin_incarnation(at, name, report.incarnation);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let first = !worker.synced;
        worker.synced = true;
        if !worker.runs.is_empty() {
            worker.last_active = at.now;
        }
        worker.lease.observe_clock(at.now, report.clock_ms);
        let incarnation = worker.info.incarnation;
        let received_seq = worker.received_seq;
        for end in report.finished.iter().filter(|e| e.sequence > received_seq) {
            self.take_end(at, name, end);
        }
        if let Some(last) = report.finished.iter().map(|e| e.sequence).max()
            && last > received_seq
        {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.received_seq = last;
            }
            self.defer_ack(name, incarnation, last);
        }
        for row in &report.running {
            self.take_row(at.now, name, incarnation, row);
        }
        self.resolve_missing(name, sent, report);
        self.adjust_throttling(at.now, name);
        let idle = self.timings.idle_poll;
        let retry = self.timings.poll_retry;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.next_poll = if worker.received_seq > worker.stored_seq {
            // The batch that stores the ends brings the next look forward.
            at.now + retry
        } else if first || !worker.runs.is_empty() {
            at.now
        } else {
            at.now + idle
        };
    }

    /// Takes the ends that a worker listed before an order to its machine ended its life.
    fn take_last_ends(&mut self, at: Timestamp, name: &Name, report: &WorkerReport) {
        let incarnation = self.ended_incarnations.get(name);
        if incarnation.is_none_or(|incarnation| *incarnation != report.incarnation) {
            return;
        }
        for end in &report.finished {
            self.take_end(at, name, end);
        }
    }

    fn take_end(&mut self, at: Timestamp, name: &Name, end: &FinishedRun) {
        let id = end.run;
        if self.run(id).is_some_and(|r| r.worker == *name) {
            self.remove_run(id);
            self.record_outcome(at.now, name, end);
        } else if !self.take_lost_run(id) {
            self.log_event("end_of_unknown_run", id.task, || {
                format!("run={} worker={name} end={:?}", id.number, end.outcome)
            });
            return;
        }
        if end.outcome != RunOutcome::Done {
            self.log_event("run_ended", id.task, || {
                format!("run={} worker={name} end={:?}", id.number, end.outcome)
            });
        }
        self.take_outcome(at, name, end);
    }

    /// Takes a run off the list of those that were given up. The end of such a run counts: a task
    /// that was done is not started again, and a failure is an attempt.
    fn take_lost_run(&mut self, id: RunId) -> bool {
        let job = self.jobs.get_mut(&id.task.job);
        let Some(task) = job.and_then(|j| j.task_mut(id.task)) else {
            return false;
        };
        let known = task.lost_runs.iter().position(|n| *n == id.number);
        known.map(|place| task.lost_runs.remove(place)).is_some()
    }

    fn record_outcome(&mut self, now: Instant, name: &Name, end: &FinishedRun) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        match end.outcome {
            RunOutcome::Done => worker.record_success(),
            RunOutcome::Failed => {
                if let Some(backoff) = worker.record_failure(now, end.run.task.job) {
                    self.log_event("worker_rests", name, || {
                        format!("cause=failed_runs rest_ms={}", backoff.as_millis())
                    });
                }
            }
            _ => {}
        }
    }

    /// Applies the end of a run to its task and its job.
    fn take_outcome(&mut self, at: Timestamp, name: &Name, end: &FinishedRun) {
        let (id, outcome) = (end.run, end.outcome);
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
        if !end.checkpoint.is_empty() {
            task.checkpoint = Some(Arc::clone(&end.checkpoint));
        }
        match outcome {
            RunOutcome::Done if !long_running => task.done = true,
            RunOutcome::Failed if !long_running => {
                task.failures += 1;
                task.failed_on = Some(Arc::clone(name));
            }
            _ => {}
        }
        let failed = !task.done && task.failures >= max_attempts;
        let others: Vec<u32> = match task.done {
            true => task.runs.iter().map(|r| r.number).collect(),
            false => Vec::new(),
        };
        if gang && outcome == RunOutcome::Done {
            self.gang_done(id);
        }
        for number in others {
            self.request_stop(RunId {
                task: id.task,
                number,
            });
        }
        self.mark_dirty(id.task.job);
        if failed {
            self.finish(at, id.task.job, JobState::Failed);
        } else if self.jobs.get(&id.task.job).is_some_and(|j| j.is_done()) {
            self.finish(at, id.task.job, JobState::Completed);
        }
    }

    /// One done member stands for its whole gang.
    fn gang_done(&mut self, id: RunId) {
        let Some(job) = self.jobs.get_mut(&id.task.job) else {
            return;
        };
        let steps = job.occurrences.get_mut(&id.task.occurrence);
        if let Some(step) = steps.and_then(|s| s.get_mut(usize::from(id.task.step))) {
            for task in &mut step.tasks {
                task.done = true;
            }
        }
    }

    fn take_row(&mut self, now: Instant, name: &Name, incarnation: u64, row: &RunStatus) {
        let id = row.run;
        let known = self.run_mut(id).filter(|r| r.worker == *name);
        let Some(run) = known else {
            // A run that this owner does not want: of a job that it does not know, or that a late
            // order started after it was given up.
            let key = (Arc::clone(name), id);
            if !self.stops.contains_key(&key) {
                self.log_event("unknown_run", id.task, || {
                    format!("run={} worker={name}", id.number)
                });
            }
            self.stops.entry(key).or_default();
            return;
        };
        run.progress = row.progress;
        run.metric = row.metric;
        run.incarnation = incarnation;
        let stop_requested = run.stop_requested;
        if !matches!(run.phase, Phase::Running { .. }) {
            run.phase = Phase::Running { confirmed: now };
            self.mark_started(id.task);
            self.mark_dirty(id.task.job);
            if !stop_requested {
                // A start without an answer was carried out, so that it need not be barred.
                self.stops.remove(&(Arc::clone(name), id));
            }
        }
        if stop_requested {
            self.stops.entry((Arc::clone(name), id)).or_default();
        }
        let job = self.jobs.get_mut(&id.task.job);
        if let Some(task) = job.and_then(|j| j.task_mut(id.task))
            && !row.checkpoint.is_empty()
        {
            task.checkpoint = Some(Arc::clone(&row.checkpoint));
        }
    }

    /// Ends runs that the worker does not list although it must have begun them or can't any more.
    fn resolve_missing(&mut self, name: &Name, sent: Instant, report: &WorkerReport) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let listed: BTreeSet<RunId> = report.running.iter().map(|r| r.run).collect();
        let missing: Vec<RunId> = worker.runs.difference(&listed).copied().collect();
        for id in missing {
            let Some(run) = self.run(id) else {
                continue;
            };
            let is_over = match run.phase {
                Phase::Running { confirmed } => confirmed < sent,
                Phase::Unresolved {
                    stop_confirmed: None,
                } => {
                    if run.since < sent {
                        self.stops.entry((Arc::clone(name), id)).or_default();
                    }
                    false
                }
                Phase::Unresolved {
                    stop_confirmed: Some(at),
                } => at < sent,
                // This look carried the new token, so that an earlier owner's order can't follow.
                Phase::Recovered => true,
                Phase::Persisting | Phase::Starting => false,
            };
            if is_over {
                self.log_event("run_missing", id.task, || {
                    format!("run={} worker={name}", id.number)
                });
                self.mark_lost(id);
            }
        }
    }

    /// Ends what ran in an earlier life of a worker.
    fn begin_incarnation(&mut self, at: Timestamp, name: &Name, incarnation: u64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let known = worker.info.incarnation != 0 && worker.synced;
        worker.begin_incarnation(at.now, incarnation);
        worker.next_poll = at.now;
        worker.synced = false;
        let runs: Vec<RunId> = worker.runs.iter().copied().collect();
        self.log_event("worker_reborn", name, || {
            format!("born={incarnation} runs={} known={known}", runs.len())
        });
        for id in runs {
            let Some(run) = self.run_mut(id) else {
                continue;
            };
            if run.incarnation >= incarnation {
                continue;
            }
            match run.phase {
                // An order without an answer may be carried out by the new life.
                Phase::Starting | Phase::Unresolved { .. } => {
                    run.incarnation = incarnation;
                    run.phase = Phase::Unresolved {
                        stop_confirmed: None,
                    };
                    let key = (Arc::clone(name), id);
                    self.stops.insert(key, Default::default());
                }
                // An order of an earlier owner may be carried out by the new life until it has seen
                // this owner's token.
                Phase::Recovered => run.incarnation = incarnation,
                Phase::Persisting | Phase::Running { .. } => self.remove_run(id),
            }
        }
    }

    /// Ends the runs of workers whose leases have lapsed without contact.
    pub(crate) fn expire_leases(&mut self, at: Timestamp) {
        let blind = self.timings.takeover_wait + self.timings.lease.mul_f64(1.02);
        let mut over = Vec::new();
        for worker in self.workers.values() {
            if worker.reachable && worker.synced || worker.runs.is_empty() {
                continue;
            }
            // Without a look in this life, an earlier owner's last lease counts.
            let expires = match (worker.synced, worker.lease.expires_at()) {
                (true, Some(expires)) => expires,
                _ => worker.incarnation_since + blind,
            };
            if expires + LAPSE_MARGIN <= at.now {
                over.extend(worker.runs.iter().copied());
            }
        }
        if !self.orphans_resolved && at.now >= self.owned_since + blind {
            self.orphans_resolved = true;
            over.extend(self.orphans());
        }
        for id in over {
            let recorded = self.run(id).is_some_and(|r| r.phase == Phase::Persisting);
            if !recorded {
                self.log_event("run_lapsed", id.task, || format!("run={}", id.number));
                self.mark_lost(id);
            }
        }
    }

    /// Gives a worker that became known the inherited runs that were recorded for it.
    fn attach_recovered_runs(&mut self, name: &Name, incarnation: u64) {
        let all = self.jobs.keys().flat_map(|&job| self.runs_of(job));
        let all: Vec<RunId> = all.collect();
        for id in all {
            let allocation = self.allocation_of(id.task);
            let Some(run) = self.run_mut(id).filter(|r| r.worker == *name) else {
                continue;
            };
            // In a new life of the worker as well, the first look tells whether it runs.
            run.incarnation = run.incarnation.max(incarnation);
            if let Some(worker) = self.workers.get_mut(name)
                && worker.runs.insert(id)
            {
                worker.used.add(allocation);
            }
        }
    }

    /// Returns inherited runs on workers that this owner has never seen.
    fn orphans(&self) -> Vec<RunId> {
        let mut orphans = Vec::new();
        for &id in self.jobs.keys() {
            for run in self.runs_of(id) {
                let unseen = self
                    .run(run)
                    .is_some_and(|r| !self.workers.contains_key(&r.worker));
                if unseen {
                    orphans.push(run);
                }
            }
        }
        orphans
    }
}
