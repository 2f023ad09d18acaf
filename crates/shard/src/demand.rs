//! What a pool needs, and which of its workers it can do without.
//!
//! The load this answers: queues whose demand peaks by turns. While one pool has more work than its
//! workers can do in time, others have idle workers; the owner of the fleet shard moves machines by
//! what is reported here.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::job::Name;
use crate::job::Resources;
use crate::shard::Shard;
use crate::shard::Timestamp;

/// The shortest time in which the work of a late job is to be done. A move takes about twice as
/// long, so that a shorter backlog is gone before a machine arrives.
const SHORTEST: Duration = Duration::from_secs(1);

/// How much more than the work ahead a pool should offer: a peak still grows while machines are on
/// their way, and tasks do not fill workers to the brim.
const HEADROOM: f64 = 2.5;

/// How much more than what arrives a pool should offer: a peak doubles its rate within some
/// seconds, and jobs take more than their estimates.
const GROWTH: f64 = 2.0;

/// What a pool needs and has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// What its usable workers offer.
    pub offered: Resources,
    /// What would do the work ahead in time, lasting tasks included.
    pub needed: Resources,
    /// What runs, and at least what would do the work as fast as it comes. The pool does without the
    /// rest, however much waits: it would run on an idle worker if it could.
    pub reserved: Resources,
    /// The workers on which nothing runs, and for how long.
    pub idle: Vec<(Name, Duration)>,
}

impl PoolDemand {
    /// Tells whether the pool needs more than it has.
    pub fn is_short(&self) -> bool {
        self.needed.cpu > self.offered.cpu || self.needed.memory > self.offered.memory
    }
}

impl Shard {
    /// Returns what a pool needs and has.
    pub fn pool_demand(&self, now: Instant, pool: &str) -> PoolDemand {
        let mut demand = PoolDemand::default();
        for (name, worker) in &self.workers {
            if &*worker.info.pool != pool || !worker.is_schedulable(now) {
                continue;
            }
            demand.offered.add(worker.info.capacity);
            demand.reserved.add(worker.used);
            if worker.runs.is_empty() {
                let idle = now.saturating_duration_since(worker.last_active);
                demand.idle.push((Name::clone(name), idle));
            }
        }
        let mut long_running = Resources::default();
        let mut waiting = Resources::default();
        let jobs = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        for job in jobs.filter(|j| &*j.job.queue.pool == pool && j.urgency(now).needs_capacity()) {
            match job.job.is_long_running() {
                true => long_running.add(job.demand(now, SHORTEST)),
                false => waiting.add(job.demand(now, SHORTEST)),
            }
        }
        let arriving = self.arrivals.rate(now, pool).scaled(GROWTH);
        demand.needed = waiting.scaled(HEADROOM).max(arriving);
        let mut least = arriving;
        least.add(long_running);
        demand.reserved = demand.reserved.max(least);
        demand.needed.add(long_running);
        demand
    }

    /// Gives a worker away if nothing runs on it. It gets no tasks from then on, unless it is still
    /// there after a while.
    pub fn release_idle(&mut self, at: Timestamp, name: &Name) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        if !worker.runs.is_empty() {
            return false;
        }
        worker.drain_since.get_or_insert(at.now);
        worker.drain_requested = at.now;
        worker.drain_granted = true;
        true
    }
}
