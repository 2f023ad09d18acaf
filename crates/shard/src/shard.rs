//! The state of a shard's owner, and what it decides.
//!
//! Every effect that must survive the owner waits until the records it depends on are stored: the
//! caller of [`Shard`] appends the batch that [`Shard::next_batch`] gives and reports it with
//! [`Shard::batch_stored`], which releases the effects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt::Display;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::arrivals::Arrivals;
use crate::job::Job;
use crate::job::JobId;
use crate::job::JobState;
use crate::job::Name;
use crate::job::Resources;
use crate::job::TaskId;
use crate::policy::StepId;
use crate::policy::Tickets;
use crate::records::Record;
use crate::records::job_record;
use crate::records::progress_record;
use crate::records::tombstones;
use crate::share_limiter::ShareLimiter;
use crate::timings::Timings;
use crate::tracked_job::Phase;
use crate::tracked_job::TrackedJob;
use crate::worker::RunId;
use crate::worker::Worker;

/// The two times that decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    /// The monotonic time, suspension included.
    pub now: Instant,
    /// The time since 1970, which may jump.
    pub unix: Duration,
}

/// Names the caller's open question, so that the answer reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// The run.
    pub run: RunId,
    /// The text of the job.
    pub payload: Name,
    /// The end of the lease, in milliseconds on the worker's clock.
    pub lease_deadline: u64,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// The ticket of the queue's policy service.
    pub ticket: Option<Name>,
}

/// A look at a worker, which renews its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The end of the lease, in milliseconds on the worker's clock; nothing leaves it as it is.
    pub lease_deadline: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub acked_until: u64,
    /// How long the worker may wait for an end.
    pub wait: Duration,
}

/// How an owner answers a submission or a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The job is stored, or the cancellation is.
    Accepted,
    /// The job was not accepted and never runs.
    Refused {
        /// When it may be submitted again.
        retry_after: Duration,
    },
    /// There is no such job.
    NotFound,
}

/// What the caller of the shard has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Answer a caller.
    Respond(RequestId, Response),
    /// Start a task on a worker and report it with `start_answered`.
    Start(Name, StartRequest),
    /// Stop a run on a worker and report it with `stop_answered`.
    Stop(Name, RunId),
    /// Look at a worker and report it with `looked` or `look_failed`.
    Poll(Name, PollRequest),
    /// Ask the policy service which of these workers may run a step and report it with `advised`.
    QueryPolicy(StepId, Vec<Name>),
    /// Set the share at which a filling task works, in percent.
    Throttle(Name, RunId, u32),
}

/// A decision for the logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// What was decided.
    pub event: &'static str,
    /// The job, the worker or the team.
    pub subject: String,
    /// The inputs and the outcome.
    pub detail: String,
}

/// What a team has running, and may have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// The team.
    pub name: Name,
    /// What runs.
    pub used: Resources,
    /// What it may have running; nothing before that is known.
    pub quota: Option<Resources>,
    /// What waited for the limit at the last placement.
    pub pending: Resources,
}

/// What is stored together.
#[derive(Debug, Default)]
struct Batch {
    effects: Vec<Effect>,
    acks: BTreeMap<Name, (u64, u64)>,
    stored_states: Vec<(JobId, JobState)>,
}

/// A stop that the worker has not confirmed yet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PendingStop {
    pub(crate) sent: Option<Instant>,
}

/// The state of a shard's owner.
#[derive(Debug)]
pub struct Shard {
    pub(crate) timings: Timings,
    /// When this owner won the shard.
    pub(crate) owned_since: Instant,
    pub(crate) jobs: HashMap<JobId, TrackedJob>,
    /// The jobs that are not final.
    pub(crate) unfinished: BTreeSet<JobId>,
    pub(crate) workers: BTreeMap<Name, Worker>,
    /// The workers whose lives were ended by orders, with the start of that life.
    pub(crate) ended_incarnations: BTreeMap<Name, u64>,
    pub(crate) teams: BTreeMap<Name, TeamUsage>,
    pub(crate) share_limiter: ShareLimiter,
    pub(crate) arrivals: Arrivals,
    /// The tickets of the steps of queues that ask a policy service.
    pub(crate) tickets: BTreeMap<StepId, Tickets>,
    pub(crate) stops: BTreeMap<(Name, RunId), PendingStop>,
    pub(crate) superseded: bool,
    /// Whether the runs that an earlier owner left on unknown workers are dealt with.
    pub(crate) orphans_resolved: bool,
    pub(crate) effects: Vec<Effect>,
    pub(crate) log_events: Vec<LogEvent>,
    /// Jobs with changes that are in no batch yet.
    dirty: BTreeSet<JobId>,
    next: Batch,
    in_flight: Option<Batch>,
    removals: Vec<Record>,
    /// When finished jobs are looked at next.
    next_gc: Instant,
}

