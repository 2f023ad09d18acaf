//! Measures the fold of the `config` stream: bytes and time per record, and memory by size.
//!
//! Run with `cargo run --release -p lavenderhollow-core --example measure_config`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_config::Config;
use lavenderhollow_config::Key;
use lavenderhollow_core::configuration::ConfigChange;
use lavenderhollow_core::configuration::ConfigState;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::keyring::KeyRing;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Position;
use lavenderhollow_core::record::Record;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use serde_json::Value;
use serde_json::json;

/// Teams, pools and zones; the last is the size of two years from now.
const SIZES: [[usize; 3]; 4] = [[12, 28, 3], [25, 57, 6], [49, 114, 11], [98, 228, 22]];
const ROUNDS: u64 = 500;
const KEYS_PER_TEAM: usize = 2;
/// The size of a page of memory on the platform, in bytes.
const PAGE_BYTES: usize = 4096;

fn section(count: usize, kind: &str, value: impl Fn(usize) -> Value) -> BTreeMap<String, Value> {
    let entry = |number| (format!("{kind}-name-{number:04}"), value(number));
    (0..count).map(entry).collect()
}

fn document([teams, pools, zones]: [usize; 3]) -> Value {
    let team = |number: usize| {
        let hash = |key| Key::from_text(&format!("{number}/{key}")).hash();
        let keys: BTreeMap<_, _> = (0..KEYS_PER_TEAM)
            .map(|key| (format!("key-{key}"), hash(key)))
            .collect();
        json!({"share": 3, "limit": 80, "home": "zone-name-0000", "keys": keys})
    };
    let queue = |number: usize| json!({"pool": format!("pool-name-{number:04}"), "deadline_ms": 5000, "run_time_ms": 800});
    json!({
        "deployment": "measure",
        "zones": section(zones, "zone", |_| json!({"region": "region-name"})),
        "pools": section(pools, "pool", |_| json!({"max_unavailable": 3})),
        "queues": section(pools.min(5), "queue", queue),
        "teams": section(teams, "team", team),
    })
}

fn changes(document: &Value) -> [(&'static str, ConfigChange); 4] {
    let team = TeamName::new("team-name-0000").expect("valid name");
    let key = "key-x".to_owned();
    let hash = Key::from_text("x").hash();
    let patch = json!({"teams": {"team-name-0000": {"share": 7}}});
    let config = Arc::new(parse(document));
    [
        ("publish", ConfigChange::Publish(config)),
        ("patch", ConfigChange::Patch(patch)),
        (
            "add key",
            ConfigChange::AddKey {
                team: team.clone(),
                key: key.clone(),
                hash,
            },
        ),
        ("withdraw key", ConfigChange::WithdrawKey { team, key }),
    ]
}

fn parse(document: &Value) -> Config {
    serde_json::from_value(document.clone()).expect("valid document")
}

fn item(number: u64, change: ConfigChange) -> Item<ConfigChange, Fold<ConfigState>> {
    Item::Change(Record {
        id: RecordId::from_number(number.into()),
        created: SystemTime::UNIX_EPOCH,
        actor: Incarnation::from_number(1),
        expected: None,
        change,
    })
}

fn apply(fold: &mut Fold<ConfigState>, text: &str) {
    let item = serde_json::from_str(text).expect("valid item");
    let position = Position {
        offset: fold.next(),
        time: SystemTime::UNIX_EPOCH,
    };
    let outcome = fold.apply(position, &item);
    assert!(outcome.is_accepted(), "{outcome:?}");
}

fn measure_records(document: &Value) {
    let mut fold = Fold::<ConfigState>::default();
    let mut spent = [Duration::ZERO; 4];
    let mut bytes = [0; 4];
    for round in 0..ROUNDS {
        for (index, (_, change)) in changes(document).into_iter().enumerate() {
            let item = item(round * 4 + index as u64, change);
            let text = serde_json::to_string(&item).expect("serialisable");
            bytes[index] = text.len();
            let start = Instant::now();
            apply(&mut fold, &text);
            spent[index] += start.elapsed();
        }
    }
    for (index, (name, _)) in changes(document).into_iter().enumerate() {
        let nanos = spent[index].as_nanos() / u128::from(ROUNDS);
        println!("  {name:13} {:8} bytes {nanos:10} ns/record", bytes[index]);
    }
    let snapshot = serde_json::to_string(&fold).expect("serialisable");
    println!("  {:13} {:8} bytes", "snapshot", snapshot.len());
}

fn measure_admission(document: &Value) {
    let keys = KeyRing::new(&parse(document));
    let key = Key::from_text("0/1");
    let start = Instant::now();
    for _ in 0..10_000 {
        black_box(keys.admit(Some(&key), "queue-name-0000")).expect("admitted");
    }
    let nanos = start.elapsed().as_nanos() / 10_000;
    println!("  {:13} {:8} ns/request", "admit", nanos);
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("procfs is mounted");
    let pages = text.split(' ').nth(1).expect("resident pages");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

/// Measures the resident memory of one value, averaged over many. They are never freed, because the
/// next measurement would reuse their memory and see nothing.
fn resident<T>(make: impl Fn() -> T) -> usize {
    const COPIES: usize = 1000;
    let mut kept = Vec::with_capacity(COPIES);
    kept.push(make());
    let before = resident_bytes();
    for _ in 1..COPIES {
        kept.push(make());
    }
    let after = resident_bytes();
    std::mem::forget(black_box(kept));
    after.saturating_sub(before) / (COPIES - 1)
}

fn measure_memory([teams, pools, zones]: [usize; 3], document: &Value) {
    let text = document.to_string();
    let whole = resident(|| serde_json::from_str::<Config>(&text).expect("valid"));
    println!("  {:13} {whole:8} bytes resident", "document");
    let one = |section: &str, count: usize| {
        let text = document[section].to_string();
        let bytes = match section {
            "teams" => resident(|| read::<lavenderhollow_config::Team>(&text)),
            "pools" => resident(|| read::<lavenderhollow_config::Pool>(&text)),
            _ => resident(|| read::<lavenderhollow_config::Zone>(&text)),
        };
        println!("  {section:13} {:8} bytes resident each", bytes / count);
    };
    one("teams", teams);
    one("pools", pools);
    one("zones", zones);
}

fn read<T: serde::de::DeserializeOwned>(text: &str) -> BTreeMap<TeamName, T> {
    serde_json::from_str(text).expect("valid section")
}

fn main() {
    for size in SIZES {
        let [teams, pools, zones] = size;
        println!("{teams} teams, {pools} pools, {zones} zones");
        let document = document(size);
        measure_records(&document);
        measure_admission(&document);
        measure_memory(size, &document);
    }
}
