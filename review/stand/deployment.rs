//! A small deployment on loopback addresses: the store, workers on machines, the machine interface
//! and three processes of the system, each with its own path to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, serve, Answer, Proxy, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Gangs, Size, Worker};

pub const HOST: &str = "jobs.example";
pub const KEY: &str = "sjnbanfqasnmgkcuyj8p";

/// `maintenance_s` of the settings.
const UPKEEP: Duration = Duration::from_secs(2);

/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub struct Machine {
    pub name: String,
    pub pool: String,
    pub worker: Option<Arc<Worker>>,
    pub token: u64,
    /// The waves whose upkeep the machine has begun.
    pub waves: BTreeSet<u64>,
    pub down_until: Option<Instant>,
    /// Until when the machine is down after a crash.
    pub crashed_until: Option<Instant>,
    lives: u64,
}

/// An upkeep that has begun, and how many other machines were down for theirs at that time.
#[derive(Clone)]
pub struct Upkeep {
    pub at: Duration,
    pub machine: String,
    pub holder: String,
    pub others_down: usize,
}

/// What happens to the calls of the machine interface.
#[derive(Default)]
pub struct CloudFaults {
    /// The next upkeep gets no answer and is carried out after this time.
    pub late: Option<Duration>,
    /// The call that was held up: machine and holder.
    pub held: Option<(String, String)>,
}

pub struct Platform {
    pub store: Arc<Store>,
    pub machines: Mutex<Vec<Machine>>,
    pub upkeeps: Mutex<Vec<Upkeep>>,
    pub faults: Mutex<CloudFaults>,
    pub sizes: Arc<Mutex<BTreeMap<String, Size>>>,
    gangs: Gangs,
    record: Record,
    version: Mutex<u64>,
}

pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub pool: &'static str,
    pub open: bool,
}

