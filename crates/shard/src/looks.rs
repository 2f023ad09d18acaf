//! Looking at workers: leases, what runs, and how runs ended.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::active::Phase;
use crate::job::JobState;
use crate::job::Name;
use crate::shard::Effect;
use crate::shard::LookOrder;
use crate::shard::Moment;
use crate::shard::Shard;
use crate::worker::EndKind;
use crate::worker::EndRow;
use crate::worker::Listing;
use crate::worker::Look;
use crate::worker::RunId;
use crate::worker::RunningRow;
use crate::worker::Worker;

/// How much is added to the end of a lease before its runs count as over, for the time that a
/// worker takes to end them.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// Why a look failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookFailure {
    /// The worker has seen a higher token.
    Deposed,
    /// Another worker answers at the address.
    OtherWorker,
    /// There was no usable answer.
    NoAnswer,
}

impl Shard {
    /// Takes the list of the workers in this shard's pools.
    pub fn list_workers(&mut self, at: Moment, listings: Vec<Listing>) {
        let mut listed = BTreeSet::new();
        self.ended_lives
            .retain(|id, born| listings.iter().any(|l| l.id == *id && l.born <= *born));
        for listing in listings {
            if self.ended_lives.contains_key(&listing.id) {
                continue;
            }
            listed.insert(Arc::clone(&listing.id));
            let Some(worker) = self.workers.get_mut(&listing.id) else {
                self.note("worker_listed", &listing.id, || {
                    format!("pool={} address={}", listing.pool, listing.address)
                });
                let id = Arc::clone(&listing.id);
                let born = listing.born;
                self.workers
                    .insert(Arc::clone(&id), Worker::new(listing, at.now));
                self.adopt_runs(&id, born);
                continue;
            };
            if listing.born < worker.listing.born {
                continue;
            }
            if listing.draining && !worker.listing.draining {
                worker.next_look = at.now;
            }
            worker.listed = true;
            if listing.born > worker.listing.born {
                let (id, born) = (Arc::clone(&listing.id), listing.born);
                worker.listing = listing;
                self.begin_life(at, &id, born);
            } else {
                worker.listing = listing;
            }
        }
        for worker in self.workers.values_mut() {
            worker.listed = listed.contains(&worker.listing.id);
        }
        self.workers
            .retain(|_, w| w.listed || w.reachable || !w.runs.is_empty() || w.looking);
    }

    /// Sends the looks that are due.
    pub(crate) fn send_looks(&mut self, now: Instant) {
        let tuning = self.tuning;
        for (name, worker) in &mut self.workers {
            if worker.looking || worker.next_look > now {
                continue;
            }
            let busy = !worker.runs.is_empty();
            // A deadline that may or may not arrive would put off the time from which the runs of
            // a lost worker count as over.
            let deadline = (busy && worker.reachable)
                .then(|| worker.lease.grant(now, tuning.lease))
                .flatten();
            // Ends that are taken in but not stored yet would end the wait at once.
            let may_wait = busy && worker.fenced && worker.stored == worker.seen;
            worker.looking = true;
            let order = LookOrder {
                deadline,
                acked: worker.stored,
                wait: if may_wait {
                    tuning.look_wait
                } else {
                    Duration::ZERO
                },
            };
            self.effects.push(Effect::Look(Arc::clone(name), order));
        }
    }

    /// Takes in that a look failed.
    pub fn look_failed(&mut self, at: Moment, name: &Name, failure: LookFailure) {
        if failure == LookFailure::Deposed {
            self.deposed = true;
            return;
        }
        let retry = self.tuning.look_retry;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.looking = false;
        worker.next_look = at.now + retry;
        if worker.reachable {
            worker.reachable = false;
            self.note("worker_unreachable", name, || format!("cause={failure:?}"));
        }
    }

