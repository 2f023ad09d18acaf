//! The cases.

use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::deployment::{broken, gang, has_trouble, job, lasting, Deployment, Queue};
use crate::record::Record;

/// `cancel_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// How long a job whose turn has come may have nothing running while there is capacity.
const IDLE: Duration = Duration::from_secs(3);

/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(0, |t| t.as_millis() as u64)
}

/// Watches accepted jobs of which a task's turn has come: returns one that for 3 s has nothing
/// running while less than half of the capacity is in use.
fn starved(d: &Deployment, ids: &[String], watch: Duration) -> Option<String> {
    let until = Instant::now() + watch;
    let mut since = vec![Instant::now(); ids.len()];
    while Instant::now() < until {
        for (id, since) in ids.iter().zip(&mut since) {
            let (running, used) = d.running(id);
            if running > 0 || used >= 0.5 {
                *since = Instant::now();
            } else if since.elapsed() > IDLE {
                return Some(id.clone());
            }
        }
        pause(50);
    }
    None
}

/// A job that recurs, whose occurrences are all due when it is handed in.
pub fn overdue(record: &Record) -> bool {
    let d = Deployment::start(record, &[("kafi81c", 3, 32), ("huvo11a", 3, 32)], false);
    let queues = [
        Queue { name: "r-check", prefix: "/wuhu344/", pool: "kafi81c", open: false },
        Queue { name: "r-other", prefix: "/puxa400/", pool: "huvo11a", open: false },
    ];
    d.platform.configure(&queues, 0);
    if !d.wait_ready(3) {
        return false;
    }
    pause(1_000);
    // Small jobs in both pools, which end in time.
    let mut accepted = Vec::new();
    for i in 0..6u64 {
        let (queue, id) = (queues[i as usize % 2].prefix, format!("{:016x}", 0x9a3c_0000_0000_0000 + i));
        if d.submit(i as usize % 3, queue, &id, &job(300, &[(2, 1_000, None)], "")).is_none() {
            return false;
        }
        accepted.push((queue, id));
    }
    pause(1_500);
    // A job of 64 steps in a row each minute. Its client gives the start in seconds, not in
    // milliseconds, so that each occurrence was due long ago.
    let times = if has_trouble() { 10_000 } else { 8 };
    let steps: Vec<(u64, u64, Option<usize>)> =
        (0..64).map(|i: usize| (1, 100, i.checked_sub(1))).collect();
    let rest = format!(",\"start_at_ms\":{},\"interval_ms\":60000,\"repeat_count\":{times}", unix_ms() / 1_000);
    let minutely = job(100, &steps, &rest);
    // Without a response the request arrives again, at the next process.
    let id = "5c0e7a21d94b36f8";
    for node in 0..3 {
        if d.submit_once(node, "/wuhu344/", id, &minutely) {
            break;
        }
    }
    let sent = record.now();
    // The accepted jobs are asked for, at each process and again, for as long as `finish_s`.
    let mut answers = [0; 3];
    let mut last = [sent; 3];
    let mut longest = Duration::ZERO;
    while record.now() < sent + FINISH + Duration::from_secs(6) {
        for (node, (queue, id)) in accepted.iter().take(3).enumerate() {
            if d.state(node, queue, id).0 == 200 {
                answers[node] += 1;
                last[node] = record.now();
            }
        }
        longest = longest.max(record.now() - last.iter().copied().max().unwrap_or(sent));
        pause(300);
    }
    record.line(&format!("answers of each process: {answers:?}; {:.1} s without one of any", longest.as_secs_f64()));
    if longest > FINISH {
        broken(record, &format!(
            "LOST: accepted jobs are asked for at each process and get no answer for {:.1} s",
            longest.as_secs_f64()
        ));
    }
    for node in &d.nodes {
        record.line(&format!("{} has ended: {}", node.name, node.has_ended()));
    }
    true
}

