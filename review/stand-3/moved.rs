//! A queue without jobs so far is sent to another service while two open connections of one machine
//! to the store are silent. A client's request for a job arrives at another machine, and once more, seconds after its
//! acknowledgement, at that one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::record::Run;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;

const SERVICES: [&str; 2] = ["medical", "endorse"];
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";

/// The time from the acknowledgement of the configuration to the client's request.
const SETTLE: Duration = Duration::from_millis(300);

/// The time from the acknowledgement of the job to the second arrival of its request.
const LATER: Duration = Duration::from_millis(1_200);

const JOB: &str = "{\"spec\":\"ms=2500 cpu=1000 mem=256\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\
                   \"estimated_ms\":2500}]}";

fn routes(moved: usize) -> Vec<Route> {
    let mut all = vec![Route {
        name: "usual".to_owned(),
        service: SERVICES[0].to_owned(),
        priority: 0,
    }];
    all.extend((0..NODES).map(|i| Route {
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
        weight: 50,
    }];
    let mut site = Site::new(Arc::clone(record), &SERVICES, 3);
    site.configure(&SERVICES, &routes(0), &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready("usual", KEY) {
        return Verdict::NotRun;
    }
    // All pools have their owners, and the shards are spread over the machines.
    std::thread::sleep(Duration::from_secs(5));
    let mut accepted = Vec::new();
    for round in 0..NODES {
        let job = format!("{:016x}", 0x5c0e_7a21_d94b_0000u64 + round as u64);
        if trouble {
            let (silent, open) = site.nodes[round].store.silence("/api/log-read?");
            record.line(format!(
                "{silent} of {open} open connections of {} to the store go silent",
                site.nodes[round].name
            ));
        }
        site.configure(&SERVICES, &routes(round + 1), &tenants);
        std::thread::sleep(SETTLE);
        let path = format!("/new{round}/{job}");
        let first = site.send((round + 1) % NODES, "POST", &path, KEY, JOB);
        if first.is_none_or(|(status, _)| status != 200) {
            record.line("the first request was not accepted");
            continue;
        }
        accepted.push(job.clone());
        std::thread::sleep(LATER);
        site.send(round, "POST", &path, KEY, JOB);
        std::thread::sleep(Duration::from_secs(7));
        site.send((round + 1) % NODES, "GET", &path, KEY, "");
    }
    if accepted.is_empty() {
        return Verdict::NotRun;
    }
    let broken = runs_twice(record);
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Returns whether a task has had two runs at the same time, or has begun after a run of it was done.
/// No worker is disrupted in the case, so that each end is taken note of.
pub fn runs_twice(record: &Record) -> bool {
    let mut tasks: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in record.runs() {
        tasks.entry(run.task.clone()).or_default().push(run);
    }
    let mut broken = false;
    for (task, runs) in tasks {
        for (i, run) in runs.iter().enumerate() {
            for later in &runs[i + 1..] {
                let ended = run.ended.as_ref();
                let at_once = ended.is_none_or(|(at, _)| *at > later.began_ms);
                let after_done = ended.is_some_and(|(_, how)| how == "done");
                if at_once || after_done {
                    broken = true;
                    record.line(format!(
                        "TWICE: {task} runs on {} from {} ms ({}) and on {} from {} ms",
                        run.worker,
                        run.began_ms,
                        ended.map_or("no end".to_owned(), |(at, how)| format!("{how} at {at} ms")),
                        later.worker,
                        later.began_ms
                    ));
                }
            }
        }
    }
    broken
}