    /// Takes in the answer to a look that was sent at `sent`.
    pub fn looked(&mut self, at: Moment, name: &Name, sent: Instant, look: &Look) {
        let Some(worker) = self.workers.get_mut(name) else {
            self.take_last_ends(at, name, look);
            return;
        };
        worker.looking = false;
        if !worker.reachable {
            worker.reachable = true;
            self.note("worker_reachable", name, || format!("born={}", look.born));
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if look.born != 0 && look.born < worker.listing.born {
            worker.next_look = at.now + self.tuning.look_retry;
            return;
        }
        if look.born > worker.listing.born {
            self.begin_life(at, name, look.born);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let first = !worker.fenced;
        worker.fenced = true;
        if !worker.runs.is_empty() {
            worker.busy_at = at.now;
        }
        worker.lease.observe(at.now, look.clock);
        let born = worker.listing.born;
        let seen = worker.seen;
        for end in look.ended.iter().filter(|e| e.number > seen) {
            self.take_end(at, name, end);
        }
        if let Some(last) = look.ended.iter().map(|e| e.number).max()
            && last > seen
        {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.seen = last;
            }
            self.ack_after_batch(name, born, last);
        }
        for row in &look.running {
            self.take_row(at.now, name, born, row);
        }
        self.resolve_missing(name, sent, look);
        self.judge_serving(at.now, name);
        let idle = self.tuning.idle_look;
        let retry = self.tuning.look_retry;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.next_look = if worker.seen > worker.stored {
            // The batch that stores the ends brings the next look forward.
            at.now + retry
        } else if first || !worker.runs.is_empty() {
            at.now
        } else {
            at.now + idle
        };
    }

    /// Takes the ends that a worker listed before an order to its machine ended its life.
    fn take_last_ends(&mut self, at: Moment, name: &Name, look: &Look) {
        let life = self.ended_lives.get(name);
        if life.is_none_or(|born| *born != look.born) {
            return;
        }
        for end in &look.ended {
            self.take_end(at, name, end);
        }
    }

    fn take_end(&mut self, at: Moment, name: &Name, end: &EndRow) {
        let id = end.run;
        if self.run(id).is_some_and(|r| r.worker == *name) {
            self.end_run(id);
            self.judge_worker(at.now, name, end);
        } else if !self.take_given_up(id) {
            self.note("end_of_unknown_run", id.task, || {
                format!("run={} worker={name} end={:?}", id.number, end.kind)
            });
            return;
        }
        if end.kind != EndKind::Done {
            self.note("run_ended", id.task, || {
                format!("run={} worker={name} end={:?}", id.number, end.kind)
            });
        }
        self.take_outcome(at, name, end);
    }

    /// Takes a run off the list of those that were given up. The end of such a run counts: a task
    /// that was done is not started again, and a failure is an attempt.
    fn take_given_up(&mut self, id: RunId) -> bool {
        let job = self.jobs.get_mut(&id.task.job);
        let Some(task) = job.and_then(|j| j.task_mut(id.task)) else {
            return false;
        };
        let known = task.given_up.iter().position(|n| *n == id.number);
        known.map(|place| task.given_up.remove(place)).is_some()
    }

    fn judge_worker(&mut self, now: Instant, name: &Name, end: &EndRow) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        match end.kind {
            EndKind::Done => worker.note_done(),
            EndKind::Failed => {
                if let Some(rest) = worker.note_failure(now, end.run.task.job) {
                    self.note("worker_rests", name, || {
                        format!("cause=failed_runs rest_ms={}", rest.as_millis())
                    });
                }
            }
            _ => {}
        }
    }

