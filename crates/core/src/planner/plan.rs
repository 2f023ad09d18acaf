//! The plan for the next minutes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_config::Switches;
use lavenderhollow_config::Weights;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;

use super::Demand;
use crate::maintenance::Change;
use crate::maintenance::Maintenance;
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
    /// VMs that are being moved away.
    pub outgoing: u32,
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

/// Learns the demand of each pool and weighs the four measures.
#[derive(Clone, Debug)]
pub struct Planner {
    weights: Weights,
    tuning: Tuning,
    demand: BTreeMap<PoolName, Demand>,
    last: BTreeMap<PoolName, (i32, Instant)>,
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
        let _ = (pools, now, &self.demand, &self.last);
        todo!("filled in by a later commit")
    }

    /// Returns the plan.
    pub fn plan(
        &mut self,
        pools: &BTreeMap<PoolName, PoolView>,
        switches: &Switches,
        now: Instant,
    ) -> Plan {
        let _ = (pools, switches, now, &self.weights, &self.tuning);
        todo!("filled in by a later commit")
    }
}

/// Returns the drain grants of planned moves: the VMs with the least work first.
pub fn grants(
    state: &Maintenance,
    moves: &[PlannedMove],
    loads: &BTreeMap<VmName, VmLoad>,
) -> Vec<Change> {
    let _ = (state, moves, loads);
    todo!("filled in by a later commit")
}
