//! A fake of the machine interface: the list of machines, maintenance and moves between pools.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::http::Handler;
use super::http::HttpRequest;
use super::http::HttpResponse;

/// The pool whose machines are switched off, so that their workers are not registered.
pub const STANDBY_POOL: &str = "spare-pool";

/// A machine, the worker on it and the highest fencing token that it has seen.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub(super) pool: String,
    pub(super) worker: String,
    pub(super) fencing_token: u64,
    pub(super) capacity: Value,
    pub(super) zone: String,
}

/// The machines by name, and which of them had maintenance in which wave.
#[derive(Debug, Default)]
pub(super) struct Machines {
    pub(super) machines: Mutex<BTreeMap<String, Machine>>,
    maintained: Mutex<BTreeSet<(u64, String)>>,
    pub(super) calls: Mutex<CommandCalls>,
}

/// The commands that are being answered.
#[derive(Debug, Default)]
pub(super) struct CommandCalls {
    /// How long each command takes.
    pub(super) delay: Duration,
    current: usize,
    /// The most commands that were answered at the same time.
    pub(super) peak: usize,
}

impl Machines {
    pub(super) fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the commands that are being answered.
    pub(super) fn calls(&self) -> MutexGuard<'_, CommandCalls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for as long as a command takes.
    async fn delay_command(&self) {
        let delay = {
            let mut calls = self.calls();
            calls.current += 1;
            calls.peak = calls.peak.max(calls.current);
            calls.delay
        };
        tokio::time::sleep(delay).await;
        self.calls().current -= 1;
    }

    /// Returns the machines that had maintenance, each with the number of its wave.
    pub(super) fn maintained(&self) -> BTreeSet<(u64, String)> {
        self.maintained
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the pool of the machine that a worker runs on.
    pub(super) fn pool_of(&self, worker: &str) -> Option<String> {
        let machines = self.lock();
        let machine = machines.values().find(|m| m.worker == worker);
        machine.map(|m| m.pool.clone())
    }

    /// Returns the zone of the machine that a worker runs on.
    pub(super) fn zone_of(&self, worker: &str) -> Option<String> {
        let machines = self.lock();
        let machine = machines.values().find(|m| m.worker == worker);
        machine.map(|m| m.zone.clone())
    }

    /// Sets the zone of the machine that a worker runs on.
    pub(super) fn set_zone(&self, worker: &str, zone: &str) {
        let mut machines = self.lock();
        if let Some(machine) = machines.values_mut().find(|m| m.worker == worker) {
            zone.clone_into(&mut machine.zone);
        }
    }

    fn list(&self) -> HttpResponse {
        let rows: Vec<Value> = self
            .lock()
            .iter()
            .map(|(name, machine)| {
                let worker = (machine.pool != STANDBY_POOL).then_some(&machine.worker);
                json!({
                    "machine": name, "pool": machine.pool, "state": "up", "id": worker,
                    "capacity": machine.capacity, "zone": machine.zone,
                })
            })
            .collect();
        let body = json!({ "machines": rows, "next_page_token": null });
        HttpResponse::json(StatusCode::OK, &body)
    }

    fn start_maintenance(&self, request: &HttpRequest) -> HttpResponse {
        let Some(wave) = request.json()["wave"].as_u64() else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        self.apply_command(request, |name, _| {
            self.maintained
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert((wave, name.to_owned()));
        })
    }

    fn move_machine(&self, request: &HttpRequest) -> HttpResponse {
        let body = request.json();
        let Some(pool) = body["pool"].as_str() else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        self.apply_command(request, |_, machine| pool.clone_into(&mut machine.pool))
    }

    /// Applies a command, or rejects it with 409 when its fencing token is lower than one that the
    /// machine has seen.
    fn apply_command(
        &self,
        request: &HttpRequest,
        effect: impl FnOnce(&str, &mut Machine),
    ) -> HttpResponse {
        let body = request.json();
        let Some(name) = body["machine"].as_str() else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let token = request.headers.get("lavenderhollow-fencing-token");
        let token = token.and_then(|t| t.to_str().ok()?.parse().ok());
        let mut machines = self.lock();
        let Some(machine) = machines.get_mut(name) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if token.is_none_or(|t: u64| t < machine.fencing_token) {
            let body = json!({ "reason": "fence" });
            return HttpResponse::json(StatusCode::CONFLICT, &body);
        }
        machine.fencing_token = token.unwrap_or(0);
        effect(name, machine);
        HttpResponse::json(StatusCode::OK, &json!({}))
    }
}

/// Serves the machine interface.
pub(super) struct MachinesHandler(pub(super) std::sync::Arc<Machines>);

#[async_trait]
impl Handler for MachinesHandler {
    async fn handle(&self, request: HttpRequest) -> Option<HttpResponse> {
        if request.method == Method::POST {
            self.0.delay_command().await;
        }
        Some(match (&request.method, request.path.as_str()) {
            (&Method::GET, "/api/machines") => self.0.list(),
            (&Method::POST, "/api/machine-upkeep") => self.0.start_maintenance(&request),
            (&Method::POST, "/api/machine-move") => self.0.move_machine(&request),
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        })
    }
}
