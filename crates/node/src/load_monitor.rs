//! Measures how late the tasks of a process run.
//!
//! A process that lacks processor time does everything late: it renews leases late, and calls time
//! out although their responses have arrived. The delay tells this apart from a slow worker or
//! store.

use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_types::Clock;

use crate::router::Router;

/// The interval between two measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which the delay is logged while the process owns a shard.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the delay for as long as the process runs.
pub(crate) async fn run(router: Arc<Router>, clock: Arc<dyn Clock>) {
    let mut log_start = clock.now();
    let (mut samples, mut sum, mut max) = (0, Duration::ZERO, Duration::ZERO);
    loop {
        let expected = clock.now() + SAMPLE_INTERVAL;
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let now = clock.now();
        let delay = now.saturating_duration_since(expected);
        metrics::histogram!("scheduling_delay_seconds").record(delay.as_secs_f64());
        samples += 1;
        sum += delay;
        max = max.max(delay);
        if now.saturating_duration_since(log_start) < LOG_INTERVAL {
            continue;
        }
        let shards = router.local_owners().len();
        if shards > 0 {
            log::info!(
                shards, delay_us = (sum / samples).as_micros() as u64,
                max_delay_us = max.as_micros() as u64; "process_load"
            );
        }
        log_start = now;
        (samples, sum, max) = (0, Duration::ZERO, Duration::ZERO);
    }
}
