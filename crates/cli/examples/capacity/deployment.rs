//! A deployment on loopback: stand-ins in this process, entries as processes.

use std::io::BufRead;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use eyre::OptionExt;
use eyre::ensure;
use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use lavenderhollow_config::Config;
use lavenderhollow_config::Key;
use lavenderhollow_config::Pool;
use lavenderhollow_config::Queue;
use lavenderhollow_config::Team;
use lavenderhollow_config::Zone;
use lavenderhollow_core::configuration::ConfigChange;
use lavenderhollow_entry::api::operator::Command as OperatorCommand;
use lavenderhollow_platform::HttpClient;
use lavenderhollow_platform::Limits;
use lavenderhollow_platform::VmInfo;
use lavenderhollow_platform::VmSize;
use lavenderhollow_platform::VmState;
use lavenderhollow_platform::json_request;
use lavenderhollow_testing::standin::LogSettings;
use lavenderhollow_testing::standin::LogStandIn;
use lavenderhollow_testing::standin::VmListSettings;
use lavenderhollow_testing::standin::VmListStandIn;
use lavenderhollow_testing::standin::WorkerSettings;
use lavenderhollow_testing::standin::WorkerStandIn;
use lavenderhollow_types::RecordId;
use serde::Serialize;

const TOKEN: &str = "capacity";

const CALL: Limits = Limits {
    time: Duration::from_secs(10),
    body: 16 << 20,
};

/// How long the deployment may take to start.
const START_LIMIT: Duration = Duration::from_secs(30);

/// The size of a deployment. Entries run in the first zone, or one in each zone.
#[derive(Clone, Debug)]
pub(crate) struct Size {
    pub(crate) workers: u32,
    pub(crate) teams: u32,
    pub(crate) pools: u32,
    pub(crate) entries: u32,
    pub(crate) zones: u32,
    /// Configuration changes a second.
    pub(crate) changes: u32,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            workers: 0,
            teams: 10,
            pools: 20,
            entries: 1,
            zones: 1,
            changes: 0,
        }
    }
}

impl Size {
    /// Returns the number of entry processes.
    pub(crate) fn processes(&self) -> u32 {
        self.entries + self.zones - 1
    }

    fn config(&self) -> eyre::Result<Config> {
        let mut config = Config {
            deployment: "capacity".to_owned(),
            ..Config::default()
        };
        for zone in 0..self.zones {
            let region = "region".parse()?;
            config
                .zones
                .insert(format!("zone-{zone}").parse()?, Zone { region });
        }
        for pool in 0..self.pools {
            let settings = Pool {
                max_unavailable: 2,
                racks_at_once: 1,
                buffer_slots: 0,
                spare: false,
            };
            config
                .pools
                .insert(format!("pool-{pool:03}").parse()?, settings);
            let queue = Queue {
                pool: format!("pool-{pool:03}").parse()?,
                open: false,
                idempotent: true,
                max_queued: 64,
                deadline: Duration::from_secs(30),
                run_time: Duration::from_secs(1),
                size: lavenderhollow_config::Resources::default(),
            };
            config
                .queues
                .insert(format!("queue-{pool:03}").parse()?, queue);
        }
        for team in 0..self.teams {
            let key = Key::from_text(&format!("key of team {team}"));
            let settings = Team {
                share: 10,
                limit: 1000,
                home: "zone-0".parse()?,
                keys: [("first".to_owned(), key.hash())].into(),
            };
            config
                .teams
                .insert(format!("team-{team:03}").parse()?, settings);
        }
        Ok(config)
    }
}

/// A running entry process. It is ended when it is dropped.
struct Entry {
    name: String,
    zone: u32,
    child: Child,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running deployment.
pub(crate) struct Deployment {
    changes: u32,
    http: HttpClient,
    entries: Vec<Entry>,
    _log: LogStandIn,
    list: VmListStandIn,
    workers: Vec<WorkerStandIn>,
}

impl Deployment {
    /// Starts a deployment and waits until its configuration is in force.
    pub(crate) async fn start(size: &Size) -> eyre::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let log = LogStandIn::start(any, any, LogSettings::default())?;
        let list = VmListStandIn::start(any, any, VmListSettings::default())?;
        let workers = (0..size.workers)
            .map(|_| WorkerStandIn::start(any, any, WorkerSettings::default()))
            .collect::<eyre::Result<_>>()?;
        let zones = (0..size.entries).map(|_| 0).chain(1..size.zones);
        let entries = zones
            .enumerate()
            .map(|(number, zone)| start_entry(number, zone, log.address(), list.address()))
            .collect::<eyre::Result<_>>()?;
        let deployment = Self {
            changes: size.changes,
            http: HttpClient::new(Duration::from_secs(1), 2),
            entries,
            _log: log,
            list,
            workers,
        };
        deployment.register(size).await?;
        deployment.publish(size.config()?).await?;
        Ok(deployment)
    }

