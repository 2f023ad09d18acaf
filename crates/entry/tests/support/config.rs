//! Configurations of a small deployment.

use lavenderhollow_config::Key;
use serde_json::Value;
use serde_json::json;

/// The home zone of every team.
pub(crate) const HOME: &str = "east";

/// The key of the team `harbour`.
pub(crate) const HARBOUR_KEY: &str = "harbour-key-of-the-tests";

/// The key of the team `school`.
pub(crate) const SCHOOL_KEY: &str = "school-key-of-the-tests";

/// A configuration document with one pool `main` and these queues:
///
/// | Queue | Keyed | Idempotent |
/// |---|---|---|
/// | `renewals` | yes | yes |
/// | `fees` | yes | no |
/// | `notices` | open to all | yes |
/// | `giant` | yes | yes, but larger than any worker |
#[derive(Clone, Debug)]
pub(crate) struct ConfigText {
    document: Value,
}

impl ConfigText {
    /// Describes a deployment with these zones and default limits.
    pub(crate) fn new(zones: &[&str]) -> Self {
        let zones: serde_json::Map<_, _> = zones
            .iter()
            .map(|zone| ((*zone).to_owned(), json!({"region": "coast"})))
            .collect();
        let document = json!({
            "deployment": "tests",
            "zones": zones,
            "pools": {"main": {"max_unavailable": 1}},
            "queues": {
                "renewals": queue(true, false),
                "fees": queue(false, false),
                "notices": queue(true, true),
                "giant": queue(true, false),
            },
            "teams": {
                "harbour": team(HARBOUR_KEY),
                "school": team(SCHOOL_KEY),
            },
        });
        let giant = json!({"milli_cores": 900_000, "memory_mib": 1024, "accelerators": 0});
        Self { document }.set("/queues/giant", "size", giant)
    }

    /// Sets a field of the object at a JSON pointer.
    pub(crate) fn set(mut self, pointer: &str, field: &str, value: Value) -> Self {
        if let Some(Value::Object(fields)) = self.document.pointer_mut(pointer) {
            fields.insert(field.to_owned(), value);
        }
        self
    }

    /// Returns the document.
    pub(crate) fn document(&self) -> &Value {
        &self.document
    }
}

fn queue(idempotent: bool, open: bool) -> Value {
    json!({
        "pool": "main",
        "open": open,
        "idempotent": idempotent,
        "deadline_ms": 5000,
        "run_time_ms": 20,
        "size": {"milli_cores": 100, "memory_mib": 64, "accelerators": 0},
    })
}

fn team(key: &str) -> Value {
    json!({
        "share": 1,
        "limit": 64,
        "home": HOME,
        "keys": {"first": Key::from_text(key).hash()},
    })
}
