//! Divides the teams' limits into quotas for the shards.
//!
//! A team's limit spans all pools, and the owner of each pool starts tasks independently. The owner
//! of the fleet shard therefore grants every shard a quota, a part of each limit. The quotas never
//! add up to more than the limit: a quota that shrinks counts in full until its shard has confirmed
//! the smaller one, and as much as the shard uses until its tasks beyond the smaller one have ended.
//! However much a shard asks for, the others are left what they need of their even parts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Name;
use lavenderhollow_shard::Resources;

use crate::message::ShardUsage;
use crate::message::TeamReport;
use crate::shard_id::ShardId;

/// One half of a limit is divided evenly among the shards, so that a queue that was idle can start
/// tasks at once. The rest is granted by demand.
const EVEN_SPLIT_DIVISOR: u64 = 2;

/// Demands are rounded up to multiples of the limit divided by this number, so that quotas seldom
/// change.
const QUOTA_STEPS: u64 = 32;

/// How long a claim holds after the last report that made it. A shard reports about three times per
/// second, but its owner may change.
const CLAIM_TTL: Duration = Duration::from_secs(5);

/// How long a claim waits for parts of the limit that the other shards don't need. Only then are they
/// held to the rest of the limit, so that their tasks don't keep the claimed one waiting for ever.
const CLAIM_PATIENCE: Duration = Duration::from_secs(3);

/// The smallest quota, which stands for no capacity; a quota of zero means that there is no limit.
const EMPTY_QUOTA: u64 = 1;

/// The quota of one team in one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ShardQuota {
    /// The quota that was granted last.
    granted: Resources,
    /// The quota that the shard last reported as the one it applies.
    in_force: Resources,
    /// What the tasks of the team in the shard used according to its last report. A quota that
    /// shrinks ends none of them.
    used: Resources,
    /// What the shard needed according to its last report, whether it got that or not.
    needed: Resources,
}

impl ShardQuota {
    /// Returns what the shard may be using: the larger of both quotas, since it is not known
    /// whether the shard has received the last grant, and no less than it uses.
    fn committed(&self) -> Resources {
        self.granted.max(self.in_force).max(self.used)
    }

    /// Returns what other shards have to leave to the shard: what it may be using, and no less than
    /// it needs of its even part.
    fn reserved(&self, limit: Resources, shards: usize) -> Resources {
        let even_part = |needed: u64, limit: u64| needed.min(even_quota(limit, shards));
        self.committed().max(Resources {
            cpu: even_part(self.needed.cpu, limit.cpu),
            memory: even_part(self.needed.memory, limit.memory),
            gpu: even_part(self.needed.gpu, limit.gpu),
        })
    }
}

/// What a shard needs of a team's limit to start a task or a gang that is larger than an even part.
///
/// The even parts of the other shards may leave too little for it, however idle they are. While a
/// claim is the team's oldest one, the other shards get no more than they need, and after
/// [`CLAIM_PATIENCE`] they divide only the rest of the limit among themselves. A shard that has got
/// what it claimed queues up behind the others with its next claim.
#[derive(Clone, Copy, Debug)]
struct Claim {
    shard: ShardId,
    needed: Resources,
    since: Instant,
    reported: Instant,
}

/// The quotas of all teams in all shards.
#[derive(Clone, Debug, Default)]
pub struct ShardQuotas {
    quotas: BTreeMap<(Name, ShardId), ShardQuota>,
    /// The claims on each team's limit, the oldest first.
    claims: BTreeMap<Name, Vec<Claim>>,
}

/// The quotas that a shard gets in response to its usage report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The quota of each team that has a limit.
    pub quotas: Vec<(Name, Resources)>,
    /// Whether a quota increased. The quotas must then be stored before the shard gets them, so
    /// that a successor counts them.
    pub increased: bool,
    /// Whether another shard claims a part of one of the limits.
    pub claimed: bool,
}

impl ShardQuotas {
    /// Restores the quotas of a shard that an earlier owner of the fleet shard stored.
    pub fn restore(&mut self, shard: ShardId, quotas: Vec<(Name, Resources)>) {
        for (team, granted) in quotas {
            let quota = ShardQuota {
                granted,
                in_force: granted,
                ..ShardQuota::default()
            };
            self.quotas.insert((team, shard), quota);
        }
    }

    /// Computes the quotas of a shard from its usage report. `limits` are the limits of the teams
    /// and `shards` is the number of shards that they are divided among.
    pub fn update(
        &mut self,
        now: Instant,
        limits: &BTreeMap<Name, Resources>,
        shards: usize,
        report: &ShardUsage,
    ) -> QuotaGrant {
        let mut result = QuotaGrant {
            quotas: Vec::with_capacity(report.teams.len()),
            increased: false,
            claimed: false,
        };
        for team_report in &report.teams {
            let Some(&limit) = limits.get(&team_report.team) else {
                continue;
            };
            self.update_claim(now, limit, shards, report.shard, team_report);
            let (granted, increased) =
                self.update_quota(now, limit, shards, report.shard, team_report);
            result.increased |= increased;
            let claims = self.claims.get(&team_report.team);
            result.claimed |= claims.is_some_and(|c| c.iter().any(|c| c.shard != report.shard));
            result.quotas.push((Arc::clone(&team_report.team), granted));
        }
        result
    }

