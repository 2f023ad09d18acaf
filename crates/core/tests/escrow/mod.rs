//! Several zones and entries that share one team's limit through logs with faults.

mod process;

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::escrow::Change;
use lavenderhollow_core::escrow::Evidence;
use lavenderhollow_testing::Fault;
use lavenderhollow_types::Clock;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::ManualClock;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;

use process::FleetLog;
use process::Life;
use process::Process;
use process::ZoneLog;

const ZONES: usize = 2;
pub(crate) const MAX_ENTRIES: usize = 7;
const LEASE: Duration = Duration::from_secs(60);

pub(crate) fn team() -> TeamName {
    TeamName::new("team").unwrap()
}

/// One operation. Numbers select an entry, a zone, a task or an amount, modulo what exists.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// Decides and dispatches a start at once.
    Start(u8),
    /// Starts as much as the entry's allotment allows.
    Burst(u8),
    /// Decides a start.
    Decide(u8),
    /// Delivers a decided start to a target, also when the entry is paused or gone by now.
    Dispatch(u8),
    Finish(u8, u8),
    Publish(u8),
    Learn(u8),
    MirrorFleet(u8),
    MirrorZone(u8),
    Read(u8),
    AllotZone(u8, u8, u8),
    Fund(u8),
    Allot(u8, u8),
    Give(u8, u8, u8),
    GiveBack(u8, u8),
    Release(u8, u8),
    /// Returns what the zone released, or transfers it to a zone.
    Settle(u8, Option<u8>),
    Repeat(u8, u8),
    Fault(u8, Option<bool>),
    Pause(u8),
    Resume(u8),
    Kill(u8),
    Join(u8),
    Advance(u16),
    Reclaim(u8, u8),
    /// Gives idle slots to another entry, which uses them while the giver goes on.
    Hand(u8, u8, u8),
    /// Gives while the zone's log is down, goes on, and repeats the append when the log is back.
    Late(u8, u8, u8),
    /// Ends the work of every entry that is up and starts as much as is allowed.
    Rush,
    /// Kills an entry and has another one take over its allotment.
    Replace(u8, u8),
    /// Moves slots to another zone; every entry of the zone settles the same release.
    Move(u8, u8),
    /// Mirrors what a resumed entry knows, and allots under it.
    Stale(u8, u8),
    /// Every entry that is up learns, mirrors, funds and reads.
    Sync,
    /// Every entry that is up returns its excess, and then asks for the whole unallotted part.
    Spread,
}

struct Task {
    id: u64,
    version: usize,
    lease_end: Instant,
}

