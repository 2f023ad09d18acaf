//! Builders for jobs, workers and worker reports, and a test harness for one shard.

pub(crate) mod contended_pool;
pub(crate) mod pool_load;
pub(crate) mod simulation;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::FinishedRun;
use lavenderhollow_shard::Job;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::QueueSettings;
use lavenderhollow_shard::Record;
use lavenderhollow_shard::RequestId;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::RunStatus;
use lavenderhollow_shard::Shard;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::StartRequest;
use lavenderhollow_shard::Step;
use lavenderhollow_shard::Timestamp;
use lavenderhollow_shard::Timings;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_shard::WorkerReport;
use lavenderhollow_shard::decode_record;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// The wall-clock time at which tests start, as time since 1970.
const START_UNIX_TIME: Duration = Duration::from_secs(1_000_000);

/// The capacity of each worker in tests.
pub(crate) const CAPACITY: Resources = Resources {
    cpu: 4_000,
    memory: 8_000,
    gpu: 0,
};

/// Returns the timings for a maximum lease of 10 s and a job retention of 120 s.
pub(crate) fn timings() -> Timings {
    Timings::new(Duration::from_secs(10), Duration::from_secs(120))
}

/// Returns a step of `count` tasks that take one core for an estimated 500 ms each.
pub(crate) fn step(count: u32, depends_on: &[u16]) -> Step {
    Step {
        count,
        resources: Resources {
            cpu: 1_000,
            memory: 100,
            gpu: 0,
        },
        estimate: Duration::from_millis(500),
        depends_on: depends_on.to_vec(),
        ..Step::default()
    }
}

/// Returns a job with an objective of twice its critical path plus one second, and two attempts for
/// each task.
pub(crate) fn job(id: u64, steps: Vec<Step>) -> Job {
    Job {
        id: JobId(id),
        queue: QueueSettings {
            name: "checks".into(),
            pool: "pool".into(),
            priority: 0,
            max_attempts: 2,
            slack_factor: 2.0,
            base_objective: Duration::from_secs(1),
            policy: None,
        },
        team: None,
        payload: "text".into(),
        steps,
        repeat: None,
    }
}

/// Returns the registration of a worker.
pub(crate) fn worker_info(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        pool: "pool".into(),
        address: format!("address-of-{id}").into(),
        labels: vec!["a".into(), "r1".into()],
        capacity: CAPACITY,
        draining: false,
        incarnation: 1,
        zone: "".into(),
    }
}

pub(crate) fn run_status(run: RunId, progress: u32) -> RunStatus {
    RunStatus {
        run,
        checkpoint: "".into(),
        progress,
        metric: 0,
    }
}

pub(crate) fn finished_run(sequence: u64, run: RunId, outcome: RunOutcome) -> FinishedRun {
    FinishedRun {
        sequence,
        run,
        outcome,
        checkpoint: "".into(),
    }
}

/// A shard owner with a clock that tests advance and a store that they write batch by batch.
pub(crate) struct Harness {
    pub(crate) shard: Shard,
    pub(crate) at: Timestamp,
    pub(crate) stored: BTreeMap<String, Vec<u8>>,
    /// The number of batches that were stored, which is the highest fencing token of the owner.
    batches: u64,
    next_request: u64,
}

impl Harness {
    pub(crate) fn new(workers: &[&str]) -> Self {
        let at = Timestamp {
            now: Instant::now(),
            unix: START_UNIX_TIME,
        };
        let mut harness = Self {
            shard: Shard::new(timings(), at.now),
            at,
            stored: BTreeMap::new(),
            batches: 0,
            next_request: 0,
        };
        harness.update_workers(workers);
        harness
    }

    /// Gives the shard a new worker list.
    pub(crate) fn update_workers(&mut self, workers: &[&str]) {
        let worker_infos = workers.iter().map(|w| worker_info(w)).collect();
        self.shard.update_workers(self.at, worker_infos);
    }

    /// Sets the evacuated zones.
    pub(crate) fn evacuate(&mut self, zones: &[&str]) {
        let zones: BTreeSet<Name> = zones.iter().map(|zone| Name::from(*zone)).collect();
        self.shard.set_evacuated_zones(&Arc::new(zones));
    }

