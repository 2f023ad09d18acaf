//! Tests of keeping images apart whose tasks slow each other down on the same worker.

use std::mem;
use std::time::Duration;

use lavenderhollow_shard::JobId;
use lavenderhollow_shard::LogEvent;
use lavenderhollow_shard::MAX_NAME_BYTES;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::Shard;
use lavenderhollow_shard::Step;
use lavenderhollow_shard::StoredRecord;
use lavenderhollow_shard::StoredSlowdown;
use lavenderhollow_shard::TaskId;
use lavenderhollow_shard::decode_record;

use crate::support::Harness;
use crate::support::contended_pool::ContendedPool;
use crate::support::contended_pool::Stream;
use crate::support::finished_run;
use crate::support::job;
use crate::support::report;
use crate::support::starts;
use crate::support::step;
use crate::support::timings;
use crate::support::worker_info;

/// The workers of the simulated pools, with room for four tasks each.
const WORKERS: [&str; 6] = ["w1", "w2", "w3", "w4", "w5", "w6"];

/// The seed of the random arrivals and run times, fixed so that every run has the same verdict.
const SEED: u64 = 20_261_207;

/// By when a pair that slows down by 80 % has to be known, at five tasks of each image a second.
const LEARNING_TIME: Duration = Duration::from_secs(60);

/// By when a pair has to be forgotten after its last evidence: the time for which it is held, and a
/// second for the next evaluation.
const FORGETTING_TIME: Duration = Duration::from_secs(121);

const MINUTE: Duration = Duration::from_secs(60);

/// Returns a pool that is half full with tasks of three images.
fn pool(seed: u64) -> ContendedPool {
    let mut pool = ContendedPool::new(&WORKERS, seed);
    let stream = |image, rate| Stream {
        image,
        rate,
        seconds: 1.0,
    };
    pool.streams = vec![stream("a", 5.0), stream("b", 5.0), stream("c", 2.0)];
    pool
}

/// Returns such a pool in which `a` and `b` slow each other down and are known to.
fn pool_with_known_pair() -> (ContendedPool, f64) {
    let mut pool = pool(SEED);
    pool.factors.insert(("a", "b"), 1.8);
    pool.factors.insert(("b", "a"), 1.8);
    let before = pool.run(Duration::from_secs(5), "a", "b");
    pool.run(LEARNING_TIME, "a", "b");
    assert!(pool.harness.shard.interfering_pairs() > 0);
    (pool, before)
}

/// Returns the images of the events with a name.
fn pairs_of(events: &[LogEvent], name: &str) -> Vec<(String, String)> {
    let events = events.iter().filter(|e| e.event == name);
    let pairs = events.map(|e| {
        let beside = e.detail.split_whitespace().next().unwrap();
        (e.subject.clone(), beside.replace("beside=", ""))
    });
    pairs.collect()
}

/// Guards against images that slow each other down and go on sharing workers, and against blaming a
/// third one that runs beside them.
#[test]
fn images_that_slow_each_other_down_are_kept_apart() {
    let (mut pool, before) = pool_with_known_pair();
    let after = pool.run(Duration::from_secs(20), "a", "b");
    assert!(before > 0.5 && after < before / 3.0, "{before} {after}");
    let learned = pairs_of(&pool.events, "interference_learned");
    assert!(!learned.is_empty());
    let is_true = |(a, b): &(String, String)| a != "c" && b != "c" && a != b;
    assert!(learned.iter().all(is_true), "{learned:?}");
    assert!(pool.harness.shard.placement_stats().kept_apart > 0);
}

