//! Tests of what callers get while the store or the owner of a shard does not respond.

use std::sync::Arc;
use std::time::Duration;

use lavenderhollow_node::ApiResponse;
use lavenderhollow_node::Node;
use lavenderhollow_node::ShardId;
use lavenderhollow_node::backend::Topic;
use lavenderhollow_shard::JobId;
use tokio::time::Instant;

use crate::memory_store::HOST;
use crate::memory_store::MemoryStore;
use crate::test_owner::START_TIME;
use crate::test_owner::submit;

/// Returns a node that owns a pool with a worker and has stored a job of its queue.
async fn start() -> (Arc<MemoryStore>, Arc<Node>) {
    let store = MemoryStore::new();
    store.state().put(Topic::Operator, "config", b"queue>pool");
    store.state().put(Topic::Workers, "worker-1", b"pool");
    let node = Arc::new(store.start_node("vm-1").await);
    tokio::time::sleep(START_TIME).await;
    assert_eq!(submit(&node, "queue", 1).await, ApiResponse::Accepted);
    (store, node)
}

/// Submits a job in the background, and returns the response and how long it took.
fn submit_later(node: &Arc<Node>, id: u64) -> tokio::task::JoinHandle<(ApiResponse, Duration)> {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let start = Instant::now();
        (submit(&node, "queue", id).await, start.elapsed())
    })
}

fn is_refused(response: &ApiResponse) -> bool {
    matches!(response, ApiResponse::Unavailable { cause, .. } if *cause == "store_unresponsive")
}

/// Queries the state of a job.
async fn state(node: &Node, id: u64) -> ApiResponse {
    let api = node.job_api();
    let authorized = api.authorize(HOST, "/queue/state", None, None, None);
    api.state(&authorized.expect("a queue"), JobId(id)).await
}

/// Returns how many records and starts there are of a job.
fn traces(store: &MemoryStore, id: u64) -> (usize, usize) {
    let topic = Topic::Shard(ShardId::of_pool("pool"));
    let records = store.state().values(topic, &format!("j{id:016x}")).len();
    let calls = store.workers.calls();
    let starts = calls.starts.iter().filter(|(_, r)| r.task.job == JobId(id));
    (records, starts.count())
}

/// Guards against submissions that are held for 3 s and then answered with 504 although nothing of them
/// was sent to the store, and against refused ones that are stored or run after all.
#[tokio::test(start_paused = true)]
async fn a_submission_that_waits_for_an_unanswered_append_is_refused_and_never_runs() {
    let (store, node) = start().await;
    store.state().append_response_time = Duration::from_secs(6);
    let in_flight = submit_later(&node, 2);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let waiting = submit_later(&node, 3);
    tokio::time::sleep(Duration::from_millis(100)).await;
    // A job that is shown must not be denied later.
    let shown = state(&node, 3).await;
    assert!(is_refused(&shown), "{shown:?}");
    let (response, taken) = waiting.await.expect("no panic");
    assert!(is_refused(&response), "{response:?}");
    assert!(taken < Duration::from_millis(2_300), "{taken:?}");
    let (response, taken) = submit_later(&node, 4).await.expect("no panic");
    assert!(is_refused(&response), "{response:?}");
    assert!(taken < Duration::from_millis(10), "{taken:?}");
    // A repeated submission of a job that may be stored is not denied.
    let repeated = submit_later(&node, 2);
    let (response, _) = in_flight.await.expect("no panic");
    assert_eq!(response, ApiResponse::OutcomeUnknown);
    let (response, _) = repeated.await.expect("no panic");
    assert_ne!(response, ApiResponse::JobNotFound);
    assert!(!is_refused(&response), "{response:?}");
    store.state().append_response_time = Duration::ZERO;
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(traces(&store, 2), (1, 1));
    assert_eq!([3, 4].map(|id| traces(&store, id)), [(0, 0); 2]);
    assert_eq!(submit(&node, "queue", 3).await, ApiResponse::Accepted);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(traces(&store, 3), (1, 1));
}

/// Guards against an owner that refuses jobs of which a slow store takes the records in time.
#[tokio::test(start_paused = true)]
async fn a_slow_store_refuses_nothing() {
    let (store, node) = start().await;
    for (time, gap) in [(240, 100), (1_900, 900)] {
        store.state().append_response_time = Duration::from_millis(time);
        let mut submissions = Vec::new();
        for id in 0..3 {
            submissions.push(submit_later(&node, time + id));
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
        for submission in submissions {
            let (response, _) = submission.await.expect("no panic");
            // An append that begins late may outlast the caller.
            assert!(!is_refused(&response), "{time} ms: {response:?}");
        }
        tokio::time::sleep(START_TIME).await;
    }
}

/// Guards against callers that are held by an owner whose process has lost the store, and against state
/// queries and cancellations that such an owner denies.
#[tokio::test(start_paused = true)]
async fn a_process_without_the_store_refuses_at_once() {
    let (store, node) = start().await;
    store.state().outage = true;
    // A read that waits for a record is still answered after a second.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let (response, taken) = submit_later(&node, 2).await.expect("no panic");
    assert!(is_refused(&response), "{response:?}");
    assert!(taken < Duration::from_millis(10), "{taken:?}");
    let api = node.job_api();
    let authorized = api.authorize(HOST, "/queue/2", None, None, None);
    let cancelled = api.cancel(&authorized.expect("a queue"), JobId(2)).await;
    for response in [state(&node, 2).await, cancelled] {
        assert!(is_refused(&response), "{response:?}");
    }
    store.state().outage = false;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(traces(&store, 2), (0, 0));
    assert_eq!(submit(&node, "queue", 2).await, ApiResponse::Accepted);
    assert_eq!(traces(&store, 2), (1, 1));
}
