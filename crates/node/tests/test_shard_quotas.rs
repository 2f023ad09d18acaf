//! Tests of the split of the teams' limits.

use std::collections::BTreeMap;

use lavenderhollow_node::ShardId;
use lavenderhollow_node::ShardQuotas;
use lavenderhollow_node::ShardUsage;
use lavenderhollow_node::TeamReport;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Resources;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::proptest;

const LIMIT: u64 = 3_200;
const SHARDS: usize = 3;

fn cpu(cpu: u64) -> Resources {
    Resources {
        cpu,
        ..Resources::default()
    }
}

fn limits(cpu_limit: u64) -> BTreeMap<Name, Resources> {
    [("team".into(), cpu(cpu_limit))].into()
}

/// What a shard has in force, and the last answer that it has not taken in yet.
#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    in_force: Option<Resources>,
    under_way: Option<Resources>,
}

fn report(shard: usize, holder: Holder, used: u64, pending: u64) -> ShardUsage {
    ShardUsage {
        shard: ShardId(u16::try_from(shard).unwrap()),
        fencing_token: 1,
        teams: vec![TeamReport {
            team: "team".into(),
            used: cpu(used),
            pending: cpu(pending),
            quota: holder.in_force,
        }],
        pools: Vec::new(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against parts that add up to more than the limit while answers are late or lost.
    #[test]
    fn the_parts_in_force_never_exceed_the_limit(
        ops in vec((0..SHARDS, 0u64..4_000, 0u64..4_000, 0u8..3), 1..80)
    ) {
        let mut quotas = ShardQuotas::default();
        let mut holders = [Holder::default(); SHARDS];
        for (shard, used, pending, fate) in ops {
            // An answer that is under way arrives before the next report, or never.
            if let Some(part) = holders[shard].under_way.take()
                && fate == 1
            {
                holders[shard].in_force = Some(part);
            }
            let used = used.min(holders[shard].in_force.unwrap_or_default().cpu);
            let report = report(shard, holders[shard], used, pending);
            let part = quotas.update(&limits(LIMIT), SHARDS, &report).quotas[0].1;
            match fate {
                0 => holders[shard].in_force = Some(part),
                _ => holders[shard].under_way = Some(part),
            }
            let total: u64 = holders.iter().filter_map(|h| h.in_force).map(|r| r.cpu).sum();
            // A part of one thousandth of a core stands for nothing.
            assert!(total <= LIMIT + SHARDS as u64, "{holders:?}");
        }
    }
}

/// Guards against a team without a limit that is held at nothing.
#[test]
fn no_limit_stays_no_limit() {
    let mut quotas = ShardQuotas::default();
    let report = report(0, Holder::default(), 0, 500);
    let part = quotas.update(&limits(0), SHARDS, &report).quotas[0].1;
    assert_eq!(part.cpu, 0);
    assert!(cpu(1_000_000).within_limit(part));
}

/// Guards against a successor that hands out again what its predecessor has handed out.
#[test]
fn a_restored_part_counts() {
    let mut quotas = ShardQuotas::default();
    quotas.restore(ShardId(0), vec![("team".into(), cpu(3_000))]);
    let report = report(1, Holder::default(), 0, 2_000);
    let part = quotas.update(&limits(LIMIT), SHARDS, &report).quotas[0].1;
    assert_eq!(part.cpu, 200);
}
