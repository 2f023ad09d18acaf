//! Queries to a queue's policy service, and the tickets with which it allows workers to run a step.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::job::JobId;
use crate::job::Name;
use crate::job::Resources;
use crate::job::TaskId;
use crate::shard::Effect;
use crate::shard::Shard;
use crate::shard::Timestamp;
use crate::worker::Worker;

/// The maximum number of workers in one query. The response takes longer with each of them.
const MAX_QUERY_WORKERS: usize = 30;

/// The time without a response after which a query is sent again, and the time after which the service
/// is asked again about a worker that it did not allow.
const QUERY_RETRY: Duration = Duration::from_secs(3);

/// How long after a worker rejected a ticket the service may be asked about it again. The worker may
/// have restarted, and then takes a new ticket.
const REJECTED_TICKET_BACKOFF: Duration = Duration::from_millis(300);

/// How long a step needs tickets after a worker rejected a start of it, whatever the configuration says:
/// the worker and this owner may know different versions for a while. Then a start without a ticket is
/// tried again.
const REQUIREMENT_TTL: Duration = QUERY_RETRY;

/// The remaining validity that a ticket must have when a task is placed with it.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// The id of a step of one occurrence of a job, which queries to the policy service name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// The job that the step belongs to.
    pub job: JobId,
    /// The zero-based number of the occurrence.
    pub occurrence: u32,
    /// The zero-based index of the step in the job.
    pub step: u16,
}

impl StepId {
    pub(crate) fn of(task: TaskId) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }

    pub(crate) fn task(self, index: u32) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

/// What the policy service was asked about a worker for which it has given no ticket.
#[derive(Clone, Copy, Debug)]
struct AskedWorker {
    /// When the service may be asked about the worker again.
    retry_at: Instant,
    /// Whether a response lacked the worker, or none came.
    not_allowed: bool,
}

/// The tickets that allow workers to run a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    /// The ticket for each allowed worker, and when it expires.
    by_worker: BTreeMap<Name, (Name, Instant)>,
    /// The other workers that the service was asked about.
    asked: BTreeMap<Name, AskedWorker>,
    /// When the query that has no usable response yet was sent.
    queried_at: Option<Instant>,
    /// Until when starts of the step need a ticket although its queue has no policy service
    /// according to the configuration.
    required_until: Option<Instant>,
}

impl Tickets {
    /// Returns the ticket for a worker unless it expires within [`TICKET_MARGIN`].
    pub(crate) fn for_worker(&self, now: Instant, worker: &str) -> Option<&Name> {
        let (ticket, expiry) = self.by_worker.get(worker)?;
        (*expiry > now + TICKET_MARGIN).then_some(ticket)
    }

    /// Returns whether there is a ticket for a worker, or the service may still give one.
    pub(crate) fn is_obtainable(&self, now: Instant, worker: &str) -> bool {
        let asked = self.asked.get(worker);
        self.for_worker(now, worker).is_some() || asked.is_none_or(|a| !a.not_allowed)
    }

    /// Returns whether a worker has rejected a start for want of a ticket recently.
    pub(crate) fn is_required(&self, now: Instant) -> bool {
        self.required_until.is_some_and(|until| now < until)
    }

    /// Removes the ticket for a worker that has rejected a start with it, or without one.
    pub(crate) fn reject(&mut self, now: Instant, worker: &Name) {
        self.required_until = Some(now + REQUIREMENT_TTL);
        if self.by_worker.remove(worker).is_some() {
            let asked = AskedWorker {
                retry_at: now + REJECTED_TICKET_BACKOFF,
                not_allowed: false,
            };
            self.asked.insert(Arc::clone(worker), asked);
        }
    }

    /// Returns when the service may be asked about a worker again, `None` if it can be asked now for the
    /// first time or since a ticket has expired.
    fn retry_at(&self, worker: &str) -> Option<Instant> {
        self.asked.get(worker).map(|asked| asked.retry_at)
    }

    /// Records a query about workers.
    fn add_query(&mut self, now: Instant, workers: &[Name]) {
        self.queried_at = Some(now);
        let retry_at = now + QUERY_RETRY;
        for worker in workers {
            let asked = self.asked.entry(Arc::clone(worker));
            let asked = asked.or_insert(AskedWorker {
                retry_at,
                not_allowed: false,
            });
            asked.retry_at = retry_at;
        }
    }

    /// Records that the workers in the last query got no ticket.
    fn mark_not_allowed(&mut self) {
        // The time that `add_query` set for the workers of the last query.
        let last = self.queried_at.map(|at| at + QUERY_RETRY);
        for asked in self.asked.values_mut() {
            asked.not_allowed |= Some(asked.retry_at) == last;
        }
    }

    /// Adds the tickets for the allowed workers of the last query.
    fn add_response(&mut self, now: Instant, allowed: Vec<(Name, Name)>, ttl: Duration) {
        self.mark_not_allowed();
        self.queried_at = None;
        self.by_worker.retain(|_, (_, expiry)| *expiry > now);
        for (worker, ticket) in allowed {
            self.asked.remove(&worker);
            self.by_worker.insert(worker, (ticket, now + ttl));
        }
    }
}

