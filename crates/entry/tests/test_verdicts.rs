//! Verdicts on the request path, with the workers' run counts as the oracle.

use std::time::Duration;

use futures::future::join_all;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::support::Call;
use crate::support::Guard;
use crate::support::Tally;
use crate::support::World;
use crate::support::WorldBuilder;
use crate::support::wait_until;

const GUARDS: [Guard; 2] = [Guard::Key, Guard::Ticket];

async fn two_zones() -> eyre::Result<World> {
    let world = WorldBuilder::new().zone("west").start().await?;
    wait_until("the entries to hear each other", async || {
        let header = world.guard(Guard::Ticket).await?;
        Ok(world.fee(1, &header, b"hello").await?.verdict() == "ran")
    })
    .await?;
    Ok(world)
}

/// Guards against a second run, or a false "not run", of a request whose answer is lost, cut,
/// altered, crossed or late, at the first submission and at repeats in both zones.
#[tokio::test]
async fn requests_in_doubt_never_run_again_by_key() -> eyre::Result<()> {
    check_faults(Guard::Key).await
}

/// Guards against the same with execution tickets.
#[tokio::test]
async fn requests_in_doubt_never_run_again_by_ticket() -> eyre::Result<()> {
    check_faults(Guard::Ticket).await
}

async fn check_faults(guard: Guard) -> eyre::Result<()> {
    let world = two_zones().await?;
    let faults = [
        (json!({"answer_lost": true}), json!({"answer_lost": false})),
        (json!({"body": "cut"}), json!({"body": "none"})),
        (json!({"body": "short"}), json!({"body": "none"})),
        (json!({"body": "altered"}), json!({"body": "none"})),
        (json!({"late_ms": 3000}), json!({"late_ms": 0})),
    ];
    for (fault, cleared) in faults {
        for first in [0, 1] {
            check_doubt(&world, guard, first, &fault, &cleared).await?;
        }
    }
    Ok(())
}

async fn check_doubt(
    world: &World,
    guard: Guard,
    first: usize,
    fault: &Value,
    cleared: &Value,
) -> eyre::Result<()> {
    let case = format!("{guard:?} first at {first} with {fault}");
    let header = world.guard(guard).await?;
    let before = world.run_count().await?;
    world.patch_workers(fault.clone()).await?;
    let call = Call::request(world.callers(first), "fees", "fee");
    let call = call
        .header("deadline-ms", "500")
        .header(header.0, &header.1);
    let answer = world.send(call).await?;
    assert_eq!(answer.verdict(), "may_have_run", "{case}: {answer:?}");
    assert_eq!(answer.status(), 502, "{case}: {answer:?}");
    world.patch_workers(cleared.clone()).await?;
    for entry in [1, 0] {
        let answer = world.fee(entry, &header, b"fee").await?;
        assert_eq!(
            answer.verdict(),
            "may_have_run",
            "{case}, repeated at {entry}: {answer:?}"
        );
    }
    assert_eq!(world.run_count().await? - before, 1, "runs of {case}");
    Ok(())
}

/// Guards against an idempotent request whose answer is lost and that is given up though the
/// retry budget allows another try, and against a broken body that is delivered.
#[tokio::test]
async fn idempotent_requests_are_retried_after_doubt() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let address = world.callers(0);
    for fault in [
        json!({"answer_lost": true}),
        json!({"body": "cut"}),
        json!({"body": "altered"}),
    ] {
        world.workers[0].control.patch(fault).await?;
        let mut tally = Tally::default();
        for batch in 0..3 {
            let calls = (0..10).map(async |number| {
                let body = format!("renewal {number} of batch {batch}");
                let call = Call::request(address, "renewals", body.clone());
                eyre::Ok((world.send(call).await?, body))
            });
            for result in join_all(calls).await {
                let (answer, body) = result?;
                tally.count(&answer, body.as_bytes());
            }
        }
        assert_eq!(tally.not_run, 0, "{tally:?}");
        assert!(tally.ran >= 10, "{tally:?}");
        let whole = json!({"answer_lost": false, "body": "none"});
        world.workers[0].control.patch(whole).await?;
    }
    // Each worker got requests, and the healthy one got retries.
    let retried = world
        .runs()
        .await?
        .values()
        .filter(|runs| **runs > 1)
        .count();
    assert!(retried > 0, "nothing was retried");
    Ok(())
}

