//! A fake platform: a store, workers and the machines that they run on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;

use super::http::Server;
use super::http::serve;
use super::machines::Machine;
use super::machines::Machines;
use super::machines::MachinesHandler;
use super::machines::STANDBY_POOL;
use super::store::Store;
use super::store::StoreFaults;
use super::store::StoreHandler;
use super::worker::Worker;
use super::worker::WorkerFaults;
use super::worker::WorkerHandler;

/// The pool that serves [`ROUTE_PREFIX`]; the workers that are not standby belong to it.
pub const POOL: &str = "checks-pool";

/// The host name that the only queue of the configuration is routed by.
pub const ROUTE_HOST: &str = "checks.example";

/// The path prefix that the only queue of the configuration is routed by.
pub const ROUTE_PREFIX: &str = "/checks/";

/// The API key of the first team of the configuration.
pub const TEAM_KEY: &str = "key-of-the-team";

/// The API key of the second team of the configuration.
pub const OTHER_TEAM_KEY: &str = "key-of-the-other-team";

/// How often each worker's registration is written to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// The capacity of each worker, in cores; it runs at most this many tasks at once.
const WORKER_CORES: usize = 8;

/// The zone of a machine unless [`FakePlatform::set_zone`] sets another one.
const DEFAULT_ZONE: &str = "zone";

/// A running fake platform, whose servers stop when it is dropped.
pub struct FakePlatform {
    store: Arc<Store>,
    store_server: Server,
    machines: Arc<Machines>,
    machines_server: Server,
    workers: Vec<(Arc<Worker>, Server)>,
    heartbeats: JoinHandle<()>,
    version: Mutex<u64>,
    /// The number of queues whose pools have no workers.
    idle_queues: AtomicUsize,
    /// Whether the queue of [`ROUTE_PREFIX`] has a policy service.
    has_policy: AtomicBool,
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

impl FakePlatform {
    /// Starts a store and workers whose tasks run for `task_duration` each, and publishes a
    /// configuration with one queue and two teams.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(workers: usize, task_duration: Duration) -> std::io::Result<Self> {
        Self::start_with_standby(workers, 0, task_duration).await
    }

