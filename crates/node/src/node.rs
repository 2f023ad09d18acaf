//! Creates the components of a node process and starts its background tasks.

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
use crate::evacuation::EvacuatedZones;
use crate::job_api::JobApi;
use crate::job_budget::MEGABYTE;
use crate::load_monitor;
use crate::operators;
use crate::operators::OperatorContext;
use crate::peers;
use crate::router::Router;
use crate::router::RouterHandler;
use crate::shard_manager::ManagerContext;
use crate::shard_manager::ShardManager;
use crate::supervisor;
use crate::topic_cache::Changes;
use crate::topic_cache::TopicCache;

/// How long one read of the operators' topic waits for a new record. The configuration counts as
/// up to date as of the time at which the last read was sent, so this has to stay well below the
/// time limit for key revocation.
const CONFIG_READ_WAIT: Duration = Duration::from_millis(800);

/// The pause before a failed read of the operators' topic is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The fraction of the time limit for key revocation during which a configuration may be used after
/// it was last known to be up to date. The rest covers the time in which a request reaches the
/// owner of a shard.
const CONFIG_AGE_FRACTION: f64 = 0.7;

/// The settings of a node process, read once at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name of the VM.
    pub vm: Name,
    /// The address on which this process listens for its peers, and under which they reach it.
    pub peer_address: SocketAddr,
    /// The address of the HTTP server for operators and metrics.
    pub operator_address: SocketAddr,
    /// The hash of the operators' token; without one, only metrics are served to operators.
    pub operator_token: Option<KeyHash>,
    /// The longest time for which a worker honours a lease that is not renewed.
    pub max_lease: Duration,
    /// How long the state of a finished job stays available to callers.
    pub job_retention: Duration,
    /// The time limit within which a revoked key has to stop working.
    pub key_revocation: Duration,
    /// The shortest time between commands that two owners of the fleet shard send for one machine.
    pub takeover_delay: Duration,
    /// How long the maintenance of a machine takes.
    pub maintenance_time: Duration,
    /// How long the move of a machine to another pool takes.
    pub move_time: Duration,
    /// How many commands per second the machine interface accepts.
    pub command_rate: f64,
    /// The processor time that the process may use, in millicores.
    pub cpu_limit: u64,
    /// The memory of the machine, in bytes.
    pub memory: usize,
}

/// A running node process: its shards, its configuration and its job API.
pub struct Node {
    job_api: Arc<JobApi>,
    manager: Arc<ShardManager>,
    current_config: Arc<CurrentConfig>,
    clock: Arc<dyn Clock>,
    max_config_age: Duration,
    stopping: watch::Sender<bool>,
}

impl Node {
    /// Starts the servers for peers and operators and the background tasks of the process. Without
    /// `metrics`, operators are not served.
    ///
    /// # Errors
    ///
    /// Returns an error if this process can't listen on one of its addresses, for example because
    /// it is in use.
    pub async fn start(
        settings: NodeSettings,
        platform: Platform,
        clock: Arc<dyn Clock>,
        metrics: Option<MetricsHandle>,
    ) -> eyre::Result<Self> {
        let start_time = timestamp(&*clock).unix;
        let me = Member {
            vm: Arc::clone(&settings.vm),
            started_ms: u64::try_from(start_time.as_millis()).unwrap_or(u64::MAX),
            address: settings.peer_address.to_string().into(),
            cpu_limit: Some(settings.cpu_limit),
            memory_mb: u64::try_from(settings.memory / MEGABYTE).ok(),
        };
        let router = Arc::new(Router::new(me, Arc::clone(&clock), settings.memory));
        let current_config = Arc::new(CurrentConfig::default());
        let evacuated = Arc::new(EvacuatedZones::default());
        let handler = RouterHandler(Arc::clone(&router));
        peers::serve(settings.peer_address, handler, settings.memory)
            .await
            .wrap_err_with(|| format!("can't listen for peers on {}", settings.peer_address))?;
        let (waves, waves_receiver) = watch::channel(Vec::new());
        let manager = ShardManager::new(ManagerContext {
            platform: platform.clone(),
            clock: Arc::clone(&clock),
            router: Arc::clone(&router),
            current_config: Arc::clone(&current_config),
            evacuated: Arc::clone(&evacuated),
            timings: Timings::new(settings.max_lease, settings.job_retention),
            maintenance_time: settings.maintenance_time,
            move_time: settings.move_time,
            command_rate: settings.command_rate,
            takeover_delay: settings.takeover_delay,
            waves: waves_receiver,
        });
        manager.start();
        tokio::spawn(load_monitor::run(Arc::clone(&router), Arc::clone(&clock)));
        let followed = OperatorState {
            current_config: Arc::clone(&current_config),
            evacuated: Arc::clone(&evacuated),
            waves,
        };
        let topic_clock = Arc::clone(&clock);
        supervisor::spawn("follow_operator_topic", move || {
            follow_operator_topic(platform.clone(), followed.clone(), Arc::clone(&topic_clock))
        });
        let max_config_age = settings.key_revocation.mul_f64(CONFIG_AGE_FRACTION);
        if let Some(metrics) = metrics {
            let context = OperatorContext {
                metrics,
                router: Arc::clone(&router),
                current_config: Arc::clone(&current_config),
                evacuated,
                clock: Arc::clone(&clock),
                max_config_age,
                token: settings.operator_token,
            };
            operators::serve(context, settings.operator_address).await?;
        }
        let job_api = JobApi::new(
            Arc::clone(&current_config),
            router,
            Arc::clone(&clock),
            max_config_age,
        );
        Ok(Self {
            job_api: Arc::new(job_api),
            manager,
            current_config,
            clock,
            max_config_age,
            stopping: watch::Sender::new(false),
        })
    }

