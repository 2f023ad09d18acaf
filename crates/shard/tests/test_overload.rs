//! What callers get while a pool has more work than it can do.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::FinishedRun;
use lavenderhollow_shard::Job;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::JobState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PollRequest;
use lavenderhollow_shard::Response;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::RunStatus;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::WorkerReport;

use crate::support::Harness;
use crate::support::finished_run;
use crate::support::job;
use crate::support::report;
use crate::support::run_status;
use crate::support::start_requests;
use crate::support::step;

/// The time between two steps of the simulation.
const TICK: Duration = Duration::from_millis(10);

/// What a late job is worth against one in time, as at both users.
const LATE_WORTH: f64 = 0.07;

/// After how many times its objective a job is worth nothing.
const EXPIRY_FACTOR: u32 = 3;

/// The workers of the pool; each has four cores.
const WORKERS: [&str; 8] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];

/// The cores of all workers.
const CORES: f64 = 32.0;

/// The factor of a job's longest chain in its objective, and the fixed part, as the builders of the
/// tests set them.
const SLACK: u32 = 2;
const LATENCY: Duration = Duration::from_secs(1);

/// A generator of numbers for the load, so that every run has the same one.
struct Draw(u64);

impl Draw {
    /// Returns a number from 0 to 1.
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A job of the load.
struct Arrival {
    at: Duration,
    job: Job,
    /// The real run time of each task, which the owner does not know.
    real: Duration,
}

/// A peak: five times the mean for six seconds, more than the pool can do, then a twentieth. The
/// declared run times are off by up to two either way.
fn peak(seed: u64) -> Vec<Arrival> {
    let mut draw = Draw(seed);
    let mut load = Vec::new();
    let mut at = Duration::ZERO;
    let mut id = 0;
    while at < Duration::from_secs(12) {
        let rate = if at < Duration::from_secs(6) {
            22.0
        } else {
            1.0
        };
        at += Duration::from_secs_f64(-(1.0 - draw.next()).ln() / rate);
        id += 1;
        let count = 1 + (draw.next() * 8.0) as u32;
        let mut first = step(count, &[]);
        first.estimate = Duration::from_millis(250 + (draw.next() * 500.0) as u64);
        let mut steps = vec![first];
        if draw.next() < 0.6 {
            let mut second = step(count, &[0]);
            second.estimate = steps[0].estimate;
            steps.push(second);
        }
        let real = steps[0].estimate.mul_f64((draw.next() * 2.0 - 1.0).exp2());
        load.push(Arrival {
            at,
            job: job(id, steps),
            real,
        });
    }
    load
}

/// The tasks of a job one after the other, in core-seconds of real work.
fn work(arrival: &Arrival) -> f64 {
    let tasks: u32 = arrival.job.steps.iter().map(|s| s.count).sum();
    f64::from(tasks) * arrival.real.as_secs_f64()
}

/// What a job earns when it is completed after a time.
fn credit(arrival: &Arrival, taken: Duration) -> f64 {
    let objective = due(arrival) - arrival.at;
    let full = 0.3 + 0.7 * work(arrival) / 3.0;
    match taken {
        _ if taken <= objective => full,
        _ if taken <= objective * EXPIRY_FACTOR => full * LATE_WORTH,
        _ => 0.0,
    }
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<RunId, Instant>,
    ended: Vec<FinishedRun>,
    ends: u64,
    /// A look that waits for an end.
    poll: Option<(PollRequest, Instant)>,
}

/// The pool's workers and owner, and the callers of a load.
struct LoadReplay {
    harness: Harness,
    workers: BTreeMap<Name, Worker>,
    reals: BTreeMap<JobId, Duration>,
    begun: Instant,
}

impl LoadReplay {
    fn new(load: &[Arrival]) -> Self {
        let mut harness = Harness::new(&WORKERS);
        harness.poll_all(&WORKERS);
        let workers = WORKERS.iter().map(|w| (Name::from(*w), Worker::default()));
        Self {
            workers: workers.collect(),
            reals: load.iter().map(|a| (a.job.id, a.real)).collect(),
            begun: harness.at.now,
            harness,
        }
    }

    /// Plays the load; returns when each job was completed, since it was submitted first. A refused
    /// caller comes back when it is told to.
    fn play(mut self, load: &[Arrival]) -> BTreeMap<JobId, Duration> {
        let mut waiting: Vec<(Duration, usize)> =
            load.iter().enumerate().map(|(i, a)| (a.at, i)).collect();
        let mut asked = BTreeMap::new();
        let mut completed = BTreeMap::new();
        while self.now() < Duration::from_secs(40) {
            let now = self.now();
            let (due, later): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|(at, _)| *at <= now);
            waiting = later;
            for (_, i) in due {
                let request_id = self.harness.submit(load[i].job.clone());
                asked.insert(request_id, i);
            }
            let mut effects = self.harness.tick();
            effects.extend(self.harness.store_batch());
            for effect in effects {
                match effect {
                    Effect::Respond(request_id, Response::Refused { retry_after }) => {
                        waiting.push((now + retry_after, asked[&request_id]));
                    }
                    other => self.carry_out(other),
                }
            }
            self.work();
            for arrival in load.iter().filter(|a| a.at <= now) {
                let id = arrival.job.id;
                if self.harness.shard.state(id) == Some(JobState::Completed) {
                    completed.entry(id).or_insert(now - arrival.at);
                }
            }
            self.harness.advance(TICK);
        }
        completed
    }

