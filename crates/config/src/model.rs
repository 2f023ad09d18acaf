//! The configuration document.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::RegionName;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::ZoneName;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::KeyHash;

/// The name of one key of a team; withdrawing a key removes its entry.
pub type KeyName = String;

/// A whole configuration. Collections are maps by name, so that a change is a small merge patch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the deployment, for people.
    pub deployment: String,
    /// The availability zones.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// The pools of VMs.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The queues that callers submit to.
    pub queues: BTreeMap<QueueName, Queue>,
    /// The teams.
    pub teams: BTreeMap<TeamName, Team>,
    /// The costs that the planner weighs.
    #[serde(default)]
    pub weights: CostWeights,
    /// The switches of automatic actions.
    #[serde(default)]
    pub automatic: AutomaticSwitches,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The region that the zone belongs to.
    pub region: RegionName,
}

/// A pool of VMs with its availability budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The availability budget: how many VMs may be out at once, for any reason, when a drain is
    /// granted.
    pub max_unavailable: u32,
    /// How many racks may have drains of one wave at once.
    #[serde(default = "one")]
    pub racks_at_once: u32,
    /// Slots kept free for peaks and urgent work.
    #[serde(default)]
    pub buffer_slots: u32,
    /// Whether the pool lends VMs to the others.
    #[serde(default)]
    pub spare: bool,
}

/// A queue of requests.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// The pool that serves the queue.
    pub pool: PoolName,
    /// Whether the queue takes work without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may safely run twice. Fee charges, filings and royalty runs may not.
    #[serde(default)]
    pub idempotent: bool,
    /// How many requests of one team may wait in one entry.
    #[serde(default = "default_queued")]
    pub max_queued: u32,
    /// The time within which a request should be answered, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The declared run time, in milliseconds; a first guess until run times are learned.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    #[serde(rename = "run_time_ms")]
    pub run_time: Duration,
    /// The declared size of a request; a first guess until sizes are learned.
    #[serde(default)]
    pub size: Resources,
}

/// What a request needs, or a worker offers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Default for Resources {
    fn default() -> Self {
        Self {
            milli_cores: 1000,
            memory_mib: 1024,
            accelerators: 0,
        }
    }
}

/// A team with its keys, share and upper limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The weight of the team when everything is full.
    pub share: u32,
    /// The upper limit: how many slots the team may use across the fleet.
    pub limit: u32,
    /// The availability zone whose stream holds the team's idempotency claims. It can't be changed.
    pub home: ZoneName,
    /// The hashes of the team's keys.
    #[serde(default)]
    pub keys: BTreeMap<KeyName, KeyHash>,
}

/// What the user weighs, as costs per unit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct CostWeights {
    /// The cost of one VM hour kept free.
    pub buffer_hour: f64,
    /// The cost of moving one VM between pools.
    pub vm_move: f64,
    /// The cost of one hour of roll-out time.
    pub rollout_hour: f64,
    /// The cost of one unit of distance from a team's share.
    pub share_distance: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self {
            buffer_hour: 1.0,
            vm_move: 1.0,
            rollout_hour: 1.0,
            share_distance: 1.0,
        }
    }
}

/// An automatic action that operators switch on and off.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum AutomaticAction {
    /// Grants drains of running waves.
    #[display("drains")]
    Drains,
    /// Moves VMs between pools.
    #[display("moves")]
    Moves,
    /// Adjusts buffers to the expected demand.
    #[display("buffers")]
    Buffers,
    /// Takes out workers and jobs that fail.
    #[display("quarantine")]
    Quarantine,
    /// Transfers allotments between holders.
    #[display("transfers")]
    Transfers,
    /// Reclaims allotments of holders that are gone.
    #[display("reclaims")]
    Reclaims,
    /// Starts further attempts of durable jobs.
    #[display("restarts")]
    Restarts,
}

impl AutomaticAction {
    /// Every automatic action.
    pub const ALL: [Self; 7] = [
        Self::Drains,
        Self::Moves,
        Self::Buffers,
        Self::Quarantine,
        Self::Transfers,
        Self::Reclaims,
        Self::Restarts,
    ];
}

/// The switches of automatic actions. An action runs when `all` and its own switch are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AutomaticSwitches {
    /// Turns every automatic action off when false.
    pub all: bool,
    /// The switch of [`AutomaticAction::Drains`].
    pub drains: bool,
    /// The switch of [`AutomaticAction::Moves`].
    pub moves: bool,
    /// The switch of [`AutomaticAction::Buffers`].
    pub buffers: bool,
    /// The switch of [`AutomaticAction::Quarantine`].
    pub quarantine: bool,
    /// The switch of [`AutomaticAction::Transfers`].
    pub transfers: bool,
    /// The switch of [`AutomaticAction::Reclaims`].
    pub reclaims: bool,
    /// The switch of [`AutomaticAction::Restarts`].
    pub restarts: bool,
}

impl AutomaticSwitches {
    /// Returns the switches with every action off.
    pub fn all_off() -> Self {
        Self {
            all: false,
            ..Self::default()
        }
    }

    /// Tells whether an action may run.
    pub fn is_enabled(&self, action: AutomaticAction) -> bool {
        self.all
            && match action {
                AutomaticAction::Drains => self.drains,
                AutomaticAction::Moves => self.moves,
                AutomaticAction::Buffers => self.buffers,
                AutomaticAction::Quarantine => self.quarantine,
                AutomaticAction::Transfers => self.transfers,
                AutomaticAction::Reclaims => self.reclaims,
                AutomaticAction::Restarts => self.restarts,
            }
    }
}

impl Default for AutomaticSwitches {
    fn default() -> Self {
        Self {
            all: true,
            drains: true,
            moves: true,
            buffers: true,
            quarantine: true,
            transfers: true,
            reclaims: true,
            restarts: true,
        }
    }
}

fn one() -> u32 {
    1
}

fn default_queued() -> u32 {
    64
}