    /// Applies the end of a run to its task and its job.
    fn take_outcome(&mut self, at: Moment, name: &Name, end: &EndRow) {
        let (id, kind) = (end.run, end.kind);
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
        let (lasting, gang) = (step.lasting, step.gang);
        let Some(task) = job.task_mut(id.task) else {
            return;
        };
        if !end.checkpoint.is_empty() {
            task.checkpoint = Some(Arc::clone(&end.checkpoint));
        }
        match kind {
            EndKind::Done if !lasting => task.done = true,
            EndKind::Failed if !lasting => {
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
        if gang && kind == EndKind::Done {
            self.gang_done(id);
        }
        for number in others {
            self.unwanted(RunId {
                task: id.task,
                number,
            });
        }
        self.mark(id.task.job);
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

    fn take_row(&mut self, now: Instant, name: &Name, born: u64, row: &RunningRow) {
        let id = row.run;
        let known = self.run_mut(id).filter(|r| r.worker == *name);
        let Some(run) = known else {
            // A run that this owner does not want: of a job that it does not know, or that a late
            // order started after it was given up.
            let key = (Arc::clone(name), id);
            if !self.stops.contains_key(&key) {
                self.note("unknown_run", id.task, || {
                    format!("run={} worker={name}", id.number)
                });
            }
            self.stops.entry(key).or_default();
            return;
        };
        run.percent = row.percent;
        run.usage = row.usage;
        run.born = born;
        let unwanted = run.unwanted;
        if !matches!(run.phase, Phase::Running { .. }) {
            run.phase = Phase::Running { confirmed: now };
            self.note_started(id.task);
            self.mark(id.task.job);
            if !unwanted {
                // A start without an answer was carried out, so that it need not be barred.
                self.stops.remove(&(Arc::clone(name), id));
            }
        }
        if unwanted {
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
    fn resolve_missing(&mut self, name: &Name, sent: Instant, look: &Look) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let listed: BTreeSet<RunId> = look.running.iter().map(|r| r.run).collect();
        let missing: Vec<RunId> = worker.runs.difference(&listed).copied().collect();
        for id in missing {
            let Some(run) = self.run(id) else {
                continue;
            };
            let is_over = match run.phase {
                Phase::Running { confirmed } => confirmed < sent,
                Phase::Unresolved { barred: None } => {
                    if run.since < sent {
                        self.stops.entry((Arc::clone(name), id)).or_default();
                    }
                    false
                }
                Phase::Unresolved { barred: Some(at) } => at < sent,
                // This look carried the new token, so that an earlier owner's order can't follow.
                Phase::Inherited => true,
                Phase::Recorded | Phase::Ordered => false,
            };
            if is_over {
                self.note("run_missing", id.task, || {
                    format!("run={} worker={name}", id.number)
                });
                self.give_up(id);
            }
        }
    }

    /// Ends what ran in an earlier life of a worker.
    fn begin_life(&mut self, at: Moment, name: &Name, born: u64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let known = worker.listing.born != 0 && worker.fenced;
        worker.begin_life(at.now, born);
        worker.next_look = at.now;
        worker.fenced = false;
        let runs: Vec<RunId> = worker.runs.iter().copied().collect();
        self.note("worker_reborn", name, || {
            format!("born={born} runs={} known={known}", runs.len())
        });
        for id in runs {
            let Some(run) = self.run_mut(id) else {
                continue;
            };
            if run.born >= born {
                continue;
            }
            match run.phase {
                // An order without an answer may be carried out by the new life.
                Phase::Ordered | Phase::Unresolved { .. } => {
                    run.born = born;
                    run.phase = Phase::Unresolved { barred: None };
                    let key = (Arc::clone(name), id);
                    self.stops.insert(key, Default::default());
                }
                // An order of an earlier owner may be carried out by the new life until it has seen
                // this owner's token.
                Phase::Inherited => run.born = born,
                Phase::Recorded | Phase::Running { .. } => self.end_run(id),
            }
        }
    }

    /// Ends the runs of workers whose leases have lapsed without contact.
    pub(crate) fn end_lapsed(&mut self, at: Moment) {
        let blind = self.tuning.predecessor + self.tuning.lease.mul_f64(1.02);
        let mut over = Vec::new();
        for worker in self.workers.values() {
            if worker.reachable && worker.fenced || worker.runs.is_empty() {
                continue;
            }
            // Without a look in this life, an earlier owner's last lease counts.
            let lapses = match (worker.fenced, worker.lease.lapses_at()) {
                (true, Some(lapses)) => lapses,
                _ => worker.life + blind,
            };
            if lapses + LAPSE_MARGIN <= at.now {
                over.extend(worker.runs.iter().copied());
            }
        }
        if !self.adopted && at.now >= self.since + blind {
            self.adopted = true;
            over.extend(self.orphans());
        }
        for id in over {
            let recorded = self.run(id).is_some_and(|r| r.phase == Phase::Recorded);
            if !recorded {
                self.note("run_lapsed", id.task, || format!("run={}", id.number));
                self.give_up(id);
            }
        }
    }

    /// Gives a worker that became known the inherited runs that were recorded for it.
    fn adopt_runs(&mut self, name: &Name, born: u64) {
        let all = self.jobs.keys().flat_map(|&job| self.runs_of(job));
        let all: Vec<RunId> = all.collect();
        for id in all {
            let charge = self.charge_of(id.task);
            let Some(run) = self.run_mut(id).filter(|r| r.worker == *name) else {
                continue;
            };
            // In a new life of the worker as well, the first look tells whether it runs.
            run.born = run.born.max(born);
            if let Some(worker) = self.workers.get_mut(name)
                && worker.runs.insert(id)
            {
                worker.used.add(charge);
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
