//! Construction, start and graceful stop of an entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use dropshot::HttpServer;
use eyre::WrapErr;
use eyre::eyre;
use lavenderhollow_core::exchange::Exchange;
use lavenderhollow_core::freshness::Current;
use lavenderhollow_core::freshness::Freshness;
use lavenderhollow_core::maintenance::Shutdown;
use lavenderhollow_core::maintenance::ShutdownStep;
use lavenderhollow_core::maintenance::ShutdownView;
use lavenderhollow_core::once::TicketLimits;
use lavenderhollow_core::once::Tickets;
use lavenderhollow_exposition::MetricsHandle;
use lavenderhollow_log::HttpLog;
use lavenderhollow_log::HttpLogSettings;
use lavenderhollow_log::LogService;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::HttpVmList;
use lavenderhollow_platform::HttpWorkers;
use lavenderhollow_platform::VmList;
use lavenderhollow_platform::WorkerLimits;
use lavenderhollow_platform::WorkerService;
use lavenderhollow_types::Clock;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::StreamName;
use lavenderhollow_types::SystemClock;
use tokio::task::JoinSet;

use crate::allotments;
use crate::api;
use crate::context::Context;
use crate::context::RequestGate;
use crate::context::Streams;
use crate::drive;
use crate::jobs;
use crate::jobs::DurableJobs;
use crate::meters::Meters;
use crate::metric;
use crate::observers;
use crate::observers::ConfigObserver;
use crate::observers::FleetObserver;
use crate::observers::ZoneObserver;
use crate::peer_server;
use crate::peers;
use crate::peers::Peers;
use crate::plan;
use crate::plan::Plans;
use crate::pools::Pools;
use crate::settings::Settings;
use crate::stream::Stream;
use crate::stream::StreamParts;
use crate::targets;
use crate::targets::Targets;
use lavenderhollow_exposition as exposition;

/// The streams that each entry appends to, for the split of the append budget.
const STREAMS: usize = 3;

/// The time for a connection to a worker or to the VM list.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How many idle connections to each address are kept: one for each slot of a worker.
const IDLE_CONNECTIONS: usize = 8;

/// The largest body of an operator's command, in bytes: a configuration of the largest fleet.
const OPERATOR_BODY: usize = 16 << 20;

/// How long a shutdown waits for the log to confirm that allotments are returned. What is not
/// confirmed is reclaimed after the VM has left the list.
const RETURN_LIMIT: Duration = Duration::from_secs(5);

/// After how many heartbeats without a slot to return the allotments count as handed over.
const QUIET_ROUNDS: u32 = 3;

/// How often a shutdown looks at what is still open.
const SHUTDOWN_STEP: Duration = Duration::from_millis(50);

/// Builds an entry from its settings, and from other implementations of its interfaces in tests.
pub struct EntryBuilder {
    settings: Settings,
    clock: Arc<dyn Clock>,
    log: Option<Arc<dyn LogService>>,
    vms: Option<Arc<dyn VmList>>,
    workers: Option<Arc<dyn WorkerService>>,
    metrics: Option<MetricsHandle>,
}

