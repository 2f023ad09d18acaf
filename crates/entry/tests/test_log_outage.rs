//! What goes on while the log is down, slow or loses its answers.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use http::Method;
use serde_json::json;

use crate::support::Answer;
use crate::support::Call;
use crate::support::Guard;
use crate::support::HARBOUR_KEY;
use crate::support::HOME;
use crate::support::World;
use crate::support::WorldBuilder;
use crate::support::new_key;
use crate::support::wait_until;

/// How long the log is down before the slower calls: longer than the staleness bound of the tests.
const OUTAGE: Duration = Duration::from_secs(4);

async fn show_job(world: &World, entry: usize, job: &str) -> eyre::Result<Answer> {
    let path = format!("/v1/jobs/{job}");
    let call = Call::new(Method::GET, world.callers(entry), &path);
    world.send(call.bearer(HARBOUR_KEY)).await
}

async fn wait_succeeded(world: &World, job: &str) -> eyre::Result<Answer> {
    wait_until("the job to succeed", async || {
        let answer = show_job(world, 0, job).await?;
        Ok(answer.text("state") == "succeeded")
    })
    .await?;
    show_job(world, 0, job).await
}

/// Sends a job and waits until the entry takes it, which it may refuse just after an outage.
async fn submit(world: &World, entry: usize, body: &str) -> eyre::Result<String> {
    let mut job = String::new();
    wait_until("a job to be stored", async || {
        let call = Call::job(world.callers(entry), "fees", body.to_owned());
        job = world.send(call).await?.text("job");
        Ok(!job.is_empty())
    })
    .await?;
    Ok(job)
}

/// Guards against an outage of the log that stops work which needs no record, against records that
/// are said not to be stored and take effect later, and against work that stays refused afterwards.
#[tokio::test]
async fn work_without_records_goes_on_while_the_log_is_down() -> eyre::Result<()> {
    let world = WorldBuilder::new().zone("west").start().await?;
    wait_until("the zones to hear each other", async || {
        let header = world.guard(Guard::Key).await?;
        Ok(world.fee(1, &header, b"hello").await?.verdict() == "ran")
    })
    .await?;
    world.log_control.patch(json!({"down": true})).await?;
    let down = Instant::now();
    while down.elapsed() < OUTAGE {
        assert_unrecorded_work(&world).await?;
    }
    let refused = assert_recorded_work_refused(&world).await?;
    assert_unrecorded_work(&world).await?;
    let before = world.run_count().await?;
    world.log_control.patch(json!({"down": false})).await?;
    for entry in [0, 1] {
        let job = submit(&world, entry, "job").await?;
        assert_eq!(wait_succeeded(&world, &job).await?.json()["attempts"], 1);
        let header = world.guard(Guard::Key).await?;
        world.fee(entry, &header, b"fee").await?.assert_ran(b"fee");
    }
    assert_eq!(
        world.run_count().await? - before,
        4,
        "refused work ran later"
    );
    for (entry, key) in refused {
        let header = ("idempotency-key", key);
        let answer = world.fee(entry, &header, b"refused").await?;
        assert_eq!(
            answer.verdict(),
            "not_run",
            "it was refused before: {answer:?}"
        );
    }
    Ok(())
}

/// Checks that open queues, keyed idempotent work and tickets go on at both entries.
async fn assert_unrecorded_work(world: &World) -> eyre::Result<()> {
    for entry in [0, 1] {
        let address = world.callers(entry);
        let answer = world.send(Call::open(address, "notices", "open")).await?;
        answer.assert_ran(b"open");
        let answer = world
            .send(Call::request(address, "renewals", "keyed"))
            .await?;
        answer.assert_ran(b"keyed");
        let header = world.guard(Guard::Ticket).await?;
        world
            .fee(entry, &header, b"ticket")
            .await?
            .assert_ran(b"ticket");
    }
    Ok(())
}

/// Checks that claims and durable jobs are refused, and returns the keys of the claims.
async fn assert_recorded_work_refused(world: &World) -> eyre::Result<Vec<(usize, String)>> {
    let before = world.run_count().await?;
    let keys = [0, 1].map(|entry| (entry, new_key()));
    let claims = keys.iter().map(|(entry, key)| {
        let call = Call::request(world.callers(*entry), "fees", "refused");
        world.send(call.header("idempotency-key", key))
    });
    let jobs = [0, 1].map(|entry| world.send(Call::job(world.callers(entry), "fees", "refused")));
    let (claims, jobs) = futures::join!(join_all(claims), join_all(jobs));
    for answer in claims.into_iter().chain(jobs) {
        let answer = answer?;
        answer.assert_refused("log_unavailable");
        assert_eq!(answer.status(), 503, "{answer:?}");
        let seconds: u64 = answer.header("retry-after").parse()?;
        assert!(seconds >= 1, "{answer:?}");
    }
    assert_eq!(world.run_count().await?, before, "refused work ran");
    Ok(keys.into())
}

/// Guards against a record that counts twice because its append is repeated, and against work that
/// is refused although its record was stored.
#[tokio::test]
async fn appends_with_lost_or_late_answers_take_effect_once() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    for fault in [
        json!({"answer_lost": true}),
        json!({"answer_lost": false, "slow_ms": 300}),
    ] {
        let before = world.run_count().await?;
        world.log_control.patch(fault).await?;
        let key = new_key();
        for _ in 0..2 {
            let call = Call::job(world.callers(0), "fees", "job").header("idempotency-key", &key);
            let answer = world.send(call).await?;
            assert_eq!(answer.status(), 202, "{answer:?}");
            assert_eq!(answer.text("job"), key);
        }
        assert_eq!(wait_succeeded(&world, &key).await?.json()["attempts"], 1);
        let header = world.guard(Guard::Key).await?;
        world.fee(0, &header, b"fee").await?.assert_ran(b"fee");
        let repeated = world.fee(0, &header, b"fee").await?;
        assert_ne!(repeated.verdict(), "not_run", "{repeated:?}");
        assert_eq!(world.run_count().await? - before, 2);
    }
    Ok(())
}

/// Guards against a record of a newer version of the program that is skipped, which would let
/// entries fold different states, and that stops work which needs no records.
#[tokio::test]
async fn an_unknown_change_stops_only_its_stream() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let record = json!({"change": {
        "id": uuid::Uuid::new_v4(), "created": 0, "actor": uuid::Uuid::new_v4(),
        "expected": null, "change": {"of_a_newer_version": {}},
    }});
    let path = format!("/streams/zone%2F{HOME}/records");
    let call = Call::new(Method::POST, world.log.address(), &path);
    let body = json!({"records": [record]}).to_string();
    world
        .send(call.header("content-type", "application/json").body(body))
        .await?;
    let header = world.guard(Guard::Key).await?;
    let answer = world.fee(0, &header, b"fee").await?;
    answer.assert_refused("log_unavailable");
    let answer = world
        .send(Call::request(world.callers(0), "renewals", "keyed"))
        .await?;
    answer.assert_ran(b"keyed");
    let header = world.guard(Guard::Ticket).await?;
    world
        .fee(0, &header, b"ticket")
        .await?
        .assert_ran(b"ticket");
    Ok(())
}
