//! Tests of the connections to peers, which a listener that never responds counts.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lavenderhollow_node::BootClock;
use lavenderhollow_node::Member;
use lavenderhollow_node::Ownership;
use lavenderhollow_node::Router;
use lavenderhollow_node::ShardId;
use lavenderhollow_node::ShardRequest;
use lavenderhollow_types::Clock;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::memory_store::MEMORY;
use crate::memory_store::SimulatedClock;

const SHARD: ShardId = ShardId(7);

fn member(vm: &str, address: &str) -> Member {
    Member {
        vm: vm.into(),
        started_ms: 1,
        address: address.into(),
        cpu_limit: None,
        memory_mb: None,
    }
}

/// Returns a router to an owner that accepts connections and never responds, and the number of the
/// connections that it has accepted.
async fn router_to_silent_owner(clock: Arc<dyn Clock>) -> (Arc<Router>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Ok((connection, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            connections.push(connection);
        }
    });
    (router_to(&address, clock), accepted)
}

/// Returns a router that knows an owner at an address.
fn router_to(address: &str, clock: Arc<dyn Clock>) -> Arc<Router> {
    let router = Arc::new(Router::new(member("vm-1", "127.0.0.1:1"), clock, MEMORY));
    let owner = Ownership {
        member: member("vm-2", address),
        fencing_token: 1,
        released: false,
    };
    router.cluster().update_owner(SHARD, owner);
    router
}

/// Opens connections to a listener that accepts none, until further ones are not answered.
fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let open = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    std::iter::from_fn(open).collect()
}

/// Sends a request that gets no response within `limit`.
async fn send(router: Arc<Router>, clock: Arc<dyn Clock>, limit: Duration) {
    let deadline = clock.now() + limit;
    let request = ShardRequest::FleetStatus;
    let response = router.send(SHARD, &request, deadline).await;
    assert!(response.is_err(), "{response:?}");
}

/// Guards against a connection for each of the calls that are made before the first one is open.
#[tokio::test]
async fn simultaneous_calls_share_a_connection() {
    let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
    let (router, accepted) = router_to_silent_owner(Arc::clone(&clock)).await;
    let limit = Duration::from_millis(200);
    let calls = (0..20).map(|_| send(Arc::clone(&router), Arc::clone(&clock), limit));
    futures::future::join_all(calls).await;
    assert_eq!(accepted.load(Ordering::SeqCst), 1);
}

/// Guards against late failures of the calls on an old connection that close the connection that
/// has replaced it.
///
/// The time is simulated. A connection without an answer for long is replaced, also without a failed call,
/// so that a delay of the test would count as a further connection.
#[tokio::test(start_paused = true)]
async fn a_failed_call_closes_only_its_own_connection() {
    let clock: Arc<dyn Clock> = Arc::new(SimulatedClock);
    let (router, accepted) = router_to_silent_owner(Arc::clone(&clock)).await;
    let call = |limit| {
        let limit = Duration::from_millis(limit);
        tokio::spawn(send(Arc::clone(&router), Arc::clone(&clock), limit))
    };
    // The first call that fails closes the connection; the others fail later.
    let first: Vec<_> = [100, 300, 400, 500].into_iter().map(call).collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    let mut second = Vec::new();
    for _ in 0..5 {
        second.push(call(2_000));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let before_second_fails = accepted.load(Ordering::SeqCst);
    for task in first.into_iter().chain(second) {
        task.await.unwrap();
    }
    assert_eq!(before_second_fails, 2);
}

/// Guards against a caller that gets no response because its entry VM waits for a connection to the
/// owner beyond the caller's deadline, as in a zone that is cut off.
#[tokio::test(start_paused = true)]
async fn a_request_fails_by_its_deadline_while_no_connection_opens() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let _connections = fill_backlog(address);
    let clock: Arc<dyn Clock> = Arc::new(SimulatedClock);
    let router = router_to(&address.to_string(), Arc::clone(&clock));
    let (start, limit) = (clock.now(), Duration::from_millis(100));
    send(router, Arc::clone(&clock), limit).await;
    let taken = clock.now() - start;
    // Timers have a resolution of a millisecond.
    assert!(taken <= limit + Duration::from_millis(2), "{taken:?}");
}
