//! The platform's store: partitions, the newest record of each key, and groups.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::Json;

/// The limits of the settings file that this store keeps to.
pub const MAX_RECORD_BYTES: usize = 262_144;
pub const MAX_REQUEST_BYTES: usize = 2_097_152;

const PARTS: u64 = 32;

/// How long an append takes.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Partition {
    records: Vec<Arc<Vec<u8>>>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    topics: Vec<String>,
    /// The time at which each member lapses, and the generation that it has seen.
    members: BTreeMap<String, (Instant, u64)>,
    holders: BTreeMap<(String, u64), String>,
}

#[derive(Default)]
struct State {
    parts: BTreeMap<(String, u64), Partition>,
    groups: BTreeMap<String, Group>,
    /// Appends that were refused because a record is too large.
    too_large: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Group {
    /// Drops lapsed members and deals the partitions. One moves only once its holder is gone or has
    /// seen the generation of the change.
    fn deal(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, (until, _)| *until > now);
        if self.members.len() < before {
            self.generation += 1;
        }
        let names: Vec<String> = self.members.keys().cloned().collect();
        if names.is_empty() {
            self.holders.clear();
            return;
        }
        let (mut index, mut moved) = (0, false);
        for topic in self.topics.clone() {
            for part in 0..PARTS {
                let target = &names[index % names.len()];
                index += 1;
                let key = (topic.clone(), part);
                let keeps = self.holders.get(&key).is_some_and(|holder| {
                    holder != target
                        && self.members.get(holder).is_some_and(|(_, g)| *g < self.generation)
                });
                if !keeps && self.holders.get(&key) != Some(target) {
                    moved |= self.holders.insert(key, target.clone()).is_some();
                }
            }
        }
        self.generation += u64::from(moved);
    }
}

fn split(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let (mut records, mut rest) = (Vec::new(), body);
    while !rest.is_empty() {
        let (length, after) = rest.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, after) = after.split_at_checked(length)?;
        records.push(record.to_vec());
        rest = after;
    }
    Some(records)
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn ok(body: String) -> Answer {
    Some((200, body.into_bytes()))
}

impl Store {
    /// Writes the record of a key, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        append(&mut state, topic, 0, vec![record]);
        self.changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let part = state.parts.get(&(topic.to_owned(), 0))?;
        let (_, value) = part.newest.get(key.as_bytes())?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Returns the names of the processes that claimed each partition last, by topic and partition.
    pub fn claims(&self) -> BTreeMap<(String, u64), String> {
        let state = self.state.lock().unwrap();
        let parts = state.parts.iter();
        parts
            .filter_map(|(key, part)| {
                let (_, value) = part.newest.get(b"owner".as_slice())?;
                Some((key.clone(), String::from_utf8_lossy(value).into_owned()))
            })
            .collect()
    }

    /// Returns how many appends were refused because of a record's size.
    pub fn too_large(&self) -> u64 {
        self.state.lock().unwrap().too_large
    }

