//! The plan for the next minutes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_config::Automatic;
use lavenderhollow_config::Switches;
use lavenderhollow_config::Weights;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;

use super::Demand;
use super::cost;
use super::cost::Choice;
use crate::maintenance::Change;
use crate::maintenance::Maintenance;
use crate::maintenance::Purpose;
use crate::maintenance::VmLoad;

/// What the planner knows about one pool now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolView {
    /// The VMs of the pool that are in service.
    pub serving: u32,
    /// The VMs that are out for any reason, drains for moves included.
    pub out: u32,
    /// How many more VMs may be out by the availability budget.
    pub room: u32,
    /// The slots of one VM.
    pub slots: u32,
    /// The slots in use.
    pub running: u32,
    /// The slots that waiting work needs.
    pub waiting: u32,
    /// The slots that the configuration wants free at least.
    pub min_buffer: u32,
    /// Whether the pool lends VMs to the others.
    pub spare: bool,
    /// The VMs that a running wave still has to maintain.
    pub due: u32,
    /// VMs that are being moved here.
    pub incoming: u32,
    /// VMs on loan: VMs beyond the pool's own number, negative when it lends.
    pub borrowed: i32,
}

/// Constants of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The time over which a decision's costs are added up.
    pub horizon: Duration,
    /// The shortest time between a move of a pool and a move in the other direction.
    pub dwell: Duration,
    /// By how many per cent a move's gain must exceed its cost.
    pub margin: u32,
}

/// A move of VMs between two pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// The pool that loses the VMs.
    pub from: PoolName,
    /// The pool that gets them.
    pub to: PoolName,
    /// The number of VMs.
    pub count: u32,
}

/// What to do next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The slots to keep free per pool, which normal work does not use.
    pub buffers: BTreeMap<PoolName, u32>,
    /// Moves to grant drains for.
    pub moves: Vec<PlannedMove>,
    /// How many VMs of a pool may be out for a wave to go on, at most.
    pub pace: BTreeMap<PoolName, u32>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(600),
            dwell: Duration::from_secs(300),
            margin: 50,
        }
    }
}

/// Learns the demand of each pool and weighs the four measures.
#[derive(Clone, Debug)]
pub struct Planner {
    weights: Weights,
    tuning: Tuning,
    demand: BTreeMap<PoolName, Demand>,
    last: BTreeMap<PoolName, (bool, Instant)>,
}

impl Planner {
    /// Creates a planner for a user's weights.
    pub fn new(weights: Weights, tuning: Tuning) -> Self {
        Self {
            weights,
            tuning,
            demand: BTreeMap::new(),
            last: BTreeMap::new(),
        }
    }

    /// Takes in the present state of the pools; called about every second.
    pub fn observe(&mut self, pools: &BTreeMap<PoolName, PoolView>, now: Instant) {
        for (name, pool) in pools {
            let slots = f64::from(pool.running + pool.waiting);
            let demand = self.demand.entry(name.clone()).or_default();
            demand.observe(slots, now);
        }
    }

    /// Returns the learned demand of a pool.
    pub fn demand(&self, pool: &PoolName) -> Demand {
        self.demand.get(pool).copied().unwrap_or_default()
    }

    /// Returns the plan. Without the switch of an action, its part of the plan keeps what the
    /// configuration sets.
    pub fn plan(
        &mut self,
        pools: &BTreeMap<PoolName, PoolView>,
        switches: &Switches,
        now: Instant,
    ) -> Plan {
        let mut plan = Plan::default();
        for (name, pool) in pools {
            let demand = self.demand(name);
            let learned = cost::buffer(&self.weights, &demand, pool.slots);
            let learned = if switches.is_on(Automatic::Buffers) {
                learned
            } else {
                0
            };
            plan.buffers
                .insert(name.clone(), learned.max(pool.min_buffer));
            let choice = self.choice(pool, &demand, pool.serving, pool.out + pool.room);
            plan.pace
                .insert(name.clone(), cost::pace(&self.weights, &choice));
        }
        if switches.is_on(Automatic::Moves) {
            plan.moves = self.moves(pools, now);
        }
        plan
    }

