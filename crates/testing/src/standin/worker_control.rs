//! Settings, faults and control API of a worker.

use std::collections::BTreeMap;
use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::RequestContext;
use dropshot::UntypedBody;
use dropshot::endpoint;
use http::StatusCode;
use lavenderhollow_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

use super::patched;
use super::server::Answer;
use super::server::bad_request;
use super::server::json;
use super::worker::Worker;

/// What happens to the body of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyFault {
    /// The body is whole.
    #[default]
    None,
    /// The connection breaks after half of the body.
    Cut,
    /// Half of the body is sent as if it were the whole; declared length and digest stay.
    Short,
    /// The first byte is another one.
    Altered,
}

/// Settings and faults of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerSettings {
    /// The number of tasks that may run at once.
    pub slots: u32,
    /// The number of requests that may be open at once.
    pub connections: usize,
    /// Whether new leases and tasks are refused.
    pub leaving: bool,
    /// How old the usage report is, in milliseconds.
    pub usage_lag_ms: u64,
    /// How long a reboot takes, in milliseconds.
    pub reboot_ms: u64,
    /// Whether every task fails.
    pub fail_all: bool,
    /// How late a task's answer comes after its end, in milliseconds.
    pub late_ms: u64,
    /// Whether tasks run and their answers are lost.
    pub answer_lost: bool,
    /// Whether each answer is exchanged for the one before it.
    pub crossed: bool,
    /// What happens to the body of an answer.
    pub body: BodyFault,
    /// Whether requests wait and tasks stand still, while leases run out.
    pub paused: bool,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            leaving: false,
            usage_lag_ms: 0,
            reboot_ms: 500,
            fail_all: false,
            late_ms: 0,
            answer_lost: false,
            crossed: false,
            body: BodyFault::None,
            paused: false,
        }
    }
}

/// The answer of `GET /runs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// How often a task was started for each request.
    pub runs: BTreeMap<RequestId, u32>,
    /// How often a task was started for each short text body, whatever id an entry gave it.
    #[serde(default)]
    pub bodies: BTreeMap<String, u32>,
}

type Request = RequestContext<Arc<Worker>>;

pub(super) fn control_api() -> eyre::Result<ApiDescription<Arc<Worker>>> {
    let mut api = ApiDescription::new();
    api.register(get_settings)?;
    api.register(patch_settings)?;
    api.register(get_runs)?;
    Ok(api)
}

/// Returns the settings.
#[endpoint { method = GET, path = "/settings" }]
async fn get_settings(request: Request) -> Answer {
    json(StatusCode::OK, &request.context().settings())
}

/// Changes settings.
#[endpoint { method = PATCH, path = "/settings" }]
async fn patch_settings(request: Request, body: UntypedBody) -> Answer {
    let worker = request.context();
    let settings = patched(&worker.settings(), body.as_bytes()).map_err(|e| bad_request(&e))?;
    worker.install(settings.clone());
    json(StatusCode::OK, &settings)
}

/// Returns how often each request was started.
#[endpoint { method = GET, path = "/runs" }]
async fn get_runs(request: Request) -> Answer {
    let state = request.context().state();
    let runs = state.runs().iter().map(|(id, count)| (*id, *count));
    let runs = Runs {
        runs: runs.collect(),
        bodies: state.bodies().clone(),
    };
    json(StatusCode::OK, &runs)
}
