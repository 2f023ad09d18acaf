//! A version of the configuration lowers a tenant's `cap` while a task of the tenant lasts. Then a job
//! with a larger task that lasts is handed in, and short jobs of the same tenant.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;

const SERVICE: &str = "competency";
const QUEUES: [&str; 2] = ["renewals", "audits"];
const WORKERS: usize = 8;
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";

/// The tenant's `cap` before and after the version, in thousandths of a core.
const CAP: u64 = 400_000;
const LOWERED: u64 = 6_400;

/// What a task of each job that lasts requests. The second one fits into the lowered `cap`, but not beside
/// the first one.
const FIRST: u64 = 2_000;
const SECOND: u64 = 5_200;

/// How many short jobs there are.
const JOBS: usize = 3;

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// For how long a job may have nothing running then, in milliseconds.
const IDLE_MS: u64 = 3_000;

/// `config_apply_ms` of the settings, after which a version is in force.
const APPLY: Duration = Duration::from_millis(2_000);

/// A short job. With the first task that lasts, all of them fit into the lowered `cap`.
const SHORT: &str = "{\"spec\":\"ms=800 cpu=1000 mem=256\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\
                     \"estimated_ms\":800}]}";

fn lasting(cpu: u64) -> String {
    format!(
        "{{\"spec\":\"ms=0 cpu={cpu} mem=256\",\"steps\":[{{\"count\":1,\"cpu\":{cpu},\"mem_mb\":256,\
         \"estimated_ms\":500,\"long_running\":true}}]}}"
    )
}

fn path(queue: usize, number: usize) -> String {
    let id = 0x5c0e_7a21_d94b_0000u64 + ((queue as u64) << 8) + number as u64;
    format!("/{}/{id:016x}", QUEUES[queue])
}

/// Hands a job in, and returns whether it was accepted.
fn submit(site: &Site, queue: usize, number: usize, body: &str) -> bool {
    let answer = site.send(number % NODES, "POST", &path(queue, number), KEY, body);
    answer.is_some_and(|(status, _)| status == 200)
}

/// Returns whether a task of a job has been at work at some time since `since_ms`.
fn was_at_work(record: &Record, path: &str, since_ms: u64) -> bool {
    let id = path.rsplit('/').next().unwrap_or_default();
    let runs = record.runs();
    let mut runs = runs.iter().filter(|r| r.task.starts_with(id));
    runs.any(|r| r.ended.as_ref().is_none_or(|(at, _)| *at > since_ms))
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 50,
    }];
    let routes = QUEUES.map(|name| Route {
        name: name.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
    });
    let mut site = Site::new(Arc::clone(record), &[SERVICE], WORKERS);
    site.caps = [("agency".to_owned(), CAP)].into();
    site.configure(&[SERVICE], &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(QUEUES[0], KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut accepted = submit(&site, 1, 0, &lasting(FIRST));
    std::thread::sleep(APPLY);
    let cap = if trouble { LOWERED } else { CAP };
    site.caps = [("agency".to_owned(), cap)].into();
    site.configure(&[SERVICE], &routes, &tenants);
    record.line(format!("the tenant's cap is {cap} now"));
    std::thread::sleep(APPLY);
    accepted &= submit(&site, 1, 1, &lasting(SECOND));
    std::thread::sleep(Duration::from_secs(1));
    for number in 0..JOBS {
        accepted &= submit(&site, 0, number, SHORT);
    }
    if !accepted || !was_at_work(record, &path(1, 0), record.now()) {
        return Verdict::NotRun;
    }
    std::thread::sleep(FINISH + Duration::from_millis(IDLE_MS));
    let since = record.now() - IDLE_MS;
    let others = was_at_work(record, &path(1, 1), since);
    let used = FIRST + if others { SECOND } else { 0 };
    record.line(format!(
        "the tenant's tasks that last have {used} of {cap} running, on workers with {} in all",
        WORKERS as u64 * crate::worker::CPU
    ));
    let mut broken = false;
    for number in 0..JOBS {
        let path = path(0, number);
        let answer = site.send(number, "GET", &path, KEY, "");
        let is_done = answer.is_some_and(|(_, body)| body.contains("\"completed\""));
        if !is_done && !was_at_work(record, &path, since) {
            // The rule asks whether the tenant has under half of its cap.
            broken |= used * 2 < cap;
            record.line(format!("LOST: {path} has nothing running for {IDLE_MS} ms"));
        }
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
