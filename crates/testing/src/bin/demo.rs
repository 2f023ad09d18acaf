//! Shows three processes at work on the stand-ins of the platform: jobs are submitted to
//! every process, one process is killed and another one stopped, and every job completes once.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use eyre::ensure;
use http::Method;
use http::Request;
use http::StatusCode;
use lavenderhollow_http::CallLimits;
use lavenderhollow_http::HttpClient;
use lavenderhollow_testing::NodeProcess;
use lavenderhollow_testing::fakes::FakePlatform;
use lavenderhollow_testing::fakes::ROUTE_HOST;
use lavenderhollow_testing::fakes::ROUTE_PREFIX;
use lavenderhollow_testing::fakes::TEAM_KEY;
use lavenderhollow_testing::node_binary;

/// How many jobs are submitted.
const JOBS: usize = 12;

/// A generous bound on every wait.
const PATIENCE: Duration = Duration::from_secs(40);

const BODY: &str = r#"{"spec":"work","steps":[
    {"count":4,"cpu":1000,"mem_mb":64,"estimated_ms":300},
    {"count":2,"cpu":1000,"mem_mb":64,"estimated_ms":300,"after":[0]}]}"#;

async fn send(
    client: &HttpClient,
    to: SocketAddr,
    method: Method,
    id: &str,
) -> Option<(StatusCode, Bytes)> {
    let body = if method == Method::POST { BODY } else { "" };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{to}{ROUTE_PREFIX}{id}"))
        .header("host", ROUTE_HOST)
        .header("authorization", format!("Bearer {TEAM_KEY}"))
        .body(Bytes::from_static(body.as_bytes()))
        .ok()?;
    let limits = CallLimits {
        timeout: Duration::from_secs(4),
        max_body: 1 << 16,
    };
    // A process that is gone gives no answer; another one is asked.
    let answer = client.call(request, limits).await.ok()?;
    Some((answer.status(), answer.into_body()))
}

async fn demonstrate() -> eyre::Result<()> {
    let folder = tempfile::tempdir()?;
    let deployment = FakePlatform::start(4, Duration::from_millis(300)).await?;
    let mut processes = Vec::new();
    let program = node_binary()?;
    for vm in ["vm-1", "vm-2", "vm-3"] {
        processes.push(NodeProcess::start(
            &program,
            &deployment,
            folder.path(),
            vm,
        )?);
    }
    let client = HttpClient::new(Duration::from_secs(1), 4);
    let ids: Vec<String> = (1..=JOBS).map(|i| format!("{i:016x}")).collect();
    let until = tokio::time::Instant::now() + PATIENCE;
    let mut accepted = 0;
    let mut turn = 0;
    while accepted < JOBS {
        ensure!(
            tokio::time::Instant::now() < until,
            "{accepted} of {JOBS} jobs accepted"
        );
        turn += 1;
        let to = processes[turn % processes.len()].caller_address;
        let answer = send(&client, to, Method::POST, &ids[accepted]).await;
        match answer {
            Some((StatusCode::OK, _)) => accepted += 1,
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
        if accepted == JOBS / 2 && processes.len() == 3 {
            println!("killing vm-1 after {accepted} jobs");
            drop(processes.remove(0));
        }
    }
    println!("{JOBS} jobs accepted");
    let left = processes[0].caller_address;
    let mut completed = 0;
    while completed < JOBS {
        ensure!(
            tokio::time::Instant::now() < until,
            "{completed} of {JOBS} jobs completed"
        );
        let answer = send(&client, left, Method::GET, &ids[completed]).await;
        match answer {
            Some((StatusCode::OK, body)) if body.windows(9).any(|w| w == b"completed") => {
                completed += 1;
            }
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    println!("{JOBS} jobs completed");
    let started = deployment.task_starts();
    ensure!(
        started.len() == JOBS * 6,
        "{} tasks were started",
        started.len()
    );
    let again = started.values().filter(|count| **count > 1).count();
    println!(
        "{again} of {} tasks were started more than once",
        started.len()
    );
    processes.remove(0).stop()?;
    println!("a stopped process ended by itself");
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    match demonstrate().await {
        Ok(()) => {
            println!("demo: ok");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("demo: failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}
