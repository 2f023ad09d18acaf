//! The processes of a scenario and the network between them.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use eyre::OptionExt;
use lavenderhollow_config::Key;
use lavenderhollow_platform::HttpClient;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use super::process::Process;
use super::process::Signal;
use super::programs;
use super::relay::Relay;

pub(super) const TOKEN: &str = "operators-token-of-a-scenario";
const STANDIN_WORDS: &[&str] = &["listening", "control"];
const ENTRY_WORDS: &[&str] = &["callers", "operators", "peers", "metrics"];

/// How long a graceful stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// What a VM is for.
#[derive(Clone, Debug)]
pub(super) enum Role {
    Entry,
    Worker { pool: String, settings: Value },
}

/// A VM that the list names.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub(super) role: Role,
    pub(super) zone: String,
    pub(super) rack: String,
    pub(super) state: &'static str,
}

/// All processes of a scenario. Dropping it kills them by their process ids.
///
/// Each zone has its own VM list process with the same VMs. It names the addresses of relays, so
/// that the network between any two zones can be cut.
pub struct World {
    pub(super) processes: BTreeMap<String, Process>,
    pub(super) vms: BTreeMap<String, Vm>,
    /// Relays by the zone they are used from and the process they lead to.
    pub(super) relays: BTreeMap<(String, String), Relay>,
    pub(super) zones: Vec<String>,
    /// Starts of bodies at workers that were killed.
    pub(super) lost_runs: BTreeMap<String, u32>,
    pub(super) programs: PathBuf,
    pub(super) client: HttpClient,
    folder: TempDir,
}

impl World {
    /// Starts the log and one VM list for each zone.
    ///
    /// # Errors
    ///
    /// Fails when a program is missing or does not start.
    pub async fn start(zones: &[String]) -> eyre::Result<Self> {
        let folder = tempfile::Builder::new()
            .prefix("lavenderhollow-")
            .tempdir()?;
        std::fs::write(folder.path().join("token"), TOKEN)?;
        let mut world = Self {
            processes: BTreeMap::new(),
            vms: BTreeMap::new(),
            relays: BTreeMap::new(),
            zones: zones.to_vec(),
            lost_runs: BTreeMap::new(),
            programs: programs::find()?,
            // A new connection for each call: a pooled one that the server closes at that moment
            // would look like a cut request.
            client: HttpClient::new(Duration::from_secs(2), 0),
            folder,
        };
        world
            .spawn_standin("log", "standin-log", &json!({}))
            .await?;
        for zone in zones {
            let list = format!("vms-{zone}");
            world
                .spawn_standin(&list, "standin-vms", &json!({}))
                .await?;
            for (name, process) in [("log", "log"), ("vms", list.as_str())] {
                let target = world.process(process)?.address("listening")?;
                let relay = Relay::start(Some(target)).await?;
                world.relays.insert((zone.clone(), name.to_owned()), relay);
            }
        }
        Ok(world)
    }

    /// Returns the folder of the logs and settings.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the client for calls to entries.
    pub fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Returns the zones.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Adds a worker and lists it.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn add_worker(
        &mut self,
        name: &str,
        zone: &str,
        rack: &str,
        pool: &str,
        settings: Value,
    ) -> eyre::Result<()> {
        let pool = pool.to_owned();
        let relay = Relay::start(None).await?;
        self.relays
            .insert((zone.to_owned(), name.to_owned()), relay);
        self.add(name, zone, rack, Role::Worker { pool, settings })
            .await
    }

