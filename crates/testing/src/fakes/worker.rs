//! A fake of a worker, served over HTTP: it runs tasks, keeps the lease on its own clock, checks
//! fencing tokens and reports finished runs.

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

/// How often a long poll checks for finished runs.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The longest lease that a worker accepts, in milliseconds from the time of the request.
const MAX_LEASE_MS: u64 = 10_000;

/// The reading of the clock when the first incarnation starts, far ahead of that of a later one.
const FIRST_CLOCK_MS: u64 = 1_000_000;

/// The largest number of finished runs that one response lists.
const MAX_FINISHED: usize = 500;

/// The faults that a worker injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Starts are carried out and get no response; the connection is closed.
    pub unacked_starts: bool,
    /// Every run fails.
    pub fail_runs: bool,
    /// Polls that wait for a response while the worker restarts are carried out by its next
    /// incarnation after this time, without a response.
    pub carried_over: Option<Duration>,
    /// Starts and polls get no response, and are carried out after this time by the incarnation that
    /// is there then.
    pub delay: Option<Duration>,
    /// The worker runs on, and no call reaches it.
    pub cut_off: bool,
    /// How long the response to a start takes.
    pub start_time: Duration,
    /// Starts without a ticket are rejected.
    pub needs_ticket: bool,
}

#[derive(Clone, Debug)]
struct Run {
    /// The number of the run among the runs of its task; `run_id` on the wire.
    run_number: u64,
    /// When the run is done; `None` for a long-running task.
    finish_at: Option<Instant>,
}

#[derive(Debug)]
struct State {
    /// The start of the current incarnation; `born` on the wire.
    incarnation: u64,
    /// The incarnation that the registration names.
    registered_incarnation: u64,
    started_at: Instant,
    /// The reading of the clock at `started_at`.
    first_clock_ms: u64,
    fencing_token: u64,
    /// When the lease expires, in milliseconds on the clock of the worker.
    lease_deadline: u64,
    slots: usize,
    running: BTreeMap<String, Run>,
    /// The unacknowledged finished runs: sequence number, task, run number and outcome.
    finished: Vec<(u64, String, u64, &'static str)>,
    next_sequence: u64,
    /// The highest number of the finished and stopped runs of each task. A start with this number
    /// or a lower one is rejected.
    highest_run: BTreeMap<String, u64>,
    /// The polls that the current incarnation received.
    polls: usize,
    /// The starts that have no response yet, and the most that there were at the same time.
    pending_starts: usize,
    start_peak: usize,
    /// How often each task was started, by all incarnations.
    task_starts: BTreeMap<String, u32>,
    /// The starts that were rejected for want of a ticket, by all incarnations.
    starts_without_ticket: usize,
    faults: WorkerFaults,
}

/// A worker whose tasks do nothing but take time. A task whose payload (`spec` on the wire)
/// contains `lasting` is long-running: it runs until it is stopped.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: String,
    task_duration: Duration,
    state: Mutex<State>,
}

