//! Tests of the kinds of steps and jobs: gangs, required labels, repeated jobs, latency targets,
//! best-effort tasks and placement policies; and of workers that drain or fail.

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
use crate::support::starts;
use crate::support::step;
use crate::support::worker_info;

/// Guards against starting tasks on a worker that the worker list marks as draining.
#[test]
fn a_draining_worker_gets_no_tasks() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut draining_worker = worker_info("w1");
    draining_worker.draining = true;
    harness
        .shard
        .update_workers(harness.at, vec![draining_worker]);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.tick();
    assert!(starts(&harness.store_batch()).is_empty());
}

/// Guards against starting only a part of a gang, whose tasks wait for the others until they time
/// out.
#[test]
fn a_gang_starts_all_its_tasks_with_one_run_number() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut gang = step(6, &[]);
    gang.gang = true;
    harness.submit(job(1, vec![gang]));
    harness.tick();
    assert!(
        starts(&harness.store_batch()).is_empty(),
        "only four of the six tasks fit"
    );
    harness.update_workers(&["w1", "w2"]);
    harness.advance(Duration::from_millis(10));
    harness.tick();
    harness.answer_poll("w2", &report(1_000, vec![], vec![]));
    harness.tick();
    let requests = starts(&harness.store_batch());
    assert_eq!(requests.len(), 6);
    assert!(requests.iter().all(|(_, request)| request.run.number == 1));
}

/// Guards against starting a task on a worker without its required label.
#[test]
fn a_task_waits_for_a_worker_with_its_required_label() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut labelled_step = step(1, &[]);
    labelled_step.required_label = Some("b".into());
    harness.submit(job(1, vec![labelled_step]));
    harness.tick();
    assert!(starts(&harness.store_batch()).is_empty());
}

/// Guards against an occurrence that starts before its scheduled time or never.
#[test]
fn an_occurrence_starts_at_its_scheduled_time() {
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
    assert!(starts(&harness.store_batch()).is_empty());
    harness.advance(Duration::from_millis(1_000));
    harness.tick();
    assert_eq!(starts(&harness.store_batch())[0].1.run.task.occurrence, 0);
    harness.advance(Duration::from_millis(2_000));
    harness.tick();
    assert_eq!(starts(&harness.store_batch())[0].1.run.task.occurrence, 1);
}

/// Guards against best-effort tasks that keep their CPU time while a task on the same worker
/// exceeds its latency target, or that stay throttled afterwards.
#[test]
fn best_effort_tasks_are_throttled_while_a_task_exceeds_its_latency_target() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let mut latency_step = step(1, &[]);
    latency_step.long_running = true;
    latency_step.latency_target = Some(Duration::from_millis(100));
    let mut best_effort_step = step(1, &[]);
    best_effort_step.long_running = true;
    best_effort_step.best_effort = true;
    harness.submit(job(1, vec![latency_step, best_effort_step]));
    harness.tick();
    let requests = starts(&harness.store_batch());
    assert_eq!(requests.len(), 2);
    for (worker, request) in &requests {
        harness.answer_start(worker, request.run, StartOutcome::Started(1_000));
    }
    let run_of_step = |step: u16| {
        let request = requests.iter().find(|(_, r)| r.run.task.step == step);
        request.unwrap().1.run
    };
    let mut statuses = vec![
        run_status(run_of_step(0), 100),
        run_status(run_of_step(1), 100),
    ];
    statuses[0].metric = 130;
    harness.tick();
    harness.answer_poll("w1", &report(1_100, statuses.clone(), vec![]));
    assert!(
        harness
            .tick()
            .contains(&Effect::Throttle("w1".into(), run_of_step(1), 0))
    );
    statuses[0].metric = 40;
    harness.advance(Duration::from_secs(1));
    harness.answer_poll("w1", &report(2_100, statuses, vec![]));
    let effects = harness.tick();
    let raises_cpu =
        |e: &Effect| matches!(e, Effect::Throttle(_, r, p) if *r == run_of_step(1) && *p > 0);
    assert!(effects.iter().any(raises_cpu), "{effects:?}");
}

/// Guards against a faulty worker that fails every run and uses up the attempts of every job.
#[test]
fn a_worker_that_fails_several_jobs_gets_a_backoff() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.submit(job(2, vec![step(1, &[])]));
    harness.tick();
    let requests = starts(&harness.store_batch());
    assert_eq!(requests.len(), 2);
    for (worker, request) in &requests {
        harness.answer_start(worker, request.run, StartOutcome::Started(1_000));
    }
    harness.tick();
    let finished = (1..)
        .zip(&requests)
        .map(|(n, (_, r))| finished_run(n, r.run, RunOutcome::Failed));
    harness.answer_poll("w1", &report(1_100, vec![], finished.collect()));
    harness.tick();
    assert!(
        starts(&harness.store_batch()).is_empty(),
        "the worker should be in backoff"
    );
    harness.advance(Duration::from_secs(4));
    harness.tick();
    assert_eq!(starts(&harness.store_batch()).len(), 2);
}

