//! Entries that start work on leased targets, drain them and shut down, with a network that delays
//! what they send.

mod entries;
mod ops;

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::maintenance::Change;
use lavenderhollow_core::maintenance::Drain;
use lavenderhollow_core::maintenance::DrainStep;
use lavenderhollow_core::maintenance::FailureBound;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::PoolRule;
use lavenderhollow_core::maintenance::Purpose;
use lavenderhollow_core::maintenance::Rules;
use lavenderhollow_core::maintenance::Shutdown;
use lavenderhollow_core::maintenance::ShutdownStep;
use lavenderhollow_core::maintenance::ShutdownView;
use lavenderhollow_core::maintenance::Usage;
use lavenderhollow_core::membership::Bounds;
use lavenderhollow_core::membership::Holder;
use lavenderhollow_core::membership::LeaseAction;
use lavenderhollow_core::membership::ListedTarget;
use lavenderhollow_core::membership::Membership;
use lavenderhollow_core::membership::Pass;
use lavenderhollow_core::membership::Snapshot;
use lavenderhollow_core::membership::lease_action;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Record;
use lavenderhollow_testing::FakeLog;
use lavenderhollow_testing::Fault;
use lavenderhollow_types::EntryName;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::fleet_world::WorldTime;
use crate::fleet_world::listed_vm;
use crate::fleet_world::pool_name;
use crate::fleet_world::vm_name;

pub(crate) use self::ops::ops;

pub(crate) const ENTRIES: usize = 3;
pub(crate) const TARGETS: usize = 3;

/// The length of a lease.
const LEASE: Duration = Duration::from_secs(6);

/// After this time a target that is leaving is sent no new work: the greatest of the bounds.
const CLOSED_AFTER: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Tick(u64),
    Report(usize),
    Probe(usize),
    ReadList(usize, usize),
    Follow(usize, usize),
    Load(usize),
    Serve(usize, bool, bool),
    Start(usize, usize),
    Deliver(usize),
    Finish(usize),
    Lease(usize, usize),
    Believe(usize, usize, bool),
    Drive(usize),
    Grant(usize, bool),
    Leave(usize, bool),
    Kill(usize),
    SetPaused(usize, bool),
    Shutdown(usize),
    Log(Fault),
    Repeat(usize),
}

#[derive(Debug)]
struct Worker {
    lease: Option<(Incarnation, Duration)>,
    tasks: Vec<Request>,
    boot: u64,
    report: Usage,
    leaving: Option<Duration>,
    knows: bool,
}

#[derive(Debug)]
struct Request {
    by: Incarnation,
    _pass: Pass,
}

#[derive(Clone, Copy, Debug)]
struct Reboot {
    target: usize,
    by: Incarnation,
    boot: u64,
}

#[derive(Debug)]
enum Message {
    Start {
        target: usize,
        lease_end: Duration,
        request: Request,
    },
    Reboot(Reboot),
}

#[derive(Debug)]
struct Entry {
    me: Incarnation,
    fold: Fold<Maintenance>,
    membership: Membership,
    loaded: Arc<Snapshot>,
    live: [bool; ENTRIES],
    waiting: u32,
    drains: BTreeMap<VmName, Drain>,
    newest: Duration,
    seen_leaving: [bool; TARGETS],
    paused: bool,
    shutdown: Option<Shutdown>,
}

#[derive(Debug)]
pub(crate) struct TargetWorld {
    time: WorldTime,
    log: FakeLog<Maintenance>,
    lists: Vec<(Vec<ListedTarget>, Duration)>,
    workers: Vec<Worker>,
    entries: Vec<Entry>,
    network: Vec<Message>,
    judge: Fold<Maintenance>,
    drained_since: BTreeMap<VmName, Duration>,
    ids: u128,
    pub(crate) started: u32,
    pub(crate) reboots: u32,
}

fn entry_name(e: usize) -> EntryName {
    format!("entry-{e}").parse().expect("valid name")
}