    pub fn handle(&self, request: Request) -> Answer {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| query(name).parse::<u64>().ok();
        let (topic, part) = (query("topic"), number("part").unwrap_or(0));
        let body = || Json::parse(std::str::from_utf8(&request.body).unwrap_or(""));
        match request.path.as_str() {
            "/api/log-append" => {
                thread::sleep(ANSWER);
                let Some(records) = split(&request.body) else {
                    return Some((400, Vec::new()));
                };
                let mut state = self.state.lock().unwrap();
                let large = records.iter().any(|r| r.len() > MAX_RECORD_BYTES);
                if large || request.body.len() > MAX_REQUEST_BYTES {
                    state.too_large += 1;
                    return Some((400, b"{\"error\":\"a record is too large\"}".to_vec()));
                }
                let key = (topic.clone(), part);
                let end = state.parts.get(&key).map_or(0, |p| p.records.len() as u64);
                if number("at").is_some_and(|at| at != end) {
                    return Some((412, format!("{{\"end_offset\":{end}}}").into_bytes()));
                }
                let count = records.len() as u64;
                append(&mut state, &topic, part, records);
                self.changed.notify_all();
                ok(format!("{{\"offset\":{end},\"end_offset\":{}}}", end + count))
            }
            "/api/log-read" => self.read(&topic, part, number("from").unwrap_or(0), number("wait_ms")),
            "/api/log-newest" => {
                let state = self.state.lock().unwrap();
                let after = request.query.get("after").map(|a| a.as_bytes().to_vec());
                let (mut items, mut more, mut bytes) = (Vec::new(), false, 0);
                let found = state.parts.get(&(topic, part));
                let rows = found.into_iter().flat_map(|p| p.newest.iter());
                for (key, (offset, value)) in rows {
                    if after.as_ref().is_some_and(|after| key <= after) {
                        continue;
                    }
                    if items.len() >= 500 || bytes >= 1_000_000 {
                        more = true;
                        break;
                    }
                    bytes += value.len();
                    items.push(format!(
                        "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                        String::from_utf8_lossy(key),
                        base64(value)
                    ));
                }
                let end = found.map_or(0, |p| p.records.len());
                ok(format!(
                    "{{\"items\":[{}],\"has_more\":{more},\"end_offset\":{end}}}",
                    items.join(",")
                ))
            }
            "/api/log-join" => {
                let body = body();
                let ttl = Duration::from_millis(body.get("ttl_ms").num().unwrap_or(1_000));
                let mut state = self.state.lock().unwrap();
                let group = state.groups.entry(body.get("group").str().to_owned()).or_default();
                let topics = body.get("topics").list().iter();
                group.topics = topics.map(|t| t.str().to_owned()).collect();
                let seen = body.get("generation").num().unwrap_or(0);
                let member = body.get("member_id").str().to_owned();
                let until = Instant::now() + ttl;
                if group.members.insert(member, (until, seen)).is_none() {
                    group.generation += 1;
                }
                group.deal();
                ok(format!("{{\"generation\":{},\"parts\":[]}}", group.generation))
            }
            "/api/log-leave" => {
                let body = body();
                let mut state = self.state.lock().unwrap();
                let group = state.groups.entry(body.get("group").str().to_owned()).or_default();
                if group.members.remove(body.get("member_id").str()).is_some() {
                    group.generation += 1;
                }
                group.deal();
                ok("{}".to_owned())
            }
            "/api/log-owners" => {
                let mut state = self.state.lock().unwrap();
                let group = state.groups.entry(query("group")).or_default();
                group.deal();
                let rows = group.holders.iter();
                let rows = rows.map(|((t, p), m)| format!("[\"{t}\",{p},\"{m}\",0]"));
                ok(format!("{{\"parts\":[{}]}}", rows.collect::<Vec<_>>().join(",")))
            }
            _ => Some((404, Vec::new())),
        }
    }

    fn read(&self, topic: &str, part: u64, from: u64, wait_ms: Option<u64>) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let key = (topic.to_owned(), part);
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.parts.get(&key).map_or(0, |p| p.records.len() as u64);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                let records = state.parts.get(&key).into_iter().flat_map(|p| &p.records);
                for record in records.skip(from as usize) {
                    if body.len() > 1_000_000 {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Some((200, body));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn append(state: &mut State, topic: &str, part: u64, records: Vec<Vec<u8>>) {
    let partition = state.parts.entry((topic.to_owned(), part)).or_default();
    for record in records {
        let offset = partition.records.len() as u64;
        if topic.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]);
            let (key, value) = record[1..].split_at(length.min(record.len() - 1));
            match value.is_empty() {
                true => partition.newest.remove(key),
                false => partition.newest.insert(key.to_vec(), (offset, value.to_vec())),
            };
        }
        partition.records.push(Arc::new(record));
    }
}
