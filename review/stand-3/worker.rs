//! A worker: it carries out starts, stops and polls as the pages say, and reports ends until they are
//! acknowledged.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::http::serve;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;

pub const CPU: u64 = 32_000;
pub const MEMORY: u64 = 65_536;

/// The figure `ticket` of a task that needs a ticket from the time on at which its queue has a policy
/// service, and whether it has one.
pub const LATER_TICKET: u64 = 2;
pub static NEEDS_TICKETS: AtomicBool = AtomicBool::new(false);

/// The tail of the response times of tasks that serve, in milliseconds, with nothing beside them, and
/// by how much a task that fills at its full share lengthens it.
pub static TAIL_MS: AtomicU64 = AtomicU64::new(0);
pub static DISTURBANCE_MS: AtomicU64 = AtomicU64::new(0);

/// `max_hold_ms` of the settings.
const MAX_HOLD_MS: u64 = 10_000;

struct Running {
    number: u64,
    began: Instant,
    /// `None` for a task that lasts.
    length: Option<Duration>,
    cpu: u64,
    memory: u64,
    /// Whether it serves, and whether it fills.
    serves: bool,
    fills: bool,
    /// The share at which it works, since when, and the time that lower shares have cost it.
    percent: u64,
    paced: Instant,
    lost: Duration,
}

impl Running {
    /// Returns for how long it has worked, in time at its full share.
    fn worked(&self) -> Duration {
        let lost = self.lost + self.paced.elapsed() * (100 - self.percent as u32) / 100;
        self.began.elapsed().saturating_sub(lost)
    }
}

#[derive(Default)]
struct State {
    ended: bool,
    token: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Running>,
    finished: Vec<(u64, String, u64, String)>,
    last_end: u64,
    highest: BTreeMap<String, u64>,
}