    fn now(&self) -> Duration {
        self.harness.at.now - self.begun
    }

    fn carry_out(&mut self, effect: Effect) {
        let now = self.harness.at.now;
        match effect {
            Effect::Start(name, order) => {
                let real = self.reals[&order.run.task.job];
                let worker = self.workers.get_mut(&name).expect("a known worker");
                worker.running.insert(order.run, now + real);
                let clock_ms = u64::try_from(self.now().as_millis()).expect("a short simulation");
                self.harness
                    .answer_start(&name, order.run, StartOutcome::Started(clock_ms));
            }
            Effect::Poll(name, order) => {
                let until = now + order.wait;
                let worker = self.workers.get_mut(&name).expect("a known worker");
                worker.ended.retain(|end| end.sequence > order.acked_until);
                worker.poll = Some((order, until));
            }
            _ => {}
        }
    }

    /// Ends what is done, and answers the looks that wait for an end.
    fn work(&mut self) {
        let now = self.harness.at.now;
        let clock_ms = u64::try_from(self.now().as_millis()).expect("a short simulation");
        for (name, worker) in &mut self.workers {
            let done = worker.running.iter().filter(|(_, end)| **end <= now);
            let done: Vec<RunId> = done.map(|(run, _)| *run).collect();
            for run in done {
                worker.running.remove(&run);
                worker.ends += 1;
                worker.ended.push(FinishedRun {
                    sequence: worker.ends,
                    run,
                    outcome: RunOutcome::Done,
                    checkpoint: "".into(),
                });
            }
            let answers = worker
                .poll
                .as_ref()
                .is_some_and(|(_, until)| !worker.ended.is_empty() || *until <= now);
            if answers {
                worker.poll = None;
                let row = |run: &RunId| RunStatus {
                    run: *run,
                    checkpoint: "".into(),
                    progress: 100,
                    metric: 0,
                };
                let report = WorkerReport {
                    clock_ms,
                    incarnation: 1,
                    running: worker.running.keys().map(row).collect(),
                    finished: worker.ended.clone(),
                };
                self.harness.answer_poll(name, &report);
            }
        }
    }
}

/// Serves the tasks in the order in which their jobs came, and returns the credit.
fn first_come_first_served(load: &[Arrival]) -> f64 {
    let mut free = vec![Duration::ZERO; CORES as usize];
    let mut sum = 0.0;
    for arrival in load {
        let mut ready = arrival.at;
        for step in &arrival.job.steps {
            let mut end = ready;
            for _ in 0..step.count {
                free.sort_unstable();
                let done = free[0].max(ready) + arrival.real;
                free[0] = done;
                end = end.max(done);
            }
            ready = end;
        }
        sum += credit(arrival, ready - arrival.at);
    }
    sum
}

/// Returns when a job has to be completed to earn its full credit.
fn due(arrival: &Arrival) -> Duration {
    let chain = arrival.real * u32::try_from(arrival.job.steps.len()).unwrap_or(u32::MAX);
    arrival.at + chain * SLACK + LATENCY
}

/// Returns a bound on what anyone who knew the load could earn. Jobs are taken by their credit for
/// their work, as far as the cores can do it between their arrivals and the times at which they are
/// due, however it is divided; all others earn what late jobs do.
fn clairvoyant_bound(load: &[Arrival]) -> f64 {
    let (mut starts, mut ends): (Vec<Duration>, Vec<Duration>) =
        load.iter().map(|a| (a.at, due(a))).unzip();
    starts.sort_unstable();
    ends.sort_unstable();
    let mut order: Vec<&Arrival> = load.iter().collect();
    let density = |a: &Arrival| credit(a, Duration::ZERO) / work(a);
    order.sort_by(|a, b| density(b).total_cmp(&density(a)));
    let mut taken: Vec<(&Arrival, f64)> = Vec::new();
    let mut sum = 0.0;
    for arrival in order {
        let mut part = work(arrival);
        for start in starts.iter().filter(|s| **s <= arrival.at) {
            let mut inside: Vec<_> = taken.iter().filter(|(a, _)| a.at >= *start).collect();
            inside.sort_by_key(|(a, _)| due(a));
            let mut inside = inside.into_iter().peekable();
            let mut held = 0.0;
            for end in &ends {
                while let Some((_, amount)) = inside.next_if(|(a, _)| due(a) <= *end) {
                    held += amount;
                }
                if *end >= due(arrival) {
                    let room = CORES * end.saturating_sub(*start).as_secs_f64() - held;
                    part = part.min(room.max(0.0));
                }
            }
        }
        let share = part / work(arrival);
        sum += credit(arrival, Duration::ZERO) * (share + (1.0 - share) * LATE_WORTH);
        taken.push((arrival, part));
    }
    sum
}

