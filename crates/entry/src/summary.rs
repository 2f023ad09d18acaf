//! What this entry tells its peers about demand and free slots.

use lavenderhollow_core::freshness::Installed;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::TeamName;

use crate::context::Context;
use crate::message::Detail;
use crate::message::PoolRoom;
use crate::message::Summary;
use crate::message::TeamDemand;

/// Answers a question of this detail.
pub(crate) fn of(cx: &Context, detail: Detail) -> Option<Summary> {
    match detail {
        Detail::Freshness => None,
        Detail::Entry => Some(of_entry(cx)),
        Detail::Zone => Some(of_zone(cx)),
    }
}

/// Sums up this entry.
pub(crate) fn of_entry(cx: &Context) -> Summary {
    let installed = cx.config.load_full();
    let snapshot = cx.targets.snapshot.load();
    let teams = installed.config.teams.keys().enumerate();
    let demands = teams.filter_map(|(place, team)| {
        let demand = TeamDemand {
            team: u16::try_from(place).ok()?,
            used: cx.meters.meter(team).used(),
            waiting: u32::try_from(cx.pools.waiting(team)).unwrap_or(u32::MAX),
        };
        (demand.used > 0 || demand.waiting > 0).then_some(demand)
    });
    let pools = installed.config.pools.keys().enumerate();
    let rooms = pools.filter_map(|(place, pool)| {
        let free = snapshot.open(pool).iter().map(|target| {
            let slots = cx.targets.slots(&target.vm);
            slots.saturating_sub(target.gate.in_flight())
        });
        let room = PoolRoom {
            pool: u16::try_from(place).ok()?,
            free: free.sum(),
            waiting: cx.pools.waiting_in(pool),
        };
        (room.free > 0 || room.waiting > 0).then_some(room)
    });
    Summary {
        version: installed.version,
        teams: demands.collect(),
        pools: rooms.collect(),
    }
}

/// Sums up the entries of this zone.
pub(crate) fn of_zone(cx: &Context) -> Summary {
    let mut sum = of_entry(cx);
    for peer in cx.peers.summaries(cx.clock.now()) {
        if peer.zone == cx.settings.zone {
            sum.add(&peer.summary);
        }
    }
    sum
}

/// Returns the place of a team in the configuration.
pub(crate) fn team_place(installed: &Installed, team: &TeamName) -> Option<u16> {
    let place = installed.config.teams.keys().position(|name| name == team);
    place.and_then(|place| u16::try_from(place).ok())
}

/// Returns the place of a pool in the configuration.
pub(crate) fn pool_place(installed: &Installed, pool: &PoolName) -> Option<u16> {
    let place = installed.config.pools.keys().position(|name| name == pool);
    place.and_then(|place| u16::try_from(place).ok())
}
