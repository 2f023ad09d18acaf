//! Demonstrates failover of three node processes on a fake platform: jobs are submitted to every
//! process, one process is killed and another one is stopped, and every job still completes.

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

/// The number of jobs that are submitted.
const JOB_COUNT: usize = 12;

/// How long the jobs may take until all are accepted and completed; generous, for slow machines.
const TIMEOUT: Duration = Duration::from_secs(40);

const JOB_BODY: &str = r#"{"spec":"work","steps":[
    {"count":4,"cpu":1000,"mem_mb":64,"estimated_ms":300},
    {"count":2,"cpu":1000,"mem_mb":64,"estimated_ms":300,"after":[0]}]}"#;

async fn send_job_request(
    client: &HttpClient,
    address: SocketAddr,
    method: Method,
    id: &str,
) -> Option<(StatusCode, Bytes)> {
    let body = if method == Method::POST { JOB_BODY } else { "" };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{ROUTE_PREFIX}{id}"))
        .header("host", ROUTE_HOST)
        .header("authorization", format!("Bearer {TEAM_KEY}"))
        .body(Bytes::from_static(body.as_bytes()))
        .ok()?;
    let limits = CallLimits {
        timeout: Duration::from_secs(4),
        max_body: 1 << 16,
    };
    // A killed process gives no response; the caller tries another one.
    let response = client.call(request, limits).await.ok()?;
    Some((response.status(), response.into_body()))
}

async fn run_demo() -> eyre::Result<()> {
    let temp_dir = tempfile::tempdir()?;
    let platform = FakePlatform::start(4, Duration::from_millis(300)).await?;
    let mut processes = Vec::new();
    let binary = node_binary()?;
    for vm in ["vm-1", "vm-2", "vm-3"] {
        processes.push(NodeProcess::start(&binary, &platform, temp_dir.path(), vm)?);
    }
    let client = HttpClient::new(Duration::from_secs(1), 4);
    let ids: Vec<String> = (1..=JOB_COUNT).map(|i| format!("{i:016x}")).collect();
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    let mut accepted = 0;
    let mut attempt = 0;
    while accepted < JOB_COUNT {
        ensure!(
            tokio::time::Instant::now() < deadline,
            "{accepted} of {JOB_COUNT} jobs accepted"
        );
        attempt += 1;
        let address = processes[attempt % processes.len()].caller_address;
        let response = send_job_request(&client, address, Method::POST, &ids[accepted]).await;
        match response {
            Some((StatusCode::OK, _)) => accepted += 1,
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
        if accepted == JOB_COUNT / 2 && processes.len() == 3 {
            println!("killing vm-1 after {accepted} jobs");
            drop(processes.remove(0));
        }
    }
    println!("{JOB_COUNT} jobs accepted");
    let address = processes[0].caller_address;
    let mut completed = 0;
    while completed < JOB_COUNT {
        ensure!(
            tokio::time::Instant::now() < deadline,
            "{completed} of {JOB_COUNT} jobs completed"
        );
        let response = send_job_request(&client, address, Method::GET, &ids[completed]).await;
        match response {
            Some((StatusCode::OK, body)) if body.windows(9).any(|w| w == b"completed") => {
                completed += 1;
            }
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    println!("{JOB_COUNT} jobs completed");
    let task_starts = platform.task_starts();
    ensure!(
        task_starts.len() == JOB_COUNT * 6,
        "{} tasks were started",
        task_starts.len()
    );
    let restarted = task_starts.values().filter(|count| **count > 1).count();
    println!(
        "{restarted} of {} tasks were started more than once",
        task_starts.len()
    );
    processes.remove(0).stop()?;
    println!("one process exited cleanly after SIGTERM");
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    match run_demo().await {
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
