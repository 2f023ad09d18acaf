//! Tests of the order in which jobs run while a pool is overloaded, measured by the credit that
//! completed jobs earn.

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
use crate::support::starts;
use crate::support::step;

/// The simulated time between two scheduling passes.
const TICK: Duration = Duration::from_millis(10);

/// The credit of a late job as a fraction of that of a job on time. Both users of the system give
/// the same value.
const LATE_CREDIT_FACTOR: f64 = 0.07;

/// A job earns nothing once it takes longer than this many times its objective.
const EXPIRY_FACTOR: u32 = 3;

/// The workers of the pool; each has four cores.
const WORKERS: [&str; 8] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];

/// The number of cores of all workers.
const CORES: f64 = 32.0;

/// A job's objective is its critical path times the slack factor, plus the base objective. The
/// values are those of the queue that `support::job` sets.
const SLACK_FACTOR: u32 = 2;
const BASE_OBJECTIVE: Duration = Duration::from_secs(1);

/// A deterministic pseudo-random generator, so that every test run has the same load.
struct LoadRng(u64);

impl LoadRng {
    /// Returns a number of at least 0 and below 1.
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A job of the load and the time at which it is submitted.
struct Arrival {
    at: Duration,
    job: Job,
    /// The actual run time of each task, which the owner does not know.
    run_time: Duration,
}

/// Returns a load with a peak: for six seconds five times the mean rate, which exceeds the pool's
/// capacity, then about a twentieth of the peak rate. The actual run times differ from the
/// estimates by a factor of up to two either way.
fn peak_load(seed: u64) -> Vec<Arrival> {
    let mut rng = LoadRng(seed);
    let mut load = Vec::new();
    let mut at = Duration::ZERO;
    let mut id = 0;
    while at < Duration::from_secs(12) {
        let rate = if at < Duration::from_secs(6) {
            22.0
        } else {
            1.0
        };
        at += Duration::from_secs_f64(-(1.0 - rng.next()).ln() / rate);
        id += 1;
        let count = 1 + (rng.next() * 8.0) as u32;
        let mut first = step(count, &[]);
        first.estimate = Duration::from_millis(250 + (rng.next() * 500.0) as u64);
        let mut steps = vec![first];
        if rng.next() < 0.6 {
            let mut second = step(count, &[0]);
            second.estimate = steps[0].estimate;
            steps.push(second);
        }
        let run_time = steps[0].estimate.mul_f64((rng.next() * 2.0 - 1.0).exp2());
        load.push(Arrival {
            at,
            job: job(id, steps),
            run_time,
        });
    }
    load
}

/// Returns the actual work of all tasks of a job, in core-seconds.
fn total_work(arrival: &Arrival) -> f64 {
    let tasks: u32 = arrival.job.steps.iter().map(|s| s.count).sum();
    f64::from(tasks) * arrival.run_time.as_secs_f64()
}

/// Returns the credit that a job earns when it completes `elapsed` after its first submission.
fn credit(arrival: &Arrival, elapsed: Duration) -> f64 {
    let objective = deadline(arrival) - arrival.at;
    let full = 0.3 + 0.7 * total_work(arrival) / 3.0;
    match elapsed {
        _ if elapsed <= objective => full,
        _ if elapsed <= objective * EXPIRY_FACTOR => full * LATE_CREDIT_FACTOR,
        _ => 0.0,
    }
}

#[derive(Default)]
struct ReplayWorker {
    running: BTreeMap<RunId, Instant>,
    finished: Vec<FinishedRun>,
    last_sequence: u64,
    /// A long poll that waits for a finished run, and the time at which it has to be answered.
    poll: Option<(PollRequest, Instant)>,
}

/// Replays a load against a shard owner and the workers of one pool.
struct LoadReplay {
    harness: Harness,
    workers: BTreeMap<Name, ReplayWorker>,
    run_times: BTreeMap<JobId, Duration>,
    start: Instant,
}

impl LoadReplay {
    fn new(load: &[Arrival]) -> Self {
        let mut harness = Harness::new(&WORKERS);
        harness.poll_all(&WORKERS);
        let workers = WORKERS
            .iter()
            .map(|w| (Name::from(*w), ReplayWorker::default()));
        Self {
            workers: workers.collect(),
            run_times: load.iter().map(|a| (a.job.id, a.run_time)).collect(),
            start: harness.at.now,
            harness,
        }
    }

