//! Runs a task on a worker and sends its answer, as the faults demand.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bytes::Bytes;
use dropshot::Body;
use http::Response;
use http::StatusCode;
use lavenderhollow_platform::StartTask;
use lavenderhollow_platform::TaskAnswer;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_platform::WorkerRefusal;
use lavenderhollow_platform::answer_to_headers;
use lavenderhollow_platform::body_digest;

use super::BodyFault;
use super::server::Answer;
use super::server::broken;
use super::server::internal;
use super::worker::Worker;

/// How often a running task looks at its lease and its speed.
const TICK: Duration = Duration::from_millis(10);

/// Returns the body with which a worker answers a request body: its SHA-256 digest in
/// hexadecimal, a line feed, and the request body in reverse.
pub fn answer_body(input: &[u8]) -> Bytes {
    let digest = body_digest(input);
    let mut body: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    body.push('\n');
    body.into_bytes()
        .into_iter()
        .chain(input.iter().rev().copied())
        .collect()
}

/// Runs a task to its end.
pub(super) async fn run(worker: &Worker, task: StartTask) -> Result<TaskAnswer, WorkerRefusal> {
    let settings = worker.settings();
    let started = worker
        .state()
        .start(SystemTime::now(), &task, settings.slots, settings.leaving);
    let status = match wait(worker, started?).await {
        TaskStatus::Succeeded if worker.settings().fail_all => TaskStatus::Failed,
        status => status,
    };
    let body = match status {
        TaskStatus::Succeeded => answer_body(&task.body),
        other => other.to_string().into(),
    };
    Ok(TaskAnswer {
        request: task.request,
        attempt: task.attempt,
        status,
        length: body.len() as u64,
        digest: body_digest(&body),
        body,
    })
}

async fn wait(worker: &Worker, key: u64) -> TaskStatus {
    let mut last = Instant::now();
    loop {
        let now = Instant::now();
        let elapsed = match worker.settings().paused {
            true => None,
            false => Some(now - last),
        };
        last = now;
        if let Some(elapsed) = elapsed
            && let Some(status) = worker.state().step(key, SystemTime::now(), elapsed)
        {
            return status;
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Sends an answer.
pub(super) async fn answer(worker: &Worker, answer: TaskAnswer) -> Answer {
    let settings = worker.settings();
    tokio::time::sleep(Duration::from_millis(settings.late_ms)).await;
    worker.unpaused().await;
    if settings.answer_lost {
        return Ok(broken(Bytes::new()));
    }
    let answer = match settings.crossed {
        true => worker.cross(answer),
        false => answer,
    };
    let half = answer.body.slice(..answer.body.len() / 2);
    let mut response = match settings.body {
        BodyFault::None => Response::new(Body::from(answer.body.clone())),
        BodyFault::Cut => broken(half),
        BodyFault::Short => Response::new(Body::from(half)),
        BodyFault::Altered => Response::new(Body::from(altered(&answer.body))),
    };
    *response.status_mut() = StatusCode::OK;
    answer_to_headers(&answer, response.headers_mut()).map_err(|e| internal(&e))?;
    Ok(response)
}

fn altered(body: &[u8]) -> Vec<u8> {
    let mut body = body.to_vec();
    if let Some(first) = body.first_mut() {
        *first = !*first;
    }
    body
}
