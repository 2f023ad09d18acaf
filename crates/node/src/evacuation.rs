//! The zones that operators have evacuated, as known to a process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use arc_swap::ArcSwap;
use lavenderhollow_shard::Name;

/// The evacuated zones of a node process, shared by its parts and replaced as a whole.
///
/// They stay in force until a read of the operators' topic shows that the requests were withdrawn:
/// while the topic can't be read, the last known requests hold.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    zones: ArcSwap<BTreeSet<Name>>,
    /// When this process learned of each evacuation.
    since: Mutex<BTreeMap<Name, Instant>>,
}

impl EvacuatedZones {
    /// Returns the evacuated zones. The same value is returned until they change.
    pub fn load(&self) -> Arc<BTreeSet<Name>> {
        self.zones.load_full()
    }

    /// Replaces the evacuated zones, and logs which evacuations have begun or ended.
    pub fn update(&self, now: Instant, zones: BTreeSet<Name>) {
        let previous = self.zones.load_full();
        if *previous == zones {
            return;
        }
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        for zone in zones.difference(&previous) {
            since.insert(Arc::clone(zone), now);
            set_gauge(zone, true);
            log::info!(zone = &**zone; "zone_evacuation_started");
        }
        for zone in previous.difference(&zones) {
            let started = since.remove(zone).unwrap_or(now);
            let duration = now.saturating_duration_since(started);
            set_gauge(zone, false);
            log::info!(
                zone = &**zone, duration_ms = duration.as_millis() as u64; "zone_evacuation_ended"
            );
        }
        self.zones.store(Arc::new(zones));
    }
}

/// Sets the gauge that tells whether a zone is evacuated.
fn set_gauge(zone: &Name, evacuated: bool) {
    let value = if evacuated { 1.0 } else { 0.0 };
    metrics::gauge!("zone_evacuated", "zone" => zone.to_string()).set(value);
}