impl Platform {
    /// Starts a pool's workers: (pool, workers, cores of each).
    pub fn start(record: &Record, pools: &[(&str, usize, u64)]) -> Arc<Platform> {
        let (sizes, gangs) = (Arc::default(), Gangs::default());
        let mut machines = Vec::new();
        for (pool, count, cores) in pools {
            for _ in 0..*count {
                let index = machines.len();
                let id = format!("i-7f3a91{index:02x}");
                let worker = Worker::start(&id, pool, *cores, record, &sizes, &gangs);
                machines.push(Machine {
                    name: format!("m-0a3{index:02x}"),
                    pool: (*pool).to_owned(),
                    worker: Some(worker),
                    token: 0,
                    waves: BTreeSet::new(),
                    down_until: None,
                    crashed_until: None,
                    lives: 1,
                });
            }
        }
        let platform = Arc::new(Platform {
            store: Arc::default(),
            machines: Mutex::new(machines),
            upkeeps: Mutex::default(),
            faults: Mutex::default(),
            sizes,
            gangs,
            record: record.clone(),
            version: Mutex::new(0),
        });
        let beating = Arc::clone(&platform);
        thread::spawn(move || {
            for sequence in 1.. {
                for worker in beating.workers() {
                    beating.store.put("keyed.servers", &worker.id, &worker.entry(sequence));
                }
                thread::sleep(HEARTBEAT);
            }
        });
        let ending = Arc::clone(&platform);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            ending.end_upkeeps();
        });
        platform
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.machines.lock().unwrap();
        machines.iter().filter_map(|m| m.worker.clone()).collect()
    }

    /// Writes a configuration with these queues, and one tenant with a cap in thousandths of a core.
    pub fn configure(&self, queues: &[Queue], cap: u64) {
        let mut version = self.version.lock().unwrap();
        *version += 3;
        let routes = queues.iter().map(|q| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{}\",\"type\":\"non_idempotent\",\
                 \"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"{}\",\
                 \"max_attempts\":3,\"slack_factor\":1.6,\"allow_anonymous\":{}}}",
                q.name, q.prefix, q.pool, q.open
            )
        });
        let routes: Vec<String> = routes.collect();
        let pools: BTreeSet<&str> = queues.iter().map(|q| q.pool).collect();
        let services = pools.iter().map(|p| {
            format!(
                "{{\"name\":\"{p}\",\"health_path\":\"/health\",\"max_connections\":64,\
                 \"protocol\":\"h1\",\"tls\":false,\"admission_check\":true,\"standby\":false}}"
            )
        });
        let services: Vec<String> = services.collect();
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
             \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"cugo130\",\
             \"api_keys\":[\"{KEY}\"],\"priority\":1,\"weight\":50,\
             \"cap\":{{\"cpu\":{cap},\"mem_mb\":0,\"gpu\":0}}}}]}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("keyed.op", "config", &config);
        self.record.line(&format!("operator: config {config}"));
    }

    pub fn wave(&self, number: u64, machines: &[String], cap: u64, duration_s: u64) {
        let names: Vec<String> = machines.iter().map(|m| format!("\"{m}\"")).collect();
        let wave = format!(
            "{{\"wave\":{number},\"machines\":[{}],\"duration_s\":{duration_s},\"cap\":{cap}}}",
            names.join(",")
        );
        self.store.put("keyed.op", &format!("wave/{number}"), &wave);
        self.record.line(&format!("operator: wave/{number} {wave}"));
    }

    /// Lets a new worker join the pool for each machine whose upkeep is over.
    fn end_upkeeps(&self) {
        let mut machines = self.machines.lock().unwrap();
        for (index, machine) in machines.iter_mut().enumerate() {
            let is_over = |at: Option<Instant>| at.is_some_and(|at| at <= Instant::now());
            if is_over(machine.down_until) || is_over(machine.crashed_until) {
                (machine.down_until, machine.crashed_until) = (None, None);
                machine.lives += 1;
                let id = format!("i-7f3a{:02x}{index:02x}", machine.lives);
                let worker = Worker::start(&id, &machine.pool, 32, &self.record, &self.sizes, &self.gangs);
                self.store.put("keyed.servers", &id, &worker.entry(1));
                machine.worker = Some(worker);
                self.record.line(&format!("machine {} is back as worker {id}", machine.name));
            }
        }
    }

    /// Crashes a machine's worker; another one comes after `time`.
    pub fn crash(&self, name: &str, time: Duration) {
        let mut machines = self.machines.lock().unwrap();
        if let Some(machine) = machines.iter_mut().find(|m| m.name == name) {
            machine.crashed_until = Some(Instant::now() + time);
            if let Some(worker) = machine.worker.take() {
                worker.leave();
                self.store.put("keyed.servers", &worker.id, "");
            }
            self.record.line(&format!("machine {name} crashes for {} ms", time.as_millis()));
        }
    }

    /// Serves the machine interface.
    pub fn serve_cloud(self: &Arc<Self>) -> SocketAddr {
        let platform = Arc::clone(self);
        serve(Arc::new(move |request| platform.cloud(&request)))
    }

    fn cloud(self: &Arc<Self>, request: &Request) -> Answer {
        if request.method == "GET" {
            let machines = self.machines.lock().unwrap();
            let rows = machines.iter().map(|m| {
                let id = m.worker.as_ref().map_or("null".to_owned(), |w| format!("\"{}\"", w.id));
                let state = match (m.down_until, m.crashed_until) {
                    (Some(_), _) => "upkeep",
                    (None, Some(_)) => "down",
                    (None, None) => "up",
                };
                format!(
                    "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{state}\",\"zone\":\"z\",\
                     \"labels\":[\"a\",\"r1-1\"],\"capacity\":{{\"cpu\":32000,\"mem_mb\":65536,\
                     \"gpu\":0}},\"id\":{id}}}",
                    m.name, m.pool
                )
            });
            let rows: Vec<String> = rows.collect();
            let body = format!("{{\"machines\":[{}],\"next_page_token\":null}}", rows.join(","));
            return Some((200, body.into_bytes()));
        }
        let body = Json::parse(std::str::from_utf8(&request.body).unwrap_or(""));
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let token = header("lavenderhollow-fencing-token").parse().unwrap_or(0);
        let holder = header("lavenderhollow-lease-holder");
        let machine = body.get("machine").str().to_owned();
        if request.path != "/api/machine-upkeep" {
            // The scripts call for no moves.
            return Some((409, b"{\"reason\":\"busy\"}".to_vec()));
        }
        let wave = body.get("wave").num().unwrap_or(0);
        self.record.line(&format!("cloud: upkeep {machine} wave {wave} from {holder} token {token}"));
        let late = {
            let mut faults = self.faults.lock().unwrap();
            let late = faults.late.take();
            if late.is_some() {
                faults.held = Some((machine.clone(), holder.clone()));
            }
            late
        };
        if let Some(delay) = late {
            self.record.line(&format!("cloud: no answer; carried out in {} ms", delay.as_millis()));
            thread::sleep(delay);
            let answer = self.upkeep(&machine, wave, &holder, token);
            self.record.line(&format!("cloud: late upkeep {machine}: {answer:?}"));
            return None;
        }
        let (status, reason) = self.upkeep(&machine, wave, &holder, token);
        self.record.line(&format!("cloud: upkeep {machine} from {holder}: {status} {reason}"));
        Some((status, format!("{{\"reason\":\"{reason}\"}}").into_bytes()))
    }

    fn upkeep(&self, name: &str, wave: u64, holder: &str, token: u64) -> (u16, &'static str) {
        let mut machines = self.machines.lock().unwrap();
        let others_down = machines.iter().filter(|m| m.name != name && m.down_until.is_some());
        let others_down = others_down.count();
        let Some(machine) = machines.iter_mut().find(|m| m.name == name) else {
            return (400, "");
        };
        if token < machine.token {
            return (409, "fence");
        }
        machine.token = token;
        if machine.waves.contains(&wave) {
            return (200, "");
        }
        if machine.down_until.is_some() || machine.crashed_until.is_some() {
            return (409, "busy");
        }
        machine.waves.insert(wave);
        machine.down_until = Some(Instant::now() + UPKEEP);
        if let Some(worker) = machine.worker.take() {
            worker.leave();
            self.store.put("keyed.servers", &worker.id, "");
        }
        self.record.line(&format!("upkeep of {name} begins; {others_down} others are down for theirs"));
        self.upkeeps.lock().unwrap().push(Upkeep {
            at: self.record.now(),
            machine: name.to_owned(),
            holder: holder.to_owned(),
            others_down,
        });
        (200, "")
    }
}

