//! The arrival rate of work in each of a shard's pools.
//!
//! The arrival rate shows the beginning of a peak early. The queued work shows it only after one or
//! two seconds, and a machine from another pool takes two more seconds to arrive.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::job::JobId;
use crate::job::Name;
use crate::job::Resources;

/// The sliding window over which the rate is measured. It is long enough to hold a dozen jobs at a
/// peak's rate, so that random variation is at most a third of the rate, and short enough for the
/// rate to drop soon after the peak.
const WINDOW: Duration = Duration::from_millis(600);

/// The work of one job.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    job: JobId,
    pool: Name,
    /// The resources that would complete the work within one second.
    work: Resources,
}

/// The arrivals within [`WINDOW`], oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// Records an admitted job, or one that only evacuated zones have capacity for, unless it is
    /// long-running or repeated.
    pub(crate) fn add(&mut self, now: Instant, job: &Job) {
        self.expire(now);
        if job.is_long_running() || job.repeat.is_some() {
            return;
        }
        let mut work = Resources::default();
        for step in &job.steps {
            work.add(
                step.allocation()
                    .scaled(f64::from(step.count) * step.estimate.as_secs_f64()),
            );
        }
        self.recent.push_back(Arrival {
            at: now,
            job: job.id,
            pool: Name::clone(&job.queue.pool),
            work,
        });
    }

    /// Returns the resources that would complete a pool's work as fast as it arrives.
    pub(crate) fn rate(&self, now: Instant, pool: &str) -> Resources {
        let mut sum = Resources::default();
        let in_window = |a: &&Arrival| now.saturating_duration_since(a.at) < WINDOW;
        for arrival in self.recent.iter().filter(in_window) {
            if &*arrival.pool == pool {
                sum.add(arrival.work);
            }
        }
        sum.scaled(1.0 / WINDOW.as_secs_f64())
    }

    /// Removes the arrival of a cancelled job.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.recent.retain(|arrival| arrival.job != job);
    }

    /// Removes the arrivals before the window.
    fn expire(&mut self, now: Instant) {
        let expired = |a: &Arrival| now.saturating_duration_since(a.at) >= WINDOW;
        while self.recent.front().is_some_and(expired) {
            self.recent.pop_front();
        }
    }
}