    /// Returns the process id of the entry that is measured.
    pub(crate) fn pid(&self) -> u32 {
        self.entries[0].child.id()
    }

    /// Waits, publishing configuration changes at the rate of the size.
    pub(crate) async fn idle(&self, time: Duration) -> eyre::Result<()> {
        let end = Instant::now() + time;
        let rounds = u64::from(self.changes) * time.as_secs();
        for round in 0..rounds {
            let share = 10 + u32::try_from(round % 2)?;
            let patch = serde_json::json!({ "teams": { "team-000": { "share": share } } });
            self.change(ConfigChange::Patch(patch)).await?;
            let next = end - time + time.mul_f64((round + 1) as f64 / rounds as f64);
            tokio::time::sleep_until(next.into()).await;
        }
        tokio::time::sleep_until(end.into()).await;
        Ok(())
    }

    async fn register(&self, size: &Size) -> eyre::Result<()> {
        let mut vms = Vec::new();
        for entry in &self.entries {
            vms.push(vm(&entry.name, entry.peers, entry.zone, "entries", 0)?);
        }
        for (number, worker) in self.workers.iter().enumerate() {
            let number = u32::try_from(number)?;
            let pool = format!("pool-{:03}", number % size.pools);
            let name = format!("worker-{number:04}");
            vms.push(vm(&name, worker.address(), 0, &pool, number / 4)?);
        }
        let request = json_request(Method::POST, self.list.control(), "/vms", Some(&vms))?;
        let response = self.http.call(request, CALL).await?;
        ensure!(
            response.status().is_success(),
            "the VM list refused the VMs"
        );
        Ok(())
    }

    async fn publish(&self, config: Config) -> eyre::Result<()> {
        let start = Instant::now();
        let change = ConfigChange::Publish(Arc::new(config));
        while let Err(error) = self.change(change.clone()).await {
            ensure!(start.elapsed() < START_LIMIT, "not published: {error}");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    }

    async fn change(&self, change: ConfigChange) -> eyre::Result<()> {
        let command = OperatorCommand {
            id: RecordId::random(),
            expected: None,
            change,
        };
        let request = authorized("/v1/config", self.entries[0].operators, &command)?;
        let response = self.http.call(request, CALL).await?;
        let text = String::from_utf8_lossy(response.body()).into_owned();
        ensure!(response.status().is_success(), "change refused: {text}");
        Ok(())
    }
}

fn authorized<T: Serialize>(
    path: &str,
    address: SocketAddr,
    body: &T,
) -> eyre::Result<Request<Bytes>> {
    let mut request = json_request(Method::POST, address, path, Some(body))?;
    let value = format!("Bearer {TOKEN}").parse()?;
    request.headers_mut().insert(AUTHORIZATION, value);
    Ok(request)
}

fn vm(name: &str, address: SocketAddr, zone: u32, pool: &str, rack: u32) -> eyre::Result<VmInfo> {
    Ok(VmInfo {
        name: name.parse()?,
        address,
        zone: format!("zone-{zone}").parse()?,
        rack: format!("rack-{rack}").parse()?,
        pool: pool.parse()?,
        state: VmState::Live,
        size: VmSize::default(),
    })
}

fn start_entry(number: usize, zone: u32, log: SocketAddr, list: SocketAddr) -> eyre::Result<Entry> {
    let name = format!("entry-{number}");
    let any = "127.0.0.1:0";
    let settings = serde_json::json!({
        "name": name,
        "zone": format!("zone-{zone}"),
        "listen": { "callers": any, "operators": any, "peers": any, "metrics": any },
        "platform": { "log": log, "vms": list },
        "operator_token": Key::from_text(TOKEN).hash(),
        "peer_secret": "a secret for measurements",
    });
    let file = std::env::temp_dir().join(format!("capacity-{}-{number}.json", std::process::id()));
    std::fs::write(&file, settings.to_string())?;
    let mut child = Command::new(program()?)
        .args(["entry", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::inherit())
        .spawn()?;
    let output = child.stdout.take().ok_or_eyre("no output")?;
    let mut lines = BufReader::new(output).lines();
    let mut address = |name: &str| -> eyre::Result<SocketAddr> {
        let line = lines.next().ok_or_eyre("the entry ended")??;
        let value = line.strip_prefix(name).ok_or_eyre("unexpected line")?;
        Ok(value.trim().parse()?)
    };
    address("callers")?;
    let operators = address("operators")?;
    let peers = address("peers")?;
    std::fs::remove_file(&file)?;
    Ok(Entry {
        name,
        zone,
        child,
        operators,
        peers,
    })
}

/// Returns the program that was built beside this example.
fn program() -> eyre::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let profile = example.parent().and_then(|folder| folder.parent());
    let program = profile
        .ok_or_eyre("no target folder")?
        .join("lavenderhollow");
    ensure!(program.exists(), "{} is not built", program.display());
    Ok(program)
}
