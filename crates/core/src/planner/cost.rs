//! The cost of a pool's capacity over a horizon, by the user's weights.

use std::time::Duration;

use lavenderhollow_config::Weights;

use super::Demand;

/// The time that the maintenance of one VM takes, until a wave's own times are learned.
const MAINTENANCE_HOURS: f64 = 0.02;

/// What one choice of capacity leads to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// VM hours kept free.
    pub buffer: f64,
    /// The distance from the share times hours, added up over pools: the part of the wanted slots
    /// that is missing.
    pub distance: f64,
    /// Hours that a running wave still takes.
    pub rollout: f64,
    /// VMs to move.
    pub moves: f64,
}

/// Weighs an outlook.
pub fn cost(weights: &Weights, outlook: &Outlook) -> f64 {
    weights.buffer_hour * outlook.buffer
        + weights.share_distance * outlook.distance
        + weights.rollout_hour * outlook.rollout
        + weights.vm_move * outlook.moves
}

/// Returns the part of `wanted` that `capacity` does not give.
pub(super) fn missing(wanted: f64, capacity: f64) -> f64 {
    if wanted <= 0.0 {
        return 0.0;
    }
    (wanted - capacity).max(0.0) / wanted
}

/// Returns the expected part of the demand that a capacity does not give, over peaks and troughs.
pub(super) fn expected_missing(demand: &Demand, capacity: f64) -> f64 {
    let quiet = (1.0 - demand.busy) * missing(demand.mean.min(demand.now), capacity);
    demand.busy * missing(demand.peak, capacity) + quiet
}

/// The capacity of a pool and what needs it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice<'a> {
    pub(super) demand: &'a Demand,
    pub(super) vms: u32,
    pub(super) slots: u32,
    pub(super) moves: u32,
    pub(super) due: u32,
    pub(super) budget: u32,
    pub(super) horizon: Duration,
}

/// Returns what a pool of this size leads to over the horizon.
pub(super) fn outlook(choice: &Choice<'_>) -> Outlook {
    let hours = choice.horizon.as_secs_f64() / 3600.0;
    let slots = f64::from(choice.slots.max(1));
    let capacity = f64::from(choice.vms) * slots;
    let free = f64::from(choice.vms) - choice.demand.mean / slots;
    let drains = f64::from(choice.budget).min(free).max(1.0);
    Outlook {
        buffer: free.max(0.0) * hours,
        distance: expected_missing(choice.demand, capacity) * hours,
        rollout: f64::from(choice.due) * MAINTENANCE_HOURS / drains,
        moves: f64::from(choice.moves),
    }
}

/// Returns how many VMs should be out at once for a wave: more end it earlier and give less
/// capacity until then.
pub(super) fn pace(weights: &Weights, choice: &Choice<'_>) -> u32 {
    let weighed = |drains: u32| {
        let hours = f64::from(choice.due) * MAINTENANCE_HOURS / f64::from(drains);
        let left = f64::from(choice.vms.saturating_sub(drains) * choice.slots);
        let outlook = Outlook {
            distance: expected_missing(choice.demand, left) * hours,
            rollout: hours,
            ..Outlook::default()
        };
        cost(weights, &outlook)
    };
    let least = (1..=choice.budget).min_by(|a, b| weighed(*a).total_cmp(&weighed(*b)));
    least.unwrap_or(0)
}

/// Returns the slots to keep free for peaks: one more slot costs its part of a VM hour and lowers
/// the part of a peak that finds no room.
pub(super) fn buffer(weights: &Weights, demand: &Demand, slots: u32) -> u32 {
    let most = (demand.peak - demand.now).max(0.0).ceil() as u32;
    let slot_hour = weights.buffer_hour / f64::from(slots.max(1));
    let saved = weights.share_distance * demand.busy / demand.peak.max(1.0);
    if saved > slot_hour { most } else { 0 }
}