    /// Starts a platform like [`FakePlatform::start`], with `standby` further machines that are
    /// switched off, in [`STANDBY_POOL`]. Their workers have the indexes after the others.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start_with_standby(
        workers: usize,
        standby: usize,
        task_duration: Duration,
    ) -> std::io::Result<Self> {
        let store = Arc::new(Store::default());
        let machines = Arc::new(Machines::default());
        let mut servers = Vec::new();
        for i in 0..workers + standby {
            let id = format!("worker-{i}");
            let worker = Arc::new(Worker::new(&id, 1, WORKER_CORES, task_duration));
            let server = serve(Arc::new(WorkerHandler(Arc::clone(&worker)))).await?;
            let machine = Machine {
                pool: if i < workers { POOL } else { STANDBY_POOL }.to_owned(),
                worker: id,
                fencing_token: 0,
                capacity: capacity(),
                zone: DEFAULT_ZONE.to_owned(),
            };
            machines.lock().insert(format!("machine-{i}"), machine);
            servers.push((worker, server));
        }
        let addresses: Vec<(Arc<Worker>, SocketAddr)> = servers
            .iter()
            .map(|(worker, server)| (Arc::clone(worker), server.address))
            .collect();
        let heartbeats = write_heartbeats(Arc::clone(&store), Arc::clone(&machines), addresses);
        let heartbeats = tokio::spawn(heartbeats);
        let platform = Self {
            store_server: serve(Arc::new(StoreHandler(Arc::clone(&store)))).await?,
            store,
            machines_server: serve(Arc::new(MachinesHandler(Arc::clone(&machines)))).await?,
            machines,
            workers: servers,
            heartbeats,
            version: Mutex::new(0),
            idle_queues: AtomicUsize::new(0),
            has_policy: AtomicBool::new(false),
        };
        platform.publish_config(&[TEAM_KEY]);
        Ok(platform)
    }

    /// Returns the settings file, in TOML, of a node process on this platform. The ports are those
    /// for callers, for readiness checks, and the first and the last internal one.
    pub fn settings_toml(&self, vm: &str, ports: [u16; 4]) -> String {
        let [callers, readiness, first, last] = ports;
        format!(
            "node_name = \"{vm}\"\nip = \"127.0.0.1\"\ninternal_ports = [{first}, {last}]\n\
             unknown_field = 1\n\
             [listen_addrs]\nclient_addr = \"127.0.0.1:{callers}\"\n\
             readiness = \"127.0.0.1:{readiness}\"\n\
             [bounds]\nmax_hold_ms = 10000\ngrace_s = 6\n\
             [platform]\naddress = \"{}\"\n[cloud]\naddress = \"{}\"\n",
            self.store_server.address, self.machines_server.address
        )
    }

    /// Publishes a configuration in which the first team has the given API keys. Its version is 3 higher
    /// than that of the configuration before.
    pub fn publish_config(&self, keys: &[&str]) {
        let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        *version += 3;
        let route = |name: &str, prefix: &str, pool: &str| {
            json!({
                "name": name, "host": ROUTE_HOST, "path_prefix": prefix,
                "service": pool, "max_attempts": 2, "slack_factor": 4.0,
                "target_latency_ms": 4_000, "priority": 0, "allow_anonymous": false,
            })
        };
        let mut routes = vec![route("checks", ROUTE_PREFIX, POOL)];
        if self.has_policy.load(Ordering::Relaxed) {
            let policy = json!({ "decision_ms": 1, "period_ms": 1, "valid_ms": 10_000 });
            routes[0]["recommendation"] = policy;
        }
        let mut services = vec![
            json!({ "name": POOL, "standby": false }),
            json!({ "name": STANDBY_POOL, "standby": true }),
        ];
        for number in 0..self.idle_queues.load(Ordering::Relaxed) {
            let name = format!("idle-{number}");
            routes.push(route(&name, &idle_prefix(number), &name));
            services.push(json!({ "name": name, "standby": false }));
        }
        let config = json!({
            "version": *version,
            "routes": routes,
            "services": services,
            "limits": { "max_body_bytes": 65_536 },
            "tenants": [
                { "name": "team", "api_keys": keys, "weight": 1, "cap": { "cpu": 0 } },
                {
                    "name": "other-team", "api_keys": [OTHER_TEAM_KEY], "weight": 1,
                    "cap": { "cpu": 0 },
                },
            ],
        });
        self.put("keyed.op", "config", &config);
    }

    /// Publishes a configuration with `count` further queues, each of which has a pool of its own without
    /// workers. Their prefixes are those of [`idle_prefix`].
    pub fn add_idle_queues(&self, count: usize) {
        self.idle_queues.fetch_add(count, Ordering::Relaxed);
        self.publish_config(&[TEAM_KEY]);
    }

    /// Publishes a configuration in which the queue of [`ROUTE_PREFIX`] has a policy service, or has none.
    pub fn set_policy_service(&self, has_policy: bool) {
        self.has_policy.store(has_policy, Ordering::Relaxed);
        self.publish_config(&[TEAM_KEY]);
    }

    /// Returns how many starts the workers have rejected for want of a ticket.
    pub fn starts_without_ticket(&self) -> usize {
        let workers = self.workers.iter();
        workers
            .map(|(worker, _)| worker.starts_without_ticket())
            .sum()
    }

    /// Publishes a maintenance wave of `machines`, of which at most `max_unavailable` may be down
    /// at a time.
    pub fn announce_wave(&self, wave: u64, machines: &[String], max_unavailable: usize) {
        let body = json!({
            "wave": wave, "machines": machines, "duration_s": 20, "cap": max_unavailable,
        });
        self.put("keyed.op", &format!("wave/{wave}"), &body);
    }

    /// Sets the zone of the worker with this index and of its machine.
    pub fn set_zone(&self, worker: usize, zone: &str) {
        if let Some((worker, _)) = self.workers.get(worker) {
            self.machines.set_zone(&worker.id, zone);
        }
    }

    /// Publishes an operators' request to evacuate a zone.
    pub fn evacuate(&self, zone: &str) {
        self.put_raw_operator(&format!("evacuate/{zone}"), b"{}");
    }

    /// Withdraws the request to evacuate a zone.
    pub fn withdraw_evacuation(&self, zone: &str) {
        self.put_raw_operator(&format!("evacuate/{zone}"), b"");
    }

    /// Writes a record to the operators' topic; an empty value removes the key.
    pub fn put_raw_operator(&self, key: &str, value: &[u8]) {
        let mut store = self.store.state();
        store.put("keyed.op", key.as_bytes(), value);
    }

    /// Returns whether the published status of a wave says that it is completed.
    pub fn wave_completed(&self, wave: u64) -> bool {
        let (rows, _) = self.store.state().read_latest("keyed.status", 0, None);
        let key = format!("wave/{wave}");
        rows.iter()
            .any(|(k, v, _)| k == key.as_bytes() && v.windows(9).any(|w| w == b"completed"))
    }

    /// Returns the machines that had maintenance in a wave.
    pub fn maintained(&self, wave: u64) -> BTreeSet<String> {
        let all = self.machines.maintained();
        let in_wave = all.into_iter().filter(|(w, _)| *w == wave);
        in_wave.map(|(_, machine)| machine).collect()
    }

    /// Returns the names of all machines, including those that are switched off.
    pub fn machines(&self) -> Vec<String> {
        self.machines.lock().keys().cloned().collect()
    }

    /// Writes a record to the workers' topic that need not be a registration, as the topic's other
    /// writers do.
    pub fn put_raw_worker(&self, key: &[u8], value: &[u8]) {
        self.store.state().put("keyed.servers", key, value);
    }

    /// Stops the workers' writing of their registrations; those that are written stay.
    pub async fn stop_heartbeats(&self) {
        self.heartbeats.abort();
        while !self.heartbeats.is_finished() {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the id of the worker with this index.
    pub fn worker_id(&self, worker: usize) -> Option<&str> {
        let (worker, _) = self.workers.get(worker)?;
        Some(&worker.id)
    }

    /// Deletes the history of all topics of the store; the latest record of each key stays.
    pub fn compact(&self) {
        self.store.state().compact();
    }

    /// Sets the faults that the store injects.
    pub fn set_store_faults(&self, faults: StoreFaults) {
        self.store.set_faults(faults);
    }

    /// Sets the faults that the worker with this index injects.
    pub fn set_worker_faults(&self, worker: usize, faults: WorkerFaults) {
        if let Some((worker, _)) = self.workers.get(worker) {
            worker.set_faults(faults);
        }
    }

    /// Restarts the worker with this index under its id and address. The new incarnation runs and
    /// knows nothing. The registration names the earlier one until
    /// [`FakePlatform::register_restarted_worker`].
    pub fn restart_worker(&self, worker: usize) {
        if let Some((worker, _)) = self.workers.get(worker) {
            worker.restart();
        }
    }

    /// Lets the registration of the worker with this index, from its next heartbeat on, name the
    /// incarnation that [`FakePlatform::restart_worker`] started.
    pub fn register_restarted_worker(&self, worker: usize) {
        if let Some((worker, _)) = self.workers.get(worker) {
            worker.register();
        }
    }

    /// Returns the most starts to the worker with this index that had no response at the same time.
    pub fn start_peak(&self, worker: usize) -> usize {
        let worker = self.workers.get(worker);
        worker.map_or(0, |(worker, _)| worker.start_peak())
    }

    /// Returns the tasks that run on the worker with this index.
    pub fn running_tasks(&self, worker: usize) -> Vec<String> {
        let worker = self.workers.get(worker);
        worker.map_or(Vec::new(), |(worker, _)| worker.running_tasks())
    }

    /// Returns whether the worker with this index runs nothing and its owner has acknowledged all of
    /// its finished runs.
    pub fn is_settled(&self, worker: usize) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|(worker, _)| worker.is_settled())
    }

    /// Returns the number of polls that the current incarnation of the worker with this index
    /// received.
    pub fn poll_count(&self, worker: usize) -> usize {
        let worker = self.workers.get(worker);
        worker.map_or(0, |(worker, _)| worker.poll_count())
    }

    /// Sets how long the machine interface takes to answer a command.
    pub fn set_command_delay(&self, delay: Duration) {
        self.machines.calls().delay = delay;
    }

    /// Returns the most commands to machines that were answered at the same time.
    pub fn concurrent_commands(&self) -> usize {
        self.machines.calls().peak
    }

    /// Returns how many different tasks were started on the worker with this index.
    pub fn start_count(&self, worker: usize) -> usize {
        let worker = self.workers.get(worker);
        worker.map_or(0, |(worker, _)| worker.task_starts().len())
    }

    /// Returns how many starts the worker with this index has carried out.
    pub fn run_count(&self, worker: usize) -> u32 {
        let worker = self.workers.get(worker);
        worker.map_or(0, |(worker, _)| worker.task_starts().values().sum())
    }

    /// Returns the pool of the machine that the worker with this index runs on.
    pub fn pool_of(&self, worker: usize) -> Option<String> {
        let (worker, _) = self.workers.get(worker)?;
        self.machines.pool_of(&worker.id)
    }

    /// Returns how often each task was started, summed over all workers.
    pub fn task_starts(&self) -> BTreeMap<String, u32> {
        let mut all = BTreeMap::new();
        for (worker, _) in &self.workers {
            for (task, count) in worker.task_starts() {
                *all.entry(task).or_insert(0) += count;
            }
        }
        all
    }

    fn put(&self, topic: &str, key: &str, value: &Value) {
        self.store
            .state()
            .put(topic, key.as_bytes(), value.to_string().as_bytes());
    }
}

