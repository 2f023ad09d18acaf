//! Tests of the evacuation of zones: what is not started in them, what goes on there, and which jobs
//! are rejected.

use std::time::Duration;

use lavenderhollow_shard::DrainStatus;
use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PlacementPolicy;
use lavenderhollow_shard::Repeat;
use lavenderhollow_shard::Response;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::Step;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_shard::WorkerReport;

use crate::support::Harness;
use crate::support::finished_run;
use crate::support::job;
use crate::support::report;
use crate::support::run_status;
use crate::support::starts;
use crate::support::step;
use crate::support::worker_info;

/// Returns the registration of a worker whose zone is the first letter of its id.
fn info(id: &str) -> WorkerInfo {
    WorkerInfo {
        zone: id[..1].into(),
        ..worker_info(id)
    }
}

fn register(harness: &mut Harness, ids: &[&str]) {
    let infos = ids.iter().map(|id| info(id)).collect();
    harness.shard.update_workers(harness.at, infos);
}

/// Returns a harness with workers that have responded, and the given evacuated zones.
fn harness(ids: &[&str], evacuated: &[&str]) -> Harness {
    let mut harness = Harness::new(&[]);
    register(&mut harness, ids);
    harness.poll_all(ids);
    harness.evacuate(evacuated);
    harness
}

fn long_running(count: u32) -> Step {
    Step {
        long_running: true,
        max_unavailable: 1,
        ..step(count, &[])
    }
}

fn gang(count: u32) -> Step {
    Step {
        gang: true,
        ..step(count, &[])
    }
}

/// Places what waits, stores it and returns the starts, each as its worker and run.
fn place(harness: &mut Harness) -> Vec<(Name, RunId)> {
    harness.tick();
    let effects = harness.store_batch();
    let started = starts(&effects).into_iter();
    started.map(|(worker, r)| (worker, r.run)).collect()
}

/// Returns the zones of the workers of starts.
fn zones(starts: &[(Name, RunId)]) -> Vec<&str> {
    starts.iter().map(|(worker, _)| &worker[..1]).collect()
}

/// Returns whether a job of one step is accepted.
fn accepts(harness: &mut Harness, id: u64, step: Step) -> bool {
    harness.submit(job(id, vec![step]));
    let effects = harness.shard.take_effects();
    let rejection = effects.iter().find_map(|effect| match effect {
        Effect::Respond(_, Response::Rejected { retry_after }) => Some(*retry_after),
        _ => None,
    });
    assert!(rejection.is_none_or(|after| after >= Duration::from_secs(1)));
    rejection.is_none()
}

/// Guards against a task that is placed in an evacuated zone: on a known worker, on one that joins or
/// restarts there, or by an owner that has just taken over.
#[test]
fn no_task_is_placed_in_an_evacuated_zone() {
    let mut harness = harness(&["a1", "b1"], &["a"]);
    harness.submit(job(1, vec![step(8, &[])]));
    assert_eq!(zones(&place(&mut harness)), ["b"; 4]);
    // A worker joins, and another restarts.
    let restarted = WorkerInfo {
        incarnation: 2,
        ..info("a1")
    };
    let infos = vec![restarted, info("a2"), info("b1")];
    harness.shard.update_workers(harness.at, infos);
    harness.tick();
    harness.store_batch();
    harness.advance(Duration::from_millis(200));
    harness.poll_all(&["a2"]);
    let second_life = WorkerReport {
        incarnation: 2,
        ..report(1_000, vec![], vec![])
    };
    harness.answer_poll("a1", &second_life);
    assert_eq!(place(&mut harness), []);
    harness.replace_owner(&[]);
    harness.evacuate(&["a"]);
    register(&mut harness, &["a1", "a2", "b1"]);
    harness.poll_all(&["a1", "a2", "b1"]);
    assert!(zones(&place(&mut harness)).iter().all(|zone| *zone == "b"));
    harness.evacuate(&[]);
    assert!(zones(&place(&mut harness)).contains(&"a"));
}

/// Guards against a worker without a zone that is taken for one of an evacuated zone.
#[test]
fn a_worker_without_a_zone_is_never_evacuated() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.evacuate(&["", "a"]);
    harness.submit(job(1, vec![step(1, &[])]));
    assert_eq!(place(&mut harness).len(), 1);
}

/// Guards against a worker whose registration names another zone than before, and that is taken for one
/// of the former zone.
#[test]
fn a_worker_is_in_the_zone_of_its_last_registration() {
    let mut harness = harness(&["a1"], &["b"]);
    let moved = WorkerInfo {
        zone: "b".into(),
        ..info("a1")
    };
    harness.shard.update_workers(harness.at, vec![moved]);
    harness.submit(job(1, vec![long_running(1)]));
    assert_eq!(place(&mut harness), []);
    register(&mut harness, &["a1"]);
    assert_eq!(place(&mut harness).len(), 1);
}

