//! Runs scenarios against separate processes.

use std::process::ExitCode;
use std::time::Instant;

use eyre::WrapErr;
use lavenderhollow_testing::scenario::run_text;
use lexopt::Arg;
use lexopt::ValueExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
Runs scenarios against separate processes on loopback addresses.

Usage: scenario [--verbose] FILE...

The grammar is described in crates/testing/scenarios/README.md. The exit code is 0 when every
scenario passes.
";

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let mut files = Vec::new();
    let mut verbose = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Arg::Short('v') | Arg::Long("verbose") => verbose = true,
            Arg::Value(file) => files.push(file.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    eyre::ensure!(!files.is_empty(), "no file\n\n{HELP}");
    let mut terminate = signal(SignalKind::terminate())?;
    // The processes of the world end when the future is dropped.
    tokio::select! {
        passed = run_files(&files, verbose) => Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }),
        _ = tokio::signal::ctrl_c() => Ok(ExitCode::FAILURE),
        _ = terminate.recv() => Ok(ExitCode::FAILURE),
    }
}

async fn run_files(files: &[String], verbose: bool) -> bool {
    let mut passed = true;
    for file in files {
        let started = Instant::now();
        match run_file(file, verbose).await {
            Ok(counts) => println!(
                "ok   {file} ({:.1} s): {counts}",
                started.elapsed().as_secs_f64()
            ),
            Err(error) => {
                passed = false;
                let took = started.elapsed().as_secs_f64();
                println!("FAIL {file} ({took:.1} s): {error:#}");
            }
        }
    }
    passed
}

async fn run_file(file: &str, verbose: bool) -> eyre::Result<String> {
    let text = std::fs::read_to_string(file).wrap_err("can't read the file")?;
    run_text(file, &text, verbose).await
}
