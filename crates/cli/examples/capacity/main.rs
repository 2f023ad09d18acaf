//! Measures what control costs an entry process, at several sizes of each part of a deployment.
//!
//! Starts a log, a VM list and workers as stand-ins in this process and entries as processes of
//! their own, without any work of callers. For each size it prints processor time, memory and
//! traffic on the loopback interface for one entry, and for each part the slope over its sizes.
//! Traffic counts every packet with its headers, and everything else that uses the interface at
//! the same time, so that it is meaningful on a quiet machine only. Run it with
//! `cargo build --release --workspace --bins` and then
//! `cargo run --release -p lavenderhollow --example capacity [PART]...`.

mod deployment;
mod sample;

use std::time::Duration;

use deployment::Deployment;
use deployment::Size;
use sample::Cost;

/// How long a deployment runs before it is measured.
const SETTLE: Duration = Duration::from_secs(6);

/// How long a deployment is measured.
const MEASURE: Duration = Duration::from_secs(10);

/// One part whose size varies.
struct Part {
    name: &'static str,
    unit: &'static str,
    sizes: [u32; 3],
    set: fn(&mut Size, u32),
}

const PARTS: [Part; 6] = [
    Part {
        name: "workers",
        unit: "worker of the entry",
        sizes: [20, 60, 120],
        set: |size, value| size.workers = value,
    },
    Part {
        name: "teams",
        unit: "team",
        sizes: [10, 50, 98],
        set: |size, value| size.teams = value,
    },
    Part {
        name: "pools",
        unit: "pool",
        sizes: [20, 100, 228],
        set: |size, value| size.pools = value,
    },
    Part {
        name: "entries",
        unit: "other entry of the zone",
        sizes: [1, 4, 9],
        set: |size, value| size.entries = value,
    },
    Part {
        name: "zones",
        unit: "other zone",
        sizes: [1, 6, 12],
        set: |size, value| size.zones = value,
    },
    Part {
        name: "changes",
        unit: "configuration change a second",
        sizes: [0, 2, 6],
        set: |size, value| size.changes = value,
    },
];

fn main() -> eyre::Result<()> {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Runtime::new()?;
    println!("part size cpu_percent rss_mib loopback_kb_s");
    for part in &PARTS {
        if wanted.is_empty() || wanted.iter().any(|name| name == part.name) {
            runtime.block_on(measure_part(part))?;
        }
    }
    Ok(())
}

async fn measure_part(part: &Part) -> eyre::Result<()> {
    let mut points = Vec::new();
    for value in part.sizes {
        let mut size = Size::default();
        (part.set)(&mut size, value);
        let cost = measure(&size).await?;
        println!(
            "{} {value} {:.2} {:.1} {:.2}",
            part.name, cost.cpu_percent, cost.rss_mib, cost.kb_per_second
        );
        points.push((f64::from(value), cost));
    }
    let slope = |get: fn(&Cost) -> f64| slope(&points, get);
    println!(
        "# each {} costs {:.4} % of a core, {:.1} KiB, {:.4} KB/s",
        part.unit,
        slope(|cost| cost.cpu_percent),
        slope(|cost| cost.rss_mib) * 1024.0,
        slope(|cost| cost.kb_per_second)
    );
    Ok(())
}

async fn measure(size: &Size) -> eyre::Result<Cost> {
    let deployment = Deployment::start(size).await?;
    deployment.idle(SETTLE).await?;
    let before = sample::take(deployment.pid())?;
    deployment.idle(MEASURE).await?;
    let after = sample::take(deployment.pid())?;
    Ok(sample::cost(&before, &after, size.processes()))
}

/// Fits a line through the points by least squares and returns its slope.
fn slope(points: &[(f64, Cost)], get: fn(&Cost) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, cost)| get(cost)).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, cost)| (x - mean_x) * (get(cost) - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}