/// Guards against images that take each other's places in an estimate before any of them is learned.
#[test]
fn a_pair_is_learned_among_more_images_than_an_estimate_holds() {
    let names: Vec<&'static str> = (10..40).map(|i| &*format!("w{i}").leak()).collect();
    let mut pool = ContendedPool::new(&names, SEED);
    let images: Vec<&'static str> = (10..40).map(|i| &*format!("i{i}").leak()).collect();
    let stream = |image: &&'static str| Stream {
        image,
        rate: 3.0,
        seconds: 1.0,
    };
    pool.streams = images.iter().map(stream).collect();
    pool.factors.insert(("i10", "i11"), 4.0);
    while pool.elapsed() < 3 * MINUTE && pool.events.is_empty() {
        pool.run(Duration::from_secs(5), "i10", "i11");
    }
    let learned = pairs_of(&pool.events, "interference_learned");
    assert_eq!(learned, [("i10".to_owned(), "i11".to_owned())]);
}

/// Guards against acting on chance, and against a placement or a cost of placement that depends on the
/// names of images which don't slow each other down.
#[test]
fn images_without_interference_are_placed_as_without_names() {
    let run = |names_images: bool| {
        let mut pool = pool(SEED);
        pool.names_images = names_images;
        pool.run(4 * MINUTE, "a", "b");
        (pool.starts, pool.harness.shard.placement_stats())
    };
    assert_eq!(run(true), run(false));
}

/// Guards against a slow worker that is taken for an image which runs there more often than elsewhere.
#[test]
fn a_slow_worker_is_not_taken_for_an_interfering_pair() {
    for seed in 0..4 {
        let mut pool = pool(SEED + seed);
        pool.slow_workers.insert("w6", 3.0);
        pool.slow_workers.insert("w5", 2.0);
        let service = Step {
            max_per_worker: Some(1),
            long_running: true,
            ..step(2, &[])
        };
        let streams = mem::take(&mut pool.streams);
        pool.run(Duration::from_millis(100), "a", "b");
        let service = pool.submit(vec![service], &["service"]);
        pool.run(Duration::from_millis(100), "a", "b");
        pool.streams = streams;
        pool.run(3 * MINUTE, "a", "b");
        let mut starts = pool.starts.iter();
        let is_slow = |w: &Name| pool.slow_workers.contains_key(&**w);
        assert!(starts.all(|(run, w)| run.task.job != service || is_slow(w)));
        assert!(pool.events.is_empty(), "seed {seed}: {:?}", pool.events);
    }
}

/// Guards against blaming an image for tasks that take longer beside it and are estimated to.
#[test]
fn tasks_of_several_sizes_are_not_taken_for_an_interfering_pair() {
    let submit = |pool: &mut ContendedPool, images: &[&'static str], seconds: u32| {
        let task = Step {
            estimate: Duration::from_secs(u64::from(seconds)),
            ..step(1, &[])
        };
        let id = pool.submit(vec![task; images.len()], images);
        pool.seconds.insert(id, f64::from(seconds));
    };
    for seed in 0..4 {
        let mut pool = ContendedPool::new(&WORKERS, SEED + seed);
        pool.streams = vec![Stream {
            image: "a",
            rate: 5.0,
            seconds: 0.5,
        }];
        for _ in 0..20 {
            submit(&mut pool, &["a"], 30);
            pool.run(Duration::from_secs(4), "a", "b");
        }
        pool.streams.clear();
        for _ in 0..60 {
            submit(&mut pool, &["a", "b"], 4);
            pool.run(Duration::from_secs(1), "a", "b");
        }
        assert!(pool.events.is_empty(), "seed {seed}: {:?}", pool.events);
    }
}

/// Guards against a pair that is kept apart for ever since it is no longer observed.
#[test]
fn a_pair_is_unlearned_after_its_behaviour_has_changed() {
    let (mut pool, _) = pool_with_known_pair();
    pool.factors.clear();
    pool.run(2 * FORGETTING_TIME, "a", "b");
    assert_eq!(pool.harness.shard.interfering_pairs(), 0);
    pool.events.clear();
    let share = pool.run(MINUTE, "a", "b");
    assert!(share > 0.5, "{share}");
    assert!(pool.events.is_empty(), "{:?}", pool.events);
}

