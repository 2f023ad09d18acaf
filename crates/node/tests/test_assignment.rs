//! Tests of which member claims or releases which shard.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::ClusterState;
use lavenderhollow_node::Member;
use lavenderhollow_node::Ownership;
use lavenderhollow_node::ShardId;

fn member(vm: &str, started_ms: u64) -> Member {
    Member {
        vm: vm.into(),
        started_ms,
        address: format!("10.0.0.1:{started_ms}").into(),
    }
}

fn owned(member: &Member, fencing_token: u64) -> Ownership {
    Ownership {
        member: member.clone(),
        fencing_token,
        released: false,
    }
}

fn shards(count: u16) -> BTreeSet<ShardId> {
    (0..count).map(ShardId).collect()
}

/// Guards against a member name that other processes can't parse.
#[test]
fn a_member_name_parses_back() {
    let me = member("edge-a-1", 17);
    assert_eq!(me.to_string().parse(), Ok(me));
    for text in ["", "vm", "vm/1", "vm/x/10.0.0.1:1", "/1/10.0.0.1:1"] {
        assert!(text.parse::<Member>().is_err(), "{text}");
    }
}

/// Guards against shards that no process or several processes claim, and against an uneven load.
#[test]
fn every_shard_is_claimed_by_one_member_and_load_is_even() {
    let members: Vec<Member> = (0..4).map(|i| member(&format!("vm-{i}"), 1)).collect();
    let mut cluster = ClusterState::default();
    cluster.set_members(Instant::now(), members.clone());
    let claims: Vec<Vec<ShardId>> = members
        .iter()
        .map(|m| cluster.shards_to_claim(Instant::now(), m, &shards(8)))
        .collect();
    assert!(claims.iter().all(|c| c.len() == 2), "{claims:?}");
    let all: BTreeSet<ShardId> = claims.into_iter().flatten().collect();
    assert_eq!(all, shards(8));
}

/// Guards against a restarted process that waits until the membership of its predecessor expires.
#[test]
fn a_restarted_process_claims_the_shards_of_its_predecessor() {
    let (old, new) = (member("vm-1", 1), member("vm-1", 2));
    let mut cluster = ClusterState::default();
    cluster.set_members(Instant::now(), [old.clone(), new.clone()]);
    cluster.update_owner(ShardId(0), owned(&old, 5));
    assert_eq!(
        cluster.shards_to_claim(Instant::now(), &new, &shards(1)),
        vec![ShardId(0)]
    );
    cluster.update_owner(ShardId(0), owned(&new, 9));
    assert_eq!(
        cluster.shards_to_claim(Instant::now(), &new, &shards(1)),
        vec![]
    );
}

/// Guards against an owner record that arrives late and replaces the current owner.
#[test]
fn an_outdated_owner_is_ignored() {
    let (a, b) = (member("vm-a", 1), member("vm-b", 1));
    let mut cluster = ClusterState::default();
    cluster.update_owner(ShardId(0), owned(&b, 9));
    cluster.update_owner(ShardId(0), owned(&a, 5));
    assert_eq!(cluster.owner(ShardId(0)).map(|o| &o.member), Some(&b));
}

/// Guards against shards that move back and forth between members with nearly equal loads.
#[test]
fn a_small_imbalance_moves_no_shard() {
    let (a, b) = (member("vm-a", 1), member("vm-b", 1));
    let mut cluster = ClusterState::default();
    cluster.set_members(Instant::now(), [a.clone(), b.clone()]);
    for shard in shards(3) {
        cluster.update_owner(shard, owned(&a, 1));
    }
    assert!(cluster.shard_to_release(&a, &shards(3)).is_some());
    cluster.update_owner(ShardId(2), owned(&b, 2));
    assert_eq!(cluster.shard_to_release(&a, &shards(3)), None);
    assert_eq!(cluster.shard_to_release(&b, &shards(3)), None);
}

/// Guards against a process that takes itself, a later process or a process on another VM for its
/// own predecessor and removes a live member.
#[test]
fn only_an_earlier_process_on_the_same_vm_is_superseded() {
    let me = member("vm-1", 2);
    assert!(member("vm-1", 1).is_superseded_by(&me));
    for other in [member("vm-1", 2), member("vm-1", 3), member("vm-2", 1)] {
        assert!(!other.is_superseded_by(&me), "{other}");
    }
}

/// Guards against a shard that waits for the member that released it and is about to stop, and
/// against one that no member claims when the releasing member is the only one.
#[test]
fn a_released_shard_goes_to_another_member() {
    let (a, b) = (member("vm-a", 1), member("vm-b", 1));
    let now = Instant::now();
    let mut cluster = ClusterState::default();
    cluster.set_members(now, [a.clone(), b.clone()]);
    for shard in 1..4 {
        cluster.update_owner(ShardId(shard), owned(&b, 1));
    }
    let mut release = owned(&a, 1);
    release.released = true;
    cluster.update_owner(ShardId(0), release);
    assert_eq!(cluster.shards_to_claim(now, &a, &shards(4)), vec![]);
    assert_eq!(
        cluster.shards_to_claim(now, &b, &shards(4)),
        vec![ShardId(0)]
    );
    cluster.set_members(now, [a.clone()]);
    assert_eq!(
        cluster.shards_to_claim(now, &a, &shards(1)),
        vec![ShardId(0)]
    );
}

/// Guards against a shard that waits for a member that has just started and claims nothing yet,
/// against members that start at the same time and leave the shards to each other, and against one
/// member that claims the shards of all members that restarted.
#[test]
fn a_new_member_claims_fewer_shards() {
    let (a, b) = (member("vm-a", 1_000), member("vm-b", 60_000));
    let now = Instant::now();
    let mut cluster = ClusterState::default();
    cluster.set_members(now, [a.clone()]);
    let later = now + Duration::from_secs(59);
    cluster.set_members(later, [a.clone(), b.clone()]);
    assert_eq!(cluster.shards_to_claim(later, &b, &shards(1)), vec![]);
    assert_eq!(
        cluster.shards_to_claim(later, &a, &shards(1)),
        vec![ShardId(0)]
    );
    let claimed_count = cluster.shards_to_claim(later, &b, &shards(6)).len();
    assert!((2..=3).contains(&claimed_count), "{claimed_count} of 6");
    let settled = later + Duration::from_secs(2);
    assert_eq!(cluster.shards_to_claim(settled, &b, &shards(6)).len(), 3);
    let members = [member("vm-c", 1_000), member("vm-d", 1_200)];
    let mut cluster = ClusterState::default();
    cluster.set_members(now, members.clone());
    let claimed = members
        .iter()
        .map(|m| cluster.shards_to_claim(now, m, &shards(2)).len());
    assert_eq!(claimed.collect::<Vec<_>>(), [1, 1]);
}
