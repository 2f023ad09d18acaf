//! A machine stands still for a few seconds, and its shards get other owners. A job is accepted there,
//! and its client cancels it on a connection to the machine that stands still. The machine wakes, and
//! answers.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Client;
use crate::record::Record;
use crate::site::PATIENCE;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::site::headers;

const SERVICES: [&str; 2] = ["medical", "endorse"];
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";

/// How long the machine stands still. The site's `node_freeze` has 3.5 s.
const FREEZE: Duration = Duration::from_millis(2_800);

/// `cancel_ms` of the settings.
const CANCEL_MS: u64 = 3_000;

const JOBS: usize = 3;

/// Jobs that come before, in turn to the services.
const USUAL: usize = 20;
const USUAL_PAUSE: Duration = Duration::from_millis(100);
const USUAL_REST: Duration = Duration::from_millis(400);
const USUAL_JOB: &str = "{\"spec\":\"ms=200 cpu=1000 mem=256\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\
                         \"estimated_ms\":200}]}";

const JOB: &str = "{\"spec\":\"ms=2000 cpu=1000 mem=256\",\"steps\":[\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2000},\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2000,\"after\":[0]},\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2000,\"after\":[1]},\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2000,\"after\":[2]}]}";

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
    let mut site = Site::new(Arc::clone(record), &SERVICES, 4);
    site.anonymous = true;
    site.configure(&SERVICES, &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(SERVICES[0], KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let site = Arc::new(site);
    let mut cancelled = Vec::new();
    for round in 0..NODES {
        let clients: Vec<Client> = (0..SERVICES.len() * JOBS)
            .map(|_| {
                let mut client = Client::new(site.nodes[round].clients, PATIENCE);
                client.call("GET", "/medical/", &headers(KEY), b"");
                client
            })
            .collect();
        for number in 0..USUAL {
            let job = 1_000 + round * USUAL + number;
            let path = format!("/{}/{job:016x}", SERVICES[number % SERVICES.len()]);
            site.call((round + 1) % NODES, "POST", &path, KEY, USUAL_JOB);
            std::thread::sleep(USUAL_PAUSE);
        }
        // They are done, and each owner has stored that.
        std::thread::sleep(USUAL_REST);
        let begin = Instant::now();
        if trouble {
            site.freeze(round);
        }
        std::thread::sleep(Duration::from_millis(2_000));
        let threads: Vec<JoinHandle<Option<(String, u64)>>> = clients
            .into_iter()
            .enumerate()
            .map(|(i, client)| {
                let site = Arc::clone(&site);
                std::thread::spawn(move || hand_in_and_cancel(&site, round, i, client))
            })
            .collect();
        std::thread::sleep(FREEZE.saturating_sub(begin.elapsed()));
        if trouble {
            site.thaw(round);
        }
        cancelled.extend(threads.into_iter().filter_map(|t| t.join().unwrap_or(None)));
        std::thread::sleep(Duration::from_secs(10));
    }
    if cancelled.is_empty() {
        return Verdict::NotRun;
    }
    let mut broken = false;
    for (job, at) in cancelled {
        let service = SERVICES[usize::from_str_radix(&job, 16).unwrap_or(0) % SERVICES.len()];
        site.send(0, "GET", &format!("/{service}/{job}"), KEY, "");
        let runs = record.runs();
        let late = runs
            .iter()
            .filter(|r| r.task.starts_with(&job) && r.began_ms > at + CANCEL_MS);
        for run in late {
            broken = true;
            record.line(format!(
                "UNASKED: {} starts at {} ms, and the cancelling was acknowledged at {at} ms",
                run.task, run.began_ms
            ));
        }
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Hands a job in at another machine and, once it is accepted, cancels it on the connection of `client`.
/// Returns the job and when the cancelling was acknowledged.
fn hand_in_and_cancel(
    site: &Site,
    round: usize,
    number: usize,
    mut client: Client,
) -> Option<(String, u64)> {
    let job = format!(
        "{:016x}",
        0x5c0e_7a21_d94b_0000u64 + (round * 100 + number) as u64
    );
    let path = format!("/{}/{job}", SERVICES[number % SERVICES.len()]);
    let other = (round + 1 + number % (NODES - 1)) % NODES;
    let answer = site.send(other, "POST", &path, KEY, JOB);
    if answer.is_none_or(|(status, _)| status != 200) {
        return None;
    }
    let name = &site.nodes[round].name;
    site.record.line(format!("client to {name}: DELETE {path}"));
    let answer = client.call("DELETE", &path, &headers(KEY), b"");
    let text = match &answer {
        Some((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
        None => "no answer".to_owned(),
    };
    site.record
        .line(format!("{name} to client: DELETE {path}: {text}"));
    let (status, _) = answer?;
    (status == 410 || status / 100 == 2).then(|| (job, site.record.now()))
}
