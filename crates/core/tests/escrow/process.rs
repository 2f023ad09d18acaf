//! One entry process of the escrow world.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::escrow::Change;
use lavenderhollow_core::escrow::Escrow;
use lavenderhollow_core::escrow::Meter;
use lavenderhollow_core::escrow::Slot;
use lavenderhollow_core::escrow::TeamEscrow;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::fold::Outcome;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::RECORD_WINDOW;
use lavenderhollow_core::record::Record;
use lavenderhollow_testing::FakeLog;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;

pub(crate) type FleetLog = FakeLog<Escrow<ZoneName>>;
pub(crate) type ZoneLog = FakeLog<Escrow<Incarnation>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    Up,
    Paused,
    Gone(SystemTime),
}

/// A start that was decided and may be dispatched until its lease ends.
pub(crate) struct Start {
    pub(crate) slot: Option<Slot>,
    pub(crate) version: usize,
    pub(crate) lease_end: Instant,
}

pub(crate) struct Process {
    pub(crate) id: Incarnation,
    pub(crate) zone: usize,
    pub(crate) life: Life,
    pub(crate) fleet: Fold<Escrow<ZoneName>>,
    pub(crate) stream: Fold<Escrow<Incarnation>>,
    pub(crate) meter: Meter,
    /// The configuration version that the process knows.
    pub(crate) known: usize,
    pub(crate) fleet_pending: Vec<Record<Change<ZoneName>>>,
    pub(crate) zone_pending: Vec<Record<Change<Incarnation>>>,
    pub(crate) starts: Vec<Start>,
    pub(crate) running: Vec<(u64, Slot)>,
}

impl Process {
    pub(crate) fn new(id: Incarnation, zone: usize, known: usize) -> Self {
        Self {
            id,
            zone,
            life: Life::Up,
            fleet: Fold::default(),
            stream: Fold::default(),
            meter: Meter::default(),
            known,
            fleet_pending: Vec::new(),
            zone_pending: Vec::new(),
            starts: Vec::new(),
            running: Vec::new(),
        }
    }

    pub(crate) fn zone_team(&self, team: &TeamName) -> TeamEscrow<Incarnation> {
        self.stream
            .state()
            .teams
            .get(team)
            .cloned()
            .unwrap_or_default()
    }

    pub(crate) fn fleet_team(&self, team: &TeamName) -> TeamEscrow<ZoneName> {
        self.fleet
            .state()
            .teams
            .get(team)
            .cloned()
            .unwrap_or_default()
    }

    /// Reads both streams to their heads and takes over the account.
    pub(crate) fn read(&mut self, fleet: &FleetLog, zone: &ZoneLog, now: SystemTime) {
        if let Ok(items) = fleet.read(self.fleet.next(), usize::MAX) {
            for (position, item) in items {
                self.fleet.apply(position, &item);
            }
            self.fleet_pending
                .retain(|record| record.created + RECORD_WINDOW >= now);
        }
        let Ok(items) = zone.read(self.stream.next(), usize::MAX) else {
            return;
        };
        let mut settled: Vec<RecordId> = Vec::new();
        for (position, item) in items {
            let outcome = self.stream.apply(position, &item);
            if let Item::Change(record) = item
                && outcome != Outcome::Duplicate
            {
                settled.push(record.id);
            }
        }
        // A record that was not stored within the window can't be accepted any more.
        let stale = |record: &Record<_>| record.created + RECORD_WINDOW < now;
        let expired = self.zone_pending.iter().filter(|record| stale(record));
        settled.extend(expired.map(|record| record.id));
        self.zone_pending
            .retain(|record| !settled.contains(&record.id));
        let account = self.stream.state().account(&super::team(), &self.id);
        self.meter.read(account, &settled);
    }

    /// Scales by the limits that were published after the mirrored one.
    pub(crate) fn scale(&mut self, limits: &[u64]) {
        let mirrored = self.zone_team(&super::team()).version.get() as usize;
        let since = mirrored.min(self.known)..=self.known;
        let highest = limits[since].iter().copied().max().unwrap_or_default();
        self.meter.lower(Some((limits[self.known], highest)));
    }

    pub(crate) fn append_fleet(
        &mut self,
        log: &mut FleetLog,
        now: SystemTime,
        id: RecordId,
        change: Change<ZoneName>,
    ) {
        let record = record(id, now, self.id, change);
        let _ = log.append(Item::Change(record.clone()), now);
        self.fleet_pending.push(record);
    }

    pub(crate) fn append_zone(
        &mut self,
        log: &mut ZoneLog,
        now: SystemTime,
        id: RecordId,
        change: Change<Incarnation>,
    ) {
        let record = record(id, now, self.id, change);
        let _ = log.append(Item::Change(record.clone()), now);
        self.zone_pending.push(record);
    }

    /// Takes the right to start and remembers what it was decided under.
    pub(crate) fn decide(&mut self, now: Instant, lease: Duration) -> bool {
        let Some(slot) = self.meter.try_take() else {
            return false;
        };
        self.starts.push(Start {
            slot: Some(slot),
            version: self.known,
            lease_end: now + lease,
        });
        true
    }

    /// Returns the version that the zone's stream mirrors, and the account of the zone.
    pub(crate) fn mirrored(&self) -> Version {
        self.zone_team(&super::team()).version
    }
}

fn record<C>(id: RecordId, created: SystemTime, actor: Incarnation, change: C) -> Record<C> {
    Record {
        id,
        created,
        actor,
        expected: None,
        change,
    }
}
