//! Two tenants number their own jobs from one on, each in a queue of its own. Some connections of
//! the second tenant break before its job has been handed in whole, and it cancels that job to be sure.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::site::headers;

const SERVICES: [&str; 2] = ["medical", "endorse"];
const KEYS: [&str; 2] = ["key-of-the-agency", "key-of-the-owner"];
const NODES: usize = 3;
const JOBS: usize = 6;

/// Of the second tenant's connections each third breaks.
const BREAKS: usize = 3;

const JOB: &str = "{\"spec\":\"ms=4000 cpu=1000 mem=256\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\
                   \"estimated_ms\":4000}]}";

fn path(service: usize, number: usize) -> String {
    format!("/{}/{:016x}", SERVICES[service], number + 1)
}

/// Sends a request without its last bytes, and breaks the connection.
fn send_in_part(site: &Site, node: usize, path: &str) {
    let head = format!("POST {path} HTTP/1.1\r\n{}", headers(KEYS[1]));
    let whole = format!("{head}content-length: {}\r\n\r\n{JOB}", JOB.len());
    let part = &whole.as_bytes()[..whole.len() - 20];
    let stream = TcpStream::connect(site.nodes[node].clients);
    let sent = stream.and_then(|mut s| s.write_all(part));
    site.record.line(format!(
        "client to {}: POST {path}, the connection breaks before its last 20 bytes: {sent:?}",
        site.nodes[node].name
    ));
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [0, 1].map(|i| Tenant {
        name: ["agency", "owner"][i].to_owned(),
        key: KEYS[i].to_owned(),
        weight: 50,
    });
    let routes = SERVICES.map(|name| Route {
        name: name.to_owned(),
        service: name.to_owned(),
        priority: 0,
    });
    let mut site = Site::new(Arc::clone(record), &SERVICES, 3);
    site.configure(&SERVICES, &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(SERVICES[0], KEYS[0]) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let is_accepted = |answer: Option<(u16, String)>| answer.is_some_and(|(s, _)| s == 200);
    for number in 0..JOBS {
        if !is_accepted(site.send(number % NODES, "POST", &path(0, number), KEYS[0], JOB)) {
            return Verdict::NotRun;
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    for number in 0..JOBS {
        let (node, breaks) = (number % NODES, number % BREAKS == 0);
        match trouble && breaks {
            true => send_in_part(&site, node, &path(1, number)),
            false => drop(site.send(node, "POST", &path(1, number), KEYS[1], JOB)),
        }
        std::thread::sleep(Duration::from_millis(200));
        if breaks {
            let node = (node + 1) % NODES;
            site.send(node, "GET", &path(1, number), KEYS[1], "");
            site.send(node, "DELETE", &path(1, number), KEYS[1], "");
        }
    }
    std::thread::sleep(Duration::from_secs(6));
    let mut broken = false;
    for number in 0..JOBS {
        let path = path(0, number);
        let answer = site.send(number % NODES, "GET", &path, KEYS[0], "");
        if answer.is_some_and(|(_, body)| body.contains("\"cancelled\"")) {
            record.line(format!(
                "LOST: {path} is shown as cancelled, and nobody has cancelled it"
            ));
            broken = true;
        }
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
