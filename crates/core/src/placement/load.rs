//! The load of one worker: its last report and what was started since.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Instant;

use lavenderhollow_config::Resources;
use lavenderhollow_types::RackName;
use lavenderhollow_types::VmName;

/// A worker's usage report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// When the report was asked for; it includes what was started before.
    pub as_of: Instant,
    /// Slots in use.
    pub slots: u32,
    /// Resources in use.
    pub used: Resources,
}

/// Slots and resources in use.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Used {
    slots: u32,
    milli_cores: u32,
    memory_mib: u32,
    accelerators: u32,
}

impl Used {
    fn new(slots: u32, size: &Resources) -> Self {
        Self {
            slots,
            milli_cores: size.milli_cores,
            memory_mib: size.memory_mib,
            accelerators: size.accelerators,
        }
    }

    fn zip(self, other: Self, f: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            slots: f(self.slots, other.slots),
            milli_cores: f(self.milli_cores, other.milli_cores),
            memory_mib: f(self.memory_mib, other.memory_mib),
            accelerators: f(self.accelerators, other.accelerators),
        }
    }

    fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    fn minus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    fn fits(&self, capacity: &Self) -> bool {
        self.slots <= capacity.slots
            && self.milli_cores <= capacity.milli_cores
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the largest used fraction of any resource, in 64ths.
    fn level(&self, capacity: &Self) -> u32 {
        let level = |used: u32, of: u32| (u64::from(used) * 64 / u64::from(of.max(1))) as u32;
        level(self.slots, capacity.slots)
            .max(level(self.milli_cores, capacity.milli_cores))
            .max(level(self.memory_mib, capacity.memory_mib))
            .max(level(self.accelerators, capacity.accelerators))
    }
}

#[derive(Debug)]
struct Started {
    id: u64,
    time: Instant,
    used: Used,
}

#[derive(Debug)]
struct Load {
    capacity: Used,
    connections: usize,
    as_of: Option<Instant>,
    reported: Used,
    since: Used,
    open: Vec<Started>,
    next: u64,
}

/// Open places of one rack.
#[derive(Debug)]
pub(super) struct Rack {
    pub(super) name: RackName,
    open: AtomicU32,
}

impl Rack {
    pub(super) fn new(name: RackName) -> Self {
        let open = AtomicU32::new(0);
        Self { name, open }
    }
}

/// One worker. Views share it, so that a place outlives the view it was chosen in.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) vm: VmName,
    pub(super) rack: Arc<Rack>,
    load: Mutex<Load>,
}

impl Worker {
    pub(super) fn new(vm: VmName, rack: Arc<Rack>) -> Self {
        let load = Load {
            capacity: Used::default(),
            connections: 0,
            as_of: None,
            reported: Used::default(),
            since: Used::default(),
            open: Vec::new(),
            next: 0,
        };
        let load = Mutex::new(load);
        Self { vm, rack, load }
    }

    pub(super) fn set_capacity(&self, slots: u32, size: &Resources, connections: u32) {
        let mut load = self.load();
        load.capacity = Used::new(slots, size);
        load.connections = connections as usize;
    }

    pub(super) fn report(&self, report: &Report) {
        let mut load = self.load();
        if load.as_of.is_some_and(|as_of| as_of >= report.as_of) {
            return;
        }
        load.as_of = Some(report.as_of);
        load.reported = Used::new(report.slots, &report.used);
        let since = load.open.iter().filter(|place| place.time >= report.as_of);
        load.since = since.fold(Used::default(), |sum, place| sum.plus(place.used));
    }

    /// Returns how loaded the worker would be with the request, or nothing if it has no room. The
    /// open places of the rack decide between equal loads.
    pub(super) fn rank(&self, need: &Resources) -> Option<(u32, u32)> {
        let level = self.load().level_with(Used::new(1, need))?;
        Some((level, self.rack.open.load(Ordering::Relaxed)))
    }

    pub(super) fn take(self: &Arc<Self>, now: Instant, need: &Resources) -> Option<Place> {
        let used = Used::new(1, need);
        let mut load = self.load();
        load.level_with(used)?;
        let id = load.next;
        load.next += 1;
        load.since = load.since.plus(used);
        let time = now;
        load.open.push(Started { id, time, used });
        self.rack.open.fetch_add(1, Ordering::Relaxed);
        Some(Place {
            worker: Arc::clone(self),
            id,
        })
    }

    fn load(&self) -> MutexGuard<'_, Load> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Load {
    fn level_with(&self, more: Used) -> Option<u32> {
        let used = self.reported.plus(self.since).plus(more);
        let room = used.fits(&self.capacity) && self.open.len() < self.connections;
        room.then(|| used.level(&self.capacity))
    }

    fn end(&mut self, id: u64) {
        let Some(index) = self.open.iter().position(|place| place.id == id) else {
            return;
        };
        let place = self.open.swap_remove(index);
        if self.as_of.is_some_and(|as_of| place.time < as_of) {
            self.reported = self.reported.minus(place.used);
        } else {
            self.since = self.since.minus(place.used);
        }
    }
}

/// A place on a worker; dropping it gives it back.
#[derive(Debug)]
#[must_use]
pub struct Place {
    worker: Arc<Worker>,
    id: u64,
}

impl Place {
    /// Returns the chosen worker.
    pub fn vm(&self) -> &VmName {
        &self.worker.vm
    }

    /// Returns the worker's rack.
    pub fn rack(&self) -> &RackName {
        &self.worker.rack.name
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.worker.load().end(self.id);
        self.worker.rack.open.fetch_sub(1, Ordering::Relaxed);
    }
}
