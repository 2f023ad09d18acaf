//! Tests of when a process claims a shard that has an owner.

use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_node::Member;
use lavenderhollow_node::Node;
use lavenderhollow_node::Ownership;
use lavenderhollow_node::ShardId;
use lavenderhollow_node::backend::Topic;
use tokio::time::Instant;

use crate::memory_store::MemoryStore;

const FLEET: Topic = Topic::Shard(ShardId::FLEET);

/// A time to live that no test reaches.
pub(crate) const LONG: Duration = Duration::from_secs(1_000);

pub(crate) fn member(vm: &str, cpu_limit: u64) -> Member {
    Member {
        vm: vm.into(),
        started_ms: 1,
        address: "127.0.0.1:9".into(),
        cpu_limit: Some(cpu_limit),
        memory_mb: None,
    }
}

pub(crate) fn publish(store: &MemoryStore, shard: ShardId, owner: &Member, fencing_token: u64) {
    let mut state = store.state();
    state.put(Topic::Shard(shard), "owner", owner.to_string().as_bytes());
    drop(state);
    publish_ownership(store, shard, owner, fencing_token, false);
}

fn publish_ownership(
    store: &MemoryStore,
    shard: ShardId,
    owner: &Member,
    fencing_token: u64,
    released: bool,
) {
    let ownership = Ownership {
        member: owner.clone(),
        fencing_token,
        released,
    };
    let value = postcard::to_allocvec(&ownership).expect("a valid owner");
    store.state().put(Topic::Owners, &shard.to_string(), &value);
}

fn remove(store: &MemoryStore, member: &Member) {
    let mut state = store.state();
    state.members.remove(&member.to_string());
    state.generation += 1;
}

fn claimants(store: &MemoryStore) -> Vec<String> {
    store.state().values(FLEET, "owner")
}

/// Returns the records of the owners' topic.
fn owners(store: &MemoryStore) -> Vec<Ownership> {
    let state = store.state();
    let records = state.topics.get(&Topic::Owners).into_iter().flatten();
    let values = records.filter_map(|r| r.value.as_deref());
    let decoded = values.map(|v| postcard::from_bytes(v).expect("a valid owner"));
    decoded.collect()
}

/// Starts a node beside an owner of the fleet shard that is a live member.
async fn start_beside(store: &Arc<MemoryStore>, owner: &Member) -> Node {
    store.state().join(&owner.to_string(), LONG);
    publish(store, ShardId::FLEET, owner, 1);
    let node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(claimants(store), [owner.to_string()]);
    node
}

