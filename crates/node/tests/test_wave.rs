//! Tests of which machines a wave takes down, and when.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::ActiveWave;
use lavenderhollow_node::Wave;
use lavenderhollow_node::backend::Machine;
use lavenderhollow_node::backend::MachineState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Resources;

const MAINTENANCE_TIME: Duration = Duration::from_secs(2);

fn machine(name: &str, worker: &str, state: MachineState) -> Machine {
    Machine {
        name: name.into(),
        pool: "pool".into(),
        state,
        worker: Some(worker.into()),
        capacity: Resources::default(),
        zone: "".into(),
    }
}

fn wave(machines: &[&str], max_unavailable: usize) -> Wave {
    Wave {
        number: 1,
        machines: machines.iter().map(|m| Name::from(*m)).collect(),
        time_limit: Duration::from_secs(20),
        max_unavailable,
    }
}

/// Guards against more unavailable machines than the wave allows, where commands without a response
/// count as executed.
#[test]
fn a_wave_keeps_its_limit_of_unavailable_machines() {
    let now = Instant::now();
    let mut active_wave = ActiveWave::new(
        now,
        wave(&["m1", "m2"], 1),
        BTreeSet::new(),
        MAINTENANCE_TIME,
    );
    let list = [
        machine("m1", "w1", MachineState::Up),
        machine("m2", "w2", MachineState::Up),
    ];
    assert!(!active_wave.observe(now, &list));
    assert_eq!(active_wave.draining().len(), 2);
    assert_eq!(active_wave.free_slots(), 1);
    active_wave.mark_requested(now, &"m1".into(), Some("w1".into()));
    assert_eq!(active_wave.free_slots(), 0);
    active_wave.observe(now + MAINTENANCE_TIME * 3, &list);
    assert_eq!(
        active_wave.free_slots(),
        0,
        "a command without a response may have been executed"
    );
    active_wave.mark_confirmed(&"m1".into());
    active_wave.observe(
        now + MAINTENANCE_TIME * 3,
        &[machine("m1", "w3", MachineState::Up), list[1].clone()],
    );
    assert_eq!(active_wave.free_slots(), 1);
}

/// Guards against reporting a live worker as terminated: a command for a machine whose maintenance
/// was done before gets the same response as one that is executed, but terminates nothing.
#[test]
fn a_repeated_command_terminates_no_worker() {
    let now = Instant::now();
    let mut active_wave = ActiveWave::new(now, wave(&["m1"], 1), BTreeSet::new(), MAINTENANCE_TIME);
    let up = [machine("m1", "w2", MachineState::Up)];
    active_wave.observe(now, &up);
    active_wave.mark_requested(now, &"m1".into(), Some("w2".into()));
    active_wave.mark_confirmed(&"m1".into());
    assert_eq!(active_wave.terminated_workers(&up), vec![]);
    let under_maintenance = [machine("m1", "w2", MachineState::Maintenance)];
    let terminated: Vec<(Name, Name)> = vec![("pool".into(), "w2".into())];
    assert_eq!(
        active_wave.terminated_workers(&under_maintenance),
        terminated
    );
    assert_eq!(
        active_wave.terminated_workers(&under_maintenance),
        vec![],
        "each worker is returned once"
    );
}

/// Guards against a wave that counts as completed while a machine has not been maintained or is
/// still down.
#[test]
fn a_wave_is_completed_when_every_listed_machine_is_up_again() {
    let now = Instant::now();
    let mut active_wave = ActiveWave::new(
        now,
        wave(&["m1", "removed"], 1),
        BTreeSet::new(),
        MAINTENANCE_TIME,
    );
    let up = [machine("m1", "w1", MachineState::Up)];
    assert!(!active_wave.observe(now, &up));
    active_wave.mark_requested(now, &"m1".into(), Some("w1".into()));
    active_wave.mark_confirmed(&"m1".into());
    assert!(!active_wave.observe(now, &[machine("m1", "w1", MachineState::Maintenance)]));
    assert!(active_wave.observe(now, &[machine("m1", "w2", MachineState::Up)]));
}