/// Guards against a start that was placed before the evacuation was known and is sent after it, and
/// against a task that is not placed elsewhere then.
#[test]
fn a_start_that_is_being_stored_is_withheld() {
    let mut harness = harness(&["a1"], &[]);
    harness.submit(job(1, vec![step(2, &[])]));
    harness.tick();
    // The batch is in flight when the request becomes known.
    let records = harness.shard.next_batch().unwrap();
    harness.apply_records(records);
    harness.evacuate(&["a"]);
    harness.shard.batch_stored(harness.at);
    assert_eq!(starts(&harness.shard.take_effects()), []);
    assert_eq!(harness.shard.take_withheld_starts(), 2);
    assert_eq!(harness.shard.take_withheld_starts(), 0);
    register(&mut harness, &["a1", "b1"]);
    harness.poll_all(&["b1"]);
    let started = place(&mut harness);
    assert_eq!(zones(&started), ["b", "b"]);
    assert!(started.iter().all(|(_, run)| run.number == 2));
}

/// Guards against a start that is sent because its batch was not yet being stored when the request
/// became known, and against one that is withheld although the request was withdrawn before.
#[test]
fn a_start_that_waits_for_the_next_batch_is_withheld() {
    let mut harness = harness(&["a1"], &[]);
    harness.submit(job(1, vec![step(1, &[])]));
    harness.tick();
    harness.evacuate(&["a"]);
    assert_eq!(starts(&harness.store_batch()), []);
    assert_eq!(harness.shard.take_withheld_starts(), 1);
    harness.evacuate(&[]);
    harness.tick();
    harness.evacuate(&["a"]);
    harness.evacuate(&[]);
    assert_eq!(starts(&harness.store_batch()).len(), 1);
}

/// Guards against a part of a gang that is sent although another part is withheld: its tasks would
/// wait for the others and fail.
#[test]
fn a_gang_is_withheld_as_a_whole() {
    let mut harness = harness(&["a1", "b1"], &[]);
    harness.submit(job(1, vec![gang(6)]));
    harness.tick();
    harness.evacuate(&["a"]);
    assert_eq!(starts(&harness.store_batch()), []);
    assert_eq!(harness.shard.take_withheld_starts(), 6);
    register(&mut harness, &["a1", "b1", "c1"]);
    harness.poll_all(&["c1"]);
    let started = place(&mut harness);
    assert_eq!(started.len(), 6);
    assert!(!zones(&started).contains(&"a"));
    assert!(started.iter().all(|(_, run)| run.number == 2));
}

/// Guards against a part of a gang that is sent although the worker of another part has restarted
/// while the starts were being stored.
#[test]
fn a_gang_is_withheld_if_one_of_its_workers_restarts() {
    let mut harness = harness(&["a1", "b1"], &[]);
    harness.submit(job(1, vec![gang(6)]));
    harness.tick();
    let records = harness.shard.next_batch().unwrap();
    harness.apply_records(records);
    let restarted = WorkerInfo {
        incarnation: 2,
        ..info("a1")
    };
    let infos = vec![restarted, info("b1")];
    harness.shard.update_workers(harness.at, infos);
    harness.shard.batch_stored(harness.at);
    assert_eq!(starts(&harness.shard.take_effects()), []);
    assert_eq!(harness.shard.take_withheld_starts(), 0);
}

/// Guards against an evacuation that stops what runs: a run in the zone keeps its lease, its end is
/// acknowledged, and nothing is stopped. A long-running task that ends is placed elsewhere.
#[test]
fn what_runs_in_an_evacuated_zone_continues() {
    let mut harness = harness(&["a1"], &[]);
    harness.submit(job(1, vec![long_running(1)]));
    let (worker, run) = place(&mut harness).remove(0);
    harness.answer_start(&worker, run, StartOutcome::Started(1_000));
    register(&mut harness, &["a1", "b1"]);
    harness.poll_all(&["b1"]);
    let listed = |clock_ms| report(clock_ms, vec![run_status(run, 100)], vec![]);
    harness.answer_poll("a1", &listed(1_000));
    harness.evacuate(&["a"]);
    for clock_ms in [2_000, 3_000, 4_000] {
        harness.advance(Duration::from_secs(1));
        let effects = harness.tick();
        let leases = effects.iter().filter_map(|effect| match effect {
            Effect::Poll(name, poll) if *name == worker => poll.lease_deadline,
            _ => None,
        });
        assert!(leases.max().is_some_and(|deadline| deadline > clock_ms));
        assert!(!effects.iter().any(|e| matches!(e, Effect::Stop(..))));
        harness.answer_poll("a1", &listed(clock_ms));
    }
    assert_eq!(place(&mut harness), []);
    let ended = finished_run(1, run, RunOutcome::Failed);
    harness.answer_poll("a1", &report(4_000, vec![], vec![ended]));
    let started = place(&mut harness);
    assert_eq!(zones(&started), ["b"]);
    let polls = harness.tick();
    let acked = polls.iter().any(
        |effect| matches!(effect, Effect::Poll(name, poll) if *name == worker && poll.acked_until == 1),
    );
    assert!(acked, "the end is acknowledged: {polls:?}");
}