    /// Returns the job API, which handles callers' requests.
    pub fn job_api(&self) -> Arc<JobApi> {
        Arc::clone(&self.job_api)
    }

    /// Returns whether load balancers should send callers to this process: it is not stopping, and
    /// its configuration is recent enough to check keys with.
    pub fn is_ready(&self) -> bool {
        !*self.stopping.borrow()
            && self.current_config.load().version > 0
            && self
                .current_config
                .is_fresh(self.clock.now(), self.max_config_age)
    }

    /// Releases the shards of this process. Callers are still served; each of their requests gets
    /// its response within `limit`.
    pub async fn release_shards(&self, limit: Duration) {
        self.job_api.set_shutdown_deadline(self.clock.now() + limit);
        self.stopping.send_replace(true);
        self.manager.stop().await;
    }
}

/// What a process knows of the records that operators publish.
#[derive(Clone)]
struct OperatorState {
    current_config: Arc<CurrentConfig>,
    evacuated: Arc<EvacuatedZones>,
    waves: watch::Sender<Vec<Wave>>,
}

/// Applies what operators publish, the evacuations, the configuration and the maintenance waves, for
/// as long as the process runs.
async fn follow_operator_topic(platform: Platform, state: OperatorState, clock: Arc<dyn Clock>) {
    let OperatorState {
        current_config,
        evacuated,
        waves,
    } = state;
    let mut cache = TopicCache::new(Topic::Operator);
    // Whether the latest configuration could be decoded. While it can't, the one in force is not known
    // to be up to date: the latest may withdraw keys.
    let mut is_valid = true;
    let mut unreachable_since: Option<Instant> = None;
    loop {
        let read_started = clock.now();
        match cache.sync(&*platform.store, CONFIG_READ_WAIT).await {
            Ok(changes) => {
                if let Some(since) = unreachable_since.take() {
                    let outage = clock.now().saturating_duration_since(since);
                    log::info!(away_ms = outage.as_millis() as u64; "store_recovered");
                }
                // An owner that knows a configuration must know the evacuations published before.
                apply_evacuations(&platform, &evacuated, &cache, &changes, clock.now());
                for (key, value) in &changes.changed {
                    let Some(value) = value else {
                        continue;
                    };
                    if key == platform.codec.config_key() {
                        is_valid = apply_config(&platform, &current_config, value);
                    }
                }
                if changes.up_to_date && is_valid {
                    current_config.confirm(read_started);
                }
                if !changes.changed.is_empty() {
                    let records = cache.records();
                    let published = records
                        .filter_map(|(k, v)| platform.codec.wave(k, v))
                        .collect();
                    waves.send_if_modified(|current_waves| {
                        let changed = *current_waves != published;
                        *current_waves = published;
                        changed
                    });
                }
            }
            Err(error) => {
                if unreachable_since.is_none() {
                    log::warn!(error:display; "store_unreachable");
                    unreachable_since = Some(read_started);
                }
                if matches!(error, StoreError::Rejected { .. }) {
                    metrics::counter!("store_refusals_total").increment(1);
                }
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Replaces the evacuated zones by those of the topic's records. Logs the changed records that can't
/// be decoded; they evacuate nothing.
fn apply_evacuations(
    platform: &Platform,
    evacuated: &EvacuatedZones,
    cache: &TopicCache,
    changes: &Changes,
    now: Instant,
) {
    for (key, value) in &changes.changed {
        let decoded = value.as_deref().map(|v| platform.codec.evacuation(key, v));
        if let Some(Err(detail)) = decoded {
            log::error!(key = key.as_str(), detail:display; "operator_record_decode_failed");
        }
    }
    let zones = cache
        .records()
        .filter_map(|(key, value)| platform.codec.evacuation(key, value).ok()?);
    evacuated.update(now, zones.collect());
}

/// Decodes a configuration and makes it the current one if it is newer. Returns whether it could be
/// decoded.
fn apply_config(platform: &Platform, current_config: &CurrentConfig, value: &[u8]) -> bool {
    match platform.codec.config(value) {
        Ok(config) => {
            let (version, routes, teams) =
                (config.version, config.routes.len(), config.teams.len());
            let installed = current_config.update_if_newer(config);
            metrics::gauge!("config_version").set(version as f64);
            log::info!(version, routes, teams, installed; "config_loaded");
            true
        }
        Err(detail) => {
            log::error!(detail:display; "config_decode_failed");
            false
        }
    }
}