    /// Updates the claim of a shard on a team's limit, and drops those that are not made any more.
    fn update_claim(
        &mut self,
        now: Instant,
        limit: Resources,
        shards: usize,
        shard: ShardId,
        report: &TeamReport,
    ) {
        let claims = self.claims.entry(Arc::clone(&report.team)).or_default();
        claims.retain(|c| now.saturating_duration_since(c.reported) <= CLAIM_TTL);
        let position = claims.iter().position(|c| c.shard == shard);
        let needed = report.next_unit.and_then(|unit| {
            let mut needed = report.used;
            needed.add(unit);
            // What the shard uses itself can't be had from the others.
            let is_claimed = needed.within_limit(limit) && exceeds_even_quota(unit, limit, shards);
            is_claimed.then_some(needed)
        });
        let Some(needed) = needed else {
            claims.retain(|c| c.shard != shard);
            return;
        };
        match position.and_then(|p| claims.get_mut(p)) {
            Some(known) => (known.needed, known.reported) = (needed, now),
            None => claims.push(Claim {
                shard,
                needed,
                since: now,
                reported: now,
            }),
        }
    }

    /// Computes and records the quota of a team in a shard; returns it, and whether it increased.
    fn update_quota(
        &mut self,
        now: Instant,
        limit: Resources,
        shards: usize,
        shard: ShardId,
        report: &TeamReport,
    ) -> (Resources, bool) {
        let claim = self.claims.get(&report.team).and_then(|c| c.first());
        let is_elsewhere = claim.is_some_and(|c| c.shard != shard);
        let is_urgent =
            claim.is_some_and(|c| now.saturating_duration_since(c.since) >= CLAIM_PATIENCE);
        let is_claimant = claim.is_some_and(|c| c.shard == shard);
        let mut committed = Resources::default();
        let mut claimed = Resources::default();
        for ((team, other), quota) in &self.quotas {
            if *team != report.team || *other == shard {
                continue;
            }
            match claim.filter(|c| c.shard == *other) {
                Some(claim) if is_urgent => claimed = claim.needed.max(quota.committed()),
                _ if is_claimant => committed.add(quota.committed()),
                _ => committed.add(quota.reserved(limit, shards)),
            }
        }
        let needed = |amount: fn(&Resources) -> u64| {
            let claim = claim.filter(|c| c.shard == shard);
            let claim = claim.map_or(0, |c| amount(&c.needed));
            claim.max(amount(&report.used) + amount(&report.pending))
        };
        let compute = |amount: fn(&Resources) -> u64| {
            let division = Division {
                limit: amount(&limit),
                shards,
                keeps_even_part: !is_elsewhere || is_urgent,
                claimed: amount(&claimed),
                committed: amount(&committed),
            };
            division.quota(needed(amount))
        };
        let granted = Resources {
            cpu: compute(|r| r.cpu),
            memory: compute(|r| r.memory),
            gpu: compute(|r| r.gpu),
        };
        let quota = self
            .quotas
            .entry((Arc::clone(&report.team), shard))
            .or_default();
        if let Some(in_force) = report.quota {
            quota.in_force = in_force;
        }
        quota.used = report.used;
        quota.needed = report.used;
        quota.needed.add(report.pending);
        let before = std::mem::replace(&mut quota.granted, granted);
        let increased =
            granted.cpu > before.cpu || granted.memory > before.memory || granted.gpu > before.gpu;
        (granted, increased)
    }
}

/// One resource of a team's limit, as it is divided for one of the shards.
#[derive(Clone, Copy, Debug)]
struct Division {
    /// The limit; zero means that there is none.
    limit: u64,
    shards: usize,
    /// Whether the shard gets an even part without needing it.
    keeps_even_part: bool,
    /// The part that is kept for a claim of another shard.
    claimed: u64,
    /// What the other shards, apart from the one with the claim, may be using.
    committed: u64,
}

impl Division {
    /// Returns the quota of a shard that needs `needed`.
    fn quota(self, needed: u64) -> u64 {
        if self.limit == 0 {
            return 0;
        }
        let step = (self.limit / QUOTA_STEPS).max(1);
        let rest = self.limit.saturating_sub(self.claimed);
        let shards = match self.claimed {
            0 => self.shards,
            _ => self.shards.saturating_sub(1),
        };
        let even_part = match self.keeps_even_part {
            true => even_quota(rest, shards),
            false => 0,
        };
        needed
            .div_ceil(step)
            .saturating_mul(step)
            .max(even_part)
            .min(rest.saturating_sub(self.committed))
            .max(EMPTY_QUOTA)
    }
}

/// Returns whether any limited resource of `unit` is more than a shard gets without a demand.
pub(crate) fn exceeds_even_quota(unit: Resources, limit: Resources, shards: usize) -> bool {
    let exceeds = |unit: u64, limit: u64| limit > 0 && unit > even_quota(limit, shards);
    exceeds(unit.cpu, limit.cpu)
        || exceeds(unit.memory, limit.memory)
        || exceeds(unit.gpu, limit.gpu)
}

/// Returns the part of a limit that each shard gets without a demand.
fn even_quota(limit: u64, shards: usize) -> u64 {
    limit / EVEN_SPLIT_DIVISOR / (shards.max(1) as u64)
}