    fn choice<'a>(&self, pool: &PoolView, demand: &'a Demand, vms: u32, budget: u32) -> Choice<'a> {
        Choice {
            demand,
            vms,
            slots: pool.slots,
            moves: vms.abs_diff(pool.settled()),
            due: pool.due,
            budget,
            horizon: self.tuning.horizon,
        }
    }

    fn moves(&mut self, pools: &BTreeMap<PoolName, PoolView>, now: Instant) -> Vec<PlannedMove> {
        let Some((spare, lender)) = pools.iter().find(|(_, pool)| pool.spare) else {
            return Vec::new();
        };
        let demand = self.demand(spare);
        let own = (demand.mean / f64::from(lender.slots.max(1))).ceil() as u32;
        let keep = own + lender.min_buffer.div_ceil(lender.slots.max(1));
        // The budget of the pool that loses a VM holds for the move's drain.
        let mut free = lender.settled().saturating_sub(keep).min(lender.room);
        let mut moves = Vec::new();
        for (name, pool) in pools.iter().filter(|(_, pool)| !pool.spare) {
            let size = self.size(name, pool, free);
            let grows = size > pool.settled();
            let count = size.abs_diff(pool.settled());
            if count == 0 || !self.may_turn(name, grows, now) {
                continue;
            }
            self.last.insert(name.clone(), (grows, now));
            let (from, to) = if grows { (spare, name) } else { (name, spare) };
            if grows {
                free -= count;
            }
            let (from, to) = (from.clone(), to.clone());
            moves.push(PlannedMove { from, to, count });
        }
        moves
    }

    /// Returns the size of a pool with the least cost, if it is worth the moves.
    fn size(&self, name: &PoolName, pool: &PoolView, free: u32) -> u32 {
        let demand = self.demand(name);
        let present = pool.settled();
        let returned = u32::try_from(pool.borrowed).unwrap_or(0).min(pool.room);
        let weighed = |vms: u32| {
            let choice = self.choice(pool, &demand, vms, pool.out + pool.room);
            cost::cost(&self.weights, &cost::outlook(&choice))
        };
        let sizes = present.saturating_sub(returned)..=present + free;
        let best = sizes.min_by(|a, b| weighed(*a).total_cmp(&weighed(*b)));
        let best = best.unwrap_or(present);
        let moving = self.weights.vm_move * f64::from(best.abs_diff(present));
        let margin = moving * f64::from(self.tuning.margin) / 100.0;
        if weighed(present) - weighed(best) > margin {
            best
        } else {
            present
        }
    }

    /// Tells whether a pool may move in this direction: not back within the dwell time.
    fn may_turn(&self, name: &PoolName, grows: bool, now: Instant) -> bool {
        let turned = |(grew, at): &(bool, Instant)| *grew != grows && now < *at + self.tuning.dwell;
        !self.last.get(name).is_some_and(turned)
    }
}

impl PoolView {
    /// The VMs of the pool once the moves under way have ended; VMs that leave are out already.
    fn settled(&self) -> u32 {
        self.serving + self.incoming
    }
}

/// Returns the drain grants of planned moves: the VMs with the least work first. Their plan
/// numbers follow each other, so that the fold takes them in this order or not at all.
pub fn grants(
    state: &Maintenance,
    moves: &[PlannedMove],
    loads: &BTreeMap<VmName, VmLoad>,
) -> Vec<Change> {
    let mut changes: Vec<Change> = Vec::new();
    let mut taken: BTreeMap<&PoolName, BTreeSet<VmName>> = BTreeMap::new();
    for planned in moves {
        let taken = taken.entry(&planned.from).or_default();
        let members = state.pool(&planned.from).map(|pool| &pool.vms);
        let in_service = |vm: &&VmName| state.vm(vm).is_some_and(|record| !record.is_out());
        let known = |vm: &VmName| Some((*loads.get(vm)?, vm.clone()));
        let vms = members.into_iter().flatten().filter(in_service);
        let vms = vms.filter(|vm| !taken.contains(*vm));
        let mut vms: Vec<_> = vms.filter_map(known).collect();
        vms.sort_by_key(|(load, vm)| (load.remaining, load.running, vm.clone()));
        let room = (state.room(&planned.from) as usize).saturating_sub(taken.len());
        for (_, vm) in vms.into_iter().take(room.min(planned.count as usize)) {
            taken.insert(vm.clone());
            let plan = state.plan() + changes.len() as u64;
            let to = planned.to.clone();
            let purpose = Purpose::Move { to, plan };
            changes.push(Change::GrantDrain { vm, purpose });
        }
    }
    changes
}
