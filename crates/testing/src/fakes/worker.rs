//! A worker over HTTP: leases on its own clock, tokens, runs and ends.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::http::Handler;
use super::http::HttpRequest;
use super::http::HttpResponse;

/// How often a waiting look checks for an end.
const POLL: Duration = Duration::from_millis(5);

/// The longest lease that is honoured, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;

/// How many ends one answer lists.
const ENDS: usize = 500;

/// What goes wrong at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Starts are carried out and not answered.
    pub unacked_starts: bool,
    /// Every run fails.
    pub fail_runs: bool,
}

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    until: Option<Instant>,
}

#[derive(Debug)]
struct State {
    begun: Instant,
    fencing_token: u64,
    deadline: u64,
    room: usize,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    highest: BTreeMap<String, u64>,
    task_starts: BTreeMap<String, u32>,
    faults: WorkerFaults,
}

/// A worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: String,
    pub(super) incarnation: u64,
    work: Duration,
    state: Mutex<State>,
}

impl Worker {
    /// Creates a worker with room for `room` tasks, each of which takes `work`.
    pub(super) fn new(id: &str, incarnation: u64, room: usize, work: Duration) -> Self {
        Self {
            id: id.to_owned(),
            incarnation,
            work,
            state: Mutex::new(State {
                begun: Instant::now(),
                fencing_token: 0,
                deadline: 0,
                room,
                running: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
                highest: BTreeMap::new(),
                task_starts: BTreeMap::new(),
                faults: WorkerFaults::default(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.work();
        state
    }

    pub(super) fn set_faults(&self, faults: WorkerFaults) {
        self.state().faults = faults;
    }

    /// Returns how often each task was started here.
    pub(super) fn task_starts(&self) -> BTreeMap<String, u32> {
        self.state().task_starts.clone()
    }

    fn start(&self, body: &Value) -> Option<HttpResponse> {
        let mut state = self.state();
        let unacked = state.faults.unacked_starts;
        let response = state.start(body, self.work);
        (!unacked).then_some(response)
    }

    async fn hold(&self, body: &Value) -> HttpResponse {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let until = Instant::now() + wait;
        if let Some(refusal) = self.state().hold(body) {
            return refusal;
        }
        while self.state().ended.is_empty() && Instant::now() < until {
            tokio::time::sleep(POLL).await;
        }
        self.state().lists(self.incarnation)
    }
}

impl State {
    fn clock(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends what is done, and everything once the lease has lapsed.
    fn work(&mut self) {
        let now = Instant::now();
        let lapsed = self.clock() >= self.deadline;
        let over: Vec<(String, u64, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, run)| {
                let done = run.until.is_some_and(|until| until <= now);
                let how = match (done, lapsed) {
                    (true, _) if self.faults.fail_runs => "failed",
                    (true, _) => "done",
                    (false, true) => "lapsed",
                    (false, false) => return None,
                };
                Some((task.clone(), run.number, how))
            })
            .collect();
        for (task, number, how) in over {
            self.end(task, number, how);
        }
    }

    fn end(&mut self, task: String, number: u64, how: &'static str) {
        self.running.remove(&task);
        let highest = self.highest.entry(task.clone()).or_insert(0);
        *highest = (*highest).max(number);
        self.ended.push((self.next_end, task, number, how));
        self.next_end += 1;
    }

    fn conflict(&self, reason: &str) -> HttpResponse {
        let body = json!({ "clock_ms": self.clock(), "reason": reason });
        HttpResponse::json(StatusCode::CONFLICT, &body)
    }

    fn refused(&mut self, body: &Value) -> Option<HttpResponse> {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.fencing_token {
            return Some(self.conflict("fence"));
        }
        self.fencing_token = token;
        None
    }

    fn extend(&mut self, body: &Value) {
        if let Some(deadline) = body["deadline_ms"].as_u64() {
            let most = self.clock() + MAX_HOLD_MS;
            self.deadline = self.deadline.max(deadline.min(most));
        }
    }

    fn start(&mut self, body: &Value, work: Duration) -> HttpResponse {
        let (Some(task), Some(number)) = (body["task"].as_str(), body["run_id"].as_u64()) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if let Some(refusal) = self.refused(body) {
            return refusal;
        }
        if body["deadline_ms"]
            .as_u64()
            .is_none_or(|d| d <= self.clock())
        {
            return self.conflict("late");
        }
        self.extend(body);
        let clock = json!({ "clock_ms": self.clock() });
        if self.running.get(task).is_some_and(|r| r.number == number) {
            return HttpResponse::json(StatusCode::OK, &clock);
        }
        if self.highest.get(task).is_some_and(|h| number <= *h) {
            return self.conflict("old");
        }
        if self.running.len() >= self.room {
            return self.conflict("room");
        }
        let lasts = body["spec"].as_str().is_some_and(|s| s.contains("lasting"));
        let run = Run {
            number,
            until: (!lasts).then(|| Instant::now() + work),
        };
        self.running.insert(task.to_owned(), run);
        *self.task_starts.entry(task.to_owned()).or_insert(0) += 1;
        HttpResponse::json(StatusCode::OK, &clock)
    }

    fn stop(&mut self, body: &Value) -> HttpResponse {
        let (Some(task), Some(number)) = (body["task"].as_str(), body["run_id"].as_u64()) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if let Some(refusal) = self.refused(body) {
            return refusal;
        }
        if self.running.get(task).is_some_and(|r| r.number == number) {
            self.end(task.to_owned(), number, "stopped");
        }
        let highest = self.highest.entry(task.to_owned()).or_insert(0);
        *highest = (*highest).max(number);
        HttpResponse::json(StatusCode::OK, &json!({ "clock_ms": self.clock() }))
    }

    fn hold(&mut self, body: &Value) -> Option<HttpResponse> {
        if let Some(refusal) = self.refused(body) {
            return Some(refusal);
        }
        self.extend(body);
        let acked = body["acked_until"].as_u64().unwrap_or(0);
        self.ended.retain(|(number, ..)| *number > acked);
        None
    }

    fn lists(&self, incarnation: u64) -> HttpResponse {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| json!([task, run.number, "", 100, 0]))
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .take(ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let body = json!({
            "clock_ms": self.clock(),
            "born": incarnation,
            "running": running,
            "finished": ended,
        });
        HttpResponse::json(StatusCode::OK, &body)
    }
}

/// Serves a worker.
pub(super) struct WorkerHandler(pub(super) Arc<Worker>);

#[async_trait]
impl Handler for WorkerHandler {
    async fn handle(&self, request: HttpRequest) -> Option<HttpResponse> {
        let expected = request.headers.get("lavenderhollow-expected-instance");
        if expected.is_some_and(|id| id.as_bytes() != self.0.id.as_bytes()) {
            return Some(HttpResponse::empty(StatusCode::MISDIRECTED_REQUEST));
        }
        let body = request.json();
        match request.path.as_str() {
            "/api/run-start" => self.0.start(&body),
            "/api/run-stop" => Some(self.0.state().stop(&body)),
            "/api/hold" => Some(self.0.hold(&body).await),
            "/api/pace" => {
                let response = json!({ "clock_ms": self.0.state().clock() });
                Some(HttpResponse::json(StatusCode::OK, &response))
            }
            _ => Some(HttpResponse::empty(StatusCode::NOT_FOUND)),
        }
    }
}
