//! Tests of leases.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Lease;

/// Guards against taking a slow worker's runs for over while they still run.
#[test]
fn a_lease_lapses_only_when_a_slow_clock_has_reached_the_deadline() {
    let now = Instant::now();
    let mut lease = Lease::default();
    assert_eq!(lease.grant(now, Duration::from_secs(4)), None);
    lease.observe_clock(now, 10_000);
    assert_eq!(lease.grant(now, Duration::from_secs(4)), Some(14_000));
    let lapses = lease.expires_at().unwrap();
    assert!(lapses >= now + Duration::from_millis(4_081));
    assert!(lapses <= now + Duration::from_millis(4_083));
}

/// Guards against a deadline that moves back, which workers ignore.
#[test]
fn a_deadline_never_shortens() {
    let now = Instant::now();
    let mut lease = Lease::default();
    lease.observe_clock(now, 10_000);
    assert_eq!(lease.grant(now, Duration::from_secs(8)), Some(18_000));
    assert_eq!(lease.grant(now, Duration::from_secs(1)), Some(18_000));
}