/// A job that recurs: its stored progress grows with each occurrence.
pub fn recurring(record: &Record) -> bool {
    let d = Deployment::start(record, &[("kafi81c", 6, 32)], false);
    let queues = [
        Queue { name: "r-check", prefix: "/wuhu344/", pool: "kafi81c", open: false },
        Queue { name: "r-night", prefix: "/zizi35/", pool: "kafi81c", open: false },
    ];
    d.platform.configure(&queues, 0);
    if !d.wait_ready(2) {
        return false;
    }
    // 120 occurrences of 400 small tasks that run for 20 s, each due half a second after the one before.
    let times = if has_trouble() { 120 } else { 8 };
    let rest = format!(",\"start_at_ms\":{},\"interval_ms\":500,\"repeat_count\":{times}", unix_ms());
    let night = job(20_000, &[(400, 5, None)], &rest);
    let night_id = "5c0e7a21d94b36f8";
    if d.submit(0, "/zizi35/", night_id, &night).is_none() {
        return false;
    }
    let begin = Instant::now();
    let mut accepted: Vec<String> = Vec::new();
    let mut refused = 0;
    // A client hands in a small job of two steps each second for 60 s.
    for i in 0..60u64 {
        let id = format!("{:016x}", 0x9a3c_71e0_55b2_0000 + i * 7);
        let check = job(700, &[(2, 1_000, None), (2, 1_000, Some(0))], "");
        let due = Duration::from_secs(i + 1);
        match d.submit_once(i as usize % 3, "/wuhu344/", &id, &check) {
            true => accepted.push(id),
            false => refused += 1,
        }
        thread::sleep(due.saturating_sub(begin.elapsed()));
        if refused >= 3 {
            break;
        }
    }
    let stored = d.platform.store.too_large();
    record.line(&format!(
        "end of the traffic: {} jobs accepted, {refused} not; {stored} appends with a too large record",
        accepted.len()
    ));
    thread::sleep(FINISH);
    let mut open = Vec::new();
    for (i, id) in accepted.iter().enumerate() {
        match d.state(i % 3, "/wuhu344/", id) {
            (200, state) if state == "completed" => {}
            (200, _) => open.push(id.clone()),
            (status, _) => broken(record, &format!("LOST: accepted job {id} is asked for: {status}")),
        }
    }
    if let Some(id) = starved(&d, &open, Duration::from_secs(5)) {
        let (_, used) = d.running(&id);
        broken(record, &format!(
            "LOST: accepted job {id} has had nothing running for 3 s, {:.0} % of the capacity is in use",
            used * 100.0
        ));
    }
    // What a restart of the owner changes is recorded only.
    let later = job(700, &[(2, 1_000, None)], "");
    let try_all = |what: &str| {
        let answers: Vec<bool> = (0..3)
            .map(|node| d.submit_once(node, "/wuhu344/", "9a3c71e055b2ffff", &later))
            .collect();
        record.line(&format!("a further job at each process, {what}: accepted {answers:?}"));
    };
    if !open.is_empty() {
        try_all("before a restart of the owner");
        if let Some(owner) = d.owner("keyed.shards") {
            record.line(&format!("{} is killed and started again", d.nodes[owner].name));
            d.nodes[owner].signal("KILL");
            d.nodes[owner].restart();
            pause(6_000);
            try_all("6 s after a restart of the owner");
        }
    }
    let starts = record.starts(night_id).len();
    record.line(&format!("{starts} tasks of the recurring job were started"));
    true
}

