//! The next records of a wave.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::PoolName;
use lavenderhollow_types::RackName;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;

use super::Change;
use super::Maintenance;
use super::Purpose;
use super::Rules;
use super::VmRecord;
use super::WaveRecord;
use super::WaveStatus;

/// The work on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLoad {
    /// The tasks that run on the VM.
    pub running: u32,
    /// The expected time until they have ended or are checkpointed.
    pub remaining: Duration,
    /// The monotonic time that the load describes.
    pub as_of: Instant,
}

/// What an entry sees of the fleet besides the fold.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The present time.
    pub now: Instant,
    /// When the fold was last known to be at the log's head.
    pub folded: Instant,
    /// The time that the latest VM list describes.
    pub listed: Instant,
    /// The rules of the configuration that is in force in this entry.
    pub rules: Rules,
    /// The load of the VMs that this entry may grant drains for.
    pub loads: BTreeMap<VmName, VmLoad>,
    /// VMs that seem out of service and are not recorded as such yet.
    pub suspects: BTreeSet<VmName>,
    /// How many VMs of a pool the planner wants out at most; the budget still applies.
    pub pace: BTreeMap<PoolName, u32>,
}

impl FleetView {
    /// Creates a view without loads, suspects and pace, fresh at `now`.
    pub fn new(rules: Rules, now: Instant) -> Self {
        Self {
            now,
            folded: now,
            listed: now,
            rules,
            loads: BTreeMap::new(),
            suspects: BTreeSet::new(),
            pace: BTreeMap::new(),
        }
    }
}

/// Decides the next records of the running waves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaveDriver {
    /// The age of the fold, of the list and of a load above which nothing is granted on them.
    pub max_age: Duration,
}

impl Default for WaveDriver {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(5),
        }
    }
}

/// How many more VMs of each pool may be taken out in one round.
type Rooms = BTreeMap<PoolName, u32>;

type Candidate<'a> = (&'a VmName, &'a VmRecord, VmLoad);

impl WaveDriver {
    /// Returns the records to append now: a newer configuration's rules, or grants and ends of
    /// waves. The fold decides which of them win.
    pub fn next(&self, state: &Maintenance, view: &FleetView) -> Vec<Change> {
        if self.is_stale(view.folded, view.now) || self.is_stale(view.listed, view.now) {
            return Vec::new();
        }
        let mirrored = state.rules().version;
        if view.rules.version > mirrored {
            return vec![Change::SetRules(view.rules.clone())];
        }
        if view.rules.version < mirrored || !state.rules().drains {
            return Vec::new();
        }
        let mut rooms = rooms(state, view);
        let running = state
            .waves()
            .filter(|(_, wave)| wave.status == WaveStatus::Running);
        running
            .flat_map(|(id, wave)| self.advance(state, view, id, wave, &mut rooms))
            .collect()
    }

    fn is_stale(&self, as_of: Instant, now: Instant) -> bool {
        now.saturating_duration_since(as_of) > self.max_age
    }

    fn advance(
        &self,
        state: &Maintenance,
        view: &FleetView,
        id: WaveId,
        wave: &WaveRecord,
        rooms: &mut Rooms,
    ) -> Vec<Change> {
        if wave.racks.is_empty() && state.due(wave).next().is_none() {
            return vec![Change::EndWave { wave: id }];
        }
        if wave.pools.iter().all(|pool| rooms.get(pool) == Some(&0)) {
            return Vec::new();
        }
        let mut open: BTreeSet<RackName> = wave.racks.keys().cloned().collect();
        let mut grants = Vec::new();
        for (rack, vms) in ordered(self.candidates(state, view, wave), &open, rooms) {
            for (vm, record, _) in vms {
                if takes(state, &mut open, rooms, &rack, record) {
                    grants.push(Change::GrantDrain {
                        vm: vm.clone(),
                        purpose: Purpose::Wave(id),
                    });
                }
            }
        }
        grants
    }

    fn candidates<'a>(
        &self,
        state: &'a Maintenance,
        view: &FleetView,
        wave: &'a WaveRecord,
    ) -> BTreeMap<RackName, Vec<Candidate<'a>>> {
        let mut racks: BTreeMap<RackName, Vec<Candidate<'a>>> = BTreeMap::new();
        for (vm, record) in state.due(wave) {
            let load = view.loads.get(vm).copied();
            let known = load.filter(|load| !self.is_stale(load.as_of, view.now));
            if let Some(load) = known
                && !record.is_out()
                && !view.suspects.contains(vm)
            {
                let rack = racks.entry(record.rack.clone()).or_default();
                rack.push((vm, record, load));
            }
        }
        racks
    }
}

/// Returns the room of each pool, less what seems out and is not recorded, and within the pace.
fn rooms(state: &Maintenance, view: &FleetView) -> Rooms {
    let mut unrecorded: BTreeMap<&PoolName, u32> = BTreeMap::new();
    let suspects = view.suspects.iter().filter_map(|vm| state.vm(vm));
    for record in suspects.filter(|record| !record.is_out()) {
        *unrecorded.entry(&record.pool).or_default() += 1;
    }
    let room = |(name, pool): (&PoolName, &super::PoolRecord)| {
        let unrecorded = unrecorded.get(name).copied().unwrap_or(0);
        let room = state.room(name).saturating_sub(unrecorded);
        let pace = view.pace.get(name).copied().unwrap_or(u32::MAX);
        let paced = pace.saturating_sub(pool.out + unrecorded);
        (name.clone(), room.min(paced))
    };
    state.pools().map(room).collect()
}

/// Orders racks: open ones first, then those that fit into the room as a whole, then by the time
/// and the work that their VMs still need. The VMs of a rack follow the same cost.
fn ordered<'a>(
    racks: BTreeMap<RackName, Vec<Candidate<'a>>>,
    open: &BTreeSet<RackName>,
    rooms: &Rooms,
) -> Vec<(RackName, Vec<Candidate<'a>>)> {
    let mut racks: Vec<_> = racks.into_iter().collect();
    for (_, vms) in &mut racks {
        vms.sort_by_key(|(vm, _, load)| (load.remaining, load.running, *vm));
    }
    racks.sort_by_cached_key(|(rack, vms)| {
        let longest = vms.iter().map(|(_, _, load)| load.remaining).max();
        let running: u32 = vms.iter().map(|(_, _, load)| load.running).sum();
        let rank = (open.contains(rack), fits(vms, rooms));
        (Reverse(rank), longest, running, rack.clone())
    });
    racks
}

fn fits(vms: &[Candidate<'_>], rooms: &Rooms) -> bool {
    let mut wanted: BTreeMap<&PoolName, u32> = BTreeMap::new();
    for (_, record, _) in vms {
        *wanted.entry(&record.pool).or_default() += 1;
    }
    wanted
        .iter()
        .all(|(pool, count)| rooms.get(*pool).is_some_and(|room| room >= count))
}

/// Takes one VM out of the room if its pool and the rack rule allow it.
fn takes(
    state: &Maintenance,
    open: &mut BTreeSet<RackName>,
    rooms: &mut Rooms,
    rack: &RackName,
    record: &VmRecord,
) -> bool {
    let rule = state.rules().pools.get(&record.pool);
    let most = rule.map_or(0, |rule| rule.racks_at_once) as usize;
    let others = open.iter().filter(|other| *other != rack).count();
    match rooms.get_mut(&record.pool) {
        Some(room) if *room > 0 && others < most => {
            *room -= 1;
            open.insert(rack.clone());
            true
        }
        _ => false,
    }
}
