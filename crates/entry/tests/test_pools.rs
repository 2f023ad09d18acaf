//! Waiting for a target, requests that can't run, workers that fail, and cancellations.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use http::Method;
use serde_json::json;

use crate::support::Answer;
use crate::support::Call;
use crate::support::ConfigText;
use crate::support::HARBOUR_KEY;
use crate::support::World;
use crate::support::WorldBuilder;
use crate::support::wait_until;

/// The slots of one worker.
const SLOTS: usize = 8;

/// The queue `renewals` with requests that run for `run_ms` and may take a minute.
fn long_runs(run_ms: u32) -> impl FnOnce(ConfigText) -> ConfigText {
    move |config| {
        let config = config.set("/queues/renewals", "run_time_ms", json!(run_ms));
        config.set("/queues/renewals", "deadline_ms", json!(60_000))
    }
}

async fn job(world: &World, method: Method, job: &str) -> eyre::Result<Answer> {
    let path = format!("/v1/jobs/{job}");
    let call = Call::new(method, world.callers(0), &path);
    world.send(call.bearer(HARBOUR_KEY)).await
}

async fn wait_state(world: &World, id: &str, state: &str) -> eyre::Result<Answer> {
    wait_until(&format!("job state {state}"), async || {
        Ok(job(world, Method::GET, id).await?.text("state") == state)
    })
    .await?;
    job(world, Method::GET, id).await
}

/// Guards against a request that waits for a worker which can't exist, and a durable job of that
/// kind that is tried for ever.
#[tokio::test]
async fn requests_that_fit_no_worker_are_refused() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let start = Instant::now();
    let answer = world
        .send(Call::request(world.callers(0), "giant", "body"))
        .await?;
    answer.assert_refused("impossible");
    assert_eq!(answer.status(), 422);
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "it waited for its deadline"
    );
    let answer = world
        .send(Call::job(world.callers(0), "giant", "body"))
        .await?;
    if answer.status() == 202 {
        let shown = wait_state(&world, &answer.text("job"), "not_run").await?;
        assert!(!shown.text("detail").is_empty(), "{shown:?}");
    } else {
        answer.assert_refused("impossible");
    }
    assert_eq!(world.run_count().await?, 0);
    Ok(())
}

/// Guards against a request that is refused while it could still wait, and one that waits though
/// its deadline can't be met.
#[tokio::test]
async fn requests_wait_for_a_slot_while_their_deadline_allows() -> eyre::Result<()> {
    let world = WorldBuilder::new()
        .workers(1)
        .config(long_runs(1500))
        .start()
        .await?;
    let address = world.callers(0);
    let full =
        join_all((0..SLOTS).map(|_| world.send(Call::request(address, "renewals", "first"))));
    let late = async {
        world.wait_used(SLOTS as u64).await?;
        let call = || Call::request(address, "renewals", "second");
        let hurried = world.send(call().header("deadline-ms", "1600")).await?;
        let patient = world.send(call()).await?;
        eyre::Ok((hurried, patient))
    };
    let (full, late) = futures::join!(full, late);
    for answer in full {
        answer?.assert_ran(b"first");
    }
    let (hurried, patient) = late?;
    hurried.assert_refused("overloaded");
    assert!(!hurried.header("retry-after").is_empty(), "{hurried:?}");
    patient.assert_ran(b"second");
    assert_eq!(
        world.run_count().await?,
        SLOTS as u32 + 1,
        "a refused request ran"
    );
    Ok(())
}

/// Guards against a failing worker that draws requests away from good ones because it is fast.
#[tokio::test]
async fn a_worker_that_fails_everything_is_taken_out() -> eyre::Result<()> {
    // At most a tenth of a pool is taken out.
    let world = WorldBuilder::new().workers(10).start().await?;
    world.workers[0]
        .control
        .patch(json!({"fail_all": true}))
        .await?;
    let mut good = 0;
    let mut number = 0;
    wait_until("100 requests without a failure", async || {
        let body = format!("renewal {}", number % 4);
        let answer = world
            .send(Call::request(world.callers(0), "renewals", body.clone()))
            .await?;
        let expected = lavenderhollow_testing::standin::answer_body(body.as_bytes());
        good = if *answer.body() == expected {
            good + 1
        } else {
            0
        };
        number += 1;
        Ok(good >= 100)
    })
    .await
}

/// Guards against a cancelled job that keeps its slot, its worker or its part of the limit.
#[tokio::test]
async fn cancelled_jobs_free_what_they_held() -> eyre::Result<()> {
    let world = WorldBuilder::new()
        .workers(1)
        .config(long_runs(30_000))
        .start()
        .await?;
    let mut jobs = Vec::new();
    for _ in 0..SLOTS + 1 {
        let answer = world
            .send(Call::job(world.callers(0), "renewals", "long"))
            .await?;
        assert_eq!(answer.status(), 202, "{answer:?}");
        jobs.push(answer.text("job"));
    }
    world.wait_used(SLOTS as u64).await?;
    for id in &jobs {
        let answer = job(&world, Method::DELETE, id).await?;
        assert_eq!(answer.status(), 200, "{answer:?}");
    }
    world.wait_used(0).await?;
    let usage = Call::new(Method::GET, world.workers[0].worker.address(), "/usage");
    let usage = world.send(usage).await?.json();
    assert_eq!(
        usage["running"],
        json!([]),
        "tasks of cancelled jobs run on"
    );
    for id in &jobs {
        let shown = job(&world, Method::GET, id).await?;
        let state = shown.text("state");
        assert!(
            !matches!(state.as_str(), "waiting" | "running"),
            "{shown:?}"
        );
    }
    let answer = world
        .send(Call::request(world.callers(0), "notices", "next"))
        .await?;
    answer.assert_ran(b"next");
    Ok(())
}
