//! Calls to workers over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CallError;
use crate::CheckpointAnswer;
use crate::HolderBody;
use crate::HttpClient;
use crate::LeaseAnswer;
use crate::LeaseBody;
use crate::Limits;
use crate::RebootBody;
use crate::StartTask;
use crate::TaskAnswer;
use crate::ThrottleBody;
use crate::UsageReport;
use crate::WorkerError;
use crate::WorkerRefusal;
use crate::WorkerService;
use crate::answer_from_headers;
use crate::json_request;
use crate::start_to_headers;

/// Limits of the calls to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLimits {
    /// The time for each call but the start of a task.
    pub control: Duration,
    /// The largest accepted body of a task's answer, in bytes.
    pub answer: usize,
}

impl Default for WorkerLimits {
    fn default() -> Self {
        Self {
            control: Duration::from_secs(2),
            answer: 8 << 20,
        }
    }
}

/// The largest accepted body of any other answer, in bytes; a usage report of 8 slots has about
/// 1 KiB.
const CONTROL_BODY: usize = 64 << 10;

/// Calls workers over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    client: HttpClient,
    limits: WorkerLimits,
}

impl HttpWorkers {
    /// Creates a client.
    pub fn new(client: HttpClient, limits: WorkerLimits) -> Self {
        Self { client, limits }
    }

    async fn control<B: Serialize + Sync>(
        &self,
        method: Method,
        worker: SocketAddr,
        path: &str,
        body: Option<&B>,
    ) -> Result<Bytes, WorkerError> {
        let request = json_request(method, worker, path, body)?;
        let limits = Limits {
            time: self.limits.control,
            body: CONTROL_BODY,
        };
        let response = self.client.call(request, limits).await?;
        match response.status().is_success() {
            true => Ok(response.into_body()),
            false => Err(refusal(&response, None)),
        }
    }

    async fn task_action<B: Serialize + Sync>(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        action: &str,
        body: &B,
    ) -> Result<Bytes, WorkerError> {
        let path = format!("/tasks/{attempt}/{action}");
        let body = Some(body);
        self.control(Method::POST, worker, &path, body).await
    }
}

#[async_trait]
impl WorkerService for HttpWorkers {
    async fn lease(&self, worker: SocketAddr, body: LeaseBody) -> Result<LeaseAnswer, WorkerError> {
        let answer = self.control(Method::PUT, worker, "/lease", Some(&body));
        parse(&answer.await?)
    }

    async fn release(&self, worker: SocketAddr, holder: Incarnation) -> Result<(), WorkerError> {
        let body = HolderBody { holder };
        let answer = self.control(Method::DELETE, worker, "/lease", Some(&body));
        answer.await.map(drop)
    }

    async fn start(
        &self,
        worker: SocketAddr,
        task: StartTask,
        limit: Duration,
    ) -> Result<TaskAnswer, WorkerError> {
        let limits = Limits {
            time: limit,
            body: self.limits.answer,
        };
        let attempt = task.attempt;
        let request = start_request(worker, task)?;
        let response = self.client.call(request, limits).await?;
        if response.status() != StatusCode::OK {
            return Err(refusal(&response, Some(attempt)));
        }
        let (parts, body) = response.into_parts();
        answer_from_headers(&parts.headers, body).map_err(|e| WorkerError::Unknown(e.to_string()))
    }

    async fn usage(&self, worker: SocketAddr) -> Result<UsageReport, WorkerError> {
        let answer = self.control::<()>(Method::GET, worker, "/usage", None);
        parse(&answer.await?)
    }

    async fn checkpoint(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<CheckpointAnswer, WorkerError> {
        let body = HolderBody { holder };
        let answer = self.task_action(worker, attempt, "checkpoint", &body);
        parse(&answer.await?)
    }

    async fn throttle(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        body: ThrottleBody,
    ) -> Result<(), WorkerError> {
        let answer = self.task_action(worker, attempt, "throttle", &body);
        answer.await.map(drop)
    }

    async fn stop(
        &self,
        worker: SocketAddr,
        attempt: AttemptId,
        holder: Incarnation,
    ) -> Result<(), WorkerError> {
        let body = HolderBody { holder };
        let answer = self.task_action(worker, attempt, "stop", &body);
        answer.await.map(drop)
    }

    async fn reboot(&self, worker: SocketAddr, body: RebootBody) -> Result<(), WorkerError> {
        let answer = self.control(Method::POST, worker, "/reboot", Some(&body));
        answer.await.map(drop)
    }
}

fn start_request(worker: SocketAddr, task: StartTask) -> Result<Request<Bytes>, WorkerError> {
    let not_sent = |e: &dyn std::error::Error| WorkerError::NotSent(e.to_string());
    let mut request = Request::post(format!("http://{worker}/tasks"))
        .body(Bytes::new())
        .map_err(|e| not_sent(&e))?;
    start_to_headers(&task, request.headers_mut()).map_err(|e| not_sent(&e))?;
    *request.body_mut() = task.body;
    Ok(request)
}

/// Reads a refusal. With `attempt`, a refusal that does not name it may be the answer to another
/// request, so that the outcome is unknown.
fn refusal(response: &Response<Bytes>, attempt: Option<AttemptId>) -> WorkerError {
    let status = response.status();
    let refuses = matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::NOT_FOUND
            | StatusCode::CONFLICT
            | StatusCode::TOO_MANY_REQUESTS
    );
    match serde_json::from_slice::<WorkerRefusal>(response.body()) {
        Ok(refusal) if refuses && (attempt.is_none() || refusal.attempt == attempt) => {
            WorkerError::Refused(refusal)
        }
        Ok(_) => WorkerError::Unknown(format!("status {status} refuses another attempt")),
        Err(_) => WorkerError::Unknown(format!("status {status}")),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, WorkerError> {
    serde_json::from_slice(body).map_err(|e| WorkerError::Unknown(e.to_string()))
}

impl From<CallError> for WorkerError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent { detail } => Self::NotSent(detail),
            other => Self::Unknown(other.to_string()),
        }
    }
}
