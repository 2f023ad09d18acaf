//! The interface for callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::StreamingBody;
use dropshot::endpoint;
use futures::TryStreamExt;
use http::StatusCode;
use lavenderhollow_core::keyring::Admission;
use lavenderhollow_types::JobId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::Verdict;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use super::header::CallerHeaders;
use super::reply;
use super::reply::Answer;
use crate::context::Context;
use crate::dispatch::Reply;
use crate::metric;
use crate::serve;
use crate::serve::Arrival;
use crate::trace;

type Request = RequestContext<Arc<Context>>;

#[derive(Deserialize, JsonSchema)]
struct QueuePath {
    queue: String,
}

#[derive(Deserialize, JsonSchema)]
struct JobPath {
    job: JobId,
}

#[derive(Serialize)]
struct Submitted {
    job: JobId,
}

#[derive(Serialize)]
struct TicketBody {
    ticket: String,
}

/// Returns the description of the interface.
pub(crate) fn api() -> Result<ApiDescription<Arc<Context>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(run_request)?;
    api.register(submit_job)?;
    api.register(show_job)?;
    api.register(cancel_job)?;
    api.register(issue_ticket)?;
    api.register(health)?;
    Ok(api)
}

/// Runs a request and answers with its result.
#[endpoint { method = POST, path = "/v1/queues/{queue}/requests" }]
async fn run_request(rqctx: Request, path: Path<QueuePath>, body: StreamingBody) -> Answer {
    let cx = rqctx.context();
    let queue = path.into_inner().queue;
    let started = cx.clock.now();
    let headers = match CallerHeaders::read(rqctx.request.headers()) {
        Ok(headers) => headers,
        Err(refusal) => return reply::refused(&refusal),
    };
    let span = trace::hop("entry", headers.trace.as_deref());
    let header = trace::header_of(&span);
    let identified = headers.idempotency.is_some() || headers.ticket.is_some();
    let verdict = match arrive(cx, &queue, headers, body).await {
        Ok(arrival) => serve::request(cx, arrival, &span).await,
        Err(refusal) => serve::refuse_early(refusal, identified),
    };
    count(&verdict);
    let took = cx.clock.now().saturating_duration_since(started);
    metrics::histogram!(metric::LATENCY, "queue" => known(cx, queue)).record(took.as_secs_f64());
    reply::verdict(verdict, header.as_deref())
}

/// Stores a durable job.
#[endpoint { method = POST, path = "/v1/queues/{queue}/jobs" }]
async fn submit_job(rqctx: Request, path: Path<QueuePath>, body: StreamingBody) -> Answer {
    let cx = rqctx.context();
    let queue = path.into_inner().queue;
    let headers = match CallerHeaders::read(rqctx.request.headers()) {
        Ok(headers) => headers,
        Err(refusal) => return reply::refused(&refusal),
    };
    let span = trace::hop("entry", headers.trace.as_deref());
    let submitted = match arrive(cx, &queue, headers, body).await {
        Ok(arrival) => serve::submit(cx, arrival, &span).await,
        Err(refusal) => Err(refusal),
    };
    match submitted {
        Ok(job) => reply::json(StatusCode::ACCEPTED, &Submitted { job }),
        Err(refusal) => reply::refused(&refusal),
    }
}

/// Shows a durable job of the caller's team.
#[endpoint { method = GET, path = "/v1/jobs/{job}" }]
async fn show_job(rqctx: Request, path: Path<JobPath>) -> Answer {
    let job = path.into_inner().job;
    job_answer(&rqctx, job, false).await
}

/// Cancels a durable job of the caller's team.
#[endpoint { method = DELETE, path = "/v1/jobs/{job}" }]
async fn cancel_job(rqctx: Request, path: Path<JobPath>) -> Answer {
    let job = path.into_inner().job;
    job_answer(&rqctx, job, true).await
}

async fn job_answer(rqctx: &Request, job: JobId, cancel: bool) -> Answer {
    let cx = rqctx.context();
    let member = CallerHeaders::read(rqctx.request.headers())
        .and_then(|headers| serve::member(cx, headers.key.as_ref()));
    let view = match member {
        Ok(member) => serve::job(cx, &member, job, cancel).await,
        Err(refusal) => Err(refusal),
    };
    match view {
        Ok(view) => reply::job(&view),
        Err(refusal) => reply::refused(&refusal),
    }
}

/// Issues an execution ticket.
#[endpoint { method = POST, path = "/v1/tickets" }]
async fn issue_ticket(rqctx: Request) -> Answer {
    let cx = rqctx.context();
    let issued = CallerHeaders::read(rqctx.request.headers())
        .and_then(|headers| serve::member(cx, headers.key.as_ref()))
        .and_then(|_| {
            let refuse = |e: lavenderhollow_core::once::TicketError| {
                Refusal::new(RefusalKind::Overloaded, e.to_string())
            };
            cx.tickets.issue(cx.clock.now()).map_err(refuse)
        });
    match issued {
        Ok(ticket) => reply::json(StatusCode::CREATED, &TicketBody { ticket }),
        Err(refusal) => reply::refused(&refusal),
    }
}

/// Tells the platform's balancer whether this entry takes requests.
#[endpoint { method = GET, path = "/health" }]
async fn health(rqctx: Request) -> Answer {
    let cx = rqctx.context();
    let ready = !cx.gate.is_closing() && cx.config.load().version.get() > 0;
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply::json(status, &serde_json::json!({ "ready": ready }))
}

/// Admits a request and reads its body.
async fn arrive(
    cx: &Arc<Context>,
    queue: &str,
    headers: CallerHeaders,
    body: StreamingBody,
) -> Result<Arrival, Refusal> {
    let admission: Admission = cx.admit(headers.key.as_ref(), queue)?;
    let body = read_body(body).await?;
    let longest = admission.settings.deadline;
    let wait: Duration = headers.deadline.map_or(longest, |wait| wait.min(longest));
    Ok(Arrival {
        admission,
        body,
        deadline: cx.clock.now() + wait,
        idempotency: headers.idempotency,
        ticket: headers.ticket,
        urgent: headers.urgent,
    })
}

/// Reads a whole body. It is read here, because the HTTP library's own refusal of a large or broken
/// body has no verdict.
async fn read_body(body: StreamingBody) -> Result<Bytes, Refusal> {
    let chunks = body
        .into_stream()
        .try_fold(BytesMut::new(), |mut all, chunk| async move {
            all.extend_from_slice(&chunk);
            Ok(all)
        });
    let body = chunks.await;
    let body = body.map_err(|error| Refusal::new(RefusalKind::Invalid, error.external_message));
    body.map(BytesMut::freeze)
}

/// Returns the queue's name for a label, so that callers can't create labels.
fn known(cx: &Context, queue: String) -> String {
    let installed = cx.config.load();
    if installed.config.queues.contains_key(queue.as_str()) {
        queue
    } else {
        "unknown".to_owned()
    }
}

fn count(verdict: &Verdict<Reply>) {
    let (name, kind) = match verdict {
        Verdict::Ran(_) => ("ran", String::new()),
        Verdict::MayHaveRun(_) => ("may_have_run", String::new()),
        Verdict::NotRun(refusal) => ("not_run", format!("{:?}", refusal.kind)),
    };
    metrics::counter!(metric::REQUESTS, "verdict" => name, "kind" => kind).increment(1);
}
