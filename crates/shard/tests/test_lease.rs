//! Tests of leases.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Lease;

/// Guards against treating runs as lost while they still run on a worker whose clock is slow. A
/// worker's clock may be two percent slower than true time.
#[test]
fn a_lease_expires_only_when_a_slow_worker_clock_has_reached_the_deadline() {
    let now = Instant::now();
    let mut lease = Lease::default();
    assert_eq!(lease.grant(now, Duration::from_secs(4)), None);
    lease.observe_clock(now, 10_000);
    assert_eq!(lease.grant(now, Duration::from_secs(4)), Some(14_000));
    let expires_at = lease.expires_at().unwrap();
    assert!(expires_at >= now + Duration::from_millis(4_081));
    assert!(expires_at <= now + Duration::from_millis(4_083));
}

/// Guards against a lease deadline that moves back: workers ignore it and hold the longer lease.
#[test]
fn a_lease_deadline_never_moves_back() {
    let now = Instant::now();
    let mut lease = Lease::default();
    lease.observe_clock(now, 10_000);
    assert_eq!(lease.grant(now, Duration::from_secs(8)), Some(18_000));
    assert_eq!(lease.grant(now, Duration::from_secs(1)), Some(18_000));
}
