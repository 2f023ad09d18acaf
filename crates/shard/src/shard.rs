//! The state machine of a shard's owner.
//!
//! [`Shard`] does no I/O. Its methods change the state and produce [`Effect`]s, which the caller
//! executes. An effect that relies on a stored record is deferred until that record is stored: the
//! caller appends the batch that [`Shard::next_batch`] returns to the store and reports it with
//! [`Shard::batch_stored`], which releases the effects of the batch.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt::Display;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::arrivals::Arrivals;
use crate::backlog::Backlog;
use crate::dispatch::PlacementStats;
use crate::evacuation::Evacuation;
use crate::finished_jobs::FinishedJobs;
use crate::image_slowdown::ImageSlowdown;
use crate::job::Job;
use crate::job::JobId;
use crate::job::JobState;
use crate::job::Name;
use crate::job::Resources;
use crate::job::TaskId;
use crate::job_memory::JobMemory;
use crate::policy::StepId;
use crate::policy::Tickets;
use crate::records::Record;
use crate::records::job_record;
use crate::records::tombstones;
use crate::restart_leases::RestartLeases;
use crate::share_limiter::ShareLimiter;
use crate::silent_leases::SilentLeases;
use crate::timings::Timings;
use crate::tracked_job::Phase;
use crate::tracked_job::TrackedJob;
use crate::waiting::WaitingJob;
use crate::withdrawal::UnsentJobs;
use crate::worker::RunId;
use crate::workers::Workers;

/// The current time on the two clocks that decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    /// The monotonic time, which also advances while the machine is suspended.
    pub now: Instant,
    /// The time since the Unix epoch, which may jump.
    pub unix: Duration,
}

/// The id of a caller's request, chosen by the owner task to match a [`Response`] to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request to a worker to start a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// The run to start.
    pub run: RunId,
    /// The payload of the job.
    pub payload: Name,
    /// The end of the worker's lease, in milliseconds on the worker's clock.
    pub lease_deadline: u64,
    /// The checkpoint to resume from, if the task has written one.
    pub checkpoint: Option<Name>,
    /// The ticket of the policy service for this worker, if the queue has such a service.
    pub ticket: Option<Name>,
}

/// A poll of a worker, which also renews its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The new end of the lease, in milliseconds on the worker's clock; `None` leaves it unchanged.
    pub lease_deadline: Option<u64>,
    /// The worker may drop the finished runs up to this sequence number.
    pub acked_until: u64,
    /// How long the worker may delay its response until a run finishes.
    pub wait: Duration,
}

/// The response to a submission or a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The job or its cancellation is stored.
    Accepted,
    /// The job was rejected by admission control and never runs.
    Rejected {
        /// The delay after which the job may be submitted again.
        retry_after: Duration,
    },
    /// The job to cancel doesn't exist.
    NotFound,
}

/// An action that the caller of [`Shard`] has to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a response to the caller of a request.
    Respond(RequestId, Response),
    /// Start a run on a worker and report the outcome with [`Shard::handle_start`].
    Start(Name, StartRequest),
    /// Stop a run on a worker and report the outcome with [`Shard::handle_stop`].
    Stop(Name, RunId),
    /// Poll a worker and report the outcome with [`Shard::handle_report`] or
    /// [`Shard::handle_poll_failure`].
    Poll(Name, PollRequest),
    /// Ask the policy service which of these workers may run a step and report the decision with
    /// [`Shard::handle_policy`].
    QueryPolicy(StepId, Vec<Name>),
    /// Set the processor share that a best-effort task may use, in percent.
    Throttle(Name, RunId, u32),
}

/// A decision of the owner, to be written to the log by the caller of [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// The name of the event, a constant in snake case.
    pub event: &'static str,
    /// The id of what the decision is about: a job, task, step or worker.
    pub subject: String,
    /// The inputs and the outcome of the decision, as `key=value` pairs.
    pub detail: String,
}

