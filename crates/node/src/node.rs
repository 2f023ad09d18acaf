//! The process of a VM, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use lavenderhollow_config::KeyHash;
use lavenderhollow_exposition::MetricsHandle;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Timings;
use lavenderhollow_types::Clock;
use tokio::sync::watch;

use crate::assignment::Member;
use crate::backend::Platform;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::clock::timestamp;
use crate::cluster_config::Wave;
use crate::current_config::CurrentConfig;
use crate::job_api::JobApi;
use crate::operators;
use crate::operators::OperatorContext;
use crate::peers;
use crate::router::Router;
use crate::router::RouterHandler;
use crate::shard_manager::ManagerContext;
use crate::shard_manager::ShardManager;
use crate::topic_cache::TopicCache;

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
    pub max_lease: Duration,
    /// For how long a finished job has to be known.
    pub job_retention: Duration,
    /// Within what time a withdrawn key has to stop working.
    pub key_revocation: Duration,
    /// The least time between the orders of two holders for one machine.
    pub takeover_delay: Duration,
    /// How long an upkeep takes.
    pub maintenance_time: Duration,
    /// How long a move to another pool takes.
    pub move_time: Duration,
}

/// A running process.
pub struct Node {
    job_api: Arc<JobApi>,
    manager: Arc<ShardManager>,
    current: Arc<CurrentConfig>,
    clock: Arc<dyn Clock>,
    max_config_age: Duration,
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
        let started = timestamp(&*clock).unix;
        let me = Member {
            vm: Arc::clone(&settings.vm),
            started_ms: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            address: settings.peer_address.to_string().into(),
        };
        let router = Arc::new(Router::new(me, Arc::clone(&clock)));
        let current = Arc::new(CurrentConfig::default());
        peers::serve(settings.peer_address, RouterHandler(Arc::clone(&router)))
            .await
            .wrap_err_with(|| format!("can't listen on {}", settings.peer_address))?;
        let (waves, waves_seen) = watch::channel(Vec::new());
        let manager = ShardManager::new(ManagerContext {
            platform: platform.clone(),
            clock: Arc::clone(&clock),
            router: Arc::clone(&router),
            current: Arc::clone(&current),
            timings: Timings::new(settings.max_lease, settings.job_retention),
            maintenance_time: settings.maintenance_time,
            move_time: settings.move_time,
            takeover_delay: settings.takeover_delay,
            waves: waves_seen,
        });
        manager.start();
        tokio::spawn(follow_operator(
            platform,
            Arc::clone(&current),
            Arc::clone(&clock),
            waves,
        ));
        let max_config_age = settings.key_revocation.mul_f64(FRESH_SHARE);
        if let Some(metrics) = metrics {
            let context = OperatorContext {
                metrics,
                router: Arc::clone(&router),
                current: Arc::clone(&current),
                clock: Arc::clone(&clock),
                max_config_age,
                token: settings.operator_token,
            };
            operators::serve(context, settings.operator_address).await?;
        }
        let job_api = JobApi::new(
            Arc::clone(&current),
            router,
            Arc::clone(&clock),
            max_config_age,
        );
        Ok(Self {
            job_api: Arc::new(job_api),
            manager,
            current,
            clock,
            max_config_age,
            stopping: watch::Sender::new(false),
        })
    }

    /// Returns what takes callers' requests.
    pub fn job_api(&self) -> Arc<JobApi> {
        Arc::clone(&self.job_api)
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !*self.stopping.borrow()
            && self.current.load().version > 0
            && self.current.is_fresh(self.clock.now(), self.max_config_age)
    }

    /// Gives up the shards of this process. Callers are still served, and answered within `limit`.
    pub async fn release_shards(&self, limit: Duration) {
        self.job_api.set_shutdown_deadline(self.clock.now() + limit);
        self.stopping.send_replace(true);
        self.manager.stop().await;
    }
}

/// Follows what operators publish: the configuration and the waves.
async fn follow_operator(
    platform: Platform,
    current: Arc<CurrentConfig>,
    clock: Arc<dyn Clock>,
    waves: watch::Sender<Vec<Wave>>,
) {
    let mut cache = TopicCache::new(Topic::Operator);
    let mut lost: Option<Instant> = None;
    loop {
        let sent = clock.now();
        match cache.sync(&*platform.store, CONFIG_WAIT).await {
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
                    if key == platform.codec.config_key() {
                        usable = install(&platform, &current, value);
                    }
                }
                if changes.up_to_date && usable {
                    current.confirm(sent);
                }
                if !changes.changed.is_empty() {
                    let all = cache.records();
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

fn install(platform: &Platform, current: &CurrentConfig, value: &[u8]) -> bool {
    match platform.codec.config(value) {
        Ok(config) => {
            let (version, routes, teams) =
                (config.version, config.routes.len(), config.teams.len());
            let installed = current.update_if_newer(config);
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
