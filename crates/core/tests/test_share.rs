//! Shares of a full pool, and which transfers the rebalancer asks for.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_config::Resources;
use lavenderhollow_core::escrow::HolderDemand;
use lavenderhollow_core::escrow::Rebalancer;
use lavenderhollow_core::escrow::Step;
use lavenderhollow_core::share::Amount;
use lavenderhollow_core::share::Shares;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::TeamName;

fn team(name: &str) -> TeamName {
    TeamName::new(name).unwrap()
}

fn pool() -> Amount {
    Amount {
        slots: 80,
        milli_cores: 320_000,
        memory_mib: 640_000,
        accelerators: 0,
    }
}

fn size(milli_cores: u32, memory_mib: u32) -> Amount {
    Amount::request(&Resources {
        milli_cores,
        memory_mib,
        accelerators: 0,
    })
}

/// Starts requests of waiting teams until `slots` run, and counts them.
fn fill(shares: &mut Shares, slots: u64, sizes: &[(&str, Amount)]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for _ in 0..slots {
        let Some(next) = shares.order().next().cloned() else {
            break;
        };
        let (name, amount) = sizes
            .iter()
            .find(|(name, _)| *name == next.as_str())
            .unwrap();
        shares.started(&next, amount);
        *counts.entry((*name).to_owned()).or_default() += 1;
    }
    counts
}

/// Guards against shares that ignore the weights.
#[test]
fn full_pool_is_divided_by_weight() {
    let mut shares = Shares::new(pool());
    shares.set_weight(&team("large"), 3);
    let sizes = [("large", size(1000, 1000)), ("small", size(1000, 1000))];
    for (name, _) in &sizes {
        shares.set_waiting(&team(name), true);
    }
    let counts = fill(&mut shares, 80, &sizes);
    assert_eq!(
        counts,
        BTreeMap::from([("large".into(), 60), ("small".into(), 20)])
    );
}

/// Guards against a measure by slots alone, under which large requests take most of the memory.
#[test]
fn dominant_resource_counts() {
    let mut shares = Shares::new(pool());
    let sizes = [("cores", size(1000, 1000)), ("memory", size(1000, 32_000))];
    for (name, _) in &sizes {
        shares.set_waiting(&team(name), true);
    }
    let counts = fill(&mut shares, 28, &sizes);
    assert_eq!(
        counts,
        BTreeMap::from([("cores".into(), 22), ("memory".into(), 6)])
    );
}

/// Guards against capacity that idles while a team waits, and against a team that is held to its
/// past use: what others run elsewhere and what ended counts.
#[test]
fn idle_share_goes_to_waiting_teams() {
    let mut shares = Shares::new(pool());
    let amount = size(1000, 1000);
    shares.set_waiting(&team("a"), true);
    let sizes = [("a", amount), ("b", amount)];
    assert_eq!(fill(&mut shares, 70, &sizes)["a"], 70);
    shares.set_waiting(&team("b"), true);
    assert_eq!(
        fill(&mut shares, 10, &sizes),
        BTreeMap::from([("b".into(), 10)])
    );
    shares.set_elsewhere(
        &team("b"),
        Amount {
            slots: 75,
            ..Amount::default()
        },
    );
    assert_eq!(shares.order().next(), Some(&team("a")));
    for _ in 0..10 {
        shares.finished(&team("b"), &amount);
    }
    shares.set_elsewhere(&team("b"), Amount::default());
    assert_eq!(shares.order().next(), Some(&team("b")));
}

fn demand(holder: u128, usable: u64, used: u64, waiting: u64) -> HolderDemand<Incarnation> {
    HolderDemand {
        holder: Incarnation::from_number(holder),
        usable,
        used,
        waiting,
    }
}

/// Guards against slots that move away from a holder during a short pause and back again, and
/// against slots that stay stranded after a long one.
#[test]
fn rebalancer_waits_out_a_short_pause() {
    let mut rebalancer = Rebalancer::new(Duration::from_secs(10));
    let start = Instant::now();
    let busy = [demand(1, 10, 10, 0), demand(2, 10, 10, 6)];
    assert_eq!(rebalancer.steps(start, 0, &busy), []);
    let paused = [demand(1, 10, 0, 0), demand(2, 10, 10, 6)];
    assert_eq!(
        rebalancer.steps(start + Duration::from_millis(500), 0, &paused),
        []
    );
    let later = rebalancer.steps(start + Duration::from_secs(60), 0, &paused);
    let [Step::Transfer { amount, .. }] = later[..] else {
        panic!("expected one transfer, got {later:?}");
    };
    assert_eq!(amount, 6);
}

/// Guards against transfers while a part of the limit is not allotted to anyone.
#[test]
fn rebalancer_uses_the_unallotted_part_first() {
    let mut rebalancer = Rebalancer::new(Duration::from_secs(10));
    let steps = rebalancer.steps(
        Instant::now(),
        20,
        &[demand(1, 30, 0, 0), demand(2, 0, 0, 8)],
    );
    let to = Incarnation::from_number(2);
    assert_eq!(steps, [Step::Allot { to, amount: 9 }]);
}
