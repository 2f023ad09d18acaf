//! Which transfers to ask for.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::change::Holder;

/// What a holder owns and wants of one team's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderDemand<H> {
    /// The holder.
    pub holder: H,
    /// Slots that the holder may use.
    pub usable: u64,
    /// Slots in use.
    pub used: u64,
    /// Requests that wait for a slot.
    pub waiting: u64,
}

/// A step that brings allotments closer to the demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<H> {
    /// Take from the unallotted part.
    Allot {
        /// The receiver.
        to: H,
        /// The slots.
        amount: u64,
    },
    /// Ask a holder to give to another.
    Transfer {
        /// The giver.
        from: H,
        /// The receiver.
        to: H,
        /// The slots.
        amount: u64,
    },
}

/// The time in which half of a past peak of demand is forgotten.
///
/// In `escrow_stranded` 15 % of a limit is stranded with this value; with 2 s it is 19 %, with 4 s
/// 29 %, and the number of records is the same.
pub const HALF_LIFE: Duration = Duration::from_millis(500);

/// What a holder asks for beyond its demand while some of the limit is not allotted, as a divisor
/// of the demand. It lets a small rise start without waiting for the log.
const HEADROOM_DIVISOR: u64 = 8;

/// The least part of its slots that a receiver asks others for, as a divisor. Smaller shortages
/// change direction with every request and would move slots back and forth. In `escrow_stranded` a
/// divisor of 1000 takes 31044 records instead of 24478, for 14 % stranded instead of 15 %.
const BAND_DIVISOR: u64 = 8;

#[derive(Clone, Copy, Debug)]
struct Peak {
    value: f64,
    time: Instant,
}

/// Decides transfers of one team's allotments from the demand of its holders.
///
/// A holder keeps what it needed recently; the memory of a past peak decays, so that a short pause
/// in its work moves nothing away and back again. The caller leaves out holders that have a step
/// under way.
#[derive(Clone, Debug)]
pub struct Rebalancer<H: Holder> {
    half_life: Duration,
    peaks: BTreeMap<H, Peak>,
}

struct Shortage<'a, H> {
    holder: &'a H,
    asked: u64,
    hoped: u64,
    band: u64,
}

struct Surplus<'a, H> {
    holder: &'a H,
    amount: u64,
}

impl<H: Holder> Rebalancer<H> {
    /// Creates a rebalancer that forgets half of a past peak after `half_life`.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            peaks: BTreeMap::new(),
        }
    }

    /// Returns the steps to take now, the largest shortage first.
    pub fn steps(
        &mut self,
        now: Instant,
        unallotted: u64,
        holders: &[HolderDemand<H>],
    ) -> Vec<Step<H>> {
        let peaks = self.remember(now, holders);
        let total = unallotted + holders.iter().map(|h| h.usable).sum::<u64>();
        let targets = fill(total, &peaks);
        let mut givers = surpluses(holders, &targets);
        let mut free = unallotted;
        let mut steps = Vec::new();
        for shortage in shortages(holders, &targets) {
            let amount = shortage.hoped.min(free);
            if amount > 0 {
                free -= amount;
                let to = shortage.holder.clone();
                steps.push(Step::Allot { to, amount });
            }
            let left = shortage.asked.saturating_sub(amount);
            if left >= shortage.band {
                ask(&shortage, left, &mut givers, &mut steps);
            }
        }
        steps
    }

    fn remember(&mut self, now: Instant, holders: &[HolderDemand<H>]) -> Vec<u64> {
        let mut kept = BTreeMap::new();
        let mut peaks = Vec::with_capacity(holders.len());
        for demand in holders {
            let wanted = (demand.used + demand.waiting) as f64;
            let past = self.peaks.get(&demand.holder).map_or(0.0, |peak| {
                let age = now.saturating_duration_since(peak.time).as_secs_f64();
                peak.value * 0.5f64.powf(age / self.half_life.as_secs_f64().max(0.001))
            });
            let value = wanted.max(past);
            peaks.push(value.ceil() as u64);
            kept.insert(demand.holder.clone(), Peak { value, time: now });
        }
        self.peaks = kept;
        peaks
    }
}

fn shortages<'a, H: Holder>(
    holders: &'a [HolderDemand<H>],
    targets: &[u64],
) -> Vec<Shortage<'a, H>> {
    let mut found = Vec::new();
    for (demand, target) in holders.iter().zip(targets) {
        let wanted = demand.used + demand.waiting;
        let headroom = if wanted > 0 {
            wanted.div_ceil(HEADROOM_DIVISOR)
        } else {
            0
        };
        let hoped = (wanted + headroom).saturating_sub(demand.usable);
        if hoped > 0 {
            found.push(Shortage {
                holder: &demand.holder,
                asked: wanted.min(*target).saturating_sub(demand.usable),
                hoped,
                band: (demand.usable / BAND_DIVISOR).max(1),
            });
        }
    }
    found.sort_by_key(|shortage| std::cmp::Reverse(shortage.asked));
    found
}

fn surpluses<'a, H: Holder>(
    holders: &'a [HolderDemand<H>],
    targets: &[u64],
) -> Vec<Surplus<'a, H>> {
    let spare = holders.iter().zip(targets).map(|(demand, target)| Surplus {
        holder: &demand.holder,
        amount: demand.usable.saturating_sub(*target.max(&demand.used)),
    });
    spare.filter(|surplus| surplus.amount > 0).collect()
}

/// Covers a shortage from the largest surpluses, so that few records are needed.
fn ask<H: Holder>(
    shortage: &Shortage<'_, H>,
    mut left: u64,
    givers: &mut [Surplus<'_, H>],
    steps: &mut Vec<Step<H>>,
) {
    while left > 0 {
        let Some(giver) = givers.iter_mut().max_by_key(|giver| giver.amount) else {
            return;
        };
        let amount = left.min(giver.amount);
        if amount == 0 {
            return;
        }
        giver.amount -= amount;
        left -= amount;
        steps.push(Step::Transfer {
            from: giver.holder.clone(),
            to: shortage.holder.clone(),
            amount,
        });
    }
}

/// Divides `total` so that no part is larger than its demand and small demands are met first.
fn fill(total: u64, demands: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&i| demands[i]);
    let mut parts = vec![0; demands.len()];
    let mut left = total;
    for (position, &i) in order.iter().enumerate() {
        let level = left / (demands.len() - position) as u64;
        parts[i] = demands[i].min(level);
        left -= parts[i];
    }
    parts
}
