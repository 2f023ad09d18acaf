//! Compares the workers that placement chooses with the help of an index with those that a walk
//! over all workers chooses.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::Resources;
use lavenderhollow_shard::Step;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_shard::WorkerView;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::sample::select;

use crate::support::Harness;
use crate::support::case_runner;
use crate::support::job;
use crate::support::report;
use crate::support::starts;
use crate::support::worker_info;

/// The seed of the random cases, fixed so that every run has the same verdict.
const SEED: u64 = 20_261_205;

/// Returns the registration of one of the workers, with some differences in size, labels and pool.
fn registration(index: u64) -> WorkerInfo {
    let labels = match index % 3 {
        0 => vec!["a".into(), "r1".into()],
        1 => vec!["b".into(), "r1".into()],
        _ => vec!["a".into(), "r2".into()],
    };
    WorkerInfo {
        labels,
        pool: if index == 7 { "other" } else { "pool" }.into(),
        capacity: Resources {
            cpu: 2_000 + 1_000 * (index % 2),
            memory: 2_000 + 500 * (index % 4),
            gpu: index % 2,
        },
        ..worker_info(&format!("w{index}"))
    }
}

fn random_step() -> impl Strategy<Value = Step> {
    let amounts = (0u64..5, 0u64..5, 0u64..8);
    let rules = (
        option::weighted(0.3, select(vec!["r1", "r2", "r3"])),
        option::weighted(0.2, select(vec!["a", "b"])),
        option::weighted(0.3, 1u32..3),
        0u32..3,
    );
    let kinds = (any::<bool>(), any::<bool>(), any::<bool>());
    (1u32..4, amounts, rules, kinds).prop_map(|(count, amounts, rules, kinds)| Step {
        count,
        resources: Resources {
            cpu: amounts.0 * 250,
            memory: amounts.1 * 200,
            gpu: u64::from(amounts.2 == 0),
        },
        estimate: Duration::from_millis(500),
        data_rack: rules.0.map(Name::from),
        required_label: rules.1.map(Name::from),
        max_per_worker: rules.2,
        max_unavailable: rules.3,
        same_rack: kinds.0,
        best_effort: kinds.1 && kinds.2,
        long_running: kinds.2,
        ..Step::default()
    })
}

/// Returns the worker that a walk over all workers chooses for the next task of a step, of which
/// `placed` tasks were placed on each worker.
fn walk(
    views: &[WorkerView],
    step: &Step,
    placed: &BTreeMap<Name, u32>,
    long_running: &BTreeSet<Name>,
) -> Option<Name> {
    let placed_on = |w: &WorkerView| placed.get(&w.info.id).copied().unwrap_or(0);
    let label = step.required_label.as_ref();
    let candidates = views.iter().filter(|w| {
        w.schedulable
            && &*w.info.pool == "pool"
            && label.is_none_or(|l| w.info.labels.contains(l))
            && step.max_per_worker.is_none_or(|max| placed_on(w) < max)
            && w.info.capacity.fits(w.used, step.allocation())
    });
    let rack = |w: &WorkerView| w.info.labels.last().cloned();
    // Among equals, `max_by_key` returns the last one.
    let best = candidates.max_by_key(|w| {
        let near_data = step.data_rack.is_none() || rack(w) == step.data_rack;
        let mut siblings = views.iter().filter(|s| placed.contains_key(&s.info.id));
        let in_same_rack =
            !step.same_rack || placed.is_empty() || siblings.any(|s| rack(s) == rack(w));
        let within_budget = step.max_unavailable == 0 || placed_on(w) < step.max_unavailable;
        let free = w.info.capacity.cpu.saturating_sub(w.used.cpu);
        let packing = match step.long_running {
            true => (
                Reverse(placed_on(w)),
                long_running.contains(&w.info.id),
                free,
            ),
            false => (Reverse(0), false, u64::MAX - free),
        };
        (near_data, in_same_rack, within_budget, packing)
    });
    best.map(|w| w.info.id.clone())
}

/// Submits a job for each step in turn, and compares the workers that its tasks are started on.
fn compare(steps: Vec<Step>, draining: u64) {
    let mut harness = Harness::new(&[]);
    let infos: Vec<WorkerInfo> = (0..9).map(registration).collect();
    harness.shard.update_workers(harness.at, infos.clone());
    harness.tick();
    for info in &infos {
        harness.answer_poll(&info.id, &report(1_000, Vec::new(), Vec::new()));
    }
    harness
        .shard
        .drain(harness.at, &format!("w{draining}").into(), true);
    let mut long_running = BTreeSet::new();
    for (id, step) in (1..).zip(steps) {
        let mut views = harness.shard.worker_views(harness.at.now);
        let (mut expected, mut placed) = (Vec::new(), BTreeMap::new());
        while expected.len() < step.count as usize
            && let Some(name) = walk(&views, &step, &placed, &long_running)
        {
            let view = views.iter_mut().find(|v| v.info.id == name);
            view.expect("a chosen worker is known")
                .used
                .add(step.allocation());
            *placed.entry(name.clone()).or_insert(0) += 1;
            if step.long_running {
                long_running.insert(name.clone());
            }
            expected.push(name);
        }
        harness.submit(job(id, vec![step]));
        harness.tick();
        let started = starts(&harness.store_batch());
        let chosen: Vec<Name> = started.into_iter().map(|(worker, _)| worker).collect();
        assert_eq!(chosen, expected, "job {id}");
        // A waiting task could reserve a worker or take part in later passes.
        harness.cancel(id);
    }
}

/// Guards against an index that changes which worker a task is placed on.
#[test]
fn the_index_chooses_the_same_worker_as_a_walk() {
    let mut runner = case_runner(SEED, 300);
    let result = runner.run(
        &(vec(random_step(), 1..20), 0u64..12),
        |(steps, drained)| {
            compare(steps, drained);
            Ok(())
        },
    );
    if let Err(error) = result {
        panic!("{error}");
    }
}
