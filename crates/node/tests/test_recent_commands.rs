//! Tests of the set of machines that recently got a command.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::RecentCommands;
use lavenderhollow_node::StoredCommands;
use lavenderhollow_shard::Name;

const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

const SECOND: Duration = Duration::from_secs(1);

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

/// Returns a stored set with ages in milliseconds.
fn stored(ages: &[(&str, u64)]) -> StoredCommands {
    let ages = ages
        .iter()
        .map(|(name, age)| (Name::from(*name), Duration::from_millis(*age)));
    StoredCommands {
        ages: ages.collect(),
    }
}

/// Guards against a command that a successor does not know of, and against an append for each
/// repeated command.
#[test]
fn a_command_is_stored_first_unless_its_stored_age_is_zero() {
    let now = Instant::now();
    let mut commands = RecentCommands::new(TAKEOVER_DELAY);
    let first = commands.begin(now, &names(&["m1"]));
    assert_eq!(first, Some(stored(&[("m1", 0)])));
    assert_eq!(commands.begin(now + TAKEOVER_DELAY, &names(&["m1"])), None);
    let later = now + TAKEOVER_DELAY + SECOND;
    let second = commands.begin(later, &names(&["m2"]));
    assert_eq!(second, Some(stored(&[("m1", 1_000), ("m2", 0)])));
    let again = commands.begin(later, &names(&["m1"]));
    assert_eq!(
        again,
        Some(stored(&[("m1", 0), ("m2", 0)])),
        "a successor would assume that the last command was a second ago"
    );
    let end = later + TAKEOVER_DELAY * 2;
    assert_eq!(
        commands.begin(end, &names(&["m3"])),
        Some(stored(&[("m3", 0)]))
    );
}

/// Guards against a command that looks older than it is because its age counts from the start of a
/// slow call.
#[test]
fn the_age_of_a_command_counts_from_its_response() {
    let now = Instant::now();
    let mut commands = RecentCommands::new(TAKEOVER_DELAY);
    commands.begin(now, &names(&["m1"]));
    commands.mark_finished(now + SECOND * 2, &"m1".into());
    let later = now + SECOND * 4;
    assert_eq!(commands.refresh_ages(later), Some(stored(&[("m1", 2_000)])));
}

/// Guards against two owners that send commands to one machine within a short time. The third owner
/// knows only what the second one stored.
#[test]
fn machines_commanded_by_an_earlier_owner_are_blocked() {
    let now = Instant::now();
    let mut second = RecentCommands::new(TAKEOVER_DELAY);
    second.restore(now, &stored(&[("m1", 0), ("m2", 1_000)]));
    assert_eq!(second.blocked(now), names(&["m1", "m2"]));
    let then = now + SECOND;
    let ages = second.begin(then, &names(&["m3"])).unwrap();
    assert_eq!(ages, stored(&[("m1", 1_000), ("m2", 2_000), ("m3", 0)]));
    assert_eq!(second.blocked(now + SECOND * 2), names(&["m1"]));
    assert_eq!(second.blocked(now + TAKEOVER_DELAY), Vec::<Name>::new());
    let mut third = RecentCommands::new(TAKEOVER_DELAY);
    third.restore(then, &ages);
    assert_eq!(third.blocked(then), names(&["m1", "m2", "m3"]));
    assert_eq!(third.blocked(then + SECOND), names(&["m1", "m3"]));
    assert_eq!(third.blocked(then + TAKEOVER_DELAY), Vec::<Name>::new());
}

/// Guards against a successor that blocks machines whose last command is long ago, because the
/// earlier owner stored nothing since.
#[test]
fn ages_are_refreshed_until_the_set_is_empty() {
    let now = Instant::now();
    let mut commands = RecentCommands::new(TAKEOVER_DELAY);
    assert_eq!(commands.refresh_ages(now), None);
    commands.begin(now, &names(&["m1"]));
    let refreshed = commands.refresh_ages(now + SECOND);
    assert_eq!(refreshed, Some(stored(&[("m1", 1_000)])));
    assert_eq!(
        commands.refresh_ages(now + TAKEOVER_DELAY),
        Some(stored(&[]))
    );
    assert_eq!(commands.refresh_ages(now + TAKEOVER_DELAY + SECOND), None);
}

/// Guards against commands to machines that an earlier owner may have sent commands to, after the
/// stored set could not be decoded.
#[test]
fn all_machines_are_blocked_after_a_decode_failure() {
    let now = Instant::now();
    let mut commands = RecentCommands::new(TAKEOVER_DELAY);
    assert!(!commands.all_blocked(now));
    commands.block_all(now);
    assert!(commands.all_blocked(now) && !commands.all_blocked(now + TAKEOVER_DELAY));
}