fn entry(number: u128) -> Entry {
    Entry {
        me: Incarnation::from_number(number),
        fold: Fold::default(),
        membership: Membership::new(Bounds::default()),
        loaded: Arc::default(),
        live: [true; ENTRIES],
        waiting: 0,
        drains: BTreeMap::new(),
        newest: Duration::ZERO,
        seen_leaving: [false; TARGETS],
        paused: false,
        shutdown: None,
    }
}

impl TargetWorld {
    pub(crate) fn new() -> Self {
        let time = WorldTime::new();
        let report = Usage {
            running: 0,
            boot: 1,
            leaving: false,
            as_of: time.now(),
        };
        let worker = |_| Worker {
            lease: None,
            tasks: Vec::new(),
            boot: 1,
            report,
            leaving: None,
            knows: false,
        };
        let mut world = Self {
            time,
            log: FakeLog::default(),
            lists: Vec::new(),
            workers: (0..TARGETS).map(worker).collect(),
            entries: (0..ENTRIES as u128).map(entry).collect(),
            network: Vec::new(),
            judge: Fold::default(),
            drained_since: BTreeMap::new(),
            ids: 1000,
            started: 0,
            reboots: 0,
        };
        world.setup();
        world
    }

    fn setup(&mut self) {
        let rule = PoolRule {
            max_unavailable: 9,
            racks_at_once: 9,
        };
        let pools: BTreeMap<_, _> = (0..3).map(|pool| (pool_name(pool), rule)).collect();
        self.append(Change::SetRules(Rules {
            version: Version::new(1),
            pools,
            drains: true,
            moves: true,
        }));
        for index in 0..TARGETS {
            let listed = listed_vm(index);
            self.append(Change::AddVm {
                vm: listed.vm,
                zone: listed.zone,
                rack: listed.rack,
                pool: listed.pool,
            });
        }
        self.publish_list();
        self.round();
    }

    pub(crate) fn apply(&mut self, op: &Op) {
        match *op {
            Op::Tick(millis) => self.time.passed += Duration::from_millis(millis),
            Op::Report(t) => self.report(t),
            Op::Deliver(index) => self.deliver(index),
            Op::Finish(t) => drop(self.workers[t].tasks.pop()),
            Op::Grant(t, wave) => self.grant(t, wave),
            Op::Leave(t, knows) => self.leave(t, knows),
            Op::Kill(e) => self.replace(e),
            Op::SetPaused(e, paused) => self.entries[e].paused = paused,
            Op::Log(fault) => self.log.fault = fault,
            Op::Repeat(index) => self.repeat(index),
            Op::Probe(e)
            | Op::ReadList(e, _)
            | Op::Follow(e, _)
            | Op::Load(e)
            | Op::Serve(e, ..)
            | Op::Start(e, _)
            | Op::Lease(e, _)
            | Op::Believe(e, ..)
            | Op::Drive(e)
            | Op::Shutdown(e) => {
                if !self.entries[e].paused {
                    self.act(e, op);
                }
            }
        }
        self.judge();
    }

    fn act(&mut self, e: usize, op: &Op) {
        let entry = &mut self.entries[e];
        match *op {
            Op::Probe(_) => {
                for (t, worker) in self.workers.iter().enumerate() {
                    entry.membership.on_answer(&vm_name(t), worker.report);
                }
            }
            Op::ReadList(_, back) => self.read_list(e, back),
            Op::Follow(_, most) => self.follow(e, most),
            Op::Load(_) => entry.loaded = entry.membership.reader().load_full(),
            Op::Serve(_, follows, fresh) => {
                if fresh {
                    (0..TARGETS).for_each(|t| self.report(t));
                }
                self.act(e, &Op::Probe(e));
                if follows {
                    self.follow(e, usize::MAX);
                }
                (0..TARGETS).for_each(|t| self.lease(e, t));
                self.act(e, &Op::Load(e));
                self.drive(e);
            }
            Op::Start(_, t) => self.start(e, t),
            Op::Lease(_, t) => self.lease(e, t),
            Op::Believe(_, other, live) => entry.live[other] = live || other == e,
            Op::Drive(_) => self.drive(e),
            Op::Shutdown(_) => entry.shutdown = entry.shutdown.or(Some(Shutdown::default())),
            _ => {}
        }
    }

