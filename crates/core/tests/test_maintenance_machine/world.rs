//! Entries with their own folds over one log, and the VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::fold::Outcome;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::maintenance::Change;
use lavenderhollow_core::maintenance::Drain;
use lavenderhollow_core::maintenance::DrainStep;
use lavenderhollow_core::maintenance::FailureBound;
use lavenderhollow_core::maintenance::FleetView;
use lavenderhollow_core::maintenance::ListedVm;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::PoolRule;
use lavenderhollow_core::maintenance::Purpose;
use lavenderhollow_core::maintenance::Rejection;
use lavenderhollow_core::maintenance::Rules;
use lavenderhollow_core::maintenance::Sightings;
use lavenderhollow_core::maintenance::TargetView;
use lavenderhollow_core::maintenance::Usage;
use lavenderhollow_core::maintenance::VmLoad;
use lavenderhollow_core::maintenance::WaveDriver;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Record;
use lavenderhollow_testing::FakeLog;
use lavenderhollow_testing::Fault;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;

use super::Command;
use super::Op;
use super::oracle::Oracle;
use crate::fleet_world::WorldTime;
use crate::fleet_world::listed_vm;
use crate::fleet_world::pool_name;

pub(crate) const ENTRIES: usize = 3;
pub(crate) const VMS: usize = 16;

#[derive(Debug)]
struct Vm {
    listed: ListedVm,
    alive: bool,
    running: u32,
    boot: u64,
}

#[derive(Debug)]
struct Entry {
    me: Incarnation,
    fold: Fold<Maintenance>,
    folded: Duration,
    rules: Rules,
    sightings: Vec<Sightings>,
    pending: Vec<(Record<Change>, bool)>,
    drains: BTreeMap<VmName, Drain>,
    paused: bool,
}

#[derive(Debug)]
pub(crate) struct World {
    time: WorldTime,
    log: FakeLog<Maintenance>,
    vms: Vec<Vm>,
    list: (Vec<ListedVm>, Duration),
    entries: Vec<Entry>,
    rules: Rules,
    judge: Fold<Maintenance>,
    outcomes: Vec<Outcome<Rejection>>,
    oracle: Oracle,
    ids: u128,
    break_reboots: bool,
}

fn entry(number: u128, rules: &Rules, time: &WorldTime) -> Entry {
    let zones = ["zone-0", "zone-1"].map(|zone| zone.parse().expect("valid name"));
    Entry {
        me: Incarnation::from_number(number),
        fold: Fold::default(),
        folded: time.passed - Duration::from_secs(100),
        rules: rules.clone(),
        sightings: zones
            .map(|zone| Sightings::new(zone, Duration::from_secs(600)))
            .into(),
        pending: Vec::new(),
        drains: BTreeMap::new(),
        paused: false,
    }
}

fn rules(version: u64, budget: u32, racks: u32, drains: bool, moves: bool) -> Rules {
    let rule = PoolRule {
        max_unavailable: budget,
        racks_at_once: racks,
    };
    Rules {
        version: Version::new(version),
        pools: (0..3).map(|pool| (pool_name(pool), rule)).collect(),
        drains,
        moves,
    }
}

impl World {
    pub(crate) fn new() -> Self {
        let time = WorldTime::new();
        let rules = rules(1, 2, 1, true, true);
        let vm = |index| Vm {
            listed: listed_vm(index),
            alive: true,
            running: 0,
            boot: 1,
        };
        let mut world = Self {
            time,
            log: FakeLog::default(),
            vms: (0..VMS).map(vm).collect(),
            list: (Vec::new(), Duration::ZERO),
            entries: (0..ENTRIES as u128)
                .map(|e| entry(e, &rules, &time))
                .collect(),
            rules,
            judge: Fold::default(),
            outcomes: Vec::new(),
            oracle: Oracle::default(),
            ids: 1000,
            break_reboots: false,
        };
        world.apply(&Op::PublishList);
        for step in 0..4 {
            world.apply(&Op::Follow(step % ENTRIES, 100));
            world.apply(&Op::Drive(step % ENTRIES));
        }
        world
    }

