//! P4 and P11: a withdrawn key stops working within seconds, and an accepted configuration is in
//! force everywhere within seconds and never reverts.

#[path = "support/config_world.rs"]
mod config_world;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use config_world::ENTRIES;
use config_world::KEYS;
use config_world::World;
use config_world::ZONES;
use config_world::document;
use config_world::key;
use lavenderhollow_config::Config;
use lavenderhollow_core::configuration::ConfigChange;
use lavenderhollow_core::configuration::ConfigState;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::follower::Follower;
use lavenderhollow_core::follower::Page;
use lavenderhollow_core::follower::Status;
use lavenderhollow_core::freshness::Freshness;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Position;
use lavenderhollow_core::record::Record;
use lavenderhollow_testing::Fault;
use lavenderhollow_types::EntryName;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use serde_json::json;

use crate::fuzz;

const SEED: u64 = 20_261_204;
const CASES: u32 = 32;
const LENGTH: usize = 120;
/// The promise of P4 and P11.
const SECONDS: Duration = Duration::from_secs(8);

static OPERATIONS: AtomicU64 = AtomicU64::new(0);
static CHECKS: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Debug)]
enum Operation {
    Run(u32),
    Sleep(u32),
    Look(usize, usize),
    Publish(usize, usize, usize),
    Withdraw(usize, usize),
    Add(usize, usize),
    Patch(usize, u32),
    LogFault(u8),
    Network(u64),
    CutPeers(usize),
    CutLog(usize),
    CutBoth(usize),
    Heal,
    List(bool),
    Kill(usize),
    KillAll,
    Start,
    Jump(usize, u64),
}

fn operation() -> BoxedStrategy<Operation> {
    let entry = 0..ENTRIES;
    prop_oneof![
        12 => (1..40_u32).prop_map(Operation::Run),
        2 => (1..900_u32).prop_map(Operation::Sleep),
        2 => (0..2_usize, entry.clone()).prop_map(|(o, e)| Operation::Look(o, e)),
        2 => (0..2_usize, entry.clone(), 0..KEYS).prop_map(|(o, e, k)| Operation::Publish(o, e, k)),
        4 => (entry.clone(), 0..KEYS).prop_map(|(e, k)| Operation::Withdraw(e, k)),
        4 => (entry.clone(), 0..KEYS).prop_map(|(e, k)| Operation::Add(e, k)),
        1 => (entry.clone(), 1..9_u32).prop_map(|(e, n)| Operation::Patch(e, n)),
        3 => (0..3_u8).prop_map(Operation::LogFault),
        1 => prop_oneof![Just(100), Just(3_000), Just(20_000)].prop_map(Operation::Network),
        2 => (0..ZONES).prop_map(Operation::CutPeers),
        2 => (0..ZONES).prop_map(Operation::CutLog),
        3 => (0..ZONES).prop_map(Operation::CutBoth),
        2 => Just(Operation::Heal),
        1 => any::<bool>().prop_map(Operation::List),
        1 => entry.clone().prop_map(Operation::Kill),
        1 => Just(Operation::KillAll),
        3 => Just(Operation::Start),
        1 => (entry, 0..7200_u64).prop_map(|(e, s)| Operation::Jump(e, s)),
    ]
    .boxed()
}

struct Script;

impl ReferenceStateMachine for Script {
    type State = u64;
    type Transition = Operation;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Operation> {
        operation()
    }

    fn apply(state: u64, _: &Operation) -> u64 {
        state
    }
}

/// Knows the promises only: it sees what entries accepted, which version each has and which keys
/// each admits.
#[derive(Default)]
struct Oracle {
    documents: BTreeMap<Version, Arc<Config>>,
    effects: HashMap<RecordId, Version>,
    shown: HashMap<EntryName, Version>,
    /// Since when a running entry has had each version or a greater one. Nobody can keep a promise
    /// about a change that only dead entries knew.
    known: BTreeMap<Version, Instant>,
}

impl Oracle {
    fn check(&mut self, world: &World) {
        self.see_accepted(world);
        let nodes = || world.nodes.iter().flatten();
        let greatest = nodes().map(config_world::Node::version).max();
        let greatest = greatest.unwrap_or_default();
        self.known.retain(|version, _| *version <= greatest);
        for version in self
            .documents
            .range(..=greatest)
            .map(|(version, _)| version)
        {
            self.known.entry(*version).or_insert(world.now);
        }
        let ripe = self.known.iter().rev();
        let mut ripe = ripe.filter(|(_, since)| **since + SECONDS < world.now);
        let settled = ripe
            .next()
            .map_or(Version::default(), |(version, _)| *version);
        let recent: Vec<_> = self.documents.range(settled..).map(|(_, d)| d).collect();
        let allowed = |number: &usize| recent.iter().any(|config| has_key(config, *number));
        let allowed: BTreeSet<usize> = (0..KEYS).filter(allowed).collect();
        for node in nodes() {
            self.check_version(node, world, settled);
            let admitted = node.admitted(world.now);
            let name = &node.name;
            assert!(
                admitted.is_subset(&allowed),
                "{name} admits a withdrawn key"
            );
        }
        CHECKS.fetch_add(1, Ordering::Relaxed);
    }

