//! The configuration that a scenario publishes.

use std::path::Path;

use serde_json::Value;
use serde_json::json;

/// A configuration under construction.
#[derive(Clone, Debug)]
pub(super) struct Document {
    value: Value,
}

impl Default for Document {
    fn default() -> Self {
        let value = json!({
            "deployment": "scenario",
            "zones": {}, "pools": {}, "queues": {}, "teams": {},
        });
        Self { value }
    }
}

impl Document {
    /// Sets fields of one item of a section; the others stay.
    pub(super) fn set(&mut self, section: &str, name: &str, fields: &Value) {
        let item = &mut self.value[section][name];
        if item.is_null() {
            *item = json!({});
        }
        if let (Value::Object(item), Value::Object(fields)) = (item, fields) {
            item.extend(fields.clone());
        }
    }

    /// Returns whether a queue's requests may run twice.
    pub(super) fn is_idempotent(&self, queue: &str) -> bool {
        self.value["queues"][queue]["idempotent"] == json!(true)
    }

    /// Takes the keys and switches of the configuration in force, which a whole document that is
    /// published later must not drop.
    pub(super) fn take_present(&mut self, present: &Value) {
        if let Some(teams) = present["teams"].as_object() {
            for (name, team) in teams {
                if !self.value["teams"][name].is_null() {
                    self.value["teams"][name]["keys"] = team["keys"].clone();
                }
            }
        }
        if present["automatic"].is_object() {
            self.value["automatic"] = present["automatic"].clone();
        }
    }

    /// Writes the document to a file.
    pub(super) fn write(&self, path: &Path) -> eyre::Result<()> {
        std::fs::write(path, serde_json::to_vec_pretty(&self.value)?)?;
        Ok(())
    }
}