/// A process of the system.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub store_path: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
}

/// Returns a loopback address of this script alone, so that its free ports stay free.
fn own_ip() -> [u8; 4] {
    let id = std::process::id();
    [127, 1 + (id >> 8) as u8 % 250, id as u8, 1]
}

fn free_ports<const N: usize>() -> [u16; N] {
    let any = SocketAddr::from((own_ip(), 0));
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind(any).expect("a free port"));
    let mut ports = listeners.map(|l| l.local_addr().expect("an address").port());
    ports.sort_unstable();
    ports
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = fs::OpenOptions::new().append(true).create(true).open(log).expect("a log");
    let child = Command::new("target/release/lavenderhollow")
        .arg("node")
        .env("LAVENDERHOLLOW_SETTINGS", settings)
        .stdin(Stdio::null())
        .stderr(Stdio::from(log.try_clone().expect("a log")))
        .stdout(Stdio::from(log))
        .spawn()
        .expect("the program of the deploy file is built");
    PROCESSES.lock().unwrap().push(child.id());
    child
}

/// The ids of the processes that were started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(113);

/// Ends a case that takes too long, and the processes that it started.
pub fn watch(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST);
        record.line("the case takes too long: exit 2");
        for id in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

impl Node {
    pub fn start(name: &str, dir: &PathBuf, store: SocketAddr, cloud: Option<SocketAddr>) -> Node {
        let [first, last, callers, readiness, control] = free_ports::<5>();
        let store_path = Proxy::start(store);
        let at = |port: u16| SocketAddr::from((own_ip(), port));
        let cloud = cloud.map_or(String::new(), |c| {
            format!("[cloud]\naddress = \"{c}\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n")
        });
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"node\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\n\
             ip = \"{}\"\nzone = \"z\"\nregion = \"r\"\ninternal_ports = [{first},{last}]\n\
             seed_nodes = []\nbootstrap = true\ncounts_as_loss = false\ndiscovery = \"platform\"\n\
             entry = \"vip\"\nheartbeat_ms = 1500\ncommand_mode = \"request\"\n\
             [listen_addrs]\nclient_addr = \"{}\"\nreadiness = \"{}\"\ncontrol = \"{}\"\n\
             [limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             [bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\n\
             config_apply_ms = 2000\nstrict_revocation = true\nrevoke_ms = 5000\n\
             max_hold_ms = 10000\nstop_timeout_ms = 400\ngang_timeout_ms = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nfinish_s = 14\nstatus_s = 120\nmigration_s = 1.5\nmaintenance_s = 2\n\
             enforce_fencing = true\nlease_ms = 3000\nnotice_ms = 4500\n\
             [platform]\naddress = \"{}\"\nform = \"log\"\nparts = 32\nmax_record_bytes = 262144\n\
             max_request_bytes = 2097152\nkeep_s = 300\npartition_mb = 200\nmin_ttl_ms = 1000\n{cloud}",
            at(first).ip(),
            at(callers),
            at(readiness),
            at(control),
            store_path.address
        );
        let file = dir.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("a settings file");
        let log = dir.join(format!("{name}.log"));
        let child = Mutex::new(spawn(&file, &log));
        Node {
            name: name.to_owned(),
            callers: at(callers),
            readiness: at(readiness),
            store_path,
            settings: file,
            log,
            child,
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.lock().unwrap().id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    /// Waits until the process has ended, and starts it again.
    pub fn restart(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.wait();
        *child = spawn(&self.settings, &self.log);
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.child.lock().unwrap().try_wait().is_ok_and(|s| s.is_some())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Deployment {
    pub platform: Arc<Platform>,
    pub nodes: Vec<Node>,
    pub record: Record,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs: {}", self.dir.display()),
            Err(_) => drop(fs::remove_dir_all(&self.dir)),
        }
    }
}

impl Deployment {
    pub fn start(record: &Record, pools: &[(&str, usize, u64)], has_cloud: bool) -> Deployment {
        let platform = Platform::start(record, pools);
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Arc::clone(&platform.store);
        let store = serve(Arc::new(move |request| store.handle(request)));
        let cloud = has_cloud.then(|| platform.serve_cloud());
        let names = ["edge-a-1", "edge-b-1", "edge-c-1"];
        let nodes = names.map(|name| Node::start(name, &dir, store, cloud)).into();
        Deployment { platform, nodes, record: record.clone(), dir }
    }

