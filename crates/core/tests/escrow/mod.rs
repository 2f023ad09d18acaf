//! Several zones and entries that share one team's limit through logs with faults.

mod allotment;
mod fault;
mod op;
mod process;

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::escrow::Change;
use lavenderhollow_testing::Fault;
use lavenderhollow_types::Clock;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::ManualClock;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::ZoneName;

pub(crate) use op::Op;
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
