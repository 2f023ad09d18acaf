//! Who owns which shard, and who should.
//!
//! The store's conditional append decides; what stands here only keeps two processes from trying
//! at once and spreads the shards over the VMs.

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

/// For how long a member that has started after the others counts as owner of [`NEW_LOAD`] shards
/// more than it has: it waits before it claims any, and callers would wait with it.
const NEW_FOR: Duration = Duration::from_millis(1_500);

/// A new member is preferred only to members that own more than this, so that one that outlives many
/// others does not end up with all of their shards.
const NEW_LOAD: usize = 1;

/// How much later than another member one has to have started to count as new, in milliseconds; more
/// than the clocks of the VMs differ, so that members that start together count alike.
const STARTED_LATER_MS: u64 = 5_000;

/// By how many shards an owner has to exceed the least loaded member before it gives one away.
const IMBALANCE: usize = 2;

/// One run of a process of the system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the VM.
    pub vm: Name,
    /// The start of the process, in milliseconds since 1970.
    pub started_ms: u64,
    /// Where other processes reach it.
    pub address: Name,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.vm, self.started_ms, self.address)
    }
}

impl Member {
    /// Tells whether this is an earlier run on the same VM, which has ended since then.
    pub fn is_superseded_by(&self, later: &Self) -> bool {
        self.vm == later.vm && self.started_ms < later.started_ms
    }
}

/// A text that names no member.
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

/// The owner of a shard, as announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The owner.
    pub member: Member,
    /// The owner's token.
    pub fencing_token: u64,
    /// Whether the owner gave the shard up.
    pub released: bool,
}

/// What is known of members and owners.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// The live members, with the time at which they were first seen.
    members: BTreeMap<Member, Instant>,
    owners: BTreeMap<ShardId, Ownership>,
}

impl ClusterState {
    /// Takes the live members. Of two runs on one VM only the later counts.
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

    /// Takes an announcement unless a later owner is known.
    pub fn update_owner(&mut self, shard: ShardId, owner: Ownership) {
        let known = self.owners.get(&shard);
        let newer = known
            .is_none_or(|k| (owner.fencing_token, owner.released) >= (k.fencing_token, k.released));
        if newer {
            self.owners.insert(shard, owner);
        }
    }

    /// Returns the announced owner of a shard, live or not.
    pub fn owner(&self, shard: ShardId) -> Option<&Ownership> {
        self.owners.get(&shard)
    }

    /// Returns all announcements.
    pub fn owners(&self) -> impl Iterator<Item = (ShardId, &Ownership)> {
        self.owners.iter().map(|(&shard, owner)| (shard, owner))
    }

    /// Returns the live members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.keys()
    }

    /// Tells whether a member has just started while others have not.
    fn is_new(&self, now: Instant, member: &Member) -> bool {
        let seen = self.members.get(member);
        let earlier = |m: &Member| m.started_ms + STARTED_LATER_MS < member.started_ms;
        seen.is_some_and(|at| now.saturating_duration_since(*at) < NEW_FOR)
            && self.members.keys().any(earlier)
    }

    fn is_owned(&self, shard: ShardId) -> bool {
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

    /// Returns the shards without a live owner that `me` should claim. The member that gave a shard
    /// up, which may be about to stop, comes last, and one that has just started later.
    pub fn shards_to_claim(
        &self,
        now: Instant,
        me: &Member,
        shards: &BTreeSet<ShardId>,
    ) -> Vec<ShardId> {
        let mut loads = self.loads(shards);
        let mut mine = Vec::new();
        for &shard in shards.iter().filter(|s| !self.is_owned(**s)) {
            let left = self.owners.get(&shard).filter(|o| o.released);
            let leaves = |m: &Member| left.is_some_and(|o| o.member == *m);
            let load = |m: &Member, load: usize| load + usize::from(self.is_new(now, m)) * NEW_LOAD;
            let rank = |member: &Member| stable_hash(format!("{shard}/{}", member.vm).as_bytes());
            let best = loads
                .iter()
                .min_by_key(|(m, owned)| (leaves(m), load(m, **owned), rank(m)))
                .map(|(&member, _)| member);
            let Some(best) = best else {
                break;
            };
            if let Some(load) = loads.get_mut(best) {
                *load += 1;
            }
            if best == me {
                mine.push(shard);
            }
        }
        mine
    }

    /// Returns a shard that `me` should give away, because another member has fewer.
    pub fn shard_to_release(&self, me: &Member, shards: &BTreeSet<ShardId>) -> Option<ShardId> {
        let loads = self.loads(shards);
        let mine = *loads.get(me)?;
        let least = loads.values().copied().min()?;
        if mine < least + IMBALANCE || shards.iter().any(|s| !self.is_owned(*s)) {
            return None;
        }
        // Only one of several overloaded members moves at a time.
        let heaviest = loads.iter().min_by_key(|(m, load)| (Reverse(**load), *m));
        if heaviest.is_none_or(|(m, _)| *m != me) {
            return None;
        }
        let owned = |s: &&ShardId| self.owners.get(s).is_some_and(|o| o.member == *me);
        shards.iter().rfind(owned).copied()
    }
}
