//! One job in a hundred can never be done: a gang that is wider than the pool. Ordinary
//! jobs for which there is room are then neither started nor answered for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Verdict;
use crate::http::Client;
use crate::record::Record;
use crate::record::Run;
use crate::site::PATIENCE;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::site::headers;

const SERVICES: [&str; 2] = ["safety", "endorse"];
const WORKERS: usize = 8;
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";
const MEMORY_MB: u64 = 260;

/// How many clients send ordinary jobs, and how often each: together as often as the sheet's `bst-check`
/// on average, for `TRAFFIC`.
const CLIENTS: usize = 35;
const EVERY: Duration = Duration::from_secs(4);
const TRAFFIC: Duration = Duration::from_secs(40);

/// How many jobs can never be done: a hundredth of 350, as of `bst-check`, and a twentieth for 3 s.
const HOPELESS: usize = 4;

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// For how long a job may have nothing running then, in milliseconds.
const IDLE_MS: u64 = 3_000;

/// For how long the jobs are watched and asked for then, each once in that time.
const WATCH_MS: u64 = 20_000;

/// How often a client asks, at all machines in turn: a first attempt, and the sheet's four retries. Each
/// has `PATIENCE`.
const ATTEMPTS: usize = 5;

const JOB: &str = "{\"spec\":\"ms=800 cpu=1800 mem=2500\",\"steps\":[{\"count\":6,\"cpu\":1800,\"mem_mb\":2500,\
                   \"estimated_ms\":800}]}";
const TASKS: usize = 6;

/// It needs 550 cores at once. The workers of all pools have 512, those of its own 256.
const GANG: &str = "{\"spec\":\"cpu=110 mem=0\",\"steps\":[{\"count\":5000,\"cpu\":110,\"gang\":true,\
                    \"long_running\":true}]}";

/// Sends ordinary jobs, and returns the paths of those that were accepted.
fn send(addresses: &[SocketAddr], number: usize, record: &Record) -> Vec<String> {
    std::thread::sleep(EVERY / CLIENTS as u32 * number as u32);
    let mut client = Client::new(addresses[number % NODES], PATIENCE);
    let (mut accepted, begin) = (Vec::new(), record.now());
    for turn in 0..(TRAFFIC.as_millis() / EVERY.as_millis()) as u64 {
        let due = Duration::from_millis(begin) + EVERY * turn as u32;
        std::thread::sleep(due.saturating_sub(Duration::from_millis(record.now())));
        let id = 0x00bb_0000_0000_0000u64 + ((number as u64) << 24) + turn * 7_919;
        let path = format!("/{}/{id:016x}", SERVICES[0]);
        let start = record.now();
        let answer = client.call("POST", &path, &headers(KEY), JOB.as_bytes());
        let status = answer.map(|(status, _)| status);
        let taken = record.now() - start;
        record.brief(format!("POST {path}: {status:?} after {taken} ms"));
        if status.is_some_and(|s| (200..300).contains(&s)) {
            accepted.push(path);
        }
    }
    accepted
}

/// Returns whether a job had nothing running from `from` to `to`, and tasks that were not done.
fn idles(runs: &[Run], path: &str, from: u64, to: u64) -> bool {
    let id = path.rsplit('/').next().unwrap_or_default();
    let mine = || runs.iter().filter(|r| r.task.starts_with(id));
    let done = |r: &&Run| {
        r.ended
            .as_ref()
            .is_some_and(|(at, how)| how == "done" && *at <= to)
    };
    let at_work = |r: &Run| r.began_ms < to && r.ended.as_ref().is_none_or(|(at, _)| *at > from);
    mine().filter(done).count() < TASKS && !mine().any(at_work)
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 50,
    }];
    let routes = SERVICES.map(|name| Route {
        name: name.to_owned(),
        service: name.to_owned(),
        priority: 0,
    });
    let mut site = Site::new(Arc::clone(record), &SERVICES, WORKERS);
    site.configure(&SERVICES, &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(MEMORY_MB);
    }
    site.limit_processors();
    if !site.wait_ready(SERVICES[0], KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let addresses: Vec<SocketAddr> = site.nodes.iter().map(|n| n.clients).collect();
    let accepted: Mutex<Vec<String>> = Mutex::default();
    let until = record.now() + TRAFFIC.as_millis() as u64;
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (accepted, addresses) = (&accepted, &addresses);
            scope.spawn(move || {
                let paths = send(addresses, number, record);
                accepted.lock().unwrap().extend(paths);
            });
        }
        for number in 0..if trouble { HOPELESS } else { 0 } {
            std::thread::sleep(TRAFFIC / 20);
            let path = format!("/{}/00cc0f5a91e7{number:04x}", SERVICES[0]);
            for attempt in 0..ATTEMPTS {
                if record.now() > until {
                    break;
                }
                let node = (number + attempt) % NODES;
                let answer = site.send(node, "POST", &path, KEY, GANG);
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(1_100));
            }
        }
    });
    let accepted = accepted.into_inner().unwrap();
    record.line(format!(
        "the traffic has ended; {} jobs were accepted",
        accepted.len()
    ));
    std::thread::sleep(FINISH);
    let from = record.now();
    let owed: Mutex<Vec<&String>> = Mutex::default();
    std::thread::scope(|scope| {
        for (number, path) in accepted.iter().enumerate() {
            let (owed, addresses) = (&owed, &addresses);
            let at = number as u64 * WATCH_MS / accepted.len() as u64;
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(at));
                for attempt in number..number + ATTEMPTS {
                    let node = attempt % NODES;
                    let mut client = Client::new(addresses[node], PATIENCE);
                    let answer = client.call("GET", path, &headers(KEY), b"");
                    let status = answer.map(|(status, _)| status);
                    record.brief(format!("GET {path} at machine {}: {status:?}", node + 1));
                    if status == Some(200) {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(1_100));
                }
                owed.lock().unwrap().push(path);
            });
        }
    });
    let owed = owed.into_inner().unwrap();
    for path in &owed {
        record.line(format!(
            "LOST: {path} got no answer in time in {ATTEMPTS} attempts"
        ));
    }
    let (runs, mut idle) = (record.runs(), 0);
    for path in &accepted {
        let windows = (from..=from + WATCH_MS - IDLE_MS).step_by(500);
        let mut windows = windows.map(|at| (at, at + IDLE_MS));
        if let Some((at, to)) = windows.find(|(at, to)| idles(&runs, path, *at, *to)) {
            idle += 1;
            let busy = runs.iter().filter(|r| r.began_ms < to);
            let busy = busy.filter(|r| r.ended.as_ref().is_none_or(|(end, _)| *end > at));
            record.line(format!(
                "LOST: {path} has nothing running from {at} to {to} ms, when {} tasks of 1.8 cores are at \
                 work, of 256 cores",
                busy.count()
            ));
        }
    }
    record.line(format!(
        "{idle} of {} jobs idle, {} without an answer in time",
        accepted.len(),
        owed.len()
    ));
    match (accepted.is_empty(), idle == 0 && owed.is_empty()) {
        (true, _) => Verdict::NotRun,
        (_, true) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
