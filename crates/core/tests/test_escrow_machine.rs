//! Promise P5: no team runs more than its upper limit.

#[path = "escrow/mod.rs"]
mod escrow;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::SystemTime;

use escrow::Op;
use escrow::World;
use lavenderhollow_core::escrow::Account;
use lavenderhollow_core::escrow::Change;
use lavenderhollow_core::escrow::Escrow;
use lavenderhollow_core::escrow::Meter;
use lavenderhollow_core::escrow::Rejection;
use lavenderhollow_core::fold::Context;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::record::Position;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use lavenderhollow_types::ZoneName;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::fuzz;

const SEED: u64 = 0x05e5_c801;
const CASES: u32 = 400;

struct Script;

impl ReferenceStateMachine for Script {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        prop_oneof![
            8 => work(),
            3 => configuration(),
            8 => allotment(),
            6 => faults(),
            2 => Just(Op::Sync),
            2 => Just(Op::Spread),
            2 => Just(Op::Rush),
        ]
        .boxed()
    }

    fn apply((): (), _op: &Op) {}
}

fn work() -> impl Strategy<Value = Op> {
    let (e, n) = (0..7u8, any::<u8>());
    prop_oneof![
        2 => e.clone().prop_map(Op::Start),
        4 => e.clone().prop_map(Op::Burst),
        2 => e.clone().prop_map(Op::Decide),
        2 => e.clone().prop_map(Op::Dispatch),
        2 => (e, n).prop_map(|(e, n)| Op::Finish(e, n)),
    ]
}

fn configuration() -> impl Strategy<Value = Op> {
    let e = 0..7u8;
    prop_oneof![
        1 => (0..16u8).prop_map(Op::Publish),
        3 => e.clone().prop_map(Op::Learn),
        3 => e.clone().prop_map(Op::MirrorFleet),
        3 => e.clone().prop_map(Op::MirrorZone),
        3 => e.prop_map(Op::Read),
    ]
}

fn allotment() -> impl Strategy<Value = Op> {
    let (e, n) = (0..7u8, 1..12u8);
    prop_oneof![
        (e.clone(), 0..2u8, n.clone()).prop_map(|(e, z, n)| Op::AllotZone(e, z, n)),
        e.clone().prop_map(Op::Fund),
        (e.clone(), n.clone()).prop_map(|(e, n)| Op::Allot(e, n)),
        (e.clone(), e.clone(), n.clone()).prop_map(|(e, to, n)| Op::Give(e, to, n)),
        (e.clone(), e.clone(), n.clone()).prop_map(|(e, to, n)| Op::Hand(e, to, n)),
        (e.clone(), e.clone(), n.clone()).prop_map(|(e, to, n)| Op::Late(e, to, n)),
        (e.clone(), 1..6u8).prop_map(|(e, n)| Op::Move(e, n)),
        (e.clone(), n.clone()).prop_map(|(e, n)| Op::GiveBack(e, n)),
        (e.clone(), n).prop_map(|(e, n)| Op::Release(e, n)),
        (e.clone(), prop::option::of(0..2u8)).prop_map(|(e, to)| Op::Settle(e, to)),
        e.prop_map(Op::Read),
    ]
}

fn faults() -> impl Strategy<Value = Op> {
    let e = 0..7u8;
    prop_oneof![
        3 => (e.clone(), 0..8u8).prop_map(|(e, n)| Op::Repeat(e, n)),
        2 => (0..3u8, any::<Option<bool>>()).prop_map(|(s, fault)| Op::Fault(s, fault)),
        1 => e.clone().prop_map(Op::Pause),
        2 => e.clone().prop_map(Op::Resume),
        1 => e.clone().prop_map(Op::Kill),
        2 => (e.clone(), e.clone()).prop_map(|(e, victim)| Op::Replace(e, victim)),
        2 => (e.clone(), 1..3u8).prop_map(|(e, n)| Op::Stale(e, n)),
        1 => (0..2u8).prop_map(Op::Join),
        3 => (1..50u16).prop_map(Op::Advance),
        1 => (60..700u16).prop_map(Op::Advance),
        3 => (e.clone(), e).prop_map(|(e, victim)| Op::Reclaim(e, victim)),
    ]
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Script;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), op: Op) -> World {
        world.apply(op);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }
}

/// Guards against overshoot of a limit by lost answers, duplicates, races, pauses, replaced
/// holders, reclaims and limits that change.
#[test]
fn escrow_machine() {
    let config = fuzz::config(SEED, CASES);
    println!("escrow_machine: {}", fuzz::describe(&config));
    fuzz::run::<Machine>(&config, 50..200).unwrap_or_else(|failure| panic!("{failure}"));
}

/// Guards against an escrow that is safe only because it hands out nothing.
#[test]
fn whole_limit_is_usable_after_a_reclaim() {
    let mut world = World::new();
    let ops = [
        Op::AllotZone(0, 0, 1),
        Op::Sync,
        Op::Allot(0, 6),
        Op::Allot(1, 6),
        Op::Sync,
        Op::Give(0, 2, 3),
        Op::Sync,
        Op::Kill(0),
        Op::Advance(71),
        Op::Reclaim(2, 0),
        Op::Sync,
        Op::Allot(2, 3),
        Op::Sync,
    ];
    for op in ops
        .into_iter()
        .chain([1, 2, 3].repeat(13).into_iter().map(Op::Start))
    {
        world.apply(op);
        world.check();
    }
    assert_eq!(world.running(), 12);
}

/// Guards against a start that passes a gift in another thread: the giver would run on slots that
/// the receiver owns.
#[test]
fn gift_excludes_concurrent_starts() {
    for round in 0..200 {
        let meter = Meter::default();
        let account = Account {
            credited: 8,
            ..Account::default()
        };
        meter.read(account, &[]);
        let stop = AtomicBool::new(false);
        std::thread::scope(|scope| {
            for _ in 0..3 {
                scope.spawn(|| {
                    // Bounded, so that a failed assertion ends the test.
                    for _ in 0..100_000 {
                        drop((meter.try_take(), meter.try_take(), meter.try_take()));
                        if stop.load(Ordering::Relaxed) {
                            break;
                        }
                    }
                });
            }
            let mut given = 0;
            for id in 0..8 {
                let gift = meter.give(RecordId::from_number(id), 1);
                given += gift.map_or(0, |gift| gift.amount);
                for _ in 0..50 {
                    let used = u64::from(meter.used());
                    assert!(
                        used + given <= 8,
                        "round {round}: {used} used, {given} given"
                    );
                }
            }
            stop.store(true, Ordering::Relaxed);
        });
    }
}

/// Guards against racing operators' mirrors that arrive in the wrong order.
#[test]
fn older_configuration_version_has_no_effect() {
    let mut escrow = Escrow::<ZoneName>::default();
    let cx = Context {
        position: Position {
            offset: Offset::new(0),
            time: SystemTime::UNIX_EPOCH,
        },
        id: RecordId::from_number(1),
        actor: Incarnation::from_number(1),
    };
    let mut set = |limit, version| {
        let (team, version, withheld) = (escrow::team(), Version::new(version), 0);
        escrow.apply(
            &cx,
            &Change::SetLimit {
                team,
                limit,
                version,
                withheld,
            },
        )
    };
    assert!(set(5, 2).is_ok());
    assert_eq!(set(12, 1), Err(Rejection::OldVersion(Version::new(2))));
    assert_eq!(set(12, 2), Err(Rejection::OldVersion(Version::new(2))));
    assert_eq!(escrow.teams[&escrow::team()].limit, 5);
}