/// Guards against a machine that can't go down and keeps the others from going down.
#[test]
fn a_machine_that_stays_busy_does_not_block_others() {
    let now = Instant::now();
    let names = ["m1", "m2", "m3", "m4"];
    let mut active_wave = ActiveWave::new(now, wave(&names, 1), BTreeSet::new(), MAINTENANCE_TIME);
    let list: Vec<Machine> = names
        .iter()
        .map(|m| machine(m, "w", MachineState::Up))
        .collect();
    active_wave.observe(now, &list);
    let first: BTreeSet<Name> = active_wave.draining().into_iter().collect();
    active_wave.observe(now + Duration::from_secs(4), &list);
    let second: BTreeSet<Name> = active_wave.draining().into_iter().collect();
    assert!(first.is_disjoint(&second), "{first:?} {second:?}");
}

/// Guards against a wave that misses its time limit because pools under load keep their machines to
/// the end.
#[test]
fn a_wave_becomes_urgent_before_its_time_limit() {
    let now = Instant::now();
    let active_wave = ActiveWave::new(now, wave(&["m1"], 1), BTreeSet::new(), MAINTENANCE_TIME);
    assert!(!active_wave.is_urgent(now + Duration::from_secs(5)));
    assert!(active_wave.is_urgent(now + Duration::from_secs(10)));
}

/// Guards against more unavailable machines than the wave allows after a change of owner, against two
/// owners that command one machine in turn, and against an owner that waits although it knows what
/// the earlier one commanded.
#[test]
fn machines_that_an_earlier_owner_commanded_count_as_unavailable() {
    let now = Instant::now();
    let until = now + Duration::from_secs(3);
    let names = ["m1", "m2", "m3", "m4", "m5"];
    let mut active_wave = ActiveWave::new(now, wave(&names, 3), BTreeSet::new(), MAINTENANCE_TIME);
    // The list shows the maintenance of m2, and not yet that of m1; m9 is not part of the wave.
    active_wave.inherit(["m1", "m9"].map(Name::from).into(), until);
    let mut list: Vec<Machine> = names
        .iter()
        .map(|m| machine(m, m, MachineState::Up))
        .collect();
    list[1].state = MachineState::Maintenance;
    assert!(!active_wave.observe(now, &list));
    assert_eq!(active_wave.free_slots(), 1);
    assert_eq!(active_wave.draining(), ["m3", "m4"].map(Name::from));
    list[1].state = MachineState::Up;
    active_wave.observe(until, &list);
    assert_eq!(active_wave.free_slots(), 3);
    assert_eq!(
        active_wave.draining(),
        ["m1", "m2", "m3", "m4"].map(Name::from)
    );
}

/// Guards against a wave that counts as completed while the last machines of an earlier owner are
/// down.
#[test]
fn a_wave_waits_for_the_machines_of_an_earlier_owner() {
    let now = Instant::now();
    let started = BTreeSet::from(["m1".into()]);
    let mut active_wave = ActiveWave::new(now, wave(&["m1"], 1), started, MAINTENANCE_TIME);
    assert!(!active_wave.observe(now, &[machine("m1", "w1", MachineState::Maintenance)]));
    assert!(active_wave.observe(now, &[machine("m1", "w2", MachineState::Up)]));
}

/// Guards against a wave that takes machines which have tasks before those of an evacuated zone, also of
/// one that was deferred before the evacuation, and against blocked machines of an evacuated zone that
/// hold up the others.
#[test]
fn machines_of_evacuated_zones_go_down_first() {
    let now = Instant::now();
    let names = ["m1", "m2", "m3", "m4", "m5"];
    let mut active_wave = ActiveWave::new(now, wave(&names, 1), BTreeSet::new(), MAINTENANCE_TIME);
    let mut list: Vec<Machine> = names
        .iter()
        .map(|m| machine(m, m, MachineState::Up))
        .collect();
    for machine in &mut list[3..] {
        machine.zone = "a".into();
    }
    active_wave.defer(now, &"m4".into());
    active_wave.set_evacuated_zones(&Arc::new(["a".into()].into()));
    active_wave.observe(now, &list);
    assert_eq!(active_wave.draining(), ["m4", "m5"].map(Name::from));
    active_wave.observe(now + Duration::from_secs(4), &list);
    assert_eq!(active_wave.draining(), ["m1", "m2"].map(Name::from));
}
