//! Tests of draining workers for maintenance, of releasing idle workers to other pools, and of the
//! demand by which machines are moved between pools.

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
use crate::support::starts;
use crate::support::step;

/// Guards against a drain that never completes because the worker runs more tasks of one step than
/// its disruption budget allows to be unavailable at once.
#[test]
fn tasks_that_block_a_drain_together_are_evicted_one_at_a_time() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut long_running_step = step(2, &[]);
    long_running_step.long_running = true;
    long_running_step.max_unavailable = 1;
    harness.submit(job(1, vec![long_running_step]));
    harness.tick();
    let requests = starts(&harness.store_batch());
    assert_eq!(requests.len(), 2);
    for (worker, request) in &requests {
        harness.answer_start(worker, request.run, StartOutcome::Started(1_000));
    }
    let statuses: Vec<_> = requests
        .iter()
        .map(|(_, r)| run_status(r.run, 100))
        .collect();
    harness.tick();
    harness.answer_poll("w1", &report(1_100, statuses.clone(), vec![]));
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
    let remaining: Vec<_> = statuses.into_iter().filter(|r| r.run != stopped).collect();
    harness.answer_poll(
        "w1",
        &report(
            1_200,
            remaining.clone(),
            vec![finished_run(1, stopped, RunOutcome::Stopped)],
        ),
    );
    assert_eq!(
        harness.shard.drain(harness.at, &"w1".into(), true),
        DrainStatus::Busy
    );
    harness.tick();
    let requests = starts(&harness.store_batch());
    assert_eq!(requests.len(), 1);
    assert_eq!(&*requests[0].0, "w2");
    let run = requests[0].1.run;
    harness.answer_start(&"w2".into(), run, StartOutcome::Started(1_000));
    harness.answer_poll("w2", &report(1_300, vec![run_status(run, 100)], vec![]));
    assert_eq!(
        harness.shard.drain(harness.at, &"w1".into(), true),
        DrainStatus::Drained
    );
}

/// Guards against releasing a worker while a task runs on it or is about to start, and against a
/// start on a released worker.
#[test]
fn only_an_idle_worker_is_released_and_it_gets_no_new_tasks() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.tick();
    assert!(
        !harness.shard.release_idle(harness.at, &"w1".into()),
        "the record of a start is being stored"
    );
    let (worker, request) = starts(&harness.store_batch()).remove(0);
    harness.answer_start(&worker, request.run, StartOutcome::Started(1_000));
    assert!(!harness.shard.release_idle(harness.at, &"w1".into()));
    harness.tick();
    harness.answer_poll(
        "w1",
        &report(
            1_100,
            vec![],
            vec![finished_run(1, request.run, RunOutcome::Done)],
        ),
    );
    assert!(harness.shard.release_idle(harness.at, &"w1".into()));
    harness.submit(job(2, vec![step(1, &[])]));
    harness.tick();
    assert!(starts(&harness.store_batch()).is_empty());
}

/// Guards against demand that leaves out waiting work, or keeps counting work of a cancelled job.
#[test]
fn pool_demand_follows_the_unfinished_work() {
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
        "10 s of work arrived within 0.6 s, times the growth factor of 2"
    );
    harness.advance(Duration::from_millis(750));
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!(
        demand.needed.cpu, 20_000,
        "10 s of work within 1.25 s, times the headroom factor of 2.5"
    );
    assert_eq!(demand.reserved.cpu, 4_000, "what the running tasks hold");
    assert_eq!(demand.idle, vec![]);
    harness.cancel(1);
    assert_eq!(
        harness.shard.pool_demand(harness.at.now, "pool").needed.cpu,
        0
    );
}

/// Guards against noticing a peak only once tasks wait: moving a machine from another pool takes
/// two seconds.
#[test]
fn pool_demand_rises_with_the_arrival_rate_before_tasks_wait() {
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
        "1.5 s of work arrived within 0.6 s, times the growth factor of 2"
    );
    assert_eq!(demand.reserved.cpu, 5_000, "more than running tasks hold");
    harness.cancel(1);
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!(demand.needed.cpu, 3_332, "cancelled work does not count");
}

/// Guards against long-running tasks spread over all workers, so that none of an underused pool is
/// idle and can be released, and against losing all tasks of one step with one worker.
#[test]
fn long_running_tasks_of_different_steps_share_workers() {
    let names = ["w1", "w2", "w3", "w4"];
    let mut harness = Harness::new(&names);
    harness.poll_all(&names);
    for id in 1..=2 {
        let mut long_running_step = step(2, &[]);
        long_running_step.long_running = true;
        harness.submit(job(id, vec![long_running_step]));
        harness.tick();
    }
    let mut placements: Vec<(u64, Name)> = Vec::new();
    for (worker, request) in starts(&harness.store_batch()) {
        placements.push((request.run.task.job.0, worker));
    }
    placements.sort();
    let workers_of = |id: u64| {
        placements
            .iter()
            .filter(move |p| p.0 == id)
            .map(|p| p.1.clone())
    };
    let (first, second): (Vec<Name>, Vec<Name>) =
        (workers_of(1).collect(), workers_of(2).collect());
    assert_eq!(first.len(), 2);
    assert_ne!(first[0], first[1]);
    assert_eq!(first, second);
}