impl Shard {
    /// Creates an owner without jobs.
    pub fn new(timings: Timings, now: Instant) -> Self {
        Self {
            timings,
            owned_since: now,
            jobs: HashMap::new(),
            unfinished: BTreeSet::new(),
            workers: BTreeMap::new(),
            ended_incarnations: BTreeMap::new(),
            teams: BTreeMap::new(),
            share_limiter: ShareLimiter::default(),
            arrivals: Arrivals::default(),
            tickets: BTreeMap::new(),
            stops: BTreeMap::new(),
            superseded: false,
            orphans_resolved: false,
            effects: Vec::new(),
            log_events: Vec::new(),
            dirty: BTreeSet::new(),
            next: Batch::default(),
            in_flight: None,
            removals: Vec::new(),
            next_gc: now,
        }
    }

    /// Takes a job in, or refuses it. The answer follows as an effect.
    pub fn submit(&mut self, at: Timestamp, request_id: RequestId, job: Job) {
        let id = job.id;
        if let Some(known) = self.jobs.get(&id) {
            // A repeated submission waits for the batch that stores the first one.
            let response = Effect::Respond(request_id, Response::Accepted);
            match known.persisted && !self.dirty.contains(&id) && self.in_flight.is_none() {
                true => self.effects.push(response),
                false => self.next.effects.push(response),
            }
            return;
        }
        let over_share = job.team.as_ref();
        let over_share = over_share.and_then(|team| self.share_limiter.acquire(at.now, team));
        if let Some(retry_after) = self.check_admission(at.now, &job, over_share) {
            if let (Some(team), None) = (&job.team, over_share) {
                self.share_limiter.refund(team);
            }
            let response = Response::Refused { retry_after };
            self.effects.push(Effect::Respond(request_id, response));
            return;
        }
        let mut active = TrackedJob::new(Arc::new(job), at.now, at.unix);
        active.over_share = over_share.is_some();
        active.create_due_tasks(at.unix);
        self.log_event("job_accepted", id, || {
            format!(
                "queue={} team={} excess={} steps={} objective_ms={}",
                active.job.queue.name,
                active.job.team.as_deref().unwrap_or("-"),
                active.over_share,
                active.job.steps.len(),
                active.objective.as_millis()
            )
        });
        if !active.over_share {
            self.arrivals.add(at.now, &active.job);
        }
        self.jobs.insert(id, active);
        self.unfinished.insert(id);
        self.mark_dirty(id);
        self.next
            .effects
            .push(Effect::Respond(request_id, Response::Accepted));
    }

