//! Settings and names that the machines of the fleet's modules share.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::fold::Context;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::maintenance::Change;
use lavenderhollow_core::maintenance::DrainRecord;
use lavenderhollow_core::maintenance::FailureBound;
use lavenderhollow_core::maintenance::ListedVm;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::PoolRule;
use lavenderhollow_core::maintenance::Purpose;
use lavenderhollow_core::maintenance::Rules;
use lavenderhollow_core::record::Position;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;

/// The monotonic and the wall time of a world, which start together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorldTime {
    start: Instant,
    pub(crate) passed: Duration,
}

impl WorldTime {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            passed: Duration::from_secs(1000),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + self.passed
    }

    pub(crate) fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.passed
    }
}

pub(crate) fn vm_name(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).expect("valid name")
}

pub(crate) fn pool_name(index: usize) -> PoolName {
    PoolName::new(&format!("pool-{index}")).expect("valid name")
}

/// Returns a VM in one of three pools and two zones, four to a rack.
pub(crate) fn listed_vm(index: usize) -> ListedVm {
    ListedVm {
        vm: vm_name(index),
        zone: format!("zone-{}", index / 8 % 2)
            .parse()
            .expect("valid name"),
        rack: format!("rack-{}", index / 4).parse().expect("valid name"),
        pool: pool_name(index % 3),
        leaving: false,
    }
}

/// Applies changes as accepted records, in their order.
pub(crate) fn folded(changes: impl IntoIterator<Item = Change>) -> Maintenance {
    let mut state = Maintenance::default();
    for (offset, change) in (0..).zip(changes) {
        let cx = Context {
            position: Position {
                offset: Offset::new(offset),
                time: SystemTime::UNIX_EPOCH,
            },
            id: RecordId::from_number(u128::from(offset)),
            actor: Incarnation::from_number(0),
        };
        let applied = state.apply(&cx, &change);
        applied.unwrap_or_else(|rejection| panic!("{change:?}: {rejection}"));
    }
    state
}

pub(crate) fn add_vm(index: usize) -> Change {
    let listed = listed_vm(index);
    Change::AddVm {
        vm: listed.vm,
        zone: listed.zone,
        rack: listed.rack,
        pool: listed.pool,
    }
}

/// Rules of three pools.
pub(crate) fn rules(budget: u32, racks: u32, drains: bool, moves: bool) -> Rules {
    let rule = PoolRule {
        max_unavailable: budget,
        racks_at_once: racks,
    };
    Rules {
        version: Version::new(1),
        pools: (0..3).map(|pool| (pool_name(pool), rule)).collect(),
        drains,
        moves,
    }
}

pub(crate) fn start_wave() -> Change {
    Change::StartWave {
        wave: WaveId::from_number(1),
        command: RecordId::from_number(1),
        pools: (0..3).map(pool_name).collect(),
        bound: FailureBound::default(),
    }
}

/// A state in which a wave was granted the drain of a VM.
pub(crate) fn granted(index: usize) -> (Maintenance, DrainRecord) {
    let vm = vm_name(index);
    let purpose = Purpose::Wave(WaveId::from_number(1));
    let grant = Change::GrantDrain { vm, purpose };
    let rules = Change::SetRules(rules(2, 1, true, true));
    let state = folded([rules, add_vm(index), start_wave(), grant]);
    let drain = state.drains().map(|(_, drain)| drain.clone()).next();
    (state, drain.expect("a drain is open"))
}
