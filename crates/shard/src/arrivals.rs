//! The work that has arrived at a shard's pools lately.
//!
//! The load this answers: the beginning of a peak. The work that waits tells of a peak only after a
//! second or two of it, and a machine from another pool takes two more to arrive; the rate at which
//! work comes in tells sooner.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::job::JobId;
use crate::job::Name;
use crate::job::Resources;

/// How long an arrival counts: long enough for a dozen jobs at a peak's rate, so that chance makes
/// up a third of the rate at most, and short enough to be over soon after the peak.
const WINDOW: Duration = Duration::from_millis(600);

/// One job's work.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    job: JobId,
    pool: Name,
    /// The resources that would do the work within a second.
    work: Resources,
}

/// The arrivals within [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// Notes a job that was taken in. Lasting tasks and later occurrences do not count.
    pub(crate) fn add(&mut self, now: Instant, job: &Job) {
        self.forget(now);
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

    /// Returns the resources that would do the work of a pool as fast as it comes.
    pub(crate) fn rate(&self, now: Instant, pool: &str) -> Resources {
        let mut sum = Resources::default();
        let fresh = |a: &&Arrival| now.saturating_duration_since(a.at) < WINDOW;
        for arrival in self.recent.iter().filter(fresh) {
            if &*arrival.pool == pool {
                sum.add(arrival.work);
            }
        }
        sum.scaled(1.0 / WINDOW.as_secs_f64())
    }

    /// Takes back a job that was cancelled.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.recent.retain(|arrival| arrival.job != job);
    }

    fn forget(&mut self, now: Instant) {
        let over = |a: &Arrival| now.saturating_duration_since(a.at) >= WINDOW;
        while self.recent.front().is_some_and(over) {
            self.recent.pop_front();
        }
    }
}