/// The platform and the entries.
pub(crate) struct World {
    clock: ManualClock,
    fleet: FleetLog,
    zones: Vec<ZoneLog>,
    entries: Vec<Process>,
    /// Published limits by configuration version; version 0 is none.
    limits: Vec<u64>,
    tasks: Vec<Task>,
    ids: u128,
    started: u64,
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            clock: ManualClock::new(SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30)),
            fleet: FleetLog::default(),
            zones: vec![ZoneLog::default(); ZONES],
            entries: Vec::new(),
            limits: vec![0, 12],
            tasks: Vec::new(),
            ids: 0,
            started: 0,
        };
        for zone in 0..2 * ZONES {
            world.join(zone);
        }
        let allot = [Op::AllotZone(0, 0, 5), Op::AllotZone(0, 1, 6)];
        for op in [Op::Sync].into_iter().chain(allot).chain([Op::Sync]) {
            world.apply(op);
        }
        world
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Start(e) => {
                self.decide(e);
                self.dispatch(e);
            }
            Op::Burst(e) => self.burst(e),
            Op::Decide(e) => self.decide(e),
            Op::Dispatch(e) => self.dispatch(e),
            Op::Finish(e, n) => self.finish(e, n),
            Op::Publish(limit) => self.limits.push(u64::from(limit)),
            Op::Learn(e) => self.learn(e),
            Op::MirrorFleet(e) => self.mirror_fleet(e),
            Op::MirrorZone(e) => self.mirror_zone(e),
            Op::Read(e) => self.read(e),
            Op::AllotZone(e, z, n) => self.allot_zone(e, z, n),
            Op::Fund(e) => self.fund(e),
            Op::Allot(e, n) => self.allot(e, n),
            Op::Give(e, to, n) => self.give(e, Some(to), n),
            Op::GiveBack(e, n) => self.give(e, None, n),
            Op::Release(e, n) => self.release(e, n),
            Op::Settle(e, to) => self.settle(e, to),
            Op::Repeat(e, n) => self.repeat(e, n),
            Op::Fault(stream, fault) => self.fault(stream, fault),
            Op::Pause(e) => self.live(e, Life::Up, Life::Paused),
            Op::Resume(e) => self.live(e, Life::Paused, Life::Up),
            Op::Kill(e) => self.kill(e),
            Op::Join(z) => self.join(usize::from(z) % ZONES),
            Op::Advance(seconds) => self.advance(Duration::from_secs(seconds.into())),
            Op::Reclaim(e, victim) => self.reclaim(e, victim),
            Op::Hand(e, to, n) => self.hand(e, to, n),
            Op::Late(e, to, n) => self.late(e, to, n),
            Op::Rush => self.rush(),
            Op::Replace(e, victim) => self.replace(e, victim),
            Op::Move(e, n) => self.move_part(e, n),
            Op::Stale(e, n) => self.stale(e, n),
            Op::Sync => self.sync(),
            Op::Spread => self.spread(),
        }
    }

    /// Checks the promise: work that was decided under a version or a later one is at most the
    /// highest limit published since. Work that ran when a limit was lowered is not cut.
    pub(crate) fn check(&self) {
        for version in 0..self.limits.len() {
            let running = self.tasks.iter().filter(|task| task.version >= version);
            let running = running.count() as u64;
            let limit = self.limits[version..].iter().copied().max().unwrap_or(0);
            assert!(
                running <= limit,
                "{running} tasks run under a limit of {limit} since version {version}"
            );
        }
    }

    /// Returns the number of tasks that run.
    pub(crate) fn running(&self) -> usize {
        self.tasks.len()
    }

    fn index(&self, e: u8) -> usize {
        usize::from(e) % self.entries.len()
    }

    fn up(&self, e: u8) -> Option<usize> {
        let index = self.index(e);
        (self.entries[index].life == Life::Up).then_some(index)
    }

    fn id(&mut self) -> RecordId {
        self.ids += 1;
        RecordId::from_number(self.ids)
    }

    fn burst(&mut self, e: u8) {
        let i = self.index(e);
        while self.entries[i].life == Life::Up && self.entries[i].decide(self.clock.now(), LEASE) {
            self.dispatch(e);
        }
    }

    fn decide(&mut self, e: u8) {
        if let Some(i) = self.up(e) {
            self.entries[i].decide(self.clock.now(), LEASE);
        }
    }

    fn dispatch(&mut self, e: u8) {
        let i = self.index(e);
        let Some(mut start) = self.entries[i].starts.pop() else {
            return;
        };
        if self.clock.now() >= start.lease_end {
            return;
        }
        self.started += 1;
        self.tasks.push(Task {
            id: self.started,
            version: start.version,
            lease_end: start.lease_end,
        });
        let slot = start.slot.take().unwrap();
        self.entries[i].running.push((self.started, slot));
    }

    fn finish(&mut self, e: u8, n: u8) {
        let i = self.index(e);
        let running = &mut self.entries[i].running;
        if !running.is_empty() {
            let (id, _slot) = running.swap_remove(usize::from(n) % running.len());
            self.tasks.retain(|task| task.id != id);
        }
    }

    fn learn(&mut self, e: u8) {
        if let Some(i) = self.up(e) {
            self.entries[i].known = self.limits.len() - 1;
            self.entries[i].scale(&self.limits);
        }
    }

    fn mirror_fleet(&mut self, e: u8) {
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

    fn mirror_zone(&mut self, e: u8) {
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

    fn read(&mut self, e: u8) {
        let Some(i) = self.up(e) else { return };
        let entry = &mut self.entries[i];
        entry.read(&self.fleet, &self.zones[entry.zone], self.clock.wall());
        entry.scale(&self.limits);
    }

    fn allot_zone(&mut self, e: u8, z: u8, n: u8) {
        let Some(i) = self.up(e) else { return };
        let change = Change::Allot {
            team: team(),
            to: zone(usize::from(z) % ZONES),
            amount: n.into(),
            lease: LEASE,
        };
        self.append_fleet(i, change);
    }

    fn fund(&mut self, e: u8) {
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

    fn allot(&mut self, e: u8, n: u8) {
        let Some(i) = self.up(e) else { return };
        let change = Change::Allot {
            team: team(),
            to: self.entries[i].id,
            amount: n.into(),
            lease: LEASE,
        };
        self.append_zone(i, change);
    }

    fn give(&mut self, e: u8, to: Option<u8>, n: u8) {
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

    fn release(&mut self, e: u8, n: u8) {
        let Some(i) = self.up(e) else { return };
        let change = Change::Release {
            team: team(),
            at: self.entries[i].zone_team(&team()).zone.returned,
            amount: n.into(),
        };
        self.append_zone(i, change);
    }

    fn settle(&mut self, e: u8, to: Option<u8>) {
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

    fn repeat(&mut self, e: u8, n: u8) {
        let i = self.index(e);
        let (now, n) = (self.clock.wall(), usize::from(n));
        // The copy may also be one that the network held back, so that the life does not matter.
        let entry = &self.entries[i];
        if let Some(record) = entry.zone_pending.iter().cycle().nth(n) {
            let item = lavenderhollow_core::record::Item::Change(record.clone());
            let _ = self.zones[entry.zone].append(item, now);
        }
        if let Some(record) = entry.fleet_pending.iter().cycle().nth(n) {
            let item = lavenderhollow_core::record::Item::Change(record.clone());
            let _ = self.fleet.append(item, now);
        }
    }

    fn fault(&mut self, stream: u8, fault: Option<bool>) {
        let fault = match fault {
            None => Fault::None,
            Some(true) => Fault::Down,
            Some(false) => Fault::AnswerLost,
        };
        match usize::from(stream) % (ZONES + 1) {
            ZONES => self.fleet.fault = fault,
            zone => self.zones[zone].fault = fault,
        }
    }

    fn live(&mut self, e: u8, from: Life, to: Life) {
        let i = self.index(e);
        if self.entries[i].life == from {
            self.entries[i].life = to;
        }
    }

    fn kill(&mut self, e: u8) {
        let i = self.index(e);
        if !matches!(self.entries[i].life, Life::Gone(_)) {
            self.entries[i].life = Life::Gone(self.clock.wall());
        }
    }

    fn join(&mut self, zone: usize) {
        if self.entries.len() < MAX_ENTRIES {
            let id = Incarnation::from_number(self.entries.len() as u128 + 1);
            self.entries
                .push(Process::new(id, zone % ZONES, self.limits.len() - 1));
        }
    }

    fn advance(&mut self, step: Duration) {
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

    fn reclaim(&mut self, e: u8, victim: u8) {
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

    fn sync(&mut self) {
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

    fn hand(&mut self, e: u8, to: u8, n: u8) {
        for task in 0..n {
            self.finish(e, task);
        }
        self.give(e, Some(to), n);
        self.read(to);
        self.burst(to);
        self.burst(e);
    }

    fn late(&mut self, e: u8, to: u8, n: u8) {
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

    fn rush(&mut self) {
        for e in 0..self.entries.len() as u8 {
            if self.up(e).is_some() {
                while !self.entries[self.index(e)].running.is_empty() {
                    self.finish(e, 0);
                }
            }
        }
        self.each(Self::burst);
    }

    fn replace(&mut self, e: u8, victim: u8) {
        self.burst(victim);
        self.kill(victim);
        self.reclaim(e, victim);
        self.read(e);
        self.allot(e, 3);
        self.read(e);
        self.each(Self::burst);
    }

    fn move_part(&mut self, e: u8, n: u8) {
        self.release(e, n);
        self.each(Self::read);
        let from = self.entries[self.index(e)].zone;
        for peer in 0..self.entries.len() {
            if self.entries[peer].zone == from {
                self.settle(peer as u8, Some(from as u8 + 1));
            }
        }
    }

    fn stale(&mut self, e: u8, n: u8) {
        self.live(e, Life::Paused, Life::Up);
        self.mirror_fleet(e);
        for zone in 0..ZONES {
            self.allot_zone(e, zone as u8, n);
        }
        self.learn(e);
    }

    fn spread(&mut self) {
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

    fn each(&mut self, step: fn(&mut Self, u8)) {
        for e in 0..self.entries.len() {
            step(self, e as u8);
        }
    }

    fn append_fleet(&mut self, i: usize, change: Change<ZoneName>) {
        let (id, now) = (self.id(), self.clock.wall());
        self.entries[i].append_fleet(&mut self.fleet, now, id, change);
    }

    fn append_zone(&mut self, i: usize, change: Change<Incarnation>) {
        let (id, now) = (self.id(), self.clock.wall());
        let entry = &mut self.entries[i];
        entry.append_zone(&mut self.zones[entry.zone], now, id, change);
    }
}

fn zone(index: usize) -> ZoneName {
    ZoneName::new(["a", "b"][index]).unwrap()
}
