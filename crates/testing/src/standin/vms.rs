//! Stand-in for the platform's lagging list of VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use dropshot::ApiDescription;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::UntypedBody;
use dropshot::endpoint;
use http::StatusCode;
use lavenderhollow_platform::VmInfo;
use lavenderhollow_platform::VmPage;
use lavenderhollow_platform::VmState;
use lavenderhollow_types::VmName;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use super::Lagging;
use super::patched;
use super::server::Answer;
use super::server::bad_request;
use super::server::empty;
use super::server::json;
use super::server::serve;

/// How long changes are remembered, which limits the lag.
const HISTORY: Duration = Duration::from_secs(600);

/// Settings of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListSettings {
    /// Whether the list is refused with status 503.
    pub down: bool,
    /// How late changes are seen, in milliseconds.
    pub lag_ms: u64,
}

type Vms = Arc<BTreeMap<VmName, VmInfo>>;

struct Inner {
    settings: VmListSettings,
    vms: Lagging<Vms>,
}

impl Inner {
    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<VmName, VmInfo>)) {
        let mut vms = BTreeMap::clone(self.vms.newest());
        change(&mut vms);
        self.vms.push(Instant::now(), Arc::new(vms), HISTORY);
    }

    fn page(&self) -> VmPage {
        let lag = Duration::from_millis(self.settings.lag_ms);
        let vms = self.vms.get(Instant::now(), lag);
        VmPage {
            as_of: SystemTime::now() - lag,
            vms: vms.values().cloned().collect(),
        }
    }
}

struct Context {
    inner: Mutex<Inner>,
}

impl Context {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Request = RequestContext<Arc<Context>>;

/// A running VM list, empty at the start.
pub struct VmListStandIn {
    service: HttpServer<Arc<Context>>,
    control: HttpServer<Arc<Context>>,
}

impl VmListStandIn {
    /// Starts a VM list.
    ///
    /// # Errors
    ///
    /// Fails when an address is not free.
    pub fn start(
        listen: SocketAddr,
        control: SocketAddr,
        settings: VmListSettings,
    ) -> eyre::Result<Self> {
        let vms = Lagging::new(Instant::now(), Vms::default());
        let inner = Mutex::new(Inner { settings, vms });
        let context = Arc::new(Context { inner });
        let mut service = ApiDescription::new();
        service.register(list)?;
        let mut controls = ApiDescription::new();
        controls.register(get_settings)?;
        controls.register(patch_settings)?;
        controls.register(add)?;
        controls.register(set_state)?;
        controls.register(remove)?;
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
struct VmPath {
    name: VmName,
}

/// The body of `PUT /vms/{name}/state`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StateBody {
    /// The new state.
    pub state: VmState,
}

/// Returns the list.
#[endpoint { method = GET, path = "/vms" }]
async fn list(request: Request) -> Answer {
    let inner = request.context().inner();
    match inner.settings.down {
        true => empty(StatusCode::SERVICE_UNAVAILABLE),
        false => json(StatusCode::OK, &inner.page()),
    }
}

/// Returns the settings.
#[endpoint { method = GET, path = "/settings" }]
async fn get_settings(request: Request) -> Answer {
    json(StatusCode::OK, &request.context().inner().settings)
}

/// Changes settings.
#[endpoint { method = PATCH, path = "/settings" }]
async fn patch_settings(request: Request, body: UntypedBody) -> Answer {
    let mut inner = request.context().inner();
    inner.settings = patched(&inner.settings, body.as_bytes()).map_err(|e| bad_request(&e))?;
    json(StatusCode::OK, &inner.settings)
}

/// Adds VMs or replaces those of the same name.
#[endpoint { method = POST, path = "/vms" }]
async fn add(request: Request, body: TypedBody<Vec<VmInfo>>) -> Answer {
    let added = body.into_inner().into_iter();
    let added = added.map(|vm| (vm.name.clone(), vm));
    request.context().inner().change(|vms| vms.extend(added));
    empty(StatusCode::NO_CONTENT)
}

/// Sets whether a VM stays.
#[endpoint { method = PUT, path = "/vms/{name}/state" }]
async fn set_state(request: Request, path: Path<VmPath>, body: TypedBody<StateBody>) -> Answer {
    let name = path.into_inner().name;
    let mut inner = request.context().inner();
    if !inner.vms.newest().contains_key(&name) {
        return empty(StatusCode::NOT_FOUND);
    }
    inner.change(|vms| {
        if let Some(vm) = vms.get_mut(&name) {
            vm.state = body.into_inner().state;
        }
    });
    empty(StatusCode::NO_CONTENT)
}

/// Removes a VM.
#[endpoint { method = DELETE, path = "/vms/{name}" }]
async fn remove(request: Request, path: Path<VmPath>) -> Answer {
    let name = path.into_inner().name;
    request.context().inner().change(|vms| {
        vms.remove(&name);
    });
    empty(StatusCode::NO_CONTENT)
}
