//! A worker: runs tasks for the time that their job's text names, holds a lease on its own clock,
//! checks fencing tokens, guards its capacity and lists the ends of runs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{serve_some, Answer, Request};
use crate::json::Json;
use crate::record::Record;

/// The longest lease, in milliseconds; `max_hold_ms` of the settings.
const MAX_HOLD_MS: u64 = 10_000;

/// What a worker has to know of the tasks of a step.
#[derive(Clone, Copy, Default)]
pub struct Size {
    /// What each task asks for, in thousandths of a core.
    pub cpu: u64,
    /// How many tasks work only together; zero for tasks that work alone.
    pub gang: u64,
}

/// The members of each run of a gang that are present, on all workers.
pub type Gangs = Arc<Mutex<BTreeMap<(String, u64), BTreeSet<String>>>>;

/// `gang_timeout_ms` of the settings.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The connections that a worker takes at a time; `max_connections` of the configuration.
const MAX_CONNECTIONS: usize = 64;

/// How long a call takes, as those to the store.
const ANSWER: Duration = Duration::from_millis(4);

struct Run {
    number: u64,
    gang: u64,
    time: Option<Duration>,
    cpu: u64,
    ends_at: Option<Instant>,
    since: Instant,
}

struct State {
    born: u64,
    start: Instant,
    token: u64,
    deadline: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next: u64,
    highest: BTreeMap<String, u64>,
    gone: bool,
}

pub struct Worker {
    pub id: String,
    pub pool: String,
    pub cores: u64,
    pub address: SocketAddr,
    state: Mutex<State>,
    ended: Condvar,
    record: Record,
    /// By the job's id and the step.
    sizes: Arc<Mutex<BTreeMap<String, Size>>>,
    gangs: Gangs,
}

fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(0, |t| t.as_millis() as u64)
}

impl State {
    fn new() -> Self {
        State {
            born: unix_ms(),
            start: Instant::now(),
            token: 0,
            deadline: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            next: 1,
            highest: BTreeMap::new(),
            gone: false,
        }
    }

    fn clock(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) {
        if let Some(run) = self.running.remove(task) {
            self.finished.push((self.next, task.to_owned(), run.number, how));
            self.next += 1;
            let highest = self.highest.entry(task.to_owned()).or_insert(0);
            *highest = (*highest).max(run.number);
        }
    }

    /// Ends the runs whose time is over, or all of them when the lease has lapsed.
    fn advance(&mut self, gangs: &Gangs) -> Vec<(String, u64, &'static str)> {
        let (now, lapsed) = (Instant::now(), self.clock() > self.deadline);
        for (task, run) in self.running.iter_mut().filter(|(_, r)| r.gang > 0) {
            let gangs = gangs.lock().unwrap();
            let present = gangs.get(&(gang_of(task), run.number)).map_or(0, BTreeSet::len);
            if run.ends_at.is_none() && present as u64 >= run.gang {
                run.ends_at = run.time.map(|t| now + t);
            }
        }
        let over = self.running.iter().filter_map(|(task, run)| {
            let done = run.ends_at.is_some_and(|at| at <= now);
            let how = if done { "done" } else { "lapsed" };
            let waits = run.gang > 0 && run.ends_at.is_none();
            let alone = waits && run.since.elapsed() > GANG_TIMEOUT;
            let how = if alone { "alone" } else { how };
            (done || lapsed || alone).then(|| (task.clone(), run.number, how))
        });
        let over: Vec<_> = over.collect();
        for (task, number, how) in &over {
            self.end(task, how);
            if *how != "done" {
                if let Some(present) = gangs.lock().unwrap().get_mut(&(gang_of(task), *number)) {
                    present.remove(task);
                }
            }
        }
        over
    }
}

/// Returns the name of a task without its index.
fn gang_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}

/// Returns how long the tasks of a job run: the text holds `ms=NUMBER`, or `lasting`.
fn run_time(spec: &str) -> Option<Duration> {
    let (_, rest) = spec.split_once("ms=")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().map(Duration::from_millis)
}