impl EntryBuilder {
    /// Starts from the settings; everything else is reached over HTTP.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            clock: Arc::new(SystemClock),
            log: None,
            vms: None,
            workers: None,
            metrics: None,
        }
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the log service.
    #[must_use]
    pub fn log(mut self, log: Arc<dyn LogService>) -> Self {
        self.log = Some(log);
        self
    }

    /// Sets the VM list.
    #[must_use]
    pub fn vms(mut self, vms: Arc<dyn VmList>) -> Self {
        self.vms = Some(vms);
        self
    }

    /// Sets the calls to workers.
    #[must_use]
    pub fn workers(mut self, workers: Arc<dyn WorkerService>) -> Self {
        self.workers = Some(workers);
        self
    }

    /// Sets the metrics to be served.
    #[must_use]
    pub fn metrics(mut self, metrics: MetricsHandle) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Starts the entry.
    ///
    /// # Errors
    ///
    /// Fails when an address is not free.
    pub async fn start(self) -> eyre::Result<Entry> {
        let metrics = self.metrics.clone();
        let cx = self.context();
        let (peers, peer_server) = peer_server::listen(&cx, cx.settings.listen.peers)
            .await
            .wrap_err("can't listen for peers")?;
        let api = api::caller::api().map_err(|e| eyre!("caller interface: {e}"))?;
        let body = cx.settings.max_body_bytes;
        let callers = api::serve(api, &cx, cx.settings.listen.callers, body)?;
        let api = api::operator::api().map_err(|e| eyre!("operator interface: {e}"))?;
        let operators = api::serve(api, &cx, cx.settings.listen.operators, OPERATOR_BODY)?;
        let exposition = match metrics {
            Some(handle) => Some(exposition::serve(handle, cx.settings.listen.metrics).await?),
            None => None,
        };
        let mut tasks = spawn(&cx);
        tasks.spawn(peer_server);
        Ok(Entry {
            cx,
            callers,
            operators,
            peers,
            exposition,
            tasks,
        })
    }

    fn context(self) -> Arc<Context> {
        let settings = self.settings;
        let client = HttpClient::new(CONNECT_LIMIT, IDLE_CONNECTIONS);
        let log = self
            .log
            .unwrap_or_else(|| Arc::new(HttpLog::new(HttpLogSettings::new(settings.platform.log))));
        let vms = self.vms.unwrap_or_else(|| {
            let limits = HttpVmList::DEFAULT_LIMITS;
            Arc::new(HttpVmList::new(
                client.clone(),
                settings.platform.vms,
                limits,
            ))
        });
        let workers = self
            .workers
            .unwrap_or_else(|| Arc::new(HttpWorkers::new(client.clone(), WorkerLimits::default())));
        let incarnation = Incarnation::random();
        let parts = |name: StreamName| StreamParts {
            name,
            log: Arc::clone(&log),
            clock: Arc::clone(&self.clock),
            actor: incarnation,
            writers: STREAMS,
            retention: settings.log_retention,
            wait: settings.heartbeat,
        };
        let (name, zone) = (settings.name.clone(), settings.zone.clone());
        let bound = settings.staleness_bound;
        let secret: [u8; 32] = rand::random();
        Arc::new(Context {
            streams: Streams {
                config: Stream::new(parts(StreamName::config())),
                fleet: Stream::new(parts(StreamName::fleet())),
                zone: Stream::new(parts(StreamName::zone(&zone))),
            },
            freshness: Mutex::new(Freshness::new(name.clone(), zone.clone(), bound)),
            tickets: Tickets::new(zone.clone(), incarnation, &secret, TicketLimits::default()),
            peers: Peers::new(name, zone.clone(), &settings.peer_secret),
            targets: Targets::new(zone, settings.probe()),
            config: Current::default(),
            keyed_until: ArcSwapOption::empty(),
            meters: Meters::default(),
            pools: Pools::default(),
            exchange: Exchange::default(),
            jobs: DurableJobs::default(),
            plans: Plans::default(),
            gate: RequestGate::default(),
            clock: self.clock,
            incarnation,
            workers,
            vms,
            settings,
        })
    }
}

/// A running entry.
pub struct Entry {
    cx: Arc<Context>,
    callers: HttpServer<Arc<Context>>,
    operators: HttpServer<Arc<Context>>,
    peers: SocketAddr,
    exposition: Option<SocketAddr>,
    tasks: JoinSet<()>,
}

impl Entry {
    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// Returns the address for peers.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address that serves metrics, if they are served.
    pub fn metrics(&self) -> Option<SocketAddr> {
        self.exposition
    }

    /// Waits until a task of the entry fails. Tasks run for ever, so that an entry without one of
    /// them must not go on: the platform replaces it.
    pub async fn failed(&mut self) -> eyre::Report {
        match self.tasks.join_next().await {
            Some(Err(error)) => eyre!("a task of the entry failed: {error}"),
            Some(Ok(())) | None => eyre!("a task of the entry ended"),
        }
    }

