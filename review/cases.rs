//! The cases of this review that are scripts.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Deployment, Queue, RunSeen, World, end_nodes, publish, submit};

/// Why a case could not run.
type Failure = String;

/// Runs a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case
/// could not run.
pub fn run(case: &str, folder: &Path, trouble: bool) -> i32 {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        eprintln!("the case takes too long");
        end_nodes();
        std::process::exit(2);
    });
    let result = match case {
        "large-batch" => large_batch(folder, trouble),
        "slow-check" => slow_check(folder, trouble),
        "moved-queue" => moved_queue(folder, trouble),
        "many-ends" => many_ends(folder, trouble),
        "moved-pending" => moved_pending(folder, trouble),
        other => Err(format!("there is no case {other}")),
    };
    match result {
        Ok(broken) => i32::from(broken),
        Err(detail) => {
            eprintln!("could not run: {detail}");
            2
        }
    }
}

/// Writes what was sent, answered and run, with the verdict, to `record.txt`.
fn finish(world: &World, folder: &Path, trouble: bool, broken: &[String]) -> Result<bool, Failure> {
    for line in broken {
        world.record.add(format!("BROKEN: {line}"));
    }
    let verdict = if broken.is_empty() { "the rule held" } else { "the rule is broken" };
    world.record.add(format!("with the disruption: {trouble}; {verdict}"));
    let lines = world.record.lines.lock().unwrap().join("\n");
    std::fs::write(folder.join("record.txt"), lines + "\n").map_err(|e| e.to_string())?;
    for line in broken.iter().take(5) {
        println!("{line}");
    }
    println!("{verdict}");
    Ok(!broken.is_empty())
}

/// Returns the starts that TWICE forbids: while another run of the task is at work, or after a run
/// has ended `done` whose end is taken note of, unless the worker's lease lapsed between the two.
fn started_twice(runs: &[RunSeen]) -> Vec<String> {
    let mut found = Vec::new();
    for later in runs {
        for earlier in runs.iter().filter(|r| r.task == later.task) {
            let first = (earlier.started, earlier.run) < (later.started, later.run);
            if !first || std::ptr::eq(earlier, later) {
                continue;
            }
            let place = format!(
                "{} run {} started at {:.3} on {} ({}), run {} started at {:.3} on {} ({})",
                later.task, earlier.run, earlier.started, earlier.worker, earlier.pool,
                later.run, later.started, later.worker, later.pool
            );
            match earlier.ended {
                Some((at, "done")) if at <= later.started => {
                    if let (Some(noted), false) = (earlier.noted, earlier.lapsed) {
                        found.push(format!("{place}, after the first had ended done at {at:.3}, noted at {noted:.3}"));
                    }
                }
                Some((at, _)) if at <= later.started => {}
                _ => found.push(format!("{place}, while the first was at work")),
            }
        }
    }
    found
}

fn job_id(prefix: u32, number: usize) -> String {
    format!("{prefix:08x}{number:08x}")
}