/// The resources that a team uses on a shard, and its quota there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// The name of the team.
    pub name: Name,
    /// The resources requested by the team's runs.
    pub used: Resources,
    /// The quota on this shard. No task of the team starts until [`Shard::set_quotas`] sets it.
    pub quota: Option<Resources>,
    /// The team's limit over all shards; unset for a team without one.
    pub limit: Option<Resources>,
    /// The resources requested by tasks that workers could take, and that the quota held back in the last
    /// placement pass or that wait for tickets.
    pub pending: Resources,
    /// The resources of the first task or gang among them, which starts only as a whole.
    pub next_unit: Option<Resources>,
}

/// What waits for records that are stored together.
#[derive(Debug, Default)]
struct Batch {
    /// The effects to release once the records are stored.
    effects: Vec<Effect>,
    /// For each worker, the incarnation and the sequence number up to which its finished runs can
    /// be acknowledged.
    acks: BTreeMap<Name, (u64, u64)>,
    /// The job states that are reported to callers once the records are stored.
    stored_states: Vec<(JobId, JobState)>,
    /// The workers whose calls get a higher fencing token once the records are stored, with their
    /// incarnations.
    raised: BTreeMap<Name, u64>,
    /// The silent workers that the record of leases among the records names, if there is one.
    silent_workers: Option<BTreeSet<Name>>,
}

/// The stop of a run that the worker hasn't confirmed yet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PendingStop {
    /// When the stop was last sent.
    pub(crate) sent: Option<Instant>,
}

/// The state of a shard's owner: its jobs, workers and teams, and the records to store.
#[derive(Debug)]
pub struct Shard {
    pub(crate) timings: Timings,
    /// When this owner acquired the shard.
    pub(crate) owned_since: Instant,
    pub(crate) jobs: HashMap<JobId, TrackedJob>,
    /// The other jobs: those of which nothing but the final state is needed.
    pub(crate) finished: FinishedJobs,
    pub(crate) job_memory: JobMemory,
    /// The most memory that the jobs may take, in bytes.
    pub(crate) job_memory_limit: usize,
    /// The number of jobs of each queue, finished or not.
    pub(crate) queue_jobs: BTreeMap<Name, usize>,
    /// The jobs that are not final.
    pub(crate) unfinished: BTreeSet<JobId>,
    /// The unfinished jobs with tasks that wait for a place, as of the last placement pass.
    pub(crate) waiting: BTreeMap<JobId, Arc<WaitingJob>>,
    /// The jobs whose tasks have changed since.
    pub(crate) changed_waiting: BTreeSet<JobId>,
    /// When the next occurrence of an unfinished job is due, as time since the Unix epoch.
    pub(crate) due: BTreeSet<(Duration, JobId)>,
    /// Whether the last placement pass placed nothing and its inputs are unchanged since.
    pub(crate) settled: bool,
    /// When the next placement pass may be made.
    pub(crate) next_pass: Instant,
    /// When a poll of a reachable worker last got no response.
    pub(crate) last_unanswered: Option<Instant>,
    pub(crate) workers: Workers,
    pub(crate) evacuation: Evacuation,
    /// The load of the unfinished jobs on each pool.
    pub(crate) backlog: Backlog,
    /// The workers that were terminated by a command to their machine, with the terminated
    /// incarnation.
    pub(crate) terminated_incarnations: BTreeMap<Name, u64>,
    pub(crate) silent_leases: SilentLeases,
    pub(crate) restart_leases: RestartLeases,
    pub(crate) image_slowdown: ImageSlowdown,
    pub(crate) teams: BTreeMap<Name, TeamUsage>,
    pub(crate) share_limiter: ShareLimiter,
    pub(crate) arrivals: Arrivals,
    /// The steps of which no task is started until a time, since a worker rejected one as malformed.
    pub(crate) paused_steps: BTreeMap<StepId, Instant>,
    /// Whether each queue of the configuration in force has a policy service.
    pub(crate) queue_policies: BTreeMap<Name, bool>,
    /// The tickets of steps in queues with a policy service.
    pub(crate) tickets: BTreeMap<StepId, Tickets>,
    /// The stops that the workers have not confirmed yet.
    pub(crate) stops: BTreeMap<(Name, RunId), PendingStop>,
    pub(crate) placement: PlacementStats,
    /// The highest fencing token that this owner may use. It is higher than that of every earlier
    /// owner, and lower than that of every later one.
    fencing_token: u64,
    /// The workers that have restarted since the last batch, with their incarnations.
    pub(crate) restarted: BTreeMap<Name, u64>,
    /// Whether a worker reported that it has seen a higher fencing token.
    pub(crate) superseded: bool,
    /// The runs of an earlier owner on workers that this one doesn't know.
    pub(crate) unattached: BTreeMap<Name, BTreeSet<RunId>>,
    /// The effects that the caller can execute now.
    pub(crate) effects: Vec<Effect>,
    pub(crate) log_events: Vec<LogEvent>,
    /// The jobs with changes that are in no batch yet.
    pub(crate) dirty: BTreeSet<JobId>,
    pub(crate) unsent: UnsentJobs,
    /// The batch that collects effects until [`Shard::next_batch`] is called.
    pending_batch: Batch,
    /// The batch that is being stored.
    in_flight: Option<Batch>,
    /// The records that delete garbage-collected jobs from the store, for the next batch.
    pending_tombstones: Vec<Record>,
    /// When finished jobs are garbage-collected next.
    next_gc: Instant,
}

