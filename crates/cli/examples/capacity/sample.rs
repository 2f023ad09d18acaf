//! Readings of a process and of the loopback interface.

use std::fs;
use std::time::Instant;

use eyre::OptionExt;

/// Clock ticks a second of the times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

const PAGE_BYTES: f64 = 4096.0;

/// One reading.
pub(crate) struct Sample {
    at: Instant,
    ticks: u64,
    pages: u64,
    loopback: u64,
}

/// What one entry costs.
pub(crate) struct Cost {
    /// Processor time, in percent of a core.
    pub(crate) cpu_percent: f64,
    /// Resident memory, in MiB.
    pub(crate) rss_mib: f64,
    /// Traffic of all entries divided by their number, in KB a second.
    pub(crate) kb_per_second: f64,
}

/// Takes a reading of a process.
pub(crate) fn take(pid: u32) -> eyre::Result<Sample> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(") ").ok_or_eyre("malformed stat")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let number = |place: usize| -> eyre::Result<u64> {
        Ok(fields.get(place).ok_or_eyre("short stat")?.parse()?)
    };
    // User and system time are the fields 14 and 15 of the file, resident pages are field 24.
    Ok(Sample {
        at: Instant::now(),
        ticks: number(11)? + number(12)?,
        pages: number(21)?,
        loopback: loopback_bytes()?,
    })
}

fn loopback_bytes() -> eyre::Result<u64> {
    let table = fs::read_to_string("/proc/net/dev")?;
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))
        .ok_or_eyre("no loopback interface")?;
    let received = line.split_whitespace().next();
    Ok(received.ok_or_eyre("malformed table")?.parse()?)
}

/// Returns the cost between two readings, when `entries` share the traffic.
pub(crate) fn cost(before: &Sample, after: &Sample, entries: u32) -> Cost {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let ticks = (after.ticks - before.ticks) as f64;
    let bytes = (after.loopback - before.loopback) as f64;
    Cost {
        cpu_percent: ticks / TICKS_PER_SECOND / seconds * 100.0,
        rss_mib: after.pages as f64 * PAGE_BYTES / f64::from(1 << 20),
        kb_per_second: bytes / 1000.0 / seconds / f64::from(entries),
    }
}
