//! Plans moves of machines between pools.
//!
//! Queues peak at different times. At its peak a queue has more work than its pool can finish in
//! time, while other pools are idle and the machines of standby pools are off. A move there and
//! back costs as much as the machine earns in a second or two of use.
//!
//! The origin pool of a machine is the pool in which it was first seen. A machine leaves it for a
//! pool that lacks capacity, may move on to the next such pool, and returns when no pool needs it.
//!
//! A machine in an evacuated zone stays where it is, and adds no capacity to its pool.

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

/// How long a worker has to be idle before its machine may move to another pool, so that a short
/// gap between two jobs does not cost the pool a worker.
const RELEASE_IDLE_TIME: Duration = Duration::from_millis(600);

/// How long a worker outside its machine's origin pool has to be idle before the machine returns.
/// At the prices of both users of the system, a move there and back costs as much as 2.3 s in a
/// pool. Most of these machines go to the next peak instead of returning.
const RETURN_IDLE_TIME: Duration = Duration::from_millis(1_200);

/// The share of the machines originating in a pool that it retains, because its next peak begins
/// before the others are back. Long-running tasks occupy about half of the workers of a pool under
/// low load, so more than the other half are seldom idle.
const RETAINED_SHARE: f64 = 0.5;

/// The time that a worker has to register after its machine has arrived in a pool. Until it is over,
/// the machine counts as moving.
const REGISTRATION_GRACE: Duration = Duration::from_millis(1_500);

/// The delay before a machine whose move was rejected is considered again.
const MOVE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// A requested move that is not complete.
#[derive(Clone, Debug)]
struct ActiveMove {
    planned: PlannedMove,
    /// When the first command was sent, or when the move was confirmed.
    since: Instant,
    /// Whether the move was executed.
    confirmed: bool,
    /// Whether the owner of the source pool was notified that the worker's incarnation ended.
    owner_notified: bool,
    /// The zone of the machine in the list that was observed last.
    zone: Name,
}

/// A move of a machine that the owner of the fleet shard is to request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// The name of the machine.
    pub machine: Name,
    /// The pool that the machine is in.
    pub from: Name,
    /// The pool that the machine moves to.
    pub to: Name,
    /// The worker that ran on the machine when the move was planned; `None` if it has none.
    pub worker: Option<Name>,
}

/// The capacity and machines of a pool, as far as they matter for planning.
#[derive(Clone, Debug, Default)]
struct PoolState {
    offered: Resources,
    needed: Resources,
    reserved: Resources,
    /// For how long each idle worker has been idle.
    idle: BTreeMap<Name, Duration>,
    /// The machines in the pool that are not moving, those under maintenance included and those in
    /// evacuated zones excluded.
    present_count: usize,
    /// The machines whose origin pool this is, in whichever pool they are now.
    origin_count: usize,
}

impl PoolState {
    /// Returns the part of the needed capacity that is missing, from 0 to 1: the larger of the
    /// parts for CPU and memory.
    fn shortage(&self) -> f64 {
        let deficit_share = |needed: u64, offered: u64| match needed {
            0 => 0.0,
            _ => needed.saturating_sub(offered) as f64 / needed as f64,
        };
        let cpu = deficit_share(self.needed.cpu, self.offered.cpu);
        let memory = deficit_share(self.needed.memory, self.offered.memory);
        cpu.max(memory)
    }

    /// Returns whether the pool would use at least half of one more machine.
    fn has_use_for(&self, machine: Resources) -> bool {
        let uses_half = |needed: u64, offered: u64, each: u64| {
            each > 0 && needed.saturating_sub(offered) * 2 >= each
        };
        uses_half(self.needed.cpu, self.offered.cpu, machine.cpu)
            || uses_half(self.needed.memory, self.offered.memory, machine.memory)
    }

    /// Returns whether the pool's reserved capacity fits on its other machines. A pool that lacks
    /// capacity can release machines too, since its waiting tasks can't run on the idle ones.
    fn can_release(&self, machine: Resources) -> bool {
        self.reserved.cpu + machine.cpu <= self.offered.cpu
            && self.reserved.memory + machine.memory <= self.offered.memory
    }
}

