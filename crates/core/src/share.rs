//! Weighted max-min shares.

use lavenderhollow_config::Resources;
use lavenderhollow_types::TeamName;

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
}

/// The order in which teams with waiting work get a pool's free capacity.
#[derive(Clone, Debug, Default)]
pub struct Shares {}

impl Shares {
    /// Creates shares of a pool with this capacity.
    pub fn new(_capacity: Amount) -> Self {
        todo!()
    }
    /// Sets the pool's capacity.
    pub fn set_capacity(&mut self, _capacity: Amount) {
        todo!()
    }
    /// Sets a team's weight.
    pub fn set_weight(&mut self, _team: &TeamName, _weight: u32) {
        todo!()
    }
    /// Sets whether a team has waiting work.
    pub fn set_waiting(&mut self, _team: &TeamName, _waiting: bool) {
        todo!()
    }
    /// Counts a start.
    pub fn started(&mut self, _team: &TeamName, _amount: &Amount) {
        todo!()
    }
    /// Counts the end of a start.
    pub fn finished(&mut self, _team: &TeamName, _amount: &Amount) {
        todo!()
    }
    /// Sets what a team uses of the pool through other entries.
    pub fn set_elsewhere(&mut self, _team: &TeamName, _amount: Amount) {
        todo!()
    }
    /// Returns the teams with waiting work, the one furthest below its share first.
    pub fn order(&self) -> impl Iterator<Item = &TeamName> {
        std::iter::empty()
    }
}
