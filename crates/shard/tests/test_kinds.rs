//! Tests of the kinds of steps: gangs, labels, repeated jobs, serving and filling tasks; and of
//! workers that leave or fail.

use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::PlacementPolicy;
use lavenderhollow_shard::Repeat;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::StartOutcome;

use crate::support::Bed;
use crate::support::end;
use crate::support::job;
use crate::support::report;
use crate::support::running;
use crate::support::starts;
use crate::support::step;
use crate::support::worker_info;

/// Guards against new work on a worker that announced that it leaves.
#[test]
fn a_draining_worker_gets_no_tasks() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    let mut leaving = worker_info("w1");
    leaving.draining = true;
    bed.shard.update_workers(bed.at, vec![leaving]);
    bed.submit(job(1, vec![step(1, &[])]));
    bed.tick();
    assert!(starts(&bed.store()).is_empty());
}

/// Guards against a part of a gang that waits for the rest and ends alone.
#[test]
fn a_gang_starts_whole_and_with_one_run_number() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    let mut gang = step(6, &[]);
    gang.gang = true;
    bed.submit(job(1, vec![gang]));
    bed.tick();
    assert!(starts(&bed.store()).is_empty(), "four of six would fit");
    bed.list(&["w1", "w2"]);
    bed.advance(Duration::from_millis(10));
    bed.tick();
    bed.report("w2", &report(1_000, vec![], vec![]));
    bed.tick();
    let orders = starts(&bed.store());
    assert_eq!(orders.len(), 6);
    assert!(orders.iter().all(|(_, order)| order.run.number == 1));
}

/// Guards against a task on a worker without the label that it needs.
#[test]
fn a_label_is_respected() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    let mut labelled = step(1, &[]);
    labelled.required_label = Some("b".into());
    bed.submit(job(1, vec![labelled]));
    bed.tick();
    assert!(starts(&bed.store()).is_empty());
}

/// Guards against an occurrence that starts before its time or never.
#[test]
fn an_occurrence_starts_when_it_is_due() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    let mut repeated = job(1, vec![step(1, &[])]);
    let now = u64::try_from(bed.at.unix.as_millis()).unwrap();
    repeated.repeat = Some(Repeat {
        start_ms: now + 1_000,
        interval_ms: 2_000,
        count: 2,
    });
    bed.submit(repeated);
    bed.tick();
    assert!(starts(&bed.store()).is_empty());
    bed.advance(Duration::from_millis(1_000));
    bed.tick();
    assert_eq!(starts(&bed.store())[0].1.run.task.occurrence, 0);
    bed.advance(Duration::from_millis(2_000));
    bed.tick();
    assert_eq!(starts(&bed.store())[0].1.run.task.occurrence, 1);
}

/// Guards against filling tasks that work on while a serving task beside them is over its target.
#[test]
fn filling_tasks_stop_while_a_serving_task_is_over_its_target() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    let mut serving = step(1, &[]);
    serving.long_running = true;
    serving.latency_target = Some(Duration::from_millis(100));
    let mut filling = step(1, &[]);
    filling.long_running = true;
    filling.best_effort = true;
    bed.submit(job(1, vec![serving, filling]));
    bed.tick();
    let orders = starts(&bed.store());
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        bed.started(worker, order.run, StartOutcome::Started(1_000));
    }
    let run = |step: u16| {
        let order = orders.iter().find(|(_, o)| o.run.task.step == step);
        order.unwrap().1.run
    };
    let mut rows = vec![running(run(0), 100), running(run(1), 100)];
    rows[0].metric = 130;
    bed.tick();
    bed.report("w1", &report(1_100, rows.clone(), vec![]));
    assert!(
        bed.tick()
            .contains(&Effect::Throttle("w1".into(), run(1), 0))
    );
    rows[0].metric = 40;
    bed.advance(Duration::from_secs(1));
    bed.report("w1", &report(2_100, rows, vec![]));
    let effects = bed.tick();
    let faster = |e: &Effect| matches!(e, Effect::Throttle(_, r, p) if *r == run(1) && *p > 0);
    assert!(effects.iter().any(faster), "{effects:?}");
}

/// Guards against a worker that fails everything and uses up the attempts of every job.
#[test]
fn a_worker_that_fails_several_jobs_rests() {
    let mut bed = Bed::new(&["w1"]);
    bed.contact(&["w1"]);
    bed.submit(job(1, vec![step(1, &[])]));
    bed.submit(job(2, vec![step(1, &[])]));
    bed.tick();
    let orders = starts(&bed.store());
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        bed.started(worker, order.run, StartOutcome::Started(1_000));
    }
    bed.tick();
    let ends = (1..)
        .zip(&orders)
        .map(|(n, (_, o))| end(n, o.run, RunOutcome::Failed));
    bed.report("w1", &report(1_100, vec![], ends.collect()));
    bed.tick();
    assert!(starts(&bed.store()).is_empty(), "the worker should rest");
    bed.advance(Duration::from_secs(4));
    bed.tick();
    assert_eq!(starts(&bed.store()).len(), 2);
}

/// Guards against starts without a ticket where the queue's policy asks for one, and against a
/// ticket that is used after its time.
#[test]
fn a_step_starts_only_where_a_ticket_holds() {
    let workers = ["w1", "w2"];
    let mut bed = Bed::new(&workers);
    bed.contact(&workers);
    let mut advised = job(1, vec![step(2, &[])]);
    let ticket_ttl = Duration::from_secs(2);
    advised.queue.policy = Some(PlacementPolicy { ticket_ttl });
    bed.submit(advised);
    let question = |effects: &[Effect]| {
        let asked = effects.iter().filter_map(|effect| match effect {
            Effect::QueryPolicy(step, workers) => Some((*step, workers.len())),
            _ => None,
        });
        asked.collect::<Vec<_>>()
    };
    let asked = question(&bed.tick());
    assert_eq!(asked.len(), 1);
    assert_eq!(
        (asked[0].0.to_string(), asked[0].1),
        ("0000000000000001.0.0".to_owned(), 2)
    );
    assert!(starts(&bed.store()).is_empty());
    assert_eq!(question(&bed.tick()), vec![], "one question at a time");
    let rows = vec![("w2".into(), "ticket".into())];
    bed.shard
        .handle_policy(bed.at, asked[0].0, Some((rows, ticket_ttl)));
    bed.tick();
    let orders = starts(&bed.store());
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        assert_eq!((&**worker, order.ticket.as_deref()), ("w2", Some("ticket")));
        bed.started(worker, order.run, StartOutcome::InvalidTicket);
    }
    bed.advance(ticket_ttl);
    assert_eq!(question(&bed.tick()).len(), 1);
}
