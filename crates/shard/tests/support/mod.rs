//! Builders for tests.

pub(crate) mod world;

use std::collections::BTreeMap;
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

/// A wall-clock time for tests.
const UNIX: Duration = Duration::from_secs(1_000_000);

pub(crate) const ROOM: Resources = Resources {
    cpu: 4_000,
    memory: 8_000,
    gpu: 0,
};

pub(crate) fn timings() -> Timings {
    Timings::new(Duration::from_secs(10), Duration::from_secs(120))
}

pub(crate) fn step(count: u32, after: &[u16]) -> Step {
    Step {
        count,
        resources: Resources {
            cpu: 1_000,
            memory: 100,
            gpu: 0,
        },
        estimate: Duration::from_millis(500),
        depends_on: after.to_vec(),
        ..Step::default()
    }
}

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

pub(crate) fn worker_info(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        pool: "pool".into(),
        address: format!("address-of-{id}").into(),
        labels: vec!["a".into(), "r1".into()],
        capacity: ROOM,
        draining: false,
        incarnation: 1,
    }
}

pub(crate) fn running(run: RunId, progress: u32) -> RunStatus {
    RunStatus {
        run,
        checkpoint: "".into(),
        progress,
        metric: 0,
    }
}

pub(crate) fn end(sequence: u64, run: RunId, outcome: RunOutcome) -> FinishedRun {
    FinishedRun {
        sequence,
        run,
        outcome,
        checkpoint: "".into(),
    }
}

/// A shard with a clock and a store that are moved by hand.
pub(crate) struct Bed {
    pub(crate) shard: Shard,
    pub(crate) at: Timestamp,
    pub(crate) stored: BTreeMap<String, Vec<u8>>,
    next_request: u64,
}

impl Bed {
    pub(crate) fn new(workers: &[&str]) -> Self {
        let at = Timestamp {
            now: Instant::now(),
            unix: UNIX,
        };
        let mut bed = Self {
            shard: Shard::new(timings(), at.now),
            at,
            stored: BTreeMap::new(),
            next_request: 0,
        };
        bed.list(workers);
        bed
    }

    pub(crate) fn list(&mut self, workers: &[&str]) {
        let worker_infos = workers.iter().map(|w| worker_info(w)).collect();
        self.shard.update_workers(self.at, worker_infos);
    }

    /// Replaces the owner by a new one that knows only what is stored.
    pub(crate) fn succeed(&mut self, workers: &[&str]) {
        self.shard = Shard::new(timings(), self.at.now);
        let records = self
            .stored
            .iter()
            .filter_map(|(k, v)| decode_record(k, v).unwrap());
        let records = records.collect();
        self.shard.restore(self.at, records);
        self.list(workers);
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        self.at.now += time;
        self.at.unix += time;
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

    /// Makes the decisions that are due and returns their effects.
    pub(crate) fn tick(&mut self) -> Vec<Effect> {
        self.shard.tick(self.at);
        self.shard.take_effects()
    }

    /// Stores the next batch, if there is one, and returns the effects that it releases.
    pub(crate) fn store(&mut self) -> Vec<Effect> {
        if let Some(records) = self.shard.next_batch() {
            self.keep(records);
            self.shard.batch_stored(self.at);
        }
        self.shard.take_effects()
    }

    pub(crate) fn keep(&mut self, records: Vec<Record>) {
        for record in records {
            match record.value {
                Some(value) => self.stored.insert(record.key, value),
                None => self.stored.remove(&record.key),
            };
        }
    }

    /// Answers a look at a worker that was sent just now.
    pub(crate) fn report(&mut self, worker: &str, report: &WorkerReport) {
        let sent = self.at.now;
        self.shard
            .handle_report(self.at, &Name::from(worker), sent, report);
    }

    /// Answers first looks with empty lists, so that the workers may be used.
    pub(crate) fn contact(&mut self, workers: &[&str]) {
        self.tick();
        for worker in workers {
            self.report(worker, &report(1_000, Vec::new(), Vec::new()));
        }
        self.shard.take_effects();
    }

    pub(crate) fn started(&mut self, worker: &Name, run: RunId, answer: StartOutcome) {
        self.shard.handle_start(self.at, worker, run, answer);
    }
}

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
    }
}

pub(crate) fn starts(effects: &[Effect]) -> Vec<(Name, StartRequest)> {
    let starts = effects.iter().filter_map(|effect| match effect {
        Effect::Start(worker, order) => Some((worker.clone(), order.clone())),
        _ => None,
    });
    starts.collect()
}
