//! The stand-ins that the scripts of this review share: the platform's store, its machines and their
//! workers, the operator and callers, all on loopback addresses. The node processes are those of the
//! deploy file. Uses the standard library only.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;
mod json;

use json::Json;

/// The limits of the store, as in the settings of a small deployment.
const MAX_RECORD_BYTES: usize = 262_144;
const MAX_REQUEST_BYTES: usize = 2_097_152;
const PARTS: u64 = 32;
const MAX_HOLD_MS: u64 = 10_000;
const STOP_MS: u64 = 50;
const HOST: &str = "desk.example";
const KEY: &str = "key-of-the-tenant";

/// What the callers, the workers and the operator saw, in the order of time.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: String) {
        let line = format!("{:9.3} {line}", self.seconds());
        self.lines.lock().unwrap().push(line);
    }
}

// ---------------------------------------------------------------------------------------- HTTP

pub struct HttpRequest {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, Vec<u8>>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    fn number(&self, name: &str) -> Option<u64> {
        String::from_utf8(self.query.get(name)?.clone()).ok()?.parse().ok()
    }

    fn text(&self, name: &str) -> String {
        String::from_utf8(self.query.get(name).cloned().unwrap_or_default()).unwrap_or_default()
    }

    fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

pub type HttpResponse = (u16, Vec<u8>);

fn percent_decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    out
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let query = pairs.map(|(k, v)| (k.to_owned(), percent_decode(v))).collect();
    Some(HttpRequest { method, path: path.to_owned(), query, headers, body })
}

/// Serves a handler on a free port. A handler that returns `None` closes the connection.
fn serve(handler: Arc<dyn Fn(HttpRequest) -> Option<HttpResponse> + Send + Sync>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let Some((status, body)) = handler(request) else { return };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                        body.len()
                    );
                    let whole = [head.into_bytes(), body].concat();
                    if writer.write_all(&whole).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends one request on a new connection; `None` if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let authorization = key.map(|k| format!("authorization: Bearer {k}\r\n")).unwrap_or_default();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{authorization}lavenderhollow-deadline-ms: {}\r\n\
         connection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n")?;
    Some((head.split_whitespace().nth(1)?.parse().ok()?, body.to_owned()))
}

// --------------------------------------------------------------------------------------- store

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    latest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

struct Member {
    expires: Instant,
    seen: u64,
}

#[derive(Default)]
struct Group {
    generation: u64,
    topics: Vec<String>,
    members: BTreeMap<String, Member>,
    assigned: BTreeMap<(String, u64), String>,
}

impl Group {
    fn expire(&mut self) -> bool {
        let before = self.members.len();
        self.members.retain(|_, m| m.expires > Instant::now());
        before != self.members.len()
    }

    /// Deals the partitions evenly. One that a live member holds moves once that member has joined
    /// with the current generation.
    fn assign(&mut self) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        if names.is_empty() {
            self.assigned.clear();
            return;
        }
        let mut next = BTreeMap::new();
        let all = self.topics.iter().flat_map(|t| (0..PARTS).map(move |p| (t.clone(), p)));
        for (i, part) in all.enumerate() {
            let wanted = &names[i % names.len()];
            let holder = self.assigned.get(&part).filter(|h| *h != wanted);
            let stays = holder.filter(|h| {
                self.members.get(*h).is_some_and(|m| m.seen < self.generation)
            });
            next.insert(part, stays.unwrap_or(wanted).clone());
        }
        if self.assigned.iter().any(|(p, h)| next.get(p).is_some_and(|n| n != h)) {
            self.generation += 1;
        }
        self.assigned = next;
    }
}

#[derive(Default)]
struct StoreState {
    partitions: HashMap<(String, u64), Partition>,
    groups: HashMap<String, Group>,
}

