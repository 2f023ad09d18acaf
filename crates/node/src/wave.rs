//! Decides the order in which the machines of a maintenance wave are drained and taken down.

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

/// How many machines beyond the wave's limit of unavailable machines are drained ahead of their
/// turn.
const EXTRA_DRAINS: usize = 1;

/// How long a machine is drained before another machine takes its place if it can't go down yet.
const DRAIN_TURN: Duration = Duration::from_secs(3);

/// The part of a wave's time limit in which pools under load may defer drains. Pools peak at
/// different times, so most of them have a time of low load in this part, and the rest of the time
/// limit is enough for all machines.
const DEFERRAL_SHARE: f64 = 0.45;

/// The maintenance command for a machine, and what is known of its outcome.
#[derive(Clone, Debug)]
struct MaintenanceCommand {
    /// When the first command was sent.
    since: Instant,
    /// The worker that the maintenance terminates.
    worker: Option<Name>,
    /// Whether the maintenance was started.
    confirmed: bool,
    /// Whether the owner of the worker's pool was notified that the worker's incarnation ended.
    owner_notified: bool,
}

/// The progress of a maintenance wave that is not completed.
#[derive(Clone, Debug)]
pub struct ActiveWave {
    wave: Wave,
    /// The machines whose maintenance was started, or which need none.
    started: BTreeSet<Name>,
    /// The machines that are down for the wave, or may be because a command got no response.
    down: BTreeMap<Name, MaintenanceCommand>,
    /// The machines that are being drained, with the time at which that began.
    draining: BTreeMap<Name, Instant>,
    /// The machines that could not go down in their turn, with the time at which they were deferred.
    deferred: BTreeMap<Name, Instant>,
    /// The machines that an earlier owner may have taken down without a trace in the list yet.
    inherited: BTreeSet<Name>,
    /// The time from which the list shows what earlier owners have done.
    inherited_until: Option<Instant>,
    /// The machines that the last list shows under maintenance.
    listed_down: BTreeSet<Name>,
    maintenance_time: Duration,
    /// The evacuated zones, whose machines go down first.
    evacuated: Arc<BTreeSet<Name>>,
    /// The machines of the wave that the last list shows in evacuated zones.
    listed_evacuated: BTreeSet<Name>,
    /// When the first owner began to track the wave.
    tracked_since: Instant,
}

