//! Tests of the choice of free ports.

use std::collections::BTreeSet;

use lavenderhollow_testing::free_ports;

/// Guards against a chosen port that a connection takes before the listener is bound: the system
/// assigns the local ports of connections from the ephemeral range.
#[test]
fn ports_are_outside_the_ephemeral_range() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let bounds: Vec<u16> = range
        .split_whitespace()
        .map(|bound| bound.parse().unwrap())
        .collect();
    let ports: [u16; 50] = free_ports();
    assert!(
        ports.iter().all(|p| !(bounds[0]..=bounds[1]).contains(p)),
        "{ports:?} in {range}"
    );
}

/// Guards against two tests in one process that get the same port.
#[test]
fn ports_are_not_reused() {
    let all: Vec<u16> = (0..100).flat_map(|_| free_ports::<4>()).collect();
    assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), all.len());
}
