//! The folded maintenance state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::SystemTime;

use lavenderhollow_types::Offset;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RackName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;
use lavenderhollow_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

use super::FailureBound;
use super::Purpose;
use super::Reason;
use super::Rules;
use super::Stage;

/// How many ended waves are remembered, so that a repeated start of one is refused. At 228 pools
/// maintained every 3 weeks this is three months.
pub(super) const ENDED_WAVES: usize = 1024;

/// How many command ids a wave remembers.
pub(super) const COMMANDS: usize = 16;

/// An open drain of a VM.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The id of the grant's record.
    pub id: RecordId,
    /// What the drain is for.
    pub purpose: Purpose,
    /// How far the drain is.
    pub stage: Stage,
    /// The log's time of the grant.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub granted: SystemTime,
}

/// A VM of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The VM's rack.
    pub rack: RackName,
    /// The pool that the VM belongs to.
    pub pool: PoolName,
    /// Why the VM is out without a drain.
    pub out: Option<Reason>,
    /// The open drain.
    pub drain: Option<DrainRecord>,
    /// The offset at which the VM was added or last came back from a reboot of a wave.
    pub maintained: Offset,
    /// The wave that touched the VM last, until the VM is counted as its failure.
    pub touched: Option<WaveId>,
}

impl VmRecord {
    /// Tells whether the VM counts against the availability budget of its pool.
    pub fn is_out(&self) -> bool {
        self.out.is_some() || self.drain.is_some()
    }

    /// Tells whether a wave that started at `started` still has to maintain the VM.
    pub fn is_due(&self, started: Offset) -> bool {
        self.maintained < started
    }
}

/// A pool with its counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// The VMs of the pool.
    pub vms: BTreeSet<VmName>,
    /// How many of them are out for any reason.
    pub out: u32,
}

/// Whether a wave grants drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveStatus {
    /// Drains are granted.
    Running,
    /// An operator paused the wave.
    Paused,
    /// The wave paused itself because too much of what it touched failed.
    Failing,
}

/// An open wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// The pools whose VMs are maintained.
    pub pools: BTreeSet<PoolName>,
    /// When the wave pauses itself.
    pub bound: FailureBound,
    /// Whether the wave grants drains.
    pub status: WaveStatus,
    /// The offset of the start; VMs added later are not maintained.
    pub started: Offset,
    /// The VMs touched since the start or the last resume.
    pub touched: u32,
    /// The touched VMs that failed since the start or the last resume.
    pub failed: u32,
    /// Open drains per rack.
    pub racks: BTreeMap<RackName, u32>,
    /// The latest commands.
    pub commands: VecDeque<RecordId>,
}

/// The folded state of VMs, pools, drains and waves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Maintenance {
    pub(super) vms: BTreeMap<VmName, VmRecord>,
    pub(super) pools: BTreeMap<PoolName, PoolRecord>,
    pub(super) draining: BTreeSet<VmName>,
    pub(super) waves: BTreeMap<WaveId, WaveRecord>,
    pub(super) ended: VecDeque<WaveId>,
    pub(super) rules: Rules,
    pub(super) plan: u64,
}

impl Maintenance {
    /// Returns the subject of a VM.
    pub fn vm_subject(vm: &VmName) -> String {
        format!("vm/{vm}")
    }

    /// Returns the subject of a wave.
    pub fn wave_subject(wave: WaveId) -> String {
        format!("wave/{wave}")
    }

    /// Returns a VM.
    pub fn vm(&self, vm: &VmName) -> Option<&VmRecord> {
        self.vms.get(vm)
    }

    /// Returns the VMs in the order of their names.
    pub fn vms(&self) -> impl Iterator<Item = (&VmName, &VmRecord)> {
        self.vms.iter()
    }

    /// Returns a pool; a pool that never had a VM is absent.
    pub fn pool(&self, pool: &PoolName) -> Option<&PoolRecord> {
        self.pools.get(pool)
    }

    /// Returns the pools in the order of their names.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &PoolRecord)> {
        self.pools.iter()
    }

    /// Returns the VMs with an open drain.
    pub fn drains(&self) -> impl Iterator<Item = (&VmName, &DrainRecord)> {
        let with_drain = |vm| Some((vm, self.vms.get(vm)?.drain.as_ref()?));
        self.draining.iter().filter_map(with_drain)
    }

    /// Returns an open wave.
    pub fn wave(&self, wave: WaveId) -> Option<&WaveRecord> {
        self.waves.get(&wave)
    }

    /// Returns the open waves.
    pub fn waves(&self) -> impl Iterator<Item = (WaveId, &WaveRecord)> {
        self.waves.iter().map(|(id, wave)| (*id, wave))
    }

    /// Tells whether a wave has ended.
    pub fn has_ended(&self, wave: WaveId) -> bool {
        self.ended.contains(&wave)
    }

    /// Tells whether a wave carried out an operator's command, to answer a repeat of it.
    pub fn has_command(&self, wave: WaveId, command: RecordId) -> bool {
        self.waves
            .get(&wave)
            .is_some_and(|wave| wave.commands.contains(&command))
    }

    /// Returns the mirrored rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns the number of accepted move grants.
    pub fn plan(&self) -> u64 {
        self.plan
    }

    /// Returns how many more VMs of a pool may be out.
    pub fn room(&self, pool: &PoolName) -> u32 {
        let budget = self
            .rules
            .pools
            .get(pool)
            .map_or(0, |rule| rule.max_unavailable);
        let out = self.pools.get(pool).map_or(0, |pool| pool.out);
        budget.saturating_sub(out)
    }
}