/// Guards against a claim from an owner that has renewed its membership since the claimant read the
/// members.
#[tokio::test(start_paused = true)]
async fn a_shard_is_not_claimed_from_an_owner_that_is_back() {
    let store = MemoryStore::new();
    let owner = member("vm-2", 120);
    let _node = start_beside(&store, &owner).await;
    for _ in 0..20 {
        let lists = store.state().member_lists;
        remove(&store, &owner);
        while store.state().member_lists == lists {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        store.state().join(&owner.to_string(), LONG);
        tokio::time::sleep(Duration::from_millis(2_030)).await;
    }
    assert_eq!(claimants(&store), [owner.to_string()]);
    remove(&store, &owner);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(claimants(&store).len(), 2);
}

/// Guards against a claim from a new owner that the claimant has not heard of.
#[tokio::test(start_paused = true)]
async fn a_shard_is_not_claimed_from_an_owner_published_since() {
    let store = MemoryStore::new();
    let (first, second) = (member("vm-2", 120), member("vm-3", 60));
    store.state().join(&second.to_string(), LONG);
    let _node = start_beside(&store, &first).await;
    store.state().owners_hang = true;
    tokio::time::sleep(Duration::from_secs(2)).await;
    publish(&store, ShardId::FLEET, &second, 2);
    remove(&store, &first);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(claimants(&store), [first, second].map(|m| m.to_string()));
}

/// Guards against claims in quick succession from an owner that is no member but still works, one
/// of which meets a moment without an append.
#[tokio::test(start_paused = true)]
async fn an_owner_that_appends_is_left_alone_for_a_while() {
    let store = MemoryStore::new();
    let owner = member("vm-2", 120);
    let _node = start_beside(&store, &owner).await;
    store.state().rival_appends = true;
    remove(&store, &owner);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mismatches = store.state().mismatches;
    assert!((1..=5).contains(&mismatches), "{mismatches}");
    store.state().rival_appends = false;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(claimants(&store).len(), 2);
}

/// Guards against a shard without an owner for good, because its last owner has stopped and is still
/// published, while the process that claimed it since has published nothing.
#[tokio::test(start_paused = true)]
async fn a_shard_whose_owner_stopped_by_itself_is_claimed() {
    let store = MemoryStore::new();
    store.state().put(Topic::Operator, "config", b"pool-1");
    for shard in [ShardId::of_pool("pool-1"), ShardId::FLEET] {
        let topic = Topic::Shard(shard);
        let _node = store.start_node("vm-1").await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let claims = store.state().values(topic, "owner").len();
        let successor = member("vm-2", 120).to_string();
        store.state().put(topic, "owner", successor.as_bytes());
        tokio::time::sleep(Duration::from_secs(5)).await;
        let after = store.state().values(topic, "owner").len();
        assert_eq!(after, claims + 2, "{shard}");
    }
}

/// Guards against a release of a shard that is replaced by a late record of its owner, so that
/// processes that start then wait for this owner.
#[tokio::test(start_paused = true)]
async fn an_owner_published_late_does_not_replace_its_release() {
    let store = MemoryStore::new();
    let _node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let published = owners(&store);
    // The other member should claim the shard, and leaves it to this process for some seconds.
    let other = member("vm-2", 120);
    store.state().join(&other.to_string(), LONG);
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.state().put(FLEET, "owner", b"unknown");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(owners(&store).last().is_some_and(|o| o.released));
    let late = published.last().expect("a published owner");
    publish_ownership(
        &store,
        ShardId::FLEET,
        &late.member,
        late.fencing_token,
        false,
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(owners(&store).last().is_some_and(|o| o.released));
}

/// Guards against an owner that other processes don't know, because the one call that publishes it
/// was rejected.
#[tokio::test(start_paused = true)]
async fn an_owner_is_published_after_a_rejected_call() {
    let store = MemoryStore::new();
    store.state().owner_appends_fail = true;
    let _node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(claimants(&store).len(), 1);
    assert_eq!(owners(&store), []);
    store.state().owner_appends_fail = false;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(owners(&store).len(), 1);
    assert_eq!(claimants(&store).len(), 1);
}

/// Guards against an owner that goes on with requests of callers after another member has claimed
/// its shard, and against one that claims it back.
#[tokio::test(start_paused = true)]
async fn an_owner_that_sees_a_newer_claim_stops_at_once() {
    let store = MemoryStore::new();
    store.state().put(Topic::Operator, "config", b"pool-1");
    let shard = ShardId::of_pool("pool-1");
    let _node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let successor = member("vm-2", 120);
    store.state().join(&successor.to_string(), LONG);
    let token = store.state().topics[&Topic::Shard(shard)].len() as u64 + 1;
    publish(&store, shard, &successor, token);
    tokio::time::sleep(Duration::from_millis(100)).await;
    // The owner ends with a record that the shard was released, which is too late here.
    assert_eq!(store.state().mismatches, 1);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(store.state().mismatches, 1);
    let claims = store.state().values(Topic::Shard(shard), "owner");
    assert_eq!(claims.len(), 2, "{claims:?}");
}

/// Guards against a shard that waits for one slow call of the store after another before it is
/// claimed.
#[tokio::test(start_paused = true)]
async fn a_slow_store_delays_a_claim_by_few_calls() {
    let store = MemoryStore::new();
    let owner = member("vm-2", 120);
    let _node = start_beside(&store, &owner).await;
    store.state().call_time = Duration::from_millis(600);
    store.state().members_time = Duration::from_millis(600);
    remove(&store, &owner);
    let removed = Instant::now();
    while claimants(&store).len() == 1 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // A renewal, a list of the members, and the reads before the claim.
    let taken = removed.elapsed();
    assert!(taken < Duration::from_millis(2_000), "{taken:?}");
}

/// Guards against an earlier owner that is published after a later one, so that processes that start
/// then count its shards differently from the others and each leaves a shard to another.
#[tokio::test(start_paused = true)]
async fn an_owner_published_late_does_not_replace_a_later_one() {
    let store = MemoryStore::new();
    let _node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let published = owners(&store);
    let late = Ownership {
        member: member("vm-2", 120),
        fencing_token: 0,
        released: false,
    };
    let value = postcard::to_allocvec(&late).expect("a valid owner");
    let key = ShardId::FLEET.to_string();
    store.state().put(Topic::Owners, &key, &value);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(owners(&store).len(), 3);
    assert_eq!(owners(&store).last(), published.last());
}

/// Guards against processes that claim each other's shards after an outage of the store in which all
/// memberships have expired, because some renew theirs sooner than others.
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_store_changes_no_owner() {
    let store = MemoryStore::new();
    let _first = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_millis(4_200)).await;
    let _second = store.start_node("vm-2").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(claimants(&store).len(), 1);
    for i in 0..10 {
        store.state().outage = true;
        tokio::time::sleep(Duration::from_millis(3_000 + i * 40)).await;
        store.state().outage = false;
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
    assert_eq!(claimants(&store).len(), 1, "{:?}", claimants(&store));
}

/// Guards against a shard that stays without an owner after an outage of the store in which its owner
/// has ended.
#[tokio::test(start_paused = true)]
async fn a_shard_of_an_owner_that_ended_in_an_outage_is_claimed() {
    let store = MemoryStore::new();
    let owner = member("vm-2", 120);
    let _node = start_beside(&store, &owner).await;
    store.state().outage = true;
    remove(&store, &owner);
    tokio::time::sleep(Duration::from_secs(5)).await;
    store.state().outage = false;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(claimants(&store).len(), 2);
}

/// Guards against a released shard that waits for a process that has just become a member again.
#[tokio::test(start_paused = true)]
async fn a_shard_released_after_an_outage_is_claimed_at_once() {
    let store = MemoryStore::new();
    let owner = member("vm-2", 120);
    let _node = start_beside(&store, &owner).await;
    store.state().outage = true;
    tokio::time::sleep(Duration::from_secs(3)).await;
    publish_ownership(&store, ShardId::FLEET, &owner, 1, true);
    remove(&store, &owner);
    store.state().outage = false;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(claimants(&store).len(), 2);
}

/// Guards against shards of an owner that wait for each other's reads of the members while the store
/// is slow.
#[tokio::test(start_paused = true)]
async fn several_claims_share_a_read_of_the_members() {
    let store = MemoryStore::new();
    let pools = ["pool-1", "pool-2", "pool-3", "pool-4"];
    store
        .state()
        .put(Topic::Operator, "config", pools.join(" ").as_bytes());
    let owner = member("vm-2", 120);
    let mut shards: Vec<ShardId> = pools.iter().map(|p| ShardId::of_pool(p)).collect();
    shards.push(ShardId::FLEET);
    for &shard in &shards[..4] {
        publish(&store, shard, &owner, 1);
    }
    let _node = start_beside(&store, &owner).await;
    store.state().call_time = Duration::from_millis(600);
    store.state().members_time = Duration::from_millis(600);
    remove(&store, &owner);
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let claimed = shards.iter().filter(|&&shard| {
        let claims = store.state().values(Topic::Shard(shard), "owner");
        claims.len() == 2
    });
    assert_eq!(claimed.count(), shards.len());
}
