//! Tests of admission and of shares while the demand for a pool exceeds its capacity.

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
use crate::support::starts;
use crate::support::step;

/// The simulated time between two scheduling passes.
const TICK: Duration = Duration::from_millis(50);

/// The run time of each task, which equals its estimate.
const RUN_TIME: Duration = Duration::from_millis(500);

/// How many jobs completed within their objective, completed after it, and were rejected.
#[derive(Debug, Default, PartialEq, Eq)]
struct JobCounts {
    on_time: usize,
    late: usize,
    rejected: usize,
}

/// Simulates a load on two workers with a capacity of eight tasks together: one job of four tasks
/// is submitted every `every` ticks for `ticks` ticks, then none until all jobs have finished.
fn simulate_load(every: usize, ticks: usize) -> JobCounts {
    let workers = ["w1", "w2"];
    let mut harness = Harness::new(&workers);
    harness.poll_all(&workers);
    let mut counts = JobCounts::default();
    let mut active_runs: BTreeMap<Name, Vec<(RunId, Duration)>> = BTreeMap::new();
    let mut last_sequences: BTreeMap<Name, u64> = BTreeMap::new();
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
                Effect::Respond(_, Response::Rejected { retry_after }) => {
                    assert!(*retry_after >= Duration::from_secs(1));
                    counts.rejected += 1;
                }
                Effect::Poll(worker, _) => {
                    let runs = active_runs.entry(worker.clone()).or_default();
                    let (finished, active): (Vec<_>, Vec<_>) =
                        runs.drain(..).partition(|(_, until)| *until <= time);
                    *runs = active;
                    let statuses = runs.iter().map(|(run, _)| run_status(*run, 50)).collect();
                    let sequence = last_sequences.entry(worker.clone()).or_insert(0);
                    let finished = finished.into_iter().map(|(run, _)| {
                        *sequence += 1;
                        finished_run(*sequence, run, RunOutcome::Done)
                    });
                    let clock_ms = 1_000 + u64::try_from(time.as_millis()).unwrap();
                    harness.answer_poll(worker, &report(clock_ms, statuses, finished.collect()));
                }
                _ => {}
            }
        }
        for (worker, request) in starts(&effects) {
            harness.answer_start(&worker, request.run, StartOutcome::Started(1_000));
            let runs = active_runs.entry(worker).or_default();
            runs.push((request.run, time + RUN_TIME));
        }
        for (id, submitted_at) in &submitted {
            let state = harness.shard.state(JobId(*id));
            if state == Some(JobState::Completed) && !done.contains(id) {
                done.push(*id);
                // The objective is twice the critical path of 500 ms, plus one second.
                match time - *submitted_at <= Duration::from_secs(2) {
                    true => counts.on_time += 1,
                    false => counts.late += 1,
                }
            }
        }
        time += TICK;
        harness.advance(TICK);
    }
    assert_eq!(
        counts.on_time + counts.late + counts.rejected,
        submitted.len()
    );
    counts
}

/// Guards against rejected or late jobs while the pool's capacity meets the demand.
#[test]
fn a_pool_with_enough_capacity_completes_every_job_on_time() {
    let counts = simulate_load(8, 200);
    assert_eq!((counts.late, counts.rejected), (0, 0), "{counts:?}");
}

/// Returns how many jobs complete within their objective when one arrives every `every` ticks for
/// `ticks` ticks, and an ideal pool without scheduling delays runs them in the order of their
/// arrival, two jobs of four tasks at a time.
fn on_time_in_arrival_order(every: usize, ticks: usize) -> usize {
    let mut free = [Duration::ZERO; 2];
    let arrivals = (0..ticks).step_by(every).map(|tick| TICK * tick as u32);
    let on_time = arrivals.filter(|arrival| {
        free.sort_unstable();
        let done = free[0].max(*arrival) + RUN_TIME;
        free[0] = done;
        done - *arrival <= Duration::from_secs(2)
    });
    on_time.count()
}

