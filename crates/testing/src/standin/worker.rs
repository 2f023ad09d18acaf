//! Stand-in for a worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use dropshot::ApiDescription;
use dropshot::HttpServer;
use http::StatusCode;
use lavenderhollow_platform::TaskAnswer;
use lavenderhollow_platform::UsageReport;
use lavenderhollow_platform::WorkerRefusal;
use lavenderhollow_platform::WorkerRefusalKind;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::Lagging;
use super::WorkerSettings;
use super::WorkerState;
use super::server::Answer;
use super::server::empty;
use super::server::json;
use super::server::serve;
use super::worker_api::service_api;
use super::worker_control::control_api;

/// How often the usage is recorded.
const USAGE_STEP: Duration = Duration::from_millis(50);

/// How long open connections may take to end before a reboot goes on without them.
const REBOOT_GRACE: Duration = Duration::from_millis(200);

/// How often a rebooted worker tries to listen on its address again.
const RETRY_STEP: Duration = Duration::from_millis(50);

pub(super) struct Worker {
    settings: watch::Sender<WorkerSettings>,
    state: Mutex<WorkerState>,
    usage: Mutex<Lagging<UsageReport>>,
    last_answer: Mutex<Option<TaskAnswer>>,
    open: AtomicUsize,
    reboot: Notify,
}

impl Worker {
    fn new(settings: WorkerSettings) -> Self {
        let mut state = WorkerState::default();
        let usage = state.usage(SystemTime::now(), settings.slots, settings.leaving);
        Self {
            settings: watch::Sender::new(settings),
            state: Mutex::new(state),
            usage: Mutex::new(Lagging::new(Instant::now(), usage)),
            last_answer: Mutex::default(),
            open: AtomicUsize::new(0),
            reboot: Notify::new(),
        }
    }

    pub(super) fn settings(&self) -> WorkerSettings {
        self.settings.borrow().clone()
    }

    pub(super) fn install(&self, settings: WorkerSettings) {
        self.settings.send_replace(settings);
    }

    pub(super) fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) async fn unpaused(&self) {
        let mut settings = self.settings.subscribe();
        // Fails only when the sender, which `self` owns, is gone.
        let _ = settings.wait_for(|settings| !settings.paused).await;
    }

    /// Exchanges an answer for the one before it.
    pub(super) fn cross(&self, answer: TaskAnswer) -> TaskAnswer {
        let last = self.last_answer.lock();
        let mut last = last.unwrap_or_else(PoisonError::into_inner);
        last.replace(answer.clone()).unwrap_or(answer)
    }

    pub(super) fn usage(&self) -> UsageReport {
        let settings = self.settings();
        if settings.usage_lag_ms == 0 {
            let (slots, leaving) = (settings.slots, settings.leaving);
            return self.state().usage(SystemTime::now(), slots, leaving);
        }
        let lag = Duration::from_millis(settings.usage_lag_ms);
        let usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
        usage.get(Instant::now(), lag).clone()
    }

    fn record_usage(&self) {
        let settings = self.settings();
        let now = SystemTime::now();
        let usage = self.state().usage(now, settings.slots, settings.leaving);
        let keep = Duration::from_millis(settings.usage_lag_ms);
        let history = self.usage.lock();
        let mut history = history.unwrap_or_else(PoisonError::into_inner);
        history.push(Instant::now(), usage, keep);
    }

    /// Takes a connection; all connections beyond the limit are refused.
    pub(super) fn connect(&self) -> Result<Connection<'_>, WorkerRefusal> {
        let connection = Connection { worker: self };
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        match open < self.settings.borrow().connections {
            true => Ok(connection),
            false => Err(WorkerRefusal {
                kind: WorkerRefusalKind::NoConnection,
                detail: format!("{open} requests are open"),
                attempt: None,
            }),
        }
    }

    pub(super) fn begin_reboot(&self) {
        self.reboot.notify_one();
    }
}

/// An open request.
pub(super) struct Connection<'a> {
    worker: &'a Worker,
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        self.worker.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers with a refusal or, if there is none, with a status alone.
pub(super) fn outcome(result: Result<(), WorkerRefusal>) -> Answer {
    match result {
        Ok(()) => empty(StatusCode::NO_CONTENT),
        Err(refusal) => refuse(&refusal),
    }
}

/// Answers with a refusal.
pub(super) fn refuse(refusal: &WorkerRefusal) -> Answer {
    use WorkerRefusalKind as Kind;
    let status = match refusal.kind {
        Kind::NoLease | Kind::OtherHolder | Kind::Leaving | Kind::Busy => StatusCode::CONFLICT,
        Kind::NoSlot | Kind::NoConnection => StatusCode::TOO_MANY_REQUESTS,
        Kind::NoTask => StatusCode::NOT_FOUND,
        Kind::Invalid => StatusCode::BAD_REQUEST,
    };
    json(status, refusal)
}

/// A running worker.
pub struct WorkerStandIn {
    address: SocketAddr,
    control: HttpServer<Arc<Worker>>,
    tasks: [JoinHandle<()>; 2],
}

impl WorkerStandIn {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// Fails when an address is not free.
    pub fn start(
        listen: SocketAddr,
        control: SocketAddr,
        settings: WorkerSettings,
    ) -> eyre::Result<Self> {
        let worker = Arc::new(Worker::new(settings));
        let service = serve(service_api()?, Arc::clone(&worker), listen)?;
        let address = service.local_addr();
        let control = serve(control_api()?, Arc::clone(&worker), control)?;
        let recorder = tokio::spawn(record_usage(Arc::clone(&worker)));
        let reboots = tokio::spawn(handle_reboots(worker, service, address));
        Ok(Self {
            address,
            control,
            tasks: [recorder, reboots],
        })
    }

    /// Returns the service address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the control address.
    pub fn control(&self) -> SocketAddr {
        self.control.local_addr()
    }
}

impl Drop for WorkerStandIn {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn record_usage(worker: Arc<Worker>) {
    loop {
        worker.record_usage();
        tokio::time::sleep(USAGE_STEP).await;
    }
}

/// Stops listening at each reboot, so that callers can't connect, and listens again later.
async fn handle_reboots(
    worker: Arc<Worker>,
    mut service: HttpServer<Arc<Worker>>,
    address: SocketAddr,
) {
    loop {
        worker.reboot.notified().await;
        let _ = tokio::time::timeout(REBOOT_GRACE, service.close()).await;
        let reboot = Duration::from_millis(worker.settings().reboot_ms);
        tokio::time::sleep(reboot.saturating_sub(REBOOT_GRACE)).await;
        service = listen_again(&worker, address).await;
    }
}

async fn listen_again(worker: &Arc<Worker>, address: SocketAddr) -> HttpServer<Arc<Worker>> {
    loop {
        let api: eyre::Result<ApiDescription<Arc<Worker>>> = service_api();
        match api.and_then(|api| serve(api, Arc::clone(worker), address)) {
            Ok(service) => return service,
            Err(_) => tokio::time::sleep(RETRY_STEP).await,
        }
    }
}
