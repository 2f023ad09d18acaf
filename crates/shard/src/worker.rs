//! What the owner of a shard knows about the workers of its pools, and the types of their reports.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::job::JobId;
use crate::job::Name;
use crate::job::Resources;
use crate::job::TaskId;
use crate::lease::Lease;
use crate::lease::longest_real_time;

/// The number of different jobs whose runs have to fail in a row on a worker before it gets no
/// tasks for a while. A single failure is often the fault of the job.
const BACKOFF_THRESHOLD: usize = 2;

/// How long the first backoff of a worker with failed runs lasts. Each further backoff lasts twice
/// as long, until a run succeeds.
const INITIAL_BACKOFF: Duration = Duration::from_secs(3);

/// How long after a worker's last response a call that it hasn't answered is carried out at the latest,
/// if the worker responds no more. Calls are given up after less than a second, and repeated at once.
const UNSEEN_CALL_TIME: Duration = Duration::from_secs(2);

/// For how long a call without a response is expected to be carried out late. The platform promises no
/// bound; its faults delay calls by 2 to 12 s.
const MAX_CALL_DELAY: Duration = Duration::from_secs(12);

/// The longest backoff. It is short so that a repaired worker is soon used again.
const MAX_BACKOFF: Duration = Duration::from_secs(12);

/// A worker's registration in the platform's `workers` topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The worker's id, which is also the key of its registration.
    pub id: Name,
    /// The pool whose tasks the worker runs.
    pub pool: Name,
    /// The address of the worker's HTTP interface, as `IP:port`.
    pub address: Name,
    /// The worker's labels: the kind of its machine first, the rack last.
    pub labels: Vec<Name>,
    /// The resources that the worker offers to tasks.
    pub capacity: Resources,
    /// Whether the worker announced in its registration, with the state `draining`, that it is
    /// leaving. This is independent of a drain that the owner of the fleet shard requests with
    /// `Shard::drain`.
    pub draining: bool,
    /// The start of the worker's current incarnation, in milliseconds since the Unix epoch. It
    /// grows with each restart of the worker.
    pub incarnation: u64,
    /// The zone that the worker is in; empty if its registration names none.
    pub zone: Name,
}

/// Identifies one run (attempt) of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// The task that runs.
    pub task: TaskId,
    /// The number of the run, counted from one for each task.
    pub number: u32,
}

/// The status of an executing run, as the worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// The run that the status belongs to.
    pub run: RunId,
    /// The newest checkpoint, or an empty string when there is none.
    pub checkpoint: Name,
    /// The progress in percent. A long-running task is ready at 100.
    pub progress: u32,
    /// The tail latency of a task with a latency target, in milliseconds; for any other task, the
    /// processor time that it uses, in millicores. Covers the last half second.
    pub metric: u64,
}

/// How a run ended, as the worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The task completed.
    Done,
    /// The task failed. The cause may be the task or the worker.
    Failed,
    /// The owner requested a stop.
    Stopped,
    /// The worker's lease expired, so the worker ended the run.
    LeaseExpired,
    /// Another task of the same gang ended.
    GangFailed,
    /// The other tasks of the gang did not start in time.
    GangTimeout,
}

/// A finished run, which the worker reports until the owner acknowledges it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRun {
    /// The position in the worker's list of finished runs. Counts up within one incarnation.
    pub sequence: u64,
    /// The run that finished.
    pub run: RunId,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// The newest checkpoint, or an empty string when there is none.
    pub checkpoint: Name,
}

/// A worker's response to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The reading of the worker's own clock, in milliseconds.
    pub clock_ms: u64,
    /// The start of the worker's incarnation, in milliseconds since the Unix epoch; zero when the
    /// worker does not report it.
    pub incarnation: u64,
    /// The runs that are executing on the worker.
    pub running: Vec<RunStatus>,
    /// The finished runs that were not acknowledged yet.
    pub finished: Vec<FinishedRun>,
    /// Whether the worker may have further finished runs, which it lists once these are acknowledged.
    pub truncated: bool,
}

