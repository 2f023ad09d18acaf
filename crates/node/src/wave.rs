//! The order of the upkeeps of a wave.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;

use crate::backend::Machine;
use crate::backend::MachineState;
use crate::cluster_config::Wave;
use crate::status::WaveView;

/// How many machines beyond the wave's bound are kept free ahead of their turn.
const AHEAD: usize = 1;

/// After what time a machine that can't go down yet lets others go first.
const TURN: Duration = Duration::from_secs(3);

/// For which part of the time that a wave has, pools under load keep their machines. Pools peak in
/// turn, so that most have a quiet time in this part, and the rest of it is enough for all machines.
const PATIENT_SHARE: f64 = 0.45;

/// A machine whose upkeep was ordered.
#[derive(Clone, Debug)]
struct Down {
    since: Instant,
    worker: Option<Name>,
    confirmed: bool,
    /// Whether the owner of the worker's pool was told that its life has ended.
    told: bool,
}

/// A wave under way.
#[derive(Clone, Debug)]
pub struct ActiveWave {
    wave: Wave,
    started: BTreeSet<Name>,
    down: BTreeMap<Name, Down>,
    /// Machines that are being kept free, since when.
    draining: BTreeMap<Name, Instant>,
    /// Machines that had their turn and were not free, with the time of it.
    deferred: BTreeMap<Name, Instant>,
    maintenance_time: Duration,
    since: Instant,
}

impl ActiveWave {
    /// Creates a wave of which `begun` machines have had their upkeep ordered.
    pub fn new(
        now: Instant,
        wave: Wave,
        started: BTreeSet<Name>,
        maintenance_time: Duration,
    ) -> Self {
        Self {
            wave,
            started,
            down: BTreeMap::new(),
            draining: BTreeMap::new(),
            deferred: BTreeMap::new(),
            maintenance_time,
            since: now,
        }
    }

    /// Tells whether pools under load have to give their machines as well.
    pub fn is_urgent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) > self.wave.time_limit.mul_f64(PATIENT_SHARE)
    }

    /// Lets others go before a machine that its pool needs now.
    pub fn defer(&mut self, now: Instant, machine: &Name) {
        self.draining.remove(machine);
        self.deferred.insert(Arc::clone(machine), now);
    }

    /// Returns the wave.
    pub fn wave(&self) -> &Wave {
        &self.wave
    }

    /// Returns what operators are shown of the wave.
    pub fn view(&self) -> WaveView {
        WaveView {
            machines: self.wave.machines.len(),
            begun: self.started.len(),
            down: self.down.len(),
            at_once: self.wave.max_unavailable,
        }
    }

    /// Takes a changed announcement of the wave.
    pub fn update(&mut self, wave: Wave) {
        self.wave = wave;
    }

    /// Returns the machines whose upkeep was ordered.
    pub fn started(&self) -> &BTreeSet<Name> {
        &self.started
    }

    /// Takes the list of machines; tells whether the wave is completed.
    pub fn observe(&mut self, now: Instant, machines: &[Machine]) -> bool {
        let by_name: BTreeMap<&Name, &Machine> = machines.iter().map(|m| (&m.name, m)).collect();
        let maintenance_time = self.maintenance_time;
        self.down.retain(|name, down| {
            let Some(machine) = by_name.get(name) else {
                return false;
            };
            let back = machine.state == MachineState::Up
                && (machine.worker != down.worker
                    || now.saturating_duration_since(down.since) > maintenance_time * 2);
            !(down.confirmed && back)
        });
        let open = |name: &&Name| by_name.contains_key(name) && !self.started.contains(*name);
        let open: Vec<Name> = self.wave.machines.iter().filter(open).cloned().collect();
        self.draining.retain(|name, _| open.contains(name));
        self.rotate(now, open.len());
        let room = (self.wave.max_unavailable + AHEAD)
            .saturating_sub(self.down.len())
            .saturating_sub(self.draining.len());
        let mut waiting: Vec<&Name> = open
            .iter()
            .filter(|n| !self.draining.contains_key(*n))
            .filter(|n| by_name.get(n).is_some_and(|m| m.state == MachineState::Up))
            .collect();
        waiting.sort_by_key(|n| self.deferred.get(*n).copied());
        let next: Vec<Name> = waiting.into_iter().take(room).cloned().collect();
        for name in next {
            self.draining.insert(name, now);
        }
        open.is_empty() && self.down.is_empty()
    }

    /// Lets others go first where a machine could not go down in its turn.
    fn rotate(&mut self, now: Instant, open: usize) {
        if open <= self.draining.len() {
            return;
        }
        let over = |at: &Instant| now.saturating_duration_since(*at) > TURN;
        let deferred = self.draining.iter().filter(|(_, at)| over(at));
        let deferred: Vec<Name> = deferred.map(|(name, _)| Arc::clone(name)).collect();
        for name in deferred {
            self.draining.remove(&name);
            self.deferred.insert(name, now);
        }
    }

    /// Returns workers whose lives were ended by an upkeep, with their pools, each once. The answer
    /// to an order does not tell: it is the same when the upkeep was done before, and another
    /// worker lives on the machine by now.
    pub fn ended_workers(&mut self, machines: &[Machine]) -> Vec<(Name, Name)> {
        let mut ended = Vec::new();
        for machine in machines
            .iter()
            .filter(|m| m.state == MachineState::Maintenance)
        {
            if let Some(down) = self.down.get_mut(&machine.name)
                && let Some(worker) = &down.worker
                && !std::mem::replace(&mut down.told, true)
            {
                ended.push((Arc::clone(&machine.pool), Arc::clone(worker)));
            }
        }
        ended
    }

    /// Returns the machines that are to be kept free.
    pub fn draining(&self) -> Vec<Name> {
        self.draining.keys().cloned().collect()
    }

    /// Returns the machines that are down for the wave or about to go down.
    pub fn in_progress(&self) -> Vec<Name> {
        self.down
            .keys()
            .chain(self.draining.keys())
            .cloned()
            .collect()
    }

    /// Returns machines whose order had no answer, to be ordered again.
    pub fn unconfirmed(&self) -> Vec<Name> {
        let open = self.down.iter().filter(|(_, d)| !d.confirmed);
        open.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Tells whether another machine may go down.
    pub fn below_limit(&self) -> bool {
        self.down.len() < self.wave.max_unavailable
    }

    /// Notes that the upkeep of a machine is being ordered.
    pub fn mark_ordered(&mut self, now: Instant, machine: &Name, worker: Option<Name>) {
        let down = Down {
            since: now,
            worker,
            confirmed: false,
            told: false,
        };
        self.down.entry(Arc::clone(machine)).or_insert(down);
    }

    /// Notes that the upkeep was carried out.
    pub fn mark_confirmed(&mut self, machine: &Name) {
        self.started.insert(Arc::clone(machine));
        self.draining.remove(machine);
        if let Some(down) = self.down.get_mut(machine) {
            down.confirmed = true;
        }
    }

    /// Notes that the order was refused and nothing was done.
    pub fn mark_refused(&mut self, now: Instant, machine: &Name) {
        self.down.remove(machine);
        self.defer(now, machine);
    }

    /// Notes that the machine has no upkeep in this wave.
    pub fn mark_skipped(&mut self, machine: &Name) {
        self.started.insert(Arc::clone(machine));
        self.down.remove(machine);
        self.draining.remove(machine);
    }
}
