//! Tests of queues whose policy service decides on which workers their tasks run.

use std::collections::BTreeSet;
use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Job;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PlacementPolicy;
use lavenderhollow_shard::Repeat;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::StartRequest;
use lavenderhollow_shard::Step;
use lavenderhollow_shard::StepId;

use crate::support::Harness;
use crate::support::finished_run;
use crate::support::job;
use crate::support::report;
use crate::support::run_status;
use crate::support::starts;
use crate::support::step;

const TICKET_TTL: Duration = Duration::from_secs(5);

/// The time from one tick to the next.
const TICK: Duration = Duration::from_millis(100);

fn set_policy(harness: &mut Harness, has_policy: bool) {
    let policies = [("checks".into(), has_policy)].into();
    harness.shard.set_queue_policies(policies);
}

fn with_policy(mut job: Job) -> Job {
    job.queue.policy = Some(PlacementPolicy {
        ticket_ttl: TICKET_TTL,
    });
    job
}

fn queries(effects: &[Effect]) -> Vec<(StepId, Vec<Name>)> {
    let queries = effects.iter().filter_map(|effect| match effect {
        Effect::QueryPolicy(step, workers) => Some((*step, workers.clone())),
        _ => None,
    });
    queries.collect()
}

/// Answers queries with a ticket for each worker that is named there.
fn allow_all(harness: &mut Harness, queries: &[(StepId, Vec<Name>)]) {
    for (step, workers) in queries {
        let ticket = |worker: &Name| (worker.clone(), format!("ticket-{worker}").into());
        let tickets = workers.iter().map(ticket).collect();
        let decision = Some((tickets, TICKET_TTL));
        harness.shard.handle_policy(harness.at, *step, decision);
    }
}

/// Makes passes and allows all workers until a pass has no query, and returns the starts.
fn place(harness: &mut Harness) -> Vec<(Name, StartRequest)> {
    let mut started = Vec::new();
    loop {
        let asked = queries(&harness.tick());
        started.extend(starts(&harness.store_batch()));
        if asked.is_empty() {
            return started;
        }
        allow_all(harness, &asked);
    }
}

fn assert_tickets(started: &[(Name, StartRequest)]) {
    for (worker, request) in started {
        let expected = format!("ticket-{worker}");
        assert_eq!(request.ticket.as_deref(), Some(&*expected), "{request:?}");
    }
}

/// Returns jobs of each kind, with the number of tasks of each that start at once.
fn jobs_of_each_kind() -> Vec<(Job, usize)> {
    let gang = Step {
        gang: true,
        ..step(4, &[])
    };
    let long_running = Step {
        long_running: true,
        ..step(2, &[])
    };
    let mut repeated = job(4, vec![step(1, &[])]);
    repeated.repeat = Some(Repeat {
        start_ms: 0,
        interval_ms: 1,
        count: 3,
    });
    vec![
        (job(1, vec![step(2, &[])]), 2),
        (job(2, vec![gang]), 4),
        (job(3, vec![long_running]), 2),
        (repeated, 3),
    ]
}

/// Guards against accepted jobs whose starts are rejected for want of a ticket, since their queue had no
/// policy service when they were submitted (LOST).
#[test]
fn jobs_under_way_need_tickets_once_their_queue_has_a_policy_service() {
    for (job, tasks) in jobs_of_each_kind() {
        let id = job.id;
        let mut harness = Harness::new(&["w1", "w2"]);
        harness.submit(job);
        harness.tick();
        set_policy(&mut harness, true);
        harness.poll_all(&["w1", "w2"]);
        assert!(starts(&harness.store_batch()).is_empty(), "{id}");
        harness.advance(TICK * 31);
        let started = place(&mut harness);
        assert_eq!(started.len(), tasks, "{id}");
        assert_tickets(&started);
    }
}

/// Guards against accepted jobs that wait for the tickets of a policy service which their queue doesn't
/// have any more (LOST).
#[test]
fn jobs_need_no_tickets_once_their_queue_has_no_policy_service() {
    for (job, tasks) in jobs_of_each_kind() {
        let id = job.id;
        let mut harness = Harness::new(&["w1", "w2"]);
        harness.poll_all(&["w1", "w2"]);
        set_policy(&mut harness, true);
        harness.submit(with_policy(job));
        harness.tick();
        assert!(starts(&harness.store_batch()).is_empty(), "{id}");
        set_policy(&mut harness, false);
        assert!(queries(&harness.tick()).is_empty(), "{id}");
        assert_eq!(starts(&harness.store_batch()).len(), tasks, "{id}");
    }
}