    /// Replaces the owner by a new one that restores its state from the stored records alone.
    pub(crate) fn replace_owner(&mut self, workers: &[&str]) {
        self.replace_owner_with(timings(), workers);
    }

    /// Replaces the owner as [`Self::replace_owner`] does, by one with other timings.
    pub(crate) fn replace_owner_with(&mut self, timings: Timings, workers: &[&str]) {
        self.shard = Shard::new(timings, self.at.now);
        self.batches += 1;
        self.shard.set_fencing_token(self.batches);
        let records = self
            .stored
            .iter()
            .filter_map(|(k, v)| decode_record(k, v).unwrap());
        let records = records.collect();
        self.shard.restore(self.at, records);
        self.update_workers(workers);
    }

    /// Advances the monotonic clock and the wall clock.
    pub(crate) fn advance(&mut self, duration: Duration) {
        self.at.now += duration;
        self.at.unix += duration;
    }

    pub(crate) fn submit(&mut self, job: Job) -> RequestId {
        self.next_request += 1;
        let request_id = RequestId(self.next_request);
        self.shard.submit(self.at, request_id, job);
        request_id
    }

    pub(crate) fn cancel(&mut self, id: u64) -> RequestId {
        self.next_request += 1;
        let request_id = RequestId(self.next_request);
        self.shard.cancel(self.at, request_id, JobId(id));
        request_id
    }

    /// Runs one scheduling pass and returns its effects.
    pub(crate) fn tick(&mut self) -> Vec<Effect> {
        self.shard.tick(self.at);
        pool_load::check(&mut self.shard, self.at.now);
        self.shard.take_effects()
    }

    /// Stores the next batch of records, if there is one, and returns the effects that waited for
    /// it.
    pub(crate) fn store_batch(&mut self) -> Vec<Effect> {
        if let Some(records) = self.shard.next_batch() {
            self.apply_records(records);
            self.batches += 1;
            self.shard.set_fencing_token(self.batches);
            self.shard.batch_stored(self.at);
        }
        self.shard.take_effects()
    }

    /// Applies a batch of records to the store; a record without a value deletes its key.
    pub(crate) fn apply_records(&mut self, records: Vec<Record>) {
        for record in records {
            match record.value {
                Some(value) => self.stored.insert(record.key, value),
                None => self.stored.remove(&record.key),
            };
        }
    }

    /// Answers a poll of a worker that was sent at the current time.
    pub(crate) fn answer_poll(&mut self, worker: &str, report: &WorkerReport) {
        let sent = self.at.now;
        self.shard
            .handle_report(self.at, &Name::from(worker), sent, report);
    }

    /// Answers the first poll of each worker with empty lists, so that the shard places tasks on
    /// it.
    pub(crate) fn poll_all(&mut self, workers: &[&str]) {
        self.tick();
        for worker in workers {
            self.answer_poll(worker, &report(1_000, Vec::new(), Vec::new()));
        }
        self.shard.take_effects();
    }

    /// Delivers the outcome of a start request to the shard.
    pub(crate) fn answer_start(&mut self, worker: &Name, run: RunId, outcome: StartOutcome) {
        self.shard.handle_start(self.at, worker, run, outcome);
    }
}

/// Returns a report of a worker in its first incarnation.
pub(crate) fn report(
    clock_ms: u64,
    running: Vec<RunStatus>,
    finished: Vec<FinishedRun>,
) -> WorkerReport {
    WorkerReport {
        clock_ms,
        incarnation: 1,
        running,
        finished,
        truncated: false,
    }
}

/// Returns the start requests among the effects, each with its worker.
pub(crate) fn starts(effects: &[Effect]) -> Vec<(Name, StartRequest)> {
    let requests = effects.iter().filter_map(|effect| match effect {
        Effect::Start(worker, request) => Some((worker.clone(), request.clone())),
        _ => None,
    });
    requests.collect()
}

/// Returns a runner of random cases, which are the same for the same seed.
pub(crate) fn case_runner(seed: u64, cases: u32) -> TestRunner {
    let config = Config {
        cases,
        max_shrink_iters: 4_000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0u8; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}
