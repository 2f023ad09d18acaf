//! A deployment in this process: a log, a VM list, workers and entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use lavenderhollow_config::Key;
use lavenderhollow_entry::Entry;
use lavenderhollow_entry::EntryBuilder;
use lavenderhollow_entry::Settings;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::HttpWorkers;
use lavenderhollow_platform::WorkerLimits;
use lavenderhollow_testing::standin::ControlClient;
use lavenderhollow_testing::standin::LogSettings;
use lavenderhollow_testing::standin::LogStandIn;
use lavenderhollow_testing::standin::VmListSettings;
use lavenderhollow_testing::standin::VmListStandIn;
use lavenderhollow_testing::standin::WorkerSettings;
use lavenderhollow_testing::standin::WorkerStandIn;
use lavenderhollow_types::RequestId;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use super::Answer;
use super::Call;
use super::ConfigText;
use super::CountingWorkers;
use super::HARBOUR_KEY;
use super::HOME;
use super::OpenStarts;
use super::local;
use super::new_key;
use super::wait_until;

/// The token of operators.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";

/// The secret that the entries share.
const PEER_SECRET: &str = "peer-secret-of-the-tests";

/// Describes a deployment.
pub(crate) struct WorldBuilder {
    zones: Vec<&'static str>,
    workers: usize,
    config: Option<ConfigText>,
    settings: Value,
}

impl WorldBuilder {
    /// One zone with two workers and one entry.
    pub(crate) fn new() -> Self {
        Self {
            zones: vec![HOME],
            workers: 2,
            config: None,
            settings: json!({}),
        }
    }

    /// Adds an availability zone with workers and an entry of its own.
    pub(crate) fn zone(mut self, zone: &'static str) -> Self {
        self.zones.push(zone);
        self
    }

    /// Sets the number of workers of each zone.
    pub(crate) fn workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }

    /// Sets the configuration.
    pub(crate) fn config(mut self, change: impl FnOnce(ConfigText) -> ConfigText) -> Self {
        self.config = Some(change(ConfigText::new(&self.zones)));
        self
    }

    /// Sets a setting of every entry.
    pub(crate) fn setting(mut self, name: &str, value: Value) -> Self {
        self.settings[name] = value;
        self
    }

    /// Starts everything, and waits until every worker takes work.
    ///
    /// # Errors
    ///
    /// Fails when a part does not start or the deployment does not become ready.
    pub(crate) async fn start(self) -> eyre::Result<World> {
        let log = LogStandIn::start(local(), local(), LogSettings::default())?;
        let vms = VmListStandIn::start(local(), local(), VmListSettings::default())?;
        let config = self.config;
        let mut world = World {
            client: HttpClient::new(Duration::from_secs(2), 8),
            log_control: ControlClient::new(log.control()),
            vms_control: ControlClient::new(vms.control()),
            log,
            vms,
            workers: Vec::new(),
            entries: Vec::new(),
            open_starts: Arc::default(),
            settings: self.settings,
            config: config.unwrap_or_else(|| ConfigText::new(&self.zones)),
        };
        for zone in &self.zones {
            world.add_entry(zone).await?;
            for _ in 0..self.workers {
                world.add_worker(zone).await?;
            }
        }
        let published = world.publish(world.config.document().clone()).await?;
        eyre::ensure!(published.status() == 200, "{published:?}");
        world.wait_ready(self.workers).await?;
        Ok(world)
    }
}

/// A running deployment.
pub(crate) struct World {
    pub(crate) client: HttpClient,
    pub(crate) log: LogStandIn,
    pub(crate) log_control: ControlClient,
    pub(crate) vms: VmListStandIn,
    pub(crate) vms_control: ControlClient,
    pub(crate) workers: Vec<ControlClientOf>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) config: ConfigText,
    /// The open start calls of all entries.
    pub(crate) open_starts: Arc<OpenStarts>,
    settings: Value,
}

/// A worker with the client of its control address.
pub(crate) struct ControlClientOf {
    pub(crate) control: ControlClient,
    pub(crate) worker: WorkerStandIn,
}

impl World {
    /// Returns the settings of an entry.
    pub(crate) fn settings(&self, name: &str, zone: &str) -> eyre::Result<Settings> {
        let local = local();
        let mut settings = json!({
            "name": name,
            "zone": zone,
            "listen": {"callers": local, "operators": local, "peers": local, "metrics": local},
            "platform": {"log": self.log.address(), "vms": self.vms.address()},
            "operator_token": Key::from_text(OPERATOR_TOKEN).hash(),
            "peer_secret": PEER_SECRET,
            "staleness_bound_ms": 3000,
            "lease_ms": 3000,
            "probe_ms": 200,
            "heartbeat_ms": 200,
            "list_interval_ms": 100,
        });
        if let (Some(all), Some(own)) = (settings.as_object_mut(), self.settings.as_object()) {
            all.extend(own.clone());
        }
        Ok(Settings::from_text(&settings.to_string())?)
    }