/// Guards against a job that is accepted and held although only evacuated zones have capacity for it:
/// they have the whole pool, all workers with its label, or too much of a gang's places. Jobs that have
/// time to wait are accepted, as is a job that others have capacity for.
#[test]
fn a_job_that_only_evacuated_zones_have_capacity_for_is_rejected() {
    let mut harness = harness(&["a1", "b1"], &["a"]);
    assert!(accepts(&mut harness, 1, step(20, &[])));
    assert!(accepts(&mut harness, 2, gang(4)));
    assert!(!accepts(&mut harness, 3, gang(5)));
    assert!(
        accepts(&mut harness, 4, gang(9)),
        "no zone has capacity for it, evacuated or not"
    );
    let labelled = |label: &str| Step {
        required_label: Some(label.into()),
        ..step(1, &[])
    };
    let mut special = info("a1");
    special.labels.push("r9".into());
    harness
        .shard
        .update_workers(harness.at, vec![special, info("b1")]);
    assert!(!accepts(&mut harness, 5, labelled("r9")));
    assert!(accepts(&mut harness, 6, labelled("r1")));
    assert!(
        accepts(&mut harness, 7, labelled("nowhere")),
        "as without an evacuation"
    );
    harness.evacuate(&["a", "b"]);
    assert!(!accepts(&mut harness, 8, step(1, &[])));
    assert!(accepts(&mut harness, 9, long_running(1)));
    let mut repeated = job(10, vec![step(1, &[])]);
    repeated.repeat = Some(Repeat {
        start_ms: 0,
        interval_ms: 1_000,
        count: 1,
    });
    harness.submit(repeated);
    let rejected = harness.shard.take_effects();
    assert!(rejected.is_empty(), "{rejected:?}");
    assert!(
        accepts(&mut harness, 1, step(20, &[])),
        "a job that is known is confirmed"
    );
    harness.evacuate(&["a"]);
    assert!(accepts(&mut harness, 8, step(1, &[])));
}

/// Guards against a pool that gets no machines of other zones while all of its jobs are rejected.
#[test]
fn rejected_jobs_show_in_the_demand_of_their_pool() {
    let mut harness = harness(&["a1"], &["a"]);
    assert!(!accepts(&mut harness, 1, step(20, &[])));
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert!(demand.is_short(), "{demand:?}");
    assert_eq!(demand.offered.cpu, 0);
}

/// Guards against evacuations of several zones, or of all, that are mixed up, and against a request that
/// is withdrawn and made again without effect.
#[test]
fn only_the_latest_set_of_zones_counts() {
    let mut harness = harness(&["a1", "b1", "c1"], &["a", "b"]);
    harness.submit(job(1, vec![step(24, &[])]));
    assert_eq!(zones(&place(&mut harness)), ["c"; 4]);
    harness.evacuate(&[]);
    harness.evacuate(&["a", "b", "c"]);
    assert_eq!(place(&mut harness), []);
    harness.evacuate(&["b"]);
    assert_eq!(zones(&place(&mut harness)), ["a"; 4]);
}

/// Guards against workers of evacuated zones that count as capacity of their pool: in its reports, which
/// bring in machines or give them away, and in queries to the policy service.
#[test]
fn evacuated_workers_are_no_capacity() {
    let mut harness = harness(&["a1", "b1"], &["a"]);
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!(demand.offered.cpu, 4_000);
    let idle: Vec<&str> = demand.idle.iter().map(|(name, _)| &**name).collect();
    assert_eq!(idle, ["b1"]);
    let mut with_policy = job(1, vec![step(1, &[])]);
    with_policy.queue.policy = Some(PlacementPolicy {
        ticket_ttl: Duration::from_secs(1),
    });
    harness.submit(with_policy);
    let effects = harness.tick();
    let queried = effects.iter().find_map(|effect| match effect {
        Effect::QueryPolicy(_, workers) => Some(workers.clone()),
        _ => None,
    });
    assert_eq!(queried, Some(vec!["b1".into()]));
}