    /// Adds an entry and lists it.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn add_entry(&mut self, name: &str, zone: &str) -> eyre::Result<()> {
        for from in self.zones.clone() {
            let relay = Relay::start(None).await?;
            self.relays.insert((from, name.to_owned()), relay);
        }
        self.add(name, zone, "entries", Role::Entry).await
    }

    async fn add(&mut self, name: &str, zone: &str, rack: &str, role: Role) -> eyre::Result<()> {
        let vm = Vm {
            role,
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            state: "live",
        };
        self.vms.insert(name.to_owned(), vm);
        self.boot(name).await?;
        self.list(name, "live").await
    }

    /// Starts the process of a VM.
    async fn boot(&mut self, name: &str) -> eyre::Result<()> {
        let vm = self.vm(name)?.clone();
        let word = match vm.role {
            Role::Entry => {
                let settings = self.entry_settings(name, &vm.zone)?;
                let file = self.folder().join(format!("{name}.json"));
                std::fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
                let mut command = Command::new(self.programs.join("lavenderhollow"));
                command.arg("entry").arg("--settings").arg(file);
                let process = Process::start(name, command, ENTRY_WORDS, self.folder()).await?;
                self.processes.insert(name.to_owned(), process);
                "peers"
            }
            Role::Worker { settings, .. } => {
                self.spawn_standin(name, "standin-worker", &settings)
                    .await?;
                "listening"
            }
        };
        let address = self.process(name)?.address(word)?;
        for ((_, to), relay) in &self.relays {
            if to == name {
                relay.set_target(address);
            }
        }
        Ok(())
    }

    async fn spawn_standin(
        &mut self,
        name: &str,
        program: &str,
        settings: &Value,
    ) -> eyre::Result<()> {
        let mut command = Command::new(self.programs.join(program));
        command.arg("--settings").arg(settings.to_string());
        let process = Process::start(name, command, STANDIN_WORDS, self.folder()).await?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn entry_settings(&self, name: &str, zone: &str) -> eyre::Result<Value> {
        let any = "127.0.0.1:0";
        Ok(json!({
            "name": name,
            "zone": zone,
            "listen": { "callers": any, "operators": any, "peers": any, "metrics": any },
            "platform": {
                "log": self.relay(zone, "log")?.address(),
                "vms": self.relay(zone, "vms")?.address(),
            },
            "operator_token": Key::from_text(TOKEN).hash(),
            "peer_secret": "peer-secret-of-a-scenario",
            "heartbeat_ms": 200,
            "lease_ms": 1500,
            "list_interval_ms": 200,
        }))
    }

    /// Kills a process with SIGKILL. A worker's counts of runs are read first.
    ///
    /// # Errors
    ///
    /// Fails when no such process runs.
    pub async fn kill(&mut self, name: &str) -> eyre::Result<()> {
        if self.is_worker(name) {
            for relay in self.relays_to(name) {
                relay.set_cut(true);
            }
            let runs = self.control(name)?.runs().await?;
            for (body, count) in runs.bodies {
                *self.lost_runs.entry(body).or_default() += count;
            }
        }
        let mut process = self.processes.remove(name).ok_or_eyre("no such process")?;
        process.kill()?;
        self.relays_to(name).for_each(|relay| relay.set_cut(false));
        Ok(())
    }

    /// Ends a process with SIGTERM and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process does not end in time and with code 0.
    pub async fn stop(&mut self, name: &str) -> eyre::Result<()> {
        let process = self.processes.get_mut(name).ok_or_eyre("no such process")?;
        process.signal(Signal::TERM)?;
        let status = process.ended(STOP_LIMIT).await?;
        eyre::ensure!(status.success(), "{name} ended with {status}");
        self.processes.remove(name);
        Ok(())
    }

    /// Starts a new process for a VM whose process has ended.
    ///
    /// # Errors
    ///
    /// Fails when the VM is unknown or its process runs or does not start.
    pub async fn replace(&mut self, name: &str) -> eyre::Result<()> {
        eyre::ensure!(!self.processes.contains_key(name), "{name} still runs");
        self.boot(name).await?;
        self.list(name, "live").await
    }

    /// Pauses or resumes a process with SIGSTOP or SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails when no such process runs.
    pub fn set_paused(&mut self, name: &str, paused: bool) -> eyre::Result<()> {
        let process = self.processes.get_mut(name).ok_or_eyre("no such process")?;
        process.signal(if paused { Signal::STOP } else { Signal::CONT })
    }

    pub(super) fn is_worker(&self, name: &str) -> bool {
        let vm = self.vms.get(name);
        vm.is_some_and(|vm| matches!(vm.role, Role::Worker { .. }))
    }

    pub(super) fn vm(&self, name: &str) -> eyre::Result<&Vm> {
        let vm = self.vms.get(name);
        vm.ok_or_else(|| eyre::eyre!("no VM is called {name:?}"))
    }

    pub(super) fn relay(&self, from: &str, to: &str) -> eyre::Result<&Relay> {
        let relay = self.relays.get(&(from.to_owned(), to.to_owned()));
        relay.ok_or_else(|| eyre::eyre!("no relay from {from:?} to {to:?}"))
    }

    fn relays_to(&self, name: &str) -> impl Iterator<Item = &Relay> {
        let relays = self.relays.iter();
        relays
            .filter(move |((_, to), _)| to == name)
            .map(|(_, relay)| relay)
    }
}