pub struct Store {
    state: Mutex<StoreState>,
    record: Arc<Record>,
    /// While set, calls are not carried out and get no answer.
    pub silent: AtomicBool,
    /// While set, calls get 503 and are not carried out.
    pub busy: AtomicBool,
    /// How many times as long as usual answers take.
    pub slowness: AtomicU64,
    random: AtomicU64,
    /// The appends that were rejected for their size, and the largest of them.
    pub rejected: AtomicU64,
    pub largest: AtomicU64,
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(data.len() * 4 / 3 + 4);
    for chunk in data.chunks(3) {
        let bits = (0..3).fold(0u32, |b, i| b << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

impl Store {
    fn new(record: Arc<Record>) -> Self {
        Self {
            state: Mutex::default(),
            record,
            silent: AtomicBool::new(false),
            busy: AtomicBool::new(false),
            slowness: AtomicU64::new(1),
            random: AtomicU64::new(unix_ms() | 1),
            rejected: AtomicU64::new(0),
            largest: AtomicU64::new(0),
        }
    }

    fn append(&self, topic: &str, part: u64, at: Option<u64>, body: &[u8]) -> HttpResponse {
        if part >= PARTS {
            return (400, b"{}".to_vec());
        }
        let Some(records) = split_records(body) else { return (400, b"{}".to_vec()) };
        let size: usize = records.iter().map(Vec::len).sum();
        let longest = records.iter().map(Vec::len).max().unwrap_or(0);
        if size > MAX_REQUEST_BYTES || longest > MAX_RECORD_BYTES {
            self.largest.fetch_max(size as u64, Ordering::SeqCst);
            if self.rejected.fetch_add(1, Ordering::SeqCst) < 3 {
                self.record.add(format!(
                    "store: append to {topic}/{part} rejected with 413: {} records, {size} bytes, the longest {longest}",
                    records.len()
                ));
            }
            return (413, b"{\"error\":\"too large\"}".to_vec());
        }
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic.to_owned(), part)).or_default();
        let end = partition.records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return (412, format!("{{\"end_offset\":{end}}}").into_bytes());
        }
        for record in records {
            let offset = partition.records.len() as u64;
            if topic.starts_with("keyed.") {
                let length = usize::from(record[0]);
                let (key, value) = (record[1..1 + length].to_vec(), record[1 + length..].to_vec());
                match value.is_empty() {
                    true => partition.latest.remove(&key),
                    false => partition.latest.insert(key, (offset, value)),
                };
            }
            partition.records.push(record);
        }
        let new_end = partition.records.len();
        (200, format!("{{\"offset\":{end},\"end_offset\":{new_end}}}").into_bytes())
    }

