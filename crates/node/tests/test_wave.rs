//! Tests of the order of the upkeeps of a wave.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::ActiveWave;
use lavenderhollow_node::Wave;
use lavenderhollow_node::backend::Machine;
use lavenderhollow_node::backend::MachineState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Resources;

const UPKEEP: Duration = Duration::from_secs(2);

fn machine(name: &str, worker: &str, state: MachineState) -> Machine {
    Machine {
        name: name.into(),
        pool: "pool".into(),
        state,
        worker: Some(worker.into()),
        capacity: Resources::default(),
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

/// Guards against more machines down at once than the wave allows, orders without an answer
/// included.
#[test]
fn a_wave_keeps_its_bound() {
    let now = Instant::now();
    let mut run = ActiveWave::new(now, wave(&["m1", "m2"], 1), BTreeSet::new(), UPKEEP);
    let list = [
        machine("m1", "w1", MachineState::Up),
        machine("m2", "w2", MachineState::Up),
    ];
    assert!(!run.observe(now, &list));
    assert_eq!(run.draining().len(), 2);
    assert!(run.below_limit());
    run.mark_ordered(now, &"m1".into(), Some("w1".into()));
    assert!(!run.below_limit());
    run.observe(now + UPKEEP * 3, &list);
    assert!(
        !run.below_limit(),
        "an order without an answer may have been carried out"
    );
    run.mark_confirmed(&"m1".into());
    run.observe(
        now + UPKEEP * 3,
        &[machine("m1", "w3", MachineState::Up), list[1].clone()],
    );
    assert!(run.below_limit());
}

/// Guards against taking a live worker for ended: an order for a machine whose upkeep was done
/// before is answered like one that is carried out, and ends nothing.
#[test]
fn a_repeated_order_ends_no_worker() {
    let now = Instant::now();
    let mut run = ActiveWave::new(now, wave(&["m1"], 1), BTreeSet::new(), UPKEEP);
    let up = [machine("m1", "w2", MachineState::Up)];
    run.observe(now, &up);
    run.mark_ordered(now, &"m1".into(), Some("w2".into()));
    run.mark_confirmed(&"m1".into());
    assert_eq!(run.ended_workers(&up), vec![]);
    let kept_up = [machine("m1", "w2", MachineState::Maintenance)];
    let ended: Vec<(Name, Name)> = vec![("pool".into(), "w2".into())];
    assert_eq!(run.ended_workers(&kept_up), ended);
    assert_eq!(
        run.ended_workers(&kept_up),
        vec![],
        "each worker is told of once"
    );
}

/// Guards against a wave that is said to be completed while a machine has not had its upkeep or is
/// still down.
#[test]
fn a_wave_is_completed_when_every_listed_machine_is_back() {
    let now = Instant::now();
    let mut run = ActiveWave::new(now, wave(&["m1", "removed"], 1), BTreeSet::new(), UPKEEP);
    let up = [machine("m1", "w1", MachineState::Up)];
    assert!(!run.observe(now, &up));
    run.mark_ordered(now, &"m1".into(), Some("w1".into()));
    run.mark_confirmed(&"m1".into());
    assert!(!run.observe(now, &[machine("m1", "w1", MachineState::Maintenance)]));
    assert!(run.observe(now, &[machine("m1", "w2", MachineState::Up)]));
}

/// Guards against a machine that can't go down and keeps all others from it.
#[test]
fn a_machine_that_stays_busy_lets_others_go_first() {
    let now = Instant::now();
    let names = ["m1", "m2", "m3", "m4"];
    let mut run = ActiveWave::new(now, wave(&names, 1), BTreeSet::new(), UPKEEP);
    let list: Vec<Machine> = names
        .iter()
        .map(|m| machine(m, "w", MachineState::Up))
        .collect();
    run.observe(now, &list);
    let first: BTreeSet<Name> = run.draining().into_iter().collect();
    run.observe(now + Duration::from_secs(4), &list);
    let second: BTreeSet<Name> = run.draining().into_iter().collect();
    assert!(first.is_disjoint(&second), "{first:?} {second:?}");
}

/// Guards against a wave that is late because pools under load keep their machines to the end.
#[test]
fn a_wave_becomes_urgent_before_its_time_is_over() {
    let now = Instant::now();
    let run = ActiveWave::new(now, wave(&["m1"], 1), BTreeSet::new(), UPKEEP);
    assert!(!run.is_urgent(now + Duration::from_secs(5)));
    assert!(run.is_urgent(now + Duration::from_secs(10)));
}
