//! Three zones of three entries that share the limit of one team.

#[path = "transfers.rs"]
mod transfers;

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::escrow::Change;
use lavenderhollow_core::escrow::Escrow;
use lavenderhollow_core::escrow::Evidence;
use lavenderhollow_core::escrow::HALF_LIFE;
use lavenderhollow_core::escrow::Rebalancer;
use lavenderhollow_core::escrow::TeamEscrow;
use lavenderhollow_core::record::Record;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;
use rand::Rng;
use rand::rngs::StdRng;

use crate::entry::Entry;
use crate::stream::Stream;

pub(crate) const LIMIT: u64 = 180;
const ZONES: usize = 3;
const ENTRIES: usize = 9;
const STEP: Duration = Duration::from_millis(100);
const RUN_STEPS: u64 = 20;
const PATIENCE_STEPS: u64 = 100;
const PEAK_STEPS: u64 = 150;
const LEASE: Duration = Duration::from_secs(5);
/// A VM's place is empty for this long before a new one stands there.
const REPLACE_STEPS: u64 = 300;
const DECIDE_STEPS: u64 = 5;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) stranded: f64,
    pub(crate) overshoot: u64,
    pub(crate) started: u64,
    pub(crate) lost: u64,
    pub(crate) records: u64,
    pub(crate) kills: u64,
    pub(crate) pauses: u64,
}

pub(crate) struct World {
    moving: bool,
    step: u64,
    start: (Instant, SystemTime),
    ids: u128,
    fleet: Stream<Escrow<ZoneName>>,
    zones: Vec<Stream<Escrow<Incarnation>>>,
    entries: Vec<Entry>,
    /// Entries that are gone and whose allotments are not reclaimed yet, with the step in which
    /// another one stands in their place.
    gone: Vec<(usize, Entry, u64)>,
    /// Slots that a zone gathers for another one, and the step in which it gives up.
    owed: Vec<Option<(usize, u64, u64)>>,
    between: Rebalancer<ZoneName>,
    within: Vec<Rebalancer<Incarnation>>,
    pub(crate) outcome: Outcome,
}

impl World {
    pub(crate) fn new(moving: bool) -> Self {
        let mut world = Self {
            moving,
            step: 0,
            start: (
                Instant::now(),
                SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30),
            ),
            ids: 0,
            fleet: Stream::default(),
            zones: (0..ZONES).map(|_| Stream::default()).collect(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            gone: Vec::new(),
            owed: vec![None; ZONES],
            between: Rebalancer::new(HALF_LIFE),
            within: vec![Rebalancer::new(HALF_LIFE); ZONES],
            outcome: Outcome::default(),
        };
        for entry in 0..ENTRIES {
            world.entries[entry].id = Some(world.incarnation());
        }
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        let limit = Change::SetLimit {
            team: team(),
            limit: LIMIT,
            version: Version::new(1),
            withheld: 0,
        };
        self.append_fleet(limit);
        for zone in 0..ZONES {
            let amount = LIMIT / ZONES as u64;
            let (to, lease) = (name(zone), LEASE);
            self.append_fleet(Change::Allot {
                team: team(),
                to,
                amount,
                lease,
            });
            let (limit, version, withheld) = (LIMIT, Version::new(1), 0);
            self.append(
                zone,
                None,
                Change::SetLimit {
                    team: team(),
                    limit,
                    version,
                    withheld,
                },
            );
            self.append(
                zone,
                None,
                Change::Fund {
                    team: team(),
                    credit: 0,
                    amount,
                },
            );
        }
        for entry in 0..ENTRIES {
            self.allot(entry, LIMIT / ENTRIES as u64);
        }
        self.read();
    }

    pub(crate) fn step(&mut self, random: &mut StdRng) {
        self.step += 1;
        self.arrive(random);
        self.fail(random);
        self.read();
        self.reclaim();
        if self.moving {
            if self.step.is_multiple_of(DECIDE_STEPS) {
                self.decide();
            }
            self.hand_over();
        }
        for entry in &mut self.entries {
            let (started, lost) = entry.work(self.step, RUN_STEPS);
            self.outcome.started += started;
            self.outcome.lost += lost;
        }
        for (_, entry, _) in &mut self.gone {
            entry.work(self.step, RUN_STEPS);
        }
        self.count();
    }

    fn count(&mut self) {
        let all = self
            .entries
            .iter()
            .chain(self.gone.iter().map(|(_, entry, _)| entry));
        let running: usize = all.map(|entry| entry.tasks.len()).sum();
        let active = self
            .entries
            .iter()
            .filter(|entry| entry.is_active(self.step));
        let waiting: usize = active.map(|entry| entry.waiting.len()).sum();
        let unused = LIMIT.saturating_sub(running as u64);
        self.outcome.stranded += unused.min(waiting as u64) as f64 / LIMIT as f64;
        self.outcome.overshoot += u64::from(running as u64 > LIMIT);
    }

