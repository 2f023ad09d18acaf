//! Builders that the tests share.

mod answer;
mod config;
mod counting;
mod raw;
mod tally;
mod world;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

pub(crate) use answer::Answer;
pub(crate) use answer::Call;
pub(crate) use config::ConfigText;
pub(crate) use config::HARBOUR_KEY;
pub(crate) use config::HOME;
pub(crate) use counting::CountingWorkers;
pub(crate) use counting::OpenStarts;
pub(crate) use raw::exchange;
pub(crate) use raw::send_part;
pub(crate) use tally::Tally;
pub(crate) use world::Guard;
pub(crate) use world::OPERATOR_TOKEN;
pub(crate) use world::World;
pub(crate) use world::WorldBuilder;

/// The longest wait for a condition, generous for a busy machine.
const WAIT_CAP: Duration = Duration::from_secs(20);

/// The pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Returns a loopback address with a free port.
pub(crate) fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns a new idempotency key.
pub(crate) fn new_key() -> String {
    key_at(SystemTime::now())
}

/// Returns an idempotency key of a time.
pub(crate) fn key_at(time: SystemTime) -> String {
    lavenderhollow_core::once::ClaimKey::from_parts(time, rand::random()).to_string()
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Fails with the name of the condition after [`WAIT_CAP`], or when the condition fails.
pub(crate) async fn wait_until(
    what: &str,
    mut condition: impl AsyncFnMut() -> eyre::Result<bool>,
) -> eyre::Result<()> {
    let start = Instant::now();
    while !condition().await? {
        eyre::ensure!(start.elapsed() < WAIT_CAP, "still waiting for {what}");
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}