    /// Replays the load for 40 s and returns how long each completed job took since its first
    /// submission. A rejected job is submitted again after the `retry_after` of its response.
    fn replay(mut self, load: &[Arrival]) -> BTreeMap<JobId, Duration> {
        let mut waiting: Vec<(Duration, usize)> =
            load.iter().enumerate().map(|(i, a)| (a.at, i)).collect();
        let mut submissions = BTreeMap::new();
        let mut completed = BTreeMap::new();
        while self.now() < Duration::from_secs(40) {
            let now = self.now();
            let (due, later): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|(at, _)| *at <= now);
            waiting = later;
            for (_, i) in due {
                let request_id = self.harness.submit(load[i].job.clone());
                submissions.insert(request_id, i);
            }
            let mut effects = self.harness.tick();
            effects.extend(self.harness.store_batch());
            for effect in effects {
                match effect {
                    Effect::Respond(request_id, Response::Rejected { retry_after }) => {
                        waiting.push((now + retry_after, submissions[&request_id]));
                    }
                    other => self.execute_effect(other),
                }
            }
            self.advance_runs();
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
        self.harness.at.now - self.start
    }

    fn execute_effect(&mut self, effect: Effect) {
        let now = self.harness.at.now;
        match effect {
            Effect::Start(name, request) => {
                let run_time = self.run_times[&request.run.task.job];
                let worker = self.workers.get_mut(&name).expect("a known worker");
                worker.running.insert(request.run, now + run_time);
                let clock_ms = u64::try_from(self.now().as_millis()).expect("a short simulation");
                self.harness
                    .answer_start(&name, request.run, StartOutcome::Started(clock_ms));
            }
            Effect::Poll(name, request) => {
                let until = now + request.wait;
                let worker = self.workers.get_mut(&name).expect("a known worker");
                worker.finished.retain(|f| f.sequence > request.acked_until);
                worker.poll = Some((request, until));
            }
            _ => {}
        }
    }

