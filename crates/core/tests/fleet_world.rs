//! Settings and names that the machines of the fleet's modules share.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::maintenance::ListedVm;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Settings of a machine: a fixed seed and number of cases, so that each run gives the same
/// verdict. `FUZZ_SEED` and `FUZZ_CASES` make another or a longer run.
pub(crate) fn fuzz_config(machine: &str, cases: u32) -> Config {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seed = number("FUZZ_SEED").unwrap_or(20_261_204);
    let cases =
        number("FUZZ_CASES").map_or(cases, |cases| u32::try_from(cases).unwrap_or(cases as u32));
    println!("{machine}: seed {seed}, {cases} cases");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

/// The monotonic and the wall time of a world, which start together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorldTime {
    start: Instant,
    pub(crate) passed: Duration,
}

impl WorldTime {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            passed: Duration::from_secs(1000),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + self.passed
    }

    pub(crate) fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.passed
    }
}

pub(crate) fn vm_name(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).expect("valid name")
}

pub(crate) fn pool_name(index: usize) -> PoolName {
    PoolName::new(&format!("pool-{index}")).expect("valid name")
}

/// Returns a VM in one of three pools and two zones, four to a rack.
pub(crate) fn listed_vm(index: usize) -> ListedVm {
    ListedVm {
        vm: vm_name(index),
        zone: format!("zone-{}", index / 8 % 2)
            .parse()
            .expect("valid name"),
        rack: format!("rack-{}", index / 4).parse().expect("valid name"),
        pool: pool_name(index % 3),
        leaving: false,
    }
}