/// Guards against a peak that makes every job late. At least 1.3 times as many jobs have to
/// complete on time as in the order of their arrival.
#[test]
fn a_peak_completes_more_jobs_on_time_than_arrival_order() {
    let counts = simulate_load(2, 160);
    let in_arrival_order = on_time_in_arrival_order(2, 160);
    assert!(
        counts.on_time * 10 >= in_arrival_order * 13,
        "{in_arrival_order} {counts:?}"
    );
}

/// Guards against a team that submits many times its share and displaces the jobs of other teams.
#[test]
fn a_team_over_its_share_starts_after_the_others() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.poll_all(&["w1", "w2"]);
    let teams = ["hot", "calm"].map(Name::from);
    let unlimited = teams.iter().map(|t| (t.clone(), Resources::default()));
    harness.shard.set_quotas(&unlimited.collect());
    let shares = teams.iter().cloned().zip([1, 10]);
    harness.shard.set_share_rates(shares.collect());
    let team_job = |id, team: &Name| {
        let mut job = job(id, vec![step(4, &[])]);
        job.team = Some(team.clone());
        job
    };
    for id in 1..=6 {
        harness.submit(team_job(id, &teams[0]));
    }
    harness.tick();
    let running: Vec<_> = starts(&harness.store_batch());
    assert_eq!(running.len(), 8, "the pool is full");
    let rejected = harness.submit(team_job(7, &teams[0]));
    let effects = harness.tick();
    let is_rejection = |e: &Effect| matches!(e, Effect::Respond(t, Response::Rejected { retry_after }) if *t == rejected && *retry_after >= Duration::from_secs(1));
    assert!(effects.iter().any(is_rejection), "{effects:?}");
    let accepted = harness.submit(team_job(8, &teams[1]));
    harness.tick();
    let effects = harness.store_batch();
    assert!(effects.contains(&Effect::Respond(accepted, Response::Accepted)));
    for worker in ["w1", "w2"].map(Name::from) {
        let on_worker = running.iter().filter(|(w, _)| *w == worker);
        let finished = (1..).zip(on_worker).map(|(n, (_, request))| {
            harness.answer_start(&worker, request.run, StartOutcome::Started(1_000));
            finished_run(n, request.run, RunOutcome::Done)
        });
        let finished: Vec<_> = finished.collect();
        harness.answer_poll(&worker, &report(1_100, vec![], finished));
    }
    harness.tick();
    let started = starts(&harness.store_batch());
    let calm = started.iter().filter(|(_, r)| r.run.task.job == JobId(8));
    assert_eq!((started.len(), calm.count()), (8, 4));
}

/// Guards against counting rejected jobs, which callers submit again, as usage of the team's share.
#[test]
fn a_rejected_job_does_not_count_against_the_share() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    let team = Name::from("team");
    let unlimited = [(team.clone(), Resources::default())];
    harness.shard.set_quotas(&unlimited.into_iter().collect());
    harness
        .shard
        .set_share_rates([(team.clone(), 3)].into_iter().collect());
    let team_job = |id, tasks| {
        let mut job = job(id, vec![step(tasks, &[])]);
        job.team = Some(team.clone());
        job
    };
    harness.submit(team_job(1, 4));
    harness.submit(team_job(2, 400));
    harness.tick();
    assert_eq!(starts(&harness.store_batch()).len(), 4, "the pool is full");
    harness.shard.take_log_events();
    for id in 3..9 {
        harness.submit(team_job(id, 4));
    }
    let log_events = harness.shard.take_log_events();
    let rejected = log_events.iter().filter(|n| n.event == "job_rejected");
    assert_eq!(rejected.count(), 6);
    assert!(
        log_events
            .iter()
            .all(|n| n.detail.contains("cause=too_late")),
        "{log_events:?}"
    );
}