/// Guards against a pair that is not learned again after it has been forgotten and still interferes.
#[test]
fn a_pair_that_still_interferes_is_learned_anew() {
    let (mut pool, _) = pool_with_known_pair();
    pool.streams[1].rate = 0.0;
    pool.run(FORGETTING_TIME, "a", "b");
    assert_eq!(pool.harness.shard.interfering_pairs(), 0);
    pool.streams[1].rate = 5.0;
    pool.run(LEARNING_TIME, "a", "b");
    assert!(pool.harness.shard.interfering_pairs() > 0);
}

/// Guards against tasks with a latency target that stay beside best-effort tasks which disturb them, as
/// the tails show.
#[test]
fn tail_latencies_show_an_interfering_pair() {
    let mut pool = ContendedPool::new(&WORKERS, SEED);
    pool.factors.insert(("web", "batch"), 3.0);
    let service = Step {
        long_running: true,
        latency_target: Some(Duration::from_millis(100)),
        max_per_worker: Some(1),
        ..step(6, &[])
    };
    let batch = Step {
        long_running: true,
        best_effort: true,
        max_per_worker: Some(1),
        ..step(3, &[])
    };
    pool.run(Duration::from_millis(100), "web", "batch");
    pool.submit(vec![service], &["web"]);
    pool.run(Duration::from_secs(1), "web", "batch");
    pool.submit(vec![batch], &["batch"]);
    pool.run(MINUTE, "web", "batch");
    let learned = pairs_of(&pool.events, "interference_learned");
    assert_eq!(learned, [("web".to_owned(), "batch".to_owned())]);
}

/// Guards against a successor that has to learn a pair anew, and against records that are written often.
#[test]
fn a_successor_knows_the_pair() {
    let (mut pool, _) = pool_with_known_pair();
    pool.run(MINUTE, "a", "b");
    let known = pool.harness.shard.interfering_pairs();
    let times = &pool.stored_at;
    assert!((1..=8).contains(&times.len()), "{} records", times.len());
    let gaps = times.windows(2).map(|w| w[1] - w[0]);
    assert!(gaps.min().is_none_or(|gap| gap >= Duration::from_secs(5)));
    pool.harness.advance(Duration::from_secs(3));
    pool.harness.replace_owner(&WORKERS);
    assert_eq!(pool.harness.shard.interfering_pairs(), known);
    // Without evidence the successor does not keep it longer than its predecessor would have.
    pool.harness.advance(FORGETTING_TIME);
    pool.harness.tick();
    assert_eq!(pool.harness.shard.interfering_pairs(), 0);
    pool.harness.store_batch();
    assert!(!pool.harness.stored.contains_key("slowdowns"));
}

fn stored_pair(slowed: &str, beside: &str, until: Duration) -> StoredSlowdown {
    StoredSlowdown {
        slowed: slowed.into(),
        beside: beside.into(),
        is_tail: false,
        percent: 80,
        until,
    }
}

/// Returns an owner of idle workers that knows that `a` is slowed down beside `b`.
fn harness_with_pair(workers: &[&str]) -> Harness {
    let mut harness = Harness::new(&[]);
    let until = harness.at.unix + MINUTE;
    let stored = StoredRecord::Slowdowns(vec![stored_pair("a", "b", until)]);
    harness.shard.restore(harness.at, vec![stored]);
    harness.update_workers(workers);
    harness.poll_all(workers);
    harness
}

/// Submits a job and returns the workers on which its tasks are started.
fn place(harness: &mut Harness, id: u64, image: &str, step: Step) -> Vec<Name> {
    let step = Step {
        image: Some(image.into()),
        ..step
    };
    harness.submit(job(id, vec![step]));
    harness.tick();
    let started = starts(&harness.store_batch());
    started.into_iter().map(|(worker, _)| worker).collect()
}

