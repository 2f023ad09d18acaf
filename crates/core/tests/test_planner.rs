//! Buffers and moves by weighted cost, the wave driver, and the switches.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_config::Switches;
use lavenderhollow_config::Weights;
use lavenderhollow_core::fold::Context;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::maintenance::Change;
use lavenderhollow_core::maintenance::FleetView;
use lavenderhollow_core::maintenance::Purpose;
use lavenderhollow_core::maintenance::Rejection;
use lavenderhollow_core::maintenance::Stage;
use lavenderhollow_core::maintenance::VmLoad;
use lavenderhollow_core::maintenance::WaveDriver;
use lavenderhollow_core::planner::BOARD;
use lavenderhollow_core::planner::HAMAKAZE;
use lavenderhollow_core::planner::Plan;
use lavenderhollow_core::planner::PlannedMove;
use lavenderhollow_core::planner::Planner;
use lavenderhollow_core::planner::PoolView;
use lavenderhollow_core::planner::Tuning;
use lavenderhollow_core::planner::grants;
use lavenderhollow_core::record::Position;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;

use crate::fleet_world::add_vm;
use crate::fleet_world::folded;
use crate::fleet_world::granted;
use crate::fleet_world::pool_name;
use crate::fleet_world::rules;
use crate::fleet_world::start_wave;
use crate::fleet_world::vm_name;

/// Two serving pools, of which the first peaks for 8 of 40 seconds, and the spare pool.
fn pools(second: u64) -> BTreeMap<PoolName, PoolView> {
    let peak = second % 40 < 8;
    let view = |running, waiting, spare| PoolView {
        serving: 10,
        room: 3,
        slots: 8,
        running,
        waiting,
        spare,
        ..PoolView::default()
    };
    let first = if peak {
        view(80, 20, false)
    } else {
        view(1, 0, false)
    };
    [first, view(20, 0, false), view(5, 0, true)]
        .into_iter()
        .enumerate()
        .map(|(index, view)| (pool_name(index), view))
        .collect()
}

/// The second that plans are asked for, between two peaks; in a peak its buffer is in use.
const LATEST: u64 = 420;

fn plan(weights: Weights, switches: Switches) -> Plan {
    let start = Instant::now();
    let mut planner = Planner::new(weights, Tuning::default());
    for second in 0..=LATEST {
        planner.observe(&pools(second), start + Duration::from_secs(second));
    }
    planner.plan(
        &pools(LATEST),
        &switches,
        start + Duration::from_secs(LATEST),
    )
}

/// Guards against weights that have no effect: the user who weighs nearness to share gets VMs and
/// buffers for the peaks, the one who weighs moves and buffer cost gets neither.
#[test]
fn users_weights_give_different_plans() {
    let urgent = plan(HAMAKAZE, Switches::default());
    let frugal = plan(BOARD, Switches::default());
    assert!(
        urgent
            .moves
            .iter()
            .any(|planned| planned.to == pool_name(0))
    );
    assert!(urgent.buffers[&pool_name(0)] > 40);
    assert_eq!(frugal.moves, []);
    assert_eq!(frugal.buffers[&pool_name(0)], 0);
}

/// Guards against actions that go on although they are switched off.
#[test]
fn switched_off_plans_nothing_new() {
    let plan = plan(HAMAKAZE, Switches::all_off());
    assert_eq!(plan.moves, []);
    assert!(plan.buffers.values().all(|slots| *slots == 0));
}

/// Guards against moves back and forth with each peak, and against moves beyond the budget.
#[test]
fn moves_keep_their_direction_and_the_budget() {
    let start = Instant::now();
    let mut planner = Planner::new(HAMAKAZE, Tuning::default());
    let (mut borrowed, mut turns, mut grew) = (0_i32, 0, None);
    for second in 0..1200 {
        let now = start + Duration::from_secs(second);
        let mut pools = pools(second);
        let first = pools.get_mut(&pool_name(0)).expect("the pool is there");
        (first.serving, first.borrowed) = ((10 + borrowed) as u32, borrowed);
        pools
            .get_mut(&pool_name(2))
            .expect("the spare is there")
            .serving = (10 - borrowed) as u32;
        planner.observe(&pools, now);
        for planned in planner.plan(&pools, &Switches::default(), now).moves {
            assert!(planned.count <= 3, "{planned:?} is beyond the budget");
            let grows = planned.to == pool_name(0);
            if planned.from == pool_name(0) || grows {
                turns += u32::from(grew.replace(grows).is_some_and(|before| before != grows));
                borrowed += planned.count as i32 * if grows { 1 } else { -1 };
            }
        }
    }
    assert!(grew.is_some(), "nothing was moved");
    assert!(turns <= 4, "{turns} turns in 1200 s, dwell is 300 s");
}

