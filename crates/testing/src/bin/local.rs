//! Runs a local deployment for trying out requests and operator commands: a fake platform and three
//! node processes. Runs until standard input closes or SIGINT or SIGTERM arrives.

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
Runs three node processes on a fake platform.

Usage: local [--env FILE]

Options:
  --env FILE   the file that the shell variables are written to (default: local.env)
";

/// The numbers of workers in the serving pool and in the standby pool.
const WORKER_COUNTS: (usize, usize) = (4, 2);

/// The run time of each task.
const TASK_DURATION: Duration = Duration::from_millis(300);

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let mut env_file = PathBuf::from("local.env");
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Arg::Long("env") => env_file = parser.value()?.into(),
            other => return Err(other.unexpected().into()),
        }
    }
    let temp_dir = tempfile::tempdir()?;
    let platform =
        FakePlatform::start_with_standby(WORKER_COUNTS.0, WORKER_COUNTS.1, TASK_DURATION).await?;
    let binary = node_binary()?;
    let started = ["vm-1", "vm-2", "vm-3"]
        .map(|vm| NodeProcess::start(&binary, &platform, temp_dir.path(), vm));
    let processes = started.into_iter().collect::<eyre::Result<Vec<_>>>()?;
    let token_file = temp_dir.path().join("token");
    std::fs::write(&token_file, OPERATOR_TOKEN)?;
    let join_addresses = |address: &dyn Fn(&NodeProcess) -> String| {
        let addresses: Vec<String> = processes.iter().map(address).collect();
        addresses.join(",")
    };
    let variables = format!(
        "export LAVENDERHOLLOW_ENTRIES={}\nexport LAVENDERHOLLOW_TOKEN_FILE={}\nexport CALLERS={}\n\
         export QUEUE={ROUTE_HOST}{ROUTE_PREFIX}\nexport KEY={TEAM_KEY}\nexport FOLDER={}\n",
        join_addresses(&|p| p.operator_address.to_string()),
        token_file.display(),
        join_addresses(&|p| p.caller_address.to_string()),
        temp_dir.path().display()
    );
    std::fs::write(&env_file, variables)?;
    println!("ready: . {}", env_file.display());
    wait_for_shutdown().await?;
    Ok(ExitCode::SUCCESS)
}

async fn wait_for_shutdown() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut input = tokio::io::stdin();
    let mut buffer = [0; 64];
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return Ok(()),
            _ = terminate.recv() => return Ok(()),
            read = input.read(&mut buffer) => if read? == 0 { return Ok(()) },
        }
    }
}
