//! Entries, log, callers and target of the jobs machine.

use std::collections::VecDeque;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::jobs::JobChange;
use lavenderhollow_core::jobs::JobOutcome;
use lavenderhollow_core::jobs::JobSpec;
use lavenderhollow_core::jobs::Jobs;
use lavenderhollow_core::jobs::PendingStart;
use lavenderhollow_core::jobs::RecordedStart;
use lavenderhollow_core::jobs::Stage;
use lavenderhollow_core::once::ClaimKey;
use lavenderhollow_core::permit::Lease;
use lavenderhollow_core::permit::Permit;
use lavenderhollow_core::permit::SendError;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Record;
use lavenderhollow_testing::FakeLog;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::JobId;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::VmName;

use super::model::ENTRIES;
use super::model::JOBS;
use super::model::Target;

const LEASE: Duration = Duration::from_secs(10);
const START: Duration = Duration::from_secs(1_000_000_000);

pub(super) static RUNS: AtomicU64 = AtomicU64::new(0);
pub(super) static TAKEN: AtomicU64 = AtomicU64::new(0);

/// Knows only the promise: it sits at the target and counts runs.
#[derive(Default)]
struct Oracle {
    runs: [u32; JOBS],
    not_run: [bool; JOBS],
}

impl Oracle {
    fn run(&mut self, job: usize) {
        RUNS.fetch_add(1, Ordering::Relaxed);
        self.runs[job] += 1;
        assert!(!self.not_run[job], "false not run: job {job} ran after it");
        assert!(
            !job.is_multiple_of(2) || self.runs[job] == 1,
            "job {job} ran twice"
        );
    }

    fn told(&mut self, job: usize, outcome: &JobOutcome) {
        match outcome {
            JobOutcome::NotRun(_) => {
                assert_eq!(self.runs[job], 0, "false not run: job {job} has run");
                self.not_run[job] = true;
            }
            JobOutcome::Succeeded(_) => assert!(self.runs[job] > 0, "job {job} has not run"),
            JobOutcome::Failed(_) | JobOutcome::MayHaveRun(_) => {}
        }
    }
}

pub(super) struct Entry {
    id: Incarnation,
    fold: Fold<Jobs>,
    pending: Vec<PendingStart<JobId>>,
    ready: VecDeque<RecordedStart<JobId>>,
    lease: Lease,
    pub(super) skew: i64,
    pub(super) paused: bool,
}

pub(super) struct World {
    base: Instant,
    pub(super) elapsed: Duration,
    pub(super) log: FakeLog<Jobs>,
    pub(super) log_skew: i64,
    pub(super) entries: Vec<Entry>,
    jobs: Vec<Option<JobId>>,
    appended: Vec<Record<JobChange>>,
    late: VecDeque<(usize, SystemTime)>,
    oracle: Oracle,
    incarnations: u128,
}

fn shifted(time: SystemTime, seconds: i64) -> SystemTime {
    let step = Duration::from_secs(seconds.unsigned_abs());
    if seconds < 0 {
        time - step
    } else {
        time + step
    }
}

impl World {
    pub(super) fn new() -> Self {
        let mut world = Self {
            base: Instant::now(),
            elapsed: Duration::ZERO,
            log: FakeLog::default(),
            log_skew: 0,
            entries: Vec::new(),
            jobs: vec![None; JOBS],
            appended: Vec::new(),
            late: VecDeque::new(),
            oracle: Oracle::default(),
            incarnations: 0,
        };
        for _ in 0..ENTRIES {
            let entry = world.process(Fold::default());
            world.entries.push(entry);
        }
        world
    }

    fn now(&self) -> Instant {
        self.base + self.elapsed
    }

