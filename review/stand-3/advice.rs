//! A version of the configuration gives a queue a policy service while jobs are under way there. Then jobs
//! whose tasks work alone, and jobs whose tasks form a gang, are handed in.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::AdviceTime;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::worker::NEEDS_TICKETS;

const SERVICE: &str = "medical";
const QUEUE: &str = "checks";
const WORKERS: usize = 8;
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";

/// How many jobs of each form there are.
const JOBS: usize = 3;

/// The workers and jobs of the burst, and the time between two jobs without it.
const BURST_WORKERS: usize = 12;
const BURST: usize = 45;
const BURST_PAUSE: Duration = Duration::from_millis(500);

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// For how long a job may have nothing running then, in milliseconds.
const IDLE_MS: u64 = 3_000;

/// `config_apply_ms` of the settings, after which a version is in force.
const APPLY: Duration = Duration::from_millis(2_000);

/// A job whose second step follows after the version. Its starts need tickets from then on.
const EARLIER_JOB: &str = "{\"spec\":\"ms=4000 cpu=1000 mem=256 ticket=2\",\"steps\":[\
                           {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":4000},\
                           {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":4000,\"after\":[0]}]}";

/// Returns the body of a job of four tasks, which use an eighth of the workers' capacity at most
/// together with all the others. Their starts need tickets if the queue is `advised`.
fn job(gang: bool, advised: bool) -> String {
    let gang = if gang { ",\"gang\":true" } else { "" };
    let advised = u8::from(advised);
    format!(
        "{{\"spec\":\"ms=800 cpu=1000 mem=256 ticket={advised}\",\"steps\":[{{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\
         \"estimated_ms\":800{gang}}}]}}"
    )
}

/// Plays a queue whose policy allows two workers of a pool that is larger than a query of the system. With
/// `trouble` left out the pool is as large as one.
pub fn run_few(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 50,
    }];
    let routes = [Route {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
    }];
    let workers = if trouble { 40 } else { 30 };
    let mut site = Site::new(Arc::clone(record), &[SERVICE], workers);
    site.few.store(workers, Ordering::SeqCst);
    site.advised = Some(QUEUE.to_owned());
    site.configure(&[SERVICE], &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(QUEUE, KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut accepted = Vec::new();
    for number in 0..60 {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000u64 + number as u64);
        let path = format!("/{QUEUE}/{id}");
        let answer = site.send(number % NODES, "POST", &path, KEY, &job(false, true));
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.push((id, false));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(FINISH + Duration::from_millis(IDLE_MS));
    check(&site, &accepted)
}

/// Plays a queue whose policy service takes 220 ms for a call, and 45 jobs that are handed in there at
/// once. With `trouble` left out they come one by one.
pub fn run_burst(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 50,
    }];
    let routes = [Route {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
    }];
    let mut site = Site::new(Arc::clone(record), &[SERVICE], BURST_WORKERS);
    site.advised = Some(QUEUE.to_owned());
    site.advice_time = AdviceTime {
        decision_ms: 100,
        period_ms: 10,
    };
    site.configure(&[SERVICE], &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(QUEUE, KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut accepted = Vec::new();
    for number in 0..BURST {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000u64 + number as u64);
        let path = format!("/{QUEUE}/{id}");
        let answer = site.send(number % NODES, "POST", &path, KEY, &job(false, true));
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.push((id, false));
        }
        if !trouble {
            std::thread::sleep(BURST_PAUSE);
        }
    }
    std::thread::sleep(FINISH + Duration::from_millis(IDLE_MS));
    check(&site, &accepted)
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 50,
    }];
    let routes = [Route {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
    }];
    let mut site = Site::new(Arc::clone(record), &[SERVICE], WORKERS);
    site.configure(&[SERVICE], &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(QUEUE, KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x5c0e_7a21_d94a_0000u64 + number as u64);
        let path = format!("/{QUEUE}/{id}");
        let answer = site.send(number % NODES, "POST", &path, KEY, EARLIER_JOB);
        if answer.is_none_or(|(status, _)| status != 200) {
            return Verdict::NotRun;
        }
        accepted.push((id, false));
    }
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        site.advised = Some(QUEUE.to_owned());
    }
    site.configure(&[SERVICE], &routes, &tenants);
    std::thread::sleep(APPLY);
    if trouble {
        NEEDS_TICKETS.store(true, Ordering::SeqCst);
        record.line("starts on the queue need a ticket from now on");
    }
    std::thread::sleep(Duration::from_secs(1));
    for number in 0..2 * JOBS {
        let gang = number % 2 == 1;
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000u64 + number as u64);
        let path = format!("/{QUEUE}/{id}");
        let answer = site.send(number % NODES, "POST", &path, KEY, &job(gang, trouble));
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.push((id, gang));
        }
    }
    if accepted.len() < 3 * JOBS {
        return Verdict::NotRun;
    }
    std::thread::sleep(FINISH + Duration::from_millis(IDLE_MS));
    check(&site, &accepted)
}

/// Asks for the jobs, and returns whether one of them has had nothing running.
fn check(site: &Site, accepted: &[(String, bool)]) -> Verdict {
    let record = &site.record;
    let (mut broken, mut completed) = (false, 0);
    for (number, (id, gang)) in accepted.iter().enumerate() {
        let answer = site.send(number % NODES, "GET", &format!("/{QUEUE}/{id}"), KEY, "");
        if answer.is_some_and(|(_, body)| body.contains("\"completed\"")) {
            completed += 1;
            continue;
        }
        let since = record.now() - IDLE_MS;
        let runs = record.runs();
        let mut runs = runs.iter().filter(|r| r.task.starts_with(id.as_str()));
        if !runs.any(|r| r.ended.as_ref().is_none_or(|(at, _)| *at > since)) {
            broken = true;
            record.line(format!(
                "LOST: {id}, gang: {gang}, has nothing running for {IDLE_MS} ms, and nothing else runs"
            ));
        }
    }
    // Without a completed job the policy service or the workers would be at fault.
    match (broken, completed) {
        (_, 0) => Verdict::NotRun,
        (true, _) => Verdict::Broken,
        (false, _) => Verdict::Held,
    }
}