/// Guards against later steps, restarted tasks and gangs that go on without a ticket.
#[test]
fn later_runs_of_a_job_under_way_need_tickets() {
    for gang in [false, true] {
        let mut harness = Harness::new(&["w1"]);
        harness.poll_all(&["w1"]);
        let first = Step {
            gang,
            checkpoints: true,
            ..step(2, &[])
        };
        harness.submit(job(1, vec![first, step(1, &[0])]));
        harness.tick();
        let started = starts(&harness.store_batch());
        assert_eq!(started.len(), 2);
        for (worker, request) in &started {
            harness.answer_start(worker, request.run, StartOutcome::Started(1_000));
        }
        set_policy(&mut harness, true);
        let ends = started.iter().zip(1..);
        let mut ends: Vec<_> = ends
            .map(|((_, request), n)| finished_run(n, request.run, RunOutcome::Failed))
            .collect();
        for end in &mut ends {
            end.checkpoint = "checkpoint".into();
        }
        harness.answer_poll("w1", &report(2_000, Vec::new(), ends));
        let restarted = place(&mut harness);
        assert_eq!(restarted.len(), 2);
        assert_tickets(&restarted);
        for (worker, request) in &restarted {
            assert_eq!(request.checkpoint.as_deref(), Some("checkpoint"));
            harness.answer_start(worker, request.run, StartOutcome::Started(2_500));
        }
        let ends = restarted.iter().zip(3..);
        let ends = ends.map(|((_, request), n)| finished_run(n, request.run, RunOutcome::Done));
        harness.answer_poll("w1", &report(3_000, Vec::new(), ends.collect()));
        let second_step = place(&mut harness);
        assert_eq!(second_step.len(), 1);
        assert_tickets(&second_step);
    }
}

/// Guards against a successor that decides by the settings in a job's record, which are older than the
/// configuration, and against one without a configuration that ignores them.
#[test]
fn a_successor_decides_by_the_configuration_that_it_knows() {
    let mut harness = Harness::new(&[]);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.submit(with_policy(job(2, vec![step(1, &[])])));
    harness.tick();
    harness.store_batch();
    harness.replace_owner(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.tick();
    let started = starts(&harness.store_batch());
    let jobs: Vec<u64> = started.iter().map(|(_, s)| s.run.task.job.0).collect();
    assert_eq!(jobs, [1], "no configuration is known");
    for has_policy in [true, false] {
        harness.replace_owner(&["w1"]);
        set_policy(&mut harness, has_policy);
        harness.poll_all(&["w1"]);
        harness.advance(TICK * 31);
        let asked = queries(&harness.tick());
        assert_eq!(asked.is_empty(), !has_policy, "{asked:?}");
    }
}

/// Guards against a start that is sent again and again without the ticket for want of which it is rejected,
/// and against a task that never starts where the owner knows an older version than the workers.
#[test]
fn a_start_rejected_for_want_of_a_ticket_is_repeated_with_one() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    set_policy(&mut harness, false);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.tick();
    let (worker, request) = starts(&harness.store_batch()).remove(0);
    assert_eq!(request.ticket, None);
    harness.answer_start(&worker, request.run, StartOutcome::InvalidTicket);
    let started = place(&mut harness);
    assert_eq!(started.len(), 1);
    assert_tickets(&started);
}

/// Guards against starts that are rejected hundreds of times a second while no policy service answers, and
/// against a task that never starts where the workers need no tickets any more.
#[test]
fn starts_without_tickets_are_tried_again_every_few_seconds() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.poll_all(&["w1", "w2"]);
    harness.submit(job(1, vec![step(1, &[])]));
    let mut rejected = 0;
    for _ in 0..300 {
        harness.tick();
        for (worker, request) in starts(&harness.store_batch()) {
            rejected += 1;
            harness.answer_start(&worker, request.run, StartOutcome::InvalidTicket);
        }
        harness.advance(TICK);
    }
    assert!((5..=11).contains(&rejected), "{rejected} in 30 s");
    harness.advance(TICK * 31);
    harness.tick();
    assert_eq!(starts(&harness.store_batch()).len(), 1);
}

/// Guards against tickets that a worker rejects in turn with those that the service gives for it, as fast
/// as both answer.
#[test]
fn a_rejected_ticket_is_not_replaced_at_once() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(with_policy(job(1, vec![step(1, &[])])));
    let mut rejected = 0;
    for _ in 0..50 {
        for (worker, request) in place(&mut harness) {
            rejected += 1;
            harness.answer_start(&worker, request.run, StartOutcome::InvalidTicket);
        }
        harness.advance(TICK);
    }
    assert!((10..=20).contains(&rejected), "{rejected} in 5 s");
}

/// Guards against gangs in a queue with a policy service, which was never asked about them (LOST).
#[test]
fn a_gang_starts_once_all_its_members_have_tickets() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.poll_all(&["w1", "w2"]);
    let gang = Step {
        gang: true,
        ..step(6, &[])
    };
    harness.submit(with_policy(job(1, vec![gang])));
    let asked = queries(&harness.tick());
    assert_eq!(asked.len(), 1);
    let (step, workers) = &asked[0];
    assert_eq!(workers.len(), 2);
    let tickets = vec![("w1".into(), "ticket-w1".into())];
    let decision = Some((tickets, TICKET_TTL));
    harness.shard.handle_policy(harness.at, *step, decision);
    harness.tick();
    let started = starts(&harness.store_batch());
    assert!(started.is_empty(), "w1 has no room for all: {started:?}");
    harness.advance(TICK * 31);
    let asked = queries(&harness.tick());
    assert_eq!(asked, [(*step, vec![Name::from("w2")])]);
    allow_all(&mut harness, &asked);
    harness.tick();
    let started = starts(&harness.store_batch());
    assert_eq!(started.len(), 6);
    assert!(started.iter().all(|(_, s)| s.run.number == 1));
    assert_tickets(&started);
}

