//! Tests of the memory that a shard counts for its jobs, and of what it keeps of finished ones.

use std::time::Duration;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::Job;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::JobMemory;
use lavenderhollow_shard::JobState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::Repeat;
use lavenderhollow_shard::Response;
use lavenderhollow_shard::StartOutcome;

use crate::support::Harness;
use crate::support::job;
use crate::support::starts;
use crate::support::step;

/// The longest time between two collections of finished jobs.
const GC_TIME: Duration = Duration::from_millis(1_100);

fn job_of(team: &str, id: u64, tasks: u32) -> Job {
    Job {
        team: Some(team.into()),
        ..job(id, vec![step(tasks, &[])])
    }
}

/// Returns a job with long names and texts.
fn large_job(id: u64) -> Job {
    let mut large = job_of("team", id, 1);
    large.payload = "p".repeat(4_000).into();
    large.steps = vec![large.steps[0].clone(); 20];
    for step in &mut large.steps {
        step.image = Some("i".repeat(1_000).into());
    }
    large
}

/// Stores what has changed, and lets finished jobs be collected.
fn settle(harness: &mut Harness) -> Vec<Effect> {
    harness.tick();
    let effects = harness.store_batch();
    harness.advance(GC_TIME);
    harness.tick();
    effects
}

/// Guards against small bodies that take much memory: a job counts with its tasks, also before they are
/// created.
#[test]
fn jobs_count_with_their_tasks_for_their_team() {
    let mut harness = Harness::new(&[]);
    harness.submit(job_of("a", 1, 5_000));
    let mut later = job_of("b", 2, 5_000);
    later.repeat = Some(Repeat {
        start_ms: u64::MAX / 2,
        interval_ms: 1,
        count: 2,
    });
    let bytes = JobMemory::of_job(&later);
    harness.submit(later);
    harness.submit(job_of("a", 3, 1));
    let memory = harness.shard.job_memory();
    let (a, b) = (Name::from("a"), Name::from("b"));
    assert!(bytes > 1_000_000, "{bytes}");
    assert_eq!(memory.of_team(Some(&b)), bytes);
    assert!(memory.of_team(Some(&a)) > bytes);
    assert_eq!(memory.of_team(None), 0);
    assert_eq!(
        memory.total(),
        memory.of_team(Some(&a)) + memory.of_team(Some(&b))
    );
}

/// Guards against finished jobs that take as much memory as others for the whole time in which callers
/// may ask for their states, and against states that are lost with it.
#[test]
fn finished_jobs_keep_little_but_their_state() {
    let mut harness = Harness::new(&[]);
    harness.submit(large_job(1));
    settle(&mut harness);
    let large = harness.shard.job_memory().total();
    harness.cancel(1);
    settle(&mut harness);
    let small = harness.shard.job_memory().total();
    assert!(large > 20_000 && small < 1_000, "{large} then {small}");
    assert_eq!(harness.shard.state(JobId(1)), Some(JobState::Cancelled));
    assert!(harness.shard.holds_job(JobId(1)));
    assert_eq!(harness.shard.queues().count(), 1);
    let requests = [harness.submit(large_job(1)), harness.cancel(1)];
    let accepted = requests.map(|request| Effect::Respond(request, Response::Accepted));
    assert_eq!(harness.shard.take_effects(), accepted);
    assert_eq!(harness.shard.job_memory().total(), small);
    // Jobs are kept for 150 s.
    harness.advance(Duration::from_secs(180));
    settle(&mut harness);
    assert_eq!(harness.shard.state(JobId(1)), None);
    assert_eq!(harness.shard.job_memory().total(), 0);
    assert_eq!(harness.shard.queues().count(), 0);
    harness.store_batch();
    assert!(harness.stored.is_empty(), "{:?}", harness.stored.keys());
}

/// Guards against a successor that reads the large jobs of callers who submit and cancel them.
#[test]
fn the_record_of_a_large_job_shrinks_when_the_job_has_finished() {
    let mut harness = Harness::new(&[]);
    harness.submit(large_job(1));
    harness.submit(job_of("team", 2, 1));
    settle(&mut harness);
    let size = |harness: &Harness| harness.stored.values().map(Vec::len).sum::<usize>();
    assert!(size(&harness) > 20_000);
    harness.cancel(1);
    settle(&mut harness);
    assert!(size(&harness) < 1_000, "{} bytes", size(&harness));
    harness.replace_owner(&[]);
    assert_eq!(harness.shard.state(JobId(1)), Some(JobState::Cancelled));
    assert_eq!(harness.shard.state(JobId(2)), Some(JobState::Queued));
    let memory = harness.shard.job_memory().total();
    let open = JobMemory::of_job(&job_of("team", 2, 1));
    assert!(memory < open + 1_000, "{memory}, of which {open} are open");
}

/// Guards against jobs that were accepted with the memory for one occurrence and take that of many.
#[test]
fn occurrences_overlap_only_while_there_is_memory() {
    let repeated = |id| {
        let mut repeated = job_of("team", id, 100);
        repeated.repeat = Some(Repeat {
            start_ms: 0,
            interval_ms: 10,
            count: 50,
        });
        repeated
    };
    let mut harness = Harness::new(&[]);
    let one = JobMemory::of_job(&repeated(1));
    harness.shard.set_job_memory_limit(one * 2);
    harness.submit(repeated(1));
    settle(&mut harness);
    let memory = harness.shard.job_memory().total();
    assert!((one..=one * 2).contains(&memory), "{memory}, one has {one}");
    // An accepted job begins however little memory there is.
    harness.shard.set_job_memory_limit(0);
    harness.submit(repeated(2));
    settle(&mut harness);
    let tasks = harness.shard.job_views(harness.at.now);
    assert_eq!(tasks.len(), 2);
    assert_eq!(harness.shard.job_memory().total(), memory + one);
}

/// Guards against tasks that are lost because the owner had too many starts in progress to send theirs.
#[test]
fn a_task_whose_start_was_withheld_is_placed_again() {
    let mut harness = Harness::new(&["w1"]);
    harness.poll_all(&["w1"]);
    harness.submit(job(1, vec![step(1, &[])]));
    let mut runs = Vec::new();
    for _ in 0..2 {
        harness.tick();
        let effects = harness.store_batch();
        let (worker, start) = starts(&effects).pop().unwrap();
        harness.answer_start(&worker, start.run, StartOutcome::Withheld);
        runs.push(start.run.number);
    }
    assert!(runs[0] < runs[1], "{runs:?}");
}
