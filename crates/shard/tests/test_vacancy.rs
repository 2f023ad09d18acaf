//! Tests of keeping workers free: for the upkeep of their machines, and for other pools.

use std::time::Duration;

use lavenderhollow_shard::DrainStatus;
use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::StartOutcome;

use crate::support::Bed;
use crate::support::end;
use crate::support::job;
use crate::support::report;
use crate::support::running;
use crate::support::starts;
use crate::support::step;

/// Guards against a machine that never gets its upkeep because several tasks of one step run on
/// it, more than its budget lets be away at once.
#[test]
fn tasks_that_block_an_upkeep_together_move_one_by_one() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    let mut lasting = step(2, &[]);
    lasting.long_running = true;
    lasting.max_unavailable = 1;
    bed.submit(job(1, vec![lasting]));
    bed.tick();
    let orders = starts(&bed.store());
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        bed.started(worker, order.run, StartOutcome::Started(1_000));
    }
    let rows: Vec<_> = orders.iter().map(|(_, o)| running(o.run, 100)).collect();
    bed.tick();
    bed.report("w1", &report(1_100, rows.clone(), vec![]));
    bed.list(&["w1", "w2"]);
    bed.advance(Duration::from_millis(10));
    bed.contact(&["w2"]);
    assert_eq!(
        bed.shard.drain(bed.at, &"w1".into(), true),
        DrainStatus::Busy
    );
    let effects = bed.tick();
    let stops: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::Stop(worker, run) => Some((worker.clone(), *run)),
            _ => None,
        })
        .collect();
    assert_eq!(stops.len(), 1, "one task at a time: {effects:?}");
    let (worker, stopped) = stops[0].clone();
    bed.shard.handle_stop(bed.at, &worker, stopped, true);
    let left: Vec<_> = rows.into_iter().filter(|r| r.run != stopped).collect();
    bed.report(
        "w1",
        &report(
            1_200,
            left.clone(),
            vec![end(1, stopped, RunOutcome::Stopped)],
        ),
    );
    assert_eq!(
        bed.shard.drain(bed.at, &"w1".into(), true),
        DrainStatus::Busy
    );
    bed.tick();
    let orders = starts(&bed.store());
    assert_eq!(orders.len(), 1);
    assert_eq!(&*orders[0].0, "w2");
    let run = orders[0].1.run;
    bed.started(&"w2".into(), run, StartOutcome::Started(1_000));
    bed.report("w2", &report(1_300, vec![running(run, 100)], vec![]));
    assert_eq!(
        bed.shard.drain(bed.at, &"w1".into(), true),
        DrainStatus::Drained
    );
}

/// Guards against a machine that is given away while something runs on it, and against a start on
/// one that was given away.
#[test]
fn only_an_idle_worker_is_lent_and_then_kept_free() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    bed.submit(job(1, vec![step(1, &[])]));
    bed.tick();
    assert!(
        !bed.shard.release_idle(bed.at, &"w1".into()),
        "a start is being stored"
    );
    let (worker, order) = starts(&bed.store()).remove(0);
    bed.started(&worker, order.run, StartOutcome::Started(1_000));
    assert!(!bed.shard.release_idle(bed.at, &"w1".into()));
    bed.tick();
    bed.report(
        "w1",
        &report(1_100, vec![], vec![end(1, order.run, RunOutcome::Done)]),
    );
    assert!(bed.shard.release_idle(bed.at, &"w1".into()));
    bed.submit(job(2, vec![step(1, &[])]));
    bed.tick();
    assert!(starts(&bed.store()).is_empty());
}

/// Guards against demand that leaves out waiting work, or counts the same work for ever.
#[test]
fn the_demand_of_a_pool_follows_its_open_work() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    bed.advance(Duration::from_secs(2));
    let demand = bed.shard.pool_demand(bed.at.now, "pool");
    assert_eq!(demand.idle, vec![("w1".into(), Duration::from_secs(2))]);
    assert_eq!((demand.offered.cpu, demand.needed.cpu), (4_000, 0));
    bed.submit(job(1, vec![step(20, &[])]));
    bed.tick();
    let demand = bed.shard.pool_demand(bed.at.now, "pool");
    assert_eq!(
        demand.needed.cpu, 33_332,
        "10 s of work within 0.6 s, and as much again"
    );
    bed.advance(Duration::from_millis(750));
    let demand = bed.shard.pool_demand(bed.at.now, "pool");
    assert_eq!(
        demand.needed.cpu, 20_000,
        "10 s of work within 1.25 s, and headroom"
    );
    assert_eq!(demand.reserved.cpu, 4_000, "what runs");
    assert_eq!(demand.idle, vec![]);
    bed.cancel(1);
    assert_eq!(bed.shard.pool_demand(bed.at.now, "pool").needed.cpu, 0);
}

/// Guards against a peak that is seen only once work waits: machines from elsewhere take two seconds
/// to arrive.
#[test]
fn a_pool_needs_what_arrives_before_anything_waits() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    for id in 1..=3 {
        bed.submit(job(id, vec![step(1, &[])]));
        bed.tick();
    }
    let demand = bed.shard.pool_demand(bed.at.now, "pool");
    assert_eq!(demand.idle, vec![]);
    assert_eq!(
        demand.needed.cpu, 5_000,
        "1.5 s of work within 0.6 s, and as much again"
    );
    assert_eq!(demand.reserved.cpu, 5_000, "a little more than what runs");
    bed.cancel(1);
    let demand = bed.shard.pool_demand(bed.at.now, "pool");
    assert_eq!(demand.needed.cpu, 3_332, "cancelled work does not count");
}

/// Guards against lasting tasks that keep every machine of a calm pool from being lent, and against
/// tasks of one step that are lost together.
#[test]
fn lasting_tasks_of_several_steps_share_workers() {
    let names = ["w1", "w2", "w3", "w4"];
    let mut bed = Bed::new(&names);
    bed.contact(&names);
    for id in 1..=2 {
        let mut lasting = step(2, &[]);
        lasting.long_running = true;
        bed.submit(job(id, vec![lasting]));
        bed.tick();
    }
    let mut hosts: Vec<(u64, Name)> = Vec::new();
    for (worker, order) in starts(&bed.store()) {
        hosts.push((order.run.task.job.0, worker));
    }
    hosts.sort();
    let of = |id: u64| hosts.iter().filter(move |h| h.0 == id).map(|h| h.1.clone());
    let (first, second): (Vec<Name>, Vec<Name>) = (of(1).collect(), of(2).collect());
    assert_eq!(first.len(), 2);
    assert_ne!(first[0], first[1]);
    assert_eq!(first, second);
}