impl ActiveWave {
    /// Starts tracking a wave that the first owner has tracked since `tracked_since`. `started` are
    /// the machines whose maintenance an earlier owner started, and `maintenance_time` is how long
    /// the platform takes to maintain a machine.
    pub fn new(
        tracked_since: Instant,
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
            inherited: BTreeSet::new(),
            inherited_until: None,
            listed_down: BTreeSet::new(),
            maintenance_time,
            evacuated: Arc::default(),
            listed_evacuated: BTreeSet::new(),
            tracked_since,
        }
    }

    /// Sets the zones that are evacuated, as of the next [`Self::observe`].
    pub fn set_evacuated_zones(&mut self, zones: &Arc<BTreeSet<Name>>) {
        self.evacuated = Arc::clone(zones);
    }

    /// Counts machines as unavailable until `until`, since an earlier owner may have sent a command
    /// for them. They get no command before that.
    pub fn inherit(&mut self, machines: BTreeSet<Name>, until: Instant) {
        self.inherited = machines;
        self.inherited_until = Some(until);
    }

    /// Returns whether pools under load must release their machines as well, so that the wave ends
    /// in time.
    pub fn is_urgent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.tracked_since)
            > self.wave.time_limit.mul_f64(DEFERRAL_SHARE)
    }

    /// Defers a machine that its pool needs now, so that the other machines of the wave go first.
    pub fn defer(&mut self, now: Instant, machine: &Name) {
        self.draining.remove(machine);
        self.deferred.insert(Arc::clone(machine), now);
    }

    /// Returns the wave as last published.
    pub fn wave(&self) -> &Wave {
        &self.wave
    }

    /// Returns the summary of the wave that operators see.
    pub fn view(&self) -> WaveView {
        WaveView {
            machines: self.wave.machines.len(),
            begun: self.started.len(),
            down: self.down.len(),
            at_once: self.wave.max_unavailable,
        }
    }

    /// Replaces the wave by the one published last; the progress is kept.
    pub fn update(&mut self, wave: Wave) {
        self.wave = wave;
    }

    /// Returns the machines whose maintenance was started, or which need none. They are stored, so
    /// that a successor does not maintain them again.
    pub fn started(&self) -> &BTreeSet<Name> {
        &self.started
    }

    /// Updates the progress from the current list of machines and selects the machines to drain.
    /// Returns whether the wave is completed.
    pub fn observe(&mut self, now: Instant, machines: &[Machine]) -> bool {
        let by_name: BTreeMap<&Name, &Machine> = machines.iter().map(|m| (&m.name, m)).collect();
        let maintenance_time = self.maintenance_time;
        self.down.retain(|name, command| {
            let Some(machine) = by_name.get(name) else {
                return false;
            };
            let is_back = machine.state == MachineState::Up
                && (machine.worker != command.worker
                    || now.saturating_duration_since(command.since) > maintenance_time * 2);
            !(command.confirmed && is_back)
        });
        if self.inherited_until.is_some_and(|until| now >= until) {
            self.inherited.clear();
        }
        let is_under_maintenance = |name: &&Name| {
            let machine = by_name.get(name);
            machine.is_some_and(|m| m.state == MachineState::Maintenance)
        };
        let listed_down = self.wave.machines.iter().filter(is_under_maintenance);
        self.listed_down = listed_down.cloned().collect();
        let is_remaining =
            |name: &&Name| by_name.contains_key(name) && !self.started.contains(*name);
        let remaining: Vec<Name> = self
            .wave
            .machines
            .iter()
            .filter(is_remaining)
            .cloned()
            .collect();
        let is_evacuated = |name: &&Name| {
            let machine = by_name.get(*name);
            machine.is_some_and(|m| m.is_in(&self.evacuated))
        };
        let evacuated: BTreeSet<Name> = remaining.iter().filter(is_evacuated).cloned().collect();
        // Machines that were deferred before their zone was evacuated go first as well.
        for name in evacuated.difference(&self.listed_evacuated) {
            self.deferred.remove(name);
        }
        self.listed_evacuated = evacuated;
        self.draining.retain(|name, _| remaining.contains(name));
        self.rotate_drains(now, remaining.len());
        let free_slots = (self.wave.max_unavailable + EXTRA_DRAINS)
            .saturating_sub(self.unavailable_count())
            .saturating_sub(self.draining.len());
        let mut waiting: Vec<&Name> = remaining
            .iter()
            .filter(|n| !self.draining.contains_key(*n) && !self.inherited.contains(*n))
            .filter(|n| by_name.get(n).is_some_and(|m| m.state == MachineState::Up))
            .collect();
        // A machine that could not go down in its turn waits until all others have had theirs, also in
        // an evacuated zone: otherwise those that disruption budgets block would hold up the wave.
        waiting.sort_by_key(|n| {
            let is_evacuated = self.listed_evacuated.contains(*n);
            (self.deferred.get(*n).copied(), !is_evacuated)
        });
        let next: Vec<Name> = waiting.into_iter().take(free_slots).cloned().collect();
        for name in next {
            self.draining.insert(name, now);
        }
        remaining.is_empty() && self.unavailable_count() == 0
    }

    /// Returns how many machines of the wave are down or may be.
    fn unavailable_count(&self) -> usize {
        let inherited = self.inherited.iter();
        let inherited = inherited.filter(|name| self.wave.machines.contains(name));
        let unavailable = self.down.keys().chain(inherited).chain(&self.listed_down);
        unavailable.collect::<BTreeSet<_>>().len()
    }

    /// Defers machines that were not drained within [`DRAIN_TURN`], if others wait.
    fn rotate_drains(&mut self, now: Instant, remaining: usize) {
        if remaining <= self.draining.len() {
            return;
        }
        let turn_ended = |at: &Instant| now.saturating_duration_since(*at) > DRAIN_TURN;
        let deferred = self.draining.iter().filter(|(_, at)| turn_ended(at));
        let deferred: Vec<Name> = deferred.map(|(name, _)| Arc::clone(name)).collect();
        for name in deferred {
            self.draining.remove(&name);
            self.deferred.insert(name, now);
        }
    }

    /// Returns the workers that were terminated by maintenance, with their pools, each once. The
    /// response to a command can't be used for this: it is the same when the maintenance was done
    /// before and the machine already has a new worker.
    pub fn terminated_workers(&mut self, machines: &[Machine]) -> Vec<(Name, Name)> {
        let mut terminated = Vec::new();
        for machine in machines
            .iter()
            .filter(|m| m.state == MachineState::Maintenance)
        {
            if let Some(command) = self.down.get_mut(&machine.name)
                && let Some(worker) = &command.worker
                && !std::mem::replace(&mut command.owner_notified, true)
            {
                terminated.push((Arc::clone(&machine.pool), Arc::clone(worker)));
            }
        }
        terminated
    }

    /// Returns the machines that are being drained.
    pub fn draining(&self) -> Vec<Name> {
        self.draining.keys().cloned().collect()
    }

    /// Returns the machines that are down for the wave or being drained, which must not move to
    /// another pool.
    pub fn in_progress(&self) -> Vec<Name> {
        self.down
            .keys()
            .chain(self.draining.keys())
            .cloned()
            .collect()
    }

    /// Returns the machines whose command got no response; the caller sends it again.
    pub fn unconfirmed(&self) -> Vec<Name> {
        let pending = self.down.iter().filter(|(_, d)| !d.confirmed);
        pending.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Returns how many more machines may go down now.
    pub fn free_slots(&self) -> usize {
        let limit = self.wave.max_unavailable;
        limit.saturating_sub(self.unavailable_count())
    }

    /// Records that the maintenance command for a machine is about to be sent, with the worker that
    /// it terminates. A repeated command keeps the time and the worker of the first.
    pub fn mark_requested(&mut self, now: Instant, machine: &Name, worker: Option<Name>) {
        let command = MaintenanceCommand {
            since: now,
            worker,
            confirmed: false,
            owner_notified: false,
        };
        self.down.entry(Arc::clone(machine)).or_insert(command);
    }

    /// Records that the machine interface started the maintenance.
    pub fn mark_confirmed(&mut self, machine: &Name) {
        self.started.insert(Arc::clone(machine));
        self.draining.remove(machine);
        if let Some(command) = self.down.get_mut(machine) {
            command.confirmed = true;
        }
    }

    /// Records that the command was rejected without effect; other machines go first.
    pub fn mark_rejected(&mut self, now: Instant, machine: &Name) {
        self.down.remove(machine);
        self.defer(now, machine);
    }

    /// Records that the command is invalid for the machine, which therefore has no maintenance in
    /// this wave.
    pub fn mark_skipped(&mut self, machine: &Name) {
        self.started.insert(Arc::clone(machine));
        self.down.remove(machine);
        self.draining.remove(machine);
    }
}