/// A process that is cut off from the store answers for a shard that another one owns by now.
pub fn stale(record: &Record) -> bool {
    let d = Deployment::start(record, &[("kafi81c", 4, 32)], false);
    let queues = [Queue { name: "r-check", prefix: "/wuhu344/", pool: "kafi81c", open: false }];
    d.platform.configure(&queues, 0);
    if !d.wait_ready(2) {
        return false;
    }
    pause(1_000);
    let Some(first) = d.owner("keyed.shards") else {
        return false;
    };
    let warm = job(300, &[(2, 1_000, None)], "");
    if d.submit(first, "/wuhu344/", "1f6d0c52a7e94b03", &warm).is_none() {
        return false;
    }
    // Nothing is under way when the path is cut.
    pause(2_500);
    let mut owner = first;
    if has_trouble() {
        record.line(&format!("{} is cut off from the store", d.nodes[first].name));
        d.nodes[first].store_path.cut();
        let cut = Instant::now();
        while owner == first {
            if cut.elapsed() > Duration::from_secs(5) {
                return false;
            }
            pause(20);
            owner = d.owner("keyed.shards").unwrap_or(first);
        }
        record.line(&format!("{} has claimed the shard", d.nodes[owner].name));
        // The new owner is published a moment later.
        pause(150);
    }
    // Seven steps in a row, each of one task of a second.
    let steps: Vec<(u64, u64, Option<usize>)> =
        (0..7).map(|i: usize| (1, 1_000, i.checked_sub(1))).collect();
    let id = "5c0e7a21d94b36f8";
    let other = (0..3).find(|i| *i != first).unwrap_or(owner);
    let Some(_) = d.submit(other, "/wuhu344/", id, &job(1_000, &steps, "")) else {
        return false;
    };
    pause(300);
    // The client cancels the job. Its call reaches the process that is cut off; a call that is not
    // acknowledged is repeated at the others.
    let mut acknowledged = None;
    for node in [first, other, first] {
        let (status, _) = d.call(node, "DELETE", &format!("/wuhu344/{id}"), "");
        if (200..300).contains(&status) || status == 410 {
            acknowledged = Some(record.now());
            record.line(&format!("the cancelling is acknowledged with {status}"));
            break;
        }
    }
    let Some(acknowledged) = acknowledged else {
        return false;
    };
    pause(2_500);
    d.nodes[first].store_path.heal();
    record.line("the path to the store is back");
    pause(6_000);
    let starts = record.starts(id);
    let late: Vec<_> = starts.iter().filter(|s| s.at > acknowledged + CANCEL).collect();
    for start in &late {
        broken(record, &format!(
            "UNASKED: task {} started {:.1} s after the cancelling was acknowledged, by token {}",
            start.task,
            (start.at - acknowledged).as_secs_f64(),
            start.token
        ));
    }
    for node in 0..3 {
        d.state(node, "/wuhu344/", id);
    }
    true
}

/// Tasks that last and fit on no worker keep all others off the workers.
pub fn hopeless(record: &Record) -> bool {
    let d = Deployment::start(record, &[("huvo11a", 4, 32)], false);
    let queues = [
        Queue { name: "r-archive", prefix: "/tije37/", pool: "huvo11a", open: true },
        Queue { name: "r-check", prefix: "/puxa400/", pool: "huvo11a", open: false },
    ];
    d.platform.configure(&queues, 0);
    if !d.wait_ready(2) {
        return false;
    }
    // 80 small jobs with tasks that last come within 3 s; 4 of them can never be done.
    let begin = Instant::now();
    let mut hopeless = 0;
    for i in 0..80u64 {
        let can_not = i % 20 == 19;
        let id = format!("{:016x}", 0x3d5a_0000_0000_0000 + i);
        let cpu = if can_not && has_trouble() { 64_000 } else { 50 };
        if d.submit(i as usize % 3, "/tije37/", &id, &lasting(1, cpu, "")).is_none() {
            return false;
        }
        hopeless += u64::from(cpu > 32_000);
        thread::sleep(Duration::from_millis((i + 1) * 35).saturating_sub(begin.elapsed()));
    }
    record.line(&format!("80 jobs that last within {:.1} s, {hopeless} of them hopeless", begin.elapsed().as_secs_f64()));
    thread::sleep(CONTACT);
    let mut ids = Vec::new();
    for i in 0..6u64 {
        let id = format!("{:016x}", 0x71b4_0000_0000_0000 + i);
        let check = job(800, &[(4, 1_800, None)], "");
        if d.submit(i as usize % 3, "/puxa400/", &id, &check).is_none() {
            return false;
        }
        ids.push(id);
    }
    let begun = record.now();
    let is_open = |id: &String| record.starts(id).len() < 4;
    pause(1_000);
    let open: Vec<String> = ids.iter().filter(|id| is_open(id)).cloned().collect();
    if let Some(id) = starved(&d, &open, Duration::from_secs(8)) {
        let (_, used) = d.running(&id);
        broken(record, &format!(
            "LOST: accepted job {id} has had nothing running for 3 s, {:.1} % of the capacity is in use",
            used * 100.0
        ));
    }
    thread::sleep(FINISH.saturating_sub(record.now() - begun));
    for (i, id) in ids.iter().enumerate() {
        let (_, state) = d.state(i % 3, "/puxa400/", id);
        record.line(&format!("job {id}: {} of 4 tasks were started, state {state}", record.starts(id).len()));
    }
    true
}

