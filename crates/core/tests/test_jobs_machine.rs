//! P8 for durable jobs: a non-idempotent job runs at most once, and "not run" is true.
//!
//! `JOBS_CASES` sets the number of cases for a longer run.

#[path = "jobs/model.rs"]
mod model;
#[path = "jobs/world.rs"]
mod world;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use self::model::Model;
use self::model::Op;
use self::world::RUNS;
use self::world::TAKEN;
use self::world::World;

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
    let cases = std::env::var("JOBS_CASES").map_or(CASES, |text| text.parse().unwrap());
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config.clone()).run(
        &Model::sequential_strategy(50..400usize),
        |((), ops, seen)| {
            Jobs::test_sequential(config.clone(), (), ops, seen);
            Ok(())
        },
    );
    let operations = OPERATIONS.load(Ordering::Relaxed);
    let runs = RUNS.load(Ordering::Relaxed);
    let taken = TAKEN.load(Ordering::Relaxed);
    println!(
        "jobs_machine: seed {SEED}, {cases} cases, {operations} operations, {runs} runs, \
         {taken} takeovers"
    );
    assert!(result.is_ok(), "{}", result.unwrap_err());
    assert!(
        runs > 0 && taken > 0,
        "too little happened to prove anything"
    );
}
