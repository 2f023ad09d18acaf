//! Tests of how a process stays a member of the store's group.

use std::time::Duration;

use crate::memory_store::MemoryStore;

/// Guards against an owner that loses its shards because the store responds late, although its calls
/// reach the store.
#[tokio::test(start_paused = true)]
async fn slow_responses_delay_no_renewal() {
    let store = MemoryStore::new();
    let _node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    store.state().join_time = Duration::from_millis(1_300);
    store.state().members_time = Duration::from_secs(3);
    store.state().generation += 1;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let joins = store.state().joins.clone();
    let longest = joins.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest < Some(Duration::from_millis(600)), "{longest:?}");
}

/// Guards against renewals without end to a store that does not respond.
#[tokio::test(start_paused = true)]
async fn few_renewals_are_pending() {
    let store = MemoryStore::new();
    store.state().join_time = Duration::from_secs(100);
    let _node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(50)).await;
    assert!(store.state().joins.len() <= 5, "{:?}", store.state().joins);
}

/// Guards against a process that is a member again after it left, so that shards wait for it.
#[tokio::test(start_paused = true)]
async fn a_stopped_process_is_no_member() {
    let store = MemoryStore::new();
    let node = store.start_node("vm-1").await;
    store.state().join_time = Duration::from_millis(450);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(store.state().members.len(), 1);
    node.release_shards(Duration::from_secs(3)).await;
    assert!(store.state().members.is_empty());
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(store.state().members.is_empty());
}

/// Guards against shards that stay with a process whose calls reach the store but which gets no
/// responses, so that its owners are suspended and no other member claims their shards.
#[tokio::test(start_paused = true)]
async fn a_process_without_responses_loses_its_membership() {
    let store = MemoryStore::new();
    let _node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    store.state().responses_lost = true;
    tokio::time::sleep(Duration::from_secs(6)).await;
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut state = store.state();
        state.expire();
        assert!(state.members.is_empty());
    }
    store.state().responses_lost = false;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(store.state().members.len(), 1);
}

/// Guards against a process that is a member again after it left, because a renewal took longer than
/// it waits for its last ones, so that shards wait for it.
#[tokio::test(start_paused = true)]
async fn a_late_renewal_makes_a_stopped_process_no_member() {
    let store = MemoryStore::new();
    let node = store.start_node("vm-1").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    store.state().join_time = Duration::from_millis(2_400);
    tokio::time::sleep(Duration::from_secs(3)).await;
    node.release_shards(Duration::from_secs(5)).await;
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    assert!(store.state().members.is_empty());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(store.state().members.is_empty());
}