    fn append(&mut self, change: Change) {
        self.ids += 1;
        let record = Record {
            id: RecordId::from_number(self.ids),
            created: self.time.wall(),
            actor: Incarnation::from_number(0),
            expected: None,
            change,
        };
        let _ = self.log.append(Item::Change(record), self.time.wall());
    }

    fn judge(&mut self) {
        let fault = std::mem::replace(&mut self.log.fault, Fault::None);
        let items = self.log.read(self.judge.next(), usize::MAX);
        self.log.fault = fault;
        for (position, item) in items.expect("the log keeps everything") {
            self.judge.apply(position, &item);
        }
        let drained = self.judge.state().drains().map(|(vm, _)| vm.clone());
        let since = |vm: &VmName| {
            self.drained_since
                .get(vm)
                .copied()
                .unwrap_or(self.time.passed)
        };
        self.drained_since = drained.map(|vm| (vm.clone(), since(&vm))).collect();
    }

    fn report(&mut self, t: usize) {
        let worker = &mut self.workers[t];
        worker.report = Usage {
            running: worker.tasks.len() as u32,
            boot: worker.boot,
            leaving: worker.leaving.is_some() && worker.knows,
            as_of: self.time.now(),
        };
    }

    /// Publishes a list that is newer than the latest one.
    fn publish_list(&mut self) {
        self.time.passed += Duration::from_millis(1);
        let listed = |(t, worker): (usize, &Worker)| ListedTarget {
            vm: vm_name(t),
            address: ([127, 0, 0, 1], 9000).into(),
            leaving: worker.leaving.is_some(),
        };
        let list = self.workers.iter().enumerate().map(listed);
        self.lists.push((list.collect(), self.time.passed));
    }

    /// P9: no start on a target that has been leaving or draining for longer than `bound`. A
    /// target that leaves without knowing it is closed by the list only, whose lag is not ours.
    fn check_closing(&self, t: usize, bound: Duration) {
        let worker = &self.workers[t];
        let left = worker.leaving.filter(|_| worker.knows);
        let drained = self.drained_since.get(&vm_name(t)).copied();
        for since in [left, drained].into_iter().flatten() {
            let passed = self.time.passed.saturating_sub(since);
            assert!(passed <= bound, "start on target {t} after {passed:?}");
        }
    }

    fn deliver(&mut self, index: usize) {
        if self.network.is_empty() {
            return;
        }
        let message = self.network.remove(index % self.network.len());
        let now = self.time.passed;
        match message {
            Message::Start {
                target,
                lease_end,
                request,
            } => {
                let worker = &mut self.workers[target];
                if worker.holder(now) == Some(request.by) && now < lease_end {
                    worker.tasks.push(request);
                    self.started += 1;
                    self.check_closing(target, CLOSED_AFTER + LEASE);
                }
            }
            Message::Reboot(Reboot { target, by, boot }) => {
                let worker = &mut self.workers[target];
                if worker.holder(now) == Some(by) && worker.boot == boot {
                    let cut = worker.tasks.len();
                    assert_eq!(cut, 0, "the reboot of target {target} cut {cut} requests");
                    (worker.boot, worker.lease) = (worker.boot + 1, None);
                    self.reboots += 1;
                }
            }
        }
    }

    /// Sends a reboot that is on its way a second time.
    fn repeat(&mut self, index: usize) {
        let reboots = self.network.iter().filter_map(|message| match message {
            Message::Reboot(reboot) => Some(*reboot),
            Message::Start { .. } => None,
        });
        let reboots: Vec<_> = reboots.collect();
        if let Some(reboot) = reboots.get(index % reboots.len().max(1)) {
            self.network.push(Message::Reboot(*reboot));
        }
    }