    pub(crate) fn apply(&mut self, op: &Op) {
        match *op {
            Op::Tick(millis) => self.time.passed += Duration::from_millis(millis),
            Op::Follow(e, most) => self.follow(e, most),
            Op::Drive(e) if !self.entries[e].paused => self.drive(e),
            Op::Drive(_) => {}
            Op::Log(fault) => self.log.fault = fault,
            Op::SetPaused(e, paused) => self.entries[e].paused = paused,
            Op::Kill(e) => {
                self.ids += 1;
                self.entries[e] = entry(self.ids, &self.rules, &self.time);
            }
            Op::Operator(e, command, wave, id, any) => self.operate(e, command, wave, id, any),
            Op::Configure(budget, racks, drains, moves) => {
                let version = self.rules.version.get() + 1;
                self.rules = rules(version, budget, racks, drains, moves);
            }
            Op::Install(e) => self.entries[e].rules = self.rules.clone(),
            Op::PlanMove(e, vm, to) => self.plan_move(e, vm, to),
            Op::StrayMove(e, vm, from, to) => {
                let (from, to) = (pool_name(from), pool_name(to));
                let vm = self.vms[vm].listed.vm.clone();
                self.submit(e, Change::MoveVm { vm, from, to }, None);
            }
            Op::StrayGrant(e, vm, wave) => {
                let vm = self.vms[vm].listed.vm.clone();
                let purpose = Purpose::Wave(WaveId::from_number(wave.into()));
                self.submit(e, Change::GrantDrain { vm, purpose }, None);
            }
            Op::Fail(vm) => self.vms[vm].alive = false,
            Op::FailTouched => self.fail_touched(),
            Op::Recover(vm) => self.vms[vm].alive = true,
            Op::Replace(vm) => self.replace(vm),
            Op::Work(vm, running) => self.vms[vm].running = running,
            Op::PublishList => {
                let listed = self.vms.iter().map(|vm| vm.listed.clone());
                self.list = (listed.collect(), self.time.passed);
            }
            Op::Repeat(index) => self.repeat(index),
            Op::BreakReboots(broken) => self.break_reboots = broken,
        }
    }

    fn follow(&mut self, e: usize, most: usize) {
        let entry = &mut self.entries[e];
        if entry.paused {
            return;
        }
        let Ok(items) = self.log.read(entry.fold.next(), most) else {
            return;
        };
        for (position, item) in items {
            let outcome = entry.fold.apply(position, &item);
            let offset = position.offset.get() as usize;
            if let Some(judged) = self.outcomes.get(offset) {
                assert_eq!(*judged, outcome, "folds differ at {offset}");
            }
            if let Item::Change(record) = item {
                entry.pending.retain(|(pending, _)| pending.id != record.id);
            }
        }
        if entry.fold.next() == self.log.head() {
            entry.folded = self.time.passed;
        }
    }

    fn submit(&mut self, e: usize, change: Change, expected: Option<Version>) {
        if self.entries[e]
            .pending
            .iter()
            .any(|(record, _)| record.change == change)
        {
            return;
        }
        self.ids += 1;
        let id = RecordId::from_number(self.ids);
        self.send(e, id, change, expected);
    }

    fn send(&mut self, e: usize, id: RecordId, change: Change, expected: Option<Version>) {
        let record = Record {
            id,
            created: self.time.wall(),
            actor: self.entries[e].me,
            expected,
            change,
        };
        let answer = self
            .log
            .append(Item::Change(record.clone()), self.time.wall());
        self.entries[e].pending.push((record, answer.is_ok()));
    }

    fn submit_versioned(&mut self, e: usize, change: Change) {
        let version = self.entries[e].fold.version(&Maintenance::subject(&change));
        self.submit(e, change, Some(version));
    }

    fn drive(&mut self, e: usize) {
        let wall = self.time.wall();
        for (record, known) in &mut self.entries[e].pending {
            if !*known {
                let item = Item::Change(record.clone());
                *known = self.log.append(item, wall).is_ok();
            }
        }
        let answers = self.answers();
        let (list, as_of) = (
            self.list.0.clone(),
            self.time.now() - (self.time.passed - self.list.1),
        );
        let entry = &mut self.entries[e];
        let state = entry.fold.state();
        let mut changes = Vec::new();
        let mut view = FleetView::new(entry.rules.clone(), self.time.now());
        for sightings in &mut entry.sightings {
            sightings.on_list(state, &list, as_of);
            changes.extend(sightings.changes(state, &answers));
            view.suspects.extend(sightings.suspects(state, &answers));
        }
        view.folded = view.now - (self.time.passed - entry.folded);
        view.listed = as_of;
        view.loads = loads(&self.vms, &self.time);
        changes.extend(WaveDriver::default().next(state, &view));
        for change in changes {
            match change {
                Change::SetRules(_) => self.submit(e, change, None),
                _ => self.submit_versioned(e, change),
            }
        }
        self.drain(e);
    }

    fn answers(&self) -> BTreeMap<VmName, bool> {
        let answer = |vm: &Vm| (vm.listed.vm.clone(), vm.alive);
        self.vms.iter().map(answer).collect()
    }

