//! P8 for claims and tickets: a non-idempotent request runs at most once.
//!
//! `ONCE_CASES` sets the number of cases for a longer run.

#[path = "once/model.rs"]
mod model;
#[path = "once/world.rs"]
mod world;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use self::model::Model;
use self::model::Op;
use self::world::RUNS;
use self::world::World;

const SEED: u64 = 8_001;
const CASES: u32 = 300;

static OPERATIONS: AtomicU64 = AtomicU64::new(0);

struct Once;

impl StateMachineTest for Once {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), op: Op) -> World {
        OPERATIONS.fetch_add(1, Ordering::Relaxed);
        let awake = |entry: usize| !world.entries[entry].paused;
        match op {
            Op::Submit {
                request,
                entry,
                ahead,
            } if awake(entry) => match request % 2 {
                0 => world.submit_key(request, entry, ahead),
                _ => world.submit_ticket(request, entry),
            },
            Op::Sync { entry, max } if awake(entry) => world.sync(entry, max),
            Op::Dispatch { entry, target } if awake(entry) => world.dispatch(entry, target),
            Op::Abandon { entry } if awake(entry) => world.abandon(entry),
            Op::Submit { .. } | Op::Sync { .. } | Op::Dispatch { .. } | Op::Abandon { .. } => {}
            Op::Repeat { record } if !world.appended.is_empty() => {
                let index = record % world.appended.len();
                world.append(world.appended[index].clone());
            }
            Op::Repeat { .. } => {}
            Op::Deliver => {
                if let Some((request, end)) = world.late.pop_front()
                    && world.time() < end
                {
                    world.oracle.run(request);
                }
            }
            Op::Kill { entry, source } => world.kill(entry, source),
            Op::Pause { entry } => world.entries[entry].paused = true,
            Op::Resume { entry } => world.entries[entry].paused = false,
            Op::Tick { seconds } => world.elapsed += Duration::from_secs(seconds),
            Op::JumpWall { entry, seconds } => world.entries[entry].skew = seconds,
            Op::JumpLog { seconds } => world.log_skew = seconds,
            Op::Fault(fault) => world.log.fault = fault,
        }
        world
    }
}

#[test]
fn once_machine() {
    let cases = std::env::var("ONCE_CASES").map_or(CASES, |text| text.parse().unwrap());
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config.clone()).run(
        &Model::sequential_strategy(50..400usize),
        |((), ops, seen)| {
            Once::test_sequential(config.clone(), (), ops, seen);
            Ok(())
        },
    );
    let operations = OPERATIONS.load(Ordering::Relaxed);
    let runs = RUNS.load(Ordering::Relaxed);
    println!("once_machine: seed {SEED}, {cases} cases, {operations} operations, {runs} runs");
    assert!(result.is_ok(), "{}", result.unwrap_err());
    assert!(runs > u64::from(cases), "too few runs to prove anything");
}
