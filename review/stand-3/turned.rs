//! The store turns one machine away for a while, and a version sends a queue without jobs to another
//! service meanwhile. Jobs are handed in at another machine, and each request arrives once more at the
//! first one as the store serves it again.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::http::Client;
use crate::moved::runs_twice;
use crate::record::Record;
use crate::site::PATIENCE;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::site::headers;

const SERVICES: [&str; 2] = ["medical", "endorse"];
const NODES: usize = 3;
const ROUNDS: usize = 6;
const JOBS: usize = 24;
const KEY: &str = "key-of-the-agency";

/// The times from the first refusal to the new version, from there to the requests, and from these to
/// the end of the refusals.
const BEFORE: Duration = Duration::from_millis(150);
const SETTLE: Duration = Duration::from_millis(300);
const AFTER: Duration = Duration::from_millis(250);

/// The time between two repeated requests, and the time after each round.
const PAUSE: Duration = Duration::from_millis(5);
const REST: Duration = Duration::from_millis(4_500);

const JOB: &str = "{\"spec\":\"ms=2500 cpu=1000 mem=256\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\
                   \"estimated_ms\":2500}]}";

fn routes(moved: usize) -> Vec<Route> {
    let mut all = vec![Route {
        name: "usual".to_owned(),
        service: SERVICES[0].to_owned(),
        priority: 0,
    }];
    all.extend((0..ROUNDS).map(|i| Route {
        name: format!("new{i}"),
        service: SERVICES[usize::from(i < moved)].to_owned(),
        priority: 0,
    }));
    all
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 500,
    }];
    let mut site = Site::new(Arc::clone(record), &SERVICES, 6);
    site.configure(&SERVICES, &routes(0), &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready("usual", KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut accepted = 0;
    for round in 0..ROUNDS {
        let (node, other) = (round % NODES, (round + 1) % NODES);
        if trouble {
            site.turn_away(node);
        }
        std::thread::sleep(BEFORE);
        site.configure(&SERVICES, &routes(round + 1), &tenants);
        std::thread::sleep(SETTLE);
        let mut paths = Vec::new();
        for number in 0..JOBS {
            let id = 0x5c0e_7a21_d94b_0000u64 + (round * 100 + number) as u64;
            let path = format!("/new{round}/{id:016x}");
            let answer = site.send(other, "POST", &path, KEY, JOB);
            if answer.is_some_and(|(status, _)| status == 200) {
                paths.push(path);
            }
        }
        accepted += paths.len();
        std::thread::sleep(AFTER);
        if trouble {
            site.serve_again(node);
        }
        let (address, name) = (site.nodes[node].clients, site.nodes[node].name.clone());
        let threads: Vec<_> = paths
            .into_iter()
            .map(|path| {
                let (record, name) = (Arc::clone(record), name.clone());
                let thread = std::thread::spawn(move || {
                    record.brief(format!("client to {name}: POST {path}"));
                    let mut client = Client::new(address, PATIENCE);
                    let answer = client.call("POST", &path, &headers(KEY), JOB.as_bytes());
                    let status = answer.map(|(status, _)| status);
                    record.brief(format!("{name} to client: POST {path}: {status:?}"));
                });
                std::thread::sleep(PAUSE);
                thread
            })
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
        std::thread::sleep(REST);
    }
    match (accepted, runs_twice(record)) {
        (0, _) => Verdict::NotRun,
        (_, true) => Verdict::Broken,
        (_, false) => Verdict::Held,
    }
}