    /// Grants a drain: of the pool's open wave, of a new wave when that one is through, or for a
    /// move.
    fn grant(&mut self, t: usize, wave: bool) {
        let Some(record) = self.judge.state().vm(&vm_name(t)).cloned() else {
            return;
        };
        let vm = vm_name(t);
        if !wave {
            let next = (0..3).map(pool_name).find(|pool| *pool != record.pool);
            let to = next.expect("there are three pools");
            let plan = self.judge.state().plan();
            let purpose = Purpose::Move { to, plan };
            return self.append(Change::GrantDrain { vm, purpose });
        }
        let waves = self.judge.state().waves();
        let open = { waves }.find(|(_, wave)| wave.pools.contains(&record.pool));
        let due = open.filter(|(_, wave)| record.is_due(wave.started));
        let (open, due) = (open.map(|(id, _)| id), due.map(|(id, _)| id));
        self.ids += 1;
        let id = due.unwrap_or(WaveId::from_number(self.ids));
        if due.is_none() {
            if let Some(wave) = open {
                self.append(Change::EndWave { wave });
            }
            self.append(Change::StartWave {
                wave: id,
                command: RecordId::from_number(1),
                pools: [record.pool].into(),
                bound: FailureBound::default(),
            });
        }
        let purpose = Purpose::Wave(id);
        self.append(Change::GrantDrain { vm, purpose });
    }

    /// Lets a target leave, or stay after all.
    fn leave(&mut self, t: usize, knows: bool) {
        let worker = &mut self.workers[t];
        let since = worker.leaving.is_none().then_some(self.time.passed);
        (worker.leaving, worker.knows) = (since, knows);
        self.publish_list();
    }

    fn replace(&mut self, e: usize) {
        self.ids += 1;
        self.entries[e] = entry(self.ids);
    }

    /// All entries do everything once, without faults.
    pub(crate) fn round(&mut self) {
        self.apply(&Op::Log(Fault::None));
        self.apply(&Op::Tick(1000));
        for _ in 0..self.network.len() {
            self.apply(&Op::Deliver(0));
        }
        for t in 0..TARGETS {
            self.apply(&Op::Finish(t));
            self.apply(&Op::Report(t));
        }
        for e in 0..ENTRIES {
            self.apply(&Op::SetPaused(e, false));
            for op in [Op::Probe(e), Op::ReadList(e, 0), Op::Follow(e, usize::MAX)] {
                self.apply(&op);
            }
            for t in 0..TARGETS {
                self.apply(&Op::Believe(e, t, true));
                self.apply(&Op::Lease(e, t));
            }
            self.apply(&Op::Drive(e));
            self.apply(&Op::Load(e));
            for t in 0..TARGETS {
                self.apply(&Op::Start(e, t));
            }
        }
    }

    /// Ends all faults and expects all drains to end and all targets that stay to be open.
    pub(crate) fn heal(&mut self) {
        for worker in &mut self.workers {
            worker.leaving = None;
        }
        self.publish_list();
        for _ in 0..200 {
            self.round();
            let entries = self.entries.iter();
            let open = entries.flat_map(|entry| entry.loaded.pools());
            let open: usize = open.map(|(_, targets)| targets.len()).sum();
            if self.judge.state().drains().count() == 0 && open == TARGETS {
                return;
            }
        }
        let drains: Vec<_> = self.judge.state().drains().collect();
        panic!("drains don't end or targets don't open: {drains:#?}");
    }
}

fn in_flight(membership: &Membership, now: std::time::Instant) -> u32 {
    (0..TARGETS)
        .map(|t| membership.target_view(&vm_name(t), now).in_flight)
        .sum()
}

impl Worker {
    fn holder(&self, passed: Duration) -> Option<Incarnation> {
        self.lease
            .filter(|(_, end)| passed < *end)
            .map(|(holder, _)| holder)
    }
}

/// The machine of a world under the operations that `R` draws.
#[derive(Debug)]
pub(crate) struct Machine<R>(PhantomData<R>);

impl<R> StateMachineTest for Machine<R>
where
    R: ReferenceStateMachine<State = (), Transition = Op>,
{
    type SystemUnderTest = TargetWorld;
    type Reference = R;

    fn init_test((): &()) -> TargetWorld {
        TargetWorld::new()
    }

    fn apply(mut world: TargetWorld, (): &(), op: Op) -> TargetWorld {
        world.apply(&op);
        world
    }

    /// Guards against drains that wait for ever, for instance after their driver was replaced, and
    /// against a view that keeps the promise by leaving targets closed.
    fn teardown(mut world: TargetWorld, (): ()) {
        world.heal();
    }
}
