//! The teams' meters of this entry.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use lavenderhollow_core::escrow::Meter;
use lavenderhollow_core::escrow::Slot;
use lavenderhollow_types::TeamName;

/// One meter for each team. The request path reads the map without a lock.
#[derive(Debug, Default)]
pub(crate) struct Meters {
    meters: ArcSwap<HashMap<TeamName, Arc<Meter>>>,
}

impl Meters {
    /// Takes a slot of a team's allotment, if one is free.
    pub(crate) fn try_take(&self, team: &TeamName) -> Option<Slot> {
        self.meters.load().get(team)?.try_take()
    }

    /// Returns how many slots of a team this entry may use.
    pub(crate) fn usable(&self, team: &TeamName) -> u32 {
        let meters = self.meters.load();
        meters.get(team).map_or(0, |meter| meter.usable())
    }

    /// Returns the meter of a team, creating it if it is new.
    pub(crate) fn meter(&self, team: &TeamName) -> Arc<Meter> {
        if let Some(meter) = self.meters.load().get(team) {
            return Arc::clone(meter);
        }
        self.meters.rcu(|meters| {
            let mut meters = HashMap::clone(meters);
            meters.entry(team.clone()).or_default();
            meters
        });
        self.meters.load().get(team).cloned().unwrap_or_default()
    }

    /// Returns the meters of all teams.
    pub(crate) fn all(&self) -> Arc<HashMap<TeamName, Arc<Meter>>> {
        self.meters.load_full()
    }
}