pub struct Worker {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub born_ms: u64,
    born: Instant,
    server: Mutex<Option<Arc<Server>>>,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

/// Reads `name=N` from the text of a task.
fn figure(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ');
    words.find_map(|w| w.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Returns the ticket with which a worker may run the tasks of a step.
pub fn ticket(step: &str, worker: &str) -> String {
    format!("{step}/{worker}")
}

impl Worker {
    pub fn start(
        id: &str,
        machine: &str,
        service: &str,
        zone: &str,
        rack: &str,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            machine: machine.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            born_ms: unix.unwrap_or_default().as_millis() as u64,
            born: Instant::now(),
            server: Mutex::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&worker);
        let server = serve(Arc::new(move |request: &Request, _: &_| {
            serving.handle(request)
        }));
        *worker.server.lock().unwrap() = Some(server);
        let ticking = Arc::clone(&worker);
        std::thread::spawn(move || {
            while !ticking.has_ended() {
                ticking.advance(&mut ticking.state.lock().unwrap());
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        worker
    }

    pub fn has_ended(&self) -> bool {
        self.state.lock().unwrap().ended
    }

    /// Ends this life of the machine with all that runs on it.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.ended = true;
        for (task, run) in std::mem::take(&mut state.running) {
            self.record
                .ended(&task, run.number, &self.id, "the worker ended");
        }
        self.changed.notify_all();
        if let Some(server) = &*self.server.lock().unwrap() {
            server.close();
        }
    }

    /// Returns the entry of the worker in the store.
    pub fn entry(&self, sequence: u64) -> String {
        let address = self.server.lock().unwrap().as_ref().map(|s| s.address);
        let address = address.map(|a| a.to_string()).unwrap_or_default();
        format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{},\"machine\":{},\
             \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEMORY},\"gpu\":0}},\"labels\":[\"a\",{}]}}",
            quote(&self.service),
            quote(&address),
            quote(&self.zone),
            self.born_ms,
            quote(&self.machine),
            quote(&self.rack)
        )
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64 + 1
    }

    fn finish(&self, state: &mut State, task: &str, how: &str) {
        if let Some(run) = state.running.remove(task) {
            state.last_end += 1;
            let end = (state.last_end, task.to_owned(), run.number, how.to_owned());
            state.finished.push(end);
            let highest = state.highest.entry(task.to_owned()).or_default();
            *highest = run.number.max(*highest);
            self.record.ended(task, run.number, &self.id, how);
            self.changed.notify_all();
        }
    }

    fn advance(&self, state: &mut State) {
        let lapsed = self.clock_ms() >= state.deadline_ms;
        let is_over = |r: &Running| r.length.is_some_and(|l| r.worked() >= l);
        let over = state.running.iter().filter(|(_, r)| lapsed || is_over(r));
        let over: Vec<(String, bool)> = over.map(|(t, r)| (t.clone(), is_over(r))).collect();
        for (task, done) in over {
            let how = if done { "done" } else { "lapsed" };
            self.finish(state, &task, how);
        }
    }

    fn conflict(&self, reason: &str) -> Response {
        let clock = self.clock_ms();
        Response::new(
            409,
            format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
        )
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        let expected = request.headers.get("lavenderhollow-expected-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return Some(Response::new(421, ""));
        }
        if request.path == "/health" {
            return Some(Response::new(200, ""));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        if state.ended {
            return None;
        }
        self.advance(&mut state);
        let token = body.get("fencing_token").number().unwrap_or(0);
        if token < state.token {
            return Some(self.conflict("fence"));
        }
        state.token = token;
        let task = body.get("task").text().to_owned();
        let number = body.get("run_id").number().unwrap_or(0);
        let now = self.clock_ms();
        let asked = body.get("deadline_ms").number();
        let done = Response::new(200, format!("{{\"clock_ms\":{now}}}"));
        Some(match request.path.as_str() {
            "/api/run-start" => {
                if asked.is_none_or(|at| at <= now) {
                    return Some(self.conflict("late"));
                }
                state.deadline_ms = state
                    .deadline_ms
                    .max(asked.unwrap_or(0).min(now + MAX_HOLD_MS));
                if state.running.get(&task).is_some_and(|r| r.number == number) {
                    return Some(done);
                }
                if state.highest.get(&task).is_some_and(|h| number <= *h) {
                    return Some(self.conflict("old"));
                }
                let spec = body.get("spec").text();
                let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                let needs_ticket = match figure(spec, "ticket") {
                    Some(LATER_TICKET) => NEEDS_TICKETS.load(Ordering::SeqCst),
                    known => known == Some(1),
                };
                if needs_ticket && body.get("ticket").text() != ticket(step, &self.id) {
                    return Some(self.conflict("ticket"));
                }
                let (cpu, memory) = (figure(spec, "cpu"), figure(spec, "mem"));
                let (cpu, memory) = (cpu.unwrap_or(0), memory.unwrap_or(0));
                let fills = figure(spec, "fills") == Some(1);
                let counted = state.running.values().filter(|r| !r.fills);
                let used: u64 = counted.map(|r| r.cpu).sum();
                let held: u64 = state.running.values().map(|r| r.memory).sum();
                if used + if fills { 0 } else { cpu } > CPU || held + memory > MEMORY {
                    return Some(self.conflict("room"));
                }
                let length = figure(spec, "ms").filter(|ms| *ms > 0);
                let began = Instant::now();
                let run = Running {
                    number,
                    began,
                    length: length.map(Duration::from_millis),
                    cpu,
                    memory,
                    serves: figure(spec, "serves") == Some(1),
                    fills,
                    percent: 100,
                    paced: began,
                    lost: Duration::ZERO,
                };
                state.running.insert(task.clone(), run);
                self.record.began(&task, number, &self.id);
                done
            }
            "/api/run-stop" => {
                if state.running.get(&task).is_some_and(|r| r.number == number) {
                    self.finish(&mut state, &task, "stopped");
                }
                let highest = state.highest.entry(task).or_default();
                *highest = number.max(*highest);
                done
            }
            "/api/pace" => {
                let percent = body.get("percent").number().unwrap_or(100).min(100);
                if let Some(run) = state.running.get_mut(&task).filter(|r| r.number == number) {
                    run.lost += run.paced.elapsed() * (100 - run.percent as u32) / 100;
                    (run.percent, run.paced) = (percent, Instant::now());
                    self.record.brief(format!(
                        "{task} run {number} on {} works at {percent}%",
                        self.id
                    ));
                }
                done
            }
            "/api/hold" => {
                if let Some(at) = asked {
                    state.deadline_ms = state.deadline_ms.max(at.min(now + MAX_HOLD_MS));
                }
                let acked = body.get("acked_until").number().unwrap_or(0);
                state.finished.retain(|(end, ..)| *end > acked);
                let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.finished.is_empty() && !state.ended {
                    let now = Instant::now();
                    if now >= until {
                        break;
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                }
                if state.ended {
                    return None;
                }
                self.report(&state)
            }
            _ => Response::new(404, ""),
        })
    }

    fn report(&self, state: &State) -> Response {
        let shares = state
            .running
            .values()
            .filter(|r| r.fills)
            .map(|r| r.percent);
        let disturbance = DISTURBANCE_MS.load(Ordering::SeqCst) * shares.sum::<u64>() / 100;
        let tail_ms = TAIL_MS.load(Ordering::SeqCst) + disturbance;
        let running = state.running.iter().map(|(task, run)| {
            let percent = match run.length {
                Some(l) => (run.worked().as_millis() * 100 / l.as_millis().max(1)).min(99),
                None => 100,
            };
            format!(
                "[{},{},\"\",{percent},{}]",
                quote(task),
                run.number,
                if run.serves {
                    tail_ms
                } else {
                    run.cpu * run.percent / 100
                }
            )
        });
        let running: Vec<String> = running.collect();
        let finished = state
            .finished
            .iter()
            .take(500)
            .map(|(end, task, run, how)| format!("[{end},{},{run},\"{how}\",\"\"]", quote(task)));
        let finished: Vec<String> = finished.collect();
        Response::new(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                self.clock_ms(),
                self.born_ms,
                running.join(","),
                finished.join(",")
            ),
        )
    }
}
