//! Runs a deployment on this machine, to try requests and the operators' commands on: the stand-ins
//! of the platform, and three processes. Runs until standard input closes or a signal arrives.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lavenderhollow_testing::NodeProcess;
use lavenderhollow_testing::OPERATOR_TOKEN;
use lavenderhollow_testing::fakes::FakePlatform;
use lavenderhollow_testing::fakes::ROUTE_HOST;
use lavenderhollow_testing::fakes::ROUTE_PREFIX;
use lavenderhollow_testing::fakes::TEAM_KEY;
use lavenderhollow_testing::node_binary;
use lexopt::Arg;
use tokio::io::AsyncReadExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
Runs three processes on stand-ins of the platform.

Usage: local [--env FILE]

Options:
  --env FILE   where the shell variables go (default: local.env)
";

/// The workers of the pool, and those of the spare pool.
const WORKERS: (usize, usize) = (4, 2);

/// How long each task runs.
const WORK: Duration = Duration::from_millis(300);

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let mut env = PathBuf::from("local.env");
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Arg::Long("env") => env = parser.value()?.into(),
            other => return Err(other.unexpected().into()),
        }
    }
    let folder = tempfile::tempdir()?;
    let deployment = FakePlatform::start_with_standby(WORKERS.0, WORKERS.1, WORK).await?;
    let program = node_binary()?;
    let started = ["vm-1", "vm-2", "vm-3"]
        .map(|vm| NodeProcess::start(&program, &deployment, folder.path(), vm));
    let processes = started.into_iter().collect::<eyre::Result<Vec<_>>>()?;
    let token = folder.path().join("token");
    std::fs::write(&token, OPERATOR_TOKEN)?;
    let list = |address: &dyn Fn(&NodeProcess) -> String| {
        let all: Vec<String> = processes.iter().map(address).collect();
        all.join(",")
    };
    let variables = format!(
        "export LAVENDERHOLLOW_ENTRIES={}\nexport LAVENDERHOLLOW_TOKEN_FILE={}\nexport CALLERS={}\n\
         export QUEUE={ROUTE_HOST}{ROUTE_PREFIX}\nexport KEY={TEAM_KEY}\nexport FOLDER={}\n",
        list(&|p| p.operator_address.to_string()),
        token.display(),
        list(&|p| p.caller_address.to_string()),
        folder.path().display()
    );
    std::fs::write(&env, variables)?;
    println!("ready: . {}", env.display());
    wait().await?;
    Ok(ExitCode::SUCCESS)
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
