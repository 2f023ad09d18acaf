//! Tests of the ports for listeners.

use std::collections::BTreeSet;

use lavenderhollow_testing::free_ports;

/// Guards against a port that a connection takes between the choice and the bind of a listener:
/// the system takes the local ports of connections from this range.
#[test]
fn ports_lie_outside_the_range_of_connections() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let ends: Vec<u16> = range
        .split_whitespace()
        .map(|end| end.parse().unwrap())
        .collect();
    let ports: [u16; 50] = free_ports();
    assert!(
        ports.iter().all(|p| !(ends[0]..=ends[1]).contains(p)),
        "{ports:?} in {range}"
    );
}

/// Guards against two tests of one process that get the same port.
#[test]
fn no_port_is_handed_out_twice() {
    let all: Vec<u16> = (0..100).flat_map(|_| free_ports::<4>()).collect();
    assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), all.len());
}
