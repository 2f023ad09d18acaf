//! What operators are shown of a deployment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lavenderhollow_shard::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::automatic::AutomaticSwitches;

/// What a process knows about the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The VM of the process that answers.
    pub vm: Name,
    /// The version of the configuration in force here; zero before the first.
    pub version: u64,
    /// Seconds since the configuration was known to be the newest.
    pub config_age: Option<f64>,
    /// Whether work with a key is taken.
    pub takes_keyed: bool,
    /// The VMs whose processes are live.
    pub members: BTreeSet<Name>,
    /// The pools.
    pub pools: BTreeMap<Name, PoolView>,
    /// What the owner of the fleet shard tells; absent when it can't be reached.
    pub fleet: Option<FleetView>,
}

/// One pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolView {
    /// Whether its machines are off.
    pub standby: bool,
    /// The VM whose process owns the pool's shard, if one does.
    pub owner: Option<Name>,
}

/// What the owner of the fleet shard knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// The switches of automatic actions.
    pub automatic: AutomaticSwitches,
    /// The waves that are not completed, by their numbers.
    pub waves: BTreeMap<u64, WaveView>,
    /// What the pools reported last.
    pub loads: BTreeMap<Name, LoadView>,
    /// How many machines are on their way to another pool.
    pub moving: usize,
}

/// One maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveView {
    /// How many machines are due.
    pub machines: usize,
    /// How many of them have had their upkeep ordered.
    pub begun: usize,
    /// How many are down now.
    pub down: usize,
    /// How many may be down at once.
    pub at_once: usize,
}

/// What a pool needs and has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// The processors that its usable workers offer, in thousandths of a core.
    pub offered: u64,
    /// The processors that would do the work ahead in time, in thousandths of a core.
    pub needed: u64,
    /// The workers on which nothing runs.
    pub idle: usize,
}
