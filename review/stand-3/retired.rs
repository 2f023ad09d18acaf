//! A version of the configuration sends a queue to another service and leaves out the former one, whose
//! jobs are under way.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;

const SERVICES: [&str; 2] = ["medical", "endorse"];
const QUEUE: &str = "checks";
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";

/// `visible_ms` and `cancel_ms` of the settings.
const VISIBLE_MS: u64 = 3_000;
const CANCEL_MS: u64 = 3_000;

/// One step after the other, each with tasks of 2.5 s.
const JOB: &str = "{\"spec\":\"ms=2500 cpu=1000 mem=256\",\"steps\":[\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2500},\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2500,\"after\":[0]},\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2500,\"after\":[1]}]}";

/// Sends the queue to a service.
fn routes(service: &str) -> [Route; 1] {
    [Route {
        name: QUEUE.to_owned(),
        service: service.to_owned(),
        priority: 0,
    }]
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 50,
    }];
    let mut site = Site::new(Arc::clone(record), &SERVICES, 4);
    site.configure(&SERVICES, &routes(SERVICES[0]), &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(QUEUE, KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let ids = [0, 1].map(|n| format!("{:016x}", 0x5c0e_7a21_d94b_0000u64 + n));
    let [kept, cancelled] = &ids;
    let path = |id: &str| format!("/{QUEUE}/{id}");
    for (number, id) in ids.iter().enumerate() {
        let answer = site.send(number, "POST", &path(id), KEY, JOB);
        if answer.is_none_or(|(status, _)| status != 200) {
            return Verdict::NotRun;
        }
    }
    let accepted = record.now();
    std::thread::sleep(Duration::from_millis(500));
    match trouble {
        true => site.configure(&SERVICES[1..], &routes(SERVICES[1]), &tenants),
        false => site.configure(&SERVICES, &routes(SERVICES[1]), &tenants),
    };
    std::thread::sleep(Duration::from_secs(1));
    let answer = site.send(2, "DELETE", &path(cancelled), KEY, "");
    let is_cancelled = answer.is_some_and(|(status, _)| status == 200 || status == 410);
    let cancelled_at = record.now();
    std::thread::sleep(Duration::from_millis(8_000));
    let mut broken = false;
    for node in 0..NODES {
        let answer = site.send(node, "GET", &path(kept), KEY, "");
        if answer.is_some_and(|(status, _)| status == 410) {
            broken = true;
            let age_ms = record.now() - accepted;
            assert!(age_ms > VISIBLE_MS);
            record.line(format!(
                "LOST: {kept} isn't known, {age_ms} ms after its acknowledgement"
            ));
        }
    }
    let runs = record.runs();
    let late = runs.iter().filter(|r| {
        is_cancelled
            && r.task.starts_with(cancelled.as_str())
            && r.began_ms > cancelled_at + CANCEL_MS
    });
    for run in late {
        broken = true;
        record.line(format!(
            "UNASKED: {} begins on {} {} ms after the acknowledgement of its job's cancelling",
            run.task,
            run.worker,
            run.began_ms - cancelled_at
        ));
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
