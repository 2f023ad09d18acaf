//! Moving machines between pools.
//!
//! The load this answers: queues that peak by turns, each with more work than its pool can do in
//! time, while other pools idle and spare machines stand by. A machine that is worth its price for
//! a second or two of use pays for its way there and back.
//!
//! Every machine has a home, the pool it was in when it was first seen. It leaves home for a pool
//! that lacks capacity, goes on from there to the next such pool, and returns when nobody needs it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::PoolDemand;
use lavenderhollow_shard::Resources;

use crate::backend::Machine;
use crate::backend::MachineState;

/// How long a worker has to be idle before another pool gets its machine, so that a short gap
/// between two jobs does not cost the pool a worker.
const LEND_AFTER: Duration = Duration::from_millis(600);

/// How long a worker away from home has to be idle before it returns. The way there and back costs as
/// much as 2.3 s in a pool at both users' prices; the next peak takes most of these machines anyway.
const RETURN_AFTER: Duration = Duration::from_millis(1_200);

/// The share of its own machines that a pool keeps when it lends; its next peak begins before they
/// are back. Lasting tasks run on about half of a calm pool's workers, so that more are seldom idle.
const KEPT_SHARE: f64 = 0.5;

/// The time after the arrival of a machine in which its worker reports for duty, and in which it
/// counts as on its way.
const ARRIVAL: Duration = Duration::from_millis(1_500);

/// After what time a machine that could not be moved is tried again.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);

/// A machine on its way.
#[derive(Clone, Debug)]
struct Trip {
    planned: PlannedMove,
    since: Instant,
    confirmed: bool,
    /// Whether the owner of the pool that it left was told that its worker's life has ended.
    told: bool,
}

/// A move to be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// The machine.
    pub machine: Name,
    /// The pool that it leaves.
    pub from: Name,
    /// The pool that it joins.
    pub to: Name,
    /// The worker that runs on it.
    pub worker: Option<Name>,
}

/// What is known of a pool when moves are planned.
#[derive(Clone, Debug, Default)]
struct PoolState {
    offered: Resources,
    needed: Resources,
    kept: Resources,
    idle: BTreeMap<Name, Duration>,
    /// Machines that are up, or return to it after an upkeep.
    present: usize,
    own: usize,
}

impl PoolState {
    /// Returns how far the need exceeds the offer, as a share of the need.
    fn shortage(&self) -> f64 {
        let short = |needed: u64, offered: u64| match needed {
            0 => 0.0,
            _ => needed.saturating_sub(offered) as f64 / needed as f64,
        };
        let cpu = short(self.needed.cpu, self.offered.cpu);
        let memory = short(self.needed.memory, self.offered.memory);
        cpu.max(memory)
    }

    /// Tells whether a further machine would be used by at least half.
    fn lacks(&self, machine: Resources) -> bool {
        let lacks = |needed: u64, offered: u64, each: u64| {
            each > 0 && needed.saturating_sub(offered) * 2 >= each
        };
        lacks(self.needed.cpu, self.offered.cpu, machine.cpu)
            || lacks(self.needed.memory, self.offered.memory, machine.memory)
    }

    /// Tells whether the pool does without a machine, even if it lacks capacity itself.
    fn spares(&self, machine: Resources) -> bool {
        self.kept.cpu + machine.cpu <= self.offered.cpu
            && self.kept.memory + machine.memory <= self.offered.memory
    }
}

/// The machines' homes, and the moves under way.
#[derive(Clone, Debug, Default)]
pub struct Rebalancer {
    origin_pools: BTreeMap<Name, Name>,
    trips: BTreeMap<Name, Trip>,
    refused: BTreeMap<Name, Instant>,
    /// Pools that do not take a machine.
    impossible: BTreeSet<(Name, Name)>,
    move_time: Duration,
}

impl Rebalancer {
    /// Creates the state for a platform on which a move takes `migration`.
    pub fn new(move_time: Duration) -> Self {
        Self {
            move_time,
            ..Self::default()
        }
    }

    /// Takes a home that an earlier owner stored.
    pub fn restore_origin(&mut self, machine: Name, origin: Name) {
        self.origin_pools.insert(machine, origin);
    }

