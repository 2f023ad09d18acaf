//! Calls of callers to entries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use lavenderhollow_platform::CallError;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::Limits;
use serde_json::Value;

use super::ledger::Outcome;

/// The time for a call beyond the request's own deadline.
const LIMITS: Limits = Limits {
    time: Duration::from_secs(30),
    body: 4 << 20,
};

/// What is submitted.
#[derive(Clone, Debug, Default)]
pub(super) struct Submission {
    /// Whether it is a durable job.
    pub(super) durable: bool,
    pub(super) queue: String,
    /// The text of the key.
    pub(super) key: Option<String>,
    pub(super) body: String,
    pub(super) idempotency: Option<String>,
    pub(super) ticket: Option<String>,
    pub(super) deadline: Option<Duration>,
    pub(super) urgent: bool,
}

/// Submits to one entry.
pub(super) async fn submit(
    client: &HttpClient,
    entry: SocketAddr,
    submission: &Submission,
) -> eyre::Result<Outcome> {
    let kind = if submission.durable {
        "jobs"
    } else {
        "requests"
    };
    let path = format!("/v1/queues/{}/{kind}", submission.queue);
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}{path}"));
    let deadline = submission.deadline.map(|time| time.as_millis().to_string());
    let urgent = submission.urgent.then(|| "urgent".to_owned());
    let headers = [
        ("authorization", bearer(submission.key.as_deref())),
        ("idempotency-key", submission.idempotency.clone()),
        ("execution-ticket", submission.ticket.clone()),
        ("deadline-ms", deadline),
        ("priority", urgent),
    ];
    for (name, value) in headers {
        if let Some(value) = value {
            request = request.header(name, value);
        }
    }
    let request = request.body(Bytes::from(submission.body.clone()))?;
    Ok(match client.call(request, LIMITS).await {
        Ok(response) => outcome(&response),
        Err(CallError::NotSent { detail }) => Outcome::NotSent(detail),
        Err(error) => Outcome::Cut(error.to_string()),
    })
}

/// Calls any path of an entry and returns the status and the JSON of the answer.
pub(super) async fn call(
    client: &HttpClient,
    method: Method,
    uri: &str,
    token: Option<&str>,
) -> eyre::Result<(StatusCode, Value)> {
    let mut request = Request::builder().method(method).uri(uri);
    if let Some(token) = bearer(token) {
        request = request.header("authorization", token);
    }
    let response = client.call(request.body(Bytes::new())?, LIMITS).await?;
    let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
    Ok((response.status(), value))
}

fn bearer(key: Option<&str>) -> Option<String> {
    key.map(|key| format!("Bearer {key}"))
}

fn outcome(response: &Response<Bytes>) -> Outcome {
    let json = || serde_json::from_slice::<Value>(response.body()).unwrap_or(Value::Null);
    let field = |name: &str| json()[name].as_str().unwrap_or("unknown").to_owned();
    match verdict(response.headers()) {
        Some("ran") => Outcome::Ran(response.body().clone()),
        Some("not_run") => Outcome::NotRun(field("kind")),
        Some("may_have_run") => Outcome::MayHaveRun(field("detail")),
        _ if response.status() == StatusCode::ACCEPTED => Outcome::Accepted(field("job")),
        _ => Outcome::Cut(format!("status {} without a verdict", response.status())),
    }
}

fn verdict(headers: &HeaderMap) -> Option<&str> {
    headers.get("lavenderhollow-verdict")?.to_str().ok()
}