/// Guards against a refused or unreachable target that uses a request up, and against a false
/// "not run".
#[tokio::test]
async fn refused_requests_run_elsewhere_or_not_at_all() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let mut tally = Tally::default();
    world.workers[0]
        .control
        .patch(json!({"connections": 0}))
        .await?;
    for guard in GUARDS {
        for _ in 0..5 {
            let header = world.guard(guard).await?;
            let answer = world.fee(0, &header, b"fee").await?;
            assert_eq!(
                answer.verdict(),
                "ran",
                "the other worker is free: {answer:?}"
            );
            tally.count(&answer, b"fee");
        }
    }
    world.patch_workers(json!({"connections": 0})).await?;
    for guard in GUARDS {
        let header = world.guard(guard).await?;
        let call = Call::request(world.callers(0), "fees", "fee").header("deadline-ms", "300");
        let answer = world.send(call.header(header.0, &header.1)).await?;
        answer.assert_refused(&answer.kind());
        tally.count(&answer, b"fee");
    }
    world.patch_workers(json!({"connections": 64})).await?;
    reboot(&world, 0).await?;
    for number in 0..40 {
        let header = world.guard(GUARDS[number % 2]).await?;
        tally.count(&world.fee(0, &header, b"fee").await?, b"fee");
    }
    assert!(tally.ran >= 40, "one worker served all the time: {tally:?}");
    tally.assert_once(&world.runs().await?);
    Ok(())
}

/// Makes a worker unreachable for a while.
async fn reboot(world: &World, worker: usize) -> eyre::Result<()> {
    let worker = &world.workers[worker];
    worker.control.patch(json!({"reboot_ms": 2000})).await?;
    let address = worker.worker.address();
    let usage = world
        .send(Call::new(Method::GET, address, "/usage"))
        .await?
        .json();
    let body = json!({"holder": usage["lease"]["holder"], "boots": usage["boots"]});
    let call = Call::new(Method::POST, address, "/reboot").body(body.to_string());
    let answer = world
        .send(call.header("content-type", "application/json"))
        .await?;
    eyre::ensure!(answer.status() == 204, "{answer:?}");
    Ok(())
}

/// Guards against an answer that reaches the caller of another request.
#[tokio::test]
async fn crossed_answers_reach_only_their_own_callers() -> eyre::Result<()> {
    let world = WorldBuilder::new().workers(1).start().await?;
    world.patch_workers(json!({"crossed": true})).await?;
    let mut tally = Tally::default();
    for round in 0..2 {
        let calls = (0..8).map(async |number| {
            let body = format!("fee {number} of round {round}");
            let header = world.guard(GUARDS[number % 2]).await?;
            let answer = world.fee(0, &header, body.as_bytes()).await?;
            eyre::Ok((answer, body))
        });
        for result in join_all(calls).await {
            let (answer, body) = result?;
            tally.count(&answer, body.as_bytes());
        }
    }
    assert!(
        tally.ran > 0,
        "no answer that came over another connection was used: {tally:?}"
    );
    tally.assert_once(&world.runs().await?);
    Ok(())
}

/// Guards against two runs of a request that is submitted at both zones at the same time, and
/// against a key or ticket that is used for another request.
#[tokio::test]
async fn simultaneous_repeats_run_once() -> eyre::Result<()> {
    let world = two_zones().await?;
    world.patch_workers(json!({"late_ms": 100})).await?;
    for guard in GUARDS {
        let before = world.run_count().await?;
        let header = world.guard(guard).await?;
        let calls = (0..10).map(|number| world.fee(number % 2, &header, b"fee"));
        let mut tally = Tally::default();
        for answer in join_all(calls).await {
            tally.count(&answer?, b"fee");
        }
        assert!(tally.ran >= 1 && tally.not_run == 0, "{guard:?}: {tally:?}");
        for entry in [0, 1] {
            wait_until("the outcome to be recorded", async || {
                let answer = world.fee(entry, &header, b"fee").await?;
                assert_ne!(answer.verdict(), "not_run", "{guard:?}: {answer:?}");
                Ok(answer.verdict() == "ran")
            })
            .await?;
            let other = world.fee(entry, &header, b"another fee").await?;
            other.assert_refused("invalid");
        }
        assert_eq!(world.run_count().await? - before, 1, "{guard:?}");
    }
    Ok(())
}

/// Guards against an answer that is lost because it is too large to be kept for a repeat.
#[tokio::test]
async fn large_answers_are_delivered_whole() -> eyre::Result<()> {
    let world = two_zones().await?;
    let body = vec![b'z'; 300_000];
    for entry in [0, 1] {
        for queue in ["renewals", "notices"] {
            let call = Call::request(world.callers(entry), queue, body.clone());
            world.send(call).await?.assert_ran(&body);
        }
        for guard in GUARDS {
            let before = world.run_count().await?;
            let header = world.guard(guard).await?;
            world.fee(entry, &header, &body).await?.assert_ran(&body);
            let repeated = world.fee(1 - entry, &header, &body).await?;
            assert_ne!(repeated.verdict(), "not_run", "{guard:?}: {repeated:?}");
            assert_eq!(world.run_count().await? - before, 1, "{guard:?}");
        }
    }
    Ok(())
}

/// Guards against an answer that is given up while its caller still waits.
#[tokio::test]
async fn late_answers_within_the_deadline_are_delivered() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    world.patch_workers(json!({"late_ms": 1500})).await?;
    let limit = Duration::from_secs(20);
    for guard in GUARDS {
        let header = world.guard(guard).await?;
        let answer = tokio::time::timeout(limit, world.fee(0, &header, b"fee")).await??;
        answer.assert_ran(b"fee");
    }
    Ok(())
}
