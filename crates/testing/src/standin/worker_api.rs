//! Service API of a worker.

use std::sync::Arc;
use std::time::SystemTime;

use dropshot::ApiDescription;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::UntypedBody;
use dropshot::endpoint;
use http::StatusCode;
use lavenderhollow_platform::CheckpointAnswer;
use lavenderhollow_platform::HolderBody;
use lavenderhollow_platform::LeaseBody;
use lavenderhollow_platform::RebootBody;
use lavenderhollow_platform::ThrottleBody;
use lavenderhollow_platform::WorkerRefusal;
use lavenderhollow_platform::WorkerRefusalKind;
use lavenderhollow_platform::start_from_headers;
use lavenderhollow_types::AttemptId;
use schemars::JsonSchema;
use serde::Deserialize;

use super::server::Answer;
use super::server::json;
use super::worker::Worker;
use super::worker::outcome;
use super::worker::refuse;
use super::worker_run::answer;
use super::worker_run::run;

type Request = RequestContext<Arc<Worker>>;

pub(super) fn service_api() -> eyre::Result<ApiDescription<Arc<Worker>>> {
    let mut api = ApiDescription::new();
    api.register(put_lease)?;
    api.register(delete_lease)?;
    api.register(start)?;
    api.register(usage)?;
    api.register(checkpoint)?;
    api.register(throttle)?;
    api.register(stop)?;
    api.register(reboot)?;
    Ok(api)
}

#[derive(Deserialize, JsonSchema)]
struct TaskPath {
    id: AttemptId,
}

/// Takes or renews the lease.
#[endpoint { method = PUT, path = "/lease" }]
async fn put_lease(request: Request, body: TypedBody<LeaseBody>) -> Answer {
    let worker = request.context();
    worker.unpaused().await;
    let leaving = worker.settings().leaving;
    let lease = worker
        .state()
        .lease(SystemTime::now(), body.into_inner(), leaving);
    match lease {
        Ok(lease) => json(StatusCode::OK, &lease),
        Err(refusal) => refuse(&refusal),
    }
}

/// Gives the lease back.
#[endpoint { method = DELETE, path = "/lease" }]
async fn delete_lease(request: Request, body: TypedBody<HolderBody>) -> Answer {
    let worker = request.context();
    worker.unpaused().await;
    let holder = body.into_inner().holder;
    outcome(worker.state().release(SystemTime::now(), holder))
}

/// Runs a task and answers at its end.
#[endpoint { method = POST, path = "/tasks" }]
async fn start(request: Request, body: UntypedBody) -> Answer {
    let worker = request.context();
    let body = body.as_bytes().to_vec().into();
    let task = match start_from_headers(request.request.headers(), body) {
        Ok(task) => task,
        Err(error) => {
            return refuse(&WorkerRefusal {
                kind: WorkerRefusalKind::Invalid,
                detail: error.to_string(),
                attempt: None,
            });
        }
    };
    let attempt = Some(task.attempt);
    let _connection = match worker.connect() {
        Ok(connection) => connection,
        Err(refusal) => return refuse(&WorkerRefusal { attempt, ..refusal }),
    };
    worker.unpaused().await;
    match run(worker, task).await {
        Ok(finished) => answer(worker, finished).await,
        Err(refusal) => refuse(&refusal),
    }
}

/// Returns the lagging usage report.
#[endpoint { method = GET, path = "/usage" }]
async fn usage(request: Request) -> Answer {
    let worker = request.context();
    worker.unpaused().await;
    json(StatusCode::OK, &worker.usage())
}

/// Saves the progress of a task.
#[endpoint { method = POST, path = "/tasks/{id}/checkpoint" }]
async fn checkpoint(request: Request, path: Path<TaskPath>, body: TypedBody<HolderBody>) -> Answer {
    let worker = request.context();
    worker.unpaused().await;
    let (attempt, holder) = (path.into_inner().id, body.into_inner().holder);
    let saved = worker
        .state()
        .checkpoint(SystemTime::now(), attempt, holder);
    match saved {
        Ok(saved) => json(StatusCode::OK, &CheckpointAnswer { saved }),
        Err(refusal) => refuse(&refusal),
    }
}

/// Sets the speed of a task.
#[endpoint { method = POST, path = "/tasks/{id}/throttle" }]
async fn throttle(request: Request, path: Path<TaskPath>, body: TypedBody<ThrottleBody>) -> Answer {
    let worker = request.context();
    worker.unpaused().await;
    let ThrottleBody { holder, percent } = body.into_inner();
    let attempt = path.into_inner().id;
    let mut state = worker.state();
    outcome(state.throttle(SystemTime::now(), attempt, holder, percent))
}

/// Ends a task.
#[endpoint { method = POST, path = "/tasks/{id}/stop" }]
async fn stop(request: Request, path: Path<TaskPath>, body: TypedBody<HolderBody>) -> Answer {
    let worker = request.context();
    worker.unpaused().await;
    let (attempt, holder) = (path.into_inner().id, body.into_inner().holder);
    outcome(worker.state().stop(SystemTime::now(), attempt, holder))
}

/// Reboots the worker when no task runs.
#[endpoint { method = POST, path = "/reboot" }]
async fn reboot(request: Request, body: TypedBody<RebootBody>) -> Answer {
    let worker = request.context();
    worker.unpaused().await;
    let result = worker.state().reboot(SystemTime::now(), body.into_inner());
    if result.is_ok() {
        worker.begin_reboot();
    }
    outcome(result)
}
