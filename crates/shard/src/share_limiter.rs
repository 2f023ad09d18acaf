//! Rate limits that decide whether a submitted job is within its team's share.
//!
//! They protect the other teams from a team that submits many times its usual load. Jobs over the
//! share are placed after those of all other teams and are the first to be rejected when the pool
//! is full, so that the other teams are served as if that load didn't exist.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::job::Name;
use crate::shard::Shard;

/// The burst that a team may submit at once, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// A token bucket: the jobs that a team may still submit within its share.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// The number of jobs, each one token.
    tokens: f64,
    /// When the bucket was last refilled.
    refilled: Instant,
}

/// Limits the rate of submitted jobs of each team to its share.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareLimiter {
    /// The share of each team in jobs per second; a team without an entry is not limited.
    rates: BTreeMap<Name, u64>,
    buckets: BTreeMap<Name, TokenBucket>,
}

impl ShareLimiter {
    /// Takes a token for a job of a team.
    ///
    /// Returns `None` if the job is within the team's share, and otherwise the time until the next
    /// token is available.
    pub(crate) fn acquire(&mut self, now: Instant, team: &Name) -> Option<Duration> {
        let rate = *self.rates.get(team)? as f64;
        let burst = (rate * BURST_SECONDS).max(1.0);
        let full = TokenBucket {
            tokens: burst,
            refilled: now,
        };
        let bucket = self.buckets.entry(Name::clone(team)).or_insert(full);
        let elapsed = now.saturating_duration_since(bucket.refilled).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(burst);
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return None;
        }
        let refill = (1.0 - bucket.tokens) / rate.max(1.0);
        Some(Duration::from_secs_f64(refill))
    }

    /// Returns the token of a rejected job, so that submitting it again doesn't put the team over
    /// its share.
    pub(crate) fn refund(&mut self, team: &Name) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.tokens += 1.0;
        }
    }
}

impl Shard {
    /// Sets the share of each team, in jobs per second; a team without an entry is not limited.
    pub fn set_share_rates(&mut self, rates: BTreeMap<Name, u64>) {
        self.share_limiter.rates = rates;
    }
}
