//! Queries to a queue's policy service, and the tickets with which it allows workers to run a step.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::job::JobId;
use crate::job::Name;
use crate::job::TaskId;
use crate::shard::Effect;
use crate::shard::Shard;
use crate::shard::Timestamp;

/// The maximum number of workers in one query. The response takes longer with each of them.
const MAX_QUERY_WORKERS: usize = 30;

/// The time without a response after which a query is sent again.
const QUERY_RETRY: Duration = Duration::from_secs(3);

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

/// The tickets that allow workers to run a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    /// The ticket for each allowed worker, and when it expires.
    by_worker: BTreeMap<Name, (Name, Instant)>,
    /// When the query that has no usable response yet was sent.
    queried_at: Option<Instant>,
}

impl Tickets {
    /// Returns the ticket for a worker unless it expires within [`TICKET_MARGIN`].
    pub(crate) fn for_worker(&self, now: Instant, worker: &str) -> Option<&Name> {
        let (ticket, expiry) = self.by_worker.get(worker)?;
        (*expiry > now + TICKET_MARGIN).then_some(ticket)
    }

    /// Removes the ticket for a worker that rejected it.
    pub(crate) fn remove(&mut self, worker: &str) {
        self.by_worker.remove(worker);
    }
}

impl Shard {
    /// Asks the policy service which workers may run a step, unless a query is in flight.
    ///
    /// Placement calls it when no worker with a valid ticket has room. The query names the
    /// schedulable workers with the most free processor time.
    pub(crate) fn query_policy(&mut self, now: Instant, step: StepId, pool: &Name) {
        let tickets = self.tickets.entry(step).or_default();
        let in_flight = tickets
            .queried_at
            .is_some_and(|at| now.saturating_duration_since(at) < QUERY_RETRY);
        if in_flight {
            return;
        }
        tickets.queried_at = Some(now);
        let candidates = self.workers.iter();
        let candidates = candidates.filter(|(_, w)| w.info.pool == *pool && w.is_schedulable(now));
        let mut candidates: Vec<(u64, &Name)> = candidates
            .map(|(name, w)| (w.info.capacity.cpu.saturating_sub(w.used.cpu), name))
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let selected = candidates.into_iter().take(MAX_QUERY_WORKERS);
        let workers: Vec<Name> = selected.map(|(_, name)| Arc::clone(name)).collect();
        if !workers.is_empty() {
            self.effects.push(Effect::QueryPolicy(step, workers));
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
            return;
        };
        self.settled = false;
        // If no worker is allowed, the next query waits for `QUERY_RETRY`.
        if !allowed.is_empty() {
            tickets.queried_at = None;
        }
        let expiry = at.now + ttl;
        let by_worker = allowed
            .into_iter()
            .map(|(worker, ticket)| (worker, (ticket, expiry)));
        tickets.by_worker = by_worker.collect();
        let count = tickets.by_worker.len();
        self.log_event("policy_answered", step, || {
            format!("workers={count} valid_ms={}", ttl.as_millis())
        });
    }
}
