//! A job that can never be done is handed in to one of three services. The jobs of the same tenant in the
//! others can be done.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::worker;

const SERVICES: [&str; 3] = ["medical", "endorse", "safety"];
const WORKERS: usize = 4;
const NODES: usize = 3;
const KEYS: [&str; 2] = ["key-of-the-agency", "key-of-the-owner"];

/// The `cap` of each tenant, in thousandths of a core.
const CAP: u64 = 20_000;

/// What a task of the job that can't be done requests, and what one of the others does.
const LARGE: u64 = 5_300;
const SMALL: u64 = 1_800;

/// How many jobs each tenant hands in, and the time between two of them.
const JOBS: usize = 30;
const GAP: Duration = Duration::from_millis(300);

/// The time from the job that can't be done to the others.
const PAUSE: Duration = Duration::from_secs(3);

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// For how long a job may have nothing running then, in milliseconds.
const IDLE_MS: u64 = 3_000;

/// A job of eight tasks. No worker has its label if it is `hopeless`.
fn large_job(hopeless: bool) -> String {
    let label = if hopeless {
        ",\"required_label\":\"b\""
    } else {
        ""
    };
    format!(
        "{{\"spec\":\"ms=800 cpu={LARGE} mem=256\",\"steps\":[{{\"count\":8,\"cpu\":{LARGE},\"mem_mb\":256,\
         \"estimated_ms\":800{label}}}]}}"
    )
}

fn small_job() -> String {
    format!(
        "{{\"spec\":\"ms=800 cpu={SMALL} mem=256\",\"steps\":[{{\"count\":3,\"cpu\":{SMALL},\"mem_mb\":256,\
         \"estimated_ms\":800}}]}}"
    )
}

/// Hands a job in, and returns whether it was accepted.
fn submit(site: &Site, node: usize, path: &str, tenant: usize, body: &str) -> bool {
    let answer = site.send(node % NODES, "POST", path, KEYS[tenant], body);
    answer.is_some_and(|(status, _)| status == 200)
}

/// Returns whether one of the jobs of a tenant has had a run since `since_ms`.
fn was_at_work(record: &Record, ids: &[String], since_ms: u64) -> bool {
    let runs = record.runs();
    let mut runs = runs
        .iter()
        .filter(|r| ids.iter().any(|id| r.task.starts_with(id)));
    runs.any(|r| r.ended.as_ref().is_none_or(|(at, _)| *at > since_ms))
}

/// Plays a job that can never be done. With `trouble` left out its label is, so that it can be.
pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let names = ["agency", "owner"];
    let tenants = [0, 1].map(|tenant| Tenant {
        name: names[tenant].to_owned(),
        key: KEYS[tenant].to_owned(),
        weight: 500,
    });
    let routes = SERVICES.map(|name| Route {
        name: name.to_owned(),
        service: name.to_owned(),
        priority: 0,
    });
    let mut site = Site::new(Arc::clone(record), &SERVICES, WORKERS);
    site.caps = names.map(|name| (name.to_owned(), CAP)).into();
    site.configure(&SERVICES, &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(SERVICES[0], KEYS[0]) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let large = format!("/{}/{:016x}", SERVICES[1], 0x5c0e_7a21_d94b_ffffu64);
    if !submit(&site, 0, &large, 0, &large_job(trouble)) {
        return Verdict::NotRun;
    }
    std::thread::sleep(PAUSE);
    let mut accepted: [Vec<(&str, String)>; 2] = Default::default();
    for number in 0..JOBS {
        for (tenant, jobs) in accepted.iter_mut().enumerate() {
            let service = SERVICES[number % SERVICES.len()];
            let id = 0x5c0e_7a21_d94b_0000u64 + ((tenant as u64) << 8) + number as u64;
            let path = format!("/{service}/{id:016x}");
            if submit(&site, number + tenant, &path, tenant, &small_job()) {
                jobs.push((service, format!("{id:016x}")));
            }
        }
        std::thread::sleep(GAP);
    }
    std::thread::sleep(FINISH + Duration::from_millis(IDLE_MS));
    let since = record.now() - IDLE_MS;
    let mut broken = false;
    for (tenant, jobs) in accepted.iter().enumerate() {
        let ids: Vec<String> = jobs.iter().map(|(_, id)| id.clone()).collect();
        let works = was_at_work(record, &ids, since);
        let mut lost = [0; SERVICES.len()];
        for (service, id) in jobs {
            let path = format!("/{service}/{id}");
            let answer = site.send(0, "GET", &path, KEYS[tenant], "");
            let is_done = answer.is_some_and(|(_, body)| body.contains("\"completed\""));
            if !is_done && !was_at_work(record, std::slice::from_ref(id), since) {
                lost[SERVICES.iter().position(|s| s == service).unwrap_or(0)] += 1;
            }
        }
        record.line(format!(
            "the tenant {}: {} jobs accepted; at work in the last {IDLE_MS} ms: {works}; workers have {} in all",
            names[tenant],
            jobs.len(),
            (WORKERS * SERVICES.len()) as u64 * worker::CPU
        ));
        for (service, count) in SERVICES.iter().zip(lost) {
            record.line(format!(
                "LOST: {count} of them in {service} are not done and have nothing running"
            ));
        }
        // The rule asks whether the tenant has under half of its cap. Without a run it has nothing.
        broken |= !works && lost.iter().sum::<usize>() > 0;
    }
    match (accepted.iter().any(Vec::is_empty), broken) {
        (true, _) => Verdict::NotRun,
        (_, true) => Verdict::Broken,
        _ => Verdict::Held,
    }
}