/// A worker with its runs, its lease and its health.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// The incarnation before the current one, as far as it is known. Its registration may still be
    /// read.
    pub(crate) former_incarnation: Option<u64>,
    /// Whether the latest list of workers contains the worker.
    pub(crate) registered: bool,
    /// Whether operators have evacuated the worker's zone, so that it gets no tasks.
    pub(crate) evacuated: bool,
    pub(crate) lease: Lease,
    /// The resources allocated to `runs`.
    pub(crate) used: Resources,
    /// The part of `used` that is allocated to long-running tasks.
    pub(crate) long_running: Resources,
    /// The runs that may be executing here.
    pub(crate) runs: BTreeSet<RunId>,
    /// The highest sequence of a finished run that was processed.
    pub(crate) received_seq: u64,
    /// The highest sequence of a finished run whose outcome is stored.
    pub(crate) stored_seq: u64,
    /// The sequence that the pending poll acknowledges; zero if it acknowledges nothing.
    pub(crate) sent_ack: u64,
    /// The highest acknowledged sequence in a poll that the worker has responded to.
    acked_seq: u64,
    /// Whether a poll succeeded in the current incarnation.
    pub(crate) synced: bool,
    /// The fencing token with which calls to the current incarnation are sent.
    pub(crate) fencing_token: u64,
    /// Whether this incarnation does nothing for calls that were meant for an earlier one, since it
    /// has responded to a poll with a higher token. It gets no tasks before.
    pub(crate) fenced: bool,
    /// Whether the pending poll was sent with a token that no call to an earlier incarnation had.
    poll_fences: bool,
    /// The fencing token of the pending poll.
    pub(crate) poll_token: u64,
    /// The runs that are given up although their start got no response, with the time at which it
    /// was sent. A later incarnation could still carry the start out.
    abandoned: Vec<(RunId, Instant)>,
    /// Cleared when a poll fails or a start request is not delivered; set by the next report.
    pub(crate) reachable: bool,
    /// Since when the worker is not `synced` or not `reachable`; `None` while it is both.
    pub(crate) silent_since: Option<Instant>,
    /// Whether a poll is in flight.
    pub(crate) poll_pending: bool,
    pub(crate) next_poll: Instant,
    /// The last time at which the worker was known to have runs; its idle time counts from here.
    pub(crate) last_active: Instant,
    /// When the current incarnation became known.
    pub(crate) incarnation_since: Instant,
    /// Whether a poll that granted a lease was sent since the last report.
    pub(crate) grant_pending: bool,
    /// When the leases have ended at the latest that calls meant for the earlier incarnation may
    /// have granted to this one. Their deadlines were on another clock.
    pub(crate) misdirected_lease_end: Option<Instant>,
    /// Since when the worker gets no tasks because of a drain that the owner of the fleet shard
    /// requested ([`Shard::drain`](crate::shard::Shard::drain)), or because it was released for a
    /// move. `None` when neither is the case.
    pub(crate) drain_since: Option<Instant>,
    /// When the drain was last requested. It expires when requests stop.
    pub(crate) drain_requested: Instant,
    /// Whether the owner allowed the machine to go down or to move.
    pub(crate) drain_granted: bool,
    /// Whether a disruption budget has blocked the drain. Keeps the event from being logged on each
    /// request.
    pub(crate) budget_blocked: bool,
    /// The jobs whose runs failed here since the last success or backoff.
    failed_jobs: BTreeSet<JobId>,
    /// The length of the next backoff.
    backoff: Duration,
    /// Until when the worker gets no tasks because of failed runs or rejected starts.
    pub(crate) backoff_until: Option<Instant>,
    /// When the best-effort tasks here were last throttled or sped up.
    pub(crate) throttled_at: Option<Instant>,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo, now: Instant, fencing_token: u64) -> Self {
        Self {
            info,
            former_incarnation: None,
            registered: true,
            evacuated: false,
            lease: Lease::default(),
            used: Resources::default(),
            long_running: Resources::default(),
            runs: BTreeSet::new(),
            received_seq: 0,
            stored_seq: 0,
            sent_ack: 0,
            acked_seq: 0,
            synced: false,
            fencing_token,
            fenced: true,
            poll_fences: false,
            poll_token: fencing_token,
            abandoned: Vec::new(),
            reachable: true,
            silent_since: Some(now),
            poll_pending: false,
            next_poll: now,
            last_active: now,
            incarnation_since: now,
            grant_pending: false,
            misdirected_lease_end: None,
            drain_since: None,
            drain_requested: now,
            drain_granted: false,
            budget_blocked: false,
            failed_jobs: BTreeSet::new(),
            backoff: INITIAL_BACKOFF,
            backoff_until: None,
            throttled_at: None,
        }
    }

    /// Returns the rack, which is the last label.
    pub(crate) fn rack(&self) -> Option<&Name> {
        self.info.labels.last()
    }

    /// Returns whether new tasks may be placed here. That excludes a worker that announced the
    /// state `draining`, one for which the owner of the fleet shard requested a drain, one that
    /// was released for a move, and one in an evacuated zone.
    pub(crate) fn is_schedulable(&self, now: Instant) -> bool {
        self.registered
            && self.synced
            && self.fenced
            && self.reachable
            && !self.info.draining
            && !self.evacuated
            && self.drain_since.is_none()
            && self.backoff_until.is_none_or(|until| until <= now)
    }

    /// Records that a call got no usable response from the worker.
    pub(crate) fn mark_unreachable(&mut self, now: Instant) {
        self.reachable = false;
        self.silent_since.get_or_insert(now);
    }

    /// Resets the state that belongs to the previous incarnation.
    pub(crate) fn begin_incarnation(&mut self, now: Instant, incarnation: u64) {
        let former = std::mem::replace(&mut self.info.incarnation, incarnation);
        if former != incarnation {
            self.former_incarnation = Some(former);
        }
        self.incarnation_since = now;
        self.fenced = false;
        self.poll_fences = false;
        self.grant_pending = false;
        self.misdirected_lease_end = None;
        self.silent_since = Some(now);
        self.lease = Lease::default();
        (self.received_seq, self.stored_seq) = (0, 0);
        (self.sent_ack, self.acked_seq) = (0, 0);
        self.drain_granted = false;
        self.drain_since = None;
        self.throttled_at = None;
    }

    /// Records that the pending poll is sent. `raised` is whether its token is higher than that of
    /// every call to an earlier incarnation.
    pub(crate) fn record_poll(&mut self, raised: bool) {
        self.poll_pending = true;
        self.poll_token = self.fencing_token;
        self.poll_fences = raised;
    }

    /// Records that the current incarnation responded to the pending poll. From then on calls that
    /// were meant for an earlier one do nothing; leases that they have granted before may last for
    /// `max_lease`. Returns whether the worker was not fenced before.
    pub(crate) fn record_fence(&mut self, now: Instant, max_lease: Duration) -> bool {
        if self.fenced || !self.poll_fences {
            return false;
        }
        self.fenced = true;
        if self.misdirected_lease_end.is_some() {
            self.misdirected_lease_end = Some(now + longest_real_time(max_lease));
        }
        true
    }

    /// Remembers a run that is given up although its start, which was sent at `sent`, got no response.
    pub(crate) fn abandon(&mut self, now: Instant, id: RunId, sent: Instant) {
        self.abandoned
            .retain(|(_, sent)| now.saturating_duration_since(*sent) < MAX_CALL_DELAY);
        self.abandoned.push((id, sent));
    }

    /// Takes the runs that are given up and whose start may still be carried out.
    pub(crate) fn take_abandoned(&mut self, now: Instant) -> Vec<RunId> {
        let abandoned = std::mem::take(&mut self.abandoned);
        let recent = abandoned
            .into_iter()
            .filter(|(_, sent)| now.saturating_duration_since(*sent) < MAX_CALL_DELAY);
        recent.map(|(id, _)| id).collect()
    }

    /// Records that a call which was sent before `now`, with a deadline on the clock of the earlier
    /// incarnation, may have granted a lease or may still do so. No lease is longer than `max_lease`
    /// on the worker's clock.
    pub(crate) fn expect_misdirected_lease(&mut self, now: Instant, max_lease: Duration) {
        let end = now + UNSEEN_CALL_TIME + longest_real_time(max_lease);
        self.misdirected_lease_end = self.misdirected_lease_end.max(Some(end));
    }

    /// Returns the sequence that the next poll acknowledges; zero if there is nothing to acknowledge.
    ///
    /// The worker may have restarted since its last report, and the ends of its new incarnation are
    /// numbered anew. A sequence is therefore acknowledged right after a report, and no more once a
    /// poll that carries it has a response.
    pub(crate) fn next_ack(&self) -> u64 {
        match self.reachable && self.stored_seq > self.acked_seq {
            true => self.stored_seq,
            false => 0,
        }
    }

    /// Records that the worker responded to the pending poll, and so has seen its acknowledgement.
    pub(crate) fn confirm_ack(&mut self) {
        self.acked_seq = self.acked_seq.max(std::mem::take(&mut self.sent_ack));
    }

    /// Records a completed run, which resets the backoff.
    pub(crate) fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.backoff = INITIAL_BACKOFF;
    }

    /// Records a failed run. Returns the length of the backoff if this failure starts one.
    pub(crate) fn record_failure(&mut self, now: Instant, job: JobId) -> Option<Duration> {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < BACKOFF_THRESHOLD {
            return None;
        }
        let backoff = self.backoff;
        self.failed_jobs.clear();
        self.backoff_until = Some(now + backoff);
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        Some(backoff)
    }
}