impl Worker {
    pub fn start(
        id: &str,
        pool: &str,
        cores: u64,
        record: &Record,
        sizes: &Arc<Mutex<BTreeMap<String, Size>>>,
        gangs: &Gangs,
    ) -> Arc<Worker> {
        let slot: Arc<Mutex<Option<Arc<Worker>>>> = Arc::default();
        let inner = Arc::clone(&slot);
        let address = serve_some(MAX_CONNECTIONS, Arc::new(move |request| {
            let worker = inner.lock().unwrap().clone();
            worker.and_then(|worker| worker.handle(&request))
        }));
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            pool: pool.to_owned(),
            cores,
            address,
            state: Mutex::new(State::new()),
            ended: Condvar::new(),
            record: record.clone(),
            sizes: Arc::clone(sizes),
            gangs: Arc::clone(gangs),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&worker));
        let ticking = Arc::clone(&worker);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            ticking.advance(&mut ticking.state.lock().unwrap());
        });
        worker
    }

    /// Ends all that runs; the worker answers nothing any more.
    pub fn leave(&self) {
        let mut state = self.state.lock().unwrap();
        state.running.clear();
        state.gone = true;
        self.ended.notify_all();
    }

    /// Restarts under the same id, with a start time that lies before the earlier one.
    pub fn restart_earlier(&self, by: Duration) {
        let mut state = self.state.lock().unwrap();
        let born = state.born - by.as_millis() as u64;
        *state = State::new();
        state.born = born;
        self.record.line(&format!("worker {} has restarted, born {born}", self.id));
        self.ended.notify_all();
    }

    /// Returns what runs: the task, and for how long it has run.
    pub fn running(&self) -> Vec<(String, Duration)> {
        let state = self.state.lock().unwrap();
        let rows = state.running.iter();
        rows.map(|(t, r)| (t.clone(), r.since.elapsed())).collect()
    }

    pub fn used(&self) -> u64 {
        self.state.lock().unwrap().running.values().map(|r| r.cpu).sum()
    }

    /// Returns the entry that the worker writes to the store.
    pub fn entry(&self, sequence: u64) -> String {
        let (clock, born) = {
            let state = self.state.lock().unwrap();
            (state.clock(), state.born)
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{},\"labels\":[\"a\",\"r1-1\"],\
             \"clock_ms\":{},\"born\":{},\"sequence\":{sequence}}}",
            self.pool,
            self.address,
            self.capacity(),
            clock,
            born,
        )
    }

    pub fn capacity(&self) -> String {
        format!("{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}}", self.cores * 1_000)
    }

    fn advance(&self, state: &mut State) {
        let over = state.advance(&self.gangs);
        for (task, number, how) in &over {
            self.record.quiet(&format!("worker {} end {task} run {number} {how}", self.id));
        }
        if !over.is_empty() {
            self.ended.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let intended = request.headers.get("lavenderhollow-expected-instance");
        if intended.is_some_and(|id| *id != self.id) {
            return Some((421, Vec::new()));
        }
        let body = Json::parse(std::str::from_utf8(&request.body).unwrap_or(""));
        let mut state = self.state.lock().unwrap();
        if state.gone {
            return None;
        }
        self.advance(&mut state);
        let conflict = |state: &State, reason: &str| -> Answer {
            let clock = state.clock();
            Some((409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}").into_bytes()))
        };
        let token = body.get("fencing_token").num().unwrap_or(0);
        if token < state.token {
            return conflict(&state, "fence");
        }
        state.token = token;
        let (task, number) = (body.get("task").str(), body.get("run_id").num().unwrap_or(0));
        drop(state);
        thread::sleep(ANSWER);
        let mut state = self.state.lock().unwrap();
        if state.gone {
            return None;
        }
        if token < state.token {
            return conflict(&state, "fence");
        }
        match request.path.as_str() {
            "/api/run-start" => {
                let deadline = body.get("deadline_ms").num().unwrap_or(0);
                if deadline <= state.clock() {
                    return conflict(&state, "late");
                }
                state.deadline = state.deadline.max(deadline.min(state.clock() + MAX_HOLD_MS));
                if state.running.get(task).is_some_and(|r| r.number == number) {
                    return Some((200, format!("{{\"clock_ms\":{}}}", state.clock()).into_bytes()));
                }
                if state.highest.get(task).is_some_and(|h| number <= *h) {
                    return conflict(&state, "old");
                }
                let parts: Vec<&str> = task.split('.').collect();
                let size = format!("{}.{}", parts[0], parts.get(2).unwrap_or(&"0"));
                let Size { cpu, gang } = self.sizes.lock().unwrap().get(&size).copied().unwrap_or_default();
                let used: u64 = state.running.values().map(|r| r.cpu).sum();
                if used + cpu > self.cores * 1_000 {
                    return conflict(&state, "room");
                }
                let time = run_time(body.get("spec").str());
                let now = Instant::now();
                let ends_at = time.filter(|_| gang == 0).map(|t| now + t);
                let run = Run { number, gang, time, cpu, ends_at, since: now };
                if gang > 0 {
                    let mut gangs = self.gangs.lock().unwrap();
                    gangs.entry((gang_of(task), number)).or_default().insert(task.to_owned());
                }
                state.running.insert(task.to_owned(), run);
                self.record.start(&self.id, task, number, token);
            }
            "/api/run-stop" => {
                if state.running.get(task).is_some_and(|r| r.number == number) {
                    state.end(task, "stopped");
                    self.record.quiet(&format!("worker {} stop {task} run {number}", self.id));
                }
                let highest = state.highest.entry(task.to_owned()).or_insert(0);
                *highest = (*highest).max(number);
                self.ended.notify_all();
            }
            "/api/hold" => {
                if let Some(deadline) = body.get("deadline_ms").num() {
                    state.deadline = state.deadline.max(deadline.min(state.clock() + MAX_HOLD_MS));
                }
                let acked = body.get("acked_until").num().unwrap_or(0);
                state.finished.retain(|row| row.0 > acked);
                let wait = body.get("wait_ms").num().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.finished.is_empty() && !state.gone {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                if state.gone {
                    return None;
                }
                self.advance(&mut state);
                return Some((200, report(&state).into_bytes()));
            }
            "/api/pace" => {}
            _ => return Some((404, Vec::new())),
        }
        Some((200, format!("{{\"clock_ms\":{}}}", state.clock()).into_bytes()))
    }
}

/// Returns the lists of runs. A task that lasts is at work after 300 ms.
fn report(state: &State) -> String {
    let running = state.running.iter().map(|(task, run)| {
        let percent = if run.since.elapsed() > Duration::from_millis(300) { 100 } else { 50 };
        format!("[\"{task}\",{},\"\",{percent},0]", run.number)
    });
    let finished = state.finished.iter().take(500);
    let finished = finished.map(|(n, task, number, how)| {
        format!("[{n},\"{task}\",{number},\"{how}\",\"\"]")
    });
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        state.clock(),
        state.born,
        running.collect::<Vec<_>>().join(","),
        finished.collect::<Vec<_>>().join(",")
    )
}