/// A job whose tasks are beyond its tenant's cap takes the cap from the tenant's other queues.
pub fn cap(record: &Record) -> bool {
    let d = Deployment::start(record, &[("huvo11a", 3, 32), ("kafi81c", 3, 32)], false);
    let queues = [
        Queue { name: "r-check", prefix: "/puxa400/", pool: "huvo11a", open: false },
        Queue { name: "r-renew", prefix: "/wuhu344/", pool: "kafi81c", open: false },
    ];
    const CAP: u64 = 20_000;
    d.platform.configure(&queues, CAP);
    if !d.wait_ready(3) {
        return false;
    }
    pause(1_500);
    // 20 jobs within 3 s, one of which asks for more than the tenant may have running.
    let begin = Instant::now();
    for i in 0..20u64 {
        let id = format!("{:016x}", 0x3d5a_0000_0000_0000 + i);
        let cpu = if i == 10 && has_trouble() { 24_000 } else { 500 };
        if d.submit(i as usize % 3, "/puxa400/", &id, &job(500, &[(4, cpu, None)], "")).is_none() {
            return false;
        }
        thread::sleep(Duration::from_millis((i + 1) * 140).saturating_sub(begin.elapsed()));
    }
    thread::sleep(CONTACT);
    let (_, used) = d.running("");
    record.line(&format!("{:.1} % of the capacity is in use", used * 100.0));
    let id = "71b4000000000001".to_owned();
    let renew = job(800, &[(2, 6_000, None)], "");
    if d.submit(0, "/wuhu344/", &id, &renew).is_none() {
        return false;
    }
    let begun = record.now();
    pause(500);
    let open: Vec<String> = (record.starts(&id).len() < 2).then(|| id.clone()).into_iter().collect();
    if let Some(id) = starved(&d, &open, Duration::from_secs(10)) {
        let used: u64 = d.platform.workers().iter().map(|w| w.used()).sum();
        broken(record, &format!(
            "LOST: accepted job {id} has had nothing running for 3 s; its tenant has {used} of {CAP} running"
        ));
    }
    thread::sleep(FINISH.saturating_sub(record.now() - begun));
    let (_, state) = d.state(1, "/wuhu344/", &id);
    record.line(&format!("job {id}: {} of 2 tasks were started, state {state}", record.starts(&id).len()));
    true
}

