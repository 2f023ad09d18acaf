//! P9: a target that is leaving gets no new work after a few seconds, and what still answers is
//! not closed by a list outage.

use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use lavenderhollow_core::maintenance::Usage;
use lavenderhollow_core::membership::Bounds;
use lavenderhollow_core::membership::Closed;
use lavenderhollow_core::membership::Holder;
use lavenderhollow_core::membership::LeaseAction;
use lavenderhollow_core::membership::ListedTarget;
use lavenderhollow_core::membership::Membership;
use lavenderhollow_core::membership::TAKEOVER_STEP;
use lavenderhollow_core::membership::lease_action;
use lavenderhollow_core::membership::owner;
use lavenderhollow_core::membership::ranked;
use lavenderhollow_types::EntryName;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use crate::fleet_world::add_vm;
use crate::fleet_world::folded;
use crate::fleet_world::listed_vm;
use crate::fleet_world::vm_name;
use crate::fuzz;
use crate::target_world::ENTRIES;
use crate::target_world::Machine;
use crate::target_world::Op;
use crate::target_world::TARGETS;
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

    /// Draws departures, starts and time more often than the drain machine does.
    fn transitions((): &()) -> BoxedStrategy<Op> {
        let (e, t) = (0..ENTRIES, 0..TARGETS);
        prop_oneof![
            40 => ops(),
            1 => (t.clone(), any::<bool>()).prop_map(|(t, knows)| Op::Leave(t, knows)),
            4 => (200..1500u64).prop_map(Op::Tick),
            6 => (e, t).prop_map(|(e, t)| Op::Start(e, t)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

#[test]
fn membership_machine() {
    let config = fuzz::config(fuzz::SEED, CASES);
    println!("membership_machine: {}", fuzz::describe(&config));
    fuzz::run::<Machine<Ops>>(&config, 100..400).unwrap_or_else(|failure| panic!("{failure}"));
}

fn usage(as_of: Instant) -> Usage {
    Usage {
        running: 0,
        boot: 1,
        leaving: false,
        as_of,
    }
}

fn listed(index: usize) -> ListedTarget {
    ListedTarget {
        vm: vm_name(index),
        address: ([127, 0, 0, 1], 9000).into(),
        leaving: false,
    }
}

/// Guards against closing targets that answer because the list is late, and against keeping
/// targets open that don't.
#[test]
fn list_outage_closes_only_what_does_not_answer() {
    let start = Instant::now();
    let mut membership = Membership::new(Bounds::default());
    membership.on_list(vec![listed(0), listed(1)], start);
    let state = folded((0..2).map(add_vm));
    for second in 0..120 {
        let now = start + Duration::from_secs(second);
        membership.on_fold(&state, now);
        for index in 0..2 {
            membership.on_lease(&vm_name(index), Some(now + Duration::from_secs(6)), now);
        }
        membership.on_answer(&vm_name(0), usage(now));
        if second == 0 {
            membership.on_answer(&vm_name(1), usage(now));
        }
        assert_matches!(membership.check(&vm_name(0), now), Ok(_));
        if second >= 3 {
            assert_matches!(
                membership.check(&vm_name(1), now),
                Err(Closed::NotAnswering)
            );
        }
    }
}

/// Guards against a snapshot that outlives its facts when nothing publishes a newer one, and
/// against a gate that lets requests in after a target was forgotten.
#[test]
fn old_snapshot_starts_nothing() {
    let start = Instant::now();
    let mut membership = Membership::new(Bounds::default());
    membership.on_list(vec![listed(0)], start);
    membership.on_fold(&folded([add_vm(0)]), start);
    membership.on_lease(&vm_name(0), Some(start + Duration::from_secs(60)), start);
    membership.on_answer(&vm_name(0), usage(start));
    membership.publish(start);
    let snapshot = membership.reader().load_full();
    let target = &snapshot.open(&listed_vm(0).pool)[0];
    assert_matches!(target.enter(start + Duration::from_secs(2)), Some(_));
    assert_matches!(target.enter(start + Duration::from_secs(3)), None);
    membership.on_list(Vec::new(), start + Duration::from_secs(1));
    assert_matches!(target.enter(start + Duration::from_secs(1)), None);
}

/// Guards against moving more workers than needed when an entry goes, which would idle targets
/// while leases lapse, and against an uneven assignment.
#[test]
fn only_the_workers_of_a_lost_entry_move() {
    let entries: Vec<EntryName> = (0..9)
        .map(|e| format!("entry-{e}").parse().expect("valid name"))
        .collect();
    let mut counts = [0; 9];
    for index in 0..900 {
        let vm = vm_name(index);
        let first = owner(&vm, &entries).expect("there are entries");
        let order = ranked(&vm, &entries);
        assert_eq!(order[0], first);
        counts[entries.iter().position(|e| e == first).expect("known")] += 1;
        let rest = entries.iter().filter(|entry| *entry != &entries[4]);
        let after = owner(&vm, rest).expect("there are entries");
        assert_eq!(
            after,
            if *first == entries[4] {
                order[1]
            } else {
                first
            }
        );
    }
    assert!(
        counts.iter().all(|count| (60..=150).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a lapsed lease that nobody takes while its owner is paused, and against two
/// entries that take a lease from each other in turn.
#[test]
fn lapsed_lease_goes_to_the_next_in_order() {
    let entries: Vec<EntryName> = (0..3)
        .map(|e| format!("entry-{e}").parse().expect("valid name"))
        .collect();
    let vm = vm_name(7);
    let order = ranked(&vm, &entries);
    let act = |rank: usize, holder| lease_action(order[rank], &vm, &entries, holder);
    assert_eq!(act(0, Holder::Nobody(Duration::ZERO)), LeaseAction::Take);
    assert_eq!(act(1, Holder::Nobody(Duration::ZERO)), LeaseAction::Leave);
    assert_eq!(act(1, Holder::Nobody(TAKEOVER_STEP)), LeaseAction::Take);
    assert_eq!(act(0, Holder::Other), LeaseAction::Leave);
    assert_eq!(act(0, Holder::Me), LeaseAction::Renew);
    assert_eq!(act(1, Holder::Me), LeaseAction::GiveBack);
}
