//! Tests of queues that a configuration sends to another pool while their jobs are known.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_node::ApiResponse;
use lavenderhollow_node::ClusterConfig;
use lavenderhollow_node::Member;
use lavenderhollow_node::Node;
use lavenderhollow_node::QueueFence;
use lavenderhollow_node::QueueShards;
use lavenderhollow_node::ShardId;
use lavenderhollow_node::backend::Topic;
use lavenderhollow_shard::JobId;

use crate::memory_store::HOST;
use crate::memory_store::MemoryStore;
use crate::memory_store::route;
use crate::test_claim::LONG;
use crate::test_claim::member;
use crate::test_claim::publish;
use crate::test_owner::START_TIME;
use crate::test_owner::submit;

/// A time after which a configuration is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// The time after which a finished job is removed.
const RETENTION: Duration = Duration::from_secs(160);

/// Starts a node with a queue that `pool-1` serves, and a worker of each of the given pools.
async fn start(workers: &[&str]) -> (Arc<MemoryStore>, Node) {
    let store = MemoryStore::new();
    let config = b"@1 queue>pool-1 pool-2";
    store.state().put(Topic::Operator, "config", config);
    for pool in workers {
        let id = format!("worker-of-{pool}");
        store.state().put(Topic::Workers, &id, pool.as_bytes());
    }
    let node = store.start_node("vm-1").await;
    tokio::time::sleep(START_TIME).await;
    (store, node)
}

async fn move_queue(store: &MemoryStore) {
    let config = b"@2 queue>pool-2 pool-1";
    store.state().put(Topic::Operator, "config", config);
    tokio::time::sleep(APPLY_TIME).await;
}

/// Returns the names of the workers on which tasks were started.
fn started_on(store: &MemoryStore) -> Vec<String> {
    let starts = store.workers.calls().starts.clone();
    starts.into_iter().map(|(id, _)| id.to_string()).collect()
}

/// Returns the keys and whether each still has a value, of the records that name the shards of queues.
fn queue_records(store: &MemoryStore) -> Vec<(String, bool)> {
    let state = store.state();
    let records = state.topics.get(&Topic::Owners).into_iter().flatten();
    let of_queues = records.filter(|r| r.key.starts_with("queue/"));
    of_queues
        .map(|r| (r.key.clone(), r.value.is_some()))
        .collect()
}

/// Guards against a job that runs in the pools before and after a change of the configuration, because
/// its submission is repeated after the change.
#[tokio::test(start_paused = true)]
async fn a_submission_repeated_after_its_queue_has_moved_runs_once() {
    let (store, node) = start(&["pool-1", "pool-2"]).await;
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    move_queue(&store).await;
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    assert_eq!(submit(&node, "queue", 2).await, ApiResponse::Accepted);
    tokio::time::sleep(START_TIME).await;
    let workers = ["worker-of-pool-1", "worker-of-pool-2"];
    assert_eq!(started_on(&store), workers);
}

/// Guards against a job that is accepted a second time because the owner that knows it can't be asked.
#[tokio::test(start_paused = true)]
async fn a_former_owner_that_is_not_reached_leaves_the_outcome_unknown() {
    let (store, node) = start(&["pool-1", "pool-2"]).await;
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    move_queue(&store).await;
    let successor = member("vm-2", 120);
    store.state().join(&successor.to_string(), LONG);
    publish(&store, ShardId::of_pool("pool-1"), &successor, 1_000);
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::OutcomeUnknown);
    tokio::time::sleep(START_TIME).await;
    assert_eq!(started_on(&store), ["worker-of-pool-1"]);
}

/// Guards against a caller that is told that nothing was done, although the owner in the former pool
/// has received the cancellation.
#[tokio::test]
async fn a_cancellation_without_a_response_of_the_former_owner_may_be_carried_out() {
    let (store, node) = start(&[]).await;
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    move_queue(&store).await;
    // The listener's backlog takes connections, and nobody reads from them.
    let silent = std::net::TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let successor = Member {
        address: silent.local_addr().expect("an address").to_string().into(),
        ..member("vm-2", 120)
    };
    store.state().join(&successor.to_string(), LONG);
    publish(&store, ShardId::of_pool("pool-1"), &successor, 1_000);
    tokio::time::sleep(APPLY_TIME).await;
    let api = node.job_api();
    let authorized = api.authorize(HOST, "/queue/1", None, None, None);
    let response = api.cancel(&authorized.expect("a queue"), JobId(1)).await;
    assert_eq!(response, ApiResponse::OutcomeUnknown);
}

/// Guards against waiting jobs that are not counted after their queue has moved.
#[tokio::test(start_paused = true)]
async fn jobs_that_wait_in_the_former_pool_are_pending() {
    let (store, node) = start(&[]).await;
    for id in 0..3 {
        assert_eq!(submit(&node, "queue", id).await, ApiResponse::Accepted);
    }
    move_queue(&store).await;
    assert_eq!(submit(&node, "queue", 3).await, ApiResponse::Accepted);
    let api = node.job_api();
    let authorized = api.authorize(HOST, "/queue/", None, None, None);
    let pending = api.queued_jobs(&authorized.expect("a queue")).await;
    assert_eq!(pending, ApiResponse::Pending(4));
}