impl Shard {
    /// Creates the state of an owner without jobs; [`Shard::restore`] adds the stored ones.
    pub fn new(timings: Timings, now: Instant) -> Self {
        Self {
            timings,
            owned_since: now,
            jobs: HashMap::new(),
            finished: FinishedJobs::default(),
            job_memory: JobMemory::default(),
            job_memory_limit: usize::MAX,
            queue_jobs: BTreeMap::new(),
            unfinished: BTreeSet::new(),
            waiting: BTreeMap::new(),
            changed_waiting: BTreeSet::new(),
            due: BTreeSet::new(),
            settled: false,
            next_pass: now,
            last_unanswered: None,
            workers: Workers::default(),
            evacuation: Evacuation::default(),
            backlog: Backlog::default(),
            terminated_incarnations: BTreeMap::new(),
            teams: BTreeMap::new(),
            share_limiter: ShareLimiter::default(),
            arrivals: Arrivals::default(),
            paused_steps: BTreeMap::new(),
            queue_policies: BTreeMap::new(),
            tickets: BTreeMap::new(),
            stops: BTreeMap::new(),
            placement: PlacementStats::default(),
            fencing_token: 0,
            restarted: BTreeMap::new(),
            superseded: false,
            unattached: BTreeMap::new(),
            silent_leases: SilentLeases::default(),
            restart_leases: RestartLeases::default(),
            image_slowdown: ImageSlowdown::default(),
            effects: Vec::new(),
            log_events: Vec::new(),
            dirty: BTreeSet::new(),
            unsent: UnsentJobs::new(),
            pending_batch: Batch::default(),
            in_flight: None,
            pending_tombstones: Vec::new(),
            next_gc: now,
        }
    }

    /// Accepts or rejects a submitted job. The response follows as an [`Effect::Respond`].
    ///
    /// A job whose id is already known is accepted, and the existing job stays as it is.
    pub fn submit(&mut self, at: Timestamp, request_id: RequestId, job: Job) {
        let id = job.id;
        if self.confirm(request_id, id) {
            return;
        }
        let over_share = job.team.as_ref();
        let over_share = over_share.and_then(|team| self.share_limiter.acquire(at.now, team));
        if let Some(retry_after) = self.check_admission(at.now, &job, over_share) {
            if let (Some(team), None) = (&job.team, over_share) {
                self.share_limiter.refund(team);
            }
            let response = Response::Rejected { retry_after };
            self.effects.push(Effect::Respond(request_id, response));
            return;
        }
        let mut tracked = TrackedJob::new(Arc::new(job), at.now, at.unix);
        tracked.over_share = over_share.is_some();
        let free = self.free_job_memory().saturating_sub(tracked.memory());
        tracked.create_due_tasks(at.unix, free, &mut self.placement);
        self.due.extend(tracked.next_due().map(|due| (due, id)));
        self.log_event("job_accepted", id, || {
            format!(
                "queue={} team={} excess={} steps={} objective_ms={}",
                tracked.job.queue.name,
                tracked.job.team.as_deref().unwrap_or("-"),
                tracked.over_share,
                tracked.job.steps.len(),
                tracked.objective.as_millis()
            )
        });
        if !tracked.over_share {
            self.arrivals.add(at.now, &tracked.job);
        }
        self.insert_job(id, tracked);
        self.unfinished.insert(id);
        self.count_job(at.now, id);
        self.update_waiting(id);
        self.mark_dirty(id);
        self.unsent.insert(id, vec![request_id]);
        self.pending_batch
            .effects
            .push(Effect::Respond(request_id, Response::Accepted));
    }