impl Worker {
    /// Creates a worker that runs up to `slots` tasks at once, each for `task_duration`.
    pub(super) fn new(id: &str, incarnation: u64, slots: usize, task_duration: Duration) -> Self {
        let state = State {
            first_clock_ms: FIRST_CLOCK_MS,
            ..State::new(incarnation, slots)
        };
        Self {
            id: id.to_owned(),
            task_duration,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance();
        state
    }

    pub(super) fn set_faults(&self, faults: WorkerFaults) {
        self.state().faults = faults;
    }

    /// Restarts the worker under its id and address. The new incarnation runs and knows nothing; the
    /// registration names the earlier one until [`Worker::register`].
    pub(super) fn restart(&self) {
        let mut state = self.state();
        let new = State::new(state.incarnation + 1, state.slots);
        *state = State {
            registered_incarnation: state.registered_incarnation,
            task_starts: std::mem::take(&mut state.task_starts),
            starts_without_ticket: state.starts_without_ticket,
            faults: state.faults,
            ..new
        };
    }

    /// Lets the registration name the current incarnation.
    pub(super) fn register(&self) {
        let mut state = self.state();
        state.registered_incarnation = state.incarnation;
    }

    pub(super) fn registered_incarnation(&self) -> u64 {
        self.state().registered_incarnation
    }

    /// Returns whether nothing runs and all finished runs were acknowledged.
    pub(super) fn is_settled(&self) -> bool {
        let state = self.state();
        state.running.is_empty() && state.finished.is_empty()
    }

    /// Returns the number of polls that the current incarnation received.
    pub(super) fn poll_count(&self) -> usize {
        self.state().polls
    }

    /// Returns how often each task was started on this worker, by all of its incarnations.
    pub(super) fn task_starts(&self) -> BTreeMap<String, u32> {
        self.state().task_starts.clone()
    }

    /// Returns the tasks that run on the worker.
    pub(super) fn running_tasks(&self) -> Vec<String> {
        self.state().running.keys().cloned().collect()
    }

    /// Returns how many starts were rejected for want of a ticket, by all incarnations.
    pub(super) fn starts_without_ticket(&self) -> usize {
        self.state().starts_without_ticket
    }

    /// Returns the most starts that had no response at the same time.
    pub(super) fn start_peak(&self) -> usize {
        self.state().start_peak
    }

    async fn start(&self, body: &Value) -> Option<HttpResponse> {
        let time = {
            let mut state = self.state();
            state.pending_starts += 1;
            state.start_peak = state.start_peak.max(state.pending_starts);
            state.faults.start_time
        };
        tokio::time::sleep(time).await;
        let mut state = self.state();
        state.pending_starts = state.pending_starts.saturating_sub(1);
        let unacked = state.faults.unacked_starts;
        let response = state.start(body, self.task_duration);
        (!unacked).then_some(response)
    }

    /// Handles a poll. A restart during its wait closes the connection.
    async fn poll(&self, body: &Value) -> Option<HttpResponse> {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let incarnation = {
            let mut state = self.state();
            if let Some(rejection) = state.poll(body) {
                return Some(rejection);
            }
            state.incarnation
        };
        loop {
            {
                let state = self.state();
                if state.incarnation != incarnation {
                    break;
                }
                if !state.finished.is_empty() || Instant::now() >= deadline {
                    return Some(state.report());
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let delay = self.state().faults.carried_over;
        if let Some(delay) = delay {
            tokio::time::sleep(delay).await;
            self.state().poll(body);
        }
        None
    }
}

impl State {
    fn new(incarnation: u64, slots: usize) -> Self {
        Self {
            incarnation,
            registered_incarnation: incarnation,
            started_at: Instant::now(),
            first_clock_ms: 0,
            fencing_token: 0,
            lease_deadline: 0,
            slots,
            running: BTreeMap::new(),
            finished: Vec::new(),
            next_sequence: 1,
            highest_run: BTreeMap::new(),
            polls: 0,
            pending_starts: 0,
            start_peak: 0,
            task_starts: BTreeMap::new(),
            starts_without_ticket: 0,
            faults: WorkerFaults::default(),
        }
    }

    fn clock_ms(&self) -> u64 {
        let elapsed = u64::try_from(self.started_at.elapsed().as_millis());
        elapsed.map_or(u64::MAX, |elapsed| self.first_clock_ms + elapsed)
    }

    /// Finishes the runs whose time is over, and all runs once the lease has expired.
    fn advance(&mut self) {
        let now = Instant::now();
        let expired = self.clock_ms() >= self.lease_deadline;
        let ending: Vec<(String, u64, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, run)| {
                let done = run.finish_at.is_some_and(|at| at <= now);
                let outcome = match (done, expired) {
                    (true, _) if self.faults.fail_runs => "failed",
                    (true, _) => "done",
                    (false, true) => "lapsed",
                    (false, false) => return None,
                };
                Some((task.clone(), run.run_number, outcome))
            })
            .collect();
        for (task, run_number, outcome) in ending {
            self.finish_run(task, run_number, outcome);
        }
    }

    fn finish_run(&mut self, task: String, run_number: u64, outcome: &'static str) {
        self.running.remove(&task);
        let highest_run = self.highest_run.entry(task.clone()).or_insert(0);
        *highest_run = (*highest_run).max(run_number);
        self.finished
            .push((self.next_sequence, task, run_number, outcome));
        self.next_sequence += 1;
    }

    fn conflict(&self, reason: &str) -> HttpResponse {
        let body = json!({ "clock_ms": self.clock_ms(), "reason": reason });
        HttpResponse::json(StatusCode::CONFLICT, &body)
    }

    fn check_token(&mut self, body: &Value) -> Option<HttpResponse> {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.fencing_token {
            return Some(self.conflict("fence"));
        }
        self.fencing_token = token;
        None
    }

    fn extend_lease(&mut self, body: &Value) {
        if let Some(requested) = body["deadline_ms"].as_u64() {
            let latest = self.clock_ms() + MAX_LEASE_MS;
            self.lease_deadline = self.lease_deadline.max(requested.min(latest));
        }
    }

    fn start(&mut self, body: &Value, task_duration: Duration) -> HttpResponse {
        let (Some(task), Some(run_number)) = (body["task"].as_str(), body["run_id"].as_u64())
        else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if let Some(rejection) = self.check_token(body) {
            return rejection;
        }
        if body["deadline_ms"]
            .as_u64()
            .is_none_or(|d| d <= self.clock_ms())
        {
            return self.conflict("late");
        }
        self.extend_lease(body);
        let accepted = json!({ "clock_ms": self.clock_ms() });
        if self
            .running
            .get(task)
            .is_some_and(|r| r.run_number == run_number)
        {
            return HttpResponse::json(StatusCode::OK, &accepted);
        }
        if self.highest_run.get(task).is_some_and(|h| run_number <= *h) {
            return self.conflict("old");
        }
        if self.faults.needs_ticket && !body["ticket"].is_string() {
            self.starts_without_ticket += 1;
            return self.conflict("ticket");
        }
        if self.running.len() >= self.slots {
            return self.conflict("room");
        }
        let long_running = body["spec"].as_str().is_some_and(|s| s.contains("lasting"));
        let run = Run {
            run_number,
            finish_at: (!long_running).then(|| Instant::now() + task_duration),
        };
        self.running.insert(task.to_owned(), run);
        *self.task_starts.entry(task.to_owned()).or_insert(0) += 1;
        HttpResponse::json(StatusCode::OK, &accepted)
    }

    fn stop(&mut self, body: &Value) -> HttpResponse {
        let (Some(task), Some(run_number)) = (body["task"].as_str(), body["run_id"].as_u64())
        else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if let Some(rejection) = self.check_token(body) {
            return rejection;
        }
        if self
            .running
            .get(task)
            .is_some_and(|r| r.run_number == run_number)
        {
            self.finish_run(task.to_owned(), run_number, "stopped");
        }
        let highest_run = self.highest_run.entry(task.to_owned()).or_insert(0);
        *highest_run = (*highest_run).max(run_number);
        HttpResponse::json(StatusCode::OK, &json!({ "clock_ms": self.clock_ms() }))
    }

    fn poll(&mut self, body: &Value) -> Option<HttpResponse> {
        self.polls += 1;
        if let Some(rejection) = self.check_token(body) {
            return Some(rejection);
        }
        self.extend_lease(body);
        let acked_until = body["acked_until"].as_u64().unwrap_or(0);
        self.finished
            .retain(|(sequence, ..)| *sequence > acked_until);
        None
    }

    fn report(&self) -> HttpResponse {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| json!([task, run.run_number, "", 100, 0]))
            .collect();
        let finished: Vec<Value> = self
            .finished
            .iter()
            .take(MAX_FINISHED)
            .map(|(sequence, task, run_number, outcome)| {
                json!([sequence, task, run_number, outcome, ""])
            })
            .collect();
        let body = json!({
            "clock_ms": self.clock_ms(),
            "born": self.incarnation,
            "running": running,
            "finished": finished,
        });
        HttpResponse::json(StatusCode::OK, &body)
    }
}

/// Serves the API of a worker.
pub(super) struct WorkerHandler(pub(super) Arc<Worker>);

#[async_trait]
impl Handler for WorkerHandler {
    async fn handle(&self, request: HttpRequest) -> Option<HttpResponse> {
        let expected = request.headers.get("lavenderhollow-expected-instance");
        if expected.is_some_and(|id| id.as_bytes() != self.0.id.as_bytes()) {
            return Some(HttpResponse::empty(StatusCode::MISDIRECTED_REQUEST));
        }
        let body = request.json();
        let faults = self.0.state().faults;
        if faults.cut_off {
            return std::future::pending().await;
        }
        if let Some(delay) = faults.delay {
            let worker = Arc::clone(&self.0);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let mut state = worker.state();
                // The responses are lost.
                match request.path.as_str() {
                    "/api/run-start" => drop(state.start(&body, worker.task_duration)),
                    "/api/hold" => drop(state.poll(&body)),
                    _ => {}
                }
            });
            return None;
        }
        match request.path.as_str() {
            "/api/run-start" => self.0.start(&body).await,
            "/api/run-stop" => Some(self.0.state().stop(&body)),
            "/api/hold" => self.0.poll(&body).await,
            "/api/pace" => {
                let response = json!({ "clock_ms": self.0.state().clock_ms() });
                Some(HttpResponse::json(StatusCode::OK, &response))
            }
            _ => Some(HttpResponse::empty(StatusCode::NOT_FOUND)),
        }
    }
}
