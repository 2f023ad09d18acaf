//! Runs a whole deployment on this machine, to try the operators' commands on.
//!
//! Starts the stand-ins of the platform and entries as processes on loopback, for the services and
//! zones of a questionnaire's answers, and writes a file of shell variables that the commands
//! use. Nothing is published: that is the operator's first step. Runs until standard input closes
//! or a signal arrives.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::WrapErr;
use lavenderhollow_config::Answers;
use lavenderhollow_config::parse;
use lavenderhollow_testing::scenario::World;
use lexopt::Arg;
use lexopt::ValueExt;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
Runs a deployment with stand-ins of the platform on this machine.

Usage: local [--entries COUNT] [--env FILE] ANSWERS

Options:
  --entries COUNT   entries in each availability zone (default: 2)
  --env FILE        where the shell variables go (default: local.env)
";

/// The VMs of a rack.
const RACK_SIZE: usize = 4;

struct Options {
    answers: PathBuf,
    entries: u32,
    env: PathBuf,
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let Some(options) = options()? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let text = std::fs::read_to_string(&options.answers)
        .wrap_err_with(|| format!("can't read {}", options.answers.display()))?;
    let answers: Answers = parse(&text)?;
    let world = start(&answers, options.entries).await?;
    std::fs::write(&options.env, variables(&world)?)?;
    println!("ready: . {}", options.env.display());
    wait().await?;
    Ok(ExitCode::SUCCESS)
}

fn options() -> eyre::Result<Option<Options>> {
    let mut answers = None;
    let mut entries = 2;
    let mut env = PathBuf::from("local.env");
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("entries") => entries = parser.value()?.parse()?,
            Arg::Long("env") => env = parser.value()?.into(),
            Arg::Value(value) if answers.is_none() => answers = Some(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let answers = answers.ok_or_else(|| eyre::eyre!("ANSWERS is missing; see --help"))?;
    Ok(Some(Options {
        answers,
        entries,
        env,
    }))
}

async fn start(answers: &Answers, entries: u32) -> eyre::Result<World> {
    let mut world = World::start(&answers.zones).await?;
    let settings = json!({ "slots": answers.slots_per_worker });
    let mut placed = vec![0; answers.zones.len()];
    for service in &answers.services {
        for number in 0..service.workers as usize {
            let place = number % answers.zones.len();
            let zone = &answers.zones[place];
            let rack = format!("{zone}-rack-{}", placed[place] / RACK_SIZE);
            placed[place] += 1;
            let name = format!("{}-{number}", service.name);
            world
                .add_worker(&name, zone, &rack, &service.name, settings.clone())
                .await?;
        }
    }
    for zone in &answers.zones {
        for number in 0..entries {
            world
                .add_entry(&format!("{zone}-entry-{number}"), zone)
                .await?;
        }
    }
    Ok(world)
}

fn variables(world: &World) -> eyre::Result<String> {
    let mut callers = Vec::new();
    let mut operators = Vec::new();
    for entry in world.entries() {
        let process = world.process(&entry)?;
        callers.push(process.address("callers")?.to_string());
        operators.push(process.address("operators")?.to_string());
    }
    let token = world.folder().join("token");
    Ok(format!(
        "export LAVENDERHOLLOW_ENTRIES={}\nexport LAVENDERHOLLOW_TOKEN_FILE={}\nexport CALLERS=\"{}\"\n\
         export FOLDER={}\n",
        operators.join(","),
        token.display(),
        callers.join(" "),
        world.folder().display()
    ))
}

async fn wait() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut input = tokio::io::stdin();
    let mut rest = [0; 64];
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return Ok(()),
            _ = terminate.recv() => return Ok(()),
            read = input.read(&mut rest) => if read? == 0 { return Ok(()) },
        }
    }
}
