//! Changes of the fleet's maintenance state, and why they are refused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_config::Automatic;
use lavenderhollow_config::Config;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RackName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;
use lavenderhollow_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Why a VM is out of service without a drain.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The VM failed or stopped answering.
    #[display("failed")]
    Failed,
    /// The platform's list does not show the VM.
    #[display("missing")]
    Missing,
    /// The VM fails jobs that succeed elsewhere.
    #[display("quarantined")]
    Quarantined,
    /// An operator took the VM out.
    #[display("operator")]
    Operator,
}

impl Reason {
    /// Tells whether the reason counts as a failure of the wave that touched the VM.
    pub fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::Missing | Self::Quarantined)
    }
}

/// What a drain is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Maintenance within a wave; the VM reboots and comes back.
    Wave(WaveId),
    /// A move to another pool.
    Move {
        /// The pool that gets the VM.
        to: PoolName,
        /// The number of accepted move grants that the planner saw. The fold refuses another
        /// number, so that two racing planners don't both carry out a plan.
        plan: u64,
    },
}

/// How far a drain is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No new work is started.
    Granted,
    /// No work is running.
    Drained,
    /// The reboot may be sent. Holds the boot id of the VM before the reboot, by which a
    /// successor of the driver tells whether the reboot has happened.
    Rebooting(u64),
    /// The VM is in service again; the drain is over.
    Back,
}

/// When a wave pauses itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureBound {
    /// The number of failures below which the wave goes on.
    pub failures: u32,
    /// The failures per hundred touched VMs above which the wave pauses.
    pub percent: u32,
}

impl Default for FailureBound {
    fn default() -> Self {
        Self {
            failures: 2,
            percent: 20,
        }
    }
}

/// The rules of one pool, mirrored from the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRule {
    /// How many VMs may be out at once, for any reason, when a drain is granted.
    pub max_unavailable: u32,
    /// How many racks may have drains of one wave at once.
    pub racks_at_once: u32,
}

/// The rules of the fold, mirrored from one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// The configuration version that the rules come from.
    pub version: Version,
    /// The rules per pool; a pool without a rule gets no grants.
    pub pools: BTreeMap<PoolName, PoolRule>,
    /// Whether waves may be granted drains.
    pub drains: bool,
    /// Whether moves may be granted drains.
    pub moves: bool,
}

impl Rules {
    /// Extracts the rules from a configuration.
    pub fn of(version: Version, config: &Config) -> Self {
        let pools = config.pools.iter().map(|(name, pool)| {
            let rule = PoolRule {
                max_unavailable: pool.max_unavailable,
                racks_at_once: pool.racks_at_once,
            };
            (name.clone(), rule)
        });
        Self {
            version,
            pools: pools.collect(),
            drains: config.automatic.is_on(Automatic::Drains),
            moves: config.automatic.is_on(Automatic::Moves),
        }
    }
}

/// A change of the maintenance state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Records a VM at first sight.
    AddVm {
        /// The VM.
        vm: VmName,
        /// Its availability zone.
        zone: ZoneName,
        /// Its rack.
        rack: RackName,
        /// The pool that the platform's list names.
        pool: PoolName,
    },
    /// Forgets a VM that the platform removed; an open drain of it ends.
    RemoveVm {
        /// The VM.
        vm: VmName,
    },
    /// Gives a VM whose drain for this move is at stage drained to the other pool.
    MoveVm {
        /// The VM.
        vm: VmName,
        /// The pool that loses the VM.
        from: PoolName,
        /// The pool that gets the VM.
        to: PoolName,
    },
    /// Takes a VM out of service without a drain.
    Out {
        /// The VM.
        vm: VmName,
        /// The reason.
        reason: Reason,
    },
    /// Ends `Out`. An open drain goes on.
    Back {
        /// The VM.
        vm: VmName,
    },
    /// Mirrors a configuration; a version that is not greater has no effect.
    SetRules(Rules),
    /// Starts a wave over pools.
    StartWave {
        /// The wave.
        wave: WaveId,
        /// The operator's command id.
        command: RecordId,
        /// The pools whose VMs are maintained.
        pools: BTreeSet<PoolName>,
        /// When the wave pauses itself.
        bound: FailureBound,
    },
    /// Stops new grants of a wave.
    PauseWave {
        /// The wave.
        wave: WaveId,
        /// The operator's command id.
        command: RecordId,
    },
    /// Lets a paused wave go on; its failure rate is counted anew.
    ResumeWave {
        /// The wave.
        wave: WaveId,
        /// The operator's command id.
        command: RecordId,
    },
    /// Ends a wave that has no VM left to maintain.
    EndWave {
        /// The wave.
        wave: WaveId,
    },
    /// Grants a drain; the record's id becomes the drain's id.
    GrantDrain {
        /// The VM.
        vm: VmName,
        /// What the drain is for.
        purpose: Purpose,
    },
    /// Records the next stage of a drain.
    SetStage {
        /// The VM.
        vm: VmName,
        /// The id of the drain, so that a late record does not touch a later drain.
        drain: RecordId,
        /// The stage that was reached.
        stage: Stage,
    },
}

/// Why a change is refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Rejection {
    /// The VM is not recorded.
    #[display("VM is not known")]
    UnknownVm,
    /// The VM is already recorded.
    #[display("VM is already recorded")]
    KnownVm,
    /// The VM is in another pool, or the move's pools are the same.
    #[display("VM is not in that pool")]
    WrongPool,
    /// The VM has no drain, or another one.
    #[display("VM has no such drain")]
    NoDrain,
    /// The VM is out already, or is not out.
    #[display("VM is out of service or in service already")]
    Unchanged,
    /// The stage does not follow the present one.
    #[display("stage does not follow")]
    WrongStage,
    /// The rules come from an older or the same configuration version.
    #[display("configuration version is not greater")]
    OldRules,
    /// The pool has no mirrored rule.
    #[display("pool has no rule")]
    NoRule,
    /// The switch of the action is off.
    #[display("switched off")]
    SwitchedOff,
    /// The wave is not running, does not cover the pool, or is not paused when it is resumed.
    #[display("wave is not in the state that the change needs")]
    WaveState,
    /// The wave id was used before, or another open wave covers one of the pools.
    #[display("wave id or pool is taken")]
    WaveTaken,
    /// The wave has maintained the VM already.
    #[display("VM is maintained already")]
    Maintained,
    /// The wave still has VMs to maintain.
    #[display("wave has VMs left")]
    WaveOpen,
    /// The command was carried out before.
    #[display("command was carried out before")]
    Repeated,
    /// The pool's availability budget is used up.
    #[display("availability budget is used up")]
    Budget,
    /// Other racks have drains of the wave.
    #[display("other racks are being drained")]
    Racks,
    /// Another planner's grant came first.
    #[display("plan is outdated")]
    OldPlan,
}
