//! Tickets of a queue's policy service: which workers may run a step.

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

/// How many workers one question names: the answer takes longer with each of them.
const WORKERS_ASKED: usize = 30;

/// After what time without an answer a question is asked again.
const ASK_AGAIN: Duration = Duration::from_secs(3);

/// How much of a ticket's time has to be left when a start is decided.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// A step of an occurrence, as the policy service names it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The occurrence, counted from zero.
    pub occurrence: u32,
    /// The step, counted from zero.
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

/// The tickets of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    rows: BTreeMap<Name, (Name, Instant)>,
    asked: Option<Instant>,
}

impl Tickets {
    /// Returns the ticket for a worker, if it still holds.
    pub(crate) fn for_worker(&self, now: Instant, worker: &str) -> Option<&Name> {
        let (ticket, until) = self.rows.get(worker)?;
        (*until > now + TICKET_MARGIN).then_some(ticket)
    }

    /// Forgets the ticket for a worker that refused it.
    pub(crate) fn forget(&mut self, worker: &str) {
        self.rows.remove(worker);
    }
}

impl Shard {
    /// Asks which workers may run a step, unless a ticket holds or a question is under way. The
    /// workers with most room are asked about.
    pub(crate) fn query_policy(&mut self, now: Instant, step: StepId, pool: &Name) {
        let tickets = self.tickets.entry(step).or_default();
        let waits = tickets
            .asked
            .is_some_and(|at| now.saturating_duration_since(at) < ASK_AGAIN);
        if waits {
            return;
        }
        tickets.asked = Some(now);
        let open = self.workers.iter();
        let open = open.filter(|(_, w)| w.info.pool == *pool && w.is_schedulable(now));
        let mut open: Vec<(u64, &Name)> = open
            .map(|(name, w)| (w.info.capacity.cpu.saturating_sub(w.used.cpu), name))
            .collect();
        open.sort_unstable_by(|a, b| b.cmp(a));
        let asked = open.into_iter().take(WORKERS_ASKED);
        let workers: Vec<Name> = asked.map(|(_, name)| Arc::clone(name)).collect();
        if !workers.is_empty() {
            self.effects.push(Effect::QueryPolicy(step, workers));
        }
    }

    /// Takes in the answer about a step: the workers that may run it, with their tickets and the
    /// time for which these hold; nothing when there was no usable answer.
    pub fn handle_policy(
        &mut self,
        at: Timestamp,
        step: StepId,
        answer: Option<(Vec<(Name, Name)>, Duration)>,
    ) {
        let Some(tickets) = self.tickets.get_mut(&step) else {
            return;
        };
        let Some((rows, valid)) = answer else {
            return;
        };
        // A question about a step without suitable workers is asked again after a while.
        if !rows.is_empty() {
            tickets.asked = None;
        }
        let until = at.now + valid;
        let rows = rows
            .into_iter()
            .map(|(worker, ticket)| (worker, (ticket, until)));
        tickets.rows = rows.collect();
        let count = tickets.rows.len();
        self.log_event("advised", step, || {
            format!("workers={count} valid_ms={}", valid.as_millis())
        });
    }
}