/// Guards against starts without a ticket of the policy service where the queue's placement policy
/// requires one, and against using a ticket after its expiry.
#[test]
fn a_step_starts_only_on_workers_with_a_valid_ticket() {
    let workers = ["w1", "w2"];
    let mut harness = Harness::new(&workers);
    harness.poll_all(&workers);
    let mut policy_job = job(1, vec![step(2, &[])]);
    let ticket_ttl = Duration::from_secs(2);
    policy_job.queue.policy = Some(PlacementPolicy { ticket_ttl });
    harness.submit(policy_job);
    let policy_queries = |effects: &[Effect]| {
        let queries = effects.iter().filter_map(|effect| match effect {
            Effect::QueryPolicy(step, workers) => Some((*step, workers.len())),
            _ => None,
        });
        queries.collect::<Vec<_>>()
    };
    let queries = policy_queries(&harness.tick());
    assert_eq!(queries.len(), 1);
    assert_eq!(
        (queries[0].0.to_string(), queries[0].1),
        ("0000000000000001.0.0".to_owned(), 2)
    );
    assert!(starts(&harness.store_batch()).is_empty());
    assert_eq!(
        policy_queries(&harness.tick()),
        vec![],
        "one policy query at a time"
    );
    let tickets = vec![("w2".into(), "ticket".into())];
    harness
        .shard
        .handle_policy(harness.at, queries[0].0, Some((tickets, ticket_ttl)));
    harness.tick();
    let requests = starts(&harness.store_batch());
    assert_eq!(requests.len(), 2);
    for (worker, request) in &requests {
        assert_eq!(
            (&**worker, request.ticket.as_deref()),
            ("w2", Some("ticket"))
        );
        harness.answer_start(worker, request.run, StartOutcome::InvalidTicket);
    }
    harness.advance(ticket_ttl);
    assert_eq!(policy_queries(&harness.tick()).len(), 1);
}

/// Returns a job with one long-running task that needs `cpu` millicores.
fn long_running_job(id: u64, cpu: u64) -> lavenderhollow_shard::Job {
    let mut lasting = step(1, &[]);
    lasting.long_running = true;
    lasting.resources.cpu = cpu;
    job(id, vec![lasting])
}

/// Guards against long-running tasks that fit on no worker, or on none beside the long-running tasks
/// that are there, and that keep all workers of their pool from everyone else (LOST).
#[test]
fn hopeless_long_running_tasks_reserve_no_worker() {
    for (placed, hopeless) in [(None, 8_000), (Some(3_000), 2_000)] {
        let mut harness = Harness::new(&["w1", "w2"]);
        harness.poll_all(&["w1", "w2"]);
        for id in [1, 2] {
            if let Some(cpu) = placed {
                harness.submit(long_running_job(id, cpu));
            }
        }
        harness.tick();
        harness.store_batch();
        for id in 3..7 {
            harness.submit(long_running_job(id, hopeless));
        }
        harness.submit(job(7, vec![step(2, &[])]));
        harness.tick();
        let started = starts(&harness.store_batch());
        let ids: Vec<u64> = started.iter().map(|(_, s)| s.run.task.job.0).collect();
        assert_eq!(ids, [7, 7], "beside {hopeless} millicores");
    }
}

/// Guards against a long-running task that never gets room, because short tasks take it as soon as
/// others have ended.
#[test]
fn a_long_running_task_gets_the_room_that_short_tasks_leave() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(job(1, vec![step(2, &[])]));
    harness.tick();
    let first = starts(&harness.store_batch());
    assert_eq!(first.len(), 2);
    harness.submit(long_running_job(2, 4_000));
    harness.submit(job(3, vec![step(2, &[])]));
    harness.tick();
    assert!(starts(&harness.store_batch()).is_empty());
    let ends = (1..).zip(&first);
    let ends = ends.map(|(n, (_, s))| finished_run(n, s.run, RunOutcome::Done));
    harness.answer_poll(&first[0].0, &report(2_000, vec![], ends.collect()));
    harness.tick();
    let started = starts(&harness.store_batch());
    let ids: Vec<u64> = started.iter().map(|(_, s)| s.run.task.job.0).collect();
    assert_eq!(ids, [2]);
}

/// Guards against a start that a worker rejects as malformed and that is sent again hundreds of times a
/// second, and against one that keeps the others of its pool from starting.
#[test]
fn a_malformed_start_is_repeated_after_a_pause() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.poll_all(&["w1", "w2"]);
    harness.submit(job(1, vec![step(1, &[])]));
    let mut rejected = 0;
    for _ in 0..500 {
        harness.tick();
        for (worker, request) in starts(&harness.store_batch()) {
            rejected += 1;
            harness.answer_start(&worker, request.run, StartOutcome::Invalid);
        }
        harness.advance(Duration::from_millis(10));
    }
    assert!((9..=11).contains(&rejected), "{rejected} in 5 s");
    harness.submit(job(2, vec![step(8, &[])]));
    harness.tick();
    assert!(starts(&harness.store_batch()).len() >= 7);
}
