//! Bytes and nanoseconds per record, and memory per VM, of the fold at four sizes.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::maintenance::Change;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::PoolRule;
use lavenderhollow_core::maintenance::Reason;
use lavenderhollow_core::maintenance::Rules;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Position;
use lavenderhollow_core::record::Record;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Version;

/// `Out` and `Back` records that are timed at each size.
const TIMED: u64 = 20_000;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * 4096
}

fn pool(index: u64) -> PoolName {
    format!("pool-{index:03}").parse().expect("valid name")
}

fn add(index: u64, pools: u64) -> Change {
    Change::AddVm {
        vm: format!("vm-{index:05}").parse().expect("valid name"),
        zone: format!("zone-{:02}", index % 22)
            .parse()
            .expect("valid name"),
        rack: format!("rack-{:04}", index / 4)
            .parse()
            .expect("valid name"),
        pool: pool(index % pools),
    }
}

#[derive(Default)]
struct Run {
    fold: Fold<Maintenance>,
    offset: u64,
    bytes: u64,
    spent: Duration,
}

impl Run {
    fn apply(&mut self, change: Change) {
        let time = SystemTime::UNIX_EPOCH + Duration::from_secs(self.offset);
        let item: Item<Change, Fold<Maintenance>> = Item::Change(Record {
            id: RecordId::random(),
            created: time,
            actor: Incarnation::from_number(1),
            expected: None,
            change,
        });
        let text = serde_json::to_string(&item).expect("records are JSON");
        self.bytes += text.len() as u64;
        let offset = Offset::new(self.offset);
        let started = Instant::now();
        let item = serde_json::from_str(&text).expect("records are JSON");
        let outcome = self.fold.apply(Position { offset, time }, &item);
        self.spent += started.elapsed();
        assert!(outcome.is_accepted(), "{outcome:?}");
        self.offset += 1;
    }
}

fn main() {
    println!(
        "vms pools | bytes/record ns/record (decode and fold) | memory bytes/vm | snapshot bytes/vm"
    );
    for (vms, pools) in [(1_875, 29), (3_750, 57), (7_500, 114), (15_000, 228)] {
        let before = resident_bytes();
        let mut run = Run::default();
        let rule = PoolRule {
            max_unavailable: 8,
            racks_at_once: 1,
        };
        run.apply(Change::SetRules(Rules {
            version: Version::new(1),
            pools: (0..pools).map(|index| (pool(index), rule)).collect(),
            drains: true,
            moves: true,
        }));
        (0..vms).for_each(|index| run.apply(add(index, pools)));
        let memory = resident_bytes().saturating_sub(before);
        (run.bytes, run.spent) = (0, Duration::ZERO);
        for index in 0..TIMED / 2 {
            let vm = format!("vm-{:05}", index * 7 % vms);
            let vm: lavenderhollow_types::VmName = vm.parse().expect("valid name");
            let reason = Reason::Failed;
            run.apply(Change::Out {
                vm: vm.clone(),
                reason,
            });
            run.apply(Change::Back { vm });
        }
        let snapshot = serde_json::to_string(&run.fold).expect("the fold is JSON");
        println!(
            "{vms} {pools} | {} {} | {} | {}",
            run.bytes / TIMED,
            run.spent.as_nanos() / u128::from(TIMED),
            memory / vms,
            snapshot.len() as u64 / vms
        );
        // The fold is kept, so that freed memory does not hide the growth of the next size.
        std::mem::forget(run);
    }
}