/// Guards against a policy service that is asked about the same workers again and again, so that a gang
/// which needs more of them never starts.
#[test]
fn the_policy_service_is_asked_about_each_worker_in_turn() {
    let workers: Vec<String> = (0..70).map(|i| format!("w{i:02}")).collect();
    let workers: Vec<&str> = workers.iter().map(String::as_str).collect();
    let mut harness = Harness::new(&workers);
    harness.poll_all(&workers);
    let gang = Step {
        gang: true,
        max_per_worker: Some(1),
        ..step(70, &[])
    };
    harness.submit(with_policy(job(1, vec![gang])));
    let mut asked_workers = BTreeSet::new();
    for expected in [30, 30, 10] {
        let asked = queries(&harness.tick());
        assert_eq!(asked.len(), 1);
        assert_eq!(asked[0].1.len(), expected);
        asked_workers.extend(asked[0].1.iter().cloned());
        allow_all(&mut harness, &asked);
    }
    assert_eq!(asked_workers.len(), 70);
    harness.tick();
    let started = starts(&harness.store_batch());
    assert_eq!(started.len(), 70);
    assert_tickets(&started);
}

/// Guards against queries that name workers without the step's label, which leave out those with it.
#[test]
fn the_policy_service_is_asked_about_workers_with_the_label() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.poll_all(&["w1", "w2"]);
    let labelled = Step {
        required_label: Some("kind-b".into()),
        ..step(1, &[])
    };
    harness.submit(with_policy(job(1, vec![labelled])));
    assert!(queries(&harness.tick()).is_empty());
}

/// Guards against a long-running task in a queue with a policy service that never starts in a full pool,
/// since short tasks take the room as fast as it becomes free (LOST).
#[test]
fn a_worker_with_a_ticket_is_reserved_for_a_long_running_task() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.poll_all(&["w1", "w2"]);
    harness.submit(job(1, vec![step(30, &[])]));
    harness.tick();
    let mut running = starts(&harness.store_batch());
    assert_eq!(running.len(), 8);
    for (worker, request) in &running {
        harness.answer_start(worker, request.run, StartOutcome::Started(1_000));
    }
    let mut large = step(1, &[]);
    large.long_running = true;
    large.resources.cpu = 4_000;
    let mut policy_job = with_policy(job(2, vec![large]));
    policy_job.queue.name = "archives".into();
    harness.submit(policy_job);
    let asked = queries(&harness.tick());
    let tickets = vec![("w1".into(), "ticket-w1".into())];
    let decision = Some((tickets, TICKET_TTL));
    harness
        .shard
        .handle_policy(harness.at, asked[0].0, decision);
    for sequence in 1..=4 {
        let position = running.iter().position(|(worker, _)| &**worker == "w1");
        let (_, request) = running.remove(position.unwrap());
        let rest = running.iter().filter(|(worker, _)| &**worker == "w1");
        let rest = rest.map(|(_, r)| run_status(r.run, 50)).collect();
        let end = finished_run(sequence, request.run, RunOutcome::Done);
        harness.answer_poll("w1", &report(1_000, rest, vec![end]));
        harness.tick();
        let started = starts(&harness.store_batch());
        let jobs: Vec<u64> = started.iter().map(|(_, s)| s.run.task.job.0).collect();
        let expected: &[u64] = if sequence == 4 { &[2] } else { &[] };
        assert_eq!(jobs, expected, "after {sequence} ends");
    }
}

/// Guards against a drain that never completes because the tickets of the tasks that block it together have
/// expired, so that no other worker may take them.
#[test]
fn tickets_are_asked_for_where_tasks_block_a_drain() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let long_running = Step {
        long_running: true,
        max_unavailable: 1,
        ..step(2, &[])
    };
    harness.submit(with_policy(job(1, vec![long_running])));
    let started = place(&mut harness);
    assert_eq!(started.len(), 2);
    for (worker, request) in &started {
        harness.answer_start(worker, request.run, StartOutcome::Started(1_000));
    }
    let statuses = started.iter().map(|(_, r)| run_status(r.run, 100));
    let statuses: Vec<_> = statuses.collect();
    harness.tick();
    harness.answer_poll("w1", &report(1_100, statuses, vec![]));
    harness.update_workers(&["w1", "w2"]);
    harness.advance(TICKET_TTL);
    harness.poll_all(&["w2"]);
    harness.shard.drain(harness.at, &"w1".into(), true);
    let asked = queries(&harness.tick());
    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].1, [Name::from("w2")]);
    allow_all(&mut harness, &asked);
    harness.shard.drain(harness.at, &"w1".into(), true);
    let effects = harness.tick();
    let stops = effects.iter().filter(|e| matches!(e, Effect::Stop(..)));
    assert_eq!(stops.count(), 1, "{effects:?}");
}
