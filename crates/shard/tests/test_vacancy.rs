//! Tests of keeping workers free: for the upkeep of their machines, and for other pools.

use std::time::Duration;

use lavenderhollow_shard::DrainStatus;
use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::StartOutcome;

use crate::support::Harness;
use crate::support::finished_run;
use crate::support::job;
use crate::support::report;
use crate::support::run_status;
use crate::support::start_requests;
use crate::support::step;

/// Guards against a machine that never gets its upkeep because several tasks of one step run on
/// it, more than its budget lets be away at once.
#[test]
fn tasks_that_block_an_upkeep_together_move_one_by_one() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut lasting = step(2, &[]);
    lasting.long_running = true;
    lasting.max_unavailable = 1;
    harness.submit(job(1, vec![lasting]));
    harness.tick();
    let orders = start_requests(&harness.store_batch());
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        harness.answer_start(worker, order.run, StartOutcome::Started(1_000));
    }
    let rows: Vec<_> = orders.iter().map(|(_, o)| run_status(o.run, 100)).collect();
    harness.tick();
    harness.answer_poll("w1", &report(1_100, rows.clone(), vec![]));
    harness.update_workers(&["w1", "w2"]);
    harness.advance(Duration::from_millis(10));
    harness.poll_all(&["w2"]);
    assert_eq!(
        harness.shard.drain(harness.at, &"w1".into(), true),
        DrainStatus::Busy
    );
    let effects = harness.tick();
    let stops: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::Stop(worker, run) => Some((worker.clone(), *run)),
            _ => None,
        })
        .collect();
    assert_eq!(stops.len(), 1, "one task at a time: {effects:?}");
    let (worker, stopped) = stops[0].clone();
    harness
        .shard
        .handle_stop(harness.at, &worker, stopped, true);
    let left: Vec<_> = rows.into_iter().filter(|r| r.run != stopped).collect();
    harness.answer_poll(
        "w1",
        &report(
            1_200,
            left.clone(),
            vec![finished_run(1, stopped, RunOutcome::Stopped)],
        ),
    );
    assert_eq!(
        harness.shard.drain(harness.at, &"w1".into(), true),
        DrainStatus::Busy
    );
    harness.tick();
    let orders = start_requests(&harness.store_batch());
    assert_eq!(orders.len(), 1);
    assert_eq!(&*orders[0].0, "w2");
    let run = orders[0].1.run;
    harness.answer_start(&"w2".into(), run, StartOutcome::Started(1_000));
    harness.answer_poll("w2", &report(1_300, vec![run_status(run, 100)], vec![]));
    assert_eq!(
        harness.shard.drain(harness.at, &"w1".into(), true),
        DrainStatus::Drained
    );
}

/// Guards against a machine that is given away while something runs on it, and against a start on
/// one that was given away.
#[test]
fn only_an_idle_worker_is_lent_and_then_kept_free() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.tick();
    assert!(
        !harness.shard.release_idle(harness.at, &"w1".into()),
        "a start is being stored"
    );
    let (worker, order) = start_requests(&harness.store_batch()).remove(0);
    harness.answer_start(&worker, order.run, StartOutcome::Started(1_000));
    assert!(!harness.shard.release_idle(harness.at, &"w1".into()));
    harness.tick();
    harness.answer_poll(
        "w1",
        &report(
            1_100,
            vec![],
            vec![finished_run(1, order.run, RunOutcome::Done)],
        ),
    );
    assert!(harness.shard.release_idle(harness.at, &"w1".into()));
    harness.submit(job(2, vec![step(1, &[])]));
    harness.tick();
    assert!(start_requests(&harness.store_batch()).is_empty());
}

/// Guards against demand that leaves out waiting work, or counts the same work for ever.
#[test]
fn the_demand_of_a_pool_follows_its_open_work() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.advance(Duration::from_secs(2));
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!(demand.idle, vec![("w1".into(), Duration::from_secs(2))]);
    assert_eq!((demand.offered.cpu, demand.needed.cpu), (4_000, 0));
    harness.submit(job(1, vec![step(20, &[])]));
    harness.tick();
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!(
        demand.needed.cpu, 33_332,
        "10 s of work within 0.6 s, and as much again"
    );
    harness.advance(Duration::from_millis(750));
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!(
        demand.needed.cpu, 20_000,
        "10 s of work within 1.25 s, and headroom"
    );
    assert_eq!(demand.reserved.cpu, 4_000, "what runs");
    assert_eq!(demand.idle, vec![]);
    harness.cancel(1);
    assert_eq!(
        harness.shard.pool_demand(harness.at.now, "pool").needed.cpu,
        0
    );
}

/// Guards against a peak that is seen only once work waits: machines from elsewhere take two seconds
/// to arrive.
#[test]
fn a_pool_needs_what_arrives_before_anything_waits() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    for id in 1..=3 {
        harness.submit(job(id, vec![step(1, &[])]));
        harness.tick();
    }
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!(demand.idle, vec![]);
    assert_eq!(
        demand.needed.cpu, 5_000,
        "1.5 s of work within 0.6 s, and as much again"
    );
    assert_eq!(demand.reserved.cpu, 5_000, "a little more than what runs");
    harness.cancel(1);
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!(demand.needed.cpu, 3_332, "cancelled work does not count");
}

/// Guards against lasting tasks that keep every machine of a calm pool from being lent, and against
/// tasks of one step that are lost together.
#[test]
fn lasting_tasks_of_several_steps_share_workers() {
    let names = ["w1", "w2", "w3", "w4"];
    let mut harness = Harness::new(&names);
    harness.poll_all(&names);
    for id in 1..=2 {
        let mut lasting = step(2, &[]);
        lasting.long_running = true;
        harness.submit(job(id, vec![lasting]));
        harness.tick();
    }
    let mut hosts: Vec<(u64, Name)> = Vec::new();
    for (worker, order) in start_requests(&harness.store_batch()) {
        hosts.push((order.run.task.job.0, worker));
    }
    hosts.sort();
    let of = |id: u64| hosts.iter().filter(move |h| h.0 == id).map(|h| h.1.clone());
    let (first, second): (Vec<Name>, Vec<Name>) = (of(1).collect(), of(2).collect());
    assert_eq!(first.len(), 2);
    assert_ne!(first[0], first[1]);
    assert_eq!(first, second);
}