/// A tenant's cap is lowered while its tasks run in several pools.
pub fn lowered(record: &Record) -> bool {
    let pools = ["huvo11a", "kafi81c", "lovo22d", "wuno96b", "xano55b"];
    let d = Deployment::start(record, &pools.map(|pool| (pool, 2, 32)), false);
    let queues = [
        Queue { name: "r-check", prefix: "/puxa400/", pool: pools[0], open: false },
        Queue { name: "r-renew", prefix: "/wuhu344/", pool: pools[1], open: false },
        Queue { name: "r-verify", prefix: "/defi252/", pool: pools[2], open: false },
        Queue { name: "r-audit", prefix: "/bobo563/", pool: pools[3], open: false },
        Queue { name: "r-ledger", prefix: "/zizi35/", pool: pools[4], open: false },
    ];
    const TASK: u64 = 4_000;
    let mut cap = 100_000;
    d.platform.configure(&queues, cap);
    if !d.wait_ready(6) {
        return false;
    }
    pause(1_500);
    let prefixes = queues.each_ref().map(|q| q.prefix);
    // Two tasks of 4 cores each, which run for 25 s, in each pool.
    let long = job(25_000, &[(2, TASK, None)], "");
    for (i, prefix) in prefixes.iter().enumerate() {
        if d.submit(i % 3, prefix, &format!("{:016x}", 0x71b4_0000_0000_0001 + i as u64), &long).is_none() {
            return false;
        }
    }
    pause(1_500);
    if d.running("71b4").0 != 10 {
        return false;
    }
    // Jobs of three such tasks of a second in each pool, one after the other.
    let begin = Instant::now();
    let mut changed = None;
    let mut bound = cap + cap / 10 + TASK;
    let mut seen = 0;
    let mut i = 0u64;
    while begin.elapsed() < Duration::from_secs(14) {
        for (pool, queue) in prefixes.iter().enumerate() {
            let id = format!("{:016x}", 0x9a3c_0000_0000_0000 + i * 5 + pool as u64);
            d.submit_once(i as usize % 3, queue, &id, &job(1_000, &[(3, TASK, None)], ""));
        }
        i += 1;
        if i == 2 && has_trouble() {
            cap = 20_000;
            d.platform.configure(&queues, cap);
            changed = Some(record.now());
        }
        let until = Instant::now() + Duration::from_millis(1_100);
        while Instant::now() < until {
            pause(3);
            // A start is seen after it has been counted as running: the sum is that of the moment.
            let starts = record.starts("").len();
            let used: u64 = d.platform.workers().iter().map(|w| w.used()).sum();
            let is_in_force = changed.is_none_or(|at| record.now() > at + CONTACT + Duration::from_secs(2));
            if changed.is_some() && is_in_force {
                bound = cap + cap / 10 + TASK;
            }
            if starts > seen && used > bound && is_in_force {
                broken(record, &format!(
                    "QUOTA: a start brings what the tenant has running to {used}; cap {cap}, bound {bound}"
                ));
            }
            seen = starts;
        }
    }
    true
}

/// A task that needs more of its tenant's cap than the quota of one pool can grow to.
pub fn quota(record: &Record) -> bool {
    let d = Deployment::start(record, &[("huvo11a", 3, 32), ("kafi81c", 3, 32)], false);
    let queues = [
        Queue { name: "r-check", prefix: "/puxa400/", pool: "huvo11a", open: false },
        Queue { name: "r-renew", prefix: "/wuhu344/", pool: "kafi81c", open: false },
    ];
    d.platform.configure(&queues, 40_000);
    if !d.wait_ready(3) {
        return false;
    }
    pause(1_500);
    let renew = job(800, &[(1, 16_000, None)], "");
    let mut cap = 40_000;
    let first = "71b4000000000001";
    if d.submit(0, "/wuhu344/", first, &renew).is_none() {
        return false;
    }
    pause(2_500);
    record.line(&format!("{} task of {first} was started under a cap of {cap}", record.starts(first).len()));
    if has_trouble() {
        cap = 20_000;
        d.platform.configure(&queues, cap);
    }
    thread::sleep(CONTACT + Duration::from_secs(2));
    let id = "71b4000000000002".to_owned();
    if d.submit(0, "/wuhu344/", &id, &renew).is_none() {
        return false;
    }
    let begun = record.now();
    pause(500);
    let open: Vec<String> = record.starts(&id).is_empty().then(|| id.clone()).into_iter().collect();
    if starved(&d, &open, Duration::from_secs(10)).is_some() {
        let used: u64 = d.platform.workers().iter().map(|w| w.used()).sum();
        broken(record, &format!(
            "LOST: accepted job {id}, one task of 16000, has had nothing running for 3 s; its tenant has {used} of {cap} running"
        ));
    }
    thread::sleep(FINISH.saturating_sub(record.now() - begun));
    let (_, state) = d.state(1, "/wuhu344/", &id);
    record.line(&format!("job {id}: {} of 1 task was started, state {state}", record.starts(&id).len()));
    true
}