    /// Responds to a request that a job is stored if the job is known, as an [`Effect::Respond`] once
    /// it is. Returns whether the job is known.
    pub fn confirm(&mut self, request_id: RequestId, id: JobId) -> bool {
        let response = Effect::Respond(request_id, Response::Accepted);
        if self.finished.get(id).is_some() {
            self.effects.push(response);
            return true;
        }
        let Some(existing) = self.jobs.get(&id) else {
            return false;
        };
        if let Some(requests) = self.unsent.get_mut(&id) {
            requests.push(request_id);
        }
        // A repeated submission waits for the batch that stores the first one.
        match existing.persisted && !self.dirty.contains(&id) && self.in_flight.is_none() {
            true => self.effects.push(response),
            false => self.pending_batch.effects.push(response),
        }
        true
    }

    /// Returns the queues of which the shard holds jobs, finished or not.
    pub fn queues(&self) -> impl Iterator<Item = &Name> {
        self.queue_jobs.keys()
    }

    /// Returns whether the records of a job are in no batch yet, so that the job may still be withdrawn.
    pub fn is_unsent(&self, id: JobId) -> bool {
        self.unsent.contains_key(&id)
    }

    /// Returns whether the shard holds a job.
    pub fn holds_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.finished.get(id).is_some()
    }

    /// Adds a job, and counts it for its queue and its memory.
    pub(crate) fn insert_job(&mut self, id: JobId, job: TrackedJob) {
        let queue = Arc::clone(&job.job.queue.name);
        if self.jobs.insert(id, job).is_none() {
            *self.queue_jobs.entry(queue).or_default() += 1;
        }
        self.count_memory(id);
    }

    /// Removes a job, and returns its parts with task records.
    pub(crate) fn remove_job(&mut self, id: JobId) -> Vec<u32> {
        let Some(job) = self.jobs.remove(&id) else {
            return Vec::new();
        };
        self.forget_memory(job.job.team.clone(), job.counted_bytes);
        self.forget_queue_job(&job.job.queue.name);
        job.stored_parts.into_keys().collect()
    }

    /// Removes a job from the count of its queue.
    pub(crate) fn forget_queue_job(&mut self, queue: &Name) {
        if let Some(count) = self.queue_jobs.get_mut(queue) {
            *count -= 1;
            if *count == 0 {
                self.queue_jobs.remove(queue);
            }
        }
    }

    /// Removes the records of a job from the store with the next batch.
    pub(crate) fn add_tombstones(&mut self, id: JobId) {
        self.pending_tombstones.extend(tombstones(id, []));
    }

    /// Cancels a job unless it is final. The response follows as an [`Effect::Respond`].
    pub fn cancel(&mut self, at: Timestamp, request_id: RequestId, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            let response = match self.finished.get(id) {
                Some(_) => Response::Accepted,
                None => Response::NotFound,
            };
            self.effects.push(Effect::Respond(request_id, response));
            return;
        };
        if !job.state.is_final() {
            self.arrivals.remove(id);
            self.unsent.remove(&id);
            self.finish(at, id, JobState::Cancelled);
        }
        self.pending_batch
            .effects
            .push(Effect::Respond(request_id, Response::Accepted));
    }

    /// Returns the state of a job as it is reported to callers, `None` for an unknown job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(job) = self.finished.get(id) {
            return Some(job.state);
        }
        let job = self.jobs.get(&id)?;
        Some(match (job.stored_state, job.state) {
            // A task has started, and neither that nor the job's final state is stored yet.
            (JobState::Queued, JobState::Running | JobState::Completed | JobState::Failed) => {
                JobState::Running
            }
            (stored_state, _) => stored_state,
        })
    }

    /// Returns the number of accepted jobs of a queue of which no task has started.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let jobs = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|j| &*j.job.queue.name == queue && j.state == JobState::Queued)
            .count()
    }

    /// Returns the records to store next, or `None` if a batch is being stored or nothing changed.
    ///
    /// The records are empty if there are only deferred effects or acknowledgements.
    pub fn next_batch(&mut self) -> Option<Vec<Record>> {
        if self.in_flight.is_some() {
            return None;
        }
        let mut batch = mem::take(&mut self.pending_batch);
        self.unsent.clear();
        let mut records = mem::take(&mut self.pending_tombstones);
        for id in mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if !mem::replace(&mut job.persisted, true) {
                records.push(job_record(&job.job));
            } else if let Some(summary) = job.large_job_summary() {
                records.push(job_record(&summary));
            }
            records.extend(job.progress_records());
            if job.stored_state != job.state {
                batch.stored_states.push((id, job.state));
            }
        }
        if let Some((record, silent_workers)) = self.silent_leases.take_record() {
            records.push(record);
            batch.silent_workers = Some(silent_workers);
        }
        if let Some(record) = self.restart_leases.take_record() {
            records.push(record);
            batch.raised = mem::take(&mut self.restarted);
        }
        records.extend(self.image_slowdown.record.take_record());
        if records.is_empty() && batch.effects.is_empty() && batch.acks.is_empty() {
            return None;
        }
        self.in_flight = Some(batch);
        Some(records)
    }

    /// Releases the effects of the batch in flight, called when its records are stored.
    pub fn batch_stored(&mut self, at: Timestamp) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        for (id, state) in batch.stored_states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.stored_state = state;
            }
        }
        for (name, (incarnation, sequence)) in batch.acks {
            if let Some(worker) = self.workers.get_mut(&name)
                && worker.info.incarnation == incarnation
            {
                worker.stored_seq = worker.stored_seq.max(sequence);
                worker.next_poll = at.now;
            }
        }
        for (name, incarnation) in batch.raised {
            let token = self.fencing_token;
            if let Some(worker) = self.workers.get_mut(&name)
                && worker.info.incarnation == incarnation
            {
                worker.fencing_token = worker.fencing_token.max(token);
                worker.next_poll = at.now;
            }
        }
        if let Some(silent_workers) = batch.silent_workers {
            for name in self.silent_leases.handle_stored(silent_workers) {
                self.poll_soon(at.now, &name);
            }
        }
        self.release_effects(at.now, batch.effects);
    }

    /// Sets the highest fencing token that this owner may use, the offset after its last record. The
    /// owner task calls it after [`Shard::restore`], and before each [`Shard::batch_stored`].
    pub fn set_fencing_token(&mut self, token: u64) {
        self.fencing_token = self.fencing_token.max(token);
    }

    /// Returns the highest fencing token that this owner may use.
    pub(crate) fn max_fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Returns the fencing token of calls to a worker. It rises with each incarnation that becomes
    /// known, so that the worker does nothing for calls that were meant for an earlier one.
    pub fn fencing_token(&self, worker: &str) -> u64 {
        let worker = self.workers.get(worker);
        worker.map_or(self.fencing_token, |w| w.fencing_token)
    }

    /// Returns whether a restart of a worker is still being stored, before which calls to it have the
    /// token of calls to its earlier incarnation.
    pub(crate) fn is_raising(&self, worker: &Name) -> bool {
        let in_flight = self.in_flight.as_ref();
        self.restarted.contains_key(worker)
            || in_flight.is_some_and(|batch| batch.raised.contains_key(worker))
    }

    /// Returns the effects to execute now, and removes them from the state.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// Returns the decisions since the last call, to be written to the log.
    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        mem::take(&mut self.log_events)
    }

    /// Returns whether a worker has seen a higher fencing token, which means that another owner has
    /// acquired the shard.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns how much work placement has done since this owner started.
    pub fn placement_stats(&self) -> PlacementStats {
        self.placement
    }

    /// Returns the number of jobs that are not final.
    pub fn unfinished_jobs(&self) -> usize {
        self.unfinished.len()
    }

    /// Sets the quotas of the teams on this shard, and returns whether one of them has shrunk. Teams
    /// without an entry can't start tasks.
    pub fn set_quotas(&mut self, quotas: &BTreeMap<Name, Resources>) -> bool {
        self.settled = false;
        let mut has_shrunk = false;
        for (name, team) in &mut self.teams {
            let quota = quotas.get(name).copied();
            has_shrunk |= team.quota.zip(quota).is_some_and(|(a, b)| a.max(b) != b);
            team.quota = quota;
        }
        for (name, quota) in quotas {
            self.teams.entry(Arc::clone(name)).or_default().quota = Some(*quota);
        }
        has_shrunk
    }

    /// Sets the limits of the teams over all shards. Teams without an entry have none.
    pub fn set_team_limits(&mut self, limits: &BTreeMap<Name, Resources>) {
        for (name, team) in &mut self.teams {
            let limit = limits.get(name).copied();
            self.settled &= team.limit == limit;
            team.limit = limit;
        }
    }

    /// Returns whether a task or gang that its team's quota holds back is `large`, given its resources
    /// and the team's limit.
    pub fn has_waiting_unit(&self, large: impl Fn(Resources, Resources) -> bool) -> bool {
        let mut waiting = self.teams.values().filter_map(|t| t.next_unit.zip(t.limit));
        waiting.any(|(unit, limit)| large(unit, limit))
    }

    /// Returns the usage, the quota and the pending resources of each team on this shard.
    pub fn team_usage(&self) -> Vec<TeamUsage> {
        let all = self.teams.iter();
        all.map(|(name, team)| TeamUsage {
            name: Arc::clone(name),
            ..team.clone()
        })
        .collect()
    }

    /// Returns the network address of a worker, `None` for an unknown worker.
    pub fn address(&self, worker: &str) -> Option<Name> {
        let worker = self.workers.get(worker)?;
        Some(Arc::clone(&worker.info.address))
    }

    /// Collects the finished jobs, and removes those whose retention has ended.
    pub(crate) fn gc_finished(&mut self, now: Instant) {
        /// Short in comparison with the retention of finished jobs.
        const GC_INTERVAL: Duration = Duration::from_secs(1);
        if now < self.next_gc {
            return;
        }
        self.next_gc = now + GC_INTERVAL;
        self.collect_finished(now);
        // These have task records that an earlier owner stored.
        let retention = self.timings.retention;
        let expired = self.jobs.iter().filter(|(_, job)| {
            job.occurrences.is_empty()
                && job
                    .finished_at
                    .is_some_and(|(at, _)| now.saturating_duration_since(at) > retention)
        });
        let expired: Vec<JobId> = expired.map(|(&id, _)| id).collect();
        for id in expired {
            let parts = self.remove_job(id);
            self.dirty.remove(&id);
            self.pending_tombstones.extend(tombstones(id, parts));
        }
    }

    /// Records a decision for [`Shard::take_log_events`].
    pub(crate) fn log_event(
        &mut self,
        event: &'static str,
        subject: impl Display,
        detail: impl FnOnce() -> String,
    ) {
        self.log_events.push(LogEvent {
            event,
            subject: subject.to_string(),
            detail: detail(),
        });
    }

    /// Marks a job as changed, so that the next batch stores its progress.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        self.dirty.insert(id);
    }

    /// Drops the changes of a job that was removed before any of them was stored.
    pub(crate) fn forget_changes(&mut self, id: JobId) {
        self.dirty.remove(&id);
    }

    /// Drops the deferred effects for which `keep` returns false.
    pub(crate) fn retain_deferred(&mut self, keep: impl FnMut(&Effect) -> bool) {
        self.pending_batch.effects.retain(keep);
    }

    /// Adds an effect that is released once the next batch is stored.
    pub(crate) fn defer_effect(&mut self, effect: Effect) {
        self.pending_batch.effects.push(effect);
    }

    /// Returns the number of deferred effects, for [`Shard::truncate_deferred`].
    pub(crate) fn deferred_len(&self) -> usize {
        self.pending_batch.effects.len()
    }

    /// Drops the deferred effects after the first `len`, unless `keep` is set.
    pub(crate) fn truncate_deferred(&mut self, len: usize, keep: bool) {
        if !keep {
            self.pending_batch.effects.truncate(len);
        }
    }

    /// Acknowledges a worker's finished runs up to `sequence` once the next batch is stored.
    pub(crate) fn defer_ack(&mut self, worker: &Name, incarnation: u64, sequence: u64) {
        let ack = self
            .pending_batch
            .acks
            .entry(Arc::clone(worker))
            .or_default();
        *ack = (incarnation, sequence);
    }

    /// Puts a job into a final state and requests the stop of its runs.
    pub(crate) fn finish(&mut self, at: Timestamp, id: JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        job.finished_at = Some((at.now, at.unix));
        let age = at.now.saturating_duration_since(job.accepted_at);
        let objective = job.objective;
        self.unfinished.remove(&id);
        self.count_job(at.now, id);
        self.update_waiting(id);
        self.drop_tickets(id);
        let runs = self.runs_of(id);
        for run in runs {
            self.request_stop(run);
        }
        self.drop_tasks(id);
        self.mark_dirty(id);
        self.log_event("job_finished", id, || {
            format!(
                "state={state} age_ms={} objective_ms={}",
                age.as_millis(),
                objective.as_millis()
            )
        });
    }

    /// Drops the tasks of an occurrence once all of them are done and none of its runs may still be
    /// executing. The next occurrence may have waited for that.
    pub(crate) fn drop_finished(&mut self, id: JobId, occurrence: u32) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.drop_finished(occurrence);
            self.due.extend(job.next_due().map(|due| (due, id)));
        }
        self.count_memory(id);
    }

    /// Drops the tasks of a final job once none of its runs may still be executing.
    pub(crate) fn drop_tasks(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.state.is_final()
        {
            let has_no_runs = |t: &crate::tracked_job::Task| t.runs.is_empty();
            let mut steps = job.occurrences.values().flatten();
            if steps.all(|s| s.tasks.iter().all(has_no_runs)) {
                job.occurrences.clear();
            }
        }
        self.count_memory(id);
    }

    /// Returns the runs of a job that may be executing.
    pub(crate) fn runs_of(&self, id: JobId) -> Vec<RunId> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let mut runs = Vec::new();
        for (&occurrence, steps) in &job.occurrences {
            for (step, tasks) in (0u16..).zip(steps) {
                for (index, task) in (0u32..).zip(&tasks.tasks) {
                    let task_id = TaskId {
                        job: id,
                        occurrence,
                        step,
                        index,
                    };
                    runs.extend(task.runs.iter().map(|r| RunId {
                        task: task_id,
                        number: r.number,
                    }));
                }
            }
        }
        runs
    }

    /// Requests the stop of a run. A run whose start request was not sent yet is dropped when it
    /// would be sent.
    pub(crate) fn request_stop(&mut self, id: RunId) {
        let Some(job) = self.jobs.get_mut(&id.task.job) else {
            return;
        };
        let Some(run) = job.task_mut(id.task).and_then(|t| t.run_mut(id.number)) else {
            return;
        };
        run.stop_requested = true;
        if run.phase != Phase::Persisting {
            let key = (Arc::clone(&run.worker), id);
            self.stops.entry(key).or_default();
        }
    }
}