    /// Each entry drives the drains of the VMs whose lease it holds, every third one.
    fn drain(&mut self, e: usize) {
        for index in (e..self.vms.len()).step_by(ENTRIES) {
            let name = self.vms[index].listed.vm.clone();
            let now = self.time.now();
            let entry = &mut self.entries[e];
            let state = entry.fold.state();
            let record = state.vm(&name).and_then(|vm| vm.drain.clone());
            let Some(record) = record else {
                entry.drains.remove(&name);
                continue;
            };
            let drain = entry.drains.entry(name.clone());
            let drain = drain.or_insert_with(|| Drain::new(name.clone(), &record, now));
            let vm = &self.vms[index];
            let usage = vm.alive.then_some(Usage {
                running: vm.running,
                boot: vm.boot,
                leaving: false,
                as_of: now,
            });
            let view = TargetView {
                lease_since: Some(now - Duration::from_secs(1)),
                in_flight: 0,
                usage,
            };
            match drain.step(state, &view, now) {
                DrainStep::Record(change) => self.submit_versioned(e, change),
                DrainStep::Reboot { .. } => {
                    self.judge();
                    self.oracle.stopped(&name);
                    self.vms[index].boot += 1;
                    self.vms[index].alive = !self.break_reboots;
                }
                DrainStep::Checkpoint => self.vms[index].running = 0,
                DrainStep::Done => drop(self.entries[e].drains.remove(&name)),
                DrainStep::Wait | DrainStep::TakeLease => {}
            }
        }
    }

    fn operate(&mut self, e: usize, command: Command, wave: u8, id: u8, any: bool) {
        let wave = WaveId::from_number(wave.into());
        let id = RecordId::from_number(u128::from(id));
        let pools = [
            pool_name(0),
            pool_name(usize::from(wave == WaveId::from_number(1)) + 1),
        ];
        let change = match command {
            Command::Start => Change::StartWave {
                wave,
                command: id,
                pools: pools.into(),
                bound: FailureBound::default(),
            },
            Command::Pause => Change::PauseWave { wave, command: id },
            Command::Resume => Change::ResumeWave { wave, command: id },
        };
        if any {
            self.submit(e, change, None);
        } else {
            self.submit_versioned(e, change);
        }
    }

    fn plan_move(&mut self, e: usize, vm: usize, to: usize) {
        let purpose = Purpose::Move {
            to: pool_name(to),
            plan: self.entries[e].fold.state().plan(),
        };
        let vm = self.vms[vm].listed.vm.clone();
        self.submit(e, Change::GrantDrain { vm, purpose }, None);
    }

    fn fail_touched(&mut self) {
        for vm in &mut self.vms {
            let record = self.judge.state().vm(&vm.listed.vm);
            vm.alive &= record.is_none_or(|record| record.touched.is_none());
        }
    }

    fn replace(&mut self, vm: usize) {
        self.ids += 1;
        let vm = &mut self.vms[vm];
        vm.listed.vm = format!("vm-new-{}", self.ids).parse().expect("valid name");
        (vm.alive, vm.running, vm.boot) = (true, 0, 1);
    }

    fn repeat(&mut self, index: usize) {
        let Ok(items) = self.log.read(self.log.oldest(), usize::MAX) else {
            return;
        };
        if let Some((_, item)) = items.get(index % items.len().max(1)) {
            let _ = self.log.append(item.clone(), self.time.wall());
        }
    }

    /// Gives the oracle what the log holds since the last call.
    pub(crate) fn judge(&mut self) {
        let fault = std::mem::replace(&mut self.log.fault, Fault::None);
        let items = self.log.read(self.judge.next(), usize::MAX);
        self.log.fault = fault;
        for (position, item) in items.expect("the log keeps everything") {
            let outcome = self.judge.apply(position, &item);
            if let (true, Item::Change(record)) = (outcome.is_accepted(), &item) {
                self.oracle.accepted(record.id, &record.change);
            }
            self.oracle.compare(self.judge.state());
            self.outcomes.push(outcome);
        }
    }

    /// Ends all faults and expects every open wave to end.
    pub(crate) fn heal(&mut self) {
        self.log.fault = Fault::None;
        self.break_reboots = false;
        self.apply(&Op::Configure(2, 1, true, true));
        for round in 0..200 {
            for vm in &mut self.vms {
                (vm.alive, vm.running) = (true, 0);
            }
            self.apply(&Op::PublishList);
            self.apply(&Op::Tick(if round == 2 { 700_000 } else { 3000 }));
            self.apply(&Op::PublishList);
            for e in 0..ENTRIES {
                self.apply(&Op::SetPaused(e, false));
                self.apply(&Op::Install(e));
                self.apply(&Op::Follow(e, usize::MAX));
                self.apply(&Op::Drive(e));
            }
            self.judge();
            let open: Vec<WaveId> = self.judge.state().waves().map(|(wave, _)| wave).collect();
            if open.is_empty() && self.judge.state().drains().count() == 0 {
                return;
            }
            for wave in open {
                self.ids += 1;
                let command = RecordId::from_number(self.ids);
                self.submit(0, Change::ResumeWave { wave, command }, None);
            }
        }
        panic!(
            "waves don't end: {:#?}",
            self.judge.state().waves().collect::<Vec<_>>()
        );
    }
}

fn loads(vms: &[Vm], time: &WorldTime) -> BTreeMap<VmName, VmLoad> {
    let load = |vm: &Vm| {
        let load = VmLoad {
            running: vm.running,
            remaining: Duration::from_secs(vm.running.into()),
            as_of: time.now(),
        };
        (vm.listed.vm.clone(), load)
    };
    vms.iter().map(load).collect()
}
