//! Tests of the machines that were ordered lately.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::RecentCommands;
use lavenderhollow_node::StoredCommands;
use lavenderhollow_shard::Name;

const QUIET: Duration = Duration::from_secs(3);

const SECOND: Duration = Duration::from_secs(1);

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

/// A stored set, with ages in milliseconds.
fn stored(ages: &[(&str, u64)]) -> StoredCommands {
    let ages = ages
        .iter()
        .map(|(name, age)| (Name::from(*name), Duration::from_millis(*age)));
    StoredCommands {
        ages: ages.collect(),
    }
}

/// Guards against an order that a successor does not know of, and against an append for each
/// repeated order.
#[test]
fn an_order_is_stored_first_unless_it_is_covered() {
    let now = Instant::now();
    let mut commands = RecentCommands::new(QUIET);
    let first = commands.begin(now, &names(&["m1"]));
    assert_eq!(first, Some(stored(&[("m1", 0)])));
    assert_eq!(commands.begin(now + QUIET, &names(&["m1"])), None);
    let later = now + QUIET + SECOND;
    let second = commands.begin(later, &names(&["m2"]));
    assert_eq!(second, Some(stored(&[("m1", 1_000), ("m2", 0)])));
    let again = commands.begin(later, &names(&["m1"]));
    assert_eq!(
        again,
        Some(stored(&[("m1", 0), ("m2", 0)])),
        "a successor would take the machine for one that was ordered a second ago"
    );
    let end = later + QUIET * 2;
    assert_eq!(
        commands.begin(end, &names(&["m3"])),
        Some(stored(&[("m3", 0)]))
    );
}

/// Guards against an order that takes long and then counts from its beginning.
#[test]
fn an_order_counts_from_its_answer() {
    let now = Instant::now();
    let mut commands = RecentCommands::new(QUIET);
    commands.begin(now, &names(&["m1"]));
    commands.mark_sent(now + SECOND * 2, &"m1".into());
    let later = now + SECOND * 4;
    assert_eq!(commands.refresh_ages(later), Some(stored(&[("m1", 2_000)])));
}

/// Guards against two owners that order one machine within a short time: also against a third owner
/// that learns only what the second one stored.
#[test]
fn machines_of_an_earlier_owner_are_left_alone_for_a_while() {
    let now = Instant::now();
    let mut second = RecentCommands::new(QUIET);
    second.restore(now, &stored(&[("m1", 0), ("m2", 1_000)]));
    assert_eq!(second.blocked(now), names(&["m1", "m2"]));
    let then = now + SECOND;
    let ages = second.begin(then, &names(&["m3"])).unwrap();
    assert_eq!(ages, stored(&[("m1", 1_000), ("m2", 2_000), ("m3", 0)]));
    assert_eq!(second.blocked(now + SECOND * 2), names(&["m1"]));
    assert_eq!(second.blocked(now + QUIET), Vec::<Name>::new());
    let mut third = RecentCommands::new(QUIET);
    third.restore(then, &ages);
    assert_eq!(third.blocked(then), names(&["m1", "m2", "m3"]));
    assert_eq!(third.blocked(then + SECOND), names(&["m1", "m3"]));
    assert_eq!(third.blocked(then + QUIET), Vec::<Name>::new());
}

/// Guards against a successor that waits for machines whose last order is long ago, because the
/// earlier owner stored nothing since.
#[test]
fn the_ages_are_refreshed_until_none_is_left() {
    let now = Instant::now();
    let mut commands = RecentCommands::new(QUIET);
    assert_eq!(commands.refresh_ages(now), None);
    commands.begin(now, &names(&["m1"]));
    let refreshed = commands.refresh_ages(now + SECOND);
    assert_eq!(refreshed, Some(stored(&[("m1", 1_000)])));
    assert_eq!(commands.refresh_ages(now + QUIET), Some(stored(&[])));
    assert_eq!(commands.refresh_ages(now + QUIET + SECOND), None);
}

/// Guards against orders for machines of which it is not known whether an earlier owner ordered them.
#[test]
fn nothing_is_ordered_for_a_while_after_an_unreadable_set() {
    let now = Instant::now();
    let mut commands = RecentCommands::new(QUIET);
    assert!(!commands.all_blocked(now));
    commands.block_all(now);
    assert!(commands.all_blocked(now) && !commands.all_blocked(now + QUIET));
}