/// Guards against a job that is accepted before other processes can know which shard holds it.
#[tokio::test(start_paused = true)]
async fn the_first_job_of_a_queue_waits_until_its_shard_is_published() {
    let (store, node) = start(&["pool-1"]).await;
    store.state().owner_appends_fail = true;
    let refused = submit(&node, "queue", 1).await;
    let ApiResponse::Unavailable { retry_after, .. } = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(started_on(&store), [""; 0]);
    store.state().owner_appends_fail = false;
    tokio::time::sleep(retry_after).await;
    assert_eq!(started_on(&store), [""; 0]);
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    assert_eq!(started_on(&store), ["worker-of-pool-1"]);
    // Later jobs of the queue cost no call.
    assert_eq!(submit(&node, "queue", 2).await, ApiResponse::Accepted);
    assert_eq!(queue_records(&store).len(), 1);
}

/// Guards against a job that waits on after its queue was published by a call without a response.
#[tokio::test(start_paused = true)]
async fn a_job_goes_on_after_its_queue_was_published_without_a_response() {
    let (store, node) = start(&[]).await;
    store.state().append_responses_lost = true;
    let lost = Arc::clone(&store);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        lost.state().append_responses_lost = false;
    });
    let submitted = tokio::time::Instant::now();
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    let taken = submitted.elapsed();
    assert!(taken < Duration::from_millis(500), "{taken:?}");
}

/// Guards against a job of another queue that is refused long after a publication without a response,
/// as if that one were still in progress.
#[tokio::test(start_paused = true)]
async fn a_publication_without_a_response_does_not_count_for_later_ones() {
    let store = MemoryStore::new();
    let config = b"@1 queue>pool-1 other>pool-1";
    store.state().put(Topic::Operator, "config", config);
    let node = store.start_node("vm-1").await;
    tokio::time::sleep(START_TIME).await;
    store.state().append_responses_lost = true;
    let lost = Arc::clone(&store);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        lost.state().append_responses_lost = false;
    });
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    // Longer than the store may take for a publication.
    tokio::time::sleep(Duration::from_secs(5)).await;
    // The owner decides several times before the next publication has its response.
    store.state().call_time = Duration::from_millis(240);
    assert_eq!(submit(&node, "other", 2).await, ApiResponse::Accepted);
}

/// Guards against submissions that ask the former pool of a queue for good.
#[tokio::test(start_paused = true)]
async fn a_former_pool_is_withdrawn_with_its_last_job() {
    let (store, node) = start(&[]).await;
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    move_queue(&store).await;
    let api = node.job_api();
    let authorized = api.authorize(HOST, "/queue/1", None, None, None);
    let cancelled = api.cancel(&authorized.expect("a queue"), JobId(1)).await;
    assert_eq!(cancelled, ApiResponse::Cancelled);
    assert_eq!(queue_records(&store).len(), 1);
    tokio::time::sleep(RETENTION).await;
    let records = queue_records(&store);
    assert_eq!(records.len(), 2);
    assert_eq!(records[1], (records[0].0.clone(), false));
}

/// Guards against a queue that two shards take new jobs for, and against one that none does.
#[test]
fn an_owner_accepts_new_jobs_of_the_queues_of_its_shard() {
    let shard = ShardId::of_pool("pool-1");
    let config = |version, pool| ClusterConfig {
        version,
        routes: vec![route("queue", pool)],
        ..ClusterConfig::default()
    };
    let mut fence = QueueFence::default();
    assert!(fence.accepts(&config(1, "pool-1"), shard, "queue"));
    assert!(!fence.accepts(&config(2, "pool-2"), shard, "queue"));
    assert!(fence.accepts(&config(2, "pool-2"), shard, "added later"));
    // Another process has applied version 3, which moves the queue.
    fence.close(&"queue".into(), 3);
    fence.close(&"queue".into(), 2);
    assert!(!fence.accepts(&config(1, "pool-1"), shard, "queue"));
    assert!(!fence.accepts(&config(3, "pool-2"), shard, "queue"));
    assert!(fence.accepts(&config(4, "pool-1"), shard, "queue"));
}

/// Guards against records of the owners' topic that are misread, and against odd ones.
#[test]
fn the_shards_of_queues_follow_the_topic() {
    let known = QueueShards::default();
    let shards = |queue| known.of_queue(queue);
    assert!(known.apply("queue/7/00", Some(b"first")));
    assert!(known.apply("queue/8/00", Some(b"first")));
    assert!(known.apply("queue/8/01", Some(b"second")));
    assert!(!known.apply("7", Some(b"an owner")));
    assert!(known.apply("queue/70000/00", Some(b"first")));
    assert!(known.apply("queue/9/00", Some(b"\xff")));
    assert!(known.apply("queue/8/01", None));
    assert!(known.apply("queue/8/02", None));
    let both = BTreeSet::from([ShardId(7), ShardId(8)]);
    assert_eq!(shards("first"), both);
    assert_eq!(shards("second"), BTreeSet::new());
    assert!(!known.is_complete());
    known.mark_complete();
    assert!(known.is_complete());
}
