//! The assignment of shards to member processes.
//!
//! The conditional append of the store decides who owns a shard. This module only prevents several
//! processes from claiming a shard at the same time and balances the shards over the VMs. Loads are
//! compared relative to the processor time of the VMs, because the owner of a busy pool needs more
//! of it than a small VM has.

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
/// shards. It counts as on the smallest VM.
const NEW_MEMBER_LOAD: u64 = 1;

/// How much later than another member a member has to have started to count as new, in
/// milliseconds. This is more than the clocks of the VMs differ, so that members that start at the
/// same time are treated alike.
const NEW_MEMBER_LAG_MS: u64 = 5_000;

/// As how many shards a shard counts for the VM that claims it, among VMs of different sizes. Queues peak in
/// turn, and callers wait for the owner of a shard mostly while its queues peak, when it needs several times
/// its mean. A large VM with some shards that don't peak serves it sooner than a small VM without any.
const PEAK_LOAD: u64 = 2;

/// How many shards more than a member on a VM of equal size an owner must have before it releases
/// one.
const MIN_IMBALANCE: u64 = 2;

/// The factor by which the load of an owner must exceed that of a member on a VM of another size,
/// counted with the shard, before the owner releases the shard. A move costs callers a change of
/// owner.
const MIN_GAIN: u64 = 2;

/// How long a shard may have no live owner before members other than the best one claim it. Members
/// that know different owners may each leave a shard to another; a claim takes a fraction of this
/// unless the store is slow.
const MAX_UNOWNED_PERIOD: Duration = Duration::from_secs(4);

/// How much longer each further member waits, so that not all claim the shard at the same time.
const CLAIM_STAGGER: Duration = Duration::from_millis(500);

/// The relative load of one shard on a VM with one millicore.
const LOAD_UNIT: u64 = 1_000_000_000;

/// Separates the name of a VM from its processor time in the name of a member.
const CPU_SEPARATOR: char = '#';

/// Separates the name of a VM from its memory, which stands before the processor time.
const MEMORY_SEPARATOR: char = '%';

/// One process of the system, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "MemberRecord", into = "MemberRecord")]
pub struct Member {
    /// The name of the VM.
    pub vm: Name,
    /// The time at which the process started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The address on which the process accepts calls of other processes.
    pub address: Name,
    /// The processor time that the process may use, in millicores; `None` for a process of a build
    /// that does not publish it.
    pub cpu_limit: Option<u64>,
    /// The memory of the VM, in MB of 1,000,000 bytes; `None` for a process of a build that does not
    /// publish it.
    pub memory_mb: Option<u64>,
}

/// The stored form of a [`Member`], by field position. A build that does not know the processor time or
/// the memory takes it for a part of the VM's name, and recognizes the member all the same.
#[derive(Serialize, Deserialize)]
struct MemberRecord {
    sized_vm: Name,
    started_ms: u64,
    address: Name,
}

impl From<Member> for MemberRecord {
    fn from(member: Member) -> Self {
        Self {
            sized_vm: member.sized_vm().into(),
            started_ms: member.started_ms,
            address: member.address,
        }
    }
}

impl From<MemberRecord> for Member {
    fn from(record: MemberRecord) -> Self {
        let (vm, cpu_limit, memory_mb) = split_sized_vm(&record.sized_vm);
        Self {
            vm: vm.into(),
            started_ms: record.started_ms,
            address: record.address,
            cpu_limit,
            memory_mb,
        }
    }
}

/// Splits the name of a VM with its size into the name, the processor time and the memory, each `None` if
/// it is not there.
fn split_sized_vm(text: &str) -> (&str, Option<u64>, Option<u64>) {
    let (vm, cpu) = split_number(text, CPU_SEPARATOR);
    let (vm, memory) = match cpu {
        Some(_) => split_number(vm, MEMORY_SEPARATOR),
        None => (vm, None),
    };
    (vm, cpu, memory)
}

/// Splits off a positive number behind the last separator, if there is one.
fn split_number(text: &str, separator: char) -> (&str, Option<u64>) {
    let parts = text.rsplit_once(separator);
    let sized = parts.and_then(|(rest, n)| Some((rest, n.parse().ok().filter(|&n| n > 0)?)));
    match sized.filter(|(rest, _)| !rest.is_empty()) {
        Some((rest, number)) => (rest, Some(number)),
        None => (text, None),
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}/{}",
            self.sized_vm(),
            self.started_ms,
            self.address
        )
    }
}

impl Member {
    /// Returns the name of the VM with its size, which an older build takes for its name.
    fn sized_vm(&self) -> String {
        match (self.cpu_limit, self.memory_mb) {
            (Some(cpu), Some(memory)) => {
                format!("{}{MEMORY_SEPARATOR}{memory}{CPU_SEPARATOR}{cpu}", self.vm)
            }
            _ => self.name_with_cpu(),
        }
    }

