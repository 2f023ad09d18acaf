//! Upper limits of teams at two entries.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use serde_json::json;

use crate::support::Call;
use crate::support::World;
use crate::support::WorldBuilder;
use crate::support::wait_until;

/// Callers that send requests one after another, at each entry.
const CALLERS: usize = 8;

/// How long a limit is watched.
const WATCH: Duration = Duration::from_millis(1500);

async fn set_limit(world: &World, limit: u32) -> eyre::Result<()> {
    let patch = json!({"teams": {"harbour": {"limit": limit}}});
    let answer = world.change(json!({"patch": patch})).await?;
    eyre::ensure!(answer.status() == 200, "{answer:?}");
    for entry in 0..world.entries.len() {
        wait_until("the limit to be in force", async || {
            let status = world.status(entry).await?;
            Ok(status["teams"]["harbour"]["limit"] == limit)
        })
        .await?;
    }
    Ok(())
}

/// Sends requests until told to stop. Each one runs or is refused.
async fn load(world: &World, entry: usize, stop: &AtomicBool) -> eyre::Result<u32> {
    let mut ran = 0;
    while !stop.load(Ordering::SeqCst) {
        let call = Call::request(world.callers(entry), "renewals", "load");
        let answer = world.send(call).await?;
        match answer.verdict() {
            "ran" => ran += 1,
            _ => answer.assert_refused(&answer.kind()),
        }
    }
    Ok(ran)
}

/// Checks that no more than `limit` requests run at once, and that so many do.
async fn watch(world: &World, limit: u32) -> eyre::Result<()> {
    wait_until(&format!("at most {limit} to run"), async || {
        Ok(world.open_starts.now() <= limit)
    })
    .await?;
    world.open_starts.reset();
    let start = Instant::now();
    wait_until(&format!("{limit} to run"), async || {
        Ok(world.open_starts.most() >= limit && start.elapsed() > WATCH)
    })
    .await?;
    assert_eq!(world.open_starts.most(), limit, "requests that ran at once");
    Ok(())
}

/// Guards against entries that together run more than a team's limit, while the limit is lowered
/// or raised under load, and against a limit that stays stranded at one entry.
#[tokio::test]
async fn two_entries_keep_a_limit_under_load() -> eyre::Result<()> {
    let builder = WorldBuilder::new().zone("west");
    let builder = builder.config(|config| config.set("/teams/harbour", "limit", json!(6)));
    let world = builder.start().await?;
    let stop = AtomicBool::new(false);
    let callers = (0..2 * CALLERS).map(|caller| load(&world, caller % 2, &stop));
    let watched = async {
        let result = async {
            for limit in [6, 2, 8] {
                set_limit(&world, limit).await?;
                watch(&world, limit).await?;
            }
            eyre::Ok(())
        }
        .await;
        stop.store(true, Ordering::SeqCst);
        result
    };
    let (watched, counts) = futures::join!(watched, join_all(callers));
    watched?;
    let ran: u32 = counts.into_iter().sum::<eyre::Result<u32>>()?;
    assert!(ran > 0);
    // A learned run time that is sent as the wanted one makes each request longer than the last.
    assert_eq!(world.open_starts.longest(), Duration::from_millis(20));
    Ok(())
}
