//! Tests of an owner on another VM that stops responding, through a proxy that stops forwarding.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::Attempts;
use lavenderhollow_node::BootClock;
use lavenderhollow_node::Member;
use lavenderhollow_node::Node;
use lavenderhollow_node::Ownership;
use lavenderhollow_node::RequestError;
use lavenderhollow_node::Router;
use lavenderhollow_node::ShardId;
use lavenderhollow_node::ShardRequest;
use lavenderhollow_node::ShardResponse;
use lavenderhollow_types::Clock;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::memory_store::MEMORY;
use crate::memory_store::MemoryStore;

/// How long a caller waits at most.
const LIMIT: Duration = Duration::from_millis(2_960);

/// Forwards what one side sends until the link is cut. The connection stays open and is dead from then
/// on, also after the link is back.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: Arc<AtomicBool>) {
    let mut buffer = vec![0; 4_096];
    while let Ok(count) = from.read(&mut buffer).await {
        if cut.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Listens in front of a process and returns the address. While `cut` is set, connections are accepted
/// and nothing is forwarded.
async fn proxy(target: SocketAddr, cut: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let (client_read, client_write) = client.into_split();
            let (read, write) = TcpStream::connect(target).await.unwrap().into_split();
            tokio::spawn(forward(client_read, write, Arc::clone(&cut)));
            tokio::spawn(forward(read, client_write, Arc::clone(&cut)));
        }
    });
    address
}

/// Starts a node that owns the fleet shard, and returns its address for peers.
async fn start_owner(store: &Arc<MemoryStore>) -> (Node, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let clock = Arc::new(BootClock::new());
    let node = store.start_node_at("vm-2", address, clock).await;
    (node, address)
}

fn member(vm: &str, address: SocketAddr) -> Member {
    Member {
        vm: vm.into(),
        started_ms: 1,
        address: address.to_string().into(),
        cpu_limit: None,
        memory_mb: None,
    }
}

/// Sends a caller's request, and returns the result and how long it took.
async fn send(router: &Router) -> (Result<ShardResponse, RequestError>, Duration) {
    let start = Instant::now();
    let deadline = BootClock::new().now() + LIMIT;
    let mut attempts = Attempts::default();
    let request = ShardRequest::FleetStatus;
    let response = router.send_for_caller(None, ShardId::FLEET, &request, deadline, &mut attempts);
    (response.await, start.elapsed())
}

/// Returns a router that knows an owner of the fleet shard at an address.
fn router_to(address: SocketAddr) -> Arc<Router> {
    let me = member("vm-1", SocketAddr::from(([127, 0, 0, 1], 1)));
    let router = Arc::new(Router::new(me, Arc::new(BootClock::new()), MEMORY));
    set_owner(&router, "vm-2", address, 1);
    router
}

fn set_owner(router: &Router, vm: &str, address: SocketAddr, fencing_token: u64) {
    let owner = Ownership {
        member: member(vm, address),
        fencing_token,
        released: false,
    };
    router.cluster().update_owner(ShardId::FLEET, owner);
}

/// Guards against callers that are held by a peer that is cut off, one after the other, and against a
/// peer that is not used again, because an old connection to it never works again.
#[tokio::test]
async fn a_silent_peer_gets_no_requests_until_it_answers() {
    let store = MemoryStore::new();
    let (_node, address) = start_owner(&store).await;
    let cut = Arc::new(AtomicBool::new(false));
    let proxy_address = proxy(address, Arc::clone(&cut)).await;
    let router = router_to(proxy_address);
    let (response, _) = send(&router).await;
    assert!(
        matches!(response, Ok(ShardResponse::Fleet(_))),
        "{response:?}"
    );

    cut.store(true, Ordering::SeqCst);
    let sent = tokio::spawn({
        let router = Arc::clone(&router);
        async move { send(&router).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    // This process has no store, so that nothing tells of a takeover.
    for _ in 0..3 {
        let (response, taken) = send(&router).await;
        assert!(
            matches!(response, Err(RequestError::OwnerUnresponsive { .. })),
            "{response:?}"
        );
        assert!(taken < Duration::from_millis(500), "{taken:?}");
    }
    // The first request was sent, so that nobody knows what comes of it.
    let (response, _) = sent.await.unwrap();
    assert_eq!(response, Err(RequestError::OutcomeUnknown));

    cut.store(false, Ordering::SeqCst);
    let back = Instant::now();
    while !matches!(send(&router).await.0, Ok(ShardResponse::Fleet(_))) {
        assert!(back.elapsed() < Duration::from_secs(10));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against callers that are refused, or sent to an owner that has terminated, although its shard
/// gets a new owner while they wait.
#[tokio::test]
async fn a_request_that_waits_goes_to_the_new_owner() {
    let store = MemoryStore::new();
    let (_node, address) = start_owner(&store).await;
    let cut = Arc::new(AtomicBool::new(false));
    let proxy_address = proxy(address, Arc::clone(&cut)).await;
    let router = router_to(proxy_address);
    let (response, _) = send(&router).await;
    assert!(response.is_ok(), "{response:?}");
    cut.store(true, Ordering::SeqCst);
    let answers = Arc::clone(&router);
    tokio::spawn(async move {
        loop {
            answers.handle_store_answer(BootClock::new().now());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    let send_later = || {
        let router = Arc::clone(&router);
        tokio::spawn(async move { send(&router).await })
    };
    let sent = send_later();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let waiting = send_later();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(!waiting.is_finished());
    set_owner(&router, "vm-3", address, 2);
    for request in [sent, waiting] {
        let (response, _) = request.await.unwrap();
        assert!(
            matches!(response, Ok(ShardResponse::Fleet(_))),
            "{response:?}"
        );
    }
}
