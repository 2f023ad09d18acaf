//! A pool of scripted workers on which the tasks of some images slow each other down.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::FinishedRun;
use lavenderhollow_shard::Job;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::LogEvent;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PollRequest;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::RunStatus;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::Step;
use proptest::prelude::Rng;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;

use crate::support::Harness;
use crate::support::finished_run;
use crate::support::job;
use crate::support::report;
use crate::support::run_status;
use crate::support::step;

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// The time after which a worker without finished runs responds to a poll.
const POLL_WAIT: Duration = Duration::from_millis(500);

/// A run that executes on a scripted worker.
struct Execution {
    worker: Name,
    run: RunId,
    /// The seconds that remain at full speed; infinite for a long-running task.
    left: f64,
    /// The processor share, from zero to one.
    share: f64,
}

/// A stream of jobs of one task each.
pub(crate) struct Stream {
    pub(crate) image: &'static str,
    /// The jobs a second.
    pub(crate) rate: f64,
    /// The middle of the run times, in seconds.
    pub(crate) seconds: f64,
}

/// The simulated pool.
pub(crate) struct ContendedPool {
    pub(crate) harness: Harness,
    pub(crate) streams: Vec<Stream>,
    /// By which factor the first image slows down beside the second one.
    pub(crate) factors: BTreeMap<(&'static str, &'static str), f64>,
    /// By which factor all tasks on a worker take longer.
    pub(crate) slow_workers: BTreeMap<&'static str, f64>,
    /// Whether the steps name their images.
    pub(crate) names_images: bool,
    /// The starts so far, with their workers.
    pub(crate) starts: Vec<(RunId, Name)>,
    /// The events about interference so far.
    pub(crate) events: Vec<LogEvent>,
    /// When records of the kept pairs were stored.
    pub(crate) stored_at: Vec<Instant>,
    workers: Vec<&'static str>,
    executions: Vec<Execution>,
    ended: BTreeMap<Name, Vec<FinishedRun>>,
    sequences: BTreeMap<Name, u64>,
    polls: BTreeMap<Name, (Instant, PollRequest)>,
    images: BTreeMap<JobId, Vec<&'static str>>,
    /// The middle of the run times of the tasks of some jobs, in seconds, instead of their stream's.
    pub(crate) seconds: BTreeMap<JobId, f64>,
    rng: TestRng,
    next_job: u64,
    start: Instant,
}

impl ContendedPool {
    pub(crate) fn new(workers: &[&'static str], seed: u64) -> Self {
        let mut bytes = [0u8; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let harness = Harness::new(workers);
        let start = harness.at.now;
        Self {
            harness,
            streams: Vec::new(),
            factors: BTreeMap::new(),
            slow_workers: BTreeMap::new(),
            names_images: true,
            starts: Vec::new(),
            events: Vec::new(),
            stored_at: Vec::new(),
            workers: workers.to_vec(),
            executions: Vec::new(),
            ended: BTreeMap::new(),
            sequences: BTreeMap::new(),
            polls: BTreeMap::new(),
            images: BTreeMap::new(),
            seconds: BTreeMap::new(),
            rng: TestRng::from_seed(RngAlgorithm::ChaCha, &bytes),
            next_job: 0,
            start,
        }
    }

    /// Returns a number from 0 to 1.
    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Returns a factor around one, whose logarithm has a standard deviation of `spread`.
    fn factor(&mut self, spread: f64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.random()).sum::<f64>() - 6.0;
        (spread * normal).exp()
    }

    /// Submits a job. `images` are those of its steps.
    pub(crate) fn submit(&mut self, mut steps: Vec<Step>, images: &[&'static str]) -> JobId {
        for (step, image) in steps.iter_mut().zip(images) {
            step.image = self.names_images.then(|| Name::from(*image));
        }
        self.next_job += 1;
        let job: Job = job(self.next_job, steps);
        let id = job.id;
        self.images.insert(id, images.to_vec());
        self.harness.submit(job);
        id
    }

    fn image(&self, run: RunId) -> &'static str {
        self.images[&run.task.job][usize::from(run.task.step)]
    }

    /// Returns the time since the start of the test.
    pub(crate) fn elapsed(&self) -> Duration {
        self.harness.at.now - self.start
    }

    /// Simulates the pool for a while. Returns for which share of the run time of `a` tasks of `b` ran
    /// on the same worker.
    pub(crate) fn run(&mut self, time: Duration, a: &str, b: &str) -> f64 {
        let (mut beside, mut total) = (0u32, 0u32);
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.arrive();
            self.work();
            self.respond();
            self.decide();
            for execution in self.executions.iter().filter(|e| self.image(e.run) == a) {
                total += 1;
                let mut others = self.beside(execution);
                beside += u32::from(others.any(|other| self.image(other.run) == b));
            }
        }
        f64::from(beside) / f64::from(total.max(1))
    }

