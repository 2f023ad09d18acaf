//! Tests of who claims which shard.

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

/// Guards against a member name that can't be read back by other processes.
#[test]
fn a_member_survives_the_way_there_and_back() {
    let me = member("edge-a-1", 17);
    assert_eq!(me.to_string().parse(), Ok(me));
    for text in ["", "vm", "vm/1", "vm/x/10.0.0.1:1", "/1/10.0.0.1:1"] {
        assert!(text.parse::<Member>().is_err(), "{text}");
    }
}

/// Guards against shards that nobody or several processes claim, and against an uneven spread.
#[test]
fn every_shard_is_claimed_by_one_member_and_evenly() {
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

/// Guards against a process that waits for the silence of its own earlier run.
#[test]
fn a_restarted_process_replaces_its_earlier_run() {
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

/// Guards against an announcement that arrives late and hides the present owner.
#[test]
fn an_older_announcement_changes_nothing() {
    let (a, b) = (member("vm-a", 1), member("vm-b", 1));
    let mut cluster = ClusterState::default();
    cluster.update_owner(ShardId(0), owned(&b, 9));
    cluster.update_owner(ShardId(0), owned(&a, 5));
    assert_eq!(cluster.owner(ShardId(0)).map(|o| &o.member), Some(&b));
}

/// Guards against shards that move to and fro between members with nearly equal loads.
#[test]
fn only_a_clear_imbalance_moves_a_shard() {
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

/// Guards against a process that takes itself, a later run or another VM for its own earlier run,
/// and removes a live member.
#[test]
fn only_an_earlier_run_on_the_same_vm_is_replaced() {
    let me = member("vm-1", 2);
    assert!(member("vm-1", 1).is_superseded_by(&me));
    for other in [member("vm-1", 2), member("vm-1", 3), member("vm-2", 1)] {
        assert!(!other.is_superseded_by(&me), "{other}");
    }
}

/// Guards against a shard that waits for the member that gave it up and is about to stop, and
/// against one that nobody claims when there is no other.
#[test]
fn a_shard_that_was_given_up_goes_to_another_member() {
    let (a, b) = (member("vm-a", 1), member("vm-b", 1));
    let now = Instant::now();
    let mut cluster = ClusterState::default();
    cluster.set_members(now, [a.clone(), b.clone()]);
    for shard in 1..4 {
        cluster.update_owner(ShardId(shard), owned(&b, 1));
    }
    let mut left = owned(&a, 1);
    left.released = true;
    cluster.update_owner(ShardId(0), left);
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
/// against members that start together and all leave the shards to each other, and against one
/// member that claims the shards of all that have started again.
#[test]
fn a_member_that_has_just_started_comes_later() {
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
    let of_many = cluster.shards_to_claim(later, &b, &shards(6)).len();
    assert!((2..=3).contains(&of_many), "{of_many} of 6");
    let settled = later + Duration::from_secs(2);
    assert_eq!(cluster.shards_to_claim(settled, &b, &shards(6)).len(), 3);
    let together = [member("vm-c", 1_000), member("vm-d", 1_200)];
    let mut cluster = ClusterState::default();
    cluster.set_members(now, together.clone());
    let claimed = together
        .iter()
        .map(|m| cluster.shards_to_claim(now, m, &shards(2)).len());
    assert_eq!(claimed.collect::<Vec<_>>(), [1, 1]);
}
