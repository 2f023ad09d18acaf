//! Another writer leaves one odd entry among those of the workers, under the id of a worker that is at
//! work: a copy of its own entry with one thing wrong. The worker's next entry is as ever.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::moved::runs_twice;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;

const SERVICE: &str = "medical";
const WORKERS: usize = 8;
const NODES: usize = 3;
const KEY: &str = "key-of-the-agency";
const JOBS: usize = 4;

const JOB: &str = "{\"spec\":\"ms=6000 cpu=1800 mem=2500\",\"steps\":[{\"count\":6,\"cpu\":1800,\"mem_mb\":2500,\
                   \"estimated_ms\":6000}]}";

/// Returns the entry with another value of a field, or without the field.
fn change(entry: &str, field: &str, value: Option<&str>) -> String {
    let name = format!("\"{field}\":");
    let start = entry.find(&name).expect("the field");
    let rest = &entry[start + name.len()..];
    let (mut depth, mut quoted) = (0, false);
    let length = rest.find(|c: char| {
        quoted ^= c == '"';
        depth += i32::from(c == '{' || c == '[') - i32::from(c == '}' || c == ']');
        !quoted && (depth == 0 && c == ',' || depth < 0)
    });
    let end = start + name.len() + length.expect("the end of the value");
    match value {
        Some(value) => format!("{}{name}{value}{}", &entry[..start], &entry[end..]),
        None if entry[end..].starts_with(',') => {
            format!("{}{}", &entry[..start], &entry[end + 1..])
        }
        None => format!("{}{}", &entry[..start - 1], &entry[end..]),
    }
}

/// Returns a copy of an entry with one thing wrong.
fn odd(entry: &str, form: &str) -> Vec<u8> {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let born = entry
        .split("\"born\":")
        .nth(1)
        .and_then(|t| t.split(',').next());
    let text = match form {
        "born-digit" => change(entry, "born", Some(&format!("{}0", born.expect("a start")))),
        "born-none" => change(entry, "born", None),
        "born-type" => change(entry, "born", Some("\"soon\"")),
        "service" => change(entry, "service", Some("\"no-such-service\"")),
        "state" => change(entry, "state", Some("\"resting\"")),
        "port" => change(entry, "address", Some("\"127.0.0.1:99999\"")),
        "capacity" => change(
            entry,
            "capacity",
            Some("{\"cpu\":9223372036854775808,\"mem_mb\":1,\"gpu\":0}"),
        ),
        "capacity-empty" => change(entry, "capacity", Some("{}")),
        "labels-none" => change(entry, "labels", None),
        "sequence" => change(entry, "sequence", Some("1e400")),
        "deep" => change(entry, "machine", Some(&deep)),
        _ => return vec![0xff, 0xfe, b'{', 0, 7],
    };
    text.into_bytes()
}

/// The last one is broken by a start that has a digit too many.
const FORMS: [&str; 12] = [
    "bytes",
    "born-none",
    "born-type",
    "service",
    "state",
    "port",
    "capacity",
    "capacity-empty",
    "labels-none",
    "sequence",
    "deep",
    "born-digit",
];

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let tenants = [Tenant {
        name: "agency".to_owned(),
        key: KEY.to_owned(),
        weight: 50,
    }];
    let routes = [Route {
        name: "med".to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
    }];
    let mut site = Site::new(Arc::clone(record), &[SERVICE], WORKERS);
    site.configure(&[SERVICE], &routes, &tenants);
    for _ in 0..NODES {
        site.start_node(260);
    }
    if !site.wait_ready("med", KEY) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    for (round, form) in FORMS.iter().enumerate() {
        record.line(format!("round {form}"));
        for job in 0..JOBS {
            let path = format!("/med/{:016x}", round * 100 + job + 1);
            site.send(job % NODES, "POST", &path, KEY, JOB);
        }
        std::thread::sleep(Duration::from_millis(1_500));
        let open = record.runs().into_iter().filter(|r| r.ended.is_none());
        let workers: Vec<String> = open.map(|r| r.worker).collect();
        let Some(worker) = workers.first() else {
            return Verdict::NotRun;
        };
        if trouble {
            let entry = site
                .store
                .newest("keyed.servers", worker)
                .expect("an entry");
            let entry = odd(&String::from_utf8_lossy(&entry), form);
            record.line(format!(
                "another writer, as {worker}: {:.400}",
                String::from_utf8_lossy(&entry)
            ));
            site.store.put("keyed.servers", worker, &entry);
        }
        std::thread::sleep(Duration::from_millis(5_800));
        for job in 0..JOBS {
            let path = format!("/med/{:016x}", round * 100 + job + 1);
            site.send(job % NODES, "GET", &path, KEY, "");
        }
        if runs_twice(record) {
            record.line(format!("broken by the form {form}"));
            return Verdict::Broken;
        }
    }
    Verdict::Held
}
