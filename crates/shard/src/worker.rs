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
const FAILURES_TO_REST: usize = 2;

/// For how long a worker that failed its runs gets no tasks at first; it doubles with each time.
const FIRST_REST: Duration = Duration::from_secs(3);

/// The longest time without tasks, so that a repaired worker is soon used again.
const LONGEST_REST: Duration = Duration::from_secs(12);

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
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
    pub born: u64,
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
pub struct RunningRow {
    /// The run.
    pub run: RunId,
    /// The newest checkpoint, or an empty text.
    pub checkpoint: Name,
    /// How far the task is; a lasting task is at work at 100.
    pub percent: u32,
    /// The tail latency of a serving task in milliseconds, or the processor time that any other
    /// task uses, in thousandths of a core; over the last half second.
    pub usage: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang did not gather in time.
    Alone,
}

/// A row of a worker's list of ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRow {
    /// The number of the end in this life of the worker.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub kind: EndKind,
    /// The newest checkpoint, or an empty text.
    pub checkpoint: Name,
}

/// A worker's answer to a look at it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// The start of the worker's life, in milliseconds since 1970; zero when it is not said.
    pub born: u64,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What has ended and has not been forgotten.
    pub ended: Vec<EndRow>,
}

/// A worker, what runs on it and how it behaves.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) listing: Listing,
    pub(crate) listed: bool,
    pub(crate) lease: Lease,
    pub(crate) used: Resources,
    pub(crate) runs: BTreeSet<RunId>,
    /// The highest number of an end that was taken in.
    pub(crate) seen: u64,
    /// The highest number of an end whose effect is stored.
    pub(crate) stored: u64,
    /// Whether a look succeeded in the current life under the current token.
    pub(crate) fenced: bool,
    pub(crate) reachable: bool,
    pub(crate) looking: bool,
    pub(crate) next_look: Instant,
    /// When a run last began or ended here.
    pub(crate) busy_at: Instant,
    /// When this life of the worker became known.
    pub(crate) life: Instant,
    /// Until when the worker is kept free for an upkeep of its machine.
    pub(crate) vacated: Option<Instant>,
    /// When the vacating was last asked for.
    pub(crate) vacate_asked: Instant,
    /// Set once the owner agreed that the machine may go down.
    pub(crate) released: bool,
    /// Whether the budget was found to forbid the upkeep.
    pub(crate) blocked: bool,
    failed_jobs: BTreeSet<JobId>,
    rest: Duration,
    pub(crate) rests_until: Option<Instant>,
    pub(crate) paced_at: Option<Instant>,
}

impl Worker {
    pub(crate) fn new(listing: Listing, now: Instant) -> Self {
        Self {
            listing,
            listed: true,
            lease: Lease::default(),
            used: Resources::default(),
            runs: BTreeSet::new(),
            seen: 0,
            stored: 0,
            fenced: false,
            reachable: true,
            looking: false,
            next_look: now,
            busy_at: now,
            life: now,
            vacated: None,
            vacate_asked: now,
            released: false,
            blocked: false,
            failed_jobs: BTreeSet::new(),
            rest: FIRST_REST,
            rests_until: None,
            paced_at: None,
        }
    }

    /// Returns the rack, the last label.
    pub(crate) fn rack(&self) -> Option<&Name> {
        self.listing.labels.last()
    }

    /// Tells whether new tasks may be placed here.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.listed
            && self.fenced
            && self.reachable
            && !self.listing.draining
            && self.vacated.is_none()
            && self.rests_until.is_none_or(|until| until <= now)
    }

    /// Forgets what belonged to an earlier life.
    pub(crate) fn begin_life(&mut self, now: Instant, born: u64) {
        self.listing.born = born;
        self.life = now;
        self.lease = Lease::default();
        (self.seen, self.stored) = (0, 0);
        self.released = false;
        self.vacated = None;
        self.paced_at = None;
    }

    /// Notes a run that was done.
    pub(crate) fn note_done(&mut self) {
        self.failed_jobs.clear();
        self.rest = FIRST_REST;
    }

    /// Notes a failed run; returns how long the worker rests if it is to rest.
    pub(crate) fn note_failure(&mut self, now: Instant, job: JobId) -> Option<Duration> {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < FAILURES_TO_REST {
            return None;
        }
        let rest = self.rest;
        self.failed_jobs.clear();
        self.rests_until = Some(now + rest);
        self.rest = (rest * 2).min(LONGEST_REST);
        Some(rest)
    }
}