/// Guards against a pair that is kept apart in one direction only, or within one placement pass only.
#[test]
fn a_known_pair_is_kept_apart_in_both_directions() {
    let mut harness = harness_with_pair(&["w1", "w2", "w3"]);
    assert_eq!(place(&mut harness, 1, "b", step(1, &[])), ["w3".into()]);
    assert_eq!(place(&mut harness, 2, "a", step(1, &[])), ["w2".into()]);
    assert_eq!(place(&mut harness, 3, "b", step(1, &[])), ["w3".into()]);
    assert_eq!(place(&mut harness, 4, "c", step(1, &[])), ["w3".into()]);
    assert_eq!(harness.shard.placement_stats().kept_apart, 1);
}

/// Guards against a task that waits, or goes to another worker than before, although all workers with
/// room have an image that slows it down.
#[test]
fn placement_in_a_full_pool_is_as_before() {
    let mut harness = harness_with_pair(&["w1", "w2"]);
    assert_eq!(place(&mut harness, 1, "b", step(7, &[])).len(), 7);
    assert_eq!(place(&mut harness, 2, "a", step(1, &[])), ["w1".into()]);
    assert_eq!(harness.shard.placement_stats().kept_apart, 0);
}

/// Guards against a choice by the number of tasks there, if all workers with room have an image that
/// slows the task down.
#[test]
fn placement_beside_other_images_is_as_before() {
    let mut harness = harness_with_pair(&["w1", "w2"]);
    let everywhere = Step {
        max_per_worker: Some(1),
        ..step(2, &[])
    };
    assert_eq!(place(&mut harness, 1, "b", everywhere).len(), 2);
    assert_eq!(place(&mut harness, 2, "b", step(1, &[])), ["w2".into()]);
    assert_eq!(place(&mut harness, 3, "a", step(1, &[])), ["w2".into()]);
    assert_eq!(harness.shard.placement_stats().kept_apart, 0);
}

/// Guards against keeping images apart at the cost of what is more important.
#[test]
fn data_racks_and_budgets_and_labels_take_precedence() {
    let mut harness = harness_with_pair(&[]);
    let mut near = worker_info("w1");
    near.labels = vec!["b".into(), "r2".into()];
    let infos = vec![near, worker_info("w2"), worker_info("w3")];
    harness.shard.update_workers(harness.at, infos);
    harness.poll_all(&["w1", "w2", "w3"]);
    let near_data = Step {
        data_rack: Some("r2".into()),
        ..step(1, &[])
    };
    let labelled = Step {
        required_label: Some("b".into()),
        ..step(1, &[])
    };
    assert_eq!(
        place(&mut harness, 1, "b", near_data.clone()),
        ["w1".into()]
    );
    assert_eq!(place(&mut harness, 2, "a", near_data), ["w1".into()]);
    assert_eq!(place(&mut harness, 3, "a", labelled), ["w1".into()]);
    let budgeted = Step {
        max_unavailable: 1,
        long_running: true,
        ..step(3, &[])
    };
    let mut spread = place(&mut harness, 4, "a", budgeted);
    spread.sort();
    assert_eq!(spread, ["w1".into(), "w2".into(), "w3".into()]);
}

/// Guards against a step whose long-running tasks are all lost with one worker, since its image is kept
/// apart from those on the others.
#[test]
fn long_running_tasks_are_spread_although_their_image_is_kept_apart() {
    let mut harness = harness_with_pair(&["w1", "w2", "w3"]);
    let disturbing = Step {
        max_per_worker: Some(1),
        ..step(2, &[])
    };
    assert_eq!(place(&mut harness, 1, "b", disturbing).len(), 2);
    let service = Step {
        long_running: true,
        ..step(3, &[])
    };
    let mut spread = place(&mut harness, 2, "a", service);
    spread.sort();
    assert_eq!(spread, ["w1".into(), "w2".into(), "w3".into()]);
}

