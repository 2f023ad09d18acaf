//! Ports for the listeners of tests.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// The first port that is handed out.
const FIRST_PORT: u16 = 10_000;

/// How many ports are handed out in turn. They end below the ranges from which the usual systems
/// take the local ports of connections: such a port may be in use by a connection by the time that
/// its listener is bound.
const PORT_COUNT: u16 = 20_000;

/// By how far the first ports of processes with consecutive ids lie apart.
const PROCESS_STRIDE: u32 = 97;

/// Counts the ports that this process has handed out.
static HANDED_OUT: AtomicU16 = AtomicU16::new(0);

/// Returns consecutive ports on which nothing listens, for listeners that are bound later.
///
/// # Panics
///
/// Panics when there are no such ports.
#[must_use]
pub fn free_ports<const N: usize>() -> [u16; N] {
    let own = u32::from(PORT_COUNT);
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % own;
    for _ in 0..PORT_COUNT {
        let ports: [u16; N] = std::array::from_fn(|_| {
            let turn = HANDED_OUT.fetch_add(1, Ordering::Relaxed);
            let offset = (start + u32::from(turn)) % own;
            FIRST_PORT + u16::try_from(offset).unwrap_or_default()
        });
        let consecutive = ports.windows(2).all(|w| w[0] + 1 == w[1]);
        let free = |port: &u16| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_ok();
        if consecutive && ports.iter().all(free) {
            return ports;
        }
    }
    panic!("no {N} consecutive free ports");
}
