//! Evidence that separates failing jobs from failing workers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::VmName;

/// How many good workers a job has to fail on before it is refused.
const JOB_FAILURES: usize = 3;

/// How many jobs that succeed elsewhere a worker has to fail before it is taken out.
const WORKER_FAILURES: usize = 3;

/// The part of a pool that may be taken out at once, as a divisor.
const OUT_DIVISOR: usize = 10;

/// The jobs whose outcomes are remembered; the oldest are forgotten.
const MAX_JOBS: usize = 4096;

/// The workers remembered for one job.
const MAX_OUTCOMES: usize = 8;

/// The failures remembered for one worker; the oldest are forgotten.
const MAX_FAILURES: usize = 16;

/// The time that a worker stays out before its first probation.
const FIRST_REST: Duration = Duration::from_secs(60);

/// The longest time that a worker stays out before a probation.
const MAX_REST: Duration = Duration::from_secs(3600);

/// How many jobs a worker on probation has to finish.
const PROBES: u32 = 3;

/// Identifies what a caller submits again and again, for example a digest of queue, team and body.
pub type JobKey = u64;

/// What to do after an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Refuse the job from now on.
    Quarantine(JobKey),
    /// Give the worker no more work but probes.
    TakeOut(VmName),
    /// Give the worker work again.
    Restore(VmName),
}

#[derive(Clone, Debug, Default)]
struct Job {
    failed: Vec<VmName>,
    succeeded: Vec<VmName>,
    quarantined: bool,
}

#[derive(Clone, Debug, Default)]
struct Worker {
    /// Jobs that failed here. A success here clears those that never succeeded anywhere.
    failed: VecDeque<JobKey>,
    out: Option<Out>,
}

#[derive(Clone, Copy, Debug)]
struct Out {
    until: Instant,
    rest: Duration,
    probes: u32,
    probing: bool,
}

/// The evidence of one pool: which job failed and succeeded on which worker.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    jobs: HashMap<JobKey, Job>,
    ages: VecDeque<JobKey>,
    workers: BTreeMap<VmName, Worker>,
}

impl Evidence {
    /// Sets the workers of the pool. Evidence about others is forgotten.
    pub fn set_workers(&mut self, workers: &[VmName]) {
        let present: HashSet<&VmName> = workers.iter().collect();
        self.workers.retain(|vm, _| present.contains(vm));
        for vm in workers {
            self.workers.entry(vm.clone()).or_default();
        }
    }

    /// Records an outcome.
    pub fn record(&mut self, now: Instant, job: JobKey, worker: &VmName, ok: bool) -> Vec<Action> {
        if !self.workers.contains_key(worker) {
            return Vec::new();
        }
        self.remember(job, worker, ok);
        let mut actions = Vec::new();
        actions.extend(self.probed(now, worker, ok));
        if ok {
            self.exonerate(worker);
        } else {
            self.incriminate(worker, job);
        }
        // A success elsewhere is evidence against every worker that the job failed on.
        let failed = self.jobs.get(&job).map(|job| job.failed.clone());
        for vm in failed.unwrap_or_default() {
            actions.extend(self.judge_worker(now, &vm));
        }
        actions.extend(self.judge_job(job));
        actions
    }

