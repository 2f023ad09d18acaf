//! The status of a deployment that operators see, as served in JSON under `/v1/status`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lavenderhollow_shard::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::automatic::FleetSwitches;

/// The status of the deployment as known to one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The VM of the process that responds.
    pub vm: Name,
    /// The version of the process's current configuration; zero before the first.
    pub version: u64,
    /// The seconds since the configuration was last known to be up to date; `None` if it never was.
    pub config_age: Option<f64>,
    /// Whether the process accepts requests that need a key, for which its configuration has to be
    /// recent enough.
    pub takes_keyed: bool,
    /// The VMs whose processes are live members.
    pub members: BTreeSet<Name>,
    /// The pools of the configuration, by name.
    pub pools: BTreeMap<Name, PoolView>,
    /// The status of the fleet, from the owner of the fleet shard; `None` if it doesn't
    /// respond.
    pub fleet: Option<FleetView>,
    /// The evacuated zones. A process of an earlier build doesn't send them.
    #[serde(default)]
    pub evacuated: BTreeSet<Name>,
}

/// The status of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolView {
    /// Whether the machines of the pool are on standby: switched off until they move to another
    /// pool.
    pub standby: bool,
    /// The VM whose process owns the pool's shard; `None` if there is none.
    pub owner: Option<Name>,
}

/// The status of the fleet as known to the owner of the fleet shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// The switches of automatic actions.
    pub automatic: FleetSwitches,
    /// The maintenance waves that are not completed, by number.
    pub waves: BTreeMap<u64, WaveView>,
    /// The last load that each pool's owner reported.
    pub loads: BTreeMap<Name, LoadView>,
    /// The number of machines that are on their way to another pool.
    pub moving: usize,
}

/// The progress of one maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveView {
    /// The number of machines that the wave contains.
    pub machines: usize,
    /// The number of machines whose maintenance has been requested.
    pub begun: usize,
    /// The number of machines that are down now.
    pub down: usize,
    /// The number of machines that may be down at the same time.
    pub at_once: usize,
}

/// The capacity and the demand of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// The CPU that the pool's schedulable workers offer, in millicores.
    pub offered: u64,
    /// The CPU that is needed to finish the queued and running work in time, in millicores.
    pub needed: u64,
    /// The number of schedulable workers on which nothing runs.
    pub idle: usize,
}
