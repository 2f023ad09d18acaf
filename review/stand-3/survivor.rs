//! All machines but one are lost for good, after their clients have handed in jobs that are due later.
//! The jobs are asked for at the machine that is left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::Verdict;
use crate::http::Client;
use crate::record::Record;
use crate::site::PATIENCE;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::site::headers;

const SERVICES: [&str; 3] = ["medical", "endorse", "safety"];
const TENANTS: [&str; 3] = ["agency", "owner", "seafarer"];
const NODES: usize = 3;
const MEMORY_MB: u64 = 260;

/// Jobs of each tenant in each queue, and the time between two of them.
const JOBS: usize = 415;
const GAP: Duration = Duration::from_millis(45);

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// How long jobs are asked for after `FINISH`, again and again.
const ASKING: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_secs(4);

fn key(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

/// A job of two steps of 24 tasks each, which is due in two hours.
fn job() -> String {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let due = now.unwrap_or_default().as_millis() + 2 * 3_600_000;
    let step = "\"count\":24,\"cpu\":1800,\"mem_mb\":2500,\"estimated_ms\":800";
    format!(
        "{{\"spec\":\"ms=800 cpu=1800 mem=2500\",\"steps\":[{{{step}}},{{{step},\"after\":[0]}}],\
         \"start_at_ms\":{due},\"repeat_count\":1}}"
    )
}

/// Hands jobs of one tenant in to one queue, and returns the paths of those that were accepted.
fn submit(addresses: &[SocketAddr], thread: usize, record: &Record) -> Vec<String> {
    let (tenant, service) = (
        TENANTS[thread % TENANTS.len()],
        SERVICES[thread / TENANTS.len()],
    );
    let clients = addresses.iter().map(|a| Client::new(*a, PATIENCE));
    let mut clients: Vec<Client> = clients.collect();
    let (headers, mut accepted) = (headers(&key(tenant)), Vec::new());
    for number in 0..JOBS {
        let id = 0x71c3_0000_0000_0000u64 + ((thread as u64) << 32) + number as u64 * 7_919;
        let path = format!("/{service}/{id:016x}");
        let client = &mut clients[number % NODES];
        let answer = client.call("POST", &path, &headers, job().as_bytes());
        let status = answer.map(|(status, _)| status);
        record.brief(format!("POST {path}: {status:?}"));
        if status.is_some_and(|s| (200..300).contains(&s)) {
            accepted.push(path);
        }
        std::thread::sleep(GAP);
    }
    accepted
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = TENANTS.map(|name| Tenant {
        name: name.to_owned(),
        key: key(name),
        weight: 100,
    });
    let routes = SERVICES.map(|name| Route {
        name: name.to_owned(),
        service: name.to_owned(),
        priority: 0,
    });
    let mut site = Site::new(Arc::clone(record), &SERVICES, 3);
    site.configure(&SERVICES, &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(MEMORY_MB);
    }
    if !site.wait_ready(SERVICES[0], &key(TENANTS[0])) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let addresses: Vec<SocketAddr> = site.nodes.iter().map(|n| n.clients).collect();
    let accepted: Mutex<Vec<(usize, Vec<String>)>> = Mutex::default();
    std::thread::scope(|scope| {
        for thread in 0..TENANTS.len() * SERVICES.len() {
            let (accepted, addresses) = (&accepted, &addresses);
            scope.spawn(move || {
                let paths = submit(addresses, thread, record);
                accepted.lock().unwrap().push((thread, paths));
            });
        }
    });
    let mut accepted = accepted.into_inner().unwrap();
    accepted.sort();
    for (thread, paths) in &accepted {
        record.line(format!("{} jobs of client {thread} accepted", paths.len()));
    }
    for node in 0..NODES {
        record.line(format!(
            "{} uses {} kB",
            site.nodes[node].name,
            site.memory_kb(node)
        ));
    }
    if trouble {
        site.kill_node(0);
        site.kill_node(1);
    }
    std::thread::sleep(FINISH);
    let until = Instant::now() + ASKING;
    let mut client = Client::new(addresses[2], PATIENCE);
    let mut owed: Vec<(usize, String)> = Vec::new();
    for (thread, paths) in accepted {
        owed.extend(paths.into_iter().map(|path| (thread, path)));
    }
    let all = owed.len();
    let mut last = String::new();
    while !owed.is_empty() && Instant::now() < until {
        owed.retain(|(thread, path)| {
            if Instant::now() > until {
                return true;
            }
            let headers = headers(&key(TENANTS[thread % TENANTS.len()]));
            let answer = client.call("GET", path, &headers, b"");
            let status = answer.as_ref().map(|(status, _)| *status);
            record.brief(format!("GET {path}: {status:?}"));
            if status == Some(200) {
                return false;
            }
            let body = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
            last = format!("{status:?} {}", body.unwrap_or_default());
            true
        });
        std::thread::sleep(PAUSE);
    }
    record.line(format!("edge-3 uses {} kB", site.memory_kb(2)));
    record.line(format!(
        "{} of {all} accepted jobs were never answered for",
        owed.len()
    ));
    for service in SERVICES {
        let prefix = format!("/{service}/");
        let count = owed
            .iter()
            .filter(|(_, path)| path.starts_with(&prefix))
            .count();
        record.line(format!(
            "LOST: {count} of them in {service}; the last answer: {last}"
        ));
    }
    match (all, owed.len()) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
