//! Workers as the owner of a shard sees them.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::job::JobId;
use crate::job::Name;
use crate::job::Resources;
use crate::job::TaskId;
use crate::lease::Lease;

/// After how many failed runs in a row, of different jobs, a worker gets no tasks for a while. One
/// failure is often the job's own fault.
const FAILURES_TO_BACKOFF: usize = 2;

/// For how long a worker that failed its runs gets no tasks at first; it doubles with each time.
const FIRST_BACKOFF: Duration = Duration::from_secs(3);

/// The longest time without tasks, so that a repaired worker is soon used again.
const LONGEST_BACKOFF: Duration = Duration::from_secs(12);

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The id of the worker.
    pub id: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Where it is reached.
    pub address: Name,
    /// Its labels: the kind and the rack.
    pub labels: Vec<Name>,
    /// What it offers.
    pub capacity: Resources,
    /// Whether it announced that it leaves.
    pub draining: bool,
    /// The start of its life, in milliseconds since 1970.
    pub incarnation: u64,
}

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub number: u32,
}

/// A row of a worker's list of what runs on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// The run.
    pub run: RunId,
    /// The newest checkpoint, or an empty text.
    pub checkpoint: Name,
    /// How far the task is; a lasting task is at work at 100.
    pub progress: u32,
    /// The tail latency of a serving task in milliseconds, or the processor time that any other
    /// task uses, in thousandths of a core; over the last half second.
    pub metric: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed.
    LeaseExpired,
    /// Another member of its gang ended.
    GangFailed,
    /// Its gang did not gather in time.
    GangTimeout,
}

/// A row of a worker's list of ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRun {
    /// The number of the end in this life of the worker.
    pub sequence: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: RunOutcome,
    /// The newest checkpoint, or an empty text.
    pub checkpoint: Name,
}

/// A worker's answer to a look at it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The start of the worker's life, in milliseconds since 1970; zero when it is not said.
    pub incarnation: u64,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// What has ended and has not been forgotten.
    pub finished: Vec<FinishedRun>,
}

/// A worker, what runs on it and how it behaves.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    pub(crate) registered: bool,
    pub(crate) lease: Lease,
    pub(crate) used: Resources,
    pub(crate) runs: BTreeSet<RunId>,
    /// The highest number of an end that was taken in.
    pub(crate) received_seq: u64,
    /// The highest number of an end whose effect is stored.
    pub(crate) stored_seq: u64,
    /// Whether a look succeeded in the current life under the current token.
    pub(crate) synced: bool,
    pub(crate) reachable: bool,
    pub(crate) poll_pending: bool,
    pub(crate) next_poll: Instant,
    /// When a run last began or ended here.
    pub(crate) last_active: Instant,
    /// When this life of the worker became known.
    pub(crate) incarnation_since: Instant,
    /// Until when the worker is kept free for an upkeep of its machine.
    pub(crate) drain_since: Option<Instant>,
    /// When the vacating was last asked for.
    pub(crate) drain_requested: Instant,
    /// Set once the owner agreed that the machine may go down.
    pub(crate) drain_granted: bool,
    /// Whether the budget was found to forbid the upkeep.
    pub(crate) budget_blocked: bool,
    failed_jobs: BTreeSet<JobId>,
    backoff: Duration,
    pub(crate) backoff_until: Option<Instant>,
    pub(crate) throttled_at: Option<Instant>,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo, now: Instant) -> Self {
        Self {
            info,
            registered: true,
            lease: Lease::default(),
            used: Resources::default(),
            runs: BTreeSet::new(),
            received_seq: 0,
            stored_seq: 0,
            synced: false,
            reachable: true,
            poll_pending: false,
            next_poll: now,
            last_active: now,
            incarnation_since: now,
            drain_since: None,
            drain_requested: now,
            drain_granted: false,
            budget_blocked: false,
            failed_jobs: BTreeSet::new(),
            backoff: FIRST_BACKOFF,
            backoff_until: None,
            throttled_at: None,
        }
    }

    /// Returns the rack, the last label.
    pub(crate) fn rack(&self) -> Option<&Name> {
        self.info.labels.last()
    }

    /// Tells whether new tasks may be placed here.
    pub(crate) fn is_schedulable(&self, now: Instant) -> bool {
        self.registered
            && self.synced
            && self.reachable
            && !self.info.draining
            && self.drain_since.is_none()
            && self.backoff_until.is_none_or(|until| until <= now)
    }

    /// Forgets what belonged to an earlier life.
    pub(crate) fn begin_incarnation(&mut self, now: Instant, incarnation: u64) {
        self.info.incarnation = incarnation;
        self.incarnation_since = now;
        self.lease = Lease::default();
        (self.received_seq, self.stored_seq) = (0, 0);
        self.drain_granted = false;
        self.drain_since = None;
        self.throttled_at = None;
    }

    /// Notes a run that was done.
    pub(crate) fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.backoff = FIRST_BACKOFF;
    }

    /// Notes a failed run; returns how long the worker rests if it is to rest.
    pub(crate) fn record_failure(&mut self, now: Instant, job: JobId) -> Option<Duration> {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < FAILURES_TO_BACKOFF {
            return None;
        }
        let backoff = self.backoff;
        self.failed_jobs.clear();
        self.backoff_until = Some(now + backoff);
        self.backoff = (backoff * 2).min(LONGEST_BACKOFF);
        Some(backoff)
    }
}