    /// Tells whether a job is refused.
    pub fn is_quarantined(&self, job: JobKey) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.quarantined)
    }

    /// Tells whether a worker may get work now. A worker on probation gets one job at a time.
    pub fn is_open(&self, now: Instant, worker: &VmName) -> bool {
        match self.workers.get(worker).and_then(|worker| worker.out) {
            Some(out) => now >= out.until && !out.probing,
            None => true,
        }
    }

    /// Notes that a job was started, so that a worker on probation gets no second one meanwhile.
    pub fn started(&mut self, worker: &VmName) {
        if let Some(out) = self.workers.get_mut(worker).and_then(|w| w.out.as_mut()) {
            out.probing = true;
        }
    }

    /// Lets a job run again.
    pub fn pardon(&mut self, job: JobKey) {
        self.jobs.remove(&job);
    }

    /// Returns how many workers are out.
    pub fn out(&self) -> usize {
        self.workers.values().filter(|w| w.out.is_some()).count()
    }

    fn remember(&mut self, key: JobKey, worker: &VmName, ok: bool) {
        if !self.jobs.contains_key(&key) {
            self.ages.push_back(key);
            while self.ages.len() > MAX_JOBS {
                self.ages.pop_front().map(|old| self.jobs.remove(&old));
            }
        }
        let job = self.jobs.entry(key).or_default();
        let list = if ok {
            &mut job.succeeded
        } else {
            &mut job.failed
        };
        if !list.contains(worker) && list.len() < MAX_OUTCOMES {
            list.push(worker.clone());
        }
    }

    fn incriminate(&mut self, worker: &VmName, job: JobKey) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        if !worker.failed.contains(&job) {
            worker.failed.push_back(job);
        }
        if worker.failed.len() > MAX_FAILURES {
            worker.failed.pop_front();
        }
    }

    /// Clears a worker of the failures of jobs that never succeeded anywhere.
    fn exonerate(&mut self, worker: &VmName) {
        let jobs = &self.jobs;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker
                .failed
                .retain(|key| jobs.get(key).is_some_and(|job| !job.succeeded.is_empty()));
        }
    }

    fn probed(&mut self, now: Instant, vm: &VmName, ok: bool) -> Option<Action> {
        let worker = self.workers.get_mut(vm)?;
        let out = worker.out.as_mut()?;
        // Work that was started before the worker was taken out says nothing about its recovery.
        if !out.probing {
            return None;
        }
        out.probing = false;
        if !ok {
            out.rest = (out.rest * 2).min(MAX_REST);
            out.until = now + out.rest;
            out.probes = 0;
            return None;
        }
        out.probes += 1;
        if out.probes < PROBES {
            return None;
        }
        *worker = Worker::default();
        for job in self.jobs.values_mut() {
            job.failed.retain(|failed| failed != vm);
        }
        Some(Action::Restore(vm.clone()))
    }

    fn judge_worker(&mut self, now: Instant, vm: &VmName) -> Option<Action> {
        let room = self.out() < self.workers.len() / OUT_DIVISOR;
        let worker = self.workers.get(vm)?;
        if worker.out.is_some() || !room || !self.is_suspect(vm) {
            return None;
        }
        self.workers.get_mut(vm)?.out = Some(Out {
            until: now + FIRST_REST,
            rest: FIRST_REST,
            probes: 0,
            probing: false,
        });
        Some(Action::TakeOut(vm.clone()))
    }

    /// Tells whether a worker failed enough jobs that succeed on others.
    fn is_suspect(&self, vm: &VmName) -> bool {
        let Some(worker) = self.workers.get(vm) else {
            return false;
        };
        let elsewhere = worker.failed.iter().filter(|key| {
            let job = self.jobs.get(key);
            job.is_some_and(|job| job.succeeded.iter().any(|other| other != vm))
        });
        elsewhere.count() >= WORKER_FAILURES
    }

    fn judge_job(&mut self, key: JobKey) -> Option<Action> {
        let job = self.jobs.get(&key)?;
        if job.quarantined || !job.succeeded.is_empty() {
            return None;
        }
        let good = job.failed.iter().filter(|vm| self.is_good(vm));
        if good.count() < JOB_FAILURES {
            return None;
        }
        self.jobs.get_mut(&key)?.quarantined = true;
        Some(Action::Quarantine(key))
    }

    fn is_good(&self, vm: &VmName) -> bool {
        let worker = self.workers.get(vm);
        worker.is_some_and(|worker| worker.out.is_none()) && !self.is_suspect(vm)
    }
}
