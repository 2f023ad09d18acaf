//! Measures where the owner of a shard spends its time.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::PlacementStats;
use lavenderhollow_shard::Shard;

use crate::shard_id::ShardId;

/// The interval at which the load of an owner is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The parts of an owner's work.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    /// Handling requests of callers and results of calls.
    Events,
    /// Placing tasks and sending polls.
    Decisions,
    /// Encoding records to store.
    Records,
    /// Starting calls, and writing the log.
    Effects,
}

/// The time that an owner spent on each part of its work since the last log line.
#[derive(Debug)]
pub(crate) struct OwnerLoad {
    since: Instant,
    spent: [Duration; 4],
    turns: u64,
    events: u64,
    longest_turn: Duration,
    placement: PlacementStats,
}

impl OwnerLoad {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            spent: [Duration::ZERO; 4],
            turns: 0,
            events: 0,
            longest_turn: Duration::ZERO,
            placement: PlacementStats::default(),
        }
    }

    /// Adds time that was spent on a part of the work.
    pub(crate) fn add(&mut self, work: Work, spent: Duration) {
        if let Some(sum) = self.spent.get_mut(work as usize) {
            *sum += spent;
        }
    }

    /// Counts a turn of the owner's loop that handled `events` events.
    pub(crate) fn count_turn(&mut self, events: u64, taken: Duration) {
        self.turns += 1;
        self.events += events;
        self.longest_turn = self.longest_turn.max(taken);
    }

    /// Writes the load to the log if that is due, and starts anew.
    pub(crate) fn log_if_due(&mut self, now: Instant, id: ShardId, token: u64, shard: &Shard) {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < LOG_INTERVAL {
            return;
        }
        let total = shard.placement_stats();
        let [events_time, decisions, records, effects] = self.spent.map(|t| t.as_micros() as u64);
        log::info!(
            shard:display = id, token, elapsed_ms = elapsed.as_millis() as u64,
            open_jobs = shard.unfinished_jobs(), turns = self.turns, events = self.events,
            events_us = events_time, decisions_us = decisions, records_us = records,
            effects_us = effects, longest_turn_us = self.longest_turn.as_micros() as u64,
            passes = total.passes - self.placement.passes,
            jobs_ranked = total.jobs - self.placement.jobs,
            workers_checked = total.workers - self.placement.workers; "owner_load"
        );
        *self = Self {
            placement: total,
            ..Self::new(now)
        };
    }
}
