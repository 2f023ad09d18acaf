//! Splitting the teams' limits over the shards.
//!
//! A team's limit spans all pools, and each pool's owner starts tasks on its own. The owner of the
//! fleet shard therefore lends every shard a part of each limit. The parts never add up to more
//! than the limit: a part that shrinks counts in full until its shard has confirmed the smaller
//! one.

use std::collections::BTreeMap;
use std::sync::Arc;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::Resources;

use crate::message::ShardUsage;
use crate::message::TeamReport;
use crate::shard_id::ShardId;

/// Half of a limit is split evenly, so that a queue that wakes up can start at once; the rest goes
/// where the demand is.
const EVEN_PART: u64 = 2;

/// Parts are multiples of this fraction of the limit, so that they change seldom.
const GRAINS: u64 = 32;

/// What stands for "nothing" in a part, since zero means no limit.
const NOTHING: u64 = 1;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Part {
    granted: Resources,
    in_force: Resources,
}

impl Part {
    fn counted(&self) -> Resources {
        self.granted.max(self.in_force)
    }
}

/// The parts of all limits.
#[derive(Clone, Debug, Default)]
pub struct ShardQuotas {
    parts: BTreeMap<(Name, ShardId), Part>,
}

/// The new parts of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The part of each team's limit.
    pub quotas: Vec<(Name, Resources)>,
    /// Whether a part grew, so that it has to be stored before it is handed out.
    pub increased: bool,
}

impl ShardQuotas {
    /// Takes a part that an earlier owner of the fleet shard stored.
    pub fn restore(&mut self, shard: ShardId, rows: Vec<(Name, Resources)>) {
        for (team, granted) in rows {
            let part = Part {
                granted,
                in_force: granted,
            };
            self.parts.insert((team, shard), part);
        }
    }

    /// Takes a shard's report and decides on its parts.
    pub fn update(
        &mut self,
        limits: &BTreeMap<Name, Resources>,
        shards: usize,
        report: &ShardUsage,
    ) -> QuotaGrant {
        let mut result = QuotaGrant {
            quotas: Vec::with_capacity(report.teams.len()),
            increased: false,
        };
        for row in &report.teams {
            let Some(&limit) = limits.get(&row.team) else {
                continue;
            };
            let (granted, increased) = self.decide(limit, shards, report.shard, row);
            result.increased |= increased;
            result.quotas.push((Arc::clone(&row.team), granted));
        }
        result
    }

    fn decide(
        &mut self,
        limit: Resources,
        shards: usize,
        shard: ShardId,
        row: &TeamReport,
    ) -> (Resources, bool) {
        let mut others = Resources::default();
        for ((team, other), part) in &self.parts {
            if *team == row.team && *other != shard {
                others.add(part.counted());
            }
        }
        let part = self
            .parts
            .entry((Arc::clone(&row.team), shard))
            .or_default();
        if let Some(in_force) = row.quota {
            part.in_force = in_force;
        }
        let before = part.granted;
        let amount = |limit: u64, used: u64, pending: u64, others: u64| {
            split(limit, shards, used + pending, others)
        };
        part.granted = Resources {
            cpu: amount(limit.cpu, row.used.cpu, row.pending.cpu, others.cpu),
            memory: amount(
                limit.memory,
                row.used.memory,
                row.pending.memory,
                others.memory,
            ),
            gpu: amount(limit.gpu, row.used.gpu, row.pending.gpu, others.gpu),
        };
        let increased = part.granted.cpu > before.cpu
            || part.granted.memory > before.memory
            || part.granted.gpu > before.gpu;
        (part.granted, increased)
    }
}

fn split(limit: u64, shards: usize, needed: u64, others: u64) -> u64 {
    if limit == 0 {
        return 0;
    }
    let grain = (limit / GRAINS).max(1);
    let even = limit / EVEN_PART / (shards.max(1) as u64);
    let wished = needed.div_ceil(grain).saturating_mul(grain).max(even);
    wished.min(limit.saturating_sub(others)).max(NOTHING)
}
