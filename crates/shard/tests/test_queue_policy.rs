//! Tests of queues whose policy service decides on which workers their tasks run.

use std::collections::BTreeSet;
use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Job;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PlacementPolicy;
use lavenderhollow_shard::StartRequest;
use lavenderhollow_shard::Step;
use lavenderhollow_shard::StepId;

use crate::support::Harness;
use crate::support::job;
use crate::support::starts;
use crate::support::step;

const TICKET_TTL: Duration = Duration::from_secs(5);

/// The time from one tick to the next.
const TICK: Duration = Duration::from_millis(100);

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

fn assert_tickets(started: &[(Name, StartRequest)]) {
    for (worker, request) in started {
        let expected = format!("ticket-{worker}");
        assert_eq!(request.ticket.as_deref(), Some(&*expected), "{request:?}");
    }
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