/// Decides which machines move to which pool, and tracks the moves in progress.
#[derive(Clone, Debug, Default)]
pub struct Rebalancer {
    origin_pools: BTreeMap<Name, Name>,
    active_moves: BTreeMap<Name, ActiveMove>,
    /// Machines whose move was rejected, with the time from which they are considered again.
    backoff_until: BTreeMap<Name, Instant>,
    /// Pairs of machine and destination pool that the machine interface rejected as invalid.
    invalid_moves: BTreeSet<(Name, Name)>,
    move_time: Duration,
    /// The zones whose machines don't move.
    evacuated: Arc<BTreeSet<Name>>,
}

impl Rebalancer {
    /// Creates a rebalancer without known machines. `move_time` is how long the platform takes to
    /// move a machine.
    pub fn new(move_time: Duration) -> Self {
        Self {
            move_time,
            ..Self::default()
        }
    }

    /// Sets the zones that are evacuated.
    pub fn set_evacuated_zones(&mut self, zones: &Arc<BTreeSet<Name>>) {
        self.evacuated = Arc::clone(zones);
    }

    /// Returns the moves whose machines are not in evacuated zones. A zone may have been evacuated since
    /// the moves were planned from `list`.
    pub fn without_evacuated(&self, moves: Vec<PlannedMove>, list: &[Machine]) -> Vec<PlannedMove> {
        if self.evacuated.is_empty() {
            return moves;
        }
        let evacuated = list.iter().filter(|m| m.is_in(&self.evacuated));
        let evacuated: BTreeSet<&Name> = evacuated.map(|m| &m.name).collect();
        let allowed = moves
            .into_iter()
            .filter(|planned| !evacuated.contains(&planned.machine));
        allowed.collect()
    }

    /// Restores the origin pool of a machine from the record of an earlier owner.
    pub fn restore_origin(&mut self, machine: Name, origin: Name) {
        self.origin_pools.insert(machine, origin);
    }

    /// Returns the origin pool of a machine; `None` if the machine was never seen.
    pub fn origin_pool(&self, machine: &str) -> Option<&Name> {
        self.origin_pools.get(machine)
    }

    /// Updates the moves in progress from the current list of machines. Returns the workers that
    /// were terminated by a move, each with the pool that it was in; each worker is returned once.
    pub fn observe(&mut self, now: Instant, list: &[Machine]) -> Vec<(Name, Name)> {
        for machine in list {
            let origin = || Arc::clone(&machine.pool);
            self.origin_pools
                .entry(Arc::clone(&machine.name))
                .or_insert_with(origin);
        }
        let by_name: BTreeMap<&Name, &Machine> = list.iter().map(|m| (&m.name, m)).collect();
        let mut terminated = Vec::new();
        let arrival_timeout = self.move_time + REGISTRATION_GRACE;
        self.active_moves.retain(|name, active_move| {
            let Some(machine) = by_name.get(name) else {
                return false;
            };
            if active_move.zone != machine.zone {
                active_move.zone = Arc::clone(&machine.zone);
            }
            if machine.pool == active_move.planned.to {
                active_move.confirmed = true;
                if let Some(worker) = &active_move.planned.worker
                    && !std::mem::replace(&mut active_move.owner_notified, true)
                {
                    terminated.push((Arc::clone(&active_move.planned.from), Arc::clone(worker)));
                }
            }
            // Before a command is repeated, the owner of the source pool has to release the worker
            // again, which it does only for the same incarnation.
            let worker_replaced =
                machine.state == MachineState::Up && machine.worker != active_move.planned.worker;
            match active_move.confirmed {
                true => now.saturating_duration_since(active_move.since) < arrival_timeout,
                false => !worker_replaced,
            }
        });
        self.backoff_until.retain(|_, until| *until > now);
        terminated
    }

    /// Returns the moves whose command got no response; the caller sends it again. While the machine is
    /// in an evacuated zone, it is not sent again.
    pub fn unconfirmed(&self) -> Vec<PlannedMove> {
        let pending = self.active_moves.iter().filter(|(_, active_move)| {
            !active_move.confirmed && !self.evacuated.contains(&active_move.zone)
        });
        pending
            .map(|(_, active_move)| active_move.planned.clone())
            .collect()
    }