/// An upkeep that gets no answer is carried out after another process has taken over the waves.
pub fn late(record: &Record) -> bool {
    let d = Deployment::start(record, &[("huvo11a", 8, 32)], true);
    let queues = [Queue { name: "r-check", prefix: "/puxa400/", pool: "huvo11a", open: false }];
    d.platform.configure(&queues, 0);
    if !d.wait_ready(2) {
        return false;
    }
    pause(1_500);
    let Some(first) = d.owner("keyed.fleet") else {
        return false;
    };
    if has_trouble() {
        d.platform.faults.lock().unwrap().late = Some(Duration::from_millis(late_ms()));
    }
    let names: Vec<String> = {
        let machines = d.platform.machines.lock().unwrap();
        machines.iter().take(5).map(|m| m.name.clone()).collect()
    };
    d.platform.wave(1, &names, 1, 60);
    let until = Instant::now() + Duration::from_secs(8);
    let is_first = || match has_trouble() {
        true => d.platform.faults.lock().unwrap().held.is_some(),
        false => !d.platform.upkeeps.lock().unwrap().is_empty(),
    };
    while !is_first() {
        if Instant::now() > until {
            return false;
        }
        pause(10);
    }
    pause(200);
    record.line(&format!("{} is killed, and started again 3.5 s later", d.nodes[first].name));
    d.nodes[first].signal("KILL");
    // The queue's peak begins, and lasts for six seconds.
    pause(2_200);
    for i in 0..24u64 {
        if i == 5 {
            d.nodes[first].restart();
        }
        let id = format!("{:016x}", 0x9a3c_0000_0000_0000u64 + i);
        d.submit_once((first + 1) % 3, "/puxa400/", &id, &job(1_000, &[(24, 4_000, None)], ""));
        pause(250);
    }
    let until = Instant::now() + Duration::from_secs(40);
    let is_complete = || {
        let status = d.platform.store.newest("keyed.status", "wave/1").unwrap_or_default();
        status.contains("completed")
    };
    while !is_complete() && Instant::now() < until {
        pause(100);
    }
    record.line(&format!("the wave is completed: {}", is_complete()));
    for upkeep in d.platform.upkeeps.lock().unwrap().iter() {
        if upkeep.others_down >= 1 {
            broken(record, &format!(
                "LIMIT: at {:.3} s the upkeep of {} (ordered by {}) began while {} other of its wave was down; cap 1",
                upkeep.at.as_secs_f64(), upkeep.machine, upkeep.holder, upkeep.others_down
            ));
        }
    }
    true
}

/// After how long the order that gets no answer is carried out; 2 to 12 s.
fn late_ms() -> u64 {
    std::env::var("LATE_MS").ok().and_then(|t| t.parse().ok()).unwrap_or(6_200)
}

/// A gang with more tasks than a worker takes connections.
pub fn gangs(record: &Record) -> bool {
    let d = Deployment::start(record, &[("huvo11a", 3, 32)], false);
    let queues = [Queue { name: "r-check", prefix: "/puxa400/", pool: "huvo11a", open: false }];
    d.platform.configure(&queues, 0);
    if !d.wait_ready(2) {
        return false;
    }
    thread::sleep(CONTACT);
    // 100 tasks of a tenth of a core: a third of one worker.
    let count = if has_trouble() { 100 } else { 40 };
    let id = "5c0e7a21d94b36f8";
    if d.submit(0, "/puxa400/", id, &gang(500, count, 100)).is_none() {
        return false;
    }
    thread::sleep(FINISH + Duration::from_secs(6));
    let (_, state) = d.state(0, "/puxa400/", id);
    let (starts, alone) = (record.starts(id).len(), record.alone());
    record.line(&format!("job {id}: {starts} starts, {alone} runs ended alone, state {state}"));
    if alone > 0 {
        broken(record, &format!("GANG: {alone} runs ended alone, nothing was disrupted; the job is {state}"));
    }
    true
}

