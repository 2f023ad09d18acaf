//! Failures of entries, and operations that combine several steps.

use super::MAX_ENTRIES;
use super::World;
use super::ZONES;
use super::process::Life;
use super::process::Process;
use super::team;
use lavenderhollow_core::escrow::Change;
use lavenderhollow_core::escrow::Evidence;
use lavenderhollow_types::Clock;
use lavenderhollow_types::Incarnation;
use std::time::Duration;

impl World {
    pub(super) fn live(&mut self, e: u8, from: Life, to: Life) {
        let i = self.index(e);
        if self.entries[i].life == from {
            self.entries[i].life = to;
        }
    }

    pub(super) fn kill(&mut self, e: u8) {
        let i = self.index(e);
        if !matches!(self.entries[i].life, Life::Gone(_)) {
            self.entries[i].life = Life::Gone(self.clock.wall());
        }
    }

    pub(super) fn join(&mut self, zone: usize) {
        if self.entries.len() < MAX_ENTRIES {
            let id = Incarnation::from_number(self.entries.len() as u128 + 1);
            self.entries
                .push(Process::new(id, zone % ZONES, self.limits.len() - 1));
        }
    }

    pub(super) fn advance(&mut self, step: Duration) {
        self.clock.advance(step);
        let now = self.clock.now();
        self.tasks.retain(|task| task.lease_end > now);
        let tasks = &self.tasks;
        for entry in &mut self.entries {
            if entry.life == Life::Up {
                entry.starts.retain(|start| start.lease_end > now);
                entry
                    .running
                    .retain(|(id, _)| tasks.iter().any(|task| task.id == *id));
            }
        }
    }

    pub(super) fn reclaim(&mut self, e: u8, victim: u8) {
        let (Some(i), victim) = (self.up(e), self.index(victim)) else {
            return;
        };
        let Life::Gone(gone) = self.entries[victim].life else {
            return;
        };
        if self.entries[victim].zone == self.entries[i].zone {
            let holder = self.entries[victim].id;
            let evidence = Evidence { gone };
            self.append_zone(i, Change::Reclaim { holder, evidence });
        }
    }

    pub(super) fn sync(&mut self) {
        for step in [
            Self::learn,
            Self::mirror_fleet,
            Self::read,
            Self::mirror_zone,
        ] {
            self.each(step);
        }
        for step in [Self::read, Self::fund, Self::read] {
            self.each(step);
        }
    }

    pub(super) fn hand(&mut self, e: u8, to: u8, n: u8) {
        for task in 0..n {
            self.finish(e, task);
        }
        self.give(e, Some(to), n);
        self.read(to);
        self.burst(to);
        self.burst(e);
    }

    pub(super) fn late(&mut self, e: u8, to: u8, n: u8) {
        let zone = self.entries[self.index(e)].zone as u8;
        self.fault(zone, Some(true));
        for task in 0..n {
            self.finish(e, task);
        }
        self.give(e, Some(to), n);
        self.fault(zone, None);
        self.read(e);
        self.burst(e);
        self.repeat(e, 0);
        self.read(to);
        self.burst(to);
    }

    pub(super) fn rush(&mut self) {
        for e in 0..self.entries.len() as u8 {
            if self.up(e).is_some() {
                while !self.entries[self.index(e)].running.is_empty() {
                    self.finish(e, 0);
                }
            }
        }
        self.each(Self::burst);
    }

    pub(super) fn replace(&mut self, e: u8, victim: u8) {
        self.burst(victim);
        self.kill(victim);
        self.reclaim(e, victim);
        self.read(e);
        self.allot(e, 3);
        self.read(e);
        self.each(Self::burst);
    }

    pub(super) fn move_part(&mut self, e: u8, n: u8) {
        self.release(e, n);
        self.each(Self::read);
        let from = self.entries[self.index(e)].zone;
        for peer in 0..self.entries.len() {
            if self.entries[peer].zone == from {
                self.settle(peer as u8, Some(from as u8 + 1));
            }
        }
    }

    pub(super) fn stale(&mut self, e: u8, n: u8) {
        self.live(e, Life::Paused, Life::Up);
        self.mirror_fleet(e);
        for zone in 0..ZONES {
            self.allot_zone(e, zone as u8, n);
        }
        self.learn(e);
    }

    pub(super) fn spread(&mut self) {
        self.sync();
        for e in 0..self.entries.len() {
            let excess = self.entries[e].meter.excess();
            self.give(e as u8, None, excess as u8);
            self.read(e as u8);
            let free = self.entries[e].zone_team(&team()).unallotted();
            self.allot(e as u8, free.div_ceil(2) as u8);
        }
        self.each(Self::read);
    }

    pub(super) fn each(&mut self, step: fn(&mut Self, u8)) {
        for e in 0..self.entries.len() {
            step(self, e as u8);
        }
    }
}
