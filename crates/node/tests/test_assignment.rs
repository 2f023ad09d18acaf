//! Tests of which member claims or releases which shard.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::ClusterState;
use lavenderhollow_node::Member;
use lavenderhollow_node::Ownership;
use lavenderhollow_node::ShardId;
use lavenderhollow_shard::Name;

fn member(vm: &str, started_ms: u64) -> Member {
    Member {
        vm: vm.into(),
        started_ms,
        address: format!("10.0.0.1:{started_ms}").into(),
        cpu_limit: None,
        memory_mb: None,
    }
}

fn sized(vm: &str, started_ms: u64, cpu_limit: u64) -> Member {
    Member {
        cpu_limit: Some(cpu_limit),
        ..member(vm, started_ms)
    }
}

/// Lets the members claim what they should until nothing is left, and returns the owners.
fn claim_all(cluster: &mut ClusterState, members: &[Member], count: u16) -> Vec<Name> {
    let now = Instant::now();
    cluster.set_members(now, members.to_vec());
    let claims: Vec<(ShardId, &Member)> = members
        .iter()
        .flat_map(|m| {
            cluster
                .shards_to_claim(now, m, &shards(count))
                .into_iter()
                .map(move |s| (s, m))
        })
        .collect();
    assert_eq!(claims.len(), usize::from(count), "{claims:?}");
    for &(shard, owner) in &claims {
        cluster.update_owner(shard, owned(owner, 1));
    }
    claims.iter().map(|(_, m)| Arc::clone(&m.vm)).collect()
}

