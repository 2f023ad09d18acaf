//! Tests of the quota that a shard asks for: only for tasks that start once they have it.

use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Job;
use lavenderhollow_shard::PlacementPolicy;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::Step;
use lavenderhollow_shard::StepId;
use lavenderhollow_shard::TeamUsage;

use crate::support::Harness;
use crate::support::job;
use crate::support::report;
use crate::support::starts;
use crate::support::step;
use crate::support::timings;
use crate::support::worker_info;

/// A quota that holds all tasks back.
const NO_QUOTA: u64 = 1;

/// A quota that holds no task back.
const AMPLE_QUOTA: u64 = 1_000_000;

fn team_job(id: u64, steps: Vec<Step>) -> Job {
    let mut job = job(id, steps);
    job.team = Some("team".into());
    job
}

/// Returns a job of the team in a queue with a policy service.
fn policy_job() -> Job {
    let mut job = team_job(1, vec![step(2, &[])]);
    job.queue.policy = Some(PlacementPolicy {
        ticket_ttl: Duration::from_secs(2),
    });
    job
}

fn set_quota(harness: &mut Harness, cpu: u64) {
    let quota = Resources {
        cpu,
        ..Resources::default()
    };
    harness.shard.set_quotas(&[("team".into(), quota)].into());
}

/// Sets the quota of the team, makes a placement pass and returns the team's usage.
fn usage_with_quota(harness: &mut Harness, cpu: u64) -> TeamUsage {
    set_quota(harness, cpu);
    harness.tick();
    harness.store_batch();
    harness.shard.team_usage().remove(0)
}

/// Returns steps, each with its name, whose tasks fit into the free resources of two workers, but which
/// no worker takes.
fn unplaceable_steps() -> Vec<(&'static str, Step)> {
    let labelled = |mut step: Step| {
        step.required_label = Some("gpu-x".into());
        step
    };
    let gang = |mut step: Step| {
        step.gang = true;
        step
    };
    let long_running = |mut step: Step| {
        step.long_running = true;
        step
    };
    let apart = |mut step: Step, max| {
        step.max_per_worker = Some(max);
        step
    };
    vec![
        ("label", labelled(step(2, &[]))),
        (
            "label of a long-running step",
            labelled(long_running(step(2, &[]))),
        ),
        ("label of a gang", labelled(gang(step(2, &[])))),
        ("gang that is kept apart", apart(gang(step(3, &[])), 1)),
        ("no task on any worker", apart(step(2, &[]), 0)),
    ]
}

/// Guards against a quota that is granted for tasks which can't start, taken back and granted again, so
/// that other shards lack it for ever (LOST).
#[test]
fn tasks_that_no_worker_takes_ask_for_no_quota() {
    for (name, step) in unplaceable_steps() {
        let mut harness = Harness::new(&["w1", "w2"]);
        harness.poll_all(&["w1", "w2"]);
        harness.submit(team_job(1, vec![step]));
        for quota in [NO_QUOTA, AMPLE_QUOTA, NO_QUOTA] {
            let usage = usage_with_quota(&mut harness, quota);
            let demand = (usage.used.cpu, usage.pending.cpu, usage.next_unit);
            assert_eq!(demand, (0, 0, None), "{name}, quota {quota}");
        }
    }
}

/// Guards against a quota for the tasks of a step beyond its limit per worker, once the others run.
#[test]
fn tasks_beyond_the_limit_per_worker_ask_for_no_quota() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.poll_all(&["w1", "w2"]);
    let mut apart = step(4, &[]);
    apart.max_per_worker = Some(1);
    harness.submit(team_job(1, vec![apart]));
    let usage = usage_with_quota(&mut harness, NO_QUOTA);
    assert_eq!((usage.used.cpu, usage.pending.cpu), (0, 4_000));
    for quota in [AMPLE_QUOTA, 2_000, AMPLE_QUOTA] {
        let usage = usage_with_quota(&mut harness, quota);
        assert_eq!((usage.used.cpu, usage.pending.cpu), (2_000, 0), "{quota}");
    }
}

