//! A version of the configuration leaves out a tenant whose job is under way.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;

const SERVICE: &str = "medical";
const QUEUE: &str = "checks";
const NODES: usize = 3;
const KEYS: [&str; 2] = ["key-of-the-agency", "key-of-the-owner"];

/// `finish_s` of the settings, and the time for which a job may have nothing running then.
const FINISH: Duration = Duration::from_secs(14);
const IDLE_MS: u64 = 3_000;

const JOB: &str = "{\"spec\":\"ms=2500 cpu=1000 mem=256\",\"steps\":[\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2500},\
                   {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":2500,\"after\":[0]}]}";

fn tenant(number: usize) -> Tenant {
    Tenant {
        name: ["agency", "owner"][number].to_owned(),
        key: KEYS[number].to_owned(),
        weight: 50,
    }
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let routes = [Route {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
    }];
    let mut site = Site::new(Arc::clone(record), &[SERVICE], 8);
    site.configure(&[SERVICE], &routes, &[tenant(0), tenant(1)]);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(QUEUE, KEYS[0]) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let path =
        |number: usize| format!("/{QUEUE}/{:016x}", 0x5c0e_7a21_d94b_0000u64 + number as u64);
    for number in 0..2 {
        let answer = site.send(number, "POST", &path(number), KEYS[number], JOB);
        if answer.is_none_or(|(status, _)| status != 200) {
            return Verdict::NotRun;
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    match trouble {
        true => site.configure(&[SERVICE], &routes, &[tenant(1)]),
        false => site.configure(&[SERVICE], &routes, &[tenant(0), tenant(1)]),
    };
    std::thread::sleep(FINISH + Duration::from_millis(IDLE_MS));
    let mut broken = false;
    for number in 0..2 {
        let answer = site.send(number, "GET", &path(number), KEYS[1], "");
        let is_done = answer.is_some_and(|(_, body)| body.contains("\"completed\""));
        let id = path(number)
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .to_owned();
        let since = record.now() - IDLE_MS;
        let runs = record.runs();
        let mut runs = runs.iter().filter(|r| r.task.starts_with(&id));
        if !is_done && !runs.any(|r| r.ended.as_ref().is_none_or(|(at, _)| *at > since)) {
            broken = true;
            record.line(format!("LOST: {id} has nothing running for {IDLE_MS} ms"));
        }
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
