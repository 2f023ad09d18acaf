//! Weighted max-min shares.

use std::collections::BTreeSet;
use std::collections::HashMap;

use lavenderhollow_config::Resources;
use lavenderhollow_types::TeamName;

/// The resolution of a team's position: usage of the whole pool at weight one.
const SCALE: f64 = 1e12;

/// An amount of everything that a pool offers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount {
    /// Slots.
    pub slots: u64,
    /// Processor time, in thousandths of a core.
    pub milli_cores: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Amount {
    /// Returns one slot with the given size.
    pub fn request(size: &Resources) -> Self {
        Self {
            slots: 1,
            milli_cores: size.milli_cores.into(),
            memory_mib: size.memory_mib.into(),
            accelerators: size.accelerators.into(),
        }
    }

    fn zip(self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            slots: f(self.slots, other.slots),
            milli_cores: f(self.milli_cores, other.milli_cores),
            memory_mib: f(self.memory_mib, other.memory_mib),
            accelerators: f(self.accelerators, other.accelerators),
        }
    }

    /// Returns the largest fraction of a capacity that this amount takes of any resource.
    pub fn dominant(&self, capacity: &Self) -> f64 {
        let fraction = |used: u64, of: u64| {
            if used == 0 {
                0.0
            } else {
                used as f64 / of.max(1) as f64
            }
        };
        fraction(self.slots, capacity.slots)
            .max(fraction(self.milli_cores, capacity.milli_cores))
            .max(fraction(self.memory_mib, capacity.memory_mib))
            .max(fraction(self.accelerators, capacity.accelerators))
    }
}

#[derive(Clone, Debug)]
struct Member {
    name: TeamName,
    weight: u32,
    here: Amount,
    elsewhere: Amount,
    waiting: bool,
    position: u64,
}

impl Member {
    fn position(&self, capacity: &Amount) -> u64 {
        let used = self.here.zip(&self.elsewhere, u64::saturating_add);
        (used.dominant(capacity) / f64::from(self.weight.max(1)) * SCALE) as u64
    }
}

/// The order in which teams with waiting work get a pool's free capacity.
///
/// The team whose dominant resource is the smallest part of its weight comes first. Capacity that
/// such a team can't use goes to the next one, so that nothing idles while work waits. A change of
/// one team moves that team only.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    capacity: Amount,
    members: Vec<Member>,
    indexes: HashMap<TeamName, usize>,
    order: BTreeSet<(u64, usize)>,
}

impl Shares {
    /// Creates shares of a pool with this capacity.
    pub fn new(capacity: Amount) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Sets the pool's capacity.
    pub fn set_capacity(&mut self, capacity: Amount) {
        self.capacity = capacity;
        for index in 0..self.members.len() {
            self.change(index, |_| ());
        }
    }

    /// Sets a team's weight; a team without one has the weight 1.
    pub fn set_weight(&mut self, team: &TeamName, weight: u32) {
        let index = self.index(team);
        self.change(index, |member| member.weight = weight);
    }

    /// Sets whether a team has waiting work.
    pub fn set_waiting(&mut self, team: &TeamName, waiting: bool) {
        let index = self.index(team);
        if self.members[index].waiting != waiting {
            self.change(index, |member| member.waiting = waiting);
        }
    }

    /// Counts a start.
    pub fn started(&mut self, team: &TeamName, amount: &Amount) {
        let index = self.index(team);
        self.change(index, |member| {
            member.here = member.here.zip(amount, u64::saturating_add);
        });
    }

    /// Counts the end of a start.
    pub fn finished(&mut self, team: &TeamName, amount: &Amount) {
        let index = self.index(team);
        self.change(index, |member| {
            member.here = member.here.zip(amount, u64::saturating_sub);
        });
    }

    /// Sets what a team uses of the pool through other entries.
    pub fn set_elsewhere(&mut self, team: &TeamName, amount: Amount) {
        let index = self.index(team);
        self.change(index, |member| member.elsewhere = amount);
    }

    /// Returns the teams with waiting work, the one furthest below its share first.
    pub fn order(&self) -> impl Iterator<Item = &TeamName> {
        self.order
            .iter()
            .map(|(_, index)| &self.members[*index].name)
    }

    fn index(&mut self, team: &TeamName) -> usize {
        if let Some(index) = self.indexes.get(team) {
            return *index;
        }
        let index = self.members.len();
        self.indexes.insert(team.clone(), index);
        self.members.push(Member {
            name: team.clone(),
            weight: 1,
            here: Amount::default(),
            elsewhere: Amount::default(),
            waiting: false,
            position: 0,
        });
        index
    }

    fn change(&mut self, index: usize, f: impl FnOnce(&mut Member)) {
        let member = &mut self.members[index];
        self.order.remove(&(member.position, index));
        f(member);
        member.position = member.position(&self.capacity);
        if member.waiting {
            self.order.insert((member.position, index));
        }
    }
}
