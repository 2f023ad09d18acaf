//! The format of the configuration.

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

/// The name of one key of a team. A key is revoked by removing its entry.
pub type KeyName = String;

/// The configuration of a deployment. Collections are maps by name, so that a change is a small
/// JSON merge patch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the deployment, for display only.
    pub deployment: String,
    /// The availability zones that the deployment runs in.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// The pools of VMs.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The queues that callers submit to.
    pub queues: BTreeMap<QueueName, Queue>,
    /// The teams that may submit requests.
    pub teams: BTreeMap<TeamName, Team>,
    /// The weights of the planner's costs.
    #[serde(default)]
    pub weights: CostWeights,
    /// The switches that turn automatic actions on and off.
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
    /// The availability budget: a drain is granted only while at most this many VMs of the pool are
    /// unavailable at once, for any reason.
    pub max_unavailable: u32,
    /// How many racks may have VMs that drain for the same maintenance wave at once.
    #[serde(default = "default_racks")]
    pub racks_at_once: u32,
    /// The number of slots that are kept free for load peaks and urgent work.
    #[serde(default)]
    pub buffer_slots: u32,
    /// Whether VMs of this pool may be moved to other pools that need capacity.
    #[serde(default)]
    pub spare: bool,
}

/// A queue of requests, which one pool serves.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// The pool that serves the queue.
    pub pool: PoolName,
    /// Whether the queue accepts requests without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may safely run twice. Requests that charge fees, file documents or pay
    /// royalties may not.
    #[serde(default)]
    pub idempotent: bool,
    /// How many requests of one team may be queued at one entry VM.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// The time within which a request should complete, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The expected run time, in milliseconds. It is an estimate until run times are measured.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    #[serde(rename = "run_time_ms")]
    pub run_time: Duration,
    /// The expected resources of a request. It is an estimate until their use is measured.
    #[serde(default)]
    pub size: Resources,
}

/// The resources that a request needs or a worker offers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// CPU, in millicores.
    pub milli_cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// The number of accelerators, such as GPUs.
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
    /// The weight of the team, by which capacity is divided when it does not suffice for all teams.
    pub share: u32,
    /// The upper limit: how many slots the team may use across the fleet.
    pub limit: u32,
    /// The availability zone that stores the idempotency claims of the team. It can't be changed,
    /// because the claims stay where they are.
    pub home: ZoneName,
    /// The hashes of the team's API keys, by the name of the key.
    #[serde(default)]
    pub keys: BTreeMap<KeyName, KeyHash>,
}

/// The weights that an operator gives to the planner's costs, each as the cost of one unit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[serde(rename = "Weights", expecting = "struct Weights")]
pub struct CostWeights {
    /// The cost of keeping one VM free for one hour.
    pub buffer_hour: f64,
    /// The cost of moving one VM between pools.
    pub vm_move: f64,
    /// The cost of one hour that a roll-out takes.
    pub rollout_hour: f64,
    /// The cost of one unit of distance between the usage of a team and its share.
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

/// A kind of automatic action that operators can turn on and off.
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
    /// Grants drains for maintenance waves that are in progress.
    #[display("drains")]
    Drains,
    /// Moves VMs between pools.
    #[display("moves")]
    Moves,
    /// Adjusts the buffers of pools to the expected demand.
    #[display("buffers")]
    Buffers,
    /// Quarantines workers and jobs that fail.
    #[display("quarantine")]
    Quarantine,
    /// Transfers quotas between the shards that hold them.
    #[display("transfers")]
    Transfers,
    /// Reclaims quotas of shards whose owner is gone.
    #[display("reclaims")]
    Reclaims,
    /// Starts further attempts of durable jobs.
    #[display("restarts")]
    Restarts,
}

impl AutomaticAction {
    /// Every automatic action, in the order in which commands list them.
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

/// The switches of the automatic actions. An action is enabled when `all` and its own switch are
/// on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[serde(rename = "Switches", expecting = "struct Switches")]
pub struct AutomaticSwitches {
    /// The switch of all actions. When it is false, every action is off.
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
    /// Returns switches with `all` off and the others on.
    pub fn all_off() -> Self {
        Self {
            all: false,
            ..Self::default()
        }
    }

    /// Returns whether `action` may run: `all` and its own switch are on.
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

fn default_racks() -> u32 {
    1
}

fn default_max_queued() -> u32 {
    64
}