/// Guards against tasks that wait for a quota for ever although a worker that takes them has come.
#[test]
fn a_worker_with_the_label_brings_the_demand_back() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut labelled = step(2, &[]);
    labelled.required_label = Some("gpu-x".into());
    harness.submit(team_job(1, vec![labelled]));
    assert_eq!(usage_with_quota(&mut harness, NO_QUOTA).pending.cpu, 0);
    let mut with_label = worker_info("w2");
    with_label.labels.push("gpu-x".into());
    let workers = vec![worker_info("w1"), with_label];
    harness.shard.update_workers(harness.at, workers);
    harness.tick();
    harness.answer_poll("w2", &report(1_000, Vec::new(), Vec::new()));
    assert_eq!(usage_with_quota(&mut harness, NO_QUOTA).pending.cpu, 2_000);
    set_quota(&mut harness, 2_000);
    harness.tick();
    assert_eq!(starts(&harness.store_batch()).len(), 2);
}

/// Guards against a quota for a pool that has lost all its workers. A new owner reaches its workers within
/// a lease; until then it keeps the quota of its predecessor.
#[test]
fn a_pool_without_workers_asks_for_no_quota_after_a_lease() {
    let mut harness = Harness::new(&[]);
    harness.submit(team_job(1, vec![step(2, &[])]));
    assert_eq!(usage_with_quota(&mut harness, NO_QUOTA).pending.cpu, 2_000);
    harness.advance(timings().lease + Duration::from_millis(1));
    for quota in [AMPLE_QUOTA, NO_QUOTA] {
        assert_eq!(usage_with_quota(&mut harness, quota).pending.cpu, 0);
    }
    harness.update_workers(&["w1"]);
    harness.poll_all(&["w1"]);
    assert_eq!(usage_with_quota(&mut harness, NO_QUOTA).pending.cpu, 2_000);
}

/// Guards against a task that never starts, since it gets no quota without a ticket and no ticket without
/// a quota.
#[test]
fn a_step_without_tickets_asks_for_its_quota() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(policy_job());
    assert_eq!(usage_with_quota(&mut harness, NO_QUOTA).pending.cpu, 2_000);
}

/// Answers the queries about a step with tickets for some workers, or none.
fn answer_queries(harness: &mut Harness, effects: &[Effect], workers: &[&str]) -> usize {
    let queries = effects.iter().filter_map(|effect| match effect {
        Effect::QueryPolicy(step, _) => Some(*step),
        _ => None,
    });
    let queries: Vec<StepId> = queries.collect();
    for step in &queries {
        let tickets = workers.iter().map(|w| ((*w).into(), "ticket".into()));
        let decision = Some((tickets.collect(), Duration::from_secs(2)));
        harness.shard.handle_policy(harness.at, *step, decision);
    }
    queries.len()
}

/// Guards against a quota that is taken back while the policy service is asked, so that the ticket has
/// expired by the time the quota is back.
#[test]
fn a_step_that_waits_for_tickets_keeps_its_quota() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(policy_job());
    for quota in [AMPLE_QUOTA, 2_000] {
        let usage = usage_with_quota(&mut harness, quota);
        assert_eq!((usage.used.cpu, usage.pending.cpu), (0, 2_000), "{quota}");
    }
}

/// Guards against a quota for a step that the policy service allows nowhere, which other shards lack (LOST),
/// and against a step without a quota that the service is not asked about again.
#[test]
fn a_step_that_is_allowed_nowhere_asks_for_no_quota() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(policy_job());
    set_quota(&mut harness, AMPLE_QUOTA);
    let effects = harness.tick();
    assert_eq!(answer_queries(&mut harness, &effects, &[]), 1);
    for quota in [AMPLE_QUOTA, NO_QUOTA, AMPLE_QUOTA, NO_QUOTA] {
        assert_eq!(usage_with_quota(&mut harness, quota).pending.cpu, 0);
    }
    harness.advance(Duration::from_millis(3_001));
    let effects = harness.tick();
    assert_eq!(harness.shard.team_usage()[0].pending.cpu, 0);
    assert_eq!(answer_queries(&mut harness, &effects, &["w1"]), 1);
    assert_eq!(usage_with_quota(&mut harness, NO_QUOTA).pending.cpu, 2_000);
}
