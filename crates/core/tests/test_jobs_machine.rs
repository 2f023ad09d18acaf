//! P8 for durable jobs: a non-idempotent job runs at most once, and "not run" is true.

#[path = "jobs/model.rs"]
mod model;
#[path = "jobs/world.rs"]
mod world;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest_state_machine::StateMachineTest;

use self::model::Model;
use self::model::Op;
use self::world::RUNS;
use self::world::TAKEN;
use self::world::World;

use crate::fuzz;

const SEED: u64 = 8_002;
const CASES: u32 = 300;

static OPERATIONS: AtomicU64 = AtomicU64::new(0);

struct Jobs;

impl StateMachineTest for Jobs {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), op: Op) -> World {
        OPERATIONS.fetch_add(1, Ordering::Relaxed);
        match op {
            Op::Submit { job, entry } => world.submit(job, entry),
            Op::Start { entry } => world.start(entry),
            Op::Sync { entry } => world.sync(entry),
            Op::Dispatch { entry, target } => world.dispatch(entry, target),
            Op::TakeOver { entry, owner } => world.take_over(entry, owner),
            Op::Cancel { job } => world.cancel(job),
            Op::Repeat { record } => world.repeat(record),
            Op::Deliver => world.deliver(),
            Op::Kill { entry, source } => world.kill(entry, source),
            Op::Pause { entry, paused } => world.entries[entry].paused = paused,
            Op::Tick { seconds } => world.elapsed += Duration::from_secs(seconds),
            Op::JumpWall { entry, seconds } => world.entries[entry].skew = seconds,
            Op::JumpLog { seconds } => world.log_skew = seconds,
            Op::Fault(fault) => world.log.fault = fault,
        }
        world
    }
}

#[test]
fn jobs_machine() {
    let config = fuzz::config(SEED, CASES);
    let result = fuzz::run::<Jobs>(&config, 50..400);
    let operations = OPERATIONS.load(Ordering::Relaxed);
    let runs = RUNS.load(Ordering::Relaxed);
    let taken = TAKEN.load(Ordering::Relaxed);
    let settings = fuzz::describe(&config);
    println!(
        "jobs_machine: {settings}, {operations} operations, {runs} runs, \
         {taken} takeovers"
    );
    result.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(
        runs > 0 && taken > 0,
        "too little happened to prove anything"
    );
}
