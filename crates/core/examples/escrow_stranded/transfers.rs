//! How slots move within a zone and between zones.

use lavenderhollow_core::escrow::Change;
use lavenderhollow_core::escrow::HolderDemand;
use lavenderhollow_core::escrow::Step;
use lavenderhollow_core::escrow::TeamEscrow;
use lavenderhollow_types::Incarnation;

use super::DECIDE_STEPS;
use super::LEASE;
use super::STEP;
use super::World;
use super::ZONES;
use super::index;
use super::name;
use super::team;

impl World {
    pub(super) fn decide(&mut self) {
        let now = self.start.0 + STEP * self.step as u32;
        let mut demands = Vec::new();
        for zone in 0..ZONES {
            let escrow = self.escrow(zone);
            let holders = self.demands(zone);
            let steps = self.within[zone].steps(now, escrow.unallotted(), &holders);
            for step in steps {
                self.take(zone, &step);
            }
            demands.push(HolderDemand {
                holder: name(zone),
                usable: escrow.zone.usable(),
                used: holders.iter().map(|demand| demand.used).sum(),
                waiting: holders.iter().map(|demand| demand.waiting).sum(),
            });
        }
        let state = self.fleet.fold.state();
        let unallotted = state.teams.get(&team()).map_or(0, TeamEscrow::unallotted);
        for step in self.between.steps(now, unallotted, &demands) {
            match step {
                Step::Allot { to, amount } => {
                    self.append_fleet(Change::Allot {
                        team: team(),
                        to,
                        amount,
                        lease: LEASE,
                    });
                }
                Step::Transfer { from, to, amount } => {
                    let owed = (index(&to), amount, self.step + 2 * DECIDE_STEPS);
                    self.owed[index(&from)].get_or_insert(owed);
                }
            }
        }
    }

    fn demands(&self, zone: usize) -> Vec<HolderDemand<Incarnation>> {
        let entries = self.entries.iter().skip(zone).step_by(ZONES);
        let active = entries.filter(|entry| entry.is_active(self.step));
        let demands = active.filter_map(|entry| {
            Some(HolderDemand {
                holder: entry.id?,
                usable: entry.meter.usable().into(),
                used: entry.meter.used().into(),
                waiting: entry.waiting.len() as u64,
            })
        });
        demands.collect()
    }

    /// Carries out a step within a zone.
    fn take(&mut self, zone: usize, step: &Step<Incarnation>) {
        match step {
            Step::Allot { to, amount } => {
                let entry = self.entries.iter().position(|entry| entry.id == Some(*to));
                if let Some(entry) = entry {
                    self.allot(entry, *amount);
                }
            }
            Step::Transfer { from, to, amount } => self.give(zone, *from, Some(*to), *amount),
        }
    }

    fn give(&mut self, zone: usize, from: Incarnation, to: Option<Incarnation>, amount: u64) {
        let id = self.record_id();
        let entry = self.entries.iter().find(|entry| entry.id == Some(from));
        let Some(gift) = entry.and_then(|entry| entry.meter.give(id, amount)) else {
            return;
        };
        let (at, amount, lease, team) = (gift.at, gift.amount, LEASE, team());
        let change = match to {
            Some(to) => Change::Transfer {
                team,
                from,
                to,
                at,
                amount,
                lease,
            },
            None => Change::Return {
                team,
                from,
                at,
                amount,
            },
        };
        self.append(zone, Some((id, from)), change);
    }

    /// Moves what zones owe: entries return, the zone releases, `fleet` transfers, the other zone
    /// takes the credit in.
    pub(super) fn hand_over(&mut self) {
        for zone in 0..ZONES {
            let escrow = self.escrow(zone);
            let account = self.fleet.fold.state().account(&team(), &name(zone));
            if account.credited > escrow.zone.credited {
                let credit = escrow.zone.credited;
                let amount = account.credited - credit;
                self.append(
                    zone,
                    None,
                    Change::Fund {
                        team: team(),
                        credit,
                        amount,
                    },
                );
            }
            let Some((to, amount, until)) = self.owed[zone] else {
                continue;
            };
            let (from, to, lease, at) = (name(zone), name(to), LEASE, account.returned);
            let released = escrow.zone.returned - account.returned;
            if released > 0 {
                let amount = released;
                self.append_fleet(Change::Transfer {
                    team: team(),
                    from,
                    to,
                    at,
                    amount,
                    lease,
                });
                self.owed[zone] = None;
            } else if escrow.releasable() > 0 {
                let amount = amount.min(escrow.releasable());
                let at = escrow.zone.returned;
                self.append(
                    zone,
                    None,
                    Change::Release {
                        team: team(),
                        at,
                        amount,
                    },
                );
            } else if self.step >= until {
                self.owed[zone] = None;
            } else {
                self.gather(zone, amount);
            }
        }
    }

    /// Asks the entries of a zone to return slots that are not in use.
    fn gather(&mut self, zone: usize, amount: u64) {
        let mut left = amount;
        for demand in self.demands(zone) {
            let idle = demand.usable.saturating_sub(demand.used + demand.waiting);
            let part = idle.min(left);
            if part > 0 {
                left -= part;
                self.give(zone, demand.holder, None, part);
            }
        }
    }

    pub(super) fn allot(&mut self, entry: usize, amount: u64) {
        if let Some(to) = self.entries[entry].id {
            let (team, lease) = (team(), LEASE);
            self.append(
                entry % ZONES,
                None,
                Change::Allot {
                    team,
                    to,
                    amount,
                    lease,
                },
            );
        }
    }
}