/// Guards against a step that is spread over racks, since its first task avoids a worker in the rack
/// that has room for all of them.
#[test]
fn the_rack_of_a_step_does_not_depend_on_the_images_there() {
    let mut harness = harness_with_pair(&[]);
    let mut other = worker_info("w3");
    other.labels = vec!["r2".into()];
    let infos = vec![worker_info("w1"), worker_info("w2"), other];
    harness.shard.update_workers(harness.at, infos);
    harness.poll_all(&["w1", "w2", "w3"]);
    let near_data = Step {
        data_rack: Some("r1".into()),
        ..step(1, &[])
    };
    assert_eq!(place(&mut harness, 1, "b", near_data), ["w2".into()]);
    let together = Step {
        same_rack: true,
        ..step(6, &[])
    };
    let placed = place(&mut harness, 2, "a", together);
    assert_eq!(placed.len(), 6);
    assert!(placed.iter().all(|w| **w != *"w3"), "{placed:?}");
}

/// Guards against a count of tasks that are kept apart which rises in each pass in which a gang waits.
#[test]
fn a_gang_that_is_not_placed_is_not_counted_as_kept_apart() {
    let mut harness = harness_with_pair(&["w1", "w2"]);
    assert_eq!(place(&mut harness, 1, "b", step(1, &[])), ["w2".into()]);
    let gang = Step {
        gang: true,
        ..step(8, &[])
    };
    assert!(place(&mut harness, 2, "a", gang).is_empty());
    assert_eq!(harness.shard.placement_stats().kept_apart, 0);
}

/// Reports the end of the only task of a job on `w1`.
fn end(harness: &mut Harness, sequence: u64, id: u64) {
    let task = TaskId {
        job: JobId(id),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let run = RunId { task, number: 1 };
    let finished = finished_run(sequence, run, RunOutcome::Done);
    harness.answer_poll("w1", &report(1_000, vec![], vec![finished]));
}

/// Guards against an image that counts as absent from a worker while a task of it runs there, after more
/// images ran there at once than are followed.
#[test]
fn an_image_counts_until_its_last_run_has_ended() {
    let mut harness = harness_with_pair(&[]);
    let mut large = worker_info("w1");
    large.capacity.cpu = 67_000;
    large.capacity.memory = 100_000;
    large.labels.insert(0, "large".into());
    let infos = vec![large, worker_info("w2")];
    harness.shard.update_workers(harness.at, infos);
    harness.poll_all(&["w1", "w2"]);
    let labelled = Step {
        required_label: Some("large".into()),
        ..step(1, &[])
    };
    for id in 1..=64 {
        let image = format!("image-{id}");
        assert_eq!(place(&mut harness, id, &image, labelled.clone()).len(), 1);
    }
    assert_eq!(place(&mut harness, 65, "b", labelled.clone()).len(), 1);
    end(&mut harness, 1, 1);
    assert_eq!(place(&mut harness, 66, "b", labelled.clone()).len(), 1);
    end(&mut harness, 2, 65);
    // The other worker has more free processor time.
    assert_eq!(place(&mut harness, 67, "a", step(1, &[])), ["w2".into()]);
}

/// Guards against a record that is larger than the store takes, or that ends the owner.
#[test]
fn the_record_is_bounded_and_may_be_damaged() {
    assert!(decode_record("slowdowns", &[1, 255, 255]).is_err());
    assert!(decode_record("slowdowns", &[]).is_err());
    let mut harness = Harness::new(&[]);
    let long = |i: usize| format!("{i:0>MAX_NAME_BYTES$}");
    let until = harness.at.unix + Duration::from_secs(1_000_000);
    let pairs = (0..500).map(|i| stored_pair(&long(i), &long(i + 1), until));
    harness.shard = Shard::new(timings(), harness.at.now);
    let stored = StoredRecord::Slowdowns(pairs.collect());
    harness.shard.restore(harness.at, vec![stored]);
    assert!(harness.shard.interfering_pairs() <= 64);
    harness.tick();
    harness.store_batch();
    assert!(harness.stored["slowdowns"].len() <= 131_072);
    harness.advance(FORGETTING_TIME);
    harness.tick();
    assert_eq!(harness.shard.interfering_pairs(), 0);
}
