//! The platform's store: partitions of records, the newest record of each key, and groups.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Request;
use crate::http::Response;
use crate::json::Json;
use crate::json::quote;

/// How long an append takes, as `append_ms` of the settings.
const APPEND_TIME: Duration = Duration::from_millis(2);

const PARTS: u64 = 32;

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

struct Member {
    until: Instant,
    /// The generation that it named in its last join.
    seen: u64,
}

#[derive(Default)]
struct Group {
    generation: u64,
    topics: Vec<String>,
    members: BTreeMap<String, Member>,
    parts: BTreeMap<(String, u64), String>,
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<(String, u64), Partition>,
    groups: BTreeMap<String, Group>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    appending: Mutex<BTreeMap<(String, u64), Arc<Mutex<()>>>>,
}

impl Store {
    /// Writes one record, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        let mut body = (record.len() as u32).to_be_bytes().to_vec();
        body.extend(record);
        self.append(topic, 0, None, &body);
    }

    /// Returns the newest value of a key in partition 0.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().unwrap();
        let partition = state.partitions.get(&(topic.to_owned(), 0))?;
        partition.newest.get(key.as_bytes()).map(|(_, v)| v.clone())
    }

    fn append(&self, topic: &str, part: u64, at: Option<u64>, body: &[u8]) -> Response {
        let mut records = Vec::new();
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let Some(record) = rest.get(4..4 + length) else {
                return Response::new(400, "");
            };
            if length > 262_144 {
                return Response::new(413, "");
            }
            records.push(record.to_vec());
            rest = &rest[4 + length..];
        }
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic.to_owned(), part));
        let partition = partition.or_default();
        let offset = partition.records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return Response::new(412, format!("{{\"end_offset\":{offset}}}"));
        }
        for record in records {
            let next = partition.records.len() as u64;
            if topic.starts_with("keyed.") && !record.is_empty() {
                let split = 1 + usize::from(record[0]);
                let (key, value) = (record[1..split].to_vec(), record[split..].to_vec());
                match value.is_empty() {
                    true => partition.newest.remove(&key),
                    false => partition.newest.insert(key, (next, value)),
                };
            }
            partition.records.push(record);
        }
        let end = partition.records.len();
        self.changed.notify_all();
        Response::new(200, format!("{{\"offset\":{offset},\"end_offset\":{end}}}"))
    }

    fn read(&self, request: &Request, connection: &Connection) -> Response {
        let key = (request.text("topic"), request.number("part").unwrap_or(0));
        let from = request.number("from").unwrap_or(0);
        let most = request.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let partition = state.partitions.entry(key.clone()).or_default();
            let end = partition.records.len() as u64;
            let now = Instant::now();
            if end > from || now >= until || connection.silent.load(Ordering::SeqCst) {
                let mut body = end.to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                let mut bytes = 0;
                for record in partition.records.iter().skip(from as usize) {
                    bytes += record.len() + 4;
                    if bytes > most && bytes > record.len() + 4 {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Response::new(200, body);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn read_newest(&self, request: &Request) -> Response {
        let key = (request.text("topic"), request.number("part").unwrap_or(0));
        let after = request.query.get("after").cloned();
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(key).or_default();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &partition.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            bytes += value.len();
            if items.len() == 500 || bytes > 1 << 20 && !items.is_empty() {
                more = true;
                break;
            }
            items.push(format!(
                "{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                quote(&String::from_utf8_lossy(key)),
                base64(value)
            ));
        }
        let end = partition.records.len();
        let items = items.join(",");
        Response::new(
            200,
            format!("{{\"items\":[{items}],\"has_more\":{more},\"end_offset\":{end}}}"),
        )
    }

    fn join(&self, body: &Json) -> Response {
        let mut state = self.state.lock().unwrap();
        let group = state
            .groups
            .entry(body.get("group").text().to_owned())
            .or_default();
        let topics = body.get("topics").list().iter();
        group.topics = topics.map(|t| t.text().to_owned()).collect();
        let ttl = Duration::from_millis(body.get("ttl_ms").number().unwrap_or(1_000));
        let member = Member {
            until: Instant::now() + ttl,
            seen: body.get("generation").number().unwrap_or(0),
        };
        let name = body.get("member_id").text().to_owned();
        if group.members.insert(name.clone(), member).is_none() {
            group.generation += 1;
        }
        group.update();
        let rows = group.parts.iter().filter(|(_, holder)| **holder == name);
        let rows = rows.map(|((topic, part), _)| format!("[{},{part},0]", quote(topic)));
        let rows: Vec<String> = rows.collect();
        let generation = group.generation;
        let rows = rows.join(",");
        Response::new(
            200,
            format!("{{\"generation\":{generation},\"parts\":[{rows}]}}"),
        )
    }

    fn leave(&self, body: &Json) -> Response {
        let mut state = self.state.lock().unwrap();
        if let Some(group) = state.groups.get_mut(body.get("group").text())
            && group.members.remove(body.get("member_id").text()).is_some()
        {
            group.generation += 1;
            group.update();
        }
        Response::new(200, "{}")
    }

    fn owners(&self, group: &str) -> Response {
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(group.to_owned()).or_default();
        group.update();
        let rows = group.parts.iter().map(|((topic, part), member)| {
            format!("[{},{part},{},0]", quote(topic), quote(member))
        });
        let rows: Vec<String> = rows.collect();
        Response::new(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
    }

    pub fn handle(&self, request: &Request, connection: &Connection) -> Option<Response> {
        let body = || Json::parse(&request.body).unwrap_or(Json::Null);
        Some(match request.path.as_str() {
            "/api/log-append" => {
                let (topic, part) = (request.text("topic"), request.number("part").unwrap_or(0));
                let turn = {
                    let mut appending = self.appending.lock().unwrap();
                    let turn = appending.entry((topic.clone(), part)).or_default();
                    Arc::clone(turn)
                };
                let _turn = turn.lock().unwrap();
                std::thread::sleep(APPEND_TIME);
                self.append(&topic, part, request.number("at"), &request.body)
            }
            "/api/log-read" => self.read(request, connection),
            "/api/log-newest" => self.read_newest(request),
            "/api/log-join" => self.join(&body()),
            "/api/log-leave" => self.leave(&body()),
            "/api/log-owners" => self.owners(&request.text("group")),
            _ => Response::new(404, ""),
        })
    }
}

impl Group {
    /// Removes members whose time has passed, and deals the partitions evenly. A partition moves from a
    /// live member once that member has named the generation of the change.
    fn update(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, member| member.until > now);
        if self.members.len() < before {
            self.generation += 1;
        }
        let names: Vec<String> = self.members.keys().cloned().collect();
        if names.is_empty() {
            self.parts.clear();
            return;
        }
        let mut moved = false;
        for (number, topic) in self.topics.iter().enumerate() {
            for part in 0..PARTS {
                let turn = number * PARTS as usize + part as usize;
                let next = &names[turn % names.len()];
                let holder = self.parts.get(&(topic.clone(), part));
                if holder == Some(next) {
                    continue;
                }
                let keeps = holder.and_then(|h| self.members.get(h));
                if keeps.is_some_and(|m| m.seen < self.generation) {
                    continue;
                }
                moved |= holder.is_some();
                self.parts.insert((topic.clone(), part), next.clone());
            }
        }
        if moved {
            self.generation += 1;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for i in 0..3 {
            word = word << 8 | u32::from(chunk.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