fn loads(vms: usize, now: Instant) -> BTreeMap<VmName, VmLoad> {
    let load = |index: usize| VmLoad {
        running: (vms - index) as u32,
        remaining: Duration::from_secs((vms - index) as u64),
        as_of: now,
    };
    (0..vms)
        .map(|index| (vm_name(index), load(index)))
        .collect()
}

/// Guards against moves that cut work or that two planners carry out both: a move drains the VM
/// with the least work, and a second plan from the same state is refused.
#[test]
fn moves_drain_the_cheapest_vm_once() {
    let rules = Change::SetRules(rules(2, 1, true, true));
    let mut state = folded((0..6).map(add_vm).chain([rules]));
    let (from, to) = (pool_name(0), pool_name(1));
    let planned = [PlannedMove { from, to, count: 1 }];
    let changes = grants(&state, &planned, &loads(6, Instant::now()));
    let purpose = Purpose::Move {
        to: pool_name(1),
        plan: 0,
    };
    let vm = vm_name(3);
    assert_eq!(
        changes,
        [Change::GrantDrain {
            vm,
            purpose: purpose.clone()
        }]
    );
    state
        .apply(&context(), &changes[0])
        .expect("the grant is in order");
    let vm = vm_name(0);
    let again = state.apply(&context(), &Change::GrantDrain { vm, purpose });
    assert_eq!(again, Err(Rejection::OldPlan));
}

fn context() -> Context {
    Context {
        position: Position {
            offset: Offset::new(100),
            time: std::time::SystemTime::UNIX_EPOCH,
        },
        id: RecordId::from_number(100),
        actor: Incarnation::from_number(0),
    }
}

/// Guards against a wave that spreads over racks or starts with the longest tasks.
#[test]
fn driver_grants_the_cheapest_rack_together() {
    let rules = rules(2, 1, true, true);
    let vms = (0..12).map(add_vm);
    let state = folded(vms.chain([Change::SetRules(rules.clone()), start_wave()]));
    let now = Instant::now();
    let mut view = FleetView::new(rules, now);
    view.loads = loads(12, now);
    let granted: Vec<_> = WaveDriver::default()
        .next(&state, &view)
        .into_iter()
        .map(|change| match change {
            Change::GrantDrain { vm, .. } => vm,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(granted, [11, 10, 9, 8].map(vm_name));
}

/// Guards against grants on a view that may have missed failures, drains or a configuration.
#[test]
fn driver_grants_nothing_on_a_stale_view() {
    let rules = rules(2, 1, true, true);
    let state = folded([add_vm(0), Change::SetRules(rules.clone()), start_wave()]);
    let now = Instant::now() + Duration::from_secs(60);
    let old = now - Duration::from_secs(6);
    let mut view = FleetView::new(rules, now);
    view.loads = loads(1, now);
    let driver = WaveDriver::default();
    assert_eq!(driver.next(&state, &view).len(), 1);
    let mut stale = view.clone();
    stale.folded = old;
    assert_eq!(driver.next(&state, &stale), []);
    stale = view.clone();
    stale.listed = old;
    assert_eq!(driver.next(&state, &stale), []);
    stale = view.clone();
    stale.loads = loads(1, old);
    assert_eq!(driver.next(&state, &stale), []);
    stale = view;
    stale.suspects = [vm_name(0)].into();
    assert_eq!(driver.next(&state, &stale), []);
}

/// Guards against switches that stop a drain half way or forget that it counts.
#[test]
fn running_drains_finish_with_all_switches_off() {
    let (mut state, drain) = granted(0);
    let mut off = rules(2, 1, false, false);
    off.version = off.version.next();
    let now = Instant::now();
    let mut view = FleetView::new(off.clone(), now);
    view.loads = loads(4, now);
    state
        .apply(&context(), &Change::SetRules(off))
        .expect("the rules are newer");
    assert_eq!(WaveDriver::default().next(&state, &view), []);
    assert_eq!(state.pool(&pool_name(0)).map(|pool| pool.out), Some(1));
    for stage in [Stage::Drained, Stage::Rebooting(1), Stage::Back] {
        let (vm, drain) = (vm_name(0), drain.id);
        let change = Change::SetStage { vm, drain, stage };
        state.apply(&context(), &change).expect("the drain goes on");
    }
    assert_eq!(state.pool(&pool_name(0)).map(|pool| pool.out), Some(0));
    state.apply(&context(), &add_vm(3)).expect("the VM is new");
    let purpose = Purpose::Wave(WaveId::from_number(1));
    let vm = vm_name(3);
    let refused = state.apply(&context(), &Change::GrantDrain { vm, purpose });
    assert_eq!(refused, Err(Rejection::SwitchedOff));
}
