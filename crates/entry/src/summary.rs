//! What this entry tells its peers about itself.

use lavenderhollow_types::TeamName;

use crate::context::Context;
use crate::message::PoolRoom;
use crate::message::Summary;
use crate::message::TeamDemand;

/// Sums up allotments, demand and free slots. Teams and pools without any are left out.
pub(crate) fn of(cx: &Context) -> Summary {
    let meters = cx.meters.all();
    let teams = meters.keys().filter_map(|team| demand(cx, team)).collect();
    let snapshot = cx.targets.snapshot.load();
    let rooms = snapshot.pools().filter_map(|(pool, targets)| {
        let free = targets.iter().map(|target| {
            let slots = cx.targets.slots(&target.vm);
            slots.saturating_sub(target.gate.in_flight())
        });
        let free: u32 = free.sum();
        (free > 0).then(|| PoolRoom {
            pool: pool.clone(),
            free,
        })
    });
    Summary {
        incarnation: cx.incarnation,
        zone: cx.settings.zone.clone(),
        teams,
        pools: rooms.collect(),
    }
}

fn demand(cx: &Context, team: &TeamName) -> Option<TeamDemand> {
    let meter = cx.meters.meter(team);
    let demand = TeamDemand {
        team: team.clone(),
        usable: meter.usable(),
        used: meter.used(),
        waiting: u32::try_from(cx.pools.waiting(team)).unwrap_or(u32::MAX),
    };
    (demand.usable > 0 || demand.waiting > 0).then_some(demand)
}