/// A worker restarts under its id with an earlier start time, after its clock of day went back.
pub fn born(record: &Record) -> bool {
    let d = Deployment::start(record, &[("huvo11a", 2, 32)], false);
    let queues = [Queue { name: "r-check", prefix: "/puxa400/", pool: "huvo11a", open: false }];
    d.platform.configure(&queues, 0);
    if !d.wait_ready(2) {
        return false;
    }
    pause(1_500);
    if has_trouble() {
        for worker in d.platform.workers() {
            worker.restart_earlier(Duration::from_secs(2));
        }
    }
    thread::sleep(CONTACT + Duration::from_secs(2));
    let mut ids = Vec::new();
    for i in 0..3u64 {
        let id = format!("{:016x}", 0x71b4_0000_0000_0000 + i);
        let check = job(500, &[(2, 1_000, None), (2, 1_000, Some(0))], "");
        if d.submit(i as usize, "/puxa400/", &id, &check).is_none() {
            return false;
        }
        ids.push(id);
    }
    pause(2_500);
    let open: Vec<String> = ids.iter().filter(|id| record.starts(id).len() < 4).cloned().collect();
    if let Some(id) = starved(&d, &open, Duration::from_secs(8)) {
        broken(record, &format!("LOST: accepted job {id} has had nothing running for 3 s"));
    }
    thread::sleep(FINISH);
    for (i, id) in ids.iter().enumerate() {
        d.state(i, "/puxa400/", id);
    }
    true
}

/// A repeated upkeep is rejected, and the first one, which got no answer, is carried out later.
pub fn rejected(record: &Record) -> bool {
    let d = Deployment::start(record, &[("huvo11a", 8, 32)], true);
    let queues = [Queue { name: "r-check", prefix: "/puxa400/", pool: "huvo11a", open: false }];
    d.platform.configure(&queues, 0);
    if !d.wait_ready(2) {
        return false;
    }
    pause(1_500);
    if has_trouble() {
        d.platform.faults.lock().unwrap().late = Some(Duration::from_millis(late_ms()));
    }
    let names: Vec<String> = {
        let machines = d.platform.machines.lock().unwrap();
        machines.iter().take(6).map(|m| m.name.clone()).collect()
    };
    d.platform.wave(1, &names, 1, 60);
    let until = Instant::now() + Duration::from_secs(8);
    while has_trouble() && d.platform.faults.lock().unwrap().held.is_none() {
        if Instant::now() > until {
            return false;
        }
        pause(10);
    }
    pause(300);
    let held = d.platform.faults.lock().unwrap().held.clone();
    if let Some((machine, _)) = held {
        d.platform.crash(&machine, Duration::from_millis(4_500));
    }
    let until = Instant::now() + Duration::from_secs(30);
    let is_complete = || {
        let status = d.platform.store.newest("keyed.status", "wave/1").unwrap_or_default();
        status.contains("completed")
    };
    while !is_complete() && Instant::now() < until {
        pause(100);
    }
    for upkeep in d.platform.upkeeps.lock().unwrap().iter() {
        if upkeep.others_down >= 1 {
            broken(record, &format!(
                "LIMIT: at {:.3} s the upkeep of {} began while {} other of its wave was down; cap 1",
                upkeep.at.as_secs_f64(), upkeep.machine, upkeep.others_down
            ));
        }
    }
    true
}