    /// Requests arrive at the balancer, which gives peaks to one zone in turn.
    fn arrive(&mut self, random: &mut StdRng) {
        let turn = (self.step / PEAK_STEPS) as usize;
        for index in 0..ENTRIES {
            let mean = LIMIT as f64 / RUN_STEPS as f64 / ENTRIES as f64;
            let hot = turn % ZONES == index % ZONES;
            let rate = mean * if hot { 2.4 } else { 0.12 };
            let count = rate.floor() as usize + usize::from(random.random::<f64>() < rate.fract());
            let entry = &mut self.entries[index];
            if entry.gone.is_none() {
                entry
                    .waiting
                    .extend((0..count).map(|_| self.step + PATIENCE_STEPS));
            }
        }
    }

    fn fail(&mut self, random: &mut StdRng) {
        let (index, drawn) = (random.random_range(0..ENTRIES), random.random::<f64>());
        let pause = random.random_range(20..200);
        if self.entries[index].gone.is_some() {
            return;
        }
        if drawn < 0.001 {
            self.outcome.kills += 1;
            let mut killed = std::mem::take(&mut self.entries[index]);
            killed.gone = Some(self.wall());
            self.outcome.lost += killed.waiting.len() as u64;
            self.entries[index].gone = killed.gone;
            self.gone.push((index, killed, self.step + REPLACE_STEPS));
        } else if drawn < 0.005 {
            self.outcome.pauses += 1;
            self.entries[index].paused = self.step + pause;
        }
    }

    /// Reclaims what entries that are gone held, and puts new ones in their place.
    fn reclaim(&mut self) {
        for position in 0..self.gone.len() {
            let (index, entry, until) = &self.gone[position];
            let (index, until) = (*index, *until);
            let (Some(holder), Some(gone)) = (entry.id, entry.gone) else {
                continue;
            };
            if until == self.step {
                self.entries[index] = Entry::default();
                self.entries[index].id = Some(self.incarnation());
            }
            if until <= self.step {
                let evidence = Evidence { gone };
                self.append(index % ZONES, None, Change::Reclaim { holder, evidence });
                if !self.moving {
                    self.allot(index, LIMIT / ENTRIES as u64);
                }
            }
        }
        let step = self.step;
        self.gone.retain(|(_, _, until)| *until > step);
    }

    fn read(&mut self) {
        let wall = self.wall();
        self.fleet.read(wall);
        for zone in 0..ZONES {
            let settled = self.zones[zone].read(wall);
            for index in (zone..ENTRIES).step_by(ZONES) {
                self.entries[index].settled.extend(&settled);
            }
        }
        for index in 0..ENTRIES {
            let entry = &mut self.entries[index];
            if let Some(id) = entry.id.filter(|_| entry.is_active(self.step)) {
                let state = self.zones[index % ZONES].fold.state();
                let settled = std::mem::take(&mut entry.settled);
                entry.meter.read(state.account(&team(), &id), &settled);
            }
        }
    }

    fn escrow(&self, zone: usize) -> TeamEscrow<Incarnation> {
        let state = self.zones[zone].fold.state();
        state.teams.get(&team()).cloned().unwrap_or_default()
    }

    fn append_fleet(&mut self, change: Change<ZoneName>) {
        let id = self.record_id();
        let record = self.record(id, None, change);
        self.fleet.next.push(record);
    }

    fn append(
        &mut self,
        zone: usize,
        by: Option<(RecordId, Incarnation)>,
        change: Change<Incarnation>,
    ) {
        let id = by.map_or_else(|| self.record_id(), |(id, _)| id);
        let record = self.record(id, by.map(|(_, actor)| actor), change);
        self.zones[zone].next.push(record);
    }

    fn record<C>(&mut self, id: RecordId, actor: Option<Incarnation>, change: C) -> Record<C> {
        self.outcome.records += 1;
        Record {
            id,
            created: self.wall(),
            actor: actor.unwrap_or(Incarnation::from_number(0)),
            expected: None,
            change,
        }
    }

    fn wall(&self) -> SystemTime {
        self.start.1 + STEP * self.step as u32
    }

    fn record_id(&mut self) -> RecordId {
        self.ids += 1;
        RecordId::from_number(self.ids)
    }

    fn incarnation(&mut self) -> Incarnation {
        self.ids += 1;
        Incarnation::from_number(self.ids)
    }
}

fn team() -> TeamName {
    TeamName::new("team").expect("valid name")
}

fn name(zone: usize) -> ZoneName {
    ZoneName::new(["zone-0", "zone-1", "zone-2"][zone]).expect("valid name")
}

fn index(zone: &ZoneName) -> usize {
    (0..ZONES).find(|index| name(*index) == *zone).unwrap_or(0)
}
