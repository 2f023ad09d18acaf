//! A small deployment: the store, the machines with their workers, the configuration, and the project's
//! node processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Client;
use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::http::serve;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;
use crate::worker;
use crate::worker::Worker;

pub const HOST: &str = "jobs.example";

const ZONES: [&str; 4] = ["fukuoka-a", "fukuoka-b", "kitakyushu", "nagasaki"];

unsafe extern "C" {
    /// Sends a signal to a process.
    fn kill(id: i32, signal: i32) -> i32;
}

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `migration_s` of the settings.
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// How long a client waits for an answer: the deadline of the sheets' requests.
pub const PATIENCE: Duration = Duration::from_millis(3_000);

/// Where the ports of the node processes lie, and how many of them a case tries before those of a case
/// that started after it.
const PORTS: Range<u16> = 12_000..32_000;
const PORTS_PER_CASE: usize = 100;

/// How many calls of one machine wait at the policy service at most.
const MAX_WAITING_CALLS: usize = 32;

/// How long the policy service takes for a call, and for each worker that it names.
#[derive(Clone, Copy)]
pub struct AdviceTime {
    pub decision_ms: u64,
    pub period_ms: u64,
}

/// The calls of one machine to the policy service, which handles one at a time, in turn.
#[derive(Default)]
struct Calls {
    /// How many have come and how many are answered.
    count: Mutex<(usize, usize)>,
    answered: Condvar,
}

struct Machine {
    name: String,
    rack: String,
    zone: String,
    worker: Arc<Worker>,
    pool: String,
    token: u64,
    /// Until when it moves, and how many lives it has had.
    moving: Option<Instant>,
    lives: u32,
}

#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub service: String,
    pub priority: u32,
}

pub struct Tenant {
    pub name: String,
    pub key: String,
    pub weight: u64,
}

pub struct Node {
    child: Child,
    pub name: String,
    pub clients: SocketAddr,
    /// What this node's calls to the store reach.
    pub store: Arc<Server>,
    /// Whether the store turns this node's calls away.
    turned_away: Arc<AtomicBool>,
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    cloud: Arc<Server>,
    /// Whether calls need no key.
    pub anonymous: bool,
    /// The route that has a policy service.
    pub advised: Option<String>,
    /// How many workers the service has if its policy allows only two of them for each step.
    pub few: Arc<AtomicUsize>,
    pub advice_time: AdviceTime,
    /// The `cpu` of the `cap` of the tenants that have one.
    pub caps: BTreeMap<String, u64>,
    /// The paths of the routes whose paths differ from their names.
    pub paths: BTreeMap<String, String>,
    version: u64,
    folder: String,
    root: String,
    /// Whether the processes are being ended.
    ended: Arc<Mutex<bool>>,
}

impl Drop for Site {
    fn drop(&mut self) {
        *self.ended.lock().unwrap() = true;
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        self.record.flush();
    }
}