    /// Returns the home of a machine if it is known.
    pub fn origin_pool(&self, machine: &str) -> Option<&Name> {
        self.origin_pools.get(machine)
    }

    /// Takes the list of machines; returns workers whose lives were ended by a move, with the pool
    /// that they were in, each once.
    pub fn observe(&mut self, now: Instant, list: &[Machine]) -> Vec<(Name, Name)> {
        for machine in list {
            let origin = || Arc::clone(&machine.pool);
            self.origin_pools
                .entry(Arc::clone(&machine.name))
                .or_insert_with(origin);
        }
        let by_name: BTreeMap<&Name, &Machine> = list.iter().map(|m| (&m.name, m)).collect();
        let mut ended = Vec::new();
        let limit = self.move_time + ARRIVAL;
        self.trips.retain(|name, trip| {
            let Some(machine) = by_name.get(name) else {
                return false;
            };
            if machine.pool == trip.planned.to {
                trip.confirmed = true;
                if let Some(worker) = &trip.planned.worker
                    && !std::mem::replace(&mut trip.told, true)
                {
                    ended.push((Arc::clone(&trip.planned.from), Arc::clone(worker)));
                }
            }
            // The worker's owner agrees to a repeated order only while it lives.
            let reborn = machine.state == MachineState::Up && machine.worker != trip.planned.worker;
            match trip.confirmed {
                true => now.saturating_duration_since(trip.since) < limit,
                false => !reborn,
            }
        });
        self.refused.retain(|_, until| *until > now);
        ended
    }

    /// Returns the moves whose order had no answer, to be ordered again.
    pub fn unconfirmed(&self) -> Vec<PlannedMove> {
        let open = self.trips.iter().filter(|(_, trip)| !trip.confirmed);
        open.map(|(_, trip)| trip.planned.clone()).collect()
    }

    /// Plans moves. `standby` are the pools whose machines are off, `kept` the machines that stay
    /// where they are, and `demands` what the owners of the other pools reported.
    pub fn plan(
        &self,
        list: &[Machine],
        demands: &BTreeMap<Name, PoolDemand>,
        standby: &BTreeSet<Name>,
        kept: &BTreeSet<Name>,
    ) -> Vec<PlannedMove> {
        let mut pools = self.pool_states(list, demands, standby);
        let mut free: Vec<&Machine> = list
            .iter()
            .filter(|m| m.state == MachineState::Up && !kept.contains(&m.name))
            .filter(|m| !self.trips.contains_key(&m.name) && !self.refused.contains_key(&m.name))
            .collect();
        let mut moves = Vec::new();
        // Each round gives one machine to the pool that lacks most.
        loop {
            let mut short: Vec<(&Name, f64)> = pools
                .iter()
                .map(|(name, pool)| (name, pool.shortage()))
                .filter(|(_, shortage)| *shortage > 0.0)
                .collect();
            short.sort_by(|a, b| b.1.total_cmp(&a.1));
            let found = short.into_iter().find_map(|(to, _)| {
                let place = self.donor(&pools, &free, to, standby)?;
                Some((Arc::clone(to), place))
            });
            let Some((to, place)) = found else {
                break;
            };
            let machine = free.remove(place);
            if let Some(pool) = pools.get_mut(&machine.pool) {
                pool.offered.sub(machine.capacity);
                pool.present = pool.present.saturating_sub(1);
            }
            if let Some(pool) = pools.get_mut(&to) {
                pool.offered.add(machine.capacity);
            }
            moves.push(planned(machine, &to));
        }
        for machine in free {
            let Some(origin) = self.origin_pools.get(&machine.name) else {
                continue;
            };
            let idle = pools.get(&machine.pool).and_then(|p| idle_time(p, machine));
            let returns = *origin != machine.pool && self.is_possible(machine, origin);
            if returns && idle.is_some_and(|idle| idle >= RETURN_AFTER) {
                moves.push(planned(machine, origin));
            }
        }
        moves
    }

