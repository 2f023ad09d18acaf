//! Tests of what callers get from a pool that is asked for more than it holds.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::JobState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::Response;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::StartOutcome;

use crate::support::Harness;
use crate::support::finished_run;
use crate::support::job;
use crate::support::report;
use crate::support::run_status;
use crate::support::start_requests;
use crate::support::step;

/// The time between two steps of the load.
const TICK: Duration = Duration::from_millis(50);

/// How long each task takes; the estimate says the same.
const WORK: Duration = Duration::from_millis(500);

/// What callers got.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Plays a load of jobs of four tasks on two workers with room for eight tasks together: one job
/// each `every` ticks for `ticks`, then nothing until all is done.
fn play(every: usize, ticks: usize) -> Outcome {
    let workers = ["w1", "w2"];
    let mut harness = Harness::new(&workers);
    harness.poll_all(&workers);
    let mut outcome = Outcome::default();
    let mut running_on: BTreeMap<Name, Vec<(RunId, Duration)>> = BTreeMap::new();
    let mut ended: BTreeMap<Name, u64> = BTreeMap::new();
    let mut submitted: BTreeMap<u64, Duration> = BTreeMap::new();
    let mut done: Vec<u64> = Vec::new();
    let mut time = Duration::ZERO;
    for tick in 0..ticks * 6 {
        if tick < ticks && tick % every == 0 {
            let id = tick as u64 + 1;
            harness.submit(job(id, vec![step(4, &[])]));
            submitted.insert(id, time);
        }
        let mut effects = harness.tick();
        effects.extend(harness.store_batch());
        for effect in &effects {
            match effect {
                Effect::Respond(_, Response::Refused { retry_after }) => {
                    assert!(*retry_after >= Duration::from_secs(1));
                    outcome.refused += 1;
                }
                Effect::Poll(worker, _) => {
                    let runs = running_on.entry(worker.clone()).or_default();
                    let (over, open): (Vec<_>, Vec<_>) =
                        runs.drain(..).partition(|(_, until)| *until <= time);
                    *runs = open;
                    let rows = runs.iter().map(|(run, _)| run_status(*run, 50)).collect();
                    let number = ended.entry(worker.clone()).or_insert(0);
                    let ends = over.into_iter().map(|(run, _)| {
                        *number += 1;
                        finished_run(*number, run, RunOutcome::Done)
                    });
                    let clock_ms = 1_000 + u64::try_from(time.as_millis()).unwrap();
                    harness.answer_poll(worker, &report(clock_ms, rows, ends.collect()));
                }
                _ => {}
            }
        }
        for (worker, order) in start_requests(&effects) {
            harness.answer_start(&worker, order.run, StartOutcome::Started(1_000));
            let runs = running_on.entry(worker).or_default();
            runs.push((order.run, time + WORK));
        }
        for (id, begun) in &submitted {
            let shown = harness.shard.state(JobId(*id));
            if shown == Some(JobState::Completed) && !done.contains(id) {
                done.push(*id);
                // The objective is twice the chain of 500 ms, and one second.
                match time - *begun <= Duration::from_secs(2) {
                    true => outcome.in_time += 1,
                    false => outcome.late += 1,
                }
            }
        }
        time += TICK;
        harness.advance(TICK);
    }
    assert_eq!(
        outcome.in_time + outcome.late + outcome.refused,
        submitted.len()
    );
    outcome
}

/// Guards against refusals or late jobs while the pool holds the demand.
#[test]
fn a_pool_that_holds_the_demand_serves_every_job_in_time() {
    let outcome = play(8, 200);
    assert_eq!((outcome.late, outcome.refused), (0, 0), "{outcome:?}");
}

/// Returns how many of the jobs that arrive one each `every` ticks for `ticks` are completed in
/// time when all are taken in the order of their arrival, by a pool that loses no time: it
/// completes two jobs of four tasks at once.
fn in_time_by_arrival(every: usize, ticks: usize) -> usize {
    let mut free = [Duration::ZERO; 2];
    let arrivals = (0..ticks).step_by(every).map(|tick| TICK * tick as u32);
    let in_time = arrivals.filter(|arrival| {
        free.sort_unstable();
        let done = free[0].max(*arrival) + WORK;
        free[0] = done;
        done - *arrival <= Duration::from_secs(2)
    });
    in_time.count()
}

