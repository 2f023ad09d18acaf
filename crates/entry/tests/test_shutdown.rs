//! Graceful stop of an entry.

use std::time::Duration;

use futures::future::join_all;
use http::Method;
use serde_json::json;

use crate::support::Call;
use crate::support::Guard;
use crate::support::HOME;
use crate::support::WorldBuilder;
use crate::support::wait_until;

/// The limit of the team in slots.
const LIMIT: u32 = 8;

/// Guards against a stop that cuts requests, and against leases and allotments that stay with an
/// entry that is gone. The VM list goes on naming the entry, so that nothing is reclaimed from it.
#[tokio::test]
async fn a_stopped_entry_cuts_nothing_and_gives_everything_back() -> eyre::Result<()> {
    let builder = WorldBuilder::new().config(|config| {
        let config = config.set("/teams/harbour", "limit", json!(LIMIT));
        config.set("/queues/fees", "run_time_ms", json!(1000))
    });
    let mut world = builder.start().await?;
    world.add_entry(HOME).await?;
    let entry = world.entries.remove(0);
    let address = entry.callers();
    let mut headers = Vec::new();
    for number in 0..10_usize {
        headers.push(match number % 2 {
            0 => world.guard_at(address, Guard::Ticket).await?,
            _ => world.guard_at(address, Guard::Key).await?,
        });
    }
    let calls = headers.iter().map(|header| {
        let call = Call::request(address, "fees", "fee");
        world.send(call.header(header.0, &header.1))
    });
    let stop = async {
        wait_until("requests to run", async || Ok(world.open_starts.now() > 0)).await?;
        entry.shut_down().await
    };
    let late = async {
        wait_until("the entry to refuse requests", async || {
            let call = Call::open(address, "notices", "late");
            match world.send(call).await {
                Ok(answer) if answer.verdict() == "ran" => Ok(false),
                Ok(answer) => {
                    answer.assert_refused("closing");
                    Ok(true)
                }
                Err(_) => Ok(true),
            }
        })
        .await
    };
    let (answers, stopped, refused) = futures::join!(join_all(calls), stop, late);
    stopped?;
    refused?;
    for answer in answers {
        let answer = answer?;
        match answer.verdict() {
            "ran" => answer.assert_ran(b"fee"),
            // It came after the entry had stopped to take requests.
            _ => answer.assert_refused("closing"),
        }
    }
    let client = &world;
    client.open_starts.reset();
    wait_until("the other entry to use the whole limit", async || {
        let calls = (0..2 * LIMIT).map(|_| async {
            let header = client.guard(Guard::Ticket).await?;
            client.fee(0, &header, b"fee").await
        });
        for answer in join_all(calls).await {
            answer?;
        }
        Ok(client.open_starts.most() >= LIMIT)
    })
    .await
}

/// Guards against a worker's lease that runs on after its holder stopped, which would keep the
/// worker idle until the lease ends.
#[tokio::test]
async fn a_stopped_entry_gives_leases_back() -> eyre::Result<()> {
    let mut world = WorldBuilder::new()
        .setting("lease_ms", json!(60_000))
        .start()
        .await?;
    let entry = world.entries.remove(0);
    tokio::time::timeout(Duration::from_secs(20), entry.shut_down()).await??;
    for worker in &world.workers {
        let usage = Call::new(Method::GET, worker.worker.address(), "/usage");
        let usage = world.send(usage).await?.json();
        assert!(usage["lease"].is_null(), "{usage}");
    }
    Ok(())
}
