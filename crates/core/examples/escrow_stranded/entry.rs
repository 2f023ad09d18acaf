//! One entry of the simulation.

use std::collections::VecDeque;
use std::time::SystemTime;

use lavenderhollow_core::escrow::Meter;
use lavenderhollow_core::escrow::Slot;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;

/// A running task: the step in which it ends, and its slot.
pub(crate) struct Task {
    end: u64,
    _slot: Slot,
}

#[derive(Default)]
pub(crate) struct Entry {
    pub(crate) id: Option<Incarnation>,
    pub(crate) meter: Meter,
    /// Steps in which waiting requests give up.
    pub(crate) waiting: VecDeque<u64>,
    pub(crate) tasks: Vec<Task>,
    /// Records that were read while the entry was paused.
    pub(crate) settled: Vec<RecordId>,
    /// The entry does nothing until this step.
    pub(crate) paused: u64,
    /// When the VM went.
    pub(crate) gone: Option<SystemTime>,
}

impl Entry {
    pub(crate) fn is_active(&self, step: u64) -> bool {
        self.gone.is_none() && self.paused <= step
    }

    /// Ends tasks and starts waiting requests; returns the numbers of started and lost ones.
    pub(crate) fn work(&mut self, step: u64, run: u64) -> (u64, u64) {
        self.tasks.retain(|task| task.end > step);
        if !self.is_active(step) {
            return (0, 0);
        }
        let before = self.waiting.len();
        self.waiting.retain(|end| *end > step);
        let lost = (before - self.waiting.len()) as u64;
        let mut started = 0;
        while !self.waiting.is_empty()
            && let Some(slot) = self.meter.try_take()
        {
            self.waiting.pop_front();
            let end = step + run;
            self.tasks.push(Task { end, _slot: slot });
            started += 1;
        }
        (started, lost)
    }
}
