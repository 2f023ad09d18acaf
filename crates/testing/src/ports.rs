//! Choice of free ports for listeners in tests.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// The first port that is handed out.
const FIRST_PORT: u16 = 10_000;

/// The number of ports that are handed out in turn. They end below the ephemeral port range of the
/// usual systems: a connection could take an ephemeral port between its choice and the time at
/// which the listener is bound.
const PORT_COUNT: u16 = 20_000;

/// The distance between the first ports of processes with consecutive ids, so that tests in
/// parallel processes start at different ports.
const PROCESS_STRIDE: u32 = 97;

/// The number of ports that this process has tried so far.
static NEXT_INDEX: AtomicU16 = AtomicU16::new(0);

/// Returns `N` consecutive ports on which nothing listens, for listeners that are bound later.
///
/// # Panics
///
/// Panics when no `N` consecutive ports are free.
#[must_use]
pub fn free_ports<const N: usize>() -> [u16; N] {
    let count = u32::from(PORT_COUNT);
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % count;
    for _ in 0..PORT_COUNT {
        let ports: [u16; N] = std::array::from_fn(|_| {
            let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed);
            let offset = (start + u32::from(index)) % count;
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
