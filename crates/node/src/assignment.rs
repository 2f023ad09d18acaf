//! The assignment of shards to member processes.
//!
//! The conditional append of the store decides who owns a shard. This module only prevents several
//! processes from claiming a shard at the same time and balances the shards over the VMs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_shard::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::shard_id::ShardId;
use crate::shard_id::stable_hash;

/// How long a member that started after the others counts as owner of [`NEW_MEMBER_LOAD`] more
/// shards than it has. A new member waits before it claims shards, and so would the callers whose
/// shard was assigned to it.
const NEW_MEMBER_PERIOD: Duration = Duration::from_millis(1_500);

/// The number of shards that is added to the load of a new member: it is preferred only to members
/// that own more than this, so that one old member among many new ones does not end up with all
/// shards.
const NEW_MEMBER_LOAD: usize = 1;

/// How much later than another member a member has to have started to count as new, in
/// milliseconds. This is more than the clocks of the VMs differ, so that members that start at the
/// same time are treated alike.
const NEW_MEMBER_LAG_MS: u64 = 5_000;

/// How many shards more than the least loaded member an owner must have before it releases one.
const MIN_IMBALANCE: usize = 2;

/// One process of the system, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the VM.
    pub vm: Name,
    /// The time at which the process started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The address on which the process accepts calls of other processes.
    pub address: Name,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.vm, self.started_ms, self.address)
    }
}

impl Member {
    /// Returns whether `later` is a later process on the same VM, so that this process has ended.
    pub fn is_superseded_by(&self, later: &Self) -> bool {
        self.vm == later.vm && self.started_ms < later.started_ms
    }
}

/// The error for a text that is not the name of a member.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a member has the form VM/STARTED/ADDRESS")]
pub struct InvalidMember;

impl FromStr for Member {
    type Err = InvalidMember;

    fn from_str(text: &str) -> Result<Self, InvalidMember> {
        let mut parts = text.splitn(3, '/');
        let mut next = || parts.next().filter(|p| !p.is_empty()).ok_or(InvalidMember);
        Ok(Self {
            vm: next()?.into(),
            started_ms: next()?.parse().map_err(|_| InvalidMember)?,
            address: next()?.into(),
        })
    }
}

/// The owner of a shard as published in the owners' topic. Stored by field position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The process that claimed the shard.
    pub member: Member,
    /// The fencing token of the owner; later owners of a shard have higher ones.
    pub fencing_token: u64,
    /// Whether the owner released the shard.
    pub released: bool,
}

/// The live members and the published owners, as far as this process knows them.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// The live members, with the time at which this process first saw each.
    members: BTreeMap<Member, Instant>,
    owners: BTreeMap<ShardId, Ownership>,
}

impl ClusterState {
    /// Replaces the live members. Of several processes on one VM only the latest counts.
    pub fn set_members(&mut self, now: Instant, members: impl IntoIterator<Item = Member>) {
        let mut latest: BTreeMap<Name, Member> = BTreeMap::new();
        for member in members {
            let known = latest.get(&member.vm);
            if known.is_none_or(|m| m.started_ms < member.started_ms) {
                latest.insert(Arc::clone(&member.vm), member);
            }
        }
        let seen = |m: &Member| self.members.get(m).copied().unwrap_or(now);
        let members = latest.into_values().map(|m| (seen(&m), m));
        self.members = members.map(|(seen, m)| (m, seen)).collect();
    }

    /// Updates the owner of a shard unless a later owner or release is known.
    pub fn update_owner(&mut self, shard: ShardId, owner: Ownership) {
        let known = self.owners.get(&shard);
        let newer = known
            .is_none_or(|k| (owner.fencing_token, owner.released) >= (k.fencing_token, k.released));
        if newer {
            self.owners.insert(shard, owner);
        }
    }

    /// Returns the published owner of a shard, live or not.
    pub fn owner(&self, shard: ShardId) -> Option<&Ownership> {
        self.owners.get(&shard)
    }

    /// Returns the published owners of all shards, live or not.
    pub fn owners(&self) -> impl Iterator<Item = (ShardId, &Ownership)> {
        self.owners.iter().map(|(&shard, owner)| (shard, owner))
    }

    /// Returns the live members, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.keys()
    }

    /// Returns whether a member was first seen less than [`NEW_MEMBER_PERIOD`] ago and started later
    /// than another.
    fn is_new_member(&self, now: Instant, member: &Member) -> bool {
        let seen = self.members.get(member);
        let started_earlier = |m: &Member| m.started_ms + NEW_MEMBER_LAG_MS < member.started_ms;
        seen.is_some_and(|at| now.saturating_duration_since(*at) < NEW_MEMBER_PERIOD)
            && self.members.keys().any(started_earlier)
    }

    fn has_live_owner(&self, shard: ShardId) -> bool {
        let owner = self.owners.get(&shard);
        owner.is_some_and(|o| !o.released && self.members.contains_key(&o.member))
    }

    fn loads(&self, shards: &BTreeSet<ShardId>) -> BTreeMap<&Member, usize> {
        let mut loads: BTreeMap<&Member, usize> = self.members.keys().map(|m| (m, 0)).collect();
        for shard in shards {
            if let Some(owner) = self.owners.get(shard)
                && !owner.released
                && let Some(load) = loads.get_mut(&owner.member)
            {
                *load += 1;
            }
        }
        loads
    }

    /// Returns the shards without a live owner that `me` should claim. The member that released a
    /// shard may be about to stop and is chosen last. New members count as owning more shards than
    /// they do.
    pub fn shards_to_claim(
        &self,
        now: Instant,
        me: &Member,
        shards: &BTreeSet<ShardId>,
    ) -> Vec<ShardId> {
        let mut loads = self.loads(shards);
        let mut to_claim = Vec::new();
        for &shard in shards.iter().filter(|s| !self.has_live_owner(**s)) {
            let release = self.owners.get(&shard).filter(|o| o.released);
            let is_releasing = |m: &Member| release.is_some_and(|o| o.member == *m);
            let load = |m: &Member, load: usize| {
                load + usize::from(self.is_new_member(now, m)) * NEW_MEMBER_LOAD
            };
            let rank = |member: &Member| stable_hash(format!("{shard}/{}", member.vm).as_bytes());
            let best = loads
                .iter()
                .min_by_key(|(m, owned)| (is_releasing(m), load(m, **owned), rank(m)))
                .map(|(&member, _)| member);
            let Some(best) = best else {
                break;
            };
            if let Some(load) = loads.get_mut(best) {
                *load += 1;
            }
            if best == me {
                to_claim.push(shard);
            }
        }
        to_claim
    }

    /// Returns a shard that `me` should release because another member owns fewer; `None` while the
    /// shards are balanced or any shard has no live owner.
    pub fn shard_to_release(&self, me: &Member, shards: &BTreeSet<ShardId>) -> Option<ShardId> {
        let loads = self.loads(shards);
        let own_load = *loads.get(me)?;
        let least = loads.values().copied().min()?;
        if own_load < least + MIN_IMBALANCE || shards.iter().any(|s| !self.has_live_owner(*s)) {
            return None;
        }
        // Only one of several overloaded members releases a shard at a time.
        let most_loaded = loads.iter().min_by_key(|(m, load)| (Reverse(**load), *m));
        if most_loaded.is_none_or(|(m, _)| *m != me) {
            return None;
        }
        let owned = |s: &&ShardId| self.owners.get(s).is_some_and(|o| o.member == *me);
        shards.iter().rfind(owned).copied()
    }
}
