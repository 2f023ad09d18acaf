//! A task that fills is paced down to 0 for the sake of a task that serves beside it. The machine that owns its
//! pool is lost, and later what disturbed the serving task is over.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::worker::DISTURBANCE_MS;
use crate::worker::TAIL_MS;

const SERVICES: [&str; 3] = ["medical", "endorse", "safety"];
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";

/// A task that serves, whose tail has to stay below 100 ms.
const SERVING: &str = "{\"spec\":\"ms=0 cpu=4000 mem=256 serves=1\",\"steps\":[{\"count\":1,\"cpu\":4000,\
                       \"mem_mb\":256,\"estimated_ms\":500,\"long_running\":true,\"target_ms\":100}]}";

/// A task that fills.
const FILLING: &str = "{\"spec\":\"ms=3000 cpu=4000 mem=256 fills=1\",\"steps\":[{\"count\":1,\"cpu\":4000,\
                       \"mem_mb\":256,\"estimated_ms\":3000,\"fills\":true}]}";

/// How long the serving tasks are disturbed before and after the machine is lost.
const DISTURBED: Duration = Duration::from_millis(2_500);
const STILL_DISTURBED: Duration = Duration::from_secs(6);

/// How long the jobs are waited for once nothing disturbs the serving tasks.
const CALM: Duration = Duration::from_secs(30);

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
    let mut site = Site::new(Arc::clone(record), &SERVICES, 1);
    site.configure(&SERVICES, &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(SERVICES[0], KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    // Beside a task that fills the tail is 120 ms, and without one 70 ms.
    TAIL_MS.store(70, Ordering::SeqCst);
    DISTURBANCE_MS.store(50, Ordering::SeqCst);
    let ids: Vec<String> = (0..2 * SERVICES.len() as u64)
        .map(|n| format!("{:016x}", 0x5c0e_7a21_d94b_0000u64 + n))
        .collect();
    let (serving, filling) = ids.split_at(SERVICES.len());
    for (jobs, text) in [(serving, SERVING), (filling, FILLING)] {
        for (service, id) in SERVICES.iter().zip(jobs) {
            let answer = site.send(1, "POST", &format!("/{service}/{id}"), KEY, text);
            if answer.is_none_or(|(status, _)| status != 200) {
                return Verdict::NotRun;
            }
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    std::thread::sleep(DISTURBED);
    if trouble {
        site.kill_node(0);
    }
    std::thread::sleep(STILL_DISTURBED);
    TAIL_MS.store(30, Ordering::SeqCst);
    DISTURBANCE_MS.store(0, Ordering::SeqCst);
    record.line("nothing disturbs the serving tasks any more");
    std::thread::sleep(CALM);
    let mut broken = false;
    for (service, id) in SERVICES.iter().zip(filling) {
        let answer = site.send(1, "GET", &format!("/{service}/{id}"), KEY, "");
        if answer.is_none_or(|(_, body)| !body.contains("completed")) {
            broken = true;
            record.line(format!(
                "{id} isn't completed, {} s after the disturbance",
                CALM.as_secs()
            ));
        }
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
