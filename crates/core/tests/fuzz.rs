//! The settings and the run that all state machine tests share.

use proptest::collection::SizeRange;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

/// The seed of machines that have no other.
pub(crate) const SEED: u64 = 20_261_204;

/// How long a failing case is made smaller.
const SHRINK_STEPS: u32 = 20_000;

/// Returns the settings of a machine: a fixed seed and number of cases, so that each run gives the
/// same verdict. `FUZZ_SEED` and `FUZZ_CASES` make another or a longer run.
pub(crate) fn config(seed: u64, cases: u32) -> Config {
    Config {
        cases: variable("FUZZ_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(variable("FUZZ_SEED").unwrap_or(seed)),
        failure_persistence: None,
        max_shrink_iters: SHRINK_STEPS,
        ..Config::default()
    }
}

fn variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    let text = std::env::var(name).ok()?;
    let value = text.parse().ok();
    Some(value.unwrap_or_else(|| panic!("{name}: {text:?} is not a whole number")))
}

/// Describes the settings, to be printed with the result.
pub(crate) fn describe(config: &Config) -> String {
    let RngSeed::Fixed(seed) = config.rng_seed else {
        unreachable!("the seed is fixed");
    };
    format!("seed {seed}, {} cases", config.cases)
}

/// Runs a machine over sequences of operations of this length.
pub(crate) fn run<T: StateMachineTest>(
    config: &Config,
    length: impl Into<SizeRange>,
) -> Result<(), String> {
    let strategy = <T::Reference as ReferenceStateMachine>::sequential_strategy(length);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, operations, seen)| {
        T::test_sequential(config.clone(), state, operations, seen);
        Ok(())
    });
    result.map_err(|failure| failure.to_string())
}
