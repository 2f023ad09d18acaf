//! P10: a planned stop of a target or of an entry cuts no request.

use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use lavenderhollow_core::maintenance::Drain;
use lavenderhollow_core::maintenance::DrainStep;
use lavenderhollow_core::maintenance::Usage;
use lavenderhollow_core::membership::Bounds;
use lavenderhollow_core::membership::ListedTarget;
use lavenderhollow_core::membership::Membership;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use crate::fleet_world::granted;
use crate::fleet_world::vm_name;
use crate::fuzz;
use crate::target_world::Machine;
use crate::target_world::Op;
use crate::target_world::ops;

const CASES: u32 = 300;

#[derive(Debug)]
struct Ops;

impl ReferenceStateMachine for Ops {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        ops()
    }

    fn apply((): (), _: &Op) {}
}

#[test]
fn drain_machine() {
    let config = fuzz::config(fuzz::SEED, CASES);
    println!("drain_machine: {}", fuzz::describe(&config));
    fuzz::run::<Machine<Ops>>(&config, 100..500).unwrap_or_else(|failure| panic!("{failure}"));
}

/// Guards against a reboot on a report from before this entry alone could start work: work that
/// another entry started since is not in it.
#[test]
fn old_report_does_not_count_as_quiet() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut membership = Membership::new(Bounds::default());
    let listed = ListedTarget {
        vm: vm_name(0),
        address: ([127, 0, 0, 1], 9000).into(),
        leaving: false,
    };
    membership.on_list(vec![listed], now);
    let at = |seconds| now + Duration::from_secs(seconds);
    membership.on_lease(&vm_name(0), Some(at(6)), at(0));
    membership.on_lease(&vm_name(0), Some(at(9)), at(3));
    assert_eq!(
        membership.target_view(&vm_name(0), at(4)).lease_since,
        Some(at(0))
    );
    membership.on_lease(&vm_name(0), Some(at(16)), at(10));
    let mut view = membership.target_view(&vm_name(0), at(10));
    assert_eq!(
        view.lease_since,
        Some(at(10)),
        "the lease had lapsed in between"
    );

    let (state, record) = granted(0);
    let mut drain = Drain::new(vm_name(0), &record, at(1));
    let mut usage = Usage {
        running: 0,
        boot: 1,
        leaving: false,
        as_of: at(5),
    };
    view.usage = Some(usage);
    assert_eq!(drain.step(&state, &view, at(10)), DrainStep::Checkpoint);
    assert_eq!(drain.step(&state, &view, at(10)), DrainStep::Wait);
    usage.as_of = at(11);
    view.usage = Some(usage);
    assert_matches!(drain.step(&state, &view, at(11)), DrainStep::Record(_));
}
