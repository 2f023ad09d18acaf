//! Evidence that separates failing jobs from failing workers.

use std::time::Instant;

use lavenderhollow_types::VmName;

/// Identifies what a caller submits again and again, for example a digest of queue, team and body.
pub type JobKey = u64;

/// What to do after an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Refuse the job from now on.
    Quarantine(JobKey),
    /// Give the worker no more work but probes.
    TakeOut(VmName),
    /// Give the worker work again.
    Restore(VmName),
}

/// The evidence of one pool.
#[derive(Clone, Debug, Default)]
pub struct Evidence {}

impl Evidence {
    /// Sets the workers of the pool.
    pub fn set_workers(&mut self, _workers: &[VmName]) {
        todo!()
    }
    /// Records an outcome.
    pub fn record(
        &mut self,
        _now: Instant,
        _job: JobKey,
        _worker: &VmName,
        _ok: bool,
    ) -> Vec<Action> {
        todo!()
    }
    /// Tells whether a job is refused.
    pub fn is_quarantined(&self, _job: JobKey) -> bool {
        todo!()
    }
    /// Tells whether a worker may get work now; a worker on probation gets one job at a time.
    pub fn is_open(&self, _now: Instant, _worker: &VmName) -> bool {
        todo!()
    }
    /// Lets a job run again.
    pub fn pardon(&mut self, _job: JobKey) {
        todo!()
    }
}
