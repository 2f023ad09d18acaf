//! Stand-in for the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use dropshot::ApiDescription;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::UntypedBody;
use dropshot::endpoint;
use http::StatusCode;
use lavenderhollow_log::AppendError;
use lavenderhollow_log::Faults;
use lavenderhollow_log::LogService;
use lavenderhollow_log::MemoryLog;
use lavenderhollow_log::ReadError;
use lavenderhollow_log::ReadFrom;
use lavenderhollow_log::RecordBatch;
use lavenderhollow_log::RefusedAppend;
use lavenderhollow_types::Offset;
use lavenderhollow_types::StreamName;
use lavenderhollow_types::SystemClock;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use super::patched;
use super::server::Answer;
use super::server::bad_request;
use super::server::broken;
use super::server::empty;
use super::server::json;
use super::server::serve;

/// The most records in one page.
const MAX_RECORDS: usize = 1_000;

/// The longest time for which a read is held.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Whether everything is refused with status 503.
    pub down: bool,
    /// How late answers come, in milliseconds.
    pub slow_ms: u64,
    /// Whether appends take effect and their answers are lost.
    pub answer_lost: bool,
    /// How long records are kept, in milliseconds.
    pub retention_ms: Option<u64>,
    /// How many appends a second are accepted; more are refused with status 429.
    pub appends_per_second: Option<u32>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 0,
            answer_lost: false,
            retention_ms: None,
            appends_per_second: Some(400),
        }
    }
}

struct Context {
    log: MemoryLog,
    settings: Mutex<LogSettings>,
}

impl Context {
    fn install(&self, settings: LogSettings) {
        self.log.set_faults(Faults {
            down: settings.down,
            slow: Duration::from_millis(settings.slow_ms),
            answer_lost: settings.answer_lost,
        });
        let retention = settings.retention_ms.map(Duration::from_millis);
        self.log.set_retention(retention);
        self.log.set_rate(settings.appends_per_second);
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }

    fn settings(&self) -> LogSettings {
        let settings = self.settings.lock();
        settings.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

type Request = RequestContext<Arc<Context>>;

/// A running log.
pub struct LogStandIn {
    service: HttpServer<Arc<Context>>,
    control: HttpServer<Arc<Context>>,
}

impl LogStandIn {
    /// Starts a log.
    ///
    /// # Errors
    ///
    /// Fails when an address is not free.
    pub fn start(
        listen: SocketAddr,
        control: SocketAddr,
        settings: LogSettings,
    ) -> eyre::Result<Self> {
        let context = Arc::new(Context {
            log: MemoryLog::new(Arc::new(SystemClock)),
            settings: Mutex::default(),
        });
        context.install(settings);
        let mut service = ApiDescription::new();
        service.register(append)?;
        service.register(read)?;
        let mut controls = ApiDescription::new();
        controls.register(get_settings)?;
        controls.register(patch_settings)?;
        controls.register(expire)?;
        Ok(Self {
            service: serve(service, Arc::clone(&context), listen)?,
            control: serve(controls, context, control)?,
        })
    }

    /// Returns the service address.
    pub fn address(&self) -> SocketAddr {
        self.service.local_addr()
    }

    /// Returns the control address.
    pub fn control(&self) -> SocketAddr {
        self.control.local_addr()
    }
}

#[derive(Deserialize, JsonSchema)]
struct StreamPath {
    stream: StreamName,
}

#[derive(Deserialize, JsonSchema)]
struct ReadQuery {
    from: u64,
    max: Option<usize>,
    wait_ms: Option<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct ExpireQuery {
    before: u64,
}

/// Appends a batch.
#[endpoint { method = POST, path = "/streams/{stream}/records" }]
async fn append(request: Request, path: Path<StreamPath>, body: UntypedBody) -> Answer {
    let batch: RecordBatch =
        serde_json::from_slice(body.as_bytes()).map_err(|e| bad_request(&e))?;
    let stream = path.into_inner().stream;
    match request.context().log.append(&stream, batch.records).await {
        Ok(appended) => json(StatusCode::OK, &appended),
        Err(AppendError::Refused(RefusedAppend::Busy)) => empty(StatusCode::TOO_MANY_REQUESTS),
        Err(AppendError::Refused(RefusedAppend::Invalid(detail))) => Err(bad_request(&detail)),
        Err(AppendError::Refused(_)) => empty(StatusCode::SERVICE_UNAVAILABLE),
        Err(AppendError::Unknown(_)) => Ok(broken(Bytes::new())),
    }
}

/// Reads a page.
#[endpoint { method = GET, path = "/streams/{stream}/records" }]
async fn read(request: Request, path: Path<StreamPath>, query: Query<ReadQuery>) -> Answer {
    let query = query.into_inner();
    let from = ReadFrom {
        offset: Offset::new(query.from),
        max: query.max.unwrap_or(MAX_RECORDS).min(MAX_RECORDS),
        wait: Duration::from_millis(query.wait_ms.unwrap_or(0)).min(MAX_WAIT),
    };
    let stream = path.into_inner().stream;
    match request.context().log.read(&stream, from).await {
        Ok(page) => json(StatusCode::OK, &page),
        Err(ReadError::Gone(gone)) => json(StatusCode::GONE, &gone),
        Err(_) => empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Returns the settings.
#[endpoint { method = GET, path = "/settings" }]
async fn get_settings(request: Request) -> Answer {
    json(StatusCode::OK, &request.context().settings())
}

/// Changes settings.
#[endpoint { method = PATCH, path = "/settings" }]
async fn patch_settings(request: Request, body: UntypedBody) -> Answer {
    let context = request.context();
    let settings = patched(&context.settings(), body.as_bytes()).map_err(|e| bad_request(&e))?;
    context.install(settings.clone());
    json(StatusCode::OK, &settings)
}

/// Drops the records before an offset, as the end of their retention does.
#[endpoint { method = DELETE, path = "/streams/{stream}/records" }]
async fn expire(request: Request, path: Path<StreamPath>, query: Query<ExpireQuery>) -> Answer {
    let before = Offset::new(query.into_inner().before);
    let stream = path.into_inner().stream;
    request.context().log.expire_before(&stream, before);
    empty(StatusCode::NO_CONTENT)
}