    /// Waits until every process says that it is ready and each of these partitions is claimed.
    pub fn wait_ready(&self, claims: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let is_ready = |n: &Node| {
                call(n.readiness, "GET", "/api/ready", &[], "", Duration::from_millis(500)).0 == 200
            };
            if self.nodes.iter().all(is_ready) && self.platform.store.claims().len() >= claims {
                self.record.line("all processes are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the process that claimed a partition of these topics last.
    pub fn owner(&self, topic: &str) -> Option<usize> {
        let claims = self.platform.store.claims();
        let claim = claims.iter().find(|((t, _), _)| t.starts_with(topic))?.1;
        self.nodes.iter().position(|n| claim.starts_with(&n.name))
    }

    /// Sends a client's call and records it with its answer.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let headers = [
            ("host", HOST),
            ("authorization", &*format!("Bearer {KEY}")),
            ("content-type", "application/json"),
            ("lavenderhollow-deadline-ms", "3000"),
        ];
        let node = &self.nodes[node];
        let sent = self.record.now();
        let (status, answer) = call(node.callers, method, path, &headers, body, Duration::from_secs(3));
        self.record.line(&format!(
            "client: {method} {path} at {} (sent {:.3}) {body} -> {status} {answer}",
            node.name,
            sent.as_secs_f64()
        ));
        (status, answer)
    }

    /// Hands a job in until it is accepted: at the first process, then at the others. Returns the
    /// time of the acceptance.
    pub fn submit(&self, first: usize, prefix: &str, id: &str, job: &Job) -> Option<Duration> {
        for (step, cpu) in job.cpus.iter().enumerate() {
            let mut sizes = self.platform.sizes.lock().unwrap();
            sizes.insert(format!("{id}.{step}"), Size { cpu: *cpu, gang: job.gang });
        }
        for attempt in 0..5 {
            let node = (first + attempt) % self.nodes.len();
            match self.call(node, "POST", &format!("{prefix}{id}"), &job.body).0 {
                200..=299 => return Some(self.record.now()),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        None
    }

    /// Hands a job in once. Returns whether it was accepted.
    pub fn submit_once(&self, node: usize, prefix: &str, id: &str, job: &Job) -> bool {
        for (step, cpu) in job.cpus.iter().enumerate() {
            let mut sizes = self.platform.sizes.lock().unwrap();
            sizes.insert(format!("{id}.{step}"), Size { cpu: *cpu, gang: job.gang });
        }
        let (status, _) = self.call(node, "POST", &format!("{prefix}{id}"), &job.body);
        (200..300).contains(&status)
    }

    /// Returns the state of a job as a process tells it; empty without an answer.
    pub fn state(&self, node: usize, prefix: &str, id: &str) -> (u16, String) {
        let (status, body) = self.call(node, "GET", &format!("{prefix}{id}"), "");
        (status, Json::parse(&body).get("state").str().to_owned())
    }

    /// Returns how many runs of a job are on the workers, and which share of the capacity is in use.
    pub fn running(&self, id: &str) -> (usize, f64) {
        let workers = self.platform.workers();
        let running = workers.iter().flat_map(|w| w.running());
        let count = running.filter(|(task, _)| task.starts_with(id)).count();
        let used: u64 = workers.iter().map(|w| w.used()).sum();
        let all: u64 = workers.iter().map(|w| w.cores * 1_000).sum();
        (count, used as f64 / all as f64)
    }
}

/// A job's body, and what a task of each step asks for, in thousandths of a core.
pub struct Job {
    pub body: String,
    pub cpus: Vec<u64>,
    /// How many tasks work only together; zero for tasks that work alone.
    pub gang: u64,
}

/// Returns a job whose tasks each run for `ms`: steps of (tasks, cpu, earlier step).
pub fn job(ms: u64, steps: &[(u64, u64, Option<usize>)], rest: &str) -> Job {
    let rows = steps.iter().map(|(count, cpu, after)| {
        let after = after.map_or(String::new(), |a| format!(",\"after\":[{a}]"));
        format!("{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":16,\"estimated_ms\":{ms}{after}}}")
    });
    let rows: Vec<String> = rows.collect();
    Job {
        body: format!("{{\"spec\":\"ms={ms}\",\"steps\":[{}]{rest}}}", rows.join(",")),
        cpus: steps.iter().map(|s| s.1).collect(),
        gang: 0,
    }
}

/// Returns a job with one step of tasks that work only together.
pub fn gang(ms: u64, count: u64, cpu: u64) -> Job {
    Job {
        body: format!(
            "{{\"spec\":\"ms={ms}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":16,\
             \"estimated_ms\":{ms},\"gang\":true}}]}}"
        ),
        cpus: vec![cpu],
        gang: count,
    }
}

/// Returns a job with one step of tasks that last.
pub fn lasting(count: u64, cpu: u64, rest: &str) -> Job {
    Job {
        body: format!(
            "{{\"spec\":\"lasting\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":16,\
             \"estimated_ms\":500,\"long_running\":true{rest}}}]}}"
        ),
        cpus: vec![cpu],
        gang: 0,
    }
}

/// Whether the script causes the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// Set when a check has found that a rule is broken.
pub static BROKEN: AtomicBool = AtomicBool::new(false);

pub fn broken(record: &Record, text: &str) {
    BROKEN.store(true, Ordering::SeqCst);
    record.line(&format!("BROKEN: {text}"));
    println!("BROKEN: {text}");
}