    fn pool_states(
        &self,
        list: &[Machine],
        demands: &BTreeMap<Name, PoolDemand>,
        standby: &BTreeSet<Name>,
    ) -> BTreeMap<Name, PoolState> {
        let active = demands.iter().filter(|(name, _)| !standby.contains(*name));
        let mut pools: BTreeMap<Name, PoolState> = active
            .map(|(name, demand)| {
                let pool = PoolState {
                    offered: demand.offered,
                    needed: demand.needed,
                    kept: demand.reserved,
                    idle: demand.idle.iter().cloned().collect(),
                    ..PoolState::default()
                };
                (Arc::clone(name), pool)
            })
            .collect();
        for machine in list {
            if let Some(trip) = self.trips.get(&machine.name) {
                if let Some(pool) = pools.get_mut(&trip.planned.to) {
                    pool.offered.add(machine.capacity);
                }
            } else if let Some(pool) = pools.get_mut(&machine.pool) {
                pool.present += 1;
            }
            let origin = self.origin_pools.get(&machine.name);
            if let Some(pool) = origin.and_then(|origin| pools.get_mut(origin)) {
                pool.own += 1;
            }
        }
        pools
    }

    /// Returns the place of the machine that a pool gets: one that stands by, or one that is idle
    /// elsewhere, away from its home first.
    fn donor(
        &self,
        pools: &BTreeMap<Name, PoolState>,
        free: &[&Machine],
        to: &Name,
        standby: &BTreeSet<Name>,
    ) -> Option<usize> {
        let short = pools.get(to)?;
        let rank = |machine: &Machine| {
            if machine.pool == *to
                || !self.is_possible(machine, to)
                || !short.lacks(machine.capacity)
            {
                return None;
            }
            if standby.contains(&machine.pool) {
                return Some(1);
            }
            let pool = pools.get(&machine.pool)?;
            let idle = idle_time(pool, machine)? >= LEND_AFTER;
            if !idle || !pool.spares(machine.capacity) {
                return None;
            }
            let visits = self.origin_pools.get(&machine.name) != Some(&machine.pool);
            let kept = (pool.own as f64 * KEPT_SHARE).ceil() as usize;
            match visits {
                true => Some(0),
                false if pool.present > kept => Some(2),
                false => None,
            }
        };
        let ranked = (0..).zip(free).filter_map(|(i, m)| Some((rank(m)?, i)));
        ranked.min().map(|(_, place)| place)
    }

    fn is_possible(&self, machine: &Machine, to: &Name) -> bool {
        let pair = (Arc::clone(&machine.name), Arc::clone(to));
        !self.impossible.contains(&pair)
    }

    /// Notes that a move is being ordered.
    pub fn mark_ordered(&mut self, now: Instant, planned: &PlannedMove) {
        let trip = Trip {
            planned: planned.clone(),
            since: now,
            confirmed: false,
            told: false,
        };
        self.trips
            .entry(Arc::clone(&planned.machine))
            .or_insert(trip);
    }

    /// Notes that the move was carried out.
    pub fn mark_confirmed(&mut self, now: Instant, machine: &Name) {
        if let Some(trip) = self.trips.get_mut(machine) {
            trip.confirmed = true;
            trip.since = now;
        }
    }

    /// Notes that the order was refused and nothing was done.
    pub fn mark_refused(&mut self, now: Instant, machine: &Name) {
        self.trips.remove(machine);
        self.refused
            .insert(Arc::clone(machine), now + REFUSED_PAUSE);
    }

    /// Notes that a pool does not take the machine.
    pub fn mark_invalid(&mut self, machine: &Name) {
        if let Some(trip) = self.trips.remove(machine) {
            self.impossible
                .insert((Arc::clone(machine), trip.planned.to));
        }
    }

    /// Returns how many machines are on their way.
    pub fn moving_count(&self) -> usize {
        self.trips.len()
    }

    /// Tells whether a machine is on its way.
    pub fn is_moving(&self, machine: &str) -> bool {
        self.trips.contains_key(machine)
    }
}

fn idle_time(pool: &PoolState, machine: &Machine) -> Option<Duration> {
    pool.idle.get(machine.worker.as_ref()?).copied()
}

fn planned(machine: &Machine, to: &Name) -> PlannedMove {
    PlannedMove {
        machine: Arc::clone(&machine.name),
        from: Arc::clone(&machine.pool),
        to: Arc::clone(to),
        worker: machine.worker.clone(),
    }
}