    fn arrive(&mut self) {
        for index in 0..self.streams.len() {
            let Stream { image, rate, .. } = self.streams[index];
            if self.random() < rate * TICK.as_secs_f64() {
                self.submit(vec![step(1, &[])], &[image]);
            }
        }
    }

    /// Returns the other runs on the worker of a run.
    fn beside<'a>(&'a self, execution: &'a Execution) -> impl Iterator<Item = &'a Execution> {
        let others = self.executions.iter();
        others.filter(|e| e.worker == execution.worker && e.run != execution.run)
    }

    /// Returns by which factor a run is slowed down now.
    fn slowdown(&self, execution: &Execution) -> f64 {
        let image = self.image(execution.run);
        let others = self.beside(execution);
        let factors = others.filter_map(|other| {
            let factor = self.factors.get(&(image, self.image(other.run)))?;
            Some(factor.powf(other.share))
        });
        let worst = factors.fold(1.0, f64::max);
        let worker = self.slow_workers.get(&*execution.worker);
        worst * worker.copied().unwrap_or(1.0)
    }

    fn work(&mut self) {
        self.harness.advance(TICK);
        let done = self.executions.iter();
        let done = done.map(|e| TICK.as_secs_f64() / self.slowdown(e));
        let done: Vec<f64> = done.collect();
        for (execution, done) in self.executions.iter_mut().zip(done) {
            execution.left -= done;
        }
        let ended = self.executions.extract_if(.., |e| e.left <= 0.0);
        for Execution { worker, run, .. } in ended {
            let sequence = self.sequences.entry(worker.clone()).or_insert(0);
            *sequence += 1;
            let finished = finished_run(*sequence, run, RunOutcome::Done);
            self.ended.entry(worker).or_default().push(finished);
        }
    }

    /// Returns the row of a run in a report. The tail latency of an undisturbed task is 50 ms.
    fn status(&mut self, index: usize) -> RunStatus {
        let noise = self.factor(0.2);
        let execution = &self.executions[index];
        let tail = 50.0 * self.slowdown(execution) * noise;
        let mut status = run_status(execution.run, 100);
        status.metric = tail as u64;
        status
    }

    /// Responds to the polls of workers with finished runs, and to those that have waited long enough.
    fn respond(&mut self) {
        for worker in self.workers.clone() {
            let Some(&(sent, request)) = self.polls.get(worker) else {
                continue;
            };
            let ended = self.ended.entry(worker.into()).or_default();
            ended.retain(|f| f.sequence > request.acked_until);
            let waited = self.harness.at.now - sent;
            if ended.is_empty() && waited < request.wait.min(POLL_WAIT) {
                continue;
            }
            let finished = ended.clone();
            let running = (0..self.executions.len())
                .filter(|&i| &*self.executions[i].worker == worker)
                .collect::<Vec<_>>();
            let running = running.into_iter().map(|i| self.status(i)).collect();
            let clock_ms = 1_000 + u64::try_from(self.elapsed().as_millis()).unwrap();
            let response = report(clock_ms, running, finished);
            self.polls.remove(worker);
            let (at, worker) = (self.harness.at, Name::from(worker));
            self.harness
                .shard
                .handle_report(at, &worker, sent, &response);
        }
    }

    fn decide(&mut self) {
        self.harness.shard.tick(self.harness.at);
        let before = self.harness.stored.get("slowdowns").cloned();
        let effects = self.harness.store_batch();
        if self.harness.stored.get("slowdowns") != before.as_ref() {
            self.stored_at.push(self.harness.at.now);
        }
        for effect in effects {
            self.execute(effect);
        }
        let events = self.harness.shard.take_log_events();
        let is_own = |e: &LogEvent| e.event.starts_with("interference");
        self.events.extend(events.into_iter().filter(is_own));
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Start(worker, request) => {
                let run = request.run;
                let started = StartOutcome::Started(1_000);
                self.harness.answer_start(&worker, run, started);
                self.starts.push((run, worker.clone()));
                let image = self.image(run);
                let stream = self.streams.iter().find(|s| s.image == image);
                let seconds = stream.map_or(f64::INFINITY, |s| s.seconds);
                let seconds = self.seconds.get(&run.task.job).copied().unwrap_or(seconds);
                let left = seconds * self.factor(0.5);
                let share = 1.0;
                self.executions.push(Execution {
                    worker,
                    run,
                    left,
                    share,
                });
            }
            Effect::Stop(worker, run) => {
                self.executions.retain(|e| e.run != run);
                self.harness
                    .shard
                    .handle_stop(self.harness.at, &worker, run, true);
            }
            Effect::Poll(worker, request) => {
                let poll = (self.harness.at.now, request);
                self.polls.insert(worker, poll);
            }
            Effect::Throttle(_, run, percent) => {
                let mut executions = self.executions.iter_mut();
                if let Some(execution) = executions.find(|e| e.run == run) {
                    execution.share = f64::from(percent) / 100.0;
                }
            }
            _ => {}
        }
    }
}