    fn check_version(&mut self, node: &config_world::Node, world: &World, settled: Version) {
        let (name, now) = (&node.name, node.version());
        let before = self.shown.insert(name.clone(), now).unwrap_or_default();
        assert!(before <= now, "{name} reverts from {before} to {now}");
        if now > Version::default() {
            let same = self.documents.get(&now) == Some(&node.current.load().config);
            assert!(same, "{name} has another document as version {now}");
        }
        let calm = world.calm.max(node.started) + SECONDS < world.now;
        if calm && settled > Version::default() {
            assert!(now >= settled, "{name} has {now}, not yet {settled}");
            let fresh = node.fresh.check(world.now).is_ok();
            assert!(fresh || world.history_lost(), "{name} is not fresh");
            let view = node.fresh.in_force(settled, world.now);
            assert!(
                view.is_everywhere(),
                "{name} does not see {settled} in force: {view:?}"
            );
        }
    }

    fn see_accepted(&mut self, world: &World) {
        for accepted in &world.accepted {
            let version = accepted.version;
            let known = self
                .documents
                .entry(version)
                .or_insert_with(|| Arc::clone(&accepted.config));
            assert_eq!(
                *known, accepted.config,
                "two documents of version {version}"
            );
            let effect = *self.effects.entry(accepted.record.id).or_insert(version);
            assert_eq!(effect, version, "a record took effect twice");
            let before = self.documents.range(..version).next_back();
            let before = before.map_or(Version::default(), |(version, _)| *version);
            let expected = accepted.record.expected;
            assert!(
                expected.is_none_or(|seen| seen == before),
                "two operators won"
            );
        }
    }
}

fn has_key(config: &Config, number: usize) -> bool {
    let name = format!("k{number}");
    let mut teams = config.teams.values();
    teams.any(|team| team.keys.contains_key(&name))
}

struct Machine {
    world: World,
    oracle: Oracle,
    operators: [(Version, Arc<Config>); 2],
}

impl Machine {
    fn run(&mut self, steps: u32, step: Duration) {
        let oracle = &mut self.oracle;
        self.world
            .run(steps, step, &mut |world| oracle.check(world));
        self.world.accepted.clear();
    }

    /// Publishes the document that the operator saw last, with one key more or less.
    fn publish(&mut self, operator: usize, entry: usize, number: usize) {
        let (version, config) = &self.operators[operator];
        let mut keys: BTreeSet<usize> = (0..KEYS).collect();
        keys.retain(|key| has_key(config, *key));
        if !keys.remove(&number) {
            keys.insert(number);
        }
        let change = ConfigChange::Publish(Arc::new(document(&keys)));
        self.world.submit(entry, Some(*version), change);
    }

    fn heal(&mut self) {
        self.world.cut_peers = [false; ZONES];
        self.world.cut_log = [false; ZONES];
        self.world.log.fault = Fault::None;
        self.world.delay = Duration::from_millis(100);
        self.world.listed = true;
        self.start();
    }

    fn start(&mut self) {
        for number in 0..ENTRIES {
            if self.world.nodes[number].is_none() {
                self.world.start(number);
            }
        }
    }