    /// Returns the name of the VM with its processor time.
    fn name_with_cpu(&self) -> String {
        match self.cpu_limit {
            Some(cpu) => format!("{}{CPU_SEPARATOR}{cpu}", self.vm),
            None => self.vm.to_string(),
        }
    }

    /// Returns whether `later` is a later process on the same VM, so that this process has ended.
    pub fn is_superseded_by(&self, later: &Self) -> bool {
        self.vm == later.vm && self.started_ms < later.started_ms
    }
}

/// The error for a text that is not the name of a member.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a member has the form VM/STARTED/ADDRESS or VM%MEGABYTES#MILLICORES/STARTED/ADDRESS")]
pub struct InvalidMember;

impl FromStr for Member {
    type Err = InvalidMember;

    fn from_str(text: &str) -> Result<Self, InvalidMember> {
        let mut parts = text.splitn(3, '/');
        let mut next = || parts.next().filter(|p| !p.is_empty()).ok_or(InvalidMember);
        let (vm, cpu_limit, memory_mb) = split_sized_vm(next()?);
        Ok(Self {
            vm: vm.into(),
            started_ms: next()?.parse().map_err(|_| InvalidMember)?,
            address: next()?.into(),
            cpu_limit,
            memory_mb,
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

impl Ownership {
    /// Returns whether this was published after `other`: by a later owner, or by the same one at its
    /// release.
    pub(crate) fn is_later_than(&self, other: &Self) -> bool {
        (self.fencing_token, self.released) > (other.fencing_token, other.released)
    }
}

/// The live members and the published owners, as far as this process knows them.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// The live members, with the time at which this process first saw each.
    members: BTreeMap<Member, Instant>,
    owners: BTreeMap<ShardId, Ownership>,
    /// Since when this process knows no live owner of a shard.
    unowned_since: BTreeMap<ShardId, Instant>,
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
        if !known.is_some_and(|k| k.is_later_than(&owner)) {
            self.owners.insert(shard, owner);
        }
    }

    /// Returns the published owner of a shard, live or not.
    pub fn owner(&self, shard: ShardId) -> Option<&Ownership> {
        self.owners.get(&shard)
    }

    /// Returns whether a shard has a published owner, live or not, that has not released it.
    pub(crate) fn has_unreleased(&self, shard: ShardId) -> bool {
        self.owners.get(&shard).is_some_and(|o| !o.released)
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

    /// Returns whether a shard has an owner that is a live member and has not released it.
    pub(crate) fn has_live_owner(&self, shard: ShardId) -> bool {
        let owner = self.owners.get(&shard);
        owner.is_some_and(|o| !o.released && self.members.contains_key(&o.member))
    }

    /// Records which of the shards have no live owner at this time.
    pub fn observe_owners(&mut self, now: Instant, shards: &BTreeSet<ShardId>) {
        let unowned = shards.iter().filter(|s| !self.has_live_owner(**s));
        let since = |s: &ShardId| self.unowned_since.get(s).copied().unwrap_or(now);
        self.unowned_since = unowned.map(|s| (*s, since(s))).collect();
    }

    /// Returns how many shards had no live owner at the last [observation](Self::observe_owners).
    pub fn unowned_shards(&self) -> usize {
        self.unowned_since.len()
    }

    /// Returns whether a shard has had no live owner for so long that `me` claims it although another
    /// member should.
    fn is_left_to_others(
        &self,
        now: Instant,
        shard: ShardId,
        me: &Member,
        sizes: &BTreeMap<&Member, u64>,
    ) -> bool {
        let Some(since) = self.unowned_since.get(&shard) else {
            return false;
        };
        let order = |m: &Member| (Reverse(sizes.get(m).copied()), self.rank(shard, m));
        let earlier = self.members.keys().filter(|m| order(m) < order(me));
        let stagger = CLAIM_STAGGER * u32::try_from(earlier.count()).unwrap_or(u32::MAX);
        now.saturating_duration_since(*since) >= MAX_UNOWNED_PERIOD + stagger
    }

    /// Returns the number of shards that each live member owns.
    fn loads(&self, shards: &BTreeSet<ShardId>) -> BTreeMap<&Member, u64> {
        let mut loads: BTreeMap<&Member, u64> = self.members.keys().map(|m| (m, 0)).collect();
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

    /// Returns the smallest memory of a live member that publishes it, in MB.
    pub fn smallest_memory(&self) -> Option<u64> {
        self.members.keys().filter_map(|m| m.memory_mb).min()
    }

    /// Returns the position of a member among equal ones for a shard; the lowest claims it. The memory of
    /// its VM does not count, unless a process of an older build is a member, which takes it for a part
    /// of the name.
    fn rank(&self, shard: ShardId, member: &Member) -> u64 {
        let is_known = self.members.keys().all(|m| m.memory_mb.is_some());
        let name = match is_known {
            true => member.name_with_cpu(),
            false => member.sized_vm(),
        };
        stable_hash(format!("{shard}/{name}").as_bytes())
    }

    /// Returns the processor time of each live member in millicores. All count alike if any member
    /// publishes none, so that processes of an older build choose the same members.
    fn sizes(&self) -> BTreeMap<&Member, u64> {
        let is_known = self.members.keys().all(|m| m.cpu_limit.is_some());
        let size = |m: &Member| m.cpu_limit.filter(|_| is_known).unwrap_or(1);
        self.members.keys().map(|m| (m, size(m).max(1))).collect()
    }

    /// Returns the member that should claim a shard of which `releasing` is the last owner: the one
    /// with the least load for its size, on which the shard counts as [`PEAK_LOAD`]. The member that
    /// released a shard may be about to stop and is chosen last.
    fn best_claimant<'a>(
        &self,
        now: Instant,
        shard: ShardId,
        releasing: Option<&Member>,
        loads: &BTreeMap<&'a Member, u64>,
        sizes: &BTreeMap<&Member, u64>,
    ) -> Option<&'a Member> {
        let smallest = sizes.values().copied().min()?;
        let peak_load = match sizes.values().all(|size| *size == smallest) {
            true => 1,
            false => PEAK_LOAD,
        };
        let load = |member: &Member, owned: u64| {
            let handicap = u64::from(self.is_new_member(now, member)) * NEW_MEMBER_LOAD * peak_load;
            let size = sizes.get(member).copied().unwrap_or(smallest);
            relative_load(owned + peak_load, size) + relative_load(handicap, smallest)
        };
        loads
            .iter()
            .min_by_key(|(m, owned)| {
                (
                    releasing == Some(**m),
                    load(m, **owned),
                    self.rank(shard, m),
                )
            })
            .map(|(&member, _)| member)
    }

    /// Returns the shards without a live owner that `me` should claim. New members count as owning
    /// more shards than they do.
    pub fn shards_to_claim(
        &self,
        now: Instant,
        me: &Member,
        shards: &BTreeSet<ShardId>,
    ) -> Vec<ShardId> {
        let sizes = self.sizes();
        let mut loads = self.loads(shards);
        let mut to_claim = Vec::new();
        for &shard in shards.iter().filter(|s| !self.has_live_owner(**s)) {
            let release = self.owners.get(&shard).filter(|o| o.released);
            let releasing = release.map(|o| &o.member);
            let Some(best) = self.best_claimant(now, shard, releasing, &loads, &sizes) else {
                break;
            };
            if let Some(load) = loads.get_mut(best) {
                *load += 1;
            }
            if best == me || self.is_left_to_others(now, shard, me, &sizes) {
                to_claim.push(shard);
            }
        }
        to_claim
    }

    /// Returns a shard that `me` should release because the member that would claim it has less load
    /// for its size; `None` while the shards are balanced or any shard has no live owner.
    pub fn shard_to_release(
        &self,
        now: Instant,
        me: &Member,
        shards: &BTreeSet<ShardId>,
    ) -> Option<ShardId> {
        if shards.iter().any(|s| !self.has_live_owner(*s)) {
            return None;
        }
        let (loads, sizes) = (self.loads(shards), self.sizes());
        let load = |member: &Member| -> Option<(u64, u64)> {
            Some((*loads.get(member)?, *sizes.get(member)?))
        };
        let release = |member: &&Member| -> Option<ShardId> {
            let owned = |s: &&ShardId| self.owners.get(s).is_some_and(|o| o.member == **member);
            let shard = shards.iter().rfind(owned).copied()?;
            // The releasing member still counts with this shard, but is chosen last.
            let target = self.best_claimant(now, shard, Some(*member), &loads, &sizes)?;
            gains_by_move(load(member)?, load(target)?).then_some(shard)
        };
        // Only one of several overloaded members releases a shard at a time.
        let relative = |m: &Member| load(m).map(|(owned, size)| relative_load(owned, size));
        let (most_loaded, shard) = loads
            .keys()
            .filter_map(|m| Some((*m, release(m)?)))
            .min_by_key(|(m, _)| (Reverse(relative(m)), *m))?;
        (most_loaded == me).then_some(shard)
    }
}

/// Returns the load of `owned` shards on a VM with `size` millicores.
fn relative_load(owned: u64, size: u64) -> u64 {
    owned.saturating_mul(LOAD_UNIT) / size.max(1)
}

/// Returns whether a shard should move between members, each given by its shards and its size in
/// millicores.
fn gains_by_move((owned, size): (u64, u64), (target_owned, target_size): (u64, u64)) -> bool {
    if size == target_size {
        return owned >= target_owned + MIN_IMBALANCE;
    }
    let with_shard = relative_load(target_owned + 1, target_size);
    relative_load(owned, size) >= with_shard.saturating_mul(MIN_GAIN)
}