/// Guards against a peak that makes every job late. The target is 1.3 times what serving in the
/// order of arrival gives.
#[test]
fn a_peak_leaves_the_jobs_that_fit_in_time() {
    let outcome = play(2, 160);
    let by_arrival = in_time_by_arrival(2, 160);
    assert!(
        outcome.in_time * 10 >= by_arrival * 13,
        "{by_arrival} {outcome:?}"
    );
}

/// Guards against a team that sends many times its share and takes the place of the others.
#[test]
fn a_team_beyond_its_share_waits_behind_the_others() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.poll_all(&["w1", "w2"]);
    let teams = ["hot", "calm"].map(Name::from);
    let unlimited = teams.iter().map(|t| (t.clone(), Resources::default()));
    harness.shard.set_quotas(&unlimited.collect());
    let shares = teams.iter().cloned().zip([1, 10]);
    harness.shard.set_share_rates(shares.collect());
    let of_team = |id, team: &Name| {
        let mut job = job(id, vec![step(4, &[])]);
        job.team = Some(team.clone());
        job
    };
    for id in 1..=6 {
        harness.submit(of_team(id, &teams[0]));
    }
    harness.tick();
    let running: Vec<_> = start_requests(&harness.store_batch());
    assert_eq!(running.len(), 8, "the pool is full");
    let refused = harness.submit(of_team(7, &teams[0]));
    let effects = harness.tick();
    let is_refusal = |e: &Effect| matches!(e, Effect::Respond(t, Response::Refused { retry_after }) if *t == refused && *retry_after >= Duration::from_secs(1));
    assert!(effects.iter().any(is_refusal), "{effects:?}");
    let accepted = harness.submit(of_team(8, &teams[1]));
    harness.tick();
    let answers = harness.store_batch();
    assert!(answers.contains(&Effect::Respond(accepted, Response::Accepted)));
    for worker in ["w1", "w2"].map(Name::from) {
        let here = running.iter().filter(|(w, _)| *w == worker);
        let ends = (1..).zip(here).map(|(n, (_, order))| {
            harness.answer_start(&worker, order.run, StartOutcome::Started(1_000));
            finished_run(n, order.run, RunOutcome::Done)
        });
        let ends: Vec<_> = ends.collect();
        harness.answer_poll(&worker, &report(1_100, vec![], ends));
    }
    harness.tick();
    let next = start_requests(&harness.store_batch());
    let calm = next.iter().filter(|(_, o)| o.run.task.job == JobId(8));
    assert_eq!((next.len(), calm.count()), (8, 4));
}

/// Guards against a team that is taken for one beyond its share because its jobs were refused and
/// came again.
#[test]
fn a_refused_job_does_not_count_against_the_share() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let team = Name::from("team");
    let unlimited = [(team.clone(), Resources::default())];
    harness.shard.set_quotas(&unlimited.into_iter().collect());
    harness
        .shard
        .set_share_rates([(team.clone(), 3)].into_iter().collect());
    let of_team = |id, tasks| {
        let mut job = job(id, vec![step(tasks, &[])]);
        job.team = Some(team.clone());
        job
    };
    harness.submit(of_team(1, 4));
    harness.submit(of_team(2, 400));
    harness.tick();
    assert_eq!(
        start_requests(&harness.store_batch()).len(),
        4,
        "the pool is full"
    );
    harness.shard.take_log_events();
    for id in 3..9 {
        harness.submit(of_team(id, 4));
    }
    let log_events = harness.shard.take_log_events();
    let refused = log_events.iter().filter(|n| n.event == "job_rejected");
    assert_eq!(refused.count(), 6);
    assert!(
        log_events
            .iter()
            .all(|n| n.detail.contains("cause=too_late")),
        "{log_events:?}"
    );
}
