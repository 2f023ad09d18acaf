//! The workers of a shard's pools, with sums for each pool that are kept up to date.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::btree_map::Entry;
use std::mem;
use std::sync::Arc;
use std::time::Instant;

use crate::dispatch::PlacementStats;
use crate::job::Name;
use crate::job::Resources;
use crate::worker::Worker;

/// The workers of a pool that are schedulable or in evacuated zones.
#[derive(Debug, Default)]
struct PoolWorkers {
    capacity: PoolCapacity,
    /// The number of workers in evacuated zones.
    evacuated: usize,
    /// The ids of the schedulable workers by free processor time, in millicores.
    by_free: BTreeMap<u64, BTreeSet<Name>>,
}

/// The processor time of a pool's workers, in millicores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolCapacity {
    /// What the schedulable workers offer.
    pub(crate) capacity: u64,
    /// What is allocated to tasks on the schedulable workers.
    pub(crate) used: u64,
    /// What is allocated to long-running tasks on the workers of evacuated zones.
    pub(crate) evacuated: u64,
}

/// What a worker that is schedulable or in an evacuated zone adds to the sums of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Counted {
    pool: Name,
    capacity: Resources,
    used: Resources,
    /// The part of `used` that is allocated to long-running tasks.
    long_running: Resources,
    evacuated: bool,
}

impl Counted {
    fn of(worker: &Worker) -> Self {
        Self {
            evacuated: worker.evacuated,
            pool: Arc::clone(&worker.info.pool),
            capacity: worker.info.capacity,
            used: worker.used,
            long_running: worker.long_running,
        }
    }

    /// Returns the free processor time, in millicores.
    fn free_cpu(&self) -> u64 {
        self.capacity.cpu.saturating_sub(self.used.cpu)
    }
}

/// A worker, and what the sums contain of it.
#[derive(Debug)]
struct Slot {
    worker: Worker,
    /// Whether the worker is in the list of changed ones.
    changed: bool,
    /// Absent while the worker is neither schedulable nor in an evacuated zone.
    entry: Option<Counted>,
}

/// The workers by id.
///
/// A worker that was accessed for a change is counted anew by the next [`Workers::update`], so that
/// the sums need no walk over all workers.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    slots: BTreeMap<Name, Slot>,
    changed: Vec<Name>,
    /// When the backoff of a worker ends that is not schedulable before.
    backoffs: BTreeSet<(Instant, Name)>,
    pools: BTreeMap<Name, PoolWorkers>,
    /// Whether an entry has changed since [`Workers::take_change`].
    entry_changed: bool,
}

impl Workers {
    /// Returns whether a schedulable worker or its usage has changed since the last call, as of the
    /// last [`Workers::update`].
    pub(crate) fn take_change(&mut self) -> bool {
        mem::take(&mut self.entry_changed)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Worker> {
        self.slots.get(id).map(|s| &s.worker)
    }

    /// Returns a worker for a change.
    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        let slot = self.slots.get_mut(id)?;
        if !mem::replace(&mut slot.changed, true) {
            self.changed.push(Arc::clone(&slot.worker.info.id));
        }
        Some(&mut slot.worker)
    }

    /// Returns all workers in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, &Worker)> {
        self.slots.iter().map(|(id, slot)| (id, &slot.worker))
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Worker> {
        self.slots.values().map(|slot| &slot.worker)
    }

    /// Adds a worker under its id.
    pub(crate) fn insert(&mut self, worker: Worker) {
        let id = Arc::clone(&worker.info.id);
        self.remove(&id);
        self.changed.push(Arc::clone(&id));
        let slot = Slot {
            worker,
            changed: true,
            entry: None,
        };
        self.slots.insert(id, slot);
    }

    pub(crate) fn remove(&mut self, id: &str) -> Option<Worker> {
        let mut slot = self.slots.remove(id)?;
        if let Some(entry) = slot.entry.take() {
            self.entry_changed = true;
            self.uncount(&slot.worker.info.id, &entry);
        }
        Some(slot.worker)
    }

    /// Counts the workers anew that have changed or whose backoff has ended.
    pub(crate) fn update(&mut self, now: Instant, stats: &mut PlacementStats) {
        while let Some((until, _)) = self.backoffs.first()
            && *until <= now
            && let Some((_, id)) = self.backoffs.pop_first()
        {
            self.changed.push(id);
        }
        while let Some(id) = self.changed.pop() {
            stats.counted += 1;
            self.count(now, &id);
        }
    }

    /// Returns the sums of a pool as of the last [`Workers::update`].
    pub(crate) fn capacity(&self, pool: &str) -> PoolCapacity {
        let pool = self.pools.get(pool);
        pool.map(|p| p.capacity).unwrap_or_default()
    }

    /// Returns whether a pool has workers in evacuated zones, as of the last [`Workers::update`].
    pub(crate) fn has_evacuated(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|p| p.evacuated > 0)
    }

    /// Returns the schedulable workers of a pool with at least `min_cpu` millicores of free processor
    /// time, those with the least first, as of the last [`Workers::update`]. Among those with the
    /// same amount, the one with the greatest id comes first.
    pub(crate) fn by_free(
        &self,
        pool: &str,
        min_cpu: u64,
    ) -> impl DoubleEndedIterator<Item = (&Name, &Worker)> {
        let pool = self.pools.get(pool).into_iter();
        let groups = pool.flat_map(move |p| p.by_free.range(min_cpu..));
        let ids = groups.flat_map(|(_, ids)| ids.iter().rev());
        ids.filter_map(|id| Some((id, self.get(id)?)))
    }

    /// Counts a worker anew.
    fn count(&mut self, now: Instant, id: &Name) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        slot.changed = false;
        if let Some(until) = slot.worker.backoff_until.filter(|until| *until > now) {
            self.backoffs.insert((until, Arc::clone(id)));
        }
        let is_counted = slot.worker.is_schedulable(now) || slot.worker.evacuated;
        let entry = is_counted.then(|| Counted::of(&slot.worker));
        if entry == slot.entry {
            return;
        }
        self.entry_changed = true;
        let previous = mem::replace(&mut slot.entry, entry.clone());
        if let Some(previous) = previous {
            self.uncount(id, &previous);
        }
        if let Some(entry) = entry {
            let free = entry.free_cpu();
            let pool = self.pools.entry(entry.pool).or_default();
            if entry.evacuated {
                pool.capacity.evacuated += entry.long_running.cpu;
                pool.evacuated += 1;
                return;
            }
            pool.capacity.capacity += entry.capacity.cpu;
            pool.capacity.used += entry.used.cpu;
            pool.by_free.entry(free).or_default().insert(Arc::clone(id));
        }
    }

    fn uncount(&mut self, id: &Name, counted: &Counted) {
        if let Some(pool) = self.pools.get_mut(&counted.pool) {
            if counted.evacuated {
                pool.capacity.evacuated -= counted.long_running.cpu;
                pool.evacuated -= 1;
                return;
            }
            pool.capacity.capacity -= counted.capacity.cpu;
            pool.capacity.used -= counted.used.cpu;
            if let Entry::Occupied(mut ids) = pool.by_free.entry(counted.free_cpu()) {
                ids.get_mut().remove(id);
                if ids.get().is_empty() {
                    ids.remove();
                }
            }
        }
    }
}
