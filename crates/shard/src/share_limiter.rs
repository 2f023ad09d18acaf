//! Telling the work within a team's share from the work beyond it.
//!
//! The load this answers: a team that sends many times its usual. Its excess waits behind the work
//! of all others, and is the first to be refused when the pool is full, so that the other teams get
//! what they would get without it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::job::Name;
use crate::shard::Shard;

/// How many seconds' worth of a team's rate may come at once.
const BURST_SECONDS: f64 = 1.0;

/// What a team may still submit within its share.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    jobs: f64,
    at: Instant,
}

/// The shares of the teams in the jobs that are submitted.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareLimiter {
    /// The jobs a second of each team; a team that is not listed has no bound.
    rates: BTreeMap<Name, u64>,
    buckets: BTreeMap<Name, Bucket>,
}

impl ShareLimiter {
    /// Takes a job of a team; returns after what time one would be within the team's share if this
    /// one is beyond it.
    pub(crate) fn acquire(&mut self, now: Instant, team: &Name) -> Option<Duration> {
        let rate = *self.rates.get(team)? as f64;
        let most = (rate * BURST_SECONDS).max(1.0);
        let full = Bucket {
            jobs: most,
            at: now,
        };
        let bucket = self.buckets.entry(Name::clone(team)).or_insert(full);
        let passed = now.saturating_duration_since(bucket.at).as_secs_f64();
        bucket.jobs = (bucket.jobs + passed * rate).min(most);
        bucket.at = now;
        if bucket.jobs >= 1.0 {
            bucket.jobs -= 1.0;
            return None;
        }
        let missing = (1.0 - bucket.jobs) / rate.max(1.0);
        Some(Duration::from_secs_f64(missing))
    }

    /// Gives a job back that was refused, so that a team that tries again is not beyond its share
    /// for that alone.
    pub(crate) fn refund(&mut self, team: &Name) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.jobs += 1.0;
        }
    }
}

impl Shard {
    /// Sets how many jobs a second each team may submit within its share.
    pub fn set_share_rates(&mut self, rates: BTreeMap<Name, u64>) {
        self.shares.rates = rates;
    }
}
