//! Tests of the limit of a port's connections.

use lavenderhollow_node::ConnectionLimit;
use tokio::task::JoinHandle;

fn connect(limit: &mut ConnectionLimit) -> JoinHandle<()> {
    let task = tokio::spawn(std::future::pending());
    limit.add(task.abort_handle());
    task
}

/// Guards against connections that nobody ends and that keep others out.
#[tokio::test]
async fn a_new_connection_takes_the_place_of_the_oldest() {
    let mut limit = ConnectionLimit::new(2);
    assert!(!limit.make_room());
    let first = connect(&mut limit);
    assert!(!limit.make_room());
    let second = connect(&mut limit);
    assert!(limit.make_room());
    assert!(first.await.is_err_and(|e| e.is_cancelled()));
    let third = connect(&mut limit);
    third.abort();
    assert!(third.await.is_err_and(|e| e.is_cancelled()));
    assert!(!limit.make_room(), "the third has ended by itself");
    assert!(!second.is_finished());
}