    /// Starts an entry and puts it on the VM list.
    pub(crate) async fn add_entry(&mut self, zone: &str) -> eyre::Result<()> {
        let name = format!("entry-{}", self.entries.len());
        let settings = self.settings(&name, zone)?;
        let client = HttpClient::new(Duration::from_millis(500), 8);
        let workers = CountingWorkers {
            inner: HttpWorkers::new(client, WorkerLimits::default()),
            open: Arc::clone(&self.open_starts),
        };
        let builder = EntryBuilder::new(settings).workers(Arc::new(workers));
        let entry = builder.start().await?;
        self.list(&name, entry.peers(), zone, "entries").await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Starts a worker and puts it on the VM list.
    pub(crate) async fn add_worker(&mut self, zone: &str) -> eyre::Result<()> {
        let worker = WorkerStandIn::start(local(), local(), WorkerSettings::default())?;
        let name = format!("worker-{}", self.workers.len());
        self.list(&name, worker.address(), zone, "main").await?;
        let control = ControlClient::new(worker.control());
        self.workers.push(ControlClientOf { control, worker });
        Ok(())
    }

    /// Puts a VM on the list.
    pub(crate) async fn list(
        &self,
        name: &str,
        address: SocketAddr,
        zone: &str,
        pool: &str,
    ) -> eyre::Result<()> {
        let vm = json!([{
            "name": name, "address": address, "zone": zone, "rack": format!("rack-of-{name}"),
            "pool": pool, "state": "live",
        }]);
        let listed = self.vms_control.call(Method::POST, "/vms", Some(&vm)).await;
        listed.map(drop)
    }

    /// Returns the callers' address of an entry.
    pub(crate) fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].callers()
    }

    /// Sends a call.
    pub(crate) async fn send(&self, call: Call) -> eyre::Result<Answer> {
        call.send(&self.client).await
    }

    /// Sends a change of the configuration to the first entry.
    pub(crate) async fn change(&self, change: Value) -> eyre::Result<Answer> {
        let command = json!({"id": Uuid::new_v4(), "change": change});
        let operators = self.entries[0].operators();
        let call = Call::new(Method::POST, operators, "/v1/config").bearer(OPERATOR_TOKEN);
        self.send(call.body(command.to_string())).await
    }

    /// Publishes a whole configuration at the first entry.
    pub(crate) async fn publish(&self, document: Value) -> eyre::Result<Answer> {
        // The operators' interface refuses a command until it has read the log.
        let mut answer = self.change(json!({"publish": document})).await?;
        wait_until("the configuration to be accepted", async || {
            if answer.status() == 504 {
                answer = self.change(json!({"publish": document})).await?;
            }
            Ok(answer.status() != 504)
        })
        .await?;
        Ok(answer)
    }

    /// Returns the status of an entry.
    pub(crate) async fn status(&self, entry: usize) -> eyre::Result<Value> {
        let operators = self.entries[entry].operators();
        let call = Call::new(Method::GET, operators, "/v1/status").bearer(OPERATOR_TOKEN);
        Ok(self.send(call).await?.json())
    }

    async fn wait_ready(&self, workers: usize) -> eyre::Result<()> {
        for entry in 0..self.entries.len() {
            wait_until("every worker to be open", async || {
                let status = self.status(entry).await?;
                let keyed = status["takes_keyed"] == true;
                let usable = status["teams"]["harbour"]["usable_here"].as_u64() > Some(0);
                let open = &status["pools"]["main"]["open_here"];
                Ok(keyed && usable && open.as_u64() == Some(workers as u64))
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until entries use so many slots of the team `harbour`, as the first one knows.
    pub(crate) async fn wait_used(&self, slots: u64) -> eyre::Result<()> {
        wait_until(&format!("{slots} slots to be in use"), async || {
            let status = self.status(0).await?;
            Ok(status["teams"]["harbour"]["used_in_zone"].as_u64() == Some(slots))
        })
        .await
    }

    /// Changes the settings of every worker.
    pub(crate) async fn patch_workers(&self, patch: Value) -> eyre::Result<()> {
        for worker in &self.workers {
            worker.control.patch(patch.clone()).await?;
        }
        Ok(())
    }

    /// Returns how often each request was started on any worker.
    pub(crate) async fn runs(&self) -> eyre::Result<BTreeMap<RequestId, u32>> {
        let mut all = BTreeMap::new();
        for worker in &self.workers {
            for (request, runs) in worker.control.runs().await?.runs {
                *all.entry(request).or_default() += runs;
            }
        }
        Ok(all)
    }

    /// Returns the number of runs on all workers.
    pub(crate) async fn run_count(&self) -> eyre::Result<u32> {
        Ok(self.runs().await?.values().sum())
    }
}

/// How a request of a queue that is not idempotent is kept from running twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// By an idempotency key.
    Key,
    /// By an execution ticket of the first entry.
    Ticket,
}

impl World {
    /// Returns a header that lets a request run once.
    pub(crate) async fn guard(&self, guard: Guard) -> eyre::Result<(&'static str, String)> {
        self.guard_at(self.callers(0), guard).await
    }

    /// Returns a header that lets a request run once, with a ticket of the entry at an address.
    pub(crate) async fn guard_at(
        &self,
        address: SocketAddr,
        guard: Guard,
    ) -> eyre::Result<(&'static str, String)> {
        if guard == Guard::Key {
            return Ok(("idempotency-key", new_key()));
        }
        let call = Call::new(Method::POST, address, "/v1/tickets").bearer(HARBOUR_KEY);
        let answer = self.send(call).await?;
        eyre::ensure!(answer.status() == 201, "{answer:?}");
        Ok(("execution-ticket", answer.text("ticket")))
    }

    /// Sends a request of the queue `fees` to an entry.
    pub(crate) async fn fee(
        &self,
        entry: usize,
        header: &(&'static str, String),
        body: &[u8],
    ) -> eyre::Result<Answer> {
        let call = Call::request(self.callers(entry), "fees", body.to_vec());
        self.send(call.header(header.0, &header.1)).await
    }
}
