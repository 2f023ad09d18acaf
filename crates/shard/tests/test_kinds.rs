//! Tests of the kinds of steps: gangs, labels, repeated jobs, serving and filling tasks; and of
//! workers that leave or fail.

use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::PlacementPolicy;
use lavenderhollow_shard::Repeat;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::StartOutcome;

use crate::support::Harness;
use crate::support::finished_run;
use crate::support::job;
use crate::support::report;
use crate::support::run_status;
use crate::support::start_requests;
use crate::support::step;
use crate::support::worker_info;

/// Guards against new work on a worker that announced that it leaves.
#[test]
fn a_draining_worker_gets_no_tasks() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut leaving = worker_info("w1");
    leaving.draining = true;
    harness.shard.update_workers(harness.at, vec![leaving]);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.tick();
    assert!(start_requests(&harness.store_batch()).is_empty());
}

/// Guards against a part of a gang that waits for the rest and ends alone.
#[test]
fn a_gang_starts_whole_and_with_one_run_number() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut gang = step(6, &[]);
    gang.gang = true;
    harness.submit(job(1, vec![gang]));
    harness.tick();
    assert!(
        start_requests(&harness.store_batch()).is_empty(),
        "four of six would fit"
    );
    harness.update_workers(&["w1", "w2"]);
    harness.advance(Duration::from_millis(10));
    harness.tick();
    harness.answer_poll("w2", &report(1_000, vec![], vec![]));
    harness.tick();
    let orders = start_requests(&harness.store_batch());
    assert_eq!(orders.len(), 6);
    assert!(orders.iter().all(|(_, order)| order.run.number == 1));
}

/// Guards against a task on a worker without the label that it needs.
#[test]
fn a_label_is_respected() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut labelled = step(1, &[]);
    labelled.required_label = Some("b".into());
    harness.submit(job(1, vec![labelled]));
    harness.tick();
    assert!(start_requests(&harness.store_batch()).is_empty());
}

/// Guards against an occurrence that starts before its time or never.
#[test]
fn an_occurrence_starts_when_it_is_due() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut repeated = job(1, vec![step(1, &[])]);
    let now = u64::try_from(harness.at.unix.as_millis()).unwrap();
    repeated.repeat = Some(Repeat {
        start_ms: now + 1_000,
        interval_ms: 2_000,
        count: 2,
    });
    harness.submit(repeated);
    harness.tick();
    assert!(start_requests(&harness.store_batch()).is_empty());
    harness.advance(Duration::from_millis(1_000));
    harness.tick();
    assert_eq!(
        start_requests(&harness.store_batch())[0]
            .1
            .run
            .task
            .occurrence,
        0
    );
    harness.advance(Duration::from_millis(2_000));
    harness.tick();
    assert_eq!(
        start_requests(&harness.store_batch())[0]
            .1
            .run
            .task
            .occurrence,
        1
    );
}

/// Guards against filling tasks that work on while a serving task beside them is over its target.
#[test]
fn filling_tasks_stop_while_a_serving_task_is_over_its_target() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut serving = step(1, &[]);
    serving.long_running = true;
    serving.latency_target = Some(Duration::from_millis(100));
    let mut filling = step(1, &[]);
    filling.long_running = true;
    filling.best_effort = true;
    harness.submit(job(1, vec![serving, filling]));
    harness.tick();
    let orders = start_requests(&harness.store_batch());
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        harness.answer_start(worker, order.run, StartOutcome::Started(1_000));
    }
    let run = |step: u16| {
        let order = orders.iter().find(|(_, o)| o.run.task.step == step);
        order.unwrap().1.run
    };
    let mut rows = vec![run_status(run(0), 100), run_status(run(1), 100)];
    rows[0].metric = 130;
    harness.tick();
    harness.answer_poll("w1", &report(1_100, rows.clone(), vec![]));
    assert!(
        harness
            .tick()
            .contains(&Effect::Throttle("w1".into(), run(1), 0))
    );
    rows[0].metric = 40;
    harness.advance(Duration::from_secs(1));
    harness.answer_poll("w1", &report(2_100, rows, vec![]));
    let effects = harness.tick();
    let faster = |e: &Effect| matches!(e, Effect::Throttle(_, r, p) if *r == run(1) && *p > 0);
    assert!(effects.iter().any(faster), "{effects:?}");
}

/// Guards against a worker that fails everything and uses up the attempts of every job.
#[test]
fn a_worker_that_fails_several_jobs_rests() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.submit(job(2, vec![step(1, &[])]));
    harness.tick();
    let orders = start_requests(&harness.store_batch());
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        harness.answer_start(worker, order.run, StartOutcome::Started(1_000));
    }
    harness.tick();
    let ends = (1..)
        .zip(&orders)
        .map(|(n, (_, o))| finished_run(n, o.run, RunOutcome::Failed));
    harness.answer_poll("w1", &report(1_100, vec![], ends.collect()));
    harness.tick();
    assert!(
        start_requests(&harness.store_batch()).is_empty(),
        "the worker should rest"
    );
    harness.advance(Duration::from_secs(4));
    harness.tick();
    assert_eq!(start_requests(&harness.store_batch()).len(), 2);
}

/// Guards against starts without a ticket where the queue's policy asks for one, and against a
/// ticket that is used after its time.
#[test]
fn a_step_starts_only_where_a_ticket_holds() {
    let workers = ["w1", "w2"];
    let mut harness = Harness::new(&workers);
    harness.poll_all(&workers);
    let mut advised = job(1, vec![step(2, &[])]);
    let ticket_ttl = Duration::from_secs(2);
    advised.queue.policy = Some(PlacementPolicy { ticket_ttl });
    harness.submit(advised);
    let question = |effects: &[Effect]| {
        let asked = effects.iter().filter_map(|effect| match effect {
            Effect::QueryPolicy(step, workers) => Some((*step, workers.len())),
            _ => None,
        });
        asked.collect::<Vec<_>>()
    };
    let asked = question(&harness.tick());
    assert_eq!(asked.len(), 1);
    assert_eq!(
        (asked[0].0.to_string(), asked[0].1),
        ("0000000000000001.0.0".to_owned(), 2)
    );
    assert!(start_requests(&harness.store_batch()).is_empty());
    assert_eq!(question(&harness.tick()), vec![], "one question at a time");
    let rows = vec![("w2".into(), "ticket".into())];
    harness
        .shard
        .handle_policy(harness.at, asked[0].0, Some((rows, ticket_ttl)));
    harness.tick();
    let orders = start_requests(&harness.store_batch());
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        assert_eq!((&**worker, order.ticket.as_deref()), ("w2", Some("ticket")));
        harness.answer_start(worker, order.run, StartOutcome::InvalidTicket);
    }
    harness.advance(ticket_ttl);
    assert_eq!(question(&harness.tick()).len(), 1);
}