    /// Stops the entry without cutting a request, within the limit of the settings.
    ///
    /// # Errors
    ///
    /// Fails when a server does not end in order.
    pub async fn shut_down(mut self) -> eyre::Result<()> {
        let cx = &self.cx;
        let mut shutdown = Shutdown::default();
        let limit = cx.clock.now() + cx.settings.shutdown_limit;
        loop {
            let now = cx.clock.now();
            match shutdown.step(&view(cx), now) {
                ShutdownStep::StopAccepting => cx.gate.close(),
                ShutdownStep::Finish { .. } | ShutdownStep::Confirm { .. } if now < limit => {
                    tokio::time::sleep(SHUTDOWN_STEP).await;
                }
                ShutdownStep::HandOver => hand_over(cx).await,
                ShutdownStep::Finish { open } => {
                    log::warn!(open; "shutdown limit reached with open requests");
                    break;
                }
                ShutdownStep::Confirm { .. } | ShutdownStep::Exit => break,
            }
        }
        self.tasks.abort_all();
        let closed = self.callers.close().await;
        closed.map_err(|e| eyre!("caller interface: {e}"))?;
        let closed = self.operators.close().await;
        closed.map_err(|e| eyre!("operator interface: {e}"))
    }
}

fn view(cx: &Context) -> ShutdownView {
    let jobs = u32::try_from(cx.jobs.open()).unwrap_or(u32::MAX);
    let held = cx.targets.held().len();
    ShutdownView {
        open: cx.gate.open() + jobs,
        held: u32::try_from(held).unwrap_or(u32::MAX),
    }
}

/// Gives back leases and allotments, so that the others need not wait for their end.
async fn hand_over(cx: &Context) {
    // A slot may still be on its way here: from an own record, or from a peer that has not heard
    // yet that this entry is closing.
    let limit = cx.clock.now() + RETURN_LIMIT;
    let mut quiet = 0;
    while quiet < QUIET_ROUNDS && cx.clock.now() < limit {
        let given = allotments::give_all(cx, RETURN_LIMIT).await;
        quiet = if given == 0 { quiet + 1 } else { 0 };
        tokio::time::sleep(cx.settings.heartbeat).await;
    }
    for (vm, address) in cx.targets.held() {
        targets::give_back(cx, &vm, address).await;
    }
}

fn spawn(cx: &Arc<Context>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let weak = Arc::downgrade(cx);
    let config = ConfigObserver(weak.clone());
    let fleet = FleetObserver(weak.clone());
    let zone = ZoneObserver(weak);
    let shared = Arc::clone(cx);
    tasks.spawn(async move { shared.streams.config.follow(&config).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { shared.streams.fleet.follow(&fleet).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { shared.streams.zone.follow(&zone).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { shared.streams.config.append().await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { shared.streams.fleet.append().await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { shared.streams.zone.append().await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { targets::follow_list(&shared).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { targets::keep_leases(&shared).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { peers::gossip(&shared).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { allotments::keep(&shared).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { drive::keep(&shared).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { plan::keep(&shared).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { jobs::keep(&shared).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { shared.pools.serve(&shared).await });
    let shared = Arc::clone(cx);
    tasks.spawn(async move { housekeeping(&shared).await });
    tasks
}

/// Forgets what is over, and reports gauges.
async fn housekeeping(cx: &Context) {
    let mut ticks = tokio::time::interval(cx.settings.heartbeat);
    loop {
        ticks.tick().await;
        let now = cx.clock.now();
        cx.tickets.expire(now);
        observers::confirm_fold(cx);
        drop(cx.exchange.expire(now));
        let writers = cx.peers.listed() * STREAMS;
        cx.streams.config.set_writers(writers);
        cx.streams.fleet.set_writers(writers);
        cx.streams.zone.set_writers(writers);
        metrics::gauge!(metric::RUNNING).set(cx.gate.open());
        metrics::gauge!(metric::WAITING).set(cx.pools.waiting_in_all() as f64);
    }
}
