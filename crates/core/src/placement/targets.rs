//! A view of the open targets.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use lavenderhollow_config::Resources;
use lavenderhollow_types::RackName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::VmName;

use super::load::Place;
use super::load::Rack;
use super::load::Report;
use super::load::Worker;

/// How many pairs of targets are compared before all are looked at.
const TRIES: usize = 2;

/// An open target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The worker.
    pub vm: VmName,
    /// Its rack.
    pub rack: RackName,
    /// Slots that it offers.
    pub slots: u32,
    /// Connections that it offers to this entry.
    pub connections: u32,
    /// The size of the worker.
    pub size: Resources,
    /// Its last usage report.
    pub report: Option<Report>,
}

/// An immutable view of a pool's open targets.
///
/// Two targets drawn at random are compared and the one with less load is taken. A choice looks at
/// four targets at most while there is room, whatever the size of the pool.
#[derive(Debug, Default)]
pub struct Targets {
    open: Vec<Arc<Worker>>,
    shapes: Vec<Resources>,
}

impl Targets {
    /// Builds a view. `shapes` are the sizes of all workers of the pool, open or not. Loads go on
    /// from the previous view.
    pub fn new(targets: Vec<Target>, shapes: &[Resources], previous: Option<&Self>) -> Self {
        let mut racks: HashMap<RackName, Arc<Rack>> = HashMap::new();
        let mut known: HashMap<&VmName, &Arc<Worker>> = HashMap::new();
        for worker in previous.iter().flat_map(|view| &view.open) {
            racks.insert(worker.rack.name.clone(), Arc::clone(&worker.rack));
            known.insert(&worker.vm, worker);
        }
        let mut view = Self::default();
        for target in targets {
            view.add_shape(&target.size);
            let rack = racks
                .entry(target.rack.clone())
                .or_insert_with(|| Arc::new(Rack::new(target.rack)));
            let worker = match known.get(&target.vm) {
                Some(worker) if worker.rack.name == rack.name => Arc::clone(worker),
                _ => Arc::new(Worker::new(target.vm, Arc::clone(rack))),
            };
            worker.set_capacity(target.slots, &target.size, target.connections);
            if let Some(report) = &target.report {
                worker.report(report);
            }
            view.open.push(worker);
        }
        shapes.iter().for_each(|shape| view.add_shape(shape));
        view
    }

    /// Checks that a worker of the pool, open or not, is large enough for a request.
    ///
    /// # Errors
    ///
    /// `Impossible` if none is; nothing is refused while no worker is known.
    pub fn check(&self, need: &Resources) -> Result<(), Refusal> {
        if self.shapes.is_empty() || self.shapes.iter().any(|shape| fits(need, shape)) {
            return Ok(());
        }
        let detail = format!("no worker of the pool is large enough for {need:?}");
        Err(Refusal::new(RefusalKind::Impossible, detail))
    }

    /// Chooses a target with room for a request. `draw` gives random numbers.
    ///
    /// # Errors
    ///
    /// `Impossible` if no worker of the pool is large enough, `NoTarget` if none is open,
    /// `Overloaded` if all open ones are full.
    pub fn choose(
        &self,
        now: Instant,
        need: &Resources,
        draw: &mut dyn FnMut() -> u64,
    ) -> Result<Place, Refusal> {
        self.check(need)?;
        if self.open.is_empty() {
            return Err(Refusal::new(RefusalKind::NoTarget, "no target is open"));
        }
        for _ in 0..TRIES {
            if let Some(place) = self.better_of_two(now, need, draw) {
                return Ok(place);
            }
        }
        self.scan(now, need, self.position(draw()))
            .ok_or_else(|| Refusal::new(RefusalKind::Overloaded, "all open targets are full"))
    }

    fn better_of_two(
        &self,
        now: Instant,
        need: &Resources,
        draw: &mut dyn FnMut() -> u64,
    ) -> Option<Place> {
        let first = &self.open[self.position(draw())];
        let second = &self.open[self.position(draw())];
        match (first.rank(need), second.rank(need)) {
            (Some(a), Some(b)) if b < a => second.take(now, need),
            (Some(_), _) => first.take(now, need),
            (None, Some(_)) => second.take(now, need),
            (None, None) => None,
        }
    }

    fn scan(&self, now: Instant, need: &Resources, start: usize) -> Option<Place> {
        let (before, after) = self.open.split_at(start);
        let mut workers = after.iter().chain(before);
        workers.find_map(|worker| worker.take(now, need))
    }

    /// Maps a random number to a position without a division.
    fn position(&self, number: u64) -> usize {
        ((u128::from(number) * self.open.len() as u128) >> 64) as usize
    }

    /// Keeps the shapes that no other shape contains.
    fn add_shape(&mut self, shape: &Resources) {
        if !self.shapes.iter().any(|known| fits(shape, known)) {
            self.shapes.retain(|known| !fits(known, shape));
            self.shapes.push(*shape);
        }
    }
}

fn fits(need: &Resources, shape: &Resources) -> bool {
    need.milli_cores <= shape.milli_cores
        && need.memory_mib <= shape.memory_mib
        && need.accelerators <= shape.accelerators
}
