//! P8 for claims and tickets: a non-idempotent request runs at most once.

#[path = "once/model.rs"]
mod model;
#[path = "once/world.rs"]
mod world;

use proptest_state_machine::StateMachineTest;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use self::model::Model;
use self::model::Op;
use self::world::RUNS;
use self::world::World;

use crate::fuzz;

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
    let config = fuzz::config(SEED, CASES);
    let result = fuzz::run::<Once>(&config, 50..400);
    let operations = OPERATIONS.load(Ordering::Relaxed);
    let runs = RUNS.load(Ordering::Relaxed);
    let settings = fuzz::describe(&config);
    println!("once_machine: {settings}, {operations} operations, {runs} runs");
    result.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(
        runs > u64::from(config.cases),
        "too few runs to prove anything"
    );
}