    /// Cancels a job. The answer follows as an effect.
    pub fn cancel(&mut self, at: Timestamp, request_id: RequestId, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.effects
                .push(Effect::Respond(request_id, Response::NotFound));
            return;
        };
        if !job.state.is_final() {
            self.arrivals.remove(id);
            self.finish(at, id, JobState::Cancelled);
        }
        self.next
            .effects
            .push(Effect::Respond(request_id, Response::Accepted));
    }

    /// Returns what callers are told of a job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id)?;
        Some(match (job.stored_state, job.state) {
            // A task has started, and the end is not stored yet.
            (JobState::Queued, JobState::Running | JobState::Completed | JobState::Failed) => {
                JobState::Running
            }
            (stored_state, _) => stored_state,
        })
    }

    /// Returns the number of a queue's accepted jobs for which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        let waiting = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        waiting
            .filter(|j| &*j.job.queue.name == queue && j.state == JobState::Queued)
            .count()
    }

    /// Returns the records to be stored next, unless a batch is under way or nothing changed.
    pub fn next_batch(&mut self) -> Option<Vec<Record>> {
        if self.in_flight.is_some() {
            return None;
        }
        let mut batch = mem::take(&mut self.next);
        let mut records = mem::take(&mut self.removals);
        for id in mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if !mem::replace(&mut job.persisted, true) {
                records.push(job_record(&job.job));
            }
            records.push(progress_record(id, &job.progress()));
            if job.stored_state != job.state {
                batch.stored_states.push((id, job.state));
            }
        }
        if records.is_empty() && batch.effects.is_empty() && batch.acks.is_empty() {
            return None;
        }
        self.in_flight = Some(batch);
        Some(records)
    }

    /// Takes in that the last batch is stored, which releases what waited for it.
    pub fn batch_stored(&mut self, at: Timestamp) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        for (id, state) in batch.stored_states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.stored_state = state;
            }
        }
        for (name, (incarnation, number)) in batch.acks {
            if let Some(worker) = self.workers.get_mut(&name)
                && worker.info.incarnation == incarnation
            {
                worker.stored_seq = worker.stored_seq.max(number);
                worker.next_poll = at.now;
            }
        }
        for effect in batch.effects {
            match effect {
                Effect::Start(worker, order) => self.send_start(at.now, worker, order),
                other => self.effects.push(other),
            }
        }
    }

    /// Returns what is to be done now.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// Returns the decisions since the last call, for the logs.
    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        mem::take(&mut self.log_events)
    }

    /// Tells whether a worker has seen a higher token, so that another owner has won the shard.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the number of jobs that are not final.
    pub fn unfinished_jobs(&self) -> usize {
        self.unfinished.len()
    }

    /// Sets what each team may have running on this shard's workers.
    pub fn set_quotas(&mut self, quotas: &BTreeMap<Name, Resources>) {
        for (name, team) in &mut self.teams {
            team.quota = quotas.get(name).copied();
        }
        for (name, quota) in quotas {
            self.teams.entry(Arc::clone(name)).or_default().quota = Some(*quota);
        }
    }

    /// Returns what each team has running here, and what waits beyond its limit.
    pub fn team_usage(&self) -> Vec<TeamUsage> {
        let all = self.teams.iter();
        all.map(|(name, team)| TeamUsage {
            name: Arc::clone(name),
            ..team.clone()
        })
        .collect()
    }

    /// Returns the address of a worker.
    pub fn address(&self, worker: &str) -> Option<Name> {
        let worker = self.workers.get(worker)?;
        Some(Arc::clone(&worker.info.address))
    }

    /// Forgets jobs that finished long ago, now and then, since it looks at all jobs.
    pub(crate) fn gc_finished(&mut self, now: Instant) {
        /// A small part of the time for which finished jobs are remembered.
        const FORGET_EVERY: Duration = Duration::from_secs(1);
        if now < self.next_gc {
            return;
        }
        self.next_gc = now + FORGET_EVERY;
        let retention = self.timings.retention;
        let old = self.jobs.iter().filter(|(_, job)| {
            job.occurrences.is_empty()
                && job
                    .finished
                    .is_some_and(|(at, _)| now.saturating_duration_since(at) > retention)
        });
        let old: Vec<JobId> = old.map(|(&id, _)| id).collect();
        for id in old {
            self.jobs.remove(&id);
            self.dirty.remove(&id);
            self.removals.extend(tombstones(id));
        }
    }

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

    /// Marks a job as changed, so that the next batch holds it.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        self.dirty.insert(id);
    }

    /// Adds an effect that waits for the next batch.
    pub(crate) fn defer_effect(&mut self, effect: Effect) {
        self.next.effects.push(effect);
    }

    /// Returns a mark for [`Shard::truncate_deferred`].
    pub(crate) fn deferred_len(&self) -> usize {
        self.next.effects.len()
    }

    /// Keeps the effects that were added since the mark for the next batch, or drops them.
    pub(crate) fn truncate_deferred(&mut self, mark: usize, keep: bool) {
        if !keep {
            self.next.effects.truncate(mark);
        }
    }

    /// Has the ends up to `number` acknowledged once the next batch is stored.
    pub(crate) fn defer_ack(&mut self, worker: &Name, incarnation: u64, number: u64) {
        let ack = self.next.acks.entry(Arc::clone(worker)).or_default();
        *ack = (incarnation, number);
    }

    /// Brings a job into a final state and stops what still runs of it.
    pub(crate) fn finish(&mut self, at: Timestamp, id: JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        job.finished = Some((at.now, at.unix));
        let age = at.now.saturating_duration_since(job.accepted);
        let objective = job.objective;
        self.unfinished.remove(&id);
        self.tickets.retain(|step, _| step.job != id);
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

    /// Drops the tasks of a final job once none of its runs may be under way.
    pub(crate) fn drop_tasks(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.state.is_final()
        {
            let is_over = |t: &crate::tracked_job::Task| t.runs.is_empty();
            let mut steps = job.occurrences.values().flatten();
            if steps.all(|s| s.tasks.iter().all(is_over)) {
                job.occurrences.clear();
            }
        }
    }

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

    /// Has a run stopped. One that was not ordered yet is dropped when its order is due.
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