/// Guards against demand for long-running tasks that go on in the evacuated zone, which would bring in
/// machines that nothing runs on.
#[test]
fn long_running_tasks_in_an_evacuated_zone_need_no_other_capacity() {
    let mut harness = harness(&["a1"], &[]);
    harness.submit(job(1, vec![long_running(2)]));
    assert_eq!(place(&mut harness).len(), 2);
    register(&mut harness, &["a1", "b1"]);
    harness.poll_all(&["b1"]);
    harness.evacuate(&["a"]);
    harness.tick();
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert_eq!((demand.needed.cpu, demand.reserved.cpu), (0, 0));
}

/// Guards against a pool that asks for less capacity, and admits more jobs, because short tasks still run
/// in an evacuated zone while its long-running tasks run elsewhere.
#[test]
fn short_tasks_in_an_evacuated_zone_leave_the_long_running_demand() {
    let mut harness = harness(&["b1"], &[]);
    harness.submit(job(1, vec![long_running(2)]));
    assert_eq!(place(&mut harness).len(), 2);
    register(&mut harness, &["a1", "b1"]);
    harness.poll_all(&["a1"]);
    let long_running = |harness: &mut Harness| harness.shard.pool_load(harness.at.now, "pool");
    let requested = long_running(&mut harness).long_running;
    assert!(requested > 0);
    harness.evacuate(&["b"]);
    harness.submit(job(2, vec![step(2, &[])]));
    assert_eq!(zones(&place(&mut harness)), ["a", "a"]);
    harness.evacuate(&["a"]);
    harness.tick();
    assert_eq!(long_running(&mut harness).long_running, requested);
    let demand = harness.shard.pool_demand(harness.at.now, "pool");
    assert!(demand.needed.cpu >= requested, "{demand:?}");
    harness.evacuate(&["a", "b"]);
    harness.tick();
    assert_eq!(long_running(&mut harness).long_running, 0);
}

/// Guards against a quota that a shard is granted for tasks that can't run, and that other shards lack.
#[test]
fn an_evacuated_pool_asks_for_no_quota() {
    let mut harness = harness(&["a1"], &[]);
    let mut team_job = job(1, vec![step(1, &[])]);
    team_job.team = Some("team".into());
    harness.submit(team_job);
    harness.evacuate(&["a"]);
    harness.tick();
    let usage = harness.shard.team_usage();
    assert!(usage.iter().all(|team| team.pending.cpu == 0), "{usage:?}");
    harness.evacuate(&[]);
    harness.tick();
    let usage = harness.shard.team_usage();
    assert!(usage.iter().any(|team| team.pending.cpu > 0), "{usage:?}");
}

/// Guards against a wave that waits for a pool under load although the machine adds no capacity to it,
/// and against a drain that ignores the disruption budget because of an evacuation.
#[test]
fn a_drain_in_an_evacuated_zone_is_not_deferred() {
    let mut harness = harness(&["a1", "b1", "b2"], &[]);
    harness.submit(job(1, vec![step(8, &[]), long_running(4)]));
    let started = place(&mut harness);
    assert_eq!(started.len(), 12);
    for (worker, run) in &started {
        harness.answer_start(worker, *run, StartOutcome::Started(1_000));
    }
    let drain = |harness: &mut Harness, worker: &str| {
        harness.shard.drain(harness.at, &worker.into(), false)
    };
    assert_eq!(drain(&mut harness, "a1"), DrainStatus::Deferred);
    harness.evacuate(&["a"]);
    assert_eq!(drain(&mut harness, "b1"), DrainStatus::Deferred);
    assert_eq!(
        drain(&mut harness, "a1"),
        DrainStatus::Busy,
        "short tasks and the disruption budget keep the machine up"
    );
}

/// Guards against an evacuation of which the log of a shard does not say how many workers it affects,
/// and against a log that grows with each update of the workers.
#[test]
fn the_log_tells_the_affected_workers() {
    let mut harness = harness(&["a1", "a2", "b1"], &[]);
    harness.shard.take_log_events();
    let logged = |harness: &mut Harness| {
        let events = harness.shard.take_log_events();
        let events = events.into_iter();
        let events = events.filter(|e| e.event == "evacuated_workers_changed");
        events
            .map(|e| format!("{} {}", e.subject, e.detail))
            .collect::<Vec<String>>()
    };
    harness.evacuate(&["a", "nowhere"]);
    assert_eq!(logged(&mut harness), ["a workers=2 before=0 registered=3"]);
    register(&mut harness, &["a1", "a2", "b1"]);
    assert_eq!(logged(&mut harness), [""; 0]);
    register(&mut harness, &["a1", "a2", "a3", "b1"]);
    assert_eq!(logged(&mut harness), ["a workers=3 before=2 registered=4"]);
    harness.evacuate(&[]);
    assert_eq!(logged(&mut harness), ["a workers=0 before=3 registered=4"]);
}
