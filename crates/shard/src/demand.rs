//! The demand of a pool, and which of its workers can be released to other pools.
//!
//! The demand of queues peaks at different times: while one pool has more work than its workers can
//! complete in time, others have idle workers. The owner of the fleet shard moves machines between
//! pools based on the demand reported here.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::job::Name;
use crate::job::Resources;
use crate::shard::Shard;
use crate::shard::Timestamp;

/// The minimum time over which the work of a late job is spread when its demand is computed. A move
/// takes about twice as long, so a shorter backlog is gone before a machine arrives.
const MIN_HORIZON: Duration = Duration::from_secs(1);

/// The factor applied to the demand of the queued work. A peak still grows while machines are being
/// moved, and tasks don't use the full capacity of workers.
const BACKLOG_HEADROOM: f64 = 2.5;

/// The factor applied to the arrival rate. A peak doubles its rate within some seconds, and jobs
/// take longer than estimated.
const ARRIVAL_HEADROOM: f64 = 2.0;

/// The demand of a pool and the capacity of its workers.
///
/// The owner of the pool's shard reports it to the owner of the fleet shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// The capacity of the schedulable workers.
    pub offered: Resources,
    /// The capacity with which the queued work would be completed in time, including long-running
    /// tasks.
    pub needed: Resources,
    /// The capacity that the pool keeps: what its tasks are allocated, and at least what it takes
    /// to complete work as fast as it arrives.
    ///
    /// The rest can be released even if work is queued, since that work would already run on an
    /// idle worker if it could.
    pub reserved: Resources,
    /// The workers without runs, and how long they have been idle.
    pub idle: Vec<(Name, Duration)>,
}

impl PoolDemand {
    /// Returns whether the pool needs more processor time or memory than its workers offer.
    pub fn is_short(&self) -> bool {
        self.needed.cpu > self.offered.cpu || self.needed.memory > self.offered.memory
    }
}

impl Shard {
    /// Returns the demand of a pool of this shard, and the capacity of the pool's workers.
    pub fn pool_demand(&self, now: Instant, pool: &str) -> PoolDemand {
        let mut demand = PoolDemand::default();
        let mut evacuated = Resources::default();
        for (name, worker) in self.workers.iter() {
            if &*worker.info.pool != pool {
                continue;
            }
            if worker.evacuated {
                evacuated.add(worker.long_running);
            }
            if !worker.is_schedulable(now) {
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
        let mut queued = Resources::default();
        let jobs = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        for job in jobs.filter(|j| &*j.job.queue.pool == pool && j.urgency(now).needs_capacity()) {
            match job.long_running {
                true => long_running.add(job.demand(now, MIN_HORIZON)),
                false => queued.add(job.demand(now, MIN_HORIZON)),
            }
        }
        // Long-running tasks in evacuated zones go on there, and need no other capacity.
        long_running.sub(evacuated);
        let arriving = self.arrivals.rate(now, pool).scaled(ARRIVAL_HEADROOM);
        demand.needed = queued.scaled(BACKLOG_HEADROOM).max(arriving);
        let mut minimum = arriving;
        minimum.add(long_running);
        demand.reserved = demand.reserved.max(minimum);
        demand.needed.add(long_running);
        demand
    }

    /// Releases a worker to another pool if it has no runs, and returns whether it did.
    ///
    /// The worker gets no tasks from then on. If it is still in the pool when
    /// [`Timings::drain_ttl`](crate::Timings::drain_ttl) has passed, it is used again.
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
