//! Placement, and the evidence that takes jobs and workers out of it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_config::Resources;
use lavenderhollow_core::evidence::Action;
use lavenderhollow_core::evidence::Evidence;
use lavenderhollow_core::placement::Place;
use lavenderhollow_core::placement::Report;
use lavenderhollow_core::placement::Target;
use lavenderhollow_core::placement::Targets;
use lavenderhollow_types::RackName;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::VmName;
use rand::RngCore;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 41;

fn vm(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).unwrap()
}

fn worker(index: usize) -> Target {
    Target {
        vm: vm(index),
        rack: RackName::new(&format!("rack-{}", index / 4)).unwrap(),
        slots: 8,
        connections: 64,
        size: size(32_000, 64_000),
        report: None,
    }
}

fn size(milli_cores: u32, memory_mib: u32) -> Resources {
    Resources {
        milli_cores,
        memory_mib,
        accelerators: 0,
    }
}

fn place(view: &Targets, now: Instant, count: usize, need: &Resources) -> Vec<Place> {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let places = (0..count).map_while(|_| view.choose(now, need, &mut || rng.next_u64()).ok());
    places.collect()
}

/// Guards against a choice that overfills a target or gives up while there is room.
#[test]
fn every_slot_is_found_once() {
    let view = Targets::new((0..40).map(worker).collect(), &[], None);
    let places = place(&view, Instant::now(), 1000, &size(1000, 1000));
    assert_eq!(places.len(), 320);
    let mut counts = BTreeMap::new();
    for place in &places {
        *counts.entry(place.vm().clone()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 8));
    drop(places);
    assert_eq!(
        place(&view, Instant::now(), 1000, &size(1000, 1000)).len(),
        320
    );
}

/// Guards against large requests that are placed by slots alone.
#[test]
fn memory_bounds_a_target() {
    let view = Targets::new((0..10).map(worker).collect(), &[], None);
    assert_eq!(
        place(&view, Instant::now(), 100, &size(1000, 30_000)).len(),
        20
    );
}

/// Guards against requests that wait for a worker that doesn't exist, and against a refusal for
/// good because the large worker is only closed.
#[test]
fn impossible_is_told_from_full() {
    let view = Targets::new((0..4).map(worker).collect(), &[], None);
    let kind = |view: &Targets, need: &Resources| {
        let place = view.choose(Instant::now(), need, &mut || 7);
        place.err().map(|refusal| refusal.kind)
    };
    let large = size(64_000, 1000);
    assert_eq!(kind(&view, &large), Some(RefusalKind::Impossible));
    let view = Targets::new((0..4).map(worker).collect(), &[large], None);
    assert_eq!(kind(&view, &large), Some(RefusalKind::Overloaded));
    let view = Targets::new(Vec::new(), &[large], None);
    assert_eq!(kind(&view, &large), Some(RefusalKind::NoTarget));
    // Whether a request can ever run does not depend on open targets.
    assert_eq!(view.check(&large), Ok(()));
    let larger = view
        .check(&size(128_000, 1000))
        .map_err(|refusal| refusal.kind);
    assert_eq!(larger, Err(RefusalKind::Impossible));
}

/// Guards against a late report that hides what was started after it, and against counting twice
/// what it includes.
#[test]
fn late_report_keeps_later_starts() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let need = size(1000, 1000);
    let view = Targets::new(vec![worker(0)], &[], None);
    let first = place(&view, start, 3, &need);
    let later = place(&view, start + 2 * second, 2, &need);
    let mut target = worker(0);
    target.report = Some(Report {
        as_of: start + second,
        slots: 3,
        used: size(3000, 3000),
    });
    let view = Targets::new(vec![target], &[], Some(&view));
    let rest = place(&view, start + 3 * second, 100, &need);
    assert_eq!((first.len(), later.len(), rest.len()), (3, 2, 3));
    drop(first);
    assert_eq!(place(&view, start + 3 * second, 100, &need).len(), 3);
}

