//! P1 and P2: availability budgets hold through every wave, and a VM belongs to exactly one pool,
//! while entries, drivers, planners and operators race over one log with faults.

mod oracle;
mod world;

use lavenderhollow_testing::Fault;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use self::world::ENTRIES;
use self::world::VMS;
use self::world::World;
use crate::fuzz;

const CASES: u32 = 150;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Command {
    Start,
    Pause,
    Resume,
}

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Tick(u64),
    Follow(usize, usize),
    Drive(usize),
    Log(Fault),
    SetPaused(usize, bool),
    Kill(usize),
    Operator(usize, Command, u8, u8, bool),
    Configure(u32, u32, bool, bool),
    Install(usize),
    PlanMove(usize, usize, usize),
    StrayMove(usize, usize, usize, usize),
    StrayGrant(usize, usize, u8),
    Fail(usize),
    FailTouched,
    Recover(usize),
    Replace(usize),
    Work(usize, u32),
    PublishList,
    Repeat(usize),
    BreakReboots(bool),
}

#[derive(Debug)]
struct Ops;

impl ReferenceStateMachine for Ops {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let entry = 0..ENTRIES;
        let vm = 0..VMS;
        let command = prop_oneof![
            3 => Just(Command::Start),
            1 => Just(Command::Pause),
            2 => Just(Command::Resume)
        ];
        let fault = prop_oneof![
            3 => Just(Fault::None),
            1 => Just(Fault::Down),
            1 => Just(Fault::AnswerLost)
        ];
        let configure = (0..4u32, 1..3u32, prop::bool::weighted(0.8), any::<bool>());
        prop_oneof![
            8 => prop_oneof![9 => 100..3000u64, 1 => Just(700_000)].prop_map(Op::Tick),
            12 => (entry.clone(), 1..12usize).prop_map(|(e, n)| Op::Follow(e, n)),
            12 => entry.clone().prop_map(Op::Drive),
            3 => fault.prop_map(Op::Log),
            2 => (entry.clone(), any::<bool>()).prop_map(|(e, paused)| Op::SetPaused(e, paused)),
            1 => entry.clone().prop_map(Op::Kill),
            5 => (entry.clone(), command, 0..2u8, 0..4u8, any::<bool>())
                .prop_map(|(e, c, wave, id, any)| Op::Operator(e, c, wave, id, any)),
            2 => configure.prop_map(|(budget, racks, d, m)| Op::Configure(budget, racks, d, m)),
            2 => entry.clone().prop_map(Op::Install),
            3 => (entry.clone(), vm.clone(), 0..3usize)
                .prop_map(|(e, vm, to)| Op::PlanMove(e, vm, to)),
            4 => (entry.clone(), vm.clone(), 0..3usize, 0..3usize)
                .prop_map(|(e, vm, from, to)| Op::StrayMove(e, vm, from, to)),
            4 => (entry, vm.clone(), 0..2u8).prop_map(|(e, vm, w)| Op::StrayGrant(e, vm, w)),
            2 => vm.clone().prop_map(Op::Fail),
            1 => Just(Op::FailTouched),
            1 => vm.clone().prop_map(Op::Recover),
            1 => vm.clone().prop_map(Op::Replace),
            2 => (vm, 0..3u32).prop_map(|(vm, n)| Op::Work(vm, n)),
            4 => Just(Op::PublishList),
            2 => (0..200usize).prop_map(Op::Repeat),
            1 => any::<bool>().prop_map(Op::BreakReboots),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

#[derive(Debug)]
struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Ops;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), op: Op) -> World {
        world.apply(&op);
        world.judge();
        world
    }

    /// Guards against a machine that proves nothing because its waves never get on: after the
    /// faults end, every open wave must end.
    fn teardown(mut world: World, (): ()) {
        world.heal();
    }
}

#[test]
fn maintenance_machine() {
    let config = fuzz::config(fuzz::SEED, CASES);
    println!("maintenance_machine: {}", fuzz::describe(&config));
    fuzz::run::<Machine>(&config, 40..160).unwrap_or_else(|failure| panic!("{failure}"));
}
