//! Records that the entries of the escrow world append.

use super::LEASE;
use super::World;
use super::ZONES;
use super::team;
use super::zone;
use lavenderhollow_core::escrow::Change;
use lavenderhollow_types::Clock;
use lavenderhollow_types::Version;

impl World {
    pub(super) fn learn(&mut self, e: u8) {
        if let Some(i) = self.up(e) {
            self.entries[i].known = self.limits.len() - 1;
            self.entries[i].scale(&self.limits);
        }
    }

    pub(super) fn mirror_fleet(&mut self, e: u8) {
        let Some(i) = self.up(e) else { return };
        let known = self.entries[i].known;
        let change = Change::SetLimit {
            team: team(),
            limit: self.limits[known],
            version: Version::new(known as u64),
            withheld: 0,
        };
        self.append_fleet(i, change);
    }

    pub(super) fn mirror_zone(&mut self, e: u8) {
        let Some(i) = self.up(e) else { return };
        let escrow = self.entries[i].fleet_team(&team());
        if escrow.version <= self.entries[i].mirrored() {
            return;
        }
        let account = escrow.holders.get(&zone(self.entries[i].zone)).copied();
        let change = Change::SetLimit {
            team: team(),
            limit: escrow.limit,
            version: escrow.version,
            withheld: account.unwrap_or_default().withheld,
        };
        self.append_zone(i, change);
    }

    pub(super) fn read(&mut self, e: u8) {
        let Some(i) = self.up(e) else { return };
        let entry = &mut self.entries[i];
        entry.read(&self.fleet, &self.zones[entry.zone], self.clock.wall());
        entry.scale(&self.limits);
    }

    pub(super) fn allot_zone(&mut self, e: u8, z: u8, n: u8) {
        let Some(i) = self.up(e) else { return };
        let change = Change::Allot {
            team: team(),
            to: zone(usize::from(z) % ZONES),
            amount: n.into(),
            lease: LEASE,
        };
        self.append_fleet(i, change);
    }

    pub(super) fn fund(&mut self, e: u8) {
        let Some(i) = self.up(e) else { return };
        let entry = &self.entries[i];
        let account = entry.fleet.state().account(&team(), &zone(entry.zone));
        let credit = entry.zone_team(&team()).zone.credited;
        if account.credited > credit {
            let amount = account.credited - credit;
            let team = team();
            self.append_zone(
                i,
                Change::Fund {
                    team,
                    credit,
                    amount,
                },
            );
        }
    }

    pub(super) fn allot(&mut self, e: u8, n: u8) {
        let Some(i) = self.up(e) else { return };
        let change = Change::Allot {
            team: team(),
            to: self.entries[i].id,
            amount: n.into(),
            lease: LEASE,
        };
        self.append_zone(i, change);
    }

    pub(super) fn give(&mut self, e: u8, to: Option<u8>, n: u8) {
        let Some(i) = self.up(e) else { return };
        let id = self.id();
        let Some(gift) = self.entries[i].meter.give(id, n.into()) else {
            return;
        };
        let (team, from) = (team(), self.entries[i].id);
        let change = match to {
            Some(to) => Change::Transfer {
                team,
                from,
                to: self.entries[self.index(to)].id,
                at: gift.at,
                amount: gift.amount,
                lease: LEASE,
            },
            None => Change::Return {
                team,
                from,
                at: gift.at,
                amount: gift.amount,
            },
        };
        let now = self.clock.wall();
        let entry = &mut self.entries[i];
        entry.append_zone(&mut self.zones[entry.zone], now, id, change);
    }

    pub(super) fn release(&mut self, e: u8, n: u8) {
        let Some(i) = self.up(e) else { return };
        let change = Change::Release {
            team: team(),
            at: self.entries[i].zone_team(&team()).zone.returned,
            amount: n.into(),
        };
        self.append_zone(i, change);
    }

    pub(super) fn settle(&mut self, e: u8, to: Option<u8>) {
        let Some(i) = self.up(e) else { return };
        let entry = &self.entries[i];
        let from = zone(entry.zone);
        let at = entry.fleet.state().account(&team(), &from).returned;
        let released = entry.zone_team(&team()).zone.returned;
        let amount = released.saturating_sub(at);
        let team = team();
        let change = match to {
            Some(to) => Change::Transfer {
                team,
                from,
                to: zone(usize::from(to) % ZONES),
                at,
                amount,
                lease: LEASE,
            },
            None => Change::Return {
                team,
                from,
                at,
                amount,
            },
        };
        if amount > 0 {
            self.append_fleet(i, change);
        }
    }
}
