//! The platform's list of machines, as it was read last.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::Clock;

use crate::backend::Machine;
use crate::backend::Machines;

/// The list that was read last, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct MachineList {
    machines: Arc<[Machine]>,
    /// When the last read was started; `None` if the list has to be read again.
    read_at: Option<Instant>,
}

impl MachineList {
    /// Returns whether the list is younger than `max_age`.
    pub(crate) fn is_recent(&self, now: Instant, max_age: Duration) -> bool {
        let age = self.read_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < max_age)
    }

    /// Returns the list, which is read again unless it is younger than `max_age`. Returns `None` if
    /// it can't be read.
    pub(crate) async fn get(
        &mut self,
        interface: &dyn Machines,
        clock: &dyn Clock,
        max_age: Duration,
    ) -> Option<Arc<[Machine]>> {
        let now = clock.now();
        if !self.is_recent(now, max_age) {
            let Some(machines) = interface.list().await else {
                log::warn!("machine_list_unavailable");
                return None;
            };
            self.machines = machines.into();
            self.read_at = Some(now);
        }
        Some(Arc::clone(&self.machines))
    }

    /// Requires that the list is read again, because a command has changed it.
    pub(crate) fn invalidate(&mut self) {
        self.read_at = None;
    }
}