/// Moves shards one at a time as the members do, and returns how many moved.
fn rebalance(cluster: &mut ClusterState, members: &[Member], count: u16) -> usize {
    let now = Instant::now();
    for moves in 0..100 {
        let releases: Vec<(ShardId, &Member)> = members
            .iter()
            .filter_map(|m| Some((cluster.shard_to_release(now, m, &shards(count))?, m)))
            .collect();
        let [(shard, from)] = releases[..] else {
            assert_eq!(releases, []);
            return moves;
        };
        let token = cluster.owner(shard).map_or(0, |o| o.fencing_token);
        let mut release = owned(from, token);
        release.released = true;
        cluster.update_owner(shard, release);
        let claimants: Vec<&Member> = members
            .iter()
            .filter(|m| cluster.shards_to_claim(now, m, &shards(count)) == [shard])
            .collect();
        assert_eq!(claimants.len(), 1, "{claimants:?}");
        assert_ne!(claimants[0], from);
        cluster.update_owner(shard, owned(claimants[0], token + 1));
    }
    unreachable!("the shards move without end: {cluster:?}")
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
    assert!(
        cluster
            .shard_to_release(Instant::now(), &a, &shards(3))
            .is_some()
    );
    cluster.update_owner(ShardId(2), owned(&b, 2));
    assert_eq!(
        cluster.shard_to_release(Instant::now(), &a, &shards(3)),
        None
    );
    assert_eq!(
        cluster.shard_to_release(Instant::now(), &b, &shards(3)),
        None
    );
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

/// Guards against a shard without an owner that no metric shows.
#[test]
fn shards_without_a_live_owner_are_counted() {
    let (a, b) = (member("vm-a", 1), member("vm-b", 1));
    let now = Instant::now();
    let mut cluster = ClusterState::default();
    cluster.set_members(now, [a.clone()]);
    cluster.update_owner(ShardId(0), owned(&a, 1));
    cluster.update_owner(ShardId(1), owned(&b, 1));
    cluster.observe_owners(now, &shards(3));
    assert_eq!(cluster.unowned_shards(), 2);
    let mut release = owned(&a, 1);
    release.released = true;
    cluster.update_owner(ShardId(0), release);
    cluster.set_members(now, [a, b]);
    cluster.observe_owners(now, &shards(3));
    assert_eq!(cluster.unowned_shards(), 2);
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

/// Guards against shards on small VMs while larger ones own nothing.
#[test]
fn larger_vms_claim_shards_before_smaller_ones() {
    let mut members: Vec<Member> = (0..5)
        .map(|i| sized(&format!("small-{i}"), 1, 120))
        .collect();
    members.extend((0..2).map(|i| sized(&format!("large-{i}"), 1, 500)));
    let owners = claim_all(&mut ClusterState::default(), &members, 6);
    assert!(
        owners.iter().all(|vm| vm.starts_with("large")),
        "{owners:?}"
    );
    assert_eq!(owners.iter().filter(|vm| &***vm == "large-0").count(), 3);
    let owners = claim_all(&mut ClusterState::default(), &members, 20);
    let count = |name: &str| owners.iter().filter(|vm| vm.starts_with(name)).count();
    assert!((5..=8).contains(&count("small")), "{owners:?}");
}

/// Guards against a queue at its peak whose owner is a VM that can't keep up with it, because the larger
/// VM that is left owns the other shards.
#[test]
fn the_last_large_vm_claims_the_shards_of_the_others_before_small_vms() {
    let large: Vec<Member> = (0..3)
        .map(|i| sized(&format!("large-{i}"), 1, 500))
        .collect();
    let mut members: Vec<Member> = (0..36)
        .map(|i| sized(&format!("small-{i}"), 1, 120))
        .collect();
    members.extend(large.clone());
    let mut cluster = ClusterState::default();
    claim_all(&mut cluster, &members, 6);
    members.retain(|m| !large[..2].contains(m));
    let now = Instant::now();
    cluster.set_members(now, members);
    let claims = cluster.shards_to_claim(now, &large[2], &shards(6));
    assert_eq!(claims.len(), 4, "{claims:?}");
}

/// Guards against members of two builds that choose different owners, so that nobody claims.
#[test]
fn all_vms_count_alike_while_an_older_build_runs() {
    let mut members: Vec<Member> = (0..4).map(|i| sized(&format!("vm-{i}"), 1, 120)).collect();
    members.push(sized("vm-large", 1, 500));
    members.push(member("vm-old", 1));
    // An older build takes the processor time for a part of the name.
    let as_seen_before = |m: &Member| {
        let (vm, rest) = m
            .to_string()
            .split_once('/')
            .map(|(a, b)| (a.to_owned(), b.to_owned()))?;
        Some(Member {
            vm: vm.into(),
            cpu_limit: None,
            memory_mb: None,
            ..format!("x/{rest}").parse().ok()?
        })
    };
    let before: Vec<Member> = members.iter().filter_map(as_seen_before).collect();
    assert_eq!(before.len(), members.len());
    let mut new = ClusterState::default();
    let mut old = ClusterState::default();
    let now = Instant::now();
    new.set_members(now, members.clone());
    old.set_members(now, before.clone());
    for (m, b) in members.iter().zip(&before) {
        assert_eq!(
            new.shards_to_claim(now, m, &shards(12)),
            old.shards_to_claim(now, b, &shards(12))
        );
        assert_eq!(new.shards_to_claim(now, m, &shards(12)).len(), 2);
    }
}

/// Guards against a member that processes of an older build can't parse or find as an owner.
#[test]
fn an_older_build_reads_the_members_and_owners_of_this_one() {
    #[derive(Debug, PartialEq, serde::Deserialize, serde::Serialize)]
    struct OldMember(Name, u64, Name);
    let me = sized("edge-a-1", 17, 120);
    let text = me.to_string();
    assert_eq!(text, "edge-a-1#120/17/10.0.0.1:17");
    assert_eq!(text.parse(), Ok(me.clone()));
    let old = OldMember("edge-a-1#120".into(), 17, "10.0.0.1:17".into());
    let record = postcard::to_allocvec(&owned(&me, 5)).expect("a valid owner");
    let read: (OldMember, u64, bool) = postcard::from_bytes(&record).expect("the old form");
    assert_eq!(read, (old, 5, false));
    assert_eq!(postcard::from_bytes(&record), Ok(owned(&me, 5)));
    let record = postcard::to_allocvec(&owned(&member("edge-a-1", 17), 5)).expect("a valid owner");
    assert_eq!(
        postcard::from_bytes(&record),
        Ok(owned(&member("edge-a-1", 17), 5))
    );
}

/// Guards against names of VMs that are taken for a processor time.
#[test]
fn only_a_number_after_the_name_is_a_processor_time() {
    for vm in ["a#", "a#b", "a#0", "#120", "a#-1"] {
        let parsed: Member = format!("{vm}/1/10.0.0.1:1").parse().expect("a member");
        assert_eq!((&*parsed.vm, parsed.cpu_limit), (vm, None));
    }
    let odd = sized("a#5", 1, 120);
    assert_eq!(odd.to_string().parse(), Ok(odd));
}

/// Guards against the memory of a VM that is lost on the way or taken for a part of its name.
#[test]
fn members_publish_the_memory_of_their_vms() {
    let with_memory = |vm: &str, memory_mb| Member {
        memory_mb,
        ..sized(vm, 1, 120)
    };
    let me = with_memory("edge-a-1", Some(160));
    assert_eq!(me.to_string(), "edge-a-1%160#120/1/10.0.0.1:1");
    for member in [me, with_memory("edge%a", Some(160)), with_memory("%", None)] {
        assert_eq!(member.to_string().parse(), Ok(member.clone()));
        let record = postcard::to_allocvec(&owned(&member, 5)).expect("a valid owner");
        assert_eq!(postcard::from_bytes(&record), Ok(owned(&member, 5)));
    }
    let mut cluster = ClusterState::default();
    assert_eq!(cluster.smallest_memory(), None);
    let members = [("a", Some(512)), ("b", Some(160)), ("c", None)];
    let members = members.map(|(vm, memory)| with_memory(vm, memory));
    cluster.set_members(Instant::now(), members);
    assert_eq!(cluster.smallest_memory(), Some(160));
}

/// Guards against members of two builds that choose different owners, and against shards that move because
/// members publish the memory of their VMs.
#[test]
fn the_memory_of_vms_does_not_change_who_claims() {
    let now = Instant::now();
    let claims = |members: &[Member]| {
        let mut cluster = ClusterState::default();
        cluster.set_members(now, members.to_vec());
        let claims = members
            .iter()
            .map(|m| cluster.shards_to_claim(now, m, &shards(12)));
        claims.collect::<Vec<_>>()
    };
    let plain: Vec<Member> = (0..4).map(|i| sized(&format!("vm-{i}"), 1, 120)).collect();
    let with_memory = |m: &Member| Member {
        memory_mb: Some(160),
        ..m.clone()
    };
    let published: Vec<Member> = plain.iter().map(with_memory).collect();
    assert_eq!(claims(&published), claims(&plain));
    // An older build takes the memory for a part of the name.
    let as_seen_before = |m: &Member| Member {
        vm: format!("{}%160", m.vm).into(),
        ..m.clone()
    };
    let mut mixed = published;
    mixed.push(sized("vm-old", 1, 120));
    let mut before: Vec<Member> = plain.iter().map(as_seen_before).collect();
    before.push(sized("vm-old", 1, 120));
    assert_eq!(claims(&mixed), claims(&before));
}

/// Guards against a process that waits for its predecessor of an older build or another size.
#[test]
fn a_process_of_another_build_or_size_supersedes_its_predecessor() {
    for old in [member("vm-1", 1), sized("vm-1", 1, 120)] {
        let new = sized("vm-1", 2, 500);
        assert!(old.is_superseded_by(&new));
        let mut cluster = ClusterState::default();
        cluster.set_members(Instant::now(), [old.clone(), new.clone()]);
        assert_eq!(cluster.members().collect::<Vec<_>>(), [&new]);
        cluster.update_owner(ShardId(0), owned(&old, 5));
        let claims = cluster.shards_to_claim(Instant::now(), &new, &shards(1));
        assert_eq!(claims, [ShardId(0)]);
    }
}

/// Guards against a busy pool that stays on a small VM after a larger one has come back, and against
/// shards that move on without end.
#[test]
fn shards_move_to_larger_vms_and_stay_there() {
    let small: Vec<Member> = (0..5)
        .map(|i| sized(&format!("small-{i}"), 1, 120))
        .collect();
    let mut cluster = ClusterState::default();
    claim_all(&mut cluster, &small, 5);
    let mut members = small;
    members.extend((0..2).map(|i| sized(&format!("large-{i}"), 1, 500)));
    cluster.set_members(Instant::now(), members.clone());
    assert_eq!(rebalance(&mut cluster, &members, 5), 4);
    let on_large = cluster
        .owners()
        .filter(|(_, o)| o.member.vm.starts_with("large"));
    assert_eq!(on_large.count(), 4);
}

/// Guards against a change of owner that gains little.
#[test]
fn a_shard_does_not_move_to_a_slightly_larger_vm() {
    let members = [sized("a", 1, 250), sized("b", 1, 300)];
    let mut cluster = ClusterState::default();
    claim_all(&mut cluster, &members[..1], 1);
    cluster.set_members(Instant::now(), members.clone());
    assert_eq!(rebalance(&mut cluster, &members, 1), 0);
}

/// Guards against shards that wait for a large VM that has just started and claims nothing yet.
#[test]
fn a_new_large_vm_does_not_keep_idle_members_from_claiming() {
    let (small, large) = (sized("small", 1_000, 120), sized("large", 60_000, 500));
    let now = Instant::now();
    let mut cluster = ClusterState::default();
    cluster.set_members(now, [small.clone()]);
    let later = now + Duration::from_secs(59);
    cluster.set_members(later, [small.clone(), large.clone()]);
    assert_eq!(cluster.shards_to_claim(later, &large, &shards(1)), []);
    assert_eq!(
        cluster.shards_to_claim(later, &small, &shards(1)),
        [ShardId(0)]
    );
}

/// Guards against a shard that stays without an owner because each member leaves it to another.
#[test]
fn a_shard_that_the_best_member_does_not_claim_is_claimed_by_another() {
    let members = [sized("a", 1, 120), sized("b", 1, 120), sized("c", 1, 500)];
    let start = Instant::now();
    let mut cluster = ClusterState::default();
    cluster.set_members(start, members.clone());
    let claimants = |cluster: &mut ClusterState, ms| {
        let now = start + Duration::from_millis(ms);
        cluster.observe_owners(now, &shards(1));
        let claims = |m: &&Member| !cluster.shards_to_claim(now, m, &shards(1)).is_empty();
        members.iter().filter(claims).count()
    };
    assert_eq!(claimants(&mut cluster, 0), 1);
    assert_eq!(claimants(&mut cluster, 3_900), 1);
    assert_eq!(claimants(&mut cluster, 4_500), 2);
    assert_eq!(claimants(&mut cluster, 5_000), 3);
    cluster.update_owner(ShardId(0), owned(&members[0], 1));
    assert_eq!(claimants(&mut cluster, 5_100), 0);
}
