//! Tests of submissions that are withdrawn while the store does not respond.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::Response;
use lavenderhollow_shard::Shard;

use crate::support::Harness;
use crate::support::job;
use crate::support::starts;
use crate::support::step;

const WORKERS: [&str; 2] = ["w1", "w2"];

/// What a withdrawn job must not change: the load, the demand, the jobs, the teams and the workers.
fn view(harness: &mut Harness) -> String {
    let now = harness.at.now;
    let shard: &mut Shard = &mut harness.shard;
    let load = shard.pool_load(now, "pool");
    let demand = shard.pool_demand(now, "pool");
    let teams = shard.team_usage().into_iter();
    let teams: Vec<_> = teams.filter(|t| t.used != Default::default()).collect();
    let queues: Vec<_> = shard.queues().collect();
    let jobs = (shard.unfinished_jobs(), shard.queued_jobs("checks"));
    format!("{load:?} {demand:?} {teams:?} {queues:?} {jobs:?}")
}

/// Returns a harness with an append in flight that holds job 1.
fn with_append_in_flight() -> Harness {
    let mut harness = Harness::new(&WORKERS);
    harness
        .shard
        .set_share_rates(BTreeMap::from([("team".into(), 1)]));
    let quota = Resources {
        cpu: 100_000,
        memory: 100_000,
        gpu: 0,
    };
    let quotas = BTreeMap::from([("team".into(), quota)]);
    harness.shard.set_quotas(&quotas);
    harness.poll_all(&WORKERS);
    harness.submit(job(1, vec![step(2, &[])]));
    harness.tick();
    assert!(harness.shard.next_batch().is_some());
    harness
}

/// Guards against a refused job that runs, is stored, or goes on counting: for its pool, its team, its
/// queue or the workers that it was placed on.
#[test]
fn a_withdrawn_job_leaves_nothing_behind() {
    let mut harness = with_append_in_flight();
    let before = view(&mut harness);
    let mut second = job(2, vec![step(4, &[]), step(1, &[0])]);
    second.team = Some("team".into());
    let requests = [
        harness.submit(second.clone()),
        harness.submit(second.clone()),
    ];
    harness.tick();
    assert_ne!(view(&mut harness), before);
    assert_eq!(
        harness.shard.withdraw_unsent(harness.at.now, "test"),
        requests
    );
    harness.tick();
    assert_eq!(view(&mut harness), before);
    assert!(!harness.shard.holds_job(JobId(2)));
    harness.shard.batch_stored(harness.at);
    let effects = harness.shard.take_effects();
    assert!(
        starts(&effects)
            .iter()
            .all(|(_, s)| s.run.task.job == JobId(1))
    );
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, Effect::Respond(_, Response::Accepted)))
    );
    // The token of the team is back: the job is within the share, and runs once.
    harness.submit(second);
    harness.tick();
    let effects = harness.store_batch();
    let started = starts(&effects);
    assert_eq!(started.len(), 4, "{effects:?}");
    assert!(started.iter().all(|(_, s)| s.run.number == 1));
    // The batch with job 1 was not added to the stored records.
    let jobs: Vec<_> = harness
        .stored
        .keys()
        .filter(|k| k.starts_with('j'))
        .collect();
    assert_eq!(jobs, ["j0000000000000002"]);
}

/// Guards against a withdrawal of jobs that the store may hold, whose callers would be told that they
/// never run.
#[test]
fn a_job_in_a_batch_is_not_withdrawn() {
    let mut harness = with_append_in_flight();
    let repeated = harness.submit(job(1, vec![step(2, &[])]));
    assert_eq!(harness.shard.withdraw_unsent(harness.at.now, "test"), []);
    assert!(harness.shard.holds_job(JobId(1)));
    harness.shard.batch_stored(harness.at);
    harness.shard.take_effects();
    let effects = harness.store_batch();
    assert!(effects.contains(&Effect::Respond(repeated, Response::Accepted)));
}

/// Guards against a cancellation that is lost with the withdrawal of its job.
#[test]
fn a_cancelled_job_is_not_withdrawn() {
    let mut harness = with_append_in_flight();
    harness.submit(job(2, vec![step(2, &[])]));
    harness.tick();
    let cancelled = harness.cancel(2);
    assert_eq!(harness.shard.withdraw_unsent(harness.at.now, "test"), []);
    harness.advance(Duration::from_secs(3));
    harness.shard.batch_stored(harness.at);
    harness.shard.take_effects();
    let effects = harness.store_batch();
    assert!(effects.contains(&Effect::Respond(cancelled, Response::Accepted)));
    assert!(starts(&effects).is_empty());
}