    fn time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + START + self.elapsed
    }

    fn lease(&self, holder: Incarnation) -> Lease {
        Lease {
            holder,
            until: self.now() + LEASE,
            end: self.time() + LEASE,
        }
    }

    fn process(&mut self, fold: Fold<Jobs>) -> Entry {
        self.incarnations += 1;
        let id = Incarnation::from_number(self.incarnations);
        Entry {
            id,
            fold,
            pending: Vec::new(),
            ready: VecDeque::new(),
            lease: self.lease(id),
            skew: 0,
            paused: false,
        }
    }

    fn number(&self, job: JobId) -> usize {
        let found = self.jobs.iter().position(|known| *known == Some(job));
        found.expect("every job was submitted here")
    }

    fn append(&mut self, at: usize, change: JobChange) {
        self.append_record(Record {
            id: RecordId::random(),
            created: shifted(self.time(), self.entries[at].skew),
            actor: self.entries[at].id,
            expected: None,
            change,
        });
    }

    fn append_record(&mut self, record: Record<JobChange>) {
        self.appended.push(record);
        self.repeat(self.appended.len() - 1);
    }

    /// Appends an earlier record again, as a late packet or a repeated append does.
    pub(super) fn repeat(&mut self, record: usize) {
        if !self.appended.is_empty() {
            let record = self.appended[record % self.appended.len()].clone();
            let time = shifted(self.time(), self.log_skew);
            let _ = self.log.append(Item::Change(record), time);
        }
    }

    /// A caller submits a job, possibly again and at another entry, with the same key.
    pub(super) fn submit(&mut self, number: usize, at: usize) {
        let time = self.time();
        let key = || ClaimKey::from_parts(time, number as u64).as_uuid().into();
        let job = *self.jobs[number].get_or_insert_with(key);
        let spec = JobSpec {
            team: TeamName::new("royalties").unwrap(),
            queue: QueueName::new("fees").unwrap(),
            idempotent: !number.is_multiple_of(2),
            urgent: number == 2,
            deadline: time + Duration::from_secs(number as u64),
            slots: 1,
            run_time: Duration::from_secs(1),
            body: Body::default(),
        };
        let spec = Box::new(spec);
        if !self.entries[at].paused {
            self.append(at, JobChange::Submit { job, spec });
        }
    }

    pub(super) fn start(&mut self, at: usize) {
        let deadline = self.now() + Duration::from_secs(600);
        let time = self.time();
        let entry = &mut self.entries[at];
        let Some(job) = entry.fold.state().next(entry.id).filter(|_| !entry.paused) else {
            return;
        };
        // A worker's clock that is off makes the recorded end wrong, as the entry's skew here.
        let lease = Lease {
            end: shifted(entry.lease.end, entry.skew),
            ..entry.lease.clone()
        };
        let worker = VmName::new("vm-1").unwrap();
        let permit = Permit::new(job, deadline);
        let wall = shifted(time, entry.skew);
        let pending = PendingStart::new(permit, job, worker, &lease, entry.id, wall);
        let record = pending.record().clone();
        entry.pending.push(pending);
        self.append_record(record);
    }

    pub(super) fn sync(&mut self, at: usize) {
        if self.entries[at].paused {
            return;
        }
        self.entries[at].lease = self.lease(self.entries[at].id);
        let entry = &mut self.entries[at];
        for (position, item) in self.log.read(entry.fold.next(), 20).unwrap_or_default() {
            let outcome = entry.fold.apply(position, &item);
            let Item::Change(record) = item else { continue };
            if let JobChange::TakeOver { .. } = record.change {
                let won = outcome.is_accepted() && record.actor == entry.id;
                TAKEN.fetch_add(u64::from(won), Ordering::Relaxed);
            }
            let mine = |pending: &PendingStart<JobId>| pending.record().id == record.id;
            if let Some(index) = entry.pending.iter().position(mine) {
                let pending = entry.pending.swap_remove(index);
                entry.ready.extend(pending.resolve(&outcome));
            }
        }
        self.read_outcomes(at);
    }

    pub(super) fn dispatch(&mut self, at: usize, target: Target) {
        let now = self.now();
        let entry = &mut self.entries[at];
        if entry.paused {
            return;
        }
        let Some(start) = entry.ready.pop_front() else {
            return;
        };
        let (job, attempt) = (start.job(), start.attempt());
        let sent = match start.start(&entry.lease, now) {
            Ok(sent) => sent,
            Err(error) => return self.unanswered(at, job, attempt, error),
        };
        let number = self.number(job);
        match target {
            Target::Refuses => {
                let error = sent.refused(429, Some(attempt));
                return self.unanswered(at, job, attempt, error);
            }
            Target::GetsItLate => self.late.push_back((number, sent.lease_end())),
            Target::Answers | Target::LosesAnswer => self.oracle.run(number),
        }
        if !matches!(target, Target::Answers) {
            return self.unanswered(at, job, attempt, sent.lost("timed out"));
        }
        let outcome = JobOutcome::Succeeded(Body::default());
        let attempt = Some(attempt);
        self.append(
            at,
            JobChange::Finish {
                job,
                attempt,
                outcome,
            },
        );
    }

    fn unanswered(&mut self, at: usize, job: JobId, attempt: AttemptId, error: SendError<JobId>) {
        let doubt = matches!(error, SendError::Unknown(_));
        // The fold refuses to return a job that is not idempotent after doubt.
        self.append(
            at,
            JobChange::Return {
                job,
                attempt,
                doubt,
            },
        );
        if let SendError::Unknown(doubt) = error {
            let outcome = JobOutcome::MayHaveRun(doubt);
            let attempt = Some(attempt);
            self.append(
                at,
                JobChange::Finish {
                    job,
                    attempt,
                    outcome,
                },
            );
        }
    }

    pub(super) fn take_over(&mut self, at: usize, owner: usize) {
        let gone = self.entries[owner].id;
        let ids = (1..=self.incarnations).map(Incarnation::from_number);
        let dead = ids.filter(|id| self.entries.iter().all(|entry| entry.id != *id));
        let jobs = self.entries[at].fold.state();
        let owners = dead.chain([gone]);
        let seen: Vec<_> = owners.flat_map(|id| jobs.owned(id)).collect();
        for job in seen {
            let attempt = match &self.entries[at].fold.state().get(job).unwrap().stage {
                Stage::Running(attempt) => Some(attempt.id),
                _ => None,
            };
            self.append(at, JobChange::TakeOver { job, attempt });
        }
    }

    pub(super) fn cancel(&mut self, number: usize) {
        if let Some(job) = self.jobs[number] {
            self.append(0, JobChange::Cancel { job });
        }
    }

    pub(super) fn deliver(&mut self) {
        if let Some((number, end)) = self.late.pop_front()
            && self.time() < end
        {
            self.oracle.run(number);
        }
    }

    /// Replaces an entry by a new process that rebuilds from another entry's snapshot.
    pub(super) fn kill(&mut self, at: usize, source: usize) {
        let snapshot = serde_json::to_string(&self.entries[source].fold).unwrap();
        let fold: Fold<Jobs> = serde_json::from_str(&snapshot).unwrap();
        let fold = fold.restored();
        assert_eq!(fold, self.entries[source].fold, "a restored fold differs");
        self.entries[at] = self.process(fold);
    }

    /// Tells the oracle what callers read at an entry.
    fn read_outcomes(&mut self, at: usize) {
        let jobs = self.entries[at].fold.state();
        for (number, job) in self.jobs.iter().enumerate() {
            let job = job.and_then(|job| jobs.get(job));
            if let Some(Stage::Finished { outcome, .. }) = job.map(|job| &job.stage) {
                self.oracle.told(number, outcome);
            }
        }
    }
}
