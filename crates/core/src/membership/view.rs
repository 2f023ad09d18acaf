//! The view of the targets in one entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;

use super::Bounds;
use super::Closed;
use super::ListedTarget;
use super::OpenTarget;
use super::target::Target;
use crate::maintenance::Maintenance;
use crate::maintenance::TargetView;
use crate::maintenance::Usage;

/// The targets that may get work, for the request path. It never changes once published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pools: BTreeMap<PoolName, Vec<OpenTarget>>,
    closed: BTreeMap<Closed, u32>,
}

impl Snapshot {
    /// Returns the targets of a pool that were open at the snapshot; use [`OpenTarget::enter`]
    /// before a start.
    pub fn open(&self, pool: &PoolName) -> &[OpenTarget] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the pools with open targets.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &[OpenTarget])> {
        self.pools
            .iter()
            .map(|(pool, targets)| (pool, targets.as_slice()))
    }

    /// Returns how many targets are closed for each reason.
    pub fn closed(&self) -> &BTreeMap<Closed, u32> {
        &self.closed
    }
}

/// The view of the targets of one zone in one entry.
///
/// The entry feeds it lists, answers, leases and the fold, and calls [`Membership::publish`] after
/// each of them.
#[derive(Debug, Default)]
pub struct Membership {
    bounds: Bounds,
    targets: BTreeMap<VmName, Target>,
    listed: Option<Instant>,
    folded: Option<Instant>,
    snapshot: Arc<ArcSwap<Snapshot>>,
}

impl Membership {
    /// Creates a view without targets.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Returns the place where snapshots are published.
    pub fn reader(&self) -> Arc<ArcSwap<Snapshot>> {
        Arc::clone(&self.snapshot)
    }

    /// Takes in the zone's targets of a list that describes the time `as_of`. A list that is not
    /// newer than the latest is ignored, so that a lagging answer does not reopen a target.
    pub fn on_list(&mut self, list: Vec<ListedTarget>, as_of: Instant) {
        if self.listed.is_some_and(|latest| as_of <= latest) {
            return;
        }
        self.listed = Some(as_of);
        for target in self.targets.values_mut() {
            target.listed = None;
        }
        for listed in list {
            let target = self.targets.entry(listed.vm.clone()).or_default();
            target.listed = Some(listed);
        }
        self.targets.retain(|_, target| {
            if target.listed.is_none() {
                // A published snapshot may still refer to the gate of a forgotten target.
                target.gate.set_closed(true);
            }
            target.listed.is_some() || target.gate.in_flight() > 0
        });
    }

    /// Takes in a report of a target. A report that is not newer than the latest is ignored.
    pub fn on_answer(&mut self, vm: &VmName, usage: Usage) {
        let Some(target) = self.targets.get_mut(vm) else {
            return;
        };
        let older = |latest: Usage| usage.as_of <= latest.as_of;
        if !target.usage.is_some_and(older) {
            target.usage = Some(usage);
        }
    }

    /// Takes in a lease that was granted or renewed, or its loss. `end` counts from before the
    /// request was sent, and `now` is the time at which the answer arrived, so that the time in
    /// which this entry alone may start work is never overstated.
    pub fn on_lease(&mut self, vm: &VmName, end: Option<Instant>, now: Instant) {
        let Some(target) = self.targets.get_mut(vm) else {
            return;
        };
        let unbroken = target.lease_end.is_some_and(|before| now < before);
        target.lease_since = match end {
            Some(_) if unbroken => target.lease_since,
            Some(_) => Some(now),
            None => None,
        };
        target.lease_end = end;
    }

    /// Takes in the fold, which was known to be at the log's head at `confirmed`: by a read that
    /// started then, or because every zone was heard since and none reaches the log.
    pub fn on_fold(&mut self, state: &Maintenance, confirmed: Instant) {
        self.folded = self.folded.max(Some(confirmed));
        for (vm, target) in &mut self.targets {
            let record = state.vm(vm);
            target.pool = record.map(|record| record.pool.clone());
            target.draining = record.is_some_and(|record| record.drain.is_some());
            target.out = record.is_some_and(|record| record.out.is_some());
        }
    }

    /// Tells whether a target may get work at `now`.
    ///
    /// # Errors
    ///
    /// Returns why the target is closed.
    pub fn check(&self, vm: &VmName, now: Instant) -> Result<OpenTarget, Closed> {
        let target = self.targets.get(vm).ok_or(Closed::Unknown)?;
        target.open(&self.bounds, self.folded, now)
    }

    /// Publishes the snapshot for the request path and closes the gates of closed targets.
    pub fn publish(&self, now: Instant) {
        let mut snapshot = Snapshot::default();
        for target in self.targets.values() {
            let open = target.open(&self.bounds, self.folded, now);
            target.gate.set_closed(open.is_err());
            match open {
                Ok(open) => {
                    let pool = snapshot.pools.entry(open.pool.clone()).or_default();
                    pool.push(open);
                }
                Err(reason) => *snapshot.closed.entry(reason).or_default() += 1,
            }
        }
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Returns what a drain of the target needs to know.
    pub fn target_view(&self, vm: &VmName, now: Instant) -> TargetView {
        let Some(target) = self.targets.get(vm) else {
            return TargetView::default();
        };
        let held = target.lease_end.is_some_and(|end| now < end);
        TargetView {
            lease_since: target.lease_since.filter(|_| held),
            in_flight: target.gate.in_flight(),
            usage: target.usage,
        }
    }
}