/// What the callers of several peaks got.
struct Outcome {
    earned: f64,
    first_come: f64,
    bound: f64,
    /// The work of each job, and whether it was served.
    sizes: Vec<(f64, bool)>,
}

fn play_peaks() -> Outcome {
    let mut outcome = Outcome {
        earned: 0.0,
        first_come: 0.0,
        bound: 0.0,
        sizes: Vec::new(),
    };
    for seed in 1..=8 {
        let load = peak(seed);
        let completed = LoadReplay::new(&load).play(&load);
        for arrival in &load {
            let taken = completed.get(&arrival.job.id);
            let part = taken.map_or(0.0, |taken| credit(arrival, *taken));
            outcome.earned += part;
            outcome.sizes.push((work(arrival), part > 0.0));
        }
        outcome.first_come += first_come_first_served(&load);
        outcome.bound += clairvoyant_bound(&load);
    }
    outcome
}

/// Guards against an order that serves every job of an overloaded pool at the last moment, so that
/// most are late, and against one that starves the largest jobs.
#[test]
fn a_peak_beyond_the_pool_earns_more_than_first_come_first_served() {
    let mut outcome = play_peaks();
    let (earned, first_come) = (outcome.earned, outcome.first_come);
    println!("earned {earned:.1}, first come first served {first_come:.1}");
    assert!(earned >= 1.3 * first_come, "{earned} and {first_come}");

    outcome.sizes.sort_by(|a, b| b.0.total_cmp(&a.0));
    let share = |rows: &[(f64, bool)]| {
        rows.iter().filter(|(_, served)| *served).count() as f64 / rows.len() as f64
    };
    let (tenth, third) = (outcome.sizes.len() / 10, outcome.sizes.len() * 3 / 10);
    let all = share(&outcome.sizes);
    let largest = share(&outcome.sizes[..tenth]);
    let next = share(&outcome.sizes[tenth..third]);
    println!("served {all:.2}, the largest tenth {largest:.2}, the fifth below {next:.2}");
    assert!(
        largest >= 0.5 * all && next >= 0.5 * all,
        "{all}, {largest}, {next}"
    );
}

/// Guards against credit that is left lying although the pool could earn it.
#[test]
#[ignore = "KNOWN-RED.txt"]
fn a_peak_beyond_the_pool_earns_four_fifths_of_the_bound() {
    let Outcome { earned, bound, .. } = play_peaks();
    println!("earned {earned:.1} of {bound:.1}");
    assert!(earned >= 0.8 * bound, "{earned} of {bound}");
}

/// Guards against work on a job that is lost because another one, due sooner, goes first again and
/// again; by the time at which they are due, all jobs of a peak would be late by a little.
#[test]
fn a_job_that_is_further_along_goes_first() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut long = step(4, &[]);
    long.estimate = Duration::from_millis(800);
    harness.submit(job(1, vec![long.clone(), step(4, &[0])]));
    harness.tick();
    let orders = start_requests(&harness.store_batch());
    assert_eq!(orders.len(), 4, "the worker is full");
    let runs: Vec<RunId> = orders.iter().map(|(_, order)| order.run).collect();
    for run in &runs {
        harness.answer_start(&"w1".into(), *run, StartOutcome::Started(1_000));
    }
    // Due sooner than the first job, with a shorter chain.
    harness.submit(job(2, vec![step(4, &[])]));
    harness.tick();
    let mut ended = Vec::new();
    for (number, run) in (1..).zip(&runs) {
        ended.push(finished_run(number, *run, RunOutcome::Done));
    }
    harness.answer_poll("w1", &report(1_800, vec![], ended));
    harness.tick();
    let next: Vec<JobId> = start_requests(&harness.store_batch())
        .iter()
        .map(|s| s.1.run.task.job)
        .collect();
    assert_eq!(next, [JobId(1); 4]);
}

/// Guards against long jobs that hold up many short ones while a pool is full.
#[test]
fn of_two_jobs_that_have_not_begun_the_shorter_goes_first() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(job(1, vec![step(4, &[])]));
    harness.tick();
    let orders = start_requests(&harness.store_batch());
    let run = orders[0].1.run;
    for (_, order) in &orders {
        harness.answer_start(&"w1".into(), order.run, StartOutcome::Started(1_000));
    }
    // The longer job comes first and is due sooner; both can still be done in time.
    harness.submit(job(2, vec![step(1, &[]), step(1, &[0])]));
    harness.advance(Duration::from_millis(1_200));
    harness.submit(job(3, vec![step(1, &[])]));
    harness.tick();
    let rest = orders[1..]
        .iter()
        .map(|(_, order)| run_status(order.run, 50));
    harness.answer_poll(
        "w1",
        &report(
            2_300,
            rest.collect(),
            vec![finished_run(1, run, RunOutcome::Done)],
        ),
    );
    harness.tick();
    let next: Vec<JobId> = start_requests(&harness.store_batch())
        .iter()
        .map(|s| s.1.run.task.job)
        .collect();
    assert_eq!(next, [JobId(3)]);
}