/// Callers submit to a queue while the store gives no answers for a few seconds.
fn large_batch(folder: &Path, trouble: bool) -> Result<bool, Failure> {
    const OUTAGE: Duration = Duration::from_millis(4_500);
    const TRAFFIC: Duration = Duration::from_millis(6_000);
    const RATE: u32 = 130;
    const FINISH: Duration = Duration::from_secs(14);
    let queues = [Queue("desk-queue", "/desk/", "desk", true), Queue("other-queue", "/other/", "other", false)];
    let deployment = Deployment::start(&[("desk", 12), ("other", 4)], &queues)?;
    let world = Arc::clone(&deployment.world);
    let mut accepted = Vec::new();
    for i in 0..10 {
        let id = job_id(0xa, i);
        let steps = [(2, 500, 256, 2_000), (2, 500, 256, 2_000)];
        if deployment.submit(i % 3, "/desk/", &id, "ms=2000", &steps) == 200 {
            accepted.push(id);
        }
    }
    if accepted.len() < 10 {
        return Err("the jobs before the outage were not accepted".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        world.record.add("the store gives no answers from here on".to_owned());
        world.store.silent.store(true, Ordering::SeqCst);
    }
    let start = Instant::now();
    let outage_end = {
        let world = Arc::clone(&world);
        thread::spawn(move || {
            thread::sleep(OUTAGE);
            if trouble {
                world.store.silent.store(false, Ordering::SeqCst);
                world.record.add("the store answers again".to_owned());
            }
        })
    };
    let addresses: Vec<_> = deployment.nodes.iter().map(|n| n.callers).collect();
    let answered = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    let mut number = 0;
    while start.elapsed() < TRAFFIC {
        let due = start + Duration::from_secs(1) * number as u32 / RATE;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (world, addresses, answered) =
            (Arc::clone(&world), addresses.clone(), Arc::clone(&answered));
        let id = job_id(0xb, number);
        let caller = thread::Builder::new().stack_size(256 << 10).spawn(move || {
            // A text of 4,000 bytes, the most that the pages allow.
            let mut spec = "ms=400;".to_owned();
            spec.push_str(&"x".repeat(4_000 - spec.len()));
            for attempt in 0..5 {
                let node = addresses[(number + attempt) % addresses.len()];
                let status = submit(&world, node, "/desk/", &id, &spec, &[(1, 100, 64, 400)]);
                if status == 200 {
                    answered.lock().unwrap().push(id);
                    return;
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
        callers.push(caller.map_err(|e| e.to_string())?);
        number += 1;
    }
    let traffic_end = Instant::now();
    let _ = outage_end.join();
    for caller in callers {
        let _ = caller.join();
    }
    world.record.add(format!(
        "callers: {} of {number} jobs of the traffic are accepted; appends rejected for their size: {}, the largest {} bytes",
        answered.lock().unwrap().len(),
        world.store.rejected.load(Ordering::SeqCst),
        world.store.largest.load(Ordering::SeqCst)
    ));
    thread::sleep((traffic_end + FINISH).saturating_duration_since(Instant::now()));
    // What the rule asks: for 3 s nothing of a job runs although its turn has come and the service
    // has capacity.
    let mut at_work: Vec<bool> = vec![false; accepted.len()];
    let mut most_used = 0.0f64;
    let look_start = Instant::now();
    while look_start.elapsed() < Duration::from_millis(3_200) {
        for (flag, id) in at_work.iter_mut().zip(&accepted) {
            *flag |= world.is_at_work(id);
        }
        let (used, offered) = world.load("desk");
        most_used = most_used.max(used as f64 / offered.max(1) as f64);
        thread::sleep(Duration::from_millis(20));
    }
    world.record.add(format!("at most {:.1} % of the service's capacity is in use", most_used * 100.0));
    let mut broken = Vec::new();
    for (i, id) in accepted.iter().enumerate() {
        let answer = deployment.get(i % 3, &format!("/desk/{id}"));
        match answer {
            Some((200, body)) if body.contains("completed") => {}
            Some((200, body)) if !at_work[i] && most_used < 0.5 => broken.push(format!(
                "job {id} was accepted and is {body}; nothing of it has run for 3.2 s, {} s after the end of the traffic",
                FINISH.as_secs()
            )),
            Some((200, _)) => {}
            other => broken.push(format!("job {id} was accepted and is not known: {other:?}")),
        }
    }
    for i in 0..3 {
        let id = job_id(0xc, i);
        deployment.submit(i, "/desk/", &id, "ms=400", &[(1, 100, 64, 400)]);
        let id = job_id(0xd, i);
        deployment.submit(i, "/other/", &id, "ms=400", &[(1, 100, 64, 400)]);
    }
    finish(&world, folder, trouble, &broken)
}

/// A configuration sends a queue to another service, and then submissions arrive once more.
fn moved_queue(folder: &Path, trouble: bool) -> Result<bool, Failure> {
    let before = [Queue("desk-queue", "/desk/", "desk-a", false)];
    let deployment = Deployment::start(&[("desk-a", 3), ("desk-b", 3)], &before)?;
    let world = Arc::clone(&deployment.world);
    let steps = [(2, 1_000, 512, 6_000)];
    let ids: Vec<String> = (0..5).map(|i| job_id(0xa, i)).collect();
    for (i, id) in ids.iter().enumerate() {
        if deployment.submit(i % 3, "/desk/", id, "ms=6000", &steps) != 200 {
            return Err("a job was not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(1));
    let service = if trouble { "desk-b" } else { "desk-a" };
    publish(&world, 7, &[Queue("desk-queue", "/desk/", service, false)], &["desk-a", "desk-b"]);
    // The configuration is in force 2 s after its acknowledgement.
    thread::sleep(Duration::from_millis(2_500));
    for (i, id) in ids.iter().enumerate() {
        deployment.submit((i + 1) % 3, "/desk/", id, "ms=6000", &steps);
    }
    thread::sleep(Duration::from_secs(12));
    for (i, id) in ids.iter().enumerate() {
        deployment.get(i % 3, &format!("/desk/{id}"));
    }
    let broken = started_twice(&world.runs.lock().unwrap());
    finish(&world, folder, trouble, &broken)
}

/// The tasks of a job end on one worker while the store rejects calls.
fn many_ends(folder: &Path, trouble: bool) -> Result<bool, Failure> {
    const TASKS: u32 = 1_500;
    const OUTAGE: Duration = Duration::from_millis(4_200);
    let queues = [Queue("desk-queue", "/desk/", "desk", false), Queue("other-queue", "/other/", "other", false)];
    let deployment = Deployment::start(&[("desk", 4), ("other", 2)], &queues)?;
    let world = Arc::clone(&deployment.world);
    let id = job_id(0xa, 0);
    let spec = "ms=3500;spread=1000";
    if deployment.submit(0, "/desk/", &id, spec, &[(TASKS, 20, 40, 4_000)]) != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let started = Instant::now();
    while (world.runs.lock().unwrap().len() as u32) < TASKS {
        if started.elapsed() > Duration::from_secs(4) {
            return Err("the tasks have not started after 4 s".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    }
    world.record.add(format!("all {TASKS} tasks are at work"));
    let first = Instant::now();
    thread::sleep(Duration::from_millis(3_000).saturating_sub(started.elapsed()));
    if trouble {
        world.record.add("the store rejects all calls with 503 from here on".to_owned());
        world.store.busy.store(true, Ordering::SeqCst);
    }
    thread::sleep(OUTAGE);
    if trouble {
        world.store.busy.store(false, Ordering::SeqCst);
        world.record.add("the store answers again".to_owned());
    }
    thread::sleep(Duration::from_secs(20).saturating_sub(first.elapsed()));
    deployment.get(1, &format!("/desk/{id}"));
    let runs = world.runs.lock().unwrap().clone();
    let done = runs.iter().filter(|r| matches!(r.ended, Some((_, "done")))).count();
    let workers: std::collections::BTreeSet<&str> = runs.iter().map(|r| r.worker.as_str()).collect();
    world.record.add(format!(
        "{TASKS} tasks, {} runs on {} workers, of which {done} ended done", runs.len(), workers.len()
    ));
    let broken = started_twice(&runs);
    finish(&world, folder, trouble, &broken)
}

/// A configuration sends a queue to another service while jobs of it wait.
fn moved_pending(folder: &Path, trouble: bool) -> Result<bool, Failure> {
    const WAITING: usize = 10;
    let before = [Queue("desk-queue", "/desk/", "desk-a", false)];
    let deployment = Deployment::start(&[("desk-a", 1), ("desk-b", 1)], &before)?;
    let world = Arc::clone(&deployment.world);
    let spec = "ms=40000";
    if deployment.submit(0, "/desk/", &job_id(0xa, 0), spec, &[(32, 1_000, 512, 20_000)]) != 200 {
        return Err("a job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    for i in 0..WAITING {
        let steps = [(1, 1_000, 512, 20_000)];
        if deployment.submit(i % 3, "/desk/", &job_id(0xb, i), "ms=20000", &steps) != 200 {
            return Err("a job was not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(1));
    let service = if trouble { "desk-b" } else { "desk-a" };
    publish(&world, 7, &[Queue("desk-queue", "/desk/", service, false)], &["desk-a", "desk-b"]);
    // Over visible_ms + 2 s after the last acknowledgement, and config_apply_ms after this one.
    thread::sleep(Duration::from_secs(6));
    let mut broken = Vec::new();
    for node in 0..3 {
        let begun = |id: &str| world.runs.lock().unwrap().iter().any(|r| r.task.starts_with(id));
        let waiting = (0..WAITING).filter(|i| !begun(&job_id(0xb, *i))).count();
        let answer = deployment.get(node, "/desk/");
        let Some((200, body)) = answer else { continue };
        let shown: usize = body.chars().filter(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0);
        if shown * 2 < waiting {
            broken.push(format!("node {} gives {shown} as pending, {waiting} jobs wait", node + 1));
        }
    }
    finish(&world, folder, trouble, &broken)
}

/// Callers submit now and then to queues that are idle in between, while the store is slow at times.
fn slow_check(folder: &Path, trouble: bool) -> Result<bool, Failure> {
    const SLOWNESS: u64 = 60;
    const SLOW: Duration = Duration::from_millis(4_500);
    const PAUSE: Duration = Duration::from_millis(4_000);
    const PHASES: u32 = 5;
    const FINISH: Duration = Duration::from_secs(14);
    let names = [
        ("queue-a", "/a/", "desk-a"), ("queue-b", "/b/", "desk-b"), ("queue-c", "/c/", "desk-c"),
        ("queue-d", "/d/", "desk-d"), ("queue-e", "/e/", "desk-e"),
    ];
    let queues = names.map(|(name, path, service)| Queue(name, path, service, false));
    let pools = names.map(|(_, _, service)| (service, 2));
    let deployment = Deployment::start(&pools, &queues)?;
    let world = Arc::clone(&deployment.world);
    let start = Instant::now();
    let traffic = PAUSE + (SLOW + PAUSE) * PHASES;
    let addresses: Vec<_> = deployment.nodes.iter().map(|n| n.callers).collect();
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (queue, (_, path, _)) in names.into_iter().enumerate() {
        let (world, addresses, accepted) =
            (Arc::clone(&world), addresses.clone(), Arc::clone(&accepted));
        callers.push(thread::spawn(move || {
            let (mut number, mut due) = (0, start);
            while start.elapsed() < traffic {
                let id = job_id(0xa + queue as u32, number);
                let node = addresses[number % addresses.len()];
                if submit(&world, node, path, &id, "ms=300", &[(1, 1_000, 512, 300)]) == 200 {
                    accepted.lock().unwrap().push((path, id));
                }
                number += 1;
                // About every 2 s, spread evenly over 150 ms.
                due += Duration::from_millis(1_970 + (number as u64 * 73 + queue as u64 * 41) % 150);
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        }));
    }
    for _ in 0..PHASES {
        thread::sleep(PAUSE);
        if trouble {
            world.store.slowness.store(SLOWNESS, Ordering::SeqCst);
            world.record.add(format!("the store's answers take {SLOWNESS} times as long from here on"));
        }
        thread::sleep(SLOW);
        if trouble {
            world.store.slowness.store(1, Ordering::SeqCst);
            world.record.add("the store is as fast as usual again".to_owned());
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(FINISH);
    let accepted = accepted.lock().unwrap().clone();
    let mut broken = Vec::new();
    // The last accepted job of each queue is asked for at every node, twice if none knows it.
    let deployment = &deployment;
    let asked = thread::scope(|scope| {
        let ask = |queue: usize| {
            let (_, path, _) = names[queue];
            let (_, id) = accepted.iter().filter(|(p, _)| *p == path).max()?;
            let mut answers = Vec::new();
            for attempt in 0..6 {
                answers.push(deployment.get(attempt % 3, &format!("{path}{id}")));
                if matches!(answers.last(), Some(Some((200, _)))) {
                    break;
                }
            }
            // Whether the queue still takes jobs.
            let next = job_id(0x1a + queue as u32, 0);
            deployment.submit(queue % 3, path, &next, "ms=300", &[(1, 1_000, 512, 300)]);
            match answers.last() {
                Some(Some((200, body))) if body.contains("completed") => None,
                Some(Some((200, body))) => Some(format!("job {path}{id} was accepted and is not completed: {body}")),
                _ => Some(format!("job {path}{id} was accepted and is not known at any node: {answers:?}")),
            }
        };
        let calls: Vec<_> = (0..names.len()).map(|queue| scope.spawn(move || ask(queue))).collect();
        calls.into_iter().filter_map(|c| c.join().unwrap_or(None)).collect::<Vec<String>>()
    });
    broken.extend(asked);
    finish(&world, folder, trouble, &broken)
}
