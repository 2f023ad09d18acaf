//! Bytes and nanoseconds of an escrow record, and memory of a holder and team, at four sizes.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::escrow::Change;
use lavenderhollow_core::escrow::Escrow;
use lavenderhollow_core::escrow::Meter;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Position;
use lavenderhollow_core::record::Record;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Version;

type Zone = Escrow<Incarnation>;

fn team(index: usize) -> TeamName {
    TeamName::new(&format!("team-{index}")).expect("valid name")
}

fn record(
    number: u128,
    actor: u128,
    change: Change<Incarnation>,
) -> Item<Change<Incarnation>, Fold<Zone>> {
    Item::Change(Record {
        id: RecordId::from_number(number),
        created: SystemTime::UNIX_EPOCH,
        actor: Incarnation::from_number(actor),
        expected: None,
        change,
    })
}

/// Returns records that mirror, fund and allot, followed by transfers around a ring of holders.
fn records(teams: usize, holders: usize, transfers: usize) -> Vec<Change<Incarnation>> {
    let lease = Duration::from_secs(60);
    let holder = |index: usize| Incarnation::from_number(index as u128 + 1);
    let mut changes = Vec::new();
    for team in (0..teams).map(team) {
        let (limit, version) = (1_000_000, Version::new(1));
        let withheld = 0;
        changes.push(Change::SetLimit {
            team: team.clone(),
            limit,
            version,
            withheld,
        });
        changes.push(Change::Fund {
            team: team.clone(),
            credit: 0,
            amount: limit,
        });
        for index in 0..holders {
            let (team, to, amount) = (team.clone(), holder(index), 1000);
            changes.push(Change::Allot {
                team,
                to,
                amount,
                lease,
            });
        }
    }
    for number in 0..transfers {
        let (team_index, round) = (number % teams, number / teams);
        let (from, at) = (round % holders, (round / holders) as u64);
        changes.push(Change::Transfer {
            team: team(team_index),
            from: holder(from),
            to: holder((from + 1) % holders),
            at,
            amount: 1,
            lease,
        });
    }
    changes
}

fn actor(change: &Change<Incarnation>) -> u128 {
    match change {
        Change::Transfer { from, .. } => from.as_uuid().as_u128(),
        _ => 1,
    }
}

fn measure(teams: usize, holders: usize) {
    let transfers = 20_000;
    let changes = records(teams, holders, transfers);
    let items: Vec<_> = changes
        .into_iter()
        .enumerate()
        .map(|(number, change)| record(number as u128, actor(&change), change))
        .collect();
    let bytes: usize = items[items.len() - transfers..]
        .iter()
        .map(|item| serde_json::to_vec(item).expect("records serialise").len())
        .sum();
    let mut fold = Fold::<Zone>::default();
    let setup = items.len() - transfers;
    let (mut accepted, mut start) = (0, Instant::now());
    for (number, item) in items.iter().enumerate() {
        if number == setup {
            start = Instant::now();
        }
        let time = SystemTime::UNIX_EPOCH + Duration::from_millis(number as u64);
        let position = Position {
            offset: Offset::new(number as u64),
            time,
        };
        accepted += usize::from(fold.apply(position, item).is_accepted());
    }
    let nanos = start.elapsed().as_nanos() / transfers as u128;
    assert_eq!(accepted, items.len(), "every record has to be accepted");
    // Many copies make the part of the allocator's own pages small.
    let copies = (4_000_000 / (teams * holders)).clamp(10, 20_000);
    let before = resident();
    let kept: Vec<Zone> = (0..copies).map(|_| fold.state().clone()).collect();
    let memory = (resident().saturating_sub(before)) / (teams * holders * copies);
    let snapshot = serde_json::to_vec(&kept[0])
        .expect("the state serialises")
        .len();
    println!(
        "{teams:>5} teams x {holders:>3} holders: {} bytes, {nanos} ns a transfer; \
         {memory} bytes of memory, {} bytes of snapshot a holder and team",
        bytes / transfers,
        snapshot / (teams * holders),
    );
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4096
}

fn meter() {
    let meter = Meter::default();
    let account = lavenderhollow_core::escrow::Account {
        credited: 100,
        ..Default::default()
    };
    meter.read(account, &[]);
    let (count, start) = (5_000_000, Instant::now());
    let taken = (0..count).filter(|_| meter.try_take().is_some()).count();
    let nanos = start.elapsed().as_secs_f64() * 1e9 / f64::from(count);
    println!("meter: {nanos:.1} ns to take and give back a slot ({taken} taken)");
}

fn main() {
    println!("no random input");
    for (teams, holders) in [(10, 3), (98, 9), (98, 40), (1000, 40)] {
        measure(teams, holders);
    }
    meter();
}