impl Shard {
    /// Sets whether the queues of the configuration have a policy service.
    ///
    /// Workers reject starts by the version that they know, whatever the version was under which a job
    /// was submitted. For a queue without an entry the settings that were stored with the job hold.
    pub fn set_queue_policies(&mut self, policies: BTreeMap<Name, bool>) {
        if policies == self.queue_policies {
            return;
        }
        let former = mem::replace(&mut self.queue_policies, policies);
        let changed = self.queue_policies.iter();
        let changed = changed.filter(|(name, has)| former.get(*name).is_some_and(|h| h != *has));
        let changed: Vec<(Name, bool)> = changed.map(|(n, has)| (Arc::clone(n), *has)).collect();
        for (name, has_policy) in changed {
            self.log_event("queue_policy_changed", name, || {
                format!("policy_service={has_policy}")
            });
        }
        let is_affected = |id: &JobId| {
            let queue = self.jobs.get(id).map(|job| &job.job.queue.name);
            queue.is_some_and(|name| former.get(name) != self.queue_policies.get(name))
        };
        let affected = self.unfinished.iter().copied().filter(is_affected);
        let affected: Vec<JobId> = affected.collect();
        for id in affected {
            self.update_waiting(id);
        }
    }

    /// Returns whether tasks of a step need a ticket of the policy service to start.
    pub(crate) fn needs_ticket(&self, now: Instant, id: StepId) -> bool {
        let job = self.jobs.get(&id.job);
        let has_policy = job.is_some_and(|j| {
            let queue = &j.job.queue;
            let configured = self.queue_policies.get(&queue.name).copied();
            configured.unwrap_or(queue.policy.is_some())
        });
        has_policy || self.tickets.get(&id).is_some_and(|t| t.is_required(now))
    }

    /// Asks the policy service which workers may run a step, unless a query is in flight or the step needs
    /// no tickets.
    ///
    /// Placement calls it when no worker with a valid ticket has room, or too few have for a gang. The
    /// query names schedulable workers that could run a task and have no valid ticket: those that were
    /// not asked about first, then those that were asked about longest ago, and of these the ones with
    /// the most free processor time.
    pub(crate) fn query_policy(&mut self, now: Instant, id: StepId) {
        let job = self.jobs.get(&id.job).map(|j| Arc::clone(&j.job));
        let Some(job) = job.filter(|_| self.needs_ticket(now, id)) else {
            return;
        };
        let Some(step) = job.steps.get(usize::from(id.step)) else {
            return;
        };
        let tickets = self.tickets.entry(id).or_default();
        if let Some(at) = tickets.queried_at {
            if now.saturating_duration_since(at) < QUERY_RETRY {
                return;
            }
            tickets.mark_not_allowed();
            tickets.queried_at = None;
        }
        tickets
            .asked
            .retain(|name, _| self.workers.get(name).is_some());
        let has_label = |w: &Worker| {
            let label = step.required_label.as_ref();
            label.is_none_or(|label| w.info.labels.contains(label))
        };
        let workers = self.workers.iter().filter(|(name, w)| {
            w.info.pool == job.queue.pool
                && w.is_schedulable(now)
                && has_label(w)
                && w.info
                    .capacity
                    .fits(Resources::default(), step.allocation())
                && tickets.for_worker(now, name).is_none()
                && tickets.retry_at(name).is_none_or(|at| at <= now)
        });
        let mut workers: Vec<_> = workers
            .map(|(name, w)| {
                let free = w.info.capacity.cpu.saturating_sub(w.used.cpu);
                (tickets.retry_at(name), Reverse((free, name)))
            })
            .collect();
        workers.sort_unstable();
        let selected = workers.into_iter().take(MAX_QUERY_WORKERS);
        let workers: Vec<Name> = selected
            .map(|(_, Reverse((_, name)))| Arc::clone(name))
            .collect();
        if !workers.is_empty() {
            tickets.add_query(now, &workers);
            self.effects.push(Effect::QueryPolicy(id, workers));
        }
    }

    /// Drops the tickets of a job that is final.
    pub(crate) fn drop_tickets(&mut self, id: JobId) {
        let of_step = |occurrence, step| StepId {
            job: id,
            occurrence,
            step,
        };
        let steps = self
            .tickets
            .range(of_step(0, 0)..=of_step(u32::MAX, u16::MAX));
        let steps: Vec<StepId> = steps.map(|(&step, _)| step).collect();
        for step in steps {
            self.placement.tickets += 1;
            self.tickets.remove(&step);
        }
    }

    /// Handles the response to [`Effect::QueryPolicy`].
    ///
    /// `decision` holds the workers that may run the step, each with its ticket, and how long the
    /// tickets are valid. It is `None` if there was no usable response.
    pub fn handle_policy(
        &mut self,
        at: Timestamp,
        step: StepId,
        decision: Option<(Vec<(Name, Name)>, Duration)>,
    ) {
        let Some(tickets) = self.tickets.get_mut(&step) else {
            return;
        };
        let Some((allowed, ttl)) = decision else {
            // The next query waits for `QUERY_RETRY`.
            tickets.mark_not_allowed();
            return;
        };
        self.settled = false;
        let count = allowed.len();
        tickets.add_response(at.now, allowed, ttl);
        self.log_event("policy_answered", step, || {
            format!("workers={count} valid_ms={}", ttl.as_millis())
        });
    }
}