    /// Plans moves to pools that lack capacity, and of idle machines back to their origin pools.
    ///
    /// `demands` holds the recent reports of the pools' owners, `standby` the pools whose machines
    /// are off, and `excluded` the machines that must not move. Returns the most urgent moves, at most
    /// `limit`: the work of a plan grows with the machines for each move.
    pub fn plan(
        &self,
        list: &[Machine],
        demands: &BTreeMap<Name, PoolDemand>,
        standby: &BTreeSet<Name>,
        excluded: &BTreeSet<Name>,
        limit: usize,
    ) -> Vec<PlannedMove> {
        let mut pools = self.pool_states(list, demands, standby);
        let mut candidates: Vec<&Machine> = list
            .iter()
            .filter(|m| m.state == MachineState::Up && !excluded.contains(&m.name))
            .filter(|m| !m.is_in(&self.evacuated))
            .filter(|m| {
                self.destination(m, &pools).is_none() && !self.backoff_until.contains_key(&m.name)
            })
            .collect();
        let mut moves = Vec::new();
        // Each iteration assigns one machine to the pool with the largest shortage for which there
        // is a machine.
        while moves.len() < limit {
            let mut shortages: Vec<(&Name, f64)> = pools
                .iter()
                .map(|(name, pool)| (name, pool.shortage()))
                .filter(|(_, shortage)| *shortage > 0.0)
                .collect();
            shortages.sort_by(|a, b| b.1.total_cmp(&a.1));
            let found = shortages.into_iter().find_map(|(to, _)| {
                let index = self.select_machine(&pools, &candidates, to, standby)?;
                Some((Arc::clone(to), index))
            });
            let Some((to, index)) = found else {
                break;
            };
            let machine = candidates.remove(index);
            if let Some(pool) = pools.get_mut(&machine.pool) {
                pool.offered.sub(machine.capacity);
                pool.present_count = pool.present_count.saturating_sub(1);
            }
            if let Some(pool) = pools.get_mut(&to) {
                pool.offered.add(machine.capacity);
            }
            moves.push(planned_move(machine, &to));
        }
        for machine in candidates {
            if moves.len() >= limit {
                break;
            }
            let Some(origin) = self.origin_pools.get(&machine.name) else {
                continue;
            };
            let idle = pools.get(&machine.pool).and_then(|p| idle_time(p, machine));
            let should_return = *origin != machine.pool && self.is_valid_move(machine, origin);
            if should_return && idle.is_some_and(|idle| idle >= RETURN_IDLE_TIME) {
                moves.push(planned_move(machine, origin));
            }
        }
        moves
    }

