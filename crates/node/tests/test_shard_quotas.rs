//! Tests of the division of the teams' limits into quotas for the shards.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

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

/// The quota that a shard applies, and the last response that it has not received yet.
#[derive(Clone, Copy, Debug, Default)]
struct ShardState {
    in_force: Option<Resources>,
    in_flight: Option<Resources>,
}

fn report(shard: usize, state: ShardState, used: u64, pending: u64) -> ShardUsage {
    ShardUsage {
        shard: ShardId(u16::try_from(shard).unwrap()),
        fencing_token: 1,
        teams: vec![TeamReport {
            team: "team".into(),
            used: cpu(used),
            pending: cpu(pending),
            next_unit: None,
            quota: state.in_force,
        }],
        pools: Vec::new(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against quotas that add up to more than the limit while responses are late or lost.
    #[test]
    fn quotas_in_force_never_exceed_the_limit(
        ops in vec((0..SHARDS, 0u64..4_000, 0u64..4_000, 0u8..3), 1..80)
    ) {
        let mut quotas = ShardQuotas::default();
    let now = Instant::now();
        let mut shard_states = [ShardState::default(); SHARDS];
        for (shard, used, pending, delivery) in ops {
            // A response in flight arrives before the next report or never.
            if let Some(quota) = shard_states[shard].in_flight.take()
                && delivery == 1
            {
                shard_states[shard].in_force = Some(quota);
            }
            let used = used.min(shard_states[shard].in_force.unwrap_or_default().cpu);
            let report = report(shard, shard_states[shard], used, pending);
            let quota = quotas.update(now, &limits(LIMIT), SHARDS, &report).quotas[0].1;
            match delivery {
                0 => shard_states[shard].in_force = Some(quota),
                _ => shard_states[shard].in_flight = Some(quota),
            }
            let total: u64 = shard_states.iter().filter_map(|s| s.in_force).map(|r| r.cpu).sum();
            // A quota of one millicore stands for no capacity.
            assert!(total <= LIMIT + SHARDS as u64, "{shard_states:?}");
        }
    }
}

/// Guards against a team without a limit that can't run anything.
#[test]
fn a_limit_of_zero_stays_unlimited() {
    let mut quotas = ShardQuotas::default();
    let now = Instant::now();
    let report = report(0, ShardState::default(), 0, 500);
    let quota = quotas.update(now, &limits(0), SHARDS, &report).quotas[0].1;
    assert_eq!(quota.cpu, 0);
    assert!(cpu(1_000_000).within_limit(quota));
}

/// Guards against a successor that grants capacity that an earlier owner has granted already.
#[test]
fn restored_quotas_count_against_the_limit() {
    let mut quotas = ShardQuotas::default();
    let now = Instant::now();
    quotas.restore(ShardId(0), vec![("team".into(), cpu(3_000))]);
    let report = report(1, ShardState::default(), 0, 2_000);
    let quota = quotas.update(now, &limits(LIMIT), SHARDS, &report).quotas[0].1;
    assert_eq!(quota.cpu, 200);
}

/// Guards against starts beyond a limit that was lowered: the tasks that a shard runs beyond its
/// smaller quota go on, and still count.
#[test]
fn tasks_beyond_a_smaller_quota_count_against_the_limit() {
    let mut quotas = ShardQuotas::default();
    let now = Instant::now();
    let busy = |quota| ShardState {
        in_force: Some(cpu(quota)),
        in_flight: None,
    };
    quotas.update(now, &limits(LIMIT), SHARDS, &report(0, busy(0), 0, 2_000));
    let lowered = limits(800);
    for _ in 0..3 {
        quotas.update(now, &lowered, SHARDS, &report(0, busy(133), 2_000, 0));
        let report = report(1, busy(133), 0, 1_000);
        let quota = quotas.update(now, &lowered, SHARDS, &report).quotas[0].1;
        assert!(quota.cpu <= 1, "{quota:?}");
    }
    quotas.update(now, &lowered, SHARDS, &report(0, busy(133), 0, 0));
    let report = report(1, busy(1), 0, 1_000);
    let quota = quotas.update(now, &lowered, SHARDS, &report).quotas[0].1;
    assert_eq!(quota.cpu, 667);
}

/// Shards that report in turn and apply the quota that they get at once. Each has tasks of one size,
/// which end when the test says so.
struct Shards {
    quotas: ShardQuotas,
    now: Instant,
    limit: u64,
    shards: Vec<SizedTasks>,
}

#[derive(Clone, Copy, Debug, Default)]
struct SizedTasks {
    size: u64,
    waiting: u64,
    running: u64,
    quota: Option<Resources>,
}

impl SizedTasks {
    fn start(&mut self) {
        let quota = self.quota.map_or(0, |q| q.cpu);
        while self.waiting > 0 && (self.running + 1) * self.size <= quota {
            self.waiting -= 1;
            self.running += 1;
        }
    }
}

impl Shards {
    fn new(limit: u64, shards: Vec<SizedTasks>) -> Self {
        Self {
            quotas: ShardQuotas::default(),
            now: Instant::now(),
            limit,
            shards,
        }
    }

    fn tasks(size: u64, waiting: u64) -> SizedTasks {
        SizedTasks {
            size,
            waiting,
            ..SizedTasks::default()
        }
    }

    fn used(&self) -> u64 {
        self.shards.iter().map(|s| s.size * s.running).sum()
    }

    /// Every shard reports once, a third of a second after the last time.
    fn report_all(&mut self) {
        self.now += Duration::from_millis(300);
        let count = self.shards.len();
        for index in 0..count {
            let shard = self.shards[index];
            let state = ShardState {
                in_force: shard.quota,
                in_flight: None,
            };
            let pending = shard.size * shard.waiting;
            let mut report = report(index, state, shard.size * shard.running, pending);
            report.teams[0].next_unit = (shard.waiting > 0).then(|| cpu(shard.size));
            let grant = self
                .quotas
                .update(self.now, &limits(self.limit), count, &report);
            self.shards[index].quota = Some(grant.quotas[0].1);
            self.shards[index].start();
            assert!(self.used() <= self.limit, "{:?}", self.shards);
        }
    }
}

/// Guards against a task that never starts although its team runs nothing, since it needs more than
/// the even parts of the other shards leave of the team's limit.
#[test]
fn a_task_that_needs_nearly_the_whole_limit_starts_in_any_shard() {
    for large in 0..5 {
        let mut shards = vec![Shards::tasks(1, 0); 5];
        shards[large] = Shards::tasks(19_000, 1);
        let mut shards = Shards::new(20_000, shards);
        for _ in 0..4 {
            shards.report_all();
        }
        assert_eq!(shards.used(), 19_000, "{:?}", shards.shards);
    }
}

/// Guards against small tasks of one shard, and large ones of another, that keep a large task from
/// starting for ever.
#[test]
fn large_tasks_of_several_shards_take_turns_with_small_ones() {
    let mut shards = Shards::new(
        20_000,
        vec![
            Shards::tasks(1_000, 1_000),
            Shards::tasks(16_000, 100),
            Shards::tasks(15_000, 100),
        ],
    );
    let mut started = [0u64; 3];
    for round in 0..120 {
        shards.report_all();
        if round % 6 == 5 {
            for (shard, started) in shards.shards.iter_mut().zip(&mut started) {
                *started += shard.running;
                shard.running = 0;
            }
        }
    }
    assert!(started.iter().all(|s| *s >= 3), "{started:?}");
}

/// Guards against a claim that outlives the shard that made it, whose pool was removed.
#[test]
fn a_claim_of_a_shard_that_reports_no_more_lapses() {
    let shards = vec![Shards::tasks(1_000, 0), Shards::tasks(18_000, 1)];
    let mut shards = Shards::new(20_000, shards);
    shards.shards[0].running = 10;
    shards.shards[0].quota = Some(cpu(10_000));
    shards.report_all();
    assert_eq!(shards.shards[1].running, 0);
    let gone = shards.shards[1].quota.unwrap().cpu;
    shards.shards.truncate(1);
    shards.shards[0].waiting = 100;
    shards.now += Duration::from_secs(6);
    for _ in 0..3 {
        shards.report_all();
    }
    assert_eq!(shards.shards[0].running, (20_000 - gone) / 1_000);
}

/// Guards against a shard whose demand comes in bursts, or never ends, and that holds the largest part of
/// the limit, so that shards with less of a demand get nothing of their even part.
#[test]
fn a_large_demand_leaves_the_others_their_even_part() {
    for period in 1..8 {
        let idle = Shards::tasks(1_800, 0);
        let mut shards = Shards::new(20_000, vec![idle; 3]);
        let mut started = [0u64; 3];
        for round in 0..100 {
            if round % period == 0 {
                shards.shards[1].waiting = 30;
            }
            if round >= 10 {
                shards.shards[0].waiting = 1;
                shards.shards[2].waiting = 1;
            }
            shards.report_all();
            for (shard, started) in shards.shards.iter_mut().zip(&mut started) {
                *started += shard.running;
                shard.running = 0;
            }
        }
        let [first, _, last] = started;
        assert!(first.min(last) >= 85, "period {period}: {started:?}");
    }
}