    fn operate(&mut self, operation: &Operation) {
        let team = || TeamName::new("t").unwrap();
        let world = &mut self.world;
        match *operation {
            Operation::Run(steps) => self.run(steps, Duration::from_millis(250)),
            Operation::Sleep(seconds) => self.run(seconds.div_ceil(2), Duration::from_secs(2)),
            Operation::Look(operator, entry) => {
                if let Some(node) = &world.nodes[entry] {
                    let seen = node.current.load();
                    self.operators[operator] = (seen.version, Arc::clone(&seen.config));
                }
            }
            Operation::Publish(operator, entry, number) => self.publish(operator, entry, number),
            Operation::Withdraw(entry, number) => {
                let (team, key) = (team(), format!("k{number}"));
                world.submit(entry, None, ConfigChange::WithdrawKey { team, key });
            }
            Operation::Add(entry, number) => {
                let (team, hash) = (team(), key(number).hash());
                let key = format!("k{number}");
                world.submit(entry, None, ConfigChange::AddKey { team, key, hash });
            }
            Operation::Patch(entry, share) => {
                let patch = json!({"teams": {"t": {"share": share}}});
                world.submit(entry, None, ConfigChange::Patch(patch));
            }
            Operation::LogFault(0) => world.log.fault = Fault::Down,
            Operation::LogFault(1) => world.log.fault = Fault::AnswerLost,
            Operation::LogFault(_) => world.log.fault = Fault::None,
            Operation::Network(millis) => world.delay = Duration::from_millis(millis),
            Operation::CutPeers(zone) => world.cut_peers[zone] ^= true,
            Operation::CutLog(zone) => world.cut_log[zone] ^= true,
            Operation::CutBoth(zone) => {
                world.cut_peers[zone] = true;
                world.cut_log[zone] = true;
            }
            Operation::Heal => self.heal(),
            Operation::List(listed) => world.listed = listed,
            Operation::Kill(entry) => world.nodes[entry] = None,
            Operation::KillAll => world.nodes.iter_mut().for_each(|node| *node = None),
            Operation::Start => self.start(),
            Operation::Jump(entry, seconds) => world.jump_wall(entry, Duration::from_secs(seconds)),
        }
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Script;

    fn init_test(seed: &u64) -> Self {
        let mut machine = Self {
            world: World::new(*seed),
            oracle: Oracle::default(),
            operators: Default::default(),
        };
        let first = Arc::new(document(&(0..2).collect()));
        machine.world.submit(0, None, ConfigChange::Publish(first));
        machine.run(60, Duration::from_millis(250));
        machine
    }

    fn apply(mut machine: Self, _: &u64, operation: Operation) -> Self {
        OPERATIONS.fetch_add(1, Ordering::Relaxed);
        machine.operate(&operation);
        machine
    }

    fn teardown(mut machine: Self, _: u64) {
        machine.heal();
        machine.run(120, Duration::from_millis(250));
    }
}

#[test]
fn config_machine() {
    let config = fuzz::config(SEED, CASES);
    let result = fuzz::run::<Machine>(&config, 1..LENGTH);
    let settings = fuzz::describe(&config);
    println!(
        "config_machine: {settings}, {} operations, {} checks",
        OPERATIONS.load(Ordering::Relaxed),
        CHECKS.load(Ordering::Relaxed),
    );
    result.unwrap_or_else(|failure| panic!("{failure}"));
}

/// Guards against a snapshot that is used although a record after it is gone, against a late repeat
/// that takes effect after a rebuild, and against a record from a clock that is ahead.
#[test]
fn rebuild_keeps_what_was_accepted() {
    let start = Instant::now();
    let place = |offset: u64| Position {
        offset: Offset::new(offset),
        time: SystemTime::UNIX_EPOCH + Duration::from_secs(10_000),
    };
    let record = |id: u128, change: ConfigChange| {
        Item::Change(Record {
            id: RecordId::from_number(id),
            created: place(0).time + Duration::from_secs(if id == 9 { 700 } else { 0 }),
            actor: Incarnation::from_number(1),
            expected: None,
            change,
        })
    };
    let team = TeamName::new("t").unwrap();
    let withdraw = |number: usize| ConfigChange::WithdrawKey {
        team: team.clone(),
        key: format!("k{number}"),
    };
    let first = ConfigChange::Publish(Arc::new(document(&(0..3).collect())));
    let mut fold = Fold::<ConfigState>::default();
    fold.apply(place(0), &record(1, first));
    let early = Item::Snapshot(fold.clone());
    fold.apply(place(1), &record(2, withdraw(1)));
    fold.apply(place(2), &early);
    let mut follower = Follower::<ConfigState>::new(1, Duration::from_secs(100), start);
    let mut take = |offset: u64, item: Item<ConfigChange, Fold<ConfigState>>| {
        let item = serde_json::from_value(serde_json::to_value(item).unwrap()).unwrap();
        let page = Page {
            oldest: Offset::new(2),
            head: Offset::new(offset + 1),
            items: vec![(place(offset), item)],
        };
        follower.take(page, start);
        (follower.status(), follower.state().version().get())
    };
    assert_eq!(take(2, early), (Status::HistoryLost, 0));
    assert_eq!(take(3, Item::Snapshot(fold)), (Status::Following, 2));
    assert_eq!(take(4, record(2, withdraw(0))), (Status::Following, 2));
    assert_eq!(take(5, record(9, withdraw(0))), (Status::Following, 2));
    assert_eq!(take(6, record(3, withdraw(0))), (Status::Following, 7));
}

/// Guards against keyed work in an outage of the log while an entry was not heard, or has a newer
/// version that was not passed on.
#[test]
fn log_outage_needs_every_entry() {
    let now = Instant::now();
    let names = ["a", "b", "c"].map(|name| EntryName::new(name).unwrap());
    let zones = [0, 1, 1].map(config_world::zone);
    let mut entries: Vec<_> = (0..3)
        .map(|number| {
            let (name, zone) = (names[number].clone(), zones[number].clone());
            let mut entry = Freshness::new(name, zone, Duration::from_secs(5));
            entry.set_entries(names.iter().cloned().zip(zones.iter().cloned()));
            entry.installed(Version::new(1), zones.iter().cloned());
            entry
        })
        .collect();
    let mut tell = |from: usize, to: usize, newer: u64| {
        entries[from].noticed(Version::new(newer));
        let report = entries[from].report(now);
        entries[to].heard(&report, now);
        entries[0].check(now).is_ok()
    };
    assert!(!tell(1, 0, 1), "entry c was not heard");
    assert!(!tell(2, 1, 1), "entry a does not know that b heard c");
    assert!(tell(1, 0, 1), "every entry was heard");
    assert!(tell(1, 2, 1) && tell(2, 0, 1), "c speaks for its zone too");
    assert!(!tell(2, 0, 2), "entry c knows a newer version");
}
