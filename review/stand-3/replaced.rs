//! A version of the configuration takes a route away and adds one with the same host and path, which
//! another service serves. Clients' requests for jobs arrive before it, and once more after it.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::moved::runs_twice;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;

const SERVICES: [&str; 2] = ["medical", "endorse"];
const ROUTES: [&str; 2] = ["r-35ieisp", "r-3is47qd"];
const PATH: &str = "checks";
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";

/// The time from the acknowledgement of the last job to the version.
const PAUSE: Duration = Duration::from_millis(500);

/// `config_apply_ms` of the settings, after which the version is in force everywhere.
const APPLY: Duration = Duration::from_millis(2_000);

/// How long the jobs are at work at most from then on: both runs, one after the other.
const WORK: Duration = Duration::from_secs(11);

const JOB: &str = "{\"spec\":\"ms=5000 cpu=1000 mem=256\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\
                   \"estimated_ms\":5000}]}";

fn routes(route: usize, service: usize) -> [Route; 1] {
    [Route {
        name: ROUTES[route].to_owned(),
        service: SERVICES[service].to_owned(),
        priority: 0,
    }]
}

/// Plays a route that is replaced. With `trouble` left out, the version sends the same route to the other
/// service.
pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 50,
    }];
    let mut site = Site::new(Arc::clone(record), &SERVICES, 4);
    site.paths = ROUTES.map(|r| (r.to_owned(), PATH.to_owned())).into();
    site.configure(&SERVICES, &routes(0, 0), &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(PATH, KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let path = |n: usize| format!("/{PATH}/{:016x}", 0x5c0e_7a21_d94b_0000u64 + n as u64);
    for number in 0..NODES {
        let answer = site.send(number, "POST", &path(number), KEY, JOB);
        if answer.is_none_or(|(status, _)| status != 200) {
            return Verdict::NotRun;
        }
    }
    std::thread::sleep(PAUSE);
    site.configure(&SERVICES, &routes(usize::from(trouble), 1), &tenants);
    std::thread::sleep(APPLY);
    for number in 0..NODES {
        site.send((number + 1) % NODES, "POST", &path(number), KEY, JOB);
    }
    std::thread::sleep(WORK);
    for number in 0..NODES {
        site.send(number, "GET", &path(number), KEY, "");
    }
    match runs_twice(record) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
