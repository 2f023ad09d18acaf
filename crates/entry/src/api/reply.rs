//! HTTP answers that carry a verdict.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use dropshot::Body;
use dropshot::HttpError;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::Verdict;
use serde::Serialize;

use crate::dispatch::Reply;
use crate::message::JobView;
use crate::trace::TRACE_HEADER;

/// The header that says whether the request ran: `not_run`, `may_have_run` or `ran`.
pub(crate) const VERDICT_HEADER: &str = "lavenderhollow-verdict";

/// The header that says whether a task that ran `succeeded` or `failed`.
const TASK_HEADER: &str = "lavenderhollow-task";

/// The result of a handler.
pub(crate) type Answer = Result<Response<Body>, HttpError>;

#[derive(Serialize)]
struct JobBody<'a> {
    job: JobId,
    state: String,
    attempts: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    /// The result in base64.
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<String>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    verdict: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    kind: Option<RefusalKind>,
    detail: &'a str,
}

/// Answers with the verdict on a request.
pub(crate) fn verdict(verdict: Verdict<Reply>, trace: Option<&str>) -> Answer {
    let mut response = match verdict {
        Verdict::Ran(reply) => ran(reply)?,
        Verdict::NotRun(refusal) => refused(&refusal)?,
        Verdict::MayHaveRun(doubt) => doubtful(&doubt)?,
    };
    if let Some(value) = trace.and_then(|trace| HeaderValue::from_str(trace).ok()) {
        let name = HeaderName::from_static(TRACE_HEADER);
        response.headers_mut().insert(name, value);
    }
    Ok(response)
}

/// Answers with the target's result. A task that ran and failed is told from one that succeeded by
/// the status and by a header.
fn ran(reply: Reply) -> Answer {
    let (status, task) = match reply.status {
        TaskStatus::Succeeded => (StatusCode::OK, "succeeded"),
        _ => (StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    };
    let mut response = with_verdict(status, "ran", reply.body.into())?;
    let name = HeaderName::from_static(TASK_HEADER);
    response
        .headers_mut()
        .insert(name, HeaderValue::from_static(task));
    Ok(response)
}

/// Answers that a request did not run.
pub(crate) fn refused(refusal: &Refusal) -> Answer {
    let body = RefusalBody {
        verdict: "not_run",
        kind: Some(refusal.kind),
        detail: &refusal.detail,
    };
    let mut response = with_verdict(status_of(refusal.kind), "not_run", to_json(&body)?)?;
    json_type(&mut response);
    if let Some(seconds) = refusal.retry_after {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    Ok(response)
}

fn doubtful(doubt: &Doubt) -> Answer {
    let body = RefusalBody {
        verdict: "may_have_run",
        kind: None,
        detail: &doubt.detail,
    };
    let status = StatusCode::BAD_GATEWAY;
    let mut response = with_verdict(status, "may_have_run", to_json(&body)?)?;
    json_type(&mut response);
    Ok(response)
}

/// Answers with the state of a durable job.
pub(crate) fn job(view: &JobView) -> Answer {
    let body = JobBody {
        job: view.job,
        state: view.state.to_string(),
        attempts: view.attempts,
        detail: view.detail.as_deref(),
        result: view.result.as_ref().map(|bytes| STANDARD.encode(bytes)),
    };
    json(StatusCode::OK, &body)
}

/// Answers with a document.
pub(crate) fn json<T: Serialize>(status: StatusCode, document: &T) -> Answer {
    let mut response = Response::new(to_json(document)?);
    *response.status_mut() = status;
    json_type(&mut response);
    Ok(response)
}

/// Returns the HTTP status for a refusal.
pub(crate) fn status_of(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalKind::NoQueue => StatusCode::NOT_FOUND,
        RefusalKind::Invalid => StatusCode::BAD_REQUEST,
        RefusalKind::Limit | RefusalKind::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalKind::Impossible | RefusalKind::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalKind::Expired | RefusalKind::Cancelled => StatusCode::CONFLICT,
        RefusalKind::Stale
        | RefusalKind::NoTarget
        | RefusalKind::LogUnavailable
        | RefusalKind::Closing => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn with_verdict(status: StatusCode, verdict: &'static str, body: Body) -> Answer {
    Response::builder()
        .status(status)
        .header(VERDICT_HEADER, verdict)
        .body(body)
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

fn to_json<T: Serialize>(document: &T) -> Result<Body, HttpError> {
    let bytes =
        serde_json::to_vec(document).map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Ok(bytes.into())
}

fn json_type(response: &mut Response<Body>) {
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
}