impl Site {
    /// Starts the platform with `count` workers for each service.
    pub fn new(record: Arc<Record>, services: &[&str], count: usize) -> Self {
        let store = Arc::<Store>::default();
        let machines = Arc::<Mutex<Vec<Machine>>>::default();
        for (s, service) in services.iter().enumerate() {
            for i in 0..count {
                let name = format!("m-{s}-{i}");
                let (zone, rack) = (ZONES[i % ZONES.len()], format!("r{s}-{}", i / 4));
                let id = format!("i-{s}-{i}-1");
                let worker = Worker::start(&id, &name, service, zone, &rack, &record);
                machines.lock().unwrap().push(Machine {
                    name,
                    rack,
                    zone: zone.to_owned(),
                    worker,
                    pool: (*service).to_owned(),
                    token: 0,
                    moving: None,
                    lives: 1,
                });
            }
        }
        let (beating, to) = (Arc::clone(&machines), Arc::clone(&store));
        std::thread::spawn(move || {
            for sequence in 1.. {
                for machine in beating.lock().unwrap().iter() {
                    if machine.moving.is_none() {
                        let entry = machine.worker.entry(sequence);
                        to.put("keyed.servers", &machine.worker.id, entry.as_bytes());
                    }
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        let (listed, to, of) = (
            Arc::clone(&machines),
            Arc::clone(&store),
            Arc::clone(&record),
        );
        let cloud = serve(Arc::new(move |request: &Request, _: &_| {
            Some(handle_cloud(request, &listed, &to, &of))
        }));
        let folder = std::env::var("CASE_TEMP").expect("CASE_TEMP is set");
        let root = std::env::var("CASE_ROOT").expect("CASE_ROOT is set");
        Self {
            record,
            store,
            nodes: Vec::new(),
            cloud,
            anonymous: false,
            advised: None,
            few: Arc::default(),
            advice_time: AdviceTime {
                decision_ms: 20,
                period_ms: 2,
            },
            caps: BTreeMap::new(),
            paths: BTreeMap::new(),
            version: 0,
            folder,
            root,
            ended: Arc::default(),
        }
    }

    /// Writes the next version of the configuration, and returns it.
    pub fn configure(&mut self, services: &[&str], routes: &[Route], tenants: &[Tenant]) -> u64 {
        self.version += 3;
        let routes = routes.iter().map(|r| {
            format!(
                "{{\"name\":{0},\"host\":\"{HOST}\",\"path_prefix\":\"/{1}/\",\"service\":{2},\
                 \"allow_anonymous\":{4},\"priority\":{3},\"max_attempts\":3,\"slack_factor\":2.0,\
                 \"target_latency_ms\":2500{5}}}",
                quote(&r.name),
                self.paths.get(&r.name).unwrap_or(&r.name),
                quote(&r.service),
                r.priority,
                self.anonymous,
                match self.advised.as_ref() == Some(&r.name) {
                    true => self.advice_time.setting(),
                    false => String::new(),
                }
            )
        });
        let routes: Vec<String> = routes.collect();
        let services = services
            .iter()
            .map(|s| format!("{{\"name\":{}}}", quote(s)));
        let services: Vec<String> = services.collect();
        let tenants = tenants.iter().map(|t| {
            format!(
                "{{\"name\":{},\"api_keys\":[{}],\"weight\":{},\"cap\":{{\"cpu\":{},\"mem_mb\":0,\"gpu\":0}}}}",
                quote(&t.name),
                quote(&t.key),
                t.weight,
                self.caps.get(&t.name).copied().unwrap_or(0)
            )
        });
        let tenants: Vec<String> = tenants.collect();
        let config = format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_body_bytes\":262144}},\
             \"tenants\":[{}]}}",
            self.version,
            routes.join(","),
            services.join(","),
            tenants.join(",")
        );
        self.store.put("keyed.op", "config", config.as_bytes());
        let version = self.version;
        self.record
            .line(format!("operator: version {version} is acknowledged"));
        version
    }

    /// Starts a node process, with the command of the deploy file.
    pub fn start_node(&mut self, memory_mb: u64) {
        let number = self.nodes.len() + 1;
        let name = format!("edge-{number}");
        let ports: Vec<u16> = free_ports(4);
        let store = Arc::clone(&self.store);
        let turned_away = Arc::<AtomicBool>::default();
        let turns_away = Arc::clone(&turned_away);
        let server = serve(Arc::new(move |request: &Request, c: &_| {
            let is_refused = || turns_away.load(Ordering::SeqCst);
            let answer = match is_refused() {
                true => None,
                false => Some(store.handle(request, c)),
            };
            // A read that waits is refused as well.
            match answer.filter(|_| request.path != "/api/log-read" || !is_refused()) {
                Some(answer) => answer,
                None => Some(Response::new(503, "")),
            }
        }));
        let (of, few, time) = (
            Arc::clone(&self.record),
            Arc::clone(&self.few),
            self.advice_time,
        );
        let calls = Calls::default();
        let policy = serve(Arc::new(move |request: &Request, _: &_| {
            Some(calls.handle(request, time, few.load(Ordering::SeqCst), &of))
        }));
        let zone = ZONES[(number - 1) % ZONES.len()];
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"node\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\n\
             ip = \"127.0.0.1\"\nzone = \"{zone}\"\nregion = \"kyushu\"\n\
             internal_ports = [{}, {}]\nseed_nodes = []\nbootstrap = true\ncounts_as_loss = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\ncommand_mode = \"request\"\n\
             recommendation = \"{}\"\n\
             [listen_addrs]\nclient_addr = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n\
             [limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = {memory_mb}\nmax_fds = 4100\n\
             [bounds]\ngrace_s = 6\nrevoke_ms = 5000\nmax_hold_ms = 10000\nstatus_s = 120\nlease_ms = 3000\n\
             maintenance_s = 2\nmigration_s = 1.5\nconfig_apply_ms = 2000\nvisible_ms = 3000\nfinish_s = 14\n\
             [platform]\naddress = \"{}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 32\n\
             append_ms = 2.0\nmax_record_bytes = 262144\nmax_request_bytes = 2097152\nkeep_s = 300\n\
             partition_mb = 200\nmin_ttl_ms = 1000\n\
             [cloud]\naddress = \"{}\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n",
            ports[0],
            ports[1],
            policy.address,
            ports[2],
            ports[3],
            server.address,
            self.cloud.address
        );
        let path = format!("{}/{name}.toml", self.folder);
        std::fs::write(&path, settings).expect("the settings file");
        let log = File::create(format!("{}/{name}.log", self.folder)).expect("a log file");
        let child = Command::new(format!("{}/target/release/lavenderhollow", self.root))
            .arg("node")
            .current_dir(&self.root)
            .env("LAVENDERHOLLOW_SETTINGS", &path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()
            .expect("the node process");
        self.nodes.push(Node {
            child,
            name,
            clients: SocketAddr::from(([127, 0, 0, 1], ports[2])),
            store: server,
            turned_away,
        });
    }

    pub fn kill_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let _ = node.child.kill();
        let _ = node.child.wait();
        self.record.line(format!("{} is killed", node.name));
    }

    /// Lets the store turn a node's calls away.
    pub fn turn_away(&self, index: usize) {
        let node = &self.nodes[index];
        self.record
            .line(format!("the store turns {} away", node.name));
        node.turned_away.store(true, Ordering::SeqCst);
    }

    /// Lets the store serve a node again.
    pub fn serve_again(&self, index: usize) {
        let node = &self.nodes[index];
        node.turned_away.store(false, Ordering::SeqCst);
        self.record
            .line(format!("the store serves {} again", node.name));
    }

    /// Makes a node's process stand still.
    pub fn freeze(&self, index: usize) {
        self.signal(index, SIGSTOP, "stands still");
    }

    /// Lets a node's process go on that stands still.
    pub fn thaw(&self, index: usize) {
        self.signal(index, SIGCONT, "goes on");
    }

    fn signal(&self, index: usize, signal: i32, text: &str) {
        let node = &self.nodes[index];
        self.record.line(format!("{} {text}", node.name));
        unsafe { kill(node.child.id() as i32, signal) };
    }

    /// Gives each node the quarter of a core of the settings, as a platform does that measures a
    /// process's time in periods of 100 ms: the process works for 25 ms of each, and is stopped for the
    /// rest.
    pub fn limit_processors(&self) {
        let ids: Vec<i32> = self.nodes.iter().map(|n| n.child.id() as i32).collect();
        let ended = Arc::clone(&self.ended);
        std::thread::spawn(move || {
            let begin = Instant::now();
            for period in 0.. {
                for (signal, until_ms) in [(SIGCONT, 25), (SIGSTOP, 100)] {
                    // No process is signalled after it has been waited for.
                    let ended = ended.lock().unwrap();
                    if *ended {
                        return;
                    }
                    for id in &ids {
                        unsafe { kill(*id, signal) };
                    }
                    drop(ended);
                    let until = Duration::from_millis(period * 100 + until_ms);
                    std::thread::sleep(until.saturating_sub(begin.elapsed()));
                }
            }
        });
    }

    /// Returns the resident memory of a node's process.
    pub fn memory_kb(&self, index: usize) -> u64 {
        let path = format!("/proc/{}/status", self.nodes[index].child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let figure = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
        figure.unwrap_or_default()
    }

    /// Waits until each node answers a GET of a queue with 200.
    pub fn wait_ready(&self, route: &str, key: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        self.nodes.iter().enumerate().all(|(i, _)| {
            loop {
                let answer = self.call(i, "GET", &format!("/{route}/"), key, "");
                if answer.is_some_and(|(status, _)| status == 200) {
                    return true;
                }
                if Instant::now() > until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        })
    }

    /// Sends a client's request on a connection of its own, without a line in the record.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let mut client = Client::new(self.nodes[node].clients, PATIENCE);
        let answer = client.call(method, path, &headers(key), body.as_bytes())?;
        Some((answer.0, String::from_utf8_lossy(&answer.1).into_owned()))
    }

    /// Sends a client's request, and writes it and its answer into the record.
    pub fn send(
        &self,
        node: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let name = &self.nodes[node].name;
        self.record
            .line(format!("client to {name}: {method} {path}"));
        let answer = self.call(node, method, path, key, body);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record
            .line(format!("{name} to client: {method} {path}: {text}"));
        answer
    }
}

/// Returns the headers of a client's request.
pub fn headers(key: &str) -> String {
    format!(
        "host: {HOST}\r\nauthorization: Bearer {key}\r\ncontent-type: application/json\r\n\
         lavenderhollow-deadline-ms: {}\r\n",
        PATIENCE.as_millis()
    )
}

/// Returns ports that nothing listens on, below those that the system gives to outgoing connections: one
/// of these could take the port before the process listens on it.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let first = std::process::id() as usize * PORTS_PER_CASE;
    let free = std::iter::repeat_with(|| {
        let offset = (first + NEXT.fetch_add(1, Ordering::SeqCst)) % PORTS.len();
        PORTS.start + offset as u16
    })
    .filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok());
    free.take(count).collect()
}

impl AdviceTime {
    /// Returns what the configuration says of a queue with a policy service.
    fn setting(self) -> String {
        format!(
            ",\"recommendation\":{{\"decision_ms\":{},\"period_ms\":{},\"valid_ms\":3000}}",
            self.decision_ms, self.period_ms
        )
    }
}

impl Calls {
    /// Handles a call once those before it are answered. A call whose client has gone takes its time
    /// as well.
    fn handle(&self, request: &Request, time: AdviceTime, few: usize, record: &Record) -> Response {
        let mut count = self.count.lock().unwrap();
        if count.0 - count.1 > MAX_WAITING_CALLS {
            return Response::new(429, "");
        }
        let turn = count.0;
        count.0 += 1;
        while count.1 < turn {
            count = self.answered.wait(count).unwrap();
        }
        drop(count);
        let response = handle_policy(request, time, few, record);
        self.count.lock().unwrap().1 += 1;
        self.answered.notify_all();
        response
    }
}

/// The policy service. It allows all workers to run each step, or two of `few`.
fn handle_policy(request: &Request, time: AdviceTime, few: usize, record: &Record) -> Response {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let step = body.get("step").text().to_owned();
    if request.path != "/api/advise" || step.is_empty() {
        return Response::new(400, "");
    }
    let workers: Vec<&str> = body.get("workers").list().iter().map(Json::text).collect();
    let taken_ms = time.decision_ms + time.period_ms * workers.len() as u64;
    std::thread::sleep(Duration::from_millis(taken_ms));
    let hash = step.bytes().fold(5_381usize, |hash, byte| {
        hash.wrapping_mul(33) ^ usize::from(byte)
    });
    let is_allowed = |id: &str| {
        few == 0
            || [hash >> 7, hash >> 17]
                .map(|h| format!("i-0-{}-1", h % few))
                .contains(&id.to_owned())
    };
    let rows = workers.iter().filter(|id| is_allowed(id)).map(|id| {
        let ticket = worker::ticket(&step, id);
        format!("[{},{}]", quote(id), quote(&ticket))
    });
    let rows: Vec<String> = rows.collect();
    record.line(format!(
        "policy service: {step} may run on {} of {} workers",
        rows.len(),
        workers.len()
    ));
    let rows = rows.join(",");
    Response::new(200, format!("{{\"good\":[{rows}],\"valid_ms\":3000}}"))
}

fn handle_cloud(
    request: &Request,
    machines: &Arc<Mutex<Vec<Machine>>>,
    store: &Arc<Store>,
    record: &Arc<Record>,
) -> Response {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let mut list = machines.lock().unwrap();
    if request.path == "/api/machines" {
        let rows = list.iter().map(|m| {
            let state = if m.moving.is_some() { "moving" } else { "up" };
            format!(
                "{{\"machine\":{},\"pool\":{},\"state\":\"{state}\",\"zone\":{},\"labels\":[\"a\",{}],\
                 \"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"id\":{}}}",
                quote(&m.name),
                quote(&m.pool),
                quote(&m.zone),
                quote(&m.rack),
                worker::CPU,
                worker::MEMORY,
                quote(if m.moving.is_some() { "" } else { &m.worker.id })
            )
        });
        let rows: Vec<String> = rows.collect();
        return Response::new(
            200,
            format!(
                "{{\"machines\":[{}],\"next_page_token\":\"\"}}",
                rows.join(",")
            ),
        );
    }
    let token = request.headers.get("lavenderhollow-fencing-token");
    let token: u64 = token.and_then(|t| t.parse().ok()).unwrap_or(0);
    let name = body.get("machine").text();
    let Some(machine) = list.iter_mut().find(|m| m.name == name) else {
        return Response::new(400, "");
    };
    if token < machine.token {
        return Response::new(409, "{\"reason\":\"fence\"}");
    }
    machine.token = token;
    let pool = body.get("pool").text().to_owned();
    if request.path != "/api/machine-move" || pool.is_empty() {
        return Response::new(400, "");
    }
    if machine.pool == pool {
        return Response::new(200, "{}");
    }
    if machine.moving.is_some() {
        return Response::new(409, "{\"reason\":\"busy\"}");
    }
    record.line(format!("{name} moves to {pool}"));
    machine.worker.end();
    store.put("keyed.servers", &machine.worker.id, b"");
    machine.pool = pool.clone();
    machine.moving = Some(Instant::now() + MOVE_TIME);
    let (machines, store, record) = (Arc::clone(machines), Arc::clone(store), Arc::clone(record));
    let name = name.to_owned();
    std::thread::spawn(move || {
        std::thread::sleep(MOVE_TIME);
        let mut list = machines.lock().unwrap();
        if let Some(machine) = list.iter_mut().find(|m| m.name == name) {
            machine.lives += 1;
            let id = format!("i-{}-{}", &name[2..], machine.lives);
            machine.worker =
                Worker::start(&id, &name, &pool, &machine.zone, &machine.rack, &record);
            machine.moving = None;
            store.put("keyed.servers", &id, machine.worker.entry(1).as_bytes());
        }
    });
    Response::new(200, "{}")
}
