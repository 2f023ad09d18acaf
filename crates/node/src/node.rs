//! The process of a VM, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use lavenderhollow_config::KeyHash;
use lavenderhollow_exposition::MetricsHandle;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Tuning;
use lavenderhollow_types::Clock;
use tokio::sync::watch;

use crate::backend::Platform;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::catalog::Wave;
use crate::clock::moment;
use crate::current::Current;
use crate::election::Member;
use crate::follower::Follower;
use crate::front::Front;
use crate::operators;
use crate::operators::OperatorParts;
use crate::ownership::Manager;
use crate::ownership::OwnershipParts;
use crate::peers;
use crate::router::Router;
use crate::router::RouterResponder;

/// The wait of one read of what operators publish. The configuration counts as confirmed at the
/// sending of the last read, so that this stays well below the bound on withdrawn keys.
const CONFIG_WAIT: Duration = Duration::from_millis(800);

/// The pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// The share of the bound on withdrawn keys for which a confirmed configuration may be used; the
/// rest covers a request's way to the owner.
const FRESH_SHARE: f64 = 0.7;

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name of the VM.
    pub vm: Name,
    /// Where other processes reach this one.
    pub peer_address: SocketAddr,
    /// Where operators are served, and metrics.
    pub operator_address: SocketAddr,
    /// The hash of the operators' token; without one only metrics are served.
    pub operator_token: Option<KeyHash>,
    /// The longest time that a worker honours a lease.
    pub max_hold: Duration,
    /// For how long a finished job has to be known.
    pub status: Duration,
    /// Within what time a withdrawn key has to stop working.
    pub revoke: Duration,
    /// The least time between the orders of two holders for one machine.
    pub holder_gap: Duration,
    /// How long an upkeep takes.
    pub upkeep: Duration,
    /// How long a move to another pool takes.
    pub migration: Duration,
}

/// A running process.
pub struct Node {
    front: Arc<Front>,
    manager: Arc<Manager>,
    current: Arc<Current>,
    clock: Arc<dyn Clock>,
    fresh: Duration,
    stopping: watch::Sender<bool>,
}

impl Node {
    /// Starts the tasks of a process.
    ///
    /// # Errors
    ///
    /// Fails when an address is not free.
    pub async fn start(
        settings: NodeSettings,
        platform: Platform,
        clock: Arc<dyn Clock>,
        metrics: Option<MetricsHandle>,
    ) -> eyre::Result<Self> {
        let started = moment(&*clock).unix;
        let me = Member {
            vm: Arc::clone(&settings.vm),
            started: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            address: settings.peer_address.to_string().into(),
        };
        let router = Arc::new(Router::new(me, Arc::clone(&clock)));
        let current = Arc::new(Current::default());
        peers::serve(settings.peer_address, RouterResponder(Arc::clone(&router)))
            .await
            .wrap_err_with(|| format!("can't listen on {}", settings.peer_address))?;
        let (waves, waves_seen) = watch::channel(Vec::new());
        let manager = Manager::new(OwnershipParts {
            platform: platform.clone(),
            clock: Arc::clone(&clock),
            router: Arc::clone(&router),
            current: Arc::clone(&current),
            tuning: Tuning::new(settings.max_hold, settings.status),
            upkeep: settings.upkeep,
            migration: settings.migration,
            quiet: settings.holder_gap,
            waves: waves_seen,
        });
        manager.start();
        tokio::spawn(follow_operator(
            platform,
            Arc::clone(&current),
            Arc::clone(&clock),
            waves,
        ));
        let fresh = settings.revoke.mul_f64(FRESH_SHARE);
        if let Some(metrics) = metrics {
            let parts = OperatorParts {
                metrics,
                router: Arc::clone(&router),
                current: Arc::clone(&current),
                clock: Arc::clone(&clock),
                fresh,
                token: settings.operator_token,
            };
            operators::serve(parts, settings.operator_address).await?;
        }
        let front = Front::new(Arc::clone(&current), router, Arc::clone(&clock), fresh);
        Ok(Self {
            front: Arc::new(front),
            manager,
            current,
            clock,
            fresh,
            stopping: watch::Sender::new(false),
        })
    }

    /// Returns what takes callers' requests.
    pub fn front(&self) -> Arc<Front> {
        Arc::clone(&self.front)
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !*self.stopping.borrow()
            && self.current.load().version > 0
            && self.current.is_fresh(self.clock.now(), self.fresh)
    }

    /// Gives up the shards of this process. Callers are still served, and answered within `limit`.
    pub async fn hand_over(&self, limit: Duration) {
        self.front.end_by(self.clock.now() + limit);
        self.stopping.send_replace(true);
        self.manager.stop().await;
    }
}

/// Follows what operators publish: the configuration and the waves.
async fn follow_operator(
    platform: Platform,
    current: Arc<Current>,
    clock: Arc<dyn Clock>,
    waves: watch::Sender<Vec<Wave>>,
) {
    let mut follower = Follower::new(Topic::Operator);
    let mut lost: Option<Instant> = None;
    loop {
        let sent = clock.now();
        match follower.step(&*platform.store, CONFIG_WAIT).await {
            Ok(changes) => {
                if let Some(since) = lost.take() {
                    let away = clock.now().saturating_duration_since(since);
                    log::info!(away_ms = away.as_millis() as u64; "store_regained");
                }
                let mut usable = true;
                for (key, value) in &changes.changed {
                    let Some(value) = value else {
                        continue;
                    };
                    if key == platform.codec.catalog_key() {
                        usable = install(&platform, &current, value);
                    }
                }
                if changes.complete && usable {
                    current.confirm(sent);
                }
                if !changes.changed.is_empty() {
                    let all = follower.records();
                    let list = all.filter_map(|(k, v)| platform.codec.wave(k, v)).collect();
                    waves.send_if_modified(|known| {
                        let changed = *known != list;
                        *known = list;
                        changed
                    });
                }
            }
            Err(error) => {
                if lost.is_none() {
                    log::warn!(error:display; "store_lost");
                    lost = Some(sent);
                }
                if matches!(error, StoreError::Refused { .. }) {
                    metrics::counter!("store_refusals_total").increment(1);
                }
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

fn install(platform: &Platform, current: &Current, value: &[u8]) -> bool {
    match platform.codec.catalog(value) {
        Ok(catalog) => {
            let (version, routes, teams) =
                (catalog.version, catalog.routes.len(), catalog.teams.len());
            let installed = current.install(catalog);
            metrics::gauge!("config_version").set(version as f64);
            log::info!(version, routes, teams, installed; "configuration");
            true
        }
        Err(detail) => {
            log::error!(detail:display; "configuration_unreadable");
            false
        }
    }
}
