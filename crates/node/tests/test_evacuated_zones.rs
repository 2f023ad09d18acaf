//! Tests of processes that follow operators' requests to evacuate zones.

use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_node::ApiResponse;
use lavenderhollow_node::Node;
use lavenderhollow_node::backend::Topic;

use crate::memory_store::MemoryStore;
use crate::test_owner::START_TIME;
use crate::test_owner::submit;

/// A time in which a process reads a record of the operators' topic.
const READ_TIME: Duration = Duration::from_secs(1);

/// The key of the request to evacuate the zone `z`.
const REQUEST: &str = "evacuate/z";

/// Returns a store with a pool and workers in the given zones.
fn store_with_workers(zones: &[&str]) -> Arc<MemoryStore> {
    let store = MemoryStore::new();
    let mut state = store.state();
    state.put(Topic::Operator, "config", b"queue>pool");
    for (i, zone) in zones.iter().enumerate() {
        let value = format!("pool@{zone}");
        state.put(Topic::Workers, &format!("worker-{i}"), value.as_bytes());
    }
    drop(state);
    store
}

async fn is_rejected(node: &Node, id: u64) -> bool {
    match submit(node, "queue", id).await {
        ApiResponse::Accepted => false,
        ApiResponse::QueueFull { .. } => true,
        other => panic!("{other:?}"),
    }
}

/// Guards against an owner that starts tasks before it knows of requests that were published before its
/// process has started, and against a request that is withdrawn and made again without effect.
#[tokio::test(start_paused = true)]
async fn a_new_process_knows_the_evacuated_zones() {
    let store = store_with_workers(&["z"]);
    store.state().put(Topic::Operator, REQUEST, b"{}");
    let node = store.start_node("vm-1").await;
    tokio::time::sleep(START_TIME).await;
    assert!(is_rejected(&node, 1).await);
    store.state().remove(Topic::Operator, REQUEST);
    store.state().put(Topic::Operator, REQUEST, b"{}");
    tokio::time::sleep(READ_TIME).await;
    assert!(is_rejected(&node, 2).await);
    store.state().remove(Topic::Operator, REQUEST);
    tokio::time::sleep(READ_TIME).await;
    assert!(!is_rejected(&node, 1).await);
    tokio::time::sleep(READ_TIME).await;
    let starts = store.workers.calls().starts.clone();
    assert_eq!(starts.len(), 1, "rejected jobs never run: {starts:?}");
}

/// Guards against an evacuation that ends because the process can't read the operators' topic, and
/// against one that does not end once it can.
#[tokio::test(start_paused = true)]
async fn the_last_known_requests_hold_while_the_topic_is_not_read() {
    let store = store_with_workers(&["z"]);
    let node = store.start_node("vm-1").await;
    tokio::time::sleep(START_TIME).await;
    assert!(!is_rejected(&node, 1).await);
    store.state().put(Topic::Operator, REQUEST, b"{}");
    tokio::time::sleep(READ_TIME).await;
    store.state().operator_reads_fail = true;
    // A read that waits may still return records.
    tokio::time::sleep(READ_TIME).await;
    store.state().remove(Topic::Operator, REQUEST);
    tokio::time::sleep(READ_TIME * 10).await;
    assert!(is_rejected(&node, 2).await);
    store.state().operator_reads_fail = false;
    tokio::time::sleep(READ_TIME).await;
    assert!(!is_rejected(&node, 2).await);
}

/// Guards against a start that is sent to an evacuated zone because it was placed before the request was
/// known and its records were being stored meanwhile.
#[tokio::test(start_paused = true)]
async fn a_start_is_not_sent_after_a_slow_append() {
    let store = store_with_workers(&["y", "z"]);
    let node = store.start_node("vm-1").await;
    tokio::time::sleep(START_TIME).await;
    assert!(!is_rejected(&node, 1).await);
    tokio::time::sleep(READ_TIME).await;
    let placed = store.workers.calls().starts.clone();
    assert_eq!(
        &*placed[0].0, "worker-1",
        "the last of two idle workers comes first"
    );
    store.state().append_response_time = READ_TIME;
    let request = async {
        tokio::time::sleep(READ_TIME / 2).await;
        store.state().put(Topic::Operator, REQUEST, b"{}");
    };
    let (rejected, ()) = tokio::join!(is_rejected(&node, 2), request);
    assert!(!rejected);
    store.state().append_response_time = Duration::ZERO;
    tokio::time::sleep(READ_TIME * 3).await;
    let starts = store.workers.calls().starts.clone();
    let workers: Vec<&str> = starts.iter().map(|(worker, _)| &**worker).collect();
    assert_eq!(workers, ["worker-1", "worker-0"]);
    assert_eq!(starts[1].1.number, 2);
}

/// Guards against jobs that a successor accepts although only evacuated zones have capacity for them,
/// because it has not read the registrations of the workers yet.
#[tokio::test(start_paused = true)]
async fn a_successor_rejects_jobs_before_it_knows_the_workers() {
    let store = store_with_workers(&["z"]);
    let first = store.start_node("vm-1").await;
    tokio::time::sleep(START_TIME).await;
    assert!(!is_rejected(&first, 1).await);
    tokio::time::sleep(READ_TIME).await;
    store.state().put(Topic::Operator, REQUEST, b"{}");
    tokio::time::sleep(READ_TIME).await;
    first.release_shards(START_TIME).await;
    // The registrations arrive some time after the claim.
    store.state().call_time = Duration::from_millis(240);
    let second = store.start_node("vm-2").await;
    // The first submission that is not refused has waited for the owner.
    let mut id = 2;
    let response = loop {
        match submit(&second, "queue", id).await {
            ApiResponse::Unavailable { .. } => id += 1,
            response => break response,
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(
        matches!(response, ApiResponse::QueueFull { .. }),
        "{response:?}"
    );
}
