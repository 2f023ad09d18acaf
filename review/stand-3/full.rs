//! Short jobs keep a pool full. A gang that lasts is handed in there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::http::Client;
use crate::record::Record;
use crate::site::PATIENCE;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;
use crate::site::headers;

const SERVICE: &str = "medical";
const QUEUE: &str = "checks";
const WORKERS: usize = 8;
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";

/// How many clients send short jobs, and how often each: together as often as the sheet's `med-check` at
/// its peak, five times 6.91 a second.
const CLIENTS: usize = 12;
const EVERY: Duration = Duration::from_millis(347);

/// How long the short jobs come, and after which part of that time the gang does.
const TRAFFIC: Duration = Duration::from_secs(20);
const FILLING: Duration = Duration::from_secs(4);

/// How long a task that lasts may have no run: 6 s, and 3 s more.
const IDLE_MS: u64 = 9_000;

/// A job of the sheet's `med-check`. Its tasks take half as long to half as long again as the mean.
fn short_job(number: usize) -> String {
    let length_ms = 400 + number * 977 % 800;
    format!(
        "{{\"spec\":\"ms={length_ms} cpu=1800 mem=256\",\"steps\":[{{\"count\":6,\"cpu\":1800,\"mem_mb\":256,\
         \"estimated_ms\":800}}]}}"
    )
}

/// A gang that lasts, of the greatest width and demand for processors that the sheet's jobs that last have.
const GANG: &str = "{\"spec\":\"ms=0 cpu=3900 mem=256\",\"steps\":[{\"count\":8,\"cpu\":3900,\"mem_mb\":256,\
                    \"estimated_ms\":500,\"long_running\":true,\"gang\":true}]}";

/// Sends short jobs, and returns how many were accepted.
fn send(to: SocketAddr, client: usize, record: &Record) -> usize {
    std::thread::sleep(EVERY / CLIENTS as u32 * client as u32);
    let mut connection = Client::new(to, PATIENCE);
    let (mut accepted, begin) = (0, record.now());
    for turn in 0..(TRAFFIC.as_millis() / EVERY.as_millis()) as usize {
        let due = Duration::from_millis(begin) + EVERY * turn as u32;
        std::thread::sleep(due.saturating_sub(Duration::from_millis(record.now())));
        let number = client * 1_000 + turn;
        let id = 0x00bb_0000_0000_0000u64 + number as u64;
        let path = format!("/{QUEUE}/{id:016x}");
        let body = short_job(number);
        let answer = connection.call("POST", &path, &headers(KEY), body.as_bytes());
        accepted += usize::from(answer.is_some_and(|(status, _)| status == 200));
    }
    accepted
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 500,
    }];
    let routes = [Route {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
    }];
    let mut site = Site::new(Arc::clone(record), &[SERVICE], WORKERS);
    site.configure(&[SERVICE], &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready(QUEUE, KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let addresses: Vec<SocketAddr> = site.nodes.iter().map(|n| n.clients).collect();
    std::thread::scope(|scope| {
        for client in 0..if trouble { CLIENTS } else { 0 } {
            let to = addresses[client % NODES];
            scope.spawn(move || {
                let accepted = send(to, client, record);
                record.line(format!("client {client}: {accepted} short jobs accepted"));
            });
        }
        std::thread::sleep(FILLING);
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000u64);
        let answer = site.send(0, "POST", &format!("/{QUEUE}/{id}"), KEY, GANG);
        if answer.is_none_or(|(status, _)| status != 200) {
            return Verdict::NotRun;
        }
        std::thread::sleep(Duration::from_millis(IDLE_MS));
        let runs = record.runs();
        let begun = runs.iter().filter(|r| r.task.starts_with(&id)).count();
        record.line(format!("{begun} tasks of the gang have begun"));
        if begun == 0 {
            record.line(format!("LOST: {id} had nothing running for {IDLE_MS} ms"));
            return Verdict::Broken;
        }
        Verdict::Held
    })
}