    /// Finishes the runs that are over, and answers long polls that have a finished run or time
    /// out.
    fn advance_runs(&mut self) {
        let now = self.harness.at.now;
        let clock_ms = u64::try_from(self.now().as_millis()).expect("a short simulation");
        for (name, worker) in &mut self.workers {
            let done = worker.running.iter().filter(|(_, end)| **end <= now);
            let done: Vec<RunId> = done.map(|(run, _)| *run).collect();
            for run in done {
                worker.running.remove(&run);
                worker.last_sequence += 1;
                worker.finished.push(FinishedRun {
                    sequence: worker.last_sequence,
                    run,
                    outcome: RunOutcome::Done,
                    checkpoint: "".into(),
                });
            }
            let responds = worker
                .poll
                .as_ref()
                .is_some_and(|(_, until)| !worker.finished.is_empty() || *until <= now);
            if responds {
                worker.poll = None;
                let status = |run: &RunId| RunStatus {
                    run: *run,
                    checkpoint: "".into(),
                    progress: 100,
                    metric: 0,
                };
                let report = WorkerReport {
                    clock_ms,
                    incarnation: 1,
                    running: worker.running.keys().map(status).collect(),
                    finished: worker.finished.clone(),
                    truncated: false,
                };
                self.harness.answer_poll(name, &report);
            }
        }
    }
}

/// Returns the credit that running the tasks in the order of their jobs' arrival earns.
fn first_come_first_served(load: &[Arrival]) -> f64 {
    let mut free = vec![Duration::ZERO; CORES as usize];
    let mut sum = 0.0;
    for arrival in load {
        let mut ready = arrival.at;
        for step in &arrival.job.steps {
            let mut end = ready;
            for _ in 0..step.count {
                free.sort_unstable();
                let done = free[0].max(ready) + arrival.run_time;
                free[0] = done;
                end = end.max(done);
            }
            ready = end;
        }
        sum += credit(arrival, ready - arrival.at);
    }
    sum
}

/// Returns the time until which a job earns its full credit.
fn deadline(arrival: &Arrival) -> Duration {
    let critical_path =
        arrival.run_time * u32::try_from(arrival.job.steps.len()).unwrap_or(u32::MAX);
    arrival.at + critical_path * SLACK_FACTOR + BASE_OBJECTIVE
}

/// Returns an upper bound on the credit of a scheduler that knows the whole load in advance. Jobs
/// are planned by decreasing credit per unit of work, as far as the cores can do the work between
/// arrivals and deadlines, divided into any pieces. The part of a job that does not fit earns the
/// late credit.
fn clairvoyant_bound(load: &[Arrival]) -> f64 {
    let (mut starts, mut ends): (Vec<Duration>, Vec<Duration>) =
        load.iter().map(|a| (a.at, deadline(a))).unzip();
    starts.sort_unstable();
    ends.sort_unstable();
    let mut by_density: Vec<&Arrival> = load.iter().collect();
    let density = |a: &Arrival| credit(a, Duration::ZERO) / total_work(a);
    by_density.sort_by(|a, b| density(b).total_cmp(&density(a)));
    let mut planned: Vec<(&Arrival, f64)> = Vec::new();
    let mut sum = 0.0;
    for arrival in by_density {
        let mut feasible_work = total_work(arrival);
        for start in starts.iter().filter(|s| **s <= arrival.at) {
            let mut inside: Vec<_> = planned.iter().filter(|(a, _)| a.at >= *start).collect();
            inside.sort_by_key(|(a, _)| deadline(a));
            let mut inside = inside.into_iter().peekable();
            let mut reserved = 0.0;
            for end in &ends {
                while let Some((_, amount)) = inside.next_if(|(a, _)| deadline(a) <= *end) {
                    reserved += amount;
                }
                if *end >= deadline(arrival) {
                    let available = CORES * end.saturating_sub(*start).as_secs_f64() - reserved;
                    feasible_work = feasible_work.min(available.max(0.0));
                }
            }
        }
        let fraction = feasible_work / total_work(arrival);
        sum += credit(arrival, Duration::ZERO) * (fraction + (1.0 - fraction) * LATE_CREDIT_FACTOR);
        planned.push((arrival, feasible_work));
    }
    sum
}

/// The credit of several peaks: what the shard earned, what first come, first served earns, and the
/// upper bound.
struct PeakResults {
    earned: f64,
    first_come: f64,
    bound: f64,
    /// The work of each job, and whether it earned credit.
    jobs: Vec<(f64, bool)>,
}

fn replay_peaks() -> PeakResults {
    let mut results = PeakResults {
        earned: 0.0,
        first_come: 0.0,
        bound: 0.0,
        jobs: Vec::new(),
    };
    for seed in 1..=8 {
        let load = peak_load(seed);
        let completed = LoadReplay::new(&load).replay(&load);
        for arrival in &load {
            let elapsed = completed.get(&arrival.job.id);
            let earned = elapsed.map_or(0.0, |elapsed| credit(arrival, *elapsed));
            results.earned += earned;
            results.jobs.push((total_work(arrival), earned > 0.0));
        }
        results.first_come += first_come_first_served(&load);
        results.bound += clairvoyant_bound(&load);
    }
    results
}

/// Guards against a scheduling order that runs every job of an overloaded pool at the last moment,
/// so that most are late, and against one that starves the largest jobs.
#[test]
fn an_overloaded_pool_earns_more_than_first_come_first_served() {
    let mut results = replay_peaks();
    let (earned, first_come) = (results.earned, results.first_come);
    println!("earned {earned:.1}, first come first served {first_come:.1}");
    assert!(earned >= 1.3 * first_come, "{earned} and {first_come}");

    results.jobs.sort_by(|a, b| b.0.total_cmp(&a.0));
    let earning_fraction = |rows: &[(f64, bool)]| {
        rows.iter().filter(|(_, earned)| *earned).count() as f64 / rows.len() as f64
    };
    let (tenth, third) = (results.jobs.len() / 10, results.jobs.len() * 3 / 10);
    let all = earning_fraction(&results.jobs);
    let largest = earning_fraction(&results.jobs[..tenth]);
    let next = earning_fraction(&results.jobs[tenth..third]);
    println!(
        "jobs with credit {all:.2}, of the largest tenth {largest:.2}, of the fifth below {next:.2}"
    );
    assert!(
        largest >= 0.5 * all && next >= 0.5 * all,
        "{all}, {largest}, {next}"
    );
}

/// Guards against a scheduling order that earns much less credit than the pool's capacity allows.
#[test]
#[ignore = "KNOWN-RED.txt"]
fn a_peak_beyond_the_pool_earns_four_fifths_of_the_bound() {
    let PeakResults { earned, bound, .. } = replay_peaks();
    println!("earned {earned:.1} of {bound:.1}");
    assert!(earned >= 0.8 * bound, "{earned} of {bound}");
}

/// Guards against wasting the work on a partly completed job because jobs with earlier deadlines
/// overtake it again and again. If tasks ran in the order of their jobs' deadlines, all jobs of a
/// peak would be slightly late.
#[test]
fn a_partly_completed_job_goes_first() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut long_step = step(4, &[]);
    long_step.estimate = Duration::from_millis(800);
    harness.submit(job(1, vec![long_step.clone(), step(4, &[0])]));
    harness.tick();
    let requests = starts(&harness.store_batch());
    assert_eq!(requests.len(), 4, "the worker is full");
    let runs: Vec<RunId> = requests.iter().map(|(_, request)| request.run).collect();
    for run in &runs {
        harness.answer_start(&"w1".into(), *run, StartOutcome::Started(1_000));
    }
    // The second job has an earlier deadline and a shorter critical path than the first.
    harness.submit(job(2, vec![step(4, &[])]));
    harness.tick();
    let mut finished = Vec::new();
    for (sequence, run) in (1..).zip(&runs) {
        finished.push(finished_run(sequence, *run, RunOutcome::Done));
    }
    harness.answer_poll("w1", &report(1_800, vec![], finished));
    harness.tick();
    let started: Vec<JobId> = starts(&harness.store_batch())
        .iter()
        .map(|s| s.1.run.task.job)
        .collect();
    assert_eq!(started, [JobId(1); 4]);
}

/// Guards against long jobs that delay many short ones while a pool is full.
#[test]
fn the_shorter_of_two_unstarted_jobs_goes_first() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(job(1, vec![step(4, &[])]));
    harness.tick();
    let requests = starts(&harness.store_batch());
    let run = requests[0].1.run;
    for (_, request) in &requests {
        harness.answer_start(&"w1".into(), request.run, StartOutcome::Started(1_000));
    }
    // The longer job arrives first and has the earlier deadline; both can still complete on time.
    harness.submit(job(2, vec![step(1, &[]), step(1, &[0])]));
    harness.advance(Duration::from_millis(1_200));
    harness.submit(job(3, vec![step(1, &[])]));
    harness.tick();
    let remaining = requests[1..]
        .iter()
        .map(|(_, request)| run_status(request.run, 50));
    harness.answer_poll(
        "w1",
        &report(
            2_300,
            remaining.collect(),
            vec![finished_run(1, run, RunOutcome::Done)],
        ),
    );
    harness.tick();
    let started: Vec<JobId> = starts(&harness.store_batch())
        .iter()
        .map(|s| s.1.run.task.job)
        .collect();
    assert_eq!(started, [JobId(3)]);
}