/// Guards against a choice between equally loaded targets that ignores their racks.
#[test]
fn equal_load_spreads_over_racks() {
    let view = Targets::new((0..8).map(worker).collect(), &[], None);
    let choose = |drawn: [u64; 2]| {
        let mut numbers = drawn.into_iter().map(|index| index << 61 | 1);
        let place = view.choose(Instant::now(), &size(1000, 1000), &mut || {
            numbers.next().unwrap()
        });
        place.unwrap()
    };
    let first = choose([1, 1]);
    assert_eq!(first.vm(), &vm(1));
    let second = choose([0, 4]);
    assert_eq!(second.vm(), &vm(4));
    drop(first);
    assert_eq!(choose([5, 2]).vm(), &vm(2));
}

fn evidence(workers: usize) -> Evidence {
    let mut evidence = Evidence::default();
    evidence.set_workers(&(0..workers).map(vm).collect::<Vec<_>>());
    evidence
}

/// Guards against a job that takes down worker after worker, and against blaming the workers.
#[test]
fn failing_job_is_quarantined() {
    let (mut evidence, now) = (evidence(50), Instant::now());
    assert_eq!(evidence.record(now, 1, &vm(0), false), []);
    assert_eq!(evidence.record(now, 1, &vm(0), false), []);
    assert_eq!(evidence.record(now, 1, &vm(1), false), []);
    assert_eq!(
        evidence.record(now, 1, &vm(2), false),
        [Action::Quarantine(1)]
    );
    assert!(evidence.is_quarantined(1));
    assert_eq!(evidence.out(), 0);
    evidence.pardon(1);
    assert!(!evidence.is_quarantined(1));
}

/// Fails three jobs on a worker and lets them succeed on another.
fn spoil(evidence: &mut Evidence, now: Instant, worker: usize, good: usize) -> Vec<Action> {
    let mut actions = Vec::new();
    for job in 0..3 {
        let job = (worker * 10 + job) as u64;
        actions.extend(evidence.record(now, job, &vm(worker), false));
        actions.extend(evidence.record(now, job, &vm(good), true));
    }
    actions
}

/// Guards against a worker that fails everything it starts, against one that is trusted again
/// without a probe, and against one that never comes back.
#[test]
fn failing_worker_recovers_by_probation() {
    let (mut evidence, now) = (evidence(50), Instant::now());
    assert_eq!(spoil(&mut evidence, now, 3, 4), [Action::TakeOut(vm(3))]);
    assert!(!evidence.is_open(now, &vm(3)));
    let mut probe = now + Duration::from_secs(61);
    assert!(evidence.is_open(probe, &vm(3)));
    evidence.started(&vm(3));
    assert!(!evidence.is_open(probe, &vm(3)));
    evidence.record(probe, 900, &vm(3), false);
    assert!(!evidence.is_open(probe + Duration::from_secs(61), &vm(3)));
    probe += Duration::from_secs(121);
    let mut actions = Vec::new();
    for job in 0..3 {
        assert!(evidence.is_open(probe, &vm(3)));
        evidence.started(&vm(3));
        actions.extend(evidence.record(probe, 901 + job, &vm(3), true));
    }
    assert_eq!(actions, [Action::Restore(vm(3))]);
    assert_eq!(evidence.out(), 0);
}

/// Guards against quarantine of a pool by a common cause, such as a bad release.
#[test]
fn at_most_a_tenth_of_a_pool_is_out() {
    let (mut evidence, now) = (evidence(50), Instant::now());
    for worker in 0..20 {
        spoil(&mut evidence, now, worker, 49);
    }
    assert_eq!(evidence.out(), 5);
}

/// Guards against jobs that are blamed for what bad workers do to them.
#[test]
fn bad_workers_are_no_evidence_against_a_job() {
    let (mut evidence, now) = (evidence(50), Instant::now());
    for worker in 0..3 {
        spoil(&mut evidence, now, worker, 49);
    }
    for worker in 0..3 {
        evidence.record(now, 7777, &vm(worker), false);
    }
    assert!(!evidence.is_quarantined(7777));
}
