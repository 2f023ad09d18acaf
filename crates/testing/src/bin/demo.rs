//! Shows a deployment at work: a fixed scenario on separate processes.

use std::process::ExitCode;

use lavenderhollow_testing::scenario::run_text;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const SCENARIO: &str = include_str!("../../scenarios/demo.scenario");

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    // The processes of the world end when the future is dropped.
    let run = tokio::select! {
        run = run_text("demo.scenario", SCENARIO, true) => run,
        _ = tokio::signal::ctrl_c() => Err(eyre::eyre!("interrupted")),
        _ = terminate.recv() => Err(eyre::eyre!("terminated")),
    };
    match run {
        Ok(counts) => {
            println!("outcomes: {counts}");
            println!("demo: ok");
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => {
            eprintln!("demo: failed: {error:#}");
            Ok(ExitCode::FAILURE)
        }
    }
}
