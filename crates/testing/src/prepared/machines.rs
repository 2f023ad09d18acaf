//! The interface of the machines over HTTP.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::http::Answer;
use super::http::Call;
use super::http::Handler;

/// The pool whose machines are off.
pub const SPARE_POOL: &str = "spare-pool";

/// A machine.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub(super) pool: String,
    pub(super) worker: String,
    pub(super) fence: u64,
    pub(super) capacity: Value,
}

/// The machines, and which of them had their upkeep in which wave.
#[derive(Debug, Default)]
pub(super) struct Machines {
    pub(super) machines: Mutex<BTreeMap<String, Machine>>,
    kept_up: Mutex<BTreeSet<(u64, String)>>,
}

impl Machines {
    pub(super) fn all(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the machines that had their upkeep, with the wave.
    pub(super) fn kept_up(&self) -> BTreeSet<(u64, String)> {
        self.kept_up
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the pool of a worker's machine.
    pub(super) fn pool_of(&self, worker: &str) -> Option<String> {
        let all = self.all();
        let machine = all.values().find(|m| m.worker == worker);
        machine.map(|m| m.pool.clone())
    }

    fn list(&self) -> Answer {
        let rows: Vec<Value> = self
            .all()
            .iter()
            .map(|(name, machine)| {
                let worker = (machine.pool != SPARE_POOL).then_some(&machine.worker);
                json!({
                    "machine": name, "pool": machine.pool, "state": "up", "id": worker,
                    "capacity": machine.capacity,
                })
            })
            .collect();
        let body = json!({ "machines": rows, "next_page_token": null });
        Answer::json(StatusCode::OK, &body)
    }

    fn upkeep(&self, call: &Call) -> Answer {
        let Some(wave) = call.json()["wave"].as_u64() else {
            return Answer::empty(StatusCode::BAD_REQUEST);
        };
        self.order(call, |name, _| {
            self.kept_up
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert((wave, name.to_owned()));
        })
    }

    fn move_to(&self, call: &Call) -> Answer {
        let body = call.json();
        let Some(pool) = body["pool"].as_str() else {
            return Answer::empty(StatusCode::BAD_REQUEST);
        };
        self.order(call, |_, machine| pool.clone_into(&mut machine.pool))
    }

    /// Carries an order out unless a higher token was seen for the machine.
    fn order(&self, call: &Call, effect: impl FnOnce(&str, &mut Machine)) -> Answer {
        let body = call.json();
        let Some(name) = body["machine"].as_str() else {
            return Answer::empty(StatusCode::BAD_REQUEST);
        };
        let token = call.headers.get("lavenderhollow-fencing-token");
        let token = token.and_then(|t| t.to_str().ok()?.parse().ok());
        let mut machines = self.all();
        let Some(machine) = machines.get_mut(name) else {
            return Answer::empty(StatusCode::BAD_REQUEST);
        };
        if token.is_none_or(|t: u64| t < machine.fence) {
            let body = json!({ "reason": "fence" });
            return Answer::json(StatusCode::CONFLICT, &body);
        }
        machine.fence = token.unwrap_or(0);
        effect(name, machine);
        Answer::json(StatusCode::OK, &json!({}))
    }
}

/// Serves the machines.
pub(super) struct MachinesHandler(pub(super) std::sync::Arc<Machines>);

#[async_trait]
impl Handler for MachinesHandler {
    async fn answer(&self, call: Call) -> Option<Answer> {
        Some(match (&call.method, call.path.as_str()) {
            (&Method::GET, "/api/machines") => self.0.list(),
            (&Method::POST, "/api/machine-upkeep") => self.0.upkeep(&call),
            (&Method::POST, "/api/machine-move") => self.0.move_to(&call),
            _ => Answer::empty(StatusCode::NOT_FOUND),
        })
    }
}
