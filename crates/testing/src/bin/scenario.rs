//! Runs scenarios against separate processes.

use std::process::ExitCode;
use std::time::Instant;

use eyre::WrapErr;
use lavenderhollow_testing::scenario::measure;
use lavenderhollow_testing::scenario::run_text;
use lexopt::Arg;
use lexopt::ValueExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
Runs scenarios against separate processes on loopback addresses.

Usage: scenario [--verbose] FILE...
       scenario measure [--rounds 20] [--seed NUMBER]

'measure' times how long a configuration and a withdrawn key take to nine entries.

The grammar is described in crates/testing/scenarios/README.md. The exit code is 0 when every
scenario passes.
";

#[derive(Default)]
struct Options {
    words: Vec<String>,
    verbose: bool,
    rounds: Option<u32>,
    seed: Option<u64>,
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let Some(options) = parse()? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let mut terminate = signal(SignalKind::terminate())?;
    // The processes of the world end when the future is dropped.
    let passed = tokio::select! {
        passed = run(&options) => passed?,
        _ = tokio::signal::ctrl_c() => false,
        _ = terminate.recv() => false,
    };
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn parse() -> eyre::Result<Option<Options>> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Short('v') | Arg::Long("verbose") => options.verbose = true,
            Arg::Long("rounds") => options.rounds = Some(parser.value()?.parse()?),
            Arg::Long("seed") => options.seed = Some(parser.value()?.parse()?),
            Arg::Value(word) => options.words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    eyre::ensure!(!options.words.is_empty(), "no file\n\n{HELP}");
    Ok(Some(options))
}

async fn run(options: &Options) -> eyre::Result<bool> {
    if options.words == ["measure"] {
        let seed = options.seed.unwrap_or_else(rand::random);
        measure(options.rounds.unwrap_or(20), seed).await?;
        return Ok(true);
    }
    Ok(run_files(&options.words, options.verbose).await)
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