/// Returns the path prefix that a queue without workers is routed by.
pub fn idle_prefix(number: usize) -> String {
    format!("/idle-{number}/")
}

/// Returns the capacity of each worker in the format of the protocol.
fn capacity() -> Value {
    json!({ "cpu": WORKER_CORES * 1_000, "mem_mb": 65_536, "gpu": 0 })
}

/// Writes the registrations of the workers periodically, until the task is aborted. A worker whose
/// machine is in the standby pool is not registered.
async fn write_heartbeats(
    store: Arc<Store>,
    machines: Arc<Machines>,
    addresses: Vec<(Arc<Worker>, SocketAddr)>,
) {
    for sequence in 0u64.. {
        for (worker, address) in &addresses {
            let Some(pool) = machines
                .pool_of(&worker.id)
                .filter(|pool| pool != STANDBY_POOL)
            else {
                continue;
            };
            let zone = machines.zone_of(&worker.id);
            let registration = json!({
                "service": pool, "address": address.to_string(), "zone": zone, "version": "v1",
                "slots": 8, "state": "ready", "sequence": sequence,
                "born": worker.registered_incarnation(),
                "capacity": capacity(),
                "labels": ["a", "r1-1"],
            });
            let value = registration.to_string();
            let key = worker.id.as_bytes();
            store.state().put("keyed.servers", key, value.as_bytes());
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