    /// Writes a record as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut body = Vec::new();
        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend(key.as_bytes());
        body.extend(value.as_bytes());
        let (status, _) = self.append(topic, 0, None, &body);
        assert_eq!(status, 200);
    }

    fn read(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let key = (request.text("topic"), request.number("part")?);
        let from = request.number("from")? as usize;
        let limit = request.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            if self.silent.load(Ordering::SeqCst) {
                return self.no_answer();
            }
            {
                let mut state = self.state.lock().unwrap();
                let partition = state.partitions.entry(key.clone()).or_default();
                if partition.records.len() > from || Instant::now() >= deadline {
                    let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
                    body.extend(0u64.to_be_bytes());
                    for record in partition.records.iter().skip(from) {
                        if body.len() + record.len() > limit && body.len() > 16 {
                            break;
                        }
                        body.extend((record.len() as u32).to_be_bytes());
                        body.extend(record);
                    }
                    return Some((200, body));
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }

    fn newest(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let key = (request.text("topic"), request.number("part")?);
        let after = request.query.get("after");
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(key).or_default();
        let rows = partition.latest.iter().filter(|(k, _)| after.is_none_or(|a| *k > a));
        let (mut items, mut size, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in rows {
            if items.len() == 500 || (size + value.len() > 1_000_000 && !items.is_empty()) {
                more = true;
                break;
            }
            size += value.len();
            items.push(format!(
                "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                String::from_utf8_lossy(key),
                base64(value)
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{more},\"end_offset\":{}}}",
            items.join(","),
            partition.records.len()
        );
        Some((200, body.into_bytes()))
    }

    fn group_call(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let body = request.json();
        let mut state = self.state.lock().unwrap();
        let name = match request.path.as_str() {
            "/api/log-owners" => request.text("group"),
            _ => body.text("group"),
        };
        let group = state.groups.entry(name).or_default();
        let member = body.text("member_id");
        let mut changed = group.expire();
        match request.path.as_str() {
            "/api/log-join" => {
                let topics = body.get("topics").map(Json::items).unwrap_or_default();
                group.topics = topics.iter().map(Json::as_text).collect();
                let ttl = body.number("ttl_ms").unwrap_or(1_000).max(1_000);
                let expires = Instant::now() + Duration::from_millis(ttl);
                let seen = body.number("generation").unwrap_or(0);
                changed |= group.members.insert(member.clone(), Member { expires, seen }).is_none();
            }
            "/api/log-leave" => changed |= group.members.remove(&member).is_some(),
            _ => {}
        }
        if changed {
            group.generation += 1;
        }
        group.assign();
        let answer = match request.path.as_str() {
            "/api/log-owners" => {
                let rows = group.assigned.iter();
                let rows = rows.map(|((t, p), m)| format!("[\"{t}\",{p},\"{m}\",0]"));
                format!("{{\"parts\":[{}]}}", rows.collect::<Vec<_>>().join(","))
            }
            "/api/log-join" => {
                let rows = group.assigned.iter().filter(|(_, m)| **m == member);
                let rows = rows.map(|((t, p), _)| format!("[\"{t}\",{p},0]"));
                let rows = rows.collect::<Vec<_>>().join(",");
                format!("{{\"generation\":{},\"parts\":[{rows}]}}", group.generation)
            }
            _ => "{}".to_owned(),
        };
        Some((200, answer.into_bytes()))
    }

    /// Holds a call back until the outage is over, and then closes its connection.
    fn no_answer(&self) -> Option<HttpResponse> {
        while self.silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Returns how long a call takes before it is carried out and answered: 4 ms, and while the store
    /// is slow at most that multiple of it, and at least a quarter of that.
    fn delay(&self) -> Duration {
        let usual = Duration::from_millis(4);
        let slowness = self.slowness.load(Ordering::SeqCst);
        if slowness <= 1 {
            return usual;
        }
        let step = |x: u64| Some(x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407));
        let drawn = self.random.fetch_update(Ordering::SeqCst, Ordering::SeqCst, step).unwrap_or(0);
        let share = 0.25 + 0.75 * (drawn >> 33) as f64 / (1u64 << 31) as f64;
        usual.mul_f64(slowness as f64 * share)
    }

    fn handle(&self, request: HttpRequest) -> Option<HttpResponse> {
        thread::sleep(self.delay());
        if self.silent.load(Ordering::SeqCst) {
            return self.no_answer();
        }
        if self.busy.load(Ordering::SeqCst) {
            return Some((503, b"{}".to_vec()));
        }
        match request.path.as_str() {
            "/api/log-append" => {
                let (topic, part) = (request.text("topic"), request.number("part")?);
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return Some((403, b"{}".to_vec()));
                }
                Some(self.append(&topic, part, request.number("at"), &request.body))
            }
            "/api/log-read" => self.read(&request),
            "/api/log-newest" => self.newest(&request),
            "/api/log-join" | "/api/log-leave" | "/api/log-owners" => self.group_call(&request),
            _ => Some((404, b"{}".to_vec())),
        }
    }
}

// ------------------------------------------------------------------------------------- workers

/// One run of a task, as its worker saw it.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub pool: String,
    pub started: f64,
    pub ended: Option<(f64, &'static str)>,
    /// When `acked_until` reached the end.
    pub noted: Option<f64>,
    /// Whether the worker's lease lapsed between the end and the time when it was noted.
    pub lapsed: bool,
}

/// A step of a job, as its caller submitted it.
#[derive(Clone, Copy, Debug)]
pub struct StepSeen {
    pub cpu: u64,
    pub mem_mb: u64,
}

/// What all stand-ins share.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runs: Mutex<Vec<RunSeen>>,
    pub jobs: Mutex<HashMap<String, Vec<StepSeen>>>,
    pub machines: Mutex<Vec<Machine>>,
    next_worker: AtomicU64,
}

pub struct Machine {
    name: String,
    pub pool: String,
    token: u64,
    address: Option<SocketAddr>,
    worker: Option<Arc<Worker>>,
}

struct Running {
    run: u64,
    since: Instant,
    lasts: Duration,
    index: usize,
    stop_at: Option<Instant>,
}

struct WorkerState {
    token: u64,
    deadline: u64,
    running: BTreeMap<String, Running>,
    finished: Vec<(u64, String, u64, &'static str, usize)>,
    next: u64,
    highest: HashMap<String, u64>,
    /// When the lease lapsed last.
    lapsed_at: f64,
    gone: bool,
}

pub struct Worker {
    pub id: String,
    pub pool: String,
    born: u64,
    start: Instant,
    state: Mutex<WorkerState>,
}

pub const WORKER_CPU: u64 = 32_000;
pub const WORKER_MEM: u64 = 65_536;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Worker {
    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn end(&self, world: &World, state: &mut WorkerState, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else { return };
        let highest = state.highest.entry(task.to_owned()).or_insert(0);
        *highest = (*highest).max(running.run);
        let now = world.record.seconds();
        world.runs.lock().unwrap()[running.index].ended = Some((now, how));
        world.record.add(format!("{}: {task} run {} ends {how}", self.id, running.run));
        state.finished.push((state.next, task.to_owned(), running.run, how, running.index));
        state.next += 1;
    }

    fn advance(&self, world: &World, state: &mut WorkerState) {
        let (now, lapsed) = (Instant::now(), self.clock() >= state.deadline);
        if lapsed {
            state.lapsed_at = world.record.seconds();
        }
        let ending: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, r)| {
                let how = match (r.stop_at, now >= r.since + r.lasts) {
                    (Some(at), _) if now >= at => "stopped",
                    (None, true) => "done",
                    _ if lapsed => "lapsed",
                    _ => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in ending {
            self.end(world, state, &task, how);
        }
    }

    fn conflict(&self, reason: &str) -> Option<HttpResponse> {
        let body = format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock());
        Some((409, body.into_bytes()))
    }

    fn fenced(&self, state: &mut WorkerState, body: &Json) -> bool {
        let token = body.number("fencing_token").unwrap_or(0);
        let stale = token < state.token;
        state.token = state.token.max(token);
        stale
    }

    fn extend(&self, state: &mut WorkerState, body: &Json) {
        if let Some(deadline) = body.number("deadline_ms") {
            state.deadline = state.deadline.max(deadline.min(self.clock() + MAX_HOLD_MS));
        }
    }

    fn start_run(&self, world: &World, body: &Json) -> Option<HttpResponse> {
        let mut state = self.state.lock().unwrap();
        self.advance(world, &mut state);
        let (task, run) = (body.text("task"), body.number("run_id")?);
        if self.fenced(&mut state, body) {
            return self.conflict("fence");
        }
        if body.number("deadline_ms")? <= self.clock() {
            return self.conflict("late");
        }
        self.extend(&mut state, body);
        let ok = Some((200, format!("{{\"clock_ms\":{}}}", self.clock()).into_bytes()));
        if state.running.get(&task).is_some_and(|r| r.run == run) {
            return ok;
        }
        if state.highest.get(&task).is_some_and(|h| run <= *h) || state.running.contains_key(&task) {
            return self.conflict("old");
        }
        let size = |task: &str| {
            let mut parts = task.split('.');
            let job = parts.next().unwrap_or_default();
            let step = parts.nth(1).and_then(|s| s.parse::<usize>().ok()).unwrap_or(0);
            let jobs = world.jobs.lock().unwrap();
            jobs.get(job).and_then(|steps| steps.get(step).copied())
        };
        let Some(size_here) = size(&task) else {
            world.record.add(format!("{}: {task} run {run} starts, which nobody sent", self.id));
            return Some((400, b"{}".to_vec()));
        };
        let (mut cpu, mut mem) = (size_here.cpu, size_here.mem_mb);
        for other in state.running.keys() {
            let other = size(other).unwrap_or(StepSeen { cpu: 0, mem_mb: 0 });
            cpu += other.cpu;
            mem += other.mem_mb;
        }
        if cpu > WORKER_CPU || mem > WORKER_MEM {
            return self.conflict("room");
        }
        // The text of the job tells the stand-in how long each of its tasks works.
        let spec = body.text("spec");
        let lasts = spec.split(';').find_map(|p| p.strip_prefix("ms="));
        let lasts: u64 = lasts.and_then(|l| l.parse().ok()).unwrap_or(500);
        let spread = spec.split(';').find_map(|p| p.strip_prefix("spread="));
        let spread: u64 = spread.and_then(|l| l.parse().ok()).unwrap_or(0);
        let index: u64 = task.rsplit('.').next().and_then(|i| i.parse().ok()).unwrap_or(0);
        let lasts = lasts + if spread > 0 { index * 37 % spread } else { 0 };
        let index = {
            let mut runs = world.runs.lock().unwrap();
            runs.push(RunSeen {
                task: task.clone(),
                run,
                worker: self.id.clone(),
                pool: self.pool.clone(),
                started: world.record.seconds(),
                ended: None,
                noted: None,
                lapsed: false,
            });
            runs.len() - 1
        };
        world.record.add(format!("{} ({}): {task} run {run} starts", self.id, self.pool));
        state.running.insert(
            task,
            Running { run, since: Instant::now(), lasts: Duration::from_millis(lasts), index, stop_at: None },
        );
        ok
    }

    fn stop_run(&self, world: &World, body: &Json) -> Option<HttpResponse> {
        let mut state = self.state.lock().unwrap();
        self.advance(world, &mut state);
        let (task, run) = (body.text("task"), body.number("run_id")?);
        if self.fenced(&mut state, body) {
            return self.conflict("fence");
        }
        match state.running.get_mut(&task) {
            Some(r) if r.run <= run => {
                r.stop_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
            }
            _ => {
                let highest = state.highest.entry(task).or_insert(0);
                *highest = (*highest).max(run);
            }
        }
        Some((200, format!("{{\"clock_ms\":{}}}", self.clock()).into_bytes()))
    }

    fn hold(&self, world: &World, body: &Json) -> Option<HttpResponse> {
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        {
            let mut state = self.state.lock().unwrap();
            self.advance(world, &mut state);
            if self.fenced(&mut state, body) {
                return self.conflict("fence");
            }
            self.extend(&mut state, body);
            let acked = body.number("acked_until").unwrap_or(0);
            let now = world.record.seconds();
            let lapsed_at = state.lapsed_at;
            state.finished.retain(|(n, _, _, _, index)| {
                if *n <= acked {
                    let run = &mut world.runs.lock().unwrap()[*index];
                    run.noted = Some(now);
                    run.lapsed = run.ended.is_some_and(|(at, _)| lapsed_at >= at);
                }
                *n > acked
            });
        }
        loop {
            let mut state = self.state.lock().unwrap();
            if state.gone {
                return None;
            }
            self.advance(world, &mut state);
            if !state.finished.is_empty() || Instant::now() >= deadline {
                let running = state.running.iter().map(|(task, r)| {
                    let done = r.since.elapsed().as_millis() * 100 / r.lasts.as_millis().max(1);
                    format!("[\"{task}\",{},\"\",{},0]", r.run, done.min(99))
                });
                let running = running.collect::<Vec<_>>().join(",");
                let finished = state.finished.iter().take(500);
                let finished = finished.map(|(n, t, r, how, _)| format!("[{n},\"{t}\",{r},\"{how}\",\"\"]"));
                let finished = finished.collect::<Vec<_>>().join(",");
                let body = format!(
                    "{{\"clock_ms\":{},\"born\":{},\"running\":[{running}],\"finished\":[{finished}]}}",
                    self.clock(),
                    self.born
                );
                return Some((200, body.into_bytes()));
            }
            drop(state);
            thread::sleep(Duration::from_millis(3));
        }
    }

    fn handle(&self, world: &World, request: &HttpRequest) -> Option<HttpResponse> {
        let expected = request.headers.get("lavenderhollow-expected-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return Some((421, b"{}".to_vec()));
        }
        let body = request.json();
        match request.path.as_str() {
            "/api/run-start" => self.start_run(world, &body),
            "/api/run-stop" => self.stop_run(world, &body),
            "/api/hold" => self.hold(world, &body),
            "/api/pace" => Some((200, format!("{{\"clock_ms\":{}}}", self.clock()).into_bytes())),
            "/health" => Some((200, b"{}".to_vec())),
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn registration(&self, address: SocketAddr, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{WORKER_CPU},\"mem_mb\":{WORKER_MEM},\
             \"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":{},\"born\":{},\"sequence\":{sequence}}}",
            self.pool,
            self.clock(),
            self.born
        )
    }
}

impl World {
    fn new_worker(&self, pool: &str) -> Arc<Worker> {
        let number = self.next_worker.fetch_add(1, Ordering::SeqCst);
        Arc::new(Worker {
            id: format!("i-{number:08x}"),
            pool: pool.to_owned(),
            born: unix_ms(),
            start: Instant::now(),
            state: Mutex::new(WorkerState {
                token: 0,
                deadline: 0,
                running: BTreeMap::new(),
                finished: Vec::new(),
                next: 1,
                highest: HashMap::new(),
                lapsed_at: -1.0,
                gone: false,
            }),
        })
    }

    fn worker_of(&self, machine: usize) -> Option<Arc<Worker>> {
        self.machines.lock().unwrap()[machine].worker.clone()
    }

    fn list_machines(&self) -> HttpResponse {
        let machines = self.machines.lock().unwrap();
        let rows = machines.iter().map(|m| {
            let (state, id) = match &m.worker {
                Some(worker) => ("up", format!("\"{}\"", worker.id)),
                None => ("moving", "null".to_owned()),
            };
            format!(
                "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{state}\",\"zone\":\"zone-a\",\"labels\":[\"a\",\"r1-1\"],\
                 \"capacity\":{{\"cpu\":{WORKER_CPU},\"mem_mb\":{WORKER_MEM},\"gpu\":0}},\"id\":{id}}}",
                m.name, m.pool
            )
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        (200, format!("{{\"machines\":[{rows}],\"next_page_token\":null}}").into_bytes())
    }

    /// Moves a machine: what runs there ends, and a new worker joins the pool after 1.5 s.
    fn move_machine(self: &Arc<Self>, request: &HttpRequest) -> HttpResponse {
        let rejected = |reason: &str| (409, format!("{{\"reason\":\"{reason}\"}}").into_bytes());
        let body = request.json();
        let (name, pool) = (body.text("machine"), body.text("pool"));
        let token = request.headers.get("lavenderhollow-fencing-token");
        let token: u64 = token.and_then(|t| t.parse().ok()).unwrap_or(0);
        let mut machines = self.machines.lock().unwrap();
        let Some(index) = machines.iter().position(|m| m.name == name) else {
            return (400, b"{}".to_vec());
        };
        let machine = &mut machines[index];
        if token < machine.token {
            return rejected("fence");
        }
        machine.token = token;
        if machine.pool == pool {
            return (200, b"{}".to_vec());
        }
        let Some(worker) = machine.worker.take() else { return rejected("busy") };
        machine.pool.clone_from(&pool);
        drop(machines);
        self.record.add(format!("platform: {name} ({}) moves to {pool}", worker.id));
        {
            let mut state = worker.state.lock().unwrap();
            state.gone = true;
            let tasks: Vec<String> = state.running.keys().cloned().collect();
            for task in tasks {
                worker.end(self, &mut state, &task, "killed");
            }
        }
        self.store.put("keyed.servers", &worker.id, "");
        let world = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(1_500));
            let worker = world.new_worker(&pool);
            world.machines.lock().unwrap()[index].worker = Some(worker);
        });
        (200, b"{}".to_vec())
    }

    fn serve_machines(self: &Arc<Self>, count: usize) {
        for index in 0..count {
            let world = Arc::clone(self);
            let address = serve(Arc::new(move |request| {
                let worker = world.worker_of(index)?;
                worker.handle(&world, &request)
            }));
            self.machines.lock().unwrap()[index].address = Some(address);
        }
        let world = Arc::clone(self);
        thread::spawn(move || {
            let mut beats: HashMap<String, (u64, Instant)> = HashMap::new();
            loop {
                for index in 0..count {
                    let (worker, address) = {
                        let machines = world.machines.lock().unwrap();
                        (machines[index].worker.clone(), machines[index].address)
                    };
                    let (Some(worker), Some(address)) = (worker, address) else { continue };
                    {
                        let mut state = worker.state.lock().unwrap();
                        worker.advance(&world, &mut state);
                    }
                    let beat = beats.entry(worker.id.clone()).or_insert((0, Instant::now()));
                    if beat.0 == 0 || beat.1.elapsed() >= Duration::from_millis(1_500) {
                        let store = &world.store;
                        let away = store.silent.load(Ordering::SeqCst) || store.busy.load(Ordering::SeqCst);
                        if !away {
                            *beat = (beat.0 + 1, Instant::now());
                            let entry = worker.registration(address, beat.0);
                            store.put("keyed.servers", &worker.id, &entry);
                        }
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    /// Whether a run of a job is at work now.
    pub fn is_at_work(&self, job: &str) -> bool {
        let runs = self.runs.lock().unwrap();
        runs.iter().any(|r| r.ended.is_none() && r.task.starts_with(job))
    }

    /// The processor time in use in a pool, and what its workers offer, in thousandths of a core.
    pub fn load(&self, pool: &str) -> (u64, u64) {
        let machines = self.machines.lock().unwrap();
        let here = machines.iter().filter(|m| m.pool == pool && m.worker.is_some());
        let offered = here.count() as u64 * WORKER_CPU;
        drop(machines);
        let jobs = self.jobs.lock().unwrap();
        let runs = self.runs.lock().unwrap();
        let open = runs.iter().filter(|r| r.ended.is_none() && r.pool == pool);
        let used = open.map(|r| {
            let mut parts = r.task.split('.');
            let job = parts.next().unwrap_or_default();
            let step = parts.nth(1).and_then(|s| s.parse::<usize>().ok()).unwrap_or(0);
            jobs.get(job).and_then(|s| s.get(step)).map_or(0, |s| s.cpu)
        });
        (used.sum(), offered)
    }
}

// ------------------------------------------------------------------------------------ operator

/// A queue in the configuration: its name, its path, the service that runs its tasks, and whether
/// calls need no key.
pub struct Queue(pub &'static str, pub &'static str, pub &'static str, pub bool);

/// Publishes a configuration, whose writing is its acknowledgement.
pub fn publish(world: &World, version: u64, queues: &[Queue], services: &[&str]) {
    let routes = queues.iter().map(|Queue(name, path, service, open)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{path}\",\"type\":\"non_idempotent\",\
             \"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"{service}\",\
             \"max_attempts\":4,\"slack_factor\":2.2,\"allow_anonymous\":{open}}}"
        )
    });
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\
             \"tls\":false,\"admission_check\":true,\"standby\":false}}"
        )
    });
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\
         \"name\":\"tenant-1\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"weight\":1000,\
         \"cap\":{{\"cpu\":10000000,\"mem_mb\":100000000,\"gpu\":0}}}}]}}",
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(",")
    );
    world.store.put("keyed.op", "config", &config);
    let sent: Vec<String> = queues.iter().map(|q| format!("{} -> {}", q.1, q.2)).collect();
    world.record.add(format!("operator: version {version} is acknowledged: {}", sent.join(", ")));
}

// --------------------------------------------------------------------------------------- nodes

/// The node processes that run. `run.sh` ends those in the file `PIDS` if this process is killed.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all node processes that this process started.
pub fn end_nodes() {
    let mut children = CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
    if let Some(file) = std::env::var_os("PIDS") {
        let _ = std::fs::write(file, "");
    }
}

pub struct Node {
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

fn free_ports<const N: usize>() -> [u16; N] {
    let listeners: Vec<TcpListener> =
        (0..N).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    std::array::from_fn(|i| listeners[i].local_addr().expect("an address").port())
}

fn start_node(folder: &Path, name: &str, store: SocketAddr, cloud: SocketAddr) -> std::io::Result<Node> {
    let [client, ready, control, a, b] = free_ports();
    let settings = format!(
        "node_name = \"{name}\"\nrole = \"node\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \"127.0.0.1\"\n\
         zone = \"zone-a\"\nregion = \"region-a\"\ninternal_ports = [{},{}]\nseed_nodes = []\nbootstrap = true\n\
         counts_as_loss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\n\
         command_mode = \"request\"\nrecommendation = \"\"\n[zones]\nzone-a = \"region-a\"\n[listen_addrs]\n\
         client_addr = \"127.0.0.1:{client}\"\nreadiness = \"127.0.0.1:{ready}\"\ncontrol = \"127.0.0.1:{control}\"\n\
         [limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\n\
         grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n\
         strict_revocation = true\nrevoke_ms = 5000\nrecovery_s = 12\nmax_hold_ms = {MAX_HOLD_MS}\nstop_timeout_ms = 400\n\
         gang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
         checkpoint_interval_s = 0.5\nrestore_ms = 100\nnotice_ms = 4500\nmigration_s = 1.5\nmaintenance_s = 2\n\
         enforce_fencing = true\nlease_ms = 3000\nthaw_ms = 300\npace_ms = 100\ninterference_ms = 4000\n\
         [platform]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = {PARTS}\n\
         append_ms = 2.0\npart_mb_per_s = 20.0\nread_mb_per_s = 80.0\nmax_record_bytes = {MAX_RECORD_BYTES}\n\
         max_request_bytes = {MAX_REQUEST_BYTES}\nkeep_s = 300\npartition_mb = 200\nmin_ttl_ms = 1000\n\
         [cloud]\naddress = \"{cloud}\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n",
        a.min(b),
        a.max(b)
    );
    let file = folder.join(format!("{name}.toml"));
    std::fs::write(&file, settings)?;
    let log = std::fs::File::create(folder.join(format!("{name}.log")))?;
    // The command of the role in the deploy file.
    let child = Command::new("target/release/lavenderhollow")
        .arg("node")
        .env("LAVENDERHOLLOW_SETTINGS", &file)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone()?))
        .stderr(Stdio::from(log))
        .spawn()?;
    let mut children = CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    children.push(child);
    if let Some(file) = std::env::var_os("PIDS") {
        let ids: Vec<String> = children.iter().map(|c| c.id().to_string()).collect();
        std::fs::write(file, ids.join(" "))?;
    }
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    Ok(Node { callers: address(client), readiness: address(ready) })
}

/// A small deployment on the stand-ins.
pub struct Deployment {
    pub world: Arc<World>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        end_nodes();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Deployment {
    /// Starts the platform, `pools` with their numbers of machines, and three node processes, and
    /// waits until these are ready.
    pub fn start(pools: &[(&str, usize)], queues: &[Queue]) -> Result<Self, String> {
        let record = Arc::new(Record { start: Instant::now(), lines: Mutex::default() });
        let store = Arc::new(Store::new(Arc::clone(&record)));
        let world = Arc::new(World {
            record,
            store: Arc::clone(&store),
            runs: Mutex::default(),
            jobs: Mutex::default(),
            machines: Mutex::default(),
            next_worker: AtomicU64::new(1),
        });
        for (pool, count) in pools {
            for _ in 0..*count {
                let worker = world.new_worker(pool);
                let mut machines = world.machines.lock().unwrap();
                let name = format!("m-{:05x}", machines.len() + 1);
                let pool = (*pool).to_owned();
                machines.push(Machine { name, pool, token: 0, address: None, worker: Some(worker) });
            }
        }
        let count = world.machines.lock().unwrap().len();
        world.serve_machines(count);
        let services: Vec<&str> = pools.iter().map(|(name, _)| *name).collect();
        publish(&world, 3, queues, &services);
        let store_address = serve(Arc::new(move |request| store.handle(request)));
        let cloud_world = Arc::clone(&world);
        let cloud = serve(Arc::new(move |request: HttpRequest| {
            Some(match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/api/machines") => cloud_world.list_machines(),
                ("POST", "/api/machine-move") => cloud_world.move_machine(&request),
                _ => (400, b"{}".to_vec()),
            })
        }));
        let folder = std::env::temp_dir().join(format!("lavenderhollow-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut deployment = Self { world, nodes: Vec::new(), folder };
        for name in ["edge-1", "edge-2", "edge-3"] {
            let node = start_node(&deployment.folder, name, store_address, cloud);
            deployment.nodes.push(node.map_err(|e| format!("{name}: {e}"))?);
        }
        let started = Instant::now();
        let second = Duration::from_secs(1);
        while !deployment.nodes.iter().all(|n| {
            matches!(call(n.readiness, "GET", "/api/ready", None, "", second), Some((200, _)))
        }) {
            if started.elapsed() > Duration::from_secs(20) {
                return Err("the nodes are not ready after 20 s".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(5));
        deployment.world.record.add("three nodes are ready".to_owned());
        Ok(deployment)
    }

    /// Submits a job at a node and returns the status of the answer, 0 without one.
    pub fn submit(&self, node: usize, path: &str, id: &str, spec: &str, steps: &[(u32, u64, u64, u64)]) -> u16 {
        submit(&self.world, self.nodes[node].callers, path, id, spec, steps)
    }

    pub fn get(&self, node: usize, path: &str) -> Option<(u16, String)> {
        let limit = Duration::from_secs(3);
        let answer = call(self.nodes[node].callers, "GET", path, Some(KEY), "", limit);
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
        self.world.record.add(format!("caller: GET {path} at node {}: {shown}", node + 1));
        answer
    }
}

/// Submits a job whose steps follow each other: number of tasks, cpu, memory, estimate in ms.
pub fn submit(
    world: &World,
    node: SocketAddr,
    path: &str,
    id: &str,
    spec: &str,
    steps: &[(u32, u64, u64, u64)],
) -> u16 {
    let seen = steps.iter().map(|s| StepSeen { cpu: s.1, mem_mb: s.2 }).collect();
    world.jobs.lock().unwrap().insert(id.to_owned(), seen);
    let rows = steps.iter().enumerate().map(|(i, (count, cpu, mem, estimate))| {
        let after = if i > 0 { format!(",\"after\":[{}]", i - 1) } else { String::new() };
        format!("{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":{mem},\"estimated_ms\":{estimate}{after}}}")
    });
    let rows = rows.collect::<Vec<_>>().join(",");
    let body = format!("{{\"spec\":\"{spec}\",\"steps\":[{rows}]}}");
    let answer = call(node, "POST", &format!("{path}{id}"), Some(KEY), &body, Duration::from_secs(3));
    let status = answer.map_or(0, |(status, _)| status);
    let shown = if status == 0 { "no answer".to_owned() } else { status.to_string() };
    world.record.add(format!("caller: POST {path}{id}: {shown}"));
    status
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2).map(PathBuf::from)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let code = std::panic::catch_unwind(|| cases::run(case, &folder, trouble)).unwrap_or(2);
    end_nodes();
    std::process::exit(code);
}