    /// Combines the reported demands with the machines in each pool and the moves in progress.
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
                    reserved: demand.reserved,
                    idle: demand.idle.iter().cloned().collect(),
                    ..PoolState::default()
                };
                (Arc::clone(name), pool)
            })
            .collect();
        // The most that each pool can offer once its moves are complete.
        let mut listed: BTreeMap<&Name, Resources> = BTreeMap::new();
        for machine in list {
            let origin = self.origin_pools.get(&machine.name);
            if let Some(pool) = origin.and_then(|origin| pools.get_mut(origin)) {
                pool.origin_count += 1;
            }
            if machine.is_in(&self.evacuated) {
                // Its worker gets no tasks, also after a move that has begun.
                continue;
            }
            let destination = self.destination(machine, &pools);
            if destination.is_some() || machine.state == MachineState::Up {
                let pool = destination.unwrap_or(&machine.pool);
                listed.entry(pool).or_default().add(machine.capacity);
            }
            if let Some(to) = destination {
                if let Some(pool) = pools.get_mut(to) {
                    pool.offered.add(machine.capacity);
                }
            } else if let Some(pool) = pools.get_mut(&machine.pool) {
                pool.present_count += 1;
            }
        }
        // A machine counts as moving until its worker has certainly registered. Until then, its
        // pool may offer it already.
        for (name, pool) in &mut pools {
            let most = listed.get(name).copied().unwrap_or_default();
            pool.offered = pool.offered.min(most);
        }
        pools
    }

    /// Returns the pool that a machine is moving to; `None` if it isn't moving, or if its new
    /// worker is idle there.
    fn destination<'a>(
        &'a self,
        machine: &Machine,
        pools: &BTreeMap<Name, PoolState>,
    ) -> Option<&'a Name> {
        let active_move = self.active_moves.get(&machine.name)?;
        let to = &active_move.planned.to;
        let has_arrived = active_move.confirmed
            && machine.pool == *to
            && machine.state == MachineState::Up
            && pools
                .get(to)
                .is_some_and(|p| idle_time(p, machine).is_some());
        (!has_arrived).then_some(to)
    }

    /// Returns the index of the machine to move to the pool `to`. Prefers idle machines outside
    /// their origin pool, then standby machines, then idle machines of other pools.
    fn select_machine(
        &self,
        pools: &BTreeMap<Name, PoolState>,
        candidates: &[&Machine],
        to: &Name,
        standby: &BTreeSet<Name>,
    ) -> Option<usize> {
        let destination = pools.get(to)?;
        let rank = |machine: &Machine| {
            if machine.pool == *to
                || !self.is_valid_move(machine, to)
                || !destination.has_use_for(machine.capacity)
            {
                return None;
            }
            if standby.contains(&machine.pool) {
                return Some(1);
            }
            let pool = pools.get(&machine.pool)?;
            let idle = idle_time(pool, machine)? >= RELEASE_IDLE_TIME;
            if !idle || !pool.can_release(machine.capacity) {
                return None;
            }
            let away_from_origin = self.origin_pools.get(&machine.name) != Some(&machine.pool);
            let retained = (pool.origin_count as f64 * RETAINED_SHARE).ceil() as usize;
            match away_from_origin {
                true => Some(0),
                false if pool.present_count > retained => Some(2),
                false => None,
            }
        };
        let ranked = (0..)
            .zip(candidates)
            .filter_map(|(i, m)| Some((rank(m)?, i)));
        ranked.min().map(|(_, index)| index)
    }

    fn is_valid_move(&self, machine: &Machine, to: &Name) -> bool {
        let pair = (Arc::clone(&machine.name), Arc::clone(to));
        !self.invalid_moves.contains(&pair)
    }

    /// Records that the command for a move is about to be sent. A repeated command keeps the time
    /// of the first, and the next move of a machine replaces its last one.
    pub fn mark_requested(&mut self, now: Instant, planned: &PlannedMove) {
        let active_move = ActiveMove {
            planned: planned.clone(),
            since: now,
            confirmed: false,
            owner_notified: false,
            zone: Name::default(),
        };
        let known = self.active_moves.get(&planned.machine);
        if known.is_none_or(|known| known.confirmed) {
            let machine = Arc::clone(&planned.machine);
            self.active_moves.insert(machine, active_move);
        }
    }

    /// Records that the machine interface executed the move.
    pub fn mark_confirmed(&mut self, now: Instant, machine: &Name) {
        if let Some(active_move) = self.active_moves.get_mut(machine) {
            active_move.confirmed = true;
            active_move.since = now;
        }
    }

    /// Records that the move was rejected without effect. The machine stays where it is for
    /// `MOVE_RETRY_DELAY`.
    pub fn mark_rejected(&mut self, now: Instant, machine: &Name) {
        self.active_moves.remove(machine);
        self.backoff_until
            .insert(Arc::clone(machine), now + MOVE_RETRY_DELAY);
    }

    /// Records that the machine can't move to the pool, so that the move is not planned again.
    pub fn mark_invalid(&mut self, machine: &Name) {
        if let Some(active_move) = self.active_moves.remove(machine) {
            self.invalid_moves
                .insert((Arc::clone(machine), active_move.planned.to));
        }
    }

    /// Returns the number of moves in progress, shown to operators.
    pub fn moving_count(&self) -> usize {
        self.active_moves.len()
    }

    /// Returns whether a move of the machine is in progress.
    pub fn is_moving(&self, machine: &str) -> bool {
        self.active_moves.contains_key(machine)
    }
}

/// Returns for how long the machine's worker has been idle; `None` if it is not.
fn idle_time(pool: &PoolState, machine: &Machine) -> Option<Duration> {
    pool.idle.get(machine.worker.as_ref()?).copied()
}

fn planned_move(machine: &Machine, to: &Name) -> PlannedMove {
    PlannedMove {
        machine: Arc::clone(&machine.name),
        from: Arc::clone(&machine.pool),
        to: Arc::clone(to),
        worker: machine.worker.clone(),
    }
}
